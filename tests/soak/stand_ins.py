"""Stand-ins for the servers, the discovery agents and the quota counter, which can fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import re
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from tests.pipelined_requests import digest_of
from tests.soak.deployment import ZONES, RequestClass
from tests.soak.proxy import Proxy
from tests.soak.records import AttemptRecord, Effect, ServerRecord

CORRELATION_ID = re.compile(rb"x-correlation-id: *(\S+)", re.IGNORECASE)
TIME_LEFT = re.compile(rb"x-time-left: *([0-9.]+)", re.IGNORECASE)
CHUNKED = re.compile(rb"transfer-encoding: *chunked", re.IGNORECASE)
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
IDEMPOTENCY_KEY = re.compile(rb"idempotency-key: *(\S+)", re.IGNORECASE)
UNPROCESSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nhalf"
SLOW_ANSWER_DELAY = 1.2  # s
LONG_ANSWER_SHARE = 0.02  # share of the answers
MAX_ANSWER_BYTES = 1_000_000
DELIVERY_DELAY = 0.1  # s after which a written answer counts as read

Clock = Callable[[], float]


def split_chunks(data: bytes) -> tuple[bytes | None, bytes]:
    """Returns a chunked body and what follows it; no body as long as its last chunk has not come."""
    body, position = bytearray(), 0
    while (line_end := data.find(b"\r\n", position)) >= 0:
        size = int(data[position:line_end], 16)
        chunk_end = line_end + 2 + size
        if len(data) < chunk_end + 2:
            break
        if not size:
            return bytes(body), data[chunk_end + 2 :]
        body += data[line_end + 2 : chunk_end]
        position = chunk_end + 2
    return None, data


def ok_response(body: bytes) -> bytes:
    """Returns a response with status 200."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class StandInConnection(asyncio.Protocol):
    """A connection to a stand-in; passes each complete request to `StandIn.handle_request`."""

    def __init__(self, stand_in: StandIn) -> None:
        self.stand_in, self.buffer, self.request_began = stand_in, b"", 0.0
        self.transport: asyncio.Transport | None = None
        self.port = 0  # peer port
        self.last_attempt: AttemptRecord | None = None
        self.open_attempts: list[AttemptRecord] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port = self.transport.get_extra_info("peername")[1]
        self.stand_in.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.stand_in.proxy is not None and self.stand_in.proxy.take_reset(self.port):
            self.mark_harmed()
        self.stand_in.connections.discard(self)
        self.end_attempts()

    def end_attempts(self) -> None:
        """Records that the attempts over this connection have ended."""
        for attempt in self.open_attempts:
            attempt.ended = min(attempt.ended, self.stand_in.now())
        self.open_attempts.clear()

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.request_began = self.stand_in.now()
        self.buffer += data
        while True:
            head, end, rest = self.buffer.partition(b"\r\n\r\n")
            if not end:
                return
            found = CONTENT_LENGTH.search(head)
            body: bytes | None
            if CHUNKED.search(head):
                body, rest = split_chunks(rest)
            elif len(rest) < (length := int(found[1]) if found else 0):
                body = None
            else:
                body, rest = rest[:length], rest[length:]
            if body is None:
                return
            self.buffer = rest
            self.stand_in.handle_request(self, head, body)

    def send(self, data: bytes) -> None:
        """Answers, unless the connection has ended."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            self.end_attempts()

    def mark_harmed(self) -> None:
        """Records that the last attempt may break off for another reason than the ingress."""
        if self.last_attempt is not None:
            self.last_attempt.harmed = True

    def abort(self) -> None:
        """Resets the connection."""
        self.mark_harmed()
        if self.transport is not None:
            self.transport.abort()


class StandIn:
    """A server on loopback; subclasses handle its requests."""

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.connections: set[StandInConnection] = set()
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.proxy: Proxy | None = None  # the ingress connects through it

    async def put_behind(self, proxy: Proxy) -> None:
        """Puts a proxy before the stand-in; `address` becomes the proxy's."""
        await proxy.open()
        self.proxy, self.address = proxy, proxy.address

    async def open(self) -> None:
        """Starts to listen and sets `address`."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: StandInConnection(self), "127.0.0.1", 0, backlog=512)
        host, port = self.listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.listener is not None:
            self.listener.close()
        if self.proxy is not None:
            self.proxy.close()
        for connection in list(self.connections):
            connection.abort()

    def handle_request(self, connection: StandInConnection, head: bytes, body: bytes) -> None:
        """Handles a complete request."""
        raise NotImplementedError


class KnownKeys:
    """The idempotency keys that servers remember for the window of their class.

    Depending on the class, the servers of one zone or all servers share them.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.classes = {request_class.name: request_class for request_class in classes}
        self.first_received: dict[tuple[bytes, int], float] = {}

    def is_repeat(self, head: bytes, zone: int, now: float) -> bool:
        """Whether a server drops the request as a repeat; otherwise its key is remembered from `now` on."""
        target = head.split(b" ", 2)[1].decode()
        request_class = self.classes.get(target.removeprefix("/").split("?")[0])
        key = IDEMPOTENCY_KEY.search(head)
        if request_class is None or request_class.effect is not Effect.KEYED or key is None:
            return False
        scope = (key[1], zone if request_class.dedup_per_zone else -1)
        if now - self.first_received.get(scope, -math.inf) < request_class.dedup_window:
            return True
        self.first_received[scope] = now
        return False


