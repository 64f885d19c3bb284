"""Servers, attempts and overload, on the module alone."""

from __future__ import annotations

import math
import random
import types
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

import starlinggap
from examples.one_gateway import run
from starlinggap import Gateway
from starlinggap import interface as i
from starlinggap.quota import Account
from tests.gateway_rig import GatewayRig, entry, settings

TWO = (i.RequestClass(aim=0.8, deadline=2.0), i.RequestClass(aim=1.5, deadline=4.0, worth=3.0))


def free(**changes: object) -> i.Settings:
    return settings(use_counter=False, plans=(i.Plan(),), **changes)


def serve(rig: GatewayRig, took: float = 0.1) -> int:
    """One request sent and answered; the server that took it."""
    assert rig.ask(customer=rig.next + 100) == "sent"
    rig.finish(took=took)
    return rig.sends[-1].server


def cold_fleet(
    spread: str, make: Callable[[i.Settings, int], Gateway], number_cold: int = 10
) -> tuple[bool, float]:
    """120 gateways, half of them just started; a third of 30 servers comes back cold within a tenth of a
    second. A warm server does one second's work a second; what is asked is 0.6 of what all warm would do.
    Whether hardly anything was sent to the cold ones, and the largest share of the fall budget spent."""
    s = settings(use_counter=False, gateways=120, plans=(i.Plan(),), slow_start_duration=15.0,
                 slow_start_share=0.16, collapse_time=3.0, collapse_ratio=2.5)  # fmt: skip
    rng, work, cold = random.Random(3), 0.15, range(1, number_cold + 1)
    lines = tuple(entry(n, started=50.0 + 0.01 * n if n in cold else 0.0) for n in range(1, 31))
    gates = [make(s, n) for n in range(120)]
    for n, gate in enumerate(gates):
        if n % 2:
            gate.handle(20.0, [i.ServerList(i.ListKind.COMPLETE, tuple(entry(k) for k in range(1, 31)))])
        gate.handle(50.2, [i.ServerList(i.ListKind.COMPLETE, lines)])
    weights = [1.0 if spread == "even" else 1.0 / (1 + n) for n in range(120)]
    sent: dict[int, list[float]] = {n: [] for n in cold}
    pending: list[tuple[float, int, i.Event]] = []
    now, number = 50.2, 0
    while now < 62.0:
        now += rng.expovariate(0.6 * 30 / work)
        while pending and pending[0][0] <= now:
            at, g, event = pending.pop(0)
            gates[g].handle(at, [event])
        number += 1
        g = rng.choices(range(120), weights)[0]
        for a in gates[g].handle(now, [i.Request(number, 0, 0, number, 2.0)]):
            if isinstance(a, i.Send):
                end = i.Outcome(a.request, 0, a.server, i.End.OK, work, True)
                pending.append((now + work, g, end))
                if a.server in sent:
                    sent[a.server].append(now)
    over = 0.0
    for server, times in sent.items():
        for t in times:
            share = 0.16 + 0.84 * min(1.0, (t - 50.0 - 0.01 * server) / 15.0)
            over = max(over, sum(work for x in times if t <= x < t + 3.0) / (2.5 * share * 3.0))
    return sum(len(v) for v in sent.values()) <= 50, over


def test_a_server_that_fails_one_class_is_spared_it_alone() -> None:
    # A quick failure must not draw more of the class; the other class goes on there.
    rig = GatewayRig(free(classes=TWO))
    first, second = Counter[int](), Counter[int]()
    for n in range(300):
        rig.at(rig.now + 0.02)
        cls = n % 2
        if rig.ask(customer=n, cls=cls) != "sent":
            continue
        server = rig.sends[-1].server
        (second if cls else first)[server] += 1
        rig.finish(i.End.ERROR if cls == 0 and server == 1 else i.End.OK, took=0.01 if server == 1 else 0.1)
        if rig.last() == "sent" and rig.sends[-1].request == rig.next and rig.sends[-1].server != server:
            rig.finish()
    assert first[1] < 0.1 * first.total()
    assert second[1] > 0.1 * second.total()


