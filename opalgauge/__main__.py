"""Starts one ingress: `python -m opalgauge`."""

import sys

from opalgauge.lifecycle.imports import lean
from opalgauge.lifecycle.native import prefer

if __name__ == "__main__":
    prefer()
    with lean():
        from opalgauge.lifecycle.service import main

    sys.exit(main())
