"""Random steps on clients' connections, checked against a model of their states."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.memory import effects, events
from opalgauge.memory.drain import ANSWER_MARGIN, EXIT_MARGIN, min_time_to_kill
from starlinggap.interface import End
from tests.reducer_rig import CHECK, PLACE, SETTINGS, START, ReducerRig


class ClientState(Enum):
    """The states of docs/architecture.md; a connection that has ended, or was told to, has none."""

    NEW = "silent"
    SENDING_HEAD = "arriving"
    SENDING_BODY = "body"
    WAITING = "asking"
    READING = "reading"  # an answer that could not be written at once
    IDLE = "kept"


# The states in which a connection may be closed: it has no open request.
CLOSABLE = (ClientState.NEW, ClientState.SENDING_HEAD, ClientState.IDLE)


class ClientConnections(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.rig = ReducerRig(max_clients=6, keep_alive_limit=4, counter_address="")
        self.model: dict[int, ClientState] = {}
        self.open_requests: dict[int, int] = {}  # the client of each
        self.draining = self.idle_closed = False
        self.kill_at = START
        self.client_count = self.effects_read = 0
        self.follow_effects()

    def follow_effects(self) -> None:
        """Updates the model by the effects since the last call; fails on one that its state forbids."""
        while self.effects_read < len(self.rig.effects):
            effect = self.rig.effects[self.effects_read]
            self.effects_read += 1
            if isinstance(effect, effects.CloseClient):
                assert self.model.pop(effect.client_id) in CLOSABLE, "closed with an open request"
            elif isinstance(effect, effects.AnswerClient):
                client_id = self.open_requests.pop(effect.request_id)
                assert self.model[client_id] is ClientState.WAITING
                assert effect.close_connection or not self.draining, "kept alive while draining"
                self.model[client_id] = ClientState.IDLE
            elif isinstance(effect, effects.Exit):
                assert self.draining and not self.open_requests, "exits with an open request"
                late = self.rig.now >= self.kill_at - EXIT_MARGIN
                assert not self.has_any(ClientState.SENDING_BODY) or late, "exits with a body half read"
                assert not self.has_any(ClientState.SENDING_HEAD) or late, "exits with a head half read"
                assert not self.has_any(ClientState.READING) or late, "exits with an answer half written"
            elif isinstance(effect, effects.StopReadingBodies):
                # The wire answers requests with incomplete bodies at once.
                for client_id in [
                    sending
                    for sending, client_state in self.model.items()
                    if client_state is ClientState.SENDING_BODY
                ]:
                    self.model[client_id] = ClientState.IDLE
                    self.rig.step(events.RequestDiscarded(client_id))

    def step(self, event: events.Event) -> None:
        self.rig.step(event)
        for position in range(self.effects_read, 10**9):  # also effects of the answers below
            if position == len(self.rig.effects):
                break
            effect = self.rig.effects[position]
            if (
                isinstance(effect, effects.OpenConnection)
                and effect.destination is not effects.Destination.SERVER_LIST
            ):
                self.rig.step(events.ConnectionOpened(effect.connection_id))
            elif isinstance(effect, effects.CallCounter):
                self.rig.step(events.CounterAnswered(effect.connection_id, End.OK, 1.0, True))
        self.follow_effects()

    def pass_time(self, duration: timedelta) -> None:
        """Moves the time on and runs every timer that becomes due, at its own time."""
        until = self.rig.now + duration
        while (due := self.rig.reducer.timers.next_due()) is not None and due <= until:
            self.rig.now = max(self.rig.now, due)
            self.step(events.WakeUpDue())
        self.rig.now = until
        if self.draining and until >= self.kill_at - ANSWER_MARGIN:
            assert not self.open_requests, "SIGKILL may come with a request open"

    def pick_client(self, pick: int, *states: ClientState) -> int:
        clients = sorted(
            client_id for client_id, client_state in self.model.items() if client_state in states
        )
        return clients[pick % len(clients)]

    def has_any(self, *states: ClientState) -> bool:
        return any(client_state in states for client_state in self.model.values())

    @rule()
    def connect(self) -> None:
        self.client_count += 1
        self.model[self.client_count] = ClientState.NEW
        self.step(events.ClientConnected(self.client_count))

    @precondition(lambda self: self.has_any(ClientState.NEW, ClientState.IDLE, ClientState.SENDING_HEAD))
    @rule(pick=st.integers(0, 9))
    def start_request(self, pick: int) -> None:
        client_id = self.pick_client(pick, ClientState.NEW, ClientState.IDLE, ClientState.SENDING_HEAD)
        self.model[client_id] = ClientState.SENDING_HEAD
        self.step(events.RequestHeadStarted(client_id))

    @precondition(lambda self: self.has_any(ClientState.NEW, ClientState.IDLE, ClientState.SENDING_HEAD))
    @rule(pick=st.integers(0, 9))
    def start_body(self, pick: int) -> None:
        client_id = self.pick_client(pick, ClientState.NEW, ClientState.IDLE, ClientState.SENDING_HEAD)
        self.model[client_id] = ClientState.SENDING_BODY
        self.step(events.RequestBodyStarted(client_id))

    @precondition(
        lambda self: self.has_any(
            ClientState.NEW, ClientState.IDLE, ClientState.SENDING_HEAD, ClientState.SENDING_BODY
        )
    )
    @rule(
        pick=st.integers(0, 9),
        class_index=st.sampled_from([CHECK, PLACE]),
        time_left_ms=st.integers(50, 3000),
    )
    def send_request(self, pick: int, class_index: int, time_left_ms: int) -> None:
        client_id = self.pick_client(
            pick, ClientState.NEW, ClientState.IDLE, ClientState.SENDING_HEAD, ClientState.SENDING_BODY
        )
        self.rig.last_request_id = request_id = self.rig.last_request_id + 1
        self.model[client_id], self.open_requests[request_id] = ClientState.WAITING, client_id
        http_request = events.HttpRequest("GET", "/stock-check", f"id-{request_id}", (), b"")
        self.step(
            events.RequestReceived(
                request_id, http_request, class_index, 0, request_id, timedelta(milliseconds=time_left_ms),
                1.0, 2, 0, False, client_id,
            )
        )  # fmt: skip

    @precondition(lambda self: self.has_any(ClientState.SENDING_HEAD, ClientState.SENDING_BODY))
    @rule(pick=st.integers(0, 9))
    def discard_request(self, pick: int) -> None:
        client_id = self.pick_client(pick, ClientState.SENDING_HEAD, ClientState.SENDING_BODY)
        self.model[client_id] = ClientState.IDLE
        self.step(events.RequestDiscarded(client_id))

    @precondition(lambda self: self.has_any(ClientState.IDLE))
    @rule(pick=st.integers(0, 9))
    def block_answer(self, pick: int) -> None:
        client_id = self.pick_client(pick, ClientState.IDLE)
        self.model[client_id] = ClientState.READING
        self.step(events.AnswerBlocked(client_id, 1000))

    @precondition(lambda self: self.has_any(ClientState.READING))
    @rule(pick=st.integers(0, 9))
    def write_answer(self, pick: int) -> None:
        client_id = self.pick_client(pick, ClientState.READING)
        self.model[client_id] = ClientState.IDLE
        self.step(events.AnswerWritten(client_id))

    @precondition(lambda self: bool(self.rig.reducer.state.attempts))
    @rule(pick=st.integers(0, 9), end=st.sampled_from([End.OK, End.ERROR, End.REJECTED]))
    def answer_attempt(self, pick: int, end: End) -> None:
        attempts = sorted(self.rig.reducer.state.attempts.items())
        self.step(events.ServerAnswered(attempts[pick % len(attempts)][1].connection_id, end, True, b""))

    @precondition(lambda self: bool(self.model))
    @rule(pick=st.integers(0, 9))
    def disconnect(self, pick: int) -> None:
        client_id = self.pick_client(pick, *ClientState)
        del self.model[client_id]
        self.open_requests = {
            request_id: waiting for request_id, waiting in self.open_requests.items() if waiting != client_id
        }
        self.step(events.ClientDisconnected(client_id))

    @rule(span_ms=st.sampled_from([1, 90, 300, 1500, 2500]))
    def advance(self, span_ms: int) -> None:
        self.pass_time(timedelta(milliseconds=span_ms))

    @precondition(lambda self: not self.draining)
    @rule(has_successor=st.booleans())
    def start_drain(self, has_successor: bool) -> None:
        self.draining = True
        self.kill_at = self.rig.now + min_time_to_kill(SETTINGS.classes)
        self.step(events.DrainRequested(has_successor))

    @precondition(lambda self: self.draining and not self.idle_closed)
    @rule()
    def close_idle(self) -> None:
        self.idle_closed = True
        self.step(events.CloseIdleRequested())
        assert not self.has_any(ClientState.NEW, ClientState.IDLE), "idle clients are closed"

    @invariant()
    def state_agrees_with_the_model(self) -> None:
        state = self.rig.reducer.state
        actual = {
            **dict.fromkeys(state.clients_new, ClientState.NEW),
            **dict.fromkeys(state.clients_sending_head, ClientState.SENDING_HEAD),
            **dict.fromkeys(state.clients_sending_body, ClientState.SENDING_BODY),
            **dict.fromkeys(state.clients_waiting, ClientState.WAITING),
            **dict.fromkeys(state.clients_reading, ClientState.READING),
            **dict.fromkeys(state.clients_idle, ClientState.IDLE),
        }
        assert actual == self.model
        assert state.client_count == len(self.model), "each client is in one state"
        memory = sum(request.memory for request in state.requests.values())
        memory += sum(stream.memory for stream in state.streams.values())
        assert state.memory_in_use == memory + sum(state.clients_reading.values()), "memory that nobody holds"
        assert {request.id: request.client_id for request in state.requests.values()} == self.open_requests

    def teardown(self) -> None:
        """Whatever happened, every request has its answer, and a drain has ended in time."""
        self.pass_time(timedelta(seconds=8))
        assert not self.open_requests and not self.has_any(
            ClientState.NEW, ClientState.SENDING_HEAD, ClientState.IDLE
        )
        if self.draining:
            assert self.rig.reducer.state.exited


ClientConnections.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
)
TestClientConnections = ClientConnections.TestCase
