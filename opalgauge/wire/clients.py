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
from opalgauge.wire.socket_state import has_ended, unread
from opalgauge.wire.upstream import MOST_BODY, MOST_LONG

BACKLOG = 512  # connections that wait to be accepted
BODY_STALL = 2.2  # s: a client that sends nothing of its body for so long has stopped
LEAST_RATE = 4096  # bytes a second, over all of a body: a client that sends less holds a place for nothing
READ_STALL = 10.0  # s: a client that reads nothing of a long answer for so long has stopped
NODE_STALL = 5.0  # s: a stock node that gives, or takes, nothing of a long body for so long has
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MOST_ACCOUNT = 2**33
LAST_ROUND = 0.01  # s between looks at what is still owed when all leave
LINGER = 0.5  # s: so long a client's bytes are read behind its last answer, and
MOST_LINGER = 256 * 1024  # bytes: so many of them
LAST_WRITE = 0.5  # s: for answers that their clients are slow to take, when all leave
LOOK = 0.04  # s between looks whether the client of a body that is not read on is still there
NOTHING = timedelta(0)
LONGEST = 3600.0  # s: nobody waits longer for an answer
# What says how a body is to be read goes with it, and so does the key by which stock nodes know a repeat.
PASSED = ("Content-Type", "Content-Encoding", "Idempotency-Key")
PLAIN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
IDENTITY = re.compile(r"[!-~]{1,128}")  # visible ASCII
ACCOUNT = re.compile(r"(?:^|;)\s*customer=([0-9a-fA-F]{1,16})\s*(?:;|$)")

# Whatever a client sends, aiohttp answers it; its words on that would fill the log.
QUIET = logging.getLogger("opalgauge.clients")
QUIET.setLevel(logging.CRITICAL)


class Malformed(Exception):
    """A request that cannot be an order; it is answered with `status`."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class BodyUnwanted(Exception):
    """The process ends before the rest of a body can come."""


class Waiting(NamedTuple):
    """A client that waits for the answer to its order, and the answer's body where that comes at length."""

    answer: asyncio.Future[tuple[AnswerClient, StreamReader | None]]
    connection: RequestHandler


class Trade:
    """The deployment's own names for kinds of request and tariffs, in the order of its settings.

    And what an order's terms can be: units up to `most_units`, a set among `ingresses`.
    """

    def __init__(
        self, kinds: list[tuple[str, bool]], tariffs: list[str], most_units: float, ingresses: int
    ) -> None:
        self.most_units, self.ingresses = most_units, ingresses
        self.kinds = {name: (number, "GET" if safe else "POST") for number, (name, safe) in enumerate(kinds)}
        self.tariffs = {name: number for number, name in enumerate(tariffs)}


def read_number(text: str) -> float:
    """A plain decimal; `float` alone would also take `nan`, `1_0` and digits of other scripts."""
    if not PLAIN.fullmatch(text):
        raise ValueError("not a plain number")
    return float(text)


def read_terms(text: str, trade: Trade) -> tuple[float, int, int]:
    """Units, and the ingresses of the account.

    Guards an account's quota, and its part of the ceiling at this ingress, against terms that are impossible,
    in whoever's name they come.
    """
    told = dict(part.split("=", 1) for part in text.replace(" ", "").split(",") if "=" in part)
    units = read_number(told.get("units", ""))
    spread, first = int(read_number(told.get("spread", ""))), int(read_number(told.get("first", "")))
    if not 0 < units <= trade.most_units or not (1 <= spread <= trade.ingresses and first < trade.ingresses):
        raise ValueError("terms out of range")
    return units, spread, first


