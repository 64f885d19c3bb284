"""What one ingress sees of each zone by its own attempts. No I/O, no clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import IntEnum
from itertools import takewhile
from statistics import median

from starlinggap.interface import End

SPAN = timedelta(seconds=3)  # what is older says nothing of now
MOST_SEEN = 400  # ends remembered of a zone
FEWEST = 3  # failures in a row, before a zone is said to fail
NODES_SHARE = 2 / 3  # of its nodes have to be among them: half a zone gone is no zone gone
MOST_NODES = 4  # and no more than so many: in a large zone one ingress would not meet them all for long
WELL_SHARE, WELL_ROW = 0.3, 2  # a zone is well with fewer failures than that, and so many good ends last
SLOW_FROM, SLOW_UNTIL = 2.0, 1.5  # times the other zones' time
SLOW_FEWEST, SLOW_MOST = 8, 16  # answers by which its pace is judged, the newest ones
SLOW_SPAN = timedelta(seconds=10)  # and none older: a slow zone gets little, and is still judged by it
OVERDUE = 4.0  # times the usual time of its kind: an attempt still out then counts as failed
OVERDUE_LEAST = timedelta(milliseconds=300)
BAD = (End.ERROR, End.RESET, End.TIMEOUT, End.CONNECT_FAILED)


class Opinion(IntEnum):
    """What an ingress says of a zone; it goes over the wire."""

    UNSURE = 0
    WELL = 1
    SLOW = 2
    FAILING = 3


@dataclass(slots=True)
class Zone:
    """Its ends, the newest last: when, at which node, whether good. Good ones' time over usual."""

    ends: deque[tuple[datetime, int, bool]] = field(default_factory=lambda: deque(maxlen=MOST_SEEN))
    paces: deque[tuple[datetime, float]] = field(default_factory=lambda: deque(maxlen=SLOW_MOST))
    slow: bool = False


class Health:
    """Judges zones by attempts alone. `usual`: the time that an answer of a kind takes, learned (s)."""

    def __init__(self, zones: int, usual: Iterable[timedelta]) -> None:
        self.zones = [Zone() for _ in range(zones)]
        self.usual = [u.total_seconds() for u in usual]
        self.out: dict[tuple[int, int], tuple[int, int, int, datetime]] = {}  # zone, node, kind, since

    def begun(self, key: tuple[int, int], zone: int, node: int, kind: int, now: datetime) -> None:
        if zone < len(self.zones):
            self.out[key] = zone, node, kind, now

    def ended(self, key: tuple[int, int], end: End, now: datetime, trial: bool = False) -> None:
        """An end that says nothing of the zone (turned away, called off) only ends it.

        Nor does a trial's good end: nodes may answer trials and fail at requests.
        """
        zone, node, kind, since = self.out.pop(key, (-1, 0, 0, now))
        if zone < 0:
            return
        took = (now - since).total_seconds()
        if end is End.OK and trial:
            return
        if end is End.OK:
            usual = self.usual[kind]
            self.zones[zone].ends.append((now, node, True))
            self.zones[zone].paces.append((now, took / usual))
            self.usual[kind] += 0.02 * (min(took, 4 * usual) - usual)
        elif end in BAD or end is End.CANCELLED and took > self._overdue(kind):
            self.zones[zone].ends.append((now, node, False))

    def forget(self, zone: int) -> None:
        """What was seen before it was left says nothing of its return."""
        self.zones[zone].ends.clear()
        self.zones[zone].paces.clear()

    def drop(self, key: tuple[int, int]) -> None:
        self.out.pop(key, None)

    def look(self, now: datetime, marks: Sequence[datetime], sizes: Sequence[int]) -> list[Opinion]:
        """The opinion of each zone, in their order. What began before a zone's mark says nothing of it.

        `sizes`: how many nodes are listed in each.
        """
        for zone in self.zones:
            while zone.ends and now - zone.ends[0][0] > SPAN:
                zone.ends.popleft()
            while zone.paces and now - zone.paces[0][0] > SLOW_SPAN:
                zone.paces.popleft()
        pace = [self._pace(zone) for zone in self.zones]
        late: list[list[int]] = [[] for _ in self.zones]
        for zone_number, node, kind, since in self.out.values():
            if since >= marks[zone_number] and (now - since).total_seconds() > self._overdue(kind):
                late[zone_number].append(node)
        return [self._opinion(n, pace, late[n], sizes[n]) for n in range(len(self.zones))]

    def quiet(self, zone: int, now: datetime) -> timedelta:
        """For how long nothing has ended there; none where nothing is known of late."""
        ends = self.zones[zone].ends
        return now - ends[-1][0] if ends else timedelta(0)

    def row(self, zone: int) -> list[int]:
        """The nodes at which it failed since anything there ended well, the newest first."""
        ends = reversed(self.zones[zone].ends)
        return [node for _, node, _ in takewhile(lambda end: not end[2], ends)]

    def _overdue(self, kind: int) -> float:
        return max(OVERDUE_LEAST.total_seconds(), OVERDUE * self.usual[kind])

    def _pace(self, zone: Zone) -> float | None:
        return median(ratio for _, ratio in zone.paces) if len(zone.paces) >= SLOW_FEWEST else None

    def _opinion(self, number: int, pace: list[float | None], late: list[int], size: int) -> Opinion:
        zone = self.zones[number]
        row = [*late, *self.row(number)]
        enough = min(MOST_NODES, math.ceil(NODES_SHARE * size))
        if len(row) >= max(FEWEST, enough) and len(set(row)) >= enough:
            return Opinion.FAILING
        goods = sum(good for _, _, good in zone.ends)
        bad = len(zone.ends) - goods + len(late)
        if (times := self._times(number, pace)) is not None:
            zone.slow = times > (SLOW_UNTIL if zone.slow else SLOW_FROM)
            if zone.slow:
                return Opinion.SLOW
        lately = [good for _, _, good in zone.ends][-WELL_ROW:]
        well = bool(lately) and all(lately) and not late and bad <= WELL_SHARE * (goods + bad)
        return Opinion.WELL if well else Opinion.UNSURE

    @staticmethod
    def _times(number: int, pace: list[float | None]) -> float | None:
        """Its time over the other zones': what makes all of them slower makes none of them a slow zone."""
        mine, others = pace[number], [p for n, p in enumerate(pace) if n != number and p is not None]
        return mine / max(median(others), 0.5) if mine is not None and others else None

    def ratio(self, number: int) -> float:
        """How many times slower than the other zones it answers; 1 where that is not known."""
        return max(1.0, self._times(number, [self._pace(zone) for zone in self.zones]) or 1.0)
