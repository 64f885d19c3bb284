"""A model of a client connection's states, and random steps checked against it."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.drain import ANSWER_MARGIN, EXIT_MARGIN, min_time_to_kill
from starlinggap.interface import End
from tests.reducer_rig import CHECK, PLACE, SETTINGS, START, ReducerRig


class State(Enum):
    """As docs/architecture.md has them; one that has ended, or was told to, is not kept."""

    SILENT = "silent"
    ARRIVING = "arriving"
    BODY = "body"
    ASKING = "asking"
    KEPT = "kept"


QUIET = (State.SILENT, State.ARRIVING, State.KEPT)  # those that may be closed: nothing is owed over them


class ClientConnections(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.rig = ReducerRig(max_clients=6, keep_alive_limit=4, counter_address="")
        self.model: dict[int, State] = {}
        self.orders: dict[int, int] = {}  # open orders, and whose
        self.draining = self.grace_over = False
        self.kill = START
        self.came = self.read = 0
        self.follow()

    def follow(self) -> None:
        """Moves the model by the effects alone; an effect that its state forbids fails."""
        while self.read < len(self.rig.out):
            effect = self.rig.out[self.read]
            self.read += 1
            if isinstance(effect, fx.CloseClient):
                assert self.model.pop(effect.client_id) in QUIET, "closed while something is owed over it"
            elif isinstance(effect, fx.AnswerClient):
                client = self.orders.pop(effect.request_id)
                assert self.model[client] is State.ASKING
                assert effect.close_connection or not self.draining, "a leaving ingress keeps a connection"
                self.model[client] = State.KEPT
            elif isinstance(effect, fx.Exit):
                assert self.draining and not self.orders, "it leaves while an answer is owed"
                late = self.rig.now >= self.kill - EXIT_MARGIN
                assert not self.has(State.BODY) or late, "it leaves a body half read"
                assert not self.has(State.ARRIVING) or late, "it leaves a request half read"
            elif isinstance(effect, fx.StopReadingBodies):
                # As the wire does: what has not come whole is answered at once.
                for client in [n for n, s in self.model.items() if s is State.BODY]:
                    self.model[client] = State.KEPT
                    self.rig.step(ev.RequestDiscarded(client))

    def step(self, event: ev.Event) -> None:
        self.rig.step(event)
        for n in range(self.read, 10**9):  # the counter's calls and their answers' own
            if n == len(self.rig.out):
                break
            effect = self.rig.out[n]
            if isinstance(effect, fx.OpenConnection) and effect.destination is not fx.Destination.SERVER_LIST:
                self.rig.step(ev.ConnectionOpened(effect.connection_id))
            elif isinstance(effect, fx.CallCounter):
                self.rig.step(ev.CounterAnswered(effect.connection_id, End.OK, 1.0, True))
        self.follow()

    def pass_time(self, span: timedelta) -> None:
        """Time goes by, and what is due happens at its own instant."""
        until = self.rig.now + span
        while self.rig.reducer.timers and self.rig.reducer.timers[0][0] <= until:
            self.rig.now = max(self.rig.now, self.rig.reducer.timers[0][0])
            self.step(ev.WakeUpDue())
        self.rig.now = until
        if self.draining and until >= self.kill - ANSWER_MARGIN:
            assert not self.orders, "SIGKILL may come, and an answer is owed"

    def some(self, pick: int, *states: State) -> int:
        clients = sorted(n for n, s in self.model.items() if s in states)
        return clients[pick % len(clients)]

    def has(self, *states: State) -> bool:
        return any(s in states for s in self.model.values())

    @rule()
    def comes(self) -> None:
        self.came += 1
        self.model[self.came] = State.SILENT
        self.step(ev.ClientConnected(self.came))

    @precondition(lambda self: self.has(State.SILENT, State.KEPT, State.ARRIVING))
    @rule(pick=st.integers(0, 9))
    def begins_a_request(self, pick: int) -> None:
        client = self.some(pick, State.SILENT, State.KEPT, State.ARRIVING)
        self.model[client] = State.ARRIVING
        self.step(ev.RequestHeadStarted(client))

    @precondition(lambda self: self.has(State.SILENT, State.KEPT, State.ARRIVING))
    @rule(pick=st.integers(0, 9))
    def has_sent_a_head(self, pick: int) -> None:
        client = self.some(pick, State.SILENT, State.KEPT, State.ARRIVING)
        self.model[client] = State.BODY
        self.step(ev.RequestBodyStarted(client))

    @precondition(lambda self: self.has(State.SILENT, State.KEPT, State.ARRIVING, State.BODY))
    @rule(pick=st.integers(0, 9), kind=st.sampled_from([CHECK, PLACE]), left=st.integers(50, 3000))
    def asks(self, pick: int, kind: int, left: int) -> None:
        client = self.some(pick, State.SILENT, State.KEPT, State.ARRIVING, State.BODY)
        self.rig.number = number = self.rig.number + 1
        self.model[client], self.orders[number] = State.ASKING, client
        errand = ev.HttpRequest("GET", "/stock-check", f"id-{number}", (), b"")
        self.step(ev.RequestReceived(number, errand, kind, 0, number, timedelta(milliseconds=left), 1.0, 2, 0,
                                False, client))  # fmt: skip

    @precondition(lambda self: self.has(State.ARRIVING, State.BODY))
    @rule(pick=st.integers(0, 9))
    def is_answered_that_it_cannot_be_read(self, pick: int) -> None:
        client = self.some(pick, State.ARRIVING, State.BODY)
        self.model[client] = State.KEPT
        self.step(ev.RequestDiscarded(client))

    @precondition(lambda self: bool(self.rig.reducer.state.attempts))
    @rule(pick=st.integers(0, 9), end=st.sampled_from([End.OK, End.ERROR, End.REJECTED]))
    def its_node_answers(self, pick: int, end: End) -> None:
        attempts = sorted(self.rig.reducer.state.attempts.items())
        self.step(ev.ServerAnswered(attempts[pick % len(attempts)][1].connection_id, end, True, b""))

    @precondition(lambda self: bool(self.model))
    @rule(pick=st.integers(0, 9))
    def leaves(self, pick: int) -> None:
        client = self.some(pick, *State)
        del self.model[client]
        self.orders = {n: c for n, c in self.orders.items() if c != client}
        self.step(ev.ClientDisconnected(client))

    @rule(span=st.sampled_from([1, 90, 300, 1500, 2500]))
    def time_passes(self, span: int) -> None:
        self.pass_time(timedelta(milliseconds=span))

    @precondition(lambda self: not self.draining)
    @rule(successor=st.booleans())
    def is_asked_to_stop(self, successor: bool) -> None:
        self.draining = True
        self.kill = self.rig.now + min_time_to_kill(SETTINGS.classes)
        self.step(ev.DrainRequested(successor))

    @precondition(lambda self: self.draining and not self.grace_over)
    @rule()
    def the_grace_is_over(self) -> None:
        self.grace_over = True
        self.step(ev.CloseIdleRequested())
        assert not self.has(State.SILENT, State.KEPT), "they are closed, and read before if need be"

    @invariant()
    def the_books_agree_with_the_model(self) -> None:
        books = self.rig.reducer.state
        there = {
            **dict.fromkeys(books.clients_new, State.SILENT),
            **dict.fromkeys(books.clients_sending_head, State.ARRIVING),
            **dict.fromkeys(books.clients_sending_body, State.BODY),
            **dict.fromkeys(books.clients_waiting, State.ASKING),
            **dict.fromkeys(books.clients_idle, State.KEPT),
        }
        assert there == self.model
        sets = (
            books.clients_new,
            books.clients_sending_head,
            books.clients_sending_body,
            books.clients_waiting,
            books.clients_idle,
        )
        assert sum(map(len, sets)) == len(self.model), "in one state at a time"
        assert {o.id: o.client_id for o in books.requests.values()} == self.orders

    def teardown(self) -> None:
        """Whatever happened: every order has its answer, and one that was asked to stop has left in time."""
        self.pass_time(timedelta(seconds=8))
        assert not self.orders and not self.has(State.SILENT, State.ARRIVING, State.KEPT)
        if self.draining:
            assert self.rig.reducer.state.exited


ClientConnections.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
)
TestClientConnections = ClientConnections.TestCase
