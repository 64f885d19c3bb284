"""What the ingresses of a fleet say to each other of zones, who of them is alive, and what they agree on.

No I/O, no clock. Messages get lost, come late and out of order: only the newest one of each ingress counts,
and only for so long. Nothing here waits for an answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from opalgauge.zones.health import Opinion
from opalgauge.zones.messages import Message, ZoneState

MESSAGE_MAX_AGE = timedelta(milliseconds=1500)  # six messages: with half of them lost, one in 60 is unheard
ALIVE_WITHIN = timedelta(seconds=6)  # an ingress not heard for so long is not counted


@dataclass(frozen=True, slots=True)
class Votes:
    """Opinions of a zone, this ingress's own among them, and what fresh messages say of its trials."""

    failing: int
    healthy: int
    slow: int
    good_trials: int
    bad_trials: int
    returning_since: datetime | None  # the latest start that a peer tells, while most do not say it is left
    left: int
    heard: int  # peers with a fresh message


class Fleet:
    """The newest message of each peer."""

    def __init__(self, own_index: int, configured_size: int) -> None:
        self.own_index, self.configured_size = (
            own_index,
            max(1, configured_size),
        )  # `told`: how many ingresses the settings know
        self.messages: dict[int, tuple[datetime, Message]] = {}

    def accept(self, message: Message, now: datetime) -> bool:
        """Takes a message unless a newer one of that ingress is known; False: it is old, or our own."""
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
        """How many ingresses there are, this one with them. Where nobody is heard, all that were told of."""
        heard = sum(now - at <= ALIVE_WITHIN for at, _ in self.messages.values())
        return 1 + heard if heard else self.configured_size

    def is_cut_off(self, now: datetime) -> bool:
        return self.configured_size > 1 and not any(
            now - at <= MESSAGE_MAX_AGE for at, _ in self.messages.values()
        )

    def count_votes(self, zone: int, own: Opinion, now: datetime) -> Votes:
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
            # Those of who has returned since are no sign for who has left it again.
            good_trials=sum(report.good_trials for _, report in recent if report.state is ZoneState.LEFT),
            bad_trials=sum(report.bad_trials for _, report in recent if report.state is ZoneState.LEFT),
            returning_since=max(returning_since) if returning_since else None,
            left=sum(report.state is ZoneState.LEFT for _, report in recent),
            heard=len(recent),
        )
