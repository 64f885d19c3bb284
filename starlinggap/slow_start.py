"""Slow start: which share of its capacity a server that has just started can be given.

The share grows evenly with its age from a least one to all. The age is a span of real time: neither a list
that was written by another clock nor a start that is told late makes a server warm before its time.
"""

from __future__ import annotations

from collections import OrderedDict

from starlinggap.interface import ListKind, ServerEntry, Settings

MOST_STARTS = 10_000  # servers whose last start is remembered


class SlowStart:
    """The starts that one gateway has heard of."""

    def __init__(self, settings: Settings) -> None:
        self.lasts, self.least = settings.slow_start_duration, settings.slow_start_share
        self.starts: OrderedDict[int, float] = OrderedDict()  # as last listed, also of servers that have gone
        self.listed = False  # a list has come in this life; what it began with may be old

    def heard(self, entry: ServerEntry, now: float) -> float:
        """When a server started that is listed from now on under this start; 0: long ago.

        A start that is told while we serve has just happened, however long ago it seems by our clock; one
        that lies ahead is no later than when it was told.
        """
        known = self.starts.get(entry.server)
        self.starts[entry.server] = entry.started
        self.starts.move_to_end(entry.server)
        while len(self.starts) > MOST_STARTS:
            self.starts.popitem(last=False)
        if entry.started <= 0:
            return 0.0
        fresh = self.listed and known != entry.started
        if entry.started > now or fresh and now - entry.started >= self.lasts:
            return now
        return entry.started

    def heard_list(self, kind: ListKind) -> None:
        self.listed = self.listed or kind is not ListKind.CACHED

    def share(self, started: float, now: float) -> float:
        """The least share of its capacity that a server has by now which started then; 1 when warm."""
        age = now - started
        if started <= 0 or age >= self.lasts:
            return 1.0
        return self.least + (1 - self.least) * max(0.0, age) / self.lasts
