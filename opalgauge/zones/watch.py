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
from opalgauge.zones.health import FAILED_ENDS, Opinion, ZoneHealth
from opalgauge.zones.messages import Message, ZoneReport, ZoneState
from starlinggap.interface import End, ServerEntry
from starlinggap.interface import Health as ServerHealth

QUORUM = 2  # who see it fail, and more than see it well
SOLO_FAILURE_TIME = timedelta(
    milliseconds=500
)  # it fails for so long, and nobody says otherwise: one ingress is enough
INITIAL_HOLD, MAX_HOLD = timedelta(seconds=1), timedelta(seconds=30)  # after leaving, before the first trial
FLAP_WINDOW = timedelta(seconds=30)  # left again within so long of a return: the hold doubles
FLEET_TRIALS_PER_SECOND = 2.0  # a second, of the whole fleet, to one zone
TRIAL_INTERVAL = timedelta(milliseconds=500)  # after a trial that was answered, the next
DOUBT_TRIAL_INTERVAL = timedelta(
    milliseconds=150
)  # between trials of a zone in doubt, by one who hears nobody
TRIAL_MAX_AGE = timedelta(seconds=4)
MIN_GOOD_TRIALS = 2
MAX_MESSAGE_DELAY = timedelta(milliseconds=200)  # a message's way, and what its tenths round away
RAMP_MARGIN = 0.8  # of what the settings say that cold nodes bear, at the start of a ramp
MIN_SLOW_SHARE = 0.25  # of a whole share: a slow zone keeps so much, or nobody would see it recover
MIN_SHARE_CHANGE = 0.02  # shares that differ by less are not told again
SEND_INTERVAL = timedelta(milliseconds=250)  # between messages; twice that where there are many peers
SMALL_FLEET_PEERS, FANOUT = (
    12,
    16,
)  # peers: to more than FEW messages go half as often, to at most FANOUT at a time
CHANGE_INTERVAL_FACTOR = (
    0.5  # of that pause: a change is told no sooner after the last message, or it would pass the budget
)


@dataclass(frozen=True, slots=True)
class ChangeShare:
    """The share of a zone from now on, and the node that is to be tried there; 0: none."""

    zone: int
    share: float
    trial_server: int = 0


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to these peers, by their numbers."""

    peers: tuple[int, ...]
    message: Message


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log."""

    text: str


Action = ChangeShare | SendMessage | LogLine


@dataclass(slots=True)
class ZoneStatus:
    """Where a zone stands with this ingress."""

    name: str
    since: datetime
    state: ZoneState = ZoneState.IN
    reason: str = "since the start"
    share: float = 1.0
    reported_share: float = 1.0  # the share that was told last
    last_attempt_at: datetime | None = None  # when the newest attempt there began, trials left out
    no_success_since: datetime | None = None  # since when nothing there has ended well
    valid_from: datetime = datetime.min  # attempts begun before it say nothing of the zone any more
    failing_since: datetime | None = None
    returned_at: datetime | None = None  # when it was last returned to
    hold: timedelta = INITIAL_HOLD
    next_trial_at: datetime = datetime.min
    trials: deque[tuple[datetime, bool]] = field(default_factory=lambda: deque(maxlen=16))

    def good_trials(self, now: datetime) -> int:
        """In a row, up to the newest."""
        count = 0
        for when, good in reversed(self.trials):
            if not good or now - when > TRIAL_MAX_AGE:
                break
            count += 1
        return count

    def bad_trials(self, now: datetime) -> int:
        return int(bool(self.trials) and not self.trials[-1][1] and now - self.trials[-1][0] <= TRIAL_MAX_AGE)


@dataclass(frozen=True, slots=True)
class ZoneConfig:
    """What the settings say: the zones' names, how many ingresses, this one's number, the cold start."""

    zone_names: tuple[str, ...]
    fleet_size: int
    own_index: int
    expected_times: tuple[timedelta, ...]  # the usual time of each kind, to begin with
    slow_start_duration: timedelta
    slow_start_share: float
    enforce: bool = True  # False: nobody follows what is judged, and attempts go on in zones that are left


