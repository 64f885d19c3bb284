"""Socket state that the event loop does not expose: unread bytes, a close by the peer, the age of data."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios

LAST_DATA_RECV = struct.Struct("=I")  # tcpi_last_data_recv (ms) in struct tcp_info of linux/tcp.h
LAST_DATA_RECV_OFFSET = 52  # bytes
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8  # TCP states: after a reset, and after a close by the peer


def _borrow_socket(transport: asyncio.BaseTransport) -> socket.SocketType | None:
    """A socket object on the transport's descriptor; None if the loop has closed it already.

    The caller has to detach it. Otherwise its destructor would close the loop's descriptor; the number would
    soon be reused, and data would reach another connection. The bare `SocketType` is used for its speed, as
    this is called several times for each request; it only stores the address family that it is given.
    """
    loop_socket = transport.get_extra_info("socket")
    if loop_socket is None or (descriptor := loop_socket.fileno()) < 0:
        return None
    return socket.SocketType(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)


def peek_byte(transport: asyncio.BaseTransport) -> bytes | None:
    """The next unread byte: empty if the connection has ended, None if nothing has arrived."""
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
    """Whether the peer has closed the connection, even if unread bytes precede the close.

    The loop notices a close only by reading up to it, which it does not do while reading is paused.
    """
    borrowed = _borrow_socket(transport)
    if borrowed is None:
        return False  # the loop is about to report the close itself
    try:
        state = borrowed.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False
    finally:
        borrowed.detach()
    return state in (TCP_CLOSE, TCP_CLOSE_WAIT)


def unsent_bytes(transport: asyncio.BaseTransport) -> int | None:
    """The bytes that were written and that the peer has not confirmed yet; None if that is not known."""
    borrowed = _borrow_socket(transport)
    if borrowed is None:
        return None
    try:
        return int.from_bytes(fcntl.ioctl(borrowed.fileno(), termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:
        return None
    finally:
        borrowed.detach()


def shut_down(transport: asyncio.BaseTransport) -> None:
    """Shuts a connection down at once; closing its transport would do so one loop iteration later."""
    borrowed = _borrow_socket(transport)
    if borrowed is not None:
        with contextlib.suppress(OSError):
            borrowed.shutdown(socket.SHUT_RDWR)
        borrowed.detach()


def data_age(transport: asyncio.BaseTransport) -> float:
    """Seconds since data last arrived on a connection; 0 on an error."""
    borrowed = _borrow_socket(transport)
    if borrowed is None:
        return 0.0
    try:
        size = LAST_DATA_RECV_OFFSET + LAST_DATA_RECV.size
        info = borrowed.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        return float(LAST_DATA_RECV.unpack_from(info, LAST_DATA_RECV_OFFSET)[0]) / 1000
    except (OSError, struct.error):
        return 0.0
    finally:
        borrowed.detach()
