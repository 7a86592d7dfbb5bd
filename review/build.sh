#!/bin/sh
# The stand-ins are Python files of this folder: compiled here, so that a mistake shows.
set -eu
cd "$(dirname "$0")"
for file in *.py */*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
