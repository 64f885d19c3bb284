"""Slow start: the share of its capacity that a server can be given after its start.

The share grows linearly with the server's age, from an initial share to 1. The age is elapsed time: neither a
list written by another clock nor a start that is announced late makes a server warm too early.
"""

from __future__ import annotations

from collections import OrderedDict

from starlinggap.interface import ListKind, ServerEntry, Settings

MAX_STARTS = 10_000  # servers whose last start is remembered


class SlowStart:
    """The starts of servers that one gateway knows of, and the share that follows from each."""

    def __init__(self, settings: Settings) -> None:
        self.duration, self.initial_share = settings.slow_start_duration, settings.slow_start_share
        self.starts: OrderedDict[int, float] = OrderedDict()  # as last listed, also of servers that are gone
        self.list_seen = False  # a list has come that is not cached: starts that are new after it are recent

    def record(self, entry: ServerEntry, now: float) -> float:
        """Remembers a listed server's start and returns when it was by this gateway's clock (s); 0: long ago.

        A start that is announced while the gateway serves has just happened, however long ago its clock says.
        One that lies in the future is taken as now.
        """
        known_start = self.starts.get(entry.server)
        self.starts[entry.server] = entry.started
        self.starts.move_to_end(entry.server)
        while len(self.starts) > MAX_STARTS:
            self.starts.popitem(last=False)
        if entry.started <= 0:
            return 0.0
        new_start = self.list_seen and known_start != entry.started
        if entry.started > now or new_start and now - entry.started >= self.duration:
            return now
        return entry.started

    def record_list(self, kind: ListKind) -> None:
        """Notes that a list came: a start that is new from now on is recent, unless it was a cached list."""
        self.list_seen = self.list_seen or kind is not ListKind.CACHED

    def share(self, started_at: float, now: float) -> float:
        """The share of its capacity that a server which started then can be given now; 1 when warm."""
        age = now - started_at
        if started_at <= 0 or age >= self.duration:
            return 1.0
        return self.initial_share + (1 - self.initial_share) * max(0.0, age) / self.duration
