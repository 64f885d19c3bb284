"""Reads from a client's socket how far its worker came, and writes a final answer to it.

`struct tcp_info` is read with the layout of linux/tcp.h (bytes_received since Linux 4.1, bytes_sent since
4.19).
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from opalgauge.cores.takeover import SocketProgress

ESTABLISHED, CLOSE_WAIT = 1, 8  # TCP states
BYTES_RECEIVED = struct.Struct("<Q")  # tcpi_bytes_received, at offset 128
BYTES_UNSENT = struct.Struct("<I")  # tcpi_notsent_bytes, at offset 144
BYTES_SENT = struct.Struct("<QQ")  # tcpi_bytes_sent and tcpi_bytes_retrans, at offset 200
REASONS = {200: "OK", 429: "Too Many Requests", 502: "Bad Gateway", 503: "Service Unavailable",
         504: "Gateway Timeout"}  # fmt: skip
MAX_READS = 100  # readings of the counters while bytes keep arriving
LINGER = 1.0  # s that the client has to read its answer and close


def _tcp_info(sock: socket.socket) -> bytes:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 232)


def bytes_written(sock: socket.socket) -> int:
    """The number of bytes ever written to a connection, sent or unsent; 0 once the connection is broken."""
    try:
        info = _tcp_info(sock)
    except OSError:
        return 0
    sent, retransmitted = BYTES_SENT.unpack_from(info, 200)
    return int(sent - retransmitted + BYTES_UNSENT.unpack_from(info, 144)[0])


def bytes_unread(sock: socket.socket) -> int:
    """The number of received bytes that have not been read; 0 once the connection is broken."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0])
    except OSError:
        return 0


def socket_progress(sock: socket.socket) -> SocketProgress:
    """How many bytes were read from and written to a connection, by whichever process."""
    try:
        info = _tcp_info(sock)
        for _ in range(MAX_READS):
            pending, previous = bytes_unread(sock), info
            info = _tcp_info(sock)
            if info[128:136] == previous[128:136]:
                break  # no bytes arrived between the two readings
    except OSError:
        return SocketProgress(0, 0, False)
    received = BYTES_RECEIVED.unpack_from(info, 128)[0]
    return SocketProgress(
        max(0, received - pending), bytes_written(sock), info[0] in (ESTABLISHED, CLOSE_WAIT)
    )


def answer_bytes(status: int, body: bytes = b"", content_type: str = "", retry_ms: int = -1) -> bytes:
    """A complete final answer, after which the connection closes. `retry_ms` < 0: no Retry-After."""
    head = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}", f"Content-Length: {len(body)}"]
    if content_type:
        head.append(f"Content-Type: {content_type}")
    if retry_ms >= 0:
        head.append(f"Retry-After: {retry_ms / 1000:.3f}")
    return ("\r\n".join([*head, "Connection: close", "", ""])).encode("latin-1", "replace") + body


class FinalAnswer:
    """Writes the final answer to a connection, then closes it without cutting off what is still in flight.

    `on_closed` is called once, possibly before the constructor returns.
    """

    def __init__(self, sock: socket.socket, data: bytes, on_closed: Callable[[], None]) -> None:
        self.sock, self.data, self.on_closed = sock, memoryview(data), on_closed
        self.loop = asyncio.get_running_loop()
        self.closed = self.waiting_to_write = False
        sock.setblocking(False)
        self.timer = self.loop.call_later(LINGER, self._close)
        self._write()

    def _write(self) -> None:
        try:
            while self.data:
                self.data = self.data[self.sock.send(self.data) :]
        except (BlockingIOError, InterruptedError):
            if not self.waiting_to_write:
                self.waiting_to_write = True
                self.loop.add_writer(self.sock.fileno(), self._write)
            return
        except OSError:
            self._close()
            return
        if self.waiting_to_write:
            self.loop.remove_writer(self.sock.fileno())
            self.waiting_to_write = False
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close()
            return
        self.loop.add_reader(self.sock.fileno(), self._read)

    def _read(self) -> None:
        # Closing with unread bytes would send a reset, which could destroy the answer.
        try:
            while self.sock.recv(65536):
                pass
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            pass
        self._close()

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self.timer.cancel()
            self.loop.remove_reader(self.sock.fileno())
            if self.waiting_to_write:
                self.loop.remove_writer(self.sock.fileno())
            self.sock.close()
            self.on_closed()
