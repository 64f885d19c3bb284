"""Listening sockets that go on accepting after an `accept` has failed.

If `accept` fails for lack of descriptors or memory, the event loop's own servers stop listening or close the
waiting connection. Here the connection waits in the kernel's queue until there is room again.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

MAX_ACCEPTS_PER_TURN = 8  # connections per loop iteration, so that other work has its turn
MAX_ABORTS_PER_TURN = 16  # connections per loop iteration that were closed before they were accepted
ACCEPT_RETRY_DELAY = 0.02  # s after a failed `accept`: retrying at once would use up the core


def bind(host: str, port: int) -> socket.socket:
    """Returns a socket bound to an address of this machine. Raises OSError if it cannot be bound."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


class Acceptor:
    """Accepts connections from a listening socket and passes them to `on_accepted`, until it is closed."""

    def __init__(self, listen_socket: socket.socket, on_accepted: Callable[[socket.socket], None]) -> None:
        self.listen_socket, self.on_accepted = listen_socket, on_accepted
        self.listen_socket.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.closed = self.closing = self.suspended = False
        self.retry_timer: asyncio.TimerHandle | None = None
        self._start_accepting()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the socket listens on."""
        host, port, *_ = self.listen_socket.getsockname()
        return str(host), int(port)

    def _start_accepting(self) -> None:
        self.retry_timer = None
        self.loop.add_reader(self.listen_socket.fileno(), self._accept)
        if self.closing:
            self._accept()

    def _accept(self) -> None:
        """Accepts the waiting connections; closes the socket after the last one if it is being closed."""
        accepted_count = aborted = 0
        while accepted_count < MAX_ACCEPTS_PER_TURN:
            try:
                accepted, _address = self.listen_socket.accept()
            except BlockingIOError:
                if self.closing:
                    self.close()
                return
            except ConnectionAbortedError:
                aborted += 1
                if aborted < MAX_ABORTS_PER_TURN:
                    continue
                self._retry_later()
                return
            except OSError:
                self._retry_later()
                return
            accepted_count += 1
            accepted.setblocking(False)
            self.on_accepted(accepted)
        if self.closing:
            self._retry_later()

    def _retry_later(self) -> None:
        self.loop.remove_reader(self.listen_socket.fileno())
        if self.retry_timer is None:
            self.retry_timer = self.loop.call_later(ACCEPT_RETRY_DELAY, self._start_accepting)

    def suspend(self) -> None:
        """Stops accepting until `resume`; waiting connections stay in the kernel's queue."""
        if self.closed or self.closing:
            return
        self.suspended = True
        self._cancel_retry()
        self.loop.remove_reader(self.listen_socket.fileno())

    def resume(self) -> None:
        """Accepts again after `suspend`."""
        if self.suspended and not self.closed:
            self.suspended = False
            self._start_accepting()

    def _cancel_retry(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def close(self) -> None:
        """Closes the socket. Waiting connections are left to another process that listens on the same
        socket; without one they are reset."""
        if self.closed:
            return
        self.closed = True
        self._cancel_retry()
        self.loop.remove_reader(self.listen_socket.fileno())
        self.listen_socket.close()

    def close_when_empty(self) -> None:
        """Closes the socket once its queue is empty: closing it would reset the connections in it."""
        if not self.closed and not self.closing:
            self.closing = True
            if self.retry_timer is None:
                self._accept()


class Listener:
    """A listening socket that starts a protocol, made by `make_protocol`, on each accepted connection."""

    def __init__(
        self,
        listen_socket: socket.socket,
        backlog: int,
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self.make_protocol = make_protocol
        self.loop = asyncio.get_running_loop()
        self.starting: set[asyncio.Task[None]] = set()  # accepted, without a protocol so far
        listen_socket.listen(backlog)
        self.acceptor = Acceptor(listen_socket, self._on_accepted)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the socket listens on."""
        return self.acceptor.address

    @property
    def has_pending(self) -> bool:
        """Whether a connection is still to be accepted while closing, or has no protocol so far."""
        return bool(self.starting) or self.acceptor.closing and not self.acceptor.closed

    def _on_accepted(self, accepted: socket.socket) -> None:
        task = self.loop.create_task(self._start(accepted))
        self.starting.add(task)
        task.add_done_callback(self.starting.discard)

    async def _start(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make_protocol, accepted)
        except OSError:
            with contextlib.suppress(OSError):
                accepted.close()

    def suspend(self) -> None:
        """See `Acceptor.suspend`."""
        self.acceptor.suspend()

    def resume(self) -> None:
        """See `Acceptor.resume`."""
        self.acceptor.resume()

    def close(self) -> None:
        """See `Acceptor.close`."""
        self.acceptor.close()

    def close_when_empty(self) -> None:
        """See `Acceptor.close_when_empty`."""
        self.acceptor.close_when_empty()
