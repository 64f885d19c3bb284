"""When a zone is left, when it is tried again, and how fast it is returned to. No I/O, no clock.

    IN ──(most who have an opinion see it fail)──► LEFT ──(two trials answered, more than fail)──► RETURNING
    IN ◄──(its ramp is over)─────────────────────────────────────────────────────────────────────────┘
    IN ◄──► SLOW: it answers, but far later than the other zones

Stepped by what is seen (`seen`), heard (`heard`), listed (`listed`) and by time (`tick`).
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from opalgauge.memory.effects import ReportAttempt
from opalgauge.zones.fleet import Fleet, Votes
from opalgauge.zones.health import BAD, Health, Opinion
from opalgauge.zones.messages import Message, State, Told
from starlinggap.interface import End, ServerEntry
from starlinggap.interface import Health as Listed

QUORUM = 2  # who see it fail, and more than see it well
ALONE = timedelta(milliseconds=500)  # it fails for so long, and nobody says otherwise: one ingress is enough
HOLD, HOLD_MOST = timedelta(seconds=1), timedelta(seconds=30)  # after leaving, before the first trial
FLAP = timedelta(seconds=30)  # left again within so long of a return: the hold doubles
TRIALS = 2.0  # a second, of the whole fleet, to one zone
AGAIN = timedelta(milliseconds=500)  # after a trial that was answered, the next
ASKED = timedelta(milliseconds=150)  # between trials of a zone in doubt, by one who hears nobody
TRIAL_LIFE = timedelta(seconds=4)
GOOD_TRIALS = 2
TOLD_WITHIN = timedelta(milliseconds=200)  # a message's way, and what its tenths round away
MARGIN = 0.8  # of what the settings say that cold nodes bear, at the start of a ramp
SLOW_LEAST = 0.25  # of a whole share: a slow zone keeps so much, or nobody would see it recover
STEP = 0.02  # shares that differ by less are not told again
PAUSE = timedelta(milliseconds=250)  # between messages; twice that where there are many peers
FEW, FANOUT = 12, 16  # peers: to more than FEW messages go half as often, to at most FANOUT at a time
SOON = 0.5  # of that pause: a change is told no sooner after the last message, or it would pass the budget


@dataclass(frozen=True, slots=True)
class Judged:
    """The share of a zone from now on, and the node that is to be tried there; 0: none."""

    zone: int
    share: float
    trial: int = 0


@dataclass(frozen=True, slots=True)
class Say:
    """A message to these peers, by their numbers."""

    peers: tuple[int, ...]
    message: Message


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    text: str


Action = Judged | Say | Note


@dataclass(slots=True)
class Place:
    """Where a zone stands with this ingress."""

    name: str
    since: datetime
    state: State = State.IN
    why: str = "since the start"
    share: float = 1.0
    told: float = 1.0  # the share that was told last
    last_try: datetime | None = None  # when the newest attempt there began, trials left out
    first_failed: datetime | None = None  # since when nothing there has ended well
    mark: datetime = datetime.min  # attempts begun before it say nothing of the zone any more
    failing_since: datetime | None = None
    returned: datetime | None = None  # when it was last returned to
    hold: timedelta = HOLD
    next_trial: datetime = datetime.min
    trials: deque[tuple[datetime, bool]] = field(default_factory=lambda: deque(maxlen=16))

    def good_trials(self, now: datetime) -> int:
        """In a row, up to the newest."""
        count = 0
        for when, good in reversed(self.trials):
            if not good or now - when > TRIAL_LIFE:
                break
            count += 1
        return count

    def bad_trials(self, now: datetime) -> int:
        return int(bool(self.trials) and not self.trials[-1][1] and now - self.trials[-1][0] <= TRIAL_LIFE)


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings say: the zones' names, how many ingresses, this one's number, the cold start."""

    zones: tuple[str, ...]
    ingresses: int
    me: int
    usual: tuple[timedelta, ...]  # the usual time of each kind, to begin with
    cold: timedelta
    cold_from: float
    acts: bool = True  # False: nobody follows what is judged, and attempts go on in zones that are left


