"""What the cores package decides, without a process: lives, owners, parts, connections left behind."""

from __future__ import annotations

import math
from datetime import UTC, datetime, timedelta
from itertools import product

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.cores import state_machine as w
from opalgauge.cores.ownership import Balance, Load, Roster, Shares, owners
from opalgauge.cores.shared_table import BUCKETS, WAYS, Board, id_hash
from opalgauge.cores.takeover import UNSURE, Course, Kernel, Mark, course, settled
from starlinggap import Gateway
from starlinggap import interface as i

START = datetime(2026, 12, 1, 6, 0, tzinfo=UTC)
MS = timedelta(milliseconds=1)
SETTLE = 700 * MS
ACCOUNT = 7
RATE, BURST, SLACK, SPREAD = 6.0, 24.0, 1.0, 2


# --- who decides -------------------------------------------------------------------------------------------
def test_only_the_accounts_of_a_worker_that_goes_or_comes_move() -> None:
    four, three = Roster(1, (0, 1, 2, 3)), Roster(2, (0, 1, 3))
    moved = [a for a in range(8000) if owners(a, four) != owners(a, three)]
    assert moved and all(owners(a, four) == (2,) for a in moved)
    shares = [sum(owners(a, four) == (n,) for a in range(8000)) for n in range(4)]
    assert max(shares) < 1.2 * min(shares)


def test_a_split_account_has_its_first_owner_among_its_owners() -> None:
    for account in range(50):
        alone = owners(account, Roster(1, (0, 1, 2, 3)))
        split = owners(account, Roster(2, (0, 1, 2, 3), {account: 3}))
        assert len(set(split)) == 3 and split[0] == alone[0]


def test_half_of_all_traffic_is_split_and_joined_again_once_it_has_long_been_calm() -> None:
    balance = Balance(4)
    busy = {n: Load(1000, [(ACCOUNT, 500, 9), (8, 20, 9)]) for n in range(4)}
    assert balance.weigh(busy, START) and balance.split == {ACCOUNT: 4}
    assert not balance.weigh({n: Load(1000) for n in range(4)}, START + timedelta(seconds=9))
    assert (
        balance.weigh({n: Load(1000) for n in range(4)}, START + timedelta(seconds=11)) and not balance.split
    )
    few_parts = {n: Load(1000, [(ACCOUNT, 500, 2)]) for n in range(4)}
    assert balance.weigh(few_parts, START) and balance.split == {ACCOUNT: 2}
    assert not Balance(4).weigh({0: Load(20, [(ACCOUNT, 20, 9)])}, START)


