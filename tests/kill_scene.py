"""A process that is asked to stop, a request in every state, and SIGKILL at the earliest instant."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import socket
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from tests import harness

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
BIG = 60_000  # bytes: an answer that is held whole
STREAMED = 3_000_000  # bytes: an answer that is passed on while it comes
HALF = 200_000  # bytes of it that the server gives


def kill_after(deadline: float) -> float:
    """Seconds between SIGTERM and the earliest SIGKILL, as the platform's page gives them."""
    return min(deadline, 3.0) + 0.7


def settings(deadline: float) -> dict[str, Any]:
    """A deployment whose longest deadline is the given one."""
    classes = [{**row, "aim": deadline / 4, "deadline": deadline} for row in harness.SETTINGS["classes"]]
    return {**harness.SETTINGS, "classes": classes}


def server_script(request: bytes, writer: asyncio.StreamWriter) -> bytes | None:
    """Answers by the request's id."""
    if b"Id: warm" in request:
        return harness.OK
    if b"Id: begun" in request:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    elif b"Id: streamed" in request:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % STREAMED + b"s" * HALF)
    elif b"Id: big" in request:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG + b"b" * BIG
    return None


@dataclass
class Client:
    """One client's connection, and all that came over it."""

    name: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    received: bytearray = field(default_factory=bytearray)
    ended_at: float | None = None
    whole_at: float | None = None
    reset: bool = False
    task: asyncio.Task[None] | None = None

    def follow(self) -> None:
        """From now on what comes is taken down."""
        self.task = asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await self.reader.read(65_536):
                self.received += data
                if self.whole_at is None and self.is_whole():
                    self.whole_at = loop.time()
        except ConnectionError:
            self.reset = True
        self.ended_at = loop.time()

    def is_whole(self) -> bool:
        head, end, body = bytes(self.received).partition(b"\r\n\r\n")
        length = LENGTH.search(head)
        return bool(end) and length is not None and len(body) >= int(length[1])

    @property
    def status(self) -> int:
        """Of its answer; 0 where there is none."""
        return int(self.received[9:12]) if self.received.startswith(b"HTTP/1.1 ") else 0

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    async def over(self) -> None:
        assert self.task is not None
        await asyncio.wait_for(self.task, 20)
        self.writer.close()


@dataclass
class Stop:
    """A process that has been sent SIGTERM."""

    ingress: harness.Ingress
    asked: float  # on the loop's clock
    kill: float
    clients: dict[str, Client] = field(default_factory=dict)

    async def at(self, after: float) -> None:
        """So many seconds after SIGTERM."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.asked + after - loop.time())

    async def end(self) -> None:
        """SIGKILL at the earliest, then all that the clients still get."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, self.kill - loop.time())):
                await self.ingress.process.wait()
        if self.ingress.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.ingress.process.send_signal(signal.SIGKILL)
        for client in self.clients.values():
            await client.over()


class Scene:
    """An ingress with clients on connections that it has proven to hold."""

    def __init__(self, ingress: harness.Ingress, deadline: float, parties: tuple[Any, ...]) -> None:
        self.ingress, self.deadline = ingress, deadline
        self.parties = parties  # by which another process of the same ingress is started
        self.clients: dict[str, Client] = {}

    async def connect(self, *names: str) -> None:
        """A connection for each name, over which one request was answered."""
        for name in names:
            client = await self.open(name)
            client.say(harness.request("GET", "/stock-check", correlation_id=f"warm-{name}"))
            assert b" 200 " in await harness.read_request(client.reader)
            client.follow()

    async def open(self, name: str) -> Client:
        reader, writer = await asyncio.open_connection(*self.ingress.address)
        client = self.clients[name] = Client(name, reader, writer)
        return client

    def place(self, name: str, more: str = "", body: bytes = b"x") -> None:
        """A request that must not run twice, whose client waits as long as the deployment lets it."""
        data = harness.request(
            "POST", "/place-order", body, more, time_left=f"{self.deadline}", correlation_id=name
        )
        self.clients[name].say(data)

    def stop(self) -> Stop:
        loop = asyncio.get_running_loop()
        self.ingress.process.send_signal(signal.SIGTERM)
        asked = loop.time()
        return Stop(self.ingress, asked, asked + kill_after(self.deadline), self.clients)


@contextlib.asynccontextmanager
async def scene(
    deadline: float, successor: bool, quota: harness.Responder | None = None
) -> AsyncIterator[tuple[Scene, Any]]:
    """An ingress, and what starts its successor: a context manager, void where there is to be none."""
    with socket.socket() as listener, tempfile.TemporaryDirectory() as scratch:
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        shared = listener if successor else None
        async with (
            harness.stand_in(server_script) as (node_at, _),
            harness.stand_in(quota or harness.counter()) as (quota_at, _),
            harness.stand_in(harness.no_response) as (list_at, _),
        ):
            parties = node_at, quota_at, list_at, shared, scratch, 0, settings(deadline)
            async with harness.ready_ingress(*parties) as ingress:
                second = harness.ready_ingress(*parties) if successor else contextlib.nullcontext()
                yield Scene(ingress, deadline, parties), second
