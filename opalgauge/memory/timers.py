"""The reducer's timers: a queue by time, from which those that no longer apply can be taken out.

No I/O and no clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import datetime
from typing import Any

MIN_CANCELLED = 256  # cancelled timers that are kept in the queue at least before it is rebuilt without them


class Timer:
    """A callback with its arguments; None once it has been called or cancelled."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.args = args


class TimerQueue:
    """Timers by time; those of the same time run in the order in which they were added."""

    def __init__(self) -> None:
        self.heap: list[tuple[datetime, int, Timer]] = []
        self.added = self.cancelled = 0

    def add(self, when: datetime, callback: Callable[..., None], args: tuple[Any, ...]) -> Timer:
        """Adds a timer that is due at `when`."""
        timer = Timer(callback, args)
        self.added += 1
        heapq.heappush(self.heap, (when, self.added, timer))
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer, unless it has been called or cancelled; what it refers to is let go at once."""
        if timer is None or timer.callback is None:
            return
        timer.callback, timer.args = None, ()
        self.cancelled += 1
        if self.cancelled > MIN_CANCELLED and self.cancelled > len(self.heap) // 2:
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def next_due(self) -> datetime | None:
        """When the next timer is due; None: there is none."""
        self._drop_cancelled()
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now: datetime) -> Timer | None:
        """Takes the next timer that is due at `now` out of the queue."""
        self._drop_cancelled()
        return heapq.heappop(self.heap)[2] if self.heap and self.heap[0][0] <= now else None

    def _drop_cancelled(self) -> None:
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
            self.cancelled -= 1
