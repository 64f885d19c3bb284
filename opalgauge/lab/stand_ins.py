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
BAD = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
END = b"\r\n\r\n"


class Http(asyncio.Protocol):
    """Reads requests with at most a Content-Length body, one behind another, and hands each to `take`."""

    def __init__(self, take: Callable[[Http, bytes, bytes], None]) -> None:
        self.take, self.held = take, b""
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.held += data
        while (end := self.held.find(END)) >= 0:
            head = self.held[:end]
            at = head.lower().find(b"content-length:")
            body = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            whole = end + 4 + body
            if len(self.held) < whole:
                return
            self.held = self.held[whole:]
            self.take(self, head, b"")

    def answer(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class Nodes:
    """Any number of stock nodes in one process; they differ by address alone."""

    def __init__(self, delay: float) -> None:
        self.delay = delay
        self.loop = asyncio.get_running_loop()
        self.requests = self.doubled = 0
        self.ids: set[bytes] = set()
        self.units: dict[str, float] = {}

    def take(self, line: Http, head: bytes, _: bytes) -> None:
        target = head.split(b" ", 2)[1].decode("latin-1").split("/")
        at = head.find(b"X-Correlation-Id: ")
        name = head[at + 18 :].split(b"\r\n", 1)[0]
        self.requests += 1
        if name in self.ids:
            self.doubled += 1
        else:
            self.ids.add(name)
            if len(target) > 3:
                self.units[target[2]] = self.units.get(target[2], 0.0) + float(target[3])
        if self.delay:
            self.loop.call_later(self.delay, line.answer, DONE)
        else:
            line.answer(DONE)

    def seen(self) -> dict[str, Any]:
        return {"requests": self.requests, "doubled": self.doubled, "units": self.units}


class Counter:
    """Named totals; a name is forgotten when the life that its first call told is over.

    `work`: seconds that each call takes in its turn; 0: none, and all are answered at once.
    """

    def __init__(self, work: float = 0.0) -> None:
        self.work, self.free_at = work, 0.0
        self.totals: dict[bytes, list[float]] = {}
        self.sums: dict[str, float] = {}
        self.calls = 0

    def take(self, line: Http, head: bytes, _: bytes) -> None:
        self.calls += 1
        target = head.split(b" ", 2)[1]
        name, _q, query = target.partition(b"?")
        told = dict(part.split(b"=", 1) for part in query.split(b"&"))
        try:
            by, life = float(told[b"by"]), float(told[b"expire_ms"]) / 1000
        except (KeyError, ValueError):
            line.answer(BAD)
            return
        if not self.work:
            self._add(line, name, by, life)
            return
        loop = asyncio.get_running_loop()
        self.free_at = max(loop.time(), self.free_at) + self.work
        loop.call_at(self.free_at, self._add, line, name, by, life)

    def _add(self, line: Http, name: bytes, by: float, life: float) -> None:
        now = time.monotonic()
        kept = self.totals.get(name)
        if kept is None or now >= kept[1]:
            kept = self.totals[name] = [0.0, now + life]
        kept[0] += by
        key = name.rsplit(b"/", 1)[1].decode()
        self.sums[key] = self.sums.get(key, 0.0) + by
        body = b"%.7g" % kept[0]
        line.answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def seen(self) -> dict[str, Any]:
        return {"calls": self.calls, "sums": self.sums}


async def serve(kind: str, addresses: list[str], options: dict[str, str]) -> None:
    loop = asyncio.get_running_loop()
    part: Nodes | Counter = Nodes(float(options.get("delay", 0))) if kind == "node" else Counter()
    for address in addresses:
        host, _, port = address.rpartition(":")
        await loop.create_server(lambda: Http(part.take), host, int(port), backlog=1024)
    over = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, over.set)
    print("up", flush=True)
    await over.wait()
    print(json.dumps(part.seen()), flush=True)


if __name__ == "__main__":
    uvloop.run(
        serve(
            sys.argv[1],
            [a for a in sys.argv[2:] if "=" not in a],
            dict(a.split("=", 1) for a in sys.argv[2:] if "=" in a),
        )
    )
