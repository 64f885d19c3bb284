"""Clients that load an ingress, in a process of their own; open loop, or as fast as answers come.

`python -m opalgauge.lab.load_generator SPEC` takes a JSON object: `address`, `seconds`, `connections`,
`rate` (requests a second, drawn ahead; 0: closed loop), `accounts` (a list of [number, tariff, units,
weight]), `seed`, `tag`.
A request's time is measured from its intended start, so that a late one counts as late (no coordinated
omission). Prints one JSON object: counts by status, `lost` (no whole answer), `late` (after its time),
`wrong` (an answer that no node made), the answer times as an encoded HdrHistogram in microseconds.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

LEFT = 2.0  # s that a client waits
GRACE = 0.05  # s beyond it that still counts as in time, as the platform's rules have it
HIGHEST = 60_000_000  # us


@dataclass
class Tally:
    """What came back."""

    status: dict[str, int] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    asked: int = 0
    lost: int = 0
    resent: int = 0  # their connection ended before anything came back; asked once more
    late: int = 0
    wrong: int = 0
    moments: list[tuple[float, int]] = field(default_factory=list)  # of answers, and whether served


class Connection(asyncio.Protocol):
    """One connection with one request at a time; it is dialled again when it ends."""

    def __init__(self, load: Load) -> None:
        self.load, self.held = load, b""
        self.transport: Any = None
        self.asked: tuple[float, float, str] | None = None  # intended start, sent at, account
        self.data, self.again = b"", False  # what was asked, and whether for the second time

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.load.free(self)

    def ask(self, intended: float) -> None:
        self.data, account = self.load.request()
        self.asked, self.again = (intended, time.perf_counter(), account), False
        self.transport.write(self.data)

    def ask_again(self, data: bytes, asked: tuple[float, float, str]) -> None:
        self.data, self.asked, self.again = data, asked, True
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.held += data
        end = self.held.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self.held[:end].lower()
        at = head.find(b"content-length:")
        length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
        if len(self.held) < end + 4 + length:
            return
        body, self.held = self.held[end + 4 : end + 4 + length], self.held[end + 4 + length :]
        asked, self.asked = self.asked, None
        if asked is None:
            self.load.tally.wrong += 1  # an answer that nobody asked for
            return
        self.load.answered(head[9:12].decode(), body, asked, bool(self.held))
        if b"connection: close" in head:
            self.transport.close()
        else:
            self.load.free(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.asked is not None and not self.again and not self.held:
            # An ingress may close between requests, and the close may cross a request that it has not read:
            # the platform's clients send that once more. Had it been sent on, the nodes see its id twice.
            self.load.crossed.append((self.data, self.asked))
            self.load.tally.resent += 1
        elif self.asked is not None:
            self.load.tally.lost += 1
        self.asked = None
        self.load.gone(self)


class Load:
    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(spec["seed"])
        self.tally = Tally()
        self.histogram = HdrHistogram(1, HIGHEST, 3)
        self.idle: list[Connection] = []
        self.crossed: deque[tuple[bytes, tuple[float, float, str]]] = deque()
        self.due: deque[float] = deque()  # intended starts that wait for a connection
        self.out = 0
        self.over = False
        weights = [a[3] for a in spec["accounts"]]
        self.picks = self.rng.choices(range(len(weights)), weights, k=8192)
        self.number = 0
        self.heads = [self._head(*a[:3]) for a in spec["accounts"]]

    def _head(self, number: int, tariff: str, units: int) -> tuple[bytes, bytes, str]:
        rest = (
            f"X-Tier: {tariff}\r\nCookie: customer={number:016x}\r\nX-Time-Left: {LEFT}\r\n"
            f"X-Call-Terms: units={units},spread=1,first=0\r\nContent-Length: 64\r\n\r\n" + "x" * 64
        )
        line = f"POST /place-order/{number}/{units} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
        return line.encode(), rest.encode(), str(number)

    def request(self) -> tuple[bytes, str]:
        self.number += 1
        line, rest, account = self.heads[self.picks[self.number % 8192]]
        self.tally.asked += 1
        self.out += 1
        return line + f"{self.spec['tag']}{self.number:x}\r\n".encode() + rest, account

    def answered(self, status: str, body: bytes, asked: tuple[float, float, str], more: bool) -> None:
        now = time.perf_counter()
        t, took = self.tally, now - asked[0]
        self.out -= 1
        t.status[status] = t.status.get(status, 0) + 1
        if status == "200":
            t.served[asked[2]] = t.served.get(asked[2], 0) + 1
        t.late += now - asked[1] > LEFT + GRACE
        t.wrong += (status == "200" and body != b"done") or more
        t.moments.append((now, int(status == "200")))
        self.histogram.record_value(min(HIGHEST, max(1, int(took * 1e6))))

    def free(self, connection: Connection) -> None:
        if self.crossed and not connection.transport.is_closing():
            connection.ask_again(*self.crossed.popleft())
            return
        if self.over or connection.transport.is_closing():
            return
        if self.spec["rate"]:
            if self.due:
                connection.ask(self.due.popleft())
            else:
                self.idle.append(connection)
        else:
            connection.ask(time.perf_counter())

    def gone(self, connection: Connection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
        if not self.over or self.crossed:
            self.loop.create_task(self.dial())

    async def dial(self) -> None:
        host, _, port = self.spec["address"].rpartition(":")
        try:
            await self.loop.create_connection(lambda: Connection(self), host, int(port))
        except OSError:
            self.loop.call_later(0.05, lambda: self.over or self.loop.create_task(self.dial()))

    async def run(self) -> dict[str, Any]:
        await asyncio.gather(*(self.dial() for _ in range(self.spec["connections"])))
        began = time.perf_counter()
        began_unix = time.time()
        until = began + self.spec["seconds"]
        if rate := self.spec["rate"]:
            at = began
            while (at := at + self.rng.expovariate(rate)) < until:
                if (wait := at - time.perf_counter()) > 0.0005:
                    await asyncio.sleep(wait)
                while self.idle and self.idle[-1].transport.is_closing():
                    self.idle.pop()
                if self.idle:
                    self.idle.pop().ask(at)
                else:
                    self.due.append(at)
        else:
            await asyncio.sleep(self.spec["seconds"])
        self.over = True
        took = time.perf_counter() - began
        for _ in range(int((LEFT + 1) * 100)):
            if not self.out and not self.due:
                break
            if self.due and self.idle:
                self.idle.pop().ask(self.due.popleft())
            await asyncio.sleep(0.01)
        t = self.tally
        first = min((m for m, _ in t.moments), default=began)
        tenths: dict[int, int] = {}
        for moment, good in t.moments:
            tenth = int((moment - began) * 10)
            tenths[tenth] = tenths.get(tenth, 0) + good
        return {
            "asked": t.asked, "status": t.status, "served": t.served, "lost": t.lost + len(self.crossed),
            "resent": t.resent, "late": t.late,
            "unasked": len(self.due), "wrong": t.wrong, "took": took, "began": began_unix,
            "first": first - began, "tenths": tenths, "histogram": self.histogram.encode().decode(),
        }  # fmt: skip


async def main() -> None:
    print(json.dumps(await Load(json.loads(sys.argv[1])).run()), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
