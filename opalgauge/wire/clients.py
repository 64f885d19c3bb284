"""The client side: reads clients' requests, reports them to the reducer and writes one answer to each."""

from __future__ import annotations

import asyncio
import contextlib
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

from opalgauge.memory.buffers import MAX_BUFFERED_BODY, READ_SIZE
from opalgauge.memory.effects import AnswerClient
from opalgauge.memory.events import (
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
from opalgauge.wire.listener import Listener, bind
from opalgauge.wire.read_limiter import LimitedProtocol, ReadLimiter
from opalgauge.wire.socket_state import is_closed_by_peer, peek_byte
from opalgauge.wire.streamed_body import ReadBudget, ReadShare, StreamedAnswerBody, StreamedRequestBody
from opalgauge.wire.upstream import MAX_BODY

BACKLOG = 512  # length of the listening socket's accept queue
BODY_STALL_TIMEOUT = 2.2  # s without a byte after which a client has stopped sending its body
MIN_BODY_RATE = 4096  # bytes/s, averaged over a body: a slower client would hold a connection for nothing
CLIENT_READ_TIMEOUT = 10.0  # s without progress after which a client has stopped reading a streamed answer
SERVER_STALL_TIMEOUT = 5.0  # s without progress after which a server has stopped sending or reading a body
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
ACCOUNT_LIMIT = 2**33  # accounts are numbered below this
CLOSE_POLL_INTERVAL = 0.01  # s between checks of what is left to finish in `Clients.close`
MAX_QUEUED_REQUESTS = 2  # complete requests on a connection for which no more is read from it
LINGER_TIME = 0.5  # s for which a client's bytes are read and dropped after its last answer
MAX_LINGER_BYTES = 256 * 1024  # bytes that are read and dropped in that time
FINAL_WRITE_TIMEOUT = 0.5  # s for clients that are slow to read their answers in `Clients.close`
# s between checks for a disconnect on connections whose reading is paused
DISCONNECT_POLL_INTERVAL = 0.04
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


class ClientConnection(RequestHandler, LimitedProtocol):
    """aiohttp's connection handler, which also reports partial request heads and closes with a linger.

    `lingering` is set by `answer_and_linger`: from then on, what arrives is dropped and not parsed.
    """

    __slots__ = ("lingering", "dropped_bytes", "accept_delay", "max_read")

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.lingering, self.dropped_bytes = False, 0
        self.max_read = READ_SIZE
        # aiohttp reads 32 requests ahead, with their bodies.
        self._max_msg_queue_size, self._msg_queue_resume_size = MAX_QUEUED_REQUESTS, 1
        # s for which the first request waited in the kernel before the connection was accepted
        self.accept_delay = 0.0

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and reports a request that has begun and is not complete."""
        if self.lingering:
            self.dropped_bytes += len(data)
            if self.dropped_bytes > MAX_LINGER_BYTES and self.transport is not None:
                self.transport.pause_reading()  # a flooding client would use up CPU
            return
        super().data_received(data)
        # `_waiter` cannot be used here: the first head may arrive before the handler task waits for one.
        no_complete_request = not self._messages and self._current_request is None
        if data and no_complete_request and self._manager is not None:
            self._manager.partial_head_received(self)  # type: ignore[attr-defined]

    def hold_reading(self) -> None:
        """Reads no more of a request's body until `release_reading`."""
        if not self._buffer_paused:
            self._pause_reading_for_buffer()

    def release_reading(self, max_read: int) -> None:
        """Reads again, up to `max_read` bytes at once, unless enough requests wait already."""
        self.max_read = max_read
        if self._buffer_paused:
            self._resume_reading_if_drained()

    def _make_error_handler(self, err_info: Any) -> Any:
        make_response = super()._make_error_handler(err_info)

        async def handler(request: web.BaseRequest) -> web.StreamResponse:
            response: web.StreamResponse = await make_response(request)
            await self.answer_and_linger(request, response)
            return response

        return handler

    async def answer_and_linger(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Writes the last answer of a connection and closes it with a linger.

        Shuts down the sending side, then drops what the client still sends, until it closes or a limit is
        reached. Closing a socket with unread bytes sends a reset, which can destroy the answer on its way.
        aiohttp's own lingering does not shut down the sending side, and stops at the end of the request body.
        """
        await response.prepare(request)
        await response.write_eof()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.lingering = True
        with contextlib.suppress(OSError, RuntimeError):
            transport.write_eof()
            self._reading_paused = self._buffer_paused = False
            transport.resume_reading()
        # If the client closes earlier, aiohttp cancels this handler task.
        await asyncio.sleep(LINGER_TIME)


class ClientServer(web.Server):
    """aiohttp's low-level server, which also reports when connections open and close."""

    def __init__(
        self,
        on_connected: Callable[[RequestHandler], None],
        on_disconnected: Callable[[RequestHandler], None],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.on_connected, self.on_disconnected = on_connected, on_disconnected
        self.on_partial_head: Callable[[RequestHandler], None] | None = None

    def __call__(self) -> RequestHandler:
        """Creates the protocol of a new connection."""
        return ClientConnection(self, loop=self._loop, **self._kwargs)

    def partial_head_received(self, handler: RequestHandler) -> None:
        """Called by a connection on which a request has begun and is not complete."""
        if self.on_partial_head is not None:
            self.on_partial_head(handler)

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
            handler=self._handle,
            request_factory=make_request,
            handler_cancellation=True,  # a disconnect cancels the handler
            access_log=None,
            auto_decompress=False,  # bodies are forwarded as they were sent
            logger=MUTED_LOGGER,
            read_bufsize=MAX_BUFFERED_BODY,
            keepalive_timeout=MAX_WAIT,  # the reducer decides which connections are closed
            lingering_time=0,  # aiohttp would read on for 10 s if a body is too long
        )
        self.server.on_partial_head = self._on_partial_head

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listens on an address, or on the listening socket that this process was started with.

        Raises OSError if the address cannot be bound.
        """
        self.shared_socket = inherited is not None
        listen_socket = bind(host, port) if inherited is None else socket.socket(fileno=inherited)
        self.listener = Listener(listen_socket, BACKLOG, self._make_connection, inherited is not None)

    def _make_connection(self, accept_delay: float) -> asyncio.BaseProtocol:
        connection = self.server()
        if not isinstance(connection, ClientConnection):
            return connection
        connection.accept_delay = accept_delay
        return ReadLimiter(connection)

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

    def _on_partial_head(self, connection: RequestHandler) -> None:
        if client_id := self.client_ids.get(connection):
            self.report(RequestHeadStarted(client_id))

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

    def abort(self, client_id: int) -> None:
        """Aborts a connection in the middle of an answer."""
        connection = self.connections.get(client_id)
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def refuse_body(self, client_id: int) -> None:
        """Refuses a request of which the body is being read; it is answered with 429."""
        connection = self.connections.get(client_id)
        body = self.incomplete_bodies.get(connection) if connection is not None else None
        if body is not None:
            self._stop_reading(body, MalformedRequest(429, "no memory for its body"))

    def stop_reading_bodies(self) -> None:
        """Stops reading bodies of requests that have not been reported yet; they are answered with 408."""
        for body in self.incomplete_bodies.values():
            self._stop_reading(body, MalformedRequest(408, "body arrives too late"))

    @staticmethod
    def _stop_reading(body: StreamReader, error: MalformedRequest) -> None:
        """Ends the reading of a body with an error, unless all of it has arrived."""
        if not body.is_eof():
            body.set_exception(error)

    def answer(self, effect: AnswerClient, stream: StreamedAnswerBody | None = None) -> None:
        """Hands the answer to the pending request; `stream` is the body of a streamed answer."""
        pending = self.pending.get(effect.request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result((effect, stream))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        accept_delay = self._take_accept_delay(request)
        if request.raw_path == "/ready":
            return await self._answer_directly(request, 200 if self.is_ready() else 503)
        client_id = self.client_ids.get(request.protocol)
        if client_id is None:
            return web.Response(status=400)  # disconnected before its request was read
        complete, body = request.content.is_eof(), b""
        try:
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
            if accept_delay:
                received.time_left = max(ZERO, received.time_left - accept_delay)
        except MalformedRequest as error:
            self.report(RequestDiscarded(client_id))
            # What is left of a body that was not read to its end would be taken for the next request.
            return await self._answer_directly(request, error.status, not complete)
        if not complete:
            received.http_request.has_more_body, received.http_request.body_length = (
                True,
                request.content_length,
            )
            if isinstance(request.protocol, ClientConnection):
                self.streamed_bodies[received.request_id] = StreamedRequestBody(
                    request.content, request.protocol, self.read_budget
                )
        return await self._await_answer(request, received, complete)

    @staticmethod
    def _take_accept_delay(request: web.BaseRequest) -> timedelta:
        """How long a connection's first request waited to be accepted; zero for any later request.

        It is deducted from the time left, so that servers are not told of time that the client no longer has.
        """
        connection = request.protocol
        if not isinstance(connection, ClientConnection) or not connection.accept_delay:
            return ZERO
        accept_delay, connection.accept_delay = timedelta(seconds=connection.accept_delay), 0.0
        return accept_delay

    async def _await_answer(
        self, request: web.BaseRequest, received: RequestReceived, complete: bool
    ) -> web.StreamResponse:
        pending = self.pending[received.request_id] = PendingRequest(
            self.loop.create_future(), request.protocol
        )
        self.busy_connections.add(request.protocol)
        transport = request.transport
        notices_disconnect = complete and transport is not None and transport.is_reading()
        watcher = None if notices_disconnect else self.loop.create_task(self._watch_for_disconnect(request))
        try:
            self.report(received)
            effect, stream = await pending.answer
            if effect.stream_connection_id:
                return await self._stream_answer(request, effect, stream)
        finally:
            if watcher is not None:
                watcher.cancel()
            del self.pending[received.request_id]
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
        if effect.close_connection:
            response.force_close()
        if not complete and not request.content.is_eof():
            await self._answer_and_discard_body(request, response, received.client_id)
        return await self._finish(request, response)

    async def _watch_for_disconnect(self, request: web.BaseRequest) -> None:
        """Aborts the connection when its client disconnects while reading is paused.

        The loop does not notice a disconnect behind unread bytes: the rest of a body, or more pipelined
        requests than are read ahead. The request would be kept, and sent on, for nobody.
        """
        while (transport := request.transport) is not None and not transport.is_closing():
            if not transport.is_reading() and is_closed_by_peer(transport):
                transport.abort()
            await asyncio.sleep(DISCONNECT_POLL_INTERVAL)

    async def _answer_and_discard_body(
        self, request: web.BaseRequest, response: web.Response, client_id: int
    ) -> None:
        """Writes the answer at once and drops what still arrives of the request's body.

        Closing the connection while the client is still sending would reset it and could destroy the answer.
        """
        await response.prepare(request)
        await response.write_eof()
        self.report(RequestBodyStarted(client_id))
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
        if effect.close_connection:
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
        share, transport = ReadShare(self.read_budget), request.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=0)
        try:
            while True:
                async with asyncio.timeout(SERVER_STALL_TIMEOUT):
                    piece = await body.read(share.next_size())
                if not piece:
                    break
                async with asyncio.timeout(CLIENT_READ_TIMEOUT):
                    await response.write(piece)
                    await request.writer.drain()
            async with asyncio.timeout(CLIENT_READ_TIMEOUT):
                await response.write_eof()
        finally:
            share.close()
        if transport is not None:
            transport.set_write_buffer_limits()

    async def _read_body_start(self, request: web.BaseRequest, client_id: int) -> tuple[bytes, bool]:
        """Reads as much of a body as is buffered; returns it and whether that is all.

        Raises MalformedRequest if the body stalls, is too slow or cannot be read, or if there is no memory.
        """
        parts, size, started = list[bytes](), 0, self.loop.time()
        self.incomplete_bodies[request.protocol] = request.content
        try:
            self.report(RequestBodyStarted(client_id))
            while size <= MAX_BUFFERED_BODY:
                async with asyncio.timeout(BODY_STALL_TIMEOUT):
                    data = await request.content.readany()
                if not data and request.content.at_eof():
                    return b"".join(parts), True
                parts.append(data)
                size += len(data)
                if size < MIN_BODY_RATE * (self.loop.time() - started - BODY_STALL_TIMEOUT):
                    raise MalformedRequest(408, "body is sent too slowly")
            return b"".join(parts), request.content.at_eof()
        except TimeoutError:
            raise MalformedRequest(408, "body has stalled") from None
        except (OSError, ValueError, RuntimeError, HttpProcessingError, ClientPayloadError):
            raise MalformedRequest(400, "body cannot be read") from None
        finally:
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
