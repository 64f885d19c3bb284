"""Entry point of a worker process: `python -m opalgauge.cores CHANNEL_FD TABLE_FD WORKERS seat=N`."""

import signal

from opalgauge.lifecycle.imports import fast_imports
from opalgauge.lifecycle.native import use_compiled_modules

if __name__ == "__main__":
    use_compiled_modules()
    with fast_imports():
        from opalgauge.cores.worker import main

    # Only the supervisor stops a worker: an interrupt from the terminal reaches the supervisor as well.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    main()
