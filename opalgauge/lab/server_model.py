"""Upstream servers with a limited capacity, which is lower for a while after a restart.

`ServerModel` is pure and stepped by arrivals; `ModelledServer` puts it behind a socket. The work of a request
is drawn from its id, so that the same load costs the same whichever server gets it.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from opalgauge.lab.stand_ins import DONE, HttpConnection

UNPROCESSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class ServerModel:
    """A first-come-first-served queue in front of `cores`, each of which does one second of work a second.

    After a restart the capacity rises from `initial_capacity` (a share) to 1 in `warm_up` seconds. Times are
    in seconds.
    """

    cores: int = 1
    mean_work: float = 0.06
    warm_up: float = 8.0
    initial_capacity: float = 0.21
    max_queued_work: float = 6.0  # seconds of work that may wait, over all cores
    slowdown: float = 1.0
    started_at: float = -1e9
    core_free_at: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, float]] = field(default_factory=list)  # time and work, rejected ones included

    def capacity(self, now: float) -> float:
        """Returns the capacity at this moment as a share of the full one."""
        progress = (now - self.started_at) / self.warm_up
        return (
            min(1.0, self.initial_capacity + (1 - self.initial_capacity) * max(0.0, progress)) / self.slowdown
        )

    def work_of(self, request_id: str) -> float:
        """Returns the seconds of work of a request, log-normal with the mean `mean_work`."""
        return self.mean_work * random.Random(request_id).lognormvariate(-0.125, 0.5)

    def restart(self, now: float) -> None:
        """Empties the queue and starts over at the initial capacity."""
        self.started_at, self.core_free_at = now, []

    def arrive(self, now: float, request_id: str) -> float | None:
        """Returns when the request will be answered, or None if the queue is full and it is rejected."""
        work = self.work_of(request_id)
        self.arrivals.append((now, work))
        self.core_free_at = self.core_free_at or [now] * self.cores
        core = min(range(self.cores), key=self.core_free_at.__getitem__)
        start = max(now, self.core_free_at[core])
        if start - now > self.max_queued_work / self.cores:
            return None
        self.core_free_at[core] = start + work / self.capacity(now)
        return self.core_free_at[core]

    def overload(self, since: float, window: float = 3.0) -> float:
        """Returns the highest ratio of offered work to capacity in any window since `since`.

        Windows are `window` seconds long and begin at an arrival, whose capacity counts for the whole window.
        """
        worst, arrivals = 0.0, [(time, work) for time, work in self.arrivals if time >= since]
        for index, (start, _) in enumerate(arrivals):
            offered = sum(work for time, work in arrivals[index:] if time < start + window)
            worst = max(worst, offered / (window * self.cores * self.capacity(start)))
        return worst


class ModelledServer:
    """A server model behind a socket.

    `executions` counts how often each request id ran and `first_attempts` holds when its first attempt came
    (loop time); both are shared by all servers of a fleet.
    """

    def __init__(
        self, name: str, model: ServerModel, executions: dict[str, int], first_attempts: dict[str, float]
    ) -> None:
        self.name, self.model, self.executions, self.first_attempts = name, model, executions, first_attempts
        self.loop = asyncio.get_running_loop()
        self.server: Any = None
        self.address = ""
        self.connections: set[Any] = set()

    async def start(self) -> None:
        """Listens on a free port of loopback and sets `address`."""
        self.server = await self.loop.create_server(self._make_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def _make_connection(self) -> HttpConnection:
        return HttpConnection(self.handle)

    def handle(self, connection: HttpConnection, head: bytes, _: bytes) -> None:
        """Answers when the model says so; the load probe is answered at once."""
        if head.startswith(b"GET /status/load"):
            connection.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=0")
            return
        id_start = head.find(b"X-Correlation-Id: ")
        request_id = head[id_start + 18 :].split(b"\r\n", 1)[0].decode()
        self.first_attempts.setdefault(request_id, self.loop.time())
        answer_at = self.model.arrive(self.loop.time(), request_id)
        if answer_at is None:
            connection.answer(UNPROCESSED)
            return
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        self.loop.call_at(answer_at, connection.answer, DONE)

    def close(self) -> None:
        """Stops listening."""
        self.server.close()
