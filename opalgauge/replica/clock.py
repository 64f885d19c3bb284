"""A hybrid logical clock: microseconds of Unix time, and one more where time has not moved. No I/O.

A stamp is later than all that its maker had seen, whatever the clocks of the ingresses say, and near the time
of the fastest of them.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

UNIX_EPOCH = datetime.fromtimestamp(0, UTC)
MICROSECOND = timedelta(microseconds=1)
MAX_AHEAD = timedelta(hours=1)  # a stamp that is further ahead is a mistake, and would outlast all others


class HybridClock:
    """One ingress's. Stamps are microseconds since 1970."""

    def __init__(self) -> None:
        self.last = 0

    def next_stamp(self, now: datetime) -> int:
        self.last = max(self.last + 1, (now - UNIX_EPOCH) // MICROSECOND)
        return self.last

    def observe(self, stamp: int, now: datetime) -> bool:
        """Takes a stamp of another's; False: it cannot be meant, and nothing is to be made of it."""
        if stamp < 0 or stamp > (now + MAX_AHEAD - UNIX_EPOCH) // MICROSECOND:
            return False
        self.last = max(self.last, stamp)
        return True


def to_datetime(stamp: int) -> datetime:
    return UNIX_EPOCH + stamp * MICROSECOND
