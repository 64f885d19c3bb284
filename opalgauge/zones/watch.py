"""Decides when a zone is left, when it is tried again, and how fast traffic returns to it. No I/O, no clock.

    IN ──(most ingresses with an opinion see it fail)──► LEFT ──(two good trials, more than bad)──► RETURNING
    IN ◄──(the ramp-up is complete)───────────────────────────────────────────────────────────────────┘
    IN ◄──► SLOW: it answers, but far later than the other zones

The inputs are attempts, messages of peers, the server list, and time.
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

QUORUM = 2  # ingresses that see a zone fail; they must also outnumber those that see it work
SOLO_FAILURE_TIME = timedelta(milliseconds=500)  # after which one ingress is enough if nobody disagrees
INITIAL_HOLD, MAX_HOLD = timedelta(seconds=1), timedelta(seconds=30)  # between leaving and the first trial
FLAP_WINDOW = timedelta(seconds=30)  # a zone left again this soon after a return is held twice as long
FLEET_TRIALS_PER_SECOND = 2.0  # by the whole fleet, per zone
TRIAL_INTERVAL = timedelta(milliseconds=500)  # between an answered trial and the next one
DOUBT_TRIAL_INTERVAL = timedelta(milliseconds=150)  # between trials of a doubtful zone without peers
TRIAL_MAX_AGE = timedelta(seconds=4)
MIN_GOOD_TRIALS = 2
MAX_MESSAGE_DELAY = timedelta(milliseconds=200)  # delivery time plus the rounding of ages to tenths
RAMP_MARGIN = 0.8  # of the share that cold servers bear by the settings, at the start of the ramp-up
MIN_SLOW_SHARE = 0.25  # kept by a slow zone, so that its recovery is seen
MIN_SHARE_CHANGE = 0.02  # smaller changes of a share are not reported
SEND_INTERVAL = timedelta(milliseconds=250)  # between messages; doubled in large fleets
SMALL_FLEET_PEERS, FANOUT = 12, 16  # peers before the interval doubles, and most receivers of a message
CHANGE_INTERVAL_FACTOR = 0.5  # of the interval before a changed state is sent; keeps to the datagram budget


@dataclass(frozen=True, slots=True)
class ChangeShare:
    """Set the share of a zone, and have a server of it tried; 0: none."""

    zone: int
    share: float
    trial_server: int = 0


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to these peers."""

    peers: tuple[int, ...]
    message: Message


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line."""

    text: str


Action = ChangeShare | SendMessage | LogLine


@dataclass(slots=True)
class ZoneStatus:
    """State of a zone at this ingress.

    `reason` says why the zone is in its state. `share` is the fraction of its usual traffic that it gets, and
    `reported_share` the one last reported. `hold` is the time between leaving the zone and its first trial.
    """

    name: str
    since: datetime
    state: ZoneState = ZoneState.IN
    reason: str = "since the start"
    share: float = 1.0
    reported_share: float = 1.0
    last_attempt_at: datetime | None = None  # start of the latest attempt that is not a trial
    no_success_since: datetime | None = None  # the first failure since the latest success
    valid_from: datetime = datetime.min  # attempts that began earlier are ignored
    failing_since: datetime | None = None  # in this ingress's own opinion
    returned_at: datetime | None = None  # start of the latest return
    hold: timedelta = INITIAL_HOLD
    next_trial_at: datetime = datetime.min
    trials: deque[tuple[datetime, bool]] = field(default_factory=lambda: deque(maxlen=16))

    def good_trials(self, now: datetime) -> int:
        """The number of successful trials since the latest failed one, within `TRIAL_MAX_AGE`."""
        count = 0
        for when, good in reversed(self.trials):
            if not good or now - when > TRIAL_MAX_AGE:
                break
            count += 1
        return count

    def bad_trials(self, now: datetime) -> int:
        """1 if the latest trial has failed and is not too old, else 0."""
        return int(bool(self.trials) and not self.trials[-1][1] and now - self.trials[-1][0] <= TRIAL_MAX_AGE)


@dataclass(frozen=True, slots=True)
class ZoneConfig:
    """Settings of a zone watch.

    `expected_times` are the initial latencies by class. `slow_start_share` is the share of its traffic that a
    cold server bears, and `slow_start_duration` the time until it bears all of it. Without `enforce` nobody
    acts on the shares, and attempts go on in zones that are left.
    """

    zone_names: tuple[str, ...]
    fleet_size: int
    own_index: int
    expected_times: tuple[timedelta, ...]
    slow_start_duration: timedelta
    slow_start_share: float
    enforce: bool = True


class ZoneWatch:
    """The state of all zones at one ingress.

    `incarnation` must be larger at each start of the ingress, so that its older messages do not count.
    """

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

    # --- inputs --------------------------------------------------------------------------------------------
    def update_servers(self, entries: Sequence[ServerEntry]) -> None:
        """Takes the server list. Only servers that are ready count."""
        self.servers = {e.server: e for e in entries if e.health is ServerHealth.READY}

    def record_attempt(self, effect: ReportAttempt, now: datetime) -> None:
        """An attempt or a trial has begun or ended. Trials have request 0 in their key."""
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
            # Only trials are sent there. A rejected one has been answered.
            self.health.drop_attempt(effect.key)
            if effect.end is not End.CANCELLED and effect.end is not End.NOT_SENT:
                good = effect.end in (End.OK, End.REJECTED)
                status.trials.append((now, good))
                if good:  # confirmed by another trial soon, without waiting for the turn
                    status.next_trial_at = min(status.next_trial_at, now + TRIAL_INTERVAL)
        else:
            self.health.end_attempt(effect.key, effect.end, now, is_trial)
            if is_trial and effect.end is End.OK:
                status.next_trial_at = max(status.next_trial_at, now + TRIAL_INTERVAL)

    def handle_message(self, message: Message, now: datetime) -> None:
        """A peer's message has come."""
        self.fleet.accept(message, now)

    # --- time ----------------------------------------------------------------------------------------------
    def tick(self, now: datetime) -> list[Action]:
        """Does what is due and returns the actions. To be called about twenty times a second."""
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
            # A zone is left only if another one is known to serve.
            other_serves = any(in_use[k] and v.healthy + v.slow > 0 for k, v in enumerate(votes) if k != n)
            self._update_zone(n, own_opinions[n], votes[n], failing[n], other_serves, now)
        if not any(in_use) and any(p.state is ZoneState.LEFT for p in self.zones):
            # Never leaves all zones: the servers that remain in them are all there is.
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
        """Whether the zone has failed: for a quorum, or for this ingress if nobody disagrees for a while."""
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
            # A return that peers began before this ingress left does not count: they may leave as well.
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
            # An ingress that was restarted during the ramp-up joins it and does not send the full share.
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
        """The share of a zone at this age of its return: what its servers bear if they came back cold.

        It is a fraction of each ingress's traffic, so the load does not depend on the number of ingresses.
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
        # Random, so that the first trials of the fleet do not come all at once.
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
        """The server to try in a zone that is left, or 0. Keeps to the trial rate of the fleet."""
        if now < status.next_trial_at:
            return 0
        status.next_trial_at = now + self._trial_turn(now) * (0.5 + self.rng.random())
        servers = self._servers_in(n)
        return self.rng.choice(servers) if servers else 0

    def _servers_in(self, n: int) -> list[int]:
        return sorted(e.server for e in self.servers.values() if e.zone == n)

    def _doubt_trial_server(self, n: int, status: ZoneStatus, now: datetime) -> int:
        """The server to try in a zone with recent failures or no recent outcomes, or 0.

        Only for an ingress that hears no peers. The gateway avoids servers that failed, so its own requests
        may never tell whether the zone has failed or only these servers; with peers, those of the fleet do.
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
        """The time in which each ingress of the fleet makes one trial."""
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
