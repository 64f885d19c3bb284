"""Servers are told no more time than clients have, after a process has not run for a while."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import time

import pytest

from tests import harness

CLIENTS, ORDERS = 8, 3  # orders that each client writes at once
TIME_LEFT = 2.0  # s, of each order when it is written
SLACK = 0.15  # s by which servers may be told too much
ID = re.compile(rb"X-Correlation-Id: (\S+)")
TIME_TOLD = re.compile(rb"X-Time-Left: ([0-9.]+)")


async def time_told_too_much(stall: float, new_connections: bool, pad: int) -> dict[str, float]:
    """Seconds by which servers are told too much, by request; `pad` bytes of a header lengthen each."""
    too_much: dict[str, float] = {}
    written_at = 0.0

    def respond(request: bytes, _: asyncio.StreamWriter) -> bytes:
        found, told = ID.search(request), TIME_TOLD.search(request)
        assert found is not None and told is not None
        left = TIME_LEFT - (time.monotonic() - written_at)
        too_much[found[1].decode()] = float(told[1]) - left
        return harness.OK

    def order(name: str) -> bytes:
        return harness.request(
            "POST", "/place-order", time_left=str(TIME_LEFT), correlation_id=name,
            extra_headers=f"X-Pad: {'p' * pad}\r\n",
        )  # fmt: skip

    async with contextlib.AsyncExitStack() as stack:
        server, _ = await stack.enter_async_context(harness.stand_in(respond))
        counter, _ = await stack.enter_async_context(harness.stand_in(harness.counter()))
        agent, _ = await stack.enter_async_context(harness.stand_in(harness.no_response))
        ingress = await stack.enter_async_context(harness.ready_ingress(server, counter, agent))
        connections = []
        if not new_connections:
            connections = [await asyncio.open_connection(*ingress.address) for _ in range(CLIENTS)]
            for number, (reader, writer) in enumerate(connections):
                writer.write(harness.request("GET", "/stock-check", correlation_id=f"first-{number}"))
                await harness.read_request(reader)
        too_much.clear()
        ingress.process.send_signal(signal.SIGSTOP)
        if new_connections:
            connections = [await asyncio.open_connection(*ingress.address) for _ in range(CLIENTS)]
        written_at = time.monotonic()
        for client, (_, writer) in enumerate(connections):
            writer.write(b"".join(order(f"order-{client}-{number}") for number in range(ORDERS)))
        await asyncio.sleep(stall)
        ingress.process.send_signal(signal.SIGCONT)
        for reader, writer in connections:
            for _ in range(ORDERS):
                await asyncio.wait_for(harness.read_request(reader), 10)
            writer.close()
    return too_much


@pytest.mark.parametrize("new_connections", [True, False])
@pytest.mark.parametrize(("stall", "pad"), [(0.6, 0), (1.0, 1000)])
def test_a_stall_is_deducted_from_each_request_that_waited(
    stall: float, pad: int, new_connections: bool
) -> None:
    """Guards against a request whose time starts as it is read, though it waited in the kernel."""
    found = asyncio.run(asyncio.wait_for(time_told_too_much(stall, new_connections, pad), 60))
    assert found and {name: told for name, told in found.items() if told > SLACK} == {}
