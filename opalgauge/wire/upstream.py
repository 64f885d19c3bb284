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
from opalgauge.wire.socket_state import peek_byte, shut_down

MAX_BUFFERED_BODY = 64 * 1024  # bytes: a longer answer is not held, but passed on while it comes
MAX_BODY = 40 * 1024 * 1024  # bytes: nor is any message longer
MAX_COUNTER_REPLY = 64  # bytes: nor is a count's total longer
MAX_HEAD = 16 * 1024  # bytes: nor is all that comes ahead of a body
MAX_SERVER_LIST = 4 * 1024 * 1024  # bytes: nor is a node list longer


@dataclass(slots=True)
class Reply:
    """One whole answer; `keep_alive`: the connection can carry another."""

    status: int
    head: RawResponseMessage
    body: bytes
    keep_alive: bool


PARTIAL_REPORT_INTERVAL = 0.05  # s: how often an answer that comes in pieces is told to go on

TERMINATOR = b"\r\n\r\n"  # of a head, and of an answer in chunks

ParseReply = Callable[[int, Reply], Event]
ParseStreamStart = Callable[
    [int, Reply, int | None], Event
]  # an answer's head, and its length where it tells one
ParsedAnswer = tuple[RawResponseMessage, StreamReader]


class UpstreamConnection(BaseProtocol):
    """One outgoing connection. Whatever goes wrong on it ends here, as one `ConnectionLost`."""

    def __init__(
        self,
        connection_id: int,
        loop: asyncio.AbstractEventLoop,
        report: Callable[[Event], None],
        parse_reply: ParseReply,
        max_body: int,
        parse_stream_start: ParseStreamStart | None = None,
    ) -> None:
        super().__init__(loop)
        self.connection_id, self.report, self.parse_reply, self.max_body = (
            connection_id,
            report,
            parse_reply,
            max_body,
        )
        self.parse_stream_start = parse_stream_start  # None: an answer that is too long to be held is a fault
        self.stream: ParsedAnswer | None = None  # the long answer that is being passed on
        self.sending_body = self.reports_written = (
            False  # a body is still being written; its end is to be told
        )
        self.parser = self._new_parser()
        self.progress = Progress.CONNECTING
        self.closed = self.used = self.partial = False
        self.pending_answers = 0  # answers to what was sent
        self.last_partial_at = 0.0  # when it was last told that an answer is not whole yet
        self.incomplete: deque[ParsedAnswer] = deque()  # answers whose last byte has not come
        self.received = bytearray()  # all bytes of these

    def _new_parser(self) -> HttpResponseParser:
        return HttpResponseParser(
            self, self._loop, 2 * self.max_body, max_line_size=8190, max_field_size=8190,
            auto_decompress=False, read_until_eof=self.parse_stream_start is not None,
        )  # fmt: skip

    # --- asyncio's side ------------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        tcp_transport = cast(asyncio.Transport, transport)
        tcp_transport.set_write_buffer_limits(
            high=0
        )  # so that `pause_writing` tells of every byte not yet written
        self.progress = Progress.WRITING
        if self.closed:
            tcp_transport.abort()
        else:
            self.report(ConnectionOpened(self.connection_id))

    def pause_writing(self) -> None:
        super().pause_writing()
        self.progress = Progress.WRITING

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self.sending_body and self.progress is Progress.WRITING:
            self.progress = Progress.WRITTEN
            if self.reports_written:
                self.reports_written = False
                self.report(AttemptWritten(self.connection_id))

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        if not self.pending_answers:
            # Guards against noise and second copies behind an answer: they would be taken for the next one.
            self._fail()
            return
        self.progress = Progress.ANSWERING
        if self.stream is not None:
            self._feed_stream(data)
            return
        received: bytes | bytearray = data
        if self.received:
            self.received += data
            received = self.received
        try:
            messages, upgraded, _ = self.parser.feed_data(data)
        except Exception:  # whatever the other side sent, it ends this connection and nothing else
            self._report_answers(self._parse_complete_answers(bytes(received)), received, False)
            return
        if upgraded:
            self._fail()
            return
        for message, payload in messages:
            if message.code < 200:
                continue
            length = message.headers.get("Content-Length")
            unbounded = length is None and self.parse_stream_start is None
            max_length = MAX_BODY if self.parse_stream_start is not None else self.max_body
            if not message.chunked and (unbounded or length is not None and int(length) > max_length):
                # Guards against what cannot be said to be whole, and what is far too long.
                self._report_answers(self._parse_complete_answers(bytes(received)), received, False)
                return
            self.incomplete.append((message, payload))
        complete = []
        while self.incomplete and self.incomplete[0][1].is_eof():
            complete.append(self.incomplete.popleft())
        if complete:
            self.received = bytearray()
        elif received is data:
            self.received = bytearray(data)
        if (
            not complete
            and self.incomplete
            and self.parse_stream_start is not None
            and self._must_stream(*self.incomplete[0])
        ):
            self._start_stream(*self.incomplete.popleft())
            return
        partial = bool(self.incomplete) or not (
            complete or messages
        )  # a 1xx alone: the answer may take its time
        self._report_answers(complete, received, len(complete) + len(self.incomplete) <= self.pending_answers)
        if self.closed:
            return
        body = self.incomplete[0][1] if self.incomplete else None
        unbounded = (
            len(self.received) > self.max_body + MAX_HEAD
            or body is not None
            and body.total_bytes > self.max_body
        )
        if unbounded or body is not None and body.exception() is not None:
            self._fail()  # guards against an answer without end, and chunks that cannot be read
        elif partial and (
            not self.partial or self._loop.time() - self.last_partial_at > PARTIAL_REPORT_INTERVAL
        ):
            self.last_partial_at = self._loop.time()
            self.report(AnswerPartReceived(self.connection_id))
        self.partial = partial

    def _must_stream(self, message: RawResponseMessage, body: StreamReader) -> bool:
        """Whether an answer is to be passed on as it comes: it has begun to, and is too long to be held."""
        if body.exception() is not None or not body.total_bytes:
            return False
        # Held back by its own many small chunks it would wait for ever.
        too_long = body.total_bytes > self.max_body or self._reading_paused
        return (
            too_long or not message.chunked and int(message.headers.get("Content-Length", 0)) > self.max_body
        )

    def _start_stream(self, message: RawResponseMessage, body: StreamReader) -> None:
        assert self.parse_stream_start is not None
        if message.code != 200:
            # A failure needs no body: what it says is in its first line and headers.
            self.pending_answers -= 1
            self.report(self.parse_reply(self.connection_id, Reply(message.code, message, b"", False)))
            return
        self.stream, self.received = (message, body), bytearray()
        length = message.headers.get("Content-Length")
        declared_length = None if message.chunked or length is None else int(length)
        self.report(
            self.parse_stream_start(self.connection_id, Reply(200, message, b"", True), declared_length)
        )

    def _feed_stream(self, data: bytes) -> None:
        assert self.stream is not None
        message, body = self.stream
        well_formed = True
        try:
            messages, _, __ = self.parser.feed_data(data)
            well_formed = not messages
        except Exception as error:
            well_formed = False
            if not body.is_eof():
                body.set_exception(error)
        if body.is_eof():
            self._finish_stream(well_formed and not message.should_close and not self.sending_body)
        elif not well_formed or body.exception() is not None or body.total_bytes > MAX_BODY:
            self._fail()

    def _finish_stream(self, keep_alive: bool) -> None:
        self.stream = None
        self.pending_answers -= 1
        self.report(StreamedAnswerReceived(self.connection_id, keep_alive))

    def _finish_at_eof(self) -> None:
        """The other side has ended the connection: that may be how it ends its answer."""
        answer = self.stream or (self.incomplete[0] if self.incomplete else None)
        if self.closed or answer is None:
            return
        with contextlib.suppress(Exception):
            self.parser.feed_eof()
        if answer[1].is_eof() and answer[1].exception() is None:
            if self.stream is not None:
                self._finish_stream(False)
            else:
                self.incomplete.popleft()
                self._report_answers([answer], b"", False)

    def _report_answers(
        self, complete: list[ParsedAnswer], received: bytes | bytearray, well_formed: bool
    ) -> None:
        """Answers whose last byte has come. A connection that is not sound ends with the last of them."""
        complete = complete[: self.pending_answers]
        for n, (message, payload) in enumerate(complete, 1):
            self.pending_answers -= 1
            body = payload.read_nowait(-1)
            if not (
                self.pending_answers
                or self.incomplete
                or received.endswith(body if body and not message.chunked else TERMINATOR)
            ):
                well_formed = (
                    False  # guards against the beginning of something that the parser has not refused yet
                )
            keep_alive = (
                not message.should_close and not self.sending_body and (well_formed or n < len(complete))
            )
            self.report(self.parse_reply(self.connection_id, Reply(message.code, message, body, keep_alive)))
            if self.closed:
                return
        if not well_formed:
            self._fail()

    def _parse_complete_answers(self, received: bytes) -> list[ParsedAnswer]:
        """The whole answers ahead of bytes that cannot be read: they are good, what follows them is not.

        The parser drops them with the rest, so they are read once more, each no further than it says it goes.
        """
        complete: list[ParsedAnswer] = []
        parser, position = self._new_parser(), 0
        with contextlib.suppress(Exception):
            while (
                len(complete) < self.pending_answers and (end := received.find(TERMINATOR, position) + 4) > 3
            ):
                (message, payload), *_ = parser.feed_data(received[position:end])[0]
                position = end
                if message.code >= 200:
                    position += int(message.headers["Content-Length"])
                    if position > len(received):
                        break
                    parser.feed_data(received[end:position])
                    if not payload.is_eof():
                        break
                    complete.append((message, payload))
        return complete

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
            self._finish_at_eof()
        self._fail()

    # --- our side ------------------------------------------------------------------------------------------
    def send(self, data: bytes) -> None:
        if self.closed or self.transport is None:
            return
        if not self.pending_answers and self.used and self._is_stale():
            self.close()
            self.report(ConnectionStale(self.connection_id))
            return
        self.pending_answers += 1
        self.used = True
        self.progress = Progress.WRITTEN  # unless `write` finds that some is left, and says so
        self.transport.write(data)
        if (
            self.progress is Progress.WRITING
            and self.parse_stream_start is not None
            and not self.sending_body
        ):
            self.reports_written = True
            self.report(AttemptWriteBlocked(self.connection_id))

    async def send_body_part(self, data: bytes) -> None:
        """A further part of a body that is being passed on. Returns when there is room for another."""
        if not self.closed and self.transport is not None:
            self.transport.write(data)
            await self._drain_helper()

    def finish_body(self) -> None:
        """The body's last byte has been handed over."""
        self.sending_body = False
        if self.closed or self.progress is Progress.ANSWERING:
            return
        if self._paused:
            self.reports_written = True
        else:
            self.progress = Progress.WRITTEN
            self.report(AttemptWritten(self.connection_id))

    def _is_stale(self) -> bool:
        """Whether there is something to read, or the end, on a connection on which nothing is owed.

        Guards against writing to a connection that the other side has just closed, which would be a reset,
        and against taking what it sent unasked for the answer; the loop may yet have to tell of either.
        """
        assert self.transport is not None
        return peek_byte(self.transport) is not None

    def close(self) -> None:
        """Ends the connection before anything else is sent on another; nothing more is reported."""
        self.closed = True
        if self.transport is not None:
            # Guards against the loop's habit of closing a socket a turn later, when a further attempt would
            # already be out.
            shut_down(self.transport)
            self.transport.abort()

    def _fail(self) -> None:
        if not self.closed:
            progress = self.progress
            if self.stream is not None and not self.stream[1].is_eof():
                self.stream[1].set_exception(ConnectionResetError("the stock node's answer broke off"))
            self.close()
            self.report(ConnectionLost(self.connection_id, progress))
