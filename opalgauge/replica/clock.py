"""A hybrid logical clock: Unix time in microseconds, plus one where time has not advanced. No I/O.

A stamp is later than all stamps that its ingress had seen, whatever the ingresses' wall clocks say. Stamps
stay close to the fastest of these clocks.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

UNIX_EPOCH = datetime.fromtimestamp(0, UTC)
MICROSECOND = timedelta(microseconds=1)
MAX_AHEAD = timedelta(hours=1)  # a stamp further ahead is a mistake, and would win over all others


class HybridClock:
    """The clock of one ingress. Stamps are microseconds since the Unix epoch."""

    def __init__(self) -> None:
        self.last = 0

    def next_stamp(self, now: datetime) -> int:
        """Returns a stamp later than all stamps made or observed so far."""
        self.last = max(self.last + 1, (now - UNIX_EPOCH) // MICROSECOND)
        return self.last

    def observe(self, stamp: int, now: datetime) -> bool:
        """Takes in a peer's stamp. Returns False if it is invalid; its item must then be refused."""
        if stamp < 0 or stamp > (now + MAX_AHEAD - UNIX_EPOCH) // MICROSECOND:
            return False
        self.last = max(self.last, stamp)
        return True


def to_datetime(stamp: int) -> datetime:
    """The time of a stamp."""
    return UNIX_EPOCH + stamp * MICROSECOND
