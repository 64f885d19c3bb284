"""Starts one ingress: `python -m opalgauge`."""

import sys

from opalgauge.lifecycle.native import prefer

if __name__ == "__main__":
    prefer()
    from opalgauge.lifecycle.service import main

    sys.exit(main())
