"""A request keeps its id while its streamed answer is on its way, and gives it back at each end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import pytest

from opalgauge.memory import events
from starlinggap.interface import End
from tests import harness
from tests.reducer_rig import CHECK, SETTINGS, ReducerRig
from tests.test_duplicate_ids import repeat_of

FIRST_PART, REST = b"a" * 150_000, b"b" * 50_000
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(FIRST_PART + REST),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class LongAnswer:
    """A server's answer in this framing, of which the rest is written once a test says so."""

    framing: str
    may_end: asyncio.Event = field(default_factory=asyncio.Event)
    breaks_off: bool = False  # in place of the rest

    def encode(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self.framing == "chunks" else data

    async def respond(self, _: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[self.framing] + self.encode(FIRST_PART))
        await self.may_end.wait()
        if self.breaks_off:
            writer.transport.abort()
            return
        writer.write(self.encode(REST) + (b"0\r\n\r\n" if self.framing == "chunks" else b""))
        if self.framing == "close":
            writer.close()


@dataclass
class Scene:
    ingress: harness.Ingress
    answer: LongAnswer
    reader: asyncio.StreamReader  # of the client whose answer is on its way
    writer: asyncio.StreamWriter
    request: bytes
    arrived: list[bytes]

    async def copy_status(self) -> int:
        """The status of a copy of the request; its answer may be long as well."""
        reader, writer = await asyncio.open_connection(*self.ingress.address)
        writer.write(self.request)
        try:
            return int((await asyncio.wait_for(reader.readuntil(harness.HEAD_END), 10)).split(b" ")[1])
        finally:
            writer.close()

    async def copy_status_once_free(self) -> int:
        """The status of the first copy that is not answered as a duplicate."""
        for _ in range(200):
            if (status := await self.copy_status()) != 400:
                return status
            await asyncio.sleep(0.01)
        return 400


def play(framing: str, method: str, scenario: Callable[[Scene], Awaitable[None]]) -> None:
    """Plays a scenario that begins once a client has had the first part of a long answer."""

    async def run() -> None:
        answer = LongAnswer(framing)
        target = "/place-order" if method == "POST" else "/stock-check"
        async with (
            harness.stand_in(answer.respond) as (server, received),
            harness.stand_in(harness.counter()) as (counter, _),
            harness.stand_in(harness.no_response) as (agent, __),
            harness.ready_ingress(server, counter, agent) as ingress,
        ):
            request = harness.request(method, target)
            reader, writer = await asyncio.open_connection(*ingress.address)
            writer.write(request)
            await reader.readuntil(harness.HEAD_END)
            await reader.readexactly(len(FIRST_PART) // 2)
            await scenario(Scene(ingress, answer, reader, writer, request, received.requests))
            writer.close()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("framing", list(HEADS))
def test_a_copy_does_not_run_while_a_long_answer_is_on_its_way(framing: str, method: str) -> None:
    """Guards against an id that is free from the first byte of its answer on."""

    async def scenario(scene: Scene) -> None:
        copies = await asyncio.gather(*(scene.copy_status() for _ in range(5)))
        assert (copies, len(scene.arrived)) == ([400] * 5, 1)
        scene.answer.may_end.set()
        rest = b""
        while rest.count(b"b") < len(REST):
            rest += await asyncio.wait_for(scene.reader.read(65_536), 5)
        assert await scene.copy_status_once_free() == 200, "the id is given back with the last byte"

    play(framing, method, scenario)


@pytest.mark.parametrize("resets", [True, False])
def test_an_order_does_not_run_again_if_its_client_leaves_in_its_long_answer(resets: bool) -> None:
    """Guards against an order's id that is forgotten as its client leaves, though the order has run."""

    async def scenario(scene: Scene) -> None:
        sock = scene.writer.get_extra_info("socket")
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        scene.writer.transport.abort()
        assert await scene.copy_status_once_free() == 502
        assert len(scene.arrived) == 1

    play("length", "POST", scenario)


def test_a_check_may_come_again_after_its_client_has_left_in_its_long_answer() -> None:
    """Guards against an id that a client's departure does not give back."""

    async def scenario(scene: Scene) -> None:
        scene.writer.transport.abort()
        assert await scene.copy_status_once_free() == 200

    play("length", "GET", scenario)


@pytest.mark.parametrize(("method", "status"), [("POST", 502), ("GET", 200)])
def test_an_id_after_its_server_has_broken_off_a_long_answer(method: str, status: int) -> None:
    """Guards against an order that runs again, and a check whose id is kept, after a server's failure."""

    async def scenario(scene: Scene) -> None:
        scene.answer.breaks_off = True
        scene.answer.may_end.set()
        with contextlib.suppress(ConnectionError):
            while await scene.reader.read(65_536):
                pass
        scene.answer.breaks_off = False
        assert await scene.copy_status_once_free() == status

    play("chunks", method, scenario)


def test_an_id_is_kept_while_an_attempt_is_out_that_is_not_called_off() -> None:
    """Guards against a copy beside an attempt that goes on behind its request's last answer."""
    rig = ReducerRig(settings=replace(SETTINGS, allow_cancel=False))
    earlier = rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.ClientDisconnected(earlier))
    rig.step(repeat_of(earlier, CHECK, 100))
    assert [(answer.request_id, answer.status) for answer in rig.answers] == [(100, 400)]
    rig.step(events.ServerAnswered(connection_id, End.OK, True, b""))
    rig.step(repeat_of(earlier, CHECK, 101))
    assert 101 in rig.reducer.state.requests
