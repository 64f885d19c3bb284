"""The decisions of one gateway: quota, choice of servers, load shedding, retries and ejection.

The types are in interface.py; the docstring of the package follows a request through this module.
Points in time (names that end in `_at` or `_until`) are seconds by the clock that `Gateway.handle` is given.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque

from starlinggap import interface
from starlinggap.interface import Action, DedupScope, End, Health, Idempotency, ListKind
from starlinggap.quota import MAX_NAME_TTL, TTL_WINDOWS, Account, counter_name, estimate_use, fits
from starlinggap.slow_start import SlowStart

# --- constants -------------------------------------------------------------------------------------------
# Times are in seconds. Where a comment begins with "of", the value is a share of what it names.

# Calls of the shared counter.
COUNTER_WAIT_SHARE = 0.6  # of counter_timeout: a healthy answer takes a tenth of it, and a client is waiting
# A busy counter is waited for longer, up to the lesser of these two: that does no harm.
MAX_COUNTER_WAIT_SHARE, COUNTER_WAIT_AIM_SHARE = 0.95, 0.035  # of counter_timeout; of the aim
# Of counter_timeout: an answer within this time, or within twice the least that one took lately, is quick and
# shows that the counter has room for more calls.
QUICK_ANSWER_SHARE = 0.3
CALL_SHARE_STEP, CALL_SHARE_CUT = 0.03, 0.7  # added by a quick answer; factor after a failed or late one
CALL_SHARE_RISE = 0.2  # added per s while the newest answer is quick: one gateway of many gets few
CALL_SHARE_SLOW = 0.95  # factor after a slow answer: more calls would lengthen its queue in vain
MIN_CALL_SHARE = 0.25  # at least, after a quick answer: a counter that has recovered is used again at once
MIN_STAKE_WEIGHT = 0.3  # factor on call_share for requests that are worth next to nothing
COUNTER_PROBE_INTERVAL = 3.0  # s, times 0.5 to 1.5 at random: a counter that is not called is read so often
# Windows for which uncounted units wait for another call to take them along, and for which a refusal by the
# counter's total stands.
DEFER_WINDOWS = 0.25
HOUSEKEEPING_PERIOD, IDLE_PERIOD = 0.05, 0.25  # s between rounds, with held requests and without
EWMA_WEIGHT = 0.1  # weight of the newest value in an exponential moving average: about the last ten count

# Choice of servers and ejection.
COLD_BUDGET_SHARE = 0.6  # of the collapse limit: chance and costly requests need some room
WARM_PEAK_LOAD = 1.5  # times its capacity: a warm server is sent no more, even before overload sheds
MIN_WARM_SHARE = 0.35  # of the whole capacity: with less of it there, cold servers get less than their part
MAX_CANDIDATES = 8  # servers drawn at most to find two that can take a request
DECAY_TIME = 10.0  # s, time constant of what is known of a server's speed; 3x that for an account's decisions
EJECT_SHARE = 0.5  # failed share of a class's recent attempts at a server: above it the server is ejected
# Weight of an error at a server that is tried once or less in DECAY_TIME: one is enough to eject it.
RARE_ERROR_WEIGHT = 0.9
ERROR_WEIGHT = 0.3  # weight of an error elsewhere: three in a row eject, one or two are chance
MIN_EJECT_TIME, MAX_EJECT_TIME = 0.5, 8.0  # s; of the first ejection and at most: each lasts twice the last
# Share of attempts lost on kept connections, beyond twice that on new ones, above which none is reused.
STALE_LOSS_SHARE = 0.1
RETRY_BUDGET_RATIO = 0.1  # further attempts for each request: more would feed an overload
MAX_RETRY_BUDGET = 10.0  # further attempts that may be saved up
NEW_CONNECTION_FACTOR = 1.5  # on the expected wait: opening one costs the server, and so all gateways
QUEUE_AIM_SHARE = 0.4  # of the aim: a server is sent no more than it works off, one by one, in that time

# Load shedding.
SHED_START, SHED_FULL = 0.3, 0.8  # of the aim: expected times between these shed more and more requests
LOST_TIME_FACTOR = 4.0  # times the usual time: an attempt given up sooner may just be slow for its client
LATE_SHARE_TARGET = 0.25  # of recent ends, late or lost: shedding grows above it and shrinks below
# Change of the shed share per s and per excess over that target. It rises slowly, because attempts that were
# sent before the shedding still end late.
SHED_RISE, SHED_FALL = 0.5, 3.0
LOAD_DECAY_TIME = 3.0  # s, time constant of the load: long for one gateway's traffic, short beside an outage
SHED_WEIGHT = 0.4  # calm outcomes that a shed request counts as, so that old observations fade
PRIOR_OUTCOMES = 1.5  # calm outcomes, at half of SHED_START, that one gateway's few outcomes are mixed with
WORTH_SAMPLES = 200  # recent requests among which a request's worth is ranked

# Others.
ACCOUNT_IDLE_TIME = 15.0  # s for which an account not seen is kept at least: many come only once
# An account that was seen within this time (s) is kept in any case: a counter call may be out for it.
MIN_ACCOUNT_AGE = 1.0
MAX_ACCOUNTS = 100_000  # kept at most, unless the caller sets another number
HOLD_SHARE = 0.5  # of the aim: a request that no server can take is held this long, then refused
# Ends of a counter call of which the units were added, but the total did not arrive.
TOTAL_LOST_ENDS = (End.ERROR, End.RESET)
BEYOND_QUOTA_RESERVE = 0.5  # of the local ceiling, and of the aim: kept free of beyond-quota requests


class Attempt:
    """One attempt at a server, from its Send action until its Outcome."""

    def __init__(
        self, request: PendingRequest, server: int, sent_at: float, kept_connection: bool | None
    ) -> None:
        # sent_at: for a request with a body, when the body was written.
        # kept_connection: True if on a kept idle connection, False on a new one, None on one already in use.
        # is_load: whether it counts as load, which it does while it is timed and not yet overdue.
        # answer_started_at: when the head of its answer came, ahead of the rest; infinite: not yet.
        self.request, self.server, self.sent_at, self.kept_connection, self.is_load = (
            request,
            server,
            sent_at,
            kept_connection,
            False,
        )
        self.answer_started_at = math.inf


class PendingRequest:
    """A request that still lacks its final answer, or whose attempts are still in flight.

    `cls` is its RequestClass; the index of that is `event.cls`.
    """

    def __init__(
        self, event: interface.Request, cls: interface.RequestClass, account: Account, now: float
    ) -> None:
        self.id, self.event, self.cls, self.account = event.request, event, cls, account
        self.deadline = now + max(0.0, event.budget)
        self.aim = min(cls.aim, max(event.budget, HOUSEKEEPING_PERIOD))  # lower if its client is less patient
        # Less than half of the budget: a refusal that late would do harm.
        self.held_until = min(
            now + HOLD_SHARE * min(cls.aim, 0.8 * event.budget), self.deadline - 2 * HOUSEKEEPING_PERIOD
        )
        self.attempts: list[Attempt] = []
        self.in_flight: dict[int, int] = {}  # server by attempt number
        # When and where the first attempt was sent that may have run; infinite and -1: there is none.
        self.may_have_run_at, self.may_have_run_on = math.inf, -1
        # undecided: it waits for the quota decision. shed_share: share of requests that overload shed when
        # this one was last checked, or 1 if it was given up.
        self.undecided, self.shed_share = True, 0.0
        # passed_shedding: overload does not shed it. final: it has its final answer, or its client has gone.
        # beyond_quota: it does not fit the quota. sent: at least one attempt was sent. streaming: the client
        # has got the first bytes of an answer. may_have_run: an attempt has ended that may have run.
        self.passed_shedding = self.final = self.beyond_quota = self.sent = self.streaming = (
            self.may_have_run
        ) = False
        self.counted: bool | None = False  # whether its units are on the counter; None: not known yet
        # In units; at first as the client's request tells, later as the server reports.
        self.cost = event.units if 0 < event.units < math.inf else 1.0


class CounterCall:
    """An unanswered counter call, for a request or, if `request` is None, for the account alone."""

    def __init__(
        self,
        account: Account,
        windows_ago: int,
        amount: float,
        carried: float,
        request: PendingRequest | None,
    ):
        # amount: units of the request, or 0 to read only. carried: uncounted units that are added with it.
        self.account, self.window, self.amount, self.carried = (
            account,
            account.window - windows_ago,
            amount,
            carried,
        )
        # reads_previous: it reads the last window's total, for all requests of the account that wait for it.
        # reread: the total of the first call was lost and is read again.
        self.request, self.reads_previous, self.reread = request, windows_ago > 0, False
        # Whether the request was admitted without this answer; None: it waits for it, or needs none.
        self.admitted_locally: bool | None = None


class Server:
    """What this gateway knows of a server; all times by the gateway's clock."""

    def __init__(
        self, entry: interface.ServerEntry, now: float, started_at: float, unbanned_at: float = 0.0
    ) -> None:
        # slowdown: moving average of an answer's time over the usual. unbanned_at: 0 if no ban was lifted.
        self.entry, self.slowdown, self.unbanned_at = entry, 1.0, unbanned_at
        self.started_at = started_at  # 0: long ago
        # By class index: failed share of recent attempts, ejected until, length of the next ejection (s).
        self.failures: dict[int, list[float]] = {}
        # Start by request and attempt number, the oldest first; infinite: its body is not yet written.
        self.in_flight: dict[tuple[int, int], float] = {}
        # connection_used_at: when a connection last worked; minus infinite: none is known to work.
        # queue_length: requests, as the server last reported.
        self.last_ok_at, self.connection_used_at, self.queue_length = now, -math.inf, 0.0


