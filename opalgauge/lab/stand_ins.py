"""Stand-ins for stock nodes and quota counter, lean enough to measure an ingress against: one process each.

`python -m opalgauge.lab.stand_ins node|counter ADDRESS … [key=value …]`; SIGTERM prints what was seen as one
JSON line and ends. A stock node answers a GET or POST after `delay` (s) and tallies the ids it was sent, and
the units that a target tells as `/KIND/ACCOUNT/UNITS`. The counter keeps totals by name, each for its life.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import uvloop

DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"


class HttpConnection(asyncio.Protocol):
    """Reads requests with at most a Content-Length body, one behind another, and hands each to `take`."""

    def __init__(self, handler: Callable[[HttpConnection, bytes, bytes], None]) -> None:
        self.handler, self.buffer = handler, b""
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (head_end := self.buffer.find(END_OF_HEAD)) >= 0:
            head = self.buffer[:head_end]
            length_at = head.lower().find(b"content-length:")
            body_length = int(head[length_at + 15 :].split(b"\r\n", 1)[0]) if length_at >= 0 else 0
            total_length = head_end + 4 + body_length
            if len(self.buffer) < total_length:
                return
            self.buffer = self.buffer[total_length:]
            self.handler(self, head, b"")

    def answer(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class StandInServers:
    """Any number of stock nodes in one process; they differ by address alone."""

    def __init__(self, delay: float) -> None:
        self.delay = delay
        self.loop = asyncio.get_running_loop()
        self.requests = self.duplicates = 0
        self.request_ids: set[bytes] = set()
        self.units: dict[str, float] = {}

    def handle(self, connection: HttpConnection, head: bytes, _: bytes) -> None:
        path = head.split(b" ", 2)[1].decode("latin-1").split("/")
        id_at = head.find(b"X-Correlation-Id: ")
        request_id = head[id_at + 18 :].split(b"\r\n", 1)[0]
        self.requests += 1
        if request_id in self.request_ids:
            self.duplicates += 1
        else:
            self.request_ids.add(request_id)
            if len(path) > 3:
                self.units[path[2]] = self.units.get(path[2], 0.0) + float(path[3])
        if self.delay:
            self.loop.call_later(self.delay, connection.answer, DONE)
        else:
            connection.answer(DONE)

    def report(self) -> dict[str, Any]:
        return {"requests": self.requests, "doubled": self.duplicates, "units": self.units}


class StandInCounter:
    """Named totals; a name is forgotten when the life that its first call told is over.

    `work`: seconds that each call takes in its turn; 0: none, and all are answered at once.
    """

    def __init__(self, work: float = 0.0) -> None:
        self.work, self.free_at = work, 0.0
        self.totals: dict[bytes, list[float]] = {}
        self.sums: dict[str, float] = {}
        self.calls = 0

    def handle(self, connection: HttpConnection, head: bytes, _: bytes) -> None:
        self.calls += 1
        target = head.split(b" ", 2)[1]
        name, _q, query = target.partition(b"?")
        parameters = dict(part.split(b"=", 1) for part in query.split(b"&"))
        try:
            amount, ttl = float(parameters[b"by"]), float(parameters[b"expire_ms"]) / 1000
        except (KeyError, ValueError):
            connection.answer(BAD_REQUEST)
            return
        if not self.work:
            self._add(connection, name, amount, ttl)
            return
        loop = asyncio.get_running_loop()
        self.free_at = max(loop.time(), self.free_at) + self.work
        loop.call_at(self.free_at, self._add, connection, name, amount, ttl)

    def _add(self, connection: HttpConnection, name: bytes, amount: float, ttl: float) -> None:
        now = time.monotonic()
        entry = self.totals.get(name)
        if entry is None or now >= entry[1]:
            entry = self.totals[name] = [0.0, now + ttl]
        entry[0] += amount
        key = name.rsplit(b"/", 1)[1].decode()
        self.sums[key] = self.sums.get(key, 0.0) + amount
        body = b"%.7g" % entry[0]
        connection.answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def report(self) -> dict[str, Any]:
        return {"calls": self.calls, "sums": self.sums}


async def serve(kind: str, addresses: list[str], options: dict[str, str]) -> None:
    loop = asyncio.get_running_loop()
    stand_in: StandInServers | StandInCounter = (
        StandInServers(float(options.get("delay", 0))) if kind == "node" else StandInCounter()
    )
    for address in addresses:
        host, _, port = address.rpartition(":")
        await loop.create_server(lambda: HttpConnection(stand_in.handle), host, int(port), backlog=1024)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    print("up", flush=True)
    await stopped.wait()
    print(json.dumps(stand_in.report()), flush=True)


if __name__ == "__main__":
    uvloop.run(
        serve(
            sys.argv[1],
            [a for a in sys.argv[2:] if "=" not in a],
            dict(a.split("=", 1) for a in sys.argv[2:] if "=" in a),
        )
    )
