"""All decisions of a gateway. The types it speaks are in interface.py.

Ordinary path: a request's told units are added to its customer's current-window name on the counter; the
total before the add, plus the last window's total weighted by what is left of it, is floored; the request
is admitted when its cost fits the remainder of the quota, else the add is taken back and it is refused.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque

from starlinggap import interface
from starlinggap.interface import Action, DedupScope, End, Health, Idempotency, ListKind
from starlinggap.quota import MAX_NAME_TTL, TTL_WINDOWS, Account, counter_name, estimate_use, fits
from starlinggap.slow_start import SlowStart

# --- constants: each is a share of something the settings give, or a plain habit of the field -------------
COUNTER_WAIT_SHARE = 0.6  # of counter_timeout: a healthy answer takes a tenth of it, and a client is waiting
# A counter that is merely busy may be waited for longer, if the wait stays below both of these.
MAX_COUNTER_WAIT_SHARE, COUNTER_WAIT_AIM_SHARE = 0.95, 0.035  # of counter_timeout; of the class's aim
QUICK_ANSWER_SHARE = 0.3  # of counter_timeout: quicker answers, or any within twice the least time, show room
CALL_SHARE_STEP, CALL_SHARE_CUT = 0.03, 0.7  # added by a quick answer; factor after a failed call
CALL_SHARE_RISE = 0.2  # added per second while the newest is quick: one gateway of many has few answers
CALL_SHARE_SLOW = 0.95  # factor after a slow answer: more calls would lengthen its queue in vain
MIN_CALL_SHARE = 0.25  # after a quick answer: a counter that has recovered is used again at once
MIN_STAKE_WEIGHT = 0.3  # factor on call_share for requests that are worth next to nothing
COUNTER_PROBE_INTERVAL = 3.0  # s, times 0.5 to 1.5 at random: a counter that is not called is read so often
DEFER_WINDOWS = 0.25  # windows that uncounted units wait for another call, and that a refusal by total stands
HOUSEKEEPING_PERIOD, IDLE_PERIOD = 0.05, 0.25  # s between rounds, with requests held and without
EWMA = 0.1  # weight of the newest value in an exponential moving average: about the last ten count
COLD_BUDGET_SHARE = 0.6  # of the fall budget: chance and costly requests need some room
WARM_PEAK_LOAD = 1.5  # times its capacity: a warm server is sent no more, even before overload sheds
MIN_WARM_SHARE = 0.35  # of the whole capacity: with less of it there, cold servers get less than their part
MAX_CANDIDATES = 8  # servers drawn at most to find two that can take a request
DECAY_TIME = 10.0  # s, time constant of what is known of a server's speed; 3x that for an account's decisions
EJECT_SHARE = 0.5  # failed share of a class's recent attempts at a server: above it the server is ejected
RARE_WEIGHT = 0.9  # of an error at a server that is tried once or less in DECAY_TIME: one is enough there
ERROR_WEIGHT = 0.3  # of an error elsewhere: three in a row eject, one or two are chance
MIN_EJECT_TIME, MAX_EJECT_TIME = 0.5, 8.0  # s out after the first ejection, and at most: it doubles
STALE_LOSS_SHARE = 0.1  # lost on kept connections, beyond twice that on new ones: above it none is reused
RETRY_BUDGET_RATIO = 0.1  # further attempts for each request: more would feed an overload
MAX_RETRY_BUDGET = 10.0  # further attempts that may be saved up
NEW_CONNECTION_FACTOR = 1.5  # on the expected wait: opening one costs the server, and so all gateways
QUEUE_AIM_SHARE = 0.4  # of the aim: a server is sent no more than it works off, one by one, in that time
SHED_START, SHED_FULL = 0.3, 0.8  # of the aim: expected times between these shed more and more requests
LOST_TIME_FACTOR = 4.0  # times the usual time: an attempt given up sooner may just be slow for its client
LATE_SHARE_TARGET = 0.25  # share of recent ends late or lost: shedding grows above it, shrinks below
SHED_RISE, SHED_FALL = 0.5, 3.0  # times that excess, per second: attempts sent before the shedding end late
LOAD_DECAY_TIME = 3.0  # s, time constant of the load: long for one gateway's traffic, short beside an outage
SHED_WEIGHT = 0.4  # calm outcomes that a shed request counts as, so that old observations fade
PRIOR_OUTCOMES = 1.5  # calm outcomes, at half of SHED_START, that one gateway's few outcomes are mixed with
WORTH_SAMPLES = 200  # recent requests among which a request's worth is ranked
ACCOUNT_IDLE_TIME = 15.0  # s for which an account not seen is kept at least: many come only once
HOLD_TIME = 0.5  # of the aim: a request that no server can take is held this long, then refused
TOTAL_LOST = (End.ERROR, End.RESET)  # the counter has added the units, but the total did not arrive
BEYOND_QUOTA_RESERVE = 0.5  # of the local ceiling, and of the aim: kept free of beyond-quota requests


class Attempt:
    """An attempt; `kept`: on a kept connection or a new one, None: a shared one; `is_load`: not overdue."""

    def __init__(self, request: PendingRequest, server: int, at: float, kept: bool | None) -> None:
        self.request, self.server, self.sent_at, self.kept, self.is_load = request, server, at, kept, False


class PendingRequest:
    """A request that still lacks its final answer, or whose attempts are still out."""

    def __init__(self, event: interface.Request, cls: interface.RequestClass, account: Account,
                 now: float) -> None:  # fmt: skip
        self.id, self.event, self.cls, self.account = event.request, event, cls, account
        self.deadline = now + max(0.0, event.budget)
        self.aim = min(cls.aim, max(event.budget, HOUSEKEEPING_PERIOD))  # an impatient client wants it sooner
        # Not for half its time: a refusal that late does harm.
        self.held_until = min(now + HOLD_TIME * min(cls.aim, 0.8 * event.budget),
                              self.deadline - 2 * HOUSEKEEPING_PERIOD)  # fmt: skip
        self.attempts: list[Attempt] = []
        self.in_flight: dict[int, int] = {}  # attempts out, and where
        self.ran_at, self.ran_on = math.inf, -1  # first attempt that may have run: its time and server
        self.undecided, self.shed = True, 0.0
        self.cleared = self.capped = self.final = self.beyond = self.sent = self.streaming = self.ran = False
        self.counted: bool | None = False  # its units on the counter; None: the call is still out
        self.cost = event.units if 0 < event.units < math.inf else 1.0


class CounterCall:
    """A counter call that has not been answered. `decided`: the verdict passed without its answer."""

    def __init__(self, account: Account, back: int, amount: float, carry: float, req: PendingRequest | None):
        self.account, self.window, self.amount, self.carried = account, account.window - back, amount, carry
        self.request, self.reads_previous, self.reread = req, back > 0, False  # reread: to read a lost total
        self.decided: bool | None = None


class Server:
    """A server as this gateway sees it.

    `returned_at`: when staff gave it back, 0: never. `connection_used_at`: when one to it last worked.
    """

    def __init__(self, entry: interface.ServerEntry, now: float, started_at: float,
                 returned_at: float = 0.0) -> None:  # fmt: skip
        self.entry, self.time_ratio, self.returned_at = entry, 1.0, returned_at
        self.started_at = started_at
        self.failures: dict[int, list[float]] = {}  # by class: share that failed, ejected until, for how long
        self.in_flight: dict[tuple[int, int], float] = {}
        self.last_ok_at, self.connection_used_at, self.queue_length = now, -math.inf, 0.0


class Gateway:
    """One gateway's decisions: `handle` takes what came in and gives what to do."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        check_settings(settings)
        self.settings, self.rng = settings, random.Random(seed)
        self.now, self.actions = 0.0, list[Action]()
        self.started_at = math.inf  # when the first events came: nothing was sent on in this life before
        self.accounts: OrderedDict[int, Account] = OrderedDict()
        self.requests, self.servers = dict[int, PendingRequest](), dict[int, Server]()
        self.ready: list[int] = []  # in the order of their ids; kept when the list changes
        self.banned: dict[int, float] = {}  # by staff, and since when: until they say, listed or not
        self.untried: list[int] = []  # given back by staff, or on trial, and not sent to since
        self.slow_start = SlowStart(settings)
        self.zone_shares: dict[int, float] = {}  # of zones that the fleet has left, 0, or returns to
        self.calls, self.timers = dict[int, deque[CounterCall]](), dict[int, CounterCall | None]()
        self.last_token, self.mean_stake = 0, 1.0  # the last timer's; see `calls_counter`
        # Share of requests that ask the counter, as of when; under 1 it is pressed. Whether its newest answer
        # was quick, and the least time of one lately.
        self.call_share, self.call_share_at, self.counter_quick, self.counter_min_time = (
            1.0, 0.0, True, settings.counter_timeout)  # fmt: skip
        self.counter_probe_at = self.call_share_cut_at = self.counts_lost_at = -math.inf
        self.uncounted: dict[int, Account] = {}
        self.admit_shares = [1.0, 1.0]  # share that totals admitted lately: of first tries, of repeats
        self.usual = [cls.aim / 5 for cls in settings.classes]  # usual time of a class; learned
        self.retry_budget = MAX_RETRY_BUDGET
        # Attempts judged lately, and those of them without an answer: on new connections, and on kept ones.
        self.conn_uses, self.conn_losses = [0.0, 0.0], [0.0, 0.0]
        self.held: OrderedDict[int, PendingRequest] = OrderedDict()
        self.recent_worths: deque[float] = deque(maxlen=WORTH_SAMPLES)  # worth of what lately was asked
        # Attempts out and not overdue: number, sums of 1 / aim and of start / aim. Answered lately: number,
        # sum of time / aim, how many late. Overdue or never answered: number.
        self.in_flight = self.in_flight_aims = self.in_flight_starts = 0.0
        self.answered = self.aim_ratios = self.late = self.overdue = self.shed = self.decayed_at = 0.0
        self.sent_attempts: list[deque[Attempt]] = [deque() for _ in settings.classes]
        self.mean_aim_ratio, self.loss_share = SHED_START, 0.0  # of the last answers; share lost
        self.housekeeping_set, self.list_asked_at = False, -math.inf
        self.cold_factor = min(1.0, settings.collapse_ratio * COLD_BUDGET_SHARE / WARM_PEAK_LOAD)

    # --- events ------------------------------------------------------------------------------------------
    def handle(self, now: float, events: list[interface.Event]) -> list[Action]:
        """Decides on what happened at `now`; the caller carries the actions out in their order."""
        self.now, self.actions = max(now, self.now), []
        self.started_at = min(self.started_at, self.now)
        # What forbids something is heard first: a drain counts from the moment that it was told.
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
            elif isinstance(event, interface.ClientGone) and (req := self.requests.get(event.request)):
                self.close_request(req)
            elif isinstance(event, interface.RequestWritten) and (req := self.requests.get(event.request)):
                if event.attempt in req.in_flight:
                    req.deadline = self.now + req.event.budget
                    self.start_timing(req, req.attempts[event.attempt])
            elif isinstance(event, interface.StreamStarted) and (req := self.requests.get(event.request)):
                req.streaming = True
        if (
            self.settings.list_on_request
            and self.now - self.list_asked_at > self.settings.max_watch_interval / 4
        ):
            self.list_asked_at = self.now
            self.actions.append(interface.WatchList())
        if not self.housekeeping_set and (self.held or self.uncounted or self.accounts):
            self.housekeeping_set = True
            self.set_timer(HOUSEKEEPING_PERIOD if self.held else IDLE_PERIOD, None)
        return self.actions

    def set_timer(self, delay: float, call: CounterCall | None) -> None:
        self.last_token += 1
        self.timers[self.last_token] = call
        self.actions.append(interface.Timer(self.now + delay, self.last_token))

    def on_timer(self, token: int) -> None:
        if token not in self.timers:
            return
        call = self.timers.pop(token)
        if call is None:
            self.housekeeping_set = False
            self.run_housekeeping()
        elif (req := call.request) and req.undecided and call.decided is None:
            self.call_failed()
            if req not in req.account.waiting:
                req.counted = None
            self.decide_locally(req)
            if req.counted is None:
                call.decided = not req.beyond and not req.final

    # --- quota -------------------------------------------------------------------------------------------
    def on_request(self, request: interface.Request) -> None:
        if request.request in self.requests:
            return
        s, account = self.settings, self.accounts.get(request.account)
        cls, plan = s.classes[request.cls % len(s.classes)], s.plans[request.plan % len(s.plans)]
        if account is None:
            account = self.accounts[request.account] = Account(
                request, plan, self.now, self.now - self.started_at)  # fmt: skip
        self.accounts.move_to_end(request.account)
        account.advance(self.now)
        account.seen_at = self.now
        if request.account_workers != account.parts:  # its part is split over more cores, or fewer
            account.headroom *= min(1.0, account.parts / request.account_workers)
            account.spread, account.parts = (
                account.spread // account.parts * request.account_workers,
                request.account_workers,
            )
        if (
            request.exclusive_for < math.inf
        ):  # guards its ceiling against what another core has spent, not known here
            account.headroom = min(
                account.headroom, plan.ceiling_rate / account.spread * request.exclusive_for
            )
        req = self.requests[request.request] = PendingRequest(request, cls, account, self.now)
        self.recent_worths.append(self.worth_per_time(req))
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_RATIO)
        # One wait for all that the counter is asked, and never most of a client's patience: guards against
        # an impatient client's try ending unanswered while the counter is slow.
        longer = min(s.counter_timeout * MAX_COUNTER_WAIT_SHARE, req.aim * COUNTER_WAIT_AIM_SHARE)
        counter_wait = min(max(s.counter_timeout * COUNTER_WAIT_SHARE, longer), request.budget / 2 - s.tick)
        if not account.window_s:
            self.apply_decision(req, True)
        elif (self.call_share < 1 and self.should_shed(req)
              or self.now < account.denied_until and account.deficit + req.cost > account.limit):  # fmt: skip
            # Guards the counter against what overload sheds, and against who repeats till the store has room.
            self.apply_decision(req, False)
        elif s.use_counter and counter_wait > 0 and self.calls_counter(req):
            # Where a refusal is likely a pressed counter is only read first, which saves a refund.
            likely_refused = self.call_share < 1 and self.admit_chance(req) < 0.5
            self.set_timer(counter_wait, self.call_counter(account, 0.0 if likely_refused else req.cost, req))
        else:
            self.decide_locally(req)
            if s.use_counter and self.now >= self.counter_probe_at:
                self.call_counter(account, 0.0, None)

    def calls_counter(self, req: PendingRequest) -> bool:
        """Whether this request asks: by chance, as large a share as this gateway finds answered in time, and
        among them sooner those where a wrong verdict costs most."""
        stake = req.cls.worth * req.account.plan.price * req.cost
        self.mean_stake += EWMA / 2 * (stake - self.mean_stake)
        if self.counter_quick:
            self.call_share = min(1.0, self.call_share + CALL_SHARE_RISE * (self.now - self.call_share_at))
        self.call_share_at = self.now
        weight = MIN_STAKE_WEIGHT + (1 - MIN_STAKE_WEIGHT) * stake / max(self.mean_stake, 1e-9)
        return self.call_share >= 1 or self.rng.random() < self.call_share * weight

    def call_counter(self, account: Account, amount: float, req: PendingRequest | None,
                     back: int = 0) -> CounterCall:  # fmt: skip
        """Calls the counter for the customer's window, `back` windows ago; what is owed rides along."""
        carried = 0.0 if back else account.uncounted
        account.uncounted -= carried
        call = CounterCall(account, back, amount, carried, req)
        name = counter_name(account.id, call.window)
        self.calls.setdefault(name, deque()).append(call)
        self.counter_probe_at = self.now + COUNTER_PROBE_INTERVAL * (0.5 + self.rng.random())
        self.actions.append(interface.Count(name, amount + carried,
                                            min(MAX_NAME_TTL, TTL_WINDOWS * account.window_s)))  # fmt: skip
        return call

    def count_later(self, account: Account, amount: float, at_once: bool = False) -> None:
        if amount and account.window_s and self.settings.use_counter:
            account.uncounted_since = account.uncounted_since if account.uncounted else self.now
            account.uncounted += amount
            self.uncounted[account.id] = account
            if at_once and account.uncounted * amount > 0:  # not for units that were never counted
                self.call_counter(account, 0.0, None)

    def call_failed(self) -> None:
        """A silent, refusing, crawling or crowded counter is asked for a smaller share, in the end trials."""
        if self.now - self.call_share_cut_at > self.settings.counter_timeout * COUNTER_WAIT_SHARE:
            self.call_share_cut_at = self.now
            self.call_share, self.counter_quick = self.call_share * CALL_SHARE_CUT, False

    def on_counted(self, event: interface.CountOutcome) -> None:
        calls = self.calls.get(event.name)
        if not calls:
            return
        call = calls.popleft()
        if not calls:
            del self.calls[event.name]
        account, req = call.account, call.request
        account.advance(self.now)
        total_needed = call.reads_previous or req and req.undecided and call.decided is None
        if event.end in TOTAL_LOST and total_needed and not call.reread:
            # It was added and nobody heard the total: that is read, as if it were the call's own answer.
            call.reread = True
            self.calls.setdefault(event.name, deque()).append(call)
            self.actions.append(interface.Count(
                event.name, 0.0, min(MAX_NAME_TTL, TTL_WINDOWS * account.window_s)))  # fmt: skip
            return
        max_drop = 2 * self.settings.max_units * account.spread  # more than refunds in flight can make
        # A call with no answer is taken as counted, and taken back if its request was refused.
        counted, total = call.reread or event.end not in interface.NEVER_RAN, math.nan
        if event.end is End.OK and math.isfinite(event.total) and event.total >= -max_drop:
            if event.duration > self.settings.counter_timeout * COUNTER_WAIT_SHARE:
                self.call_failed()
            else:
                self.counter_min_time = min(event.duration, self.counter_min_time * 1.01)
                self.counter_quick = event.duration < max(self.settings.counter_timeout * QUICK_ANSWER_SHARE,
                                                      2 * self.counter_min_time)  # fmt: skip
                self.call_share = (min(1.0, max(MIN_CALL_SHARE, self.call_share + CALL_SHARE_STEP))
                                   if self.counter_quick else self.call_share * CALL_SHARE_SLOW)  # fmt: skip
            total = self.apply_total(account, call, max(0.0, event.total), max_drop)
        else:
            if event.end not in TOTAL_LOST:  # one answer that is spoilt or broken off is no sign of pressure
                self.call_failed()
            if not counted:
                self.count_later(account, call.carried)
        if call.reads_previous:
            account.reading_prev = False
            waiting, account.waiting = account.waiting, []
            for waiting_req in waiting:
                if waiting_req.undecided:
                    (self.check_total(waiting_req, account.total - waiting_req.cost) if account.prev_known
                     else self.decide_locally(waiting_req))  # fmt: skip
        elif req and req.undecided and call.decided is None:
            req.counted = counted and call.amount > 0
            if math.isnan(total):
                self.decide_locally(req)
            else:
                self.check_total(req, total - call.amount if call.window == account.window else account.total)
        elif req and call.amount and counted is not bool(call.decided):
            self.count_later(account, call.amount if call.decided else -call.amount, at_once=True)

    def apply_total(self, account: Account, call: CounterCall, total: float, max_drop: float) -> float:
        """Takes a total over, and what it says of the others' use."""
        added = call.amount + call.carried
        if call.window == account.window:
            total += account.lost_units
            if total < account.own_units + added - self.settings.max_units:  # less than was added here
                self.counts_lost_at = self.now
            if total < account.own_units + added - max_drop / 4 or total < account.total + added - max_drop:
                # The counter forgot: believe the last good total and what was added since. Holds against
                # any loss of counts; if a refund this large were real, room is missed for one window.
                account.lost_units += account.total + added - total
                total = account.total + added
            others = max(0.0, increase := total - added - account.total)
            account.headroom -= account.beyond_pays * increase / account.spread  # all bear an equal part
            keep = math.exp(-min(self.now - account.total_at, self.now - account.window * account.window_s)
                            / (2 * account.window_s))  # fmt: skip
            account.others_rate = account.others_rate * keep + others / (2 * account.window_s)
            account.deficit = max(0.0, account.deficit + others - account.assumed_units)
            account.assumed_units, account.total, account.own_units, account.total_at = (
                0.0, total, account.own_units + added, self.now)  # fmt: skip
        elif call.window == account.window - 1:
            account.deficit += max(0.0, total - added - account.prev_total)
            account.prev_total, account.prev_known = (
                max(account.prev_total, total), account.prev_known or call.request is not None)  # fmt: skip
        return total

    def check_total(self, req: PendingRequest, before: float) -> None:
        """The design's test, on the total before the request's own add."""
        account = req.account
        left, prev = max(0.0, account.window + 1 - self.now / account.window_s), account.prev_total
        needs_prev = self.call_share >= 1 or account.plan.ceiling_rate > 0  # a ceiling relies on totals
        if not account.prev_known:  # a pressed counter is not read for it: use is taken to be steady
            prev = max(account.limit, account.prev_total) if needs_prev else account.likely_prev(before, left)
        used = max(0.0, estimate_use(prev, before, left))
        if account.stale or account.deficit > used:
            account.deficit, account.stale = used, False
        if not account.prev_known and needs_prev and not fits(used, account.limit, req.cost):
            # Only a read of the last window can tell; while the cost fits whatever it held, none is needed.
            account.waiting.append(req)
            if not account.reading_prev:
                account.reading_prev = True
                self.call_counter(account, 0.0, req, back=1)
            return
        # Exception, full burst after light use: the told store, followed by the same totals, may still hold
        # what the window's estimate refuses. The floor belongs to that estimate; the store needs none.
        inside = fits(used, account.limit, req.cost) or req.cost <= account.limit - account.deficit
        keep = math.exp((account.judged_at - self.now) / (3 * DECAY_TIME))
        account.judged, account.admitted, account.judged_at = (
            account.judged * keep + 1, account.admitted * keep + inside, self.now)  # fmt: skip
        self.admit_shares[req.event.is_retry] += EWMA / 2 * (inside - self.admit_shares[req.event.is_retry])
        self.apply_decision(req, inside, by_total=True)

    def decide_locally(self, req: PendingRequest) -> None:
        """Without the counter: the store as last known, filled by what others were seen to leave."""
        if req in req.account.waiting:
            req.account.waiting.remove(req)
        account = req.account
        inside = req.cost <= account.limit - account.deficit
        # A share of the quota below one request is granted by chance, as often as the totals did.
        chance = self.admit_chance(req) if account.limit / account.spread < req.cost else 1.0
        self.apply_decision(req, inside and self.rng.random() < chance)

    def admit_chance(self, req: PendingRequest) -> float:
        """The share of such requests that totals let in lately: this customer's, else all customers'."""
        account, keep = req.account, math.exp((req.account.judged_at - self.now) / (3 * DECAY_TIME))
        return (account.admitted * keep + self.admit_shares[req.event.is_retry]) / (account.judged * keep + 1)

    def apply_decision(self, req: PendingRequest, inside: bool, by_total: bool = False) -> None:
        """Inside the quota it is sent; beyond it is sent only where that earns more than it costs."""
        account, plan = req.account, req.account.plan
        if plan.open and account.open_attempts >= math.ceil(plan.open / account.spread):
            inside = False
        req.undecided, req.beyond = False, not inside
        if not inside and by_total:  # chance and overload say nothing of the customer
            account.denied_until = self.now + DEFER_WINDOWS * account.window_s
        # What totals let in is within the quota, so under the ceiling: it needs no part, which may be less
        # than a request, unless the counter forgot. Parts are for the rest; where beyond pays they bear all.
        vouched = by_total and inside and self.now - self.counts_lost_at > TTL_WINDOWS * account.window_s
        req.capped = plan.ceiling_rate > 0 and not vouched
        reserve = self.call_share * account.limit if inside else BEYOND_QUOTA_RESERVE * plan.ceiling_burst
        needed = (req.cost + max(reserve, account.deficit * (not account.stale and not account.beyond_pays))
                  / account.spread)  # fmt: skip
        if not inside:
            self.refund(req)
        else:
            account.deficit += req.cost
            if req.counted is False:  # what was let in without a call rides on the customer's next one
                req.counted = True
                self.count_later(account, req.cost, at_once=by_total)
        if (inside or plan.over_worth > plan.over_cost) and (not req.capped or account.headroom >= needed):
            self.dispatch(req)
        else:
            if inside:
                account.deficit = max(0.0, account.deficit - req.cost)
                self.refund(req)
            self.refuse(req)

    def refund(self, req: PendingRequest) -> None:
        """The negative add of a refusal; a call still out is settled when its answer comes."""
        if req.counted:
            req.counted = False
            self.count_later(req.account, -req.cost, at_once=True)

    def retry_after(self, req: PendingRequest) -> float:
        """When the told store holds the cost; the sooner the less is shed, and not all together."""
        account = req.account
        wait = (max(0.0, account.deficit + req.cost - account.limit) / account.plan.rate
                if account.window_s else req.cls.aim)  # fmt: skip
        wait = max(wait, req.shed * HOLD_TIME * req.cls.aim * (1 - self.rng.random() / 2), self.settings.tick)
        return min(self.settings.max_retry_after, wait)

    # --- server choice -----------------------------------------------------------------------------------
    def on_list(self, event: interface.ServerList) -> None:
        if event.kind in (ListKind.COMPLETE, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            self.servers = {k: v for k, v in self.servers.items() if k in listed}
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
        listed_ready = {k for k, v in self.servers.items() if v.entry.health is Health.READY}
        usable = listed_ready - self.banned.keys()
        self.untried = [k for k in self.untried if k in self.servers]
        in_use = {k for k in usable if self.zone_share(self.servers[k]) > 0 or k in self.untried}
        self.ready = sorted(in_use or usable)  # never all zones are left
        self.release_held()

    def zone_share(self, server: Server) -> float:
        """What the fleet sends to its zone, of a whole share: 0 where it has left it."""
        return self.zone_shares.get(server.entry.zone, 1.0)

    def on_zone(self, event: interface.ZoneShare) -> None:
        """What may be repeated is called off in a zone that is left. A trial takes the next such request."""
        self.zone_shares[event.zone] = event.share
        for req in self.requests.values() if event.share <= 0 and self.settings.allow_cancel else ():
            for n, key in (
                req.in_flight.items() if req.cls.idempotency is Idempotency.SAFE and not req.final else ()
            ):
                if key in self.servers and self.servers[key].entry.zone == event.zone:
                    self.actions.append(interface.Cancel(req.id, n))
        if (old := self.servers.get(event.trial_server)) and event.trial_server not in self.untried:
            self.servers[event.trial_server] = Server(old.entry, self.now, old.started_at)
            self.untried.append(event.trial_server)
        self.update_ready()

    def on_ban(self, event: interface.BanChanged) -> None:
        """What was believed of it before is dropped. If no start since is listed, it is taken as now: guards
        a server that was restarted meanwhile against its warm share, as lists tell of it late."""
        if event.banned:
            self.banned[event.server] = event.at
        elif (banned_at := self.banned.pop(event.server, None)) is not None:
            if old := self.servers.get(event.server):
                returned_at = self.now if old.entry.started < banned_at else 0.0
                self.servers[event.server] = Server(old.entry, self.now, old.started_at, returned_at)
                self.untried.append(event.server)
        self.update_ready()

    def count_avoided(self, now: float) -> int:
        """How many listed servers get nothing just now: banned, draining, or ejected for some class."""
        ready = set(self.ready)
        return sum(key not in ready or any(failure[1] > now for failure in server.failures.values())
                   for key, server in self.servers.items())  # fmt: skip

    def capacity(self, server: Server) -> float:
        """The least share of its capacity that a server has by now; 1 when warm. No more than its zone's."""
        return min(self.slow_start_share(server), self.zone_share(server))

    def slow_start_share(self, server: Server) -> float:
        """The same, whatever the fleet sends to its zone."""
        return self.slow_start.share(max(server.started_at, server.returned_at), self.now)

    def slowness(self, server: Server) -> float:
        """Its time over the usual, forgotten as it ages: what was seen long ago says little of now."""
        return 1 + (server.time_ratio - 1) * math.exp((server.last_ok_at - self.now) / DECAY_TIME)

    def expected_wait(self, server: Server, req: PendingRequest) -> float:
        """Expected time at a server: its own pace, what we have out there, and how long that is out."""
        slow = self.slowness(server)
        if server.in_flight:
            oldest = next(iter(server.in_flight.values()))
            slow = max(slow, (self.now - oldest) / (2 * self.usual[req.event.cls % len(self.usual)]))
        crossing = self.settings.cross_zone_price if server.entry.zone != self.settings.zone else 0.0
        if self.now - server.connection_used_at >= self.settings.idle_timeout:
            slow *= NEW_CONNECTION_FACTOR
        weight = server.entry.weight if server.entry.weight > 0 else 1.0
        return slow * (1 + crossing) * (1 + len(server.in_flight) + server.queue_length) / weight

    def choose_server(self, req: PendingRequest, avoid: set[int]) -> int | None:
        cls, ready, usual = req.event.cls, self.ready, self.usual[req.event.cls % len(self.usual)]
        if (
            req.ran_on >= 0
            and req.cls.idempotency is Idempotency.KEYED
            and req.cls.dedup_scope is not DedupScope.ALL
        ):
            ready = [k for k in ready if self.same_group(req, k)]
        # Guards against servers that do less the more they hold; it could refuse where all work is long.
        max_queued = req.cls.aim * QUEUE_AIM_SHARE * (BEYOND_QUOTA_RESERVE if req.beyond else 1.0)
        candidates: list[tuple[int, Server]] = []
        # Ejected ones, if none is sound: what fails, and is quick to, has room for all that others have not.
        ejected_fit, healthy = list[tuple[int, Server]](), 0
        drawn, cold_first = self.draw_candidates(ready, req)
        for n, key in enumerate(drawn):
            server = self.servers[key]
            # Guards cold servers: each is sent only what it is drawn first for, never beside another.
            cold, ejected = self.capacity(server) < 1, server.failures.get(cls, [0.0, 0.0])[1] > self.now
            full = len(server.in_flight) * self.slowness(server) * usual >= max_queued
            if cold and (n or not cold_first) or key in avoid or full:
                healthy += not ejected
                continue
            if cold and not ejected:
                return key
            (ejected_fit if ejected else candidates).append((key, server))
            if len(candidates) == 2:
                break
        if not (candidates := candidates or ejected_fit[: 0 if healthy else 2]):
            return None
        key, server = min(candidates, key=lambda kv: (self.expected_wait(kv[1], req), kv[0]))
        failure = server.failures.get(req.event.cls)
        if failure and failure[0] > EJECT_SHARE:  # this is its trial: no other until it has ended
            failure[1] = self.now + failure[2]
        return key

    def draw_candidates(self, ready: list[int], req: PendingRequest) -> tuple[list[int], bool]:
        """Candidates by chance, and whether the first may be a cold one.

        A cold server comes first as often, beside a warm one, as its least capacity stands beside a whole
        one: so all gateways together, many or few, even or not, send it that part of what each warm one gets,
        however many are cold. By rejection: the cost does not grow with servers.
        """
        drawn = self.rng.sample(ready, min(MAX_CANDIDATES, len(ready)))
        drawn.sort(key=lambda k: self.settings.cross_zone_price > 0
                   and self.servers[k].entry.zone != self.settings.zone)  # fmt: skip
        for key in self.untried:  # guards against a gateway of few requests that would not try it for long
            if key in ready and (
                req.cls.idempotency is Idempotency.SAFE or self.zone_share(self.servers[key]) > 0
            ):
                return [key, *(k for k in drawn if k != key)], True
        for _ in range(MAX_CANDIDATES if drawn else 0):
            first = self.rng.choice(ready)
            share = self.capacity(self.servers[first])
            if share >= 1 or self.rng.random() < share * self.cold_factor * self.cold_damping(drawn):
                return [first, *(k for k in drawn if k != first)], True
        # One of a zone that the fleet has left may be used where all are left, and a cold one is not.
        return drawn, bool(drawn) and self.slow_start_share(self.servers[drawn[0]]) >= 1

    def cold_damping(self, drawn: list[int]) -> float:
        """What is left of a cold server's part where hardly any is warm, by those that were drawn.

        Guards cold servers that are nearly all there is against the traffic of the warm ones that are not:
        the less of the whole capacity is there, the more of it falls on each.
        """
        available = sum(self.slow_start_share(self.servers[k]) for k in drawn) / len(drawn)
        return min(1.0, available / MIN_WARM_SHARE)

    def same_group(self, req: PendingRequest, key: int) -> bool:
        a, b = self.servers.get(req.ran_on), self.servers.get(key)
        if a is None or b is None:
            return False
        zone = req.cls.dedup_scope is DedupScope.ZONE
        return a.entry.zone == b.entry.zone if zone else a.entry.cell == b.entry.cell

    # --- attempts ----------------------------------------------------------------------------------------
    def may_send(self, req: PendingRequest) -> bool:
        """Whether a further attempt is allowed by effect, window, count and time."""
        if req.final or req.streaming or len(req.attempts) >= self.settings.max_attempts:
            return False
        if self.now >= req.deadline - self.settings.tick:
            return False
        if req.ran_on < 0 or req.cls.idempotency is Idempotency.SAFE:
            return True
        return (
            req.cls.idempotency is Idempotency.KEYED
            and self.now + self.settings.tick < req.ran_at + req.cls.dedup_window
        )

    def dispatch(self, req: PendingRequest) -> None:
        avoid, account = {a.server for a in req.attempts}, req.account
        allowed = self.may_send(req) and (req.attempts or req.cleared or not self.should_shed(req))
        key = self.choose_server(req, avoid) if allowed else None
        if allowed and key is None and avoid:
            key = self.choose_server(req, set())
        if allowed and not self.ready and not self.banned and self.now < req.held_until:
            self.held[req.id] = req
            return
        if key is None:
            return self.give_up(req)
        server = self.servers[key]
        if self.untried and key in self.untried:
            self.untried.remove(key)
            self.update_ready()
        if not req.sent:
            account.headroom -= req.cost * (req.capped or account.beyond_pays / account.spread)
        req.sent = True
        req.in_flight[n := len(req.attempts)] = key
        req.attempts.append(attempt := Attempt(req, key, self.now, self.use_kept_connection(key, server)))
        account.open_attempts += 1
        if req.ran_on < 0:
            req.ran_on, req.ran_at = key, self.now
        server.in_flight[(req.id, n)] = math.inf if req.event.body_pending else self.now
        if not req.event.body_pending:
            self.start_timing(req, attempt)
        self.actions.append(interface.Send(req.id, key, req.deadline))

    def start_timing(self, req: PendingRequest, attempt: Attempt) -> None:
        """From here on it is timed, and counts as load."""
        attempt.sent_at, attempt.is_load = self.now, True
        self.sent_attempts[req.event.cls % len(self.sent_attempts)].append(attempt)
        self.in_flight += 1
        self.in_flight_aims += 1 / req.aim
        self.in_flight_starts += self.now / req.aim

    def use_kept_connection(self, key: int, server: Server) -> bool | None:
        """Whether the next attempt there uses a kept connection; None where it shares one in use.
        Guards against connections that died unseen while kept: all servers' are judged together, as one
        gateway meets each rarely, against new ones, as a jam loses both. Harm: where opening one is dear."""
        if server.in_flight or self.now - server.connection_used_at >= self.settings.idle_timeout:
            return None if server.in_flight else False
        new, kept = (lost / (tried + 1) for lost, tried in zip(self.conn_losses, self.conn_uses, strict=True))
        if kept <= STALE_LOSS_SHARE + 2 * new:
            return True
        self.actions.append(interface.Close(key))
        return False

    def should_shed(self, req: PendingRequest) -> bool:
        """Whether overload sheds it, lowest worth first: by time over aim of what was answered lately or is
        out, at all servers together, mixed with a few calm ones. It rises whatever the cause, and fades."""
        self.decay()
        age_ratios = self.now * self.in_flight_aims - self.in_flight_starts
        overdue = self.overdue_load()
        outcomes = self.answered + overdue + self.in_flight + PRIOR_OUTCOMES
        load = (self.aim_ratios + 2 * overdue + age_ratios + PRIOR_OUTCOMES * SHED_START / 2) / outcomes
        shed = min(0.95, self.shed + max(0.0, load - SHED_START) / (SHED_FULL - SHED_START))
        req.shed = shed
        if shed > 0 and not req.beyond:
            mine = self.worth_per_time(req)
            below = (sum(w < mine for w in self.recent_worths)
                     + self.rng.random() * sum(w == mine for w in self.recent_worths))  # fmt: skip
            shed -= below / len(self.recent_worths)
        req.cleared = shed <= 0
        if shed > 0:
            # Guards against shedding on for what was seen long ago: who sheds most sees least that is new.
            self.answered, self.aim_ratios = (
                self.answered + SHED_WEIGHT, self.aim_ratios + SHED_WEIGHT * SHED_START / 2)  # fmt: skip
        return shed > 0

    def overdue_load(self) -> float:
        """How many of those without an answer count as load: as far as answers are slow too, or hardly come.
        Guards against shedding for what quick servers lose (dead connections, swallowing): less traffic would
        not help. Harm: a jam of a few servers among quick ones, where choosing others must do."""
        return self.overdue * min(1.0, max(2 * self.mean_aim_ratio / SHED_START - 1, self.loss_share**2))

    def decay(self) -> None:
        """What is shed also grows while much ends late: guards against clients that repeat until served."""
        dt, self.decayed_at = self.now - self.decayed_at, self.now
        overdue = self.overdue_load()
        excess = (self.late + overdue) / (self.answered + overdue + PRIOR_OUTCOMES) - LATE_SHARE_TARGET
        self.shed = min(0.95, max(0.0, self.shed + excess * dt * (SHED_RISE if excess > 0 else SHED_FALL)))
        keep = math.exp(-dt / DECAY_TIME)
        self.conn_uses, self.conn_losses = (
            [x * keep for x in self.conn_uses], [x * keep for x in self.conn_losses])  # fmt: skip
        keep = math.exp(-dt / LOAD_DECAY_TIME)
        recent = self.answered, self.aim_ratios, self.late, self.overdue
        self.answered, self.aim_ratios, self.late, self.overdue = (x * keep for x in recent)
        for attempts, cls in zip(self.sent_attempts, self.settings.classes, strict=True):
            while attempts and (not attempts[0].is_load or self.now - attempts[0].sent_at >= cls.aim):
                if (attempt := attempts.popleft()).is_load:
                    self.end_attempt(attempt, True)

    def end_attempt(self, attempt: Attempt, lost: bool | None) -> None:
        """Out no more, or overdue (and may end late). `lost` tells of its kind of connection, and of load."""
        if (kept := attempt.kept) is not None and lost is not None:
            self.conn_uses[kept] += attempt.is_load
            self.conn_losses[kept] = max(0.0, self.conn_losses[kept] + attempt.is_load - (not lost))
        if attempt.is_load:
            attempt.is_load = False
            self.in_flight -= 1
            self.in_flight_aims -= 1 / attempt.request.aim
            self.in_flight_starts -= attempt.sent_at / attempt.request.aim
            if lost:
                self.overdue += 1
                self.loss_share += 2 * EWMA * (1 - self.loss_share)

    def worth_per_time(self, req: PendingRequest) -> float:
        """Worth for the time it takes: a class whose work has grown costly goes before one that is quick."""
        return req.cls.worth * req.account.plan.price / self.usual[req.event.cls % len(self.usual)]

    def on_outcome(self, event: interface.Outcome) -> None:
        server, req = self.servers.get(event.server), self.requests.get(event.request)
        if server:
            self.record_outcome(server, event, req)
        if req is None:
            return
        if req.in_flight.pop(event.attempt, None) is not None:
            req.account.open_attempts = max(0, req.account.open_attempts - 1)
            attempt, elapsed = req.attempts[event.attempt], self.now - req.attempts[event.attempt].sent_at
            may_be_slow = elapsed < LOST_TIME_FACTOR * self.usual[req.event.cls % len(self.usual)]
            lost = event.end is End.RESET or event.end in (End.TIMEOUT, End.CANCELLED) and not may_be_slow
            answered = event.end in (End.OK, End.ERROR, End.REJECTED)
            if server:
                server.connection_used_at = self.now if answered else -math.inf
            self.decay()
            self.end_attempt(attempt, lost if lost or answered else None)
            if not lost and event.end in (End.OK, End.REJECTED, End.TIMEOUT, End.CANCELLED):
                aim_ratio = max(elapsed / req.aim, float(event.end in (End.REJECTED, End.TIMEOUT)))
                self.answered, self.aim_ratios = self.answered + 1, self.aim_ratios + aim_ratio
                self.late += aim_ratio >= 1
                self.mean_aim_ratio += 2 * EWMA * (min(1.0, aim_ratio) - self.mean_aim_ratio)
                self.loss_share *= 1 - 2 * EWMA
        req.ran = req.ran or event.end not in interface.NEVER_RAN
        if not req.ran and not req.in_flight:
            req.ran_on, req.ran_at = -1, math.inf
        account = req.account
        if event.end is End.OK and event.true_units and not req.beyond and self.settings.charge_true_units:
            difference = event.true_units - req.cost
            if account.window_s:
                account.advance(self.now)
                account.deficit = max(0.0, account.deficit + difference)
                self.count_later(account, difference)
            req.cost = event.true_units
        if event.final or event.end is End.OK:
            self.close_request(req)
        elif not req.final and not req.in_flight:
            uses_budget = event.end not in (End.CONNECT_FAILED, End.ERROR)  # signs of load feed no more of it
            if (event.end is End.NOT_SENT or uses_budget and self.retry_budget < 1
                    or self.now >= req.deadline - self.settings.tick):  # fmt: skip
                self.give_up(req)
            else:
                self.retry_budget -= uses_budget
                self.dispatch(req)
        if req.final and not req.in_flight:
            self.requests.pop(req.id, None)
        self.release_held()

    def record_outcome(self, server: Server, event: interface.Outcome, req: PendingRequest | None) -> None:
        server.in_flight.pop((event.request, event.attempt), None)
        cls = req.event.cls if req else 0
        if event.end is End.OK:
            server.last_ok_at = self.now
            if math.isfinite(queue_length := event.load.get("queue", 0.0)):
                server.queue_length = min(max(0.0, queue_length), 20.0)
            if req:
                n = cls % len(self.usual)
                server.time_ratio += (
                    2 * EWMA * (min(20.0, event.duration / self.usual[n]) - server.time_ratio)
                )
                self.usual[n] += EWMA / 10 * (min(event.duration, 4 * self.usual[n]) - self.usual[n])
            if cls in server.failures:
                server.failures[cls] = [min(EJECT_SHARE, server.failures[cls][0] * (1 - ERROR_WEIGHT)),
                                        0.0, MIN_EJECT_TIME]  # fmt: skip
        elif event.end in (End.TIMEOUT, End.REJECTED):
            server.time_ratio = min(20.0, server.time_ratio * 1.2)
        if event.end not in (End.ERROR, End.RESET, End.TIMEOUT, End.CONNECT_FAILED):
            return
        # Guards against learning nothing where each server is met once in many seconds, as by one of forty
        # gateways: what is met less often within DECAY_TIME is believed sooner, and for longer.
        samples = max(1.0, self.answered / LOAD_DECAY_TIME * DECAY_TIME / max(1, len(self.ready)))
        step, first = max(ERROR_WEIGHT, RARE_WEIGHT / samples), max(MIN_EJECT_TIME, MAX_EJECT_TIME / samples)
        # Judged by class: guards against a server that fails, or swallows, one class and serves the others,
        # and by being quick to fail draws ever more of it. A failed connect speaks for all classes.
        weight = {End.TIMEOUT: EWMA, End.CONNECT_FAILED: 1.0}.get(event.end, step)
        for n in range(len(self.usual)) if event.end is End.CONNECT_FAILED else [cls]:
            failure = server.failures.setdefault(n, [0.0, 0.0, first])
            failure[0] += (1 - failure[0]) * weight
            if failure[0] > EJECT_SHARE:
                failure[1:] = [self.now + max(first, failure[2]), min(MAX_EJECT_TIME, 2 * failure[2])]

    # --- final answers and guards --------------------------------------------------------------------------
    def close_request(self, req: PendingRequest) -> None:
        req.final, req.undecided = True, False
        if self.settings.allow_cancel:  # no answer is wanted any more: the client left
            self.actions.extend(interface.Cancel(req.id, n) for n in req.in_flight)
        self.held.pop(req.id, None)
        if not req.sent:
            self.refund(req)
        if not req.in_flight:
            self.requests.pop(req.id, None)

    def safe_to_refuse(self, req: PendingRequest) -> bool:
        """A refusal promises that a repeat does no harm."""
        if req.ran_on < 0 or req.cls.idempotency is Idempotency.SAFE:
            return True
        return req.cls.idempotency is Idempotency.KEYED and req.cls.dedup_scope is DedupScope.ALL

    def refuse(self, req: PendingRequest) -> None:
        self.actions.append(interface.Refuse(req.id, self.retry_after(req)))
        self.close_request(req)

    def give_up(self, req: PendingRequest) -> None:
        req.shed = req.shed or 1.0  # nothing could take it: the client is told to wait
        if not req.sent and not req.beyond:
            self.refund(req)
            req.account.deficit = max(0.0, req.account.deficit - req.cost)
        if self.safe_to_refuse(req):
            return self.refuse(req)
        self.actions.append(interface.Fail(req.id))
        self.close_request(req)

    def release_held(self) -> None:
        while self.held and self.ready:
            self.dispatch(self.held.popitem(last=False)[1])

    def run_housekeeping(self) -> None:
        """Housekeeping: held requests, debts that found no ride, customers not seen for long."""
        for req in list(self.held.values()):
            if self.now >= req.held_until:
                self.held.pop(req.id)
                self.give_up(req)
        for account in list(self.uncounted.values()):
            account.advance(self.now)
            if not account.uncounted or self.now - account.uncounted_since > DEFER_WINDOWS * account.window_s:
                del self.uncounted[account.id]
                if account.uncounted and self.call_share >= 1:  # else it waits for a call, or lapses
                    self.call_counter(account, 0.0, None)
        while self.accounts:
            account = next(iter(self.accounts.values()))
            # All that it was told is over by then, and its part of the ceiling full: a new one is as good.
            if (self.now - account.seen_at < max(ACCOUNT_IDLE_TIME, TTL_WINDOWS * account.window_s)
                    or account.open_attempts or account.waiting):  # fmt: skip
                break
            del self.accounts[account.id]


def check_settings(settings: interface.Settings) -> None:
    """Refuses settings that cannot be meant, naming the field."""

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
