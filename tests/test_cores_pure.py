"""The pure parts of the cores package: ownership, worker life cycles, takeover and the shared table."""

from __future__ import annotations

import math
from datetime import UTC, datetime, timedelta
from itertools import product

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.cores import state_machine
from opalgauge.cores.ownership import AccountBalancer, AccountOwnership, Membership, WorkerLoad, owners
from opalgauge.cores.shared_table import BUCKETS, WAYS, SharedTable, id_hash
from opalgauge.cores.takeover import (
    CONSUMED_UNKNOWN,
    ConnectionRecord,
    Disposition,
    SocketProgress,
    choose_disposition,
    unowned_disposition,
)
from starlinggap import Gateway, interface

START = datetime(2026, 12, 1, 6, 0, tzinfo=UTC)
MS = timedelta(milliseconds=1)
SETTLE_TIME = 700 * MS
ACCOUNT = 7
RATE, BURST, SLACK, SPREAD = 6.0, 24.0, 1.0, 2


# --- account ownership -------------------------------------------------------------------------------------
def test_only_accounts_of_a_worker_that_joins_or_leaves_move() -> None:
    four, three = Membership(1, (0, 1, 2, 3)), Membership(2, (0, 1, 3))
    moved = [a for a in range(8000) if owners(a, four) != owners(a, three)]
    assert moved and all(owners(a, four) == (2,) for a in moved)
    account_counts = [sum(owners(a, four) == (worker,) for a in range(8000)) for worker in range(4)]
    assert max(account_counts) < 1.2 * min(account_counts)


def test_first_owner_of_an_account_stays_first_when_it_is_split() -> None:
    for account in range(50):
        single_owner = owners(account, Membership(1, (0, 1, 2, 3)))
        owners_when_split = owners(account, Membership(2, (0, 1, 2, 3), {account: 3}))
        assert len(set(owners_when_split)) == 3 and owners_when_split[0] == single_owner[0]


def test_account_with_half_the_traffic_is_split_until_it_has_been_calm() -> None:
    balancer = AccountBalancer(4)
    busy = {n: WorkerLoad(1000, [(ACCOUNT, 500, 9), (8, 20, 9)]) for n in range(4)}
    assert balancer.update(busy, START) and balancer.split == {ACCOUNT: 4}
    assert not balancer.update({n: WorkerLoad(1000) for n in range(4)}, START + timedelta(seconds=9))
    assert (
        balancer.update({n: WorkerLoad(1000) for n in range(4)}, START + timedelta(seconds=11))
        and not balancer.split
    )
    few_parts = {n: WorkerLoad(1000, [(ACCOUNT, 500, 2)]) for n in range(4)}
    assert balancer.update(few_parts, START) and balancer.split == {ACCOUNT: 2}
    assert not AccountBalancer(4).update({0: WorkerLoad(20, [(ACCOUNT, 20, 9)])}, START)


