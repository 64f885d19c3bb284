#!/bin/sh
# Builds the stand-ins of the cases: Python files of the standard library, compiled ahead of the run.
set -e
cd "$(dirname "$0")"
python=../.venv/bin/python
test -x "$python" || python=python3
exec "$python" -m compileall -q common 1 2 3
