"""A run: a deployment between its stand-ins, with at least two faults at any time."""

from __future__ import annotations

import asyncio
import errno
import math
import random
import signal
import tempfile
import time
from collections import Counter as Counts
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from tests.shim import Shim
from tests.soak.checker import Violation, check_records, ended_at_kill
from tests.soak.clients import Clients
from tests.soak.deployment import TRAFFIC_SECONDS, ZONES, Deployment, draw_deployment
from tests.soak.processes import Instance
from tests.soak.proxy import LOSSLESS_FAULTS, PathFault, Proxy
from tests.soak.records import End, Records, ServerRecord
from tests.soak.stand_ins import Counter, Discovery, KnownKeys, Server, ServerMode

CROWD_SIZE = 300  # idle connections to each instance, more than it accepts
# s between draws of faults; most last for two to three intervals, so that at least two overlap.
FAULT_INTERVAL = 1.2
WALL_CLOCK_OFFSETS = (3600, -3600, 5, 0)  # s
CLOCK_STEPS = (0, 0, 2, -2, 7, -7, 3600, -3600)  # s, of an instance's wall clock before a process starts
SWALLOWED_AT_START = (0, 0, 0, 1, 2, 4)  # requests for the list that the agent leaves open
DRAIN_AT_START_SHARE, MAX_DRAIN_DELAY = 0.3, 0.3  # share of the starts with a drain; s from the start to it
MAX_RELOADS, RELOAD_INTERVAL = 4, 0.05  # SIGHUPs in a row, and s between them
SIGNALS_AFTER_TERM = ((), (), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM))
ROUTING_DELAY = 0.3  # s for which a stopping process still gets new connections
LAG_SAMPLE_INTERVAL = 0.005  # s


@dataclass
class Outcome:
    """The result of a run."""

    seed: int
    requests: int
    ends: Counts[str]
    statuses: Counts[int]
    violations: list[Violation]
    lost_at_kill: int  # violations that fall together with the kill of a process
    processes: int
    injected_faults: int  # system call failures
    lag: float  # seconds, see `Records.lag`


