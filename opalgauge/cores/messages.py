"""The messages between the supervisor and its workers, and the channels that carry them.

Between supervisor and worker: one message per packet (SOCK_SEQPACKET), with a file descriptor attached where
a message needs one. Between workers: length-prefixed messages on a stream (u32, little-endian). Messages are
encoded with msgspec by position, each with a numeric tag; both ends always run the same program. An
undecodable message ends a link between workers.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

MAX_PACKET = 96 * 1024  # bytes: the longest body and its message fields
MAX_UNSENT = 4096  # packets queued while the other end does not read


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base of all messages. Times are ns of the monotonic clock, which all processes of a machine share."""


# --- supervisor to worker
class Start(Message, tag=1):
    """Starts a worker's generation. Attached: a file with the settings as JSON; `environ` overrides them.

    `slots` is the number of client connections in the shared table, `log_form` the form of log lines.
    """

    worker: int
    generation: int
    workers: int
    slots: int
    stall_after_ns: int
    environ: dict[str, str]
    log_form: str
    draining: bool


class AssignConnection(Message, tag=2):
    """Assigns a client's connection to the worker. Attached: its descriptor.

    `consumed` is the number of bytes that other workers have read from it, all of answered requests.
    """

    slot: int
    consumed: int


class OpenLink(Message, tag=3):
    """Opens a link to another worker. Attached: the descriptor of its stream."""

    worker: int
    generation: int


class MembershipUpdate(Message, tag=4):
    """Announces a new version of `ownership.Membership`."""

    version: int
    members: list[int]
    split: dict[int, int]
    initial: bool


class Reload(Message, tag=5):
    """New settings. Attached: a file with them, as with `Start`."""

    environ: dict[str, str]


class Drain(Message, tag=6):
    """Asks the worker to answer what it holds and to close connections with their answers."""


class AcceptingStopped(Message, tag=7):
    """The supervisor accepts no more clients: idle connections may close."""


class Leave(Message, tag=8):
    """Asks a drained worker to exit."""


# --- worker to supervisor
class ReportReady(Message, tag=20):
    """The worker serves. `servers` is the number of servers it knows."""

    servers: int


class ConnectionClosed(Message, tag=21):
    """A client's connection has ended at the worker."""

    slot: int


class ReportDrained(Message, tag=22):
    """The draining worker owes no more answers."""


class ReportLoad(Message, tag=23):
    """The number of requests since the last report, and the busiest accounts.

    `busiest` holds (account, requests, maximum number of parts that its ceiling can be split into).
    """

    total: int
    busiest: list[tuple[int, int, int]]


class OrphansHeld(Message, tag=24):
    """The unanswered requests that a lost worker had delegated to the sender.

    `worker` and `generation` identify the lost worker; `held` are (slot, sequence) pairs.
    """

    worker: int
    generation: int
    held: list[tuple[int, int]]


class OrphanAnswer(Message, tag=25):
    """The answer to a request of a lost worker, or one that the lost worker may not have read any more.

    `retry_ms` < 0: no Retry-After.
    """

    slot: int
    sequence: int
    status: int
    body: bytes
    content_type: str
    retry_ms: int


# --- worker to worker
class DelegateRequest(Message, tag=40):
    """Delegates a request to the worker that owns its account.

    `request_id` is the sender's number of it; `slot` and `sequence` identify its connection record.
    """

    request_id: int
    slot: int
    sequence: int
    deadline_ns: int
    method: str
    target: str
    correlation_id: str
    headers: list[tuple[str, str]]
    body: bytes
    class_index: int
    plan_index: int
    account: int
    units: float
    spread: int
    first: int
    is_retry: bool


class WithdrawRequest(Message, tag=41):
    """Withdraws a delegated request: its client has left."""

    request_id: int


class DelegatedAnswer(Message, tag=42):
    """The answer to a delegated request. `retry_ms` < 0: no Retry-After."""

    request_id: int
    status: int
    body: bytes
    content_type: str
    retry_ms: int


ToWorker = Start | AssignConnection | OpenLink | MembershipUpdate | Reload | Drain | AcceptingStopped | Leave
ToSupervisor = ReportReady | ConnectionClosed | ReportDrained | ReportLoad | OrphansHeld | OrphanAnswer
BetweenWorkers = DelegateRequest | WithdrawRequest | DelegatedAnswer

encode = msgspec.msgpack.Encoder().encode


class Channel:
    """One end of a packet channel on an event loop.

    `on_message` is called with each message and its descriptor; `on_closed` once, when the other end is gone.
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
        """Sends a message now, or queues it until the other end reads again. False: it will not arrive.

        A message with a descriptor is never queued: it is sent now or not at all.
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
            return False  # the end of the channel is about to be read
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
        """Delivers all messages that the other end sent before it ended."""
        self._read()

    def close(self) -> None:
        """Closes the channel. `on_closed` is not called."""
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.sock.fileno())
            if self.unsent:
                self.loop.remove_writer(self.sock.fileno())
            self.sock.close()


class WorkerLink(asyncio.Protocol):
    """One end of a link between two workers: length-prefixed messages both ways, in order.

    `worker` and `generation` identify the worker at the other end.
    """

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
        """Called by the event loop when the link is up."""
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]

    def send(self, message: Message) -> None:
        """Sends a message; on a closed link it is dropped."""
        if self.transport is not None:
            data = encode(message)
            self.transport.write(len(data).to_bytes(4, "little") + data)

    def data_received(self, data: bytes) -> None:
        """Decodes the complete messages received so far and passes them to `on_message`."""
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
        """Called by the event loop when the link has ended."""
        self.transport = None
        self.on_closed(self)
