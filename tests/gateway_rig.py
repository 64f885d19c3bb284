"""A gateway with a counter kept in a dictionary, driven by hand. For tests only."""

from __future__ import annotations

import math
from dataclasses import replace

from starlinggap import Gateway
from starlinggap import interface as i


def settings(**changes: object) -> i.Settings:
    base = i.Settings(
        classes=(i.RequestClass(aim=0.8, deadline=2.0),),
        plans=(i.Plan(rate=2.0, burst=8.0),),
        gateways=2,
        use_counter=True,
        counter_timeout=0.05,
        max_units=4.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def entry(server: int, **changes: object) -> i.ServerEntry:
    return replace(i.ServerEntry(server, i.Health.READY), **changes)  # type: ignore[arg-type]


class GatewayRig:
    """Feeds one gateway, answers its counter calls and fires its timers in their order."""

    def __init__(self, s: i.Settings, answering: bool = True, servers: int = 4, seed: int = 1) -> None:
        self.gateway = Gateway(s, seed)
        self.now, self.answering, self.next = 0.0, answering, 0
        self.totals: dict[int, float] = {}
        self.counts: list[i.Count] = []
        self.calls = 0
        self.timers: list[i.Timer] = []
        self.sends: list[i.Send] = []
        self.refusals: list[i.Refuse] = []
        self.closed: list[int] = []
        self.due: list[tuple[float, i.Outcome]] = []
        self.state: dict[int, str] = {}
        self.attempts: dict[int, int] = {}
        self.give(i.ServerList(i.ListKind.COMPLETE, tuple(entry(n) for n in range(1, servers + 1))))

    def give(self, *events: i.Event) -> None:
        todo = list(events)
        while todo:
            counts = []
            for a in self.gateway.handle(self.now, todo):
                if isinstance(a, i.Count):
                    counts.append(a)
                    self.calls += 1
                elif isinstance(a, i.Timer):
                    self.timers.append(a)
                elif isinstance(a, i.Send):
                    self.sends.append(a)
                    self.state[a.request] = "sent"
                    self.attempts[a.request] = self.attempts.get(a.request, -1) + 1
                elif isinstance(a, i.Close):
                    self.closed.append(a.server)
                elif isinstance(a, i.Refuse):
                    self.refusals.append(a)
                    self.state[a.request] = "refused"
                elif isinstance(a, i.Fail):
                    self.state[a.request] = "failed"
            self.counts.extend(counts)
            todo = []
            if self.answering:
                todo = [self.answer(c) for c in self.counts]
                self.counts = []

    def answer(self, c: i.Count) -> i.CountOutcome:
        self.totals[c.name] = self.totals.get(c.name, 0.0) + c.amount
        return i.CountOutcome(c.name, 0.001, i.End.OK, self.totals[c.name])

    def answer_all(self, total: float | None) -> None:
        """Late answers to all calls out: true ones, or the same wrong total."""
        counts, self.counts = self.counts, []
        for c in counts:
            self.give(self.answer(c) if total is None else i.CountOutcome(c.name, 0.04, i.End.OK, total))

    def at(self, now: float) -> None:
        """Moves on to `now`, firing what comes due and ending attempts whose time has come."""
        while True:
            timer = min(self.timers, key=lambda t: t.at, default=i.Timer(math.inf, 0))
            end = min(self.due, key=lambda d: d[0], default=(math.inf, None))
            if min(timer.at, end[0]) > now:
                break
            self.now = max(self.now, min(timer.at, end[0]))
            if end[1] is not None and end[0] <= timer.at:
                self.due.remove(end)
                self.give(end[1])
            else:
                self.timers.remove(timer)
                self.give(i.TimerFired(timer.token))
        self.now = now

    def end_in(self, took: float, end: i.End = i.End.OK) -> None:
        """The newest attempt sent will end so."""
        send = self.sends[-1]
        n = self.attempts[send.request]
        outcome = i.Outcome(send.request, n, send.server, end, took, end is i.End.OK)
        self.due.append((self.now + took, outcome))

    def idle(self) -> None:
        self.give(i.TimerFired(-1))

    def ask(self, units: float = 1.0, budget: float = 2.0, step: float = 0.0, customer: int = 7,
            spread: int = 2, plan: int = 0, cls: int = 0) -> str:  # fmt: skip
        self.next += 1
        self.state[self.next] = "waiting"
        self.give(i.Request(self.next, cls, plan, customer, budget, units, spread))
        if step:
            self.at(self.now + step)
        return self.last()

    def last(self) -> str:
        return self.state[self.next]

    def finish(self, end: i.End = i.End.OK, true_units: float | None = None, took: float = 0.1) -> None:
        """Ends the newest attempt sent."""
        send = self.sends[-1]
        n = self.attempts[send.request]
        self.give(i.Outcome(send.request, n, send.server, end, took, end is i.End.OK, None, true_units))
