"""Failure detector for zones, based on the attempts of one ingress. No I/O, no clock."""

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

OBSERVATION_WINDOW = timedelta(seconds=3)  # older outcomes are dropped
MAX_OUTCOMES = 400  # kept per zone
MIN_FAILURES = 3  # in a row, before a zone counts as failing
REQUIRED_FAILED_SHARE = 2 / 3  # of a zone's servers must be among them: half a zone is no failed zone
MAX_REQUIRED_FAILED = 4  # servers are enough in a large zone, where one ingress takes long to meet more
# A zone is healthy with at most this share of failures, and this many successes last.
HEALTHY_FAILURE_SHARE, HEALTHY_SUCCESSES = 0.3, 2
SLOW_ENTER_RATIO, SLOW_EXIT_RATIO = 2.0, 1.5  # latency relative to the other zones
MIN_LATENCY_SAMPLES, MAX_LATENCY_SAMPLES = 8, 16  # per zone, the newest ones
LATENCY_WINDOW = timedelta(seconds=10)  # long enough to judge a slow zone by the little that it gets
OVERDUE_FACTOR = 4.0  # times the expected latency: an attempt without an end by then counts as failed
MIN_OVERDUE = timedelta(milliseconds=300)
FAILED_ENDS = (End.ERROR, End.RESET, End.TIMEOUT, End.CONNECT_FAILED)


class Opinion(IntEnum):
    """An ingress's opinion of a zone. The numbers are sent to peers."""

    UNSURE = 0
    HEALTHY = 1
    SLOW = 2
    FAILING = 3


@dataclass(slots=True)
class ZoneObservations:
    """Recent attempts in a zone, the newest last.

    `outcomes` holds time, server and success. `latency_ratios` holds time and latency of the successful ones,
    relative to the expected latency of their class.
    """

    outcomes: deque[tuple[datetime, int, bool]] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    latency_ratios: deque[tuple[datetime, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_LATENCY_SAMPLES)
    )
    is_slow: bool = False


class ZoneHealth:
    """Judges zones by this ingress's attempts alone.

    `expected_times` holds the expected latency of each class; it starts with the given values and is learned
    from then on.
    """

    def __init__(self, zones: int, expected_times: Iterable[timedelta]) -> None:
        self.zones = [ZoneObservations() for _ in range(zones)]
        self.expected_times = [u.total_seconds() for u in expected_times]
        # Zone, server, class and start, by attempt.
        self.in_flight: dict[tuple[int, int], tuple[int, int, int, datetime]] = {}

    def begin_attempt(
        self, key: tuple[int, int], zone: int, server: int, class_index: int, now: datetime
    ) -> None:
        """An attempt has begun. Servers outside the configured zones are not watched."""
        if zone < len(self.zones):
            self.in_flight[key] = zone, server, class_index, now

    def end_attempt(self, key: tuple[int, int], end: End, now: datetime, is_trial: bool = False) -> None:
        """An attempt has ended.

        Rejections and cancellations say nothing of the zone and are not counted, unless a cancelled attempt
        was overdue. A successful trial is not counted either: a server may answer trials and fail requests.
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
        """Drops the outcomes of a zone that is being left: they say nothing of its return."""
        self.zones[zone].outcomes.clear()
        self.zones[zone].latency_ratios.clear()

    def drop_attempt(self, key: tuple[int, int]) -> None:
        """An attempt has ended, and its outcome does not count."""
        self.in_flight.pop(key, None)

    def assess(
        self, now: datetime, valid_from: Sequence[datetime], server_counts: Sequence[int]
    ) -> list[Opinion]:
        """Returns the opinion on each zone, in order.

        Attempts that began before a zone's `valid_from` are not overdue. `server_counts` is the number of
        listed servers in each zone.
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
        """Time since the latest outcome in a zone; zero if no recent one is known."""
        outcomes = self.zones[zone].outcomes
        return now - outcomes[-1][0] if outcomes else timedelta(0)

    def failed_servers(self, zone: int) -> list[int]:
        """The servers of the failures since the latest success in a zone, the newest first."""
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
        """A zone's latency over that of the others, so that a slowdown of all makes none of them slow."""
        own_ratio, others = (
            zone_ratios[zone_number],
            [ratio for n, ratio in enumerate(zone_ratios) if n != zone_number and ratio is not None],
        )
        return own_ratio / max(median(others), 0.5) if own_ratio is not None and others else None

    def slowdown(self, zone_number: int) -> float:
        """How many times slower than the other zones a zone answers; 1 if that is not known."""
        return max(
            1.0,
            self._relative_latency(zone_number, [self._median_latency_ratio(zone) for zone in self.zones])
            or 1.0,
        )