def test_all_failing_alike_ejects_nobody_for_good() -> None:
    rig = GatewayRig(free())
    for n in range(40):
        rig.at(rig.now + 0.05)
        rig.ask(customer=n)
        while rig.last() == "sent" and rig.sends[-1].request == rig.next:
            before = len(rig.sends)
            rig.finish(i.End.ERROR, took=0.01)
            if len(rig.sends) == before:
                break
    rig.at(rig.now + 0.1)
    assert rig.ask(customer=999) == "sent"


def test_a_slow_server_gets_less() -> None:
    rig = GatewayRig(free())
    for _ in range(60):
        rig.at(rig.now + 0.05)
        rig.ask(customer=rig.next)
        rig.finish(took=0.6 if rig.sends[-1].server == 1 else 0.1)
    late = Counter(s.server for s in rig.sends[-40:])
    assert late[1] < min(late[n] for n in (2, 3, 4))


def test_no_more_is_out_at_a_server_than_part_of_the_aim_does() -> None:
    rig = GatewayRig(free(), servers=1)
    for _ in range(5):
        rig.at(rig.now + 0.3)
        serve(rig)
    verdicts = [rig.ask(customer=n) for n in range(20)]
    assert 1 <= verdicts.count("sent") <= 4


def test_overload_sheds_the_low_worth_first() -> None:
    classes = (i.RequestClass(aim=2.0, deadline=4.0), i.RequestClass(2.0, 4.0, worth=9.0))
    rig = GatewayRig(free(classes=classes))
    for _ in range(20):
        rig.at(rig.now + 0.1)
        serve(rig, took=1.1)
    got: Counter[int] = Counter()
    for n in range(60):
        rig.at(rig.now + 0.04)
        got[n % 2] += rig.ask(customer=n, cls=n % 2) == "sent"
    assert got[1] > got[0]


def test_no_server_holds_a_request_for_half_its_aim_then_refuses() -> None:
    rig = GatewayRig(free(), servers=0)
    assert rig.ask() == "waiting"
    rig.at(0.3)
    assert rig.last() == "waiting"
    rig.at(0.5)
    assert rig.last() == "refused"
    assert rig.ask() == "waiting"
    rig.give(i.ServerList(i.ListKind.CHANGES, (entry(1),)))
    assert rig.last() == "sent"


def test_work_whose_client_left_is_cancelled() -> None:
    gateway = Gateway(free(allow_cancel=True), 1)
    gateway.handle(0.0, [i.ServerList(i.ListKind.COMPLETE, (entry(1), entry(2)))])
    assert any(isinstance(a, i.Send) for a in gateway.handle(0.1, [i.Request(1, 0, 0, 5, 2.0)]))
    assert i.Cancel(1, 0) in gateway.handle(0.9, [i.ClientGone(1)])


@pytest.mark.parametrize("spread", ["even", "uneven"])
def test_cold_servers_stay_within_the_fall_budget_of_a_fleet(spread: str) -> None:
    few, over = cold_fleet(spread, Gateway)
    assert not few
    assert over <= 1.0


@pytest.mark.parametrize("number_cold", [20, 27, 30])
def test_where_nearly_all_servers_are_cold_each_stays_within_the_margin_of_the_rule(number_cold: int) -> None:
    # All of what the warm ones no longer take fell on them: 2.6 times what they bear, with 30 of 30.
    few, over = cold_fleet("even", Gateway, number_cold)
    allowed = 2.5 * 0.16 * 3.0 / 0.15  # requests, at the start
    assert not few
    assert over <= (allowed + 3 * math.sqrt(allowed) + 3) / allowed * 0.9


