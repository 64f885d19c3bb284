"""All decisions of a gateway. The types it speaks are in interface.py.

Ordinary path: a request's told units are added to its customer's current-window name on the counter; the
total before the add, plus the last window's total weighted by what is left of it, is floored; the request
is admitted when its cost fits the remainder of the quota, else the add is taken back and it is refused.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque

from starlinggap import interface as i
from starlinggap.interface import Action, DedupScope, End, Health, Idempotency, ListKind
from starlinggap.quota import LONGEST_NAME, TTL_WINDOWS, Account, counter_name, estimate, fits
from starlinggap.slow_start import SlowStart

# --- constants: each is a share of something the settings give, or a plain habit of the field -------------
OWN_TIMEOUT = 0.6  # of the counter's time-out: a healthy answer takes a tenth of it, and a client waits
WHOLE, WORTH_WAITING = 0.95, 0.035  # of it, and of the aim: so long a wait for a crowded one does no harm
QUICK = 0.3  # of the counter's time-out: answers sooner, or in twice the least time, say it has room for more
ASK_UP, ASK_CUT = 0.03, 0.7  # what asks grows by a quick answer; is left after one missed
ASK_RISE = 0.2  # what it grows a second while the newest was quick: one gateway of many has few answers
ASK_SLOW = 0.95  # is left after one slow: its line grows, and calls that nobody waits for would fill it
ASK_AGAIN = 0.25  # the least that asks after a quick answer: a counter that is back is not left unused
STAKE_LEAST = 0.3  # of that share is asked for by what is worth next to nothing
TRIAL = 3.0  # s, half to one and a half by chance: a counter that is not asked is read so often
FLUSH = 0.25  # of a window: a debt to the counter waits this long for a call to ride on
GLANCE, LULL = 0.05, 0.25  # s between housekeeping rounds, with requests held and without
RECENT = 0.1  # weight of the newest outcome in a running mean: about the last ten count
TRUST_COLD = 0.6  # of the fall budget: chance and costly requests need some room
PEAK = 1.5  # times its capacity: a warm server is sent no more, even before overload sheds
MOSTLY_COLD = 0.35  # of the whole capacity: with less of it there, cold servers are sent less than their part
DRAWN = 8  # servers drawn at most to find two that are fit
FORGET = 10.0  # s in which what was seen of a server's speed fades; three times it for a customer's verdicts
ILL = 0.5  # share of a class's late outcomes at a server that failed: above it the server is ejected for it
ILL_RARE = 0.9  # and of one at a server that is met once or less in FORGET: one is enough there
ILL_STEP = 0.3  # weight of an error there: three in a row eject, one or two are chance
EJECT_FIRST, EJECT_MOST = 0.5, 8.0  # s out after the first ejection, and at most: it doubles
STALE = 0.1  # share lost on kept connections, over twice that on new ones, above which none is used again
RETRY_SHARE = 0.1  # further attempts for each request: more would feed an overload
RETRY_DEPTH = 10.0  # further attempts that may be saved up
FRESH = 1.5  # times the wait where a connection must be opened: it costs the server, and so all gateways
QUEUE = 0.4  # of the aim: more is not sent to a server than it does, one after the other, in that time
SHED_FROM, SHED_ALL = 0.3, 0.8  # of the aim: expected times between these shed more and more of the work
PATIENT = 4.0  # times the usual time: an attempt given up sooner may just be slow for its client
LATE = 0.25  # of what ended lately was late or lost: what is shed grows by what is over it, falls by under
LATE_UP, LATE_DOWN = 0.5, 3.0  # times that, a second: what was sent before the shedding still ends late
PACE = 3.0  # s over which work done is averaged: long for one gateway's traffic, short beside a trouble
UNTRIED = 0.4  # of a calm outcome: what is shed counts as, so that what was seen is doubted as it ages
CALM = 1.5  # outcomes, at half the edge of shedding, that one gateway's few outcomes are mixed with
RANKED = 200  # requests remembered to tell what worth is low
KEPT = 15.0  # s for which a customer not seen is remembered at least: many come only once
HELD = 0.5  # of the aim: a request that nothing can take is held this long, then refused
UNHEARD = (End.ERROR, End.RESET)  # a call to the counter that was added, but for the total
BEYOND_ROOM = 0.5  # of the local ceiling, and of the aim, stays free of beyond-quota work


class Attempt:
    """An attempt; `kept`: on a kept connection or a new one, None: a shared one; `out`: not overdue."""

    def __init__(self, work: Work, server: int, at: float, kept: bool | None) -> None:
        self.work, self.server, self.at, self.kept, self.out = work, server, at, kept, False


class Work:
    """A request that still lacks its final answer, or whose attempts are still out."""

    def __init__(self, request: i.Request, cls: i.RequestClass, customer: Account, now: float) -> None:
        self.id, self.request, self.cls, self.customer = request.request, request, cls, customer
        self.deadline = now + max(0.0, request.budget)
        self.aim = min(cls.aim, max(request.budget, GLANCE))  # an impatient client wants it sooner
        # Not for half its time: a refusal that late does harm.
        self.held_until = min(now + HELD * min(cls.aim, 0.8 * request.budget), self.deadline - 2 * GLANCE)
        self.attempts: list[Attempt] = []
        self.live: dict[int, int] = {}  # attempts out, and where
        self.risky_at, self.risky = math.inf, -1  # first attempt that may have run: its time and server
        self.asking, self.shed = True, 0.0
        self.cleared = self.ceiled = self.final = self.beyond = self.sent = self.streaming = self.ran = False
        self.added: bool | None = False  # its units on the counter; None: the call is still out
        self.cost = request.units if 0 < request.units < math.inf else 1.0


class Call:
    """A counter call that has not been answered. `decided`: the verdict passed without its answer."""

    def __init__(self, c: Account, back: int, amount: float, ride: float, work: Work | None):
        self.customer, self.window, self.amount, self.ride = c, c.window - back, amount, ride
        self.work, self.back, self.again = work, back > 0, False  # again: its lost total is read once more
        self.decided: bool | None = None


class Server:
    """A server as this gateway sees it."""

    def __init__(self, entry: i.ServerEntry, now: float, started: float, back: float = 0.0) -> None:
        self.entry, self.ratio, self.back = entry, 1.0, back  # when staff gave it back, 0: they never had it
        self.started = started
        self.ill: dict[int, list[float]] = {}  # by class: share that failed, ejected until, for how long
        self.out: dict[tuple[int, int], float] = {}
        self.done_at, self.kept_at, self.queue = now, -math.inf, 0.0  # kept: a connection last worked


class Gateway:
    """One gateway's decisions: `handle` takes what came in and gives what to do."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        check(settings)
        self.s, self.rng = settings, random.Random(seed)
        self.now, self.actions = 0.0, list[Action]()
        self.born = math.inf  # when the first events came: nothing was sent on in this life before
        self.customers: OrderedDict[int, Account] = OrderedDict()
        self.work, self.servers = dict[int, Work](), dict[int, Server]()
        self.ready: list[int] = []  # in the order of their ids; kept when the list changes
        self.banned: dict[int, float] = {}  # by staff, and since when: until they say, listed or not
        self.untried: list[int] = []  # given back by staff, or on trial, and not sent to since
        self.slow_start = SlowStart(settings)
        self.shares: dict[int, float] = {}  # of zones that the fleet has left, 0, or returns to
        self.calls, self.timers = dict[int, deque[Call]](), dict[int, Call | None]()  # None: housekeeping
        self.token, self.stake = 0, 1.0  # the last timer's; worth and units of a request, lately
        # Share of requests that ask the counter, as of when; under 1 it is pressed. Whether its newest answer
        # was quick, and the least time of one lately.
        self.ask, self.ask_at, self.quick, self.best = 1.0, 0.0, True, settings.counter_timeout
        self.trial_at = self.cut_at = self.forgot_at = -math.inf
        self.owing: dict[int, Account] = {}
        self.let_in = [1.0, 1.0]  # share that totals let in of all customers' first tries, and of repeats
        self.usual = [c.aim / 5 for c in settings.classes]  # usual time of a class; learned
        self.retries = RETRY_DEPTH
        # Attempts judged lately, and those of them without an answer: on new connections, and on kept ones.
        self.tried, self.lost = [0.0, 0.0], [0.0, 0.0]
        self.held: OrderedDict[int, Work] = OrderedDict()
        self.ranks: deque[float] = deque(maxlen=RANKED)  # worth of what lately was asked
        # Attempts out and not overdue: number, sums of 1 / aim and of start / aim. Answered lately: number,
        # sum of time / aim, how many late. Overdue or never answered: number.
        self.out_count = self.out_aims = self.out_starts = 0.0
        self.answered = self.took = self.late = self.missed = self.shed = self.ended_at = 0.0
        self.sent: list[deque[Attempt]] = [deque() for _ in settings.classes]
        self.pace, self.unanswered = SHED_FROM, 0.0  # time over aim of the last answers; share without one
        self.ticking, self.listed_at = False, -math.inf
        self.cold_part = min(1.0, settings.collapse_ratio * TRUST_COLD / PEAK)

    # --- events ------------------------------------------------------------------------------------------
    def handle(self, now: float, events: list[i.Event]) -> list[Action]:
        """Decides on what happened at `now`; the caller carries the actions out in their order."""
        self.now, self.actions = max(now, self.now), []
        self.born = min(self.born, self.now)
        # What forbids something is heard first: a drain counts from the moment that it was told.
        for event in events:
            if isinstance(event, i.ServerList):
                self.on_list(event)
            elif isinstance(event, i.BanChanged):
                self.on_ban(event)
        for event in events:
            if isinstance(event, i.Request):
                self.on_request(event)
            elif isinstance(event, i.Outcome):
                self.on_outcome(event)
            elif isinstance(event, i.CountOutcome):
                self.on_counted(event)
            elif isinstance(event, i.TimerFired):
                self.on_timer(event.token)
            elif isinstance(event, i.ZoneShare):
                self.on_zone(event)
            elif isinstance(event, i.ClientGone) and (work := self.work.get(event.request)):
                self.close(work)
            elif isinstance(event, i.RequestWritten) and (work := self.work.get(event.request)):
                if event.attempt in work.live:
                    work.deadline = self.now + work.request.budget
                    self.launch(work, work.attempts[event.attempt])
            elif isinstance(event, i.StreamStarted) and (work := self.work.get(event.request)):
                work.streaming = True
        if self.s.list_on_request and self.now - self.listed_at > self.s.max_watch_interval / 4:
            self.listed_at = self.now
            self.actions.append(i.WatchList())
        if not self.ticking and (self.held or self.owing or self.customers):
            self.ticking = True
            self.timer(GLANCE if self.held else LULL, None)
        return self.actions

    def timer(self, after: float, about: Call | None) -> None:
        self.token += 1
        self.timers[self.token] = about
        self.actions.append(i.Timer(self.now + after, self.token))

    def on_timer(self, token: int) -> None:
        if token not in self.timers:
            return
        call = self.timers.pop(token)
        if call is None:
            self.ticking = False
            self.glance()
        elif (work := call.work) and work.asking and call.decided is None:
            self.call_failed()
            if work not in work.customer.waiting:
                work.added = None
            self.decide_alone(work)
            if work.added is None:
                call.decided = not work.beyond and not work.final

    # --- quota -------------------------------------------------------------------------------------------
    def on_request(self, request: i.Request) -> None:
        if request.request in self.work:
            return
        s, c = self.s, self.customers.get(request.account)
        cls, plan = s.classes[request.cls % len(s.classes)], s.plans[request.plan % len(s.plans)]
        if c is None:
            c = self.customers[request.account] = Account(request, plan, self.now, self.now - self.born)
        self.customers.move_to_end(request.account)
        c.turn(self.now)
        c.seen = self.now
        if (
            request.account_workers != c.parts
        ):  # its part here is split anew: what was one core's is several', or back
            c.room *= min(1.0, c.parts / request.account_workers)
            c.spread, c.parts = c.spread // c.parts * request.account_workers, request.account_workers
        if (
            request.exclusive_for < math.inf
        ):  # guards its ceiling against what another core has spent, not known here
            c.room = min(c.room, plan.ceiling_rate / c.spread * request.exclusive_for)
        work = self.work[request.request] = Work(request, cls, c, self.now)
        self.ranks.append(self.density(work))
        self.retries = min(RETRY_DEPTH, self.retries + RETRY_SHARE)
        # One wait for all that the counter is asked, and never most of a client's patience: guards against
        # an impatient client's try ending unanswered while the counter is slow.
        wait = min(s.counter_timeout * WHOLE, work.aim * WORTH_WAITING)
        patience = min(max(s.counter_timeout * OWN_TIMEOUT, wait), request.budget / 2 - s.tick)
        if not c.length:
            self.verdict(work, True)
        elif (self.ask < 1 and self.spare(work)
              or self.now < c.denied and c.deficit + work.cost > c.limit):  # fmt: skip
            # Guards the counter against what overload sheds, and against who repeats till the store has room.
            self.verdict(work, False)
        elif s.use_counter and patience > 0 and self.asks(work):
            # Where a refusal is likely a pressed counter is only read first, which saves a refund.
            unlikely = self.ask < 1 and self.chance(work) < 0.5
            self.timer(patience, self.post(c, 0.0 if unlikely else work.cost, work))
        else:
            self.decide_alone(work)
            if s.use_counter and self.now >= self.trial_at:
                self.post(c, 0.0, None)

    def asks(self, work: Work) -> bool:
        """Whether this request asks: by chance, as large a share as this gateway finds answered in time, and
        among them sooner those where a wrong verdict costs most."""
        stake = work.cls.worth * work.customer.plan.price * work.cost
        self.stake += RECENT / 2 * (stake - self.stake)
        if self.quick:
            self.ask = min(1.0, self.ask + ASK_RISE * (self.now - self.ask_at))
        self.ask_at = self.now
        likely = STAKE_LEAST + (1 - STAKE_LEAST) * stake / max(self.stake, 1e-9)
        return self.ask >= 1 or self.rng.random() < self.ask * likely

    def post(self, c: Account, amount: float, work: Work | None, back: int = 0) -> Call:
        """Calls the counter for the customer's window, `back` windows ago; what is owed rides along."""
        ride = 0.0 if back else c.debt
        c.debt -= ride
        call = Call(c, back, amount, ride, work)
        name = counter_name(c.id, call.window)
        self.calls.setdefault(name, deque()).append(call)
        self.trial_at = self.now + TRIAL * (0.5 + self.rng.random())
        self.actions.append(i.Count(name, amount + ride, min(LONGEST_NAME, TTL_WINDOWS * c.length)))
        return call

    def owe(self, c: Account, amount: float, now: bool = False) -> None:
        if amount and c.length and self.s.use_counter:
            c.debt_at = c.debt_at if c.debt else self.now
            c.debt += amount
            self.owing[c.id] = c
            if now and c.debt * amount > 0:  # none for what was never told: guards a pressed counter
                self.post(c, 0.0, None)

    def call_failed(self) -> None:
        """A silent, refusing, crawling or crowded counter is asked for a smaller share, in the end trials."""
        if self.now - self.cut_at > self.s.counter_timeout * OWN_TIMEOUT:
            self.cut_at = self.now
            self.ask, self.quick = self.ask * ASK_CUT, False

    def on_counted(self, event: i.CountOutcome) -> None:
        line = self.calls.get(event.name)
        if not line:
            return
        call = line.popleft()
        if not line:
            del self.calls[event.name]
        c, work = call.customer, call.work
        c.turn(self.now)
        wanted = call.back or work and work.asking and call.decided is None
        if event.end in UNHEARD and wanted and not call.again:
            # It was added and nobody heard the total: that is read, as if it were the call's own answer.
            call.again = True
            self.calls.setdefault(event.name, deque()).append(call)
            self.actions.append(i.Count(event.name, 0.0, min(LONGEST_NAME, TTL_WINDOWS * c.length)))
            return
        jump = 2 * self.s.max_units * c.spread  # more than refunds in flight can make
        # A call with no answer is taken as counted, and taken back if its request was refused.
        counted, total = call.again or event.end not in i.NEVER_RAN, math.nan
        if event.end is End.OK and math.isfinite(event.total) and event.total >= -jump:
            if event.duration > self.s.counter_timeout * OWN_TIMEOUT:
                self.call_failed()
            else:
                self.best = min(event.duration, self.best * 1.01)  # the way there and back, as it changes
                self.quick = event.duration < max(self.s.counter_timeout * QUICK, 2 * self.best)
                self.ask = min(1.0, max(ASK_AGAIN, self.ask + ASK_UP)) if self.quick else self.ask * ASK_SLOW
            total = self.believe(c, call, max(0.0, event.total), jump)
        else:
            if event.end not in UNHEARD:  # one answer that is spoilt or broken off is no sign of pressure
                self.call_failed()
            if not counted:
                self.owe(c, call.ride)
        if call.back:
            c.reading = False
            waiting, c.waiting = c.waiting, []
            for waiter in waiting:
                if waiter.asking:
                    self.judge(waiter, c.total - waiter.cost) if c.prev_known else self.decide_alone(waiter)
        elif work and work.asking and call.decided is None:
            work.added = counted and call.amount > 0
            if math.isnan(total):
                self.decide_alone(work)
            else:
                self.judge(work, total - call.amount if call.window == c.window else c.total)
        elif work and call.amount and counted is not bool(call.decided):
            self.owe(c, call.amount if call.decided else -call.amount, now=True)

    def believe(self, c: Account, call: Call, total: float, jump: float) -> float:
        """Takes a total over, and what it says of the others' use."""
        added = call.amount + call.ride
        if call.window == c.window:
            total += c.lost
            if total < c.own + added - self.s.max_units:  # not even what was added from here
                self.forgot_at = self.now
            if total < c.own + added - jump / 4 or total < c.total + added - jump:
                # The counter forgot: believe the last good total and what was added since. Holds against
                # any loss of counts; if a refund this large were real, room is missed for one window.
                c.lost += c.total + added - total
                total = c.total + added
            others = max(0.0, heard := total - added - c.total)
            c.room -= c.charged * heard / c.spread  # all bear an equal part of what totals let in
            fade = math.exp(-min(self.now - c.told, self.now - c.window * c.length) / (2 * c.length))
            c.others = c.others * fade + others / (2 * c.length)
            c.deficit = max(0.0, c.deficit + others - c.withheld)
            c.withheld, c.total, c.own, c.told = 0.0, total, c.own + added, self.now
        elif call.window == c.window - 1:
            c.deficit += max(0.0, total - added - c.prev)
            c.prev, c.prev_known = max(c.prev, total), c.prev_known or call.work is not None
        return total

    def judge(self, work: Work, before: float) -> None:
        """The design's test, on the total before the request's own add."""
        c = work.customer
        left, prev = max(0.0, c.window + 1 - self.now / c.length), c.prev
        sure = self.ask >= 1 or c.plan.ceiling_rate > 0  # a ceiling rests on what totals let in
        if not c.prev_known:  # a pressed counter is not read for it: use is taken to be steady
            prev = max(c.limit, c.prev) if sure else c.likely_prev(before, left)
        used = max(0.0, estimate(prev, before, left))
        if c.stale or c.deficit > used:
            c.deficit, c.stale = used, False
        if not c.prev_known and sure and not fits(used, c.limit, work.cost):
            # Only a read of the last window can tell; while the cost fits whatever it held, none is needed.
            c.waiting.append(work)
            if not c.reading:
                c.reading = True
                self.post(c, 0.0, work, back=1)
            return
        # Exception, full burst after light use: the told store, followed by the same totals, may still hold
        # what the window's estimate refuses. The floor belongs to that estimate; the store needs none.
        inside = fits(used, c.limit, work.cost) or work.cost <= c.limit - c.deficit
        keep = math.exp((c.heard - self.now) / (3 * FORGET))
        c.asked, c.let_in, c.heard = c.asked * keep + 1, c.let_in * keep + inside, self.now
        self.let_in[work.request.is_retry] += RECENT / 2 * (inside - self.let_in[work.request.is_retry])
        self.verdict(work, inside, asked=True)

    def decide_alone(self, work: Work) -> None:
        """Without the counter: the store as last known, filled by what others were seen to leave."""
        if work in work.customer.waiting:
            work.customer.waiting.remove(work)
        c = work.customer
        inside = work.cost <= c.limit - c.deficit
        # A share of the quota below one request is granted by chance, as often as the totals did.
        chance = self.chance(work) if c.limit / c.spread < work.cost else 1.0
        self.verdict(work, inside and self.rng.random() < chance)

    def chance(self, work: Work) -> float:
        """The share of such requests that totals let in lately: this customer's, else all customers'."""
        c, keep = work.customer, math.exp((work.customer.heard - self.now) / (3 * FORGET))
        return (c.let_in * keep + self.let_in[work.request.is_retry]) / (c.asked * keep + 1)

    def verdict(self, work: Work, inside: bool, asked: bool = False) -> None:
        """Inside the quota it is sent; beyond it is sent only where that earns more than it costs."""
        c, plan = work.customer, work.customer.plan
        if plan.open and c.open >= math.ceil(plan.open / c.spread):
            inside = False
        work.asking, work.beyond = False, not inside
        if not inside and asked:  # chance and overload say nothing of the customer
            c.denied = self.now + FLUSH * c.length
        # What totals let in is within the quota, so under the ceiling: it needs no part, which may be less
        # than a request, unless the counter forgot. Parts are for the rest; where beyond pays they bear all.
        told = asked and inside and self.now - self.forgot_at > TTL_WINDOWS * c.length
        work.ceiled = plan.ceiling_rate > 0 and not told
        room = self.ask * c.limit if inside else BEYOND_ROOM * plan.ceiling_burst
        need = work.cost + max(room, c.deficit * (not c.stale and not c.charged)) / c.spread
        if not inside:
            self.take_back(work)
        else:
            c.deficit += work.cost
            if work.added is False:  # what was let in without a call rides on the customer's next one
                work.added = True
                self.owe(c, work.cost, now=asked)
        if (inside or plan.over_worth > plan.over_cost) and (not work.ceiled or c.room >= need):
            self.dispatch(work)
        else:
            if inside:
                c.deficit = max(0.0, c.deficit - work.cost)
                self.take_back(work)
            self.refuse(work)

    def take_back(self, work: Work) -> None:
        """The negative add of a refusal; a call still out is settled when its answer comes."""
        if work.added:
            work.added = False
            self.owe(work.customer, -work.cost, now=True)

    def advice(self, work: Work) -> float:
        """When the told store holds the cost; the sooner the less is shed, and not all together."""
        c = work.customer
        wait = max(0.0, c.deficit + work.cost - c.limit) / c.plan.rate if c.length else work.cls.aim
        wait = max(wait, work.shed * HELD * work.cls.aim * (1 - self.rng.random() / 2), self.s.tick)
        return min(self.s.max_retry_after, wait)

    # --- server choice -----------------------------------------------------------------------------------
    def on_list(self, event: i.ServerList) -> None:
        if event.kind in (ListKind.COMPLETE, ListKind.CACHED):
            named = {e.server for e in event.entries}
            self.servers = {k: v for k, v in self.servers.items() if k in named}
        for e in event.entries:
            old = self.servers.get(e.server)
            if e.health is Health.GONE:
                self.servers.pop(e.server, None)
            elif old is None or old.entry.started != e.started:
                self.servers[e.server] = Server(e, self.now, self.slow_start.heard(e, self.now))
            else:
                old.entry = e
        self.slow_start.heard_list(event.kind)
        self.list_ready()

    def list_ready(self) -> None:
        up = {k for k, v in self.servers.items() if v.entry.health is Health.READY}
        usable = up - self.banned.keys()
        self.untried = [k for k in self.untried if k in self.servers]
        here = {k for k in usable if self.share(self.servers[k]) > 0 or k in self.untried}
        self.ready = sorted(here or usable)  # never all zones are left
        self.unhold()

    def share(self, server: Server) -> float:
        """What the fleet sends to its zone, of a whole share: 0 where it has left it."""
        return self.shares.get(server.entry.zone, 1.0)

    def on_zone(self, event: i.ZoneShare) -> None:
        """What may be repeated is called off in a zone that is left. A trial takes the next such request."""
        self.shares[event.zone] = event.share
        for work in self.work.values() if event.share <= 0 and self.s.allow_cancel else ():
            for n, key in (
                work.live.items() if work.cls.idempotency is Idempotency.SAFE and not work.final else ()
            ):
                if key in self.servers and self.servers[key].entry.zone == event.zone:
                    self.actions.append(i.Cancel(work.id, n))
        if (old := self.servers.get(event.trial_server)) and event.trial_server not in self.untried:
            self.servers[event.trial_server] = Server(old.entry, self.now, old.started)
            self.untried.append(event.trial_server)
        self.list_ready()

    def on_ban(self, event: i.BanChanged) -> None:
        """What was believed of it before is dropped. If no start since is listed, it is taken as now: guards
        a server that was restarted meanwhile against its warm share, as lists tell of it late."""
        if event.banned:
            self.banned[event.server] = event.at
        elif (since := self.banned.pop(event.server, None)) is not None:
            if old := self.servers.get(event.server):
                back = self.now if old.entry.started < since else 0.0
                self.servers[event.server] = Server(old.entry, self.now, old.started, back)
                self.untried.append(event.server)
        self.list_ready()

    def avoided(self, now: float) -> int:
        """How many listed servers get nothing just now: banned, draining, or ejected for some class."""
        ready = set(self.ready)
        return sum(k not in ready or any(x[1] > now for x in v.ill.values()) for k, v in self.servers.items())

    def coldness(self, server: Server) -> float:
        """The least share of its capacity that a server has by now; 1 when warm. No more than its zone's."""
        return min(self.warmth(server), self.share(server))

    def warmth(self, server: Server) -> float:
        """The same, whatever the fleet sends to its zone."""
        return self.slow_start.share(max(server.started, server.back), self.now)

    def slowness(self, server: Server) -> float:
        """Its time over the usual, forgotten as it ages: what was seen long ago says little of now."""
        return 1 + (server.ratio - 1) * math.exp((server.done_at - self.now) / FORGET)

    def wait(self, server: Server, work: Work) -> float:
        """Expected time at a server: its own pace, what we have out there, and how long that is out."""
        slow = self.slowness(server)
        if server.out:
            oldest = next(iter(server.out.values()))
            slow = max(slow, (self.now - oldest) / (2 * self.usual[work.request.cls % len(self.usual)]))
        cross = self.s.cross_zone_price if server.entry.zone != self.s.zone else 0.0
        if self.now - server.kept_at >= self.s.idle_timeout:
            slow *= FRESH
        size = server.entry.weight if server.entry.weight > 0 else 1.0
        return slow * (1 + cross) * (1 + len(server.out) + server.queue) / size

    def choose(self, work: Work, avoid: set[int]) -> int | None:
        cls, ready, usual = work.request.cls, self.ready, self.usual[work.request.cls % len(self.usual)]
        if (
            work.risky >= 0
            and work.cls.idempotency is Idempotency.KEYED
            and work.cls.dedup_scope is not DedupScope.ALL
        ):
            ready = [k for k in ready if self.same_group(work, k)]
        # Guards against servers that do less the more they hold; it could refuse where all work is long.
        most = work.cls.aim * QUEUE * (BEYOND_ROOM if work.beyond else 1.0)
        fit: list[tuple[int, Server]] = []
        # Ejected ones, if none is sound: what fails, and is quick to, has room for all that others have not.
        spared, sound = list[tuple[int, Server]](), 0
        drawn, chosen = self.draw(ready, work)
        for n, key in enumerate(drawn):
            server = self.servers[key]
            # Guards cold servers: each is sent only what it is drawn first for, never beside another.
            cold, ejected = self.coldness(server) < 1, server.ill.get(cls, [0.0, 0.0])[1] > self.now
            full = len(server.out) * self.slowness(server) * usual >= most
            if cold and (n or not chosen) or key in avoid or full:
                sound += not ejected
                continue
            if cold and not ejected:
                return key
            (spared if ejected else fit).append((key, server))
            if len(fit) == 2:
                break
        if not (fit := fit or spared[: 0 if sound else 2]):
            return None
        key, server = min(fit, key=lambda kv: (self.wait(kv[1], work), kv[0]))
        ill = server.ill.get(work.request.cls)
        if ill and ill[0] > ILL:  # this is its trial: no other until it has ended
            ill[1] = self.now + ill[2]
        return key

    def draw(self, ready: list[int], work: Work) -> tuple[list[int], bool]:
        """Candidates by chance, and whether the first may be a cold one.

        A cold server comes first as often, beside a warm one, as its least capacity stands beside a whole
        one: so all gateways together, many or few, even or not, send it that part of what each warm one gets,
        however many are cold. By rejection: the cost does not grow with servers.
        """
        drawn = self.rng.sample(ready, min(DRAWN, len(ready)))
        drawn.sort(key=lambda k: self.s.cross_zone_price > 0 and self.servers[k].entry.zone != self.s.zone)
        for back in self.untried:  # guards against a gateway of few requests that would not meet it for long
            if back in ready and (
                work.cls.idempotency is Idempotency.SAFE or self.share(self.servers[back]) > 0
            ):
                return [back, *(k for k in drawn if k != back)], True
        for _ in range(DRAWN if drawn else 0):
            first = self.rng.choice(ready)
            share = self.coldness(self.servers[first])
            if share >= 1 or self.rng.random() < share * self.cold_part * self.crowding(drawn):
                return [first, *(k for k in drawn if k != first)], True
        # One of a zone that the fleet has left may be used where all are left, and a cold one is not.
        return drawn, bool(drawn) and self.warmth(self.servers[drawn[0]]) >= 1

    def crowding(self, drawn: list[int]) -> float:
        """What is left of a cold server's part where hardly any is warm, by those that were drawn.

        Guards cold servers that are nearly all there is against the traffic of the warm ones that are not:
        the less of the whole capacity is there, the more of it falls on each.
        """
        there = sum(self.warmth(self.servers[k]) for k in drawn) / len(drawn)
        return min(1.0, there / MOSTLY_COLD)

    def same_group(self, work: Work, key: int) -> bool:
        a, b = self.servers.get(work.risky), self.servers.get(key)
        if a is None or b is None:
            return False
        zone = work.cls.dedup_scope is DedupScope.ZONE
        return a.entry.zone == b.entry.zone if zone else a.entry.cell == b.entry.cell

    # --- attempts ----------------------------------------------------------------------------------------
    def may_send(self, work: Work) -> bool:
        """Whether a further attempt is allowed by effect, window, count and time."""
        if work.final or work.streaming or len(work.attempts) >= self.s.max_attempts:
            return False
        if self.now >= work.deadline - self.s.tick:
            return False
        if work.risky < 0 or work.cls.idempotency is Idempotency.SAFE:
            return True
        return (
            work.cls.idempotency is Idempotency.KEYED
            and self.now + self.s.tick < work.risky_at + work.cls.dedup_window
        )

    def dispatch(self, work: Work) -> None:
        avoid, c = {a.server for a in work.attempts}, work.customer
        allowed = self.may_send(work) and (work.attempts or work.cleared or not self.spare(work))
        key = self.choose(work, avoid) if allowed else None
        if allowed and key is None and avoid:
            key = self.choose(work, set())
        if allowed and not self.ready and not self.banned and self.now < work.held_until:
            self.held[work.id] = work
            return
        if key is None:
            return self.give_up(work)
        server = self.servers[key]
        if self.untried and key in self.untried:
            self.untried.remove(key)
            self.list_ready()
        if not work.sent:
            c.room -= work.cost * (work.ceiled or c.charged / c.spread)
        work.sent = True
        work.live[n := len(work.attempts)] = key
        work.attempts.append(attempt := Attempt(work, key, self.now, self.on_kept(key, server)))
        c.open += 1
        if work.risky < 0:
            work.risky, work.risky_at = key, self.now
        server.out[(work.id, n)] = math.inf if work.request.body_pending else self.now
        if not work.request.body_pending:
            self.launch(work, attempt)
        self.actions.append(i.Send(work.id, key, work.deadline))

    def launch(self, work: Work, attempt: Attempt) -> None:
        """From here on it is timed, and counts as load."""
        attempt.at, attempt.out = self.now, True
        self.sent[work.request.cls % len(self.sent)].append(attempt)
        self.out_count += 1
        self.out_aims += 1 / work.aim
        self.out_starts += self.now / work.aim

    def on_kept(self, key: int, server: Server) -> bool | None:
        """Whether the next attempt there uses a kept connection; None where it shares one in use.
        Guards against connections that died unseen while kept: all servers' are judged together, as one
        gateway meets each rarely, against new ones, as a jam loses both. Harm: where opening one is dear."""
        if server.out or self.now - server.kept_at >= self.s.idle_timeout:
            return None if server.out else False
        new, kept = (lost / (tried + 1) for lost, tried in zip(self.lost, self.tried, strict=True))
        if kept <= STALE + 2 * new:
            return True
        self.actions.append(i.Close(key))
        return False

    def spare(self, work: Work) -> bool:
        """Whether overload sheds it, lowest worth first: by time over aim of what was answered lately or is
        out, at all servers together, mixed with a few calm ones. It rises whatever the cause, and fades."""
        self.fade()
        ages = self.now * self.out_aims - self.out_starts
        missed = self.crowded_out()
        number = self.answered + missed + self.out_count + CALM
        strain = (self.took + 2 * missed + ages + CALM * SHED_FROM / 2) / number  # it took over its aim
        shed = min(0.95, self.shed + max(0.0, strain - SHED_FROM) / (SHED_ALL - SHED_FROM))
        work.shed = shed
        if shed > 0 and not work.beyond:
            mine = self.density(work)
            below = sum(w < mine for w in self.ranks) + self.rng.random() * sum(w == mine for w in self.ranks)
            shed -= below / len(self.ranks)
        work.cleared = shed <= 0
        if shed > 0:
            # Guards against shedding on for what was seen long ago: who sheds most sees least that is new.
            self.answered, self.took = self.answered + UNTRIED, self.took + UNTRIED * SHED_FROM / 2
        return shed > 0

    def crowded_out(self) -> float:
        """How many of those without an answer count as load: as far as answers are slow too, or hardly come.
        Guards against shedding for what quick servers lose (dead connections, swallowing): less traffic would
        not help. Harm: a jam of a few servers among quick ones, where choosing others must do."""
        return self.missed * min(1.0, max(2 * self.pace / SHED_FROM - 1, self.unanswered**2))

    def fade(self) -> None:
        """What is shed also grows while much ends late: guards against clients that repeat until served."""
        dt, self.ended_at = self.now - self.ended_at, self.now
        missed = self.crowded_out()
        over = (self.late + missed) / (self.answered + missed + CALM) - LATE
        self.shed = min(0.95, max(0.0, self.shed + over * dt * (LATE_UP if over > 0 else LATE_DOWN)))
        keep = math.exp(-dt / FORGET)
        self.tried, self.lost = [x * keep for x in self.tried], [x * keep for x in self.lost]
        keep = math.exp(-dt / PACE)
        lately = self.answered, self.took, self.late, self.missed
        self.answered, self.took, self.late, self.missed = (x * keep for x in lately)
        for line, cls in zip(self.sent, self.s.classes, strict=True):
            while line and (not line[0].out or self.now - line[0].at >= cls.aim):
                if (attempt := line.popleft()).out:
                    self.ends(attempt, True)

    def ends(self, attempt: Attempt, lost: bool | None) -> None:
        """It is out no more, or overdue. Whether it was lost speaks of its kind of connection and of load."""
        if (kept := attempt.kept) is not None and lost is not None:
            self.tried[kept] += attempt.out
            self.lost[kept] = max(0.0, self.lost[kept] + attempt.out - (not lost))  # it may yet come late
        if attempt.out:
            attempt.out = False
            self.out_count -= 1
            self.out_aims -= 1 / attempt.work.aim
            self.out_starts -= attempt.at / attempt.work.aim
            if lost:
                self.missed += 1
                self.unanswered += 2 * RECENT * (1 - self.unanswered)

    def density(self, work: Work) -> float:
        """Worth for the time it takes: a class whose work has grown costly goes before one that is quick."""
        return work.cls.worth * work.customer.plan.price / self.usual[work.request.cls % len(self.usual)]

    def on_outcome(self, event: i.Outcome) -> None:
        server, work = self.servers.get(event.server), self.work.get(event.request)
        if server:
            self.learn(server, event, work)
        if work is None:
            return
        if work.live.pop(event.attempt, None) is not None:
            work.customer.open = max(0, work.customer.open - 1)
            attempt, waited = work.attempts[event.attempt], self.now - work.attempts[event.attempt].at
            slow = waited < PATIENT * self.usual[work.request.cls % len(self.usual)]
            lost = event.end is End.RESET or event.end in (End.TIMEOUT, End.CANCELLED) and not slow
            answered = event.end in (End.OK, End.ERROR, End.REJECTED)
            if server:
                server.kept_at = self.now if answered else -math.inf
            self.fade()
            self.ends(attempt, lost if lost or answered else None)
            if not lost and event.end in (End.OK, End.REJECTED, End.TIMEOUT, End.CANCELLED):
                share = max(waited / work.aim, float(event.end in (End.REJECTED, End.TIMEOUT)))
                self.answered, self.took = self.answered + 1, self.took + share
                self.late += share >= 1
                self.pace += 2 * RECENT * (min(1.0, share) - self.pace)
                self.unanswered *= 1 - 2 * RECENT
        work.ran = work.ran or event.end not in i.NEVER_RAN
        if not work.ran and not work.live:
            work.risky, work.risky_at = -1, math.inf
        c = work.customer
        if event.end is End.OK and event.true_units and not work.beyond and self.s.charge_true_units:
            diff = event.true_units - work.cost
            if c.length:
                c.turn(self.now)
                c.deficit = max(0.0, c.deficit + diff)
                self.owe(c, diff)
            work.cost = event.true_units
        if event.final or event.end is End.OK:
            self.close(work)
        elif not work.final and not work.live:
            paid = event.end not in (End.CONNECT_FAILED, End.ERROR)  # signs of load feed no more of it
            if (
                event.end is End.NOT_SENT
                or paid
                and self.retries < 1
                or self.now >= work.deadline - self.s.tick
            ):
                self.give_up(work)
            else:
                self.retries -= paid
                self.dispatch(work)
        if work.final and not work.live:
            self.work.pop(work.id, None)
        self.unhold()

    def learn(self, server: Server, event: i.Outcome, work: Work | None) -> None:
        server.out.pop((event.request, event.attempt), None)
        cls = work.request.cls if work else 0
        if event.end is End.OK:
            server.done_at = self.now
            if math.isfinite(queue := event.load.get("queue", 0.0)):
                server.queue = min(max(0.0, queue), 20.0)
            if work:
                n = cls % len(self.usual)
                server.ratio += 2 * RECENT * (min(20.0, event.duration / self.usual[n]) - server.ratio)
                self.usual[n] += RECENT / 10 * (min(event.duration, 4 * self.usual[n]) - self.usual[n])
            if cls in server.ill:
                server.ill[cls] = [min(ILL, server.ill[cls][0] * (1 - ILL_STEP)), 0.0, EJECT_FIRST]
        elif event.end in (End.TIMEOUT, End.REJECTED):
            server.ratio = min(20.0, server.ratio * 1.2)
        if event.end not in (End.ERROR, End.RESET, End.TIMEOUT, End.CONNECT_FAILED):
            return
        # Guards against learning nothing where each server is met once in many seconds, as by one of forty
        # gateways: what is met less often within FORGET is believed sooner, and for longer.
        met = max(1.0, self.answered / PACE * FORGET / max(1, len(self.ready)))
        step, first = max(ILL_STEP, ILL_RARE / met), max(EJECT_FIRST, EJECT_MOST / met)
        # Judged by class: guards against a server that fails, or swallows, one class and serves the others,
        # and by being quick to fail draws ever more of it. A failed connect speaks for all classes.
        weight = {End.TIMEOUT: RECENT, End.CONNECT_FAILED: 1.0}.get(event.end, step)
        for n in range(len(self.usual)) if event.end is End.CONNECT_FAILED else [cls]:
            ill = server.ill.setdefault(n, [0.0, 0.0, first])
            ill[0] += (1 - ill[0]) * weight
            if ill[0] > ILL:
                ill[1:] = [self.now + max(first, ill[2]), min(EJECT_MOST, 2 * ill[2])]

    # --- final answers and guards --------------------------------------------------------------------------
    def close(self, work: Work) -> None:
        work.final, work.asking = True, False
        if self.s.allow_cancel:  # no answer is wanted any more: the client left
            self.actions.extend(i.Cancel(work.id, n) for n in work.live)
        self.held.pop(work.id, None)
        if not work.sent:
            self.take_back(work)
        if not work.live:
            self.work.pop(work.id, None)

    def harmless(self, work: Work) -> bool:
        """A refusal promises that a repeat does no harm."""
        if work.risky < 0 or work.cls.idempotency is Idempotency.SAFE:
            return True
        return work.cls.idempotency is Idempotency.KEYED and work.cls.dedup_scope is DedupScope.ALL

    def refuse(self, work: Work) -> None:
        self.actions.append(i.Refuse(work.id, self.advice(work)))
        self.close(work)

    def give_up(self, work: Work) -> None:
        work.shed = work.shed or 1.0  # nothing could take it: final at once, and the client told to wait
        if not work.sent and not work.beyond:
            self.take_back(work)
            work.customer.deficit = max(0.0, work.customer.deficit - work.cost)
        if self.harmless(work):
            return self.refuse(work)
        self.actions.append(i.Fail(work.id))
        self.close(work)

    def unhold(self) -> None:
        while self.held and self.ready:
            self.dispatch(self.held.popitem(last=False)[1])

    def glance(self) -> None:
        """Housekeeping: held requests, debts that found no ride, customers not seen for long."""
        for work in list(self.held.values()):
            if self.now >= work.held_until:
                self.held.pop(work.id)
                self.give_up(work)
        for c in list(self.owing.values()):
            c.turn(self.now)
            if not c.debt or self.now - c.debt_at > FLUSH * c.length:
                del self.owing[c.id]
                if c.debt and self.ask >= 1:  # a pressed counter is spared it: it rides or lapses
                    self.post(c, 0.0, None)
        while self.customers:
            c = next(iter(self.customers.values()))
            # All that it was told is over by then, and its part of the ceiling full: a new one is as good.
            if self.now - c.seen < max(KEPT, TTL_WINDOWS * c.length) or c.open or c.waiting:
                break
            del self.customers[c.id]


def check(s: i.Settings) -> None:
    """Refuses settings that cannot be meant, naming the field."""

    def need(ok: bool, what: str) -> None:
        if not ok:
            raise i.SettingsError(what)

    for name in ("classes", "plans"):
        need(len(getattr(s, name)) > 0, f"{name}: at least one is needed")
    need(s.gateways >= 1, "gateways: must be 1 or more")
    for n, c in enumerate(s.classes):
        need(c.aim > 0, f"classes[{n}].aim: must be above 0")
        need(c.deadline > 0, f"classes[{n}].deadline: must be above 0")
        need(isinstance(c.idempotency, Idempotency), f"classes[{n}].effect: unknown effect")
    for n, p in enumerate(s.plans):
        for name in ("rate", "burst", "open", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
            need(0 <= getattr(p, name) < math.inf, f"plans[{n}].{name}: must be 0 or more")
        need(p.rate == 0 or p.burst > 0, f"plans[{n}].burst: must be above 0 where there is a rate")
