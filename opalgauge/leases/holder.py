"""The quota counter as one ingress sees it, near or cut off. No I/O, no clock.

The decisions ask for counts (`asked`) and are told totals (`TellTotal`), those of a name in the order of its
asking.

- While the counter answers, a busy account's units are charged ahead (a lease), within a part of what is
  free. What is spent of a lease needs no call, and what is handed back goes into it: no call either.
- While it does not, or only late, an ingress has rights to its even part of what was free, over the
  account's ingresses, and of each new window. Told is the total as it were if all used theirs alike: of what
  was free, the part that was spent of its rights. Rights move by grants, as in a bounded counter: whoever
  gives has them no more, so a message that is lost loses rights only.
- Who has the counter leaves out the parts of those that have not, or are not heard.

The error of all that is stated in `docs/design/leases.md`.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from opalgauge.leases.accounts import Account, Ask, Peer, Window
from opalgauge.leases.actions import Action, CallCounter, LogLine, ReportUse, SendMessage, TellTotal
from opalgauge.leases.counter_health import LATE, CounterHealth
from opalgauge.leases.messages import MOST_GRANTS, MOST_NEEDS, Grant, Message, Need
from starlinggap import interface as i
from starlinggap.quota import counter_name

NOTHING = timedelta(0)
JUST_READ = timedelta(milliseconds=150)  # a total so old tells that there is no room
RECENTLY_READ = timedelta(milliseconds=300)  # a total so old is read anew; of a window that is over: SETTLED
SETTLED = timedelta(seconds=1)
TERM = timedelta(seconds=2)  # a lease is for the use of so long, and handed back when idle as long
PART = 0.5  # of what is free, over all ingresses of the account: what leases may hold of it
CONTESTED = 0.4  # of its quota: below, nobody misses what is left of a lease
LEAST = 1.0  # requests expected within a term, below which a lease saves nothing
UNKNOWN = 0.5  # of its quota: what an account not met before the cut is thought to have used
RESERVED = timedelta(seconds=30)  # an ingress that is not heard is left its part for so long
MESSAGE_LIFE = timedelta(milliseconds=1500)
HEARTBEAT = timedelta(milliseconds=400)  # between messages that only say that one lives
LEAST_PAUSE = timedelta(milliseconds=80)  # between messages to one peer
SMALL_FLEET = 12  # ingresses: with more of them, silence says nothing, as nobody can speak to all
SPARE = 0.7  # of what an ingress has no use for itself, given to one that asks
REPEATS = 3  # times that a grant is said
NEED_LIFE = timedelta(milliseconds=800)
REPORT = timedelta(seconds=1)
MOST_ACCOUNTS = 20_000


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings say: this ingress among all, and each tariff's rate and burst.

    `ahead`, `grants`: False leaves out leases while the counter answers, and grants while it does not.
    """

    me: int
    ingresses: int
    plans: tuple[tuple[float, float], ...]
    ahead: bool = True
    grants: bool = True


