#!/bin/sh
# Builds what the scripts start besides the programs of the deploy file. The stand-ins are Python of the standard
# library alone, so that nothing is compiled: this checks that they can be run here.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
for file in standins/*.py */case.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/release/larchway || echo "note: target/release/larchway is not built yet" >&2
