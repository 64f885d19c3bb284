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

from opalgauge.replica.clock import MICROSECOND, UNIX_EPOCH, HybridClock
from opalgauge.replica.crdt import GrowOnlyCounter, Item, LwwRegister, ObservedRemoveSet, merge

BRANCHES, LEAVES, BAN_BRANCHES = 16, 16, 4
HASH_SIZE = 6  # bytes of a branch's or a leaf's digest
MAX_ITEMS = 6000  # a copy that is full takes no new counts and judgements; bans have room for themselves
MAX_BANS = 1000
LIFTED_BAN_KEPT = timedelta(hours=1)  # a ban that was lifted so long ago may be forgotten, to make room
EXPIRY_GRACE = timedelta(seconds=30)  # what has aged out is kept so long: clocks differ


class ItemKind(IntEnum):
    """What an item is about; it goes over the wire."""

    BAN = 0  # by a stock node's name: 1 out, 0 back in use
    EJECTION = 1  # by a stock node, its start and a kind of request: who ejected it, until when
    COUNT = 2  # by an account, a window and the stamp at which that is over: units spent, in tenths


Key: TypeAlias = tuple[int, str]
NAME_PATTERNS: dict[int, re.Pattern[str]] = {
    ItemKind.BAN: re.compile(r"[!-~]{1,100}"),
    ItemKind.EJECTION: re.compile(r"[0-9]{1,20}:[0-9]{1,6}:[0-9]{1,3}"),
    ItemKind.COUNT: re.compile(r"[0-9]{1,12}:[0-9]{1,12}@[0-9]{1,17}"),
}
ITEM_TYPES: dict[int, type[LwwRegister] | type[ObservedRemoveSet] | type[GrowOnlyCounter]] = {
    ItemKind.BAN: LwwRegister, ItemKind.EJECTION: ObservedRemoveSet, ItemKind.COUNT: GrowOnlyCounter
}  # fmt: skip


@dataclass(slots=True)
class Change:
    """An item that is other than it was."""

    key: Key
    item: Item


def tree_position(key: Key) -> tuple[int, int]:
    """The branch and the leaf at which an item hangs."""
    hashed = hashlib.blake2b(f"{key[0]}:{key[1]}".encode(), digest_size=2).digest()
    if key[0] == ItemKind.BAN:
        return hashed[0] % BAN_BRANCHES, hashed[1] % LEAVES
    return BAN_BRANCHES + hashed[0] % (BRANCHES - BAN_BRANCHES), hashed[1] % LEAVES


def hash_parts(parts: list[bytes]) -> bytes:
    return hashlib.blake2b(b"".join(parts), digest_size=HASH_SIZE).digest()


