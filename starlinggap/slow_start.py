"""Slow start: which share of its capacity a server that has just started can be given.

The share grows evenly with its age from a least one to all. The age is a span of real time: neither a list
that was written by another clock nor a start that is told late makes a server warm before its time.
"""

from __future__ import annotations

from collections import OrderedDict

from starlinggap.interface import ListKind, ServerEntry, Settings

MAX_STARTS = 10_000  # servers whose last start is remembered


class SlowStart:
    """The starts that one gateway has heard of."""

    def __init__(self, settings: Settings) -> None:
        self.duration, self.initial_share = settings.slow_start_duration, settings.slow_start_share
        self.starts: OrderedDict[int, float] = OrderedDict()  # as last listed, also of servers that have gone
        self.list_seen = False  # a list has come in this life; what it began with may be old

    def record(self, entry: ServerEntry, now: float) -> float:
        """When a server started that is listed from now on under this start; 0: long ago.

        A start that is told while we serve has just happened, however long ago it seems by our clock; one
        that lies ahead is no later than when it was told.
        """
        known = self.starts.get(entry.server)
        self.starts[entry.server] = entry.started
        self.starts.move_to_end(entry.server)
        while len(self.starts) > MAX_STARTS:
            self.starts.popitem(last=False)
        if entry.started <= 0:
            return 0.0
        new_start = self.list_seen and known != entry.started
        if entry.started > now or new_start and now - entry.started >= self.duration:
            return now
        return entry.started

    def record_list(self, kind: ListKind) -> None:
        self.list_seen = self.list_seen or kind is not ListKind.CACHED

    def share(self, started_at: float, now: float) -> float:
        """The least share of its capacity that a server has by now which started then; 1 when warm."""
        age = now - started_at
        if started_at <= 0 or age >= self.duration:
            return 1.0
        return self.initial_share + (1 - self.initial_share) * max(0.0, age) / self.duration
