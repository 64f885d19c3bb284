"""A client's connection: aiohttp's handler with bounded buffers, waits that follow progress, and a linger."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from aiohttp import web
from aiohttp.http import HttpProcessingError, HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from opalgauge.memory.buffers import HEAD_READ_SIZE, KIB, MAX_STREAM_READ, READER_LIMIT, head_memory
from opalgauge.wire.read_limiter import LimitedProtocol
from opalgauge.wire.socket_state import data_age, is_closed_by_peer, peek_byte, unsent_bytes

MAX_REQUEST_HEAD = 32 * KIB  # bytes
MAX_HEAD_FIELDS = 128
MAX_PARSED_REQUESTS = 1  # by one read; the parser keeps the bytes of what follows
MAX_QUEUED_REQUESTS = 2  # for which aiohttp stops reading
CLIENT_READ_TIMEOUT = 10.0  # s without progress after which a client has stopped reading an answer
# s between checks for a disconnect on connections whose reading is paused
DISCONNECT_POLL_INTERVAL = 0.04
LINGER_TIME = 0.5  # s for which a client's bytes are read and dropped after its last answer
MAX_LINGER_BYTES = 256 * 1024  # bytes that are read and dropped in that time
MAX_UNREAD_BYTES = 16 * 1024 * KIB  # bytes that the kernels of both sides hold at most


def drop_received_body(body: StreamReader) -> None:
    """Drops what has been read of a body and would be kept until its connection has ended."""
    if body.exception() is None:
        with contextlib.suppress(RuntimeError):  # somebody waits for more: nothing is kept
            body.read_nowait(-1)


class ConnectionObserver(Protocol):
    """What a connection reports to."""

    def partial_head_received(self, connection: ClientConnection) -> None:
        """A part of a request's head has come."""

    def answer_blocked(self, connection: ClientConnection, size: int) -> None:
        """`size` bytes of an answer could not be written yet."""

    def answer_written(self, connection: ClientConnection) -> None:
        """The last byte of a blocked answer has left."""