def test_a_missing_cold_guard_is_noticed() -> None:
    source = Path(starlinggap.__file__).with_name("brain.py").read_text()
    guard = "share >= 1 or self.rng.random() < share * self.cold_part * self.crowding(drawn)"
    assert guard in source
    module = types.ModuleType("brain_without_the_cold_guard")
    exec(compile(source.replace(guard, "True"), "brain", "exec"), module.__dict__)  # noqa: S102
    assert cold_fleet("even", module.Gateway)[1] > 1.0


def test_where_most_servers_are_cold_they_bear_their_part_and_not_the_warm_ones_all() -> None:
    # Six in ten replaced within seconds: drawn by chance over all, they were sent an eighth of a warm one's
    # part while the warm ones were overrun and shed.
    gateway = Gateway(settings(use_counter=False, plans=(i.Plan(),), slow_start_duration=16.0,
                               slow_start_share=0.15, collapse_time=1.5, collapse_ratio=2.5), 1)  # fmt: skip
    lines = tuple(entry(n, started=96.0 if n <= 36 else 0.0) for n in range(1, 61))  # at 0.36 of a whole one
    gateway.handle(100.0, [i.ServerList(i.ListKind.COMPLETE, lines)])
    sent = [0, 0]
    for n in range(4000):
        for a in gateway.handle(100.0, [i.Request(n, 0, 0, n, 2.0)]):
            if isinstance(a, i.Send):
                sent[a.server <= 36] += 1
                gateway.handle(100.0, [i.Outcome(n, 0, a.server, i.End.OK, 0.1, True)])
    warm, cold = sent[0] / 24, sent[1] / 36
    assert 0.28 * warm < cold < 0.45 * warm


