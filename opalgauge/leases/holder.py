"""Answers the gateway's counts, with the quota counter or without it. No I/O, no clock.

The gateway asks for counts (`request_count`) and gets totals (`AnswerCount`), in order for each name.

- While the counter answers, units of a busy account are charged ahead: a lease, bounded by a share of the
  free quota. Requests that are paid from a lease need no call. Units that come back go into the lease, also
  without a call.
- While the counter answers late or not at all, windows are detached. Each ingress of the account then has
  rights to an even share of what was free, and of each new window. The answered total extrapolates: it
  assumes that all ingresses use their rights as this one does. Rights move between ingresses by grants, as in
  a bounded counter: the giver gives them up first, so a lost message can only lose rights.
- An ingress that reaches the counter keeps the shares of peers that do not, or that are silent, in reserve.

`docs/design/leases.md` states how far the results may deviate from the quota.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from opalgauge.leases.accounts import Account, Peer, PendingCount, Window
from opalgauge.leases.actions import Action, AnswerCount, CallCounter, LogLine, ReportUsage, SendMessage
from opalgauge.leases.counter_health import LATE_AFTER, CounterHealth
from opalgauge.leases.messages import MAX_GRANTS, MAX_NEEDS, Grant, Message, Need
from starlinggap import interface
from starlinggap.quota import counter_name

NO_DELAY = timedelta(0)
JUST_READ_AGE = timedelta(milliseconds=150)  # a younger total can prove that a window is full
FRESH_READ_AGE = timedelta(milliseconds=300)  # a younger total answers a read of the present window
SETTLED_READ_AGE = timedelta(seconds=1)  # a younger total answers a read of a window that has ended
LEASE_TERM = timedelta(seconds=2)  # a lease covers the demand of this time; returned after as long idle
LEASED_SHARE = 0.5  # of an account's free quota: the most that the leases of all ingresses hold
CONTESTED_SHARE = 0.4  # of an account's quota: below that nobody misses an unused lease
MIN_LEASE = 1.0  # requests per lease; with fewer it saves no call
UNKNOWN_USAGE_SHARE = 0.5  # of a quota: assumed use of an account that is new while the counter is away
RESERVATION_TIME = timedelta(seconds=30)  # for which a silent peer's share is kept in reserve
MESSAGE_MAX_AGE = timedelta(milliseconds=1500)  # a peer without a newer message is silent
HEARTBEAT_INTERVAL = timedelta(milliseconds=400)  # between messages without needs and grants
MIN_SEND_INTERVAL = timedelta(milliseconds=80)  # between messages to one peer
SMALL_FLEET_SIZE = 12  # ingresses; in larger fleets messages are too rare for silence to mean anything
GRANTED_SHARE = 0.7  # of the rights that an ingress does not need itself, granted to one that asks
GRANT_REPEATS = 3  # times that a grant is sent
NEED_DURATION = timedelta(milliseconds=800)  # for which an account asks for rights after it ran short
REPORT_INTERVAL = timedelta(seconds=1)  # between `ReportUsage` actions
MAX_ACCOUNTS = 20_000


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Settings of a lease holder.

    `plans` holds rate (units per second) and burst (units) of each plan. Without `lease_ahead` nothing is
    charged ahead while the counter answers; without `grant_rights` no rights move while it does not.
    """

    own_index: int
    fleet_size: int
    plans: tuple[tuple[float, float], ...]
    lease_ahead: bool = True
    grant_rights: bool = True


