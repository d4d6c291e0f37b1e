#!/bin/sh
# Checks and compiles the stand-ins of the scripts; they need Python 3.9 or later and no package.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for source in review/standins/*.py review/[1-5]/*.py; do
    [ -f "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
