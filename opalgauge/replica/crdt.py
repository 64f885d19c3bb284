"""The types of replicated items and how their copies merge. No I/O, no clock.

Each merge is commutative, associative and idempotent, so copies that have seen the same are equal, in
whatever order and however often. A part of an item is an item: `pieces` cuts what is too long for a datagram.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, TypeAlias

Tag: TypeAlias = tuple[int, int]  # an ingress and its stamp: what it said once
Source: TypeAlias = tuple[int, int]  # an ingress and its life


@dataclass(frozen=True, slots=True)
class LwwRegister:
    """The value that was set last. Of two set at one stamp the greater holds: a ban before its lifting."""

    stamp: int = 0
    value: int = 0

    def merge(self, other: LwwRegister) -> LwwRegister:
        return max(self, other, key=lambda register: (register.stamp, register.value))

    def to_wire(self) -> list[Any]:
        return [self.stamp, self.value]

    @staticmethod
    def from_wire(data: Any) -> LwwRegister:
        stamp, value = data
        return LwwRegister(check_int(stamp), check_int(value))

    def split(self, max_rows: int) -> Iterator[LwwRegister]:
        yield self


@dataclass(frozen=True, slots=True)
class GrowOnlyCounter:
    """A count to which each ingress adds its own part, by its life: a new life begins a part of its own."""

    amounts: dict[Source, int] = field(default_factory=dict)

    def add(self, source: Source, amount: int) -> GrowOnlyCounter:
        return GrowOnlyCounter({**self.amounts, source: self.amounts.get(source, 0) + amount})

    @property
    def total(self) -> int:
        return sum(self.amounts.values())

    def merge(self, other: GrowOnlyCounter) -> GrowOnlyCounter:
        merged = dict(self.amounts)
        for source, amount in other.amounts.items():
            merged[source] = max(merged.get(source, 0), amount)
        return GrowOnlyCounter(merged)

    def to_wire(self) -> list[Any]:
        return [[*source, amount] for source, amount in sorted(self.amounts.items())]

    @staticmethod
    def from_wire(data: Any) -> GrowOnlyCounter:
        return GrowOnlyCounter(
            {
                (check_int(ingress), check_int(incarnation)): check_int(amount)
                for ingress, incarnation, amount in data
            }
        )

    def split(self, max_rows: int) -> Iterator[GrowOnlyCounter]:
        rows = sorted(self.amounts.items())
        for n in range(0, max(1, len(rows)), max_rows):
            yield GrowOnlyCounter(dict(rows[n : n + max_rows]))


@dataclass(frozen=True, slots=True)
class ObservedRemoveSet:
    """An observed-remove set of what was said of one thing, each with the stamp at which it ages out.

    A removal takes away what its maker had seen, and nothing that was said meanwhile.
    """

    added: dict[Tag, int] = field(default_factory=dict)
    removed: frozenset[Tag] = frozenset()

    def add(self, tag: Tag, until: int) -> ObservedRemoveSet:
        return ObservedRemoveSet({**self.added, tag: until}, self.removed)

    def remove(self, tags: frozenset[Tag]) -> ObservedRemoveSet:
        return ObservedRemoveSet(self.added, self.removed | (tags & self.added.keys()))

    def active(self, now: int) -> dict[Tag, int]:
        return {tag: until for tag, until in self.added.items() if tag not in self.removed and until > now}

    def merge(self, other: ObservedRemoveSet) -> ObservedRemoveSet:
        merged = dict(self.added)
        for tag, until in other.added.items():
            merged[tag] = max(merged.get(tag, 0), until)
        return ObservedRemoveSet(merged, self.removed | other.removed)

    def to_wire(self) -> list[Any]:
        return [[*tag, until, int(tag in self.removed)] for tag, until in sorted(self.added.items())]

    @staticmethod
    def from_wire(data: Any) -> ObservedRemoveSet:
        rows = [
            ((check_int(ingress), check_int(stamp)), check_int(until), check_int(is_removed))
            for ingress, stamp, until, is_removed in data
        ]
        return ObservedRemoveSet(
            {tag: until for tag, until, _ in rows},
            frozenset(tag for tag, _, is_removed in rows if is_removed),
        )

    def split(self, max_rows: int) -> Iterator[ObservedRemoveSet]:
        rows = sorted(self.added.items())
        for n in range(0, max(1, len(rows)), max_rows):
            chunk = dict(rows[n : n + max_rows])
            yield ObservedRemoveSet(chunk, self.removed & chunk.keys())


Item: TypeAlias = LwwRegister | GrowOnlyCounter | ObservedRemoveSet


def merge(one: Item, other: Item) -> Item:
    """Raises ValueError where they are of different types."""
    if isinstance(one, LwwRegister) and isinstance(other, LwwRegister):
        return one.merge(other)
    if isinstance(one, GrowOnlyCounter) and isinstance(other, GrowOnlyCounter):
        return one.merge(other)
    if isinstance(one, ObservedRemoveSet) and isinstance(other, ObservedRemoveSet):
        return one.merge(other)
    raise ValueError("items of different types")


def check_int(value: Any) -> int:
    """Guards every copy against a figure that is none. Raises ValueError."""
    if type(value) is not int or not 0 <= value < 2**60:
        raise ValueError("not a whole number")
    return value
