"""One ingress's replica of the shared state, with a hash tree over it. No I/O, no clock.

The hash of its key places an item in a tree of 16 branches with 16 leaves each. Bans have branches of their
own, so that two replicas can tell whether they agree on these. Replicas are equal if their branch hashes are.
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
HASH_SIZE = 6  # bytes of the hash of a branch or a leaf
MAX_ITEMS = 6000  # a full replica refuses new counts and ejections; bans have their own limit
MAX_BANS = 1000
LIFTED_BAN_KEPT = timedelta(hours=1)  # then a lifted ban may be dropped to make room
EXPIRY_GRACE = timedelta(seconds=30)  # for which expired items are kept, as clocks differ


class ItemKind(IntEnum):
    """What an item is about. The numbers are sent to peers."""

    BAN = 0  # by server name: 1 banned, 0 lifted
    EJECTION = 1  # by server, its start and request class: which ingresses ejected it, and until when
    COUNT = 2  # by account, window and the stamp of its end: units spent, in tenths


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
    """An item that has changed, with its new value."""

    key: Key
    item: Item


def tree_position(key: Key) -> tuple[int, int]:
    """The branch and the leaf of an item."""
    hashed = hashlib.blake2b(f"{key[0]}:{key[1]}".encode(), digest_size=2).digest()
    if key[0] == ItemKind.BAN:
        return hashed[0] % BAN_BRANCHES, hashed[1] % LEAVES
    return BAN_BRANCHES + hashed[0] % (BRANCHES - BAN_BRANCHES), hashed[1] % LEAVES


def hash_parts(parts: list[bytes]) -> bytes:
    """The hash of a list of entries or of hashes, `HASH_SIZE` bytes long."""
    return hashlib.blake2b(b"".join(parts), digest_size=HASH_SIZE).digest()


class ReplicaStore:
    """The replica of one ingress. `incarnation` must be larger at each start of the ingress.

    Methods that change an item return the change, or None if the item stays as it is.
    """

    def __init__(self, own_index: int, incarnation: int) -> None:
        self.own_index, self.incarnation, self.clock = own_index, incarnation, HybridClock()
        self.items: dict[Key, Item] = {}
        self.tree: list[list[dict[Key, bytes]]] = [[{} for _ in range(LEAVES)] for _ in range(BRANCHES)]
        self.leaf_hashes = [[hash_parts([])] * LEAVES for _ in range(BRANCHES)]
        self.branch_hashes = [hash_parts(leaves) for leaves in self.leaf_hashes]
        self.refused = 0  # items that were invalid or found no room

    # --- changes by this ingress ---------------------------------------------------------------------------
    def set_ban(self, name: str, banned: bool, now: datetime, at: datetime | None = None) -> Change | None:
        """Bans a server, or lifts its ban. `at` is when staff did so, by default now."""
        stamp = (at - UNIX_EPOCH) // MICROSECOND if at is not None else self.clock.next_stamp(now)
        return self.merge((ItemKind.BAN, name), LwwRegister(stamp, int(banned)), now)

    def add_ejection(self, name: str, until: datetime, now: datetime) -> Change | None:
        """This ingress has ejected a server. `name` is as in `ItemKind.EJECTION`."""
        tag = self.own_index, self.clock.next_stamp(now)
        return self.merge(
            (ItemKind.EJECTION, name), ObservedRemoveSet({tag: (until - UNIX_EPOCH) // MICROSECOND}), now
        )

    def clear_ejection(self, name: str, now: datetime) -> Change | None:
        """Removes all ejections of the item that are known here, whoever made them."""
        item = self.items.get((ItemKind.EJECTION, name))
        if not isinstance(item, ObservedRemoveSet):
            return None
        held = frozenset(item.active((now - UNIX_EPOCH) // MICROSECOND))
        return self.merge((ItemKind.EJECTION, name), item.remove(held), now) if held else None

    def add_usage(self, name: str, amount: int, now: datetime) -> Change | None:
        """This ingress has spent more of a window, in tenths of units. `name` is as in `ItemKind.COUNT`."""
        key, source = (ItemKind.COUNT, name), (self.own_index, self.incarnation)
        item = self.items.get(key)
        own_amount = item.amounts.get(source, 0) if isinstance(item, GrowOnlyCounter) else 0
        return self.merge(key, GrowOnlyCounter({source: own_amount + amount}), now)

    def ejected_by(self, name: str, now: datetime) -> dict[int, int]:
        """The ingresses with an active ejection of the item, each with the stamp at which it ends."""
        item = self.items.get((ItemKind.EJECTION, name))
        held: dict[int, int] = {}
        if isinstance(item, ObservedRemoveSet):
            for (ingress, _), until in item.active((now - UNIX_EPOCH) // MICROSECOND).items():
                held[ingress] = max(held.get(ingress, 0), until)
        return held

    # --- merging -------------------------------------------------------------------------------------------
    def merge(self, key: Key, item: Item, now: datetime) -> Change | None:
        """Merges an item of a peer or of this ingress into the replica."""
        known = self.items.get(key)
        if not isinstance(item, ITEM_TYPES[key[0]]) or not self._is_valid(key, item, now):
            self.refused += 1
            return None
        if known is None and self._is_expired(key, item, now):
            return None  # a peer whose clock is behind may still have it
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
        """Whether the name is well-formed, and no stamp so far ahead that it would win for good."""
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
        """Drops expired ejections and counts of windows that ended long ago, as all replicas do."""
        for key in [k for k, item in self.items.items() if self._is_expired(k, item, now)]:
            self._remove(key)

    # --- contents for peers --------------------------------------------------------------------------------
    def leaf_items(self, branch: int, leaf: int) -> Iterator[tuple[Key, Item]]:
        """The items of a leaf, in the order of their keys."""
        for key in sorted(self.tree[branch][leaf]):
            yield key, self.items[key]

    def branch_items(self, branch: int) -> Iterator[tuple[Key, Item]]:
        """The items of a branch, leaf by leaf."""
        for leaf in range(LEAVES):
            yield from self.leaf_items(branch, leaf)

    def bans_equal(self, hashes: list[bytes]) -> bool:
        """Whether a replica with these branch hashes has the same bans."""
        return hashes[:BAN_BRANCHES] == self.branch_hashes[:BAN_BRANCHES]

    def digest(self) -> str:
        """The hash of the whole replica, in hex."""
        return hash_parts(self.branch_hashes).hex()