class ZoneWatch:
    """`life`: larger at each start of this ingress, so that its old messages do not count."""

    def __init__(self, config: ZoneConfig, now: datetime, incarnation: int, seed: int) -> None:
        self.config, self.incarnation, self.last_sequence = config, incarnation, 0
        self.health = ZoneHealth(len(config.zone_names), config.expected_times)
        self.fleet = Fleet(config.own_index, config.fleet_size)
        self.rng = random.Random(seed)
        self.zones = [ZoneStatus(name, now, valid_from=now, next_trial_at=now) for name in config.zone_names]
        self.servers: dict[int, ServerEntry] = {}
        self.last_sent_at = now - SEND_INTERVAL
        self.state_changed = False
        self.actions: list[Action] = []

    # --- what comes in -------------------------------------------------------------------------------------
    def update_servers(self, entries: Sequence[ServerEntry]) -> None:
        self.servers = {e.server: e for e in entries if e.health is ServerHealth.READY}

    def record_attempt(self, effect: ReportAttempt, now: datetime) -> None:
        zone = effect.zone
        if zone >= len(self.zones):
            return
        status, begun, is_trial = self.zones[zone], now - effect.duration, effect.key[0] == 0
        if effect.end is None:
            if not is_trial and (status.state is not ZoneState.LEFT or not self.config.enforce):
                status.last_attempt_at = now
            self.health.begin_attempt(effect.key, zone, effect.server_id, effect.class_index, now)
            return
        if effect.end is End.OK:
            status.no_success_since = None
        elif effect.end in FAILED_ENDS and status.no_success_since is None:
            status.no_success_since = now
        if begun < status.valid_from:
            self.health.drop_attempt(effect.key)
        elif status.state is ZoneState.LEFT:
            # Only trials are sent there; one that is turned away has been answered.
            self.health.drop_attempt(effect.key)
            if effect.end is not End.CANCELLED and effect.end is not End.NOT_SENT:
                good = effect.end in (End.OK, End.REJECTED)
                status.trials.append((now, good))
                if good:  # whoever has an answer makes sure of it, and need not wait for its turn
                    status.next_trial_at = min(status.next_trial_at, now + TRIAL_INTERVAL)
        else:
            self.health.end_attempt(effect.key, effect.end, now, is_trial)
            if is_trial and effect.end is End.OK:
                status.next_trial_at = max(status.next_trial_at, now + TRIAL_INTERVAL)

    def handle_message(self, message: Message, now: datetime) -> None:
        self.fleet.accept(message, now)

    # --- time ----------------------------------------------------------------------------------------------
    def tick(self, now: datetime) -> list[Action]:
        """To be called some twenty times a second."""
        self.actions = []
        server_counts = Counter(e.zone for e in self.servers.values())
        valid_from = [status.valid_from for status in self.zones]
        own_opinions = self.health.assess(now, valid_from, [server_counts[n] for n in range(len(self.zones))])
        votes = [self.fleet.count_votes(n, own_opinions[n], now) for n in range(len(self.zones))]
        failing = [self._is_failing(n, own_opinions[n], votes[n], now) for n in range(len(self.zones))]
        in_use = [
            server_counts[n] > 0 and not failing[n] and p.state is not ZoneState.LEFT
            for n, p in enumerate(self.zones)
        ]
        for n in range(len(self.zones)):
            # One is left only where another is seen to serve, not where nothing is known of the others.
            other_serves = any(in_use[k] and v.healthy + v.slow > 0 for k, v in enumerate(votes) if k != n)
            self._update_zone(n, own_opinions[n], votes[n], failing[n], other_serves, now)
        if not any(in_use) and any(p.state is ZoneState.LEFT for p in self.zones):
            # Guards against leaving every zone: what is left of each of them is all that there is.
            for status in self.zones:
                self._set_state(status, ZoneState.IN, "every zone fails, none is left", now, 1.0)
        for n, status in enumerate(self.zones):
            trial_server = (
                self._trial_server(n, status, now)
                if status.state is ZoneState.LEFT
                else self._doubt_trial_server(n, status, now)
            )
            share_changed = abs(status.share - status.reported_share) >= MIN_SHARE_CHANGE
            if (
                trial_server
                or share_changed
                or (status.share != status.reported_share and status.share in (0.0, 1.0))
            ):
                status.reported_share = status.share
                self.actions.append(ChangeShare(n, status.share, trial_server))
        self._send_messages(own_opinions, now)
        return self.actions

    def _is_failing(self, n: int, own_opinion: Opinion, votes: Votes, now: datetime) -> bool:
        """Whether it fails for the fleet: a quorum of those who can tell, or this ingress and nobody else."""
        status = self.zones[n]
        if own_opinion is not Opinion.FAILING:
            status.failing_since = None
        elif status.failing_since is None:
            status.failing_since = now
        not_failing = votes.healthy + votes.slow
        if votes.failing >= QUORUM and votes.failing > not_failing:
            return True
        solo = status.failing_since is not None and now - status.failing_since >= SOLO_FAILURE_TIME
        return solo and not_failing == 0

    def _update_zone(
        self, n: int, own_opinion: Opinion, votes: Votes, failing: bool, other_serves: bool, now: datetime
    ) -> None:
        status = self.zones[n]
        if status.state is ZoneState.LEFT:
            good = status.good_trials(now) + votes.good_trials
            bad = status.bad_trials(now) + votes.bad_trials
            # Guards what was just left against a return that peers began before: they may leave it too.
            returning_since = votes.returning_since
            if (
                returning_since is not None
                and returning_since > status.since + MAX_MESSAGE_DELAY
                and 2 * votes.left <= votes.heard
            ):
                self._start_return(status, returning_since, "others return to it", now)
            elif good >= MIN_GOOD_TRIALS and good > bad:
                self._start_return(status, now, f"{good} trials answered, {bad} not", now)
        elif failing and other_serves:
            reason = f"{votes.failing} see it fail, {votes.healthy + votes.slow} do not"
            self._leave(n, status, reason, now)
        elif status.state is ZoneState.RETURNING:
            status.share = self._ramp_share(now - status.since)
            if status.share >= 1.0:
                self._set_state(status, ZoneState.IN, "its ramp is over", now, 1.0)
        elif (
            votes.returning_since is not None
            and status.returned_at is None
            and self._ramp_share(now - votes.returning_since) < 1.0
        ):
            # Guards a returning zone against an ingress that was restarted meanwhile and knows of nothing.
            self._start_return(status, votes.returning_since, "others return to it", now)
        elif other_serves and own_opinion is not Opinion.HEALTHY and 2 * votes.left > max(1, votes.heard):
            self._leave(n, status, f"{votes.left} of {votes.heard} peers have left it", now)
        elif own_opinion is Opinion.SLOW and votes.slow >= votes.healthy:
            ratio = self.health.slowdown(n)
            if status.state is ZoneState.IN:
                self._set_state(status, ZoneState.SLOW, f"{ratio:.1f} times the other zones' time", now, 1.0)
            status.share = max(MIN_SLOW_SHARE, 1.0 / ratio)
        elif status.state is ZoneState.SLOW:
            self._set_state(status, ZoneState.IN, "as quick as the others", now, 1.0)

    # --- changes -------------------------------------------------------------------------------------------
    def _ramp_share(self, age: timedelta) -> float:
        """The share of a zone so long after its return began: what its nodes bear if they came back cold.

        It is a share of draws, so that the sum over all ingresses does not depend on how many there are.
        """
        initial = RAMP_MARGIN * self.config.slow_start_share
        if self.config.slow_start_duration <= timedelta(0):
            return 1.0
        return min(1.0, initial + (1 - initial) * max(0.0, age / self.config.slow_start_duration))

    def _leave(self, n: int, status: ZoneStatus, reason: str, now: datetime) -> None:
        is_flapping = status.returned_at is not None and now - status.returned_at < FLAP_WINDOW
        status.hold = min(MAX_HOLD, 2 * status.hold) if is_flapping else INITIAL_HOLD
        status.valid_from, status.failing_since = now, None
        status.trials.clear()
        # Guards the first trials against coming from the whole fleet at once.
        status.next_trial_at = now + status.hold + self._trial_turn(now) * self.rng.random()
        self.health.forget_zone(n)
        self._set_state(status, ZoneState.LEFT, reason, now, 0.0)

    def _start_return(self, status: ZoneStatus, since: datetime, reason: str, now: datetime) -> None:
        status.valid_from = status.returned_at = now
        self._set_state(status, ZoneState.RETURNING, reason, min(since, now), self._ramp_share(now - since))

    def _set_state(
        self, status: ZoneStatus, state: ZoneState, reason: str, now: datetime, share: float
    ) -> None:
        if status.state is not state:
            self.actions.append(LogLine(f"zone {status.name}: {state.name.lower()}: {reason}"))
        status.state, status.reason, status.since, status.share = state, reason, now, share
        self.state_changed = True

    def _trial_server(self, n: int, status: ZoneStatus, now: datetime) -> int:
        """A node of a zone that is left, now and then: so many a second by the whole fleet."""
        if now < status.next_trial_at:
            return 0
        status.next_trial_at = now + self._trial_turn(now) * (0.5 + self.rng.random())
        servers = self._servers_in(n)
        return self.rng.choice(servers) if servers else 0

    def _servers_in(self, n: int) -> list[int]:
        return sorted(e.server for e in self.servers.values() if e.zone == n)

    def _doubt_trial_server(self, n: int, status: ZoneStatus, now: datetime) -> int:
        """Another node of a zone that has just failed or fallen silent, for who hears nobody.

        The decisions keep away from nodes that failed, so its own requests there may never be enough to tell
        whether the zone is gone or these nodes alone; with peers the fleet's are.
        """
        failed_servers = self.health.failed_servers(n)
        in_doubt = failed_servers or self.health.quiet_for(n, now) >= TRIAL_INTERVAL
        if not in_doubt or now < status.next_trial_at or not self.fleet.is_cut_off(now):
            return 0
        status.next_trial_at = now + DOUBT_TRIAL_INTERVAL
        servers = self._servers_in(n)
        untried = [server for server in servers if server not in failed_servers]
        return self.rng.choice(untried or servers) if servers else 0

    def _trial_turn(self, now: datetime) -> timedelta:
        """In which each ingress of the fleet makes one trial."""
        return timedelta(seconds=self.fleet.count_alive(now) / FLEET_TRIALS_PER_SECOND)

    def _send_messages(self, own_opinions: list[Opinion], now: datetime) -> None:
        peers = [k for k in range(self.config.fleet_size) if k != self.config.own_index]
        interval = SEND_INTERVAL if len(peers) <= SMALL_FLEET_PEERS else 2 * SEND_INTERVAL
        if not peers or now - self.last_sent_at < (
            CHANGE_INTERVAL_FACTOR * interval if self.state_changed else interval
        ):
            return
        self.last_sent_at, self.state_changed, self.last_sequence = now, False, self.last_sequence + 1
        zones = tuple(
            ZoneReport(
                own_opinions[n],
                p.state,
                max(timedelta(0), now - p.since),
                p.good_trials(now),
                p.bad_trials(now),
            )
            for n, p in enumerate(self.zones)
        )
        receivers = tuple(peers if len(peers) <= FANOUT else self.rng.sample(peers, FANOUT))
        self.actions.append(
            SendMessage(
                receivers, Message(self.config.own_index, self.incarnation, self.last_sequence, zones)
            )
        )
