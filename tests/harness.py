"""Runs a whole ingress on loopback, between stand-ins whose answers a test chooses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Any, ParamSpec

from opalgauge.lab.ports import free_ports

ROOT = Path(__file__).parent.parent
HEAD_END = b"\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "me": 0,
    "tick": 0.002,
    "zone": 0,
    "zones": ["bat-a", "bat-b"],
    "classes": [
        {"name": "stock-check", "aim": 0.4, "deadline": 1.2, "credit": 2.0, "effect": "retryable"},
        {"name": "place-order", "aim": 0.8, "deadline": 3.0, "credit": 5.0, "effect": "fragile"},
    ],
    "tiers_of_service": [{"name": "negoce", "quota_rate": 1000.0, "most_at_once": 5000.0, "pays": 1.6}],
    "domain": {"shared_counter": True, "counter_timeout": 0.08, "units_top": 3},
    "ceilings": {"try_limit": 4, "cancelling": True, "conn_idle": 15.0, "dial_timeout": 0.25, "probes": True},
    "invariants": {"cold": 16.0, "cold_from": 0.15, "fall": 1.5, "fall_multiple": 2.5},
    "load_info": {"fields": ["svc_ms", "busy_reqs", "cpu_share"]},
    "discovery": "pushed",
}


@dataclass
class Received:
    """What a stand-in has received: complete requests, all heads, and the number of connections."""

    requests: list[bytes] = field(default_factory=list)
    heads: list[bytes] = field(default_factory=list)  # also of requests whose bodies have not ended
    connections: int = 0
    # Set once the ingress has ended a connection.
    connection_ended: asyncio.Event = field(default_factory=asyncio.Event)


Parameters = ParamSpec("Parameters")
# Returns the answer to a request, or an awaitable of it; None if there is none.
Responder = Callable[[bytes, asyncio.StreamWriter], Any]


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Reads an HTTP message, request or response, up to the end of its body.

    Raises asyncio.IncompleteReadError if the connection ends before.
    """
    head = await reader.readuntil(HEAD_END)
    return head + await read_body(reader, head)


async def read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """Reads the body that belongs to the head of a message."""
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return await reader.readexactly(length)


@contextlib.asynccontextmanager
async def stand_in(respond: Responder) -> AsyncIterator[tuple[str, Received]]:
    """Runs a stand-in on a free port; yields its address and what it has received.

    `respond` is called with each request and with the writer of its connection.
    """
    received = Received()
    open_writers: set[asyncio.StreamWriter] = set()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.connections += 1
        open_writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                head = await reader.readuntil(HEAD_END)
                received.heads.append(head)
                request = head + await read_body(reader, head)
                received.requests.append(request)
                response = respond(request, writer)
                if asyncio.iscoroutine(response):
                    response = await response
                if response:
                    writer.write(response)
        received.connection_ended.set()
        writer.close()

    server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}", received
    finally:
        server.close()
        for writer in open_writers:
            writer.close()


def counter() -> Responder:
    """A quota counter: adds up what is counted under each name and answers with the total."""
    totals: dict[bytes, float] = {}

    def respond(request: bytes, _: asyncio.StreamWriter) -> bytes:
        target = request.split(b" ")[1]
        name, __, query = target.partition(b"?")
        totals[name] = totals.get(name, 0.0) + float(query.split(b"&")[0].split(b"=")[1])
        body = f"{totals[name]:g}".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    return respond


def no_response(_: bytes, __: asyncio.StreamWriter) -> None:
    """Leaves the request unanswered."""


