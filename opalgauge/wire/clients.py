"""Clients: their requests become orders, and each order's one answer goes back."""

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
from opalgauge.wire.socket_state import is_closed_by_peer, peek_byte
from opalgauge.wire.upstream import MAX_BODY, MAX_BUFFERED_BODY

BACKLOG = 512  # connections that wait to be accepted
BODY_STALL_TIMEOUT = 2.2  # s: a client that sends nothing of its body for so long has stopped
MIN_BODY_RATE = 4096  # bytes a second, over all of a body: a client that sends less holds a place for nothing
CLIENT_READ_TIMEOUT = 10.0  # s: a client that reads nothing of a long answer for so long has stopped
SERVER_STALL_TIMEOUT = 5.0  # s: a stock node that gives, or takes, nothing of a long body for so long has
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
ACCOUNT_LIMIT = 2**33
CLOSE_POLL_INTERVAL = 0.01  # s between looks at what is still owed when all leave
LINGER_TIME = 0.5  # s: so long a client's bytes are read behind its last answer, and
MAX_LINGER_BYTES = 256 * 1024  # bytes: so many of them
FINAL_WRITE_TIMEOUT = 0.5  # s: for answers that their clients are slow to take, when all leave
DISCONNECT_POLL_INTERVAL = (
    0.04  # s between looks whether the client of a body that is not read on is still there
)
ZERO = timedelta(0)
MAX_WAIT = 3600.0  # s: nobody waits longer for an answer
# What says how a body is to be read goes with it, and so does the key by which stock nodes know a repeat.
FORWARDED_HEADERS = ("Content-Type", "Content-Encoding", "Idempotency-Key")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
CORRELATION_ID_PATTERN = re.compile(r"[!-~]{1,128}")  # visible ASCII
ACCOUNT_PATTERN = re.compile(r"(?:^|;)\s*customer=([0-9a-fA-F]{1,16})\s*(?:;|$)")

# Whatever a client sends, aiohttp answers it; its words on that would fill the log.
MUTED_LOGGER = logging.getLogger("opalgauge.clients")
MUTED_LOGGER.setLevel(logging.CRITICAL)


class MalformedRequest(Exception):
    """A request that cannot be an order; it is answered with `status`."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class BodyReadCancelled(Exception):
    """The process ends before the rest of a body can come."""


class PendingRequest(NamedTuple):
    """A client that waits for the answer to its order, and the answer's body where that comes at length."""

    answer: asyncio.Future[tuple[AnswerClient, StreamReader | None]]
    connection: RequestHandler


class RequestCatalog:
    """The deployment's own names for kinds of request and tariffs, in the order of its settings.

    And what an order's terms can be: units up to `max_units`, a set among `ingress_count`.
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
    """A plain decimal; `float` alone would also take `nan`, `1_0` and digits of other scripts."""
    if not DECIMAL_PATTERN.fullmatch(text):
        raise ValueError("not a plain number")
    return float(text)


def parse_terms(text: str, catalog: RequestCatalog) -> tuple[float, int, int]:
    """Units, and the ingresses of the account.

    Guards an account's quota, and its part of the ceiling at this ingress, against terms that are impossible,
    in whoever's name they come.
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
    """What the request's line and headers say; raises MalformedRequest where they say nothing usable."""
    target, headers = request.raw_path, request.headers
    request_class = (
        catalog.classes.get(target[1:].split("?", 1)[0].split("/", 1)[0]) if target[:1] == "/" else None
    )
    if request_class is None:
        raise MalformedRequest(404, "no such kind of request")
    if request.method != request_class[1]:
        raise MalformedRequest(400, "not this kind's method")
    if request_class[1] == "GET" and body:
        raise MalformedRequest(400, "a body where there is none")
    correlation_id = headers.get("X-Correlation-Id", "")
    cookie = ACCOUNT_PATTERN.search(headers.get("Cookie", ""))
    plan = catalog.plans.get(headers.get("X-Tier", ""))
    if not CORRELATION_ID_PATTERN.fullmatch(correlation_id) or cookie is None or plan is None:
        raise MalformedRequest(400, "id, account or tariff missing")
    try:
        time_left = parse_decimal(headers.get("X-Time-Left", ""))
        units, account_gateways, first_gateway = parse_terms(headers.get("X-Call-Terms", ""), catalog)
    except ValueError:
        raise MalformedRequest(400, "time left or terms unreadable") from None
    account = int(cookie[1], 16)
    if not 0 < time_left <= MAX_WAIT or account >= ACCOUNT_LIMIT:
        raise MalformedRequest(400, "time left or account out of range")
    forwarded = tuple((name, headers[name]) for name in FORWARDED_HEADERS if name in headers)
    http_request = HttpRequest(request.method, target, correlation_id, forwarded, body)
    return RequestReceived(
        request_id, http_request, request_class[0], plan, account, timedelta(seconds=time_left), units,
        account_gateways, first_gateway, headers.get("X-Repeat") == "1", client_id,
    )  # fmt: skip


