"""The rules that no fault may break, checked over random event sequences.

Each request gets one final answer in time; nothing is sent to a draining, gone or banned server; an attempt
is repeated only where its class allows it; a refusal promises that a repeat does no harm; the ceiling holds.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from starlinggap import Gateway, interface, snapshot
from tests.gateway_rig import entry, settings

CLASSES = (
    interface.RequestClass(aim=0.4, deadline=1.0),
    interface.RequestClass(
        aim=0.4,
        deadline=1.0,
        idempotency=interface.Idempotency.KEYED,
        dedup_scope=interface.DedupScope.CELL,
        dedup_window=0.3,
    ),
    interface.RequestClass(
        aim=0.4,
        deadline=1.0,
        idempotency=interface.Idempotency.KEYED,
        dedup_scope=interface.DedupScope.ALL,
        dedup_window=0.3,
    ),
    interface.RequestClass(
        aim=0.4,
        deadline=1.0,
        idempotency=interface.Idempotency.KEYED,
        dedup_scope=interface.DedupScope.ZONE,
        dedup_window=0.3,
    ),
    interface.RequestClass(aim=0.4, deadline=1.0, idempotency=interface.Idempotency.UNSAFE, dedup_window=0.3),
)
CEILING = interface.Plan(rate=4.0, burst=16.0, ceiling_rate=6.0, ceiling_burst=24.0, ceiling_slack=4.0,
                 over_worth=0.5, over_cost=0.0)  # fmt: skip
SLACK = 0.016  # s; how late a final answer may be
ENDS = [
    interface.End.OK,
    interface.End.ERROR,
    interface.End.REJECTED,
    interface.End.TIMEOUT,
    interface.End.CONNECT_FAILED,
    interface.End.RESET,
]


class World:
    """Gateways, servers and a counter with random faults; asserts the rules on every action."""

    def __init__(self, seed: int, gateways: int, counter: str, config: interface.Settings,
                 make_gateway: Callable[[interface.Settings, int], Gateway] = Gateway) -> None:  # fmt: skip
        self.rng, self.settings, self.counter, self.now = random.Random(seed), config, counter, 0.0
        # Three zones with the gateways spread over them; the servers of a zone drop a keyed repeat together.
        self.gateways = [
            make_gateway(replace(config, gateway_index=n, zone=n % 3), n) for n in range(gateways)
        ]
        self.events: list[tuple[float, int, int, interface.Event]] = []
        self.event_serial = 0
        self.health = {n: interface.Health.READY for n in range(1, 7)}
        self.told_health = [dict(self.health) for _ in range(gateways)]  # as told to each gateway
        # Requests without a final answer, and their deadlines.
        self.open_requests: dict[int, tuple[interface.Request, float]] = {}
        self.answered: set[int] = set()
        self.attempts: dict[
            int, list[tuple[int, float, str]]
        ] = {}  # server, time, state: out, safe or maybe (ran)
        self.staff_rng = random.Random(seed + 1)  # for bans
        self.banned: list[set[int]] = [set() for _ in range(gateways)]  # as told to each gateway
        self.ceiling_room, self.ceiling_room_at = CEILING.ceiling_burst, 0.0
        self.totals: dict[int, float] = {}
        self.sent = 0
        self.ends, self.durations = ENDS, [0.03, 0.2, 0.9]  # of attempts (s)
        for index in range(gateways):
            entries = tuple(entry(n, cell=n % 2, zone=n % 3) for n in self.health)
            self.schedule(0.0, index, interface.ServerList(interface.ListKind.COMPLETE, entries))

    def schedule(self, after: float, index: int, event: interface.Event) -> None:
        self.event_serial += 1
        self.events.append((self.now + after, self.event_serial, index, event))

    def run(self, steps: int) -> None:
        number = 0
        for _ in range(steps):
            if self.rng.random() < 0.6:
                number += 1
                budget = self.rng.choice([0.004, 0.05, 0.4, 1.0])
                request = interface.Request(
                    number,
                    self.rng.randrange(len(self.settings.classes)),
                    0,
                    5,
                    budget,
                    float(self.rng.randint(1, 4)),
                    len(self.gateways),
                )
                self.schedule(0.0, self.rng.randrange(len(self.gateways)), request)
            if self.rng.random() < 0.05:
                server = self.rng.choice(list(self.health))
                self.health[server] = self.rng.choice(list(interface.Health))
                for index in range(len(self.gateways)):
                    change = entry(server, cell=server % 2, zone=server % 3, health=self.health[server])
                    self.schedule(0.0, index, interface.ServerList(interface.ListKind.CHANGES, (change,)))
            if self.staff_rng.random() < 0.05:
                ban = interface.BanChanged(
                    self.staff_rng.choice(list(self.health)), self.staff_rng.random() < 0.4, self.now
                )
                for index in range(len(self.gateways)):
                    self.schedule(0.0, index, ban)
            self.step(0.02)
        for _ in range(150):
            self.step(0.02)
        assert not self.open_requests, "a request has had no answer"

    def step(self, dt: float) -> None:
        end = self.now + dt
        while due := [e for e in self.events if e[0] <= end]:
            first = min(due)
            self.events.remove(first)
            at, _, index, event = first
            self.now = max(self.now, at)
            if isinstance(event, interface.Request):
                self.open_requests[event.request] = (event, self.now + event.budget)
            if isinstance(event, interface.ServerList):
                self.told_health[index].update({e.server: e.health for e in event.entries})
            if isinstance(event, interface.BanChanged):
                (self.banned[index].add if event.banned else self.banned[index].discard)(event.server)
            if isinstance(event, interface.Outcome):
                event = self.outcome(event)
            for action in self.gateways[index].handle(self.now, [event]):
                self.carry_out(index, action)
        self.now = end
        for number, (_, until) in self.open_requests.items():
            assert self.now <= until + SLACK + dt, f"request {number} is overdue"

    def outcome(self, event: interface.Outcome) -> interface.Outcome:
        server, at, _ = self.attempts[event.request][event.attempt]
        state = "safe" if event.end in interface.NEVER_RAN else "maybe"
        self.attempts[event.request][event.attempt] = (server, at, state)
        final = event.request in self.answered
        if event.end is interface.End.OK and not final:
            self.finish(event.request)
            final = True
        return replace(event, final=final)

    def finish(self, number: int) -> None:
        assert number not in self.answered, "two final answers"
        assert self.now <= self.open_requests[number][1] + SLACK, f"the answer to {number} is overdue"
        self.answered.add(number)
        del self.open_requests[number]

    def carry_out(self, index: int, action: interface.Action) -> None:
        if isinstance(action, interface.Send):
            self.send(index, action)
        elif isinstance(action, interface.Refuse):
            if any(t[2] != "safe" for t in self.attempts.get(action.request, [])):
                cls = self.settings.classes[self.open_requests[action.request][0].cls]
                assert cls.idempotency is not interface.Idempotency.UNSAFE, "refused what may have run"
                assert (
                    cls.idempotency is interface.Idempotency.SAFE
                    or cls.dedup_scope is interface.DedupScope.ALL
                ), "refused though only some servers drop a repeat"
            self.finish(action.request)
        elif isinstance(action, interface.Fail):
            self.finish(action.request)
        elif isinstance(action, interface.Timer):
            self.schedule(max(0.0, action.at - self.now), index, interface.TimerFired(action.token))
        elif isinstance(action, interface.Count):
            self.count(index, action)

    def send(self, index: int, action: interface.Send) -> None:
        self.sent += 1
        assert action.request in self.open_requests, "sent after its answer"
        assert self.told_health[index][action.server] is interface.Health.READY, (
            "sent to a server that drains or is gone"
        )
        assert action.server not in self.banned[index], "sent to a server that staff took out"
        request = self.open_requests[action.request][0]
        cls, earlier = self.settings.classes[request.cls], self.attempts.setdefault(action.request, [])
        assert self.settings.allow_parallel or all(t[2] != "out" for t in earlier), "two attempts out at once"
        risky = [t for t in earlier if t[2] != "safe"]
        if risky and cls.idempotency is not interface.Idempotency.SAFE:
            assert cls.idempotency is interface.Idempotency.KEYED, "sent an unsafe request again"
            assert self.now <= risky[0][1] + cls.dedup_window, "sent again after the window"
            if cls.dedup_scope is interface.DedupScope.CELL:
                assert action.server % 2 == risky[0][0] % 2, "sent again outside the cell"
            if cls.dedup_scope is interface.DedupScope.ZONE:
                assert action.server % 3 == risky[0][0] % 3, "sent again outside the zone"
        if not earlier and self.settings.plans[0].ceiling_rate:
            filled = self.ceiling_room + self.settings.plans[0].ceiling_rate * (
                self.now - self.ceiling_room_at
            )
            self.ceiling_room, self.ceiling_room_at = (
                min(CEILING.ceiling_burst, filled) - request.units,
                self.now,
            )
            assert self.ceiling_room >= -CEILING.ceiling_slack, "the ceiling is passed"
        earlier.append((action.server, self.now, "out"))
        end, took = self.rng.choice(self.ends), self.rng.choice(self.durations)
        if self.now + took > action.deadline:
            end, took = interface.End.TIMEOUT, max(0.0, action.deadline - self.now)
        self.schedule(
            took, index, interface.Outcome(action.request, len(earlier) - 1, action.server, end, took)
        )

    def count(self, index: int, action: interface.Count) -> None:
        total = self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
        end = interface.End.OK
        if self.counter == "silent":
            end = interface.End.TIMEOUT
        elif self.counter == "refusing":
            end = interface.End.REJECTED
        elif self.counter == "lying":
            total = self.rng.choice([0.0, float("nan"), -50.0, float("inf"), total])
        elif self.counter == "emptied" and self.rng.random() < 0.1:
            self.totals.clear()
        took = 0.05 if end is interface.End.TIMEOUT else 0.04 if self.counter == "crawling" else 0.002
        self.schedule(took, index, interface.CountOutcome(action.name, took, end, total))


COUNTERS = ["well", "silent", "refusing", "lying", "emptied", "crawling"]


@hyp(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.integers(1, 3), st.sampled_from(COUNTERS), st.booleans(), st.booleans())
def test_rules_hold_under_random_faults(
    seed: int, gateways: int, counter: str, parallel: bool, cancel: bool
) -> None:
    config = settings(
        classes=CLASSES,
        plans=(CEILING,),
        gateways=gateways,
        allow_parallel=parallel,
        allow_cancel=cancel,
        max_attempts=4,
        cross_zone_price=0.02,
    )
    world = World(seed, gateways, counter, config)
    world.run(120)
    assert world.sent > 0


@pytest.mark.parametrize("counter", COUNTERS)
def test_ceiling_holds_when_a_gateway_restarts(counter: str) -> None:
    config = settings(classes=CLASSES[:1], plans=(CEILING,), gateways=2)
    world = World(4, 2, counter, config)
    world.run(40)
    world.gateways[0] = Gateway(replace(config, gateway_index=0), 99)
    world.events = [e for e in world.events if e[2] != 0]
    world.gateways[0].handle(
        world.now, [interface.ServerList(interface.ListKind.COMPLETE, tuple(entry(n) for n in world.health))]
    )
    world.told_health[0], world.banned[0] = {n: interface.Health.READY for n in world.health}, set()
    for n in range(1000, 1020):
        request = interface.Request(n, 0, 0, 5, 1.0, 4.0, 2)
        world.schedule(0.0, 0, request)
        world.step(0.005)
    assert world.ceiling_room >= -CEILING.ceiling_slack


@pytest.mark.parametrize(
    "seed, gateways", [(45, 2), (136, 2), (48, 3), (61, 3), (66, 4), (125, 4), *((n, 3) for n in range(6))]
)
def test_ceiling_holds_when_the_counter_falls_silent_just_after_totals_admitted_a_burst(
    seed: int, gateways: int
) -> None:
    world = World(seed, gateways, "well", settings(classes=CLASSES[:1], plans=(CEILING,), gateways=gateways))
    world.run(5)
    for n in range(100_000, 100_240):
        if n == 100_040:
            world.counter = "silent"
        index = world.rng.randrange(gateways)
        request = interface.Request(n, 0, 0, 5, 1.0, float(world.rng.randint(1, 4)), gateways)
        world.schedule(0.0, index, request)
        world.step(0.005 if n < 100_040 else 0.01)
    assert world.sent > 20


@pytest.mark.parametrize("gateways", [1, 2, 3, 4])
@pytest.mark.parametrize("seed", range(4))
def test_ceiling_holds_for_an_account_that_requests_far_more_all_day(seed: int, gateways: int) -> None:
    # Requests admitted by totals and requests worth sending beyond the quota add up.
    world = World(seed, gateways, "well", settings(classes=CLASSES[:1], plans=(CEILING,), gateways=gateways))
    world.ends, world.durations = [interface.End.OK], [0.03]
    for n in range(100_000, 100_500):
        units = float(world.rng.choice([1, 1, 2, 4]))
        world.schedule(
            0.0, world.rng.randrange(gateways), interface.Request(n, 0, 0, 5, 1.0, units, gateways)
        )
        world.step(0.06)
    assert world.sent * 2.0 > 30 * CEILING.rate, "and it gets more than its quota"


@pytest.mark.parametrize("counter", COUNTERS)
def test_ceiling_holds_while_an_old_and_a_new_process_serve_side_by_side(counter: str) -> None:
    config = settings(classes=CLASSES[:1], plans=(CEILING,), gateways=2)
    world = World(4, 2, counter, config)
    world.run(40)
    new = Gateway(replace(config, gateway_index=0), 99)
    entries = tuple(entry(n, health=health) for n, health in world.told_health[0].items())
    new.handle(
        world.now,
        [
            interface.ServerList(interface.ListKind.COMPLETE, entries),
            *(interface.BanChanged(n, True) for n in world.banned[0]),
        ],
    )
    snapshot.import_state(new, json.loads(json.dumps(snapshot.export_state(world.gateways[0]))), world.now)
    world.gateways.append(new)
    world.told_health.append(dict(world.told_health[0]))
    world.banned.append(set(world.banned[0]))
    for n in range(1000, 1060):  # the third gateway succeeds the first: together they are one of two
        index = n % 3
        world.schedule(
            0.0, index, interface.Request(n, 0, 0, 5, 1.0, 4.0, 2, account_workers=1 if index == 1 else 2)
        )
        world.step(0.005)
    assert world.ceiling_room >= -CEILING.ceiling_slack


def test_nothing_is_sent_to_a_server_in_the_batch_that_drains_it() -> None:
    gateway = Gateway(settings(use_counter=False), 1)
    gateway.handle(0.0, [interface.ServerList(interface.ListKind.COMPLETE, (entry(1), entry(2)))])
    drain = interface.ServerList(interface.ListKind.CHANGES, (entry(1, health=interface.Health.DRAINING),))
    requests = [interface.Request(n, 0, 0, n, 2.0) for n in range(12)]
    sends = [
        action for action in gateway.handle(0.1, [*requests, drain]) if isinstance(action, interface.Send)
    ]
    assert sends
    assert {action.server for action in sends} == {2}


@pytest.mark.parametrize("number_of_gateways", [1, 3])
def test_cold_server_stays_within_the_collapse_limit(number_of_gateways: int) -> None:
    # Eight servers that do one second's work per second, at half load; one restarts cold at a fifth of that.
    config = settings(
        use_counter=False,
        gateways=number_of_gateways,
        plans=(interface.Plan(),),
        slow_start_duration=10.0,
        slow_start_share=0.2,
        collapse_time=3.0,
        collapse_ratio=2.5,
    )
    entries = tuple(entry(n) for n in range(1, 9))
    gateways = [Gateway(config, n) for n in range(number_of_gateways)]
    for gateway in gateways:
        gateway.handle(0.0, [interface.ServerList(interface.ListKind.COMPLETE, entries)])
    rng, now, number, service_time, cold_sends = random.Random(5), 0.0, 0, 0.16, []
    pending: list[tuple[float, int, interface.Event]] = []
    while now < 20.0:
        now += 0.01
        if abs(now - 8.0) < 0.005:
            restart = interface.ServerList(interface.ListKind.CHANGES, (entry(8, started=now),))
            for gateway in gateways:
                gateway.handle(now, [restart])
        for due in [p for p in pending if p[0] <= now]:
            pending.remove(due)
            gateways[due[1]].handle(now, [due[2]])
        if rng.random() < 0.25:
            number += 1
            index = rng.randrange(number_of_gateways)
            for action in gateways[index].handle(now, [interface.Request(number, 0, 0, number, 2.0)]):
                if isinstance(action, interface.Send):
                    pending.append(
                        (
                            now + service_time,
                            index,
                            interface.Outcome(
                                action.request, 0, action.server, interface.End.OK, service_time, True
                            ),
                        )
                    )
                    if action.server == 8 and now > 8.0:
                        cold_sends.append(now)
    assert cold_sends
    for t in cold_sends:
        share = 0.2 + 0.8 * min(1.0, (t - 8.0) / 10.0)
        sent = sum(service_time for x in cold_sends if t <= x < t + 3.0)
        assert sent <= 2.5 * share * 3.0
