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

REQUEST_TIMEOUT = 2.0  # s that a client waits
TIMEOUT_TOLERANCE = 0.05  # s beyond it that still counts as in time, as the platform's rules have it
MAX_LATENCY_US = 60_000_000  # us


@dataclass
class Tally:
    """What came back."""

    status: dict[str, int] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    requests: int = 0
    lost: int = 0
    resent: int = 0  # their connection ended before anything came back; asked once more
    late: int = 0
    wrong: int = 0
    answer_times: list[tuple[float, int]] = field(default_factory=list)  # of answers, and whether served


class Connection(asyncio.Protocol):
    """One connection with one request at a time; it is dialled again when it ends."""

    def __init__(self, generator: LoadGenerator) -> None:
        self.generator, self.buffer = generator, b""
        self.transport: Any = None
        self.pending: tuple[float, float, str] | None = None  # intended start, sent at, account
        self.request_data, self.is_retry = b"", False  # what was asked, and whether for the second time

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.generator.on_idle(self)

    def send_request(self, intended_start: float) -> None:
        self.request_data, account = self.generator.next_request()
        self.pending, self.is_retry = (intended_start, time.perf_counter(), account), False
        self.transport.write(self.request_data)

    def resend_request(self, data: bytes, pending: tuple[float, float, str]) -> None:
        self.request_data, self.pending, self.is_retry = data, pending, True
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head_end = self.buffer.find(b"\r\n\r\n")
        if head_end < 0:
            return
        head = self.buffer[:head_end].lower()
        length_at = head.find(b"content-length:")
        length = int(head[length_at + 15 :].split(b"\r\n", 1)[0]) if length_at >= 0 else 0
        if len(self.buffer) < head_end + 4 + length:
            return
        body, self.buffer = (
            self.buffer[head_end + 4 : head_end + 4 + length],
            self.buffer[head_end + 4 + length :],
        )
        pending, self.pending = self.pending, None
        if pending is None:
            self.generator.tally.wrong += 1  # an answer that nobody asked for
            return
        self.generator.on_answer(head[9:12].decode(), body, pending, bool(self.buffer))
        if b"connection: close" in head:
            self.transport.close()
        else:
            self.generator.on_idle(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.pending is not None and not self.is_retry and not self.buffer:
            # An ingress may close between requests, and the close may cross a request that it has not read:
            # the platform's clients send that once more. Had it been sent on, the nodes see its id twice.
            self.generator.to_resend.append((self.request_data, self.pending))
            self.generator.tally.resent += 1
        elif self.pending is not None:
            self.generator.tally.lost += 1
        self.pending = None
        self.generator.on_lost(self)


class LoadGenerator:
    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(spec["seed"])
        self.tally = Tally()
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.idle: list[Connection] = []
        self.to_resend: deque[tuple[bytes, tuple[float, float, str]]] = deque()
        self.overdue: deque[float] = deque()  # intended starts that wait for a connection
        self.in_flight = 0
        self.finished = False
        weights = [account[3] for account in spec["accounts"]]
        self.account_sequence = self.rng.choices(range(len(weights)), weights, k=8192)
        self.request_number = 0
        self.request_parts = [self._build_request(*account[:3]) for account in spec["accounts"]]

    def _build_request(self, number: int, plan: str, units: int) -> tuple[bytes, bytes, str]:
        after_id = (
            f"X-Tier: {plan}\r\nCookie: customer={number:016x}\r\nX-Time-Left: {REQUEST_TIMEOUT}\r\n"
            f"X-Call-Terms: units={units},spread=1,first=0\r\nContent-Length: 64\r\n\r\n" + "x" * 64
        )
        before_id = f"POST /place-order/{number}/{units} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
        return before_id.encode(), after_id.encode(), str(number)

    def next_request(self) -> tuple[bytes, str]:
        self.request_number += 1
        before_id, after_id, account = self.request_parts[self.account_sequence[self.request_number % 8192]]
        self.tally.requests += 1
        self.in_flight += 1
        return before_id + f"{self.spec['tag']}{self.request_number:x}\r\n".encode() + after_id, account

    def on_answer(self, status: str, body: bytes, request: tuple[float, float, str], surplus: bool) -> None:
        now = time.perf_counter()
        tally, latency = self.tally, now - request[0]
        self.in_flight -= 1
        tally.status[status] = tally.status.get(status, 0) + 1
        if status == "200":
            tally.served[request[2]] = tally.served.get(request[2], 0) + 1
        tally.late += now - request[1] > REQUEST_TIMEOUT + TIMEOUT_TOLERANCE
        tally.wrong += (status == "200" and body != b"done") or surplus
        tally.answer_times.append((now, int(status == "200")))
        self.histogram.record_value(min(MAX_LATENCY_US, max(1, int(latency * 1e6))))

    def on_idle(self, connection: Connection) -> None:
        if self.to_resend and not connection.transport.is_closing():
            connection.resend_request(*self.to_resend.popleft())
            return
        if self.finished or connection.transport.is_closing():
            return
        if self.spec["rate"]:
            if self.overdue:
                connection.send_request(self.overdue.popleft())
            else:
                self.idle.append(connection)
        else:
            connection.send_request(time.perf_counter())

    def on_lost(self, connection: Connection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
        if not self.finished or self.to_resend:
            self.loop.create_task(self.connect())

    async def connect(self) -> None:
        host, _, port = self.spec["address"].rpartition(":")
        try:
            await self.loop.create_connection(lambda: Connection(self), host, int(port))
        except OSError:
            self.loop.call_later(0.05, lambda: self.finished or self.loop.create_task(self.connect()))

    async def run(self) -> dict[str, Any]:
        await asyncio.gather(*(self.connect() for _ in range(self.spec["connections"])))
        started = time.perf_counter()
        started_unix = time.time()
        end = started + self.spec["seconds"]
        if rate := self.spec["rate"]:
            intended_start = started
            while (intended_start := intended_start + self.rng.expovariate(rate)) < end:
                if (wait := intended_start - time.perf_counter()) > 0.0005:
                    await asyncio.sleep(wait)
                while self.idle and self.idle[-1].transport.is_closing():
                    self.idle.pop()
                if self.idle:
                    self.idle.pop().send_request(intended_start)
                else:
                    self.overdue.append(intended_start)
        else:
            await asyncio.sleep(self.spec["seconds"])
        self.finished = True
        took = time.perf_counter() - started
        for _ in range(int((REQUEST_TIMEOUT + 1) * 100)):
            if not self.in_flight and not self.overdue:
                break
            if self.overdue and self.idle:
                self.idle.pop().send_request(self.overdue.popleft())
            await asyncio.sleep(0.01)
        tally = self.tally
        first_answer = min((answered_at for answered_at, _ in tally.answer_times), default=started)
        tenths: dict[int, int] = {}
        for answered_at, served in tally.answer_times:
            tenth = int((answered_at - started) * 10)
            tenths[tenth] = tenths.get(tenth, 0) + served
        return {
            "asked": tally.requests, "status": tally.status, "served": tally.served,
            "lost": tally.lost + len(self.to_resend),
            "resent": tally.resent, "late": tally.late,
            "unasked": len(self.overdue), "wrong": tally.wrong, "took": took, "began": started_unix,
            "first": first_answer - started, "tenths": tenths, "histogram": self.histogram.encode().decode(),
        }  # fmt: skip


async def main() -> None:
    print(json.dumps(await LoadGenerator(json.loads(sys.argv[1])).run()), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
