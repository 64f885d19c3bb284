"""A fleet of ingresses, each a process of its own, between stand-ins and a fault proxy, all on loopback.

One scene: zones of stock nodes with capacities, a quota counter, clients that ask by a seeded plan, and a
schedule of faults on every path between the processes. What is counted is counted from outside.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from opalgauge.lab.fault_proxy import Proxy, Schedule
from opalgauge.lab.ports import free_ports
from opalgauge.lab.quotas import Customer, Load, Tariff, Verdict
from opalgauge.lab.server_model import Model, Node
from opalgauge.lab.stand_ins import Counter, Http

SLACK = 0.5  # s: an answer so long after its client's time is lost
KINDS = (("view", "GET", 0.5, 1.0), ("order", "POST", 0.3, 5.0), ("add", "POST", 0.2, 2.0))  # share, worth
AIM, DEADLINE = 1.2, 4.0
MOST_UNITS = 2  # of one request


@dataclass(frozen=True, slots=True)
class Plan:
    """A scene's size and load. `rate`: requests a second, of the whole fleet."""

    ingresses: int = 5
    zones: int = 3
    nodes: int = 3  # in each zone
    rate: float = 80.0
    seconds: float = 20.0
    seed: int = 4711
    leave: str = "on"  # the directive zone-leave
    schedule: str = ""
    cold: float = 8.0
    work: float = 0.06
    returns: tuple[float, str] | None = None  # when the nodes of a zone start anew, cold
    slows: tuple[float, float, str, float] | None = None  # from, until, a zone, how many times slower
    restarts: tuple[tuple[float, int], ...] = ()  # when an ingress is killed and started anew
    peers: bool = True
    # Quotas: where there are tariffs, their accounts ask by `opalgauge.lab.quotas`, and `rate` says nothing.
    tariffs: tuple[Tariff, ...] = ()
    leases: str = "off"  # the directive
    replicate: bool = False
    orders: tuple[tuple[float, int, str], ...] = ()  # when, at which ingress, what its operators say
    garbage: tuple[tuple[float, int, int], ...] = ()  # when, to which ingress, how many datagrams of no sense
    skews: tuple[float, ...] = ()  # seconds that the ingresses' clocks are off
    sample: float = 0.0  # seconds between looks at all figures; 0: none but those asked for
    shift: float = 6.0
    counter_work: float = 0.0  # seconds a call takes the counter
    counter_slow: tuple[float, float, float] = (0.0, 0.0, 1.0)  # from, until, how many times slower


@dataclass
class Result:
    """What clients and nodes saw. Times from the beginning of the load."""

    asked: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    doubled: int = 0
    worth: float = 0.0  # answered within the aim, of what was asked
    overload: dict[str, float] = field(default_factory=dict)  # by zone, of its worst node from its return on
    figures: list[tuple[float, list[dict[str, str]]]] = field(default_factory=list)  # of all ingresses, when
    ends: list[tuple[float, str]] = field(default_factory=list)  # when asked, and how it ended
    logs: list[list[str]] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)  # of tries at accounts with quotas, in their times
    counter_calls: int = 0
    samples: list[tuple[float, list[dict[str, str]]]] = field(default_factory=list)
    at_ready: list[tuple[float, int, dict[str, str]]] = field(default_factory=list)  # of who was restarted
    answers: list[str] = field(default_factory=list)  # to what staff said


def zone_name(number: int) -> str:
    return f"hall-{'abcdefgh'[number]}"


