"""Stand-ins for the cases of the second review: platform, discovery agent, quota counter, backends, clients.

Standard library only. Everything listens on 127.0.0.1 at free ports. `Record` writes `record.txt`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HEAD_END = b"\r\n\r\n"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The lines of `record.txt`, with the seconds since the script began (monotonic clock)."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.path = folder / "record.txt"
        self.path.write_text("")

    def now(self) -> float:
        return time.monotonic() - self.started

    def __call__(self, text: str) -> None:
        with self.path.open("a") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def settings(balancers: int = 2, me: int = 0, **changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, with the figures of `rennes-campus`."""
    plain = {"excess_cost": 1.0, "extra_worth": 0.0, "at_once": 0}
    no_ceiling = {"cap_rate": 0.0, "never_over_depth": 0.0, "hard_slack": 0.0}
    tree: dict[str, Any] = {
        "balancers": balancers,
        "me": me,
        "family": "gate",
        "tick": 0.002,
        "zone": 0,
        "zones": ["bat-a", "bat-b"],
        "skus": ["std-2c"],
        "classes": [
            {
                "name": "stock-check", "aim": 0.4, "deadline": 1.2, "credit": 2.0, "effect": "retryable",
                "group": "all", "late_value": 0.2, "stream": False, "window": 5.0,
            },
            {
                "name": "place-order", "aim": 0.8, "deadline": 3.0, "credit": 5.0, "effect": "fragile",
                "group": "all", "late_value": 0.0, "stream": False, "window": 5.0,
            },
        ],
        "tiers_of_service": [
            {"name": "artisan", "quota_rate": 0.97, "most_at_once": 6.0, "pays": 0.55, **plain, **no_ceiling},
            {"name": "atelier", "quota_rate": 3.2, "most_at_once": 14.0, "pays": 0.72, **plain, **no_ceiling},
            {
                "name": "entreprise", "quota_rate": 10.0, "most_at_once": 26.0, "pays": 1.3, **plain,
                "cap_rate": 25.0, "never_over_depth": 64.0, "hard_slack": 6.0,
            },
            {"name": "negoce", "quota_rate": 25.0, "most_at_once": 30.0, "pays": 1.6, **plain, **no_ceiling},
        ],
        "domain": {
            "shared_counter": True, "counter_price": 0.02, "counter_timeout": 0.08, "units_top": 3,
            "mail_per_s": 0.0, "meter_period": 0.0, "trued_up": False,
        },
        "ceilings": {
            "try_limit": 4, "cancelling": True, "conn_idle": 15.0, "dial_timeout": 0.25, "probes": True,
            "max_open": 20000, "max_retry_after": 1.0, "parallel_tries": False, "peers": False,
            "retry_after": True, "streams_per_conn": 100,
        },
        "invariants": {
            "answer_slack": 0.008, "ask_within": 10.0, "cold": 16.0, "cold_from": 0.15, "fall": 1.5,
            "fall_multiple": 2.5, "stop_sending_within": 2.0,
        },
        "load_info": {"fields": ["svc_ms", "busy_reqs", "cpu_share"], "how": "probe"},
        "discovery": "pushed",
        "clients": {"marks_retry": False},
        "prices": {"cross_zone": 0.01},
    }  # fmt: skip
    for path, value in changes.items():
        tree[path] = value
    return tree


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Reads an HTTP message with a Content-Length, chunked or (answers) ended by the close.

    Raises asyncio.IncompleteReadError or ConnectionError if it breaks off.
    """
    head = await reader.readuntil(HEAD_END)
    fields = header_fields(head)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return head, body
    if "content-length" in fields:
        return head, await reader.readexactly(int(fields["content-length"]))
    if head.startswith(b"HTTP/"):
        return head, await reader.read()
    return head, b""


def header_fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines) if name}


def status_of(head: bytes) -> int:
    return int(head.split(b" ")[1])


def request_bytes(
    method: str, target: str, request_id: str, *, time_left: float, customer: int = 0xB4D65521,
    tier: str = "negoce", units: int = 1, spread: int = 2, first: int = 0, body: bytes = b"",
    headers: str = "",
) -> bytes:  # fmt: skip
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {request_id}\r\n"
        f"X-Tier: {tier}\r\nCookie: customer={customer:016x}\r\nX-Time-Left: {time_left:.3f}\r\n"
        f"X-Call-Terms: units={units},spread={spread},first={first}\r\n{headers}"
    )
    return (head + (f"Content-Length: {len(body)}\r\n" if body else "") + "\r\n").encode() + body


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Listening:
    """A server on loopback whose connections are closed with it."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", port, limit=1 << 20)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Counter(Listening):
    """The quota counter: adds amounts to named numbers; a name lives as long as its first call says."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[str, tuple[float, float]] = {}
        self.delay = 0.001

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            name, _, query = head.split(b" ")[1].decode().partition("?")
            fields = dict(part.split("=") for part in query.split("&"))
            now = time.monotonic()
            total, until = self.totals.get(name, (0.0, 0.0))
            if now >= until:
                total, until = 0.0, now + min(60000.0, float(fields["expire_ms"])) / 1000
            total += float(fields["by"])
            self.totals[name] = total, until
            await asyncio.sleep(self.delay)
            writer.write(ok(f"{total:.7g}".encode()))


class Agent(Listening):
    """The discovery agent of one ingress: the list, and a watch for its changes."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 41
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Event()
        self.up = asyncio.Event()  # cleared while discovery is down: the agent is silent
        self.up.set()

    def put(
        self, host: str, dial: str, health: str = "in_service", born_ms: int = 0, site: str = "bat-a"
    ) -> None:
        self.version += 1
        self.hosts[host] = {
            "host": host, "dial": dial, "site": site, "class": "std-2c", "block": 0, "health": health,
            "share": 1.0, "born_ms": born_ms,
        }  # fmt: skip
        self.changed_at[host] = self.version
        self.news.set()
        self.news = asyncio.Event()

    def listing(self) -> dict[str, Any]:
        listed = [entry for entry in self.hosts.values() if entry["health"] != "terminated"]
        return {"seq": self.version, "whole": True, "hosts": listed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            _, _, query = head.split(b" ")[1].decode().partition("?")
            fields = dict(part.split("=") for part in query.split("&") if part)
            await self.up.wait()
            if "since" not in fields:
                answer = self.listing()
            else:
                since, until = int(fields["since"]), time.monotonic() + int(fields["timeout_ms"]) / 1000
                while self.version <= since and (left := until - time.monotonic()) > 0:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), left)
                changed = [self.hosts[host] for host, version in self.changed_at.items() if version > since]
                answer = {"seq": self.version, "whole": False, "hosts": changed}
            await self.up.wait()
            writer.write(ok(json.dumps(answer).encode()))


