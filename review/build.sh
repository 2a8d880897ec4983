#!/usr/bin/env bash
# Checks that the stand-ins of the cases can run. They are Python programs of the standard library,
# and python3 is a package of the project's tests, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for source in stand_ins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