def work_done(servers: int, idle: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """Servers looked at and customers brought up to date for 200 requests and their housekeeping."""
    rig = GatewayRig(settings(plans=(i.Plan(rate=50.0, burst=100.0),)), servers=servers)
    for n in range(idle):
        rig.ask(customer=10_000 + n)
        if rig.last() == "sent":
            rig.finish()
    rig.at(rig.now + 2.0)
    done = 0

    def counted(real: Callable[..., float | None]) -> Callable[..., float | None]:
        def call(*args: object) -> float | None:
            nonlocal done
            done += 1
            return real(*args)

        return call

    monkeypatch.setattr(Gateway, "coldness", counted(Gateway.coldness))
    monkeypatch.setattr(Account, "turn", counted(Account.turn))
    for n in range(200):
        rig.at(rig.now + 0.01)
        if rig.ask(customer=n % 20) == "sent":
            rig.finish()
    monkeypatch.undo()
    return done


def test_the_cost_of_a_decision_does_not_grow_with_servers_or_idle_customers(
        monkeypatch: pytest.MonkeyPatch) -> None:  # fmt: skip
    small = work_done(10, 10, monkeypatch)
    assert small >= 200
    assert work_done(1000, 10, monkeypatch) <= 1.2 * small
    assert work_done(10, 2000, monkeypatch) <= 1.2 * small


def test_pressed_counter_is_not_asked_again_for_who_was_refused_just_now() -> None:
    rig = GatewayRig(settings())
    assert [rig.ask(units=4.0) for _ in range(2)] == ["sent", "sent"]
    rig.gateway.call_failed()  # one failure: pressed
    before = rig.calls
    assert [rig.ask(units=4.0) for _ in range(20)] == ["refused"] * 20
    assert rig.calls <= before + 3


def test_a_crowded_counter_is_asked_for_a_smaller_share_and_again_when_it_answers() -> None:
    rig = GatewayRig(settings(), answering=False)
    for n in range(40):
        rig.ask(customer=n, step=0.04)
        rig.answer_all(0.0)  # an answer, but late
        if rig.last() == "sent":
            rig.finish()
    few = rig.calls
    for n in range(40, 80):
        rig.ask(customer=n, step=0.04)
        rig.answer_all(0.0)
        if rig.last() == "sent":
            rig.finish()
    assert rig.calls - few <= 8
    rig.answering = True
    for n in range(100, 400):
        rig.at(rig.now + 0.04)
        rig.ask(customer=n)
        if rig.last() == "sent":
            rig.finish()
    assert rig.gateway.ask == 1.0


def test_what_is_let_in_without_a_crowded_counter_is_added_by_the_next_call() -> None:
    rig = GatewayRig(settings(plans=(i.Plan(rate=200.0, burst=2000.0),)))
    for _ in range(400):
        rig.gateway.ask, rig.gateway.ask_at = 0.5, rig.now
        rig.at(rig.now + 0.001)
        assert rig.ask() == "sent"
        rig.finish(took=0.001)
    assert sum(rig.totals.values()) == pytest.approx(400, abs=8), "exactly, not by standing for others"


def test_a_share_below_one_request_is_granted_by_chance_and_the_refusal_holds() -> None:
    # No counter answer, 200 gateways: one customer's tries are neither all let in nor tried till let in.
    rig = GatewayRig(settings(gateways=200), answering=False)
    gate = rig.gateway
    gate.ask, gate.quick, gate.let_in = 0.0, False, [0.5, 0.5]
    verdicts = [rig.ask(customer=n, spread=200, units=2.0) for n in range(60)]
    assert 10 < verdicts.count("sent") < 50
    refused = verdicts.index("refused")
    assert [rig.ask(customer=refused, spread=200, units=2.0) for _ in range(15)] == ["refused"] * 15


def test_customers_seen_once_leave() -> None:
    rig = GatewayRig(free())
    for n in range(3000):
        rig.ask(customer=n)
        rig.finish()
    rig.at(200.0)
    assert len(rig.gateway.customers) == 0
    assert len(rig.gateway.work) == 0
    assert not any(s.out for s in rig.gateway.servers.values())


def test_events_about_unknown_things_are_harmless() -> None:
    gateway = Gateway(settings(), 1)
    gateway.handle(0.0, [])
    events: list[i.Event] = [
              i.Outcome(9, 0, 9, i.End.OK, 0.1), i.ClientGone(9), i.TimerFired(123456),
              i.PeerMessage(1, b"x"), i.CountOutcome(9, 0.1, i.End.OK, 5.0), i.StreamStarted(9, 0, 9, 0.1),
              i.ProbeOutcome(9, i.End.OK, 0.1)]  # fmt: skip
    assert gateway.handle(0.1, events) == []


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"classes": ()}, "classes"),
        ({"plans": ()}, "plans"),
        ({"plans": (i.Plan(rate=-1.0),)}, "plans[0].rate"),
        ({"plans": (i.Plan(rate=1.0),)}, "plans[0].burst"),
        ({"classes": (i.RequestClass(0.0, 1.0),)}, "classes[0].aim"),
        ({"gateways": 0}, "gateways"),
    ],
)
def test_unusable_settings_name_the_field(changes: dict[str, object], field: str) -> None:
    with pytest.raises(starlinggap.SettingsError, match="^" + field.replace("[", r"\[")):
        Gateway(settings(**changes), 1)


def test_the_example_runs() -> None:
    assert run()[-2:] == ["send to 1", "answered"]


@pytest.mark.parametrize("path", sorted(Path(starlinggap.__file__).parent.glob("*.py")), ids=lambda p: p.name)
def test_each_module_of_the_decisions_stays_readable(path: Path) -> None:
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    assert len(lines) <= 810
    assert max(map(len, lines)) <= 110
    assert lines[0].startswith('"""')


def test_what_ends_late_is_shed_more_and_more_and_less_again() -> None:
    # Clients give up early and repeat: half of what is sent ends late, though each takes less than the aim.
    rig = GatewayRig(free())
    for n in range(400):
        rig.at(rig.now + 0.05)
        if rig.ask(customer=n, budget=0.3) == "sent":
            rig.at(rig.now + 0.3 * (n % 2))
            rig.finish(i.End.TIMEOUT if n % 2 else i.End.OK, took=0.1)
    assert rig.gateway.shed > 0.4
    for n in range(400, 800):
        rig.at(rig.now + 0.05)
        if rig.ask(customer=n) == "sent":
            rig.finish()
    assert rig.gateway.shed == 0.0


