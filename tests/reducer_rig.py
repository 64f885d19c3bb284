"""A reducer without sockets, for tests that control time, servers, the quota counter and the server list."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any

from opalgauge.memory import effects, events
from opalgauge.memory.reducer import Reducer
from opalgauge.memory.state import IngressConfig
from starlinggap import interface

CHECK, PLACE = 0, 1
START = datetime(2026, 12, 1, 6, 0, tzinfo=UTC)
SETTINGS = interface.Settings(
    classes=(
        interface.RequestClass(aim=0.4, deadline=1.2, worth=2.0),
        interface.RequestClass(aim=0.8, deadline=3.0, worth=5.0, idempotency=interface.Idempotency.UNSAFE),
    ),
    plans=(interface.Plan(rate=25.0, burst=30.0),),
    gateways=2,
    tick=0.002,
    max_units=3.0,
    use_counter=True,
    counter_timeout=0.08,
    max_attempts=4,
    allow_cancel=True,
    allow_probes=True,
    idle_timeout=9.0,
    slow_start_duration=16.0,
)


def listed_server(
    number: int, health: interface.Health = interface.Health.READY, started: float = 0.0
) -> events.ListedServer:
    return events.ListedServer(
        f"127.0.0.1:{5000 + number}", interface.ServerEntry(number, health, started=started)
    )


def ingress_config(server_count: int = 3, **changes: Any) -> IngressConfig:
    defaults: dict[str, Any] = {
        "settings": SETTINGS, "seed": 5, "counter_address": "127.0.0.1:6400",
        "server_list_address": "127.0.0.1:8500", "known_list_version": 7,
        "known_servers": tuple(listed_server(n) for n in range(1, server_count + 1)),
        "dial_timeout": timedelta(milliseconds=250),
        "server_idle_timeout": timedelta(seconds=9), "counter_timeout": timedelta(milliseconds=80),
        "max_server_connections": 400, "max_requests": 400, "max_clients": 400, "keep_alive_limit": 133,
    }  # fmt: skip
    return IngressConfig(**{**defaults, **changes})


class ReducerRig:
    def __init__(self, **changes: Any) -> None:
        self.reducer = Reducer(ingress_config(**changes))
        self.now = START
        self.effects: list[effects.Effect] = list(self.reducer.start(self.now))
        self.seen = 0
        self.last_request_id = 0
        self.opened: set[int] = set()
        self.open_connections()

    def step(self, event: events.Event) -> None:
        self.effects += self.reducer.step(event, self.now)

    def pass_time(self, duration: timedelta) -> None:
        """Moves the time on and runs every timer that becomes due, at its own time."""
        until = self.now + duration
        while (due := self.reducer.timers.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            self.step(events.WakeUpDue())
        self.now = until

    def wait_until_reusable(self) -> None:
        """Waits until a connection that has just brought an answer may be used again."""
        self.pass_time(self.reducer.config.reuse_delay)

    def open_connections(self) -> None:
        """Opens every connection that the reducer has asked for."""
        for effect in list(self.effects):
            if isinstance(effect, effects.OpenConnection) and effect.connection_id not in self.opened:
                self.opened.add(effect.connection_id)
                self.step(events.ConnectionOpened(effect.connection_id))

    def open_list_connection(self) -> None:
        """Opens the connection to the discovery agent, and no other."""
        for effect in list(self.effects):
            if (
                isinstance(effect, effects.OpenConnection)
                and effect.destination is effects.Destination.SERVER_LIST
            ):
                if effect.connection_id not in self.opened:
                    self.opened.add(effect.connection_id)
                    self.step(events.ConnectionOpened(effect.connection_id))

    def next_version(self) -> int:
        return (self.reducer.state.list_version or 0) + 1

    def request(
        self,
        class_index: int,
        units: float = 1.0,
        account: int = 42,
        time_left: timedelta = timedelta(seconds=2),
    ) -> int:
        self.last_request_id += 1
        method, target = ("GET", "/stock-check") if class_index == CHECK else ("POST", "/place-order")
        http_request = events.HttpRequest(method, target, f"id-{self.last_request_id}", (), b"")
        self.step(
            events.RequestReceived(
                self.last_request_id,
                http_request,
                class_index,
                0,
                account,
                time_left,
                units,
                2,
                0,
                False,
                self.last_request_id,
            )
        )
        self.open_connections()
        return self.last_request_id

    def last_counter_call(self) -> effects.CallCounter:
        return [e for e in self.effects if isinstance(e, effects.CallCounter)][-1]

    def answer_counter(self, total: float) -> None:
        self.step(
            events.CounterAnswered(self.last_counter_call().connection_id, interface.End.OK, total, True)
        )
        self.open_connections()

    def answer_last_window(self) -> None:
        if self.last_counter_call().amount == 0.0:
            self.answer_counter(total=0.0)

    def admit(self, class_index: int) -> int:
        """A request of an account of its own that is admitted and sent to a server."""
        request_id = self.request(class_index, account=1000 + self.last_request_id)
        self.answer_counter(total=1.0)
        self.answer_last_window()
        return request_id

    def last_attempt(self) -> effects.SendAttempt:
        return [e for e in self.effects if isinstance(e, effects.SendAttempt)][-1]

    def list_requests(self) -> list[effects.AskServerList]:
        return [e for e in self.effects if isinstance(e, effects.AskServerList)]

    def last_list_request(self) -> effects.AskServerList:
        return self.list_requests()[-1]

    @property
    def answers(self) -> list[effects.AnswerClient]:
        return [e for e in self.effects if isinstance(e, effects.AnswerClient)]

    def record_gateway_events(self) -> list[interface.Event]:
        """A list to which all events are added that the gateway gets from now on."""
        recorded: list[interface.Event] = []
        handle_really = self.reducer.gateway.handle

        def handle(now: float, events: list[interface.Event]) -> list[interface.Action]:
            recorded.extend(events)
            return handle_really(now, events)

        self.reducer.gateway.handle = handle  # type: ignore[method-assign]
        return recorded
