"""CPU cost of one request, by part: `opalgauge bench request`.

Each part is run by itself, in this process and without sockets, on the objects that serving uses. Then an
ingress of one core is loaded in a closed loop, and its CPU time is divided by the requests that it answered.
The parts leave out the event loop and the kernel's work, which the whole includes. The parts take turns in
each round, as the speed of a shared machine drifts; the median of the rounds is reported.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, cast

from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpRequestParser
from aiohttp.http_writer import StreamWriter

from opalgauge.lab.testbed import load_results, start_load_generators, testbed
from opalgauge.memory import effects, events
from opalgauge.memory.buffers import MAX_BUFFERED_BODY
from opalgauge.memory.reducer import Reducer
from opalgauge.memory.state import IngressConfig
from opalgauge.wire import quota_counter, server_codec
from opalgauge.wire.clients import RequestCatalog, parse_request
from opalgauge.wire.upstream import MAX_COUNTER_REPLY, ParseReply, UpstreamConnection
from starlinggap import Gateway, interface

START = datetime(2026, 12, 1, 6, 0, tzinfo=UTC)
REQUEST = (
    b"POST /place-order/1007/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\n"
    b"X-Tier: negoce\r\nCookie: customer=00000000000003ef\r\nX-Time-Left: 2.0\r\n"
    b"X-Call-Terms: units=1,spread=1,first=0\r\nContent-Length: 64\r\n\r\n" + b"x" * 64
)
REQUEST_RULES = RequestCatalog([("stock-check", True), ("place-order", False)], ["negoce"], 4.0, 1)
SETTINGS = interface.Settings(
    classes=(
        interface.RequestClass(0.4, 1.2, 2.0),
        interface.RequestClass(0.8, 3.0, 5.0, idempotency=interface.Idempotency.UNSAFE),
    ),
    plans=(interface.Plan(rate=1e5, burst=1e6),),
    max_units=4.0,
    use_counter=True,
    counter_timeout=0.08,
    max_attempts=4,
    allow_cancel=True,
)
SERVERS = tuple(
    events.ListedServer(f"127.0.0.1:{7000 + n}", interface.ServerEntry(n, interface.Health.READY))
    for n in range(1, 5)
)
COUNTER_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5"
SERVER_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class NullTransport(asyncio.Transport):
    """A transport that discards what is written to it."""

    def write(self, data: Any) -> None:
        pass

    def writelines(self, list_of_data: Any) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default


class ClientProtocol(BaseProtocol):
    """The part of a client connection that aiohttp's requests use."""

    ssl_context = peername = sockname = None


class SocketlessConnection(UpstreamConnection):
    """An upstream connection that is never checked for being stale, as it has no socket."""

    def _stale(self) -> bool:
        return False


def _sample_request() -> events.HttpRequest:
    return events.HttpRequest("POST", "/place-order/1007/1", "9b1f03aa5c7e2d41", (), b"x" * 64)


def _http_in(loop: asyncio.AbstractEventLoop) -> Callable[[int], None]:
    protocol = ClientProtocol(loop)

    def run(count: int) -> None:
        for number in range(count):
            parser = HttpRequestParser(protocol, loop, 2**16, max_line_size=8190, max_field_size=8190)
            ((message, payload),) = parser.feed_data(REQUEST)[0]
            request = web.BaseRequest(
                message, payload, cast(Any, protocol), cast(Any, None), cast(Any, None), loop,
            )  # fmt: skip
            parse_request(request, number, 1, payload.read_nowait(-1), REQUEST_RULES)

    return run


def _http_out(loop: asyncio.AbstractEventLoop) -> Callable[[int], None]:
    protocol = ClientProtocol(loop)
    protocol.transport = NullTransport()
    parser = HttpRequestParser(protocol, loop, 2**16, max_line_size=8190, max_field_size=8190)
    ((message, payload),) = parser.feed_data(REQUEST)[0]

    async def answers(count: int) -> None:
        for _ in range(count):
            request = web.BaseRequest(
                message, payload, cast(Any, protocol), StreamWriter(protocol, loop), cast(Any, None), loop
            )
            response = web.Response(status=200, body=b"done")
            response.headers["Content-Type"] = "application/octet-stream"
            await response.prepare(request)
            await response.write_eof()

    return lambda count: loop.run_until_complete(answers(count))


def _upstream_exchange(
    loop: asyncio.AbstractEventLoop,
    parse_reply: ParseReply,
    max_body: int,
    encode: Callable[[int], bytes],
    answer: bytes,
) -> Callable[[int], None]:
    """Writes a request and parses its answer, over one connection that is kept."""
    connection = SocketlessConnection(1, loop, lambda _: None, parse_reply, max_body)
    connection.connection_made(NullTransport())

    def run(count: int) -> None:
        for number in range(count):
            connection.send(encode(number))
            connection.data_received(answer)

    return run


