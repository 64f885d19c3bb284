"""Looks at a transport's socket that the loop does not offer: what lies unread there, and its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

CLOSED, CLOSE_WAIT = 7, 8  # what the system calls a connection that was reset, and one whose peer has ended


@contextlib.contextmanager
def borrowed(theirs: Any) -> Iterator[socket.socket]:
    """The socket behind one of the loop's own, for the moment.

    It stands on the loop's own descriptor and lets go of it. Guards against closing that: its number
    would soon be another connection's, and bytes of one would go to the other. With its kind told, making
    it asks the system nothing.
    """
    held = socket.socket(theirs.family, socket.SOCK_STREAM, 0, fileno=theirs.fileno())
    try:
        yield held
    finally:
        held.detach()


def _bare(transport: asyncio.BaseTransport) -> socket.SocketType | None:
    """The same without the comforts of Python's socket class, for what is asked at each request: a fifth of
    the price. To be detached again. None where the transport has let go of its socket."""
    theirs = transport.get_extra_info("socket")
    if theirs is None or (descriptor := theirs.fileno()) < 0:
        return None
    # The family is only kept in the object; the system knows what the descriptor is.
    return socket.SocketType(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)


def unread(transport: asyncio.BaseTransport) -> bytes | None:
    """A byte that has come and was not read; empty at the connection's end, None where nothing has come."""
    held = _bare(transport)
    if held is None:
        return b""
    try:
        return held.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        held.detach()


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended it, also behind bytes that nobody has read. The loop hears of an end
    by reading up to it, which it does not do while reading is paused."""
    held = _bare(transport)
    if held is None:
        return False  # the loop is about to say so itself
    try:
        state = held.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False
    finally:
        held.detach()
    return state in (CLOSED, CLOSE_WAIT)
