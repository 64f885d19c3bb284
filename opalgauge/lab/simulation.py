"""Discrete-event simulation in virtual time, the base of the simulations that use no sockets."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

EPOCH = datetime(2026, 12, 1, tzinfo=UTC)
TICK_INTERVAL = 0.05  # s between two ticks of a simulated component


class Simulation:
    """A queue of timed callbacks; those due at the same instant run in the order they were scheduled in."""

    def __init__(self, seed: int) -> None:
        self.now, self.rng = 0.0, random.Random(seed)
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def _wall_clock(self, skew: float = 0.0) -> datetime:
        return EPOCH + timedelta(seconds=self.now + skew)

    def _schedule(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (when, self._sequence, callback, args))

    def _run_next(self, until: float) -> bool:
        """Runs the next callback that is due by `until`; returns False if there is none."""
        if not self._queue or self._queue[0][0] > until:
            return False
        self.now, _, callback, args = heapq.heappop(self._queue)
        callback(*args)
        return True