def read_order(
    request: web.BaseRequest, number: int, client: int, body: bytes, trade: Trade
) -> RequestReceived:
    """What the request's line and headers say; raises Malformed where they say nothing usable."""
    target, headers = request.raw_path, request.headers
    kind = trade.kinds.get(target[1:].split("?", 1)[0].split("/", 1)[0]) if target[:1] == "/" else None
    if kind is None:
        raise Malformed(404, "no such kind of request")
    if request.method != kind[1]:
        raise Malformed(400, "not this kind's method")
    if kind[1] == "GET" and body:
        raise Malformed(400, "a body where there is none")
    correlation = headers.get("X-Correlation-Id", "")
    account = ACCOUNT.search(headers.get("Cookie", ""))
    tariff = trade.tariffs.get(headers.get("X-Tier", ""))
    if not IDENTITY.fullmatch(correlation) or account is None or tariff is None:
        raise Malformed(400, "id, account or tariff missing")
    try:
        left = read_number(headers.get("X-Time-Left", ""))
        units, spread, first = read_terms(headers.get("X-Call-Terms", ""), trade)
    except ValueError:
        raise Malformed(400, "time left or terms unreadable") from None
    account_number = int(account[1], 16)
    if not 0 < left <= LONGEST or account_number >= MOST_ACCOUNT:
        raise Malformed(400, "time left or account out of range")
    passed = tuple((name, headers[name]) for name in PASSED if name in headers)
    errand = HttpRequest(request.method, target, correlation, passed, body)
    return RequestReceived(
        number, errand, kind[0], tariff, account_number, timedelta(seconds=left), units, spread, first,
        headers.get("X-Repeat") == "1", client,
    )  # fmt: skip


