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

MOST_PACKET = 96 * 1024  # bytes: the longest body and what goes with it
MOST_UNSENT = 4096  # packets that wait for the other side to read


class Message(msgspec.Struct, array_like=True, tag=True):
    """Times are ns of the monotonic clock, which is one on a machine."""


# --- guardian to worker
class Start(Message, tag=1):
    """A life begins. Beside it: a file with the settings as JSON; `environ`: what wins over them."""

    seat: int
    life: int
    workers: int
    slots: int
    stall_ns: int
    environ: dict[str, str]
    log: str
    draining: bool


class Deal(Message, tag=2):
    """A client's connection; its descriptor comes beside the message. `consumed`: bytes that other workers
    have read from it, all of them of requests that have their answers."""

    slot: int
    consumed: int


class Link(Message, tag=3):
    """A connection to another worker; its descriptor comes beside the message."""

    peer: int
    life: int


class RosterIs(Message, tag=4):
    version: int
    members: list[int]
    split: dict[int, int]
    fresh: bool


class Reload(Message, tag=5):
    """New settings; beside it a file with them, as with Start."""

    environ: dict[str, str]


class Drain(Message, tag=6):
    pass


class Closed(Message, tag=7):
    """No more clients will come."""


class Leave(Message, tag=8):
    pass


# --- worker to guardian
class IsReady(Message, tag=20):
    nodes: int


class Gone(Message, tag=21):
    """A client's connection has ended here."""

    slot: int


class IsDone(Message, tag=22):
    pass


class Took(Message, tag=23):
    """Requests since the last such message, and the busiest accounts: account, requests, most parts."""

    total: int
    busiest: list[tuple[int, int, int]]


class Orphans(Message, tag=24):
    """What a worker that is no more had passed here and still waits for its answer: slot and tag."""

    seat: int
    life: int
    held: list[tuple[int, int]]


class OrphanAnswer(Message, tag=25):
    """The answer to one of those, or to one whose answer may not have been read any more."""

    slot: int
    tag: int
    status: int
    body: bytes
    content_type: str
    retry_ms: int


# --- worker to worker
class Pass(Message, tag=40):
    order: int
    slot: int
    tag: int
    until: int
    method: str
    target: str
    correlation: str
    content: list[tuple[str, str]]
    body: bytes
    kind: int
    tariff: int
    account: int
    units: float
    spread: int
    first: int
    repeat: bool


class Recall(Message, tag=41):
    order: int


class Back(Message, tag=42):
    order: int
    status: int
    body: bytes
    content_type: str
    retry_ms: int


ToWorker = Start | Deal | Link | RosterIs | Reload | Drain | Closed | Leave
ToGuardian = IsReady | Gone | IsDone | Took | Orphans | OrphanAnswer
Between = Pass | Recall | Back

encode = msgspec.msgpack.Encoder().encode


class Channel:
    """One end of a packet channel on an event loop. `gone` is told once, when the other end is no more."""

    def __init__(
        self,
        sock: socket.socket,
        kinds: Any,
        heard: Callable[[Any, int | None], None],
        gone: Callable[[], None],
    ) -> None:
        self.sock, self.heard, self.gone = sock, heard, gone
        self.decode = msgspec.msgpack.Decoder(kinds).decode
        self.loop = asyncio.get_running_loop()
        self.unsent: deque[tuple[bytes, int | None]] = deque()
        self.over = False
        sock.setblocking(False)
        self.loop.add_reader(sock.fileno(), self._read)

    def say(self, message: Message, fd: int | None = None) -> bool:
        """Sends a message, now or when the other end reads again; False: it will not arrive.

        With `fd` it is now or never: a descriptor is not kept waiting for an end that does not read.
        """
        if self.over:
            return False
        data = encode(message)
        if self.unsent:
            if fd is not None or len(self.unsent) >= MOST_UNSENT:
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
        while not self.over:
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, MOST_PACKET, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.close()
                self.gone()
                return
            self.heard(self.decode(data), fds[0] if fds else None)

    def drain(self) -> None:
        """Hears all that the other end said before it ended."""
        self._read()

    def close(self) -> None:
        if not self.over:
            self.over = True
            self.loop.remove_reader(self.sock.fileno())
            if self.unsent:
                self.loop.remove_writer(self.sock.fileno())
            self.sock.close()


class Stream(asyncio.Protocol):
    """One end of a link between workers: framed messages both ways, in order."""

    def __init__(
        self, heard: Callable[[Stream, Any], None], gone: Callable[[Stream], None], peer: int, life: int
    ) -> None:
        self.heard, self.gone, self.peer, self.life = heard, gone, peer, life
        self.decode = msgspec.msgpack.Decoder(Between).decode
        self.transport: asyncio.Transport | None = None
        self.held = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]

    def say(self, message: Message) -> None:
        if self.transport is not None:
            data = encode(message)
            self.transport.write(len(data).to_bytes(4, "little") + data)

    def data_received(self, data: bytes) -> None:
        held = self.held
        held += data
        at = 0
        while len(held) - at >= 4:
            end = at + 4 + int.from_bytes(held[at : at + 4], "little")
            if len(held) < end:
                break
            message = self.decode(bytes(held[at + 4 : end]))
            at = end
            self.heard(self, message)
        del held[:at]

    def connection_lost(self, exc: BaseException | None) -> None:
        self.transport = None
        self.gone(self)
