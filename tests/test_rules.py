"""The five rules over random event sequences; a small world checks what the gateway does."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from starlinggap import Gateway, snapshot
from starlinggap import interface as i
from tests.gateway_rig import entry, settings

CLASSES = (
    i.RequestClass(aim=0.4, deadline=1.0),
    i.RequestClass(
        aim=0.4,
        deadline=1.0,
        idempotency=i.Idempotency.KEYED,
        dedup_scope=i.DedupScope.CELL,
        dedup_window=0.3,
    ),
    i.RequestClass(
        aim=0.4, deadline=1.0, idempotency=i.Idempotency.KEYED, dedup_scope=i.DedupScope.ALL, dedup_window=0.3
    ),
    i.RequestClass(
        aim=0.4,
        deadline=1.0,
        idempotency=i.Idempotency.KEYED,
        dedup_scope=i.DedupScope.ZONE,
        dedup_window=0.3,
    ),
    i.RequestClass(aim=0.4, deadline=1.0, idempotency=i.Idempotency.UNSAFE, dedup_window=0.3),
)
CEILING = i.Plan(rate=4.0, burst=16.0, ceiling_rate=6.0, ceiling_burst=24.0, ceiling_slack=4.0,
                 over_worth=0.5, over_cost=0.0)  # fmt: skip
SLACK = 0.016  # how late a final answer may be
ENDS = [i.End.OK, i.End.ERROR, i.End.REJECTED, i.End.TIMEOUT, i.End.CONNECT_FAILED, i.End.RESET]


class World:
    """Several gateways in one world that breaks at random; asserts the rules as it goes."""

    def __init__(self, seed: int, gateways: int, counter: str, s: i.Settings,
                 make: Callable[[i.Settings, int], Gateway] = Gateway) -> None:  # fmt: skip
        self.rng, self.s, self.counter, self.now = random.Random(seed), s, counter, 0.0
        # Three halls, the gateways spread over them; the servers of a hall drop a keyed repeat together.
        self.gates = [make(replace(s, gateway_index=n, zone=n % 3), n) for n in range(gateways)]
        self.queue: list[tuple[float, int, int, i.Event]] = []
        self.serial = 0
        self.health = {n: i.Health.READY for n in range(1, 7)}
        self.told = [dict(self.health) for _ in range(gateways)]  # what each gateway has heard
        self.open: dict[int, tuple[i.Request, float]] = {}  # what still needs an answer, until when
        self.answered: set[int] = set()
        self.tries: dict[int, list[tuple[int, float, str]]] = {}  # server, time, out / safe / maybe
        self.whim = random.Random(seed + 1)  # of staff
        self.out: list[set[int]] = [set() for _ in range(gateways)]  # what staff took out of use
        self.room, self.room_at = CEILING.ceiling_burst, 0.0
        self.totals: dict[int, float] = {}
        self.sent = 0
        self.ends, self.paces = ENDS, [0.03, 0.2, 0.9]  # of attempts
        for g in range(gateways):
            lines = tuple(entry(n, cell=n % 2, zone=n % 3) for n in self.health)
            self.later(0.0, g, i.ServerList(i.ListKind.COMPLETE, lines))

    def later(self, after: float, gate: int, event: i.Event) -> None:
        self.serial += 1
        self.queue.append((self.now + after, self.serial, gate, event))

    def run(self, steps: int) -> None:
        number = 0
        for _ in range(steps):
            if self.rng.random() < 0.6:
                number += 1
                budget = self.rng.choice([0.004, 0.05, 0.4, 1.0])
                ask = i.Request(number, self.rng.randrange(len(self.s.classes)), 0, 5, budget,
                                float(self.rng.randint(1, 4)), len(self.gates))  # fmt: skip
                self.later(0.0, self.rng.randrange(len(self.gates)), ask)
            if self.rng.random() < 0.05:
                server = self.rng.choice(list(self.health))
                self.health[server] = self.rng.choice(list(i.Health))
                for g in range(len(self.gates)):
                    change = entry(server, cell=server % 2, zone=server % 3, health=self.health[server])
                    self.later(0.0, g, i.ServerList(i.ListKind.CHANGES, (change,)))
            if self.whim.random() < 0.05:
                ban = i.BanChanged(self.whim.choice(list(self.health)), self.whim.random() < 0.4, self.now)
                for g in range(len(self.gates)):
                    self.later(0.0, g, ban)
            self.step(0.02)
        for _ in range(150):
            self.step(0.02)
        assert not self.open, "a request has had no answer"

    def step(self, dt: float) -> None:
        end = self.now + dt
        while due := [e for e in self.queue if e[0] <= end]:
            first = min(due)
            self.queue.remove(first)
            at, _, gate, event = first
            self.now = max(self.now, at)
            if isinstance(event, i.Request):
                self.open[event.request] = (event, self.now + event.budget)
            if isinstance(event, i.ServerList):
                self.told[gate].update({e.server: e.health for e in event.entries})
            if isinstance(event, i.BanChanged):
                (self.out[gate].add if event.banned else self.out[gate].discard)(event.server)
            if isinstance(event, i.Outcome):
                event = self.outcome(event)
            for action in self.gates[gate].handle(self.now, [event]):
                self.act(gate, action)
        self.now = end
        for number, (_, until) in self.open.items():
            assert self.now <= until + SLACK + dt, f"request {number} is overdue"

    def outcome(self, event: i.Outcome) -> i.Outcome:
        server, at, _ = self.tries[event.request][event.attempt]
        state = "safe" if event.end in i.NEVER_RAN else "maybe"
        self.tries[event.request][event.attempt] = (server, at, state)
        final = event.request in self.answered
        if event.end is i.End.OK and not final:
            self.finish(event.request)
            final = True
        return replace(event, final=final)

    def finish(self, number: int) -> None:
        assert number not in self.answered, "two final answers"
        assert self.now <= self.open[number][1] + SLACK, f"the answer to {number} is overdue"
        self.answered.add(number)
        del self.open[number]

    def act(self, gate: int, a: i.Action) -> None:
        if isinstance(a, i.Send):
            self.send(gate, a)
        elif isinstance(a, i.Refuse):
            if any(t[2] != "safe" for t in self.tries.get(a.request, [])):
                cls = self.s.classes[self.open[a.request][0].cls]
                assert cls.idempotency is not i.Idempotency.UNSAFE, "refused what may have run"
                assert cls.idempotency is i.Idempotency.SAFE or cls.dedup_scope is i.DedupScope.ALL, (
                    "refused beyond the group"
                )
            self.finish(a.request)
        elif isinstance(a, i.Fail):
            self.finish(a.request)
        elif isinstance(a, i.Timer):
            self.later(max(0.0, a.at - self.now), gate, i.TimerFired(a.token))
        elif isinstance(a, i.Count):
            self.count(gate, a)

    def send(self, gate: int, a: i.Send) -> None:
        self.sent += 1
        assert a.request in self.open, "sent after its answer"
        assert self.told[gate][a.server] is i.Health.READY, "sent to a server that drains or is gone"
        assert a.server not in self.out[gate], "sent to a server that staff took out"
        ask = self.open[a.request][0]
        cls, before = self.s.classes[ask.cls], self.tries.setdefault(a.request, [])
        assert self.s.allow_parallel or all(t[2] != "out" for t in before), "two attempts out at once"
        risky = [t for t in before if t[2] != "safe"]
        if risky and cls.idempotency is not i.Idempotency.SAFE:
            assert cls.idempotency is i.Idempotency.KEYED, "sent an unsafe request again"
            assert self.now <= risky[0][1] + cls.dedup_window, "sent again after the window"
            if cls.dedup_scope is i.DedupScope.CELL:
                assert a.server % 2 == risky[0][0] % 2, "sent again outside the group"
            if cls.dedup_scope is i.DedupScope.ZONE:
                assert a.server % 3 == risky[0][0] % 3, "sent again outside the hall"
        if not before and self.s.plans[0].ceiling_rate:
            filled = self.room + self.s.plans[0].ceiling_rate * (self.now - self.room_at)
            self.room, self.room_at = min(CEILING.ceiling_burst, filled) - ask.units, self.now
            assert self.room >= -CEILING.ceiling_slack, "the ceiling is passed"
        before.append((a.server, self.now, "out"))
        end, took = self.rng.choice(self.ends), self.rng.choice(self.paces)
        if self.now + took > a.deadline:
            end, took = i.End.TIMEOUT, max(0.0, a.deadline - self.now)
        self.later(took, gate, i.Outcome(a.request, len(before) - 1, a.server, end, took))

    def count(self, gate: int, a: i.Count) -> None:
        total = self.totals[a.name] = self.totals.get(a.name, 0.0) + a.amount
        end = i.End.OK
        if self.counter == "silent":
            end = i.End.TIMEOUT
        elif self.counter == "refusing":
            end = i.End.REJECTED
        elif self.counter == "lying":
            total = self.rng.choice([0.0, float("nan"), -50.0, float("inf"), total])
        elif self.counter == "emptied" and self.rng.random() < 0.1:
            self.totals.clear()
        took = 0.05 if end is i.End.TIMEOUT else 0.04 if self.counter == "crawling" else 0.002
        self.later(took, gate, i.CountOutcome(a.name, took, end, total))


COUNTERS = ["well", "silent", "refusing", "lying", "emptied", "crawling"]


@hyp(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(1, 3), st.sampled_from(COUNTERS), st.booleans(), st.booleans())
def test_rules_hold_in_any_trouble(seed: int, gates: int, counter: str, parallel: bool, cancel: bool) -> None:
    s = settings(classes=CLASSES, plans=(CEILING,), gateways=gates, allow_parallel=parallel,
                 allow_cancel=cancel, max_attempts=4, cross_zone_price=0.02)  # fmt: skip
    world = World(seed, gates, counter, s)
    world.run(120)
    assert world.sent > 0


@pytest.mark.parametrize("counter", COUNTERS)
def test_ceiling_holds_when_a_gateway_restarts(counter: str) -> None:
    s = settings(classes=CLASSES[:1], plans=(CEILING,), gateways=2)
    world = World(4, 2, counter, s)
    world.run(40)
    world.gates[0] = Gateway(replace(s, gateway_index=0), 99)
    world.queue = [e for e in world.queue if e[2] != 0]
    world.gates[0].handle(
        world.now, [i.ServerList(i.ListKind.COMPLETE, tuple(entry(n) for n in world.health))]
    )
    world.told[0], world.out[0] = {n: i.Health.READY for n in world.health}, set()
    for n in range(1000, 1020):
        ask = i.Request(n, 0, 0, 5, 1.0, 4.0, 2)
        world.later(0.0, 0, ask)
        world.step(0.005)
    assert world.room >= -CEILING.ceiling_slack


@pytest.mark.parametrize(
    "seed, gates", [(45, 2), (136, 2), (48, 3), (61, 3), (66, 4), (125, 4), *((n, 3) for n in range(6))]
)
def test_ceiling_holds_when_the_counter_falls_silent_just_after_totals_let_in_a_burst(
    seed: int, gates: int
) -> None:
    world = World(seed, gates, "well", settings(classes=CLASSES[:1], plans=(CEILING,), gateways=gates))
    world.run(5)
    for n in range(100_000, 100_240):
        if n == 100_040:
            world.counter = "silent"
        gate = world.rng.randrange(gates)
        ask = i.Request(n, 0, 0, 5, 1.0, float(world.rng.randint(1, 4)), gates)
        world.later(0.0, gate, ask)
        world.step(0.005 if n < 100_040 else 0.01)
    assert world.sent > 20


@pytest.mark.parametrize("gates", [1, 2, 3, 4])
@pytest.mark.parametrize("seed", range(4))
def test_ceiling_holds_for_a_customer_who_asks_for_far_more_all_day(seed: int, gates: int) -> None:
    # What totals let in and what is worth sending beyond the quota come to more than either.
    world = World(seed, gates, "well", settings(classes=CLASSES[:1], plans=(CEILING,), gateways=gates))
    world.ends, world.paces = [i.End.OK], [0.03]
    for n in range(100_000, 100_500):
        units = float(world.rng.choice([1, 1, 2, 4]))
        world.later(0.0, world.rng.randrange(gates), i.Request(n, 0, 0, 5, 1.0, units, gates))
        world.step(0.06)
    assert world.sent * 2.0 > 30 * CEILING.rate, "and it gets more than its quota"


@pytest.mark.parametrize("counter", COUNTERS)
def test_ceiling_holds_while_an_old_and_a_new_process_serve_side_by_side(counter: str) -> None:
    s = settings(classes=CLASSES[:1], plans=(CEILING,), gateways=2)
    world = World(4, 2, counter, s)
    world.run(40)
    new = Gateway(replace(s, gateway_index=0), 99)
    lines = tuple(entry(n, health=health) for n, health in world.told[0].items())
    new.handle(
        world.now, [i.ServerList(i.ListKind.COMPLETE, lines), *(i.BanChanged(n, True) for n in world.out[0])]
    )
    snapshot.import_state(new, json.loads(json.dumps(snapshot.export_state(world.gates[0]))), world.now)
    world.gates.append(new)
    world.told.append(dict(world.told[0]))
    world.out.append(set(world.out[0]))
    for n in range(1000, 1060):  # the third gate is the first's successor: together they are one of two
        gate = n % 3
        world.later(0.0, gate, i.Request(n, 0, 0, 5, 1.0, 4.0, 2, account_workers=1 if gate == 1 else 2))
        world.step(0.005)
    assert world.room >= -CEILING.ceiling_slack


def test_nothing_is_sent_to_a_server_in_the_batch_that_drains_it() -> None:
    gateway = Gateway(settings(use_counter=False), 1)
    gateway.handle(0.0, [i.ServerList(i.ListKind.COMPLETE, (entry(1), entry(2)))])
    drain = i.ServerList(i.ListKind.CHANGES, (entry(1, health=i.Health.DRAINING),))
    asks = [i.Request(n, 0, 0, n, 2.0) for n in range(12)]
    sends = [a for a in gateway.handle(0.1, [*asks, drain]) if isinstance(a, i.Send)]
    assert sends
    assert {a.server for a in sends} == {2}


@pytest.mark.parametrize("gates", [1, 3])
def test_cold_server_stays_within_the_fall_budget(gates: int) -> None:
    # Eight servers of one second's work a second at half load, one cold at a fifth: all gateways alike.
    s = settings(use_counter=False, gateways=gates, plans=(i.Plan(),), slow_start_duration=10.0,
                 slow_start_share=0.2, collapse_time=3.0, collapse_ratio=2.5)  # fmt: skip
    lines = tuple(entry(n) for n in range(1, 9))
    gateways = [Gateway(s, n) for n in range(gates)]
    for gate in gateways:
        gate.handle(0.0, [i.ServerList(i.ListKind.COMPLETE, lines)])
    rng, now, number, work, cold_sends = random.Random(5), 0.0, 0, 0.16, []
    pending: list[tuple[float, int, i.Event]] = []
    while now < 20.0:
        now += 0.01
        if abs(now - 8.0) < 0.005:
            back = i.ServerList(i.ListKind.CHANGES, (entry(8, started=now),))
            for gate in gateways:
                gate.handle(now, [back])
        for due in [p for p in pending if p[0] <= now]:
            pending.remove(due)
            gateways[due[1]].handle(now, [due[2]])
        if rng.random() < 0.25:
            number += 1
            g = rng.randrange(gates)
            for a in gateways[g].handle(now, [i.Request(number, 0, 0, number, 2.0)]):
                if isinstance(a, i.Send):
                    pending.append((now + work, g, i.Outcome(a.request, 0, a.server, i.End.OK, work, True)))
                    if a.server == 8 and now > 8.0:
                        cold_sends.append(now)
    assert cold_sends
    for t in cold_sends:
        share = 0.2 + 0.8 * min(1.0, (t - 8.0) / 10.0)
        sent = sum(work for x in cold_sends if t <= x < t + 3.0)
        assert sent <= 2.5 * share * 3.0
