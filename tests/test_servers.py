"""Choice of servers, attempts, retries and overload, decided by one gateway or by a fleet of them."""

from __future__ import annotations

import ast
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
from starlinggap import Gateway, interface
from starlinggap.quota import Account
from tests.gateway_rig import GatewayRig, entry, settings

TWO = (
    interface.RequestClass(aim=0.8, deadline=2.0),
    interface.RequestClass(aim=1.5, deadline=4.0, worth=3.0),
)


def free(**changes: object) -> interface.Settings:
    """Settings without a quota and without a counter."""
    return settings(use_counter=False, plans=(interface.Plan(),), **changes)


def serve_one(rig: GatewayRig, took: float = 0.1) -> int:
    """Has one request sent and answered; returns its server."""
    assert rig.request(account=rig.request_number + 100) == "sent"
    rig.finish(took=took)
    return rig.sends[-1].server


def cold_fleet(
    spread: str, make_gateway: Callable[[interface.Settings, int], Gateway], number_cold: int = 10
) -> tuple[bool, float]:
    """120 gateways, half of them just started, and 30 servers of which `number_cold` restart within 0.3 s.

    A warm server does one second's work per second; the load is 0.6 of what all would do if warm. Returns
    whether hardly anything was sent to the cold ones, and the largest share of the collapse limit reached.
    """
    config = settings(
        use_counter=False,
        gateways=120,
        plans=(interface.Plan(),),
        slow_start_duration=15.0,
        slow_start_share=0.16,
        collapse_time=3.0,
        collapse_ratio=2.5,
    )
    rng, service_time, cold = random.Random(3), 0.15, range(1, number_cold + 1)
    entries = tuple(entry(n, started=50.0 + 0.01 * n if n in cold else 0.0) for n in range(1, 31))
    gateways = [make_gateway(config, n) for n in range(120)]
    for n, gateway in enumerate(gateways):
        if n % 2:
            gateway.handle(
                20.0,
                [interface.ServerList(interface.ListKind.COMPLETE, tuple(entry(k) for k in range(1, 31)))],
            )
        gateway.handle(50.2, [interface.ServerList(interface.ListKind.COMPLETE, entries)])
    weights = [1.0 if spread == "even" else 1.0 / (1 + n) for n in range(120)]
    sent: dict[int, list[float]] = {n: [] for n in cold}
    pending: list[tuple[float, int, interface.Event]] = []
    now, number = 50.2, 0
    while now < 62.0:
        now += rng.expovariate(0.6 * 30 / service_time)
        while pending and pending[0][0] <= now:
            at, index, event = pending.pop(0)
            gateways[index].handle(at, [event])
        number += 1
        index = rng.choices(range(120), weights)[0]
        for action in gateways[index].handle(now, [interface.Request(number, 0, 0, number, 2.0)]):
            if isinstance(action, interface.Send):
                end = interface.Outcome(
                    action.request, 0, action.server, interface.End.OK, service_time, True
                )
                pending.append((now + service_time, index, end))
                if action.server in sent:
                    sent[action.server].append(now)
    worst = 0.0
    for server, times in sent.items():
        for t in times:
            share = 0.16 + 0.84 * min(1.0, (t - 50.0 - 0.01 * server) / 15.0)
            worst = max(worst, sum(service_time for x in times if t <= x < t + 3.0) / (2.5 * share * 3.0))
    return sum(len(v) for v in sent.values()) <= 50, worst


def test_a_server_that_fails_one_class_is_ejected_for_it_alone() -> None:
    # Failing quickly must not attract more requests of the class; the other class is still sent there.
    rig = GatewayRig(free(classes=TWO))
    first, second = Counter[int](), Counter[int]()
    for n in range(300):
        rig.advance_to(rig.now + 0.02)
        cls = n % 2
        if rig.request(account=n, cls=cls) != "sent":
            continue
        server = rig.sends[-1].server
        (second if cls else first)[server] += 1
        rig.finish(
            interface.End.ERROR if cls == 0 and server == 1 else interface.End.OK,
            took=0.01 if server == 1 else 0.1,
        )
        if (
            rig.last_state() == "sent"
            and rig.sends[-1].request == rig.request_number
            and rig.sends[-1].server != server
        ):
            rig.finish()
    assert first[1] < 0.1 * first.total()
    assert second[1] > 0.1 * second.total()


