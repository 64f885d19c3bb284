"""A model of a stock node connection's states, and random steps checked against it."""

from __future__ import annotations

from datetime import datetime, timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.state import ConnectionState
from starlinggap.interface import End, Health, ListKind
from tests.reducer_rig import CHECK, PLACE, ReducerRig, node


class Lines(RuleBasedStateMachine):
    """The model: each connection is opening, idle or busy until it ends, and knows nothing of the reducer.

    An idle one settles first: until then it carries nothing.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rig = ReducerRig(max_server_connections=4, nodes=2)
        self.model: dict[int, ConnectionState] = {}
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
            if isinstance(effect, fx.OpenConnection) and effect.destination is fx.Destination.SERVER:
                self.model[effect.connection_id] = ConnectionState.OPENING
                number = int(effect.address[-1])
                self.process[effect.connection_id] = (number, self.started[number])
            elif isinstance(effect, fx.SendAttempt):
                assert self.model[effect.connection_id] in (ConnectionState.IDLE, ConnectionState.OPENING)
                if self.model[effect.connection_id] is ConnectionState.IDLE:
                    settled = self.rig.now - self.rested[effect.connection_id]
                    assert settled >= self.rig.reducer.config.reuse_delay, "it has not settled"
                self.model[effect.connection_id] = ConnectionState.BUSY
                number, started = self.process[effect.connection_id]
                assert self.listed[number] is Health.READY, "written to a node that is to get nothing more"
                assert self.started[number] == started, "written to a connection to a process that is gone"
            elif isinstance(effect, fx.CloseConnection):
                self.model.pop(effect.connection_id, None)
            elif isinstance(effect, fx.AnswerClient):
                assert effect.request_id in self.open_orders, "a second answer"
                self.open_orders.remove(effect.request_id)
        self.read = len(self.rig.out)

    def some(self, stage: ConnectionState, pick: int) -> int:
        lines = sorted(n for n, s in self.model.items() if s is stage)
        return lines[pick % len(lines)]

    def has(self, *stages: ConnectionState) -> bool:
        return any(s in stages for s in self.model.values())

    @rule(kind=st.sampled_from([CHECK, PLACE]), left=st.integers(50, 3000))
    def order(self, kind: int, left: int) -> None:
        self.rig.number += 1
        errand = ev.HttpRequest("GET", "/stock-check", f"id-{self.rig.number}", (), b"")
        self.open_orders.add(self.rig.number)
        self.rig.step(ev.RequestReceived(self.rig.number, errand, kind, 0, self.rig.number,
                                     timedelta(milliseconds=left), 1.0, 2, 0, False,
                                     self.rig.number))  # fmt: skip
        for n in range(self.read, 10**9):  # the counter's calls and their answers' own
            if n == len(self.rig.out):
                break
            effect = self.rig.out[n]
            if isinstance(effect, fx.OpenConnection) and effect.destination is fx.Destination.QUOTA_COUNTER:
                self.rig.step(ev.ConnectionOpened(effect.connection_id))
            elif isinstance(effect, fx.CallCounter):
                self.rig.step(ev.CounterAnswered(effect.connection_id, End.OK, 1.0, True))
        self.follow()

    @rule(number=st.integers(1, 2), health=st.sampled_from([*Health]), again=st.booleans())
    def list_tells(self, number: int, health: Health, again: bool) -> None:
        """A stock node drains, goes, is back; perhaps as another process."""
        books = self.rig.reducer.state
        while (watch := self.rig.list_question().connection_id) not in books.connections:
            self.rig.pass_time(timedelta(milliseconds=50))  # up to the next dial
            self.rig.bring_up_list()
        self.follow()  # up to here the list before holds: nobody can know of this one
        self.listed[number] = health
        self.started[number] += again
        entry, version = node(number, health, self.started[number]), self.rig.next_version()
        self.rig.step(ev.ServerListAnswered(watch, True, version, ListKind.CHANGES, (entry,)))
        assert books.list_version == version, "a list over a living watch was not heard"
        self.follow()

    @precondition(lambda self: self.has(ConnectionState.OPENING))
    @rule(pick=st.integers(0, 9))
    def comes_up(self, pick: int) -> None:
        line = self.some(ConnectionState.OPENING, pick)
        self.rig.step(ev.ConnectionOpened(line))
        self.follow()
        assert self.model.get(line) is not ConnectionState.OPENING

    @precondition(lambda self: self.has(ConnectionState.BUSY))
    @rule(pick=st.integers(0, 9), end=st.sampled_from([End.OK, End.ERROR, End.REJECTED]), keep=st.booleans())
    def answers(self, pick: int, end: End, keep: bool) -> None:
        line = self.some(ConnectionState.BUSY, pick)
        self.model[line], self.rested[line] = ConnectionState.IDLE, self.rig.now
        self.rig.step(ev.ServerAnswered(line, end, keep, b""))
        self.follow()
        assert keep or line not in self.model

    @precondition(lambda self: self.has(*ConnectionState))
    @rule(
        stage=st.sampled_from(list(ConnectionState)),
        pick=st.integers(0, 9),
        reached=st.sampled_from(list(ev.Progress)),
    )
    def ends(self, stage: ConnectionState, pick: int, reached: ev.Progress) -> None:
        if self.has(stage):
            line = self.some(stage, pick)
            del self.model[line]
            self.rig.step(ev.ConnectionLost(line, reached))
            self.follow()

    @precondition(lambda self: bool(self.open_orders))
    @rule(pick=st.integers(0, 9))
    def client_leaves(self, pick: int) -> None:
        order = sorted(self.open_orders)[pick % len(self.open_orders)]
        self.open_orders.remove(order)
        self.rig.step(ev.ClientDisconnected(order))
        self.follow()

    @rule(span=st.sampled_from([1, 20, 90, 300, 1500, 10_000]))
    def time_passes(self, span: int) -> None:
        self.rig.pass_time(timedelta(milliseconds=span))
        self.follow()

    @invariant()
    def the_books_agree_with_the_model(self) -> None:
        books = self.rig.reducer.state
        lines = {
            n: line for n, line in books.connections.items() if line.destination is fx.Destination.SERVER
        }
        assert {n: line.state for n, line in lines.items()} == self.model
        assert books.server_connection_count == len(self.model) <= 4
        assert sorted(n for idle in books.idle_connections.values() for n in idle) == sorted(
            n for n, s in self.model.items() if s is ConnectionState.IDLE
        )
        carried = [line.attempt for line in lines.values() if line.attempt]
        assert len(carried) == len(books.attempts) <= len(self.open_orders)
        assert set(books.requests) == self.open_orders

    def teardown(self) -> None:
        """Whatever happened, every order has its answer once its time is up."""
        self.rig.pass_time(timedelta(seconds=4))
        self.follow()
        assert not self.open_orders and not self.rig.reducer.state.attempts


Lines.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
)
TestLines = Lines.TestCase