class Run:
    """A deployment with its stand-ins, clients and faults."""

    def __init__(self, deployment: Deployment, folder: Path) -> None:
        self.deployment, self.folder = deployment, folder
        self.rng = random.Random(deployment.seed * 7 + 1)
        self.started_at = time.monotonic()
        self.records = Records(deployment.limits)
        self.servers: list[Server] = []
        self.keys = KnownKeys(deployment.classes)
        self.agents: list[Discovery] = []
        self.instances: list[Instance] = []
        self.clients: list[Clients] = []
        self.counter = Counter(self.now)
        self.shims: list[Shim] = []
        self.traffic_end = math.inf
        self.replacements: list[asyncio.Task[None]] = []

    def now(self) -> float:
        """Returns the seconds since the run began."""
        return time.monotonic() - self.started_at

    # --- set up ---
    async def _add_server(self, started: float) -> Server:
        number = len(self.servers) + 1
        record = ServerRecord(number, self.deployment.capacity, started)
        self.records.servers.append(record)
        server = Server(number, record, self.records.attempts, self.now, self.rng, self.keys)
        await server.open()
        await server.put_behind(Proxy(server.address, self.now, self.rng))
        self.servers.append(server)
        return server

    def _server_entry(self, server: Server, health: str = "in_service") -> dict[str, Any]:
        started_cold = server.record.started > -math.inf
        return {
            "host": f"s-{server.number}", "dial": server.address, "site": ZONES[server.number % len(ZONES)],
            "class": "std", "block": 0, "health": health, "share": 1.0,
            "born_ms": int(time.time() * 1000) if started_cold and health == "in_service" else 0,
        }  # fmt: skip

    async def _set_up(self) -> None:
        for _ in range(self.deployment.servers):
            await self._add_server(-math.inf)
        await self.counter.open()
        await self.counter.put_behind(Proxy(self.counter.address, self.now, self.rng))
        for number in range(self.deployment.instances):
            agent = Discovery(self.now, number)
            await agent.open()
            await agent.put_behind(Proxy(agent.address, self.now, self.rng))
            self.agents.append(agent)
            for server in self.servers:
                agent.set_entry(self._server_entry(server), server.record)
            instance = Instance(
                self.deployment, number, self.folder / f"n{number}", self.records.processes, self.now,
                self._prepare_start,
            )  # fmt: skip
            instance.folder.mkdir()
            self.shims.append(Shim(str(instance.folder), self.deployment.seed * 10 + number))
            agent.delivered_entries = {f"s-{s.number}": self._server_entry(s) for s in self.servers}
            agent.delivered_version = agent.version
            instance.configure(agent, self.counter.address)
            self.instances.append(instance)
            self.clients.append(
                Clients(self.deployment, number, instance.address, self.records.requests, self.now)
            )
        await asyncio.gather(*(instance.start_first() for instance in self.instances))

    def _prepare_start(self, number: int) -> dict[str, str]:
        """Draws what a new process of an instance meets; returns its environment."""
        shim, agent = self.shims[number], self.agents[number]
        if self.deployment.clock_steps:
            shim.inject("wall_clock", self.rng.choice(CLOCK_STEPS))
        if self.now() < self.traffic_end < math.inf:
            agent.swallowed_requests = self.rng.choice(SWALLOWED_AT_START)
            if self.rng.random() < DRAIN_AT_START_SHARE:
                delay = self.rng.uniform(0.0, MAX_DRAIN_DELAY)
                asyncio.get_running_loop().call_later(delay, self._start_replacement)
        return shim.environ if self.deployment.system_call_faults or self.deployment.clock_steps else {}

    def _start_replacement(self) -> None:
        self.replacements.append(asyncio.create_task(self._replace_server()))

    # --- faults ---
    async def _fail_servers(self) -> None:
        """A quarter of the servers fails in the same way for a while."""
        failing = self.rng.sample(self.servers, max(1, len(self.servers) // 4))
        mode = self.rng.choice(
            [
                ServerMode.HANG,
                ServerMode.HANG,
                ServerMode.RESET,
                ServerMode.SLOW,
                ServerMode.TRUNCATE,
                ServerMode.REJECT,
            ]
        )
        for server in failing:
            server.mode = mode
        await asyncio.sleep(FAULT_INTERVAL * self.rng.uniform(2, 3))
        for server in failing:
            server.mode = ServerMode.SERVE

    async def _fail_counter(self) -> None:
        failure = self.rng.choice(["silent", "busy"])
        setattr(self.counter, failure, True)
        await asyncio.sleep(FAULT_INTERVAL * self.rng.uniform(2, 3))
        setattr(self.counter, failure, False)

    async def _fail_discovery(self) -> None:
        agent = self.rng.choice(self.agents)
        agent.silent = True
        silent_since = self.now()
        await asyncio.sleep(FAULT_INTERVAL * self.rng.uniform(2, 3))
        agent.silent = False
        self._note_agent_trouble(agent.instance, silent_since)

    async def _fail_paths(self) -> None:
        """A part of the paths has a fault for a while; paths to discovery agents only a lossless one."""
        fault = self.rng.choice([path_fault for path_fault in PathFault if path_fault is not PathFault.NONE])
        stand_ins = [*self.rng.sample(self.servers, max(1, len(self.servers) // 3)), self.counter]
        if fault in LOSSLESS_FAULTS:
            stand_ins += self.agents
        proxies = [stand_in.proxy for stand_in in stand_ins if stand_in.proxy is not None]
        fault_since = self.now()
        for proxy in proxies:
            proxy.start_fault(fault)
        await asyncio.sleep(FAULT_INTERVAL * self.rng.uniform(2, 3))
        for proxy in proxies:
            proxy.end_fault()
        for agent in self.agents if fault in LOSSLESS_FAULTS else ():
            self._note_agent_trouble(agent.instance, fault_since)

    def _note_agent_trouble(self, instance: int, since: float) -> None:
        self.records.agent_troubles.setdefault(instance, []).append((since, self.now()))

    async def _break_connections(self) -> None:
        for _ in range(3):
            for stand_in in (*self.servers, self.counter, *self.agents):
                for connection in list(stand_in.connections):
                    if self.rng.random() < 0.2:
                        connection.abort()
            await asyncio.sleep(FAULT_INTERVAL)

    async def _fail_system_calls(self) -> None:
        if not self.deployment.system_call_faults:
            await self._break_connections()
            return
        faults = [
            ("accept", self.rng.choice([errno.EMFILE, errno.ECONNABORTED, errno.ENOBUFS]), 30),
            ("connect", self.rng.choice([errno.EADDRNOTAVAIL, errno.ENETUNREACH]), 10),
            ("short_read", 90, 20), ("short_write", 60, 20), ("delay_write", 70, 1),
            ("file_system", errno.ENOSPC, 50),
        ]  # fmt: skip
        offset, since = self.rng.choice(WALL_CLOCK_OFFSETS), self.now()
        for shim in self.shims:
            for fault, value, percent in faults:
                shim.inject(fault, value, percent)
            shim.inject("wall_clock", offset)
        await asyncio.sleep(FAULT_INTERVAL * self.rng.uniform(2, 3))
        for shim in self.shims:
            for fault, _, __ in faults:
                shim.stop(fault)
        for agent in self.agents:
            self._note_agent_trouble(agent.instance, since)

    async def _replace_server(self) -> None:
        """A server drains while a cold one joins."""
        leaving = self.rng.choice(self.servers)
        joining = await self._add_server(self.now())
        for agent in self.agents:
            agent.set_entry(self._server_entry(joining), joining.record)
            agent.set_entry(self._server_entry(leaving, "terminating"), leaving.record)

    async def _suspend_process(self) -> None:
        instance = self.rng.choice(self.instances)
        if instance.current is not None:
            await instance.current.suspend()

    async def _run_faults(self) -> None:
        """Draws faults until the traffic ends, so that at least two overlap at any time."""
        tasks = [asyncio.create_task(self._fail_servers())]
        fault_choices = [
            self._fail_servers, self._fail_servers, self._fail_counter, self._fail_discovery,
            self._break_connections, self._fail_system_calls, self._replace_server, self._suspend_process,
            self._fail_paths, self._fail_paths,
        ]  # fmt: skip
        while self.now() < self.traffic_end:
            tasks.append(asyncio.create_task(self._fail_servers()))
            tasks.append(asyncio.create_task(self.rng.choice(fault_choices)()))
            await asyncio.sleep(FAULT_INTERVAL)
        await asyncio.gather(*tasks)
        for server in self.servers:
            server.mode = ServerMode.SERVE

    async def _run_signals(self, instance: Instance, clients: Clients) -> None:
        """Reloads, upgrades or restarts one instance again and again until the traffic ends."""

        def stop_new_connections() -> None:
            """The load balancer in front learns after ROUTING_DELAY that all processes are stopping."""
            asyncio.get_running_loop().call_later(
                ROUTING_DELAY, setattr, clients, "receives_connections", False
            )

        while self.now() < self.traffic_end:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            draw = self.rng.random()
            if draw < 0.15 and instance.current is not None:
                for _ in range(self.rng.randint(1, MAX_RELOADS)):
                    instance.current.send_signal(signal.SIGHUP)
                    await asyncio.sleep(self.rng.uniform(0.0, RELOAD_INTERVAL))
            elif draw < 0.3 and instance.listener is None:
                await instance.crash()
            elif instance.listener is not None:
                if draw < 0.3:
                    await instance.failed_upgrade(self.rng.uniform(0.0, 0.6))
                elif draw < 0.5:
                    await instance.abandoned_upgrade(self.rng.uniform(0.0, 0.4), stop_new_connections)
                    clients.receives_connections = True
                else:
                    await instance.upgrade()
            else:
                stop_new_connections()
                await instance.restart(self.rng.choice(SIGNALS_AFTER_TERM))
                clients.receives_connections = True

    async def _measure_lag(self) -> None:
        """Records how late the event loop of the stand-ins is."""
        while True:
            sleep_began = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL)
            self.records.lag = max(self.records.lag, time.monotonic() - sleep_began - LAG_SAMPLE_INTERVAL)

    # --- run ---
    async def run(self) -> Outcome:
        """Runs the deployment and checks the records."""
        await self._set_up()
        self.traffic_end = self.now() + TRAFFIC_SECONDS
        lag = asyncio.create_task(self._measure_lag())
        if self.deployment.idle_crowd:
            await asyncio.gather(*(clients.open_idle_connections(CROWD_SIZE) for clients in self.clients))
        pairs = list(zip(self.instances, self.clients, strict=True))
        await asyncio.gather(
            self._run_faults(),
            *(clients.run(self.traffic_end) for clients in self.clients),
            *(self._run_signals(instance, clients) for instance, clients in pairs),
        )
        await asyncio.gather(*(clients.finish() for clients in self.clients), *self.replacements)
        lag.cancel()
        await asyncio.gather(*(instance.shut_down() for instance in self.instances))
        for stand_in in (*self.servers, self.counter, *self.agents):
            stand_in.close()
        return self._outcome()

    def _outcome(self) -> Outcome:
        records = self.records
        violations = check_records(records)
        injected_faults = sum(
            shim.injected_count(f)
            for shim in self.shims
            for f in ("accept", "connect", "short_read", "short_write", "file_system")
        )
        return Outcome(
            self.deployment.seed, len(records.requests),
            Counts(r.end.name if r.end else "OPEN" for r in records.requests),
            Counts(r.status for r in records.requests if r.end is End.ANSWERED),
            violations, sum(ended_at_kill(records, violation) for violation in violations),
            len(records.processes), injected_faults, records.lag,
        )  # fmt: skip


async def run_deployment(deployment: Deployment) -> Outcome:
    """Runs a deployment in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return await Run(deployment, Path(folder)).run()


def run_seed(seed: int, idle_crowd: bool | None = None, system_call_faults: bool | None = None) -> Outcome:
    """Runs a seed. `idle_crowd` and `system_call_faults` are drawn from it where they are None."""
    return uvloop.run(run_deployment(draw_deployment(seed, idle_crowd, system_call_faults)))
