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

from opalgauge.wire.socket_state import bytes_age

ACCEPTED_A_TURN = 64  # connections: others have their turn in between
ABORTED_A_TURN = 16  # connections that their clients have given up before they were accepted
PAUSE = 0.02  # s after an `accept` that failed: trying on at once would take the whole core


def bind(host: str, port: int) -> socket.socket:
    """A bound socket at an address of this machine. Raises OSError where it cannot be had."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


class Acceptor:
    """Hands every connection that a listening socket brings to `taken`, until it is closed.

    With it goes for how many seconds what the client has written lay unread, where nobody accepted for a
    while: an `accept` that failed, a suspension, or a process that begins on a socket at which clients wait
    already (`inherited`).
    """

    def __init__(
        self,
        listening: socket.socket,
        taken: Callable[[socket.socket, float], None],
        inherited: bool = False,
    ) -> None:
        self.listening, self.taken = listening, taken
        self.blind_since = -math.inf if inherited else math.inf  # nobody has accepted from then on
        self.listening.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.closed = self.closing = self.suspended = False
        self.pause: asyncio.TimerHandle | None = None
        self._watch()

    @property
    def address(self) -> tuple[str, int]:
        host, port, *_ = self.listening.getsockname()
        return str(host), int(port)

    def _watch(self) -> None:
        self.pause = None
        self.loop.add_reader(self.listening.fileno(), self._accept)
        if self.closing:
            self._accept()

    def _accept(self) -> None:
        """Takes what waits; closes the socket behind the last one where it is to be closed."""
        aborted = 0
        for _ in range(ACCEPTED_A_TURN):
            try:
                accepted, _address = self.listening.accept()
            except BlockingIOError:
                self.blind_since = math.inf
                if self.closing:
                    self.close()
                return
            except ConnectionAbortedError:
                aborted += 1
                if aborted < ABORTED_A_TURN:
                    continue
                self._pause()
                return
            except OSError:
                self._pause()
                return
            accepted.setblocking(False)
            self.taken(accepted, self._waited(accepted))
        if self.closing:
            self._pause()

    def _waited(self, accepted: socket.socket) -> float:
        """Seconds, no more than nobody accepted: what came later lay unread for no longer than usual."""
        blind = self.loop.time() - self.blind_since
        return min(blind, bytes_age(accepted)) if blind > 0 else 0.0

    def _pause(self) -> None:
        self.blind_since = min(self.blind_since, self.loop.time())
        self.loop.remove_reader(self.listening.fileno())
        if self.pause is None:
            self.pause = self.loop.call_later(PAUSE, self._watch)

    def suspend(self) -> None:
        """Accepts no more for now."""
        if self.closed or self.closing:
            return
        self.suspended = True
        self.blind_since = min(self.blind_since, self.loop.time())
        self._cancel_pause()
        self.loop.remove_reader(self.listening.fileno())

    def resume(self) -> None:
        if self.suspended and not self.closed:
            self.suspended = False
            self._watch()

    def _cancel_pause(self) -> None:
        if self.pause is not None:
            self.pause.cancel()
            self.pause = None

    def close(self) -> None:
        """Accepts no more. What waits in the kernel's queue is left to whoever else listens at the socket,
        or reset with it."""
        if self.closed:
            return
        self.closed = True
        self._cancel_pause()
        self.loop.remove_reader(self.listening.fileno())
        self.listening.close()

    def close_when_empty(self) -> None:
        """Closes the socket as soon as no connection waits in its queue: the queue's end resets what does."""
        if not self.closed and not self.closing:
            self.closing = True
            if self.pause is None:
                self._accept()


class Listener:
    """A listening socket whose connections speak a protocol."""

    def __init__(
        self,
        listening: socket.socket,
        backlog: int,
        make: Callable[[float], asyncio.Protocol],
        inherited: bool = False,
    ) -> None:
        self.make = make  # told for how many seconds what the client has written lay unread
        self.loop = asyncio.get_running_loop()
        self.starting: set[asyncio.Task[None]] = set()  # accepted, and not yet with their protocol
        listening.listen(backlog)
        self.acceptor = Acceptor(listening, self._taken, inherited)

    @property
    def address(self) -> tuple[str, int]:
        return self.acceptor.address

    @property
    def busy(self) -> bool:
        """Whether a connection that was accepted, or is still to be, has not reached its protocol."""
        return bool(self.starting) or self.acceptor.closing and not self.acceptor.closed

    def _taken(self, accepted: socket.socket, waited: float) -> None:
        task = self.loop.create_task(self._start(accepted, waited))
        self.starting.add(task)
        task.add_done_callback(self.starting.discard)

    async def _start(self, accepted: socket.socket, waited: float) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: self.make(waited), accepted)
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
