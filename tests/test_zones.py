"""Zones: the pure judge with its messages, the gateways' part, and fleets of 50 in virtual time."""

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
from opalgauge.zones.messages import Message, State, Told
from opalgauge.zones.watch import Action, Judged, Note, Rules, Say, Watch
from starlinggap import interface as i
from tests.gateway_rig import GatewayRig, entry, settings

T0 = datetime(2026, 12, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
RULES = Rules(("a", "b", "c"), 5, 0, (60 * MS,), timedelta(seconds=8), 0.21)


class Post:
    """One watch, with attempts and peers' messages by hand."""

    def __init__(self, rules: Rules = RULES, sizes: int = 3) -> None:
        self.now, self.number = T0, 0
        self.watch = Watch(rules, T0, 1, 7)
        nodes = [entry(n + 1, zone=n // sizes) for n in range(3 * sizes)]
        self.watch.listed(nodes)
        self.sizes, self.out, self.tally = sizes, list[Action](), list[int]()

    def attempt(self, node: int, end: i.End, took: timedelta = 60 * MS) -> None:
        self.number += 1
        zone, key = (node - 1) // self.sizes, (self.number, 0)
        self.watch.seen(ReportAttempt(key, node, zone, 0), self.now - took)
        self.watch.seen(ReportAttempt(key, node, zone, 0, end, took), self.now)

    def peer(
        self, number: int, *opinions: Opinion, state: State = State.IN, age: timedelta = 0 * MS, good: int = 0
    ) -> None:
        told = tuple(Told(o, state if n == 0 else State.IN, age, good) for n, o in enumerate(opinions))
        self.number += 1
        self.watch.heard(Message(number, 1, self.number, told), self.now)

    def step(self, span: timedelta = 50 * MS) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 50 * MS
            self.out += self.watch.tick(self.now)

    def busy(self, span: timedelta, failing: tuple[int, ...] = (), skip: tuple[int, ...] = ()) -> None:
        """Attempts at all nodes but `skip`; those at `failing` end badly."""
        until = self.now + span
        while self.now < until:
            for node in range(1, 3 * self.sizes + 1):
                if node not in skip:
                    self.attempt(node, i.End.CONNECT_FAILED if node in failing else i.End.OK)
            self.step()

    def state(self, zone: int = 0) -> State:
        return self.watch.places[zone].state


FAIL, WELL, UNSURE = Opinion.FAILING, Opinion.WELL, Opinion.UNSURE


def test_one_ingress_s_bad_second_leaves_no_zone_and_a_quorum_does() -> None:
    post = Post()
    post.busy(1000 * MS)
    post.peer(1, WELL, WELL, WELL)
    post.busy(400 * MS, failing=(1, 2, 3))
    post.peer(1, WELL, WELL, WELL)
    post.busy(800 * MS, failing=(1, 2, 3))
    assert post.state() is State.IN
    post.peer(2, FAIL, WELL, WELL)
    post.step()
    assert post.state() is State.LEFT
    assert Judged(0, 0.0) in post.out
    assert any(isinstance(a, Note) and "see it fail" in a.text for a in post.out)


def test_who_hears_nobody_leaves_alone_after_half_a_second() -> None:
    post = Post()
    post.busy(1000 * MS)
    post.busy(300 * MS, failing=(1, 2, 3))
    assert post.state() is State.IN
    post.busy(400 * MS, failing=(1, 2, 3))
    assert post.state() is State.LEFT


def trials(post: Post) -> list[int]:
    return [a.trial for a in post.out if isinstance(a, Judged) and a.trial]


def tried(post: Post, node: int, end: i.End) -> None:
    post.watch.seen(ReportAttempt((0, node), node, (node - 1) // post.sizes, 0), post.now - 20 * MS)
    post.watch.seen(ReportAttempt((0, node), node, (node - 1) // post.sizes, 0, end, 20 * MS), post.now)


def test_who_hears_nobody_asks_after_a_zone_that_its_own_requests_no_longer_reach() -> None:
    post = Post()
    post.busy(1000 * MS)
    post.attempt(1, i.End.CONNECT_FAILED)
    post.step()
    assert len(trials(post)) == 1 and trials(post)[0] in (2, 3)  # not at the one that failed
    for _ in range(20):
        post.busy(100 * MS, skip=(1, 2, 3))  # the decisions send nothing there
        for node in trials(post):
            tried(post, node, i.End.CONNECT_FAILED)
        post.out.clear()
    assert post.state() is State.LEFT
    assert post.watch.places[0].last_try is not None
    assert post.watch.places[0].last_try < T0 + 1000 * MS  # a trial costs no request, and counts as none


def test_a_doubt_is_asked_after_seldom_while_it_is_answered_and_not_at_all_where_peers_are_heard() -> None:
    post = Post()
    post.busy(1000 * MS)
    paces = len(post.watch.health.zones[0].paces)
    post.attempt(1, i.End.CONNECT_FAILED)
    for _ in range(100):
        post.step()
        for node in trials(post):
            tried(post, node, i.End.OK)
        asked = trials(post)
        post.out.clear()
        post.tally += [node for node in asked if node <= 3]
    assert post.state() is State.IN and 2 <= len(post.tally) <= 7  # for as long as a failure is remembered
    assert len(post.watch.health.zones[0].paces) <= paces  # how soon a trial is answered is nobody's pace
    post.peer(1, UNSURE, WELL, WELL)
    post.attempt(1, i.End.CONNECT_FAILED)
    post.step(1000 * MS)
    assert trials(post) == []


def test_answered_trials_do_not_hide_that_requests_fail() -> None:
    post = Post()
    post.busy(1000 * MS)
    for _ in range(8):
        post.busy(100 * MS, failing=(1, 2, 3))
        for node in trials(post):
            tried(post, node, i.End.OK)
        post.out.clear()
    assert post.state() is State.LEFT


@pytest.mark.parametrize("drop", [0.5, 1.0])
def test_five_who_hear_little_or_nothing_leave_a_zone_that_goes_every_time(drop: float) -> None:
    for seed in (1, 2, 3, 4, 24, 67, 69, 89):  # the last four: too few failures to tell, without trials
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


@pytest.mark.parametrize("sizes", [4, 12])
def test_half_a_zone_gone_is_no_zone_gone(sizes: int) -> None:
    post = Post(sizes=sizes)
    half = tuple(range(1, sizes // 2 + 1))
    for _ in range(20):
        post.busy(200 * MS, failing=half)
        assert post.state() is State.IN


def test_never_is_every_zone_left() -> None:
    post = Post()
    post.busy(1000 * MS)
    for _ in range(20):
        post.busy(200 * MS, failing=tuple(range(1, 10)))
        assert any(post.state(n) is not State.LEFT for n in range(3))
    # Two are left one after the other; as the last fails too, all are back in use.
    post = Post()
    post.busy(1000 * MS)
    post.busy(1000 * MS, failing=(1, 2, 3))
    post.busy(1000 * MS, failing=(1, 2, 3, 4, 5, 6), skip=(1, 2, 3))
    assert [post.state(n) for n in range(3)] == [State.LEFT, State.LEFT, State.IN]
    post.busy(1500 * MS, failing=tuple(range(1, 10)), skip=(1, 2, 3, 4, 5, 6))
    assert [post.state(n) for n in range(3)] == [State.IN] * 3


def test_what_slows_all_zones_makes_none_slow_and_a_slow_one_keeps_a_share() -> None:
    post = Post()
    for factor, slow in ((1, 1), (3, 3), (3, 9)):
        for _ in range(80):
            for node in range(1, 10):
                took = 60 * MS * (slow if node <= 3 else factor)
                post.attempt(node, i.End.OK, took)
            post.step()
        assert post.state() is (State.SLOW if slow > factor else State.IN)
    assert 0.2 < post.watch.places[0].share < 0.5
    assert post.state(1) is post.state(2) is State.IN


def left(post: Post) -> Post:
    post.busy(1000 * MS)
    post.busy(1000 * MS, failing=(1, 2, 3))
    assert post.state() is State.LEFT
    return post


def test_a_zone_is_returned_to_by_a_ramp_and_left_again_after_longer_holds() -> None:
    post, holds = left(Post(replace(RULES, ingresses=1))), []
    for _ in range(3):
        since = post.now
        while post.state() is State.LEFT:
            done = len(post.out)
            post.step()
            for judged in [a for a in post.out[done:] if isinstance(a, Judged) and a.trial]:
                post.attempt(judged.trial, i.End.OK, 2 * MS)
        holds.append(post.now - since)
        assert post.state() is State.RETURNING and post.watch.places[0].share < 0.21
        post.step(2000 * MS)
        assert 0.21 < post.watch.places[0].share < 0.5
        post.busy(1200 * MS, failing=(1, 2, 3))
        assert post.state() is State.LEFT
    assert holds[0] < holds[1] < holds[2]


@pytest.mark.parametrize("good", [0, 2], ids=["their return", "their trials"])
def test_what_was_left_again_is_not_returned_to_for_what_peers_saw_before(good: int) -> None:
    post = left(Post())
    for n in range(1, 5):
        post.peer(n, UNSURE, WELL, WELL, state=State.RETURNING, age=900 * MS, good=good)
    post.step()
    assert post.state() is State.LEFT
    for n in range(1, 5):  # what begins after is followed
        post.peer(n, UNSURE, WELL, WELL, state=State.RETURNING)
    post.step(400 * MS)
    for n in range(1, 5):
        post.peer(n, UNSURE, WELL, WELL, state=State.RETURNING, age=100 * MS)
    post.step()
    assert post.state() is State.RETURNING


def test_one_answered_trial_among_failed_ones_is_no_return() -> None:
    post = left(Post(replace(RULES, ingresses=1)))
    for n in range(40):
        post.attempt(1, i.End.OK if n % 2 else i.End.CONNECT_FAILED, 2 * MS)
        post.step()
        assert post.state() is State.LEFT


def test_a_restarted_ingress_takes_over_what_its_peers_have_judged() -> None:
    post = Post()
    for number in (1, 2, 3):
        post.peer(number, UNSURE, WELL, WELL, state=State.LEFT)
    post.step()
    assert post.state() is State.LEFT
    post = Post()
    post.peer(1, WELL, WELL, WELL, state=State.RETURNING, age=3000 * MS)
    post.step()
    assert post.state() is State.RETURNING and 0.3 < post.watch.places[0].share < 0.6


def test_messages_stay_within_the_budget_whatever_changes() -> None:
    for ingresses in (5, 13, 50, 200):
        post = Post(replace(RULES, ingresses=ingresses))
        for n in range(40):
            post.watch.changed = True
            post.busy(50 * MS, failing=(1, 2, 3) if n % 20 < 10 else ())
        said = [a for a in post.out if isinstance(a, Say)]
        assert sum(len(a.peers) for a in said) <= 100 * 2.1


@hyp(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(Opinion), st.sampled_from(State), st.integers(0, 10**9), st.integers(0, 99),
                  st.integers(0, 99)),
        max_size=30,
    ),
    st.integers(0, 2**15), st.integers(0, 2**50), st.integers(0, 2**50),
)  # fmt: skip
def test_a_word_fits_a_datagram_and_comes_back(
    zones: list[tuple[Opinion, State, int, int, int]], sender: int, life: int, number: int
) -> None:
    rows = tuple(Told(o, s, timedelta(milliseconds=age), g, b) for o, s, age, g, b in zones)
    data = messages.write(Message(sender, life, number, rows), b"secret")
    assert len(data) <= MAX_DATAGRAM_SIZE
    back = messages.read(data, b"secret")
    assert back is not None and (back.sender, back.life, back.number) == (sender, life, number)
    assert [z.state for z in back.zones] == [z.state for z in rows[: messages.MOST_ZONES]]


@hyp(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.integers(0, 40))
def test_a_torn_or_foreign_datagram_is_no_word(data: bytes, at: int) -> None:
    assert messages.read(data, b"secret") is None
    good = messages.write(Message(1, 2, 3, (Told(WELL, State.IN, 0 * MS),)), b"secret")
    assert messages.read(good) is None  # sealed otherwise
    assert messages.read(good[:at], b"secret") is None or at >= len(good)
    assert messages.read(b"\x5a\x02" + good[2:], b"secret") is None


def test_old_and_impossible_messages_change_nothing() -> None:
    post = Post()
    new = Message(1, 5, 9, (Told(FAIL, State.LEFT, 0 * MS),))
    assert post.watch.fleet.hear(new, T0)
    for old in (replace(new, number=9), replace(new, life=4, number=99), replace(new, sender=0),
                replace(new, sender=5)):  # fmt: skip
        assert not post.watch.fleet.hear(old, T0)
    assert post.watch.fleet.hear(replace(new, life=6, number=1), T0)


# --- the gateways' part ------------------------------------------------------------------------------------
TWO = (
    i.RequestClass(aim=0.8, deadline=2.0),
    i.RequestClass(aim=0.8, deadline=2.0, idempotency=i.Idempotency.UNSAFE),
)


def halls(**changes: object) -> GatewayRig:
    told = settings(use_counter=False, plans=(i.Plan(),), classes=TWO, allow_cancel=True, **changes)
    rig = GatewayRig(told, servers=0)
    rig.feed(i.ServerList(i.ListKind.COMPLETE, tuple(entry(n, zone=n % 3) for n in range(1, 10))))
    return rig


def met(rig: GatewayRig, asks: int, cls: int = 0) -> list[int]:
    before = len(rig.sends)
    for _ in range(asks):
        rig.advance_to(rig.now + 0.05)
        assert rig.request(account=rig.request_number, cls=cls) == "sent"
        rig.finish()
    return [s.server % 3 for s in rig.sends[before:]]


def test_a_zone_that_is_left_gets_nothing_and_a_returning_one_its_share() -> None:
    rig = halls()
    rig.feed(i.ZoneShare(1, 0.0))
    assert 1 not in met(rig, 60)
    rig.feed(i.ZoneShare(1, 0.25))
    assert 0.03 < met(rig, 400).count(1) / 400 < 0.2
    rig.feed(i.ZoneShare(1, 1.0))
    assert 0.2 < met(rig, 300).count(1) / 300 < 0.5


def test_a_trial_takes_one_request_that_may_be_repeated() -> None:
    rig = halls()
    rig.feed(i.ZoneShare(1, 0.0, trial_server=4))
    assert 1 not in met(rig, 20, cls=1)
    assert met(rig, 20).count(1) == 1


def test_what_may_be_repeated_is_sent_elsewhere_as_its_zone_is_left() -> None:
    rig = halls()
    asked = []
    for n in range(24):
        assert rig.request(account=n, cls=n % 2) == "sent"
        asked.append((rig.request_number, n % 2, rig.sends[-1].server % 3))
    before = len(rig.sends)
    cancelled = [
        a.request for a in rig.gateway.handle(rig.now, [i.ZoneShare(1, 0.0)]) if isinstance(a, i.Cancel)
    ]
    assert cancelled == [r for r, cls, hall in asked if hall == 1 and cls == 0] != []
    server = next(s.server for s in rig.sends if s.request == cancelled[0])
    rig.feed(i.Outcome(cancelled[0], 0, server, i.End.CANCELLED, 0.1))
    assert [s.request for s in rig.sends[before:]] == [cancelled[0]] and rig.sends[-1].server % 3 != 1


def test_all_zones_left_by_mistake_are_all_in_use() -> None:
    rig = halls()
    rig.feed(*(i.ZoneShare(n, 0.0) for n in range(3)))
    assert len(met(rig, 30)) == 30


# --- 50 ingresses in virtual time --------------------------------------------------------------------------
@pytest.mark.parametrize(
    "changes",
    [
        {}, {"drop": 0.5}, {"drop": 1.0}, {"stated_ingresses": 25}, {"stated_ingresses": 100},
        {"restarts": tuple((9.5 + n / 10, n) for n in range(20))},
    ],
    ids=["7.2% lost", "half lost", "all lost", "told half", "told double", "restarts in the ramp"],
)  # fmt: skip
def test_fifty_ingresses_return_within_what_cold_nodes_bear(changes: dict[str, object]) -> None:
    result = ZoneSimulation(Scenario(seconds=16.0, **changes)).run()  # type: ignore[arg-type]
    assert result.max_overload < 2.0 and result.max_received_per_second <= 100
    assert result.unanswered == 0 and len(result.left_at) >= 40
    assert result.served + result.late > 0.93 * result.requests
    if changes.get("drop") != 1.0 and changes.get("told") != 25:
        assert result.last_attempt is not None and result.first_failure is not None
        assert result.last_attempt - result.first_failure < 2.5


def test_without_the_part_a_cut_zone_is_tried_all_the_time() -> None:
    result = ZoneSimulation(Scenario(seconds=10.0, leave_zones=False)).run()
    assert result.last_attempt is not None and result.last_attempt > 8.5
