"""Runs a fleet of ingresses, each a process, with stand-ins and a fault proxy on loopback.

A scenario has zones of servers with capacities, a quota counter, clients with seeded requests, and a schedule
of faults on every path between the processes. Clients and servers do the counting, not the ingresses.
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

from opalgauge.lab.fault_proxy import FaultProxy, Schedule
from opalgauge.lab.ports import free_ports
from opalgauge.lab.quotas import Account, AccountLoad, AccountPlan, QuotaDecision
from opalgauge.lab.server_model import ModelledServer, ServerModel
from opalgauge.lab.stand_ins import HttpConnection, StandInCounter

DEADLINE_SLACK = 0.5  # s after the deadline until a missing answer counts as lost
# Name, method, share of the requests, worth.
REQUEST_CLASSES = (("view", "GET", 0.5, 1.0), ("order", "POST", 0.3, 5.0), ("add", "POST", 0.2, 2.0))
AIM, DEADLINE = 1.2, 4.0  # s, of each class
MAX_UNITS = 2  # of one request


@dataclass(frozen=True, slots=True)
class Scenario:
    """Size, load and faults. Times are in seconds; those of events count from the start of the load.

    `rate` is in requests a second of the whole fleet. With `plans` it is not used: their accounts send
    requests as `opalgauge.lab.quotas` draws them.
    """

    ingresses: int = 5
    zones: int = 3
    servers_per_zone: int = 3
    rate: float = 80.0
    seconds: float = 20.0
    seed: int = 4711
    zone_leave: str = "on"  # directive zone-leave: on, off or watch
    schedule: str = ""  # of the fault proxy
    warm_up: float = 8.0
    mean_work: float = 0.06  # of a server for a request
    zone_restart: tuple[float, str] | None = None  # time and zone: its servers restart, cold
    zone_slowdown: tuple[float, float, str, float] | None = None  # from, until, zone, factor
    ingress_restarts: tuple[tuple[float, int], ...] = ()  # time and ingress: killed and started again
    peering: bool = True  # False: no ingress knows its peers
    plans: tuple[AccountPlan, ...] = ()
    leases: str = "off"  # directive leases
    replicate: bool = False
    admin_commands: tuple[tuple[float, int, str], ...] = ()  # time, ingress, command
    # Time, ingress, number of datagrams that no peer would send.
    garbage_datagrams: tuple[tuple[float, int, int], ...] = ()
    clock_skews: tuple[float, ...] = ()  # by ingress
    sample_interval: float = 0.0  # of the stats of all ingresses; 0: no samples
    shift_interval: float = 6.0  # see AccountLoad
    counter_work: float = 0.0  # of the counter for a call
    counter_slowdown: tuple[float, float, float] = (0.0, 0.0, 1.0)  # from, until, factor


@dataclass
class Result:
    """What clients and servers counted, and the stats of the ingresses. Times as in the scenario."""

    requests: int = 0
    served: int = 0
    late: int = 0  # answered after the aim
    refused: int = 0  # status 429 or 503
    failed: int = 0  # any other status but 200
    lost: int = 0  # not answered
    duplicates: int = 0  # requests that may not be repeated and ran more than once
    worth_served: float = 0.0  # of answers within the aim, as a share of the worth requested
    # By zone: of its worst server, from the restart of a zone on.
    max_overload: dict[str, float] = field(default_factory=dict)
    stats: list[tuple[float, list[dict[str, str]]]] = field(default_factory=list)  # time, by ingress
    outcomes: list[tuple[float, str]] = field(default_factory=list)  # time sent, outcome
    logs: list[list[str]] = field(default_factory=list)
    # On requests of accounts with quotas.
    decisions: list[QuotaDecision] = field(default_factory=list)
    counter_calls: int = 0
    stats_samples: list[tuple[float, list[dict[str, str]]]] = field(default_factory=list)
    # Time, ingress and its stats after each restart.
    stats_at_ready: list[tuple[float, int, dict[str, str]]] = field(default_factory=list)
    admin_answers: list[str] = field(default_factory=list)  # to the admin commands


def zone_name(index: int) -> str:
    """Returns the name of a zone, hall-a for the first."""
    return f"hall-{'abcdefgh'[index]}"


class Fleet:
    """The ingresses of a scenario, each a process, and the stand-ins and proxies in this one."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.loop = asyncio.get_running_loop()
        self.proxy = FaultProxy(Schedule(scenario.schedule), scenario.seed)
        self.executions: dict[str, int] = {}
        self.first_attempts: dict[str, float] = {}
        self.servers: list[tuple[int, ModelledServer]] = []
        self.counter = StandInCounter(scenario.counter_work)
        self.counter_server: Any = None
        self.settings_files: list[Path] = []
        self.admin_ports: list[int] = []
        self.client_ports: list[int] = []
        self.peer_ports: list[int] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.logs: list[list[str]] = [[] for _ in range(scenario.ingresses)]
        self.log_readers: list[asyncio.Task[None]] = []
        self.down: set[int] = set()
        self.killed_at: dict[int, float] = {}  # by ingress, loop time

    async def start(self) -> None:
        """Starts servers, counter and proxies, writes the settings files and launches all ingresses."""
        scenario = self.scenario
        server_lines = []
        for zone in range(scenario.zones):
            for number in range(scenario.servers_per_zone):
                name = f"s-{zone}{number}"
                server = ModelledServer(
                    name,
                    ServerModel(mean_work=scenario.mean_work, warm_up=scenario.warm_up),
                    self.executions,
                    self.first_attempts,
                )
                await server.start()
                self.servers.append((zone, server))
                address = await self.proxy.add_stream_path(f"{zone_name(zone)}.{name}", server.address)
                server_lines.append(f"stock-node {name} {address} site={zone_name(zone)}")
        self.counter_server = await self.loop.create_server(
            lambda: HttpConnection(self.counter.handle), "127.0.0.1", 0
        )
        counter_address = f"127.0.0.1:{self.counter_server.sockets[0].getsockname()[1]}"
        ports = free_ports(3 * scenario.ingresses)
        self.client_ports, self.admin_ports = (
            ports[: scenario.ingresses],
            ports[scenario.ingresses : 2 * scenario.ingresses],
        )
        self.peer_ports = peer_ports = ports[2 * scenario.ingresses :]
        for ingress in range(scenario.ingresses):
            peer_lines = []
            for peer in range(scenario.ingresses) if scenario.peering else ():
                if peer != ingress:
                    peer_address = await self.proxy.add_datagram_path(
                        f"peers.{ingress}.{peer}", f"127.0.0.1:{peer_ports[peer]}"
                    )
                    peer_lines.append(f"peer {peer} {peer_address}")
            file = self.folder / f"n{ingress}.conf"
            counter_path = await self.proxy.add_stream_path(f"counter.{ingress}", counter_address)
            file.write_text("\n".join([
                f"name n{ingress}", f"listen 127.0.0.1:{self.client_ports[ingress]}",
                f"console 127.0.0.1:{self.admin_ports[ingress]}", f"counter {counter_path}",
                f"ingresses {scenario.ingresses}", f"number {ingress}", f"seed {scenario.seed + ingress:x}",
                "sites " + " ".join(zone_name(index) for index in range(scenario.zones)),
                f"site {zone_name(ingress % scenario.zones)}", *server_lines, *peer_lines,
                f"peer-listen 127.0.0.1:{peer_ports[ingress]}", "peer-secret loopback",
                f"zone-leave {scenario.zone_leave}",
                f"leases {scenario.leases}", f"replicate {'on' if scenario.replicate else 'off'}",
                f"kind view repeat=safe aim={AIM}s deadline={DEADLINE}s worth=1",
                f"kind order repeat=keyed window=3s among=site aim={AIM}s deadline={DEADLINE}s worth=5",
                f"kind add repeat=never aim={AIM}s deadline={DEADLINE}s worth=2",
                "tariff one rate=1000/s burst=5000", f"most-units {MAX_UNITS}", "tries 4",
                "counter-timeout 50ms",
                *(
                    f"tariff {plan.name} rate={plan.rate:g}/s burst={plan.burst:g}"
                    for plan in scenario.plans
                ),
                f"cold {scenario.warm_up}s", "cold-from 0.21", "fall 3s", "fall-multiple 4", "",
            ]))  # fmt: skip
            self.settings_files.append(file)
        self.processes = [None] * scenario.ingresses  # type: ignore[list-item]
        await asyncio.gather(*(self.launch(ingress) for ingress in range(scenario.ingresses)))

    async def launch(self, ingress: int) -> None:
        """Starts an ingress and waits until it is ready; raises RuntimeError if it exits before."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        clock_skews = self.scenario.clock_skews
        program = (
            ["opalgauge.lab.skewed_clock", str(clock_skews[ingress])]
            if clock_skews
            else ["opalgauge.cli.main"]
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *program, "serve", "--settings", str(self.settings_files[ingress]),
            env=env, stderr=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self.processes[ingress] = process
        assert process.stderr is not None
        while b"ready:" not in (line := await asyncio.wait_for(process.stderr.readline(), 60)):
            if not line:
                raise RuntimeError(f"ingress {ingress} did not start: {self.logs[ingress][-3:]}")
            self.logs[ingress].append(line.decode().rstrip())
        self.log_readers.append(asyncio.ensure_future(self._read(ingress, process.stderr)))
        self.down.discard(ingress)

    async def _read(self, ingress: int, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.logs[ingress].append(line.decode().rstrip())

    async def kill(self, ingress: int) -> None:
        """Kills an ingress and waits for its end."""
        self.down.add(ingress)
        self.processes[ingress].kill()
        await self.processes[ingress].wait()

    async def call_admin(self, ingress: int, command: str) -> str:
        """Returns the answer of an ingress's admin endpoint; empty if it takes longer than a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_ports[ingress])
                writer.write(f"{command}\n".encode())
                answer = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return answer

    async def stats(self, ingress: int) -> dict[str, str]:
        """Returns the stats of an ingress; empty if it does not answer."""
        answer = await self.call_admin(ingress, "stats")
        return dict(row.split("=", 1) for row in answer.splitlines() if "=" in row)

    def send_garbage(self, ingress: int, count: int, rng: random.Random) -> None:
        """Sends random datagrams, most with the start of a real message, to an ingress's peer port."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(count):
                prefix = (b"\x5a\x01", b"\x5a\x11", b"\x5a\x21", b"")[number % 4]
                data = prefix + rng.randbytes(rng.randrange(1, 200))
                sock.sendto(data, ("127.0.0.1", self.peer_ports[ingress]))

    async def close(self) -> None:
        """Kills the ingresses and closes proxies and stand-ins."""
        for process in self.processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in self.log_readers:
            task.cancel()
        await self.proxy.close()
        for _, server in self.servers:
            server.close()
        if self.counter_server is not None:
            self.counter_server.close()


@contextlib.asynccontextmanager
async def running_fleet(scenario: Scenario) -> AsyncIterator[Fleet]:
    """Starts a fleet with its files in a temporary folder, and closes it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(scenario, Path(folder))
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.close()