class ReducerDriver:
    """Drives a reducer through whole requests; the counter and the servers answer at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.now, self.number = START, 0
        self.reducer = Reducer(
            IngressConfig(
                SETTINGS, 5, "127.0.0.1:6400", "", 0, SERVERS, timedelta(milliseconds=100),
                timedelta(seconds=9), timedelta(milliseconds=80), 400, 400, 400, 133,
            )
        )  # fmt: skip
        self.reducer.start(self.now)

    def run(self, count: int) -> None:
        """Runs `count` requests."""
        step = self.reducer.step
        for _ in range(count):
            self.now += timedelta(microseconds=400)
            self.number += 1
            number = self.number
            if number == 1:
                step(events.ClientConnected(1), self.now)
            taken = events.RequestReceived(
                number, _sample_request(), 1, 0, 1007, timedelta(seconds=2), 1.0, 1, 0, False, 1,
            )  # fmt: skip
            pending = step(taken, self.now)
            while pending:
                following: list[effects.Effect] = []
                for effect in pending:
                    if isinstance(effect, effects.OpenConnection):
                        following += step(events.ConnectionOpened(effect.connection_id), self.now)
                    elif isinstance(effect, effects.CallCounter):
                        answer = events.CounterAnswered(
                            effect.connection_id, interface.End.OK, max(1.0, effect.amount), True
                        )
                        following += step(answer, self.now)
                    elif isinstance(effect, effects.SendAttempt):
                        following += step(
                            events.ServerAnswered(
                                effect.connection_id, interface.End.OK, True, b"done", "text/plain"
                            ),
                            self.now,
                        )
                pending = following


class GatewayDriver:
    """Drives a gateway alone through whole requests."""

    def __init__(self) -> None:
        self.now, self.number, self.total = 1e6, 0, 0.0
        self.gateway = Gateway(SETTINGS, 5)
        self.gateway.handle(
            self.now,
            [interface.ServerList(interface.ListKind.COMPLETE, tuple(server.entry for server in SERVERS))],
        )

    def run(self, count: int) -> None:
        """Runs `count` requests."""
        handle = self.gateway.handle
        for _ in range(count):
            self.now += 0.0004
            self.number += 1
            events_in: list[interface.Event] = [interface.Request(self.number, 1, 0, 1007, 1.9, 1.0, 1)]
            while events_in:
                actions, events_in = handle(self.now, events_in), []
                for action in actions:
                    if isinstance(action, interface.Count):
                        self.total += action.amount
                        events_in.append(
                            interface.CountOutcome(action.name, 0.001, interface.End.OK, self.total)
                        )
                    elif isinstance(action, interface.Send):
                        events_in.append(
                            interface.Outcome(self.number, 0, action.server, interface.End.OK, 0.005, True)
                        )


def measure_parts(rounds: int, count: int) -> dict[str, float]:
    """Returns CPU microseconds a request by part, the median of the rounds of `count` requests."""
    loop = asyncio.new_event_loop()
    ttl = timedelta(seconds=30)
    two_seconds = timedelta(seconds=2)
    benchmarks: dict[str, Callable[[int], None]] = {
        "http_in": _http_in(loop),
        "http_out": _http_out(loop),
        "counter": _upstream_exchange(
            loop, quota_counter.parse_total, MAX_COUNTER_REPLY,
            lambda n: quota_counter.encode_call(0x9E3779B97F4A7C15 ^ n, 1.0, ttl), COUNTER_ANSWER,
        ),
        "stock_node": _upstream_exchange(
            loop, server_codec.parse_attempt_reply, MAX_BUFFERED_BODY,
            lambda _: server_codec.encode_attempt(_sample_request(), two_seconds), SERVER_ANSWER,
        ),
        "reducer_and_decisions": ReducerDriver(loop).run,
        "decisions": GatewayDriver().run,
    }  # fmt: skip
    costs: dict[str, list[float]] = {name: [] for name in benchmarks}
    for _ in range(rounds):
        for name, run in benchmarks.items():
            run(count // 10)
            started = time.process_time()
            run(count)
            costs[name].append((time.process_time() - started) / count * 1e6)
    loop.close()
    return {name: round(statistics.median(cpu_times), 1) for name, cpu_times in costs.items()}


def measure_whole(seconds: float) -> tuple[float, float]:
    """Returns CPU microseconds a request, and requests a second, of one core in a closed loop."""
    spec = {
        "seconds": 1.0, "connections": 32, "rate": 0, "seed": 1, "tag": "r",
        "accounts": [[1000 + n, "negoce", 1, 1.0] for n in range(200)],
    }  # fmt: skip
    with testbed(1) as bed:
        spec["address"] = bed.address
        load_results(start_load_generators([spec]), 30)
        cpu_before = bed.resource_usage()[0]
        (report,) = load_results(
            start_load_generators([{**spec, "seconds": seconds, "tag": "s"}]), seconds + 30
        )
        cpu_seconds = bed.resource_usage()[0] - cpu_before
        bed.close()
    answered = sum(report["status"].values())
    return cpu_seconds / answered * 1e6, answered / report["took"]


def bench(rounds: int, seconds: float, echo: Callable[[str], None]) -> dict[str, Any]:
    """Runs the whole benchmark; returns the JSON that `opalgauge bench request` writes."""
    part_costs = measure_parts(rounds, 4000)
    for name, cost in part_costs.items():
        echo(f"{name:>22} {cost:>7.1f} us")
    whole_runs = [measure_whole(seconds) for _ in range(rounds)]
    cpu = statistics.median(run[0] for run in whole_runs)
    throughput = statistics.median(run[1] for run in whole_runs)
    echo(f"{'whole, on loopback':>22} {cpu:>7.1f} us of CPU, {throughput:.0f} requests a second")
    return {
        "parts_us": part_costs, "cpu_us_per_request": round(cpu, 1), "requests_per_s": round(throughput),
        "cpu_us_rounds": [round(run[0], 1) for run in whole_runs], "rounds": rounds,
    }  # fmt: skip
