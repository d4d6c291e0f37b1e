#!/bin/sh
# Builds the stand-ins of the cases 6 to 9. They are Python 3.11 sources without further packages, so that building
# them is a check of their syntax.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed" if sys.version_info < (3, 11) else 0)'
for source in standins-2/*.py [0-9]*/play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