class ServerMode(Enum):
    """What a server does with a request."""

    SERVE = "serve"
    HANG = "hang"  # never answers
    RESET = "reset"  # resets the connection
    SLOW = "slow"
    TRUNCATE = "half an answer"  # sends a part of the answer and nothing more
    REJECT = "turn away"  # refuses it as unprocessed


class Server(StandIn):
    """An upstream server; its service times are exponential with a mean of 1 / (2 * capacity)."""

    def __init__(
        self,
        number: int,
        record: ServerRecord,
        attempts: list[AttemptRecord],
        now: Clock,
        rng: random.Random,
        keys: KnownKeys,
    ) -> None:
        super().__init__(now)
        self.number, self.record, self.attempts, self.rng, self.keys = number, record, attempts, rng, keys
        self.mode = ServerMode.SERVE

    def handle_request(self, connection: StandInConnection, head: bytes, body: bytes) -> None:
        method, target, _ = head.decode("latin-1").split(" ", 2)
        correlation_id, time_left = CORRELATION_ID.search(head), TIME_LEFT.search(head)
        now = self.now()
        arrival = self.proxy.take_arrival(connection.port) if self.proxy is not None else None
        began, whole = (
            (arrival.first, arrival.last) if arrival is not None else (connection.request_began, now)
        )
        attempt = AttemptRecord(
            correlation_id[1].decode() if correlation_id else "", self.number, began, whole,
            float(time_left[1]) if time_left else math.inf,
            self.mode is not ServerMode.REJECT
            and not self.keys.is_repeat(head, self.number % len(ZONES), whole),
            digest=digest_of(method, target, body),
        )  # fmt: skip
        self.attempts.append(attempt)
        connection.last_attempt = attempt
        connection.open_attempts.append(attempt)
        loop = asyncio.get_running_loop()
        service_time = self.rng.expovariate(2 * self.record.capacity)
        if self.mode is ServerMode.SERVE:
            padding = (
                self.rng.randint(100_000, MAX_ANSWER_BYTES) if self.rng.random() < LONG_ANSWER_SHARE else 0
            )
            loop.call_later(
                service_time, connection.send, ok_response(attempt.name.encode() + b"l" * padding)
            )
        elif self.mode is ServerMode.SLOW:
            loop.call_later(
                SLOW_ANSWER_DELAY + service_time, connection.send, ok_response(attempt.name.encode())
            )
        elif self.mode is ServerMode.RESET:
            loop.call_later(service_time, connection.abort)
        elif self.mode is ServerMode.REJECT:
            connection.send(UNPROCESSED)
        elif self.mode is ServerMode.TRUNCATE and connection.transport is not None:
            connection.transport.write(TRUNCATED)


