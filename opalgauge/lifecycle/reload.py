"""Reloading settings while serving, and the delay before exit.

Shared by an ingress of one process, a supervisor and its workers.
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
EXIT_DELAY = timedelta(milliseconds=50)  # lets the last answers leave before the process exits


def reload_settings(
    source: SettingsSource, apply: Callable[[SettingsReading], None], log: Log, tries: int = RELOAD_TRIES
) -> None:
    """Reads the settings again and applies them if they are valid; otherwise logs why and changes nothing."""
    try:
        reading = source.read()
    except ConfigError as error:
        # Retried, because the file may be in the middle of being replaced.
        if tries > 1:
            pause = RELOAD_PAUSE.total_seconds()
            asyncio.get_running_loop().call_later(pause, reload_settings, source, apply, log, tries - 1)
        else:
            log(f"reload: {error}; going on as before")
        return
    apply(reading)


def report_addresses(report: Callable[[Event], None], config: Config) -> None:
    """Reports the addresses of a new configuration, the only part of it that changes while serving."""
    ingress = config.ingress
    report(AddressesChanged(ingress.counter_address, ingress.server_list_address))
    if not ingress.server_list_address:
        report(ServersConfigured(ingress.known_servers))