def test_all_failing_alike_ejects_nobody_for_good() -> None:
    rig = GatewayRig(free())
    for n in range(40):
        rig.advance_to(rig.now + 0.05)
        rig.request(account=n)
        while rig.last_state() == "sent" and rig.sends[-1].request == rig.request_number:
            before = len(rig.sends)
            rig.finish(interface.End.ERROR, took=0.01)
            if len(rig.sends) == before:
                break
    rig.advance_to(rig.now + 0.1)
    assert rig.request(account=999) == "sent"


def test_a_slow_server_gets_less() -> None:
    rig = GatewayRig(free())
    for _ in range(60):
        rig.advance_to(rig.now + 0.05)
        rig.request(account=rig.request_number)
        rig.finish(took=0.6 if rig.sends[-1].server == 1 else 0.1)
    late = Counter(s.server for s in rig.sends[-40:])
    assert late[1] < min(late[n] for n in (2, 3, 4))


def test_attempts_in_flight_at_a_server_take_no_more_than_part_of_the_aim() -> None:
    rig = GatewayRig(free(), servers=1)
    for _ in range(5):
        rig.advance_to(rig.now + 0.3)
        serve_one(rig)
    states = [rig.request(account=n) for n in range(20)]
    assert 1 <= states.count("sent") <= 4


def test_overload_sheds_the_low_worth_first() -> None:
    classes = (interface.RequestClass(aim=2.0, deadline=4.0), interface.RequestClass(2.0, 4.0, worth=9.0))
    rig = GatewayRig(free(classes=classes))
    for _ in range(20):
        rig.advance_to(rig.now + 0.1)
        serve_one(rig, took=1.1)
    sent: Counter[int] = Counter()
    for n in range(60):
        rig.advance_to(rig.now + 0.04)
        sent[n % 2] += rig.request(account=n, cls=n % 2) == "sent"
    assert sent[1] > sent[0]


def test_without_servers_a_request_is_held_for_half_its_aim_then_refused() -> None:
    rig = GatewayRig(free(), servers=0)
    assert rig.request() == "waiting"
    rig.advance_to(0.3)
    assert rig.last_state() == "waiting"
    rig.advance_to(0.5)
    assert rig.last_state() == "refused"
    assert rig.request() == "waiting"
    rig.feed(interface.ServerList(interface.ListKind.CHANGES, (entry(1),)))
    assert rig.last_state() == "sent"


def test_attempts_whose_client_left_are_cancelled() -> None:
    gateway = Gateway(free(allow_cancel=True), 1)
    gateway.handle(0.0, [interface.ServerList(interface.ListKind.COMPLETE, (entry(1), entry(2)))])
    assert any(
        isinstance(a, interface.Send) for a in gateway.handle(0.1, [interface.Request(1, 0, 0, 5, 2.0)])
    )
    assert interface.Cancel(1, 0) in gateway.handle(0.9, [interface.ClientGone(1)])


@pytest.mark.parametrize("spread", ["even", "uneven"])
def test_cold_servers_stay_within_the_collapse_limit_in_a_fleet(spread: str) -> None:
    hardly_any, worst = cold_fleet(spread, Gateway)
    assert not hardly_any
    assert worst <= 1.0


@pytest.mark.parametrize("number_cold", [20, 27, 30])
def test_where_nearly_all_servers_are_cold_each_stays_within_the_margin_of_the_rule(number_cold: int) -> None:
    # With 30 of 30 cold, the traffic that warm servers would take once fell on them: 2.6 times the limit.
    hardly_any, worst = cold_fleet("even", Gateway, number_cold)
    allowed = 2.5 * 0.16 * 3.0 / 0.15  # requests, at the start
    assert not hardly_any
    assert worst <= (allowed + 3 * math.sqrt(allowed) + 3) / allowed * 0.9


