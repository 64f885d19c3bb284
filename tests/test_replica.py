"""Replicated state: merges, gossip as a state machine, bounds, messages, and fleets in virtual time."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Callable, Iterable
from datetime import UTC, datetime, timedelta
from typing import cast

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.lab.replica_simulation import ReplicaSimulation, Scenario
from opalgauge.memory.signed_datagram import MAX_DATAGRAM_SIZE
from opalgauge.replica import messages
from opalgauge.replica.clock import HybridClock
from opalgauge.replica.crdt import GrowOnlyCounter, Item, LwwRegister, ObservedRemoveSet, merge
from opalgauge.replica.gossip import CATCH_UP_TIMEOUT, SEND_BURST, SEND_RATE, Gossip
from opalgauge.replica.messages import Message
from opalgauge.replica.store import EXPIRY_GRACE, MAX_BANS, ItemKind, ReplicaStore
from starlinggap import interface
from starlinggap.snapshot import active_ejections, adopt_ejection
from tests.gateway_rig import GatewayRig, settings

T0 = datetime(2026, 12, 1, tzinfo=UTC)
SECOND = timedelta(seconds=1)

# --- merging -----------------------------------------------------------------------------------------------
Op = Callable[[ReplicaStore, datetime], object]
OPS: dict[str, Op] = {
    "ban": lambda s, now: s.set_ban("s-1", True, now),
    "lift": lambda s, now: s.set_ban("s-1", False, now),
    "eject": lambda s, now: s.add_ejection("1:0:0", now + 60 * SECOND, now),
    "clear": lambda s, now: s.clear_ejection("1:0:0", now),
    "count": lambda s, now: s.add_usage("7:1@2000000000000000", 5, now),
}


def merge_into(to: ReplicaStore, of: ReplicaStore, now: datetime) -> None:
    for key, item in list(of.items.items()):
        to.merge(key, item, now)


def test_every_order_of_few_changes_and_deliveries_converges() -> None:
    """All schedules of three changes at three replicas, with one delivery or none between two changes."""
    pairs = list(itertools.permutations(range(3), 2))
    count = 0
    for ops in itertools.product(("ban", "lift", "eject", "clear"), repeat=3):
        for at in itertools.product(range(3), repeat=2):
            for first, second in itertools.product([None, *pairs], repeat=2):
                stores = [ReplicaStore(n, 1) for n in range(3)]
                for n, (op, where) in enumerate(zip(ops, (0, *at), strict=True)):
                    OPS[op](stores[where], T0 + n * SECOND)
                    if n < 2 and (between := (first, second)[n]) is not None:
                        merge_into(stores[between[0]], stores[between[1]], T0)
                for a, b in ((0, 1), (0, 2), (1, 0), (2, 0)):
                    merge_into(stores[a], stores[b], T0)
                assert len({s.digest() for s in stores}) == 1
                count += 1
    assert count == 64 * 9 * 49


stamps = st.integers(0, 5)
registers = st.builds(LwwRegister, stamps, st.integers(0, 1))
counters = st.builds(
    GrowOnlyCounter, st.dictionaries(st.tuples(st.integers(0, 2), stamps), st.integers(0, 9), max_size=4)
)


@st.composite
def tag_sets(draw: st.DrawFn) -> ObservedRemoveSet:
    added = draw(st.dictionaries(st.tuples(st.integers(0, 2), stamps), st.integers(0, 9), max_size=4))
    removed = draw(st.sets(st.sampled_from(sorted(added)))) if added else set()
    return ObservedRemoveSet(added, frozenset(removed))


@pytest.mark.parametrize("kind", [registers, counters, tag_sets()], ids=["register", "counter", "set"])
def test_merge_is_commutative_associative_and_idempotent(kind: st.SearchStrategy[Item]) -> None:
    @hyp(max_examples=150, deadline=None, derandomize=True)
    @given(kind, kind, kind)
    def check(a: Item, b: Item, c: Item) -> None:
        assert merge(a, b) == merge(b, a)
        assert merge(a, merge(b, c)) == merge(merge(a, b), c)
        assert merge(a, a) == a
        first, *rest = cast(Iterable[Item], a.split(2))
        assert functools.reduce(merge, rest, first) == a

    check()


def test_simultaneous_ban_and_lift_keep_the_ban_until_a_later_lift() -> None:
    one, other = ReplicaStore(0, 1), ReplicaStore(1, 1)
    one.set_ban("s-1", True, T0, at=T0)
    other.set_ban("s-1", False, T0, at=T0)
    merge_into(one, other, T0)
    merge_into(other, one, T0)
    assert (
        one.items[ItemKind.BAN, "s-1"] == other.items[ItemKind.BAN, "s-1"] == LwwRegister(one.clock.last, 1)
    )
    # Its clock is 59 minutes behind, but its stamps are later than those that it has seen.
    other.set_ban("s-1", False, T0 - timedelta(minutes=59))
    merge_into(one, other, T0)
    item = one.items[ItemKind.BAN, "s-1"]
    assert isinstance(item, LwwRegister) and item.value == 0


def test_removal_covers_only_what_was_seen() -> None:
    one, other = ReplicaStore(0, 1), ReplicaStore(1, 1)
    one.add_ejection("1:0:0", T0 + 9 * SECOND, T0)
    merge_into(other, one, T0)
    one.add_ejection("1:0:0", T0 + 9 * SECOND, T0 + SECOND)  # unknown to the other
    other.clear_ejection("1:0:0", T0 + SECOND)
    merge_into(one, other, T0)
    assert list(one.ejected_by("1:0:0", T0 + 2 * SECOND)) == [0]
    assert one.ejected_by("1:0:0", T0 + 10 * SECOND) == {}  # and it expires by itself


def test_new_incarnation_counts_beside_the_old_one() -> None:
    old, new, peer = ReplicaStore(0, 1), ReplicaStore(0, 2), ReplicaStore(1, 1)
    what = "7:1@2000000000000000"
    old.add_usage(what, 5, T0)
    merge_into(peer, old, T0)
    new.add_usage(what, 2, T0)
    merge_into(peer, new, T0)
    merge_into(new, peer, T0)
    item = new.items[ItemKind.COUNT, what]
    assert isinstance(item, GrowOnlyCounter) and item.total == 7


class ReplicaMachine(RuleBasedStateMachine):
    """Three replicas and messages that are lost, repeated and overtaken. In the end they must be equal."""

    def __init__(self) -> None:
        super().__init__()
        self.now = T0
        self.replicas = [Gossip(ReplicaStore(n, 1), 3, T0, n) for n in range(3)]
        self.in_flight: list[tuple[int, bytes]] = []

    def collect(self) -> None:
        for replica in self.replicas:
            for sent in replica.take_outputs()[0]:
                self.in_flight.append((sent.peer, messages.encode_message(sent.message)))

    @rule(n=st.integers(0, 2), op=st.sampled_from(sorted(OPS)))
    def change(self, n: int, op: str) -> None:
        change = OPS[op](self.replicas[n].store, self.now)
        self.replicas[n].announce(change)  # type: ignore[arg-type]

    @rule(ms=st.integers(10, 400))
    def tick(self, ms: int) -> None:
        self.now += timedelta(milliseconds=ms)
        for replica in self.replicas:
            replica.tick(self.now)
        self.collect()

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), end=st.sampled_from(["come", "come", "twice", "lost"]))
    def message(self, data: st.DataObject, end: str) -> None:
        at = data.draw(st.integers(0, len(self.in_flight) - 1))
        peer, datagram = self.in_flight[at] if end == "twice" else self.in_flight.pop(at)
        if end != "lost":
            message = messages.decode_message(datagram)
            assert message is not None
            self.replicas[peer].handle_message(message, self.now)
            self.collect()

    @invariant()
    def no_message_is_too_long(self) -> None:
        assert all(len(datagram) <= MAX_DATAGRAM_SIZE for _, datagram in self.in_flight)

    def teardown(self) -> None:
        for _ in range(200):
            self.tick(100)
            in_flight, self.in_flight = self.in_flight, []
            for peer, datagram in in_flight:
                message = messages.decode_message(datagram)
                assert message is not None
                self.replicas[peer].handle_message(message, self.now)
                self.collect()
        assert len({c.store.digest() for c in self.replicas}) == 1


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = hyp(max_examples=40, stateful_step_count=25, deadline=None, derandomize=True)


# --- bounds ------------------------------------------------------------------------------------------------
def test_stamps_grow_whatever_the_clock_and_one_far_ahead_is_refused() -> None:
    clock = HybridClock()
    first = clock.next_stamp(T0)
    assert clock.next_stamp(T0) == first + 1 and clock.next_stamp(T0 - 9 * SECOND) == first + 2
    assert clock.observe(first + 10**9, T0) and clock.next_stamp(T0) == first + 10**9 + 1
    assert not clock.observe(first + 2 * 3600 * 10**6, T0)
    store = ReplicaStore(0, 1)
    assert store.set_ban("s-1", True, T0, at=T0 + timedelta(hours=2)) is None and store.refused == 1


def test_bans_are_bounded_and_only_old_lifted_ones_are_evicted() -> None:
    store = ReplicaStore(0, 1)
    for n in range(MAX_BANS):
        store.set_ban(f"s-{n}", n != 5, T0)
    assert store.set_ban("one-more", True, T0) is None and store.refused == 1
    assert store.set_ban("one-more", True, T0 + timedelta(hours=2)) is not None
    assert (ItemKind.BAN, "s-5") not in store.items and len(store.items) == MAX_BANS


def test_expired_items_are_dropped_and_do_not_return() -> None:
    store, other = ReplicaStore(0, 1), ReplicaStore(1, 1)
    store.add_ejection("1:0:0", T0 + SECOND, T0)
    merge_into(other, store, T0)
    expired_at = T0 + SECOND + EXPIRY_GRACE + SECOND
    store.expire(expired_at)
    merge_into(store, other, expired_at)
    assert not store.items and store.digest() == ReplicaStore(2, 1).digest()


@pytest.mark.parametrize(
    "key, item",
    [((ItemKind.BAN, "with space"), LwwRegister(1, 1)), ((ItemKind.EJECTION, "x:0:0"), ObservedRemoveSet()),
     ((ItemKind.COUNT, "7:1@x"), GrowOnlyCounter()), ((ItemKind.BAN, "s-1"), ObservedRemoveSet())],
)  # fmt: skip
def test_invalid_names_and_types_are_refused(key: tuple[int, str], item: Item) -> None:
    store = ReplicaStore(0, 1)
    assert store.merge(key, item, T0) is None and not store.items and store.refused == 1


def test_flood_of_changes_stays_within_the_send_budget() -> None:
    replica = Gossip(ReplicaStore(0, 1), 5, T0, 1)
    replica.caught_up = True
    now, messages_sent = T0, 0
    for n in range(900):
        replica.announce(replica.store.set_ban(f"stock-node-{n:04}", True, now))
        if n % 45 == 44:
            now += timedelta(milliseconds=50)
            replica.tick(now)
            messages_sent += len(replica.take_outputs()[0])
    assert messages_sent <= SEND_BURST + SEND_RATE * 1.0 + 1


# --- catching up -------------------------------------------------------------------------------------------
def old_and_new(known: int) -> tuple[Gossip, Gossip]:
    """A replica with this many bans, and one that has just started."""
    old = Gossip(ReplicaStore(0, 1), 3, T0, 1)
    old.caught_up = True
    for n in range(known):
        old.store.set_ban(f"s-{n:08x}", True, T0)
    return old, Gossip(ReplicaStore(1, 9), 3, T0, 2)


def exchange(now: datetime, replicas: dict[int, Gossip]) -> None:
    for replica in replicas.values():
        replica.tick(now)
    for _ in range(6):
        for replica in replicas.values():
            for sent in replica.take_outputs()[0]:
                if sent.peer in replicas:
                    replicas[sent.peer].handle_message(sent.message, now)


def test_new_replica_is_caught_up_only_with_the_bans() -> None:
    old, new = old_and_new(30)
    new.tick(T0)
    assert not new.caught_up
    now = T0
    while not new.caught_up:
        now += timedelta(milliseconds=50)
        exchange(now, {0: old, 1: new})
    assert now - T0 < CATCH_UP_TIMEOUT and new.store.bans_equal(old.store.branch_hashes)
    assert len(new.store.items) == 30


def test_isolated_replica_serves_after_the_timeout_and_an_empty_peer_is_no_source() -> None:
    _, new = old_and_new(0)
    other = Gossip(ReplicaStore(0, 1), 3, T0, 3)
    exchange(T0, {0: other, 1: new})
    exchange(T0 + CATCH_UP_TIMEOUT / 2, {0: other, 1: new})
    assert not new.caught_up  # both are equal and empty
    new.tick(T0 + CATCH_UP_TIMEOUT)
    assert new.caught_up


def test_nobody_waits_when_all_have_just_started() -> None:
    replicas = {n: Gossip(ReplicaStore(n, 1), 3, T0, n) for n in range(3)}
    exchange(T0, replicas)
    exchange(T0 + timedelta(milliseconds=300), replicas)
    exchange(T0 + timedelta(milliseconds=600), replicas)
    assert all(c.caught_up for c in replicas.values())


# --- messages --------------------------------------------------------------------------------------------
def test_items_of_any_length_are_packed_and_round_trip() -> None:
    tags = ObservedRemoveSet({(n, 2**50 + n): 2**51 for n in range(199)}, frozenset({(3, 2**50 + 3)}))
    many = GrowOnlyCounter({(n, 2**42): 2**30 for n in range(199)})
    items: list[tuple[tuple[int, str], Item]] = [
        ((ItemKind.BAN, "n" * 100), LwwRegister(2**51, 1)), ((ItemKind.EJECTION, f"{2**63}:{10**5}:9"), tags),
        ((ItemKind.COUNT, "7:1@2000000000000000"), many),
    ]  # fmt: skip
    store = ReplicaStore(0, 1)
    for batch in messages.pack_items(items):
        data = messages.encode_message(Message(199, 2**42, 2**40, items=batch), b"s")
        message = messages.decode_message(data, b"s")
        assert len(data) <= MAX_DATAGRAM_SIZE and message is not None and message.items == batch
        for key, item in message.items:
            store.merge(key, item, datetime(2030, 1, 1, tzinfo=UTC))
    assert store.items[items[1][0]] == tags and store.items[items[2][0]] == many


@given(st.binary(max_size=300), st.integers(0, 80))
def test_torn_or_foreign_datagram_is_rejected(data: bytes, at: int) -> None:
    item = (ItemKind.BAN, "s-1"), LwwRegister(2**50, 1)
    datagram = messages.encode_message(Message(1, 1, 1, items=(item,), branch_hashes=(b"123456",) * 16), b"s")
    torn = datagram[:at] + data + datagram[at + len(data) :]
    assert torn == datagram or messages.decode_message(torn, b"s") is None
    assert messages.decode_message(data, b"s") is None


@pytest.mark.parametrize(
    "message",
    [Message(-1, 1, 1), Message(1, 1, 1, branch_hashes=(b"123456",) * 3),
     Message(1, 1, 1, branch_hashes=(b"1",) * 16),
     Message(1, 1, 1, leaf_hashes=(16, (b"123456",) * 16, False)),
     Message(1, 1, 1, items=(((ItemKind.BAN, "s"), LwwRegister(-1, 1)),)),
     Message(1, 1, 1, items=(((9, "s"), LwwRegister(1, 1)),))],
)  # fmt: skip
def test_invalid_message_is_rejected(message: Message) -> None:
    assert messages.decode_message(messages.encode_message(message)) is None


# --- ejections at the gateway ------------------------------------------------------------------------------
def test_adopted_ejection_applies_to_one_start_of_the_server_and_ends() -> None:
    rig = GatewayRig(settings(), servers=3)
    gateway = rig.gateway
    adopt_ejection(gateway, 1, 0.0, 0, 100.0, 5.0)  # ends as soon as one of the gateway's own would
    assert active_ejections(gateway, 5.0) == [(1, 0.0, 0, 13.0)] and active_ejections(gateway, 13.0) == []
    adopt_ejection(gateway, 2, 77.0, 0, 100.0, 5.0)  # another start of the server
    adopt_ejection(gateway, 3, 0.0, 9, 100.0, 5.0)  # no such class
    adopt_ejection(gateway, 9, 0.0, 0, 100.0, 5.0)  # no listed server
    assert len(active_ejections(gateway, 5.0)) == 1
    rig.now = 6.0
    for _ in range(12):
        rig.request()
        assert rig.sends[-1].server != 1
    gateway.record_outcome(gateway.servers[1], interface.Outcome(1, 0, 1, interface.End.OK, 0.1), None)
    assert active_ejections(gateway, 6.0) == []


# --- fleets in virtual time --------------------------------------------------------------------------------
SCENARIOS: dict[str, dict[str, object]] = {
    "as in service": {},
    "half of the messages lost": {"drop": 0.5},
    "late and out of order": {"delay": (0.002, 0.6), "duplicate": 0.5},
    "one away for 60 s": {"partition": (5.0, 65.0, 1), "changes_until": 60.0, "seconds": 75.0},
    "two halves": {"partition": (5.0, 20.0, 2), "changes_until": 18.0, "seconds": 30.0},
    "clocks seconds apart": {"clock_skew": 5.0},
    "restarts": {"restarts": ((9.0, 1), (11.0, 2), (11.1, 3))},
    "forty": {
        "replicas": 40,
        "seconds": 20.0,
        "changes_until": 10.0,
        "restarts": tuple((8.0, n) for n in range(20)),
    },
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_replicas_converge_within_five_seconds_whatever_was_lost(name: str) -> None:
    for seed in (1, 2):
        scenario = Scenario(seed=seed, **SCENARIOS[name])  # type: ignore[arg-type]
        result = ReplicaSimulation(scenario).run()
        assert result.converged_after is not None and result.converged_after < 5.0
        assert result.max_sent_per_second <= 100 and result.max_message_size <= MAX_DATAGRAM_SIZE
        assert len(result.catch_up_times) == len(scenario.restarts)
        assert max(result.catch_up_times, default=0.0) <= CATCH_UP_TIMEOUT.total_seconds() + 0.1


def test_replicas_converge_soon_with_half_of_the_messages_lost_and_others_late() -> None:
    convergence_times = []
    for seed in range(40):
        scenario = Scenario(
            seconds=16.0, changes_until=6.0, changes_per_second=0.5, drop=0.5, delay=(0.002, 0.3), seed=seed
        )
        result = ReplicaSimulation(scenario).run()
        assert result.converged_after is not None, seed
        convergence_times.append(result.converged_after)
    assert sorted(convergence_times)[20] < 2.0 and max(convergence_times) < 7.0


def test_peer_whose_hashes_differed_is_the_next_to_get_ours() -> None:
    replicas = {n: Gossip(ReplicaStore(n, 1), 5, T0, n) for n in range(5)}
    for other in (1, 2, 3, 4, 1, 2, 3, 4):  # whichever peer would be drawn
        own, peer = Gossip(ReplicaStore(0, 1), 5, T0, other), replicas[other]
        own.caught_up = True
        own.store.set_ban("s-1", True, T0)
        own.handle_message(Message(other, 1, 1, branch_hashes=tuple(peer.store.branch_hashes)), T0)
        own.tick(T0 + timedelta(milliseconds=100))
        messages_sent = own.take_outputs()[0]
        assert {sent.peer for sent in messages_sent} == {other}
        assert [sent for sent in messages_sent if sent.message.branch_hashes]
        # The items come with the leaf hashes, as they are few: one message fewer that may get lost.
        assert any((ItemKind.BAN, "s-1") in dict(sent.message.items) for sent in messages_sent)
