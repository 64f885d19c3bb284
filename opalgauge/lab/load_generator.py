"""Loads an ingress with requests, in an open or a closed loop; a process of its own.

`python -m opalgauge.lab.load_generator SPEC` takes a JSON object: `address`, `seconds`, `connections`,
`rate` (requests a second, at seeded times; 0: closed loop), `accounts` (a list of [number, plan, units,
weight]), `seed`, `tag` (a prefix of the request ids).

Latency is measured from the intended start of a request, so that waiting for a free connection counts too
(no coordinated omission). Prints one JSON object, which has counts by status, `lost` (no complete answer),
`late` (answered after the timeout), `wrong` (an answer that no server gave) and the latencies as an encoded
HdrHistogram in microseconds.
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

REQUEST_TIMEOUT = 2.0  # s
TIMEOUT_TOLERANCE = 0.05  # s after the timeout that the platform still counts as in time
MAX_LATENCY_US = 60_000_000


@dataclass
class Tally:
    """Counts of requests and answers."""

    status: dict[str, int] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    requests: int = 0
    lost: int = 0
    resent: int = 0  # sent again, as the connection ended before any answer
    late: int = 0
    wrong: int = 0
    answer_times: list[tuple[float, int]] = field(default_factory=list)  # with 1 for status 200, else 0


class Connection(asyncio.Protocol):
    """A client connection with one request at a time; a new one replaces it when it ends."""

    def __init__(self, generator: LoadGenerator) -> None:
        self.generator, self.buffer = generator, b""
        self.transport: Any = None
        self.pending: tuple[float, float, str] | None = None  # intended start, sent at, account
        self.request_data, self.is_retry = b"", False  # of the pending request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.generator.on_idle(self)

    def send_request(self, intended_start: float) -> None:
        """Sends the next request, which should have started at `intended_start`."""
        self.request_data, account = self.generator.next_request()
        self.pending, self.is_retry = (intended_start, time.perf_counter(), account), False
        self.transport.write(self.request_data)

    def resend_request(self, data: bytes, pending: tuple[float, float, str]) -> None:
        """Sends a request again whose first connection ended without an answer."""
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
            self.generator.tally.wrong += 1  # an answer without a request
            return
        self.generator.on_answer(head[9:12].decode(), body, pending, bool(self.buffer))
        if b"connection: close" in head:
            self.transport.close()
        else:
            self.generator.on_idle(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.pending is not None and not self.is_retry and not self.buffer:
            # The ingress may close an idle connection just as a request is sent on it. The platform's clients
            # send that request once more; if it had been forwarded, the servers see its id twice.
            self.generator.to_resend.append((self.request_data, self.pending))
            self.generator.tally.resent += 1
        elif self.pending is not None:
            self.generator.tally.lost += 1
        self.pending = None
        self.generator.on_lost(self)


class LoadGenerator:
    """Sends the requests of one spec and tallies the answers."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(spec["seed"])
        self.tally = Tally()
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.idle: list[Connection] = []
        self.to_resend: deque[tuple[bytes, tuple[float, float, str]]] = deque()
        self.overdue: deque[float] = deque()  # intended starts of requests without a free connection
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
        """Returns the bytes of a new request and its account."""
        self.request_number += 1
        before_id, after_id, account = self.request_parts[self.account_sequence[self.request_number % 8192]]
        self.tally.requests += 1
        self.in_flight += 1
        return before_id + f"{self.spec['tag']}{self.request_number:x}\r\n".encode() + after_id, account

    def on_answer(self, status: str, body: bytes, request: tuple[float, float, str], surplus: bool) -> None:
        """Tallies an answer. `surplus`: more bytes than the answer has came with it."""
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
        """Gives a free connection its next request, if there is one."""
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
        """Replaces a connection that ended, while there is something left to send."""
        if connection in self.idle:
            self.idle.remove(connection)
        if not self.finished or self.to_resend:
            self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Opens a connection; tries again after 50 ms if that fails."""
        host, _, port = self.spec["address"].rpartition(":")
        try:
            await self.loop.create_connection(lambda: Connection(self), host, int(port))
        except OSError:
            self.loop.call_later(0.05, lambda: self.finished or self.loop.create_task(self.connect()))

    async def run(self) -> dict[str, Any]:
        """Sends requests for the spec's time, waits for their answers, and returns the report."""
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
    """Runs the spec given on the command line and prints the report."""
    print(json.dumps(await LoadGenerator(json.loads(sys.argv[1])).run()), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
