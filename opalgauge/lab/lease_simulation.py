"""Simulates quotas in virtual time: many gateways, a failing or slow counter, partitions between peers.

Requests are refused for their quota only: the servers answer whatever is sent. The gateways and the leases
are those that serve.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from opalgauge.lab.quotas import (
    PLANS,
    AccountLoad,
    AccountPlan,
    PlanDeviation,
    QuotaDecision,
    deviation_by_plan,
    replay,
)
from opalgauge.lab.simulation import EPOCH, Simulation
from opalgauge.leases import messages
from opalgauge.leases.actions import AnswerCount, CallCounter, SendMessage
from opalgauge.leases.holder import LeaseConfig, LeaseHolder
from starlinggap import Gateway, interface

TICK_INTERVAL, COUNTER_TIMEOUT, SERVICE_TIME = 0.02, 0.05, 0.05
COUNTER_DELAY = (0.0004, 0.0008)  # s to the counter, one way


@dataclass(slots=True)
class Scenario:
    """Size, load and faults; times in seconds.

    `mode`: on; ahead (leases without grants); even (neither leases ahead nor grants); today (no leases: the
    counter is called for each request). During `outage` the counter does not answer the ingresses in
    `affected` (empty: all of them), or is slower by `slowdown`. During `partition` ingresses hear only those
    with the same number in `groups`.
    """

    mode: str = "on"
    ingresses: int = 6
    plans: tuple[AccountPlan, ...] = PLANS
    seconds: float = 34.0
    seed: int = 1
    outage: tuple[float, float] = (8.0, 28.0)
    affected: tuple[int, ...] = ()
    slowdown: float = 1.0  # factor; other than 1: the counter is slow in the outage, not gone
    groups: tuple[int, ...] = ()
    partition: tuple[float, float] = (0.0, 0.0)
    drop: float = 0.072
    delay: tuple[float, float] = (0.002, 0.017)
    counter_ms: float = 1.6
    restarts: tuple[tuple[float, int], ...] = ()
    shift_interval: float = 6.0


@dataclass(slots=True)
class Result:
    """What a run measured."""

    requests: int = 0
    counter_calls: int = 0
    max_received_per_second: int = 0  # messages to one ingress
    max_message_size: int = 0
    unanswered: int = 0
    decisions: list[QuotaDecision] = field(default_factory=list)
    # By plan, while the counter was out and in the rest of the run.
    during_outage: dict[str, PlanDeviation] = field(default_factory=dict)
    outside_outage: dict[str, PlanDeviation] = field(default_factory=dict)


class LeaseSimulation(Simulation):
    """Runs a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario.seed)
        self.scenario, self.result = scenario, Result()
        self.load = AccountLoad(scenario.plans, scenario.ingresses, scenario.seed, scenario.shift_interval)
        self.gateway_plans = tuple(
            interface.Plan(rate=plan.rate, burst=plan.burst) for plan in scenario.plans
        )
        self.counter_free_at = 0.0
        self.totals: dict[int, list[float]] = {}
        self.generations = [0] * scenario.ingresses
        self.received: dict[tuple[int, int], int] = {}
        self.pending_decisions: dict[int, QuotaDecision] = {}
        self.gateways = [self._make_gateway(ingress) for ingress in range(scenario.ingresses)]
        self.leases = [self._make_leases(ingress) for ingress in range(scenario.ingresses)]
        for ingress in range(scenario.ingresses):
            self._schedule(TICK_INTERVAL * self.rng.random(), self._tick, ingress, 0)
        for number, request in enumerate(self.load.requests(scenario.seconds)):
            self._schedule(request[0], self._arrive, number + 1, *request[1:])
        for when, ingress in scenario.restarts:
            self._schedule(when, self._restart, ingress)

    def _make_gateway(self, ingress: int) -> Gateway:
        settings = interface.Settings(
            classes=(interface.RequestClass(1.2, 5.0),), plans=self.gateway_plans,
            gateways=self.scenario.ingresses, gateway_index=ingress,
            use_counter=True, counter_timeout=COUNTER_TIMEOUT, max_units=2.0,
        )  # fmt: skip
        gateway = Gateway(settings, self.scenario.seed * 1000 + ingress + 77 * self.generations[ingress])
        servers = tuple(interface.ServerEntry(server, interface.Health.READY) for server in range(1, 40))
        gateway.handle(
            EPOCH.timestamp() + self.now, [interface.ServerList(interface.ListKind.COMPLETE, servers)]
        )
        return gateway

    def _make_leases(self, ingress: int) -> LeaseHolder | None:
        if self.scenario.mode == "today":
            return None
        plans = tuple((plan.rate, plan.burst) for plan in self.gateway_plans)
        config = LeaseConfig(
            ingress, self.scenario.ingresses, plans, self.scenario.mode != "even", self.scenario.mode == "on"
        )
        return LeaseHolder(config, self._wall_clock(), int(self.now * 1000), self.scenario.seed + ingress)

    def run(self) -> Result:
        """Runs the scenario until its last requests are answered."""
        while self._run_next(self.scenario.seconds + 6):
            pass
        result, (start, end) = self.result, self.scenario.outage
        result.unanswered = len(self.pending_decisions)
        plans = self.load.plan_by_account
        result.during_outage = deviation_by_plan(
            replay(result.decisions, plans, (start, end)), plans, end - start
        )
        before = deviation_by_plan(replay(result.decisions, plans, (0.0, start)), plans, start)
        after = deviation_by_plan(
            replay(result.decisions, plans, (end, self.scenario.seconds)), plans, self.scenario.seconds - end
        )
        result.outside_outage = {
            name: PlanDeviation(
                max(deviation.overshoot, after[name].overshoot),
                0.0,
                max(deviation.wrongly_refused, after[name].wrongly_refused),
            )
            for name, deviation in before.items()
        }
        return result

    # --- requests ------------------------------------------------------------------------------------------
    def _arrive(self, number: int, account_index: int, units: int, ingress: int) -> None:
        account = self.load.accounts[account_index]
        plan_index = self.scenario.plans.index(account.plan)
        self.result.requests += 1
        self.pending_decisions[number] = QuotaDecision(self.now, account.number, units, False)
        spread = min(account.plan.spread, self.scenario.ingresses)
        if (leases := self.leases[ingress]) is not None:
            leases.add_account(account.number, plan_index, spread, account.first_ingress, self._wall_clock())
        request = interface.Request(
            number, 0, plan_index, account.number, 5.0, float(units), spread, account.first_ingress
        )
        self._handle_events(ingress, request)

    def _handle_events(self, ingress: int, *events: interface.Event) -> None:
        for action in self.gateways[ingress].handle(EPOCH.timestamp() + self.now, list(events)):
            if isinstance(action, interface.Send):
                if decision := self.pending_decisions.pop(action.request, None):
                    decision.time, decision.sent = self.now, True
                    self.result.decisions.append(decision)
                self._schedule(
                    self.now + SERVICE_TIME, self._on_served, ingress, self.generations[ingress], action
                )
            elif isinstance(action, interface.Refuse | interface.Fail):
                if decision := self.pending_decisions.pop(action.request, None):
                    decision.time = self.now
                    self.result.decisions.append(decision)
            elif isinstance(action, interface.Timer):
                self._schedule(
                    action.at - EPOCH.timestamp(),
                    self._on_timer,
                    ingress,
                    self.generations[ingress],
                    action.token,
                )
            elif isinstance(action, interface.Count):
                if (leases := self.leases[ingress]) is not None:
                    leases.request_count(
                        action.name, action.amount, timedelta(seconds=action.ttl), self._wall_clock()
                    )
                else:
                    self._call_counter(ingress, 0, action.name, action.amount, action.ttl)
        self._run_lease_actions(ingress)

    def _on_served(self, ingress: int, generation: int, action: interface.Send) -> None:
        if generation == self.generations[ingress]:
            self._handle_events(
                ingress,
                interface.Outcome(action.request, 0, action.server, interface.End.OK, SERVICE_TIME, True),
            )

    def _on_timer(self, ingress: int, generation: int, token: int) -> None:
        if generation == self.generations[ingress]:
            self._handle_events(ingress, interface.TimerFired(token))

    def _restart(self, ingress: int) -> None:
        self.generations[ingress] += 1
        self.gateways[ingress], self.leases[ingress] = self._make_gateway(ingress), self._make_leases(ingress)
        self._schedule(self.now + TICK_INTERVAL, self._tick, ingress, self.generations[ingress])

    # --- leases and messages ------------------------------------------------------------------------------
    def _tick(self, ingress: int, generation: int) -> None:
        leases = self.leases[ingress]
        if leases is None or generation != self.generations[ingress] or self.now > self.scenario.seconds + 3:
            return
        self._schedule(self.now + TICK_INTERVAL, self._tick, ingress, generation)
        leases.tick(self._wall_clock())
        self._run_lease_actions(ingress)

    def _run_lease_actions(self, ingress: int) -> None:
        leases = self.leases[ingress]
        for action in leases.take_actions() if leases is not None else ():
            if isinstance(action, AnswerCount):  # in the order of the calls, as events are delivered
                counted = interface.CountOutcome(
                    action.name, action.duration.total_seconds(), action.end, action.total
                )
                self._schedule(self.now, self._deliver_total, ingress, self.generations[ingress], counted)
            elif isinstance(action, CallCounter):
                self._call_counter(
                    ingress, action.token, action.name, action.amount, action.ttl.total_seconds()
                )
            elif isinstance(action, SendMessage):
                self._send_message(ingress, action)

    def _deliver_total(self, ingress: int, generation: int, counted: interface.CountOutcome) -> None:
        if generation == self.generations[ingress]:
            self._handle_events(ingress, counted)

    def _send_message(self, ingress: int, action: SendMessage) -> None:
        data = messages.encode_message(action.message)
        self.result.max_message_size = max(self.result.max_message_size, len(data))
        apart = self.scenario.groups and self.scenario.groups[ingress] != self.scenario.groups[action.peer]
        if (
            apart
            and self.scenario.partition[0] <= self.now < self.scenario.partition[1]
            or self.rng.random() < self.scenario.drop
        ):
            return
        self._schedule(self.now + self.rng.uniform(*self.scenario.delay), self._receive, action.peer, data)

    def _receive(self, ingress: int, data: bytes) -> None:
        key = ingress, int(self.now)
        self.received[key] = self.received.get(key, 0) + 1
        self.result.max_received_per_second = max(self.result.max_received_per_second, self.received[key])
        message, leases = messages.decode_message(data), self.leases[ingress]
        assert message is not None and leases is not None
        leases.handle_message(message, self._wall_clock())
        self._run_lease_actions(ingress)

    # --- the counter ---------------------------------------------------------------------------------------
    def _call_counter(self, ingress: int, token: int, name: int, amount: float, ttl: float) -> None:
        self.result.counter_calls += 1
        in_outage = self.scenario.outage[0] <= self.now < self.scenario.outage[1]
        call = ingress, self.generations[ingress], token, name, self.now
        if (
            in_outage
            and self.scenario.slowdown == 1.0
            and (not self.scenario.affected or ingress in self.scenario.affected)
        ):
            self._schedule(
                self.now + COUNTER_TIMEOUT, self._on_counter_answer, *call, interface.End.TIMEOUT, 0.0, 1
            )
            return
        delay = self.rng.uniform(*COUNTER_DELAY)
        service_time = self.scenario.counter_ms / 1000 * (self.scenario.slowdown if in_outage else 1.0)
        start = max(self.now + delay, self.counter_free_at)
        if start - self.now > 2 * COUNTER_TIMEOUT:
            self._schedule(
                self.now + 2 * delay, self._on_counter_answer, *call, interface.End.REJECTED, 0.0, 1
            )
            return
        self.counter_free_at = start + service_time
        self._schedule(
            start + service_time, self._add_to_total, name, amount, ttl, call, start + service_time + delay
        )

    def _add_to_total(
        self, name: int, amount: float, ttl: float, call: tuple[Any, ...], answered_at: float
    ) -> None:
        entry = self.totals.get(name)
        if entry is None or self.now >= entry[1]:
            entry = self.totals[name] = [0.0, self.now + ttl]
        entry[0] += amount
        if answered_at - call[4] > COUNTER_TIMEOUT:
            self._schedule(
                max(self.now, call[4] + COUNTER_TIMEOUT),
                self._on_counter_answer,
                *call,
                interface.End.TIMEOUT,
                0.0,
                1,
            )
        else:
            self._schedule(answered_at, self._on_counter_answer, *call, interface.End.OK, entry[0], 1)

    def _on_counter_answer(
        self,
        ingress: int,
        generation: int,
        token: int,
        name: int,
        called_at: float,
        end: interface.End,
        total: float,
        _: int,
    ) -> None:
        if generation != self.generations[ingress]:
            return
        if (leases := self.leases[ingress]) is not None:
            leases.handle_counter_result(token, end, total, self._wall_clock())
            self._run_lease_actions(ingress)
        else:
            self._handle_events(ingress, interface.CountOutcome(name, self.now - called_at, end, total))
