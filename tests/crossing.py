"""An ingress's own sockets in the test's process, so that a test says in which order two events come.

Every connection is a real one on loopback. Time stands still until a test moves it, a dial waits at a gate
until a test opens it, and the parties round the ingress write when they are told to.
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

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.reducer import Reducer
from opalgauge.wire.clients import Clients, Trade
from opalgauge.wire.exchange import Exchange
from opalgauge.wire.line import LineProtocol
from opalgauge.wire.node_list import NodeListReader, read_nodes
from starlinggap import interface as i
from tests import harness
from tests.reducer_rig import SETTINGS, START, house

MS = timedelta(milliseconds=1)
ALONE = replace(SETTINGS, use_counter=False)  # no counter: nothing stands between a request and its attempt


class GatedExchange(Exchange):
    """Dials as ever, once the gate is open."""

    def __init__(self, *more: Any) -> None:
        super().__init__(*more)
        self.gate = asyncio.Event()
        self.gate.set()

    async def _dial(self, effect: fx.OpenConnection, line: LineProtocol) -> None:
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.dials.pop(effect.connection_id, None)
            raise
        await super()._dial(effect, line)


@dataclass
class Peer:
    """One connection that the ingress opened, in the hands of the test."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def request(self) -> bytes:
        return await asyncio.wait_for(harness.read_request(self.reader), 20)

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    def reset(self) -> None:
        """Ends it as a close over unread bytes does."""
        held = self.writer.get_extra_info("socket")
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def ended(self) -> bytes:
        """What came up to the connection's end."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), 20)
        return b""


class Party:
    """A listening stand-in: its connections come out of `peers` in the order in which they were opened."""

    def __init__(self) -> None:
        self.peers: asyncio.Queue[Peer] = asyncio.Queue()
        self.all: list[Peer] = []
        self.server: asyncio.Server | None = None
        self.address = ""

    async def open(self) -> Party:
        async def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer = Peer(reader, writer)
            self.all.append(peer)
            self.peers.put_nowait(peer)

        self.server = await asyncio.start_server(came, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def peer(self) -> Peer:
        return await asyncio.wait_for(self.peers.get(), 20)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for peer in self.all:
            peer.writer.close()


@dataclass
class Scene:
    """One ingress between its parties."""

    exchange: GatedExchange
    clients: Clients
    nodes: list[Party]
    node_list: Party
    log: list[str] = field(default_factory=list)
    now: datetime = START
    left: bool = False
    counter: Party | None = None

    @property
    def books(self) -> Any:
        return self.exchange.reducer.state

    def pass_time(self, span: timedelta) -> None:
        """Time moves on; what is due by then happens."""
        self.now += span
        self.exchange.report(ev.WakeUpDue())

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        assert self.clients.listener is not None
        return await asyncio.open_connection(*self.clients.listener.address)

    async def ask(self, data: bytes) -> asyncio.Task[bytes]:
        """Sends a request on a connection of its own; the task gives its answer."""
        reader, writer = await self.client()
        writer.write(data)

        async def answer() -> bytes:
            try:
                return await asyncio.wait_for(harness.read_request(reader), 20)
            finally:
                writer.close()

        return asyncio.create_task(answer())

    def listed(self, number: int, health: str = "in_service", born: int = 0, at: str = "") -> dict[str, Any]:
        return {"host": f"s-{number}", "dial": at or self.nodes[number].address, "site": "", "class": "",
                "block": 0, "health": health, "share": 1.0, "born_ms": born}  # fmt: skip


async def until(what: Callable[[], Any]) -> None:
    """Lets the loop turn until something holds; fails where it never does."""

    async def turn() -> None:
        while not what():
            await asyncio.sleep(0)

    await asyncio.wait_for(turn(), 20)


@contextlib.asynccontextmanager
async def scene(nodes: int = 1, settings: i.Settings = ALONE, **changes: Any) -> AsyncIterator[Scene]:
    """Where the settings have a counter, it is a party, too."""
    parties = [await Party().open() for _ in range(nodes)]
    node_list = await Party().open()
    counter = await Party().open() if settings.use_counter else None
    if counter is not None:
        changes["counter_address"] = counter.address
    reader = NodeListReader(())
    here: list[Scene] = []
    log: list[str] = []

    def leave() -> None:
        here[0].left = True

    known = read_nodes(
        [{"host": f"s-{n}", "dial": p.address, "health": "in_service"} for n, p in enumerate(parties)], ()
    )
    reducer = Reducer(
        house(settings=settings, known_servers=known, server_list_address=node_list.address, **changes)
    )
    exchange = GatedExchange(reducer, lambda: here[0].now if here else START, reader, log.append, leave)
    kinds = [("stock-check", True), ("place-order", False)][: len(settings.classes)]
    clients = exchange.clients = Clients(Trade(kinds, ["negoce"], 3.0, 2), exchange.report, lambda: True)
    here.append(Scene(exchange, clients, parties, node_list, log, counter=counter))
    await clients.listen("127.0.0.1", 0)
    exchange.start()
    try:
        yield here[0]
    finally:
        exchange.gate.set()
        clients.stop_listening()
        for line in list(exchange.lines.values()):
            line.end()
        await clients.server.shutdown(timeout=0.1)
        for party in (*parties, node_list, *([counter] if counter is not None else ())):
            party.close()
        if exchange.timer is not None:
            exchange.timer.cancel()


async def first(here: Scene) -> tuple[int, Peer]:
    """The stock node that gets the next connection, and that."""
    ready = [asyncio.create_task(party.peer()) for party in here.nodes]
    done, late = await asyncio.wait(ready, return_when=asyncio.FIRST_COMPLETED)
    for task in late:
        task.cancel()
    number = next(n for n, task in enumerate(ready) if task in done)
    return number, ready[number].result()


def check(name: str, left: str = "1.0") -> bytes:
    return harness.request("GET", "/stock-check", left=left, name=name)


def place(name: str) -> bytes:
    return harness.request("POST", "/place-order", left="2.0", name=name)


def tell(watch: Peer, seq: object, *hosts: object, whole: object = False, indent: int | None = None) -> None:
    """The node list's answer to a watch."""
    watch.say(told(json.dumps({"seq": seq, "whole": whole, "hosts": hosts}, indent=indent).encode()))


def play(what: Callable[[], Awaitable[None]]) -> None:
    """On the loop that the program runs on: loops differ in what they read and tell in one turn."""
    uvloop.run(asyncio.wait_for(what(), 60))


def told(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
