"""A reducer with a hand on everything round it: time, stock nodes, quota counter, node list."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.reducer import Reducer
from opalgauge.memory.state import IngressConfig
from starlinggap import interface as i

CHECK, PLACE = 0, 1
START = datetime(2026, 12, 1, 6, 0, tzinfo=UTC)
SETTINGS = i.Settings(
    classes=(
        i.RequestClass(aim=0.4, deadline=1.2, worth=2.0),
        i.RequestClass(aim=0.8, deadline=3.0, worth=5.0, idempotency=i.Idempotency.UNSAFE),
    ),
    plans=(i.Plan(rate=25.0, burst=30.0),),
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


def node(number: int, health: i.Health = i.Health.READY, started: float = 0.0) -> ev.ListedServer:
    return ev.ListedServer(f"127.0.0.1:{5000 + number}", i.ServerEntry(number, health, started=started))


def house(nodes: int = 3, **changes: Any) -> IngressConfig:
    told: dict[str, Any] = {
        "settings": SETTINGS, "seed": 5, "counter_address": "127.0.0.1:6400",
        "server_list_address": "127.0.0.1:8500", "known_list_version": 7,
        "known_servers": tuple(node(n) for n in range(1, nodes + 1)),
        "dial_timeout": timedelta(milliseconds=250),
        "server_idle_timeout": timedelta(seconds=9), "counter_timeout": timedelta(milliseconds=80),
        "max_server_connections": 400, "max_requests": 400, "max_clients": 400, "keep_alive_limit": 133,
    }  # fmt: skip
    return IngressConfig(**{**told, **changes})


class ReducerRig:
    def __init__(self, **changes: Any) -> None:
        self.reducer = Reducer(house(**changes))
        self.now = START
        self.out: list[fx.Effect] = list(self.reducer.start(self.now))
        self.seen = 0
        self.number = 0
        self.up: set[int] = set()
        self.bring_up()

    def step(self, event: ev.Event) -> None:
        self.out += self.reducer.step(event, self.now)

    def pass_time(self, span: timedelta) -> None:
        """Time goes by, with every wake-up on the way."""
        until = self.now + span
        while self.reducer.timers and self.reducer.timers[0][0] <= until:
            self.now = max(self.now, self.reducer.timers[0][0])
            self.step(ev.WakeUpDue())
        self.now = until

    def settle(self) -> None:
        """So long that a connection which has brought an answer may be used again."""
        self.pass_time(self.reducer.config.reuse_delay)

    def bring_up(self) -> None:
        """Every connection asked for comes up."""
        for effect in list(self.out):
            if isinstance(effect, fx.OpenConnection) and effect.connection_id not in self.up:
                self.up.add(effect.connection_id)
                self.step(ev.ConnectionOpened(effect.connection_id))

    def bring_up_list(self) -> None:
        """The connection for the node list comes up, and no other."""
        for effect in list(self.out):
            if isinstance(effect, fx.OpenConnection) and effect.destination is fx.Destination.SERVER_LIST:
                if effect.connection_id not in self.up:
                    self.up.add(effect.connection_id)
                    self.step(ev.ConnectionOpened(effect.connection_id))

    def next_version(self) -> int:
        return (self.reducer.state.list_version or 0) + 1

    def order(
        self,
        kind: int,
        units: float = 1.0,
        account: int = 42,
        left: timedelta = timedelta(seconds=2),
    ) -> int:
        self.number += 1
        method, target = ("GET", "/stock-check") if kind == CHECK else ("POST", "/place-order")
        errand = ev.HttpRequest(method, target, f"id-{self.number}", (), b"")
        self.step(
            ev.RequestReceived(self.number, errand, kind, 0, account, left, units, 2, 0, False, self.number)
        )
        self.bring_up()
        return self.number

    def counter_call(self) -> fx.CallCounter:
        return [e for e in self.out if isinstance(e, fx.CallCounter)][-1]

    def count(self, total: float) -> None:
        self.step(ev.CounterAnswered(self.counter_call().connection_id, i.End.OK, total, True))
        self.bring_up()

    def read_last_window(self) -> None:
        if self.counter_call().amount == 0.0:
            self.count(total=0.0)

    def admit(self, kind: int) -> int:
        """An order of an account of its own, let in and sent on."""
        number = self.order(kind, account=1000 + self.number)
        self.count(total=1.0)
        self.read_last_window()
        return number

    def attempt(self) -> fx.SendAttempt:
        return [e for e in self.out if isinstance(e, fx.SendAttempt)][-1]

    def list_questions(self) -> list[fx.AskServerList]:
        return [e for e in self.out if isinstance(e, fx.AskServerList)]

    def list_question(self) -> fx.AskServerList:
        return self.list_questions()[-1]

    @property
    def answers(self) -> list[fx.AnswerClient]:
        return [e for e in self.out if isinstance(e, fx.AnswerClient)]

    def listen(self) -> list[i.Event]:
        """All that the decisions hear from now on."""
        heard: list[i.Event] = []
        real = self.reducer.gateway.handle

        def handle(now: float, events: list[i.Event]) -> list[i.Action]:
            heard.extend(events)
            return real(now, events)

        self.reducer.gateway.handle = handle  # type: ignore[method-assign]
        return heard