class ReplicaStore:
    """The copy. `life`: larger at each start of this ingress."""

    def __init__(self, own_index: int, incarnation: int) -> None:
        self.own_index, self.incarnation, self.clock = own_index, incarnation, HybridClock()
        self.items: dict[Key, Item] = {}
        self.tree: list[list[dict[Key, bytes]]] = [[{} for _ in range(LEAVES)] for _ in range(BRANCHES)]
        self.leaf_hashes = [[hash_parts([])] * LEAVES for _ in range(BRANCHES)]
        self.branch_hashes = [hash_parts(leaves) for leaves in self.leaf_hashes]
        self.refused = 0  # items that found no room, or that cannot be meant

    # --- what this ingress learns --------------------------------------------------------------------------
    def set_ban(self, name: str, banned: bool, now: datetime, at: datetime | None = None) -> Change | None:
        stamp = (at - UNIX_EPOCH) // MICROSECOND if at is not None else self.clock.next_stamp(now)
        return self.merge((ItemKind.BAN, name), LwwRegister(stamp, int(banned)), now)

    def add_ejection(self, name: str, until: datetime, now: datetime) -> Change | None:
        tag = self.own_index, self.clock.next_stamp(now)
        return self.merge(
            (ItemKind.EJECTION, name), ObservedRemoveSet({tag: (until - UNIX_EPOCH) // MICROSECOND}), now
        )

    def clear_ejection(self, name: str, now: datetime) -> Change | None:
        """What was said of it so far no longer holds, whoever said it."""
        item = self.items.get((ItemKind.EJECTION, name))
        if not isinstance(item, ObservedRemoveSet):
            return None
        held = frozenset(item.active((now - UNIX_EPOCH) // MICROSECOND))
        return self.merge((ItemKind.EJECTION, name), item.remove(held), now) if held else None

    def add_usage(self, name: str, amount: int, now: datetime) -> Change | None:
        key, source = (ItemKind.COUNT, name), (self.own_index, self.incarnation)
        item = self.items.get(key)
        own_amount = item.amounts.get(source, 0) if isinstance(item, GrowOnlyCounter) else 0
        return self.merge(key, GrowOnlyCounter({source: own_amount + amount}), now)

    def ejected_by(self, name: str, now: datetime) -> dict[int, int]:
        """Which ingresses hold it ejected, and until which stamp."""
        item = self.items.get((ItemKind.EJECTION, name))
        held: dict[int, int] = {}
        if isinstance(item, ObservedRemoveSet):
            for (ingress, _), until in item.active((now - UNIX_EPOCH) // MICROSECOND).items():
                held[ingress] = max(held.get(ingress, 0), until)
        return held

    # --- merging -------------------------------------------------------------------------------------------
    def merge(self, key: Key, item: Item, now: datetime) -> Change | None:
        """Takes what another copy says of an item, or this one; None where it says nothing new."""
        known = self.items.get(key)
        if not isinstance(item, ITEM_TYPES[key[0]]) or not self._is_valid(key, item, now):
            self.refused += 1
            return None
        if known is None and self._is_expired(key, item, now):
            return None  # guards against what is forgotten coming back from where the clock is behind
        if known is None and not self._has_room(key, now):
            self.refused += 1
            return None
        merged = merge(known, item) if known is not None else item
        if merged == known:
            return None
        self.items[key] = merged
        self._insert(key, merged)
        return Change(key, merged)

    def _is_valid(self, key: Key, item: Item, now: datetime) -> bool:
        """Guards all copies against a name that is none, and a stamp so far ahead that it outlasts all."""
        if not NAME_PATTERNS[key[0]].fullmatch(key[1]):
            return False
        if isinstance(item, LwwRegister):
            return self.clock.observe(item.stamp, now)
        if isinstance(item, ObservedRemoveSet):
            return all(self.clock.observe(at, now) for _, at in item.added)
        return True

    def _has_room(self, key: Key, now: datetime) -> bool:
        if key[0] != ItemKind.BAN:
            return len(self.items) < MAX_ITEMS
        bans = {k: v for k, v in self.items.items() if k[0] == ItemKind.BAN and isinstance(v, LwwRegister)}
        if len(bans) < MAX_BANS:
            return True
        oldest = min((k for k, v in bans.items() if not v.value), key=lambda k: bans[k].stamp, default=None)
        if oldest is None or bans[oldest].stamp > (now - LIFTED_BAN_KEPT - UNIX_EPOCH) // MICROSECOND:
            return False
        self._remove(oldest)
        return True

    def _remove(self, key: Key) -> None:
        branch, leaf = tree_position(key)
        del self.items[key]
        del self.tree[branch][leaf][key]
        self._rehash(branch, leaf)

    def _insert(self, key: Key, item: Item) -> None:
        branch, leaf = tree_position(key)
        self.tree[branch][leaf][key] = msgspec.msgpack.encode([key[0], key[1], item.to_wire()])
        self._rehash(branch, leaf)

    def _rehash(self, branch: int, leaf: int) -> None:
        entries = self.tree[branch][leaf]
        self.leaf_hashes[branch][leaf] = hash_parts([entries[key] for key in sorted(entries)])
        self.branch_hashes[branch] = hash_parts(self.leaf_hashes[branch])

    def _is_expired(self, key: Key, item: Item, now: datetime) -> bool:
        expired_before = (now - EXPIRY_GRACE - UNIX_EPOCH) // MICROSECOND
        if isinstance(item, ObservedRemoveSet):
            return all(until <= expired_before for until in item.added.values())
        return isinstance(item, GrowOnlyCounter) and int(key[1].rpartition("@")[2]) <= expired_before

    def expire(self, now: datetime) -> None:
        """Forgets judgements that have aged out and counts of windows long over: every copy does."""
        for key in [k for k, item in self.items.items() if self._is_expired(k, item, now)]:
            self._remove(key)

    # --- what others are told ------------------------------------------------------------------------------
    def leaf_items(self, branch: int, leaf: int) -> Iterator[tuple[Key, Item]]:
        for key in sorted(self.tree[branch][leaf]):
            yield key, self.items[key]

    def branch_items(self, branch: int) -> Iterator[tuple[Key, Item]]:
        for leaf in range(LEAVES):
            yield from self.leaf_items(branch, leaf)

    def bans_equal(self, hashes: list[bytes]) -> bool:
        return hashes[:BAN_BRANCHES] == self.branch_hashes[:BAN_BRANCHES]

    def digest(self) -> str:
        """Equal copies have equal ones."""
        return hash_parts(self.branch_hashes).hex()
