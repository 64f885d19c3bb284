"""What a process does with its settings while it serves, and how long it stays for its last answers.

Shared by an ingress of one process, a guardian and its workers, none of which needs to know the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from opalgauge.lifecycle.config import Config, ConfigError
from opalgauge.lifecycle.logs import Log
from opalgauge.lifecycle.sources import SettingsReading, SettingsSource
from opalgauge.memory.events import AddressesChanged, Event, ServersConfigured

RELOAD_TRIES, RELOAD_PAUSE = 5, timedelta(milliseconds=100)
EXIT_DELAY = timedelta(milliseconds=50)  # for the last answers to leave


def reload_settings(
    source: SettingsSource, apply: Callable[[SettingsReading], None], log: Log, tries: int = RELOAD_TRIES
) -> None:
    """Reads the settings again and hands them on where they hold as a whole; else all goes on as before."""
    try:
        reading = source.read()
    except ConfigError as error:
        # Guards against a file that is just being replaced, and against one that is no good at all.
        if tries > 1:
            pause = RELOAD_PAUSE.total_seconds()
            asyncio.get_running_loop().call_later(pause, reload_settings, source, apply, log, tries - 1)
        else:
            log(f"reload: {error}; going on as before")
        return
    apply(reading)


def report_addresses(report: Callable[[Event], None], config: Config) -> None:
    """What a new configuration changes in service: the other parties' addresses."""
    ingress = config.ingress
    report(AddressesChanged(ingress.counter_address, ingress.server_list_address))
    if not ingress.server_list_address:
        report(ServersConfigured(ingress.known_servers))
