"""Clients of one instance: they keep connections, use them up to the kill, and some leave early."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import re
import socket
from collections.abc import Callable

from tests.soak.checker import LATE
from tests.soak.deployment import UNITS_TOP, Deployment, RequestClass
from tests.soak.records import Effect, End, RequestRecord

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
LEAVES = 0.06  # of the requests: the client leaves before its answer
SLOW_WRITER = 0.03  # of the requests: written in two parts
ACCOUNTS = 40
SPARE = 1.0  # s beyond the time after which an answer is lost: it may still tell that it came late
LONG_BODIES = 0.02  # of the bodies
MOST_LONG = 300_000  # bytes
MOST_HELD = 64 * 1024  # bytes: a longer answer is passed on while it comes
REST = 0.05  # s between the parts of a request that is written slowly


class Connection:
    """One connection of a client's."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False

    @property
    def over(self) -> bool:
        return self.reader.at_eof() or self.writer.is_closing()

    def close(self) -> None:
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
        self.crowd: list[socket.socket] = []
        self.numbers = itertools.count()
        self.tasks: set[asyncio.Task[None]] = set()
        self.dealt = True  # new connections are dealt to this instance

    async def run(self, until: float) -> None:
        """Asks at the drawn rate, whatever has come of what was asked before."""
        share = self.deployment.rate / self.deployment.instances
        while self.now() < until:
            await asyncio.sleep(self.rng.expovariate(share))
            connection = self._idle_one()
            if connection is None and not self.dealt:
                continue
            task = asyncio.create_task(self._ask(connection, ""))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _idle_one(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop(self.rng.randrange(len(self.idle)))
            if not connection.over:
                return connection
            connection.close()
        return None

    async def gather_crowd(self, many: int) -> None:
        """Connections that ask nothing and stay."""
        for _ in range(many):
            made = socket.socket()
            made.setblocking(False)
            with contextlib.suppress(OSError):
                await asyncio.get_running_loop().sock_connect(made, self.address)
            self.crowd.append(made)

    def _bytes(self, name: str, kind: RequestClass) -> bytes:
        method = "GET" if kind.effect.value == "retryable" else "POST"
        most = MOST_LONG if self.rng.random() < LONG_BODIES else 2000
        body = b"" if method == "GET" else b"x" * self.rng.randint(0, most)
        key = f"Idempotency-Key: {name}\r\n" if kind.effect is Effect.KEYED else ""
        instances = self.deployment.instances
        head = (
            f"{method} /{kind.name} HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {name}\r\nX-Tier: basic\r\n"
            f"Cookie: customer={self.rng.randrange(ACCOUNTS):016x}\r\nX-Time-Left: {kind.deadline:.3f}\r\n"
            f"X-Call-Terms: units={self.rng.randint(1, UNITS_TOP)},spread={instances},first=0\r\n"
            f"{key}Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def _ask(self, connection: Connection | None, repeats: str) -> None:
        kind = self.rng.choice(self.deployment.classes)
        if connection is None:
            try:
                connection = Connection(*await asyncio.open_connection(*self.address))
            except OSError:
                return  # refused: the front learns of it
        name = f"{self.deployment.seed}-{self.instance}-{next(self.numbers)}"
        data = self._bytes(name, kind)
        kept = connection.used
        if self.rng.random() < SLOW_WRITER:
            connection.writer.write(data[:40])
            await asyncio.sleep(REST)
            data = data[40:]
            if connection.over:
                connection.close()
                return  # its last byte was never written
        connection.writer.write(data)
        request = RequestRecord(
            name, kind.effect, self.instance, self.now(), kind.deadline, kept, repeats=repeats
        )
        self.records.append(request)
        if self.rng.random() < LEAVES:
            await asyncio.sleep(self.rng.random() * kind.deadline / 2)
            if await self._answered(connection, request, 0.0):
                return
            request.end, request.ended = End.LEFT, self.now()
            connection.writer.transport.abort()
            return
        whole = await self._answered(connection, request, kind.deadline + LATE + SPARE)
        if not whole and request.end is End.UNHEARD and self.dealt and not repeats:
            await self._ask(None, name)

    async def _answered(self, connection: Connection, request: RequestRecord, within: float) -> bool:
        """Waits for the answer; writes down how the exchange ended, unless its time is simply up."""
        heard = b""
        try:
            async with asyncio.timeout(within):
                heard = await connection.reader.readuntil(b"\r\n\r\n")
                found = LENGTH.search(heard)
                await connection.reader.readexactly(int(found[1]) if found else 0)
        except TimeoutError:
            if within:
                request.end, request.ended = End.LOST, self.now()
                connection.close()
            return False
        except (asyncio.IncompleteReadError, OSError) as bad:
            heard = heard or getattr(bad, "partial", b"")
            unheard = not heard and (request.kept or self.deployment.crowd)
            request.end, request.ended = End.UNHEARD if unheard else End.LOST, self.now()
            if (found := LENGTH.search(heard)) and int(found[1]) > MOST_HELD and b"\r\n\r\n" in heard:
                request.end = End.CUT
            connection.close()
            return False
        request.end, request.ended, request.status = End.ANSWERED, self.now(), int(heard[9:12])
        connection.used = True
        if b"connection: close" in heard.lower():
            connection.close()
        else:
            self.idle.append(connection)
        return True

    async def finish(self) -> None:
        """Waits for all that is still out, then closes everything."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        for connection in self.idle:
            connection.close()
        for made in self.crowd:
            made.close()
