"""Requests that a client writes behind each other, and a server that records what reaches it.

The client knows every byte that it has sent under an id. The server's answer names the id and the digest of
what it received, so that both sides of a mix-up show: changed requests, and answers of another request.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import random
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

from tests import harness

TIME_LEFT = "20"  # s; no request of a scene is given up for its time
MAX_BODY = 64 * 1024  # bytes
MAX_PARTS = 6  # in which a batch is written, at most


def digest_of(method: str, target: str, body: bytes) -> str:
    """Identifies a request by all that a server must get unchanged."""
    return hashlib.sha256(b"%s %s\n" % (method.encode(), target.encode()) + body).hexdigest()[:16]


def encode_chunks(body: bytes, sizes: tuple[int, ...]) -> bytes:
    """Returns a chunked body; its chunks take the sizes in turn."""
    encoded, position, next_sizes = bytearray(), 0, itertools.cycle(sizes)
    while position < len(body):
        chunk = body[position : position + next(next_sizes)]
        encoded += b"%x\r\n%s\r\n" % (len(chunk), chunk)
        position += len(chunk)
    return bytes(encoded + b"0\r\n\r\n")


@dataclass(frozen=True)
class Message:
    """A request as its client means it."""

    method: str
    target: str
    body: bytes = b""
    chunk_sizes: tuple[int, ...] = ()  # of a chunked body; empty: its length is stated
    extra_fields: str = ""  # of its head, complete lines
    time_left: str = TIME_LEFT

    def digest(self) -> str:
        return digest_of(self.method, self.target, self.body)

    def encode(self, correlation_id: str, account: int) -> bytes:
        """Returns its bytes as a client writes them."""
        fields = self.extra_fields + ("Transfer-Encoding: chunked\r\n" if self.chunk_sizes else "")
        head = harness.request(self.method, self.target, b"", fields, self.time_left, correlation_id).replace(
            b"customer=00000000b4d65521", b"customer=%016x" % account
        )
        if self.chunk_sizes:
            return head + encode_chunks(self.body, self.chunk_sizes)
        if self.body:
            head = head[:-2] + b"Content-Length: %d\r\n\r\n" % len(self.body)
        return head + self.body


def get(number: int = 0) -> Message:
    return Message("GET", f"/stock-check/{number}?part={number}")


def post(size: int, *chunk_sizes: int, number: int = 0) -> Message:
    """A POST whose body differs from place to place, so that a stretch that has moved shows."""
    body = b"".join(b"%08d" % (number * 1_000_003 + place) for place in range(size // 8 + 1))[:size]
    return Message("POST", f"/place-order/{number}", body, chunk_sizes)


def draw_message(rng: random.Random, number: int) -> Message:
    """A request of a drawn kind, size and framing."""
    if rng.random() < 0.35:
        return get(number)
    size = rng.choice([0, 5, rng.randint(1, 2500), rng.randint(1, 20_000), rng.randint(1, MAX_BODY)])
    if size and rng.random() < 0.3:
        return post(size, *(rng.choice([1, 7, 200, 3000, 20_000]) for _ in range(3)), number=number)
    return post(size, number=number)


def pieces(data: bytes, rng: random.Random) -> Iterator[bytes]:
    """Cuts a batch at drawn places."""
    cuts = sorted(rng.sample(range(1, len(data)), min(len(data) - 1, rng.randint(0, MAX_PARTS))))
    for start, end in itertools.pairwise([0, *cuts, len(data)]):
        yield data[start:end]


@dataclass
class Exchanges:
    """What clients have sent, and the faults that were found."""

    sent: dict[str, Message] = field(default_factory=dict)
    received: dict[str, int] = field(default_factory=dict)  # how often an id has reached the server
    faults: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    times_left: list[str] = field(default_factory=list)  # as the server was told them

    def receive(self, method: str, target: str, correlation_id: str, body: bytes) -> bytes:
        """Checks a request at the server; returns the body of its answer."""
        received = Message(method, target, body)
        self.received[correlation_id] = self.received.get(correlation_id, 0) + 1
        if correlation_id not in self.sent:
            self.faults.append(f"no client has sent {correlation_id}")
        elif received.digest() != self.sent[correlation_id].digest():
            self.faults.append(f"{correlation_id} was changed: {method} {target}, {len(body)} bytes")
        return f"{correlation_id} {received.digest()}".encode()

    def check_answer(self, correlation_id: str, status: int, body: bytes) -> None:
        """Checks an answer at the client that has sent this id."""
        self.statuses.append(status)
        expected = f"{correlation_id} {self.sent[correlation_id].digest()}".encode()
        if status == 200 and body != expected:
            self.faults.append(f"{correlation_id} got the answer {body[:80]!r}")


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Reads a request or an answer in either framing; returns its head and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    if b"transfer-encoding: chunked" not in lines:
        length = next((int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length:")), 0)
        return head, await reader.readexactly(length)
    body = bytearray()
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return head, bytes(body)


def field_value(head: bytes, name: bytes) -> str:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name + b":"):
            return line.split(b":", 1)[1].strip().decode()
    return ""


@contextlib.asynccontextmanager
async def checking_server(exchanges: Exchanges, answer_delay: float = 0.0) -> AsyncIterator[str]:
    """Runs a server that checks what it receives; yields its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(EOFError, OSError, ValueError):
            while True:
                head, body = await read_message(reader)
                method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
                answer = exchanges.receive(method, target, field_value(head, b"x-correlation-id"), body)
                exchanges.times_left.append(field_value(head, b"x-time-left"))
                await asyncio.sleep(answer_delay)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