class Leases:
    """One ingress's leases and rights. `life`: larger at each start of this ingress."""

    def __init__(self, rules: Rules, now: datetime, life: int, seed: int) -> None:
        self.rules, self.now, self.life = rules, now, life
        self.born = now
        self.chance = random.Random(seed)
        self.accounts: OrderedDict[int, Account] = OrderedDict()
        self.names: dict[int, Window] = {}
        self.tokens: dict[int, Window | Ask | None] = {}  # None: a trial; Ask: of a name that is not known
        self.token = 0
        self.counter = CounterHealth(now, self.chance)
        self.peers = {n: Peer() for n in range(rules.ingresses) if n != rules.me}
        self.number = 0
        self.out: list[Action] = []
        self.calls = self.asks = self.alone_asks = 0
        self.given = self.taken = 0.0
        self.dirty: OrderedDict[int, Account] = OrderedDict()  # accounts with something to settle
        self.wanting: OrderedDict[int, Account] = OrderedDict()
        self.report_at = now
        # What all ingresses have told of an account's window, where it is replicated.
        self.heard_of: Callable[[int, int, datetime], float | None] = lambda account, window, over: None

    def take(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    # --- what comes in -------------------------------------------------------------------------------------
    def met(self, account: int, tariff: int, spread: int, first: int, now: datetime) -> None:
        """A request of this account has come: its names can be asked for from now on."""
        self.now = max(self.now, now)
        known = self._account(account, tariff, spread, first)
        if known is not None:
            self._open(known, int(self.now.timestamp() // known.length))

    def asked(self, name: int, amount: float, life: timedelta, now: datetime) -> None:
        """The decisions ask for a count. Each ask is answered by one `TellTotal`."""
        self.now = max(self.now, now)
        self.asks += 1
        window = self.names.get(name)
        if window is None:  # nothing of ours can be said of it
            self._call(name, amount, life, Ask(name, amount, self.now))
            return
        window.life = life
        window.asks.append(Ask(name, amount, self.now))
        self._serve(window)

    def counted(self, token: int, end: i.End, total: float, now: datetime) -> None:
        """What came of a `Call`."""
        self.now = max(self.now, now)
        about = self.tokens.pop(token, None)
        answered = end is i.End.OK and math.isfinite(total)
        if answered:
            if self.counter.answered(token, self.now):
                self.out.append(LogLine("counter: answers again"))
        elif self.counter.failed(token, self.now):
            self._miss()
        if isinstance(about, Ask):
            took = self.now - about.at
            told = TellTotal(about.name, total, took) if answered else TellTotal(about.name, 0.0, took, end)
            self.out.append(told)
        elif isinstance(about, Window) and about.token == token:
            about.token = 0
            if not answered and end in i.NEVER_RAN:
                about.charged -= about.out
                about.pending -= about.out
            if answered:
                about.total, about.fresh = max(0.0, total), self.now
                about.pending = 0.0
                if not self.counter.in_trouble:  # a late total tells nothing of what others spend by rights
                    about.alone = False
                    self._rebase(about)
            self._serve(about)
        self._next()

    def heard(self, message: Message, now: datetime) -> None:
        self.now = max(self.now, now)
        peer = self.peers.get(message.sender)
        if peer is None or message.life < peer.life:
            return
        if message.life > peer.life:
            peer.life, peer.number = message.life, -1
        for grant in message.grants:
            self._granted(message.sender, message.life, grant)
        if message.number <= peer.number:
            return  # repeated or overtaken: what it needed is no longer known to be so
        peer.number, peer.heard, peer.down = message.number, self.now, message.down
        for need in message.needs:
            self._needed(message.sender, message.life, need)

    def tick(self, now: datetime) -> None:
        """To be called some fifty times a second."""
        self.now = max(self.now, now)
        for token in self.counter.overdue(self.now):
            self._miss()
            about = self.tokens.get(token)
            if isinstance(about, Window):
                self._leave(about)
                self._serve(about)
        if self.counter.trial_due(self.now):
            self._call(0, 0.0, SETTLED, None)
        self._settle()
        if self.now >= self.report_at:
            self.report_at = self.now + REPORT
            self._report()
        self._speak()

    # --- accounts and windows ------------------------------------------------------------------------------
    def _account(self, number: int, tariff: int, spread: int, first: int) -> Account | None:
        known = self.accounts.get(number)
        if known is None:
            rate, burst = self.rules.plans[tariff % len(self.rules.plans)]
            if rate <= 0:
                return None
            length = min(burst / rate, 20.0)  # as the decisions reckon it
            limit = min(burst, rate * length)
            known = Account(number, tariff, first, max(1, spread), limit, length)
            self.accounts[number] = known
            while len(self.accounts) > MOST_ACCOUNTS:
                self._drop(next(iter(self.accounts.values())))
        self.accounts.move_to_end(number)
        return known

    def _drop(self, account: Account) -> None:
        for window in account.windows.values():
            if window.asks:  # each is owed its answer
                self._leave(window)
                self._serve(window)
            self.names.pop(window.name, None)
        del self.accounts[account.number]
        self.dirty.pop(account.number, None)
        self.wanting.pop(account.number, None)

    def _open(self, account: Account, number: int) -> Window:
        """The window of this number, and those beside it; older ones are forgotten."""
        for n in (number - 1, number, number + 1):  # the next one's name may be asked for before a request
            if n not in account.windows:
                life = timedelta(seconds=3 * account.length)
                window = Window(account, n, counter_name(account.number, n), life)
                account.windows[n] = self.names[window.name] = window
                if self.counter.in_trouble:
                    self._leave(window)
        for n in [n for n in account.windows if n < number - 1]:
            window = account.windows[n]
            if window.asks or window.token:
                continue
            del self.names[window.name], account.windows[n]
        return account.windows[number]

    def _part(self, account: Account) -> float:
        return 1.0 / min(account.spread, self.rules.ingresses)

    def _members(self, account: Account) -> list[int]:
        count = self.rules.ingresses
        return [(account.first + k) % count for k in range(min(account.spread, count))]

    # --- alone ---------------------------------------------------------------------------------------------
    def _leave(self, window: Window) -> None:
        """From here on it is decided without the counter."""
        if window.alone:
            return
        account, part = window.account, self._part(window.account)
        limit, began = account.limit, window.number * account.length
        if window.total is not None:
            told = self._told(window)
            free = max(0.0, limit - window.total)
            # A lease that a total known to be short no longer bears is used up all the same: it was charged.
            window.rights = max(0.0, window.held - window.pending)
            if self.counter.in_trouble:  # and not for one late answer, as the others go on by what they hear
                window.rights += part * free
        elif not self.counter.reached and began <= self.born.timestamp():
            # Guards against rights that a former life of this ingress may have spent already.
            told, window.rights = limit, 0.0
        elif self.counter.since is not None and began >= self.counter.since.timestamp():
            told, window.rights = 0.0, part * limit
        else:
            heard = self.heard_of(account.number, window.number, self._over(window))
            told = min(limit, heard) if heard is not None else UNKNOWN * limit
            window.rights = part * (limit - told)
        window.alone, window.kept = True, 0.0
        window.before, window.used = told, 0.0
        self.dirty[account.number] = account

    @staticmethod
    def _over(window: Window) -> datetime:
        """When the window ends, to the millisecond: the same at all ingresses."""
        end = round((window.number + 1) * window.account.length * 1000)
        return datetime.fromtimestamp(0, UTC) + timedelta(milliseconds=end)

    def _report(self) -> None:
        """What others need of an account that they may be without the counter for."""
        for account in self.dirty.values():
            window = account.windows.get(int(self.now.timestamp() // account.length))
            if window is None or self._told(window) < CONTESTED * account.limit:
                continue
            units = window.spent - window.reported
            if units >= LEAST:
                window.reported = window.spent
                self.out.append(ReportUse(account.number, window.number, self._over(window), units))

    def _told(self, window: Window) -> float:
        """The total, as far as this ingress can know it, what it holds ahead left out."""
        if window.alone:
            return max(window.seen, self._told_by_rights(window))
        if window.kept <= 0:
            return window.seen
        return window.base_told + (window.seen - window.base_seen) / (1 - window.kept)

    def _told_by_rights(self, window: Window) -> float:
        """The total, as if all used their rights as far as this ingress did."""
        free, all_rights = window.account.limit - window.before, window.used + window.rights
        if all_rights <= 1e-9 or free <= 0:
            # While the counter is in trouble, what the quota gives back since is the others' too, unseen: as
            # if all used it alike. For one late answer the others go on by what they hear.
            part = self._part(window.account) if self.counter.in_trouble else 1.0
            return max(window.before, window.account.limit) + window.used / part
        return window.before + max(0.0, free * window.used / all_rights, window.used)

    def _rebase(self, window: Window) -> None:
        """Leaves those that cannot ask the counter their parts, and no longer once they can."""
        kept = self._kept(window.account)
        if kept == window.kept:
            return
        told = self._told(window)
        window.base_seen = window.seen
        window.base_told = told if kept > 0 else window.base_seen
        window.kept = kept

    def _kept(self, account: Account) -> float:
        """The parts of this account's other ingresses that are without the counter, or are not heard."""
        away = 0
        for n in self._members(account):
            peer = self.peers.get(n)
            if peer is None or peer.heard is None:
                continue  # this one, or one that has never been heard: there may be none
            silent = self.now - peer.heard
            unheard = silent > MESSAGE_LIFE and self.rules.ingresses <= SMALL_FLEET
            away += silent < RESERVED and (peer.down or unheard)
        return min(0.95, away * self._part(account))

    # --- asks ----------------------------------------------------------------------------------------------
    def _serve(self, window: Window) -> None:
        """Answers what can be, in order; calls the counter where nothing else will do."""
        while window.asks:
            ask = window.asks[0]
            if not (window.alone or self._covers(window, ask)):
                if not self.counter.in_trouble:
                    if not window.token and self.counter.may_call(self.now):
                        self._charge(window)
                        return
                    if self.now - ask.at < LATE:
                        return
                self._leave(window)
            window.asks.popleft()
            before = self._told(window)
            self._spend(window, ask.amount)
            self.alone_asks += window.alone
            # Guards against a fall by grants that the decisions would take for a counter that forgot.
            least = window.last + min(0.0, ask.amount) - window.account.spread
            # What stands for others is told with the next ask: this one may yet be refused and handed back,
            # and the decisions would take that use of others for gone for good.
            now = before + ask.amount if window.alone and ask.amount > 0 else self._told(window)
            window.last = max(least, now)
            self.out.append(TellTotal(window.name, window.last, NOTHING))

    def _covers(self, window: Window, ask: Ask) -> bool:
        """Whether no call is needed: it hands back, is paid for by a lease, or reads what is fresh."""
        if ask.amount < 0:
            return window.total is not None
        if ask.amount > 0:
            paid = window.held - window.pending >= ask.amount - 1e-9
            return window.total is not None and (paid or self._full(window, ask.amount))
        over = (window.number + 1) * window.account.length <= self.now.timestamp()
        age = self.now - window.fresh if window.fresh is not None else None
        return age is not None and age <= (SETTLED if over else RECENTLY_READ)

    def _full(self, window: Window, amount: float) -> bool:
        """Whether a total that was just heard leaves no room for it: that is told without a call.

        Where the decisions let it in all the same, it is charged soon after.
        """
        if window.fresh is None or self.now - window.fresh > JUST_READ or window.token:
            return False
        return self._used(window) + amount > window.account.limit

    def _used(self, window: Window) -> float:
        """Of both windows, weighted as the decisions do."""
        before, used = window.account.windows.get(window.number - 1), self._told(window)
        if before is not None:
            used += self._told(before) * window.seconds_left(self.now) / window.account.length
        return used

    def _spend(self, window: Window, amount: float) -> None:
        account = window.account
        window.spent += amount
        if amount:
            self.dirty[account.number] = account
        if amount > 0:
            account.spend(amount, self.now)
        if window.alone:
            window.rights -= amount
            window.used += amount
            if amount > 0 and self.rules.grants and window.expected_use(self.now) > window.rights:
                # What will not do until the window is over is asked of the others before it is gone.
                account.need_until = self.now + NEED_LIFE
                self.wanting[account.number] = account

    def _charge(self, window: Window) -> None:
        """One call for all that waits, what was spent alone, and a lease ahead where the account is busy."""
        wanted = sum(a.amount for a in window.asks if a.amount > 0)
        amount = wanted - window.held
        if wanted > 0:
            amount += self._ahead(window, wanted / sum(a.amount > 0 for a in window.asks))
        window.token = self._call(window.name, amount, window.life, window)
        window.out = amount
        window.charged += amount
        window.pending += amount

    def _ahead(self, window: Window, each: float) -> float:
        """Units to hold for the next requests: whole ones of that size, within a part of what is free."""
        account = window.account
        if not self.rules.ahead or account.demand_at is None:
            return 0.0
        pace, left = account.demand_rate(self.now), window.seconds_left(self.now)
        free = PART * max(0.0, account.limit - self._used(window)) * self._part(account)
        count = min(pace * min(TERM.total_seconds(), left), free) // each
        return count * each if count >= LEAST else 0.0

    def _call(self, name: int, amount: float, life: timedelta, about: Window | Ask | None) -> int:
        self.token += 1
        self.calls += 1
        self.tokens[self.token] = about
        self.counter.called(self.token, self.now)
        self.out.append(CallCounter(self.token, name, amount, life))
        return self.token

    def _next(self) -> None:
        """A call has ended: those that waited for its turn."""
        for account in list(self.dirty.values()):
            for window in account.windows.values():
                if window.asks and not window.token:
                    self._serve(window)

    # --- the counter ---------------------------------------------------------------------------------------
    def _miss(self) -> None:
        if self.counter.missed(self.now):
            self.out.append(LogLine("counter: not answering; deciding by rights"))
            for account in list(self.accounts.values()):
                for window in account.windows.values():
                    self._leave(window)
                    self._serve(window)

    def _settle(self) -> None:
        """What was spent alone is charged, what is held and not used is handed back; idle accounts rest."""
        for account in list(self.dirty.values()):
            now = self.now.timestamp()
            current = int(now // account.length)
            rest = account.last is None or self.now - account.last > TERM
            for window in list(account.windows.values()):
                if window.token or not self.counter.may_call(self.now):
                    continue
                if window.asks:
                    self._serve(window)
                elif self._just_charged(window):
                    pass  # more may follow at once, and go with it
                elif window.held < -1e-6 or (window.held > 1e-6 and (rest or window.number < current)):
                    # What is left of a lease is a matter of indifference where nobody comes near the quota.
                    if window.held < 0 or self._told(window) + window.held > CONTESTED * account.limit:
                        self._charge(window)
                        self.dirty.move_to_end(account.number)  # calls may be few: each account in its turn
                    else:
                        window.charged = window.spent
            if all(not w.asks and not w.token and abs(w.held) <= 1e-6 for w in account.windows.values()) or (
                current > max(account.windows, default=current) + 2
            ):
                self.dirty.pop(account.number, None)

    def _just_charged(self, window: Window) -> bool:
        """Whether it owes units since a total that was heard so lately that a call for them can wait."""
        if self.counter.in_trouble or window.fresh is None:
            return False
        return window.held < -1e-6 and self.now - window.fresh < JUST_READ

    # --- messages -----------------------------------------------------------------------------------------
    def _needed(self, peer: int, life: int, need: Need) -> None:
        """Another ingress lacks rights: it gets a part of those that this one has no use for."""
        if not self.rules.grants or not 0 <= need.tariff < len(self.rules.plans):
            return
        account = self._account(need.account, need.tariff, need.spread, need.first)
        if account is None or not {self.rules.me, peer} <= set(self._members(account)):
            return
        number = int(self.now.timestamp() // account.length)
        if need.window != number % 256:
            return
        window = self._open(account, number)
        units = min(need.units, SPARE * (window.rights - window.expected_use(self.now))) // 0.1 * 0.1
        if not window.alone or units < 0.5:
            return
        key = peer, life
        window.granted[key] = window.granted.get(key, 0.0) + units
        window.rights -= units
        self.given += units
        grant = Grant(account.number, need.window, window.granted[key], life)
        grants = self.peers[peer].grants
        grants[:] = [g for g in grants if (g[0].account, g[0].window) != (grant.account, grant.window)]
        grants.append((grant, REPEATS))

    def _granted(self, peer: int, life: int, grant: Grant) -> None:
        account = self.accounts.get(grant.account)
        if account is None or grant.life != self.life:
            return  # to a former life of this ingress, which may have spent it
        for window in account.windows.values():
            if window.number % 256 == grant.window and window.alone:
                more = grant.units - window.received.get((peer, life), 0.0)
                if more > 0:
                    window.received[peer, life] = grant.units
                    window.rights += more
                    self.taken += more

    def _speak(self) -> None:
        needs = self._needs()
        for n, peer in self.peers.items():
            since = self.now - peer.said if peer.said is not None else HEARTBEAT * 10
            mine = tuple(need for need, members in needs if n in members)[:MOST_NEEDS]
            pause = max(LEAST_PAUSE, timedelta(milliseconds=12) * len(self.peers))
            beat = max(HEARTBEAT, pause) if len(self.peers) < SMALL_FLEET else 4 * max(HEARTBEAT, pause)
            if since < (pause if peer.grants or mine else beat):
                continue
            peer.said, self.number = self.now, self.number + 1
            grants = tuple(g for g, _ in peer.grants[:MOST_GRANTS])
            later = [(g, k - 1) for g, k in peer.grants[:MOST_GRANTS] if k > 1]
            peer.grants = peer.grants[MOST_GRANTS:] + later
            down = self.counter.in_trouble
            message = Message(self.rules.me, self.life, self.number, down, mine, grants)
            self.out.append(SendMessage(n, message))

    def _needs(self) -> list[tuple[Need, list[int]]]:
        found = []
        for account in list(self.wanting.values()):
            number = int(self.now.timestamp() // account.length)
            window = account.windows.get(number)
            over = account.need_until is None or self.now > account.need_until
            if over or window is None or not window.alone:
                del self.wanting[account.number]
                continue
            units = round(min(account.limit, window.expected_use(self.now)) - window.rights, 1)
            if units >= 0.5:
                whose = account.number, account.tariff, account.first, account.spread
                found.append((Need(*whose, number % 256, units), self._members(account)))
        return found
