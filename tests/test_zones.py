"""Zone failover: the zone watch and its messages, the gateway's part, and fleets in virtual time."""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from opalgauge.lab.zone_simulation import Scenario, ZoneSimulation
from opalgauge.memory.effects import ReportAttempt
from opalgauge.memory.signed_datagram import MAX_DATAGRAM_SIZE
from opalgauge.zones import messages
from opalgauge.zones.health import Opinion
from opalgauge.zones.messages import Message, ZoneReport, ZoneState
from opalgauge.zones.watch import Action, ChangeShare, LogLine, SendMessage, ZoneConfig, ZoneWatch
from starlinggap import interface
from tests.gateway_rig import GatewayRig, entry, settings

T0 = datetime(2026, 12, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
CONFIG = ZoneConfig(("a", "b", "c"), 5, 0, (60 * MS,), timedelta(seconds=8), 0.21)


class WatchRig:
    """A zone watch with attempts and messages of peers on command."""

    def __init__(self, config: ZoneConfig = CONFIG, zone_size: int = 3) -> None:
        self.now, self.number = T0, 0
        self.watch = ZoneWatch(config, T0, 1, 7)
        servers = [entry(n + 1, zone=n // zone_size) for n in range(3 * zone_size)]
        self.watch.update_servers(servers)
        self.zone_size, self.actions, self.doubt_trials = zone_size, list[Action](), list[int]()

    def attempt(self, server: int, end: interface.End, duration: timedelta = 60 * MS) -> None:
        self.number += 1
        zone, key = (server - 1) // self.zone_size, (self.number, 0)
        self.watch.record_attempt(ReportAttempt(key, server, zone, 0), self.now - duration)
        self.watch.record_attempt(ReportAttempt(key, server, zone, 0, end, duration), self.now)

    def receive_report(
        self,
        number: int,
        *opinions: Opinion,
        state: ZoneState = ZoneState.IN,
        age: timedelta = 0 * MS,
        good_trials: int = 0,
    ) -> None:
        reports = tuple(
            ZoneReport(o, state if n == 0 else ZoneState.IN, age, good_trials) for n, o in enumerate(opinions)
        )
        self.number += 1
        self.watch.handle_message(Message(number, 1, self.number, reports), self.now)

    def step(self, span: timedelta = 50 * MS) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 50 * MS
            self.actions += self.watch.tick(self.now)

    def run_attempts(
        self, span: timedelta, failing: tuple[int, ...] = (), skip: tuple[int, ...] = ()
    ) -> None:
        """Attempts at all servers but `skip`. Those at `failing` fail."""
        until = self.now + span
        while self.now < until:
            for server in range(1, 3 * self.zone_size + 1):
                if server not in skip:
                    self.attempt(
                        server, interface.End.CONNECT_FAILED if server in failing else interface.End.OK
                    )
            self.step()

    def state(self, zone: int = 0) -> ZoneState:
        return self.watch.zones[zone].state


FAIL, HEALTHY, UNSURE = Opinion.FAILING, Opinion.HEALTHY, Opinion.UNSURE


def test_zone_is_left_by_a_quorum_and_not_by_one_ingress() -> None:
    rig = WatchRig()
    rig.run_attempts(1000 * MS)
    rig.receive_report(1, HEALTHY, HEALTHY, HEALTHY)
    rig.run_attempts(400 * MS, failing=(1, 2, 3))
    rig.receive_report(1, HEALTHY, HEALTHY, HEALTHY)
    rig.run_attempts(800 * MS, failing=(1, 2, 3))
    assert rig.state() is ZoneState.IN
    rig.receive_report(2, FAIL, HEALTHY, HEALTHY)
    rig.step()
    assert rig.state() is ZoneState.LEFT
    assert ChangeShare(0, 0.0) in rig.actions
    assert any(isinstance(a, LogLine) and "see it fail" in a.text for a in rig.actions)


def test_isolated_ingress_leaves_a_zone_after_half_a_second() -> None:
    rig = WatchRig()
    rig.run_attempts(1000 * MS)
    rig.run_attempts(300 * MS, failing=(1, 2, 3))
    assert rig.state() is ZoneState.IN
    rig.run_attempts(400 * MS, failing=(1, 2, 3))
    assert rig.state() is ZoneState.LEFT


def trials(rig: WatchRig) -> list[int]:
    return [a.trial_server for a in rig.actions if isinstance(a, ChangeShare) and a.trial_server]


def finish_trial(rig: WatchRig, server: int, end: interface.End) -> None:
    rig.watch.record_attempt(
        ReportAttempt((0, server), server, (server - 1) // rig.zone_size, 0), rig.now - 20 * MS
    )
    rig.watch.record_attempt(
        ReportAttempt((0, server), server, (server - 1) // rig.zone_size, 0, end, 20 * MS), rig.now
    )


def test_isolated_ingress_tries_a_zone_that_its_requests_no_longer_reach() -> None:
    rig = WatchRig()
    rig.run_attempts(1000 * MS)
    rig.attempt(1, interface.End.CONNECT_FAILED)
    rig.step()
    assert len(trials(rig)) == 1 and trials(rig)[0] in (2, 3)  # not the one that failed
    for _ in range(20):
        rig.run_attempts(100 * MS, skip=(1, 2, 3))  # the gateway sends nothing there
        for server in trials(rig):
            finish_trial(rig, server, interface.End.CONNECT_FAILED)
        rig.actions.clear()
    assert rig.state() is ZoneState.LEFT
    assert rig.watch.zones[0].last_attempt_at is not None
    assert rig.watch.zones[0].last_attempt_at < T0 + 1000 * MS  # trials do not count as attempts


def test_trials_of_a_doubtful_zone_are_few_and_none_where_peers_are_heard() -> None:
    rig = WatchRig()
    rig.run_attempts(1000 * MS)
    samples = len(rig.watch.health.zones[0].latency_ratios)
    rig.attempt(1, interface.End.CONNECT_FAILED)
    for _ in range(100):
        rig.step()
        for server in trials(rig):
            finish_trial(rig, server, interface.End.OK)
        sent = trials(rig)
        rig.actions.clear()
        rig.doubt_trials += [server for server in sent if server <= 3]
    assert rig.state() is ZoneState.IN and 2 <= len(rig.doubt_trials) <= 7  # while the failure is remembered
    assert len(rig.watch.health.zones[0].latency_ratios) <= samples  # latencies of trials do not count
    rig.receive_report(1, UNSURE, HEALTHY, HEALTHY)
    rig.attempt(1, interface.End.CONNECT_FAILED)
    rig.step(1000 * MS)
    assert trials(rig) == []


def test_answered_trials_do_not_hide_that_requests_fail() -> None:
    rig = WatchRig()
    rig.run_attempts(1000 * MS)
    for _ in range(8):
        rig.run_attempts(100 * MS, failing=(1, 2, 3))
        for server in trials(rig):
            finish_trial(rig, server, interface.End.OK)
        rig.actions.clear()
    assert rig.state() is ZoneState.LEFT


@pytest.mark.parametrize("drop", [0.5, 1.0])
def test_five_ingresses_with_lost_messages_always_leave_a_failed_zone(drop: float) -> None:
    for seed in (1, 2, 3, 4, 24, 67, 69, 89):  # in the last four, only trials bring enough failures
        scenario = Scenario(
            ingresses=5,
            servers_per_zone=3,
            rate=80.0,
            seconds=5.0,
            warm_up=4.0,
            outage=(1.5, 9.0),
            drop=drop,
            seed=seed,
        )
        simulation = ZoneSimulation(scenario)
        result = simulation.run()
        assert len(result.left_at) == 5 and max(result.left_at) < 4.9, (seed, result.left_at)
        assert result.last_attempt is not None and result.first_failure is not None
        assert result.last_attempt - result.first_failure < 2.0, seed


@pytest.mark.parametrize("zone_size", [4, 12])
def test_half_failed_zone_is_not_left(zone_size: int) -> None:
    rig = WatchRig(zone_size=zone_size)
    half = tuple(range(1, zone_size // 2 + 1))
    for _ in range(20):
        rig.run_attempts(200 * MS, failing=half)
        assert rig.state() is ZoneState.IN


def test_never_are_all_zones_left() -> None:
    rig = WatchRig()
    rig.run_attempts(1000 * MS)
    for _ in range(20):
        rig.run_attempts(200 * MS, failing=tuple(range(1, 10)))
        assert any(rig.state(n) is not ZoneState.LEFT for n in range(3))
    # Two zones are left one after the other. When the last one fails too, all are used again.
    rig = WatchRig()
    rig.run_attempts(1000 * MS)
    rig.run_attempts(1000 * MS, failing=(1, 2, 3))
    rig.run_attempts(1000 * MS, failing=(1, 2, 3, 4, 5, 6), skip=(1, 2, 3))
    assert [rig.state(n) for n in range(3)] == [ZoneState.LEFT, ZoneState.LEFT, ZoneState.IN]
    rig.run_attempts(1500 * MS, failing=tuple(range(1, 10)), skip=(1, 2, 3, 4, 5, 6))
    assert [rig.state(n) for n in range(3)] == [ZoneState.IN] * 3


def test_only_a_relatively_slow_zone_is_slow_and_it_keeps_a_share() -> None:
    rig = WatchRig()
    for factor, slow in ((1, 1), (3, 3), (3, 9)):
        for _ in range(80):
            for server in range(1, 10):
                duration = 60 * MS * (slow if server <= 3 else factor)
                rig.attempt(server, interface.End.OK, duration)
            rig.step()
        assert rig.state() is (ZoneState.SLOW if slow > factor else ZoneState.IN)
    assert 0.2 < rig.watch.zones[0].share < 0.5
    assert rig.state(1) is rig.state(2) is ZoneState.IN


def leave_first_zone(rig: WatchRig) -> WatchRig:
    rig.run_attempts(1000 * MS)
    rig.run_attempts(1000 * MS, failing=(1, 2, 3))
    assert rig.state() is ZoneState.LEFT
    return rig


def test_return_follows_a_ramp_and_holds_grow_while_flapping() -> None:
    rig, holds = leave_first_zone(WatchRig(replace(CONFIG, fleet_size=1))), []
    for _ in range(3):
        since = rig.now
        while rig.state() is ZoneState.LEFT:
            done = len(rig.actions)
            rig.step()
            for action in [a for a in rig.actions[done:] if isinstance(a, ChangeShare) and a.trial_server]:
                rig.attempt(action.trial_server, interface.End.OK, 2 * MS)
        holds.append(rig.now - since)
        assert rig.state() is ZoneState.RETURNING and rig.watch.zones[0].share < 0.21
        rig.step(2000 * MS)
        assert 0.21 < rig.watch.zones[0].share < 0.5
        rig.run_attempts(1200 * MS, failing=(1, 2, 3))
        assert rig.state() is ZoneState.LEFT
    assert holds[0] < holds[1] < holds[2]


@pytest.mark.parametrize("good", [0, 2], ids=["return of peers", "trials of peers"])
def test_zone_left_again_is_not_returned_to_for_older_reports(good: int) -> None:
    rig = leave_first_zone(WatchRig())
    for n in range(1, 5):
        rig.receive_report(
            n, UNSURE, HEALTHY, HEALTHY, state=ZoneState.RETURNING, age=900 * MS, good_trials=good
        )
    rig.step()
    assert rig.state() is ZoneState.LEFT
    for n in range(1, 5):  # a return that begins later is followed
        rig.receive_report(n, UNSURE, HEALTHY, HEALTHY, state=ZoneState.RETURNING)
    rig.step(400 * MS)
    for n in range(1, 5):
        rig.receive_report(n, UNSURE, HEALTHY, HEALTHY, state=ZoneState.RETURNING, age=100 * MS)
    rig.step()
    assert rig.state() is ZoneState.RETURNING


def test_one_good_trial_among_failed_ones_starts_no_return() -> None:
    rig = leave_first_zone(WatchRig(replace(CONFIG, fleet_size=1)))
    for n in range(40):
        rig.attempt(1, interface.End.OK if n % 2 else interface.End.CONNECT_FAILED, 2 * MS)
        rig.step()
        assert rig.state() is ZoneState.LEFT


def test_restarted_ingress_adopts_the_state_of_its_peers() -> None:
    rig = WatchRig()
    for number in (1, 2, 3):
        rig.receive_report(number, UNSURE, HEALTHY, HEALTHY, state=ZoneState.LEFT)
    rig.step()
    assert rig.state() is ZoneState.LEFT
    rig = WatchRig()
    rig.receive_report(1, HEALTHY, HEALTHY, HEALTHY, state=ZoneState.RETURNING, age=3000 * MS)
    rig.step()
    assert rig.state() is ZoneState.RETURNING and 0.3 < rig.watch.zones[0].share < 0.6


def test_messages_stay_within_the_budget_whatever_changes() -> None:
    for fleet_size in (5, 13, 50, 200):
        rig = WatchRig(replace(CONFIG, fleet_size=fleet_size))
        for n in range(40):
            rig.watch.state_changed = True
            rig.run_attempts(50 * MS, failing=(1, 2, 3) if n % 20 < 10 else ())
        messages_sent = [a for a in rig.actions if isinstance(a, SendMessage)]
        assert sum(len(a.peers) for a in messages_sent) <= 100 * 2.1


@hyp(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(Opinion), st.sampled_from(ZoneState), st.integers(0, 10**9),
                  st.integers(0, 99), st.integers(0, 99)),
        max_size=30,
    ),
    st.integers(0, 2**15), st.integers(0, 2**50), st.integers(0, 2**50),
)  # fmt: skip
def test_message_fits_a_datagram_and_round_trips(
    zones: list[tuple[Opinion, ZoneState, int, int, int]], sender: int, incarnation: int, sequence: int
) -> None:
    rows = tuple(ZoneReport(o, s, timedelta(milliseconds=age), g, b) for o, s, age, g, b in zones)
    data = messages.encode_message(Message(sender, incarnation, sequence, rows), b"secret")
    assert len(data) <= MAX_DATAGRAM_SIZE
    back = messages.decode_message(data, b"secret")
    assert back is not None and (back.sender, back.incarnation, back.sequence) == (
        sender,
        incarnation,
        sequence,
    )
    assert [z.state for z in back.zones] == [z.state for z in rows[: messages.MAX_ZONES]]


@hyp(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.integers(0, 40))
def test_torn_or_foreign_datagram_is_rejected(data: bytes, at: int) -> None:
    assert messages.decode_message(data, b"secret") is None
    good = messages.encode_message(Message(1, 2, 3, (ZoneReport(HEALTHY, ZoneState.IN, 0 * MS),)), b"secret")
    assert messages.decode_message(good) is None  # signed with another secret
    assert messages.decode_message(good[:at], b"secret") is None or at >= len(good)
    assert messages.decode_message(b"\x5a\x02" + good[2:], b"secret") is None


def test_old_and_invalid_messages_are_ignored() -> None:
    rig = WatchRig()
    new = Message(1, 5, 9, (ZoneReport(FAIL, ZoneState.LEFT, 0 * MS),))
    assert rig.watch.fleet.accept(new, T0)
    for old in (replace(new, sequence=9), replace(new, incarnation=4, sequence=99), replace(new, sender=0),
                replace(new, sender=5)):  # fmt: skip
        assert not rig.watch.fleet.accept(old, T0)
    assert rig.watch.fleet.accept(replace(new, incarnation=6, sequence=1), T0)


# --- the gateway's part -------------------------------------------------------------------------------------
CLASSES = (
    interface.RequestClass(aim=0.8, deadline=2.0),
    interface.RequestClass(aim=0.8, deadline=2.0, idempotency=interface.Idempotency.UNSAFE),
)


def zone_rig(**changes: object) -> GatewayRig:
    gateway_settings = settings(
        use_counter=False, plans=(interface.Plan(),), classes=CLASSES, allow_cancel=True, **changes
    )
    rig = GatewayRig(gateway_settings, servers=0)
    rig.feed(
        interface.ServerList(interface.ListKind.COMPLETE, tuple(entry(n, zone=n % 3) for n in range(1, 10)))
    )
    return rig


def zones_of_requests(rig: GatewayRig, request_count: int, cls: int = 0) -> list[int]:
    before = len(rig.sends)
    for _ in range(request_count):
        rig.advance_to(rig.now + 0.05)
        assert rig.request(account=rig.request_number, cls=cls) == "sent"
        rig.finish()
    return [s.server % 3 for s in rig.sends[before:]]


def test_left_zone_gets_nothing_and_a_returning_one_its_share() -> None:
    rig = zone_rig()
    rig.feed(interface.ZoneShare(1, 0.0))
    assert 1 not in zones_of_requests(rig, 60)
    rig.feed(interface.ZoneShare(1, 0.25))
    assert 0.03 < zones_of_requests(rig, 400).count(1) / 400 < 0.2
    rig.feed(interface.ZoneShare(1, 1.0))
    assert 0.2 < zones_of_requests(rig, 300).count(1) / 300 < 0.5


def test_trial_takes_one_repeatable_request() -> None:
    rig = zone_rig()
    rig.feed(interface.ZoneShare(1, 0.0, trial_server=4))
    assert 1 not in zones_of_requests(rig, 20, cls=1)
    assert zones_of_requests(rig, 20).count(1) == 1


def test_repeatable_requests_are_sent_elsewhere_when_their_zone_is_left() -> None:
    rig = zone_rig()
    sent = []
    for n in range(24):
        assert rig.request(account=n, cls=n % 2) == "sent"
        sent.append((rig.request_number, n % 2, rig.sends[-1].server % 3))
    before = len(rig.sends)
    cancelled = [
        a.request
        for a in rig.gateway.handle(rig.now, [interface.ZoneShare(1, 0.0)])
        if isinstance(a, interface.Cancel)
    ]
    assert cancelled == [r for r, cls, zone in sent if zone == 1 and cls == 0] != []
    server = next(s.server for s in rig.sends if s.request == cancelled[0])
    rig.feed(interface.Outcome(cancelled[0], 0, server, interface.End.CANCELLED, 0.1))
    assert [s.request for s in rig.sends[before:]] == [cancelled[0]] and rig.sends[-1].server % 3 != 1


def test_all_zones_are_used_when_all_are_left() -> None:
    rig = zone_rig()
    rig.feed(*(interface.ZoneShare(n, 0.0) for n in range(3)))
    assert len(zones_of_requests(rig, 30)) == 30


# --- 50 ingresses in virtual time --------------------------------------------------------------------------
@pytest.mark.parametrize(
    "changes",
    [
        {}, {"drop": 0.5}, {"drop": 1.0}, {"stated_ingresses": 25}, {"stated_ingresses": 100},
        {"restarts": tuple((9.5 + n / 10, n) for n in range(20))},
    ],
    ids=["7.2% lost", "half lost", "all lost", "half configured", "double configured",
         "restarts in the ramp"],
)  # fmt: skip
def test_fifty_ingresses_return_without_overloading_cold_servers(changes: dict[str, object]) -> None:
    result = ZoneSimulation(Scenario(seconds=16.0, **changes)).run()  # type: ignore[arg-type]
    assert result.max_overload < 2.0 and result.max_received_per_second <= 100
    assert result.unanswered == 0 and len(result.left_at) >= 40
    assert result.served + result.late > 0.93 * result.requests
    if changes.get("drop") != 1.0 and changes.get("stated_ingresses") != 25:
        assert result.last_attempt is not None and result.first_failure is not None
        assert result.last_attempt - result.first_failure < 2.5


def test_without_zone_watch_a_failed_zone_is_tried_all_the_time() -> None:
    result = ZoneSimulation(Scenario(seconds=10.0, leave_zones=False)).run()
    assert result.last_attempt is not None and result.last_attempt > 8.5
