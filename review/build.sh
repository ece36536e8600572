#!/bin/sh
# Checks that all stand-ins compile; they use the standard library only, so nothing else is built.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */run.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
