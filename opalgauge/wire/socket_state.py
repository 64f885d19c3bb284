"""Looks at a transport's socket that the loop does not offer: what lies unread there, and its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

LAST_DATA_RECV = struct.Struct("=I")  # tcpi_last_data_recv (ms), as linux/tcp.h lays it out
LAST_DATA_RECV_OFFSET = 52
TCP_CLOSE, TCP_CLOSE_WAIT = (
    7,
    8,
)  # what the system calls a connection that was reset, and one whose peer has ended


def _borrow_socket(transport: asyncio.BaseTransport) -> socket.SocketType | None:
    """The socket behind one of the loop's own, for the moment; None where the loop has let go of it.

    It stands on the loop's own descriptor and has to be detached again. Guards against closing that: its
    number would soon be another connection's, and bytes of one would go to the other. The bare type, as this
    is asked several times for each request; the family that it is told is only kept in the object.
    """
    loop_socket = transport.get_extra_info("socket")
    if loop_socket is None or (descriptor := loop_socket.fileno()) < 0:
        return None
    return socket.SocketType(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)


def peek_byte(transport: asyncio.BaseTransport) -> bytes | None:
    """A byte that has come and was not read; empty at the connection's end, None where nothing has come."""
    borrowed = _borrow_socket(transport)
    if borrowed is None:
        return b""
    try:
        return borrowed.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        borrowed.detach()


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended it, also behind bytes that nobody has read. The loop hears of an end
    by reading up to it, which it does not do while reading is paused."""
    borrowed = _borrow_socket(transport)
    if borrowed is None:
        return False  # the loop is about to say so itself
    try:
        state = borrowed.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False
    finally:
        borrowed.detach()
    return state in (TCP_CLOSE, TCP_CLOSE_WAIT)


def shut_down(transport: asyncio.BaseTransport) -> None:
    """Ends a connection at once: closing its transport does so a turn of the loop later."""
    borrowed = _borrow_socket(transport)
    if borrowed is not None:
        with contextlib.suppress(OSError):
            borrowed.shutdown(socket.SHUT_RDWR)
        borrowed.detach()


def last_data_age(accepted: socket.socket) -> float:
    """For how many seconds all that has come over a new connection lies unread; 0 where nothing has come."""
    try:
        accepted.recv(1, socket.MSG_PEEK)
        info = accepted.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + LAST_DATA_RECV.size
        )
        return float(LAST_DATA_RECV.unpack_from(info, LAST_DATA_RECV_OFFSET)[0]) / 1000
    except (OSError, struct.error):
        return 0.0
