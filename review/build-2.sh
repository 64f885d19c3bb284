#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 to review/10 start. They are plain Python and run with the
# interpreter that the build of the deploy file leaves in .venv; there is nothing to compile but bytecode.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../.venv/bin/python
for folder in common-2 6 7 8 9 10; do
    test ! -d "$folder" || ../.venv/bin/python -m compileall -q "$folder"
done
