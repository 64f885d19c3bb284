"""One ingress's copy of all that is replicated, and its digests by branch. No I/O, no clock.

The items hang in a tree of 16 branches of 16 leaves, by the hash of their keys; bans have branches of their
own, so that it can be told whether two copies agree on these. Copies are equal if their branches' hashes are.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import IntEnum
from typing import TypeAlias

import msgspec

from opalgauge.replica.clock import EPOCH, MICROSECOND, Clock
from opalgauge.replica.crdt import Item, Parts, Register, Tags, merge

BRANCHES, LEAVES, BAN_BRANCHES = 16, 16, 4
HASH = 6  # bytes of a branch's or a leaf's digest
MOST_ITEMS = 6000  # a copy that is full takes no new counts and judgements; bans have room for themselves
MOST_BANS = 1000
OLDEST_LIFT = timedelta(hours=1)  # a ban that was lifted so long ago may be forgotten, to make room
GRACE = timedelta(seconds=30)  # what has aged out is kept so long: clocks differ


class Kind(IntEnum):
    """What an item is about; it goes over the wire."""

    BAN = 0  # by a stock node's name: 1 out, 0 back in use
    JUDGEMENT = 1  # by a stock node, its start and a kind of request: who ejected it, until when
    COUNT = 2  # by an account, a window and the stamp at which that is over: units spent, in tenths


Key: TypeAlias = tuple[int, str]
NAMES: dict[int, re.Pattern[str]] = {
    Kind.BAN: re.compile(r"[!-~]{1,100}"),
    Kind.JUDGEMENT: re.compile(r"[0-9]{1,20}:[0-9]{1,6}:[0-9]{1,3}"),
    Kind.COUNT: re.compile(r"[0-9]{1,12}:[0-9]{1,12}@[0-9]{1,17}"),
}
TYPES: dict[int, type[Register] | type[Tags] | type[Parts]] = {
    Kind.BAN: Register, Kind.JUDGEMENT: Tags, Kind.COUNT: Parts
}  # fmt: skip


@dataclass(slots=True)
class Change:
    """An item that is other than it was."""

    key: Key
    item: Item


def place(key: Key) -> tuple[int, int]:
    """The branch and the leaf at which an item hangs."""
    told = hashlib.blake2b(f"{key[0]}:{key[1]}".encode(), digest_size=2).digest()
    if key[0] == Kind.BAN:
        return told[0] % BAN_BRANCHES, told[1] % LEAVES
    return BAN_BRANCHES + told[0] % (BRANCHES - BAN_BRANCHES), told[1] % LEAVES


def digest(parts: list[bytes]) -> bytes:
    return hashlib.blake2b(b"".join(parts), digest_size=HASH).digest()


class Store:
    """The copy. `life`: larger at each start of this ingress."""

    def __init__(self, me: int, life: int) -> None:
        self.me, self.life, self.clock = me, life, Clock()
        self.items: dict[Key, Item] = {}
        self.tree: list[list[dict[Key, bytes]]] = [[{} for _ in range(LEAVES)] for _ in range(BRANCHES)]
        self.leaf_hashes = [[digest([])] * LEAVES for _ in range(BRANCHES)]
        self.branch_hashes = [digest(leaves) for leaves in self.leaf_hashes]
        self.refused = 0  # items that found no room, or that cannot be meant

    # --- what this ingress learns --------------------------------------------------------------------------
    def set_ban(self, name: str, out: bool, now: datetime, at: datetime | None = None) -> Change | None:
        stamp = (at - EPOCH) // MICROSECOND if at is not None else self.clock.stamp(now)
        return self.merge((Kind.BAN, name), Register(stamp, int(out)), now)

    def judge(self, what: str, until: datetime, now: datetime) -> Change | None:
        tag = self.me, self.clock.stamp(now)
        return self.merge((Kind.JUDGEMENT, what), Tags({tag: (until - EPOCH) // MICROSECOND}), now)

    def acquit(self, what: str, now: datetime) -> Change | None:
        """What was said of it so far no longer holds, whoever said it."""
        item = self.items.get((Kind.JUDGEMENT, what))
        if not isinstance(item, Tags):
            return None
        held = frozenset(item.holds((now - EPOCH) // MICROSECOND))
        return self.merge((Kind.JUDGEMENT, what), item.take_back(held), now) if held else None

    def count(self, what: str, amount: int, now: datetime) -> Change | None:
        key, source = (Kind.COUNT, what), (self.me, self.life)
        item = self.items.get(key)
        mine = item.parts.get(source, 0) if isinstance(item, Parts) else 0
        return self.merge(key, Parts({source: mine + amount}), now)

    def judged(self, what: str, now: datetime) -> dict[int, int]:
        """Which ingresses hold it ejected, and until which stamp."""
        item = self.items.get((Kind.JUDGEMENT, what))
        held: dict[int, int] = {}
        if isinstance(item, Tags):
            for (who, _), until in item.holds((now - EPOCH) // MICROSECOND).items():
                held[who] = max(held.get(who, 0), until)
        return held

    # --- merging -------------------------------------------------------------------------------------------
    def merge(self, key: Key, item: Item, now: datetime) -> Change | None:
        """Takes what another copy says of an item, or this one; None where it says nothing new."""
        known = self.items.get(key)
        if not isinstance(item, TYPES[key[0]]) or not self._meant(key, item, now):
            self.refused += 1
            return None
        if known is None and self._over(key, item, now):
            return None  # guards against what is forgotten coming back from where the clock is behind
        if known is None and not self._room(key, now):
            self.refused += 1
            return None
        both = merge(known, item) if known is not None else item
        if both == known:
            return None
        self.items[key] = both
        self._hang(key, both)
        return Change(key, both)

    def _meant(self, key: Key, item: Item, now: datetime) -> bool:
        """Guards all copies against a name that is none, and a stamp so far ahead that it outlasts all."""
        if not NAMES[key[0]].fullmatch(key[1]):
            return False
        if isinstance(item, Register):
            return self.clock.heard(item.stamp, now)
        if isinstance(item, Tags):
            return all(self.clock.heard(at, now) for _, at in item.said)
        return True

    def _room(self, key: Key, now: datetime) -> bool:
        if key[0] != Kind.BAN:
            return len(self.items) < MOST_ITEMS
        bans = {k: v for k, v in self.items.items() if k[0] == Kind.BAN and isinstance(v, Register)}
        if len(bans) < MOST_BANS:
            return True
        oldest = min((k for k, v in bans.items() if not v.value), key=lambda k: bans[k].stamp, default=None)
        if oldest is None or bans[oldest].stamp > (now - OLDEST_LIFT - EPOCH) // MICROSECOND:
            return False
        self._drop(oldest)
        return True

    def _drop(self, key: Key) -> None:
        branch, leaf = place(key)
        del self.items[key]
        del self.tree[branch][leaf][key]
        self._rehash(branch, leaf)

    def _hang(self, key: Key, item: Item) -> None:
        branch, leaf = place(key)
        self.tree[branch][leaf][key] = msgspec.msgpack.encode([key[0], key[1], item.wire()])
        self._rehash(branch, leaf)

    def _rehash(self, branch: int, leaf: int) -> None:
        hung = self.tree[branch][leaf]
        self.leaf_hashes[branch][leaf] = digest([hung[key] for key in sorted(hung)])
        self.branch_hashes[branch] = digest(self.leaf_hashes[branch])

    def _over(self, key: Key, item: Item, now: datetime) -> bool:
        late = (now - GRACE - EPOCH) // MICROSECOND
        if isinstance(item, Tags):
            return all(until <= late for until in item.said.values())
        return isinstance(item, Parts) and int(key[1].rpartition("@")[2]) <= late

    def age(self, now: datetime) -> None:
        """Forgets judgements that have aged out and counts of windows long over: every copy does."""
        for key in [k for k, item in self.items.items() if self._over(k, item, now)]:
            self._drop(key)

    # --- what others are told ------------------------------------------------------------------------------
    def at(self, branch: int, leaf: int) -> Iterator[tuple[Key, Item]]:
        for key in sorted(self.tree[branch][leaf]):
            yield key, self.items[key]

    def branch(self, number: int) -> Iterator[tuple[Key, Item]]:
        for leaf in range(LEAVES):
            yield from self.at(number, leaf)

    def bans_equal(self, hashes: list[bytes]) -> bool:
        return hashes[:BAN_BRANCHES] == self.branch_hashes[:BAN_BRANCHES]

    def digest(self) -> str:
        """Equal copies have equal ones."""
        return digest(self.branch_hashes).hex()
