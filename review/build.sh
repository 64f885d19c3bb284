#!/bin/sh
# Builds the stand-ins of the cases: Python files of the standard library, compiled ahead of the run.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q common 1 2 3