class Clients:
    """Sends requests over connections that are kept, and counts the outcomes."""

    def __init__(self, fleet: Fleet, result: Result) -> None:
        self.fleet, self.result = fleet, result
        self.idle_connections: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.loop = asyncio.get_running_loop()
        self.requested_worth = 0.0
        self.unsafe: set[str] = set()

    async def send_request(
        self, ingress: int, number: int, class_index: int, account: Account | int, units: int = 1
    ) -> None:
        """Sends one request and counts how it ends. `account`: an account with a plan, or just a number."""
        name, method, _, worth = REQUEST_CLASSES[class_index]
        if isinstance(account, Account):
            account_number, plan_name, first_ingress = (
                account.number,
                account.plan.name,
                account.first_ingress,
            )
            spread = len(account.member_ingresses(self.fleet.scenario.ingresses))
        else:
            account_number, plan_name, first_ingress, spread = (
                account,
                "one",
                0,
                self.fleet.scenario.ingresses,
            )
        result, started = self.result, self.loop.time()
        request_id = f"{self.fleet.scenario.seed:x}-{number}"
        key_header = f"Idempotency-Key: {request_id}\r\n" if name == "order" else ""
        if name == "add":
            self.unsafe.add(request_id)
        head = (
            f"{method} /{name}/{account_number} HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Correlation-Id: {request_id}\r\nX-Tier: {plan_name}\r\n"
            f"Cookie: customer={account_number:016x}\r\nX-Time-Left: {DEADLINE:.3f}\r\n"
            f"X-Call-Terms: units={units},spread={spread},first={first_ingress}\r\n{key_header}"
            + ("Content-Length: 0\r\n" if method == "POST" else "")
            + "\r\n"
        ).encode()
        result.requests += 1
        self.requested_worth += worth
        scenario_time = started - (self.fleet.proxy.started_at or started)
        outcome = "lost"
        try:
            async with asyncio.timeout(DEADLINE + DEADLINE_SLACK):
                outcome = await self._exchange(ingress, head)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if ingress in self.fleet.down or started <= self.fleet.killed_at.get(ingress, -1.0):
                outcome = "killed"  # a request lost with a killed process is not counted
        if outcome == "served" and self.loop.time() - started > AIM:
            outcome = "late"
        if outcome != "killed":
            setattr(result, outcome, getattr(result, outcome) + 1)
        if isinstance(account, Account) and (request_id in self.fleet.first_attempts or outcome == "refused"):
            sent = request_id in self.fleet.first_attempts
            decided_at = self.fleet.first_attempts[request_id] if sent else self.loop.time()
            result.decisions.append(
                QuotaDecision(
                    decided_at - (self.fleet.proxy.started_at or 0.0), account_number, units, sent, ingress
                )
            )
        result.worth_served += worth * (outcome == "served")
        result.outcomes.append((scenario_time, outcome))

    async def _exchange(self, ingress: int, head: bytes) -> str:
        idle = self.idle_connections.setdefault(ingress, [])
        for fresh in (False, True):
            reader, writer = (
                idle.pop()
                if idle and not fresh
                else await asyncio.open_connection("127.0.0.1", self.fleet.client_ports[ingress])
            )
            writer.write(head)
            try:
                answer = await reader.readuntil(b"\r\n\r\n")
            except (ConnectionError, asyncio.IncompleteReadError):
                writer.close()
                if fresh:
                    raise
                idle.clear()  # closed while the request was on its way: a client sends it again
                continue
            lower_head = answer.lower()
            length_at = lower_head.find(b"content-length:")
            if length_at >= 0:
                await reader.readexactly(int(lower_head[length_at + 15 :].split(b"\r\n", 1)[0]))
            if b"connection: close" in lower_head:
                writer.close()
            else:
                idle.append((reader, writer))
            status = int(answer.split(b" ", 2)[1])
            return "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        raise ConnectionError("closed twice")

    def close(self) -> None:
        """Closes the connections that are kept."""
        for pairs in self.idle_connections.values():
            for _, writer in pairs:
                writer.close()