class Ceiling(RuleBasedStateMachine):
    """Workers hear of rosters late, but within the settle time; each spends all that the decisions let it.

    Whatever comes, an account's units sent on by this ingress stay within its part of the ceiling.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        plan = i.Plan(
            rate=1000.0, burst=100000.0, ceiling_rate=RATE, ceiling_burst=BURST, ceiling_slack=SLACK
        )
        self.settings = i.Settings((i.RequestClass(aim=0.4, deadline=1.2),), (plan,), most_units=3.0)
        self.version, self.live = 1, {0, 1, 2}
        self.rosters = {1: Roster(1, (0, 1, 2), {}, True)}
        self.told_at = {1: START}
        self.workers = {n: self.life(n) for n in self.live}
        self.spent: list[tuple[datetime, float]] = []
        self.split = 1
        self.number = 0

    def life(self, number: int) -> tuple[Shares, Gateway]:
        gateway = Gateway(self.settings, number)
        gateway.handle(
            self.now.timestamp(), [i.ServerList(i.ListKind.WHOLE, (i.ServerEntry(1, i.Health.READY),))]
        )
        shares = Shares(number, SETTLE)
        shares.take(self.rosters[self.version], self.now)
        return shares, gateway

    def publish(self) -> None:
        self.version += 1
        split = {ACCOUNT: self.split} if self.split > 1 else {}
        self.rosters[self.version] = Roster(self.version, tuple(sorted(self.live)), split)
        self.told_at[self.version] = self.now

    def hear(self, number: int) -> None:
        self.workers[number][0].take(self.rosters[self.version], self.now)

    @precondition(lambda self: len(self.live) > 1)
    @rule(number=st.integers(0, 2), told=st.booleans())
    def dies(self, number: int, told: bool) -> None:
        if number in self.live:
            self.live.discard(number)
            del self.workers[number]
            self.publish()
            for other in self.live if told else ():
                self.hear(other)

    @rule(number=st.integers(0, 2))
    def starts(self, number: int) -> None:
        if number not in self.live:
            self.live.add(number)
            self.publish()
            self.workers[number] = self.life(number)

    @rule(parts=st.integers(1, 3))
    def splits(self, parts: int) -> None:
        self.split = parts
        self.publish()

    @rule(number=st.integers(0, 2))
    def hears(self, number: int) -> None:
        if number in self.live:
            self.hear(number)

    @rule()
    def a_ceiling_fills(self) -> None:
        for _ in range(10):
            self.time_goes_by(500)

    @rule(span=st.integers(1, 900))
    def time_goes_by(self, span: int) -> None:
        self.now += span * MS
        for number in self.live:
            last = self.workers[number][0].roster.version
            if any(v > last and self.now - at > SETTLE - 100 * MS for v, at in self.told_at.items()):
                self.hear(number)  # who lags for longer is replaced

    @rule(told=st.booleans())
    def its_owner_dies_when_all_is_spent(self, told: bool) -> None:
        holder = min(self.live)
        self.an_order_storm(holder, 40)
        owner = self.workers[holder][0].owners(ACCOUNT)[0]
        if len(self.live) > 1:
            self.dies(owner, told)
        self.an_order_storm(min(self.live), 40)

    @rule(holder=st.integers(0, 2), many=st.integers(1, 40))
    def an_order_storm(self, holder: int, many: int) -> None:
        if holder not in self.live:
            return
        for _ in range(many):
            owner = self.workers[holder][0].core(ACCOUNT)
            if owner not in self.live:
                owner = holder
            shares, gateway = self.workers[owner]
            held = shares.held(ACCOUNT, self.now)
            self.number += 1
            request = i.Request(
                self.number, 0, 0, ACCOUNT, 1.0, 1.0, SPREAD, parts=shares.parts(ACCOUNT, self.now),
                held=math.inf if held is None else held.total_seconds(),
            )  # fmt: skip
            actions = gateway.handle(self.now.timestamp(), [request])
            if any(isinstance(a, i.Send) for a in actions):
                self.spent.append((self.now, 1.0))
                done = i.Outcome(self.number, 0, 1, i.End.OK, 0.01, True)
                gateway.handle(self.now.timestamp(), [done])

    @invariant()
    def the_parts_never_pass_the_ingress(self) -> None:
        # The rule's own store: full at the start, and a new life adds no slack of its own.
        room, at = BURST / SPREAD, START
        for when, units in self.spent:
            room = min(BURST / SPREAD, room + RATE / SPREAD * (when - at).total_seconds()) - units
            at = when
            assert room >= -SLACK / SPREAD - 1e-6


CeilingTest = Ceiling.TestCase
CeilingTest.settings = how(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None)


# --- who lives ---------------------------------------------------------------------------------------------
class Lives(RuleBasedStateMachine):
    """Processes that start, stall, wake, crash and are killed, round the guardian's decisions."""

    def __init__(self) -> None:
        super().__init__()
        self.watch = w.Watch(w.Figures(3))
        self.now = START
        self.alive: dict[int, int] = {}  # seat: life
        self.killed: set[tuple[int, int]] = set()
        self.stalled: dict[int, datetime] = {}
        self.members: tuple[int, ...] = ()
        self.dealt: dict[int, tuple[int, int]] = {}  # order: who holds it
        self.settled: set[int] = set()
        self.orders = 0
        self.opened = self.left = False
        self.quit: int | None = None
        self.do(self.watch.start(self.now))

    def do(self, effects: list[w.Effect]) -> None:
        for e in effects:
            if isinstance(e, w.Spawn):
                assert e.seat not in self.alive, "two lives of one seat"
                self.alive[e.seat] = e.life
            elif isinstance(e, w.Kill):
                assert self.alive.get(e.seat) == e.life
                self.killed.add((e.seat, e.life))
            elif isinstance(e, w.TakeOver):
                assert e.seat not in self.alive, "taken over while it may still act"
                assert e.seat in e.gone and not e.gone & set(self.watch.serving)
                for order, holder in list(self.dealt.items()):
                    if holder == (e.seat, e.life):
                        assert order not in self.settled, "settled twice"
                        self.settled.add(order)
                        del self.dealt[order]
            elif isinstance(e, w.Publish):
                self.members = e.roster.members
                assert e.roster.fresh == (e.roster.version == 1)
            elif isinstance(e, w.OpenDoors):
                assert not self.opened and len(self.members) == 3
                self.opened = True
            elif isinstance(e, w.TellLeave):
                self.left = True
            elif isinstance(e, w.Quit):
                self.quit = e.code

    def step(self, event: w.Event) -> None:
        if self.quit is None:
            self.do(self.watch.step(event, self.now))

    @rule(seat=st.integers(0, 2))
    def comes_up(self, seat: int) -> None:
        if seat in self.alive and seat not in self.stalled:
            self.step(w.Ready(seat, self.alive[seat]))

    @rule(seat=st.integers(0, 2))
    def stalls(self, seat: int) -> None:
        if seat in self.alive:
            self.stalled.setdefault(seat, self.now)

    @rule(seat=st.integers(0, 2))
    def wakes(self, seat: int) -> None:
        self.stalled.pop(seat, None)

    @rule(seat=st.integers(0, 2))
    def ends(self, seat: int) -> None:
        if self.opened and (life := self.alive.pop(seat, None)):
            self.stalled.pop(seat, None)
            self.step(w.Exited(seat, life, "signal 9"))

    @rule(seat=st.integers(0, 2))
    def takes_an_order(self, seat: int) -> None:
        if self.watch.seats[seat].stage is w.Stage.SERVING and seat in self.alive:
            self.orders += 1
            self.dealt[self.orders] = seat, self.alive[seat]

    @rule()
    def is_asked_to_stop(self) -> None:
        if self.opened:
            self.step(w.DrainAsked())

    @rule(many=st.integers(1, 80))
    def time_goes_by(self, many: int) -> None:
        for _ in range(many):
            self.now += 25 * MS
            beats = {s: self.stalled.get(s, self.now) for s in self.alive}
            self.step(w.Tick(beats))
            for seat, life in list(self.alive.items()):
                if (seat, life) in self.killed or (self.left and seat not in self.stalled):
                    del self.alive[seat]
                    self.stalled.pop(seat, None)
                    self.step(w.Exited(seat, life, "signal 9"))
            if self.opened and self.watch.drain_at and not self.dealt:
                for seat, life in self.alive.items():
                    self.step(w.Done(seat, life))

    @invariant()
    def who_has_stalled_for_long_serves_no_more(self) -> None:
        for seat, since in self.stalled.items():
            if self.now - since > 1000 * MS and self.quit is None:
                assert self.watch.seats[seat].stage is not w.Stage.SERVING

    @invariant()
    def only_who_serves_decides(self) -> None:
        if self.opened and self.quit is None:
            assert self.members == self.watch.serving