@dataclass
class Arrival:
    """A request that came whole to a backend."""

    at: float
    request_id: str
    head: bytes
    body: bytes


Behaviour = Callable[["Backend", Arrival, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Backend(Listening):
    """A backend. `behave` answers a request and returns whether the connection goes on."""

    def __init__(
        self, name: str, record: Record, work: float = 0.02, behave: Behaviour | None = None
    ) -> None:
        super().__init__()
        self.name, self.record, self.work, self.behave = name, record, work, behave
        self.arrivals: list[Arrival] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, body = await read_message(reader)
            if head.split(b" ")[1] in (b"/status/load", b"/health"):
                writer.write(ok(b"latency_ms=20,inflight=1,util=0.3"))
                continue
            request_id = header_fields(head).get("x-correlation-id", "")
            arrival = Arrival(self.record.now(), request_id, head, body)
            self.arrivals.append(arrival)
            self.record(f"backend {self.name}: request {request_id} arrived whole")
            if self.behave is not None:
                if not await self.behave(self, arrival, reader, writer):
                    return
                continue
            await asyncio.sleep(self.work)
            writer.write(ok(answer_body(request_id)))


def answer_body(request_id: str) -> bytes:
    return f"answer to {request_id}".encode()


@dataclass
class Ingress:
    """One ingress, started as the platform does."""

    name: str
    record: Record
    folder: Path
    config: dict[str, Any]
    address: tuple[str, int]
    process: asyncio.subprocess.Process | None = None
    environ: dict[str, str] = field(default_factory=dict)
    pass_fds: tuple[int, ...] = ()
    log_task: asyncio.Task[None] | None = None
    run: str = ""

    async def start(self, wait: bool = True) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        temp = Path(self.environ.get("TMPDIR", str(self.folder / f"{self.name}.tmp")))
        temp.mkdir(exist_ok=True, parents=True)
        env = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        env |= {"BALANCER_CONFIG": str(path), "TMPDIR": str(temp), **self.environ}
        run = self.run or tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT, pass_fds=self.pass_fds,
        )  # fmt: skip
        self.record(f"platform: {self.name} started")
        self.log_task = asyncio.create_task(self._copy_log(self.process))
        if wait:
            await self.wait_ready()

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.record(f"{self.name} logs: {line.decode(errors='replace').rstrip()}")

    async def wait_ready(self, timeout: float = 30.0) -> None:
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRun(f"{self.name} has ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                    head, _ = await asyncio.wait_for(read_message(reader), 2)
                    if status_of(head) == 200:
                        self.record(f"platform: {self.name} is ready")
                        return
                except TimeoutError:
                    pass
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {timeout} s")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"platform: {number.name} to {self.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None:
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()


async def call_console(ingress: Ingress, line: bytes) -> bytes:
    """A call at the door for operators: one line, one line back."""
    host, _, port = ingress.config["console"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(line)
        return await asyncio.wait_for(reader.readline(), 1)
    finally:
        writer.close()


def clients_listener() -> socket.socket:
    """The clients' listening socket, which the platform holds and every process inherits."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    listener.set_inheritable(True)
    return listener


class CannotRun(Exception):
    """The case cannot be played."""


class Scene:
    """A small deployment, and all that has to be ended with it."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="opalgauge-review-"))
        self.listening: list[Listening] = []
        self.ingresses: list[Ingress] = []

    async def add(self, stand_in: Any) -> Any:
        await stand_in.start()
        self.listening.append(stand_in)
        return stand_in

    def ingress(
        self, name: str, agent: Agent, counter: Counter, tree: dict[str, Any], **changes: Any
    ) -> Ingress:
        port = free_port()
        config = {
            "name": name, "listen": f"127.0.0.1:{port}", "discovery": agent.address,
            "counter": counter.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.listing(), "settings": tree, **changes,
        }  # fmt: skip
        started = Ingress(name, self.record, self.folder, config, ("127.0.0.1", port))
        self.ingresses.append(started)
        return started

    async def process(
        self, listener: socket.socket, agent: Agent, counter: Counter, tree: dict[str, Any], **changes: Any
    ) -> Ingress:
        """Starts a process of the ingress n0 on days with upgrades; returns at its yes.

        The socket of the clients is inherited, and $TMPDIR is the same for all processes.
        """
        host, port = listener.getsockname()
        console = f"127.0.0.1:{free_port()}"
        ingress = self.ingress(
            "n0", agent, counter, tree, listen=f"{host}:{port}", console=console, **changes
        )
        ingress.address = (host, port)
        ingress.environ = {
            "TMPDIR": str(self.folder / "tmp"),
            "BALANCER_LISTEN_FD": str(listener.fileno()),
            "BALANCER_CONSOLE": console,
        }
        ingress.pass_fds = (listener.fileno(),)
        await ingress.start(wait=False)
        for _ in range(600):
            with contextlib.suppress(OSError, TimeoutError):
                if (await call_console(ingress, b"status\n")).startswith(b"200"):
                    self.record(f"platform: process {len(self.ingresses)} says yes")
                    return ingress
            await asyncio.sleep(0.02)
        raise CannotRun("a process has not said yes")

    async def close(self) -> None:
        for ingress in self.ingresses:
            await ingress.end()
        for stand_in in self.listening:
            stand_in.stop()
        await asyncio.sleep(0)
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def play(script: str, scenario: Callable[[Scene, bool], Awaitable[int]], limit: float = 110.0) -> None:
    """Plays a scenario and exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        scene = Scene(Path(script).resolve().parent)
        scene.record(f"trouble: {'on' if trouble else 'off'}")
        try:
            return await asyncio.wait_for(scenario(scene, trouble), limit)
        except (CannotRun, TimeoutError, OSError) as error:
            scene.record(f"cannot run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await scene.close()

    result = asyncio.run(run())
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "the case could not run"))
    sys.stdout.flush()
    os._exit(result)  # all processes have ended; what is left of the loop's objects need not be told