class ClientConnection(RequestHandler, LimitedProtocol):
    """aiohttp's connection handler, which also reports partial request heads and closes with a linger.

    A request is open from its head until its answer has been written. While one is open and complete, what
    follows it is not parsed, whoever calls `data_received`: the parser keeps what it was given behind it, and
    `unparsed` all that came later. `lingering` is set by `refuse_incomplete`, `answer_and_linger` and
    `drop_unread_bytes`: from then on, what arrives is dropped.
    """

    __slots__ = (
        "lingering", "dropped_bytes", "max_dropped_bytes", "max_read", "head_size",
        "head_fields", "unparsed", "unparsed_at", "parsed_at", "paused_at", "reads_late", "head_wait",
        "observer", "open_body", "disconnect_timer", "body_held",
    )  # fmt: skip

    def __init__(self, manager: Any, observer: ConnectionObserver, **options: Any) -> None:
        super().__init__(manager, **options)
        self.observer: ConnectionObserver | None = observer
        # aiohttp's own parser reads 32 requests ahead.
        self._parser = HttpRequestParser(
            self, self._loop, READER_LIMIT, max_line_size=self.max_line_size,
            max_field_size=self.max_field_size, max_headers=self.max_headers,
            payload_exception=RequestPayloadError, auto_decompress=False,
            max_msg_queue_size=MAX_PARSED_REQUESTS,
        )  # fmt: skip
        self._max_msg_queue_size, self._msg_queue_resume_size = MAX_QUEUED_REQUESTS, 1
        self.lingering, self.dropped_bytes, self.max_dropped_bytes = False, 0, MAX_LINGER_BYTES
        self.max_read = HEAD_READ_SIZE
        self.head_size = self.head_fields = 0  # bytes and lines of the request that is being read
        self.unparsed = b""  # what has come behind the open request and behind what the parser keeps
        # Loop times at which the last bytes of `unparsed`, and of what the parser was given, arrived.
        self.unparsed_at = self.parsed_at = 0.0
        self.head_wait = 0.0  # s for which the open request's first bytes waited until they were parsed
        self.paused_at = 0.0  # loop time at which reading was paused last
        self.reads_late = False  # what is read may have waited in the kernel while reading was paused
        self.body_held = False  # the rest of a request's body is not read until `release_reading`
        self.open_body: StreamReader | None = None  # the body of the open request; None: no request is open
        self.disconnect_timer: asyncio.TimerHandle | None = None

    # --- callbacks of asyncio and aiohttp ------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        # With a limit of 0, `pause_writing` is called whenever a byte could not be written at once.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See asyncio.BaseProtocol."""
        super().connection_lost(exc)
        self.observer, self.open_body, self.unparsed = None, None, b""
        if self.disconnect_timer is not None:
            self.disconnect_timer.cancel()

    def drop_received(self, size: int) -> bool:
        """Drops what arrives on a lingering connection."""
        if not self.lingering:
            return False
        self.dropped_bytes += size
        if self.dropped_bytes > self.max_dropped_bytes and self.transport is not None:
            self.transport.pause_reading()  # a flooding client would use up CPU
        return True

    def data_received(self, data: bytes) -> None:
        """Parses received bytes unless a complete request is open; aiohttp calls it with none to go on."""
        if self.lingering or self._force_close or self._close or self._parser is None:
            return
        if data:
            self.unparsed += data
            self.unparsed_at = self._loop.time() - self._take_read_delay()
        received = self.unparsed
        if not self.has_complete_request:
            self._parse_next()
        if self.unparsed:
            self._pause_reading_for_buffer()
            self.watch_for_disconnect()
        elif received and self.open_body is None and self.observer is not None:
            self._report_partial_head(received)

    def _take_read_delay(self) -> float:
        """How long the bytes that have just been read may have waited in the kernel (s).

        They wait while the connection is not accepted, its reading is paused or the process does not run. The
        kernel tells the age of the last of them only, so the first are taken to be as old as a pause.
        """
        if self.transport is None:
            return 0.0
        delay = data_age(self.transport)
        if self.reads_late:
            delay = max(delay, self._loop.time() - self.paused_at)
            self.reads_late = bool(peek_byte(self.transport))
        return delay

    def _pause_reading_for_buffer(self) -> None:
        if not self._buffer_paused:
            self.paused_at = self._loop.time()
        super()._pause_reading_for_buffer()

    def _resume_reading_for_buffer(self) -> None:
        self.reads_late = self.transport is not None and bool(peek_byte(self.transport))
        super()._resume_reading_for_buffer()

    def _parse_next(self) -> None:
        """Parses on until a request is complete: first what the parser keeps, then what came behind it."""
        self._parse(b"")
        if self.unparsed and not self.has_complete_request:
            data, self.unparsed, self.parsed_at = self.unparsed, b"", self.unparsed_at
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parses bytes; the parser stops behind a complete request and keeps the rest."""
        assert self._parser is not None
        try:
            messages, _, __ = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._reject(error)
            return
        for message, body in messages:
            # No other protocol is spoken, and the parser can lose what follows such a request.
            last = message.upgrade
            self._open_request(message._replace(should_close=True) if last else message, body)

    def _open_request(self, message: RawRequestMessage | _ErrInfo, body: StreamReader) -> None:
        """Passes a request that has begun on to aiohttp's handler."""
        self.open_body = body
        self.head_wait = self._loop.time() - self.parsed_at
        self._request_count += 1
        self._messages.append((message, body))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if not body.is_eof():
            self.hold_reading()  # until there is memory for its body

    def _reject(self, error: HttpProcessingError) -> None:
        """Answers bytes that are no request with 400, or ends the open body that they belong to."""
        # The frames of the error would keep the connection until a garbage collection.
        error.__traceback__ = error.__context__ = error.__cause__ = None
        if self.open_body is not None:
            self.open_body.set_exception(error)
            return
        self._open_request(_ErrInfo(status=400, exc=error, message=error.message), EMPTY_PAYLOAD)

    def _report_partial_head(self, data: bytes) -> None:
        """Reports a request that has begun, or refuses it if its head is too long."""
        assert self.observer is not None
        self.head_size += len(data)
        self.head_fields += data.count(b"\n")
        if self.head_size > MAX_REQUEST_HEAD:
            self.refuse_incomplete(400, "request head is too long")
        else:
            self.observer.partial_head_received(self)

    @property
    def has_complete_request(self) -> bool:
        """Whether a request has been read to its end and has not been answered."""
        return self.open_body is not None and self.open_body.is_eof()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        response, reset = await super()._handle_request(request, start_time, request_handler)
        await self.wait_until_written()
        if response.keep_alive and request.content.is_eof() and not reset:
            self._read_next_request()
        return response, reset

    def _read_next_request(self) -> None:
        """Parses what has come behind the request that has been answered, and reads on."""
        if self.lingering or self.transport is None or self._force_close:
            return
        self.open_body, self.max_read, self.body_held = None, HEAD_READ_SIZE, False
        self.head_size = self.head_fields = 0
        if self._buffer_paused:
            self._resume_reading_if_drained()
        else:
            self.data_received(b"")

    def _make_error_handler(self, err_info: Any) -> Any:
        make_response = super()._make_error_handler(err_info)

        async def handler(request: web.BaseRequest) -> web.StreamResponse:
            response: web.StreamResponse = await make_response(request)
            await self.answer_and_linger(request, response)
            return response

        return handler

    # --- calls of the clients' server ----------------------------------------------------------------------
    @property
    def time_waited(self) -> float:
        """How long the open request has waited to be read, or behind the one before it (s).

        Its client may have written all of it then, though the rest comes only as it is read.
        """
        since_arrival = self._loop.time() - self.parsed_at if self.has_complete_request else 0.0
        return max(self.head_wait, since_arrival)

    @property
    def head_memory(self) -> int:
        """The bytes that the part of a head takes that has come."""
        return head_memory(self.head_size, self.head_fields)

    def watch_for_disconnect(self) -> None:
        """From now on looks for the client's disconnect while a request is open and reading is paused.

        The loop does not notice a disconnect behind unread bytes: the rest of a body, or requests behind the
        open one. The request would be kept, and sent on, for nobody.
        """
        if self.disconnect_timer is None:
            self.disconnect_timer = self._loop.call_later(DISCONNECT_POLL_INTERVAL, self._check_disconnect)

    def _check_disconnect(self) -> None:
        self.disconnect_timer = None
        transport = self.transport
        if transport is None or transport.is_closing() or self.open_body is None or self.lingering:
            return
        if not transport.is_reading() and is_closed_by_peer(transport):
            transport.abort()
            return
        self.watch_for_disconnect()

    def hold_reading(self) -> None:
        """Reads no more of a request's body until `release_reading`."""
        self.body_held = True
        if not self._buffer_paused:
            self._pause_reading_for_buffer()

    def release_reading(self, max_read: int) -> None:
        """Reads again, up to `max_read` bytes at once, unless enough requests wait already."""
        self.max_read, self.body_held = max_read, False
        if self._buffer_paused:
            self._resume_reading_if_drained()

    def _resume_reading_if_drained(self) -> None:
        if self.body_held:
            return
        self.data_received(b"")
        if not self.body_held and not self.unparsed:
            self._resume_reading_for_buffer()

    def refuse_incomplete(self, status: int, message: str) -> None:
        """Answers a request whose head is incomplete, and drops what has come of it and still comes."""
        error = BadHttpMessage(message)
        self.lingering = True
        self._drop_buffers()
        self._open_request(_ErrInfo(status=status, exc=error, message=message), EMPTY_PAYLOAD)

    def drop_unread_bytes(self) -> bool:
        """Drops what the client sent behind its open request and still sends.

        The loop notices the end of the connection only behind these bytes. Returns False if reading goes on
        anyway, so that none is missed, or if the rest of the open request is still to come.
        """
        transport = self.transport
        if transport is None or self.lingering or not self.has_complete_request or transport.is_reading():
            return False
        self.lingering, self.max_dropped_bytes, self.max_read = True, MAX_UNREAD_BYTES, MAX_STREAM_READ
        self._drop_buffers()
        self._reading_paused = self._buffer_paused = False
        transport.resume_reading()
        return True

    def _drop_buffers(self) -> None:
        self._parser, self.unparsed = None, b""

    async def wait_until_written(self) -> None:
        """Waits until the kernel has taken an answer; aborts the connection if its client stops reading."""
        transport, observer = self.transport, self.observer
        if transport is None or observer is None or not (size := transport.get_write_buffer_size()):
            return
        observer.answer_blocked(self, size)
        with contextlib.suppress(ConnectionError):
            await self.drain_by_progress()
            if self.observer is not None:
                self.observer.answer_written(self)

    async def drain_by_progress(self) -> None:
        """Waits until the kernel has taken all that was written.

        Aborts the connection, and raises ConnectionResetError, once the client has read nothing for
        CLIENT_READ_TIMEOUT. The kernel takes more only when a good part of its buffer is free, which takes a
        slow client longer than that, so what it has not delivered is looked at as well.
        """
        while (transport := self.transport) is not None and transport.get_write_buffer_size():
            undelivered = unsent_bytes(transport)
            try:
                async with asyncio.timeout(CLIENT_READ_TIMEOUT):
                    await self._drain_helper()
                return
            except TimeoutError:
                self._drain_waiter = None  # cancelled by the timeout
                if undelivered is None or unsent_bytes(transport) == undelivered:
                    transport.abort()
                    raise ConnectionResetError("client has stopped reading") from None

    async def answer_and_linger(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Writes the last answer of a connection and closes it with a linger.

        Shuts down the sending side, then drops what the client still sends, until it closes or a limit is
        reached. Closing a socket with unread bytes sends a reset, which can destroy the answer on its way.
        aiohttp's own lingering does not shut down the sending side, and stops at the end of the request body.
        """
        if not request.content.is_eof():
            drop_received_body(request.content)
        self.lingering = True
        self._drop_buffers()
        await response.prepare(request)
        await response.write_eof()
        await self.wait_until_written()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        with contextlib.suppress(OSError, RuntimeError):
            transport.write_eof()
            self._reading_paused = self._buffer_paused = False
            transport.resume_reading()
        # If the client closes earlier, aiohttp cancels this handler task.
        await asyncio.sleep(LINGER_TIME)