def pressed_and_overloaded() -> GatewayRig:
    """A gateway whose counter has just failed once, and which sheds nearly all."""
    rig = GatewayRig(settings())
    rig.gateway.call_failed()
    rig.gateway.shed = 0.95
    rig.gateway.late = rig.gateway.answered = 50.0
    return rig


def test_a_pressed_counter_is_not_asked_for_what_overload_sheds() -> None:
    rig = pressed_and_overloaded()
    before = rig.calls
    verdicts = [rig.ask(customer=n) for n in range(60)]
    assert verdicts.count("refused") > 45
    assert rig.calls - before <= 2 * verdicts.count("sent")


@pytest.mark.parametrize(("servers", "spared"), [(60, True), (4, False)])
def test_an_error_is_believed_at_once_where_a_server_is_met_rarely(servers: int, spared: bool) -> None:
    # One of forty gateways meets each of 60 servers once in seconds: three errors in a row never came about.
    rig = GatewayRig(settings(use_counter=False, plans=(i.Plan(),)), servers=servers)
    for n in range(200):
        rig.at(n * 0.2)
        rig.ask(customer=n)
        rig.finish(took=0.02)
    rig.ask()
    bad = rig.sends[-1].server
    rig.finish(i.End.ERROR)
    rig.finish()
    ill = rig.gateway.servers[bad].ill[0]
    assert (ill[1] > rig.now + 1.0) is spared


def test_a_kept_connection_is_preferred_to_opening_one() -> None:
    # Forty gateways with little traffic opened one for every second order; each costs a server work.
    rig = GatewayRig(settings(use_counter=False, plans=(i.Plan(),)), servers=2)
    rig.gateway.servers[2].kept_at = rig.now
    for n in range(5):
        rig.ask(customer=n)
        rig.finish()
        assert rig.sends[-1].server == 2


def test_who_sheds_all_finds_out_that_the_load_is_over() -> None:
    # With nothing sent on nothing new is learnt: late answers of a burst kept one of forty gateways shedding
    # nearly all for ten seconds after the servers were idle.
    rig = GatewayRig(settings(use_counter=False, plans=(i.Plan(),)))
    gateway = rig.gateway
    gateway.shed, gateway.answered, gateway.took, gateway.late, gateway.missed = 0.95, 16.0, 14.0, 8.0, 6.0
    gateway.pace, gateway.unanswered, gateway.ended_at = 0.9, 0.3, rig.now
    for n in range(56):  # 8 a second for 7 s
        rig.at(n / 8)
        if rig.ask(customer=n) == "sent":
            rig.end_in(0.16)
    assert gateway.shed < 0.4


def test_a_pressed_counter_is_asked_first_for_what_is_worth_most() -> None:
    plans = (i.Plan(rate=100.0, burst=1000.0, price=0.5), i.Plan(rate=100.0, burst=1000.0, price=1.6))
    rig = GatewayRig(settings(plans=plans))
    asked = [0, 0]
    for n in range(600):
        rig.gateway.ask, rig.gateway.quick, before = 0.4, False, rig.calls
        rig.ask(customer=n % 2, plan=n % 2, units=1.0 + n % 2)
        rig.finish()
        asked[n % 2] += rig.calls > before
    assert asked[1] > 1.5 * asked[0] > 0


def test_a_gateway_with_little_traffic_asks_a_calm_counter_again_within_seconds() -> None:
    # One of forty has a few answers a second: growing by answers alone, what asks took ten seconds to return.
    rig = GatewayRig(settings())
    rig.gateway.call_failed()
    rig.gateway.ask = 0.05
    for n in range(16):
        rig.at(rig.now + 0.25)
        if rig.ask(customer=n) == "sent":
            rig.finish()
    assert rig.gateway.ask == 1.0


