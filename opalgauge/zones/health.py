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

OBSERVATION_WINDOW = timedelta(seconds=3)  # what is older says nothing of now
MAX_OUTCOMES = 400  # ends remembered of a zone
MIN_FAILURES = 3  # failures in a row, before a zone is said to fail
REQUIRED_FAILED_SHARE = 2 / 3  # of its nodes have to be among them: half a zone gone is no zone gone
MAX_REQUIRED_FAILED = (
    4  # and no more than so many: in a large zone one ingress would not meet them all for long
)
HEALTHY_FAILURE_SHARE, HEALTHY_SUCCESSES = (
    0.3,
    2,
)  # a zone is well with fewer failures than that, and so many good ends last
SLOW_ENTER_RATIO, SLOW_EXIT_RATIO = 2.0, 1.5  # times the other zones' time
MIN_LATENCY_SAMPLES, MAX_LATENCY_SAMPLES = 8, 16  # answers by which its pace is judged, the newest ones
LATENCY_WINDOW = timedelta(seconds=10)  # and none older: a slow zone gets little, and is still judged by it
OVERDUE_FACTOR = 4.0  # times the usual time of its kind: an attempt still out then counts as failed
MIN_OVERDUE = timedelta(milliseconds=300)
FAILED_ENDS = (End.ERROR, End.RESET, End.TIMEOUT, End.CONNECT_FAILED)


class Opinion(IntEnum):
    """What an ingress says of a zone; it goes over the wire."""

    UNSURE = 0
    HEALTHY = 1
    SLOW = 2
    FAILING = 3


@dataclass(slots=True)
class ZoneObservations:
    """Its ends, the newest last: when, at which node, whether good. Good ones' time over usual."""

    outcomes: deque[tuple[datetime, int, bool]] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    latency_ratios: deque[tuple[datetime, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_LATENCY_SAMPLES)
    )
    is_slow: bool = False


