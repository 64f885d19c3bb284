"""How copies come to be equal. No I/O, no clock.

What changes is said at once to the others (to some of them, who say it on, where they are many). Now and then
a copy says the hashes of its branches to another; where they differ, those of the leaves are exchanged, and
the items of the leaves that differ. So a message that is lost, late, repeated or overtaken costs time,
nothing else. A copy that knows nothing asks to be told all of it, bans first, and says no
hashes until it has been.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from itertools import islice

from opalgauge.replica.messages import Message, packed
from opalgauge.replica.store import BAN_BRANCHES, BRANCHES, LEAVES, Change, Key, Store

ROUND = timedelta(milliseconds=300)  # between two messages of hashes
SUSPECT = timedelta(seconds=5)  # a copy not heard for so long is taken to be gone, and asked seldom
SELDOM = 0.3  # times their share of all
FEW, FANOUT = 12, 4  # with more ingresses a change goes to so many, and on from each
RATE, DEPTH = 40.0, 40.0  # messages a second, and at once: 80 in any second
AGAIN = timedelta(milliseconds=80)  # after hashes that differed: what was said about it may be lost
DIFFERING = 4  # branches whose leaves are said in answer to one message
GIVE_UP = timedelta(milliseconds=1500)  # who is told nothing serves without
HELLO = timedelta(milliseconds=250)  # between two askings to be told all
AGE = timedelta(seconds=1)
MOST_QUEUED = 2000  # messages; a copy so far behind is told the rest by hashes


@dataclass(frozen=True, slots=True)
class Say:
    peer: int
    message: Message


@dataclass(slots=True)
class Peer:
    life: int = -1
    heard: datetime | None = None
    agreed: datetime | None = None  # when its hashes were last ours


class Gossip:
    """One copy among `ingresses`."""

    def __init__(self, store: Store, ingresses: int, now: datetime, seed: int) -> None:
        self.store, self.now, self.born = store, now, now
        self.chance = random.Random(seed)
        self.peers = {n: Peer() for n in range(ingresses) if n != store.me}
        # Keys that a peer has not been told of since they changed, in the order of the changes.
        self.rumours: dict[int, dict[Key, None]] = {n: {} for n in self.peers}
        self.queue: deque[tuple[int, Message]] = deque()
        self.credit, self.credited = DEPTH, now
        self.round_at = now + ROUND * self.chance.random()
        self.hello_at = self.aged = now
        self.caught_up = not self.peers
        self.differs: int | None = None  # whose hashes were other ones when it was last heard
        self.fresh: set[int] = set()  # peers that knew nothing when they were last heard
        self.number = 0
        self.said = 0
        self.out: list[Say] = []
        self.news: list[Change] = []  # what others have told, for whoever decides by it

    def take(self) -> tuple[list[Say], list[Change]]:
        out, self.out, news, self.news = self.out, [], self.news, []
        return out, news

    # --- what comes in -------------------------------------------------------------------------------------
    def changed(self, change: Change | None, told_by: int = -1) -> None:
        """An item is other than it was; the others are told."""
        if change is None:
            return
        others = [n for n in self.peers if n != told_by]
        if len(self.peers) >= FEW:
            alive = [n for n in others if self._alive(n)] or others
            others = self.chance.sample(alive, min(FANOUT, len(alive)))
        elif told_by >= 0:
            return  # its maker tells all
        for n in others:
            self.rumours[n][change.key] = None

    def heard(self, message: Message, now: datetime) -> None:
        self.now = max(self.now, now)
        peer = self.peers.get(message.sender)
        if peer is None or message.life < peer.life:
            return
        peer.life, peer.heard = message.life, self.now
        for key, item in message.items:
            if (change := self.store.merge(key, item, self.now)) is not None:
                self.news.append(change)
                self.changed(change, message.sender)
        if message.hello:
            self.fresh.add(message.sender)
            self._tell_all(message.sender)
        if message.branches:
            self._compare(message.sender, list(message.branches))
        if message.leaves is not None:
            self._tell_leaves(message.sender, *message.leaves)

    def tick(self, now: datetime) -> None:
        """To be called some twenty times a second."""
        self.now = max(self.now, now)
        if self.now - self.aged >= AGE:
            self.aged = self.now
            self.store.age(self.now)
        if not self.caught_up:
            self._catch_up()
        if self.now >= self.round_at and self.peers and self.caught_up:
            self.round_at = self.now + ROUND * (0.75 + self.chance.random() / 2)
            peer, self.differs = self._somebody() if self.differs is None else self.differs, None
            if peer is not None:
                self._queue(peer, Message(self.store.me, self.store.life, 0, branches=self._branches()))
        for n, keys in self.rumours.items():
            if keys:
                items = [(key, self.store.items[key]) for key in keys if key in self.store.items]
                keys.clear()
                for batch in packed(items):
                    self._queue(n, Message(self.store.me, self.store.life, 0, items=batch), soon=True)
        self._send()

    # --- equal or not --------------------------------------------------------------------------------------
    def _branches(self) -> tuple[bytes, ...]:
        return tuple(self.store.branch_hashes)

    def _compare(self, peer: int, theirs: list[bytes]) -> None:
        mine = self.store.branch_hashes
        self.fresh.discard(peer)
        if not self.caught_up and self.store.bans_equal(theirs):
            self.caught_up = True
        differing = [n for n in range(BRANCHES) if theirs[n] != mine[n]]
        if not differing:
            self.peers[peer].agreed = self.now
        elif self.caught_up:
            self.round_at = min(self.round_at, self.now + AGAIN)
            self.differs = peer
        for n in differing[:DIFFERING]:
            # What the branch holds, where that is little, need not wait for hashes to go to and fro: where
            # half of the messages are lost each more of them that has to arrive doubles the time.
            batches = list(islice(packed(self.store.branch(n)), 2))
            if len(batches) == 1:
                self._queue(peer, Message(self.store.me, self.store.life, 0, items=batches[0]))
            leaves = n, tuple(self.store.leaf_hashes[n]), False
            self._queue(peer, Message(self.store.me, self.store.life, 0, leaves=leaves))

    def _tell_leaves(self, peer: int, branch: int, theirs: tuple[bytes, ...], back: bool) -> None:
        mine = self.store.leaf_hashes[branch]
        differing = [n for n in range(LEAVES) if theirs[n] != mine[n]]
        for batch in packed(i for n in differing for i in self.store.at(branch, n)):
            self._queue(peer, Message(self.store.me, self.store.life, 0, items=batch))
        if differing and not back:
            self._queue(peer, Message(self.store.me, self.store.life, 0, leaves=(branch, tuple(mine), True)))

    def _tell_all(self, peer: int) -> None:
        """For one that knows nothing. What it misses of it shows by hashes."""
        if any(n == peer and w.items for n, w in self.queue):
            return  # it is being told
        everything = (i for b in range(BRANCHES) for i in self.store.branch(b))
        bans = (i for b in range(BAN_BRANCHES) for i in self.store.branch(b))
        me, life = self.store.me, self.store.life
        # The first of the others tells all of it, the rest the bans: a message may be lost.
        first = min(k for k in (me, *self.peers) if k != peer)
        for batch in packed(everything if first == me else bans):
            self._queue(peer, Message(me, life, 0, items=batch))
        if self.caught_up:
            self._queue(peer, Message(me, life, 0, branches=self._branches()))

    def _catch_up(self) -> None:
        # Where all have just started there is nothing to be told.
        if self.now - self.born >= GIVE_UP or len(self.fresh) == len(self.peers):
            self.caught_up = True
        elif self.now >= self.hello_at:
            self.hello_at = self.now + HELLO
            for n in self.chance.sample(sorted(self.peers), min(FANOUT, len(self.peers))):
                self._queue(n, Message(self.store.me, self.store.life, 0, hello=True), soon=True)

    # --- who and when --------------------------------------------------------------------------------------
    def _alive(self, peer: int) -> bool:
        heard = self.peers[peer].heard
        return heard is not None and self.now - heard <= SUSPECT

    def _somebody(self) -> int | None:
        alive = [n for n in self.peers if self._alive(n)]
        gone = [n for n in self.peers if n not in alive]
        if gone and (not alive or self.chance.random() < SELDOM * len(gone) / len(self.peers)):
            return self.chance.choice(gone)
        return self.chance.choice(alive) if alive else None

    def _queue(self, peer: int, message: Message, soon: bool = False) -> None:
        if len(self.queue) >= MOST_QUEUED:
            return  # guards the memory; the hashes will tell
        if soon:
            self.queue.appendleft((peer, message))
        else:
            self.queue.append((peer, message))

    def _send(self) -> None:
        gained = (self.now - self.credited).total_seconds() * RATE
        self.credit, self.credited = min(DEPTH, self.credit + gained), self.now
        while self.queue and self.credit >= 1:
            peer, message = self.queue.popleft()
            self.credit -= 1
            self.number += 1
            self.said += 1
            self.out.append(Say(peer, replace(message, number=self.number)))

    def alive(self) -> int:
        return 1 + sum(self._alive(n) for n in self.peers)

    def agreeing(self) -> int:
        """Copies whose hashes were this one's within the last few rounds."""
        since = self.now - ROUND * 4 * max(1, len(self.peers))
        return sum(p.agreed is not None and p.agreed >= since for p in self.peers.values())
