#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later: they are in Python and need its own library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(pathlib.Path(".").glob("*_3.py")) + sorted(pathlib.Path(".").glob("1[1-5]/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
