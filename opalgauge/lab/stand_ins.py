"""Stand-ins for upstream servers and the quota counter, light enough to benchmark an ingress against.

Run as a process: `python -m opalgauge.lab.stand_ins node|counter ADDRESS … [key=value …]`. On SIGTERM it
prints a report as one line of JSON and exits. A server answers each GET or POST after `delay` (s), counts the
request ids that it gets more than once, and adds up the units given in the target as `/CLASS/ACCOUNT/UNITS`.
The counter keeps named totals, each until it expires.
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
    """An HTTP server connection; calls `handler` with itself, the head and an empty body for each request.

    Requests may be pipelined. A body needs a Content-Length and is dropped.
    """

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
        """Writes `data`, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)


class StandInServers:
    """Any number of servers in one process, which share their state and differ by address alone."""

    def __init__(self, delay: float) -> None:
        self.delay = delay
        self.loop = asyncio.get_running_loop()
        self.requests = self.duplicates = 0
        self.request_ids: set[bytes] = set()
        self.units: dict[str, float] = {}

    def handle(self, connection: HttpConnection, head: bytes, _: bytes) -> None:
        """Records the request and answers it with 200."""
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
        """Returns the number of requests, of repeated ids (`doubled`), and the units by account."""
        return {"requests": self.requests, "doubled": self.duplicates, "units": self.units}


class StandInCounter:
    """The quota counter: named totals, each dropped when the expiry that its first call gave has passed.

    `work`: seconds that each call takes; calls are processed one after another. 0: all are answered at once.
    """

    def __init__(self, work: float = 0.0) -> None:
        self.work, self.free_at = work, 0.0
        self.totals: dict[bytes, list[float]] = {}
        self.sums: dict[str, float] = {}
        self.calls = 0

    def handle(self, connection: HttpConnection, head: bytes, _: bytes) -> None:
        """Adds to a total and answers with it, or with 400 where the query is malformed."""
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
        """Returns the number of calls, and what was added to each name in all, whether expired or not."""
        return {"calls": self.calls, "sums": self.sums}


async def serve(role: str, addresses: list[str], options: dict[str, str]) -> None:
    """Serves on `addresses` until SIGTERM, then prints the report. `role`: node or counter."""
    loop = asyncio.get_running_loop()
    stand_in: StandInServers | StandInCounter = (
        StandInServers(float(options.get("delay", 0))) if role == "node" else StandInCounter()
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
