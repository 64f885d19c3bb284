"""The client side: reads clients' requests, reports them to the reducer and writes one answer to each."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from aiohttp import ClientPayloadError, web
from aiohttp.http import HttpProcessingError, HttpVersion11, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from opalgauge.memory.buffers import (
    BODY_READ_AHEAD,
    HEAD_READ_SIZE,
    MAX_BUFFERED_BODY,
    READ_SIZE,
    READER_LIMIT,
    head_memory,
    unreported_body_memory,
)
from opalgauge.memory.effects import AnswerClient
from opalgauge.memory.events import (
    AnswerBlocked,
    AnswerWritten,
    ClientConnected,
    ClientDisconnected,
    Event,
    HttpRequest,
    RequestBodyStarted,
    RequestDiscarded,
    RequestHeadStarted,
    RequestReceived,
    StreamedAnswerEnded,
)
from opalgauge.wire.client_connection import (
    MAX_HEAD_FIELDS,
    ClientConnection,
    ConnectionObserver,
    drop_received_body,
)
from opalgauge.wire.listener import Listener, bind
from opalgauge.wire.read_limiter import ReadLimiter
from opalgauge.wire.socket_state import is_closed_by_peer, peek_byte
from opalgauge.wire.streamed_body import ReadBudget, ReadShare, StreamedAnswerBody, StreamedRequestBody
from opalgauge.wire.upstream import MAX_BODY

BACKLOG = 512  # length of the listening socket's accept queue
BODY_STALL_TIMEOUT = 2.2  # s without a byte after which a client has stopped sending its body
MIN_BODY_RATE = 4096  # bytes/s, averaged over a body: a slower client would hold a connection for nothing
SERVER_STALL_TIMEOUT = 10.0  # s without progress after which a server has stopped sending an answer
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
ACCOUNT_LIMIT = 2**33  # accounts are numbered below this
CLOSE_POLL_INTERVAL = 0.01  # s between checks of what is left to finish in `Clients.close`
FINAL_WRITE_TIMEOUT = 0.5  # s for clients that are slow to read their answers in `Clients.close`
ZERO = timedelta(0)
MAX_WAIT = 3600.0  # s: the longest time left that a client may state
# Forwarded with the body: how it is encoded, and the key by which servers recognise a repeated request.
FORWARDED_HEADERS = ("Content-Type", "Content-Encoding", "Idempotency-Key")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
CORRELATION_ID_PATTERN = re.compile(r"[!-~]{1,128}")  # visible ASCII
ACCOUNT_PATTERN = re.compile(r"(?:^|;)\s*customer=([0-9a-fA-F]{1,16})\s*(?:;|$)")

# aiohttp logs every malformed request that it answers, and clients could fill the log with them.
MUTED_LOGGER = logging.getLogger("opalgauge.clients")
MUTED_LOGGER.setLevel(logging.CRITICAL)


class MalformedRequest(Exception):
    """A request that cannot be accepted; it is answered with the HTTP status `status`."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class PendingRequest(NamedTuple):
    """A request that waits for its answer; the future also holds the answer's body if it is streamed."""

    answer: asyncio.Future[tuple[AnswerClient, StreamedAnswerBody | None]]
    connection: RequestHandler


class RequestCatalog:
    """What a request may name: the deployment's request classes and plans, and the limits of its terms.

    Classes and plans are numbered in the order of the settings. `classes` maps a class's name to its number
    and its HTTP method, `plans` a plan's name to its number. A request costs at most `max_units`, and an
    account is shared by some of `ingress_count` ingresses.
    """

    def __init__(
        self, classes: list[tuple[str, bool]], plans: list[str], max_units: float, ingress_count: int
    ) -> None:
        self.max_units, self.ingress_count = max_units, ingress_count
        self.classes = {
            name: (index, "GET" if safe else "POST") for index, (name, safe) in enumerate(classes)
        }
        self.plans = {name: index for index, name in enumerate(plans)}


