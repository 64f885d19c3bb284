"""Zones in virtual time: gateways with their watches, lossy messages, nodes with capacities; no sockets.

For sizes that no machine here holds as processes. The model of a node and the judges are those that serve.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from opalgauge.lab.nodes import Model
from opalgauge.lab.simulation import ROUND, Simulation
from opalgauge.memory.effects import AttemptSeen
from opalgauge.zones import messages
from opalgauge.zones.watch import Judged, Rules, Say, Watch
from starlinggap import Gateway
from starlinggap import interface as i

AIM, DEADLINE, DIAL = 1.2, 4.0, 0.1


@dataclass(slots=True)
class Scene:
    """Sizes, load and what goes wrong; times in seconds. `cut`: a zone goes, and is back, cold."""

    ingresses: int = 50
    zones: int = 3
    nodes: int = 10
    rate: float = 300.0
    seconds: float = 20.0
    seed: int = 1
    work: float = 0.06
    cold: float = 8.0
    leave: bool = True
    cut: tuple[float, float] = (3.0, 9.0)
    drop: float = 0.072
    delay: tuple[float, float] = (0.002, 0.017)
    told: int = 0  # how many ingresses the settings say there are; 0: as many as there are
    restarts: tuple[tuple[float, int], ...] = ()


@dataclass(slots=True)
class Seen:
    asked: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    doubled: int = 0
    unanswered: int = 0
    overload: float = 0.0  # of the worst node of the zone that returned
    first_failed: float | None = None
    last_try: float | None = None  # to the zone that was cut, before it was back
    most_words: int = 0  # that reached one ingress in one second
    longest_word: int = 0
    left: list[float] = field(default_factory=list)  # when each ingress left it


class World(Simulation):
    """Everything of a scene."""

    def __init__(self, scene: Scene) -> None:
        super().__init__(scene.seed)
        self.s, self.seen = scene, Seen()
        self.models = [Model(work=scene.work, cold=scene.cold) for _ in range(scene.zones * scene.nodes)]
        self.entries = tuple(
            i.ServerEntry(n + 1, i.Health.READY, n // scene.nodes) for n in range(len(self.models))
        )
        self.gates: list[Gateway] = []
        self.watches: list[Watch] = []
        self.life = [0] * scene.ingresses
        self.heard: list[dict[int, int]] = [{} for _ in range(scene.ingresses)]
        self.tries: dict[int, int] = {}
        self.open: dict[int, tuple[float, i.Request]] = {}
        self.out: dict[tuple[int, int, int], tuple[int, int]] = {}  # gate, request, attempt: node, life
        for me in range(scene.ingresses):
            self.gates.append(self._gate(me, 0))
            self.watches.append(self._watch(me))
            self._at(ROUND * self.rng.random(), self._tick, me, 0)
        self._at(self.rng.expovariate(scene.rate), self._arrive, 1)
        for when, me in scene.restarts:
            self._at(when, self._restart, me)
        self._at(scene.cut[1], self._back)

    def _gate(self, me: int, life: int) -> Gateway:
        settings = i.Settings(
            classes=(
                i.RequestClass(AIM, DEADLINE, 1.0),
                i.RequestClass(AIM, DEADLINE, 2.0, idempotency=i.Idempotency.UNSAFE),
            ),
            plans=(i.Plan(),), gateways=self.s.ingresses, gateway_index=me,
            zone=me % self.s.zones, max_attempts=4, allow_cancel=True, allow_probes=True,
            slow_start_duration=self.s.cold, slow_start_share=0.21, collapse_time=3.0, collapse_ratio=4.0,
        )  # fmt: skip
        gate = Gateway(settings, self.s.seed * 1000 + me + life * 77)
        gate.handle(self.now, [i.ServerList(i.ListKind.COMPLETE, self.entries)])
        return gate

    def _watch(self, me: int) -> Watch:
        usual = (timedelta(seconds=self.s.work), timedelta(seconds=self.s.work))
        names = tuple(f"zone-{n}" for n in range(self.s.zones))
        cold = timedelta(seconds=self.s.cold)
        told = self.s.told or self.s.ingresses
        rules = Rules(names, told, me, usual, cold, 0.21)
        watch = Watch(rules, self._when(), int(self.now * 1000), self.s.seed + me)
        watch.listed(self.entries)
        return watch

    def play(self) -> Seen:
        while self._next(self.s.seconds + DEADLINE + 1):
            pass
        self.seen.unanswered = len(self.open)
        first = self.models[: self.s.nodes]
        self.seen.overload = max(model.overload(self.s.cut[1]) for model in first)
        return self.seen

    # --- what happens --------------------------------------------------------------------------------------
    def _is_cut(self, node: int) -> bool:
        return node <= self.s.nodes and self.s.cut[0] <= self.now < self.s.cut[1]

    def _back(self) -> None:
        for model in self.models[: self.s.nodes]:
            model.restart(self.now)

    def _arrive(self, number: int) -> None:
        if self.now > self.s.seconds:
            return
        me = self.rng.randrange(self.s.ingresses)
        request = i.Request(number, int(self.rng.random() < 0.3), 0, number, DEADLINE)
        self.seen.asked += 1
        self.open[number] = self.now, request
        self._do(me, self.gates[me].handle(self.now, [request]))
        self._at(self.now + self.rng.expovariate(self.s.rate), self._arrive, number + 1)

    def _restart(self, me: int) -> None:
        """It knows nothing any more; what it held is nobody's loss here."""
        self.life[me] += 1
        for key in [k for k in self.out if k[0] == me]:
            self.open.pop(key[1], None)
            del self.out[key]
        self.gates[me] = self._gate(me, self.life[me])
        self.watches[me] = self._watch(me)
        self._at(self.now + ROUND, self._tick, me, self.life[me])

    def _tick(self, me: int, life: int) -> None:
        if life != self.life[me] or self.now > self.s.seconds + DEADLINE:
            return
        self._at(self.now + ROUND, self._tick, me, life)
        for action in self.watches[me].tick(self._when()):
            if isinstance(action, Say):
                data = messages.write(action.message)
                self.seen.longest_word = max(self.seen.longest_word, len(data))
                for peer in action.peers:
                    if peer < self.s.ingresses and self.rng.random() >= self.s.drop:
                        wait = self.rng.uniform(*self.s.delay)
                        self._at(self.now + wait, self._word, peer, data)
            elif isinstance(action, Judged) and self.s.leave:
                if action.zone == 0 and action.share == 0 and not action.trial:
                    self.seen.left.append(self.now)
                if action.trial:
                    self._trial(me, action.trial)
                self._do(me, self.gates[me].handle(self.now, [i.ZoneShare(action.zone, action.share)]))
        self._do(me, self.gates[me].handle(self.now, []))

    def _word(self, me: int, data: bytes) -> None:
        second = int(self.now)
        self.heard[me][second] = self.heard[me].get(second, 0) + 1
        self.seen.most_words = max(self.seen.most_words, self.heard[me][second])
        message = messages.read(data)
        assert message is not None
        self.watches[me].heard(message, self._when())

    def _trial(self, me: int, node: int) -> None:
        watch, zone = self.watches[me], self.entries[node - 1].zone
        watch.seen(AttemptSeen((0, node), node, zone, 0), self._when())
        took = DIAL if self._is_cut(node) else 0.002
        end = i.End.CONNECT_FAILED if self._is_cut(node) else i.End.OK
        self._at(self.now + took, self._probed, me, self.life[me], node, end, took)

    def _probed(self, me: int, life: int, node: int, end: i.End, took: float) -> None:
        if life == self.life[me]:
            seen = AttemptSeen((0, node), node, self.entries[node - 1].zone, 0, end, timedelta(seconds=took))
            self.watches[me].seen(seen, self._when())

    def _do(self, me: int, actions: list[i.Action]) -> None:
        for a in actions:
            if isinstance(a, i.Send):
                self._send(me, a)
            elif isinstance(a, i.Cancel):
                if (me, a.request, a.attempt) in self.out:
                    self._end(me, self.life[me], a.request, a.attempt, i.End.CANCELLED, self.now)
            elif isinstance(a, i.Timer):
                self._at(a.at, self._timer, me, self.life[me], a.token)
            elif isinstance(a, i.Refuse | i.Fail):
                if self.open.pop(a.request, None):
                    self.seen.refused += isinstance(a, i.Refuse)
                    self.seen.failed += isinstance(a, i.Fail)

    def _timer(self, me: int, life: int, token: int) -> None:
        if life == self.life[me]:
            self._do(me, self.gates[me].handle(self.now, [i.TimerFired(token)]))

    def _send(self, me: int, a: i.Send) -> None:
        n = self.tries.get(a.request, 0)
        self.tries[a.request] = n + 1
        zone = self.entries[a.server - 1].zone
        self.watches[me].seen(AttemptSeen((a.request, n), a.server, zone, 0), self._when())
        self.out[me, a.request, n] = a.server, self.life[me]
        if self._is_cut(a.server):
            self.seen.last_try = self.now
            when, end = self.now + DIAL, i.End.CONNECT_FAILED
        else:
            done = self.models[a.server - 1].arrive(self.now, str(a.request))
            when, end = (done, i.End.OK) if done is not None else (self.now + 0.001, i.End.REJECTED)
            if when > a.deadline:
                when, end = a.deadline, i.End.TIMEOUT
        self._at(when, self._end, me, self.life[me], a.request, n, end, self.now)

    def _end(self, me: int, life: int, request: int, n: int, end: i.End, begun: float) -> None:
        if life != self.life[me] or (me, request, n) not in self.out:
            return
        node, _ = self.out.pop((me, request, n))
        if end is i.End.OK and self._is_cut(node):
            end = i.End.RESET  # it went while it worked on it
        if end in (i.End.CONNECT_FAILED, i.End.RESET) and self.seen.first_failed is None:
            self.seen.first_failed = self.now
        took = timedelta(seconds=self.now - begun)
        seen = AttemptSeen((request, n), node, self.entries[node - 1].zone, 0, end, took)
        self.watches[me].seen(seen, self._when())
        answered = False
        if end is i.End.OK and (held := self.open.pop(request, None)):
            answered = True
            late = self.now - held[0] > AIM
            self.seen.late += late
            self.seen.served += not late
        event = i.Outcome(request, n, node, end, took.total_seconds(), answered)
        self._do(me, self.gates[me].handle(self.now, [event]))
