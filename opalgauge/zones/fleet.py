"""The newest zone message of each peer: who is alive, and how the fleet votes. No I/O, no clock.

Messages get lost, come late and out of order. Only the newest one of each peer counts, and only while it is
fresh. Nothing here waits for an answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from opalgauge.zones.health import Opinion
from opalgauge.zones.messages import Message, ZoneState

MESSAGE_MAX_AGE = timedelta(milliseconds=1500)  # six intervals: at 50% loss a peer is unheard 1 time in 60
ALIVE_WITHIN = timedelta(seconds=6)  # a peer silent for longer is not counted


@dataclass(frozen=True, slots=True)
class Votes:
    """The votes on one zone.

    `failing`, `healthy` and `slow` count opinions, this ingress's own included. `good_trials` and
    `bad_trials` are those of the peers that have left the zone. `left` counts these peers, `heard` all with a
    fresh message.
    """

    failing: int
    healthy: int
    slow: int
    good_trials: int
    bad_trials: int
    returning_since: datetime | None  # the latest start of a return at a peer
    left: int
    heard: int


class Fleet:
    """Keeps the newest message of each peer. `configured_size` is the number of ingresses in the settings."""

    def __init__(self, own_index: int, configured_size: int) -> None:
        self.own_index, self.configured_size = own_index, max(1, configured_size)
        self.messages: dict[int, tuple[datetime, Message]] = {}

    def accept(self, message: Message, now: datetime) -> bool:
        """Stores a message. Returns False if it is outdated, or not from a configured peer."""
        if message.sender == self.own_index or not 0 <= message.sender < self.configured_size:
            return False
        known = self.messages.get(message.sender)
        if known is not None and (message.incarnation, message.sequence) <= (
            known[1].incarnation,
            known[1].sequence,
        ):
            return False
        self.messages[message.sender] = now, message
        return True

    def count_alive(self, now: datetime) -> int:
        """The number of live ingresses, this one included. If no peer is heard, the configured number."""
        heard = sum(now - at <= ALIVE_WITHIN for at, _ in self.messages.values())
        return 1 + heard if heard else self.configured_size

    def is_cut_off(self, now: datetime) -> bool:
        """Whether there should be peers, but no message of any is fresh."""
        return self.configured_size > 1 and not any(
            now - at <= MESSAGE_MAX_AGE for at, _ in self.messages.values()
        )

    def count_votes(self, zone: int, own: Opinion, now: datetime) -> Votes:
        """The votes on a zone, given this ingress's own opinion."""
        recent = [
            (now - at, message.zones[zone])
            for at, message in self.messages.values()
            if now - at <= MESSAGE_MAX_AGE and zone < len(message.zones)
        ]
        opinions = [own, *(report.opinion for _, report in recent)]
        returning_since = [
            now - elapsed - report.age for elapsed, report in recent if report.state is ZoneState.RETURNING
        ]
        return Votes(
            failing=opinions.count(Opinion.FAILING),
            healthy=opinions.count(Opinion.HEALTHY),
            slow=opinions.count(Opinion.SLOW),
            # Trials of a peer that has returned meanwhile say nothing to an ingress that has left again.
            good_trials=sum(report.good_trials for _, report in recent if report.state is ZoneState.LEFT),
            bad_trials=sum(report.bad_trials for _, report in recent if report.state is ZoneState.LEFT),
            returning_since=max(returning_since) if returning_since else None,
            left=sum(report.state is ZoneState.LEFT for _, report in recent),
            heard=len(recent),
        )
