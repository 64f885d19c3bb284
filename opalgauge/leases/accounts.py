"""What one ingress keeps of an account, of its counts in each window, and of the other ingresses.

Plain state without decisions. Units are those that requests cost.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from opalgauge.leases.messages import Grant

DEMAND_SPAN = 2.0  # s: the time constant of the mean of what is asked for


@dataclass(slots=True)
class Ask:
    """A count that the decisions have asked for and not been told."""

    name: int
    amount: float
    at: datetime


@dataclass(slots=True)
class Window:
    """An account's count in one window. Units; `charged` and `spent` are this ingress's own.

    Where it is `alone`: `before` was used by all when it began to be, `used` here since, `rights` are left.
    """

    account: Account
    number: int
    name: int
    life: timedelta
    total: float | None = None  # the counter's, as last heard
    fresh: datetime | None = None
    charged: float = 0.0
    spent: float = 0.0
    alone: bool = False
    before: float = 0.0
    used: float = 0.0
    rights: float = 0.0
    last: float = 0.0  # what was told last
    # While others are left their parts: their share, and from where on what is seen stands for more.
    kept: float = 0.0
    base_told: float = 0.0
    base_seen: float = 0.0
    asks: deque[Ask] = field(default_factory=deque)
    token: int = 0  # of the call that is out
    out: float = 0.0  # what it adds
    reported: float = 0.0  # of what was spent, told as `ReportUse`
    pending: float = 0.0  # charged by calls since the total was heard: out, or never answered
    granted: dict[tuple[int, int], float] = field(default_factory=dict)  # by peer and its life, in all
    received: dict[tuple[int, int], float] = field(default_factory=dict)

    def seconds_left(self, now: datetime) -> float:
        """Until it is over."""
        return max(0.0, (self.number + 1) * self.account.length - now.timestamp())

    def expected_use(self, now: datetime) -> float:
        """Units that will be asked for here until it is over."""
        return self.account.demand_rate(now) * self.seconds_left(now)

    @property
    def held(self) -> float:
        return self.charged - self.spent

    @property
    def seen(self) -> float:
        """What all have spent as far as the counter's total tells, leases of this ingress left out."""
        return max(0.0, (self.total or 0.0) + self.pending - self.held)


@dataclass(slots=True)
class Account:
    """One account at this ingress. `demand`: units a second that it spent here up to `demand_at`."""

    number: int
    tariff: int
    first: int
    spread: int
    limit: float
    length: float
    windows: dict[int, Window] = field(default_factory=dict)
    demand: float = 0.0
    demand_at: datetime | None = None
    last: datetime | None = None  # when it last spent
    need_until: datetime | None = None

    def demand_rate(self, now: datetime) -> float:
        """Units a second that are asked for here, lately."""
        if self.demand_at is None:
            return 0.0
        return self.demand * math.exp(-(now - self.demand_at).total_seconds() / DEMAND_SPAN)

    def spend(self, units: float, now: datetime) -> None:
        """Takes units that were asked for into the mean."""
        self.demand = self.demand_rate(now) + units / DEMAND_SPAN
        self.demand_at = self.last = now


@dataclass(slots=True)
class Peer:
    """Another ingress, as its messages tell of it. `life`: larger at each of its starts."""

    life: int = -1
    number: int = -1
    down: bool = False
    heard: datetime | None = None
    said: datetime | None = None
    grants: list[tuple[Grant, int]] = field(default_factory=list)  # and how often each is still to be said
