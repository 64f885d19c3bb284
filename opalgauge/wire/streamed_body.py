"""Bodies that are streamed between a client and a server, one piece at a time.

The side that sends is read only while no piece of it is held. So a stream holds one piece, however fast one
side is and however slow the other.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from aiohttp import StreamReader

from opalgauge.memory.buffers import HEAD_READ_SIZE, MAX_STREAM_READ, MIN_STREAM_READ

PIECE_COPIES = 2  # of a piece: as it was read, and as it is written with its framing
SPARE_DIVISOR = 8  # one read takes no more than this part of what is left, so that others find some as well


class ReadBudget:
    """The memory that all streams share for reads of more than MIN_STREAM_READ bytes."""

    def __init__(self, total: int) -> None:
        self.total, self.taken = total, 0  # bytes

    def take(self) -> int:
        """Takes memory for a read; returns how many bytes the read may take beyond MIN_STREAM_READ."""
        spare = (self.total - self.taken) // PIECE_COPIES // SPARE_DIVISOR
        extra = max(0, min(MAX_STREAM_READ - MIN_STREAM_READ, spare))
        self.taken += PIECE_COPIES * extra
        return extra

    def give_back(self, extra: int) -> None:
        """Gives back what `take` returned, once what was read has been written."""
        self.taken -= PIECE_COPIES * extra


class ReadShare:
    """One stream's share of a budget, which changes with each read."""

    def __init__(self, budget: ReadBudget) -> None:
        self.budget, self.extra = budget, 0

    def next_size(self) -> int:
        """How many bytes the next read may take. What was read before has been written."""
        self.close()
        self.extra = self.budget.take()
        return MIN_STREAM_READ + self.extra

    def close(self) -> None:
        """Gives the share back."""
        self.budget.give_back(self.extra)
        self.extra = 0


class PausableConnection(Protocol):
    """A connection whose reading can be held."""

    def hold_reading(self) -> None:
        """Reads nothing more until `release_reading`."""
        ...

    def release_reading(self, max_read: int) -> None:
        """Reads again, up to `max_read` bytes at once."""
        ...


class StreamedRequestBody:
    """The rest of a request's body, from its client."""

    def __init__(self, content: StreamReader, client: PausableConnection, budget: ReadBudget) -> None:
        self.content, self.client, self.share = content, client, ReadShare(budget)
        client.hold_reading()

    async def read(self) -> bytes:
        """Returns the next piece; nothing at the end. What it returned before has been written.

        Raises what aiohttp raises for a body that breaks off or is malformed.
        """
        self.client.release_reading(self.share.next_size())
        data = await self.content.readany()
        self.client.hold_reading()
        return data

    def close(self) -> None:
        """Ends the stream; the client's connection is read as usual again."""
        self.share.close()
        self.client.release_reading(HEAD_READ_SIZE)


class StreamedAnswerBody:
    """The body of a streamed answer, from its server's connection, which feeds it."""

    def __init__(self, server: PausableConnection) -> None:
        self.server: PausableConnection | None = server  # None: nothing more comes from it
        self.data = b""
        self.error: Exception | None = None
        self.waiter: asyncio.Future[None] | None = None

    def feed(self, data: bytes) -> None:
        """Takes what has been received. The server is not read any further while it is held."""
        if data and self.server is not None:
            self.data += data
            self.server.hold_reading()
            self._wake_up()

    def end(self, error: Exception | None = None) -> None:
        """The answer is complete or, with an error, has broken off. What was fed before is still read."""
        if self.server is not None:
            self.server, self.error = None, error
            self._wake_up()

    async def read(self, size: int) -> bytes:
        """Returns up to `size` bytes; nothing at the end. What it returned before has been written.

        Raises the error with which the answer has broken off.
        """
        while not self.data and self.server is not None:
            self.server.release_reading(size)
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        if not self.data and self.error is not None:
            raise self.error
        piece, self.data = self.data[:size], self.data[size:]
        return piece

    def _wake_up(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
