#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/release/standins-2
if [ ! -x "$program" ] || [ ! -x "$root/target/release/larchway" ]; then
    echo "the software or the stand-ins are not built" >&2
    exit 2
fi
exec "$program" slow-discovery-purge "$root" "$here"
