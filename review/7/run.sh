#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/bamboochute-edge ] || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 run.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
