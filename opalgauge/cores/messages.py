"""What the guardian and its workers say to each other, and how it is framed.

Between guardian and worker: a message a packet (SOCK_SEQPACKET), a descriptor beside it where one goes along.
Between workers: messages one behind another on a stream, each behind its length (u32, little-endian).
msgspec encodes them; both ends are the same program, and what cannot be read ends the channel.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

MAX_PACKET = 96 * 1024  # bytes: the longest body and what goes with it
MAX_UNSENT = 4096  # packets that wait for the other side to read


class Message(msgspec.Struct, array_like=True, tag=True):
    """Times are ns of the monotonic clock, which is one on a machine."""


# --- guardian to worker
class Start(Message, tag=1):
    """A life begins. Beside it: a file with the settings as JSON; `environ`: what wins over them."""

    worker: int
    generation: int
    workers: int
    slots: int
    stall_after_ns: int
    environ: dict[str, str]
    log_form: str
    draining: bool


class AssignConnection(Message, tag=2):
    """A client's connection; its descriptor comes beside the message. `consumed`: bytes that other workers
    have read from it, all of them of requests that have their answers."""

    slot: int
    consumed: int


class OpenLink(Message, tag=3):
    """A connection to another worker; its descriptor comes beside the message."""

    worker: int
    generation: int


class MembershipUpdate(Message, tag=4):
    version: int
    members: list[int]
    split: dict[int, int]
    initial: bool


class Reload(Message, tag=5):
    """New settings; beside it a file with them, as with Start."""

    environ: dict[str, str]


class Drain(Message, tag=6):
    pass


class AcceptingStopped(Message, tag=7):
    """No more clients will come."""


class Leave(Message, tag=8):
    pass


# --- worker to guardian
class ReportReady(Message, tag=20):
    servers: int


class ConnectionClosed(Message, tag=21):
    """A client's connection has ended here."""

    slot: int


class ReportDrained(Message, tag=22):
    pass


class ReportLoad(Message, tag=23):
    """Requests since the last such message, and the busiest accounts: account, requests, most parts."""

    total: int
    busiest: list[tuple[int, int, int]]


class OrphansHeld(Message, tag=24):
    """What a worker that is no more had passed here and still waits for its answer: slot and tag."""

    worker: int
    generation: int
    held: list[tuple[int, int]]


class OrphanAnswer(Message, tag=25):
    """The answer to one of those, or to one whose answer may not have been read any more."""

    slot: int
    sequence: int
    status: int
    body: bytes
    content_type: str
    retry_ms: int


# --- worker to worker
class ForwardRequest(Message, tag=40):
    request: int
    slot: int
    sequence: int
    deadline_ns: int
    method: str
    target: str
    correlation: str
    headers: list[tuple[str, str]]
    body: bytes
    request_class: int
    plan: int
    account: int
    units: float
    spread: int
    first: int
    repeat: bool


class CancelRequest(Message, tag=41):
    request: int


class ForwardedAnswer(Message, tag=42):
    request: int
    status: int
    body: bytes
    content_type: str
    retry_ms: int


ToWorker = Start | AssignConnection | OpenLink | MembershipUpdate | Reload | Drain | AcceptingStopped | Leave
ToSupervisor = ReportReady | ConnectionClosed | ReportDrained | ReportLoad | OrphansHeld | OrphanAnswer
BetweenWorkers = ForwardRequest | CancelRequest | ForwardedAnswer

encode = msgspec.msgpack.Encoder().encode


class Channel:
    """One end of a packet channel on an event loop.

    `on_closed` is told once, when the other end is no more.
    """

    def __init__(
        self,
        sock: socket.socket,
        message_types: Any,
        on_message: Callable[[Any, int | None], None],
        on_closed: Callable[[], None],
    ) -> None:
        self.sock, self.on_message, self.on_closed = sock, on_message, on_closed
        self.decode = msgspec.msgpack.Decoder(message_types).decode
        self.loop = asyncio.get_running_loop()
        self.unsent: deque[tuple[bytes, int | None]] = deque()
        self.closed = False
        sock.setblocking(False)
        self.loop.add_reader(sock.fileno(), self._read)

    def send(self, message: Message, fd: int | None = None) -> bool:
        """Sends a message, now or when the other end reads again; False: it will not arrive.

        With `fd` it is now or never: a descriptor is not kept waiting for an end that does not read.
        """
        if self.closed:
            return False
        data = encode(message)
        if self.unsent:
            if fd is not None or len(self.unsent) >= MAX_UNSENT:
                return False
            self.unsent.append((data, fd))
            return True
        try:
            self._send(data, fd)
        except (BlockingIOError, InterruptedError):
            if fd is not None:
                return False
            self.unsent.append((data, fd))
            self.loop.add_writer(self.sock.fileno(), self._write)
        except OSError:
            return False  # its end is read soon
        return True

    def _send(self, data: bytes, fd: int | None) -> None:
        if fd is None:
            self.sock.send(data)
        else:
            socket.send_fds(self.sock, [data], [fd])

    def _write(self) -> None:
        try:
            while self.unsent:
                self._send(*self.unsent[0])
                self.unsent.popleft()
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.unsent.clear()
        self.loop.remove_writer(self.sock.fileno())

    def _read(self) -> None:
        while not self.closed:
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, MAX_PACKET, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.close()
                self.on_closed()
                return
            self.on_message(self.decode(data), fds[0] if fds else None)

    def read_remaining(self) -> None:
        """Hears all that the other end said before it ended."""
        self._read()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.sock.fileno())
            if self.unsent:
                self.loop.remove_writer(self.sock.fileno())
            self.sock.close()


class WorkerLink(asyncio.Protocol):
    """One end of a link between workers: framed messages both ways, in order."""

    def __init__(
        self,
        on_message: Callable[[WorkerLink, Any], None],
        on_closed: Callable[[WorkerLink], None],
        worker: int,
        generation: int,
    ) -> None:
        self.on_message, self.on_closed, self.worker, self.generation = (
            on_message,
            on_closed,
            worker,
            generation,
        )
        self.decode = msgspec.msgpack.Decoder(BetweenWorkers).decode
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]

    def send(self, message: Message) -> None:
        if self.transport is not None:
            data = encode(message)
            self.transport.write(len(data).to_bytes(4, "little") + data)

    def data_received(self, data: bytes) -> None:
        buffer = self.buffer
        buffer += data
        start = 0
        while len(buffer) - start >= 4:
            end = start + 4 + int.from_bytes(buffer[start : start + 4], "little")
            if len(buffer) < end:
                break
            message = self.decode(bytes(buffer[start + 4 : end]))
            start = end
            self.on_message(self, message)
        del buffer[:start]

    def connection_lost(self, exc: BaseException | None) -> None:
        self.transport = None
        self.on_closed(self)
