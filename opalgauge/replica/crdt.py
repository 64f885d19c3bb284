"""The replicated data types (CRDTs) and their merges. No I/O, no clock.

Each merge is commutative, associative and idempotent: replicas that have seen the same changes are equal, in
whatever order and however often they came. A part of an item is an item of the same type, so `split` can cut
items that are too long for a datagram.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, TypeAlias

Tag: TypeAlias = tuple[int, int]  # an ingress and its stamp: one addition to a set
Source: TypeAlias = tuple[int, int]  # an ingress and its incarnation


@dataclass(frozen=True, slots=True)
class LwwRegister:
    """Last-writer-wins register. At equal stamps the greater value wins: a ban over its lifting."""

    stamp: int = 0
    value: int = 0

    def merge(self, other: LwwRegister) -> LwwRegister:
        """The later of the two."""
        return max(self, other, key=lambda register: (register.stamp, register.value))

    def to_wire(self) -> list[Any]:
        """The register as plain values for a message."""
        return [self.stamp, self.value]

    @staticmethod
    def from_wire(data: Any) -> LwwRegister:
        """Reverses `to_wire`. Raises ValueError or TypeError for invalid data."""
        stamp, value = data
        return LwwRegister(check_int(stamp), check_int(value))

    def split(self, max_rows: int) -> Iterator[LwwRegister]:
        """Yields the register itself, as it is never too long."""
        yield self


@dataclass(frozen=True, slots=True)
class GrowOnlyCounter:
    """Grow-only counter: an amount per ingress and incarnation, as a restarted ingress counts from 0."""

    amounts: dict[Source, int] = field(default_factory=dict)

    def add(self, source: Source, amount: int) -> GrowOnlyCounter:
        """The counter with an amount added for one source."""
        return GrowOnlyCounter({**self.amounts, source: self.amounts.get(source, 0) + amount})

    @property
    def total(self) -> int:
        """The sum over all sources."""
        return sum(self.amounts.values())

    def merge(self, other: GrowOnlyCounter) -> GrowOnlyCounter:
        """The greater amount of each source."""
        merged = dict(self.amounts)
        for source, amount in other.amounts.items():
            merged[source] = max(merged.get(source, 0), amount)
        return GrowOnlyCounter(merged)

    def to_wire(self) -> list[Any]:
        """The counter as plain values for a message."""
        return [[*source, amount] for source, amount in sorted(self.amounts.items())]

    @staticmethod
    def from_wire(data: Any) -> GrowOnlyCounter:
        """Reverses `to_wire`. Raises ValueError or TypeError for invalid data."""
        return GrowOnlyCounter(
            {
                (check_int(ingress), check_int(incarnation)): check_int(amount)
                for ingress, incarnation, amount in data
            }
        )

    def split(self, max_rows: int) -> Iterator[GrowOnlyCounter]:
        """Yields counters of at most so many sources that merge to this one."""
        rows = sorted(self.amounts.items())
        for n in range(0, max(1, len(rows)), max_rows):
            yield GrowOnlyCounter(dict(rows[n : n + max_rows]))


@dataclass(frozen=True, slots=True)
class ObservedRemoveSet:
    """Observed-remove set of tags, each with the stamp at which it expires.

    A removal covers the tags that its ingress had seen, and none that was added meanwhile.
    """

    added: dict[Tag, int] = field(default_factory=dict)
    removed: frozenset[Tag] = frozenset()

    def add(self, tag: Tag, until: int) -> ObservedRemoveSet:
        """The set with a tag added that expires at a stamp."""
        return ObservedRemoveSet({**self.added, tag: until}, self.removed)

    def remove(self, tags: frozenset[Tag]) -> ObservedRemoveSet:
        """The set without these tags. Tags that it does not hold are ignored."""
        return ObservedRemoveSet(self.added, self.removed | (tags & self.added.keys()))

    def active(self, now: int) -> dict[Tag, int]:
        """Tags that are neither removed nor expired at a stamp, with their expiry."""
        return {tag: until for tag, until in self.added.items() if tag not in self.removed and until > now}

    def merge(self, other: ObservedRemoveSet) -> ObservedRemoveSet:
        """The union of additions, each with its later expiry, and the union of removals."""
        merged = dict(self.added)
        for tag, until in other.added.items():
            merged[tag] = max(merged.get(tag, 0), until)
        return ObservedRemoveSet(merged, self.removed | other.removed)

    def to_wire(self) -> list[Any]:
        """The set as plain values for a message."""
        return [[*tag, until, int(tag in self.removed)] for tag, until in sorted(self.added.items())]

    @staticmethod
    def from_wire(data: Any) -> ObservedRemoveSet:
        """Reverses `to_wire`. Raises ValueError or TypeError for invalid data."""
        rows = [
            ((check_int(ingress), check_int(stamp)), check_int(until), check_int(is_removed))
            for ingress, stamp, until, is_removed in data
        ]
        return ObservedRemoveSet(
            {tag: until for tag, until, _ in rows},
            frozenset(tag for tag, _, is_removed in rows if is_removed),
        )

    def split(self, max_rows: int) -> Iterator[ObservedRemoveSet]:
        """Yields sets of at most so many tags that merge to this one."""
        rows = sorted(self.added.items())
        for n in range(0, max(1, len(rows)), max_rows):
            chunk = dict(rows[n : n + max_rows])
            yield ObservedRemoveSet(chunk, self.removed & chunk.keys())


Item: TypeAlias = LwwRegister | GrowOnlyCounter | ObservedRemoveSet


def merge(one: Item, other: Item) -> Item:
    """Merges two items. Raises ValueError if their types differ."""
    if isinstance(one, LwwRegister) and isinstance(other, LwwRegister):
        return one.merge(other)
    if isinstance(one, GrowOnlyCounter) and isinstance(other, GrowOnlyCounter):
        return one.merge(other)
    if isinstance(one, ObservedRemoveSet) and isinstance(other, ObservedRemoveSet):
        return one.merge(other)
    raise ValueError("items of different types")


def check_int(value: Any) -> int:
    """Returns a number from a message. Raises ValueError unless it is an int from 0 to 2**60 - 1."""
    if type(value) is not int or not 0 <= value < 2**60:
        raise ValueError("not a whole number")
    return value
