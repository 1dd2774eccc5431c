#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard library, and the project's own
# stand-ins in tests/platform/adapter, so that nothing has to be compiled; checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in ../tests/platform/adapter/stand_ins.py ../tests/platform/adapter/odd_answers.py [0-9]*/rig.py [0-9]*/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