class Counter(StandIn):
    """The shared quota counter. It does not answer while `silent`, and refuses while `busy`."""

    def __init__(self, now: Clock) -> None:
        super().__init__(now)
        self.totals: dict[bytes, float] = {}
        self.silent = self.busy = False

    def handle_request(self, connection: StandInConnection, head: bytes, _: bytes) -> None:
        if self.silent:
            return
        if self.busy:
            connection.send(UNAVAILABLE)
            return
        name, _, query = head.split(b" ", 2)[1].partition(b"?")
        self.totals[name] = self.totals.get(name, 0.0) + float(query.split(b"&")[0].partition(b"=")[2])
        connection.send(ok_response(f"{self.totals[name]:g}".encode()))


class Discovery(StandIn):
    """The discovery agent of one instance: answers a watch once the list changes or it times out."""

    def __init__(self, now: Clock, instance: int) -> None:
        super().__init__(now)
        self.instance, self.version, self.silent = instance, 1, False
        self.swallowed_requests = 0  # so many next requests stay without an answer
        # By server name, with the version of its last change.
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.server_records: dict[str, ServerRecord] = {}
        self.watches: list[tuple[StandInConnection, int]] = []
        # The server list that this instance last received, and its version.
        self.delivered_entries: dict[str, dict[str, Any]] = {}
        self.delivered_version = 1

    def server_list(self) -> dict[str, Any]:
        """Returns the list that the platform writes into the configuration of a starting process."""
        return {"seq": self.delivered_version, "whole": True, "hosts": list(self.delivered_entries.values())}

    def set_entry(self, entry: dict[str, Any], record: ServerRecord) -> None:
        """Adds or replaces a server's entry and answers all open watches."""
        self.version += 1
        self.entries[entry["host"]] = self.version, entry
        self.server_records[entry["host"]] = record
        if entry["health"] != "in_service":
            record.drain_known.setdefault(self.instance, self.now())
        if self.silent:
            return
        watches, self.watches = self.watches, []
        for connection, since in watches:
            self._send_changes(connection, since)

    def handle_request(self, connection: StandInConnection, head: bytes, _: bytes) -> None:
        if self.silent or self.swallowed_requests:
            self.swallowed_requests = max(0, self.swallowed_requests - 1)
            return
        found = re.search(rb"since=(\d+)", head)
        timeout = re.search(rb"timeout_ms=(\d+)", head)
        if found and int(found[1]) >= self.version:
            self.watches.append((connection, int(found[1])))
            loop = asyncio.get_running_loop()
            loop.call_later(
                int(timeout[1]) / 1000 if timeout else 1.0, self._time_out, connection, int(found[1])
            )
        else:
            self._send_changes(connection, int(found[1]) if found else None)

    def _time_out(self, connection: StandInConnection, since: int) -> None:
        if (connection, since) in self.watches and not self.silent:
            self.watches.remove((connection, since))
            self._send_changes(connection, since)

    def _mark_delivered(
        self, connection: StandInConnection, changes: list[dict[str, Any]], version: int, sent_at: float
    ) -> None:
        """Counts changes as received, unless the connection was reset meanwhile, which may have lost them."""
        if connection not in self.connections:
            return
        self.delivered_version = max(self.delivered_version, version)
        for entry in changes:
            self.delivered_entries[entry["host"]] = entry
            if entry["health"] != "in_service":
                self.server_records[entry["host"]].drain_told.setdefault(self.instance, sent_at)

    def _send_changes(self, connection: StandInConnection, since: int | None) -> None:
        changes = [e for v, e in self.entries.values() if since is None or v > since]
        loop = asyncio.get_running_loop()
        loop.call_later(DELIVERY_DELAY, self._mark_delivered, connection, changes, self.version, self.now())
        answer = {"seq": self.version, "whole": since is None, "hosts": changes}
        with contextlib.suppress(OSError):
            connection.send(ok_response(json.dumps(answer).encode()))
