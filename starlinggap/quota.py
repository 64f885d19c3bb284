"""The quota of an account: its windows on the shared counter, and what one gateway knows of them.

The use of a quota is estimated by the weighted two-window count: the current window's total, plus the last
one's weighted by the part of it that still counts. No I/O and no clock; times are seconds, amounts are units.
"""

from __future__ import annotations

import math
from typing import Any

from starlinggap import interface

ASSUMED_USE = 0.5  # of its quota: assumed use of an unknown account; most use less, few use all
TTL_WINDOWS = 3.0  # lifetime of a counter name, in windows: its own, the next, and one to spare
MAX_NAME_TTL = 60.0  # s; the counter keeps no name longer


def counter_name(account: int, window: int) -> int:
    """The counter's name for an account's window: a 64-bit hash (splitmix64), the same on all gateways."""
    x = (account * 0x9E3779B97F4A7C15 + window * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) & (1 << 64) - 1
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & (1 << 64) - 1
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & (1 << 64) - 1
    return x ^ (x >> 31)


def estimate_use(prev: float, current: float, remaining: float) -> float:
    """The weighted two-window count (units); `left` is the fraction of the current window still to come."""
    return prev * remaining + current


def fits(used: float, limit: float, cost: float) -> bool:
    """Whether `cost` fits the rest of the quota. The use is floored first, as the design has it."""
    return cost <= max(0.0, limit - math.floor(used + 1e-9))


class Account:
    """What this gateway knows of one account. Quantities are in units, unless said otherwise."""

    def __init__(
        self,
        request: interface.Request,
        plan: interface.Plan,
        now: float,
        known_for: float,
        slack_unspent: bool = True,
    ) -> None:
        # known_for: s for which this gateway has certainly spent nothing of the account's ceiling.
        # spread: over how many gateways, times the workers of each, the account's requests are spread.
        self.id, self.plan, self.workers = request.account, plan, request.account_workers
        self.spread = max(1, request.account_gateways) * request.account_workers
        # A window lasts as long as the burst takes to refill, or as the counter can keep its names.
        self.window_s = min(plan.burst / plan.rate, MAX_NAME_TTL / TTL_WINDOWS) if plan.rate > 0 else 0.0
        self.limit = min(plan.burst, plan.rate * self.window_s)  # of one window
        self.window = int(now // self.window_s) if self.window_s else 0  # its number since time 0
        # total: of the current window, as last told by the counter. own_units: what this gateway added of it.
        # lost_units: what the counter has lost of it. prev_total: of the last window. uncounted_units: left
        # to the next counter call; below 0: to be taken back. assumed_units: assumed use of other gateways
        # since the last total came.
        self.total = self.own_units = self.lost_units = self.prev_total = self.uncounted_units = (
            self.assumed_units
        ) = 0.0
        # prev_known: an answer told prev_total after that window's end. reading_prev: it is being read.
        self.prev_known = self.reading_prev = False
        self.waiting_requests: list[Any] = []  # requests that wait for the last window's total
        # deficit: units missing from the token bucket; 0: it is full. deficit_stale: it is not based on
        # totals, because the account is new or was not seen for a whole window.
        self.deficit, self.deficit_stale = ASSUMED_USE * self.limit, True
        # Use by other gateways, units a second.
        self.others_rate = ASSUMED_USE * plan.rate * (1 - 1 / self.spread)
        # Requests that totals decided, and those of them that they admitted; both decay.
        self.decision_count = self.admitted_count = 0.0
        self.updated_at = self.seen_at = self.uncounted_since = self.counts_decayed_at = now
        # When the last total came; until when a refusal by a total stands. Minus infinite: none so far.
        self.total_at = self.denied_until = -math.inf
        self.open_attempts = 0
        # What is left of this gateway's part of the ceiling. A ceiling is split evenly, so that no gateway
        # needs to know of another. A new process has its part of the slack, and of what was refilled since
        # its start: the one before it may have spent the rest. The slack is given out once in a process.
        available = plan.ceiling_slack * slack_unspent + plan.ceiling_rate * known_for
        self.headroom = min(plan.ceiling_burst, available) / self.spread

    def likely_prev(self, current: float, remaining: float) -> float:
        """The last window's total if use is steady: by the total so far and the use of others (units)."""
        steady = (current + ASSUMED_USE * self.others_rate * self.window_s) / (1 - remaining + ASSUMED_USE)
        return max(self.prev_total, min(self.limit, steady))

    def advance(self, now: float) -> None:
        """Moves to the window of `now`; the bucket refills by the rate less the assumed use of others."""
        elapsed, self.updated_at = max(0.0, now - self.updated_at), max(now, self.updated_at)
        refill = self.plan.ceiling_rate / self.spread * elapsed
        self.headroom = max(self.headroom, min(self.plan.ceiling_burst / self.spread, self.headroom + refill))
        if not self.window_s:
            return
        window = int(now // self.window_s)
        if window > self.window:
            self.deficit_stale = self.deficit_stale or window > self.window + 1
            self.prev_total = self.total if window == self.window + 1 else 0.0
            self.window, self.prev_known, self.total, self.own_units, self.lost_units = (
                window,
                False,
                0.0,
                0.0,
                0.0,
            )
        self.uncounted_units *= now - self.uncounted_since <= 2 * self.window_s  # older windows count no more
        assumed = min(self.others_rate, self.plan.rate * (1 - 1 / (2 * self.spread))) * elapsed
        self.assumed_units = min(self.plan.burst, self.assumed_units + assumed)
        self.deficit = max(0.0, self.deficit - self.plan.rate * elapsed + assumed)
