"""Stand-ins and a runner for the cases of this review. Standard library only, loopback only.

A case starts the program by the commands of deploy/balancer.toml and records what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; this says nothing about the program."""


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file, self.start = path.open("w"), time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


def free_port(host: str = "127.0.0.1") -> int:
    """A port on which nothing listens."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads an HTTP message with a Content-Length, or in chunks: first line, headers, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readline() != b"\r\n":
            pass
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return first, headers, body


Script = Callable[["Node", asyncio.StreamWriter, str, dict[str, str], bytes], Awaitable[None]]


class Node:
    """A stock node. `script` answers each request; each is recorded when its last byte has come."""

    def __init__(self, name: str, record: Record, script: Script) -> None:
        self.name, self.record, self.script = name, record, script
        self.runs: list[tuple[float, str]] = []  # time and request id
        self.address, self.born_ms, self.connections = "", 0, 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}  # by their writers
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        self.readers[writer] = reader
        try:
            while True:
                first, headers, body = await read_message(reader)
                request_id = headers.get("x-correlation-id", "-")
                self.runs.append((time.monotonic(), request_id))
                self.record(f"{self.name}: got {request_id} {first} body={len(body)}")
                await self.script(self, writer, request_id, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.readers.pop(writer, None)
            writer.close()

    def stop(self) -> None:
        """Ends as a process does: the connections end, and new ones are refused."""
        if self.server:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def listed(self, health: str = "in_service", site: str = "bat-a") -> dict[str, Any]:
        return {"host": self.name, "dial": self.address, "site": site, "class": "std-2c", "block": 0,
                "health": health, "share": 1.0, "born_ms": self.born_ms}  # fmt: skip


class NodeProcess(Node):
    """A stock node of its own process, common/node.py, which can be stopped by a signal."""

    process: asyncio.subprocess.Process

    async def start(self, port: int = 0) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(Path(__file__).parent / "node.py"), stdout=asyncio.subprocess.PIPE
        )
        assert self.process.stdout
        self.address = (await self.process.stdout.readline()).decode().strip()
        self.task = asyncio.create_task(self._copy())

    async def _copy(self) -> None:
        assert self.process.stdout
        while line := await self.process.stdout.readline():
            self.runs.append((time.monotonic(), line.decode().split()[0]))
            self.record(f"{self.name}: got {line.decode().rstrip()}")

    def signal(self, number: signal.Signals) -> None:
        self.record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        if self.process.returncode is None:
            self.process.kill()


def answer(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


async def quick(_: Node, writer: asyncio.StreamWriter, request_id: str, __: Any, ___: bytes) -> None:
    """Serves at once; the body tells the request's id."""
    writer.write(answer(request_id.encode()))


class Counter:
    """The quota counter: adds, and answers with the total."""

    def __init__(self) -> None:
        self.totals: dict[str, tuple[float, float]] = {}
        self.address, self.calls = "", 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                first, _, __ = await read_message(reader)
                self.calls += 1
                name, _, query = first.split(" ")[1].partition("?")
                fields = dict(part.split("=", 1) for part in query.split("&"))
                now = time.monotonic()
                total, until = self.totals.get(name, (0.0, 0.0))
                if now >= until:
                    total, until = 0.0, now + min(60.0, float(fields["expire_ms"]) / 1000)
                total += float(fields["by"])
                self.totals[name] = total, until
                writer.write(answer(f"{total:.7g}".encode()))
        writer.close()