class CeilingMachine(RuleBasedStateMachine):
    """Workers receive memberships late, but within the settle time; each spends all that the gateway allows.

    Whatever happens, the units that this ingress spends of an account stay within its part of the ceiling.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        plan = interface.Plan(
            rate=1000.0, burst=100000.0, ceiling_rate=RATE, ceiling_burst=BURST, ceiling_slack=SLACK
        )
        self.settings = interface.Settings(
            (interface.RequestClass(aim=0.4, deadline=1.2),), (plan,), max_units=3.0
        )
        self.version, self.serving = 1, {0, 1, 2}
        self.memberships = {1: Membership(1, (0, 1, 2), {}, True)}
        self.published_at = {1: START}
        self.workers = {n: self.start_worker(n) for n in self.serving}
        self.spent: list[tuple[datetime, float]] = []
        self.split = 1
        self.number = 0

    def start_worker(self, number: int) -> tuple[AccountOwnership, Gateway]:
        gateway = Gateway(self.settings, number)
        gateway.handle(
            self.now.timestamp(),
            [
                interface.ServerList(
                    interface.ListKind.COMPLETE, (interface.ServerEntry(1, interface.Health.READY),)
                )
            ],
        )
        ownership = AccountOwnership(number, SETTLE_TIME)
        ownership.apply(self.memberships[self.version], self.now)
        return ownership, gateway

    def publish(self) -> None:
        self.version += 1
        split = {ACCOUNT: self.split} if self.split > 1 else {}
        self.memberships[self.version] = Membership(self.version, tuple(sorted(self.serving)), split)
        self.published_at[self.version] = self.now

    def receive(self, number: int) -> None:
        self.workers[number][0].apply(self.memberships[self.version], self.now)

    @precondition(lambda self: len(self.serving) > 1)
    @rule(number=st.integers(0, 2), informed=st.booleans())
    def worker_dies(self, number: int, informed: bool) -> None:
        if number in self.serving:
            self.serving.discard(number)
            del self.workers[number]
            self.publish()
            for other in self.serving if informed else ():
                self.receive(other)

    @rule(number=st.integers(0, 2))
    def worker_starts(self, number: int) -> None:
        if number not in self.serving:
            self.serving.add(number)
            self.publish()
            self.workers[number] = self.start_worker(number)

    @rule(parts=st.integers(1, 3))
    def account_is_split(self, parts: int) -> None:
        self.split = parts
        self.publish()

    @rule(number=st.integers(0, 2))
    def worker_receives(self, number: int) -> None:
        if number in self.serving:
            self.receive(number)

    @rule()
    def ceiling_refills(self) -> None:
        for _ in range(10):
            self.time_passes(500)

    @rule(span_ms=st.integers(1, 900))
    def time_passes(self, span_ms: int) -> None:
        self.now += span_ms * MS
        for number in self.serving:
            last = self.workers[number][0].membership.version
            if any(
                v > last and self.now - at > SETTLE_TIME - 100 * MS for v, at in self.published_at.items()
            ):
                self.receive(number)  # a worker that lags for longer is replaced

    @rule(informed=st.booleans())
    def owner_dies_when_all_is_spent(self, informed: bool) -> None:
        holder = min(self.serving)
        self.request_burst(holder, 40)
        owner = self.workers[holder][0].owners(ACCOUNT)[0]
        if len(self.serving) > 1:
            self.worker_dies(owner, informed)
        self.request_burst(min(self.serving), 40)

    @rule(holder=st.integers(0, 2), count=st.integers(1, 40))
    def request_burst(self, holder: int, count: int) -> None:
        if holder not in self.serving:
            return
        for _ in range(count):
            owner = self.workers[holder][0].worker_for(ACCOUNT)
            if owner not in self.serving:
                owner = holder
            ownership, gateway = self.workers[owner]
            exclusive_for = ownership.exclusive_for(ACCOUNT, self.now)
            self.number += 1
            request = interface.Request(
                self.number, 0, 0, ACCOUNT, 1.0, 1.0, SPREAD,
                account_workers=ownership.split_count(ACCOUNT, self.now),
                exclusive_for=math.inf if exclusive_for is None else exclusive_for.total_seconds(),
            )  # fmt: skip
            actions = gateway.handle(self.now.timestamp(), [request])
            if any(isinstance(a, interface.Send) for a in actions):
                self.spent.append((self.now, 1.0))
                outcome = interface.Outcome(self.number, 0, 1, interface.End.OK, 0.01, True)
                gateway.handle(self.now.timestamp(), [outcome])

    @invariant()
    def total_spending_stays_within_the_ingress_share(self) -> None:
        # A token bucket for the whole ingress: full at the start; a new generation adds no slack of its own.
        room, at = BURST / SPREAD, START
        for when, units in self.spent:
            room = min(BURST / SPREAD, room + RATE / SPREAD * (when - at).total_seconds()) - units
            at = when
            assert room >= -SLACK / SPREAD - 1e-6


CeilingTest = CeilingMachine.TestCase
CeilingTest.settings = hypothesis_settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


# --- worker life cycle -------------------------------------------------------------------------------------
class WorkerLifecycleMachine(RuleBasedStateMachine):
    """Worker processes start, stall, wake, crash and are killed, as the state machine decides."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = state_machine.StateMachine(state_machine.SupervisorSettings(3))
        self.now = START
        self.running: dict[int, int] = {}  # generation by worker
        self.killed: set[tuple[int, int]] = set()
        self.stalled_since: dict[int, datetime] = {}
        self.members: tuple[int, ...] = ()
        self.held_requests: dict[int, tuple[int, int]] = {}  # by request: the worker generation that holds it
        self.settled: set[int] = set()
        self.request_count = 0
        self.accepting_started = self.leaving = False
        self.exit_status: int | None = None
        self.perform(self.machine.start(self.now))

    def perform(self, effects: list[state_machine.Effect]) -> None:
        for e in effects:
            if isinstance(e, state_machine.SpawnWorker):
                assert e.worker not in self.running, "two generations of one worker"
                self.running[e.worker] = e.generation
            elif isinstance(e, state_machine.KillWorker):
                assert self.running.get(e.worker) == e.generation
                self.killed.add((e.worker, e.generation))
            elif isinstance(e, state_machine.TakeOverConnections):
                assert e.worker not in self.running, "taken over while it may still act"
                assert e.worker in e.lost and not e.lost & set(self.machine.serving)
                for request, holder in list(self.held_requests.items()):
                    if holder == (e.worker, e.generation):
                        assert request not in self.settled, "settled twice"
                        self.settled.add(request)
                        del self.held_requests[request]
            elif isinstance(e, state_machine.PublishMembership):
                self.members = e.membership.members
                assert e.membership.initial == (e.membership.version == 1)
            elif isinstance(e, state_machine.StartAccepting):
                assert not self.accepting_started and len(self.members) == 3
                self.accepting_started = True
            elif isinstance(e, state_machine.BroadcastLeave):
                self.leaving = True
            elif isinstance(e, state_machine.Exit):
                self.exit_status = e.code

    def step(self, event: state_machine.Event) -> None:
        if self.exit_status is None:
            self.perform(self.machine.step(event, self.now))

    @rule(worker=st.integers(0, 2))
    def worker_becomes_ready(self, worker: int) -> None:
        if worker in self.running and worker not in self.stalled_since:
            self.step(state_machine.WorkerReady(worker, self.running[worker]))

    @rule(worker=st.integers(0, 2))
    def worker_stalls(self, worker: int) -> None:
        if worker in self.running:
            self.stalled_since.setdefault(worker, self.now)

    @rule(worker=st.integers(0, 2))
    def worker_wakes(self, worker: int) -> None:
        self.stalled_since.pop(worker, None)

    @rule(worker=st.integers(0, 2))
    def worker_exits(self, worker: int) -> None:
        if self.accepting_started and (generation := self.running.pop(worker, None)):
            self.stalled_since.pop(worker, None)
            self.step(state_machine.WorkerExited(worker, generation, "signal 9"))

    @rule(worker=st.integers(0, 2))
    def worker_takes_request(self, worker: int) -> None:
        if self.machine.workers[worker].stage is state_machine.Stage.SERVING and worker in self.running:
            self.request_count += 1
            self.held_requests[self.request_count] = worker, self.running[worker]

    @rule()
    def drain_requested(self) -> None:
        if self.accepting_started:
            self.step(state_machine.DrainRequested())

    @rule(count=st.integers(1, 80))
    def time_passes(self, count: int) -> None:
        for _ in range(count):
            self.now += 25 * MS
            heartbeats = {worker: self.stalled_since.get(worker, self.now) for worker in self.running}
            self.step(state_machine.Tick(heartbeats))
            for worker, generation in list(self.running.items()):
                if (worker, generation) in self.killed or (self.leaving and worker not in self.stalled_since):
                    del self.running[worker]
                    self.stalled_since.pop(worker, None)
                    self.step(state_machine.WorkerExited(worker, generation, "signal 9"))
            if self.accepting_started and self.machine.drain_requested_at and not self.held_requests:
                for worker, generation in self.running.items():
                    self.step(state_machine.WorkerDrained(worker, generation))

    @invariant()
    def stalled_worker_serves_no_more(self) -> None:
        for worker, since in self.stalled_since.items():
            if self.now - since > 1000 * MS and self.exit_status is None:
                assert self.machine.workers[worker].stage is not state_machine.Stage.SERVING

    @invariant()
    def members_are_the_serving_workers(self) -> None:
        if self.accepting_started and self.exit_status is None:
            assert self.members == self.machine.serving


