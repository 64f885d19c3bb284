"""A model of a stock node connection's states, and random steps checked against it."""

from __future__ import annotations

from datetime import datetime, timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.state import Stage
from starlinggap.interface import End, Health, ListKind
from tests.reducer_rig import CHECK, PLACE, ReducerRig, node


class Lines(RuleBasedStateMachine):
    """The model: each connection is opening, idle or busy until it ends, and knows nothing of the reducer.

    An idle one settles first: until then it carries nothing.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rig = ReducerRig(most_lines=4, nodes=2)
        self.model: dict[int, Stage] = {}
        self.rested: dict[int, datetime] = {}
        self.listed = dict.fromkeys((1, 2), Health.READY)
        self.started = dict.fromkeys((1, 2), 0.0)
        self.process: dict[int, tuple[int, float]] = {}  # which a connection was opened to
        self.open_orders: set[int] = set()
        self.read = 0
        self.follow()

    def follow(self) -> None:
        """Moves the model by the effects alone; an effect that its state forbids fails."""
        for effect in self.rig.out[self.read :]:
            if isinstance(effect, fx.OpenLine) and effect.party is fx.Party.STOCK_NODE:
                self.model[effect.line] = Stage.OPENING
                number = int(effect.address[-1])
                self.process[effect.line] = (number, self.started[number])
            elif isinstance(effect, fx.SendAttempt):
                assert self.model[effect.line] in (Stage.IDLE, Stage.OPENING)
                if self.model[effect.line] is Stage.IDLE:
                    settled = self.rig.now - self.rested[effect.line]
                    assert settled >= self.rig.reducer.house.settling, "it has not settled"
                self.model[effect.line] = Stage.BUSY
                number, started = self.process[effect.line]
                assert self.listed[number] is Health.READY, "written to a node that is to get nothing more"
                assert self.started[number] == started, "written to a connection to a process that is gone"
            elif isinstance(effect, fx.CloseLine):
                self.model.pop(effect.line, None)
            elif isinstance(effect, fx.AnswerClient):
                assert effect.order in self.open_orders, "a second answer"
                self.open_orders.remove(effect.order)
        self.read = len(self.rig.out)

    def some(self, stage: Stage, pick: int) -> int:
        lines = sorted(n for n, s in self.model.items() if s is stage)
        return lines[pick % len(lines)]

    def has(self, *stages: Stage) -> bool:
        return any(s in stages for s in self.model.values())

    @rule(kind=st.sampled_from([CHECK, PLACE]), left=st.integers(50, 3000))
    def order(self, kind: int, left: int) -> None:
        self.rig.number += 1
        errand = ev.Errand("GET", "/stock-check", f"id-{self.rig.number}", (), b"")
        self.open_orders.add(self.rig.number)
        self.rig.step(ev.OrderTaken(self.rig.number, errand, kind, 0, self.rig.number,
                                     timedelta(milliseconds=left), 1.0, 2, 0, False,
                                     self.rig.number))  # fmt: skip
        for n in range(self.read, 10**9):  # the counter's calls and their answers' own
            if n == len(self.rig.out):
                break
            effect = self.rig.out[n]
            if isinstance(effect, fx.OpenLine) and effect.party is fx.Party.QUOTA_COUNTER:
                self.rig.step(ev.LineUp(effect.line))
            elif isinstance(effect, fx.CallCounter):
                self.rig.step(ev.CounterAnswered(effect.line, End.OK, 1.0, True))
        self.follow()

    @rule(number=st.integers(1, 2), health=st.sampled_from([*Health]), again=st.booleans())
    def list_tells(self, number: int, health: Health, again: bool) -> None:
        """A stock node drains, goes, is back; perhaps as another process."""
        books = self.rig.reducer.books
        while (watch := self.rig.list_question().line) not in books.lines:
            self.rig.pass_time(timedelta(milliseconds=50))  # up to the next dial
            self.rig.bring_up_list()
        self.follow()  # up to here the list before holds: nobody can know of this one
        self.listed[number] = health
        self.started[number] += again
        entry, version = node(number, health, self.started[number]), self.rig.next_version()
        self.rig.step(ev.NodeListAnswered(watch, True, version, ListKind.CHANGES, (entry,)))
        assert books.list_version == version, "a list over a living watch was not heard"
        self.follow()

    @precondition(lambda self: self.has(Stage.OPENING))
    @rule(pick=st.integers(0, 9))
    def comes_up(self, pick: int) -> None:
        line = self.some(Stage.OPENING, pick)
        self.rig.step(ev.LineUp(line))
        self.follow()
        assert self.model.get(line) is not Stage.OPENING

    @precondition(lambda self: self.has(Stage.BUSY))
    @rule(pick=st.integers(0, 9), end=st.sampled_from([End.OK, End.ERROR, End.REJECTED]), keep=st.booleans())
    def answers(self, pick: int, end: End, keep: bool) -> None:
        line = self.some(Stage.BUSY, pick)
        self.model[line], self.rested[line] = Stage.IDLE, self.rig.now
        self.rig.step(ev.NodeAnswered(line, end, keep, b""))
        self.follow()
        assert keep or line not in self.model

    @precondition(lambda self: self.has(*Stage))
    @rule(
        stage=st.sampled_from(list(Stage)), pick=st.integers(0, 9), reached=st.sampled_from(list(ev.Reached))
    )
    def ends(self, stage: Stage, pick: int, reached: ev.Reached) -> None:
        if self.has(stage):
            line = self.some(stage, pick)
            del self.model[line]
            self.rig.step(ev.LineEnded(line, reached))
            self.follow()

    @precondition(lambda self: bool(self.open_orders))
    @rule(pick=st.integers(0, 9))
    def client_leaves(self, pick: int) -> None:
        order = sorted(self.open_orders)[pick % len(self.open_orders)]
        self.open_orders.remove(order)
        self.rig.step(ev.ClientLeft(order))
        self.follow()

    @rule(span=st.sampled_from([1, 20, 90, 300, 1500, 10_000]))
    def time_passes(self, span: int) -> None:
        self.rig.pass_time(timedelta(milliseconds=span))
        self.follow()

    @invariant()
    def the_books_agree_with_the_model(self) -> None:
        books = self.rig.reducer.books
        lines = {n: line for n, line in books.lines.items() if line.party is fx.Party.STOCK_NODE}
        assert {n: line.stage for n, line in lines.items()} == self.model
        assert books.node_lines == len(self.model) <= 4
        assert sorted(n for idle in books.idle.values() for n in idle) == sorted(
            n for n, s in self.model.items() if s is Stage.IDLE
        )
        carried = [line.attempt for line in lines.values() if line.attempt]
        assert len(carried) == len(books.attempts) <= len(self.open_orders)
        assert set(books.orders) == self.open_orders

    def teardown(self) -> None:
        """Whatever happened, every order has its answer once its time is up."""
        self.rig.pass_time(timedelta(seconds=4))
        self.follow()
        assert not self.open_orders and not self.rig.reducer.books.attempts


Lines.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
)
TestLines = Lines.TestCase
