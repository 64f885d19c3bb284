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
class Tariff:
    """`rate` in units a second. `accounts`: how many; `spread`: over how many ingresses each comes."""

    name: str
    rate: float
    burst: float
    accounts: int
    spread: int

    def quota(self, span: float) -> float:
        """What an account may use in `span` seconds at most."""
        return self.burst + self.rate * span


TARIFFS = (
    Tariff("starter", 1.6, 7.0, 24, 2),
    Tariff("small", 3.4, 15.0, 12, 3),
    Tariff("growth", 10.0, 20.0, 6, 3),
    Tariff("large", 26.0, 52.0, 3, 3),
)
# How an account uses its quota: shares of the accounts, and what they ask over its rate.
HABITS = ((0.6, 0.35), (0.2, 0.95), (0.2, 2.5))


@dataclass(slots=True)
class Told:
    """Of one account in the span that is looked at, units: inside, beyond, what an ideal store lets in."""

    inside: float = 0.0
    beyond: float = 0.0
    ideal: float = 0.0


@dataclass(slots=True)
class Store:
    tariff: Tariff
    level: float
    at: float = 0.0

    def take(self, units: float, now: float, wanted: bool = True) -> bool:
        """Whether it holds these units; they are taken where they are `wanted`."""
        self.level = min(self.tariff.burst, self.level + self.tariff.rate * max(0.0, now - self.at))
        self.at = max(self.at, now)
        fits = self.level >= units - 1e-9
        self.level -= units * (fits and wanted)
        return fits


@dataclass(slots=True)
class Verdict:
    when: float
    account: int
    units: float
    sent: bool
    ingress: int = -1  # that decided


def replay(
    verdicts: Iterable[Verdict], tariffs: dict[int, Tariff], span: tuple[float, float]
) -> dict[int, Told]:
    """Plays what was decided on true stores; counts what fell into `span`."""
    stores: dict[int, tuple[Store, Store]] = {}
    told: dict[int, Told] = {}
    for v in sorted(verdicts, key=lambda v: v.when):
        tariff = tariffs[v.account]
        fresh = Store(tariff, tariff.burst, v.when), Store(tariff, tariff.burst, v.when)
        store, ideal = stores.setdefault(v.account, fresh)
        inside, wanted = store.take(v.units, v.when, v.sent), ideal.take(v.units, v.when)
        if span[0] <= v.when < span[1]:
            one = told.setdefault(v.account, Told())
            one.inside += v.units * (v.sent and inside)
            one.beyond += v.units * (v.sent and not inside)
            one.ideal += v.units * wanted
    return told


@dataclass(slots=True)
class Share:
    """Of a tariff, in percent: what was sent on beyond the quotas over these, at its worst account and in
    all, and what an ideal store lets in and the ingresses did not, over the former."""

    overshoot: float = 0.0
    overshoot_all: float = 0.0
    wrong: float = 0.0
    accounts: int = 0


def by_tariff(told: dict[int, Told], tariffs: dict[int, Tariff], span: float) -> dict[str, Share]:
    shares = {t.name: Share() for t in tariffs.values()}
    for name, share in shares.items():
        mine = [(tariffs[k], one) for k, one in told.items() if tariffs[k].name == name]
        share.accounts = len(mine)
        beyond = [100 * one.beyond / t.quota(span) for t, one in mine]
        ideal = sum(one.ideal for _, one in mine)
        share.overshoot = max(beyond, default=0.0)
        share.overshoot_all = sum(beyond) / max(1, len(beyond))
        share.wrong = 100 * sum(max(0.0, one.ideal - one.inside) for _, one in mine) / max(1e-9, ideal)
    return shares


@dataclass(slots=True)
class Customer:
    """An account as its requests come: its ingresses, how unevenly, and what it asks a second (units)."""

    number: int
    tariff: Tariff
    first: int
    asks: float
    weights: list[float] = field(default_factory=list)

    def members(self, ingresses: int) -> list[int]:
        """Those of the ingresses that its requests come through, in their order."""
        return [(self.first + k) % ingresses for k in range(min(self.tariff.spread, ingresses))]


class Load:
    """Requests of all accounts by a seeded plan; whose busiest ingress is changes each `shift` seconds."""

    def __init__(self, tariffs: Iterable[Tariff], ingresses: int, seed: int, shift: float = 6.0) -> None:
        self.rng, self.ingresses, self.shift = random.Random(seed), ingresses, shift
        self.customers: list[Customer] = []
        for tariff in tariffs:
            for n in range(tariff.accounts):
                at, habit = (n + 0.5) / tariff.accounts, HABITS[-1][1]
                for share, habit in HABITS:  # noqa: B007
                    if at <= share:
                        break
                    at -= share
                first = self.rng.randrange(ingresses)
                number = 1000 + len(self.customers)
                self.customers.append(Customer(number, tariff, first, habit * tariff.rate))
                self.turn(self.customers[-1])
        self.tariffs = {c.number: c.tariff for c in self.customers}

    def turn(self, customer: Customer) -> None:
        """Its requests shift to others of its ingresses."""
        customer.weights = [1 / (k + 1) for k in range(len(customer.members(self.ingresses)))]
        self.rng.shuffle(customer.weights)

    def requests(
        self, seconds: float, units: tuple[int, ...] = (1, 1, 2)
    ) -> list[tuple[float, int, int, int]]:
        """When, account's place in `customers`, units, and the ingress."""
        found = []
        mean = sum(units) / len(units)
        for place, customer in enumerate(self.customers):
            at, turned = self.rng.expovariate(customer.asks / mean), 0.0
            while at < seconds:
                if at - turned > self.shift:
                    turned = at
                    self.turn(customer)
                me = self.rng.choices(customer.members(self.ingresses), customer.weights)[0]
                found.append((at, place, self.rng.choice(units), me))
                at += self.rng.expovariate(customer.asks / mean)
        return sorted(found)


@dataclass(frozen=True, slots=True)
class Bound:
    """What leases promise of a tariff's accounts in `span` seconds without the counter, in percent.

    The terms are those of `docs/design/leases.md`.
    """

    overshoot: float
    wrong: float


def bound(tariff: Tariff, span: float, most_units: float, ingresses: int) -> Bound:
    spread = min(tariff.spread, ingresses)
    # What stands for others is told one request late, and totals are floored, at each ingress once.
    late = (spread - 1) * most_units + spread
    # Who had not met the account before the cut takes it to have used half of its quota.
    unknown = 0.5 * tariff.burst * (spread - 1) / spread
    # Rights are even and use is not: what the busiest ingress asks over its part, if nothing is granted.
    weights = [1 / (k + 1) for k in range(spread)]
    uneven = weights[0] / sum(weights) - 1 / spread
    quota = tariff.quota(span)
    return Bound(100 * (late + unknown) / quota, 100 * uneven + 100 * spread * most_units / quota)