def test_what_overload_sheds_does_not_shut_its_customer_out() -> None:
    # Forty gateways meet each customer rarely: a refusal that no total has spoken for is not the next one's.
    rig = pressed_and_overloaded()
    refused = [n for n in range(60) if rig.ask(customer=n) == "refused"]
    assert len(refused) > 45
    for _ in range(len(rig.sends)):
        rig.finish()
    rig.gateway.shed = rig.gateway.late = rig.gateway.took = rig.gateway.missed = 0.0
    assert rig.gateway.ask < 1.0  # the counter is still pressed
    before = rig.calls
    for n in refused[:20]:
        if rig.ask(customer=n) == "sent":
            rig.finish()
    assert rig.calls - before >= 10


def test_a_calm_counter_that_is_far_away_is_asked_by_all() -> None:
    # It stands in another hall: each answer takes over QUICK of the time-out, and none is missed.
    rig = GatewayRig(settings(), answering=False)
    rig.gateway.call_failed()
    for n in range(200):
        rig.at(rig.now + 0.03)
        rig.ask(customer=n)
        counts, rig.counts = rig.counts, []
        for c in counts:
            rig.give(replace(rig.answer(c), duration=0.018))
        if rig.last() == "sent":
            rig.finish()
    assert rig.gateway.ask == 1.0


@pytest.mark.parametrize("trouble", ["none", "kept", "all", "late"])
def test_connections_that_die_while_kept_are_not_used(trouble: str) -> None:
    # From 20 s on what is sent on an idle kept connection is lost; or one in three everywhere; or one in
    # twenty is answered after its aim.
    rig, rng = GatewayRig(free(max_attempts=1), servers=40), random.Random(5)
    kept: dict[int, float] = {}  # since when idle
    ends = {(kind, late): [0, 0] for kind in ("kept", "new", "busy") for late in (False, True)}
    for n in range(600):
        rig.at(rig.now + 0.1)
        closed = len(rig.closed)
        assert rig.ask(customer=n) == "sent"
        server = rig.sends[-1].server
        for key in rig.closed[closed:]:
            kept.pop(key, None)
        idle = rig.now - kept.get(server, -math.inf)  # after 15 s it is closed
        kind = "new" if idle >= 15 else "kept" if idle >= 0 else "busy"
        lost = rig.now > 20 and (rng.random() < 1 / 3 if trouble == "all" else trouble == kind)
        end = ends[kind, rig.now > 25]
        end[0], end[1] = end[0] + 1, end[1] + lost
        kept[server] = rig.now + 0.08
        if lost:
            del kept[server]
        took = 2.0 if lost else 1.2 if trouble == "late" and n % 20 == 0 else 0.08
        rig.end_in(took, i.End.TIMEOUT if lost else i.End.OK)
    if trouble == "kept":
        assert ends["kept", True][1] <= 3 and ends["new", True][0] > 300
    else:  # nothing is gained by new connections, so the kept ones are used
        assert len(rig.closed) < (200 if trouble == "all" else 1) and ends["kept", True][0] > 100


@pytest.mark.parametrize(("answers", "sheds"), [("quick", False), ("slow", True), ("none", True)])
def test_lost_attempts_are_load_only_where_answers_are_slow_or_missing(answers: str, sheds: bool) -> None:
    # One in three attempts is never answered; the others in a tenth of the aim, in half of it, or not either.
    rig = GatewayRig(free(max_attempts=1), servers=40)
    for n in range(600):
        rig.at(rig.now + 0.05)
        if rig.ask(customer=n) == "sent":
            lost = n % 3 == 0 or answers == "none"
            took = 2.0 if lost else 0.08 if answers == "quick" else 0.4
            rig.end_in(took, i.End.TIMEOUT if lost else i.End.OK)
    sent = sum(s.request > 300 for s in rig.sends)
    assert sent < 100 if sheds else sent > 290 and rig.gateway.shed == 0


