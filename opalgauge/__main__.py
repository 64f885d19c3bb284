"""Entry point of `python -m opalgauge`: runs one ingress, configured by the platform."""

import sys

from opalgauge.lifecycle.imports import fast_imports
from opalgauge.lifecycle.native import use_compiled_modules

if __name__ == "__main__":
    use_compiled_modules()
    with fast_imports():
        from opalgauge.lifecycle.service import main

    sys.exit(main())
