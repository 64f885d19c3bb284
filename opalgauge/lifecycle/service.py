"""One ingress from start to exit."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from datetime import UTC, datetime, timedelta

import uvloop

from opalgauge.lifecycle.config import Config, ConfigError, read_config
from opalgauge.memory.events import DrainAsked, GraceOver, Readdressed
from opalgauge.memory.reducer import Reducer
from opalgauge.wire.clients import Clients
from opalgauge.wire.exchange import Exchange
from opalgauge.wire.node_list import NodeListReader

GRACE = timedelta(milliseconds=550)  # the front deals out new connections for up to 400 ms after SIGTERM
RELOAD_TRIES, RELOAD_PAUSE = 5, timedelta(milliseconds=100)
LINGER = timedelta(milliseconds=50)  # for the last answers to leave


def log(text: str) -> None:
    print(f"opalgauge: {text}", file=sys.stderr, flush=True)


class Clock:
    """Unix time, read once and then advanced by the monotonic clock: it never jumps."""

    def __init__(self) -> None:
        self.anchor, self.started = datetime.now(UTC), time.monotonic_ns()

    def now(self) -> datetime:
        return self.anchor + timedelta(microseconds=(time.monotonic_ns() - self.started) // 1000)


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    clock = Clock()
    exchange = Exchange(Reducer(config.house), clock.now, NodeListReader(config.zones), log, over.set)
    draining = False
    clients = exchange.clients = Clients(config.trade, exchange.report, lambda: not draining)

    def drain() -> None:
        nonlocal draining
        if not draining:
            draining = clients.last = True
            exchange.report(DrainAsked())
            loop.call_later(GRACE.total_seconds(), exchange.report, GraceOver())

    def reload(tries: int = RELOAD_TRIES) -> None:
        """The addresses of the quota counter and the node list may change in service, nothing else does."""
        try:
            house = read_config().house
        except ConfigError as bad:
            # Guards against a file that is just being replaced, and against one that is no good at all.
            if tries > 1:
                loop.call_later(RELOAD_PAUSE.total_seconds(), reload, tries - 1)
            else:
                log(f"reload: {bad}; going on as before")
            return
        exchange.report(Readdressed(house.counter_address, house.node_list_address))

    # Whatever escapes on a connection ends there, and is told in one line.
    loop.set_exception_handler(
        lambda _, what: exchange.fault(f"{what.get('message')}: {what.get('exception')!r}")
    )
    loop.add_signal_handler(signal.SIGTERM, drain)
    loop.add_signal_handler(signal.SIGINT, drain)
    loop.add_signal_handler(signal.SIGHUP, reload)
    exchange.start()
    await clients.listen(*config.listen)
    host, port = config.listen
    log(f"ready: {config.name} on {host}:{port}, {len(config.house.known)} stock nodes known")
    await over.wait()
    await asyncio.sleep(LINGER.total_seconds())
    await clients.close()
    log("drain: nothing owed any more; leaving")


def main() -> int:
    try:
        config = read_config()
        uvloop.run(serve(config))
    except (ConfigError, OSError) as bad:
        log(f"cannot start: {bad}")
        return 2
    return 0