class Gateway:
    """The state and the decisions of one gateway: `handle` takes events and returns actions."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        check_settings(settings)
        self.settings, self.rng = settings, random.Random(seed)
        self.now, self.actions = 0.0, list[Action]()
        self.started_at = math.inf  # when the first events came; infinite: none yet
        self.accounts: OrderedDict[int, Account] = OrderedDict()  # by number; the last used is the last
        self.max_accounts = MAX_ACCOUNTS
        # When an account was last dropped of which the part of the ceiling was not full; infinite: never.
        self.headroom_forgotten_at = -math.inf
        self.requests, self.servers = dict[int, PendingRequest](), dict[int, Server]()
        self.ready: list[int] = []  # servers that may be chosen, sorted by id
        self.banned: dict[int, float] = {}  # since when; stands until staff lift it, listed or not
        self.untried: list[int] = []  # servers back from a ban or on trial, and not sent to since
        self.slow_start = SlowStart(settings)
        self.zone_shares: dict[int, float] = {}  # as last told: 0 if the fleet has left the zone, 1 as usual
        # Unanswered counter calls by counter name, the oldest first. Timers by token; None: for housekeeping.
        self.calls, self.timers = dict[int, deque[CounterCall]](), dict[int, CounterCall | None]()
        # last_token: of the newest timer. mean_stake: moving average of worth * price * units of a request,
        # see `should_call_counter`.
        self.last_token, self.mean_stake = 0, 1.0
        # Share of requests that call the counter, and as of when; below 1 the counter is taken as overloaded.
        # Whether its newest answer was quick, and the least time of a recent answer (s).
        self.call_share, self.call_share_at, self.counter_quick, self.counter_min_time = (
            1.0,
            0.0,
            True,
            settings.counter_timeout,
        )
        # When a counter that is not called is read next; when `call_share` was last cut. Minus infinite:
        # never so far.
        self.counter_probe_at = self.call_share_cut_at = -math.inf
        self.uncounted_accounts: dict[int, Account] = {}  # those with units that no call has added yet
        # Share of requests that totals admitted lately, of all accounts: of first tries, and of repeats.
        self.admit_shares = [1.0, 1.0]
        self.usual_times = [cls.aim / 5 for cls in settings.classes]  # of an answer, by class (s); learned
        self.retry_budget = MAX_RETRY_BUDGET  # attempts beyond the first that may be sent now
        # Recent attempts with a known end, and the lost ones of them: on new connections, on kept ones.
        self.connection_uses, self.connection_losses = [0.0, 0.0], [0.0, 0.0]
        self.held: OrderedDict[int, PendingRequest] = OrderedDict()  # until a server is listed; oldest first
        self.recent_worths: deque[float] = deque(maxlen=WORTH_SAMPLES)  # see `worth_per_time`
        # Attempts in flight that are not overdue: number, sum of 1 / aim, sum of start / aim.
        self.in_flight_count = self.in_flight_inverse_aims = self.in_flight_start_ratios = 0.0
        # Numbers that decay with LOAD_DECAY_TIME: answers, the sum of their time / aim, the late ones among
        # them, and attempts that are overdue or lost. late_shed_share: the share of requests that is shed
        # because many end late, beyond what the load of the moment sheds. decayed_at: when all were aged.
        self.recent_answers = self.recent_aim_ratios = self.recent_late = self.recent_overdue = (
            self.late_shed_share
        ) = self.decayed_at = 0.0
        # By class, the oldest first, until they are overdue; ended ones are passed over.
        self.sent_attempts: list[deque[Attempt]] = [deque() for _ in settings.classes]
        # Moving averages: time / aim of answers, at most 1; the share of attempts that are lost or overdue.
        self.mean_aim_ratio, self.loss_share = SHED_START, 0.0
        self.housekeeping_timer_set, self.list_asked_at = False, -math.inf
        # Part of a warm server's requests that a cold one is sent, relative to its share of capacity.
        self.cold_factor = min(1.0, settings.collapse_ratio * COLD_BUDGET_SHARE / WARM_PEAK_LOAD)

    # --- events ------------------------------------------------------------------------------------------
    def handle(self, now: float, events: list[interface.Event]) -> list[Action]:
        """Decides on `events`, which happened at `now`; the caller carries out the actions in their order."""
        self.now, self.actions = max(now, self.now), []
        self.started_at = min(self.started_at, self.now)
        # Bans and the server list first: a drain holds for the requests of the same batch too.
        for event in events:
            if isinstance(event, interface.ServerList):
                self.on_list(event)
            elif isinstance(event, interface.BanChanged):
                self.on_ban(event)
        for event in events:
            if isinstance(event, interface.Request):
                self.on_request(event)
            elif isinstance(event, interface.Outcome):
                self.on_outcome(event)
            elif isinstance(event, interface.CountOutcome):
                self.on_counted(event)
            elif isinstance(event, interface.TimerFired):
                self.on_timer(event.token)
            elif isinstance(event, interface.ZoneShare):
                self.on_zone(event)
            elif isinstance(event, interface.ClientGone) and (request := self.requests.get(event.request)):
                self.close_request(request)
            elif isinstance(event, interface.RequestWritten) and (
                request := self.requests.get(event.request)
            ):
                if event.attempt in request.in_flight:
                    request.deadline = self.now + request.event.budget
                    self.start_timing(request, request.attempts[event.attempt])
            elif isinstance(event, interface.AnswerStarted) and (request := self.requests.get(event.request)):
                if event.attempt in request.in_flight:
                    self.start_answer(request.attempts[event.attempt])
            elif isinstance(event, interface.StreamStarted) and (request := self.requests.get(event.request)):
                request.streaming = True
        if (
            self.settings.list_on_request
            and self.now - self.list_asked_at > self.settings.max_watch_interval / 4
        ):
            self.list_asked_at = self.now
            self.actions.append(interface.WatchList())
        if not self.housekeeping_timer_set and (self.held or self.uncounted_accounts or self.accounts):
            self.housekeeping_timer_set = True
            self.set_timer(HOUSEKEEPING_PERIOD if self.held else IDLE_PERIOD, None)
        return self.actions

    def set_timer(self, delay: float, call: CounterCall | None) -> None:
        """Sets a timer (s from now) for a counter call, or for housekeeping if `call` is None."""
        self.last_token += 1
        self.timers[self.last_token] = call
        self.actions.append(interface.Timer(self.now + delay, self.last_token))

    def on_timer(self, token: int) -> None:
        """Runs the housekeeping, or decides a request locally whose counter call is late."""
        if token not in self.timers:
            return
        call = self.timers.pop(token)
        if call is None:
            self.housekeeping_timer_set = False
            self.run_housekeeping()
        elif (request := call.request) and request.undecided and call.admitted_locally is None:
            self.record_failed_call()
            if request not in request.account.waiting_requests:
                request.counted = None
            self.decide_locally(request)
            if request.counted is None:
                call.admitted_locally = not request.beyond_quota and not request.final

    # --- quota -------------------------------------------------------------------------------------------
    def on_request(self, event: interface.Request) -> None:
        """Has a new request decided by the counter, or locally where the counter is not to be called."""
        if event.request in self.requests:
            return
        settings, account = self.settings, self.accounts.get(event.account)
        cls, plan = (
            settings.classes[event.cls % len(settings.classes)],
            settings.plans[event.plan % len(settings.plans)],
        )
        if account is None:
            known_since = max(self.started_at, self.headroom_forgotten_at)
            slack_unspent = self.headroom_forgotten_at == -math.inf
            account = self.accounts[event.account] = Account(
                event, plan, self.now, self.now - known_since, slack_unspent
            )
            self.drop_excess_accounts()
        self.accounts.move_to_end(event.account)
        account.advance(self.now)
        account.seen_at = self.now
        if event.account_workers != account.workers:  # its part is split over more cores, or fewer
            account.headroom *= min(1.0, account.workers / event.account_workers)
            account.spread, account.workers = (
                account.spread // account.workers * event.account_workers,
                event.account_workers,
            )
        if event.exclusive_for < math.inf:  # other cores may have spent what there was before
            account.headroom = min(account.headroom, plan.ceiling_rate / account.spread * event.exclusive_for)
        request = self.requests[event.request] = PendingRequest(event, cls, account, self.now)
        self.recent_worths.append(self.worth_per_time(request))
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_RATIO)
        # One limit for all counter calls, below half of the budget: no impatient client waits in vain.
        busy_wait = min(
            settings.counter_timeout * MAX_COUNTER_WAIT_SHARE, request.aim * COUNTER_WAIT_AIM_SHARE
        )
        counter_wait = min(
            max(settings.counter_timeout * COUNTER_WAIT_SHARE, busy_wait), event.budget / 2 - settings.tick
        )
        if not account.window_s:
            self.apply_decision(request, True)
        elif (self.call_share < 1 and self.should_shed(request)) or (
            self.now < account.denied_until and account.deficit + request.cost > account.limit
        ):
            # Spares the counter what overload sheds, and repeats that come before the bucket has room.
            self.apply_decision(request, False)
        elif settings.use_counter and counter_wait > 0 and self.should_call_counter(request):
            # If a refusal is likely, an overloaded counter is only read first, which saves a refund.
            likely_refused = self.call_share < 1 and self.admit_chance(request) < 0.5
            self.set_timer(
                counter_wait, self.call_counter(account, 0.0 if likely_refused else request.cost, request)
            )
        else:
            self.decide_locally(request)
            if settings.use_counter and self.now >= self.counter_probe_at:
                self.call_counter(account, 0.0, None)

    def should_call_counter(self, request: PendingRequest) -> bool:
        """Whether to call the counter: with chance `call_share`, a higher one where an error costs more."""
        stake = request.cls.worth * request.account.plan.price * request.cost
        self.mean_stake += EWMA_WEIGHT / 2 * (stake - self.mean_stake)
        if self.counter_quick:
            self.call_share = min(1.0, self.call_share + CALL_SHARE_RISE * (self.now - self.call_share_at))
        self.call_share_at = self.now
        weight = MIN_STAKE_WEIGHT + (1 - MIN_STAKE_WEIGHT) * stake / max(self.mean_stake, 1e-9)
        return self.call_share >= 1 or self.rng.random() < self.call_share * weight

    def call_counter(
        self, account: Account, amount: float, request: PendingRequest | None, windows_ago: int = 0
    ) -> CounterCall:
        """Adds `amount` to the total of `windows_ago` windows ago; uncounted units go with it."""
        carried = 0.0 if windows_ago else account.uncounted_units
        account.uncounted_units -= carried
        call = CounterCall(account, windows_ago, amount, carried, request)
        name = counter_name(account.id, call.window)
        self.calls.setdefault(name, deque()).append(call)
        self.counter_probe_at = self.now + COUNTER_PROBE_INTERVAL * (0.5 + self.rng.random())
        self.actions.append(
            interface.Count(name, amount + carried, min(MAX_NAME_TTL, TTL_WINDOWS * account.window_s))
        )
        return call

    def count_later(self, account: Account, amount: float, at_once: bool = False) -> None:
        """Leaves units, or a refund (below 0), to the next counter call; `at_once`: makes that call."""
        if amount and account.window_s and self.settings.use_counter:
            account.uncounted_since = account.uncounted_since if account.uncounted_units else self.now
            account.uncounted_units += amount
            self.uncounted_accounts[account.id] = account
            if at_once and account.uncounted_units * amount > 0:  # not for a refund of uncounted units
                self.call_counter(account, 0.0, None)

    def record_failed_call(self) -> None:
        """Lowers `call_share` when the counter is silent, slow or refuses; in the end it is only probed."""
        if self.now - self.call_share_cut_at > self.settings.counter_timeout * COUNTER_WAIT_SHARE:
            self.call_share_cut_at = self.now
            self.call_share, self.counter_quick = self.call_share * CALL_SHARE_CUT, False

    def on_counted(self, event: interface.CountOutcome) -> None:
        """Takes the answer to a counter call, or its failure, and decides the requests that wait for it."""
        calls = self.calls.get(event.name)
        if not calls:
            return
        call = calls.popleft()
        if not calls:
            del self.calls[event.name]
        account, request = call.account, call.request
        account.advance(self.now)
        total_needed = call.reads_previous or request and request.undecided and call.admitted_locally is None
        if event.end in TOTAL_LOST_ENDS and total_needed and not call.reread:
            # The units were added but the total was lost: it is read, in place of the call's own answer.
            call.reread = True
            self.calls.setdefault(event.name, deque()).append(call)
            self.actions.append(
                interface.Count(event.name, 0.0, min(MAX_NAME_TTL, TTL_WINDOWS * account.window_s))
            )
            return
        max_drop = 2 * self.settings.max_units * account.spread  # more than refunds in flight can explain
        # A call without an answer is taken as counted, and refunded if its request was refused.
        counted, total = call.reread or event.end not in interface.NEVER_RAN, math.nan
        if event.end is End.OK and math.isfinite(event.total) and event.total >= -max_drop:
            if event.duration > self.settings.counter_timeout * COUNTER_WAIT_SHARE:
                self.record_failed_call()
            else:
                self.counter_min_time = min(event.duration, self.counter_min_time * 1.01)
                self.counter_quick = event.duration < max(
                    self.settings.counter_timeout * QUICK_ANSWER_SHARE, 2 * self.counter_min_time
                )
                self.call_share = (
                    min(1.0, max(MIN_CALL_SHARE, self.call_share + CALL_SHARE_STEP))
                    if self.counter_quick
                    else self.call_share * CALL_SHARE_SLOW
                )
            total = self.apply_total(account, call, max(0.0, event.total), max_drop)
        else:
            if event.end not in TOTAL_LOST_ENDS:  # a garbled or broken answer is no sign of overload
                self.record_failed_call()
            if not counted:
                self.count_later(account, call.carried)
        if call.reads_previous:
            account.reading_prev = False
            waiting, account.waiting_requests = account.waiting_requests, []
            for waiting_request in waiting:
                if waiting_request.undecided:
                    (
                        self.check_total(waiting_request, account.total - waiting_request.cost)
                        if account.prev_known
                        else self.decide_locally(waiting_request)
                    )
        elif request and request.undecided and call.admitted_locally is None:
            request.counted = counted and call.amount > 0
            if math.isnan(total):
                self.decide_locally(request)
            else:
                self.check_total(
                    request, total - call.amount if call.window == account.window else account.total
                )
        elif request and call.amount and counted is not bool(call.admitted_locally):
            self.count_later(account, call.amount if call.admitted_locally else -call.amount, at_once=True)

    def apply_total(self, account: Account, call: CounterCall, total: float, max_drop: float) -> float:
        """Updates the account by a total, and by what it tells of other gateways' use.

        Returns the total (units), corrected where the counter has lost counts. `max_drop`: a total that is
        lower than expected by more than this many units cannot be explained by refunds in flight.
        """
        added = call.amount + call.carried
        if call.window == account.window:
            total += account.lost_units
            if total < account.own_units + added - max_drop / 4 or total < account.total + added - max_drop:
                # The counter lost counts: the last good total and what was added since are used instead. If a
                # refund this large was real, quota is withheld for one window.
                account.lost_units += account.total + added - total
                total = account.total + added
            used_by_others = max(0.0, total - added - account.total)
            decay_factor = math.exp(
                -min(self.now - account.total_at, self.now - account.window * account.window_s)
                / (2 * account.window_s)
            )
            account.others_rate = account.others_rate * decay_factor + used_by_others / (2 * account.window_s)
            account.deficit = max(0.0, account.deficit + used_by_others - account.assumed_units)
            account.assumed_units, account.total, account.own_units, account.total_at = (
                0.0,
                total,
                account.own_units + added,
                self.now,
            )
        elif call.window == account.window - 1:
            account.deficit += max(0.0, total - added - account.prev_total)
            account.prev_total, account.prev_known = (
                max(account.prev_total, total),
                account.prev_known or call.request is not None,
            )
        return total

    def check_total(self, request: PendingRequest, total_before: float) -> None:
        """Decides by the counter: the two-window test on the total before the request's own add."""
        account = request.account
        remaining, prev = max(0.0, account.window + 1 - self.now / account.window_s), account.prev_total
        needs_prev = self.call_share >= 1 or account.plan.ceiling_rate > 0  # a ceiling relies on totals
        if not account.prev_known:  # if overloaded it is not read: use is taken as steady
            prev = (
                max(account.limit, account.prev_total)
                if needs_prev
                else account.likely_prev(total_before, remaining)
            )
        used = max(0.0, estimate_use(prev, total_before, remaining))
        if account.deficit_stale or account.deficit > used:
            account.deficit, account.deficit_stale = used, False
        if not account.prev_known and needs_prev and not fits(used, account.limit, request.cost):
            # The last window's total must be read; not needed while the cost fits whatever it held.
            account.waiting_requests.append(request)
            if not account.reading_prev:
                account.reading_prev = True
                self.call_counter(account, 0.0, request, windows_ago=1)
            return
        # Exception for a full burst after light use: the token bucket, fed by the same totals, may still hold
        # what the two-window estimate refuses. The floor belongs to that estimate; the bucket needs none.
        within_quota = (
            fits(used, account.limit, request.cost) or request.cost <= account.limit - account.deficit
        )
        decay_factor = math.exp((account.counts_decayed_at - self.now) / (3 * DECAY_TIME))
        account.decision_count, account.admitted_count, account.counts_decayed_at = (
            account.decision_count * decay_factor + 1,
            account.admitted_count * decay_factor + within_quota,
            self.now,
        )
        self.admit_shares[request.event.is_retry] += (
            EWMA_WEIGHT / 2 * (within_quota - self.admit_shares[request.event.is_retry])
        )
        self.apply_decision(request, within_quota, by_total=True)

    def decide_locally(self, request: PendingRequest) -> None:
        """Decides without the counter: by the bucket as last known, and the use assumed of others."""
        if request in request.account.waiting_requests:
            request.account.waiting_requests.remove(request)
        account = request.account
        within_quota = request.cost <= account.limit - account.deficit
        # A share of the quota below one request is granted by chance, as often as totals admitted lately.
        chance = self.admit_chance(request) if account.limit / account.spread < request.cost else 1.0
        self.apply_decision(request, within_quota and self.rng.random() < chance)

    def admit_chance(self, request: PendingRequest) -> float:
        """The share of such requests that totals admitted lately.

        The account's own, mixed with the share of all accounts, which weighs as one decision.
        """
        account, decay_factor = (
            request.account,
            math.exp((request.account.counts_decayed_at - self.now) / (3 * DECAY_TIME)),
        )
        return (account.admitted_count * decay_factor + self.admit_shares[request.event.is_retry]) / (
            account.decision_count * decay_factor + 1
        )

    def apply_decision(self, request: PendingRequest, within_quota: bool, by_total: bool = False) -> None:
        """Sends what is inside the quota; beyond it, only where that earns more than it costs."""
        account, plan = request.account, request.account.plan
        if plan.open and account.open_attempts >= math.ceil(plan.open / account.spread):
            within_quota = False
        request.undecided, request.beyond_quota = False, not within_quota
        if not within_quota and by_total:  # chance and overload say nothing about the account
            account.denied_until = self.now + DEFER_WINDOWS * account.window_s
        # Totals tell of all use only if all clocks agree, which nobody here can know. The part of the ceiling
        # holds without them, so all that is sent is charged to it.
        reserve = 0.0 if within_quota else BEYOND_QUOTA_RESERVE * plan.ceiling_burst
        needed_headroom = request.cost + reserve / account.spread
        if not within_quota:
            self.refund(request)
        else:
            account.deficit += request.cost
            if request.counted is False:  # no call was made: the next one adds it
                request.counted = True
                self.count_later(account, request.cost, at_once=by_total)
        if (within_quota or plan.over_worth > plan.over_cost) and (
            not plan.ceiling_rate or account.headroom >= needed_headroom
        ):
            self.dispatch(request)
        else:
            if within_quota:
                account.deficit = max(0.0, account.deficit - request.cost)
                self.refund(request)
            self.refuse(request)

    def refund(self, request: PendingRequest) -> None:
        """Takes back the units of a refused request; a call still out is settled when it is answered."""
        if request.counted:
            request.counted = False
            self.count_later(request.account, -request.cost, at_once=True)

    def retry_after(self, request: PendingRequest) -> float:
        """How long the client should wait before it tries again (s).

        Until the bucket holds the cost; under overload the longer the more is shed, and spread out at random.
        """
        account = request.account
        wait = (
            max(0.0, account.deficit + request.cost - account.limit) / account.plan.rate
            if account.window_s
            else request.cls.aim
        )
        if account.plan.ceiling_rate > 0:  # until this gateway's part of the ceiling holds the cost
            missing = request.cost - account.headroom
            wait = max(wait, missing * account.spread / account.plan.ceiling_rate)
        wait = max(
            wait,
            request.shed_share * HOLD_SHARE * request.cls.aim * (1 - self.rng.random() / 2),
            self.settings.tick,
        )
        return min(self.settings.max_retry_after, wait)

    # --- server choice -----------------------------------------------------------------------------------
    def on_list(self, event: interface.ServerList) -> None:
        """Takes over a server list; a server with a new start begins without a history."""
        if event.kind in (ListKind.COMPLETE, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            self.servers = {
                server_id: server for server_id, server in self.servers.items() if server_id in listed
            }
        for entry in event.entries:
            old = self.servers.get(entry.server)
            if entry.health is Health.GONE:
                self.servers.pop(entry.server, None)
            elif old is None or old.entry.started != entry.started:
                self.servers[entry.server] = Server(entry, self.now, self.slow_start.record(entry, self.now))
            else:
                old.entry = entry
        self.slow_start.record_list(event.kind)
        self.update_ready()

    def update_ready(self) -> None:
        """Lists the servers that may be chosen: ready, not banned, not in a zone that the fleet has left."""
        listed_ready = {
            server_id for server_id, server in self.servers.items() if server.entry.health is Health.READY
        }
        usable = listed_ready - self.banned.keys()
        self.untried = [server_id for server_id in self.untried if server_id in self.servers]
        in_use = {
            server_id
            for server_id in usable
            if self.zone_share(self.servers[server_id]) > 0 or server_id in self.untried
        }
        self.ready = sorted(in_use or usable)  # if all zones are left, all are used
        self.release_held()

    def zone_share(self, server: Server) -> float:
        """The fraction of its normal traffic that the fleet sends to the server's zone; 0: it has left it."""
        return self.zone_shares.get(server.entry.zone, 1.0)

    def on_zone(self, event: interface.ZoneShare) -> None:
        """Notes a zone's share; if the zone is left, cancels attempts of SAFE requests there.

        Its trial server, if one is named, gets the next request that may go there.
        """
        self.zone_shares[event.zone] = event.share
        for request in self.requests.values() if event.share <= 0 and self.settings.allow_cancel else ():
            for attempt, server_id in (
                request.in_flight.items()
                if request.cls.idempotency is Idempotency.SAFE and not request.final
                else ()
            ):
                if server_id in self.servers and self.servers[server_id].entry.zone == event.zone:
                    self.actions.append(interface.Cancel(request.id, attempt))
        if (old := self.servers.get(event.trial_server)) and event.trial_server not in self.untried:
            self.servers[event.trial_server] = Server(old.entry, self.now, old.started_at)
            self.untried.append(event.trial_server)
        self.update_ready()

    def on_ban(self, event: interface.BanChanged) -> None:
        """Bans a server, or lifts its ban and drops its history.

        If no start after the ban is listed, the server counts as started now: it may have been restarted
        meanwhile, and lists tell of that late.
        """
        if event.banned:
            self.banned[event.server] = event.at
        elif (banned_at := self.banned.pop(event.server, None)) is not None:
            if old := self.servers.get(event.server):
                unbanned_at = self.now if old.entry.started < banned_at else 0.0
                self.servers[event.server] = Server(old.entry, self.now, old.started_at, unbanned_at)
                self.untried.append(event.server)
        self.update_ready()

    def count_avoided(self, now: float) -> int:
        """How many listed servers get nothing now: banned, draining, or ejected for some class."""
        ready = set(self.ready)
        return sum(
            server_id not in ready or any(failure[1] > now for failure in server.failures.values())
            for server_id, server in self.servers.items()
        )

    def capacity_share(self, server: Server) -> float:
        """The share of its capacity that a server can be given now: by slow start and by its zone."""
        return min(self.warm_share(server), self.zone_share(server))

    def warm_share(self, server: Server) -> float:
        """The share of its capacity that slow start allows, since its start or a lifted ban; 1: warm."""
        return self.slow_start.share(max(server.started_at, server.unbanned_at), self.now)

    def slowness(self, server: Server) -> float:
        """The server's time over the usual; returns to 1 as its last answer ages, which says little then."""
        return 1 + (server.slowdown - 1) * math.exp((server.last_ok_at - self.now) / DECAY_TIME)

    def expected_wait(self, server: Server, request: PendingRequest) -> float:
        """Expected time at the server, relative to the usual.

        It depends on the server's speed, queue and weight, on the age of this gateway's oldest attempt there,
        on the price of another zone, and on whether a connection must be opened.
        """
        slowness = self.slowness(server)
        if server.in_flight:
            oldest_start = next(iter(server.in_flight.values()))
            slowness = max(
                slowness,
                (self.now - oldest_start) / (2 * self.usual_times[request.event.cls % len(self.usual_times)]),
            )
        zone_price = self.settings.cross_zone_price if server.entry.zone != self.settings.zone else 0.0
        if self.now - server.connection_used_at >= self.settings.idle_timeout:
            slowness *= NEW_CONNECTION_FACTOR
        weight = server.entry.weight if server.entry.weight > 0 else 1.0
        return slowness * (1 + zone_price) * (1 + len(server.in_flight) + server.queue_length) / weight

    def choose_server(self, request: PendingRequest, avoid: set[int]) -> int | None:
        """The better of two servers drawn at random that can take the request; None if none can.

        `avoid`: servers that have had an attempt of it.
        """
        class_index, ready, usual_time = (
            request.event.cls,
            self.ready,
            self.usual_times[request.event.cls % len(self.usual_times)],
        )
        if (
            request.may_have_run_on >= 0
            and request.cls.idempotency is Idempotency.KEYED
            and request.cls.dedup_scope is not DedupScope.ALL
        ):
            ready = [candidate_id for candidate_id in ready if self.same_dedup_scope(request, candidate_id)]
        # For servers that slow down the more they hold. Drawback: may refuse where all requests take long.
        max_queued = (
            request.cls.aim * QUEUE_AIM_SHARE * (BEYOND_QUOTA_RESERVE if request.beyond_quota else 1.0)
        )
        candidates: list[tuple[int, Server]] = []
        # Ejected ones only if no other is there: one that fails quickly has room for all that others lack.
        ejected_candidates, healthy = list[tuple[int, Server]](), 0
        drawn, first_may_be_cold = self.draw_candidates(ready, request)
        for position, server_id in enumerate(drawn):
            server = self.servers[server_id]
            # A cold server is sent only what it was drawn first for, never as the other of two.
            cold, ejected = (
                self.capacity_share(server) < 1,
                server.failures.get(class_index, [0.0, 0.0])[1] > self.now,
            )
            full = len(server.in_flight) * self.slowness(server) * usual_time >= max_queued
            if cold and (position or not first_may_be_cold) or server_id in avoid or full:
                healthy += not ejected
                continue
            if cold and not ejected:
                return server_id
            (ejected_candidates if ejected else candidates).append((server_id, server))
            if len(candidates) == 2:
                break
        if not (candidates := candidates or ejected_candidates[: 0 if healthy else 2]):
            return None
        server_id, server = min(
            candidates, key=lambda candidate: (self.expected_wait(candidate[1], request), candidate[0])
        )
        failure = server.failures.get(request.event.cls)
        if failure and failure[0] > EJECT_SHARE:  # a trial: no other until it has ended
            failure[1] = self.now + failure[2]
        return server_id

    def draw_candidates(self, ready: list[int], request: PendingRequest) -> tuple[list[int], bool]:
        """Candidates at random, and whether the first may be a cold server.

        A cold server is drawn first, compared with a warm one, in proportion to its capacity: so all gateways
        together, many or few, even or uneven, send it that part of what a warm one gets, however many are
        cold. By rejection sampling: the cost does not grow with the servers.
        """
        drawn = self.rng.sample(ready, min(MAX_CANDIDATES, len(ready)))
        drawn.sort(
            key=lambda candidate_id: (
                self.settings.cross_zone_price > 0
                and self.servers[candidate_id].entry.zone != self.settings.zone
            )
        )
        for server_id in self.untried:  # few requests would not reach it for long
            if server_id in ready and (
                request.cls.idempotency is Idempotency.SAFE or self.zone_share(self.servers[server_id]) > 0
            ):
                return [server_id, *(other_id for other_id in drawn if other_id != server_id)], True
        for _ in range(MAX_CANDIDATES if drawn else 0):
            first_id = self.rng.choice(ready)
            share = self.capacity_share(self.servers[first_id])
            if share >= 1 or self.rng.random() < share * self.cold_factor * self.cold_damping(drawn):
                return [first_id, *(other_id for other_id in drawn if other_id != first_id)], True
        # All were rejected. If all zones are left, one there may be used; a cold one may not.
        return drawn, bool(drawn) and self.warm_share(self.servers[drawn[0]]) >= 1

    def cold_damping(self, drawn: list[int]) -> float:
        """Factor on a cold server's part where most of those drawn are cold.

        The less of the whole capacity is there, the more of the missing servers' traffic falls on each.
        """
        available = sum(self.warm_share(self.servers[server_id]) for server_id in drawn) / len(drawn)
        return min(1.0, available / MIN_WARM_SHARE)

    def same_dedup_scope(self, request: PendingRequest, server_id: int) -> bool:
        """Whether the server recognises repeats together with the one that may have run the request."""
        first, other = self.servers.get(request.may_have_run_on), self.servers.get(server_id)
        if first is None or other is None:
            return False
        by_zone = request.cls.dedup_scope is DedupScope.ZONE
        return first.entry.zone == other.entry.zone if by_zone else first.entry.cell == other.entry.cell

    # --- attempts ----------------------------------------------------------------------------------------
    def may_send(self, request: PendingRequest) -> bool:
        """Whether an attempt is allowed by idempotency, dedup window, number of attempts and deadline."""
        if request.final or request.streaming or len(request.attempts) >= self.settings.max_attempts:
            return False
        if self.now >= request.deadline - self.settings.tick:
            return False
        if request.may_have_run_on < 0 or request.cls.idempotency is Idempotency.SAFE:
            return True
        return (
            request.cls.idempotency is Idempotency.KEYED
            and self.now + self.settings.tick < request.may_have_run_at + request.cls.dedup_window
        )

    def dispatch(self, request: PendingRequest) -> None:
        """Sends an attempt, holds the request for a while if no server is listed, or gives it up."""
        avoid, account = {earlier.server for earlier in request.attempts}, request.account
        allowed = self.may_send(request) and (
            request.attempts or request.passed_shedding or not self.should_shed(request)
        )
        server_id = self.choose_server(request, avoid) if allowed else None
        if allowed and server_id is None and avoid:
            server_id = self.choose_server(request, set())
        if allowed and not self.ready and not self.banned and self.now < request.held_until:
            self.held[request.id] = request
            return
        if server_id is None:
            return self.give_up(request)
        server = self.servers[server_id]
        if self.untried and server_id in self.untried:
            self.untried.remove(server_id)
            self.update_ready()
        if not request.sent:
            account.headroom -= request.cost
        request.sent = True
        request.in_flight[number := len(request.attempts)] = server_id
        request.attempts.append(
            attempt := Attempt(request, server_id, self.now, self.use_kept_connection(server_id, server))
        )
        account.open_attempts += 1
        if request.may_have_run_on < 0:
            request.may_have_run_on, request.may_have_run_at = server_id, self.now
        server.in_flight[(request.id, number)] = math.inf if request.event.body_pending else self.now
        if not request.event.body_pending:
            self.start_timing(request, attempt)
        self.actions.append(interface.Send(request.id, server_id, request.deadline))

    def start_timing(self, request: PendingRequest, attempt: Attempt) -> None:
        """Times the attempt from now on, and counts it as load; its body, if any, is written."""
        attempt.sent_at, attempt.is_load = self.now, True
        self.sent_attempts[request.event.cls % len(self.sent_attempts)].append(attempt)
        self.in_flight_count += 1
        self.in_flight_inverse_aims += 1 / request.aim
        self.in_flight_start_ratios += self.now / request.aim

    def start_answer(self, attempt: Attempt) -> None:
        """Takes an attempt whose answer has begun out of the load: the rest comes as its server writes it."""
        self.decay()
        attempt.answer_started_at = self.now
        self.end_attempt(attempt, False)

    def use_kept_connection(self, server_id: int, server: Server) -> bool | None:
        """Whether the next attempt there uses a kept idle connection; None: there is one in use.

        Avoids connections that died unnoticed. Those of all servers are taken together, as one gateway uses
        each rarely, and compared with new ones, as congestion loses both. Drawback: opening one costs.
        """
        if server.in_flight or self.now - server.connection_used_at >= self.settings.idle_timeout:
            return None if server.in_flight else False
        new_loss, kept_loss = (
            losses / (uses + 1)
            for losses, uses in zip(self.connection_losses, self.connection_uses, strict=True)
        )
        if kept_loss <= STALE_LOSS_SHARE + 2 * new_loss:
            return True
        self.actions.append(interface.Close(server_id))
        return False

    def should_shed(self, request: PendingRequest) -> bool:
        """Whether overload sheds the request; those of the lowest worth are shed first.

        The load is the mean time over aim of recent answers and of attempts in flight, at all servers
        together, mixed with a few calm outcomes; whatever its cause is.
        """
        self.decay()
        age_ratios = self.now * self.in_flight_inverse_aims - self.in_flight_start_ratios
        overdue = self.overdue_load()
        outcomes = self.recent_answers + overdue + self.in_flight_count + PRIOR_OUTCOMES
        load = (
            self.recent_aim_ratios + 2 * overdue + age_ratios + PRIOR_OUTCOMES * SHED_START / 2
        ) / outcomes
        shed_share = min(0.95, self.late_shed_share + max(0.0, load - SHED_START) / (SHED_FULL - SHED_START))
        request.shed_share = shed_share
        if shed_share > 0 and not request.beyond_quota:
            worth = self.worth_per_time(request)
            rank = sum(other < worth for other in self.recent_worths) + self.rng.random() * sum(
                other == worth for other in self.recent_worths
            )
            shed_share -= rank / len(self.recent_worths)
        request.passed_shedding = shed_share <= 0
        if shed_share > 0:
            # Keeps old observations from upholding the shedding: the more is shed, the less new is observed.
            self.recent_answers, self.recent_aim_ratios = (
                self.recent_answers + SHED_WEIGHT,
                self.recent_aim_ratios + SHED_WEIGHT * SHED_START / 2,
            )
        return shed_share > 0

    def overdue_load(self) -> float:
        """How many lost or overdue attempts count as load: only as far as answers are slow too, or missing.

        Shedding is no help against what quick servers lose (dead connections, swallowed requests). Drawback:
        a few congested servers among quick ones are left to the choice of servers.
        """
        return self.recent_overdue * min(
            1.0, max(2 * self.mean_aim_ratio / SHED_START - 1, self.loss_share**2)
        )

    def decay(self) -> None:
        """Ages the load figures. `late_shed_share` grows while many end late, as clients may then repeat."""
        elapsed, self.decayed_at = self.now - self.decayed_at, self.now
        overdue = self.overdue_load()
        excess = (self.recent_late + overdue) / (
            self.recent_answers + overdue + PRIOR_OUTCOMES
        ) - LATE_SHARE_TARGET
        self.late_shed_share = min(
            0.95, max(0.0, self.late_shed_share + excess * elapsed * (SHED_RISE if excess > 0 else SHED_FALL))
        )
        decay_factor = math.exp(-elapsed / DECAY_TIME)
        self.connection_uses, self.connection_losses = (
            [value * decay_factor for value in self.connection_uses],
            [value * decay_factor for value in self.connection_losses],
        )
        decay_factor = math.exp(-elapsed / LOAD_DECAY_TIME)
        recent = self.recent_answers, self.recent_aim_ratios, self.recent_late, self.recent_overdue
        self.recent_answers, self.recent_aim_ratios, self.recent_late, self.recent_overdue = (
            value * decay_factor for value in recent
        )
        for attempts, cls in zip(self.sent_attempts, self.settings.classes, strict=True):
            while attempts and (not attempts[0].is_load or self.now - attempts[0].sent_at >= cls.aim):
                if (attempt := attempts.popleft()).is_load:
                    self.end_attempt(attempt, True)

    def end_attempt(self, attempt: Attempt, lost: bool | None) -> None:
        """Takes an ended or overdue attempt out of the load. `lost`: not answered; None: not known."""
        if (kept := attempt.kept_connection) is not None and lost is not None:
            self.connection_uses[kept] += attempt.is_load
            self.connection_losses[kept] = max(
                0.0, self.connection_losses[kept] + attempt.is_load - (not lost)
            )
        if attempt.is_load:
            attempt.is_load = False
            self.in_flight_count -= 1
            self.in_flight_inverse_aims -= 1 / attempt.request.aim
            self.in_flight_start_ratios -= attempt.sent_at / attempt.request.aim
            if lost:
                self.recent_overdue += 1
                self.loss_share += 2 * EWMA_WEIGHT * (1 - self.loss_share)

    def worth_per_time(self, request: PendingRequest) -> float:
        """Worth per second of usual time: a class that now takes long is shed before one that is quick."""
        return (
            request.cls.worth
            * request.account.plan.price
            / self.usual_times[request.event.cls % len(self.usual_times)]
        )

    def on_outcome(self, event: interface.Outcome) -> None:
        """Takes the end of an attempt: learns, settles units, then closes, retries or gives up."""
        server, request = self.servers.get(event.server), self.requests.get(event.request)
        if server:
            self.record_outcome(server, event, request)
        if request is None:
            return
        if request.in_flight.pop(event.attempt, None) is not None:
            request.account.open_attempts = max(0, request.account.open_attempts - 1)
            attempt = request.attempts[event.attempt]
            elapsed = self.now - attempt.sent_at
            if event.end is End.OK:
                elapsed = min(elapsed, attempt.answer_started_at - attempt.sent_at)
            may_be_slow = (
                elapsed < LOST_TIME_FACTOR * self.usual_times[request.event.cls % len(self.usual_times)]
            )
            lost = event.end is End.RESET or event.end in (End.TIMEOUT, End.CANCELLED) and not may_be_slow
            answered = event.end in (End.OK, End.ERROR, End.REJECTED)
            if server:
                server.connection_used_at = self.now if answered else -math.inf
            self.decay()
            if attempt.answer_started_at == math.inf:
                self.end_attempt(attempt, lost if lost or answered else None)
            if not lost and event.end in (End.OK, End.REJECTED, End.TIMEOUT, End.CANCELLED):
                aim_ratio = max(elapsed / request.aim, float(event.end in (End.REJECTED, End.TIMEOUT)))
                self.recent_answers, self.recent_aim_ratios = (
                    self.recent_answers + 1,
                    self.recent_aim_ratios + aim_ratio,
                )
                self.recent_late += aim_ratio >= 1
                self.mean_aim_ratio += 2 * EWMA_WEIGHT * (min(1.0, aim_ratio) - self.mean_aim_ratio)
                self.loss_share *= 1 - 2 * EWMA_WEIGHT
        request.may_have_run = request.may_have_run or event.end not in interface.NEVER_RAN
        if not request.may_have_run and not request.in_flight:
            request.may_have_run_on, request.may_have_run_at = -1, math.inf
        account = request.account
        if (
            event.end is End.OK
            and event.true_units
            and not request.beyond_quota
            and self.settings.charge_true_units
        ):
            difference = event.true_units - request.cost
            if account.window_s:
                account.advance(self.now)
                account.deficit = max(0.0, account.deficit + difference)
                self.count_later(account, difference)
            request.cost = event.true_units
        if event.final or event.end is End.OK:
            self.close_request(request)
        elif not request.final and not request.in_flight:
            uses_budget = event.end not in (End.CONNECT_FAILED, End.ERROR)  # others may be signs of load
            if (
                event.end is End.NOT_SENT
                or (uses_budget and self.retry_budget < 1)
                or self.now >= request.deadline - self.settings.tick
            ):
                self.give_up(request)
            else:
                self.retry_budget -= uses_budget
                self.dispatch(request)
        if request.final and not request.in_flight:
            self.forget_request(request)
        self.release_held()

    def record_outcome(
        self, server: Server, event: interface.Outcome, request: PendingRequest | None
    ) -> None:
        """Learns a server's speed, and ejects it for a class of which too large a share fails."""
        server.in_flight.pop((event.request, event.attempt), None)
        class_index = request.event.cls if request else 0
        if event.end is End.OK:
            server.last_ok_at = self.now
            if math.isfinite(queue_length := event.load.get("queue", 0.0)):
                server.queue_length = min(max(0.0, queue_length), 20.0)
            if request:
                index = class_index % len(self.usual_times)
                server.slowdown += (
                    2 * EWMA_WEIGHT * (min(20.0, event.duration / self.usual_times[index]) - server.slowdown)
                )
                self.usual_times[index] += (
                    EWMA_WEIGHT
                    / 10
                    * (min(event.duration, 4 * self.usual_times[index]) - self.usual_times[index])
                )
            if class_index in server.failures:
                server.failures[class_index] = [
                    min(EJECT_SHARE, server.failures[class_index][0] * (1 - ERROR_WEIGHT)),
                    0.0,
                    MIN_EJECT_TIME,
                ]
        elif event.end in (End.TIMEOUT, End.REJECTED):
            server.slowdown = min(20.0, server.slowdown * 1.2)
        if event.end not in (End.ERROR, End.RESET, End.TIMEOUT, End.CONNECT_FAILED):
            return
        # One of forty gateways may use a server once in many seconds: the fewer samples in DECAY_TIME, the
        # more an error weighs, and the longer the first ejection is.
        samples = max(1.0, self.recent_answers / LOAD_DECAY_TIME * DECAY_TIME / max(1, len(self.ready)))
        error_weight, first_eject_time = (
            max(ERROR_WEIGHT, RARE_ERROR_WEIGHT / samples),
            max(MIN_EJECT_TIME, MAX_EJECT_TIME / samples),
        )
        # By class: a server may fail or swallow one class, serve the others, and attract ever more by failing
        # quickly. A failed connect counts for all classes.
        weight = {End.TIMEOUT: EWMA_WEIGHT, End.CONNECT_FAILED: 1.0}.get(event.end, error_weight)
        for index in range(len(self.usual_times)) if event.end is End.CONNECT_FAILED else [class_index]:
            failure = server.failures.setdefault(index, [0.0, 0.0, first_eject_time])
            failure[0] += (1 - failure[0]) * weight
            if failure[0] > EJECT_SHARE:
                failure[1:] = [
                    self.now + max(first_eject_time, failure[2]),
                    min(MAX_EJECT_TIME, 2 * failure[2]),
                ]

    # --- final answers and guards --------------------------------------------------------------------------
    def close_request(self, request: PendingRequest) -> None:
        """Ends the request, which has its final answer or whose client has gone; refunds it if never sent."""
        request.final, request.undecided = True, False
        if self.settings.allow_cancel:  # no other answer is wanted
            self.actions.extend(interface.Cancel(request.id, attempt) for attempt in request.in_flight)
        self.held.pop(request.id, None)
        if not request.sent:
            self.refund(request)
        if not request.in_flight:
            self.forget_request(request)

    def forget_request(self, request: PendingRequest) -> None:
        """Drops a request that is over, and its attempts' references to it with it."""
        self.requests.pop(request.id, None)
        request.attempts.clear()

    def safe_to_refuse(self, request: PendingRequest) -> bool:
        """Whether repeating the request does no harm, as a refusal promises."""
        if request.may_have_run_on < 0 or request.cls.idempotency is Idempotency.SAFE:
            return True
        return request.cls.idempotency is Idempotency.KEYED and request.cls.dedup_scope is DedupScope.ALL

    def refuse(self, request: PendingRequest) -> None:
        """Refuses the request, with the time after which its client may repeat it."""
        self.actions.append(interface.Refuse(request.id, self.retry_after(request)))
        self.close_request(request)

    def give_up(self, request: PendingRequest) -> None:
        """Refuses a request that no server can or may take, if a repeat does no harm; else fails it."""
        request.shed_share = request.shed_share or 1.0  # the client is told to wait
        if not request.sent and not request.beyond_quota:
            self.refund(request)
            request.account.deficit = max(0.0, request.account.deficit - request.cost)
        if self.safe_to_refuse(request):
            return self.refuse(request)
        self.actions.append(interface.Fail(request.id))
        self.close_request(request)

    def release_held(self) -> None:
        """Sends the held requests, the oldest first, as soon as a server may be chosen."""
        while self.held and self.ready:
            self.dispatch(self.held.popitem(last=False)[1])

    def run_housekeeping(self) -> None:
        """Gives up held requests, counts units that no call has taken along, and drops idle accounts."""
        for request in list(self.held.values()):
            if self.now >= request.held_until:
                self.held.pop(request.id)
                self.give_up(request)
        for account in list(self.uncounted_accounts.values()):
            account.advance(self.now)
            if (
                not account.uncounted_units
                or self.now - account.uncounted_since > DEFER_WINDOWS * account.window_s
            ):
                del self.uncounted_accounts[account.id]
                if account.uncounted_units and self.call_share >= 1:  # if overloaded, they wait or lapse
                    self.call_counter(account, 0.0, None)
        self.drop_idle_accounts()

    def drop_excess_accounts(self) -> None:
        """Drops accounts beyond the number that is kept, those first that have not been seen for longest.

        What the counter knows of them is read again when they come back.
        """
        while len(self.accounts) > self.max_accounts:
            account = next(iter(self.accounts.values()))
            if self.now - account.seen_at < MIN_ACCOUNT_AGE:
                return
            self.accounts.move_to_end(account.id)
            if account.open_attempts or account.waiting_requests:
                account.seen_at = self.now
                continue
            if self.uncounted_accounts.pop(account.id, None) and account.uncounted_units:
                self.call_counter(account, 0.0, None)
            account.advance(self.now)
            if account.headroom < account.plan.ceiling_burst / account.spread:
                self.headroom_forgotten_at = self.now
            del self.accounts[account.id]

    def drop_idle_accounts(self) -> None:
        """Drops the accounts that have not been seen for so long that a new one is as good."""
        while self.accounts:
            account = next(iter(self.accounts.values()))
            # By then all windows it knows are over and its part of the ceiling is full: a new one is as good.
            if (
                self.now - account.seen_at < max(ACCOUNT_IDLE_TIME, TTL_WINDOWS * account.window_s)
                or account.open_attempts
                or account.waiting_requests
            ):
                break
            del self.accounts[account.id]


def check_settings(settings: interface.Settings) -> None:
    """Raises SettingsError, naming the field, for settings that cannot be used."""

    def require(ok: bool, message: str) -> None:
        if not ok:
            raise interface.SettingsError(message)

    for name in ("classes", "plans"):
        require(len(getattr(settings, name)) > 0, f"{name}: at least one is needed")
    require(settings.gateways >= 1, "gateways: must be 1 or more")
    for n, cls in enumerate(settings.classes):
        require(cls.aim > 0, f"classes[{n}].aim: must be above 0")
        require(cls.deadline > 0, f"classes[{n}].deadline: must be above 0")
        require(isinstance(cls.idempotency, Idempotency), f"classes[{n}].effect: unknown effect")
    for n, plan in enumerate(settings.plans):
        for name in ("rate", "burst", "open", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
            require(0 <= getattr(plan, name) < math.inf, f"plans[{n}].{name}: must be 0 or more")
        require(plan.rate == 0 or plan.burst > 0, f"plans[{n}].burst: must be above 0 where there is a rate")