WorkerLifecycleTest = WorkerLifecycleMachine.TestCase
WorkerLifecycleTest.settings = hypothesis_settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


def started_machine(workers: int = 2) -> state_machine.StateMachine:
    machine = state_machine.StateMachine(state_machine.SupervisorSettings(workers))
    machine.start(START)
    for worker in range(workers):
        machine.step(state_machine.WorkerReady(worker, 1), START)
    return machine


def test_pause_of_the_supervisor_is_not_a_stall_of_its_workers() -> None:
    machine = started_machine()
    machine.step(state_machine.Tick({0: START, 1: START}), START)
    later = START + timedelta(seconds=9)
    assert not any(
        isinstance(e, state_machine.KillWorker) for e in machine.step(state_machine.Tick({}), later)
    )
    for n in range(1, 17):
        assert not any(
            isinstance(e, state_machine.KillWorker)
            for e in machine.step(state_machine.Tick({}), later + n * 25 * MS - MS)
        )
    effects = [e for n in range(17, 40) for e in machine.step(state_machine.Tick({}), later + n * 25 * MS)]
    assert [e.worker for e in effects if isinstance(e, state_machine.KillWorker)] == [0, 1]


def test_crash_loop_backs_off_and_is_logged_once() -> None:
    machine, now = started_machine(), START
    pauses, lines = [], []
    for _ in range(12):
        effects = machine.step(state_machine.WorkerExited(0, machine.workers[0].generation, "exit 1"), now)
        lines += [e.text for e in effects if isinstance(e, state_machine.LogLine)]
        restart_at = machine.workers[0].restart_at
        assert restart_at is not None
        pauses.append(restart_at - now)
        now = restart_at
        machine.step(state_machine.Tick({0: now, 1: now}), now)
        assert machine.workers[0].stage is state_machine.Stage.STARTING
    assert pauses[0] == 250 * MS and pauses[1] == 500 * MS and pauses[-1] == timedelta(seconds=15)
    assert sum("keeps ending" in s for s in lines) == 1 and len(lines) == 3
    machine.step(state_machine.WorkerReady(0, machine.workers[0].generation), now)
    now += timedelta(seconds=31)
    machine.step(state_machine.WorkerExited(0, machine.workers[0].generation, "exit 1"), now)
    assert machine.workers[0].restart_at == now + 250 * MS


