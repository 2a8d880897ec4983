#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
