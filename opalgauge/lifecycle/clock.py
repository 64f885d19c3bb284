"""The clock that all decisions of a process are based on."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta


class Clock:
    """Unix time that is read once and then advanced by the monotonic clock.

    A step of the wall clock does not affect it.
    """

    def __init__(self) -> None:
        self.start_time, self.start_monotonic = datetime.now(UTC), self.monotonic()

    @staticmethod
    def monotonic() -> timedelta:
        """Returns the monotonic time, which all processes of a machine share and which is never stepped."""
        return timedelta(microseconds=time.monotonic_ns() // 1000)

    def now(self) -> datetime:
        """Returns the current time in UTC."""
        return self.start_time + (self.monotonic() - self.start_monotonic)

    def shift(self, offset: timedelta) -> None:
        """Adds an offset to the clock.

        Allowed only before the first decision is made by this clock: later, time must not run backwards.
        """
        self.start_time += offset
