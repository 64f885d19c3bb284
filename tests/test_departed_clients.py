"""Clients that leave with much unread, and whose requests come again under the same id."""

from __future__ import annotations

import asyncio
import contextlib
import socket

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


@pytest.mark.parametrize(
    ("method", "target", "status", "times_run"),
    [("GET", "/stock-check", b"200", 2), ("POST", "/place-order", b"502", 1)],
)
def test_an_id_that_comes_again_after_a_close_behind_more_than_the_kernel_takes(
    method: str, target: str, status: bytes, times_run: int
) -> None:
    """Guards against an id taken for open whose client's end stands behind bytes that nobody reads."""

    async def scenario() -> None:
        received = asyncio.Queue[bytes]()
        is_answering = False

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await received.put(await harness.read_request(reader))
                if is_answering:
                    writer.write(harness.OK)

        async with ingress_with(script) as ingress:
            request = harness.request(method, target)
            with contextlib.closing(socket.create_connection(ingress.address)) as departing:
                departing.sendall(request)
                first = await asyncio.wait_for(received.get(), 20)
                assert b"9b1f03aa5c7e2d41" in first
                departing.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    while True:
                        departing.send(
                            harness.request("POST", "/place-order", bytes(60_000), correlation_id="b")
                        )
            is_answering = True
            await asyncio.sleep(0.01)
            assert (await ingress.exchange(request)).split(b" ")[1] == status
            assert received.qsize() == times_run - 1

    asyncio.run(scenario())


def test_an_id_that_comes_again_while_its_client_waits_is_refused_and_ends_that_clients_connection() -> None:
    """Guards against two answers to one id, and against requests that run after some were dropped."""

    async def scenario() -> None:
        received = asyncio.Queue[bytes]()
        may_answer = asyncio.Event()

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await received.put(await harness.read_request(reader))
                await may_answer.wait()
                writer.write(harness.OK)

        async with ingress_with(script) as ingress:
            request = harness.request("GET", "/stock-check", time_left="1.2")
            reader, writer = await send_request(ingress, request)
            await received.get()
            for number in range(40):
                writer.write(
                    harness.request("POST", "/place-order", bytes(60_000), correlation_id=f"b{number}")
                )
            assert (await ingress.exchange(request)).split(b" ")[1] == b"400"
            may_answer.set()
            answer = await harness.read_request(reader)
            assert answer.split(b" ")[1] == b"200" and b"connection: close" in answer.lower()
            with contextlib.suppress(ConnectionError):
                assert not await asyncio.wait_for(reader.read(), 20)
            assert received.empty()

    asyncio.run(scenario())
