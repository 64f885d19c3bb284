"""A test rig that drives one gateway by hand, with a counter in a dictionary and a clock set by the test."""

from __future__ import annotations

import math
from dataclasses import replace

from starlinggap import Gateway, interface


def settings(**changes: object) -> interface.Settings:
    """One class and one plan, two gateways and a counter; `changes` replace fields."""
    base = interface.Settings(
        classes=(interface.RequestClass(aim=0.8, deadline=2.0),),
        plans=(interface.Plan(rate=2.0, burst=8.0),),
        gateways=2,
        use_counter=True,
        counter_timeout=0.05,
        max_units=4.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def entry(server: int, **changes: object) -> interface.ServerEntry:
    """A line of the server list for a ready server."""
    return replace(interface.ServerEntry(server, interface.Health.READY), **changes)  # type: ignore[arg-type]


class GatewayRig:
    """Feeds events to one gateway, answers its counter calls and fires its timers in their order.

    `answering`: counter calls are answered at once; else they stay in `open_calls`.
    """

    def __init__(
        self, config: interface.Settings, answering: bool = True, servers: int = 4, seed: int = 1
    ) -> None:
        self.gateway = Gateway(config, seed)
        self.now, self.answering, self.request_number = 0.0, answering, 0
        self.totals: dict[int, float] = {}
        self.open_calls: list[interface.Count] = []
        self.call_count = 0
        self.timers: list[interface.Timer] = []
        self.sends: list[interface.Send] = []
        self.refusals: list[interface.Refuse] = []
        self.closed_servers: list[int] = []
        self.scheduled_ends: list[tuple[float, interface.Outcome]] = []
        self.states: dict[int, str] = {}
        self.attempts: dict[int, int] = {}
        self.feed(
            interface.ServerList(interface.ListKind.COMPLETE, tuple(entry(n) for n in range(1, servers + 1)))
        )

    def feed(self, *events: interface.Event) -> None:
        """Hands events to the gateway and records its actions, until no counter answer is left."""
        pending = list(events)
        while pending:
            calls = []
            for action in self.gateway.handle(self.now, pending):
                if isinstance(action, interface.Count):
                    calls.append(action)
                    self.call_count += 1
                elif isinstance(action, interface.Timer):
                    self.timers.append(action)
                elif isinstance(action, interface.Send):
                    self.sends.append(action)
                    self.states[action.request] = "sent"
                    self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                elif isinstance(action, interface.Close):
                    self.closed_servers.append(action.server)
                elif isinstance(action, interface.Refuse):
                    self.refusals.append(action)
                    self.states[action.request] = "refused"
                elif isinstance(action, interface.Fail):
                    self.states[action.request] = "failed"
            self.open_calls.extend(calls)
            pending = []
            if self.answering:
                pending = [self.answer(call) for call in self.open_calls]
                self.open_calls = []

    def answer(self, call: interface.Count) -> interface.CountOutcome:
        """Adds to the total of the call's name and returns the answer."""
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        return interface.CountOutcome(call.name, 0.001, interface.End.OK, self.totals[call.name])

    def answer_all(self, total: float | None) -> None:
        """Answers all open calls, late: with their true totals (None), or all with the same wrong one."""
        calls, self.open_calls = self.open_calls, []
        for call in calls:
            self.feed(
                self.answer(call)
                if total is None
                else interface.CountOutcome(call.name, 0.04, interface.End.OK, total)
            )

    def advance_to(self, now: float) -> None:
        """Moves the clock to `now`, firing timers and ending attempts as they come due."""
        while True:
            timer = min(self.timers, key=lambda t: t.at, default=interface.Timer(math.inf, 0))
            end = min(self.scheduled_ends, key=lambda d: d[0], default=(math.inf, None))
            if min(timer.at, end[0]) > now:
                break
            self.now = max(self.now, min(timer.at, end[0]))
            if end[1] is not None and end[0] <= timer.at:
                self.scheduled_ends.remove(end)
                self.feed(end[1])
            else:
                self.timers.remove(timer)
                self.feed(interface.TimerFired(timer.token))
        self.now = now

    def finish_in(self, took: float, end: interface.End = interface.End.OK) -> None:
        """Schedules the end of the newest attempt, in `took` seconds."""
        send = self.sends[-1]
        attempt = self.attempts[send.request]
        outcome = interface.Outcome(send.request, attempt, send.server, end, took, end is interface.End.OK)
        self.scheduled_ends.append((self.now + took, outcome))

    def poll(self) -> None:
        """Has the gateway handle an event that means nothing to it."""
        self.feed(interface.TimerFired(-1))

    def request(self, units: float = 1.0, budget: float = 2.0, step: float = 0.0, account: int = 7,
                spread: int = 2, plan: int = 0, cls: int = 0) -> str:  # fmt: skip
        """Feeds a new request, advances by `step` seconds and returns its state."""
        self.request_number += 1
        self.states[self.request_number] = "waiting"
        self.feed(interface.Request(self.request_number, cls, plan, account, budget, units, spread))
        if step:
            self.advance_to(self.now + step)
        return self.last_state()

    def last_state(self) -> str:
        """State of the newest request: waiting, sent, refused or failed."""
        return self.states[self.request_number]

    def finish(
        self, end: interface.End = interface.End.OK, true_units: float | None = None, took: float = 0.1
    ) -> None:
        """Ends the newest attempt now; `took` is the duration that is reported."""
        send = self.sends[-1]
        attempt = self.attempts[send.request]
        self.feed(
            interface.Outcome(
                send.request, attempt, send.server, end, took, end is interface.End.OK, None, true_units
            )
        )