class Fleet:
    """The processes of a scene and the stand-ins round them."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.loop = asyncio.get_running_loop()
        self.proxy = Proxy(Schedule(plan.schedule), plan.seed)
        self.ran: dict[str, int] = {}
        self.first: dict[str, float] = {}
        self.nodes: list[tuple[int, Node]] = []
        self.counter = Counter(plan.counter_work)
        self.counter_server: Any = None
        self.settings: list[Path] = []
        self.admin_ports: list[int] = []
        self.addresses: list[int] = []
        self.listens: list[int] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.logs: list[list[str]] = [[] for _ in range(plan.ingresses)]
        self.readers: list[asyncio.Task[None]] = []
        self.down: set[int] = set()
        self.killed: dict[int, float] = {}  # when, by the loop's clock

    async def start(self) -> None:
        plan = self.plan
        node_lines = []
        for zone in range(plan.zones):
            for n in range(plan.nodes):
                name = f"s-{zone}{n}"
                node = Node(name, Model(work=plan.work, cold=plan.cold), self.ran, self.first)
                await node.start()
                self.nodes.append((zone, node))
                path = await self.proxy.stream(f"{zone_name(zone)}.{name}", node.address)
                node_lines.append(f"stock-node {name} {path} site={zone_name(zone)}")
        self.counter_server = await self.loop.create_server(lambda: Http(self.counter.take), "127.0.0.1", 0)
        quota = f"127.0.0.1:{self.counter_server.sockets[0].getsockname()[1]}"
        ports = free_ports(3 * plan.ingresses)
        self.addresses, self.admin_ports = ports[: plan.ingresses], ports[plan.ingresses : 2 * plan.ingresses]
        self.listens = listens = ports[2 * plan.ingresses :]
        for me in range(plan.ingresses):
            peers = []
            for other in range(plan.ingresses) if plan.peers else ():
                if other != me:
                    where = await self.proxy.datagram(f"peers.{me}.{other}", f"127.0.0.1:{listens[other]}")
                    peers.append(f"peer {other} {where}")
            file = self.folder / f"n{me}.conf"
            mine = await self.proxy.stream(f"counter.{me}", quota)
            file.write_text("\n".join([
                f"name n{me}", f"listen 127.0.0.1:{self.addresses[me]}",
                f"console 127.0.0.1:{self.admin_ports[me]}", f"counter {mine}",
                f"ingresses {plan.ingresses}", f"number {me}", f"seed {plan.seed + me:x}",
                "sites " + " ".join(zone_name(z) for z in range(plan.zones)),
                f"site {zone_name(me % plan.zones)}", *node_lines, *peers,
                f"peer-listen 127.0.0.1:{listens[me]}", "peer-secret loopback", f"zone-leave {plan.leave}",
                f"leases {plan.leases}", f"replicate {'on' if plan.replicate else 'off'}",
                f"kind view repeat=safe aim={AIM}s deadline={DEADLINE}s worth=1",
                f"kind order repeat=keyed window=3s among=site aim={AIM}s deadline={DEADLINE}s worth=5",
                f"kind add repeat=never aim={AIM}s deadline={DEADLINE}s worth=2",
                "tariff one rate=1000/s burst=5000", f"most-units {MOST_UNITS}", "tries 4",
                "counter-timeout 50ms",
                *(f"tariff {t.name} rate={t.rate:g}/s burst={t.burst:g}" for t in plan.tariffs),
                f"cold {plan.cold}s", "cold-from 0.21", "fall 3s", "fall-multiple 4", "",
            ]))  # fmt: skip
            self.settings.append(file)
        self.processes = [None] * plan.ingresses  # type: ignore[list-item]
        await asyncio.gather(*(self.launch(me) for me in range(plan.ingresses)))

    async def launch(self, me: int) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        skews = self.plan.skews
        program = ["opalgauge.lab.skewed_clock", str(skews[me])] if skews else ["opalgauge.cli.main"]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *program, "serve", "--settings", str(self.settings[me]),
            env=env, stderr=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self.processes[me] = process
        assert process.stderr is not None
        while b"ready:" not in (line := await asyncio.wait_for(process.stderr.readline(), 60)):
            if not line:
                raise RuntimeError(f"ingress {me} did not start: {self.logs[me][-3:]}")
            self.logs[me].append(line.decode().rstrip())
        self.readers.append(asyncio.ensure_future(self._read(me, process.stderr)))
        self.down.discard(me)

    async def _read(self, me: int, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.logs[me].append(line.decode().rstrip())

    async def kill(self, me: int) -> None:
        self.down.add(me)
        self.processes[me].kill()
        await self.processes[me].wait()

    async def say(self, me: int, what: str) -> str:
        """What one ingress's admin endpoint answers; empty where it does not within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_ports[me])
                writer.write(f"{what}\n".encode())
                told = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return told

    async def stats(self, me: int) -> dict[str, str]:
        """The figures of one ingress."""
        told = await self.say(me, "stats")
        return dict(row.split("=", 1) for row in told.splitlines() if "=" in row)

    def babble(self, me: int, count: int, chance: random.Random) -> None:
        """Datagrams that no ingress would send, to one ingress."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for n in range(count):
                start = (b"\x5a\x01", b"\x5a\x11", b"\x5a\x21", b"")[n % 4]
                data = start + chance.randbytes(chance.randrange(1, 200))
                sock.sendto(data, ("127.0.0.1", self.listens[me]))

    async def close(self) -> None:
        for process in self.processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in self.readers:
            task.cancel()
        await self.proxy.close()
        for _, node in self.nodes:
            node.close()
        if self.counter_server is not None:
            self.counter_server.close()


@contextlib.asynccontextmanager
async def fleet(plan: Plan) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        made = Fleet(plan, Path(folder))
        try:
            await made.start()
            yield made
        finally:
            await made.close()


class Clients:
    """Asks by a seeded plan; keeps connections to each ingress and hears each answer."""

    def __init__(self, made: Fleet, result: Result) -> None:
        self.fleet, self.result = made, result
        self.kept: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.loop = asyncio.get_running_loop()
        self.asked_worth = 0.0
        self.unsafe: set[str] = set()

    async def ask(self, me: int, number: int, kind: int, whose: Customer | int, units: int = 1) -> None:
        """`whose`: an account with a quota, or any other by its number."""
        name, method, _, worth = KINDS[kind]
        if isinstance(whose, Customer):
            account, tier, first = whose.number, whose.tariff.name, whose.first
            spread = len(whose.members(self.fleet.plan.ingresses))
        else:
            account, tier, first, spread = whose, "one", 0, self.fleet.plan.ingresses
        result, begun = self.result, self.loop.time()
        ident = f"{self.fleet.plan.seed:x}-{number}"
        key = f"Idempotency-Key: {ident}\r\n" if name == "order" else ""
        if name == "add":
            self.unsafe.add(ident)
        head = (
            f"{method} /{name}/{account} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {ident}\r\n"
            f"X-Tier: {tier}\r\nCookie: customer={account:016x}\r\nX-Time-Left: {DEADLINE:.3f}\r\n"
            f"X-Call-Terms: units={units},spread={spread},first={first}\r\n{key}"
            + ("Content-Length: 0\r\n" if method == "POST" else "")
            + "\r\n"
        ).encode()
        result.asked += 1
        self.asked_worth += worth
        at = begun - (self.fleet.proxy.began or begun)
        end = "lost"
        try:
            async with asyncio.timeout(DEADLINE + SLACK):
                end = await self._exchange(me, head)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if me in self.fleet.down or begun <= self.fleet.killed.get(me, -1.0):
                end = "killed"  # what a process held that was killed is no loss of a running one
        if end == "served" and self.loop.time() - begun > AIM:
            end = "late"
        if end != "killed":
            setattr(result, end, getattr(result, end) + 1)
        if isinstance(whose, Customer) and (ident in self.fleet.first or end == "refused"):
            sent = ident in self.fleet.first
            when = self.fleet.first[ident] if sent else self.loop.time()
            result.verdicts.append(Verdict(when - (self.fleet.proxy.began or 0.0), account, units, sent, me))
        result.worth += worth * (end == "served")
        result.ends.append((at, end))

    async def _exchange(self, me: int, head: bytes) -> str:
        kept = self.kept.setdefault(me, [])
        for fresh in (False, True):
            reader, writer = (
                kept.pop()
                if kept and not fresh
                else await asyncio.open_connection("127.0.0.1", self.fleet.addresses[me])
            )
            writer.write(head)
            try:
                answer = await reader.readuntil(b"\r\n\r\n")
            except (ConnectionError, asyncio.IncompleteReadError):
                writer.close()
                if fresh:
                    raise
                kept.clear()  # a close that crossed the request, as any client may meet
                continue
            lower = answer.lower()
            at = lower.find(b"content-length:")
            if at >= 0:
                await reader.readexactly(int(lower[at + 15 :].split(b"\r\n", 1)[0]))
            if b"connection: close" in lower:
                writer.close()
            else:
                kept.append((reader, writer))
            status = int(answer.split(b" ", 2)[1])
            return "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        raise ConnectionError("closed twice")

    def close(self) -> None:
        for pairs in self.kept.values():
            for _, writer in pairs:
                writer.close()


def _requests(plan: Plan, chance: random.Random) -> Iterator[tuple[float, int, Customer | int, int]]:
    """When, at which ingress, whose, and units."""
    if plan.tariffs:
        load = Load(plan.tariffs, plan.ingresses, plan.seed, plan.shift)
        for at, place, units, me in load.requests(plan.seconds):
            yield at, me, load.customers[place], units
        return
    at = chance.expovariate(plan.rate)
    while at <= plan.seconds:
        yield at, chance.randrange(plan.ingresses), chance.randrange(1, 200), 1
        at += chance.expovariate(plan.rate)


async def play(plan: Plan, looks: Sequence[float] = ()) -> Result:
    """Plays a scene. `looks`: when the figures are read, in seconds from its beginning."""
    result = Result()
    async with fleet(plan) as made:
        clients, chance = Clients(made, result), random.Random(plan.seed)
        tasks: list[asyncio.Task[Any]] = []
        loop = asyncio.get_running_loop()
        made.proxy.begin()
        began = loop.time()

        async def look(when: float) -> None:
            await asyncio.sleep(max(0.0, began + when - loop.time()))
            told = await asyncio.gather(*(made.stats(me) for me in range(plan.ingresses)))
            result.figures.append((when, list(told)))

        async def restart(when: float, me: int) -> None:
            await asyncio.sleep(max(0.0, began + when - loop.time()))
            await made.kill(me)
            made.killed[me] = loop.time()
            await made.launch(me)
            result.at_ready.append((loop.time() - began, me, await made.stats(me)))

        async def order(when: float, me: int, what: str) -> None:
            await asyncio.sleep(max(0.0, began + when - loop.time()))
            result.answers.append((await made.say(me, what)).strip())

        async def samples() -> None:
            while loop.time() < began + plan.seconds:
                when = loop.time() - began
                told = await asyncio.gather(*(made.stats(me) for me in range(plan.ingresses)))
                result.samples.append((when, list(told)))
                await asyncio.sleep(plan.sample)

        def anew(zone: str) -> None:
            for number, node in made.nodes:
                if zone_name(number) == zone:
                    node.model.restart(loop.time())

        def slow(zone: str, times: float) -> None:
            for number, node in made.nodes:
                if zone_name(number) == zone:
                    node.model.slow = times

        tasks += [loop.create_task(look(when)) for when in looks]
        tasks += [loop.create_task(restart(when, me)) for when, me in plan.restarts]
        tasks += [loop.create_task(order(*one)) for one in plan.orders]
        for when, me, count in plan.garbage:
            loop.call_at(began + when, made.babble, me, count, random.Random(plan.seed))
        if plan.sample:
            tasks.append(loop.create_task(samples()))
        if plan.returns:
            loop.call_at(began + plan.returns[0], anew, plan.returns[1])
        if plan.slows:
            loop.call_at(began + plan.slows[0], slow, plan.slows[2], plan.slows[3])
            loop.call_at(began + plan.slows[1], slow, plan.slows[2], 1.0)
        if plan.counter_slow[2] != 1.0:
            work, (begin, end, times) = plan.counter_work, plan.counter_slow
            loop.call_at(began + begin, setattr, made.counter, "work", work * times)
            loop.call_at(began + end, setattr, made.counter, "work", work)
        for number, (at, me, whose, units) in enumerate(_requests(plan, chance), 1):
            await asyncio.sleep(max(0.0, began + at - loop.time()))
            kind = chance.random()
            which = 0 if kind < KINDS[0][2] else 1 if kind < KINDS[0][2] + KINDS[1][2] else 2
            if me in made.down:  # another one of the account's
                everybody = list(range(plan.ingresses))
                others = whose.members(plan.ingresses) if isinstance(whose, Customer) else everybody
                me = next((k for k in others if k not in made.down), me)
            tasks.append(loop.create_task(clients.ask(me, number, which, whose, units)))
        await asyncio.gather(*tasks)
        result.counter_calls = made.counter.calls
        clients.close()
        result.worth /= max(1.0, clients.asked_worth)
        result.doubled = sum(made.ran.get(ident, 0) > 1 for ident in clients.unsafe)
        since = began + plan.returns[0] if plan.returns else began
        for number_, node in made.nodes:
            name = zone_name(number_)
            result.overload[name] = max(result.overload.get(name, 0.0), node.model.overload(since))
        result.logs = made.logs
    return result