@dataclass
class Ingress:
    """A running ingress process and its configuration."""

    address: tuple[str, int]
    process: asyncio.subprocess.Process
    config: dict[str, Any]
    config_path: Path
    admin_address: tuple[str, int] = ("", 0)

    async def call_admin(self, line: bytes) -> bytes:
        """Sends a line to the admin endpoint; returns everything until the connection ends, within 20 s."""
        reader, writer = await asyncio.open_connection(*self.admin_address)
        writer.write(line)
        try:
            return await asyncio.wait_for(reader.read(), 20)
        finally:
            writer.close()

    async def reconfigure(self, **changes: Any) -> None:
        """Rewrites the configuration file, sends SIGHUP and waits until the reload is logged."""
        self.config_path.write_text(json.dumps({**self.config, **changes}))
        self.process.send_signal(signal.SIGHUP)
        assert self.process.stderr is not None
        while b"reload" not in await asyncio.wait_for(self.process.stderr.readline(), 60):
            assert self.process.returncode is None

    async def exchange(self, data: bytes) -> bytes:
        """Sends bytes over a new connection and returns the answer.

        Raises asyncio.IncompleteReadError if the connection ends before the answer does.
        """
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(data)
            return await read_request(reader)
        finally:
            writer.close()

    async def send_request(
        self, method: str, target: str, body: bytes = b"", extra_headers: str = ""
    ) -> bytes:
        """Sends a request over a new connection and returns the answer, as `exchange` does."""
        return await self.exchange(request(method, target, body, extra_headers))


def request(
    method: str,
    target: str,
    body: bytes = b"",
    extra_headers: str = "",
    time_left: str = "1.0",
    correlation_id: str = "9b1f03aa5c7e2d41",
) -> bytes:
    """Returns the bytes of a request.

    `extra_headers` holds complete lines, each with its line end; `time_left` is in seconds.
    """
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {correlation_id}\r\n"
        f"X-Tier: negoce\r\nCookie: customer=00000000b4d65521\r\nX-Time-Left: {time_left}\r\n"
        f"X-Call-Terms: units=2,spread=2,first=0\r\n{extra_headers}"
    )
    return (head + (f"Content-Length: {len(body)}\r\n" if body else "") + "\r\n").encode() + body


def free_port() -> int:
    """Returns a TCP port on loopback that nothing listens on."""
    return free_ports(1)[0]


@contextlib.asynccontextmanager
async def starting_ingress(
    server_address: str,
    counter_address: str,
    discovery_address: str,
    listener: socket.socket | None = None,
    temp_folder: str = "",
    port: int = 0,
    settings: dict[str, Any] = SETTINGS,
    environ: Mapping[str, str] = MappingProxyType({}),
    memory_mb: float = 192,
    sockets: int = 1024,
) -> AsyncIterator[Ingress]:
    """Starts an ingress as the platform does, and kills it at the end.

    It inherits the socket `listener` if there is one and listens on `port`, or a free port, otherwise.
    `temp_folder` is the folder that successive processes of an ingress share.
    """
    port, admin_port = port or free_port(), free_port()
    host = {"host": "s-1", "dial": server_address, "site": "bat-a", "class": "std-2c", "block": 0,
            "health": "in_service", "share": 1.0, "born_ms": 0}  # fmt: skip
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": discovery_address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "counter": counter_address,
        "known": {"seq": 41, "whole": True, "hosts": [host]}, "settings": settings,
        "console": f"127.0.0.1:{admin_port}",
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        env |= {"BALANCER_CONFIG": str(path), "TMPDIR": temp_folder or folder, **environ}
        if listener is not None:
            port = listener.getsockname()[1]
            env["BALANCER_LISTEN_FD"] = str(listener.fileno())
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "opalgauge", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE,
            pass_fds=() if listener is None else (listener.fileno(),),
        )  # fmt: skip
        try:
            yield Ingress(("127.0.0.1", port), process, config, path, ("127.0.0.1", admin_port))
        finally:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
            await process.wait()


def wait_until_ready(
    start: Callable[Parameters, contextlib.AbstractAsyncContextManager[Ingress]],
) -> Callable[Parameters, contextlib.AbstractAsyncContextManager[Ingress]]:
    """Wraps `start` so that it waits until the ingress logs that it is ready.

    Until then it may log only about bans, the handover, the clock and an agent that is not heard, and pause
    for 60 s at most.
    """

    @contextlib.asynccontextmanager
    async def start_and_wait(
        *arguments: Parameters.args, **keywords: Parameters.kwargs
    ) -> AsyncIterator[Ingress]:
        async with start(*arguments, **keywords) as ingress:
            assert ingress.process.stderr is not None
            while b"ready" not in (line := await asyncio.wait_for(ingress.process.stderr.readline(), 60)):
                assert any(word in line for word in (b"maint", b"handover", b"clock:", b"node list:"))
            yield ingress

    return start_and_wait


ready_ingress = wait_until_ready(starting_ingress)
