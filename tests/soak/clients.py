"""The clients of one instance.

They keep connections open and use them until a process is killed; some leave before their answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import re
import socket
from collections.abc import Callable

from tests.pipelined_requests import digest_of, encode_chunks
from tests.soak.checker import ANSWER_GRACE
from tests.soak.deployment import MAX_UNITS, PLAN_NAME, Deployment, RequestClass
from tests.soak.records import Effect, End, RequestRecord

CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
LEAVING_SHARE = 0.06  # share of the requests whose client leaves before the answer
SLOW_WRITE_SHARE = 0.03  # share of the requests that are written in two parts
ACCOUNTS = 40
PRESSING_ACCOUNT, PRESSING_SHARE = ACCOUNTS, 0.3  # account, and its share of the requests under a ceiling
PIPELINING_SHARE = 0.08  # share of the sends that are several requests, written behind each other
MAX_PIPELINED = 5
CHUNKED_SHARE = 0.2  # share of the bodies
EXTRA_WAIT = 1.0  # s past the time after which an answer is lost, to tell late answers from lost ones
LONG_BODY_SHARE = 0.02  # share of the bodies
MAX_BODY_BYTES = 300_000
MAX_HELD_ANSWER_BYTES = 64 * 1024  # the ingress forwards a longer answer while it arrives
SLOW_WRITE_PAUSE = 0.05  # s between the two parts of a request


class Connection:
    """A client's connection; `used` once it has carried an answered request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False

    @property
    def closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class Clients:
    """All clients of one instance."""

    def __init__(
        self,
        deployment: Deployment,
        instance: int,
        address: tuple[str, int],
        records: list[RequestRecord],
        now: Callable[[], float],
    ) -> None:
        self.deployment, self.instance, self.address = deployment, instance, address
        self.records, self.now = records, now
        self.rng = random.Random(deployment.seed * 1009 + instance)
        self.idle: list[Connection] = []
        self.idle_sockets: list[socket.socket] = []
        self.request_numbers = itertools.count()
        self.tasks: set[asyncio.Task[None]] = set()
        self.receives_connections = True  # the load balancer in front sends new connections to this instance

    async def run(self, end_time: float) -> None:
        """Sends requests at the drawn rate, without waiting for the answers to earlier ones."""
        rate = self.deployment.rate / self.deployment.instances
        while self.now() < end_time:
            await asyncio.sleep(self.rng.expovariate(rate))
            connection = self._take_idle_connection()
            if connection is None and not self.receives_connections:
                continue
            pipelined = self.rng.random() < PIPELINING_SHARE
            task = asyncio.create_task(
                self._send_pipelined(connection) if pipelined else self._send_request(connection, "")
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _take_idle_connection(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop(self.rng.randrange(len(self.idle)))
            if not connection.closed:
                return connection
            connection.close()
        return None

    async def open_idle_connections(self, count: int) -> None:
        """Opens connections that stay open and send nothing."""
        for _ in range(count):
            idle_socket = socket.socket()
            idle_socket.setblocking(False)
            with contextlib.suppress(OSError):
                await asyncio.get_running_loop().sock_connect(idle_socket, self.address)
            self.idle_sockets.append(idle_socket)

    def _draw_request(
        self, request_class: RequestClass, kept: bool, repeats: str = ""
    ) -> tuple[RequestRecord, bytes]:
        """Draws a request of a class; returns its record, which is not added yet, and its bytes."""
        name = f"{self.deployment.seed}-{self.instance}-{next(self.request_numbers)}"
        method = "GET" if request_class.effect is Effect.SAFE else "POST"
        target = f"/{request_class.name}?of={name}"
        body = b"" if method == "GET" else self._draw_body(name)
        units, account = self.rng.randint(1, MAX_UNITS), self.rng.randrange(ACCOUNTS)
        if self.deployment.has_ceiling and self.rng.random() < PRESSING_SHARE:
            account = PRESSING_ACCOUNT
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {name}\r\n"
            f"X-Tier: {PLAN_NAME}\r\nCookie: customer={account:016x}\r\n"
            f"X-Time-Left: {request_class.deadline:.3f}\r\n"
            f"X-Call-Terms: units={units},spread={self.deployment.instances},first=0\r\n"
        )
        if request_class.effect is Effect.KEYED:
            head += f"Idempotency-Key: {name}\r\n"
        if body and self.rng.random() < CHUNKED_SHARE:
            framed = b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(
                body, (self.rng.randint(1, 4000), 500)
            )
        else:
            framed = b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        record = RequestRecord(
            name, request_class.effect, self.instance, self.now(), request_class.deadline, kept,
            repeats=repeats, digest=digest_of(method, target, body), account=account, units=float(units),
        )  # fmt: skip
        return record, head.encode() + framed

    def _draw_body(self, name: str) -> bytes:
        """A body that differs from place to place, so that a stretch that has moved shows."""
        size = self.rng.randint(0, MAX_BODY_BYTES if self.rng.random() < LONG_BODY_SHARE else 2000)
        return b"".join(b"%s:%07d;" % (name.encode(), place) for place in range(size // 10 + 1))[:size]

    async def _connect(self) -> Connection | None:
        try:
            return Connection(*await asyncio.open_connection(*self.address))
        except OSError:
            return None  # refused: no process accepts connections

    async def _send_pipelined(self, connection: Connection | None) -> None:
        """Writes several requests of one class behind each other, then reads their answers."""
        request_class = self.rng.choice(self.deployment.classes)
        connection = connection or await self._connect()
        if connection is None:
            return
        batch, data = list[RequestRecord](), b""
        for _ in range(self.rng.randint(2, MAX_PIPELINED)):
            # All but the first may be unread when the connection ends behind an answer.
            record, encoded = self._draw_request(request_class, kept=connection.used or bool(batch))
            batch.append(record)
            data += encoded
        connection.writer.write(data)
        self.records += batch
        for record in batch:
            record.sent = self.now()
        for position, record in enumerate(batch):
            timeout = request_class.deadline + ANSWER_GRACE + EXTRA_WAIT
            is_last = position == len(batch) - 1
            if not await self._receive_answer(connection, record, timeout, keep=is_last) or connection.closed:
                for unread in batch[position + 1 :]:
                    unread.end, unread.ended = End.UNHEARD, self.now()
                return

    async def _send_request(self, connection: Connection | None, repeats: str) -> None:
        request_class = self.rng.choice(self.deployment.classes)
        connection = connection or await self._connect()
        if connection is None:
            return
        request, remaining = self._draw_request(request_class, connection.used, repeats)
        if self.rng.random() < SLOW_WRITE_SHARE:
            connection.writer.write(remaining[:40])
            await asyncio.sleep(SLOW_WRITE_PAUSE)
            remaining = remaining[40:]
            if connection.closed:
                connection.close()
                return  # its last byte was never written
        connection.writer.write(remaining)
        request.sent = self.now()
        self.records.append(request)
        if self.rng.random() < LEAVING_SHARE:
            await asyncio.sleep(self.rng.random() * request_class.deadline / 2)
            if await self._receive_answer(connection, request, 0.0):
                return
            request.end, request.ended = End.LEFT, self.now()
            connection.writer.transport.abort()
            return
        whole = await self._receive_answer(
            connection, request, request_class.deadline + ANSWER_GRACE + EXTRA_WAIT
        )
        if not whole and request.end is End.UNHEARD and self.receives_connections and not repeats:
            await self._send_request(None, request.name)

    async def _receive_answer(
        self, connection: Connection, request: RequestRecord, timeout: float, keep: bool = True
    ) -> bool:
        """Waits for the answer, for `timeout` s at most, and records how the exchange ended.

        Returns whether the answer came whole. With a timeout of 0 nothing is recorded if no answer is there.
        With `keep`, the connection is free for other requests afterwards.
        """
        received = b""
        try:
            async with asyncio.timeout(timeout):
                received = await connection.reader.readuntil(b"\r\n\r\n")
                content_length = CONTENT_LENGTH.search(received)
                await connection.reader.readexactly(int(content_length[1]) if content_length else 0)
        except TimeoutError:
            if timeout:
                request.end, request.ended = End.LOST, self.now()
                connection.close()
            return False
        except (asyncio.IncompleteReadError, OSError) as error:
            received = received or getattr(error, "partial", b"")
            unread = not received and (request.kept or self.deployment.idle_crowd)
            request.end, request.ended = End.UNHEARD if unread else End.LOST, self.now()
            if (
                (content_length := CONTENT_LENGTH.search(received))
                and int(content_length[1]) > MAX_HELD_ANSWER_BYTES
                and b"\r\n\r\n" in received
            ):
                request.end = End.CUT
            connection.close()
            return False
        request.end, request.ended, request.status = End.ANSWERED, self.now(), int(received[9:12])
        connection.used = True
        if b"connection: close" in received.lower():
            connection.close()
        elif keep:
            self.idle.append(connection)
        return True

    async def finish(self) -> None:
        """Waits until all exchanges have ended, then closes every connection."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        for connection in self.idle:
            connection.close()
        for idle_socket in self.idle_sockets:
            idle_socket.close()