def test_what_is_shed_is_told_when_to_come_back_and_not_all_at_once() -> None:
    rig = GatewayRig(settings(use_counter=False))
    rig.gateway.shed = 0.95
    rig.gateway.late = rig.gateway.answered = 50.0
    while len(rig.refusals) < 50:
        rig.ask(customer=rig.next)
    waits = [r.retry_after for r in rig.refusals]
    assert min(waits) > 0.1 and max(waits) < 0.4 and len(set(waits)) > 40
    rig.gateway.shed, calm = 0.05, len(rig.refusals)
    rig.gateway.late = 0.0
    while len(rig.refusals) < calm + 5:
        rig.ask(customer=rig.next)
    assert max(r.retry_after for r in rig.refusals[calm:]) < min(waits)


UNSAFE = (i.RequestClass(aim=0.8, deadline=2.0, idempotency=i.Idempotency.UNSAFE),)


@pytest.mark.parametrize("path", ["quota", "counter silent", "shed", "no server fits", "budget spent",
                                  "attempts spent", "may have run", "moot", "no server listed"])  # fmt: skip
def test_what_is_given_up_gets_its_final_answer_at_once(path: str) -> None:
    counts = path in ("quota", "counter silent")
    s = settings(max_attempts=2) if counts else free(max_attempts=2)
    s = replace(s, classes=UNSAFE) if path == "may have run" else s
    rig = GatewayRig(s, servers=path != "no server listed")
    rig.answering = path != "counter silent"
    final = "failed" if path == "may have run" else "refused"
    if counts:
        verdicts = []
        for _ in range(12):  # a silent counter is waited for once, for 30 ms
            verdicts.append(rig.ask(step=0.0 if path == "quota" else 0.035))
            if verdicts[-1] == "sent":
                rig.finish()
        assert set(verdicts) == {"sent", final}
    elif path == "shed":
        rig.gateway.shed, rig.gateway.late, rig.gateway.answered = 0.95, 50.0, 50.0
        assert final in [rig.ask(customer=n) for n in range(20)]
    elif path == "no server fits":
        assert [rig.ask(customer=n) for n in range(9)][-1] == final
    elif path == "no server listed":  # it waits for one for half its aim, and no longer
        assert rig.ask() == "waiting"
        rig.at(0.5)
        assert rig.last() == final
    else:
        rig.gateway.retries = 0.0 if path == "budget spent" else 9.0
        assert rig.ask() == "sent"
        if path == "attempts spent":
            rig.finish(i.End.ERROR)
            assert rig.last() == "sent"
        before = rig.now
        rig.finish({"budget spent": i.End.REJECTED, "moot": i.End.NOT_SENT}.get(path, i.End.ERROR))
        assert rig.last() == final and rig.now == before
    if final == "refused":
        assert rig.refusals[-1].retry_after >= (rig.gateway.s.tick if counts else 0.02)


def test_what_sound_servers_have_no_room_for_is_not_sent_to_one_that_fails() -> None:
    # Guards against a server that is quick to fail: ejected, it still got nine attempts of ten in overload.
    rig = GatewayRig(settings(plans=(i.Plan(rate=1000.0, burst=1000.0),)), servers=2)
    rig.at(5.0)
    rig.gateway.servers[2].ill = {0: [1.0, 1e9, 8.0]}
    while rig.ask(customer=rig.next) == "sent":
        assert rig.next < 100
    assert {send.server for send in rig.sends} == {1} and len(rig.sends) > 2
    rig.gateway.servers[1].ill = {0: [1.0, 1e9, 8.0]}  # with all of them ejected, any is better than none
    rig.gateway.servers[1].out.clear()
    rig.gateway.shed = rig.gateway.out_aims = 0.0
    assert rig.ask(customer=0) == "sent"


