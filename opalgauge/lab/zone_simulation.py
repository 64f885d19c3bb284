"""Simulates zones in virtual time: gateways with their zone watches, lossy messages, servers with capacities.

For fleets too large to run as processes on one machine. The gateways and the watches are those that serve.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from opalgauge.lab.server_model import ServerModel
from opalgauge.lab.simulation import TICK_INTERVAL, Simulation
from opalgauge.memory.effects import ReportAttempt
from opalgauge.zones import messages
from opalgauge.zones.watch import ChangeShare, SendMessage, ZoneConfig, ZoneWatch
from starlinggap import Gateway, interface

AIM, DEADLINE, CONNECT_FAILURE_TIME = 1.2, 4.0, 0.1


@dataclass(slots=True)
class Scenario:
    """Size, load and faults; times in seconds.

    `outage`: the first zone fails, and returns with cold servers.
    """

    ingresses: int = 50
    zones: int = 3
    servers_per_zone: int = 10
    rate: float = 300.0
    seconds: float = 20.0
    seed: int = 1
    work: float = 0.06
    warm_up: float = 8.0
    leave_zones: bool = True
    outage: tuple[float, float] = (3.0, 9.0)
    drop: float = 0.072
    delay: tuple[float, float] = (0.002, 0.017)
    stated_ingresses: int = 0  # number of ingresses in the settings; 0: the true one
    restarts: tuple[tuple[float, int], ...] = ()


@dataclass(slots=True)
class Result:
    """What a run measured. The zone is the one that fails."""

    requests: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    duplicates: int = 0
    unanswered: int = 0
    max_overload: float = 0.0  # of the worst server of the zone after its return
    first_failure: float | None = None
    last_attempt: float | None = None  # to the zone during the outage
    max_received_per_second: int = 0  # messages to one ingress
    max_message_size: int = 0
    left_at: list[float] = field(default_factory=list)  # when an ingress left the zone


class ZoneSimulation(Simulation):
    """Runs a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario.seed)
        self.scenario, self.result = scenario, Result()
        self.models = [
            ServerModel(mean_work=scenario.work, warm_up=scenario.warm_up)
            for _ in range(scenario.zones * scenario.servers_per_zone)
        ]
        self.entries = tuple(
            interface.ServerEntry(index + 1, interface.Health.READY, index // scenario.servers_per_zone)
            for index in range(len(self.models))
        )
        self.gateways: list[Gateway] = []
        self.watches: list[ZoneWatch] = []
        self.generations = [0] * scenario.ingresses
        self.received: list[dict[int, int]] = [{} for _ in range(scenario.ingresses)]
        self.attempts: dict[int, int] = {}
        self.pending: dict[int, tuple[float, interface.Request]] = {}
        self.in_flight: dict[
            tuple[int, int, int], tuple[int, int]
        ] = {}  # (ingress, request, attempt) -> (server, generation)
        for ingress in range(scenario.ingresses):
            self.gateways.append(self._make_gateway(ingress, 0))
            self.watches.append(self._make_watch(ingress))
            self._schedule(TICK_INTERVAL * self.rng.random(), self._tick, ingress, 0)
        self._schedule(self.rng.expovariate(scenario.rate), self._arrive, 1)
        for when, ingress in scenario.restarts:
            self._schedule(when, self._restart, ingress)
        self._schedule(scenario.outage[1], self._end_outage)

    def _make_gateway(self, ingress: int, generation: int) -> Gateway:
        settings = interface.Settings(
            classes=(
                interface.RequestClass(AIM, DEADLINE, 1.0),
                interface.RequestClass(AIM, DEADLINE, 2.0, idempotency=interface.Idempotency.UNSAFE),
            ),
            plans=(interface.Plan(),), gateways=self.scenario.ingresses, gateway_index=ingress,
            zone=ingress % self.scenario.zones, max_attempts=4, allow_cancel=True, allow_probes=True,
            slow_start_duration=self.scenario.warm_up, slow_start_share=0.21,
            collapse_time=3.0, collapse_ratio=4.0,
        )  # fmt: skip
        gateway = Gateway(settings, self.scenario.seed * 1000 + ingress + generation * 77)
        gateway.handle(self.now, [interface.ServerList(interface.ListKind.COMPLETE, self.entries)])
        return gateway

    def _make_watch(self, ingress: int) -> ZoneWatch:
        expected_times = (timedelta(seconds=self.scenario.work), timedelta(seconds=self.scenario.work))
        names = tuple(f"zone-{index}" for index in range(self.scenario.zones))
        cold = timedelta(seconds=self.scenario.warm_up)
        stated = self.scenario.stated_ingresses or self.scenario.ingresses
        config = ZoneConfig(names, stated, ingress, expected_times, cold, 0.21)
        watch = ZoneWatch(config, self._wall_clock(), int(self.now * 1000), self.scenario.seed + ingress)
        watch.update_servers(self.entries)
        return watch

    def run(self) -> Result:
        """Runs the scenario until its last requests are answered or past their deadline."""
        while self._run_next(self.scenario.seconds + DEADLINE + 1):
            pass
        self.result.unanswered = len(self.pending)
        returned = self.models[: self.scenario.servers_per_zone]
        self.result.max_overload = max(model.overload(self.scenario.outage[1]) for model in returned)
        return self.result

    # --- events ---------------------------------------------------------------------------------------------
    def _in_outage(self, server: int) -> bool:
        return (
            server <= self.scenario.servers_per_zone
            and self.scenario.outage[0] <= self.now < self.scenario.outage[1]
        )

    def _end_outage(self) -> None:
        for model in self.models[: self.scenario.servers_per_zone]:
            model.restart(self.now)

    def _arrive(self, number: int) -> None:
        if self.now > self.scenario.seconds:
            return
        ingress = self.rng.randrange(self.scenario.ingresses)
        request = interface.Request(number, int(self.rng.random() < 0.3), 0, number, DEADLINE)
        self.result.requests += 1
        self.pending[number] = self.now, request
        self._apply(ingress, self.gateways[ingress].handle(self.now, [request]))
        self._schedule(self.now + self.rng.expovariate(self.scenario.rate), self._arrive, number + 1)

    def _restart(self, ingress: int) -> None:
        """Restarts an ingress without its state; the requests that it held are not counted as unanswered."""
        self.generations[ingress] += 1
        for key in [key for key in self.in_flight if key[0] == ingress]:
            self.pending.pop(key[1], None)
            del self.in_flight[key]
        self.gateways[ingress] = self._make_gateway(ingress, self.generations[ingress])
        self.watches[ingress] = self._make_watch(ingress)
        self._schedule(self.now + TICK_INTERVAL, self._tick, ingress, self.generations[ingress])

    def _tick(self, ingress: int, generation: int) -> None:
        if generation != self.generations[ingress] or self.now > self.scenario.seconds + DEADLINE:
            return
        self._schedule(self.now + TICK_INTERVAL, self._tick, ingress, generation)
        for action in self.watches[ingress].tick(self._wall_clock()):
            if isinstance(action, SendMessage):
                data = messages.encode_message(action.message)
                self.result.max_message_size = max(self.result.max_message_size, len(data))
                for peer in action.peers:
                    if peer < self.scenario.ingresses and self.rng.random() >= self.scenario.drop:
                        wait = self.rng.uniform(*self.scenario.delay)
                        self._schedule(self.now + wait, self._receive, peer, data)
            elif isinstance(action, ChangeShare) and self.scenario.leave_zones:
                if action.zone == 0 and action.share == 0 and not action.trial_server:
                    self.result.left_at.append(self.now)
                if action.trial_server:
                    self._trial(ingress, action.trial_server)
                self._apply(
                    ingress,
                    self.gateways[ingress].handle(self.now, [interface.ZoneShare(action.zone, action.share)]),
                )
        self._apply(ingress, self.gateways[ingress].handle(self.now, []))

    def _receive(self, ingress: int, data: bytes) -> None:
        second = int(self.now)
        self.received[ingress][second] = self.received[ingress].get(second, 0) + 1
        self.result.max_received_per_second = max(
            self.result.max_received_per_second, self.received[ingress][second]
        )
        message = messages.decode_message(data)
        assert message is not None
        self.watches[ingress].handle_message(message, self._wall_clock())

    def _trial(self, ingress: int, server: int) -> None:
        watch, zone = self.watches[ingress], self.entries[server - 1].zone
        watch.record_attempt(ReportAttempt((0, server), server, zone, 0), self._wall_clock())
        took = CONNECT_FAILURE_TIME if self._in_outage(server) else 0.002
        end = interface.End.CONNECT_FAILED if self._in_outage(server) else interface.End.OK
        self._schedule(
            self.now + took, self._trial_done, ingress, self.generations[ingress], server, end, took
        )

    def _trial_done(
        self, ingress: int, generation: int, server: int, end: interface.End, took: float
    ) -> None:
        if generation == self.generations[ingress]:
            observation = ReportAttempt(
                (0, server), server, self.entries[server - 1].zone, 0, end, timedelta(seconds=took)
            )
            self.watches[ingress].record_attempt(observation, self._wall_clock())

    def _apply(self, ingress: int, actions: list[interface.Action]) -> None:
        for action in actions:
            if isinstance(action, interface.Send):
                self._send_attempt(ingress, action)
            elif isinstance(action, interface.Cancel):
                if (ingress, action.request, action.attempt) in self.in_flight:
                    self._end_attempt(
                        ingress,
                        self.generations[ingress],
                        action.request,
                        action.attempt,
                        interface.End.CANCELLED,
                        self.now,
                    )
            elif isinstance(action, interface.Timer):
                self._schedule(action.at, self._on_timer, ingress, self.generations[ingress], action.token)
            elif isinstance(action, interface.Refuse | interface.Fail):
                if self.pending.pop(action.request, None):
                    self.result.refused += isinstance(action, interface.Refuse)
                    self.result.failed += isinstance(action, interface.Fail)

    def _on_timer(self, ingress: int, generation: int, token: int) -> None:
        if generation == self.generations[ingress]:
            self._apply(ingress, self.gateways[ingress].handle(self.now, [interface.TimerFired(token)]))

    def _send_attempt(self, ingress: int, action: interface.Send) -> None:
        attempt = self.attempts.get(action.request, 0)
        self.attempts[action.request] = attempt + 1
        zone = self.entries[action.server - 1].zone
        self.watches[ingress].record_attempt(
            ReportAttempt((action.request, attempt), action.server, zone, 0), self._wall_clock()
        )
        self.in_flight[ingress, action.request, attempt] = action.server, self.generations[ingress]
        if self._in_outage(action.server):
            self.result.last_attempt = self.now
            when, end = self.now + CONNECT_FAILURE_TIME, interface.End.CONNECT_FAILED
        else:
            done = self.models[action.server - 1].arrive(self.now, str(action.request))
            when, end = (
                (done, interface.End.OK) if done is not None else (self.now + 0.001, interface.End.REJECTED)
            )
            if when > action.deadline:
                when, end = action.deadline, interface.End.TIMEOUT
        self._schedule(
            when,
            self._end_attempt,
            ingress,
            self.generations[ingress],
            action.request,
            attempt,
            end,
            self.now,
        )

    def _end_attempt(
        self, ingress: int, generation: int, request: int, attempt: int, end: interface.End, started: float
    ) -> None:
        if generation != self.generations[ingress] or (ingress, request, attempt) not in self.in_flight:
            return
        server, _ = self.in_flight.pop((ingress, request, attempt))
        if end is interface.End.OK and self._in_outage(server):
            end = interface.End.RESET  # the server failed while it worked on the request
        if end in (interface.End.CONNECT_FAILED, interface.End.RESET) and self.result.first_failure is None:
            self.result.first_failure = self.now
        took = timedelta(seconds=self.now - started)
        observation = ReportAttempt((request, attempt), server, self.entries[server - 1].zone, 0, end, took)
        self.watches[ingress].record_attempt(observation, self._wall_clock())
        answered = False
        if end is interface.End.OK and (pending := self.pending.pop(request, None)):
            answered = True
            late = self.now - pending[0] > AIM
            self.result.late += late
            self.result.served += not late
        event = interface.Outcome(request, attempt, server, end, took.total_seconds(), answered)
        self._apply(ingress, self.gateways[ingress].handle(self.now, [event]))
