#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../target/release/larchway || { echo "target/release/larchway is not built"; exit 2; }
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
