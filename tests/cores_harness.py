"""Runs an ingress of several workers on loopback, between the stand-ins of `tests/harness.py`."""

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

from opalgauge.cores.ownership import Membership, owners
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
counter {counter}
stock-node s-1 {server}
kind stock-check repeat=safe aim=400ms deadline=30s worth=2
kind place-order repeat=never aim=800ms deadline=30s worth=5
tariff negoce rate=1000/s burst=5000 price=1.6
tariff entreprise rate=20/s burst=40 price=1.3 ceiling-rate=30/s ceiling-burst=60 ceiling-slack=4
"""


def account_owned_by(worker: int, workers: int = WORKERS, salt: int = 0) -> int:
    """An account that a worker owns while all workers serve. `salt` selects another one."""
    membership = Membership(1, tuple(range(workers)))
    return next(
        account for account in range(1 + 1000 * salt, 10**6) if owners(account, membership) == (worker,)
    )


def request_bytes(
    request_class: str,
    account: int,
    correlation: str,
    time_left: float = 20.0,
    plan: str = "negoce",
    units: int = 1,
    extra_headers: str = "",
) -> bytes:
    """The bytes of a request; `time_left` in s, `extra_headers` with their line ends."""
    method = "GET" if request_class == "stock-check" else "POST"
    return (
        f"{method} /{request_class} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {correlation}\r\n"
        f"X-Tier: {plan}\r\n"
        f"Cookie: customer={account:016x}\r\nX-Time-Left: {time_left}\r\n"
        f"X-Call-Terms: units={units},spread=2,first=0\r\n{extra_headers}\r\n"
    ).encode()


class Client:
    """A client and its connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        """Sends bytes without waiting for an answer."""
        self.writer.write(data)

    async def answer(self, limit: float = 15.0) -> bytes:
        """Reads the next answer, within `limit` s."""
        return await asyncio.wait_for(harness.read_request(self.reader), limit)

    async def ask(self, data: bytes) -> int:
        """Sends a request and returns the status of its answer."""
        self.send(data)
        return int((await self.answer()).split(b" ")[1])

    async def ends(self) -> bytes:
        """Reads the bytes that still arrive until the connection ends."""
        return await asyncio.wait_for(self.reader.read(), 5)


@dataclass
class IngressProcess:
    """A running ingress: its supervisor process, settings file and log lines."""

    port: int
    process: asyncio.subprocess.Process
    path: Path
    text: str
    lines: list[str] = field(default_factory=list)

    async def client(self) -> Client:
        """Connects a client."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    def pids(self) -> dict[int, int]:
        """The process ids of the workers, by worker number."""
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

    def signal(self, worker: int, signal_number: int) -> int:
        """Sends a signal to a worker and returns its process id."""
        pid = self.pids()[worker]
        os.kill(pid, signal_number)
        return pid

    async def wait_for_log(self, text: str, times: int = 1) -> None:
        """Waits, for 30 s at most, until so many log lines contain the text."""
        async with asyncio.timeout(30):
            while sum(text in line for line in self.lines) < times:
                await asyncio.sleep(0.01)

    async def wait_until(self, condition_name: str, condition: object) -> None:
        """Waits, for 30 s at most, until the condition holds."""
        assert callable(condition)
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running_ingress(
    server: str, counter: str, workers: int = WORKERS, extra_settings: str = ""
) -> AsyncIterator[IngressProcess]:
    """Starts an ingress, and kills its processes at the end. Its server and counter are addresses."""
    with tempfile.TemporaryDirectory() as folder:
        path, port = Path(folder) / "a.conf", harness.free_port()
        settings = (
            SETTINGS.format(port=port, workers=workers, counter=counter, server=server) + extra_settings
        )
        path.write_text(settings)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "opalgauge.cli.main", "serve", "--settings", str(path), cwd=harness.ROOT,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        ingress = IngressProcess(port, process, path, settings)

        async def read() -> None:
            assert process.stderr is not None
            while line := await process.stderr.readline():
                ingress.lines.append(line.decode().rstrip())

        reader = asyncio.create_task(read())
        pids: list[int] = []
        try:
            await ingress.wait_for_log("ready:")
            pids = list(ingress.pids().values())
            yield ingress
            pids = list(ingress.pids().values())
        finally:
            for pid in [*pids, *([process.pid] if process.returncode is None else [])]:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            await process.wait()
            await asyncio.wait_for(reader, 10)
