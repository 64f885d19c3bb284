"""Listening sockets that go on accepting, whatever a single `accept` says.

The event loop's own servers end a listener, or close the connection that waits, at an `accept` that fails for
want of descriptors or memory. Here such a connection waits in the kernel's queue until there is room again.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable

from opalgauge.wire.socket_state import last_data_age

MAX_ACCEPTS_PER_TURN = 64  # connections: others have their turn in between
MAX_ABORTS_PER_TURN = 16  # connections that their clients have given up before they were accepted
ACCEPT_RETRY_DELAY = 0.02  # s after an `accept` that failed: trying on at once would take the whole core


def bind(host: str, port: int) -> socket.socket:
    """A bound socket at an address of this machine. Raises OSError where it cannot be had."""
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
    """Hands every connection that a listening socket brings to `on_accepted`, until it is closed.

    With it goes for how many seconds what the client has written lay unread, where nobody accepted for a
    while: an `accept` that failed, a suspension, or a process that begins on a socket at which clients wait
    already (`inherited`).
    """

    def __init__(
        self,
        listen_socket: socket.socket,
        on_accepted: Callable[[socket.socket, float], None],
        inherited: bool = False,
    ) -> None:
        self.listen_socket, self.on_accepted = listen_socket, on_accepted
        self.not_accepting_since = -math.inf if inherited else math.inf  # nobody has accepted from then on
        self.listen_socket.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.closed = self.closing = self.suspended = False
        self.retry_timer: asyncio.TimerHandle | None = None
        self._start_accepting()

    @property
    def address(self) -> tuple[str, int]:
        host, port, *_ = self.listen_socket.getsockname()
        return str(host), int(port)

    def _start_accepting(self) -> None:
        self.retry_timer = None
        self.loop.add_reader(self.listen_socket.fileno(), self._accept)
        if self.closing:
            self._accept()

    def _accept(self) -> None:
        """Takes what waits; closes the socket behind the last one where it is to be closed."""
        aborted = 0
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, _address = self.listen_socket.accept()
            except BlockingIOError:
                self.not_accepting_since = math.inf
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
            accepted.setblocking(False)
            self.on_accepted(accepted, self._accept_delay(accepted))
        if self.closing:
            self._retry_later()

    def _accept_delay(self, accepted: socket.socket) -> float:
        """Seconds, no more than nobody accepted: what came later lay unread for no longer than usual."""
        not_accepting_for = self.loop.time() - self.not_accepting_since
        return min(not_accepting_for, last_data_age(accepted)) if not_accepting_for > 0 else 0.0

    def _retry_later(self) -> None:
        self.not_accepting_since = min(self.not_accepting_since, self.loop.time())
        self.loop.remove_reader(self.listen_socket.fileno())
        if self.retry_timer is None:
            self.retry_timer = self.loop.call_later(ACCEPT_RETRY_DELAY, self._start_accepting)

    def suspend(self) -> None:
        """Accepts no more for now."""
        if self.closed or self.closing:
            return
        self.suspended = True
        self.not_accepting_since = min(self.not_accepting_since, self.loop.time())
        self._cancel_retry()
        self.loop.remove_reader(self.listen_socket.fileno())

    def resume(self) -> None:
        if self.suspended and not self.closed:
            self.suspended = False
            self._start_accepting()

    def _cancel_retry(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def close(self) -> None:
        """Accepts no more. What waits in the kernel's queue is left to whoever else listens at the socket,
        or reset with it."""
        if self.closed:
            return
        self.closed = True
        self._cancel_retry()
        self.loop.remove_reader(self.listen_socket.fileno())
        self.listen_socket.close()

    def close_when_empty(self) -> None:
        """Closes the socket as soon as no connection waits in its queue: the queue's end resets what does."""
        if not self.closed and not self.closing:
            self.closing = True
            if self.retry_timer is None:
                self._accept()


class Listener:
    """A listening socket whose connections speak a protocol."""

    def __init__(
        self,
        listen_socket: socket.socket,
        backlog: int,
        make_protocol: Callable[[float], asyncio.Protocol],
        inherited: bool = False,
    ) -> None:
        self.make_protocol = make_protocol  # told for how many seconds what the client has written lay unread
        self.loop = asyncio.get_running_loop()
        self.starting: set[asyncio.Task[None]] = set()  # accepted, and not yet with their protocol
        listen_socket.listen(backlog)
        self.acceptor = Acceptor(listen_socket, self._on_accepted, inherited)

    @property
    def address(self) -> tuple[str, int]:
        return self.acceptor.address

    @property
    def has_pending(self) -> bool:
        """Whether a connection that was accepted, or is still to be, has not reached its protocol."""
        return bool(self.starting) or self.acceptor.closing and not self.acceptor.closed

    def _on_accepted(self, accepted: socket.socket, accept_delay: float) -> None:
        task = self.loop.create_task(self._start(accepted, accept_delay))
        self.starting.add(task)
        task.add_done_callback(self.starting.discard)

    async def _start(self, accepted: socket.socket, accept_delay: float) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: self.make_protocol(accept_delay), accepted)
        except OSError:
            with contextlib.suppress(OSError):
                accepted.close()

    def suspend(self) -> None:
        self.acceptor.suspend()

    def resume(self) -> None:
        self.acceptor.resume()

    def close(self) -> None:
        self.acceptor.close()

    def close_when_empty(self) -> None:
        self.acceptor.close_when_empty()