class ZoneHealth:
    """Judges zones by attempts alone. `usual`: the time that an answer of a kind takes, learned (s)."""

    def __init__(self, zones: int, expected_times: Iterable[timedelta]) -> None:
        self.zones = [ZoneObservations() for _ in range(zones)]
        self.expected_times = [u.total_seconds() for u in expected_times]
        self.in_flight: dict[tuple[int, int], tuple[int, int, int, datetime]] = {}  # zone, node, kind, since

    def begin_attempt(
        self, key: tuple[int, int], zone: int, server: int, class_index: int, now: datetime
    ) -> None:
        if zone < len(self.zones):
            self.in_flight[key] = zone, server, class_index, now

    def end_attempt(self, key: tuple[int, int], end: End, now: datetime, is_trial: bool = False) -> None:
        """An end that says nothing of the zone (turned away, called off) only ends it.

        Nor does a trial's good end: nodes may answer trials and fail at requests.
        """
        zone, server, class_index, since = self.in_flight.pop(key, (-1, 0, 0, now))
        if zone < 0:
            return
        duration = (now - since).total_seconds()
        if end is End.OK and is_trial:
            return
        if end is End.OK:
            expected_time = self.expected_times[class_index]
            self.zones[zone].outcomes.append((now, server, True))
            self.zones[zone].latency_ratios.append((now, duration / expected_time))
            self.expected_times[class_index] += 0.02 * (min(duration, 4 * expected_time) - expected_time)
        elif end in FAILED_ENDS or end is End.CANCELLED and duration > self._overdue_after(class_index):
            self.zones[zone].outcomes.append((now, server, False))

    def forget_zone(self, zone: int) -> None:
        """What was seen before it was left says nothing of its return."""
        self.zones[zone].outcomes.clear()
        self.zones[zone].latency_ratios.clear()

    def drop_attempt(self, key: tuple[int, int]) -> None:
        self.in_flight.pop(key, None)

    def assess(
        self, now: datetime, valid_from: Sequence[datetime], server_counts: Sequence[int]
    ) -> list[Opinion]:
        """The opinion of each zone, in their order. What began before a zone's mark says nothing of it.

        `sizes`: how many nodes are listed in each.
        """
        for zone in self.zones:
            while zone.outcomes and now - zone.outcomes[0][0] > OBSERVATION_WINDOW:
                zone.outcomes.popleft()
            while zone.latency_ratios and now - zone.latency_ratios[0][0] > LATENCY_WINDOW:
                zone.latency_ratios.popleft()
        zone_ratios = [self._median_latency_ratio(zone) for zone in self.zones]
        overdue: list[list[int]] = [[] for _ in self.zones]
        for zone_number, server, class_index, since in self.in_flight.values():
            if since >= valid_from[zone_number] and (now - since).total_seconds() > self._overdue_after(
                class_index
            ):
                overdue[zone_number].append(server)
        return [self._judge(n, zone_ratios, overdue[n], server_counts[n]) for n in range(len(self.zones))]

    def quiet_for(self, zone: int, now: datetime) -> timedelta:
        """For how long nothing has ended there; none where nothing is known of late."""
        outcomes = self.zones[zone].outcomes
        return now - outcomes[-1][0] if outcomes else timedelta(0)

    def failed_servers(self, zone: int) -> list[int]:
        """The nodes at which it failed since anything there ended well, the newest first."""
        outcomes = reversed(self.zones[zone].outcomes)
        return [server for _, server, _ in takewhile(lambda outcome: not outcome[2], outcomes)]

    def _overdue_after(self, class_index: int) -> float:
        return max(MIN_OVERDUE.total_seconds(), OVERDUE_FACTOR * self.expected_times[class_index])

    def _median_latency_ratio(self, zone: ZoneObservations) -> float | None:
        return (
            median(ratio for _, ratio in zone.latency_ratios)
            if len(zone.latency_ratios) >= MIN_LATENCY_SAMPLES
            else None
        )

    def _judge(
        self, zone_number: int, zone_ratios: list[float | None], overdue: list[int], server_count: int
    ) -> Opinion:
        zone = self.zones[zone_number]
        failed_servers = [*overdue, *self.failed_servers(zone_number)]
        required = min(MAX_REQUIRED_FAILED, math.ceil(REQUIRED_FAILED_SHARE * server_count))
        if len(failed_servers) >= max(MIN_FAILURES, required) and len(set(failed_servers)) >= required:
            return Opinion.FAILING
        successes = sum(succeeded for _, _, succeeded in zone.outcomes)
        failures = len(zone.outcomes) - successes + len(overdue)
        if (relative_latency := self._relative_latency(zone_number, zone_ratios)) is not None:
            zone.is_slow = relative_latency > (SLOW_EXIT_RATIO if zone.is_slow else SLOW_ENTER_RATIO)
            if zone.is_slow:
                return Opinion.SLOW
        recent = [succeeded for _, _, succeeded in zone.outcomes][-HEALTHY_SUCCESSES:]
        is_healthy = (
            bool(recent)
            and all(recent)
            and not overdue
            and failures <= HEALTHY_FAILURE_SHARE * (successes + failures)
        )
        return Opinion.HEALTHY if is_healthy else Opinion.UNSURE

    @staticmethod
    def _relative_latency(zone_number: int, zone_ratios: list[float | None]) -> float | None:
        """Its time over the other zones': what makes all of them slower makes none of them a slow zone."""
        own_ratio, others = (
            zone_ratios[zone_number],
            [ratio for n, ratio in enumerate(zone_ratios) if n != zone_number and ratio is not None],
        )
        return own_ratio / max(median(others), 0.5) if own_ratio is not None and others else None

    def slowdown(self, zone_number: int) -> float:
        """How many times slower than the other zones it answers; 1 where that is not known."""
        return max(
            1.0,
            self._relative_latency(zone_number, [self._median_latency_ratio(zone) for zone in self.zones])
            or 1.0,
        )