@pytest.mark.parametrize("price", [0.02, 0.0])
def test_a_priced_crossing_of_halls_is_made_only_where_the_own_hall_has_no_room(price: float) -> None:
    rig = GatewayRig(free(zone=1, cross_zone_price=price), servers=0)
    rig.give(i.ServerList(i.ListKind.COMPLETE, tuple(entry(n, zone=n % 3) for n in range(1, 10))))
    for _ in range(90):  # light: one at a time
        rig.at(rig.now + 0.05)
        serve(rig)
    own = sum(s.server % 3 == 1 for s in rig.sends) / len(rig.sends)
    assert own > 0.9 if price else 0.2 < own < 0.5
    # Busy: what the own hall has no room for goes to the others, and nothing is refused.
    verdicts = [rig.ask(customer=500 + n) for n in range(24)]
    crossed = {s.server % 3 for s in rig.sends[-verdicts.count("sent") :]}
    assert verdicts.count("sent") == 24 and crossed == {0, 1, 2}


def test_a_calm_counter_is_not_asked_for_who_repeats_before_the_store_has_room() -> None:
    rig = GatewayRig(settings())
    assert [rig.ask(units=4.0) for _ in range(2)] == ["sent", "sent"]
    assert rig.ask(units=4.0) == "refused"  # by the counter's total: added and taken back
    before = rig.calls
    assert [rig.ask(units=4.0, step=0.01) for _ in range(20)] == ["refused"] * 20
    assert rig.calls == before
    rig.at(rig.now + 2.5)  # the store has room again for one: the counter is asked once more
    rig.ask(units=4.0)
    assert rig.calls > before


def test_who_was_refused_lately_is_let_in_as_its_store_has_room_though_the_counter_is_pressed() -> None:
    rig = GatewayRig(settings())
    for _ in range(2):
        assert rig.ask(units=4.0) == "sent"
        rig.finish()
    assert rig.ask(units=4.0) == "refused"
    rig.gateway.ask, rig.gateway.quick = 0.3, False
    assert rig.ask(units=1.0) == "refused"
    rig.at(rig.now + 0.9)  # 1.8 units have come back; the refusal is a quarter of a window old in 0.1 s
    assert rig.ask(units=1.0) == "sent"


@pytest.mark.parametrize("step", [3600.0, -3600.0])
def test_a_server_that_starts_while_we_serve_is_cold_whatever_the_clocks_say(step: float) -> None:
    # Our clock is an hour ahead of the list's, or an hour behind it.
    rig = GatewayRig(free(slow_start_duration=16.0, slow_start_share=0.15), servers=3)
    rig.at(10_000.0)
    rig.give(i.ServerList(i.ListKind.CHANGES, (entry(4, started=rig.now - step),)))
    gate = rig.gateway
    assert gate.coldness(gate.servers[4]) == pytest.approx(0.15)
    rig.at(rig.now + 8.0)
    rig.give(i.ServerList(i.ListKind.CHANGES, ()))
    assert gate.coldness(gate.servers[4]) == pytest.approx(0.575)
    rig.give(i.ServerList(i.ListKind.CHANGES, (i.ServerEntry(4, i.Health.GONE),)))
    rig.give(i.ServerList(i.ListKind.CHANGES, (entry(4, started=10_000.0 - step),)))
    rig.at(rig.now + 8.0)
    rig.give(i.ServerList(i.ListKind.CHANGES, ()))
    # Named again under a start that is known: by our clock's word it is long warm, or still to start.
    assert gate.coldness(gate.servers[4]) == (1.0 if step > 0 else pytest.approx(0.575))


def test_servers_of_the_first_list_are_as_old_as_it_says() -> None:
    gate = Gateway(free(slow_start_duration=16.0, slow_start_share=0.15), 1)
    gate.handle(10_000.0, [i.ServerList(i.ListKind.CACHED, (entry(1, started=5_000.0),))])
    both = entry(1, started=5_000.0), entry(2, started=5_000.0)
    gate.handle(10_000.1, [i.ServerList(i.ListKind.COMPLETE, both)])
    assert [gate.coldness(s) for s in gate.servers.values()] == [1.0, 1.0]
