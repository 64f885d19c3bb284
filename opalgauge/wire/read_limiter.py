"""Limits the bytes that one read takes from a connection.

A plain protocol is given up to 256 KiB at once. With some hundred connections whose peers are slower than
that, these reads alone would use up the memory.
"""

from __future__ import annotations

import asyncio

from opalgauge.memory.buffers import MAX_STREAM_READ

# All connections are read into it, one at a time: what arrives is passed on as a copy of its size.
READ_BUFFER = memoryview(bytearray(MAX_STREAM_READ))


class LimitedProtocol(asyncio.Protocol):
    """A protocol that says how many bytes one read may take."""

    __slots__ = ()

    max_read: int  # bytes, 1 to MAX_STREAM_READ; it may change at any time

    def drop_received(self, size: int) -> bool:
        """Whether `size` bytes that have been read are dropped, so that they need not be copied."""
        return False


class ReadLimiter(asyncio.BufferedProtocol):
    """Stands between a transport and a protocol, and keeps reads to the protocol's `max_read`."""

    __slots__ = ("protocol",)

    def __init__(self, protocol: LimitedProtocol) -> None:
        self.protocol = protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol, as the methods below."""
        self.protocol.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return READ_BUFFER[: self.protocol.max_read]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what has been read."""
        if not self.protocol.drop_received(nbytes):
            self.protocol.data_received(bytes(READ_BUFFER[:nbytes]))

    def eof_received(self) -> bool | None:
        """Passes on that the peer has stopped sending."""
        return self.protocol.eof_received()

    def pause_writing(self) -> None:
        """Passes on that the transport's write buffer is full."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the transport's write buffer has room."""
        self.protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes on the end of the connection."""
        self.protocol.connection_lost(exc)
