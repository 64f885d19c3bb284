"""Entry point of a worker process: `python -m opalgauge.cores CHANNEL_FD TABLE_FD WORKERS seat=N`."""

import signal

from opalgauge.lifecycle.imports import lean
from opalgauge.lifecycle.native import prefer

if __name__ == "__main__":
    prefer()
    with lean():
        from opalgauge.cores.worker import main

    # Only the supervisor stops a worker: an interrupt from the terminal reaches the supervisor as well.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    main()