@contextlib.asynccontextmanager
async def checked_ingress(exchanges: Exchanges, answer_delay: float = 0.0) -> AsyncIterator[harness.Ingress]:
    """Runs an ingress in front of a server that checks what it receives."""
    async with (
        checking_server(exchanges, answer_delay) as server,
        harness.stand_in(harness.counter()) as (counter, _),
        harness.stand_in(harness.no_response) as (agent, __),
        harness.ready_ingress(server, counter, agent) as ingress,
    ):
        yield ingress


class PipeliningClient:
    """A client's connection on which requests are written without waiting for answers."""

    def __init__(
        self, exchanges: Exchanges, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
    ) -> None:
        self.exchanges, self.reader, self.writer, self.name = exchanges, reader, writer, name
        self.numbers = itertools.count()

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(
        cls, exchanges: Exchanges, address: tuple[str, int], name: str
    ) -> AsyncIterator[PipeliningClient]:
        """Opens a connection; what goes wrong on it is noted as a fault."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            yield cls(exchanges, reader, writer, name)
        except (TimeoutError, EOFError, OSError, ValueError) as error:
            exchanges.faults.append(f"{name}: {error!r}")
        finally:
            writer.close()

    def encode(self, messages: list[Message]) -> tuple[list[str], bytes]:
        """Gives each message an id; returns the ids and the bytes of the batch."""
        ids, data = list[str](), bytearray()
        for message in messages:
            correlation_id = f"{self.name}-{next(self.numbers)}"
            self.exchanges.sent[correlation_id] = message
            ids.append(correlation_id)
            data += message.encode(correlation_id, len(self.exchanges.sent))
        return ids, bytes(data)

    async def read_answers(self, ids: list[str]) -> None:
        """Reads and checks one answer for each id, in order."""
        for correlation_id in ids:
            head, body = await asyncio.wait_for(read_message(self.reader), 20)
            self.exchanges.check_answer(correlation_id, int(head[9:12]), body)

    async def exchange(self, messages: list[Message], rng: random.Random | None = None) -> None:
        """Writes a batch, at once or in pieces, and checks its answers."""
        ids, data = self.encode(messages)
        for piece in [data] if rng is None else pieces(data, rng):
            self.writer.write(piece)
            await self.writer.drain()
            await asyncio.sleep(0)
        await self.read_answers(ids)
