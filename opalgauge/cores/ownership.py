"""Which worker decides for which trade account, since when, and what part of the account it may spend.

Pure: no I/O, no clock. An account has one owner, found by rendezvous hashing (Thaler and Ravishankar, "Using
Name-Based Mappings to Increase Hit Rates", 1998): each worker gets a weight from the account and its own
number, the greatest owns it, and when a worker goes only its own accounts move. An account that is a large
part of all traffic is split: its first k workers decide for it side by side, each with a k-th of its parts.

Workers hear of a new roster at different times, but within `settle_time`: who lags for longer is replaced.
Nobody spends what another may still be spending:

- a worker that comes to own an account starts with nothing of its ceiling, `settle_time` after it heard
  of it;
- the parts of an account that was split stay small for `settle_time` after the split has ended.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

MAX_CACHED_ACCOUNTS = 65536  # accounts whose owners are remembered
NEVER = datetime.max.replace(tzinfo=UTC)
# By then every ceiling's part has filled, and no roster before counts.
MEMBERSHIP_RETENTION = timedelta(seconds=120)


@dataclass(frozen=True, slots=True)
class Membership:
    """Who decides. `split`: accounts with more than one owner, and how many. `initial`: the ingress's first,
    before which nothing was spent in this life of the ingress."""

    version: int
    members: tuple[int, ...]
    split: Mapping[int, int] = field(default_factory=dict)
    initial: bool = False


def weight(account: int, worker: int) -> int:
    key = account.to_bytes(8, "big") + worker.to_bytes(4, "big")
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")


def owners(account: int, membership: Membership) -> tuple[int, ...]:
    """The workers that decide for an account, the first of them first; empty without members."""
    if not membership.members:
        return ()
    count = membership.split.get(account, 1)
    if count <= 1:
        return (max(membership.members, key=lambda worker: (weight(account, worker), worker)),)
    ranked = sorted(membership.members, key=lambda worker: (weight(account, worker), worker), reverse=True)
    return tuple(ranked[:count])


class AccountOwnership:
    """One worker's view: the roster in force and those that may still be in force elsewhere."""

    def __init__(self, worker: int, settle_time: timedelta) -> None:
        self.worker, self.settle_time = worker, settle_time
        self.history: list[tuple[Membership, datetime]] = []  # each and when it was heard; the newest last
        self.owners_by_account: dict[int, tuple[int, ...]] = {}
        self.owned_since: dict[int, datetime | None] = {}  # by account: owned here since; None: always
        self.recently_split = False
        self.round_robin = 0

    def apply(self, membership: Membership, now: datetime) -> bool:
        """A roster was heard; an older one than the last is passed over."""
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
        return self.history[-1][0] if self.history else Membership(0, ())

    def owners(self, account: int) -> tuple[int, ...]:
        account_owners = self.owners_by_account.get(account)
        if account_owners is None:
            if len(self.owners_by_account) >= MAX_CACHED_ACCOUNTS:
                self.owners_by_account.clear()  # guards the memory against customers that come only once
            account_owners = self.owners_by_account[account] = owners(account, self.membership)
        return account_owners

    def worker_for(self, account: int) -> int:
        """The worker to hand an order to: this one where it can be, else the owners in turn."""
        account_owners = self.owners(account)
        if not account_owners or self.worker in account_owners:
            return self.worker
        self.round_robin += 1
        return account_owners[self.round_robin % len(account_owners)]

    def parts(self, account: int, now: datetime) -> int:
        """Into how many parts the account is split, as far as anybody may still believe it."""
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
        """For how long nobody but this worker and its fellow owners can have spent the account's part.

        None: always, in this life of the ingress. Never below 0.
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
        """When it came to be decided for here, as far as is remembered; None: from the first roster on."""
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
    """What one worker took in lately: requests, and those of its busiest accounts with the most parts that
    their ceilings can be cut into."""

    total: int
    busiest: Sequence[tuple[int, int, int]] = ()


class AccountBalancer:
    """Decides which accounts are split. One worker can bear `1 / workers` of all traffic; an
    account above half of that is split so far that each part is about half of it again."""

    def __init__(self, workers: int, calm_period: timedelta = timedelta(seconds=10)) -> None:
        self.workers, self.calm_period = workers, calm_period
        self.split: dict[int, int] = {}
        self.last_needed: dict[int, datetime] = {}  # when an account last needed as many parts as it has

    def update(self, loads: Mapping[int, WorkerLoad], now: datetime) -> bool:
        """Takes the workers' loads of the last round; whether the split accounts have changed."""
        total = sum(load.total for load in loads.values())
        counts: dict[int, int] = {}
        max_parts: dict[int, int] = {}
        for load in loads.values():
            for account, requests, parts in load.busiest:
                counts[account] = counts.get(account, 0) + requests
                max_parts[account] = min(max_parts.get(account, self.workers), max(1, parts))
        previous = dict(self.split)
        for account, requests in counts.items():
            # Guards against splitting for a handful of requests.
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
