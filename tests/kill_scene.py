"""A scene for tests of SIGKILL: an ingress that is asked to stop, with requests in every state."""

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

CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
BUFFERED_SIZE = 60_000  # bytes of an answer that is buffered
STREAMED_SIZE = 3_000_000  # bytes of an answer that is streamed
SLOW_ANSWER_DELAY = 0.2  # s
SENT_PART = 200_000  # bytes of the streamed answer that the server sends


def kill_delay(deadline: float) -> float:
    """Seconds between SIGTERM and the earliest SIGKILL, as the platform documents them."""
    return min(deadline, 3.0) + 0.7


def settings(deadline: float) -> dict[str, Any]:
    """Settings of a deployment with the given longest deadline (s)."""
    classes = [{**row, "aim": deadline / 4, "deadline": deadline} for row in harness.SETTINGS["classes"]]
    return {**harness.SETTINGS, "classes": classes}


async def slow_answer(delay: float) -> bytes:
    """An answer that comes after `delay` seconds."""
    await asyncio.sleep(delay)
    return harness.OK


def server_script(request: bytes, writer: asyncio.StreamWriter) -> Any:
    """Answers a request according to its id."""
    if b"Id: warm" in request:
        return harness.OK
    if b"Id: slow" in request:
        return slow_answer(SLOW_ANSWER_DELAY)
    if b"Id: begun" in request:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    elif b"Id: streamed" in request:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % STREAMED_SIZE + b"s" * SENT_PART)
    elif b"Id: big" in request:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BUFFERED_SIZE + b"b" * BUFFERED_SIZE
    return None


@dataclass
class SceneClient:
    """A client connection and all that was received over it."""

    name: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    received: bytearray = field(default_factory=bytearray)
    ended_at: float | None = None
    complete_at: float | None = None
    reset: bool = False
    task: asyncio.Task[None] | None = None

    def start_reading(self) -> None:
        """Receives in the background from now on."""
        self.task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await self.reader.read(65_536):
                self.received += data
                if self.complete_at is None and self.is_complete():
                    self.complete_at = loop.time()
        except ConnectionError:
            self.reset = True
        self.ended_at = loop.time()

    def is_complete(self) -> bool:
        """Whether a complete answer has been received."""
        head, end, body = bytes(self.received).partition(b"\r\n\r\n")
        length = CONTENT_LENGTH.search(head)
        return bool(end) and length is not None and len(body) >= int(length[1])

    @property
    def status(self) -> int:
        """The status of the answer; 0 if there is none."""
        return int(self.received[9:12]) if self.received.startswith(b"HTTP/1.1 ") else 0

    def send(self, data: bytes) -> None:
        """Sends raw data."""
        self.writer.write(data)

    async def wait_closed(self) -> None:
        """Waits until the ingress has closed the connection."""
        assert self.task is not None
        await asyncio.wait_for(self.task, 20)
        self.writer.close()


@dataclass
class Termination:
    """A process that has been sent SIGTERM, and its clients."""

    ingress: harness.Ingress
    terminated_at: float  # loop time
    kill_at: float
    clients: dict[str, SceneClient] = field(default_factory=dict)

    async def wait_until(self, delay: float) -> None:
        """Waits until `delay` seconds after SIGTERM."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.terminated_at + delay - loop.time())

    async def finish(self) -> None:
        """Sends SIGKILL at the earliest moment, then waits until all clients have received what was sent."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, self.kill_at - loop.time())):
                await self.ingress.process.wait()
        if self.ingress.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.ingress.process.send_signal(signal.SIGKILL)
        for client in self.clients.values():
            await client.wait_closed()


class KillScene:
    """An ingress with clients whose connections it has accepted."""

    def __init__(
        self,
        ingress: harness.Ingress,
        deadline: float,
        ingress_arguments: tuple[Any, ...],
        server: harness.Received,
    ) -> None:
        self.ingress, self.deadline, self.server = ingress, deadline, server
        self.ingress_arguments = ingress_arguments  # to start another process of the ingress
        self.clients: dict[str, SceneClient] = {}

    async def connect(self, *names: str) -> None:
        """Opens a connection for each name and has one request answered on it."""
        for name in names:
            await self.connect_with(f"warm-{name}", name)

    async def connect_with(self, correlation_id: str, name: str) -> None:
        """Opens a connection and has a request of this id answered on it."""
        client = await self.open_client(name)
        client.send(harness.request("GET", "/stock-check", correlation_id=correlation_id))
        assert b" 200 " in await harness.read_request(client.reader)
        client.start_reading()

    def was_sent(self, name: str) -> bool:
        """Whether the server has received the head of the request that `send_request` sent."""
        id_line = b"X-Correlation-Id: %s\r\n" % name.encode()
        return any(id_line in head for head in self.server.heads)

    async def open_client(self, name: str) -> SceneClient:
        """Opens a connection without a request."""
        reader, writer = await asyncio.open_connection(*self.ingress.address)
        client = self.clients[name] = SceneClient(name, reader, writer)
        return client

    def send_request(self, name: str, headers: str = "", body: bytes = b"x") -> None:
        """Sends a request that must not run twice, with the longest time left that the deployment allows."""
        data = harness.request(
            "POST", "/place-order", body, headers, time_left=f"{self.deadline}", correlation_id=name
        )
        self.clients[name].send(data)

    def terminate(self) -> Termination:
        """Sends SIGTERM to the ingress."""
        loop = asyncio.get_running_loop()
        self.ingress.process.send_signal(signal.SIGTERM)
        terminated_at = loop.time()
        return Termination(
            self.ingress, terminated_at, terminated_at + kill_delay(self.deadline), self.clients
        )


@contextlib.asynccontextmanager
async def scene(
    deadline: float, successor: bool, counter: harness.Responder | None = None
) -> AsyncIterator[tuple[KillScene, Any]]:
    """Yields an ingress and a context manager that starts its successor (empty without `successor`)."""
    with socket.socket() as listener, tempfile.TemporaryDirectory() as folder:
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        shared_listener = listener if successor else None
        async with (
            harness.stand_in(server_script) as (server_address, server),
            harness.stand_in(counter or harness.counter()) as (counter_address, _),
            harness.stand_in(harness.no_response) as (list_address, _),
        ):
            ingress_arguments = (
                server_address,
                counter_address,
                list_address,
                shared_listener,
                folder,
                0,
                settings(deadline),
            )
            async with harness.ready_ingress(*ingress_arguments) as ingress:
                successor_ingress = (
                    harness.ready_ingress(*ingress_arguments) if successor else contextlib.nullcontext()
                )
                yield KillScene(ingress, deadline, ingress_arguments, server), successor_ingress