def test_a_missing_cold_guard_is_noticed() -> None:
    source = Path(starlinggap.__file__).with_name("brain.py").read_text()
    guard = "share >= 1 or self.rng.random() < share * self.cold_factor * self.cold_damping(drawn)"
    assert guard in source
    module = types.ModuleType("brain_without_the_cold_guard")
    exec(compile(source.replace(guard, "True"), "brain", "exec"), module.__dict__)  # noqa: S102
    assert cold_fleet("even", module.Gateway)[1] > 1.0


def test_where_most_servers_are_cold_they_bear_their_part_and_not_the_warm_ones_all() -> None:
    # Six in ten servers replaced within seconds: drawn at random from all, cold ones once got an eighth of a
    # warm one's part, while the warm ones were overloaded and requests were shed.
    gateway = Gateway(
        settings(
            use_counter=False,
            plans=(interface.Plan(),),
            slow_start_duration=16.0,
            slow_start_share=0.15,
            collapse_time=1.5,
            collapse_ratio=2.5,
        ),
        1,
    )
    # The cold ones are at 0.36 of their capacity.
    entries = tuple(entry(n, started=96.0 if n <= 36 else 0.0) for n in range(1, 61))
    gateway.handle(100.0, [interface.ServerList(interface.ListKind.COMPLETE, entries)])
    sent = [0, 0]
    for n in range(4000):
        for action in gateway.handle(100.0, [interface.Request(n, 0, 0, n, 2.0)]):
            if isinstance(action, interface.Send):
                sent[action.server <= 36] += 1
                gateway.handle(100.0, [interface.Outcome(n, 0, action.server, interface.End.OK, 0.1, True)])
    warm, cold = sent[0] / 24, sent[1] / 36
    assert 0.28 * warm < cold < 0.45 * warm


