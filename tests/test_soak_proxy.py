"""The soak's proxies do what they are told, and note when the program's bytes came."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests import harness
from tests.soak.proxy import DELAY, LATE_DIAL, Arrival, PathFault, Proxy

REQUEST = b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"


class Path:
    """One connection over a proxy to a server that answers."""

    def __init__(self, proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.proxy, self.reader, self.writer = proxy, reader, writer
        self.now = asyncio.get_running_loop().time

    def arrival(self) -> Arrival:
        (port,) = self.proxy.arrivals
        found = self.proxy.arrived(port)
        assert found is not None and self.proxy.arrived(port) is None, "each request is noted anew"
        return found

    async def ask(self) -> float:
        """Seconds until the answer."""
        began = self.now()
        self.writer.write(REQUEST)
        await harness.read_request(self.reader)
        return self.now() - began


async def path(fault: PathFault, server: str) -> Path:
    loop = asyncio.get_running_loop()
    proxy = Proxy(server, loop.time, random.Random(1))
    await proxy.open()
    proxy.begin(fault)
    host, _, port = proxy.address.rpartition(":")
    return Path(proxy, *await asyncio.open_connection(host, int(port)))


@pytest.mark.parametrize("fault", [f for f in PathFault if f not in (PathFault.STALL, PathFault.RESET)])
def test_what_a_path_delays_still_comes_and_is_noted_when_it_was_sent(fault: PathFault) -> None:
    async def play() -> None:
        async with harness.party(lambda *_: harness.OK) as (server, _):
            here = await path(fault, server)
            sent = here.now()
            took = await here.ask()
            least = {PathFault.LATE_DIAL: LATE_DIAL, PathFault.DELAY: 2 * DELAY}.get(fault, 0.0)
            assert took >= least
            assert here.arrival().last - sent < LATE_DIAL / 2
            here.writer.close()
            here.proxy.close()

    asyncio.run(asyncio.wait_for(play(), 20))


def test_what_a_path_holds_back_comes_when_it_is_well() -> None:
    async def play() -> None:
        async with harness.party(lambda *_: harness.OK) as (server, seen):
            here = await path(PathFault.STALL, server)
            asking = asyncio.create_task(here.ask())
            while not here.proxy.arrivals or here.proxy.arrivals[min(here.proxy.arrivals)].last < 0:
                await asyncio.sleep(0.001)
            assert not seen.requests
            here.proxy.end()
            await asking
            assert len(seen.requests) == 1
            here.writer.close()
            here.proxy.close()

    asyncio.run(asyncio.wait_for(play(), 20))


def test_a_path_ends_connections_under_what_is_sent() -> None:
    async def play() -> None:
        async with harness.party(lambda *_: harness.OK) as (server, _):
            here = await path(PathFault.RESET, server)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                while True:
                    await here.ask()
            here.proxy.close()

    asyncio.run(asyncio.wait_for(play(), 20))