class Handler(RequestHandler):
    """aiohttp's connection handler, which also tells when a request has begun and is not whole.

    And it closes behind a last answer as it should be: `answer_last`. From then on the connection is
    `lingering`: nothing that comes over it is read as a request.
    """

    __slots__ = ("lingering", "dropped", "waited")

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.lingering, self.dropped = False, 0
        self.waited = 0.0  # s that its first request lay unread before the connection was accepted

    def data_received(self, data: bytes) -> None:
        if self.lingering:
            self.dropped += len(data)
            if self.dropped > MOST_LINGER and self.transport is not None:
                self.transport.pause_reading()  # guards the processor against a client that floods
            return
        super().data_received(data)
        # Not by what serves it: a first head may come before that has begun to wait for one.
        nothing_whole = not self._messages and self._current_request is None
        if data and nothing_whole and self._manager is not None:
            self._manager.begun(self)  # type: ignore[attr-defined]

    def _make_error_handler(self, err_info: Any) -> Any:
        answer = super()._make_error_handler(err_info)

        async def handler(request: web.BaseRequest) -> web.StreamResponse:
            response: web.StreamResponse = await answer(request)
            await self.answer_last(request, response)
            return response

        return handler

    async def answer_last(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
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
        await asyncio.sleep(LINGER)


class Front(web.Server):
    """aiohttp's low-level server, which also tells when connections come and go."""

    def __init__(
        self, came: Callable[[RequestHandler], None], went: Callable[[RequestHandler], None], **more: Any
    ) -> None:
        super().__init__(**more)
        self.came, self.went = came, went
        self.part: Callable[[RequestHandler], None] | None = None

    def __call__(self) -> RequestHandler:
        return Handler(self, loop=self._loop, **self._kwargs)

    def begun(self, handler: RequestHandler) -> None:
        if self.part is not None:
            self.part(handler)

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.came(handler)

    def connection_lost(self, handler: RequestHandler, exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        self.went(handler)


class Clients:
    """The sockets that clients reach, on aiohttp's low-level server."""

    def __init__(
        self,
        trade: Trade,
        report: Callable[[Event], None],
        ready: Callable[[], bool],
        front: type[Front] = Front,
    ) -> None:
        self.trade, self.report, self.ready = trade, report, ready
        self.over: Callable[[int], None] | None = None  # told of each order that waits no more
        self.waiting: dict[int, Waiting] = {}  # by order
        self.connections: dict[int, RequestHandler] = {}
        self.numbers: dict[RequestHandler, int] = {}
        self.reading: dict[RequestHandler, StreamReader] = {}  # bodies whose last byte has not come
        self.bodies: dict[int, StreamReader] = {}  # by order: what comes behind the beginning of its body
        self.long = True  # bodies over `MOST_BODY` are passed on; not where orders pass between cores
        self.busy: set[RequestHandler] = set()
        self.number = self.connection = 0
        self.last = False
        self.shared = False  # another process may listen at the same socket
        self.listener: Listener | None = None
        loop = self.loop = asyncio.get_running_loop()

        def make(
            message: RawRequestMessage, payload: StreamReader, protocol: RequestHandler, writer: Any,
            task: asyncio.Task[None],
        ) -> web.BaseRequest:  # fmt: skip
            return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=MOST_BODY)

        self.server = front(
            came=self._came,
            went=self._went,
            handler=self._serve,
            request_factory=make,
            handler_cancellation=True,  # a client that leaves is noticed
            access_log=None,
            auto_decompress=False,  # a body passes as it came
            logger=QUIET,
            keepalive_timeout=LONGEST,  # the reducer says which connections are to be closed
            lingering_time=0,  # guards against reading on for 10 s where a body is too long to be taken
        )
        self.server.part = self._begun

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listens at an address, or on the listening socket that this process was started with."""
        self.shared = inherited is not None
        listening = bind(host, port) if inherited is None else socket.socket(fileno=inherited)
        self.listener = Listener(listening, BACKLOG, self._connection, inherited is not None)

    def _connection(self, waited: float) -> RequestHandler:
        made = self.server()
        if isinstance(made, Handler):
            made.waited = waited
        return made

    def stop_accepting(self) -> None:
        """No more connections for now. What waits in the kernel's queue stays there for whoever else listens
        at the same socket."""
        if self.listener is not None:
            self.listener.suspend()

    def accept_again(self) -> None:
        if self.listener is not None:
            self.listener.resume()

    def stop_listening(self) -> None:
        """No more connections. Those that wait in the kernel's queue are taken in first.

        Guards them against the reset that the queue's end sends: their requests may have been written.
        """
        if self.listener is not None and not self.shared:
            self.listener.close_when_empty()
        elif self.listener is not None:
            self.listener.close()

    def _accepting(self) -> bool:
        """Whether a connection that came before listening stopped has not been seen yet."""
        return self.listener is not None and self.listener.busy

    async def close(self, within: float = math.inf) -> None:
        """Ends what is left, in so many seconds at most. Guards requests that had been read and were no
        order yet, or came in meanwhile, when nothing seemed to be owed any more, and answers that their
        clients have yet to take."""
        latest = self.loop.time() + within
        while (self.waiting or self._accepting()) and self.loop.time() < latest:
            await asyncio.sleep(LAST_ROUND)
        until = min(self.loop.time() + LAST_WRITE, latest)
        while self.loop.time() < (latest if self.waiting else until):
            if not self.waiting and not any(map(self._unfinished, self.numbers)):
                break
            for connection, number in list(self.numbers.items()):
                if not self._unfinished(connection):
                    self.dismiss(number)
            await asyncio.sleep(LAST_ROUND)
        await self.server.shutdown(timeout=0.1)

    def _unfinished(self, connection: RequestHandler) -> bool:
        """Whether a last answer is still on its way, or a request is being read or waits to be."""
        transport = connection.transport
        if transport is None:
            return False
        lingering = isinstance(connection, Handler) and connection.lingering
        if lingering or transport.get_write_buffer_size() > 0 or not self._quiet(connection):
            return True
        return bool(unread(transport))

    def _quiet(self, connection: RequestHandler) -> bool:
        """Whether it has asked nothing, or not all of it: else an order is on its way, and a close would
        lose it, also in the turn of the loop in which its request has been read and nobody knows yet."""
        waiter, body = connection._waiter, self.reading.get(connection)
        nothing = connection._request_count == 0 and not connection._messages
        waits = waiter is not None and not waiter.done()
        return nothing or waits or (body is not None and not body.is_eof())

    def _came(self, connection: RequestHandler) -> None:
        self.connection += 1
        self.connections[self.connection] = connection
        self.numbers[connection] = self.connection
        self.report(ClientConnected(self.connection))

    def _begun(self, connection: RequestHandler) -> None:
        if number := self.numbers.get(connection):
            self.report(RequestHeadStarted(number))

    def body(self, order: int) -> StreamReader | None:
        """What comes behind the beginning of an order's body."""
        return self.bodies.get(order)

    def _went(self, connection: RequestHandler) -> None:
        if number := self.numbers.pop(connection, None):
            self.connections.pop(number, None)
            self.report(ClientDisconnected(number))

    def dismiss(self, client: int, crowded: bool = False) -> None:
        """Ends a connection over which nothing is owed.

        One over which something has come that nobody has read is left: it is a request, most likely, whose
        client must not be answered by a reset. `crowded`: there is no room for such a wait.
        """
        connection = self.connections.get(client)
        transport = connection.transport if connection is not None else None
        if connection is None or transport is None:
            return
        if isinstance(connection, Handler) and connection.lingering:
            if crowded:
                transport.abort()
        elif self._quiet(connection):
            if crowded or not unread(transport):
                connection.force_close()
        elif transport.get_write_buffer_size():
            transport.abort()  # guards against a client that does not read its answer
        # Otherwise a whole request has been read and its order is on its way: closing now would lose it.

    def gone(self, order: int) -> int | None:
        """The client that asked, if its connection has ended and the loop has yet to say so."""
        waiting = self.waiting.get(order)
        if waiting is None:
            return None
        connection = waiting.connection
        transport = connection.transport
        ended = transport is None or transport.is_closing() or has_ended(transport)
        return self.numbers.get(connection) if ended else None

    def abort(self, client: int) -> None:
        """Ends a connection in the middle of an answer."""
        connection = self.connections.get(client)
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def stop_reading(self) -> None:
        """Answers requests whose bodies have not come whole and that became no order."""
        for body in self.reading.values():
            if not body.is_eof():
                body.set_exception(BodyUnwanted())

    def answer(self, effect: AnswerClient, flow: StreamReader | None = None) -> None:
        """`flow`: the answer's body, as it comes."""
        waiting = self.waiting.get(effect.request_id)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_result((effect, flow))

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        waited = self._take_waited(request)
        if request.raw_path == "/ready":
            return await self._plain(request, 200 if self.ready() else 503)
        client = self.numbers.get(request.protocol)
        if client is None:
            return web.Response(status=400)  # gone before its request was read
        whole, body = request.content.is_eof(), b""
        try:
            if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
                read_order(request, 0, client, b"", self.trade)  # what will be refused is not asked for
                if not whole and request.version >= HttpVersion11:
                    request.transport.write(CONTINUE)
            most = MOST_LONG if self.long else MOST_BODY
            if (request.content_length or 0) > most:
                raise Malformed(413, "a body that is too long")
            if not whole:
                self.report(RequestBodyStarted(client))
                body, whole = await self._beginning(request)
            elif request.body_exists:
                body = request.content.read_nowait(-1)
            if not whole and not self.long:
                raise Malformed(413, "a body that is too long")
            self.number += 1
            order = read_order(request, self.number, client, body, self.trade)
            if waited:
                order.time_left = max(NOTHING, order.time_left - waited)
        except Malformed as bad:
            self.report(RequestDiscarded(client))
            return await self._plain(request, bad.status, request.content)
        if not whole:
            order.http_request.has_more_body, order.http_request.body_length = True, request.content_length
            self.bodies[order.request_id] = request.content
        return await self._order(request, order, whole)

    @staticmethod
    def _take_waited(request: web.BaseRequest) -> timedelta:
        """How long a connection's first request lay unread; nothing for any other.

        Guards servers against being told time that a client no longer has.
        """
        connection = request.protocol
        if not isinstance(connection, Handler) or not connection.waited:
            return NOTHING
        waited, connection.waited = timedelta(seconds=connection.waited), 0.0
        return waited

    async def _order(
        self, request: web.BaseRequest, order: RequestReceived, whole: bool
    ) -> web.StreamResponse:
        waiting = self.waiting[order.request_id] = Waiting(self.loop.create_future(), request.protocol)
        self.busy.add(request.protocol)
        transport = request.transport
        hears_the_end = whole and transport is not None and transport.is_reading()
        look = None if hears_the_end else self.loop.create_task(self._look(request))
        try:
            self.report(order)
            effect, flow = await waiting.answer
            if effect.stream_connection_id:
                return await self._pass_on(request, effect, flow)
        finally:
            if look is not None:
                look.cancel()
            del self.waiting[order.request_id]
            self.bodies.pop(order.request_id, None)
            if self.over is not None:
                self.over(order.request_id)
            self.busy.discard(request.protocol)
        response = web.Response(status=effect.status, body=effect.body)
        if effect.content_type:
            response.headers["Content-Type"] = effect.content_type
        if effect.retry_after is not None:
            response.headers["Retry-After"] = f"{effect.retry_after.total_seconds():.3f}"
        if effect.close_connection:
            response.force_close()
        if not whole and not request.content.is_eof():
            await self._read_out(request, response, order.client_id)
        return await self._finish(request, response)

    async def _look(self, request: web.BaseRequest) -> None:
        """Guards against holding, and sending on, a request whose client left while something that it sent
        lies unread: the rest of a body, or more requests than are read ahead."""
        while (transport := request.transport) is not None and not transport.is_closing():
            if not transport.is_reading() and has_ended(transport):
                transport.abort()
            await asyncio.sleep(LOOK)

    async def _read_out(self, request: web.BaseRequest, response: web.Response, client: int) -> None:
        """The answer leaves at once; what still comes of the request's body is dropped.

        Guards the answer against the reset that a close would send a client that is still writing.
        """
        await response.prepare(request)
        await response.write_eof()
        self.report(RequestBodyStarted(client))
        dropped, started = 0, self.loop.time()
        try:
            while not request.content.is_eof():
                async with asyncio.timeout(BODY_STALL):
                    dropped += len(await request.content.readany())
                # Guards the connection's place against a body without end, and one that hardly comes.
                if dropped > MOST_LONG or dropped < LEAST_RATE * (self.loop.time() - started - BODY_STALL):
                    response.force_close()
                    break
        except Exception:
            response.force_close()
        self.report(RequestDiscarded(client))

    async def _pass_on(
        self, request: web.BaseRequest, effect: AnswerClient, flow: StreamReader | None
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
        whole = False
        try:
            if flow is not None:
                await response.prepare(request)
                while not flow.at_eof():
                    async with asyncio.timeout(NODE_STALL):
                        data = await flow.readany()
                    if data:
                        async with asyncio.timeout(READ_STALL):
                            await response.write(data)
                async with asyncio.timeout(READ_STALL):
                    await response.write_eof()
                whole = True
        except (OSError, ValueError, RuntimeError, TimeoutError, HttpProcessingError, ClientPayloadError):
            pass  # a side has gone, has stopped, or its framing is no good
        finally:
            if not whole and request.transport is not None:
                request.transport.abort()
            self.report(StreamedAnswerEnded(effect.request_id, whole))
        return await self._finish(request, response)

    async def _beginning(self, request: web.BaseRequest) -> tuple[bytes, bool]:
        """As much of a body as is held, and whether that is all. Raises Malformed where it stops."""
        parts, size, started = list[bytes](), 0, self.loop.time()
        self.reading[request.protocol] = request.content
        try:
            while size <= MOST_BODY:
                async with asyncio.timeout(BODY_STALL):
                    data = await request.content.readany()
                if not data and request.content.at_eof():
                    return b"".join(parts), True
                parts.append(data)
                size += len(data)
                if size < LEAST_RATE * (self.loop.time() - started - BODY_STALL):
                    raise Malformed(408, "a body that hardly comes")
            return b"".join(parts), request.content.at_eof()
        except (TimeoutError, BodyUnwanted):
            raise Malformed(408, "a body that stops, or comes too late") from None
        except (OSError, ValueError, RuntimeError, HttpProcessingError, ClientPayloadError):
            raise Malformed(400, "a body that cannot be read") from None
        finally:
            self.reading.pop(request.protocol, None)

    async def _plain(
        self, request: web.BaseRequest, status: int, body: StreamReader | None = None
    ) -> web.StreamResponse:
        """An answer to what is no order. A body that has not come whole ends the connection with it."""
        response = web.Response(status=status)
        if self.last or body is not None and not body.is_eof():
            response.force_close()
        return await self._finish(request, response)

    async def _finish(self, request: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
        """Writes an answer behind which the connection ends; any other is left to aiohttp."""
        last = response.keep_alive is False or not request.keep_alive
        if last and isinstance(connection := request.protocol, Handler):
            await connection.answer_last(request, response)
        return response
