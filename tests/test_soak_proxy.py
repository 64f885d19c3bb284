"""Tests the fault tests' proxies: they inject their faults and record when bytes arrived."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests import harness
from tests.soak.proxy import LATE_DIAL_DELAY, PATH_DELAY, ArrivalTimes, PathFault, Proxy

REQUEST = b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"


class ProxiedConnection:
    """A connection to a server, through a proxy."""

    def __init__(self, proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.proxy, self.reader, self.writer = proxy, reader, writer
        self.now = asyncio.get_running_loop().time

    def arrival(self) -> ArrivalTimes:
        (port,) = self.proxy.arrivals
        arrival = self.proxy.take_arrival(port)
        assert arrival is not None and self.proxy.take_arrival(port) is None, "each request is recorded once"
        return arrival

    async def round_trip(self) -> float:
        """Sends a request and returns the seconds until the answer."""
        start = self.now()
        self.writer.write(REQUEST)
        await harness.read_request(self.reader)
        return self.now() - start


async def connect_through(fault: PathFault, server: str) -> ProxiedConnection:
    loop = asyncio.get_running_loop()
    proxy = Proxy(server, loop.time, random.Random(1))
    await proxy.open()
    proxy.start_fault(fault)
    host, _, port = proxy.address.rpartition(":")
    return ProxiedConnection(proxy, *await asyncio.open_connection(host, int(port)))


@pytest.mark.parametrize("fault", [f for f in PathFault if f not in (PathFault.STALL, PathFault.RESET)])
def test_delayed_bytes_arrive_and_are_timed_when_sent(fault: PathFault) -> None:
    async def scenario() -> None:
        async with harness.stand_in(lambda *_: harness.OK) as (server, _):
            connection = await connect_through(fault, server)
            sent = connection.now()
            took = await connection.round_trip()
            min_duration = {PathFault.LATE_DIAL: LATE_DIAL_DELAY, PathFault.DELAY: 2 * PATH_DELAY}.get(
                fault, 0.0
            )
            assert took >= min_duration
            assert connection.arrival().last - sent < LATE_DIAL_DELAY / 2
            connection.writer.close()
            connection.proxy.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_stalled_bytes_arrive_after_the_stall() -> None:
    async def scenario() -> None:
        async with harness.stand_in(lambda *_: harness.OK) as (server, received):
            connection = await connect_through(PathFault.STALL, server)
            round_trip = asyncio.create_task(connection.round_trip())
            while (
                not connection.proxy.arrivals
                or connection.proxy.arrivals[min(connection.proxy.arrivals)].last < 0
            ):
                await asyncio.sleep(0.001)
            assert not received.requests
            connection.proxy.end_fault()
            await round_trip
            assert len(received.requests) == 1
            connection.writer.close()
            connection.proxy.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_reset_path_breaks_connections() -> None:
    async def scenario() -> None:
        async with harness.stand_in(lambda *_: harness.OK) as (server, _):
            connection = await connect_through(PathFault.RESET, server)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                while True:
                    await connection.round_trip()
            connection.proxy.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))
