"""Stock nodes with a capacity: cores that work off what comes in turn, slower while the node is cold.

The model is pure (`Model`, stepped by arrivals); `Node` puts it behind a socket. What a request costs is
drawn from its id, so the same load costs the same whoever serves it.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from opalgauge.lab.stand_ins import DONE, Http

UNPROCESSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class Model:
    """`cores` at full speed do one second's work a second each. Times in seconds."""

    cores: int = 1
    work: float = 0.06
    cold: float = 8.0
    cold_from: float = 0.21
    room: float = 6.0  # seconds of work that may wait, all cores together
    slow: float = 1.0
    started: float = -1e9
    busy: list[float] = field(default_factory=list)
    came: list[tuple[float, float]] = field(default_factory=list)  # when, work: also what was turned away

    def share(self, now: float) -> float:
        """Of its capacity, at this moment."""
        age = (now - self.started) / self.cold
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(0.0, age)) / self.slow

    def cost(self, name: str) -> float:
        return self.work * random.Random(name).lognormvariate(-0.125, 0.5)

    def restart(self, now: float) -> None:
        self.started, self.busy = now, []

    def arrive(self, now: float, name: str) -> float | None:
        """When it will be answered; None: turned away, as too much waits."""
        cost = self.cost(name)
        self.came.append((now, cost))
        self.busy = self.busy or [now] * self.cores
        first = min(range(self.cores), key=self.busy.__getitem__)
        begin = max(now, self.busy[first])
        if begin - now > self.room / self.cores:
            return None
        self.busy[first] = begin + cost / self.share(now)
        return self.busy[first]

    def overload(self, since: float, span: float = 3.0) -> float:
        """The greatest ratio of the work sent to it to its capacity then, over any `span` from `since` on."""
        worst, late = 0.0, [(t, w) for t, w in self.came if t >= since]
        for n, (start, _) in enumerate(late):
            sent = sum(w for t, w in late[n:] if t < start + span)
            worst = max(worst, sent / (span * self.cores * self.share(start)))
        return worst


class Node:
    """A model behind a socket. `ran`: how often each id ran; `first`: when its first attempt came."""

    def __init__(self, name: str, model: Model, ran: dict[str, int], first: dict[str, float]) -> None:
        self.name, self.model, self.ran, self.first = name, model, ran, first
        self.loop = asyncio.get_running_loop()
        self.server: Any = None
        self.address = ""
        self.lines: set[Any] = set()

    async def start(self) -> None:
        self.server = await self.loop.create_server(self._line, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def _line(self) -> Http:
        return Http(self.take)

    def take(self, line: Http, head: bytes, _: bytes) -> None:
        if head.startswith(b"GET /status/load"):
            line.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=0")
            return
        at = head.find(b"X-Correlation-Id: ")
        name = head[at + 18 :].split(b"\r\n", 1)[0].decode()
        self.first.setdefault(name, self.loop.time())
        when = self.model.arrive(self.loop.time(), name)
        if when is None:
            line.answer(UNPROCESSED)
            return
        self.ran[name] = self.ran.get(name, 0) + 1
        self.loop.call_at(when, line.answer, DONE)

    def close(self) -> None:
        self.server.close()
