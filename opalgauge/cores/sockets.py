"""What a client's socket itself says of how far its worker came, and a final answer written to it.

`struct tcp_info` is read as linux/tcp.h lays it out (bytes_received since 4.1, bytes_sent since 4.19).
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from opalgauge.cores.takeover import Kernel

ESTABLISHED, CLOSE_WAIT = 1, 8
RECEIVED = struct.Struct("<Q")  # at 128
NOT_SENT = struct.Struct("<I")  # at 144
SENT = struct.Struct("<QQ")  # at 200: bytes_sent, bytes_retrans
WORDS = {200: "OK", 429: "Too Many Requests", 502: "Bad Gateway", 503: "Service Unavailable",
         504: "Gateway Timeout"}  # fmt: skip
LOOKS = 100  # at a connection on which bytes keep coming
LINGER = 1.0  # s for the client to read its answer and close


def _info(sock: socket.socket) -> bytes:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 232)


def written(sock: socket.socket) -> int:
    """All bytes that were ever written to a connection, sent or still to be sent; 0 once it is broken."""
    try:
        info = _info(sock)
    except OSError:
        return 0
    sent, again = SENT.unpack_from(info, 200)
    return int(sent - again + NOT_SENT.unpack_from(info, 144)[0])


def unread(sock: socket.socket) -> int:
    """Bytes that have come and that nobody has read; 0 once the connection is broken."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0])
    except OSError:
        return 0


def kernel(sock: socket.socket) -> Kernel:
    """How far a connection came, whoever read from it and wrote to it."""
    try:
        info = _info(sock)
        for _ in range(LOOKS):
            waits, before = unread(sock), info
            info = _info(sock)
            if info[128:136] == before[128:136]:
                break  # guards against bytes that come between the two looks
    except OSError:
        return Kernel(0, 0, False)
    received = RECEIVED.unpack_from(info, 128)[0]
    return Kernel(max(0, received - waits), written(sock), info[0] in (ESTABLISHED, CLOSE_WAIT))


def answer_bytes(status: int, body: bytes = b"", content_type: str = "", retry_ms: int = -1) -> bytes:
    """A whole last answer on a connection."""
    head = [f"HTTP/1.1 {status} {WORDS.get(status, 'Answer')}", f"Content-Length: {len(body)}"]
    if content_type:
        head.append(f"Content-Type: {content_type}")
    if retry_ms >= 0:
        head.append(f"Retry-After: {retry_ms / 1000:.3f}")
    return ("\r\n".join([*head, "Connection: close", "", ""])).encode("latin-1", "replace") + body


class Last:
    """Writes the last answer to a connection, then closes it without breaking what is still on its way."""

    def __init__(self, sock: socket.socket, data: bytes, over: Callable[[], None]) -> None:
        self.sock, self.data, self.over = sock, memoryview(data), over
        self.loop = asyncio.get_running_loop()
        self.closed = self.waits = False
        sock.setblocking(False)
        self.timer = self.loop.call_later(LINGER, self._close)
        self._write()

    def _write(self) -> None:
        try:
            while self.data:
                self.data = self.data[self.sock.send(self.data) :]
        except (BlockingIOError, InterruptedError):
            if not self.waits:
                self.waits = True
                self.loop.add_writer(self.sock.fileno(), self._write)
            return
        except OSError:
            self._close()
            return
        if self.waits:
            self.loop.remove_writer(self.sock.fileno())
            self.waits = False
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close()
            return
        self.loop.add_reader(self.sock.fileno(), self._read)

    def _read(self) -> None:
        # Guards the answer against the reset that closing with unread bytes would send.
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
            if self.waits:
                self.loop.remove_writer(self.sock.fileno())
            self.sock.close()
            self.over()