def decision_cost(servers: int, idle: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """Number of servers examined and accounts advanced for 200 requests and their housekeeping."""
    rig = GatewayRig(settings(plans=(interface.Plan(rate=50.0, burst=100.0),)), servers=servers)
    for n in range(idle):
        rig.request(account=10_000 + n)
        if rig.last_state() == "sent":
            rig.finish()
    rig.advance_to(rig.now + 2.0)
    operations = 0

    def counted(method: Callable[..., float | None]) -> Callable[..., float | None]:
        def call(*args: object) -> float | None:
            nonlocal operations
            operations += 1
            return method(*args)

        return call

    monkeypatch.setattr(Gateway, "capacity_share", counted(Gateway.capacity_share))
    monkeypatch.setattr(Account, "advance", counted(Account.advance))
    for n in range(200):
        rig.advance_to(rig.now + 0.01)
        if rig.request(account=n % 20) == "sent":
            rig.finish()
    monkeypatch.undo()
    return operations


def test_the_cost_of_a_decision_does_not_grow_with_servers_or_idle_accounts(
        monkeypatch: pytest.MonkeyPatch) -> None:  # fmt: skip
    small = decision_cost(10, 10, monkeypatch)
    assert small >= 200
    assert decision_cost(1000, 10, monkeypatch) <= 1.2 * small
    assert decision_cost(10, 2000, monkeypatch) <= 1.2 * small


def test_an_overloaded_counter_is_not_called_again_for_an_account_just_refused() -> None:
    rig = GatewayRig(settings())
    assert [rig.request(units=4.0) for _ in range(2)] == ["sent", "sent"]
    rig.gateway.record_failed_call()  # now taken as overloaded
    before = rig.call_count
    assert [rig.request(units=4.0) for _ in range(20)] == ["refused"] * 20
    assert rig.call_count <= before + 3


def test_an_overloaded_counter_is_called_for_a_smaller_share_until_it_recovers() -> None:
    rig = GatewayRig(settings(), answering=False)
    for n in range(40):
        rig.request(account=n, step=0.04)
        rig.answer_all(0.0)  # an answer, but late
        if rig.last_state() == "sent":
            rig.finish()
    before = rig.call_count
    for n in range(40, 80):
        rig.request(account=n, step=0.04)
        rig.answer_all(0.0)
        if rig.last_state() == "sent":
            rig.finish()
    assert rig.call_count - before <= 8
    rig.answering = True
    for n in range(100, 400):
        rig.advance_to(rig.now + 0.04)
        rig.request(account=n)
        if rig.last_state() == "sent":
            rig.finish()
    assert rig.gateway.call_share == 1.0


def test_units_admitted_without_the_overloaded_counter_are_added_by_the_next_call() -> None:
    rig = GatewayRig(settings(plans=(interface.Plan(rate=200.0, burst=2000.0),)))
    for _ in range(400):
        rig.gateway.call_share, rig.gateway.call_share_at = 0.5, rig.now
        rig.advance_to(rig.now + 0.001)
        assert rig.request() == "sent"
        rig.finish(took=0.001)
    assert sum(rig.totals.values()) == pytest.approx(400, abs=8), "each request counts itself, and no others"


def test_a_share_below_one_request_is_granted_by_chance_and_the_refusal_holds() -> None:
    # 200 gateways, no counter: an account's requests are neither all admitted, nor repeated until one is.
    rig = GatewayRig(settings(gateways=200), answering=False)
    gateway = rig.gateway
    gateway.call_share, gateway.counter_quick, gateway.admit_shares = 0.0, False, [0.5, 0.5]
    states = [rig.request(account=n, spread=200, units=2.0) for n in range(60)]
    assert 10 < states.count("sent") < 50
    refused = states.index("refused")
    assert [rig.request(account=refused, spread=200, units=2.0) for _ in range(15)] == ["refused"] * 15


def test_accounts_seen_once_are_dropped() -> None:
    rig = GatewayRig(free())
    for n in range(3000):
        rig.request(account=n)
        rig.finish()
    rig.advance_to(200.0)
    assert len(rig.gateway.accounts) == 0
    assert len(rig.gateway.requests) == 0
    assert not any(s.in_flight for s in rig.gateway.servers.values())


def test_events_about_unknown_things_are_harmless() -> None:
    gateway = Gateway(settings(), 1)
    gateway.handle(0.0, [])
    events: list[interface.Event] = [
        interface.Outcome(9, 0, 9, interface.End.OK, 0.1),
        interface.ClientGone(9),
        interface.TimerFired(123456),
        interface.PeerMessage(1, b"x"),
        interface.CountOutcome(9, 0.1, interface.End.OK, 5.0),
        interface.StreamStarted(9, 0, 9, 0.1),
        interface.ProbeOutcome(9, interface.End.OK, 0.1),
    ]
    assert gateway.handle(0.1, events) == []


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"classes": ()}, "classes"),
        ({"plans": ()}, "plans"),
        ({"plans": (interface.Plan(rate=-1.0),)}, "plans[0].rate"),
        ({"plans": (interface.Plan(rate=1.0),)}, "plans[0].burst"),
        ({"classes": (interface.RequestClass(0.0, 1.0),)}, "classes[0].aim"),
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
    source = path.read_text()
    lines = [line for line in source.splitlines() if line.strip()]
    assert len(lines) <= 1200  # the most that the operators run
    assert max(map(len, lines)) <= 110
    assert lines[0].startswith('"""')
    for scope in ast.walk(ast.parse(source)):
        if isinstance(scope, ast.ClassDef):
            assert ast.get_docstring(scope), f"class {scope.name} has no docstring"
        if isinstance(scope, ast.Module | ast.ClassDef):
            for node in scope.body:
                if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef) and not node.name.startswith("_"):
                    assert ast.get_docstring(node), f"{node.name} has no docstring"


def test_shedding_grows_while_requests_end_late_and_shrinks_again() -> None:
    # Clients give up early and repeat: half of what is sent ends late, though each takes less than the aim.
    rig = GatewayRig(free())
    for n in range(400):
        rig.advance_to(rig.now + 0.05)
        if rig.request(account=n, budget=0.3) == "sent":
            rig.advance_to(rig.now + 0.3 * (n % 2))
            rig.finish(interface.End.TIMEOUT if n % 2 else interface.End.OK, took=0.1)
    assert rig.gateway.late_shed_share > 0.4
    for n in range(400, 800):
        rig.advance_to(rig.now + 0.05)
        if rig.request(account=n) == "sent":
            rig.finish()
    assert rig.gateway.late_shed_share == 0.0