LivesTest = Lives.TestCase
LivesTest.settings = how(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None)


def running(workers: int = 2) -> w.Watch:
    watch = w.Watch(w.Figures(workers))
    watch.start(START)
    for seat in range(workers):
        watch.step(w.Ready(seat, 1), START)
    return watch


def test_a_pause_of_the_guardian_itself_is_no_stall_of_its_workers() -> None:
    watch = running()
    watch.step(w.Tick({0: START, 1: START}), START)
    later = START + timedelta(seconds=9)
    assert not any(isinstance(e, w.Kill) for e in watch.step(w.Tick({}), later))
    for n in range(1, 17):
        assert not any(isinstance(e, w.Kill) for e in watch.step(w.Tick({}), later + n * 25 * MS - MS))
    effects = [e for n in range(17, 40) for e in watch.step(w.Tick({}), later + n * 25 * MS)]
    assert [e.seat for e in effects if isinstance(e, w.Kill)] == [0, 1]


def test_a_crash_loop_is_tried_ever_more_slowly_and_told_once() -> None:
    watch, now = running(), START
    pauses, said = [], []
    for _ in range(12):
        effects = watch.step(w.Exited(0, watch.seats[0].life, "exit 1"), now)
        said += [e.text for e in effects if isinstance(e, w.Say)]
        again = watch.seats[0].again_at
        assert again is not None
        pauses.append(again - now)
        now = again
        watch.step(w.Tick({0: now, 1: now}), now)
        assert watch.seats[0].stage is w.Stage.STARTING
    assert pauses[0] == 250 * MS and pauses[1] == 500 * MS and pauses[-1] == timedelta(seconds=15)
    assert sum("keeps ending" in s for s in said) == 1 and len(said) == 3
    watch.step(w.Ready(0, watch.seats[0].life), now)
    now += timedelta(seconds=31)
    watch.step(w.Exited(0, watch.seats[0].life, "exit 1"), now)
    assert watch.seats[0].again_at == now + 250 * MS