class Agent:
    """The node list agent: whole lists, and watches that wait for what is newer."""

    def __init__(self, record: Record) -> None:
        self.record, self.seq, self.address, self.asked = record, 41, "", 0
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Event()
        self.refuse: Callable[[], bool] = lambda: False
        self.write: Callable[[asyncio.StreamWriter, bytes], Awaitable[None]] | None = None

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def tell(self, *hosts: dict[str, Any]) -> None:
        """A new version of the list, with these entries changed."""
        self.seq += 1
        for host in hosts:
            self.hosts[host["host"]], self.changed_at[host["host"]] = host, self.seq
        self.news.set()
        self.news = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                first, _, __ = await read_message(reader)
                self.asked += 1
                query = first.split(" ")[1].partition("?")[2]
                if self.refuse():
                    self.record(f"agent: refuses {first}")
                    writer.write(answer(b"", "503 Service Unavailable"))
                    continue
                fields = dict(part.split("=", 1) for part in query.split("&") if part)
                since = int(fields.get("since", 0))
                if since and since >= self.seq:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), int(fields.get("timeout_ms", 0)) / 1000)
                names = [n for n in self.hosts if self.changed_at[n] > since]
                if not since:
                    names = [n for n in names if self.hosts[n]["health"] != "terminated"]
                content = {"seq": self.seq, "whole": not since, "hosts": [self.hosts[n] for n in names]}
                if names:
                    self.record(f"agent: tells version {self.seq}: "
                                + " ".join(f"{n}={self.hosts[n]['health']}" for n in names))  # fmt: skip
                data = answer(json.dumps(content).encode())
                if self.write:
                    await self.write(writer, data)
                else:
                    writer.write(data)
        writer.close()


SETTINGS: dict[str, Any] = {
    "balancers": 2, "me": 0, "tick": 0.002, "zone": 0, "zones": ["bat-a", "bat-b"],
    "family": "gate", "tier": 0, "tiers": ["stock-fleet"], "skus": ["std-2c"], "weights": "rough",
    "classes": [
        {"name": "stock-check", "aim": 0.4, "deadline": 1.2, "credit": 2.0, "effect": "retryable",
         "group": "all", "late_value": 0.2, "stream": False, "window": 5.0},
        {"name": "place-order", "aim": 0.8, "deadline": 3.0, "credit": 5.0, "effect": "fragile",
         "group": "all", "late_value": 0.0, "stream": False, "window": 5.0},
    ],
    "clients": {"marks_retry": False}, "discovery": "pushed",
    "tiers_of_service": [
        {"name": "artisan", "quota_rate": 0.97, "most_at_once": 6.0, "cap_rate": 0.0, "never_over_depth": 0.0,
         "hard_slack": 0.0, "at_once": 0, "excess_cost": 0.5, "extra_worth": 0.0, "pays": 0.55},
        {"name": "entreprise", "quota_rate": 10.0, "most_at_once": 26.0, "cap_rate": 25.0,
         "never_over_depth": 64.0, "hard_slack": 6.0, "at_once": 0, "excess_cost": 0.8, "extra_worth": 0.0,
         "pays": 1.3},
        {"name": "negoce", "quota_rate": 25.0, "most_at_once": 30.0, "cap_rate": 0.0, "never_over_depth": 0.0,
         "hard_slack": 0.0, "at_once": 0, "excess_cost": 1.2, "extra_worth": 0.0, "pays": 1.6},
    ],
    "domain": {"shared_counter": True, "counter_price": 0.02, "counter_timeout": 0.08, "mail_per_s": 0.0,
               "meter_period": 0.0, "trued_up": False, "units_top": 3},
    "ceilings": {"try_limit": 4, "cancelling": True, "conn_idle": 15.0, "cpu_us_per_request": 0.0,
                 "cpu_us_per_s": 400000, "dial_timeout": 0.25, "max_open": 20000, "max_retry_after": 1.0,
                 "parallel_tries": False, "peers": False, "probes": True, "retry_after": True,
                 "streams_per_conn": 100},
    "invariants": {"answer_slack": 0.008, "ask_within": 10.0, "cold": 16.0, "cold_from": 0.15, "fall": 1.5,
                   "fall_multiple": 2.5, "stop_sending_within": 2.0},
    "load_info": {"fields": ["svc_ms", "busy_reqs", "cpu_share"], "how": "probe"},
    "prices": {"cross_zone": 0.01, "late_fail": 0.08, "probe": 0.014, "waste": 0.084},
}  # fmt: skip


