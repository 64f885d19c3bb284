"""Quotas in virtual time: many gateways, a counter that fails or crawls, peers that hear each other or not.

Nothing but quotas is refused here: the stock nodes answer whatever is sent. The gateways and the leases are
those that serve.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from opalgauge.lab.quotas import TARIFFS, Load, Share, Tariff, Verdict, by_tariff, replay
from opalgauge.lab.simulation import EPOCH, Simulation
from opalgauge.leases import messages
from opalgauge.leases.actions import CallCounter, SendMessage, TellTotal
from opalgauge.leases.holder import Leases, Rules
from starlinggap import Gateway
from starlinggap import interface as i

ROUND, TIMEOUT, SERVES = 0.02, 0.05, 0.05
WAY = (0.0004, 0.0008)  # s one way to the counter


@dataclass(slots=True)
class Scene:
    """`way`: today, even, ahead or on. The counter is gone in `cut` for the ingresses in `without` (all,
    where empty); `groups`: by ingress, who hears whom in `split`."""

    way: str = "on"
    ingresses: int = 6
    tariffs: tuple[Tariff, ...] = TARIFFS
    seconds: float = 34.0
    seed: int = 1
    cut: tuple[float, float] = (8.0, 28.0)
    without: tuple[int, ...] = ()
    slow: float = 1.0  # the counter is so many times slower in `cut`, and not gone
    groups: tuple[int, ...] = ()
    split: tuple[float, float] = (0.0, 0.0)
    drop: float = 0.072
    delay: tuple[float, float] = (0.002, 0.017)
    counter_ms: float = 1.6
    restarts: tuple[tuple[float, int], ...] = ()
    shift: float = 6.0


@dataclass(slots=True)
class Seen:
    asked: int = 0
    calls: int = 0
    most_words: int = 0  # that reached one ingress in one second
    longest_word: int = 0
    unanswered: int = 0
    verdicts: list[Verdict] = field(default_factory=list)
    cut: dict[str, Share] = field(default_factory=dict)  # by tariff, while the counter was cut
    rest: dict[str, Share] = field(default_factory=dict)  # and in the rest of the scene


class World(Simulation):
    """A scene."""

    def __init__(self, scene: Scene) -> None:
        super().__init__(scene.seed)
        self.s, self.seen = scene, Seen()
        self.load = Load(scene.tariffs, scene.ingresses, scene.seed, scene.shift)
        self.plans = tuple(i.Plan(rate=t.rate, burst=t.burst) for t in scene.tariffs)
        self.free_at = 0.0
        self.totals: dict[int, list[float]] = {}
        self.life = [0] * scene.ingresses
        self.heard: dict[tuple[int, int], int] = {}
        self.asked: dict[int, Verdict] = {}
        self.gates = [self._gate(me) for me in range(scene.ingresses)]
        self.leases = [self._leases(me) for me in range(scene.ingresses)]
        for me in range(scene.ingresses):
            self._at(ROUND * self.rng.random(), self._tick, me, 0)
        for number, request in enumerate(self.load.requests(scene.seconds)):
            self._at(request[0], self._arrive, number + 1, *request[1:])
        for when, me in scene.restarts:
            self._at(when, self._restart, me)

    def _gate(self, me: int) -> Gateway:
        settings = i.Settings(
            classes=(i.RequestClass(1.2, 5.0),), plans=self.plans, gateways=self.s.ingresses,
            gateway_index=me, use_counter=True, counter_timeout=TIMEOUT, max_units=2.0,
        )  # fmt: skip
        gate = Gateway(settings, self.s.seed * 1000 + me + 77 * self.life[me])
        nodes = tuple(i.ServerEntry(n, i.Health.READY) for n in range(1, 40))
        gate.handle(EPOCH.timestamp() + self.now, [i.ServerList(i.ListKind.COMPLETE, nodes)])
        return gate

    def _leases(self, me: int) -> Leases | None:
        if self.s.way == "today":
            return None
        plans = tuple((p.rate, p.burst) for p in self.plans)
        rules = Rules(me, self.s.ingresses, plans, self.s.way != "even", self.s.way == "on")
        return Leases(rules, self._when(), int(self.now * 1000), self.s.seed + me)

    def play(self) -> Seen:
        while self._next(self.s.seconds + 6):
            pass
        seen, (begun, ended) = self.seen, self.s.cut
        seen.unanswered = len(self.asked)
        tariffs = self.load.tariffs
        seen.cut = by_tariff(replay(seen.verdicts, tariffs, (begun, ended)), tariffs, ended - begun)
        before = by_tariff(replay(seen.verdicts, tariffs, (0.0, begun)), tariffs, begun)
        after = by_tariff(
            replay(seen.verdicts, tariffs, (ended, self.s.seconds)), tariffs, self.s.seconds - ended
        )
        seen.rest = {
            name: Share(max(b.overshoot, after[name].overshoot), 0.0, max(b.wrong, after[name].wrong))
            for name, b in before.items()
        }
        return seen

    # --- requests ------------------------------------------------------------------------------------------
    def _arrive(self, number: int, place: int, units: int, me: int) -> None:
        customer = self.load.customers[place]
        tariff = self.s.tariffs.index(customer.tariff)
        self.seen.asked += 1
        self.asked[number] = Verdict(self.now, customer.number, units, False)
        spread = min(customer.tariff.spread, self.s.ingresses)
        if (leases := self.leases[me]) is not None:
            leases.met(customer.number, tariff, spread, customer.first, self._when())
        request = i.Request(number, 0, tariff, customer.number, 5.0, float(units), spread, customer.first)
        self._give(me, request)

    def _give(self, me: int, *events: i.Event) -> None:
        for a in self.gates[me].handle(EPOCH.timestamp() + self.now, list(events)):
            if isinstance(a, i.Send):
                if verdict := self.asked.pop(a.request, None):
                    verdict.when, verdict.sent = self.now, True
                    self.seen.verdicts.append(verdict)
                self._at(self.now + SERVES, self._served, me, self.life[me], a)
            elif isinstance(a, i.Refuse | i.Fail):
                if verdict := self.asked.pop(a.request, None):
                    verdict.when = self.now
                    self.seen.verdicts.append(verdict)
            elif isinstance(a, i.Timer):
                self._at(a.at - EPOCH.timestamp(), self._timer, me, self.life[me], a.token)
            elif isinstance(a, i.Count):
                if (leases := self.leases[me]) is not None:
                    leases.asked(a.name, a.amount, timedelta(seconds=a.ttl), self._when())
                else:
                    self._call(me, 0, a.name, a.amount, a.ttl)
        self._act(me)

    def _served(self, me: int, life: int, a: i.Send) -> None:
        if life == self.life[me]:
            self._give(me, i.Outcome(a.request, 0, a.server, i.End.OK, SERVES, True))

    def _timer(self, me: int, life: int, token: int) -> None:
        if life == self.life[me]:
            self._give(me, i.TimerFired(token))

    def _restart(self, me: int) -> None:
        self.life[me] += 1
        self.gates[me], self.leases[me] = self._gate(me), self._leases(me)
        self._at(self.now + ROUND, self._tick, me, self.life[me])

    # --- leases and messages ------------------------------------------------------------------------------
    def _tick(self, me: int, life: int) -> None:
        leases = self.leases[me]
        if leases is None or life != self.life[me] or self.now > self.s.seconds + 3:
            return
        self._at(self.now + ROUND, self._tick, me, life)
        leases.tick(self._when())
        self._act(me)

    def _act(self, me: int) -> None:
        leases = self.leases[me]
        for action in leases.take() if leases is not None else ():
            if isinstance(action, TellTotal):  # in the order of the asks, as events are taken
                counted = i.CountOutcome(action.name, action.took.total_seconds(), action.end, action.total)
                self._at(self.now, self._told, me, self.life[me], counted)
            elif isinstance(action, CallCounter):
                self._call(me, action.token, action.name, action.amount, action.life.total_seconds())
            elif isinstance(action, SendMessage):
                self._say(me, action)

    def _told(self, me: int, life: int, counted: i.CountOutcome) -> None:
        if life == self.life[me]:
            self._give(me, counted)

    def _say(self, me: int, action: SendMessage) -> None:
        data = messages.write(action.message)
        self.seen.longest_word = max(self.seen.longest_word, len(data))
        apart = self.s.groups and self.s.groups[me] != self.s.groups[action.peer]
        if apart and self.s.split[0] <= self.now < self.s.split[1] or self.rng.random() < self.s.drop:
            return
        self._at(self.now + self.rng.uniform(*self.s.delay), self._word, action.peer, data)

    def _word(self, me: int, data: bytes) -> None:
        key = me, int(self.now)
        self.heard[key] = self.heard.get(key, 0) + 1
        self.seen.most_words = max(self.seen.most_words, self.heard[key])
        message, leases = messages.read(data), self.leases[me]
        assert message is not None and leases is not None
        leases.heard(message, self._when())
        self._act(me)

    # --- the counter ---------------------------------------------------------------------------------------
    def _call(self, me: int, token: int, name: int, amount: float, life: float) -> None:
        self.seen.calls += 1
        in_cut = self.s.cut[0] <= self.now < self.s.cut[1]
        about = me, self.life[me], token, name, self.now
        if in_cut and self.s.slow == 1.0 and (not self.s.without or me in self.s.without):
            self._at(self.now + TIMEOUT, self._counted, *about, i.End.TIMEOUT, 0.0, 1)
            return
        way = self.rng.uniform(*WAY)
        work = self.s.counter_ms / 1000 * (self.s.slow if in_cut else 1.0)
        begin = max(self.now + way, self.free_at)
        if begin - self.now > 2 * TIMEOUT:
            self._at(self.now + 2 * way, self._counted, *about, i.End.REJECTED, 0.0, 1)
            return
        self.free_at = begin + work
        self._at(begin + work, self._add, name, amount, life, about, begin + work + way)

    def _add(self, name: int, amount: float, life: float, about: tuple[Any, ...], answered: float) -> None:
        kept = self.totals.get(name)
        if kept is None or self.now >= kept[1]:
            kept = self.totals[name] = [0.0, self.now + life]
        kept[0] += amount
        if answered - about[4] > TIMEOUT:
            self._at(max(self.now, about[4] + TIMEOUT), self._counted, *about, i.End.TIMEOUT, 0.0, 1)
        else:
            self._at(answered, self._counted, *about, i.End.OK, kept[0], 1)

    def _counted(
        self, me: int, life: int, token: int, name: int, made: float, end: i.End, total: float, _: int
    ) -> None:
        if life != self.life[me]:
            return
        if (leases := self.leases[me]) is not None:
            leases.counted(token, end, total, self._when())
            self._act(me)
        else:
            self._give(me, i.CountOutcome(name, self.now - made, end, total))
