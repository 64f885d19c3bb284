"""Which worker decides for which account, since when, and what part of the account's ceiling it may spend.

Pure: no I/O, no clock. An account has one owner, found by rendezvous hashing (Thaler and Ravishankar, "Using
Name-Based Mappings to Increase Hit Rates", 1998): each worker gets a weight from the account and its own
number, the greatest weight owns it, and when a worker leaves only its own accounts move. An account that
makes up a large part of all traffic is split: its first k workers decide for it concurrently, each with 1/k
of the ceiling.

Workers receive a new membership at different times, but within `settle_time`: a worker that lags for longer
is replaced. No worker spends what another may still be spending:

- a new owner of an account starts with an empty ceiling, `settle_time` after it received the membership;
- the parts of an account that was split stay small for `settle_time` after the split has ended.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

MAX_CACHED_ACCOUNTS = 65536
NEVER = datetime.max.replace(tzinfo=UTC)
# After this time every part of a ceiling has refilled, and older memberships no longer matter.
MEMBERSHIP_RETENTION = timedelta(seconds=120)


@dataclass(frozen=True, slots=True)
class Membership:
    """The workers that serve, as of a version.

    `split` maps the accounts with several owners to their number of owners. `initial` marks the first
    membership of this run of the ingress, before which nothing was spent.
    """

    version: int
    members: tuple[int, ...]
    split: Mapping[int, int] = field(default_factory=dict)
    initial: bool = False


def weight(account: int, worker: int) -> int:
    """The rendezvous weight of a worker for an account."""
    key = account.to_bytes(8, "big") + worker.to_bytes(4, "big")
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")


def owners(account: int, membership: Membership) -> tuple[int, ...]:
    """The workers that decide for an account, by descending weight; empty without members."""
    if not membership.members:
        return ()
    count = membership.split.get(account, 1)
    if count <= 1:
        return (max(membership.members, key=lambda worker: (weight(account, worker), worker)),)
    ranked = sorted(membership.members, key=lambda worker: (weight(account, worker), worker), reverse=True)
    return tuple(ranked[:count])


class AccountOwnership:
    """One worker's view: the current membership, and those that other workers may still act on.

    `settle_time` is the longest time by which workers receive a membership at different times.
    """

    def __init__(self, worker: int, settle_time: timedelta) -> None:
        self.worker, self.settle_time = worker, settle_time
        self.history: list[tuple[Membership, datetime]] = []  # with the time of receipt; the newest last
        self.owners_by_account: dict[int, tuple[int, ...]] = {}
        self.owned_since: dict[int, datetime | None] = {}  # by account; None: since the first membership
        self.recently_split = False
        self.round_robin = 0

    def apply(self, membership: Membership, now: datetime) -> bool:
        """Takes a membership in. Returns False, and ignores it, if it is not newer than the last."""
        if self.history and membership.version <= self.history[-1][0].version:
            return False
        self.history.append((membership, now))
        while len(self.history) > 2 and now - self.history[1][1] > MEMBERSHIP_RETENTION:
            del self.history[0]
        self.owners_by_account.clear()
        self.owned_since.clear()
        self.recently_split = any(past.split for past, _ in self.history)
        return True

    @property
    def membership(self) -> Membership:
        """The newest membership received; version 0 without members before the first."""
        return self.history[-1][0] if self.history else Membership(0, ())

    def owners(self, account: int) -> tuple[int, ...]:
        """The owners of an account by the newest membership."""
        account_owners = self.owners_by_account.get(account)
        if account_owners is None:
            if len(self.owners_by_account) >= MAX_CACHED_ACCOUNTS:
                self.owners_by_account.clear()  # bounds the memory when many accounts come only once
            account_owners = self.owners_by_account[account] = owners(account, self.membership)
        return account_owners

    def worker_for(self, account: int) -> int:
        """The worker that a request goes to: this one if it owns the account, else the owners in turn."""
        account_owners = self.owners(account)
        if not account_owners or self.worker in account_owners:
            return self.worker
        self.round_robin += 1
        return account_owners[self.round_robin % len(account_owners)]

    def split_count(self, account: int, now: datetime) -> int:
        """The largest number of parts into which any worker may still split the account."""
        largest = 1
        if not self.recently_split:
            return largest
        until = now
        for membership, received_at in reversed(self.history):
            if until + self.settle_time < now:
                break
            largest = max(largest, min(membership.split.get(account, 1), max(1, len(membership.members))))
            until = received_at
        return largest

    def exclusive_for(self, account: int, now: datetime) -> timedelta | None:
        """How long no worker but the current owners can have spent from the account's part of the ceiling.

        None: in this whole run of the ingress. Never negative.
        """
        if account in self.owned_since:
            since = self.owned_since[account]
        else:
            if len(self.owned_since) >= MAX_CACHED_ACCOUNTS:
                self.owned_since.clear()
            since = self.owned_since[account] = self._find_owned_since(account)
        if since is None or now - since > MEMBERSHIP_RETENTION + self.settle_time:
            return None
        return max(timedelta(0), now - since - self.settle_time)

    def _find_owned_since(self, account: int) -> datetime | None:
        """When this worker became an owner, as far as the history goes; None: with the first membership."""
        since = NEVER
        for membership, received_at in reversed(self.history):
            if self.worker not in owners(account, membership):
                break
            if membership.initial:
                return None
            since = received_at
        return since


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """The requests that one worker took in during a report interval.

    `busiest` holds (account, requests, maximum number of parts that its ceiling can be split into).
    """

    total: int
    busiest: Sequence[tuple[int, int, int]] = ()


class AccountBalancer:
    """Decides which accounts are split over several workers.

    A worker can carry `1 / workers` of all traffic. An account above half of that is split so far that each
    part is about half of it again. It is joined again when it has not needed its parts for `calm_period`.
    """

    def __init__(self, workers: int, calm_period: timedelta = timedelta(seconds=10)) -> None:
        self.workers, self.calm_period = workers, calm_period
        self.split: dict[int, int] = {}
        self.last_needed: dict[int, datetime] = {}  # when a split account last needed all of its parts

    def update(self, loads: Mapping[int, WorkerLoad], now: datetime) -> bool:
        """Takes in the workers' loads of the last interval. Returns whether the split has changed."""
        total = sum(load.total for load in loads.values())
        counts: dict[int, int] = {}
        max_parts: dict[int, int] = {}
        for load in loads.values():
            for account, requests, parts in load.busiest:
                counts[account] = counts.get(account, 0) + requests
                max_parts[account] = min(max_parts.get(account, self.workers), max(1, parts))
        previous = dict(self.split)
        for account, requests in counts.items():
            # A handful of requests is too few to split an account for.
            share = requests / total if total >= 50 * self.workers else 0.0
            if share <= 1 / (2 * self.workers):
                continue
            parts = min(self.workers, max_parts[account], math.ceil(2 * share * self.workers))
            if parts >= self.split.get(account, 2):
                self.split[account], self.last_needed[account] = parts, now
        for account in list(self.split):
            if now - self.last_needed[account] > self.calm_period:
                del self.split[account], self.last_needed[account]
        return previous != self.split
