#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python modules, which this compiles.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/*/*.py tests/platform/adapter/stand_ins.py tests/platform/adapter/odd_answers.py