class Watch:
    """`life`: larger at each start of this ingress, so that its old messages do not count."""

    def __init__(self, rules: Rules, now: datetime, life: int, seed: int) -> None:
        self.rules, self.life, self.number = rules, life, 0
        self.health = Health(len(rules.zones), rules.usual)
        self.fleet = Fleet(rules.me, rules.ingresses)
        self.chance = random.Random(seed)
        self.places = [Place(name, now, mark=now, next_trial=now) for name in rules.zones]
        self.nodes: dict[int, ServerEntry] = {}
        self.said = now - PAUSE
        self.changed = False
        self.out: list[Action] = []

    # --- what comes in -------------------------------------------------------------------------------------
    def listed(self, entries: Sequence[ServerEntry]) -> None:
        self.nodes = {e.server: e for e in entries if e.health is Listed.READY}

    def seen(self, effect: ReportAttempt, now: datetime) -> None:
        zone = effect.zone
        if zone >= len(self.places):
            return
        place, begun, trial = self.places[zone], now - effect.duration, effect.key[0] == 0
        if effect.end is None:
            if not trial and (place.state is not State.LEFT or not self.rules.acts):
                place.last_try = now
            self.health.begun(effect.key, zone, effect.server_id, effect.class_index, now)
            return
        if effect.end is End.OK:
            place.first_failed = None
        elif effect.end in BAD and place.first_failed is None:
            place.first_failed = now
        if begun < place.mark:
            self.health.drop(effect.key)
        elif place.state is State.LEFT:
            # Only trials are sent there; one that is turned away has been answered.
            self.health.drop(effect.key)
            if effect.end is not End.CANCELLED and effect.end is not End.NOT_SENT:
                good = effect.end in (End.OK, End.REJECTED)
                place.trials.append((now, good))
                if good:  # whoever has an answer makes sure of it, and need not wait for its turn
                    place.next_trial = min(place.next_trial, now + AGAIN)
        else:
            self.health.ended(effect.key, effect.end, now, trial)
            if trial and effect.end is End.OK:
                place.next_trial = max(place.next_trial, now + AGAIN)

    def heard(self, message: Message, now: datetime) -> None:
        self.fleet.hear(message, now)

    # --- time ----------------------------------------------------------------------------------------------
    def tick(self, now: datetime) -> list[Action]:
        """To be called some twenty times a second."""
        self.out = []
        sizes = Counter(e.zone for e in self.nodes.values())
        marks = [place.mark for place in self.places]
        own = self.health.look(now, marks, [sizes[n] for n in range(len(self.places))])
        votes = [self.fleet.votes(n, own[n], now) for n in range(len(self.places))]
        failing = [self._fails(n, own[n], votes[n], now) for n in range(len(self.places))]
        used = [
            sizes[n] > 0 and not failing[n] and p.state is not State.LEFT for n, p in enumerate(self.places)
        ]
        for n in range(len(self.places)):
            # One is left only where another is seen to serve, not where nothing is known of the others.
            others = any(used[k] and v.well + v.slow > 0 for k, v in enumerate(votes) if k != n)
            self._step(n, own[n], votes[n], failing[n], others, now)
        if not any(used) and any(p.state is State.LEFT for p in self.places):
            # Guards against leaving every zone: what is left of each of them is all that there is.
            for place in self.places:
                self._move(place, State.IN, "every zone fails, none is left", now, 1.0)
        for n, place in enumerate(self.places):
            trial = self._trial(n, place, now) if place.state is State.LEFT else self._doubt(n, place, now)
            moved = abs(place.share - place.told) >= STEP
            if trial or moved or (place.share != place.told and place.share in (0.0, 1.0)):
                place.told = place.share
                self.out.append(Judged(n, place.share, trial))
        self._speak(own, now)
        return self.out

    def _fails(self, n: int, own: Opinion, votes: Votes, now: datetime) -> bool:
        """Whether it fails for the fleet: a quorum of those who can tell, or this ingress and nobody else."""
        place = self.places[n]
        if own is not Opinion.FAILING:
            place.failing_since = None
        elif place.failing_since is None:
            place.failing_since = now
        fine = votes.well + votes.slow
        if votes.failing >= QUORUM and votes.failing > fine:
            return True
        alone = place.failing_since is not None and now - place.failing_since >= ALONE
        return alone and fine == 0

    def _step(self, n: int, own: Opinion, votes: Votes, failing: bool, others: bool, now: datetime) -> None:
        place = self.places[n]
        if place.state is State.LEFT:
            good = place.good_trials(now) + votes.good_trials
            bad = place.bad_trials(now) + votes.bad_trials
            # Guards what was just left against a return that peers began before: they may leave it too.
            since = votes.returning_since
            if since is not None and since > place.since + TOLD_WITHIN and 2 * votes.left <= votes.heard:
                self._return(place, since, "others return to it", now)
            elif good >= GOOD_TRIALS and good > bad:
                self._return(place, now, f"{good} trials answered, {bad} not", now)
        elif failing and others:
            who = f"{votes.failing} see it fail, {votes.well + votes.slow} do not"
            self._leave(n, place, who, now)
        elif place.state is State.RETURNING:
            place.share = self._ramp(now - place.since)
            if place.share >= 1.0:
                self._move(place, State.IN, "its ramp is over", now, 1.0)
        elif (
            votes.returning_since is not None
            and place.returned is None
            and self._ramp(now - votes.returning_since) < 1.0
        ):
            # Guards a returning zone against an ingress that was restarted meanwhile and knows of nothing.
            self._return(place, votes.returning_since, "others return to it", now)
        elif others and own is not Opinion.WELL and 2 * votes.left > max(1, votes.heard):
            self._leave(n, place, f"{votes.left} of {votes.heard} peers have left it", now)
        elif own is Opinion.SLOW and votes.slow >= votes.well:
            ratio = self.health.ratio(n)
            if place.state is State.IN:
                self._move(place, State.SLOW, f"{ratio:.1f} times the other zones' time", now, 1.0)
            place.share = max(SLOW_LEAST, 1.0 / ratio)
        elif place.state is State.SLOW:
            self._move(place, State.IN, "as quick as the others", now, 1.0)

    # --- changes -------------------------------------------------------------------------------------------
    def _ramp(self, age: timedelta) -> float:
        """The share of a zone so long after its return began: what its nodes bear if they came back cold.

        It is a share of draws, so that the sum over all ingresses does not depend on how many there are.
        """
        first = MARGIN * self.rules.cold_from
        if self.rules.cold <= timedelta(0):
            return 1.0
        return min(1.0, first + (1 - first) * max(0.0, age / self.rules.cold))

    def _leave(self, n: int, place: Place, why: str, now: datetime) -> None:
        flaps = place.returned is not None and now - place.returned < FLAP
        place.hold = min(HOLD_MOST, 2 * place.hold) if flaps else HOLD
        place.mark, place.failing_since = now, None
        place.trials.clear()
        # Guards the first trials against coming from the whole fleet at once.
        place.next_trial = now + place.hold + self._turn(now) * self.chance.random()
        self.health.forget(n)
        self._move(place, State.LEFT, why, now, 0.0)

    def _return(self, place: Place, since: datetime, why: str, now: datetime) -> None:
        place.mark = place.returned = now
        self._move(place, State.RETURNING, why, min(since, now), self._ramp(now - since))

    def _move(self, place: Place, state: State, why: str, now: datetime, share: float) -> None:
        if place.state is not state:
            self.out.append(Note(f"zone {place.name}: {state.name.lower()}: {why}"))
        place.state, place.why, place.since, place.share = state, why, now, share
        self.changed = True

    def _trial(self, n: int, place: Place, now: datetime) -> int:
        """A node of a zone that is left, now and then: so many a second by the whole fleet."""
        if now < place.next_trial:
            return 0
        place.next_trial = now + self._turn(now) * (0.5 + self.chance.random())
        there = self._listed(n)
        return self.chance.choice(there) if there else 0

    def _listed(self, n: int) -> list[int]:
        return sorted(e.server for e in self.nodes.values() if e.zone == n)

    def _doubt(self, n: int, place: Place, now: datetime) -> int:
        """Another node of a zone that has just failed or fallen silent, for who hears nobody.

        The decisions keep away from nodes that failed, so its own requests there may never be enough to tell
        whether the zone is gone or these nodes alone; with peers the fleet's are.
        """
        row = self.health.row(n)
        doubtful = row or self.health.quiet(n, now) >= AGAIN
        if not doubtful or now < place.next_trial or not self.fleet.cut_off(now):
            return 0
        place.next_trial = now + ASKED
        there = self._listed(n)
        unasked = [server for server in there if server not in row]
        return self.chance.choice(unasked or there) if there else 0

    def _turn(self, now: datetime) -> timedelta:
        """In which each ingress of the fleet makes one trial."""
        return timedelta(seconds=self.fleet.alive(now) / TRIALS)

    def _speak(self, own: list[Opinion], now: datetime) -> None:
        peers = [k for k in range(self.rules.ingresses) if k != self.rules.me]
        pause = PAUSE if len(peers) <= FEW else 2 * PAUSE
        if not peers or now - self.said < (SOON * pause if self.changed else pause):
            return
        self.said, self.changed, self.number = now, False, self.number + 1
        zones = tuple(
            Told(own[n], p.state, max(timedelta(0), now - p.since), p.good_trials(now), p.bad_trials(now))
            for n, p in enumerate(self.places)
        )
        some = tuple(peers if len(peers) <= FANOUT else self.chance.sample(peers, FANOUT))
        self.out.append(Say(some, Message(self.rules.me, self.life, self.number, zones)))
