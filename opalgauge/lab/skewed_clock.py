"""Starts the command line with a clock that is off:
`python -m opalgauge.lab.skewed_clock SECONDS serve …`."""

from __future__ import annotations

import sys
from datetime import timedelta

from opalgauge.lifecycle.clock import Clock


def main() -> None:
    off = timedelta(seconds=float(sys.argv.pop(1)))
    true = Clock.__init__

    def skewed(self: Clock) -> None:
        true(self)
        self.anchor += off

    Clock.__init__ = skewed  # type: ignore[method-assign]
    from opalgauge.cli.main import main as command

    command()


if __name__ == "__main__":
    main()
