"""What the ingresses of a fleet say to each other of zones, who of them is alive, and what they agree on.

No I/O, no clock. Messages get lost, come late and out of order: only the newest one of each ingress counts,
and only for so long. Nothing here waits for an answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from opalgauge.zones.health import Opinion
from opalgauge.zones.messages import Message, State

MESSAGE_LIFE = timedelta(milliseconds=1500)  # six messages: with half of them lost, one in 60 is unheard
ALIVE = timedelta(seconds=6)  # an ingress not heard for so long is not counted


@dataclass(frozen=True, slots=True)
class Votes:
    """Opinions of a zone, this ingress's own among them, and what fresh messages say of its trials."""

    failing: int
    well: int
    slow: int
    good_trials: int
    bad_trials: int
    returning_since: datetime | None  # the latest start that a peer tells, while most do not say it is left
    left: int
    heard: int  # peers with a fresh message


class Fleet:
    """The newest message of each peer."""

    def __init__(self, me: int, told: int) -> None:
        self.me, self.told = me, max(1, told)  # `told`: how many ingresses the settings know
        self.messages: dict[int, tuple[datetime, Message]] = {}

    def hear(self, message: Message, now: datetime) -> bool:
        """Takes a message unless a newer one of that ingress is known; False: it is old, or our own."""
        if message.sender == self.me or not 0 <= message.sender < self.told:
            return False
        known = self.messages.get(message.sender)
        if known is not None and (message.life, message.number) <= (known[1].life, known[1].number):
            return False
        self.messages[message.sender] = now, message
        return True

    def alive(self, now: datetime) -> int:
        """How many ingresses there are, this one with them. Where nobody is heard, all that were told of."""
        heard = sum(now - at <= ALIVE for at, _ in self.messages.values())
        return 1 + heard if heard else self.told

    def cut_off(self, now: datetime) -> bool:
        return self.told > 1 and not any(now - at <= MESSAGE_LIFE for at, _ in self.messages.values())

    def votes(self, zone: int, own: Opinion, now: datetime) -> Votes:
        fresh = [
            (now - at, message.zones[zone])
            for at, message in self.messages.values()
            if now - at <= MESSAGE_LIFE and zone < len(message.zones)
        ]
        opinions = [own, *(told.opinion for _, told in fresh)]
        since = [now - gone - told.age for gone, told in fresh if told.state is State.RETURNING]
        return Votes(
            failing=opinions.count(Opinion.FAILING),
            well=opinions.count(Opinion.WELL),
            slow=opinions.count(Opinion.SLOW),
            # Those of who has returned since are no sign for who has left it again.
            good_trials=sum(told.good_trials for _, told in fresh if told.state is State.LEFT),
            bad_trials=sum(told.bad_trials for _, told in fresh if told.state is State.LEFT),
            returning_since=max(since) if since else None,
            left=sum(told.state is State.LEFT for _, told in fresh),
            heard=len(fresh),
        )