class ClientConnection(RequestHandler):
    """aiohttp's connection handler, which also tells when a request has begun and is not whole.

    And it closes behind a last answer as it should be: `answer_and_linger`. From then on the connection is
    `lingering`: nothing that comes over it is read as a request.
    """

    __slots__ = ("lingering", "dropped_bytes", "accept_delay")

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.lingering, self.dropped_bytes = False, 0
        self.accept_delay = 0.0  # s that its first request lay unread before the connection was accepted

    def data_received(self, data: bytes) -> None:
        if self.lingering:
            self.dropped_bytes += len(data)
            if self.dropped_bytes > MAX_LINGER_BYTES and self.transport is not None:
                self.transport.pause_reading()  # guards the processor against a client that floods
            return
        super().data_received(data)
        # Not by what serves it: a first head may come before that has begun to wait for one.
        nothing_whole = not self._messages and self._current_request is None
        if data and nothing_whole and self._manager is not None:
            self._manager.partial_head_received(self)  # type: ignore[attr-defined]

    def _make_error_handler(self, err_info: Any) -> Any:
        make_response = super()._make_error_handler(err_info)

        async def handler(request: web.BaseRequest) -> web.StreamResponse:
            response: web.StreamResponse = await make_response(request)
            await self.answer_and_linger(request, response)
            return response

        return handler

    async def answer_and_linger(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """A lingering close: writes a last answer, ends our side, and drops what its client still sends, up
        to the client's end or a limit.

        Guards the answer against the reset that a close over unread bytes sends: it destroys what is on its
        way. aiohttp's own lingering does not end our side, and stops at the end of the request's body.
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
        # Ended by the client's end, too: whoever serves it is cancelled then.
        await asyncio.sleep(LINGER_TIME)


class ClientServer(web.Server):
    """aiohttp's low-level server, which also tells when connections come and go."""

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
        return ClientConnection(self, loop=self._loop, **self._kwargs)

    def partial_head_received(self, handler: RequestHandler) -> None:
        if self.on_partial_head is not None:
            self.on_partial_head(handler)

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.on_connected(handler)

    def connection_lost(self, handler: RequestHandler, exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        self.on_disconnected(handler)


class Clients:
    """The sockets that clients reach, on aiohttp's low-level server."""

    def __init__(
        self,
        catalog: RequestCatalog,
        report: Callable[[Event], None],
        is_ready: Callable[[], bool],
        server_class: type[ClientServer] = ClientServer,
    ) -> None:
        self.catalog, self.report, self.is_ready = catalog, report, is_ready
        self.on_request_over: Callable[[int], None] | None = None  # told of each order that waits no more
        self.pending: dict[int, PendingRequest] = {}  # by order
        self.connections: dict[int, RequestHandler] = {}
        self.client_ids: dict[RequestHandler, int] = {}
        self.incomplete_bodies: dict[RequestHandler, StreamReader] = {}  # bodies whose last byte has not come
        self.streamed_bodies: dict[
            int, StreamReader
        ] = {}  # by order: what comes behind the beginning of its body
        self.stream_bodies = (
            True  # bodies over `MAX_BUFFERED_BODY` are passed on; not where orders pass between cores
        )
        self.busy_connections: set[RequestHandler] = set()
        self.last_request_id = self.last_client_id = 0
        self.draining = False
        self.shared_socket = False  # another process may listen at the same socket
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
            handler_cancellation=True,  # a client that leaves is noticed
            access_log=None,
            auto_decompress=False,  # a body passes as it came
            logger=MUTED_LOGGER,
            keepalive_timeout=MAX_WAIT,  # the reducer says which connections are to be closed
            lingering_time=0,  # guards against reading on for 10 s where a body is too long to be taken
        )
        self.server.on_partial_head = self._on_partial_head

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listens at an address, or on the listening socket that this process was started with."""
        self.shared_socket = inherited is not None
        listen_socket = bind(host, port) if inherited is None else socket.socket(fileno=inherited)
        self.listener = Listener(listen_socket, BACKLOG, self._make_connection, inherited is not None)

    def _make_connection(self, accept_delay: float) -> RequestHandler:
        connection = self.server()
        if isinstance(connection, ClientConnection):
            connection.accept_delay = accept_delay
        return connection

    def stop_accepting(self) -> None:
        """No more connections for now. What waits in the kernel's queue stays there for whoever else listens
        at the same socket."""
        if self.listener is not None:
            self.listener.suspend()

    def resume_accepting(self) -> None:
        if self.listener is not None:
            self.listener.resume()

    def stop_listening(self) -> None:
        """No more connections. Those that wait in the kernel's queue are taken in first.

        Guards them against the reset that the queue's end sends: their requests may have been written.
        """
        if self.listener is not None and not self.shared_socket:
            self.listener.close_when_empty()
        elif self.listener is not None:
            self.listener.close()

    def _is_accepting(self) -> bool:
        """Whether a connection that came before listening stopped has not been seen yet."""
        return self.listener is not None and self.listener.has_pending

    async def close(self, timeout: float = math.inf) -> None:
        """Ends what is left, in so many seconds at most. Guards requests that had been read and were no
        order yet, or came in meanwhile, when nothing seemed to be owed any more, and answers that their
        clients have yet to take."""
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
        """Whether a last answer is still on its way, or a request is being read or waits to be."""
        transport = connection.transport
        if transport is None:
            return False
        lingering = isinstance(connection, ClientConnection) and connection.lingering
        if lingering or transport.get_write_buffer_size() > 0 or not self._is_idle(connection):
            return True
        return bool(peek_byte(transport))

    def _is_idle(self, connection: RequestHandler) -> bool:
        """Whether it has asked nothing, or not all of it: else an order is on its way, and a close would
        lose it, also in the turn of the loop in which its request has been read and nobody knows yet."""
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

    def streamed_body(self, request_id: int) -> StreamReader | None:
        """What comes behind the beginning of an order's body."""
        return self.streamed_bodies.get(request_id)

    def _on_disconnected(self, connection: RequestHandler) -> None:
        if client_id := self.client_ids.pop(connection, None):
            self.connections.pop(client_id, None)
            self.report(ClientDisconnected(client_id))

    def close_if_idle(self, client_id: int, immediately: bool = False) -> None:
        """Ends a connection over which nothing is owed.

        One over which something has come that nobody has read is left: it is a request, most likely, whose
        client must not be answered by a reset. `immediately`: there is no room for such a wait.
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
            transport.abort()  # guards against a client that does not read its answer
        # Otherwise a whole request has been read and its order is on its way: closing now would lose it.

    def disconnected_client(self, request_id: int) -> int | None:
        """The client that asked, if its connection has ended and the loop has yet to say so."""
        pending = self.pending.get(request_id)
        if pending is None:
            return None
        connection = pending.connection
        transport = connection.transport
        disconnected = transport is None or transport.is_closing() or is_closed_by_peer(transport)
        return self.client_ids.get(connection) if disconnected else None

    def abort(self, client_id: int) -> None:
        """Ends a connection in the middle of an answer."""
        connection = self.connections.get(client_id)
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def stop_reading_bodies(self) -> None:
        """Answers requests whose bodies have not come whole and that became no order."""
        for body in self.incomplete_bodies.values():
            if not body.is_eof():
                body.set_exception(BodyReadCancelled())

    def answer(self, effect: AnswerClient, stream: StreamReader | None = None) -> None:
        """`stream`: the answer's body, as it comes."""
        pending = self.pending.get(effect.request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result((effect, stream))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        accept_delay = self._take_accept_delay(request)
        if request.raw_path == "/ready":
            return await self._answer_directly(request, 200 if self.is_ready() else 503)
        client_id = self.client_ids.get(request.protocol)
        if client_id is None:
            return web.Response(status=400)  # gone before its request was read
        complete, body = request.content.is_eof(), b""
        try:
            if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
                parse_request(
                    request, 0, client_id, b"", self.catalog
                )  # what will be refused is not asked for
                if not complete and request.version >= HttpVersion11:
                    request.transport.write(CONTINUE_RESPONSE)
            max_size = MAX_BODY if self.stream_bodies else MAX_BUFFERED_BODY
            if (request.content_length or 0) > max_size:
                raise MalformedRequest(413, "a body that is too long")
            if not complete:
                self.report(RequestBodyStarted(client_id))
                body, complete = await self._read_body_start(request)
            elif request.body_exists:
                body = request.content.read_nowait(-1)
            if not complete and not self.stream_bodies:
                raise MalformedRequest(413, "a body that is too long")
            self.last_request_id += 1
            received = parse_request(request, self.last_request_id, client_id, body, self.catalog)
            if accept_delay:
                received.time_left = max(ZERO, received.time_left - accept_delay)
        except MalformedRequest as error:
            self.report(RequestDiscarded(client_id))
            return await self._answer_directly(request, error.status, request.content)
        if not complete:
            received.http_request.has_more_body, received.http_request.body_length = (
                True,
                request.content_length,
            )
            self.streamed_bodies[received.request_id] = request.content
        return await self._await_answer(request, received, complete)

    @staticmethod
    def _take_accept_delay(request: web.BaseRequest) -> timedelta:
        """How long a connection's first request lay unread; nothing for any other.

        Guards servers against being told time that a client no longer has.
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
            self.streamed_bodies.pop(received.request_id, None)
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
        """Guards against holding, and sending on, a request whose client left while something that it sent
        lies unread: the rest of a body, or more requests than are read ahead."""
        while (transport := request.transport) is not None and not transport.is_closing():
            if not transport.is_reading() and is_closed_by_peer(transport):
                transport.abort()
            await asyncio.sleep(DISCONNECT_POLL_INTERVAL)

    async def _answer_and_discard_body(
        self, request: web.BaseRequest, response: web.Response, client_id: int
    ) -> None:
        """The answer leaves at once; what still comes of the request's body is dropped.

        Guards the answer against the reset that a close would send a client that is still writing.
        """
        await response.prepare(request)
        await response.write_eof()
        self.report(RequestBodyStarted(client_id))
        discarded, started = 0, self.loop.time()
        try:
            while not request.content.is_eof():
                async with asyncio.timeout(BODY_STALL_TIMEOUT):
                    discarded += len(await request.content.readany())
                # Guards the connection's place against a body without end, and one that hardly comes.
                if discarded > MAX_BODY or discarded < MIN_BODY_RATE * (
                    self.loop.time() - started - BODY_STALL_TIMEOUT
                ):
                    response.force_close()
                    break
        except Exception:
            response.force_close()
        self.report(RequestDiscarded(client_id))

    async def _stream_answer(
        self, request: web.BaseRequest, effect: AnswerClient, stream: StreamReader | None
    ) -> web.StreamResponse:
        """A long answer, from its stock node to its client, no faster than either; memory holds a part of it.

        One that breaks off is ended so that the client can tell: its connection is reset.
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
                while not stream.at_eof():
                    async with asyncio.timeout(SERVER_STALL_TIMEOUT):
                        data = await stream.readany()
                    if data:
                        async with asyncio.timeout(CLIENT_READ_TIMEOUT):
                            await response.write(data)
                async with asyncio.timeout(CLIENT_READ_TIMEOUT):
                    await response.write_eof()
                complete = True
        except (OSError, ValueError, RuntimeError, TimeoutError, HttpProcessingError, ClientPayloadError):
            pass  # a side has gone, has stopped, or its framing is no good
        finally:
            if not complete and request.transport is not None:
                request.transport.abort()
            self.report(StreamedAnswerEnded(effect.request_id, complete))
        return await self._finish(request, response)

    async def _read_body_start(self, request: web.BaseRequest) -> tuple[bytes, bool]:
        """As much of a body as is held, and whether that is all. Raises MalformedRequest where it stops."""
        parts, size, started = list[bytes](), 0, self.loop.time()
        self.incomplete_bodies[request.protocol] = request.content
        try:
            while size <= MAX_BUFFERED_BODY:
                async with asyncio.timeout(BODY_STALL_TIMEOUT):
                    data = await request.content.readany()
                if not data and request.content.at_eof():
                    return b"".join(parts), True
                parts.append(data)
                size += len(data)
                if size < MIN_BODY_RATE * (self.loop.time() - started - BODY_STALL_TIMEOUT):
                    raise MalformedRequest(408, "a body that hardly comes")
            return b"".join(parts), request.content.at_eof()
        except (TimeoutError, BodyReadCancelled):
            raise MalformedRequest(408, "a body that stops, or comes too late") from None
        except (OSError, ValueError, RuntimeError, HttpProcessingError, ClientPayloadError):
            raise MalformedRequest(400, "a body that cannot be read") from None
        finally:
            self.incomplete_bodies.pop(request.protocol, None)

    async def _answer_directly(
        self, request: web.BaseRequest, status: int, body: StreamReader | None = None
    ) -> web.StreamResponse:
        """An answer to what is no order. A body that has not come whole ends the connection with it."""
        response = web.Response(status=status)
        if self.draining or body is not None and not body.is_eof():
            response.force_close()
        return await self._finish(request, response)

    async def _finish(self, request: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
        """Writes an answer behind which the connection ends; any other is left to aiohttp."""
        last = response.keep_alive is False or not request.keep_alive
        if last and isinstance(connection := request.protocol, ClientConnection):
            await connection.answer_and_linger(request, response)
        return response