def overloaded_after_counter_failure() -> GatewayRig:
    """A gateway whose counter has just failed once, and which sheds nearly all."""
    rig = GatewayRig(settings())
    rig.gateway.record_failed_call()
    rig.gateway.late_shed_share = 0.95
    rig.gateway.recent_late = rig.gateway.recent_answers = 50.0
    return rig


def test_an_overloaded_counter_is_not_called_for_requests_that_are_shed() -> None:
    rig = overloaded_after_counter_failure()
    before = rig.call_count
    states = [rig.request(account=n) for n in range(60)]
    assert states.count("refused") > 45
    assert rig.call_count - before <= 2 * states.count("sent")


@pytest.mark.parametrize(("servers", "ejected"), [(60, True), (4, False)])
def test_one_error_ejects_a_server_that_is_rarely_used(servers: int, ejected: bool) -> None:
    # One of forty gateways uses each of 60 servers once in seconds: it never saw three errors in a row.
    rig = GatewayRig(settings(use_counter=False, plans=(interface.Plan(),)), servers=servers)
    for n in range(200):
        rig.advance_to(n * 0.2)
        rig.request(account=n)
        rig.finish(took=0.02)
    rig.request()
    bad = rig.sends[-1].server
    rig.finish(interface.End.ERROR)
    rig.finish()
    failure = rig.gateway.servers[bad].failures[0]
    assert (failure[1] > rig.now + 1.0) is ejected


def test_a_kept_connection_is_preferred_to_opening_one() -> None:
    # Forty gateways with little traffic opened one for every second request; each costs a server work.
    rig = GatewayRig(settings(use_counter=False, plans=(interface.Plan(),)), servers=2)
    rig.gateway.servers[2].connection_used_at = rig.now
    for n in range(5):
        rig.request(account=n)
        rig.finish()
        assert rig.sends[-1].server == 2


def test_a_gateway_that_sheds_all_notices_the_end_of_the_load() -> None:
    # A gateway that sends nothing observes nothing: after a burst, its late answers once kept one of forty
    # gateways shedding nearly all for ten seconds, with the servers idle.
    rig = GatewayRig(settings(use_counter=False, plans=(interface.Plan(),)))
    gateway = rig.gateway
    (
        gateway.late_shed_share,
        gateway.recent_answers,
        gateway.recent_aim_ratios,
        gateway.recent_late,
        gateway.recent_overdue,
    ) = (0.95, 16.0, 14.0, 8.0, 6.0)
    gateway.mean_aim_ratio, gateway.loss_share, gateway.decayed_at = 0.9, 0.3, rig.now
    for n in range(56):  # 8 a second for 7 s
        rig.advance_to(n / 8)
        if rig.request(account=n) == "sent":
            rig.finish_in(0.16)
    assert gateway.late_shed_share < 0.4


def test_an_overloaded_counter_is_called_first_for_what_is_worth_most() -> None:
    plans = (
        interface.Plan(rate=100.0, burst=1000.0, price=0.5),
        interface.Plan(rate=100.0, burst=1000.0, price=1.6),
    )
    rig = GatewayRig(settings(plans=plans))
    calls = [0, 0]
    for n in range(600):
        rig.gateway.call_share, rig.gateway.counter_quick, before = 0.4, False, rig.call_count
        rig.request(account=n % 2, plan=n % 2, units=1.0 + n % 2)
        rig.finish()
        calls[n % 2] += rig.call_count > before
    assert calls[1] > 1.5 * calls[0] > 0


def test_a_gateway_with_little_traffic_calls_a_recovered_counter_within_seconds() -> None:
    # One of forty gets few answers: if it grew by answers alone, its call share took ten seconds to recover.
    rig = GatewayRig(settings())
    rig.gateway.record_failed_call()
    rig.gateway.call_share = 0.05
    for n in range(16):
        rig.advance_to(rig.now + 0.25)
        if rig.request(account=n) == "sent":
            rig.finish()
    assert rig.gateway.call_share == 1.0