def parse_decimal(text: str) -> float:
    """Parses a plain decimal number; raises ValueError for anything else.

    `float` alone would also accept `nan`, `1_0` and digits of other scripts.
    """
    if not DECIMAL_PATTERN.fullmatch(text):
        raise ValueError("not a plain number")
    return float(text)


def parse_terms(text: str, catalog: RequestCatalog) -> tuple[float, int, int]:
    """Parses X-Call-Terms: the units, the number of ingresses that share the account, and the first of them.

    Raises ValueError for terms that are unreadable or impossible. They would distort the account's quota and
    its share of the ceiling at this ingress, and any client can send them.
    """
    fields = dict(part.split("=", 1) for part in text.replace(" ", "").split(",") if "=" in part)
    units = parse_decimal(fields.get("units", ""))
    account_gateways, first_gateway = (
        int(parse_decimal(fields.get("spread", ""))),
        int(parse_decimal(fields.get("first", ""))),
    )
    if not 0 < units <= catalog.max_units or not (
        1 <= account_gateways <= catalog.ingress_count and first_gateway < catalog.ingress_count
    ):
        raise ValueError("terms out of range")
    return units, account_gateways, first_gateway


def parse_request(
    request: web.BaseRequest, request_id: int, client_id: int, body: bytes, catalog: RequestCatalog
) -> RequestReceived:
    """Builds the event for a request from its request line and headers.

    Raises MalformedRequest if its class is unknown, or a header is missing or out of range.
    """
    target, headers = request.raw_path, request.headers
    request_class = (
        catalog.classes.get(target[1:].split("?", 1)[0].split("/", 1)[0]) if target[:1] == "/" else None
    )
    if request_class is None:
        raise MalformedRequest(404, "unknown request class")
    if request.method != request_class[1]:
        raise MalformedRequest(400, "method does not match the request class")
    if request_class[1] == "GET" and body:
        raise MalformedRequest(400, "GET request with a body")
    correlation_id = headers.get("X-Correlation-Id", "")
    cookie = ACCOUNT_PATTERN.search(headers.get("Cookie", ""))
    plan = catalog.plans.get(headers.get("X-Tier", ""))
    if not CORRELATION_ID_PATTERN.fullmatch(correlation_id) or cookie is None or plan is None:
        raise MalformedRequest(400, "correlation id, account or plan missing or malformed")
    try:
        time_left = parse_decimal(headers.get("X-Time-Left", ""))
        units, account_gateways, first_gateway = parse_terms(headers.get("X-Call-Terms", ""), catalog)
    except ValueError:
        raise MalformedRequest(400, "malformed time left or terms") from None
    account = int(cookie[1], 16)
    if not 0 < time_left <= MAX_WAIT or account >= ACCOUNT_LIMIT:
        raise MalformedRequest(400, "time left or account out of range")
    forwarded = tuple((name, headers[name]) for name in FORWARDED_HEADERS if name in headers)
    http_request = HttpRequest(request.method, target, correlation_id, forwarded, body)
    return RequestReceived(
        request_id, http_request, request_class[0], plan, account, timedelta(seconds=time_left), units,
        account_gateways, first_gateway, headers.get("X-Repeat") == "1", client_id,
    )  # fmt: skip


