"""Judges the quota decisions of a fleet against token buckets that see every request.

Each account has two buckets, which start full, refill at the plan's rate and hold its burst at most. One is
charged with the requests that the fleet forwarded: a request that it cannot cover was over the quota. The
other decides alone about all requests, as a single instance without delay would: the units that it admits
and the fleet as a whole did not were wrongly refused.

Also generates the requests of such accounts, and the deviation that leases promise not to exceed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AccountPlan:
    """A plan and the accounts that have it.

    `rate` is in units a second. The requests of each account come through `spread` ingresses.
    """

    name: str
    rate: float
    burst: float
    account_count: int
    spread: int

    def quota(self, seconds: float) -> float:
        """Returns the units that an account may use in `seconds` at most."""
        return self.burst + self.rate * seconds


PLANS = (
    AccountPlan("starter", 1.6, 7.0, 24, 2),
    AccountPlan("small", 3.4, 15.0, 12, 3),
    AccountPlan("growth", 10.0, 20.0, 6, 3),
    AccountPlan("large", 26.0, 52.0, 3, 3),
)
# (Share of the accounts, demand as a multiple of the rate of the plan).
USAGE_PATTERNS = ((0.6, 0.35), (0.2, 0.95), (0.2, 2.5))


@dataclass(slots=True)
class AccountUsage:
    """Units of one account: forwarded within its quota, over it, and admitted by an ideal bucket."""

    within_quota: float = 0.0
    over_quota: float = 0.0
    ideal: float = 0.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket with the rate and burst of a plan."""

    plan: AccountPlan
    level: float
    updated_at: float = 0.0

    def take(self, units: float, now: float, consume: bool = True) -> bool:
        """Returns whether it holds these units; takes them if it does and `consume` is set."""
        self.level = min(self.plan.burst, self.level + self.plan.rate * max(0.0, now - self.updated_at))
        self.updated_at = max(self.updated_at, now)
        fits = self.level >= units - 1e-9
        self.level -= units * (fits and consume)
        return fits


@dataclass(slots=True)
class QuotaDecision:
    """One request of an account: forwarded (`sent`) or refused, and when."""

    time: float
    account: int
    units: float
    sent: bool
    ingress: int = -1  # which decided; -1: unknown


def replay(
    decisions: Iterable[QuotaDecision], plans: dict[int, AccountPlan], interval: tuple[float, float]
) -> dict[int, AccountUsage]:
    """Replays decisions on token buckets and returns the usage by account of those in `interval`."""
    buckets: dict[int, tuple[TokenBucket, TokenBucket]] = {}
    usage_by_account: dict[int, AccountUsage] = {}
    for decision in sorted(decisions, key=lambda decision: decision.time):
        plan = plans[decision.account]
        fresh = TokenBucket(plan, plan.burst, decision.time), TokenBucket(plan, plan.burst, decision.time)
        actual, ideal = buckets.setdefault(decision.account, fresh)
        admitted, ideally_admitted = (
            actual.take(decision.units, decision.time, decision.sent),
            ideal.take(decision.units, decision.time),
        )
        if interval[0] <= decision.time < interval[1]:
            usage = usage_by_account.setdefault(decision.account, AccountUsage())
            usage.within_quota += decision.units * (decision.sent and admitted)
            usage.over_quota += decision.units * (decision.sent and not admitted)
            usage.ideal += decision.units * ideally_admitted
    return usage_by_account


@dataclass(slots=True)
class PlanDeviation:
    """How far a plan's accounts were from ideal decisions, in percent.

    `overshoot`: units forwarded over the quota as a share of the quota, of the worst account;
    `mean_overshoot`: the mean over the accounts. `wrongly_refused`: units that an ideal bucket admits and the
    fleet refused, as a share of those that the ideal bucket admits.
    """

    overshoot: float = 0.0
    mean_overshoot: float = 0.0
    wrongly_refused: float = 0.0
    account_count: int = 0