def test_a_shed_request_does_not_shut_its_account_out() -> None:
    # Forty gateways see each account rarely: only a refusal by a total denies the account's next request.
    rig = overloaded_after_counter_failure()
    refused = [n for n in range(60) if rig.request(account=n) == "refused"]
    assert len(refused) > 45
    for _ in range(len(rig.sends)):
        rig.finish()
    rig.gateway.late_shed_share = rig.gateway.recent_late = rig.gateway.recent_aim_ratios = (
        rig.gateway.recent_overdue
    ) = 0.0
    assert rig.gateway.call_share < 1.0  # the counter is still taken as overloaded
    before = rig.call_count
    for n in refused[:20]:
        if rig.request(account=n) == "sent":
            rig.finish()
    assert rig.call_count - before >= 10


def test_a_healthy_counter_that_is_far_away_is_called_for_all() -> None:
    # In another zone, each answer takes more than QUICK_ANSWER_SHARE of the timeout, but none is late.
    rig = GatewayRig(settings(), answering=False)
    rig.gateway.record_failed_call()
    for n in range(200):
        rig.advance_to(rig.now + 0.03)
        rig.request(account=n)
        calls, rig.open_calls = rig.open_calls, []
        for call in calls:
            rig.feed(replace(rig.answer(call), duration=0.018))
        if rig.last_state() == "sent":
            rig.finish()
    assert rig.gateway.call_share == 1.0


@pytest.mark.parametrize("fault", ["none", "kept", "all", "late"])
def test_connections_that_die_while_kept_are_not_used(fault: str) -> None:
    # From 20 s on, "kept" loses what is sent on an idle kept connection, and "all" one in three anywhere.
    # "late" answers one in twenty after its aim.
    rig, rng = GatewayRig(free(max_attempts=1), servers=40), random.Random(5)
    idle_since: dict[int, float] = {}  # by server
    ends = {(connection, late): [0, 0] for connection in ("kept", "new", "busy") for late in (False, True)}
    for n in range(600):
        rig.advance_to(rig.now + 0.1)
        closed_before = len(rig.closed_servers)
        assert rig.request(account=n) == "sent"
        server = rig.sends[-1].server
        for closed_server in rig.closed_servers[closed_before:]:
            idle_since.pop(closed_server, None)
        idle = rig.now - idle_since.get(server, -math.inf)  # after 15 s it is closed
        connection = "new" if idle >= 15 else "kept" if idle >= 0 else "busy"
        lost = rig.now > 20 and (rng.random() < 1 / 3 if fault == "all" else fault == connection)
        counts = ends[connection, rig.now > 25]
        counts[0], counts[1] = counts[0] + 1, counts[1] + lost
        idle_since[server] = rig.now + 0.08
        if lost:
            del idle_since[server]
        took = 2.0 if lost else 1.2 if fault == "late" and n % 20 == 0 else 0.08
        rig.finish_in(took, interface.End.TIMEOUT if lost else interface.End.OK)
    if fault == "kept":
        assert ends["kept", True][1] <= 3 and ends["new", True][0] > 300
    else:  # nothing is gained by new connections, so the kept ones are used
        assert len(rig.closed_servers) < (200 if fault == "all" else 1) and ends["kept", True][0] > 100


@pytest.mark.parametrize(("answers", "sheds"), [("quick", False), ("slow", True), ("none", True)])
def test_lost_attempts_are_load_only_where_answers_are_slow_or_missing(answers: str, sheds: bool) -> None:
    # One in three attempts gets no answer; the others get one in a tenth or half of the aim, or none either.
    rig = GatewayRig(free(max_attempts=1), servers=40)
    for n in range(600):
        rig.advance_to(rig.now + 0.05)
        if rig.request(account=n) == "sent":
            lost = n % 3 == 0 or answers == "none"
            took = 2.0 if lost else 0.08 if answers == "quick" else 0.4
            rig.finish_in(took, interface.End.TIMEOUT if lost else interface.End.OK)
    sent = sum(s.request > 300 for s in rig.sends)
    assert sent < 100 if sheds else sent > 290 and rig.gateway.late_shed_share == 0


