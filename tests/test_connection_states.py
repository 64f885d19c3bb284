"""Random steps on connections to servers, checked against a model of their states."""

from __future__ import annotations

from datetime import datetime, timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from opalgauge.memory import effects, events
from opalgauge.memory.state import ConnectionState
from starlinggap.interface import End, Health, ListKind
from tests.reducer_rig import CHECK, PLACE, ReducerRig, listed_server


class ServerConnections(RuleBasedStateMachine):
    """The model: a connection is opening, idle or busy until it ends. It knows the effects, not the reducer.

    An idle connection may only be used again after the reuse delay.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rig = ReducerRig(max_server_connections=4, server_count=2)
        self.model: dict[int, ConnectionState] = {}
        self.idle_since: dict[int, datetime] = {}
        self.health = dict.fromkeys((1, 2), Health.READY)
        self.started = dict.fromkeys((1, 2), 0.0)
        self.opened_to: dict[int, tuple[int, float]] = {}  # server and its start, by connection
        self.open_requests: set[int] = set()
        self.effects_read = 0
        self.follow_effects()

    def follow_effects(self) -> None:
        """Updates the model by the effects since the last call; fails on one that its state forbids."""
        for effect in self.rig.effects[self.effects_read :]:
            if (
                isinstance(effect, effects.OpenConnection)
                and effect.destination is effects.Destination.SERVER
            ):
                self.model[effect.connection_id] = ConnectionState.OPENING
                server_id = int(effect.address[-1])
                self.opened_to[effect.connection_id] = (server_id, self.started[server_id])
            elif isinstance(effect, effects.SendAttempt):
                assert self.model[effect.connection_id] in (ConnectionState.IDLE, ConnectionState.OPENING)
                if self.model[effect.connection_id] is ConnectionState.IDLE:
                    settled = self.rig.now - self.idle_since[effect.connection_id]
                    assert settled >= self.rig.reducer.config.reuse_delay, "it is used again too soon"
                self.model[effect.connection_id] = ConnectionState.BUSY
                server_id, started = self.opened_to[effect.connection_id]
                assert self.health[server_id] is Health.READY, "written to a server that is not ready"
                assert self.started[server_id] == started, "written to a connection to a process that is gone"
            elif isinstance(effect, effects.CloseConnection):
                self.model.pop(effect.connection_id, None)
            elif isinstance(effect, effects.AnswerClient):
                assert effect.request_id in self.open_requests, "a second answer"
                self.open_requests.remove(effect.request_id)
        self.effects_read = len(self.rig.effects)

    def pick_connection(self, state: ConnectionState, pick: int) -> int:
        connections = sorted(n for n, current in self.model.items() if current is state)
        return connections[pick % len(connections)]

    def has_any(self, *states: ConnectionState) -> bool:
        return any(current in states for current in self.model.values())

    @rule(class_index=st.sampled_from([CHECK, PLACE]), time_left_ms=st.integers(50, 3000))
    def take_request(self, class_index: int, time_left_ms: int) -> None:
        self.rig.last_request_id += 1
        http_request = events.HttpRequest("GET", "/stock-check", f"id-{self.rig.last_request_id}", (), b"")
        self.open_requests.add(self.rig.last_request_id)
        self.rig.step(
            events.RequestReceived(
                self.rig.last_request_id, http_request, class_index, 0, self.rig.last_request_id,
                timedelta(milliseconds=time_left_ms), 1.0, 2, 0, False, self.rig.last_request_id,
            )
        )  # fmt: skip
        for n in range(self.effects_read, 10**9):  # also effects of the answers below
            if n == len(self.rig.effects):
                break
            effect = self.rig.effects[n]
            if (
                isinstance(effect, effects.OpenConnection)
                and effect.destination is effects.Destination.QUOTA_COUNTER
            ):
                self.rig.step(events.ConnectionOpened(effect.connection_id))
            elif isinstance(effect, effects.CallCounter):
                self.rig.step(events.CounterAnswered(effect.connection_id, End.OK, 1.0, True))
        self.follow_effects()

    @rule(server_id=st.integers(1, 2), health=st.sampled_from([*Health]), again=st.booleans())
    def update_list(self, server_id: int, health: Health, again: bool) -> None:
        """The list reports that a server drains, is gone or ready, perhaps as another process."""
        state = self.rig.reducer.state
        while (connection_id := self.rig.last_list_request().connection_id) not in state.connections:
            # Until the connection to the agent is opened again.
            self.rig.pass_time(timedelta(milliseconds=50))
            self.rig.open_list_connection()
        self.follow_effects()  # what happened up to here follows the previous list
        self.health[server_id] = health
        self.started[server_id] += again
        server, version = listed_server(server_id, health, self.started[server_id]), self.rig.next_version()
        self.rig.step(events.ServerListAnswered(connection_id, True, version, ListKind.CHANGES, (server,)))
        assert state.list_version == version, "a list over a working connection was ignored"
        self.follow_effects()

    @precondition(lambda self: self.has_any(ConnectionState.OPENING))
    @rule(pick=st.integers(0, 9))
    def open_connection(self, pick: int) -> None:
        connection_id = self.pick_connection(ConnectionState.OPENING, pick)
        self.rig.step(events.ConnectionOpened(connection_id))
        self.follow_effects()
        assert self.model.get(connection_id) is not ConnectionState.OPENING

    @precondition(lambda self: self.has_any(ConnectionState.BUSY))
    @rule(
        pick=st.integers(0, 9),
        end=st.sampled_from([End.OK, End.ERROR, End.REJECTED]),
        keep_alive=st.booleans(),
    )
    def answer(self, pick: int, end: End, keep_alive: bool) -> None:
        connection_id = self.pick_connection(ConnectionState.BUSY, pick)
        self.model[connection_id], self.idle_since[connection_id] = ConnectionState.IDLE, self.rig.now
        self.rig.step(events.ServerAnswered(connection_id, end, keep_alive, b""))
        self.follow_effects()
        assert keep_alive or connection_id not in self.model

    @precondition(lambda self: self.has_any(*ConnectionState))
    @rule(
        state=st.sampled_from(list(ConnectionState)),
        pick=st.integers(0, 9),
        progress=st.sampled_from(list(events.Progress)),
    )
    def lose_connection(self, state: ConnectionState, pick: int, progress: events.Progress) -> None:
        if self.has_any(state):
            connection_id = self.pick_connection(state, pick)
            del self.model[connection_id]
            self.rig.step(events.ConnectionLost(connection_id, progress))
            self.follow_effects()

    @precondition(lambda self: bool(self.open_requests))
    @rule(pick=st.integers(0, 9))
    def disconnect_client(self, pick: int) -> None:
        request_id = sorted(self.open_requests)[pick % len(self.open_requests)]
        self.open_requests.remove(request_id)
        self.rig.step(events.ClientDisconnected(request_id))
        self.follow_effects()

    @rule(span_ms=st.sampled_from([1, 20, 90, 300, 1500, 10_000]))
    def pass_time(self, span_ms: int) -> None:
        self.rig.pass_time(timedelta(milliseconds=span_ms))
        self.follow_effects()

    @invariant()
    def state_agrees_with_the_model(self) -> None:
        state = self.rig.reducer.state
        connections = {
            n: connection
            for n, connection in state.connections.items()
            if connection.destination is effects.Destination.SERVER
        }
        assert {n: connection.state for n, connection in connections.items()} == self.model
        assert state.server_connection_count == len(self.model) <= 4
        assert sorted(n for idle in state.idle_connections.values() for n in idle) == sorted(
            n for n, current in self.model.items() if current is ConnectionState.IDLE
        )
        carried = [connection.attempt for connection in connections.values() if connection.attempt]
        assert len(carried) == len(state.attempts) <= len(self.open_requests)
        assert set(state.requests) == self.open_requests

    def teardown(self) -> None:
        """Whatever happened, every request has its answer once its time is up."""
        self.rig.pass_time(timedelta(seconds=4))
        self.follow_effects()
        assert not self.open_requests and not self.rig.reducer.state.attempts


ServerConnections.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
)
TestServerConnections = ServerConnections.TestCase