def _requests(scenario: Scenario, rng: random.Random) -> Iterator[tuple[float, int, Account | int, int]]:
    """Yields time, ingress, account and units of each request."""
    if scenario.plans:
        load = AccountLoad(scenario.plans, scenario.ingresses, scenario.seed, scenario.shift_interval)
        for time, account_index, units, ingress in load.requests(scenario.seconds):
            yield time, ingress, load.accounts[account_index], units
        return
    time = rng.expovariate(scenario.rate)
    while time <= scenario.seconds:
        yield time, rng.randrange(scenario.ingresses), rng.randrange(1, 200), 1
        time += rng.expovariate(scenario.rate)


async def run_scenario(scenario: Scenario, stats_at: Sequence[float] = ()) -> Result:
    """Runs a scenario. `stats_at`: when the stats of all ingresses are read."""
    result = Result()
    async with running_fleet(scenario) as fleet:
        clients, rng = Clients(fleet, result), random.Random(scenario.seed)
        tasks: list[asyncio.Task[Any]] = []
        loop = asyncio.get_running_loop()
        fleet.proxy.start_schedule()
        started_at = loop.time()

        async def read_stats(when: float) -> None:
            await asyncio.sleep(max(0.0, started_at + when - loop.time()))
            rows = await asyncio.gather(*(fleet.stats(ingress) for ingress in range(scenario.ingresses)))
            result.stats.append((when, list(rows)))

        async def restart(when: float, ingress: int) -> None:
            await asyncio.sleep(max(0.0, started_at + when - loop.time()))
            await fleet.kill(ingress)
            fleet.killed_at[ingress] = loop.time()
            await fleet.launch(ingress)
            result.stats_at_ready.append((loop.time() - started_at, ingress, await fleet.stats(ingress)))

        async def send_admin_command(when: float, ingress: int, command: str) -> None:
            await asyncio.sleep(max(0.0, started_at + when - loop.time()))
            result.admin_answers.append((await fleet.call_admin(ingress, command)).strip())

        async def sample_stats() -> None:
            while loop.time() < started_at + scenario.seconds:
                when = loop.time() - started_at
                rows = await asyncio.gather(*(fleet.stats(ingress) for ingress in range(scenario.ingresses)))
                result.stats_samples.append((when, list(rows)))
                await asyncio.sleep(scenario.sample_interval)

        def restart_zone(zone: str) -> None:
            for zone_index, server in fleet.servers:
                if zone_name(zone_index) == zone:
                    server.model.restart(loop.time())

        def slow_zone(zone: str, factor: float) -> None:
            for zone_index, server in fleet.servers:
                if zone_name(zone_index) == zone:
                    server.model.slowdown = factor

        tasks += [loop.create_task(read_stats(when)) for when in stats_at]
        tasks += [loop.create_task(restart(when, ingress)) for when, ingress in scenario.ingress_restarts]
        tasks += [loop.create_task(send_admin_command(*command)) for command in scenario.admin_commands]
        for when, ingress, count in scenario.garbage_datagrams:
            loop.call_at(started_at + when, fleet.send_garbage, ingress, count, random.Random(scenario.seed))
        if scenario.sample_interval:
            tasks.append(loop.create_task(sample_stats()))
        if scenario.zone_restart:
            loop.call_at(started_at + scenario.zone_restart[0], restart_zone, scenario.zone_restart[1])
        if scenario.zone_slowdown:
            loop.call_at(
                started_at + scenario.zone_slowdown[0],
                slow_zone,
                scenario.zone_slowdown[2],
                scenario.zone_slowdown[3],
            )
            loop.call_at(started_at + scenario.zone_slowdown[1], slow_zone, scenario.zone_slowdown[2], 1.0)
        if scenario.counter_slowdown[2] != 1.0:
            service_time, (start, end, factor) = scenario.counter_work, scenario.counter_slowdown
            loop.call_at(started_at + start, setattr, fleet.counter, "work", service_time * factor)
            loop.call_at(started_at + end, setattr, fleet.counter, "work", service_time)
        for request_number, (request_time, ingress, account, units) in enumerate(_requests(scenario, rng), 1):
            await asyncio.sleep(max(0.0, started_at + request_time - loop.time()))
            draw = rng.random()
            class_index = (
                0
                if draw < REQUEST_CLASSES[0][2]
                else 1
                if draw < REQUEST_CLASSES[0][2] + REQUEST_CLASSES[1][2]
                else 2
            )
            if ingress in fleet.down:  # its clients go to another ingress of the account
                all_ingresses = list(range(scenario.ingresses))
                alternatives = (
                    account.member_ingresses(scenario.ingresses)
                    if isinstance(account, Account)
                    else all_ingresses
                )
                ingress = next((other for other in alternatives if other not in fleet.down), ingress)
            tasks.append(
                loop.create_task(clients.send_request(ingress, request_number, class_index, account, units))
            )
        await asyncio.gather(*tasks)
        result.counter_calls = fleet.counter.calls
        clients.close()
        result.worth_served /= max(1.0, clients.requested_worth)
        result.duplicates = sum(fleet.executions.get(request_id, 0) > 1 for request_id in clients.unsafe)
        since = started_at + scenario.zone_restart[0] if scenario.zone_restart else started_at
        for zone_index, server in fleet.servers:
            zone = zone_name(zone_index)
            result.max_overload[zone] = max(result.max_overload.get(zone, 0.0), server.model.overload(since))
        result.logs = fleet.logs
    return result
