"""Starts the command line with a skewed clock.

Run as `python -m opalgauge.lab.skewed_clock SECONDS serve …`; SECONDS is added to the true time.
"""

from __future__ import annotations

import sys
from datetime import timedelta

from opalgauge.lifecycle.clock import Clock


def main() -> None:
    """Takes the skew off the command line, patches the clock and runs the command with what is left."""
    skew = timedelta(seconds=float(sys.argv.pop(1)))
    original_init = Clock.__init__

    def skewed_init(self: Clock) -> None:
        original_init(self)
        self.start_time += skew

    Clock.__init__ = skewed_init  # type: ignore[method-assign]
    from opalgauge.cli.main import main as command

    command()


if __name__ == "__main__":
    main()
