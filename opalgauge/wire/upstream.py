"""Upstream connections: write requests, parse answers and report one event for everything that happens.

They use aiohttp's response parser on a bare connection, at 38 us of CPU a call, and not its client session,
which takes 163 us and cannot pipeline requests. Nothing is resent, no redirect followed, no cookie kept and
nothing decompressed.
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

from opalgauge.memory.buffers import MAX_STREAM_READ, READ_SIZE
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
from opalgauge.wire.read_limiter import LimitedProtocol
from opalgauge.wire.socket_state import peek_byte, shut_down
from opalgauge.wire.streamed_body import StreamedAnswerBody

MAX_BODY = 40 * 1024 * 1024  # bytes of a streamed body
MAX_COUNTER_REPLY = 64  # bytes of the body of a counter's answer
MAX_HEAD = 16 * 1024  # bytes ahead of a body
MAX_SERVER_LIST = 4 * 1024 * 1024  # bytes of a server list


@dataclass(slots=True)
class Reply:
    """A complete answer, or the head of a streamed one; with `keep_alive` the connection can be reused."""

    status: int
    head: RawResponseMessage
    body: bytes
    keep_alive: bool


PARTIAL_REPORT_INTERVAL = 0.05  # s between two reports that an answer is still arriving

TERMINATOR = b"\r\n\r\n"  # ends a head, and a chunked answer

ParseReply = Callable[[int, Reply], Event]
# Connection id, head of the answer, and its length if declared.
ParseStreamStart = Callable[[int, Reply, int | None], Event]
ParsedAnswer = tuple[RawResponseMessage, StreamReader]


class UpstreamConnection(BaseProtocol, LimitedProtocol):
    """One upstream connection. Any failure closes it and is reported as one `ConnectionLost`.

    `parse_reply` turns a complete answer into an event, `parse_stream_start` the head of an answer with more
    than `max_body` bytes, which is streamed. Without `parse_stream_start` such an answer is a failure.
    """

    def __init__(
        self,
        connection_id: int,
        loop: asyncio.AbstractEventLoop,
        report: Callable[[Event], None],
        parse_reply: ParseReply,
        max_body: int,
        parse_stream_start: ParseStreamStart | None = None,
        reads_until_eof: bool = False,
    ) -> None:
        super().__init__(loop)
        self.connection_id, self.report, self.parse_reply, self.max_body = (
            connection_id,
            report,
            parse_reply,
            max_body,
        )
        self.parse_stream_start = parse_stream_start
        self.reads_until_eof = reads_until_eof or parse_stream_start is not None
        self.max_read = MAX_STREAM_READ if parse_stream_start is None else READ_SIZE
        self.stream: ParsedAnswer | None = None  # the answer that is being streamed
        self.streamed_body: StreamedAnswerBody | None = None  # its body, on the way to the client
        self.reading_held = False  # until the client has taken what was read
        # A request body is still being written; `AttemptWritten` is still to be reported.
        self.sending_body = self.written_event_due = False
        self.parser = self._new_parser()
        self.progress = Progress.CONNECTING
        self.closed = self.used = self.was_partial = self.head_reported = False
        self.pending_answers = 0  # requests sent and not answered
        self.last_partial_at = 0.0  # loop time of the last `AnswerPartReceived`
        self.incomplete_answers: deque[ParsedAnswer] = deque()
        self.incomplete_data = bytearray()  # all bytes of the incomplete answers

    def _new_parser(self) -> HttpResponseParser:
        return HttpResponseParser(
            self, self._loop, 2 * self.max_body, max_line_size=8190, max_field_size=8190,
            auto_decompress=False, read_until_eof=self.reads_until_eof,
        )  # fmt: skip

    # --- callbacks of asyncio and aiohttp ------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reports the connection as open."""
        super().connection_made(transport)
        tcp_transport = cast(asyncio.Transport, transport)
        # With a limit of 0, `pause_writing` is called whenever a byte could not be written at once.
        tcp_transport.set_write_buffer_limits(high=0)
        self.progress = Progress.WRITING
        if self.closed:
            tcp_transport.abort()
        else:
            self.report(ConnectionOpened(self.connection_id))

    def pause_writing(self) -> None:
        """Called when the kernel did not take all bytes of a write."""
        super().pause_writing()
        self.progress = Progress.WRITING

    def resume_writing(self) -> None:
        """Called when the kernel has taken all bytes."""
        super().resume_writing()
        if not self.sending_body and self.progress is Progress.WRITING:
            self.progress = Progress.WRITTEN
            if self.written_event_due:
                self.written_event_due = False
                self.report(AttemptWritten(self.connection_id))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and reports the answers, or parts of answers, in them."""
        if self.closed:
            return
        if not self.pending_answers:
            # Garbage or a second copy after an answer would be taken for the answer to the next request.
            self._fail()
            return
        self.progress = Progress.ANSWERING
        if self.stream is not None:
            self._feed_stream(data)
            return
        received: bytes | bytearray = data
        if self.incomplete_data:
            self.incomplete_data += data
            received = self.incomplete_data
        try:
            messages, upgraded, _ = self.parser.feed_data(data)
        except Exception:  # whatever the peer sent, it affects this connection only
            self._report_answers(self._parse_complete_answers(bytes(received)), received, False)
            return
        if upgraded:
            self._fail()
            return
        for message, payload in messages:
            if message.code < 200:
                continue
            length = message.headers.get("Content-Length")
            unbounded = length is None and not self.reads_until_eof
            max_length = MAX_BODY if self.parse_stream_start is not None else self.max_body
            if not message.chunked and (unbounded or length is not None and int(length) > max_length):
                # The end of the answer could not be recognised, or it is too long.
                self._report_answers(self._parse_complete_answers(bytes(received)), received, False)
                return
            self.incomplete_answers.append((message, payload))
        complete = []
        while self.incomplete_answers and self.incomplete_answers[0][1].is_eof():
            complete.append(self.incomplete_answers.popleft())
        if complete:
            self.incomplete_data = bytearray()
        elif received is data:
            self.incomplete_data = bytearray(data)
        if (
            not complete
            and self.incomplete_answers
            and self.parse_stream_start is not None
            and self._must_stream(*self.incomplete_answers[0])
        ):
            self._start_stream(*self.incomplete_answers.popleft())
            return
        # A 1xx answer alone does not count: the final answer may take its time.
        partial = bool(self.incomplete_answers) or not (complete or messages)
        self._report_answers(
            complete, received, len(complete) + len(self.incomplete_answers) <= self.pending_answers
        )
        if self.closed:
            return
        body = self.incomplete_answers[0][1] if self.incomplete_answers else None
        unbounded = (
            len(self.incomplete_data) > self.max_body + MAX_HEAD
            or body is not None
            and body.total_bytes > self.max_body
        )
        if unbounded or body is not None and body.exception() is not None:
            self._fail()  # an endless head or body, or malformed chunks
        elif partial and (
            not self.was_partial
            or body is not None
            and not self.head_reported
            or self._loop.time() - self.last_partial_at > PARTIAL_REPORT_INTERVAL
        ):
            self.last_partial_at, self.head_reported = self._loop.time(), body is not None
            self.report(AnswerPartReceived(self.connection_id, self.head_reported))
        self.was_partial = partial

    def _must_stream(self, message: RawResponseMessage, body: StreamReader) -> bool:
        """Whether an answer has to be streamed: its body has begun and is too long to be buffered."""
        if body.exception() is not None or not body.total_bytes:
            return False
        # Many small chunks can pause reading before the limit is reached: buffering would wait forever.
        too_long = body.total_bytes > self.max_body or self._reading_paused
        return (
            too_long or not message.chunked and int(message.headers.get("Content-Length", 0)) > self.max_body
        )

    def _start_stream(self, message: RawResponseMessage, body: StreamReader) -> None:
        assert self.parse_stream_start is not None
        if message.code != 200:
            # The body of an error is not needed: the status and the headers say all.
            self.pending_answers -= 1
            self.report(self.parse_reply(self.connection_id, Reply(message.code, message, b"", False)))
            return
        self.stream, self.incomplete_data = (message, body), bytearray()
        self.streamed_body = StreamedAnswerBody(self)
        self.streamed_body.feed(body.read_nowait(-1))
        length = message.headers.get("Content-Length")
        declared_length = None if message.chunked or length is None else int(length)
        self.report(
            self.parse_stream_start(self.connection_id, Reply(200, message, b"", True), declared_length)
        )

    def _feed_stream(self, data: bytes) -> None:
        assert self.stream is not None and self.streamed_body is not None
        message, body = self.stream
        well_formed = True
        try:
            messages, _, __ = self.parser.feed_data(data)
            well_formed = not messages
        except Exception:
            well_formed = False
        if body.exception() is None:
            # Taken at once: many small chunks would need several times their size in the parser's buffer.
            self.streamed_body.feed(body.read_nowait(-1))
        if body.is_eof() and body.exception() is None:
            self._finish_stream(well_formed and not message.should_close and not self.sending_body)
        elif not well_formed or body.exception() is not None or body.total_bytes > MAX_BODY:
            self._fail()

    def _finish_stream(self, keep_alive: bool) -> None:
        assert self.streamed_body is not None
        self.streamed_body.end()
        self.stream = self.streamed_body = None
        self.release_reading(READ_SIZE)
        self.pending_answers -= 1
        self.report(StreamedAnswerReceived(self.connection_id, keep_alive))

    def _finish_at_eof(self) -> None:
        """Handles a close by the peer, which may be how it ends its answer."""
        answer = self.stream or (self.incomplete_answers[0] if self.incomplete_answers else None)
        if self.closed or answer is None:
            return
        with contextlib.suppress(Exception):
            self.parser.feed_eof()
        if answer[1].is_eof() and answer[1].exception() is None:
            if self.streamed_body is not None:
                self.streamed_body.feed(answer[1].read_nowait(-1))
                self._finish_stream(False)
            else:
                self.incomplete_answers.popleft()
                self._report_answers([answer], b"", False)

    def _report_answers(
        self, complete: list[ParsedAnswer], received: bytes | bytearray, well_formed: bool
    ) -> None:
        """Reports complete answers; then closes the connection if what follows them is not well-formed."""
        complete = complete[: self.pending_answers]
        for n, (message, payload) in enumerate(complete, 1):
            self.pending_answers -= 1
            body = payload.read_nowait(-1)
            if not (
                self.pending_answers
                or self.incomplete_answers
                or received.endswith(body if body and not message.chunked else TERMINATOR)
            ):
                # Something follows the answer that the parser has not rejected yet.
                well_formed = False
            keep_alive = (
                not message.should_close and not self.sending_body and (well_formed or n < len(complete))
            )
            self.report(self.parse_reply(self.connection_id, Reply(message.code, message, body, keep_alive)))
            if self.closed:
                return
        if not well_formed:
            self._fail()

    def _parse_complete_answers(self, received: bytes) -> list[ParsedAnswer]:
        """Parses the complete answers ahead of malformed bytes; they are valid, what follows is not.

        The parser has discarded them with the rest, so they are parsed again, each up to its declared length.
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
        """Pauses the socket only; the parser continues with what has been read, one read at most."""
        self._reading_paused = True
        self._pause_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resumes reading from the socket."""
        if self._reading_paused:
            self._reading_paused = False
            if not self.reading_held:
                self._resume_transport_reading()

    def hold_reading(self) -> None:
        """Reads no more of a streamed answer until `release_reading`."""
        if not self.reading_held:
            self.reading_held = True
            self._pause_transport_reading()

    def release_reading(self, max_read: int) -> None:
        """Reads again, up to `max_read` bytes at once."""
        self.max_read = max_read
        if self.reading_held:
            self.reading_held = False
            self._resume_transport_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Reports an answer that ends with the connection, then the loss of the connection."""
        super().connection_lost(exc)
        if exc is None:
            self._finish_at_eof()
        self._fail()

    # --- calls of the runtime ------------------------------------------------------------------------------
    def stream_answer(self) -> None:
        """Streams an answer whose head has come, however little of its body has; an error is reported."""
        if not self.closed and self.stream is None and self.incomplete_answers:
            self._start_stream(*self.incomplete_answers.popleft())

    def write_body_part(self, data: bytes) -> bool:
        """Writes the next part of a streamed body. Returns whether the kernel has taken all of it."""
        if self.closed or self.transport is None:
            return True
        self.transport.write(data)
        return not self._paused

    async def wait_until_written(self) -> None:
        """Waits until the kernel has taken what was written."""
        if not self.closed and self.transport is not None:
            await self._drain_helper()

    def send(self, data: bytes) -> None:
        """Writes a request, or its start if `sending_body` is set; reports a stale connection instead."""
        if self.closed or self.transport is None:
            return
        if not self.pending_answers and self.used and self._is_stale():
            self.close()
            self.report(ConnectionStale(self.connection_id))
            return
        self.pending_answers += 1
        self.used = True
        self.progress = Progress.WRITTEN  # `write` calls `pause_writing` if bytes are left
        self.transport.write(data)
        if (
            self.progress is Progress.WRITING
            and self.parse_stream_start is not None
            and not self.sending_body
        ):
            self.written_event_due = True
            self.report(AttemptWriteBlocked(self.connection_id))

    def finish_body(self) -> None:
        """Ends a streamed body: all of it has been handed to the transport."""
        self.sending_body = False
        if self.closed or self.progress is Progress.ANSWERING:
            return
        if self._paused:
            self.written_event_due = True
        else:
            self.progress = Progress.WRITTEN
            self.report(AttemptWritten(self.connection_id))

    def _is_stale(self) -> bool:
        """Whether a connection without pending answers has been closed by the peer or has unread bytes.

        The loop may not have noticed either yet. A request on a closed connection would end in a reset, and
        unsolicited bytes would be taken for its answer.
        """
        assert self.transport is not None
        return peek_byte(self.transport) is not None

    def close(self) -> None:
        """Closes the connection at once; nothing more is reported."""
        self.closed = True
        if self.streamed_body is not None:
            self.streamed_body.end(ConnectionResetError("the server's answer broke off"))
        if self.transport is not None:
            # The loop closes a socket one iteration later, when the next attempt may already be sent.
            shut_down(self.transport)
            self.transport.abort()

    def _fail(self) -> None:
        if not self.closed:
            progress = self.progress
            self.close()
            self.report(ConnectionLost(self.connection_id, progress))
