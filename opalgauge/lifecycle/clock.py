"""The one clock of a process."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta


class Clock:
    """Unix time, read once and then advanced by the monotonic clock: no step of the wall clock moves it."""

    def __init__(self) -> None:
        self.start_time, self.start_monotonic = datetime.now(UTC), self.monotonic()

    @staticmethod
    def monotonic() -> timedelta:
        """The machine's monotonic clock: the same for all of its processes, and never stepped."""
        return timedelta(microseconds=time.monotonic_ns() // 1000)

    def now(self) -> datetime:
        return self.start_time + (self.monotonic() - self.start_monotonic)

    def shift(self, offset: timedelta) -> None:
        """Moves the clock. Only before anything was decided by it: time must not run back."""
        self.start_time += offset
