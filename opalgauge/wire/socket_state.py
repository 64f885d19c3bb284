"""Looks at a transport's socket that the loop does not offer: what lies unread there, and its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

LAST_RECEIVED = struct.Struct("=I")  # tcpi_last_data_recv (ms), as linux/tcp.h lays it out
LAST_RECEIVED_AT = 52
CLOSED, CLOSE_WAIT = 7, 8  # what the system calls a connection that was reset, and one whose peer has ended


def _borrowed(transport: asyncio.BaseTransport) -> socket.SocketType | None:
    """The socket behind one of the loop's own, for the moment; None where the loop has let go of it.

    It stands on the loop's own descriptor and has to be detached again. Guards against closing that: its
    number would soon be another connection's, and bytes of one would go to the other. The bare type, as this
    is asked several times for each request; the family that it is told is only kept in the object.
    """
    theirs = transport.get_extra_info("socket")
    if theirs is None or (descriptor := theirs.fileno()) < 0:
        return None
    return socket.SocketType(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)


def unread(transport: asyncio.BaseTransport) -> bytes | None:
    """A byte that has come and was not read; empty at the connection's end, None where nothing has come."""
    held = _borrowed(transport)
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
    held = _borrowed(transport)
    if held is None:
        return False  # the loop is about to say so itself
    try:
        state = held.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False
    finally:
        held.detach()
    return state in (CLOSED, CLOSE_WAIT)


def shut(transport: asyncio.BaseTransport) -> None:
    """Ends a connection at once: closing its transport does so a turn of the loop later."""
    held = _borrowed(transport)
    if held is not None:
        with contextlib.suppress(OSError):
            held.shutdown(socket.SHUT_RDWR)
        held.detach()


def bytes_age(accepted: socket.socket) -> float:
    """For how many seconds all that has come over a new connection lies unread; 0 where nothing has come."""
    try:
        accepted.recv(1, socket.MSG_PEEK)
        info = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED_AT + LAST_RECEIVED.size)
        return float(LAST_RECEIVED.unpack_from(info, LAST_RECEIVED_AT)[0]) / 1000
    except (OSError, struct.error):
        return 0.0
