"""Clients that leave with much unread, and whose requests come again under the same id."""

from __future__ import annotations

import asyncio

import pytest

from tests import harness
from tests.test_long_bodies import ingress_with, send_request


@pytest.mark.parametrize(
    ("method", "target", "status", "times_run"),
    [("GET", "/stock-check", b"200", 2), ("POST", "/place-order", b"502", 1)],
)
def test_an_id_that_comes_again_after_its_client_has_left(
    method: str, target: str, status: bytes, times_run: int
) -> None:
    """Guards against an id that is taken for open, or runs twice, after its client has left."""

    async def scenario() -> None:
        received = asyncio.Queue[bytes]()
        count = 0

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal count
            while True:
                await received.put(await harness.read_request(reader))
                count += 1
                if count > 1:
                    writer.write(harness.OK)

        async with ingress_with(script) as ingress:
            request = harness.request(method, target)
            _, writer = await send_request(ingress, request)
            await received.get()
            for number in range(12):
                writer.write(
                    harness.request("POST", "/place-order", bytes(1500), correlation_id=f"b{number}")
                )
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            answer = await ingress.exchange(request)
            assert answer.split(b" ")[1] == status
            assert count == times_run

    asyncio.run(scenario())
