"""Starts one worker, as the guardian does: `python -m opalgauge.cores CHANNEL BOARD SEATS seat=N`."""

import signal

from opalgauge.lifecycle.imports import lean
from opalgauge.lifecycle.native import prefer

if __name__ == "__main__":
    prefer()
    with lean():
        from opalgauge.cores.worker import main

    # The guardian alone stops a worker: a terminal's interrupt goes to it as well.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    main()