class Ingress:
    """The program, started as the platform does."""

    def __init__(self, record: Record, folder: str, **config: Any) -> None:
        self.record, self.folder, self.port, self.admin_port = record, folder, free_port(), free_port()
        self.config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "console": f"127.0.0.1:{self.admin_port}", "settings": SETTINGS, **config,
        }  # fmt: skip
        self.path = Path(folder) / "config.json"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, **changes: Any) -> None:
        self.config.update(changes)
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        os.replace(new, self.path)

    async def start(self, environ: dict[str, str] | None = None, fds: tuple[int, ...] = ()) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temp = Path(self.folder) / "tmp"
        temp.mkdir(exist_ok=True)
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        env |= {"BALANCER_CONFIG": str(self.path), "BALANCER_NAME": "n0", "TMPDIR": str(temp),
                "BALANCER_LISTEN": self.config["listen"],
                "BALANCER_DISCOVERY": self.config["discovery"]}  # fmt: skip
        env |= environ or {}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, pass_fds=fds,
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        self.log_task = asyncio.create_task(self._copy_log(self.process))
        self.record(f"ingress: started, process {self.process.pid}")

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout
        while line := await process.stdout.readline():
            self.record(f"log: {line.decode(errors='replace').rstrip()}")

    async def wait_ready(self, limit: float = 30.0) -> None:
        """Waits for 200 to GET /ready."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process and self.process.returncode is not None:
                raise CannotRun("the ingress ended while starting")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.connect(self)
                client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _, __ = await read_message(client.reader)
                client.close()
                if " 200 " in first:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the ingress is not ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        self.record(f"ingress: {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


ids = itertools.count(1)
# Names that no other request has, in the form of the protocol page.
ID_BASE = int(time.time() * 1000) << 20


def new_id() -> str:
    return f"{(ID_BASE + next(ids)) & (1 << 52) - 1:016x}"


def request(kind: str, request_id: str, time_left: float, body: bytes = b"", plan: str = "negoce",
            customer: int = 0xB4D65521, units: int = 1, extra: str = "") -> bytes:  # fmt: skip
    method = "GET" if kind == "stock-check" else "POST"
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} /{kind} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {request_id}\r\n"
        f"X-Tier: {plan}\r\nCookie: customer={customer:016x}\r\nX-Time-Left: {time_left:.3f}\r\n"
        f"X-Call-Terms: units={units},spread=2,first=0\r\n{extra}{length}\r\n"
    ).encode() + body


class Client:
    """A client's connection; one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record) -> None:
        self.reader, self.writer, self.record = reader, writer, record

    @classmethod
    async def connect(cls, ingress: Ingress) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", ingress.port, limit=1 << 22), ingress.record)

    async def ask(self, data: bytes, name: str, limit: float) -> tuple[str, bytes]:
        """Sends a request; returns the status, or how the connection ended, and the body."""
        self.record(f"client: sends {name}")
        self.writer.write(data)
        try:
            first, headers, body = await asyncio.wait_for(read_message(self.reader), limit)
            status = first.split(" ")[1]
            self.record(f"client: {name} answered {status}, {len(body)} bytes, "
                        f"connection={headers.get('connection', '-')}")  # fmt: skip
            return status, body
        except TimeoutError:
            self.record(f"client: {name} not answered within {limit:.2f} s")
            return "none", b""
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.record(f"client: {name} connection ended without a whole answer: {type(error).__name__}")
            return "ended", b""

    def close(self) -> None:
        self.writer.close()


async def ask_once(
    ingress: Ingress, kind: str, time_left: float, body: bytes = b"", **fields: Any
) -> tuple[str, bytes, str]:
    """One request over a connection of its own: status, body and the request's id."""
    request_id = fields.pop("request_id", None) or new_id()
    client = await Client.connect(ingress)
    data = request(kind, request_id, time_left, body, **fields)
    name = f"{kind} {request_id} time-left={time_left}"
    status, content = await client.ask(data, name, time_left + 0.6)
    client.close()
    return status, content, request_id


def play(
    case: Callable[[Record, str, list[Ingress]], Awaitable[str]], folder: str, limit: float = 110
) -> None:
    """Runs a case, which returns what broke the rule, or nothing. Ends its processes and exits."""
    record = Record(Path(folder) / "record.txt")
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    ingresses: list[Ingress] = []

    async def run() -> str:
        with tempfile.TemporaryDirectory(prefix="review-") as temp:
            try:
                return await asyncio.wait_for(case(record, temp, ingresses), limit)
            finally:
                for ingress in ingresses:
                    await ingress.end()
                await asyncio.sleep(0.1)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # whatever went wrong here is no finding about the program
        record(f"result: could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    record(f"result: {'broken: ' + broken if broken else 'held'}")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
