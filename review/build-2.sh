#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python files that need only the standard library.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 - <<'END'
import pathlib
for path in [pathlib.Path("stand_ins_2/standins.py"), *sorted(pathlib.Path(".").glob("*/case.py"))]:
    compile(path.read_text(), str(path), "exec")
END
