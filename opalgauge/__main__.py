"""Starts one ingress: `python -m opalgauge`."""

import sys

from opalgauge.lifecycle.service import main

if __name__ == "__main__":
    sys.exit(main())
