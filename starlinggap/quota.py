"""The quota of an account: its windows on the shared counter, and what one gateway knows of them.

The estimate is the weighted two-window count: the present window's total, and the last one's by what is left
of it. No I/O and no clock.
"""

from __future__ import annotations

import math
from typing import Any

from starlinggap import interface as i

UNKNOWN = 0.5  # of its quota: what an account not met yet is thought to use; most use less, few use all
TTL_WINDOWS = 3.0  # a name must outlive its own window and the next, with a window to spare
LONGEST_NAME = 60.0  # the counter keeps no name longer (s)


def counter_name(account: int, window: int) -> int:
    """A counter name: the account and window number, scrambled alike on all gateways (splitmix64)."""
    x = (account * 0x9E3779B97F4A7C15 + window * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) & (1 << 64) - 1
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & (1 << 64) - 1
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & (1 << 64) - 1
    return x ^ (x >> 31)


def estimate(prev: float, current: float, left: float) -> float:
    """The weighted count: what is left of the last window's share, and all of this one's."""
    return prev * left + current


def fits(used: float, limit: float, cost: float) -> bool:
    """The floored fit test of the design."""
    return cost <= max(0.0, limit - math.floor(used + 1e-9))


class Account:
    """What this gateway knows of one account. `debt` is owed to the counter; below 0 it is owed back."""

    def __init__(self, request: i.Request, plan: i.Plan, now: float, alive: float) -> None:
        self.id, self.plan, self.parts = request.account, plan, request.account_workers
        self.spread = max(1, request.account_gateways) * request.account_workers
        # A window lasts as long as the burst takes to fill, or as long as two names can be kept.
        self.length = min(plan.burst / plan.rate, LONGEST_NAME / TTL_WINDOWS) if plan.rate > 0 else 0.0
        self.limit, self.charged = min(plan.burst, plan.rate * self.length), plan.over_worth > plan.over_cost
        self.window = int(now // self.length) if self.length else 0
        self.total = self.own = self.lost = self.prev = self.debt = self.withheld = 0.0
        self.prev_known = self.reading = False
        self.waiting: list[Any] = []  # requests of the gateway's that wait for the last window's total
        # The told store, as far as it can be followed: units missing from it. Stale: not followed lately.
        self.deficit, self.stale = UNKNOWN * self.limit, True
        self.others = UNKNOWN * plan.rate * (1 - 1 / self.spread)  # what others admit, units a second
        self.asked = self.let_in = 0.0  # requests that totals judged, and let in; they fade
        self.at = self.seen = self.debt_at = self.heard = now
        self.told = self.denied = -math.inf
        self.open = 0
        # A ceiling is split evenly, so that no gateway needs to know of another. A new life starts with its
        # part of the slack only: an earlier life may just have spent all the rest, which comes back since.
        self.room = min(plan.ceiling_burst, plan.ceiling_slack + plan.ceiling_rate * alive) / self.spread

    def likely_prev(self, current: float, left: float) -> float:
        """The last window's total if use is steady: by this window's so far and what was seen earlier."""
        steady = (current + UNKNOWN * self.others * self.length) / (1 - left + UNKNOWN)
        return max(self.prev, min(self.limit, steady))

    def turn(self, now: float) -> None:
        """Moves to the window of `now`; the store fills by what others are thought to leave."""
        dt, self.at = max(0.0, now - self.at), max(now, self.at)
        part = self.plan.ceiling_rate / self.spread * dt
        self.room = max(self.room, min(self.plan.ceiling_burst / self.spread, self.room + part))
        if not self.length:
            return
        window = int(now // self.length)
        if window > self.window:
            self.stale = self.stale or window > self.window + 1
            self.prev = self.total if window == self.window + 1 else 0.0
            self.window, self.prev_known, self.total, self.own, self.lost = window, False, 0.0, 0.0, 0.0
        self.debt *= now - self.debt_at <= 2 * self.length  # not what is of windows that count no more
        hold = min(self.others, self.plan.rate * (1 - 1 / (2 * self.spread))) * dt
        self.withheld = min(self.plan.burst, self.withheld + hold)
        self.deficit = max(0.0, self.deficit - self.plan.rate * dt + hold)