class ClientServer(web.Server):
    """aiohttp's low-level server, which also reports when connections open and close."""

    def __init__(
        self,
        on_connected: Callable[[RequestHandler], None],
        on_disconnected: Callable[[RequestHandler], None],
        observer: ConnectionObserver,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.on_connected, self.on_disconnected, self.observer = on_connected, on_disconnected, observer

    def __call__(self) -> RequestHandler:
        """Creates the protocol of a new connection."""
        return ClientConnection(self, self.observer, loop=self._loop, **self._kwargs)

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        """Called by aiohttp for each connection that opens."""
        super().connection_made(handler, transport)
        self.on_connected(handler)

    def connection_lost(self, handler: RequestHandler, exc: BaseException | None = None) -> None:
        """Called by aiohttp for each connection that has closed."""
        super().connection_lost(handler, exc)
        self.on_disconnected(handler)


class Clients:
    """The clients' connections, served by aiohttp's low-level server.

    Everything that happens on them goes to `report`; the reducer's effects call the other methods. Clients
    and requests are numbered from 1 on. `is_ready` decides the answer to `/ready`. `stream_read_memory` bytes
    are shared by streamed bodies, see `ReadBudget`.
    """

    def __init__(
        self,
        catalog: RequestCatalog,
        report: Callable[[Event], None],
        is_ready: Callable[[], bool],
        server_class: type[ClientServer] = ClientServer,
        stream_read_memory: int = 0,
    ) -> None:
        self.read_budget = ReadBudget(stream_read_memory)
        self.catalog, self.report, self.is_ready = catalog, report, is_ready
        self.on_request_over: Callable[[int], None] | None = None  # called when a request no longer waits
        self.pending: dict[int, PendingRequest] = {}  # by request id
        self.pending_ids: dict[str, int] = {}  # their request ids, by correlation id
        self.connections: dict[int, RequestHandler] = {}
        self.client_ids: dict[RequestHandler, int] = {}
        self.incomplete_bodies: dict[RequestHandler, StreamReader] = {}  # bodies that are being read
        # By request id: the rest of a body of which the start was reported with the request.
        self.streamed_bodies: dict[int, StreamedRequestBody] = {}
        # Whether bodies over MAX_BUFFERED_BODY are streamed. Workers that delegate requests cannot do so.
        self.stream_bodies = True
        self.busy_connections: set[RequestHandler] = set()
        self.last_request_id = self.last_client_id = 0
        self.draining = False
        self.shared_socket = False  # another process may listen on the same socket
        self.listener: Listener | None = None
        loop = self.loop = asyncio.get_running_loop()

        def make_request(
            message: RawRequestMessage, payload: StreamReader, protocol: RequestHandler, writer: Any,
            task: asyncio.Task[None],
        ) -> web.BaseRequest:  # fmt: skip
            return web.BaseRequest(
                message, payload, protocol, writer, task, loop, client_max_size=MAX_BUFFERED_BODY
            )

        self.server = server_class(
            on_connected=self._on_connected,
            on_disconnected=self._on_disconnected,
            observer=self,
            handler=self._handle,
            request_factory=make_request,
            handler_cancellation=True,  # a disconnect cancels the handler
            access_log=None,
            auto_decompress=False,  # bodies are forwarded as they were sent
            logger=MUTED_LOGGER,
            read_bufsize=READER_LIMIT,
            max_headers=MAX_HEAD_FIELDS,
            keepalive_timeout=MAX_WAIT,  # the reducer decides which connections are closed
            lingering_time=0,  # aiohttp would read on for 10 s if a body is too long
        )

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listens on an address, or on the listening socket that this process was started with.

        Raises OSError if the address cannot be bound.
        """
        self.shared_socket = inherited is not None
        listen_socket = bind(host, port) if inherited is None else socket.socket(fileno=inherited)
        self.listener = Listener(listen_socket, BACKLOG, self._make_connection)

    def _make_connection(self) -> asyncio.BaseProtocol:
        connection = self.server()
        return ReadLimiter(connection) if isinstance(connection, ClientConnection) else connection

    def stop_accepting(self) -> None:
        """Suspends accepting. Waiting connections stay in the kernel's queue, for any other process that
        listens on the same socket."""
        if self.listener is not None:
            self.listener.suspend()

    def resume_accepting(self) -> None:
        """Accepts again after `stop_accepting`."""
        if self.listener is not None:
            self.listener.resume()

    def stop_listening(self) -> None:
        """Closes the listening socket, after accepting the connections that wait in the kernel's queue.

        Closing the socket would reset them, and their requests may have been written already. On a shared
        socket they are left to the other process.
        """
        if self.listener is not None and not self.shared_socket:
            self.listener.close_when_empty()
        elif self.listener is not None:
            self.listener.close()

    def _is_accepting(self) -> bool:
        """Whether a connection is still being accepted after listening has stopped."""
        return self.listener is not None and self.listener.has_pending

    async def close(self, timeout: float = math.inf) -> None:
        """Closes all connections, within `timeout` seconds.

        Waits for requests that had been read but not reported when the reducer saw nothing left to do, for
        those that arrived since, and for answers that their clients have yet to read.
        """
        deadline = self.loop.time() + timeout
        while (self.pending or self._is_accepting()) and self.loop.time() < deadline:
            await asyncio.sleep(CLOSE_POLL_INTERVAL)
        write_deadline = min(self.loop.time() + FINAL_WRITE_TIMEOUT, deadline)
        while self.loop.time() < (deadline if self.pending else write_deadline):
            if not self.pending and not any(map(self._is_unfinished, self.client_ids)):
                break
            for connection, client_id in list(self.client_ids.items()):
                if not self._is_unfinished(connection):
                    self.close_if_idle(client_id)
            await asyncio.sleep(CLOSE_POLL_INTERVAL)
        await self.server.shutdown(timeout=0.1)

    def _is_unfinished(self, connection: RequestHandler) -> bool:
        """Whether an answer is still being written, or a request is being processed or waits to be read."""
        transport = connection.transport
        if transport is None:
            return False
        lingering = isinstance(connection, ClientConnection) and connection.lingering
        if lingering or transport.get_write_buffer_size() > 0 or not self._is_idle(connection):
            return True
        return bool(peek_byte(transport))

    def _is_idle(self, connection: RequestHandler) -> bool:
        """Whether the connection has no complete request: none has begun, or one is still arriving.

        It is not idle in the loop iteration in which a request has been read and not yet passed to `_handle`:
        closing the connection then would lose the request.
        """
        waiter, body = connection._waiter, self.incomplete_bodies.get(connection)
        no_request = connection._request_count == 0 and not connection._messages
        waits_for_request = waiter is not None and not waiter.done()
        return no_request or waits_for_request or (body is not None and not body.is_eof())

    def _on_connected(self, connection: RequestHandler) -> None:
        self.last_client_id += 1
        self.connections[self.last_client_id] = connection
        self.client_ids[connection] = self.last_client_id
        self.report(ClientConnected(self.last_client_id))

    def partial_head_received(self, connection: ClientConnection) -> None:
        """See ConnectionObserver, as the two methods below."""
        if client_id := self.client_ids.get(connection):
            self.report(RequestHeadStarted(client_id, connection.head_memory))

    def answer_blocked(self, connection: ClientConnection, size: int) -> None:
        """`size` bytes of an answer could not be written yet."""
        if client_id := self.client_ids.get(connection):
            self.report(AnswerBlocked(client_id, size))

    def answer_written(self, connection: ClientConnection) -> None:
        """The last byte of a blocked answer has left."""
        if client_id := self.client_ids.get(connection):
            self.report(AnswerWritten(client_id))

    def streamed_body(self, request_id: int) -> StreamedRequestBody | None:
        """The rest of a request's body, if only its start was reported with the request."""
        return self.streamed_bodies.get(request_id)

    def _on_disconnected(self, connection: RequestHandler) -> None:
        if client_id := self.client_ids.pop(connection, None):
            self.connections.pop(client_id, None)
            self.report(ClientDisconnected(client_id))

    def close_if_idle(self, client_id: int, immediately: bool = False) -> None:
        """Closes a connection on which no request is pending.

        A connection with unread bytes stays open: they are most likely a request, which a close would answer
        with a reset. `immediately` closes it all the same, to make room for another.
        """
        connection = self.connections.get(client_id)
        transport = connection.transport if connection is not None else None
        if connection is None or transport is None:
            return
        if isinstance(connection, ClientConnection) and connection.lingering:
            if immediately:
                transport.abort()
        elif self._is_idle(connection):
            if immediately or not peek_byte(transport):
                connection.force_close()
        elif transport.get_write_buffer_size():
            transport.abort()  # the client does not read its answer
        # Otherwise a complete request has been read and is about to be reported: closing would lose it.

    def disconnected_client(self, request_id: int) -> int | None:
        """The client of a pending request if its connection has closed and the loop has not noticed yet."""
        pending = self.pending.get(request_id)
        if pending is None:
            return None
        connection = pending.connection
        transport = connection.transport
        disconnected = transport is None or transport.is_closing() or is_closed_by_peer(transport)
        return self.client_ids.get(connection) if disconnected else None

    def _notice_departed_client(self, correlation_id: str) -> None:
        """Reports the disconnect of a client that has a request open under this id, if it has closed."""
        request_id = self.pending_ids.get(correlation_id)
        if request_id is not None and (client_id := self.disconnected_client(request_id)) is not None:
            self.report(ClientDisconnected(client_id))

    def abort(self, client_id: int) -> None:
        """Aborts a connection in the middle of an answer."""
        connection = self.connections.get(client_id)
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def refuse_incomplete(self, client_id: int) -> None:
        """Refuses a request of which the head or the body is being read; it is answered with 429."""
        connection = self.connections.get(client_id)
        body = self.incomplete_bodies.get(connection) if connection is not None else None
        if body is not None:
            self._stop_reading(body, MalformedRequest(429, "no memory for its body"))
        elif isinstance(connection, ClientConnection) and connection.open_body is None:
            connection.refuse_incomplete(429, "no memory for its head")

    def drop_unread_bytes(self, client_id: int) -> bool:
        """Drops what a client sent behind its open request; returns whether anything may be unread."""
        connection = self.connections.get(client_id)
        return isinstance(connection, ClientConnection) and connection.drop_unread_bytes()

    def stop_reading_bodies(self) -> None:
        """Stops reading bodies of requests that have not been reported yet; they are answered with 408."""
        for body in self.incomplete_bodies.values():
            self._stop_reading(body, MalformedRequest(408, "body arrives too late"))

    @staticmethod
    def _stop_reading(body: StreamReader, error: MalformedRequest) -> None:
        """Ends the reading of a body with an error, unless all of it has arrived."""
        if not body.is_eof():
            drop_received_body(body)
            body.set_exception(error)

    def answer(self, effect: AnswerClient, stream: StreamedAnswerBody | None = None) -> None:
        """Hands the answer to the pending request; `stream` is the body of a streamed answer."""
        pending = self.pending.get(effect.request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result((effect, stream))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == "/ready":
            return await self._answer_directly(request, 200 if self.is_ready() else 503)
        client_id = self.client_ids.get(request.protocol)
        if client_id is None:
            return web.Response(status=400)  # disconnected before its request was read
        try:
            received = await self._read_request(request, client_id)
            received.time_left = max(ZERO, received.time_left - self._time_waited(client_id))
        except MalformedRequest as error:
            self.report(RequestDiscarded(client_id))
            # What is left of a body that was not read to its end would be taken for the next request.
            return await self._answer_directly(request, error.status, not request.content.is_eof())
        if received.http_request.has_more_body and isinstance(request.protocol, ClientConnection):
            self.streamed_bodies[received.request_id] = StreamedRequestBody(
                request.content, request.protocol, self.read_budget
            )
        return await self._await_answer(request, received)

    async def _read_request(self, request: web.BaseRequest, client_id: int) -> RequestReceived:
        """Reads a request, or the beginning of one with a long body. Raises MalformedRequest."""
        complete, body = request.content.is_eof(), b""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            # The body of a request that will be rejected is not asked for.
            parse_request(request, 0, client_id, b"", self.catalog)
            if not complete and request.version >= HttpVersion11:
                request.transport.write(CONTINUE_RESPONSE)
        max_size = MAX_BODY if self.stream_bodies else MAX_BUFFERED_BODY
        if (request.content_length or 0) > max_size:
            raise MalformedRequest(413, "body is too long")
        if not complete:
            body, complete = await self._read_body_start(request, client_id)
        elif request.body_exists:
            body = request.content.read_nowait(-1)
        if not complete and not self.stream_bodies:
            raise MalformedRequest(413, "body is too long")
        self.last_request_id += 1
        received = parse_request(request, self.last_request_id, client_id, body, self.catalog)
        received.http_request.head_memory = self._head_memory(request)
        if not complete:
            received.http_request.has_more_body = True
            received.http_request.body_length = request.content_length
        return received

    @staticmethod
    def _head_memory(request: web.BaseRequest) -> int:
        """The bytes that a request's head takes; the text of one that came in one read is not counted."""
        connection = request.protocol
        size = connection.head_size if isinstance(connection, ClientConnection) else 0
        return head_memory(size + HEAD_READ_SIZE if size else 0, len(request.headers))

    def _time_waited(self, client_id: int) -> timedelta:
        """How long a request has waited until it was parsed.

        Servers are not told of time that the client no longer has.
        """
        connection = self.connections.get(client_id)
        waited = connection.time_waited if isinstance(connection, ClientConnection) else 0.0
        return timedelta(seconds=waited)

    async def _await_answer(self, request: web.BaseRequest, received: RequestReceived) -> web.StreamResponse:
        complete = not received.http_request.has_more_body
        pending = self.pending[received.request_id] = PendingRequest(
            self.loop.create_future(), request.protocol
        )
        correlation_id = received.http_request.correlation_id
        self._notice_departed_client(correlation_id)
        self.pending_ids[correlation_id] = received.request_id
        self.busy_connections.add(request.protocol)
        self._prepare_for_answer(request, complete)
        try:
            self.report(received)
            effect, stream = await pending.answer
            if effect.stream_connection_id:
                return await self._stream_answer(request, effect, stream)
        finally:
            received.http_request.body = b""  # not kept while the answer is written and the rest is dropped
            del self.pending[received.request_id]
            if self.pending_ids.get(correlation_id) == received.request_id:
                del self.pending_ids[correlation_id]
            if streamed_body := self.streamed_bodies.pop(received.request_id, None):
                streamed_body.close()
            if self.on_request_over is not None:
                self.on_request_over(received.request_id)
            self.busy_connections.discard(request.protocol)
        response = web.Response(status=effect.status, body=effect.body)
        if effect.content_type:
            response.headers["Content-Type"] = effect.content_type
        if effect.retry_after is not None:
            response.headers["Retry-After"] = f"{effect.retry_after.total_seconds():.3f}"
        if effect.close_connection or self._is_rest_dropped(request):
            response.force_close()
        if not complete and not request.content.is_eof():
            await self._answer_and_discard_body(request, response, received.client_id)
        return await self._finish(request, response)

    @staticmethod
    def _is_rest_dropped(request: web.BaseRequest) -> bool:
        """Whether later requests on the same connection have been dropped."""
        connection = request.protocol
        return isinstance(connection, ClientConnection) and connection.lingering

    @staticmethod
    def _prepare_for_answer(request: web.BaseRequest, complete: bool) -> None:
        """Reads little from now on, and looks for a disconnect where the loop would not notice it."""
        connection, transport = request.protocol, request.transport
        if not isinstance(connection, ClientConnection):
            return
        if complete:
            connection.max_read = HEAD_READ_SIZE
        if not complete or transport is None or not transport.is_reading():
            connection.watch_for_disconnect()

    async def _answer_and_discard_body(
        self, request: web.BaseRequest, response: web.Response, client_id: int
    ) -> None:
        """Writes the answer at once and drops what still arrives of the request's body.

        Closing the connection while the client is still sending would reset it and could destroy the answer.
        """
        await response.prepare(request)
        await response.write_eof()
        self.report(RequestBodyStarted(client_id, BODY_READ_AHEAD))
        if isinstance(request.protocol, ClientConnection):
            request.protocol.release_reading(READ_SIZE)
        discarded, started = 0, self.loop.time()
        try:
            while not request.content.is_eof():
                async with asyncio.timeout(BODY_STALL_TIMEOUT):
                    discarded += len(await request.content.readany())
                # An endless body, or one that hardly arrives, must not hold the connection.
                if discarded > MAX_BODY or discarded < MIN_BODY_RATE * (
                    self.loop.time() - started - BODY_STALL_TIMEOUT
                ):
                    response.force_close()
                    break
        except Exception:
            response.force_close()
        self.report(RequestDiscarded(client_id))

    async def _stream_answer(
        self, request: web.BaseRequest, effect: AnswerClient, stream: StreamedAnswerBody | None
    ) -> web.StreamResponse:
        """Streams a long answer from its server to its client, at the pace of the slower one.

        Only a part of it is in memory. If the answer breaks off, the connection is aborted, so that the
        client can tell.
        """
        response = web.StreamResponse(status=effect.status)
        if effect.content_type:
            response.headers["Content-Type"] = effect.content_type
        if effect.length is not None:
            response.content_length = effect.length
        if effect.close_connection or self._is_rest_dropped(request):
            response.force_close()
        complete = False
        try:
            if stream is not None:
                await response.prepare(request)
                await self._copy_answer_body(request, response, stream)
                complete = True
        except (OSError, ValueError, RuntimeError, TimeoutError, HttpProcessingError, ClientPayloadError):
            pass  # a side has disconnected or stalled, or its framing is invalid
        finally:
            if not complete and request.transport is not None:
                request.transport.abort()
            self.report(StreamedAnswerEnded(effect.request_id, complete))
        return await self._finish(request, response)

    async def _copy_answer_body(
        self, request: web.BaseRequest, response: web.StreamResponse, body: StreamedAnswerBody
    ) -> None:
        """Writes a streamed answer. The next piece is read once the kernel has taken the last one."""
        share, connection = ReadShare(self.read_budget), request.protocol
        assert isinstance(connection, ClientConnection)
        try:
            while True:
                async with asyncio.timeout(SERVER_STALL_TIMEOUT):
                    piece = await body.read(share.next_size())
                if not piece:
                    break
                await response.write(piece)
                await connection.drain_by_progress()
            await response.write_eof()
            await connection.drain_by_progress()
        finally:
            share.close()

    async def _read_body_start(self, request: web.BaseRequest, client_id: int) -> tuple[bytes, bool]:
        """Reads as much of a body as is buffered; returns it and whether that is all.

        Raises MalformedRequest if the body stalls, is too slow or cannot be read, or if there is no memory.
        """
        received, started = bytearray(), self.loop.time()
        self.incomplete_bodies[request.protocol] = request.content
        try:
            self.report(RequestBodyStarted(client_id, unreported_body_memory(request.content_length)))
            if isinstance(request.protocol, ClientConnection) and request.content.exception() is None:
                request.protocol.release_reading(READ_SIZE)
            while len(received) <= MAX_BUFFERED_BODY:
                async with asyncio.timeout(BODY_STALL_TIMEOUT):
                    data = await request.content.readany()
                if not data and request.content.at_eof():
                    return bytes(received), True
                received += data
                if len(received) < MIN_BODY_RATE * (self.loop.time() - started - BODY_STALL_TIMEOUT):
                    raise MalformedRequest(408, "body is sent too slowly")
            return bytes(received), request.content.at_eof()
        except TimeoutError:
            raise MalformedRequest(408, "body has stalled") from None
        except (OSError, ValueError, RuntimeError, HttpProcessingError, ClientPayloadError):
            raise MalformedRequest(400, "body cannot be read") from None
        finally:
            received.clear()  # a traceback may keep this frame until the connection has ended
            self.incomplete_bodies.pop(request.protocol, None)

    async def _answer_directly(
        self, request: web.BaseRequest, status: int, close: bool = False
    ) -> web.StreamResponse:
        """Answers a request that is not reported; `close` ends the connection behind the answer."""
        response = web.Response(status=status)
        if self.draining or close:
            response.force_close()
        return await self._finish(request, response)

    async def _finish(self, request: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
        """Writes the answer if the connection is closed after it; otherwise leaves that to aiohttp."""
        last = response.keep_alive is False or not request.keep_alive
        if last and isinstance(connection := request.protocol, ClientConnection):
            await connection.answer_and_linger(request, response)
        return response
