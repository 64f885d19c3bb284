#!/bin/sh
# Plays the case; writes record.txt here. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
test -x "$python" || python=python3
exec "$python" case.py
