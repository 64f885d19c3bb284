"""True stores of trade accounts, by which it is told what was let in beyond a quota and refused within it.

A store starts full, fills at its tariff's rate and holds its burst at most; what is sent on takes its units
if the store holds them, and is beyond the quota if not. An ideal store decides about the same requests, alone
and at once: what it lets in, and the ingresses did not in all, was wrongly refused.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AccountPlan:
    """`rate` in units a second. `accounts`: how many; `spread`: over how many ingresses each comes."""

    name: str
    rate: float
    burst: float
    account_count: int
    spread: int

    def quota(self, seconds: float) -> float:
        """What an account may use in `span` seconds at most."""
        return self.burst + self.rate * seconds


PLANS = (
    AccountPlan("starter", 1.6, 7.0, 24, 2),
    AccountPlan("small", 3.4, 15.0, 12, 3),
    AccountPlan("growth", 10.0, 20.0, 6, 3),
    AccountPlan("large", 26.0, 52.0, 3, 3),
)
# How an account uses its quota: shares of the accounts, and what they ask over its rate.
USAGE_PATTERNS = ((0.6, 0.35), (0.2, 0.95), (0.2, 2.5))


@dataclass(slots=True)
class AccountUsage:
    """Of one account in the span that is looked at, units: inside, beyond, what an ideal store lets in."""

    within_quota: float = 0.0
    over_quota: float = 0.0
    ideal: float = 0.0


@dataclass(slots=True)
class TokenBucket:
    plan: AccountPlan
    level: float
    updated_at: float = 0.0

    def take(self, units: float, now: float, consume: bool = True) -> bool:
        """Whether it holds these units; they are taken where they are `wanted`."""
        self.level = min(self.plan.burst, self.level + self.plan.rate * max(0.0, now - self.updated_at))
        self.updated_at = max(self.updated_at, now)
        fits = self.level >= units - 1e-9
        self.level -= units * (fits and consume)
        return fits


@dataclass(slots=True)
class QuotaDecision:
    time: float
    account: int
    units: float
    sent: bool
    ingress: int = -1  # that decided


def replay(
    decisions: Iterable[QuotaDecision], plans: dict[int, AccountPlan], interval: tuple[float, float]
) -> dict[int, AccountUsage]:
    """Plays what was decided on true stores; counts what fell into `span`."""
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
    """Of a tariff, in percent: what was sent on beyond the quotas over these, at its worst account and in
    all, and what an ideal store lets in and the ingresses did not, over the former."""

    overshoot: float = 0.0
    mean_overshoot: float = 0.0
    wrongly_refused: float = 0.0
    account_count: int = 0


def deviation_by_plan(
    usage_by_account: dict[int, AccountUsage], plans: dict[int, AccountPlan], seconds: float
) -> dict[str, PlanDeviation]:
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
    """An account as its requests come: its ingresses, how unevenly, and what it asks a second (units)."""

    number: int
    plan: AccountPlan
    first_ingress: int
    units_per_second: float
    ingress_weights: list[float] = field(default_factory=list)

    def member_ingresses(self, ingress_count: int) -> list[int]:
        """Those of the ingresses that its requests come through, in their order."""
        return [
            (self.first_ingress + offset) % ingress_count
            for offset in range(min(self.plan.spread, ingress_count))
        ]


class AccountLoad:
    """Requests of all accounts by a seeded plan; whose busiest ingress is changes each `shift` seconds."""

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
        """Its requests shift to others of its ingresses."""
        account.ingress_weights = [
            1 / (rank + 1) for rank in range(len(account.member_ingresses(self.ingress_count)))
        ]
        self.rng.shuffle(account.ingress_weights)

    def requests(
        self, seconds: float, units: tuple[int, ...] = (1, 1, 2)
    ) -> list[tuple[float, int, int, int]]:
        """When, account's place in `customers`, units, and the ingress."""
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
    """What leases promise of a tariff's accounts in `span` seconds without the counter, in percent.

    The terms are those of `docs/design/leases.md`.
    """

    overshoot: float
    wrongly_refused: float


def deviation_bound(
    plan: AccountPlan, seconds: float, max_units: float, ingress_count: int
) -> DeviationBound:
    spread = min(plan.spread, ingress_count)
    # What stands for others is told one request late, and totals are floored, at each ingress once.
    late_units = (spread - 1) * max_units + spread
    # Who had not met the account before the cut takes it to have used half of its quota.
    unknown_units = 0.5 * plan.burst * (spread - 1) / spread
    # Rights are even and use is not: what the busiest ingress asks over its part, if nothing is granted.
    weights = [1 / (rank + 1) for rank in range(spread)]
    uneven = weights[0] / sum(weights) - 1 / spread
    quota = plan.quota(seconds)
    return DeviationBound(
        100 * (late_units + unknown_units) / quota, 100 * uneven + 100 * spread * max_units / quota
    )