def deviation_by_plan(
    usage_by_account: dict[int, AccountUsage], plans: dict[int, AccountPlan], seconds: float
) -> dict[str, PlanDeviation]:
    """Sums up usage by plan name. `plans`: by account; `seconds`: length of the interval replayed."""
    deviations = {plan.name: PlanDeviation() for plan in plans.values()}
    for name, deviation in deviations.items():
        usages = [
            (plans[account], usage)
            for account, usage in usage_by_account.items()
            if plans[account].name == name
        ]
        deviation.account_count = len(usages)
        overshoots = [100 * usage.over_quota / plan.quota(seconds) for plan, usage in usages]
        ideal = sum(usage.ideal for _, usage in usages)
        deviation.overshoot = max(overshoots, default=0.0)
        deviation.mean_overshoot = sum(overshoots) / max(1, len(overshoots))
        deviation.wrongly_refused = (
            100 * sum(max(0.0, usage.ideal - usage.within_quota) for _, usage in usages) / max(1e-9, ideal)
        )
    return deviations


@dataclass(slots=True)
class Account:
    """An account as a source of load: which ingresses it uses, how unevenly, and how many units a second."""

    number: int
    plan: AccountPlan
    first_ingress: int
    units_per_second: float
    ingress_weights: list[float] = field(default_factory=list)

    def member_ingresses(self, ingress_count: int) -> list[int]:
        """Returns the ingresses that its requests come through, from the first on."""
        return [
            (self.first_ingress + offset) % ingress_count
            for offset in range(min(self.plan.spread, ingress_count))
        ]


class AccountLoad:
    """Seeded requests of all accounts, spread unevenly over the ingresses of each.

    How they are spread is drawn anew every `shift_interval` seconds.
    """

    def __init__(
        self, plans: Iterable[AccountPlan], ingress_count: int, seed: int, shift_interval: float = 6.0
    ) -> None:
        self.rng, self.ingress_count, self.shift_interval = random.Random(seed), ingress_count, shift_interval
        self.accounts: list[Account] = []
        for plan in plans:
            for n in range(plan.account_count):
                position, demand = (n + 0.5) / plan.account_count, USAGE_PATTERNS[-1][1]
                for share, demand in USAGE_PATTERNS:  # noqa: B007
                    if position <= share:
                        break
                    position -= share
                first_ingress = self.rng.randrange(ingress_count)
                number = 1000 + len(self.accounts)
                self.accounts.append(Account(number, plan, first_ingress, demand * plan.rate))
                self.shift_traffic(self.accounts[-1])
        self.plan_by_account = {account.number: account.plan for account in self.accounts}

    def shift_traffic(self, account: Account) -> None:
        """Draws anew how the requests of an account are spread over its ingresses."""
        account.ingress_weights = [
            1 / (rank + 1) for rank in range(len(account.member_ingresses(self.ingress_count)))
        ]
        self.rng.shuffle(account.ingress_weights)

    def requests(
        self, seconds: float, units: tuple[int, ...] = (1, 1, 2)
    ) -> list[tuple[float, int, int, int]]:
        """Returns (time, index in `accounts`, units, ingress) of each request, in order of time."""
        found = []
        mean_units = sum(units) / len(units)
        for index, account in enumerate(self.accounts):
            at, shifted_at = self.rng.expovariate(account.units_per_second / mean_units), 0.0
            while at < seconds:
                if at - shifted_at > self.shift_interval:
                    shifted_at = at
                    self.shift_traffic(account)
                ingress = self.rng.choices(
                    account.member_ingresses(self.ingress_count), account.ingress_weights
                )[0]
                found.append((at, index, self.rng.choice(units), ingress))
                at += self.rng.expovariate(account.units_per_second / mean_units)
        return sorted(found)


@dataclass(frozen=True, slots=True)
class DeviationBound:
    """The greatest deviation that leases allow a plan's accounts, in percent; see `docs/design/leases.md`."""

    overshoot: float
    wrongly_refused: float


def deviation_bound(
    plan: AccountPlan, seconds: float, max_units: float, ingress_count: int
) -> DeviationBound:
    """Returns the bound for `seconds` without the counter. `max_units`: the most that one request costs."""
    spread = min(plan.spread, ingress_count)
    # Each other ingress reports its units one request late, and each ingress rounds its total down once.
    late_units = (spread - 1) * max_units + spread
    # An ingress that had not seen the account before the outage assumes that half of its quota is used.
    unknown_units = 0.5 * plan.burst * (spread - 1) / spread
    # The quota is divided evenly and the load is not: what the busiest ingress asks beyond its part, if its
    # peers grant it nothing.
    weights = [1 / (rank + 1) for rank in range(spread)]
    uneven = weights[0] / sum(weights) - 1 / spread
    quota = plan.quota(seconds)
    return DeviationBound(
        100 * (late_units + unknown_units) / quota, 100 * uneven + 100 * spread * max_units / quota
    )
