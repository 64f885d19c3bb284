"""How the processes of one ingress divide a limit that holds for all of them together. No I/O, no clock.

A process that is alone leaves room for a second one to start and to serve beside it, as the second one has
taken most of its memory before it can tell anybody. While there are several, each has an equal part, but no
more than the others leave: what a process holds beyond its part stays its own until it has given it back.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Holding:
    """The most that a process holds from now on."""

    memory: int = 0  # bytes of anonymous memory
    sockets: int = 0  # descriptors


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """A limit on all processes together."""

    total: int
    idle: int  # what a process takes that serves nobody
    successor_divisor: int  # says which part of what is beside two such processes is left to a second one

    @property
    def beside_two(self) -> int:
        """What is left beside two processes that serve nobody; below 0 if they do not fit."""
        return self.total - 2 * self.idle

    def part(self, others: Sequence[int]) -> int:
        """What this process may take, beside processes that hold so much."""
        if not others:
            return self.total - self.idle - self.beside_two // self.successor_divisor
        return min(self.total // (len(others) + 1), self.total - sum(others))
