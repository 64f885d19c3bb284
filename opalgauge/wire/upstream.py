"""A connection that this ingress opens: bytes out, answers in, one event for each thing that happens.

aiohttp's client session was measured at 163 us of CPU a call against 38 us for its own response parser on a
bare connection, and it cannot write calls one behind another; so this is the session's nearest relative. It
sends nothing by itself a second time, follows no redirect, keeps no cookie and decompresses nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from opalgauge.memory.events import (
    AnswerPartReceived,
    AttemptWriteBlocked,
    AttemptWritten,
    ConnectionLost,
    ConnectionOpened,
    ConnectionStale,
    Event,
    Progress,
    StreamedAnswerReceived,
)
from opalgauge.wire.socket_state import shut, unread

MOST_BODY = 64 * 1024  # bytes: a longer answer is not held, but passed on while it comes
MOST_LONG = 40 * 1024 * 1024  # bytes: nor is any message longer
MOST_TOTAL = 64  # bytes: nor is a count's total longer
MOST_HEAD = 16 * 1024  # bytes: nor is all that comes ahead of a body
MOST_LIST = 4 * 1024 * 1024  # bytes: nor is a node list longer


@dataclass(slots=True)
class Reply:
    """One whole answer; `keep`: the connection can carry another."""

    status: int
    headers: RawResponseMessage
    body: bytes
    keep: bool


SLOW = 0.05  # s: how often an answer that comes in pieces is told to go on

END = b"\r\n\r\n"  # of a head, and of an answer in chunks

Understand = Callable[[int, Reply], Event]
Flows = Callable[[int, Reply, int | None], Event]  # an answer's head, and its length where it tells one
Answer = tuple[RawResponseMessage, StreamReader]


class LineProtocol(BaseProtocol):
    """One outgoing connection. Whatever goes wrong on it ends here, as one `ConnectionLost`."""

    def __init__(
        self,
        number: int,
        loop: asyncio.AbstractEventLoop,
        report: Callable[[Event], None],
        understand: Understand,
        most: int,
        flows: Flows | None = None,
    ) -> None:
        super().__init__(loop)
        self.number, self.report, self.understand, self.most = number, report, understand, most
        self.flows = flows  # None: an answer that is too long to be held is a fault
        self.flow: Answer | None = None  # the long answer that is being passed on
        self.pouring = self.telling = False  # a body is still being written; its end is to be told
        self.parser = self._new_parser()
        self.reached = Progress.CONNECTING
        self.over = self.used = self.halting = False
        self.owed = 0  # answers to what was sent
        self.begun_at = 0.0  # when it was last told that an answer is not whole yet
        self.begun: deque[Answer] = deque()  # answers whose last byte has not come
        self.heard = bytearray()  # all bytes of these

    def _new_parser(self) -> HttpResponseParser:
        return HttpResponseParser(
            self, self._loop, 2 * self.most, max_line_size=8190, max_field_size=8190, auto_decompress=False,
            read_until_eof=self.flows is not None,
        )  # fmt: skip

    # --- asyncio's side ------------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        line = cast(asyncio.Transport, transport)
        line.set_write_buffer_limits(high=0)  # so that `pause_writing` tells of every byte not yet written
        self.reached = Progress.WRITING
        if self.over:
            line.abort()
        else:
            self.report(ConnectionOpened(self.number))

    def pause_writing(self) -> None:
        super().pause_writing()
        self.reached = Progress.WRITING

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self.pouring and self.reached is Progress.WRITING:
            self.reached = Progress.WRITTEN
            if self.telling:
                self.telling = False
                self.report(AttemptWritten(self.number))

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        if not self.owed:
            # Guards against noise and second copies behind an answer: they would be taken for the next one.
            self._fault()
            return
        self.reached = Progress.ANSWERING
        if self.flow is not None:
            self._flow_on(data)
            return
        heard: bytes | bytearray = data
        if self.heard:
            self.heard += data
            heard = self.heard
        try:
            messages, upgraded, _ = self.parser.feed_data(data)
        except Exception:  # whatever the other side sent, it ends this connection and nothing else
            self._told(self._whole_ones(bytes(heard)), heard, False)
            return
        if upgraded:
            self._fault()
            return
        for message, payload in messages:
            if message.code < 200:
                continue
            length = message.headers.get("Content-Length")
            endless = length is None and self.flows is None
            most = MOST_LONG if self.flows is not None else self.most
            if not message.chunked and (endless or length is not None and int(length) > most):
                # Guards against what cannot be said to be whole, and what is far too long.
                self._told(self._whole_ones(bytes(heard)), heard, False)
                return
            self.begun.append((message, payload))
        whole = []
        while self.begun and self.begun[0][1].is_eof():
            whole.append(self.begun.popleft())
        if whole:
            self.heard = bytearray()
        elif heard is data:
            self.heard = bytearray(data)
        if not whole and self.begun and self.flows is not None and self._too_long(*self.begun[0]):
            self._begin_flow(*self.begun.popleft())
            return
        halting = bool(self.begun) or not (whole or messages)  # a 1xx alone: the answer may take its time
        self._told(whole, heard, len(whole) + len(self.begun) <= self.owed)
        if self.over:
            return
        body = self.begun[0][1] if self.begun else None
        endless = len(self.heard) > self.most + MOST_HEAD or body is not None and body.total_bytes > self.most
        if endless or body is not None and body.exception() is not None:
            self._fault()  # guards against an answer without end, and chunks that cannot be read
        elif halting and (not self.halting or self._loop.time() - self.begun_at > SLOW):
            self.begun_at = self._loop.time()
            self.report(AnswerPartReceived(self.number))
        self.halting = halting

    def _too_long(self, message: RawResponseMessage, body: StreamReader) -> bool:
        """Whether an answer is to be passed on as it comes: it has begun to, and is too long to be held."""
        if body.exception() is not None or not body.total_bytes:
            return False
        # Held back by its own many small chunks it would wait for ever.
        long = body.total_bytes > self.most or self._reading_paused
        return long or not message.chunked and int(message.headers.get("Content-Length", 0)) > self.most

    def _begin_flow(self, message: RawResponseMessage, body: StreamReader) -> None:
        assert self.flows is not None
        if message.code != 200:
            # A failure needs no body: what it says is in its first line and headers.
            self.owed -= 1
            self.report(self.understand(self.number, Reply(message.code, message, b"", False)))
            return
        self.flow, self.heard = (message, body), bytearray()
        length = message.headers.get("Content-Length")
        told = None if message.chunked or length is None else int(length)
        self.report(self.flows(self.number, Reply(200, message, b"", True), told))

    def _flow_on(self, data: bytes) -> None:
        assert self.flow is not None
        message, body = self.flow
        sound = True
        try:
            messages, _, __ = self.parser.feed_data(data)
            sound = not messages
        except Exception as bad:
            sound = False
            if not body.is_eof():
                body.set_exception(bad)
        if body.is_eof():
            self._flow_whole(sound and not message.should_close and not self.pouring)
        elif not sound or body.exception() is not None or body.total_bytes > MOST_LONG:
            self._fault()

    def _flow_whole(self, keep: bool) -> None:
        self.flow = None
        self.owed -= 1
        self.report(StreamedAnswerReceived(self.number, keep))

    def _until_the_end(self) -> None:
        """The other side has ended the connection: that may be how it ends its answer."""
        answer = self.flow or (self.begun[0] if self.begun else None)
        if self.over or answer is None:
            return
        with contextlib.suppress(Exception):
            self.parser.feed_eof()
        if answer[1].is_eof() and answer[1].exception() is None:
            if self.flow is not None:
                self._flow_whole(False)
            else:
                self.begun.popleft()
                self._told([answer], b"", False)

    def _told(self, whole: list[Answer], heard: bytes | bytearray, sound: bool) -> None:
        """Answers whose last byte has come. A connection that is not sound ends with the last of them."""
        whole = whole[: self.owed]
        for n, (message, payload) in enumerate(whole, 1):
            self.owed -= 1
            body = payload.read_nowait(-1)
            if not (self.owed or self.begun or heard.endswith(body if body and not message.chunked else END)):
                sound = False  # guards against the beginning of something that the parser has not refused yet
            keep = not message.should_close and not self.pouring and (sound or n < len(whole))
            self.report(self.understand(self.number, Reply(message.code, message, body, keep)))
            if self.over:
                return
        if not sound:
            self._fault()

    def _whole_ones(self, heard: bytes) -> list[Answer]:
        """The whole answers ahead of bytes that cannot be read: they are good, what follows them is not.

        The parser drops them with the rest, so they are read once more, each no further than it says it goes.
        """
        whole: list[Answer] = []
        parser, at = self._new_parser(), 0
        with contextlib.suppress(Exception):
            while len(whole) < self.owed and (end := heard.find(END, at) + 4) > 3:
                (message, payload), *_ = parser.feed_data(heard[at:end])[0]
                at = end
                if message.code >= 200:
                    at += int(message.headers["Content-Length"])
                    if at > len(heard):
                        break
                    parser.feed_data(heard[end:at])
                    if not payload.is_eof():
                        break
                    whole.append((message, payload))
        return whole

    def pause_reading(self) -> None:
        # The socket alone: the parser goes on with what has been read, a read's bytes at most.
        self._reading_paused = True
        self._pause_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._resume_transport_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        if exc is None:
            self._until_the_end()
        self._fault()

    # --- our side ------------------------------------------------------------------------------------------
    def send(self, data: bytes) -> None:
        if self.over or self.transport is None:
            return
        if not self.owed and self.used and self._stale():
            self.end()
            self.report(ConnectionStale(self.number))
            return
        self.owed += 1
        self.used = True
        self.reached = Progress.WRITTEN  # unless `write` finds that some is left, and says so
        self.transport.write(data)
        if self.reached is Progress.WRITING and self.flows is not None and not self.pouring:
            self.telling = True
            self.report(AttemptWriteBlocked(self.number))

    async def pour(self, data: bytes) -> None:
        """A further part of a body that is being passed on. Returns when there is room for another."""
        if not self.over and self.transport is not None:
            self.transport.write(data)
            await self._drain_helper()

    def poured(self) -> None:
        """The body's last byte has been handed over."""
        self.pouring = False
        if self.over or self.reached is Progress.ANSWERING:
            return
        if self._paused:
            self.telling = True
        else:
            self.reached = Progress.WRITTEN
            self.report(AttemptWritten(self.number))

    def _stale(self) -> bool:
        """Whether there is something to read, or the end, on a connection on which nothing is owed.

        Guards against writing to a connection that the other side has just closed, which would be a reset,
        and against taking what it sent unasked for the answer; the loop may yet have to tell of either.
        """
        assert self.transport is not None
        return unread(self.transport) is not None

    def end(self) -> None:
        """Ends the connection before anything else is sent on another; nothing more is reported."""
        self.over = True
        if self.transport is not None:
            # Guards against the loop's habit of closing a socket a turn later, when a further attempt would
            # already be out.
            shut(self.transport)
            self.transport.abort()

    def _fault(self) -> None:
        if not self.over:
            reached = self.reached
            if self.flow is not None and not self.flow[1].is_eof():
                self.flow[1].set_exception(ConnectionResetError("the stock node's answer broke off"))
            self.end()
            self.report(ConnectionLost(self.number, reached))