def test_failed_start_exits_2() -> None:
    machine = state_machine.StateMachine(state_machine.SupervisorSettings(2))
    machine.start(START)
    assert state_machine.Exit(2) in machine.step(state_machine.WorkerExited(1, 1, "exit 1"), START)


# --- takeover of connections -------------------------------------------------------------------------------
def test_every_state_of_a_lost_connection_has_its_disposition() -> None:
    for is_open, owner_lives, repeatable, attempted, wrote, read, established in product(
        *[(False, True)] * 7
    ):
        record = ConnectionRecord(
            is_open, 3, 1 if owner_lives else 0, repeatable, 3 if attempted else 2, 100, 50
        )
        progress = SocketProgress(100 + 7 * read, 50 + 9 * wrote, established)
        disposition = choose_disposition(record, progress, frozenset({0}))
        if not established:
            expected = Disposition.CLOSE
        elif not is_open:
            expected = Disposition.REFUSE if read else Disposition.REASSIGN
        elif wrote:  # answered
            expected = Disposition.CLOSE if read else Disposition.AWAIT_NEXT_REQUEST
        elif owner_lives:
            expected = Disposition.AWAIT_OWNER
        else:
            expected = Disposition.FAIL if attempted and not repeatable else Disposition.REFUSE
        assert disposition is expected, (record, progress)
        if disposition is Disposition.REFUSE and is_open:
            assert repeatable or not attempted  # a refusal tells the client that a repeat does no harm


