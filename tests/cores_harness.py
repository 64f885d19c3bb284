"""An ingress of several workers on loopback, between the stand-ins of `tests/harness.py`."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from opalgauge.cores.ownership import Roster, owners
from tests import harness

WORKERS = 3
SETTINGS = """
listen 127.0.0.1:{port}
workers {workers}
stall-after 300ms
restart-pause 50ms
restart-pause-most 1s
ingresses 2
most-units 3
counter {quota}
stock-node s-1 {node}
kind stock-check repeat=safe aim=400ms deadline=30s worth=2
kind place-order repeat=never aim=800ms deadline=30s worth=5
tariff negoce rate=1000/s burst=5000 price=1.6
tariff entreprise rate=20/s burst=40 price=1.3 ceiling-rate=30/s ceiling-burst=60 ceiling-slack=4
"""


def account_of(seat: int, workers: int = WORKERS, salt: int = 0) -> int:
    """An account that a seat decides for while all serve."""
    roster = Roster(1, tuple(range(workers)))
    return next(a for a in range(1 + 1000 * salt, 10**6) if owners(a, roster) == (seat,))


def order(
    kind: str,
    account: int,
    name: str,
    left: float = 20.0,
    tariff: str = "negoce",
    units: int = 1,
    more: str = "",
) -> bytes:
    method = "GET" if kind == "stock-check" else "POST"
    return (
        f"{method} /{kind} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {name}\r\nX-Tier: {tariff}\r\n"
        f"Cookie: customer={account:016x}\r\nX-Time-Left: {left}\r\n"
        f"X-Call-Terms: units={units},spread=2,first=0\r\n{more}\r\n"
    ).encode()


class Client:
    """A connection of a client's own."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self, limit: float = 15.0) -> bytes:
        return await asyncio.wait_for(harness.read_request(self.reader), limit)

    async def ask(self, data: bytes) -> int:
        self.send(data)
        return int((await self.answer()).split(b" ")[1])

    async def ends(self) -> bytes:
        """What still comes until the connection's end."""
        return await asyncio.wait_for(self.reader.read(), 5)


@dataclass
class Fleet:
    """`pids()` are the workers' processes by seat."""

    port: int
    process: asyncio.subprocess.Process
    path: Path
    text: str
    lines: list[str] = field(default_factory=list)

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    def pids(self) -> dict[int, int]:
        pid = self.process.pid
        found: dict[int, int] = {}
        children = Path(f"/proc/{pid}/task/{pid}/children")
        if not children.exists():
            return found
        for child in children.read_text().split():
            with contextlib.suppress(OSError):
                words = Path(f"/proc/{child}/cmdline").read_text().split("\0")
                for word in words:
                    if word.startswith("seat="):
                        found[int(word[5:])] = int(child)
        return found

    def signal(self, seat: int, number: int) -> int:
        pid = self.pids()[seat]
        os.kill(pid, number)
        return pid

    async def said(self, text: str, times: int = 1) -> None:
        async with asyncio.timeout(30):
            while sum(text in line for line in self.lines) < times:
                await asyncio.sleep(0.01)

    async def until(self, what: str, is_so: object) -> None:
        assert callable(is_so)
        async with asyncio.timeout(30):
            while not is_so():
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def fleet(node: str, quota: str, workers: int = WORKERS, more: str = "") -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        path, port = Path(folder) / "a.conf", harness.free_port()
        text = SETTINGS.format(port=port, workers=workers, quota=quota, node=node) + more
        path.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "opalgauge.cli.main", "serve", "--settings", str(path), cwd=harness.ROOT,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        made = Fleet(port, process, path, text)

        async def read() -> None:
            assert process.stderr is not None
            while line := await process.stderr.readline():
                made.lines.append(line.decode().rstrip())

        reading = asyncio.create_task(read())
        workers_left: list[int] = []
        try:
            await made.said("ready:")
            workers_left = list(made.pids().values())
            yield made
            workers_left = list(made.pids().values())
        finally:
            for pid in [*workers_left, *([process.pid] if process.returncode is None else [])]:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            await process.wait()
            await asyncio.wait_for(reading, 10)