class LeaseHolder:
    """Holds one ingress's leases and rights. `incarnation` must be larger at each start of the ingress.

    `replicated_usage` may be set to look up, by account, window and end of the window, the units that all
    ingresses have reported.
    """

    def __init__(self, config: LeaseConfig, now: datetime, incarnation: int, seed: int) -> None:
        self.config, self.now, self.incarnation = config, now, incarnation
        self.started_at = now
        self.rng = random.Random(seed)
        self.accounts: OrderedDict[int, Account] = OrderedDict()
        self.windows_by_name: dict[int, Window] = {}
        # By token. None: a trial. A `PendingCount`: its name belongs to no known account.
        self.calls_in_flight: dict[int, Window | PendingCount | None] = {}
        self.last_token = 0
        self.counter_health = CounterHealth(now, self.rng)
        self.peers = {n: Peer() for n in range(config.fleet_size) if n != config.own_index}
        self.last_sequence = 0
        self.actions: list[Action] = []
        self.counter_calls = self.counts_asked = self.detached_counts = 0
        self.units_granted = self.units_received = 0.0
        self.unsettled: OrderedDict[int, Account] = OrderedDict()  # with units to charge or to return
        self.accounts_in_need: OrderedDict[int, Account] = OrderedDict()  # ask their peers for rights
        self.next_report_at = now
        self.replicated_usage: Callable[[int, int, datetime], float | None] = (
            lambda account, window, ends_at: None
        )

    def take_actions(self) -> list[Action]:
        """Returns the actions since the last call, in order."""
        actions, self.actions = self.actions, []
        return actions

    # --- inputs --------------------------------------------------------------------------------------------
    def add_account(
        self, account: int, plan_index: int, ingress_count: int, first_ingress: int, now: datetime
    ) -> None:
        """A request of an account has arrived: counts of its windows may follow."""
        self.now = max(self.now, now)
        known = self._get_account(account, plan_index, ingress_count, first_ingress)
        if known is not None:
            self._open_window(known, int(self.now.timestamp() // known.window_seconds))

    def request_count(self, name: int, amount: float, ttl: timedelta, now: datetime) -> None:
        """The gateway asks for a count. Each one is answered by one `AnswerCount`."""
        self.now = max(self.now, now)
        self.counts_asked += 1
        window = self.windows_by_name.get(name)
        if window is None:  # only the counter can answer
            self._call_counter(name, amount, ttl, PendingCount(name, amount, self.now))
            return
        window.ttl = ttl
        window.pending_counts.append(PendingCount(name, amount, self.now))
        self._answer_counts(window)

    def handle_counter_result(self, token: int, end: interface.End, total: float, now: datetime) -> None:
        """A `CallCounter` action has ended."""
        self.now = max(self.now, now)
        subject = self.calls_in_flight.pop(token, None)
        answered = end is interface.End.OK and math.isfinite(total)
        if answered:
            if self.counter_health.record_answer(token, self.now):
                self.actions.append(LogLine("counter: answers again"))
        elif self.counter_health.record_failure(token, self.now):
            self._record_miss()
        if isinstance(subject, PendingCount):
            duration = self.now - subject.asked_at
            answer = (
                AnswerCount(subject.name, total, duration)
                if answered
                else AnswerCount(subject.name, 0.0, duration, end)
            )
            self.actions.append(answer)
        elif isinstance(subject, Window) and subject.call_token == token:
            subject.call_token = 0
            if not answered and end in interface.NEVER_RAN:
                subject.charged -= subject.call_amount
                subject.unconfirmed -= subject.call_amount
            if answered:
                subject.counter_total, subject.read_at = max(0.0, total), self.now
                subject.unconfirmed = 0.0
                # A late total does not contain what peers spend by rights.
                if not self.counter_health.in_trouble:
                    subject.detached = False
                    self._update_reservation(subject)
            self._answer_counts(subject)
        self._serve_waiting()

    def handle_message(self, message: Message, now: datetime) -> None:
        """A peer's message has come. Grants count even if it was overtaken by a newer one."""
        self.now = max(self.now, now)
        peer = self.peers.get(message.sender)
        if peer is None or message.incarnation < peer.incarnation:
            return
        if message.incarnation > peer.incarnation:
            peer.incarnation, peer.sequence = message.incarnation, -1
        for grant in message.grants:
            self._handle_grant(message.sender, message.incarnation, grant)
        if message.sequence <= peer.sequence:
            return  # repeated or overtaken: the needs may be outdated
        peer.sequence, peer.heard_at, peer.without_counter = (
            message.sequence,
            self.now,
            message.without_counter,
        )
        for need in message.needs:
            self._handle_need(message.sender, message.incarnation, need)

    def tick(self, now: datetime) -> None:
        """Does what is due. To be called about fifty times a second."""
        self.now = max(self.now, now)
        for token in self.counter_health.take_overdue(self.now):
            self._record_miss()
            subject = self.calls_in_flight.get(token)
            if isinstance(subject, Window):
                self._detach(subject)
                self._answer_counts(subject)
        if self.counter_health.trial_due(self.now):
            self._call_counter(0, 0.0, SETTLED_READ_AGE, None)
        self._settle()
        if self.now >= self.next_report_at:
            self.next_report_at = self.now + REPORT_INTERVAL
            self._report_usage()
        self._send_messages()

    # --- accounts and windows ------------------------------------------------------------------------------
    def _get_account(
        self, number: int, plan_index: int, ingress_count: int, first_ingress: int
    ) -> Account | None:
        known = self.accounts.get(number)
        if known is None:
            rate, burst = self.config.plans[plan_index % len(self.config.plans)]
            if rate <= 0:
                return None
            window_seconds = min(burst / rate, 20.0)  # as in the gateway
            limit = min(burst, rate * window_seconds)
            known = Account(number, plan_index, first_ingress, max(1, ingress_count), limit, window_seconds)
            self.accounts[number] = known
            while len(self.accounts) > MAX_ACCOUNTS:
                self._forget_account(next(iter(self.accounts.values())))
        self.accounts.move_to_end(number)
        return known

    def _forget_account(self, account: Account) -> None:
        for window in account.windows.values():
            if window.pending_counts:  # each must be answered
                self._detach(window)
                self._answer_counts(window)
            self.windows_by_name.pop(window.name, None)
        del self.accounts[account.number]
        self.unsettled.pop(account.number, None)
        self.accounts_in_need.pop(account.number, None)

    def _open_window(self, account: Account, number: int) -> Window:
        """Returns the window of this number. Creates it and its neighbours, and drops older ones."""
        for n in (number - 1, number, number + 1):  # the gateway may count in the next one first
            if n not in account.windows:
                ttl = timedelta(seconds=3 * account.window_seconds)
                window = Window(account, n, counter_name(account.number, n), ttl)
                account.windows[n] = self.windows_by_name[window.name] = window
                if self.counter_health.in_trouble:
                    self._detach(window)
        for n in [n for n in account.windows if n < number - 1]:
            window = account.windows[n]
            if window.pending_counts or window.call_token:
                continue
            del self.windows_by_name[window.name], account.windows[n]
        return account.windows[number]

    def _even_share(self, account: Account) -> float:
        return 1.0 / min(account.ingress_count, self.config.fleet_size)

    def _account_ingresses(self, account: Account) -> list[int]:
        count = self.config.fleet_size
        return [(account.first_ingress + k) % count for k in range(min(account.ingress_count, count))]

    # --- detached windows ----------------------------------------------------------------------------------
    def _detach(self, window: Window) -> None:
        """From now on the window is decided without the counter."""
        if window.detached:
            return
        account, share = window.account, self._even_share(window.account)
        limit, began = account.limit, window.number * account.window_seconds
        if window.counter_total is not None:
            used_before = self._estimated_total(window)
            free = max(0.0, limit - window.counter_total)
            # The lease may be spent even if the total, which is known to be too low, leaves no room: it was
            # charged.
            window.rights = max(0.0, window.held - window.unconfirmed)
            # Not for a single late answer: then the peers go on with the counter.
            if self.counter_health.in_trouble:
                window.rights += share * free
        elif not self.counter_health.has_answered and began <= self.started_at.timestamp():
            # An earlier incarnation of this ingress may have spent the rights already.
            used_before, window.rights = limit, 0.0
        elif (
            self.counter_health.trouble_since is not None
            and began >= self.counter_health.trouble_since.timestamp()
        ):
            used_before, window.rights = 0.0, share * limit
        else:
            replicated = self.replicated_usage(account.number, window.number, self._window_end(window))
            used_before = min(limit, replicated) if replicated is not None else UNKNOWN_USAGE_SHARE * limit
            window.rights = share * (limit - used_before)
        window.detached, window.reserved_share = True, 0.0
        window.used_before_detach, window.used_since_detach = used_before, 0.0
        self.unsettled[account.number] = account

    @staticmethod
    def _window_end(window: Window) -> datetime:
        """The window's end in whole milliseconds, so that all ingresses compute the same."""
        end = round((window.number + 1) * window.account.window_seconds * 1000)
        return datetime.fromtimestamp(0, UTC) + timedelta(milliseconds=end)

    def _report_usage(self) -> None:
        """Reports use of accounts near their quota, which peers need when they lose the counter."""
        for account in self.unsettled.values():
            window = account.windows.get(int(self.now.timestamp() // account.window_seconds))
            if window is None or self._estimated_total(window) < CONTESTED_SHARE * account.limit:
                continue
            units = window.spent - window.reported_usage
            if units >= MIN_LEASE:
                window.reported_usage = window.spent
                self.actions.append(
                    ReportUsage(account.number, window.number, self._window_end(window), units)
                )

    def _estimated_total(self, window: Window) -> float:
        """The best estimate of what all ingresses have spent, without this ingress's lease."""
        if window.detached:
            return max(window.seen_total, self._total_by_rights(window))
        if window.reserved_share <= 0:
            return window.seen_total
        return window.base_estimate + (window.seen_total - window.base_seen_total) / (
            1 - window.reserved_share
        )

    def _total_by_rights(self, window: Window) -> float:
        """The total under the assumption that all ingresses use their rights as this one does."""
        free, all_rights = (
            window.account.limit - window.used_before_detach,
            window.used_since_detach + window.rights,
        )
        if all_rights <= 1e-9 or free <= 0:
            # While the counter is in trouble, quota that is regained belongs to all ingresses: assumes that
            # each uses as much of it. For a single late answer the peers go on with the counter.
            share = self._even_share(window.account) if self.counter_health.in_trouble else 1.0
            return max(window.used_before_detach, window.account.limit) + window.used_since_detach / share
        return window.used_before_detach + max(
            0.0, free * window.used_since_detach / all_rights, window.used_since_detach
        )

    def _update_reservation(self, window: Window) -> None:
        """Adjusts the reserve for peers that cannot reach the counter."""
        reserved_share = self._reserved_share(window.account)
        if reserved_share == window.reserved_share:
            return
        estimate = self._estimated_total(window)
        window.base_seen_total = window.seen_total
        window.base_estimate = estimate if reserved_share > 0 else window.base_seen_total
        window.reserved_share = reserved_share

    def _reserved_share(self, account: Account) -> float:
        """The share of the account's ingresses that are without the counter, or silent."""
        missing = 0
        for n in self._account_ingresses(account):
            peer = self.peers.get(n)
            if peer is None or peer.heard_at is None:
                continue  # this ingress, or one that was never heard and may not exist
            silence = self.now - peer.heard_at
            unheard = silence > MESSAGE_MAX_AGE and self.config.fleet_size <= SMALL_FLEET_SIZE
            missing += silence < RESERVATION_TIME and (peer.without_counter or unheard)
        return min(0.95, missing * self._even_share(account))

    # --- answering counts ----------------------------------------------------------------------------------
    def _answer_counts(self, window: Window) -> None:
        """Answers pending counts in order. Calls the counter if that is the only way."""
        while window.pending_counts:
            pending_count = window.pending_counts[0]
            if not (window.detached or self._can_answer(window, pending_count)):
                if not self.counter_health.in_trouble:
                    if not window.call_token and self.counter_health.may_call(self.now):
                        self._charge(window)
                        return
                    if self.now - pending_count.asked_at < LATE_AFTER:
                        return
                self._detach(window)
            window.pending_counts.popleft()
            estimate = self._estimated_total(window)
            self._spend(window, pending_count.amount)
            self.detached_counts += window.detached
            # Received grants lower the estimate. The gateway would take a total that falls for a counter that
            # lost its counts.
            floor = window.last_answer + min(0.0, pending_count.amount) - window.account.ingress_count
            # The assumed use of the peers is added with the next count: this one may still be refused and
            # returned, and the gateway would then go on without the peers' part.
            total = (
                estimate + pending_count.amount
                if window.detached and pending_count.amount > 0
                else self._estimated_total(window)
            )
            window.last_answer = max(floor, total)
            self.actions.append(AnswerCount(window.name, window.last_answer, NO_DELAY))

    def _can_answer(self, window: Window, pending_count: PendingCount) -> bool:
        """Whether no call is needed: units are returned or paid by the lease, or the total is fresh."""
        if pending_count.amount < 0:
            return window.counter_total is not None
        if pending_count.amount > 0:
            is_leased = window.held - window.unconfirmed >= pending_count.amount - 1e-9
            return window.counter_total is not None and (
                is_leased or self._is_known_full(window, pending_count.amount)
            )
        ended = (window.number + 1) * window.account.window_seconds <= self.now.timestamp()
        age = self.now - window.read_at if window.read_at is not None else None
        return age is not None and age <= (SETTLED_READ_AGE if ended else FRESH_READ_AGE)

    def _is_known_full(self, window: Window, amount: float) -> bool:
        """Whether a total that was just read leaves no room for the units. That is answered without a call.

        If the gateway admits the request all the same, its units are charged soon after.
        """
        if window.read_at is None or self.now - window.read_at > JUST_READ_AGE or window.call_token:
            return False
        return self._weighted_usage(window) + amount > window.account.limit

    def _weighted_usage(self, window: Window) -> float:
        """The use of the last two windows, weighted as the gateway does it."""
        previous, usage = window.account.windows.get(window.number - 1), self._estimated_total(window)
        if previous is not None:
            usage += (
                self._estimated_total(previous)
                * window.seconds_left(self.now)
                / window.account.window_seconds
            )
        return usage

    def _spend(self, window: Window, amount: float) -> None:
        account = window.account
        window.spent += amount
        if amount:
            self.unsettled[account.number] = account
        if amount > 0:
            account.record_spending(amount, self.now)
        if window.detached:
            window.rights -= amount
            window.used_since_detach += amount
            if amount > 0 and self.config.grant_rights and window.expected_usage(self.now) > window.rights:
                # The rights will not last until the window ends: asks for more before they run out.
                account.need_until = self.now + NEED_DURATION
                self.accounts_in_need[account.number] = account

    def _charge(self, window: Window) -> None:
        """Makes one call: for pending counts, units owed, and a lease if the account is busy."""
        waiting_units = sum(a.amount for a in window.pending_counts if a.amount > 0)
        amount = waiting_units - window.held
        if waiting_units > 0:
            amount += self._lease_units(
                window, waiting_units / sum(a.amount > 0 for a in window.pending_counts)
            )
        window.call_token = self._call_counter(window.name, amount, window.ttl, window)
        window.call_amount = amount
        window.charged += amount
        window.unconfirmed += amount

    def _lease_units(self, window: Window, request_units: float) -> float:
        """Units to charge ahead: for whole requests of this size, within a share of the free quota."""
        account = window.account
        if not self.config.lease_ahead or account.demand_at is None:
            return 0.0
        demand_rate, seconds_left = account.demand_rate(self.now), window.seconds_left(self.now)
        free = (
            LEASED_SHARE * max(0.0, account.limit - self._weighted_usage(window)) * self._even_share(account)
        )
        count = min(demand_rate * min(LEASE_TERM.total_seconds(), seconds_left), free) // request_units
        return count * request_units if count >= MIN_LEASE else 0.0

    def _call_counter(
        self, name: int, amount: float, ttl: timedelta, subject: Window | PendingCount | None
    ) -> int:
        self.last_token += 1
        self.counter_calls += 1
        self.calls_in_flight[self.last_token] = subject
        self.counter_health.record_call(self.last_token, self.now)
        self.actions.append(CallCounter(self.last_token, name, amount, ttl))
        return self.last_token

    def _serve_waiting(self) -> None:
        """Answers counts that waited for a call to end."""
        for account in list(self.unsettled.values()):
            for window in account.windows.values():
                if window.pending_counts and not window.call_token:
                    self._answer_counts(window)

    # --- counter calls -------------------------------------------------------------------------------------
    def _record_miss(self) -> None:
        if self.counter_health.record_miss(self.now):
            self.actions.append(LogLine("counter: not answering; deciding by rights"))
            for account in list(self.accounts.values()):
                for window in account.windows.values():
                    self._detach(window)
                    self._answer_counts(window)

    def _settle(self) -> None:
        """Charges what is owed, returns unused leases and drops settled accounts from `unsettled`."""
        for account in list(self.unsettled.values()):
            now = self.now.timestamp()
            current = int(now // account.window_seconds)
            is_idle = account.last_spent_at is None or self.now - account.last_spent_at > LEASE_TERM
            for window in list(account.windows.values()):
                if window.call_token or not self.counter_health.may_call(self.now):
                    continue
                if window.pending_counts:
                    self._answer_counts(window)
                elif self._can_charge_later(window):
                    pass  # further units may go with the same call
                elif window.held < -1e-6 or (window.held > 1e-6 and (is_idle or window.number < current)):
                    # Not worth a call to return a lease while the account is far from its quota.
                    if (
                        window.held < 0
                        or self._estimated_total(window) + window.held > CONTESTED_SHARE * account.limit
                    ):
                        self._charge(window)
                        # Calls may be few: the other accounts come first next time.
                        self.unsettled.move_to_end(account.number)
                    else:
                        window.charged = window.spent
            if all(
                not w.pending_counts and not w.call_token and abs(w.held) <= 1e-6
                for w in account.windows.values()
            ) or (current > max(account.windows, default=current) + 2):
                self.unsettled.pop(account.number, None)

    def _can_charge_later(self, window: Window) -> bool:
        """Whether the window owes units, but was read so lately that the call can wait."""
        if self.counter_health.in_trouble or window.read_at is None:
            return False
        return window.held < -1e-6 and self.now - window.read_at < JUST_READ_AGE

    # --- messages -----------------------------------------------------------------------------------------
    def _handle_need(self, peer: int, incarnation: int, need: Need) -> None:
        """Grants a share of the rights that this ingress does not need to a peer that lacks them."""
        if not self.config.grant_rights or not 0 <= need.plan_index < len(self.config.plans):
            return
        account = self._get_account(need.account, need.plan_index, need.ingress_count, need.first_ingress)
        if account is None or not {self.config.own_index, peer} <= set(self._account_ingresses(account)):
            return
        number = int(self.now.timestamp() // account.window_seconds)
        if need.window != number % 256:
            return
        window = self._open_window(account, number)
        units = (
            min(need.units, GRANTED_SHARE * (window.rights - window.expected_usage(self.now))) // 0.1 * 0.1
        )
        if not window.detached or units < 0.5:
            return
        key = peer, incarnation
        window.granted_to[key] = window.granted_to.get(key, 0.0) + units
        window.rights -= units
        self.units_granted += units
        grant = Grant(account.number, need.window, window.granted_to[key], incarnation)
        grants = self.peers[peer].pending_grants
        grants[:] = [g for g in grants if (g[0].account, g[0].window) != (grant.account, grant.window)]
        grants.append((grant, GRANT_REPEATS))

    def _handle_grant(self, peer: int, incarnation: int, grant: Grant) -> None:
        account = self.accounts.get(grant.account)
        if account is None or grant.receiver_incarnation != self.incarnation:
            return  # made to an earlier incarnation, which may have spent it
        for window in account.windows.values():
            if window.number % 256 == grant.window and window.detached:
                new_units = grant.units - window.received_from.get((peer, incarnation), 0.0)
                if new_units > 0:
                    window.received_from[peer, incarnation] = grant.units
                    window.rights += new_units
                    self.units_received += new_units

    def _send_messages(self) -> None:
        needs = self._collect_needs()
        for n, peer in self.peers.items():
            elapsed = self.now - peer.sent_at if peer.sent_at is not None else HEARTBEAT_INTERVAL * 10
            own_needs = tuple(need for need, members in needs if n in members)[:MAX_NEEDS]
            min_interval = max(MIN_SEND_INTERVAL, timedelta(milliseconds=12) * len(self.peers))
            heartbeat = (
                max(HEARTBEAT_INTERVAL, min_interval)
                if len(self.peers) < SMALL_FLEET_SIZE
                else 4 * max(HEARTBEAT_INTERVAL, min_interval)
            )
            if elapsed < (min_interval if peer.pending_grants or own_needs else heartbeat):
                continue
            peer.sent_at, self.last_sequence = self.now, self.last_sequence + 1
            grants = tuple(g for g, _ in peer.pending_grants[:MAX_GRANTS])
            repeats = [(g, k - 1) for g, k in peer.pending_grants[:MAX_GRANTS] if k > 1]
            peer.pending_grants = peer.pending_grants[MAX_GRANTS:] + repeats
            without_counter = self.counter_health.in_trouble
            message = Message(
                self.config.own_index,
                self.incarnation,
                self.last_sequence,
                without_counter,
                own_needs,
                grants,
            )
            self.actions.append(SendMessage(n, message))

    def _collect_needs(self) -> list[tuple[Need, list[int]]]:
        needs = []
        for account in list(self.accounts_in_need.values()):
            number = int(self.now.timestamp() // account.window_seconds)
            window = account.windows.get(number)
            expired = account.need_until is None or self.now > account.need_until
            if expired or window is None or not window.detached:
                del self.accounts_in_need[account.number]
                continue
            units = round(min(account.limit, window.expected_usage(self.now)) - window.rights, 1)
            if units >= 0.5:
                account_fields = (
                    account.number,
                    account.plan_index,
                    account.first_ingress,
                    account.ingress_count,
                )
                needs.append((Need(*account_fields, number % 256, units), self._account_ingresses(account)))
        return needs
