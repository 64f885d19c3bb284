"""The one clock of a process."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta


class Clock:
    """Unix time, read once and then advanced by the monotonic clock: it never jumps."""

    def __init__(self) -> None:
        self.anchor, self.started = datetime.now(UTC), time.monotonic_ns()

    def now(self) -> datetime:
        return self.anchor + timedelta(microseconds=(time.monotonic_ns() - self.started) // 1000)