def test_a_start_that_cannot_work_ends_all() -> None:
    watch = w.Watch(w.Figures(2))
    watch.start(START)
    assert w.Quit(2) in watch.step(w.Exited(1, 1, "exit 1"), START)


# --- what is left behind -----------------------------------------------------------------------------------
def test_every_state_that_a_worker_can_leave_a_connection_in_has_its_course() -> None:
    for is_open, owner, harmless, ran, wrote, read, stands in product(*[(False, True)] * 7):
        mark = Mark(is_open, 3, 1 if owner else 0, harmless, 3 if ran else 2, 100, 50)
        kernel = Kernel(100 + 7 * read, 50 + 9 * wrote, stands)
        got = course(mark, kernel, frozenset({0}))
        if not stands:
            expected = Course.CLOSE
        elif not is_open:
            expected = Course.REFUSE if read else Course.DEAL
        elif wrote:  # it has its answer
            expected = Course.CLOSE if read else Course.KEEP
        elif owner:
            expected = Course.AWAIT
        else:
            expected = Course.FAIL if ran and not harmless else Course.REFUSE
        assert got is expected, (mark, kernel)
        if got is Course.REFUSE and is_open:
            assert harmless or not ran  # a refusal says that a repeat does no harm


def test_a_connection_that_may_hold_part_of_a_further_request_is_never_dealt_on() -> None:
    assert course(Mark(consumed=UNSURE), Kernel(100, 0), frozenset({0})) is Course.REFUSE
    assert settled(Mark(True, 9, 0, False, 1)) is Course.REFUSE  # the first request ran, the ninth did not


def test_a_late_word_about_one_request_hides_nothing_about_the_next_in_its_place() -> None:
    board = Board(2, 4)
    board.opened(1, 5, 0, False, 10, 0, 0)
    board.ran(1, 5)
    board.fresh(1)
    assert board.mark(1).tag == 5
    board.opened(1, 6, 0, False, 10, 0, 0)
    assert board.mark(1).ran != 6
    board.ran(1, 6)
    board.ran(1, 5)  # comes late
    assert board.mark(1).ran == 6 and board.mark(1).open
    board.answered(1, 99)
    assert not board.mark(1).open and board.mark(1).consumed == 99


@how(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), st.booleans()), max_size=60))
def test_an_id_is_open_at_one_seat_at_most(steps: list[tuple[int, int, bool]]) -> None:
    board = Board(3, 1)
    held: dict[int, tuple[int, int]] = {}
    for seat, number, takes in steps:
        if takes and number in held and held[number][0] == seat:
            continue  # a seat knows its own open ids
        if takes:
            place = board.claim(seat, id_hash(f"id-{number}"))
            assert (place is None) == (number in held)
            if place is not None:
                held[number] = seat, place
        elif number in held:
            board.release(held.pop(number)[1])
    for seat in {s for s, _ in held.values()}:
        board.clear(seat)
        held = {n: v for n, v in held.items() if v[0] != seat}
    assert all(board.claim(0, id_hash(f"id-{n}")) is not None for n in range(6))


def test_a_full_bucket_turns_away_and_a_fence_holds_for_all_lives_up_to_it() -> None:
    board = Board(2, 1)
    in_bucket = [
        n.to_bytes(4, "little") + bytes([1, 2, 3, 4]) for n in range(0, BUCKETS * (WAYS + 1), BUCKETS)
    ]
    assert [board.claim(0, h) is not None for h in in_bucket] == [True] * WAYS + [False]
    board.fence(0, 2)
    assert board.fenced(0, 1) and board.fenced(0, 2) and not board.fenced(0, 3) and not board.fenced(1, 1)


@pytest.mark.parametrize("seats", [1, 8])
def test_what_one_process_writes_on_the_board_another_reads(seats: int) -> None:
    import os

    board = Board(seats, 8)
    other = Board(seats, 8, os.dup(board.fd))
    other.beat(seats - 1)
    assert board.beats()[seats - 1] > 0 and board.beats()[: seats - 1] == [0] * (seats - 1)
    other.opened(7, 3, 1, True, 2**40, 2**41, 2**42)
    assert board.mark(7) == Mark(True, 3, 1, True, 0, 2**40, 2**41, 2**42)
