"""What a process does with its settings while it serves, and how long it stays for its last answers.

Shared by an ingress of one process, a guardian and its workers, none of which needs to know the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from opalgauge.lifecycle.config import Config, ConfigError
from opalgauge.lifecycle.logs import Log
from opalgauge.lifecycle.sources import Reading, Source
from opalgauge.memory.events import AddressesChanged, Event, ServersConfigured

RELOAD_TRIES, RELOAD_PAUSE = 5, timedelta(milliseconds=100)
LINGER = timedelta(milliseconds=50)  # for the last answers to leave


def reread(source: Source, take: Callable[[Reading], None], log: Log, tries: int = RELOAD_TRIES) -> None:
    """Reads the settings again and hands them on where they hold as a whole; else all goes on as before."""
    try:
        reading = source.read()
    except ConfigError as bad:
        # Guards against a file that is just being replaced, and against one that is no good at all.
        if tries > 1:
            wait = RELOAD_PAUSE.total_seconds()
            asyncio.get_running_loop().call_later(wait, reread, source, take, log, tries - 1)
        else:
            log(f"reload: {bad}; going on as before")
        return
    take(reading)


def readdress(report: Callable[[Event], None], config: Config) -> None:
    """What a new configuration changes in service: the other parties' addresses."""
    house = config.house
    report(AddressesChanged(house.counter_address, house.server_list_address))
    if not house.server_list_address:
        report(ServersConfigured(house.known_servers))