def test_shed_requests_are_told_to_retry_at_different_times() -> None:
    rig = GatewayRig(settings(use_counter=False))
    rig.gateway.late_shed_share = 0.95
    rig.gateway.recent_late = rig.gateway.recent_answers = 50.0
    while len(rig.refusals) < 50:
        rig.request(account=rig.request_number)
    waits = [r.retry_after for r in rig.refusals]
    assert min(waits) > 0.1 and max(waits) < 0.4 and len(set(waits)) > 40
    rig.gateway.late_shed_share, before = 0.05, len(rig.refusals)
    rig.gateway.recent_late = 0.0
    while len(rig.refusals) < before + 5:
        rig.request(account=rig.request_number)
    assert max(r.retry_after for r in rig.refusals[before:]) < min(waits)


UNSAFE = (interface.RequestClass(aim=0.8, deadline=2.0, idempotency=interface.Idempotency.UNSAFE),)


@pytest.mark.parametrize("path", ["quota", "counter silent", "shed", "no server fits", "budget spent",
                                  "attempts spent", "may have run", "moot", "no server listed"])  # fmt: skip
def test_a_request_given_up_gets_its_final_answer_at_once(path: str) -> None:
    by_quota = path in ("quota", "counter silent")
    config = settings(max_attempts=2) if by_quota else free(max_attempts=2)
    config = replace(config, classes=UNSAFE) if path == "may have run" else config
    rig = GatewayRig(config, servers=path != "no server listed")
    rig.answering = path != "counter silent"
    final = "failed" if path == "may have run" else "refused"
    if by_quota:
        states = []
        for _ in range(12):  # a silent counter is waited for once, for 30 ms
            states.append(rig.request(step=0.0 if path == "quota" else 0.035))
            if states[-1] == "sent":
                rig.finish()
        assert set(states) == {"sent", final}
    elif path == "shed":
        rig.gateway.late_shed_share, rig.gateway.recent_late, rig.gateway.recent_answers = 0.95, 50.0, 50.0
        assert final in [rig.request(account=n) for n in range(20)]
    elif path == "no server fits":
        assert [rig.request(account=n) for n in range(9)][-1] == final
    elif path == "no server listed":  # it waits for one for half its aim
        assert rig.request() == "waiting"
        rig.advance_to(0.5)
        assert rig.last_state() == final
    else:
        rig.gateway.retry_budget = 0.0 if path == "budget spent" else 9.0
        assert rig.request() == "sent"
        if path == "attempts spent":
            rig.finish(interface.End.ERROR)
            assert rig.last_state() == "sent"
        before = rig.now
        rig.finish(
            {"budget spent": interface.End.REJECTED, "moot": interface.End.NOT_SENT}.get(
                path, interface.End.ERROR
            )
        )
        assert rig.last_state() == final and rig.now == before
    if final == "refused":
        assert rig.refusals[-1].retry_after >= (rig.gateway.settings.tick if by_quota else 0.02)


def test_what_healthy_servers_have_no_room_for_is_not_sent_to_an_ejected_one() -> None:
    # A server that failed quickly once got nine attempts of ten in overload, although it was ejected.
    rig = GatewayRig(settings(plans=(interface.Plan(rate=1000.0, burst=1000.0),)), servers=2)
    rig.advance_to(5.0)
    rig.gateway.servers[2].failures = {0: [1.0, 1e9, 8.0]}
    while rig.request(account=rig.request_number) == "sent":
        assert rig.request_number < 100
    assert {send.server for send in rig.sends} == {1} and len(rig.sends) > 2
    # With all of them ejected, any is better than none.
    rig.gateway.servers[1].failures = {0: [1.0, 1e9, 8.0]}
    rig.gateway.servers[1].in_flight.clear()
    rig.gateway.late_shed_share = rig.gateway.in_flight_inverse_aims = 0.0
    assert rig.request(account=0) == "sent"


