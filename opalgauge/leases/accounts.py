"""What one ingress keeps of an account, of its counts in each window, and of the other ingresses.

Plain state without decisions. Units are those that requests cost.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from opalgauge.leases.messages import Grant

DEMAND_TIME_CONSTANT = 2.0  # s: the time constant of the mean of what is asked for


@dataclass(slots=True)
class PendingCount:
    """A count that the decisions have asked for and not been told."""

    name: int
    amount: float
    asked_at: datetime


@dataclass(slots=True)
class Window:
    """An account's count in one window. Units; `charged` and `spent` are this ingress's own.

    Where it is `alone`: `before` was used by all when it began to be, `used` here since, `rights` are left.
    """

    account: Account
    number: int
    name: int
    ttl: timedelta
    counter_total: float | None = None  # the counter's, as last heard
    read_at: datetime | None = None
    charged: float = 0.0
    spent: float = 0.0
    detached: bool = False
    used_before_detach: float = 0.0
    used_since_detach: float = 0.0
    rights: float = 0.0
    last_answer: float = 0.0  # what was told last
    # While others are left their parts: their share, and from where on what is seen stands for more.
    reserved_share: float = 0.0
    base_estimate: float = 0.0
    base_seen_total: float = 0.0
    pending_counts: deque[PendingCount] = field(default_factory=deque)
    call_token: int = 0  # of the call that is out
    call_amount: float = 0.0  # what it adds
    reported_usage: float = 0.0  # of what was spent, told as `ReportUse`
    unconfirmed: float = 0.0  # charged by calls since the total was heard: out, or never answered
    granted_to: dict[tuple[int, int], float] = field(default_factory=dict)  # by peer and its life, in all
    received_from: dict[tuple[int, int], float] = field(default_factory=dict)

    def seconds_left(self, now: datetime) -> float:
        """Until it is over."""
        return max(0.0, (self.number + 1) * self.account.window_seconds - now.timestamp())

    def expected_usage(self, now: datetime) -> float:
        """Units that will be asked for here until it is over."""
        return self.account.demand_rate(now) * self.seconds_left(now)

    @property
    def held(self) -> float:
        return self.charged - self.spent

    @property
    def seen_total(self) -> float:
        """What all have spent as far as the counter's total tells, leases of this ingress left out."""
        return max(0.0, (self.counter_total or 0.0) + self.unconfirmed - self.held)


@dataclass(slots=True)
class Account:
    """One account at this ingress. `demand`: units a second that it spent here up to `demand_at`."""

    number: int
    plan_index: int
    first_ingress: int
    ingress_count: int
    limit: float
    window_seconds: float
    windows: dict[int, Window] = field(default_factory=dict)
    demand_per_second: float = 0.0
    demand_at: datetime | None = None
    last_spent_at: datetime | None = None  # when it last spent
    need_until: datetime | None = None

    def demand_rate(self, now: datetime) -> float:
        """Units a second that are asked for here, lately."""
        if self.demand_at is None:
            return 0.0
        return self.demand_per_second * math.exp(
            -(now - self.demand_at).total_seconds() / DEMAND_TIME_CONSTANT
        )

    def record_spending(self, units: float, now: datetime) -> None:
        """Takes units that were asked for into the mean."""
        self.demand_per_second = self.demand_rate(now) + units / DEMAND_TIME_CONSTANT
        self.demand_at = self.last_spent_at = now


@dataclass(slots=True)
class Peer:
    """Another ingress, as its messages tell of it. `life`: larger at each of its starts."""

    incarnation: int = -1
    sequence: int = -1
    without_counter: bool = False
    heard_at: datetime | None = None
    sent_at: datetime | None = None
    pending_grants: list[tuple[Grant, int]] = field(
        default_factory=list
    )  # and how often each is still to be said
