"""Which worker decides for which trade account, since when, and what part of the account it may spend.

Pure: no I/O, no clock. An account has one owner, found by rendezvous hashing (Thaler and Ravishankar, "Using
Name-Based Mappings to Increase Hit Rates", 1998): each worker gets a weight from the account and its own
number, the greatest owns it, and when a worker goes only its own accounts move. An account that is a large
part of all traffic is split: its first k workers decide for it side by side, each with a k-th of its parts.

Workers hear of a new roster at different times, but within `settle`: who lags for longer is replaced. Nobody
spends what another may still be spending:

- a worker that comes to own an account starts with nothing of its ceiling, `settle` after it heard of it;
- the parts of an account that was split stay small for `settle` after the split has ended.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

MOST_KEPT = 65536  # accounts whose owners are remembered
NEVER = datetime.max.replace(tzinfo=UTC)
REMEMBERED = timedelta(seconds=120)  # by then every ceiling's part has filled, and no roster before counts


@dataclass(frozen=True, slots=True)
class Roster:
    """Who decides. `split`: accounts with more than one owner, and how many. `fresh`: the ingress's first,
    before which nothing was spent in this life of the ingress."""

    version: int
    members: tuple[int, ...]
    split: Mapping[int, int] = field(default_factory=dict)
    fresh: bool = False


def weight(account: int, worker: int) -> int:
    told = account.to_bytes(8, "big") + worker.to_bytes(4, "big")
    return int.from_bytes(hashlib.blake2b(told, digest_size=8).digest(), "big")


def owners(account: int, roster: Roster) -> tuple[int, ...]:
    """The workers that decide for an account, the first of them first; empty without members."""
    if not roster.members:
        return ()
    many = roster.split.get(account, 1)
    if many <= 1:
        return (max(roster.members, key=lambda w: (weight(account, w), w)),)
    ranked = sorted(roster.members, key=lambda w: (weight(account, w), w), reverse=True)
    return tuple(ranked[:many])


class Shares:
    """One worker's view: the roster in force and those that may still be in force elsewhere."""

    def __init__(self, me: int, settle: timedelta) -> None:
        self.me, self.settle = me, settle
        self.past: list[tuple[Roster, datetime]] = []  # each and when it was heard; the newest last
        self.cache: dict[int, tuple[int, ...]] = {}
        self.since: dict[int, datetime | None] = {}  # by account: owned here since; None: always
        self.split_lately = False
        self.turn = 0

    def take(self, roster: Roster, now: datetime) -> bool:
        """A roster was heard; an older one than the last is passed over."""
        if self.past and roster.version <= self.past[-1][0].version:
            return False
        self.past.append((roster, now))
        while len(self.past) > 2 and now - self.past[1][1] > REMEMBERED:
            del self.past[0]
        self.cache.clear()
        self.since.clear()
        self.split_lately = any(known.split for known, _ in self.past)
        return True

    @property
    def roster(self) -> Roster:
        return self.past[-1][0] if self.past else Roster(0, ())

    def owners(self, account: int) -> tuple[int, ...]:
        found = self.cache.get(account)
        if found is None:
            if len(self.cache) >= MOST_KEPT:
                self.cache.clear()  # guards the memory against customers that come only once
            found = self.cache[account] = owners(account, self.roster)
        return found

    def core(self, account: int) -> int:
        """The worker to hand an order to: this one where it can be, else the owners in turn."""
        found = self.owners(account)
        if not found or self.me in found:
            return self.me
        self.turn += 1
        return found[self.turn % len(found)]

    def parts(self, account: int, now: datetime) -> int:
        """Into how many parts the account is split, as far as anybody may still believe it."""
        most = 1
        if not self.split_lately:
            return most
        until = now
        for roster, heard in reversed(self.past):
            if until + self.settle < now:
                break
            most = max(most, min(roster.split.get(account, 1), max(1, len(roster.members))))
            until = heard
        return most

    def held(self, account: int, now: datetime) -> timedelta | None:
        """For how long nobody but this worker and its fellow owners can have spent the account's part.

        None: always, in this life of the ingress. Never below 0.
        """
        if account in self.since:
            since = self.since[account]
        else:
            if len(self.since) >= MOST_KEPT:
                self.since.clear()
            since = self.since[account] = self._owned_since(account)
        if since is None or now - since > REMEMBERED + self.settle:
            return None
        return max(timedelta(0), now - since - self.settle)

    def _owned_since(self, account: int) -> datetime | None:
        """When it came to be decided for here, as far as is remembered; None: from the first roster on."""
        since = NEVER
        for roster, heard in reversed(self.past):
            if self.me not in owners(account, roster):
                break
            if roster.fresh:
                return None
            since = heard
        return since


@dataclass(frozen=True, slots=True)
class Load:
    """What one worker took in lately: requests, and those of its busiest accounts with the most parts that
    their ceilings can be cut into."""

    total: int
    busiest: Sequence[tuple[int, int, int]] = ()


class Balance:
    """Decides which accounts are split. One worker can bear `1 / workers` of all traffic; an
    account above half of that is split so far that each part is about half of it again."""

    def __init__(self, workers: int, calm: timedelta = timedelta(seconds=10)) -> None:
        self.workers, self.calm = workers, calm
        self.split: dict[int, int] = {}
        self.needed: dict[int, datetime] = {}  # when an account last needed as many parts as it has

    def weigh(self, loads: Mapping[int, Load], now: datetime) -> bool:
        """Takes the workers' loads of the last round; whether the split accounts have changed."""
        total = sum(load.total for load in loads.values())
        counts: dict[int, int] = {}
        most: dict[int, int] = {}
        for load in loads.values():
            for account, n, parts in load.busiest:
                counts[account] = counts.get(account, 0) + n
                most[account] = min(most.get(account, self.workers), max(1, parts))
        before = dict(self.split)
        for account, n in counts.items():
            # Guards against splitting for a handful of requests.
            share = n / total if total >= 50 * self.workers else 0.0
            if share <= 1 / (2 * self.workers):
                continue
            parts = min(self.workers, most[account], math.ceil(2 * share * self.workers))
            if parts >= self.split.get(account, 2):
                self.split[account], self.needed[account] = parts, now
        for account in list(self.split):
            if now - self.needed[account] > self.calm:
                del self.split[account], self.needed[account]
        return before != self.split