def test_connection_that_may_hold_part_of_another_request_is_never_reassigned() -> None:
    assert (
        choose_disposition(
            ConnectionRecord(consumed=CONSUMED_UNKNOWN), SocketProgress(100, 0), frozenset({0})
        )
        is Disposition.REFUSE
    )
    # The first request was attempted, the ninth was not.
    assert unowned_disposition(ConnectionRecord(True, 9, 0, False, 1)) is Disposition.REFUSE


def test_late_record_of_one_request_hides_nothing_about_the_next() -> None:
    table = SharedTable(2, 4)
    table.record_request(1, 5, 0, False, 10, 0, 0)
    table.record_attempt(1, 5)
    table.reset_connection(1)
    assert table.connection_record(1).sequence == 5
    table.record_request(1, 6, 0, False, 10, 0, 0)
    assert table.connection_record(1).attempted != 6
    table.record_attempt(1, 6)
    table.record_attempt(1, 5)  # a late write
    assert table.connection_record(1).attempted == 6 and table.connection_record(1).open
    table.record_answer(1, 99)
    assert not table.connection_record(1).open and table.connection_record(1).consumed == 99


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), st.booleans()), max_size=60))
def test_id_is_open_at_one_worker_at_most(steps: list[tuple[int, int, bool]]) -> None:
    table = SharedTable(3, 1)
    held: dict[int, tuple[int, int]] = {}
    for worker, number, claims in steps:
        if claims and number in held and held[number][0] == worker:
            continue  # a worker knows its own open ids
        if claims:
            entry = table.claim_id(worker, id_hash(f"id-{number}"))
            assert (entry is None) == (number in held)
            if entry is not None:
                held[number] = worker, entry
        elif number in held:
            table.release_id(held.pop(number)[1])
    for worker in {s for s, _ in held.values()}:
        table.clear_worker(worker)
        held = {n: v for n, v in held.items() if v[0] != worker}
    assert all(table.claim_id(0, id_hash(f"id-{n}")) is not None for n in range(6))


def test_full_bucket_rejects_and_a_fence_holds_for_all_earlier_generations() -> None:
    table = SharedTable(2, 1)
    in_bucket = [
        n.to_bytes(4, "little") + bytes([1, 2, 3, 4]) for n in range(0, BUCKETS * (WAYS + 1), BUCKETS)
    ]
    assert [table.claim_id(0, h) is not None for h in in_bucket] == [True] * WAYS + [False]
    table.fence(0, 2)
    assert (
        table.is_fenced(0, 1)
        and table.is_fenced(0, 2)
        and not table.is_fenced(0, 3)
        and not table.is_fenced(1, 1)
    )


@pytest.mark.parametrize("workers", [1, 8])
def test_what_one_process_writes_to_the_table_another_reads(workers: int) -> None:
    import os

    table = SharedTable(workers, 8)
    other = SharedTable(workers, 8, os.dup(table.fd))
    other.record_heartbeat(workers - 1)
    assert table.heartbeats()[workers - 1] > 0 and table.heartbeats()[: workers - 1] == [0] * (workers - 1)
    other.record_request(7, 3, 1, True, 2**40, 2**41, 2**42)
    assert table.connection_record(7) == ConnectionRecord(True, 3, 1, True, 0, 2**40, 2**41, 2**42)
