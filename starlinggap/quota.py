"""The quota of an account: its windows on the shared counter, and what one gateway knows of them.

The estimate is the weighted two-window count: the present window's total, and the last one's by what is left
of it. No I/O and no clock.
"""

from __future__ import annotations

import math
from typing import Any

from starlinggap import interface

ASSUMED_USE = 0.5  # of its quota: what an account not met yet is thought to use; most use less, few use all
TTL_WINDOWS = 3.0  # a name must outlive its own window and the next, with a window to spare
MAX_NAME_TTL = 60.0  # the counter keeps no name longer (s)


def counter_name(account: int, window: int) -> int:
    """A counter name: the account and window number, scrambled alike on all gateways (splitmix64)."""
    x = (account * 0x9E3779B97F4A7C15 + window * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) & (1 << 64) - 1
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & (1 << 64) - 1
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & (1 << 64) - 1
    return x ^ (x >> 31)


def estimate_use(prev: float, current: float, left: float) -> float:
    """The weighted count: what is left of the last window's share, and all of this one's."""
    return prev * left + current


def fits(used: float, limit: float, cost: float) -> bool:
    """The floored fit test of the design."""
    return cost <= max(0.0, limit - math.floor(used + 1e-9))


class Account:
    """What this gateway knows of one account. `debt` is owed to the counter; below 0 it is owed back."""

    def __init__(self, request: interface.Request, plan: interface.Plan, now: float, uptime: float) -> None:
        self.id, self.plan, self.parts = request.account, plan, request.account_workers
        self.spread = max(1, request.account_gateways) * request.account_workers
        # A window lasts as long as the burst takes to fill, or as long as two names can be kept.
        self.window_s = min(plan.burst / plan.rate, MAX_NAME_TTL / TTL_WINDOWS) if plan.rate > 0 else 0.0
        self.limit, self.beyond_pays = (
            min(plan.burst, plan.rate * self.window_s), plan.over_worth > plan.over_cost)  # fmt: skip
        self.window = int(now // self.window_s) if self.window_s else 0
        self.total = self.own_units = self.lost_units = self.prev_total = (
            self.uncounted) = self.assumed_units = 0.0  # fmt: skip
        self.prev_known = self.reading_prev = False
        self.waiting: list[Any] = []  # requests of the gateway's that wait for the last window's total
        # The told store, as far as it can be followed: units missing from it. Stale: not followed lately.
        self.deficit, self.stale = ASSUMED_USE * self.limit, True
        self.others_rate = ASSUMED_USE * plan.rate * (1 - 1 / self.spread)  # admitted by others, units/s
        self.judged = self.admitted = 0.0  # requests that totals judged, and let in; they fade
        self.updated_at = self.seen_at = self.uncounted_since = self.judged_at = now
        self.total_at = self.denied_until = -math.inf
        self.open_attempts = 0
        # A ceiling is split evenly, so that no gateway needs to know of another. A new life starts with its
        # part of the slack only: an earlier life may just have spent all the rest, which comes back since.
        self.headroom = min(plan.ceiling_burst, plan.ceiling_slack + plan.ceiling_rate * uptime) / self.spread

    def likely_prev(self, current: float, left: float) -> float:
        """The last window's total if use is steady: by this window's so far and what was seen earlier."""
        steady = (current + ASSUMED_USE * self.others_rate * self.window_s) / (1 - left + ASSUMED_USE)
        return max(self.prev_total, min(self.limit, steady))

    def advance(self, now: float) -> None:
        """Moves to the window of `now`; the store fills by what others are thought to leave."""
        dt, self.updated_at = max(0.0, now - self.updated_at), max(now, self.updated_at)
        refill = self.plan.ceiling_rate / self.spread * dt
        self.headroom = max(self.headroom, min(self.plan.ceiling_burst / self.spread, self.headroom + refill))
        if not self.window_s:
            return
        window = int(now // self.window_s)
        if window > self.window:
            self.stale = self.stale or window > self.window + 1
            self.prev_total = self.total if window == self.window + 1 else 0.0
            self.window, self.prev_known, self.total, self.own_units, self.lost_units = (
                window, False, 0.0, 0.0, 0.0)  # fmt: skip
        self.uncounted *= now - self.uncounted_since <= 2 * self.window_s  # older windows count no more
        assumed = min(self.others_rate, self.plan.rate * (1 - 1 / (2 * self.spread))) * dt
        self.assumed_units = min(self.plan.burst, self.assumed_units + assumed)
        self.deficit = max(0.0, self.deficit - self.plan.rate * dt + assumed)
