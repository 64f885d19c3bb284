"""Replicated state in virtual time: many copies, lossy messages, clocks that differ, cuts and restarts."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from opalgauge.lab.simulation import ROUND, Simulation
from opalgauge.replica import messages
from opalgauge.replica.gossip import Gossip, Say
from opalgauge.replica.store import Store

MOST_IN = 100  # messages a second that an ingress takes in


@dataclass(slots=True)
class Scene:
    """`changes` a second of bans and judgements until `calm`, then nothing but what is left to say."""

    copies: int = 5
    seconds: float = 30.0
    calm: float = 15.0
    changes: float = 4.0
    seed: int = 1
    drop: float = 0.072
    twice: float = 0.05  # of the messages come a second time
    delay: tuple[float, float] = (0.002, 0.017)
    skew: float = 0.0  # s: clocks differ by as much, either way
    cut: tuple[float, float, int] = (0.0, 0.0, 0)  # from, until, the first so many hear none of the others
    restarts: tuple[tuple[float, int], ...] = ()


@dataclass(slots=True)
class Seen:
    changed: int = 0
    equal_after: float | None = None  # s from the last change or fault until all copies were equal for good
    most_said: int = 0  # by one copy in one second
    most_heard: int = 0
    bytes_said: float = 0.0  # by one copy in a second, over the scene
    caught_up_after: list[float] = field(default_factory=list)
    longest_word: int = 0


class World(Simulation):
    """A scene."""

    def __init__(self, scene: Scene) -> None:
        super().__init__(scene.seed)
        self.s, self.seen = scene, Seen()
        self.skews = [self.rng.uniform(-scene.skew, scene.skew) for _ in range(scene.copies)]
        self.life = [0] * scene.copies
        self.said: dict[tuple[int, int], int] = {}
        self.heard: dict[tuple[int, int], int] = {}
        self.copies = [self._copy(n) for n in range(scene.copies)]
        for n in range(scene.copies):
            self._at(ROUND * self.rng.random(), self._tick, n, 0)
        at = 1.0
        while (at := at + self.rng.expovariate(scene.changes)) < scene.calm:
            self._at(at, self._change)
        for when, n in scene.restarts:
            self._at(when, self._restart, n)

    def _copy(self, n: int) -> Gossip:
        store = Store(n, int(self.now * 1000))
        return Gossip(store, self.s.copies, self._when(self.skews[n]), self.s.seed * 1000 + n)

    def play(self) -> Seen:
        last = max([self.s.calm, self.s.cut[1], *(when for when, _ in self.s.restarts)])
        equal_since, look = None, 0.0
        while self._next(self.s.seconds):
            if self.now >= max(look, last):
                look = self.now + 0.05
                if len({tuple(c.store.branch_hashes) for c in self.copies}) > 1:
                    equal_since = None
                elif equal_since is None:
                    equal_since = self.now
        self.seen.equal_after = equal_since - last if equal_since is not None else None
        self.seen.most_said = max(self.said.values(), default=0)
        self.seen.most_heard = max(self.heard.values(), default=0)
        self.seen.bytes_said /= self.s.copies * self.s.seconds
        return self.seen

    def _change(self) -> None:
        n = self.rng.randrange(self.s.copies)
        copy, now = self.copies[n], self._when(self.skews[n])
        what, kind = self.rng.randrange(20), self.rng.random()
        self.seen.changed += 1
        if kind < 0.5:
            copy.changed(copy.store.set_ban(f"s-{what:08x}", self.rng.random() < 0.6, now))
        elif kind < 0.8:
            copy.changed(copy.store.judge(f"{what}:0:0", now + timedelta(seconds=600), now))
        else:
            copy.changed(copy.store.acquit(f"{what}:0:0", now))

    def _restart(self, n: int) -> None:
        self.life[n] += 1
        self.copies[n] = self._copy(n)
        self._at(self.now, self._tick, n, self.life[n])
        self._at(self.now, self._catching_up, n, self.life[n], self.now)

    def _catching_up(self, n: int, life: int, since: float) -> None:
        if life != self.life[n]:
            return
        if self.copies[n].caught_up:
            self.seen.caught_up_after.append(self.now - since)
        else:
            self._at(self.now + 0.01, self._catching_up, n, life, since)

    def _tick(self, n: int, life: int) -> None:
        if life == self.life[n]:
            self._at(self.now + ROUND, self._tick, n, life)
            self.copies[n].tick(self._when(self.skews[n]))
            self._send(n)

    def _send(self, n: int) -> None:
        for say in self.copies[n].take()[0]:
            self._say(n, say)

    def _say(self, n: int, say: Say) -> None:
        data = messages.write(say.message)
        self.seen.longest_word = max(self.seen.longest_word, len(data))
        self.seen.bytes_said += len(data)
        key = n, int(self.now)
        self.said[key] = self.said.get(key, 0) + 1
        begun, ended, first = self.s.cut
        if begun <= self.now < ended and (n < first) != (say.peer < first):
            return
        for _ in range(1 + (self.rng.random() < self.s.twice)):
            if self.rng.random() >= self.s.drop:
                self._at(self.now + self.rng.uniform(*self.s.delay), self._word, say.peer, data)

    def _word(self, n: int, data: bytes) -> None:
        key = n, int(self.now)
        self.heard[key] = self.heard.get(key, 0) + 1
        if self.heard[key] <= MOST_IN and (message := messages.read(data)) is not None:
            self.copies[n].heard(message, self._when(self.skews[n]))
            self._send(n)
