"""An ingress's own sockets in the test's process, for tests that choose the order of two events.

Every connection is a real one on loopback. The clock stands still until a test moves it, connections are
opened when a test opens a gate, and the stand-ins for servers, counter and discovery agent write when they
are told to.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Any

import uvloop

from opalgauge.memory import effects, events
from opalgauge.memory.reducer import Reducer
from opalgauge.wire.clients import Clients, RequestCatalog
from opalgauge.wire.runtime import Runtime
from opalgauge.wire.server_list import ServerListReader, parse_servers
from opalgauge.wire.upstream import UpstreamConnection
from starlinggap import interface
from tests import harness
from tests.reducer_rig import SETTINGS, START, ingress_config

MS = timedelta(milliseconds=1)
# No counter: nothing comes between a request and its attempt.
SETTINGS_WITHOUT_COUNTER = replace(SETTINGS, use_counter=False)


class GatedRuntime(Runtime):
    """Opens connections only while the gate is open."""

    def __init__(self, *more: Any) -> None:
        super().__init__(*more)
        self.gate = asyncio.Event()
        self.gate.set()

    async def _connect(self, effect: effects.OpenConnection, connection: UpstreamConnection) -> None:
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.connect_tasks.pop(effect.connection_id, None)
            raise
        await super()._connect(effect, connection)


@dataclass
class StandInConnection:
    """A connection that the ingress has opened to a stand-in, controlled by the test."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_request(self) -> bytes:
        return await asyncio.wait_for(harness.read_request(self.reader), 20)

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def reset(self) -> None:
        """Closes it with a reset, as a close with unread bytes does."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def read_to_end(self) -> bytes:
        """The bytes that come up to the end of the connection."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), 20)
        return b""


class StandIn:
    """A listening stand-in; `next_connection` gives its connections in the order of their opening."""

    def __init__(self) -> None:
        self.new_connections: asyncio.Queue[StandInConnection] = asyncio.Queue()
        self.all_connections: list[StandInConnection] = []
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> StandIn:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = StandInConnection(reader, writer)
            self.all_connections.append(connection)
            self.new_connections.put_nowait(connection)

        self.server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def next_connection(self) -> StandInConnection:
        return await asyncio.wait_for(self.new_connections.get(), 20)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in self.all_connections:
            connection.writer.close()


@dataclass
class Scene:
    """One ingress with stand-ins for servers, discovery agent and, where it has one, the counter."""

    runtime: GatedRuntime
    clients: Clients
    servers: list[StandIn]
    server_list: StandIn
    log: list[str] = field(default_factory=list)
    now: datetime = START
    exited: bool = False
    counter: StandIn | None = None

    @property
    def state(self) -> Any:
        return self.runtime.reducer.state

    def pass_time(self, duration: timedelta) -> None:
        """Moves the time on and runs the timers that are due by then."""
        self.now += duration
        self.runtime.report(events.WakeUpDue())

    async def connect_client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        assert self.clients.listener is not None
        return await asyncio.open_connection(*self.clients.listener.address)

    async def send_request(self, data: bytes) -> asyncio.Task[bytes]:
        """Sends a request on a connection of its own; the task gives its answer."""
        reader, writer = await self.connect_client()
        writer.write(data)

        async def answer() -> bytes:
            try:
                return await asyncio.wait_for(harness.read_request(reader), 20)
            finally:
                writer.close()

        return asyncio.create_task(answer())

    def list_entry(
        self, number: int, health: str = "in_service", started_ms: int = 0, address: str = ""
    ) -> dict[str, Any]:
        return {
            "host": f"s-{number}", "dial": address or self.servers[number].address, "site": "", "class": "",
            "block": 0, "health": health, "share": 1.0, "born_ms": started_ms,
        }  # fmt: skip


async def wait_until(condition: Callable[[], Any]) -> None:
    """Lets the event loop run until a condition holds; fails after 20 s."""

    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0)

    await asyncio.wait_for(poll(), 20)


@contextlib.asynccontextmanager
async def scene(
    server_count: int = 1, settings: interface.Settings = SETTINGS_WITHOUT_COUNTER, **changes: Any
) -> AsyncIterator[Scene]:
    """An ingress and its stand-ins; `changes` are further fields of IngressConfig."""
    servers = [await StandIn().start() for _ in range(server_count)]
    server_list = await StandIn().start()
    counter = await StandIn().start() if settings.use_counter else None
    if counter is not None:
        changes["counter_address"] = counter.address
    reader = ServerListReader(())
    scenes: list[Scene] = []
    log: list[str] = []

    def leave() -> None:
        scenes[0].exited = True

    known = parse_servers(
        [{"host": f"s-{n}", "dial": p.address, "health": "in_service"} for n, p in enumerate(servers)], ()
    )
    reducer = Reducer(
        ingress_config(
            settings=settings, known_servers=known, server_list_address=server_list.address, **changes
        )
    )
    runtime = GatedRuntime(reducer, lambda: scenes[0].now if scenes else START, reader, log.append, leave)
    class_names = [("stock-check", True), ("place-order", False)][: len(settings.classes)]
    clients = runtime.clients = Clients(
        RequestCatalog(class_names, ["negoce"], 3.0, 2), runtime.report, lambda: True
    )
    scenes.append(Scene(runtime, clients, servers, server_list, log, counter=counter))
    await clients.listen("127.0.0.1", 0)
    runtime.start()
    try:
        yield scenes[0]
    finally:
        runtime.gate.set()
        clients.stop_listening()
        for connection in list(runtime.connections.values()):
            connection.close()
        await clients.server.shutdown(timeout=0.1)
        for stand_in in (*servers, server_list, *([counter] if counter is not None else ())):
            stand_in.close()
        if runtime.timer is not None:
            runtime.timer.cancel()


async def first_connection(scene: Scene) -> tuple[int, StandInConnection]:
    """The index of the server that gets the next connection, and that connection."""
    waiting = [asyncio.create_task(stand_in.next_connection()) for stand_in in scene.servers]
    done, pending = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    number = next(n for n, task in enumerate(waiting) if task in done)
    return number, waiting[number].result()


def check_request(name: str, time_left: str = "1.0") -> bytes:
    return harness.request("GET", "/stock-check", time_left=time_left, correlation_id=name)


def place_request(name: str) -> bytes:
    return harness.request("POST", "/place-order", time_left="2.0", correlation_id=name)


def answer_list(
    connection: StandInConnection,
    version: object,
    *entries: object,
    is_complete: object = False,
    indent: int | None = None,
) -> None:
    """Answers a request for the server list."""
    connection.send(
        ok_response(
            json.dumps({"seq": version, "whole": is_complete, "hosts": entries}, indent=indent).encode()
        )
    )


def run_scene(scenario: Callable[[], Awaitable[None]]) -> None:
    """Runs on uvloop, as the program does: loops differ in the events that they report in one turn."""
    uvloop.run(asyncio.wait_for(scenario(), 60))


def ok_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
