"""State that an ingress keeps of each account, of its quota windows, and of its peers.

Plain data without decisions. Amounts are quota units.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from opalgauge.leases.messages import Grant

DEMAND_TIME_CONSTANT = 2.0  # seconds, of the exponential mean of the demand


@dataclass(slots=True)
class PendingCount:
    """A count that the gateway has asked for and that has not been answered."""

    name: int
    amount: float
    asked_at: datetime


@dataclass(slots=True)
class Window:
    """An account's count in one quota window.

    `number` counts windows since the Unix epoch, `name` is the name of the window's counter. `charged` is
    what this ingress has added to the counter, `spent` what its requests have used.

    A window is detached while it is decided without the counter. `used_before_detach` is then the estimated
    use of all ingresses at that moment, `used_since_detach` this ingress's use since, and `rights` the units
    that it may still spend.
    """

    account: Account
    number: int
    name: int
    ttl: timedelta
    counter_total: float | None = None  # the counter's latest answer
    read_at: datetime | None = None  # when it came
    charged: float = 0.0
    spent: float = 0.0
    detached: bool = False
    used_before_detach: float = 0.0
    used_since_detach: float = 0.0
    rights: float = 0.0
    last_answer: float = 0.0  # the total that the gateway was last given
    # The share reserved for peers without the counter. While there is one, use seen beyond `base_seen_total`
    # counts for more on top of `base_estimate`.
    reserved_share: float = 0.0
    base_estimate: float = 0.0
    base_seen_total: float = 0.0
    pending_counts: deque[PendingCount] = field(default_factory=deque)
    call_token: int = 0  # of the counter call in flight; 0: none
    call_amount: float = 0.0  # units that it adds
    reported_usage: float = 0.0  # the part of `spent` that `ReportUsage` actions cover
    unconfirmed: float = 0.0  # units of calls since `counter_total`, in flight or never answered
    # Rights moved in all, by peer and its incarnation.
    granted_to: dict[tuple[int, int], float] = field(default_factory=dict)
    received_from: dict[tuple[int, int], float] = field(default_factory=dict)

    def seconds_left(self, now: datetime) -> float:
        """Seconds until the window ends; 0 once it has."""
        return max(0.0, (self.number + 1) * self.account.window_seconds - now.timestamp())

    def expected_usage(self, now: datetime) -> float:
        """Units that this ingress can expect to spend until the window ends."""
        return self.account.demand_rate(now) * self.seconds_left(now)

    @property
    def held(self) -> float:
        """Units charged and not spent: the lease if positive, owed to the counter if negative."""
        return self.charged - self.spent

    @property
    def seen_total(self) -> float:
        """Units that all ingresses have spent as far as the counter tells, without this ingress's lease."""
        return max(0.0, (self.counter_total or 0.0) + self.unconfirmed - self.held)


@dataclass(slots=True)
class Account:
    """An account as this ingress knows it.

    `limit` is its quota in units per window. `ingress_count` ingresses serve it, from `first_ingress` on.
    `demand_per_second` is the mean demand here, in units, as of `demand_at`.
    """

    number: int
    plan_index: int
    first_ingress: int
    ingress_count: int
    limit: float
    window_seconds: float
    windows: dict[int, Window] = field(default_factory=dict)
    demand_per_second: float = 0.0
    demand_at: datetime | None = None
    last_spent_at: datetime | None = None
    need_until: datetime | None = None  # until then it asks its peers for rights

    def demand_rate(self, now: datetime) -> float:
        """Mean demand at this ingress, in units per second."""
        if self.demand_at is None:
            return 0.0
        return self.demand_per_second * math.exp(
            -(now - self.demand_at).total_seconds() / DEMAND_TIME_CONSTANT
        )

    def record_spending(self, units: float, now: datetime) -> None:
        """Adds spent units to the mean demand."""
        self.demand_per_second = self.demand_rate(now) + units / DEMAND_TIME_CONSTANT
        self.demand_at = self.last_spent_at = now


@dataclass(slots=True)
class Peer:
    """The latest that a peer has said of itself. `incarnation` is larger at each of its starts."""

    incarnation: int = -1
    sequence: int = -1
    without_counter: bool = False
    heard_at: datetime | None = None
    sent_at: datetime | None = None
    # Grants to the peer, each with the number of times that it is still to be sent.
    pending_grants: list[tuple[Grant, int]] = field(default_factory=list)
