"""Clients: their requests become orders, and each order's one answer goes back."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from opalgauge.memory.effects import AnswerClient
from opalgauge.memory.events import ClientLeft, Errand, Event, OrderTaken

MOST_BODY = 64 * 1024  # bytes
MOST_ACCOUNT = 2**33
LONGEST = 3600.0  # s: nobody waits longer for an answer
CONTENT = ("Content-Type", "Content-Encoding")  # what says how a body is to be read goes with it
ACCOUNT = re.compile(r"(?:^|;)\s*customer=([0-9a-fA-F]{1,16})\s*(?:;|$)")

# Whatever a client sends, aiohttp answers it; its words on that would fill the log.
QUIET = logging.getLogger("opalgauge.clients")
QUIET.setLevel(logging.CRITICAL)


class Malformed(Exception):
    """A request that cannot be an order; it is answered with `status`."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Trade:
    """The deployment's own names for kinds of request and tariffs, in the order of its settings."""

    def __init__(self, kinds: list[tuple[str, bool]], tariffs: list[str]) -> None:
        self.kinds = {name: (number, "GET" if safe else "POST") for number, (name, safe) in enumerate(kinds)}
        self.tariffs = {name: number for number, name in enumerate(tariffs)}


def read_terms(text: str) -> tuple[float, int, int]:
    """Units, and the ingresses of the account; a request that tells none counts one unit."""
    told = {"units": 1.0, "spread": 1.0, "first": 0.0}
    for part in filter(None, text.split(",")):
        name, _, value = part.partition("=")
        if name.strip() in told:
            told[name.strip()] = float(value)
    if not all(math.isfinite(v) for v in told.values()) or not 0 < told["units"] <= 1e6:
        raise ValueError("terms out of range")
    if not 1 <= told["spread"] <= 1e6 or not 0 <= told["first"] <= 1e6:
        raise ValueError("terms out of range")
    return told["units"], int(told["spread"]), int(told["first"])


def read_order(request: web.BaseRequest, number: int, body: bytes, trade: Trade) -> OrderTaken:
    """What the request's line and headers say; raises Malformed where they say nothing usable."""
    target, headers = request.raw_path, request.headers
    kind = trade.kinds.get(target[1:].split("?", 1)[0].split("/", 1)[0]) if target[:1] == "/" else None
    if kind is None:
        raise Malformed(404, "no such kind of request")
    if request.method != kind[1]:
        raise Malformed(400, "not this kind's method")
    correlation = headers.get("X-Correlation-Id", "")
    account = ACCOUNT.search(headers.get("Cookie", ""))
    tariff = trade.tariffs.get(headers.get("X-Tier", ""))
    if not correlation or account is None or tariff is None:
        raise Malformed(400, "id, account or tariff missing")
    try:
        left = float(headers.get("X-Time-Left", ""))
        units, spread, first = read_terms(headers.get("X-Call-Terms", ""))
    except ValueError:
        raise Malformed(400, "time left or terms unreadable") from None
    account_number = int(account[1], 16)
    if not 0 < left <= LONGEST or account_number >= MOST_ACCOUNT:
        raise Malformed(400, "time left or account out of range")
    content = tuple((name, headers[name]) for name in CONTENT if name in headers)
    errand = Errand(request.method, target, correlation, content, body)
    return OrderTaken(
        number, errand, kind[0], tariff, account_number, timedelta(seconds=left), units, spread, first,
        headers.get("X-Repeat") == "1",
    )  # fmt: skip


class Clients:
    """The sockets that clients reach, on aiohttp's low-level server."""

    def __init__(self, trade: Trade, report: Callable[[Event], None], ready: Callable[[], bool]) -> None:
        self.trade, self.report, self.ready = trade, report, ready
        self.waiting: dict[int, asyncio.Future[AnswerClient]] = {}
        self.busy: set[RequestHandler] = set()
        self.number = 0
        self.last = False
        self.listener: asyncio.Server | None = None
        loop = self.loop = asyncio.get_running_loop()

        def make(
            message: RawRequestMessage, payload: StreamReader, protocol: RequestHandler, writer: Any,
            task: asyncio.Task[None],
        ) -> web.BaseRequest:  # fmt: skip
            return web.BaseRequest(
                message, payload, protocol, writer, task, loop, client_max_size=MOST_BODY
            )

        self.server = web.Server(
            self._serve,
            request_factory=make,
            handler_cancellation=True,  # a client that leaves is noticed
            access_log=None,
            auto_decompress=False,  # a body passes as it came
            logger=QUIET,
            keepalive_timeout=LONGEST,  # the front closes its connections, not the ingress
        )

    async def listen(self, host: str, port: int) -> None:
        self.listener = await asyncio.get_running_loop().create_server(self.server, host, port, backlog=512)

    def stop_listening(self) -> None:
        """No more connections, and those that stand idle are closed."""
        if self.listener is not None:
            self.listener.close()
        for connection in self.server.connections:
            # Guards against `pre_shutdown`, which ends an idle connection's task but leaves its socket open.
            if connection not in self.busy:
                connection.force_close()

    async def close(self) -> None:
        await self.server.shutdown(timeout=0.1)

    def answer(self, effect: AnswerClient) -> None:
        waiting = self.waiting.get(effect.order)
        if waiting is not None and not waiting.done():
            waiting.set_result(effect)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == "/ready":
            return web.Response(status=200 if self.ready() else 503)
        try:
            body = await request.read() if request.body_exists else b""
            self.number += 1
            order = read_order(request, self.number, body, self.trade)
        except web.HTTPRequestEntityTooLarge:
            return self._plain(413)
        except Malformed as bad:
            return self._plain(bad.status)
        waiting = self.loop.create_future()
        self.waiting[order.order] = waiting
        self.busy.add(request.protocol)
        try:
            self.report(order)
            effect: AnswerClient = await waiting
        except asyncio.CancelledError:
            self.report(ClientLeft(order.order))
            raise
        finally:
            del self.waiting[order.order]
            self.busy.discard(request.protocol)
        response = web.Response(status=effect.status, body=effect.body)
        if effect.content_type:
            response.headers["Content-Type"] = effect.content_type
        if effect.retry_after is not None:
            response.headers["Retry-After"] = f"{effect.retry_after.total_seconds():.3f}"
        if effect.last:
            response.force_close()
        return response

    def _plain(self, status: int) -> web.Response:
        response = web.Response(status=status)
        if self.last:
            response.force_close()
        return response