@pytest.mark.parametrize("price", [0.02, 0.0])
def test_a_priced_zone_crossing_is_made_only_where_the_own_zone_has_no_room(price: float) -> None:
    rig = GatewayRig(free(zone=1, cross_zone_price=price), servers=0)
    rig.feed(
        interface.ServerList(interface.ListKind.COMPLETE, tuple(entry(n, zone=n % 3) for n in range(1, 10)))
    )
    for _ in range(90):  # light: one at a time
        rig.advance_to(rig.now + 0.05)
        serve_one(rig)
    own = sum(s.server % 3 == 1 for s in rig.sends) / len(rig.sends)
    assert own > 0.9 if price else 0.2 < own < 0.5
    # Busy: what the own zone has no room for goes to the others, and nothing is refused.
    states = [rig.request(account=500 + n) for n in range(24)]
    crossed = {s.server % 3 for s in rig.sends[-states.count("sent") :]}
    assert states.count("sent") == 24 and crossed == {0, 1, 2}


def test_a_healthy_counter_is_not_called_for_repeats_before_the_bucket_has_room() -> None:
    rig = GatewayRig(settings())
    assert [rig.request(units=4.0) for _ in range(2)] == ["sent", "sent"]
    assert rig.request(units=4.0) == "refused"  # by the counter's total: added, then refunded
    before = rig.call_count
    assert [rig.request(units=4.0, step=0.01) for _ in range(20)] == ["refused"] * 20
    assert rig.call_count == before
    rig.advance_to(rig.now + 2.5)  # the bucket has room for one again
    rig.request(units=4.0)
    assert rig.call_count > before


def test_a_refused_account_is_admitted_as_its_bucket_has_room_though_the_counter_is_overloaded() -> None:
    rig = GatewayRig(settings())
    for _ in range(2):
        assert rig.request(units=4.0) == "sent"
        rig.finish()
    assert rig.request(units=4.0) == "refused"
    rig.gateway.call_share, rig.gateway.counter_quick = 0.3, False
    assert rig.request(units=1.0) == "refused"
    # 1.8 units have been refilled, while the refusal still stands for 0.1 s (a quarter of a window in all).
    rig.advance_to(rig.now + 0.9)
    assert rig.request(units=1.0) == "sent"


@pytest.mark.parametrize("step", [3600.0, -3600.0])
def test_a_server_that_starts_while_we_serve_is_cold_whatever_the_clocks_say(step: float) -> None:
    # Our clock is an hour ahead of the server list's, or an hour behind it.
    rig = GatewayRig(free(slow_start_duration=16.0, slow_start_share=0.15), servers=3)
    rig.advance_to(10_000.0)
    rig.feed(interface.ServerList(interface.ListKind.CHANGES, (entry(4, started=rig.now - step),)))
    gateway = rig.gateway
    assert gateway.capacity_share(gateway.servers[4]) == pytest.approx(0.15)
    rig.advance_to(rig.now + 8.0)
    rig.feed(interface.ServerList(interface.ListKind.CHANGES, ()))
    assert gateway.capacity_share(gateway.servers[4]) == pytest.approx(0.575)
    rig.feed(
        interface.ServerList(interface.ListKind.CHANGES, (interface.ServerEntry(4, interface.Health.GONE),))
    )
    rig.feed(interface.ServerList(interface.ListKind.CHANGES, (entry(4, started=10_000.0 - step),)))
    rig.advance_to(rig.now + 8.0)
    rig.feed(interface.ServerList(interface.ListKind.CHANGES, ()))
    # Listed again with a known start: by our clock, it was long ago, or is still to come.
    assert gateway.capacity_share(gateway.servers[4]) == (1.0 if step > 0 else pytest.approx(0.575))


def test_servers_of_the_first_list_are_as_old_as_it_says() -> None:
    gateway = Gateway(free(slow_start_duration=16.0, slow_start_share=0.15), 1)
    gateway.handle(10_000.0, [interface.ServerList(interface.ListKind.CACHED, (entry(1, started=5_000.0),))])
    both = entry(1, started=5_000.0), entry(2, started=5_000.0)
    gateway.handle(10_000.1, [interface.ServerList(interface.ListKind.COMPLETE, both)])
    assert [gateway.capacity_share(s) for s in gateway.servers.values()] == [1.0, 1.0]
