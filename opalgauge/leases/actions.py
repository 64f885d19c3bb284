"""The actions of the lease holder, carried out by its driver."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from opalgauge.leases.messages import Message
from starlinggap import interface


@dataclass(frozen=True, slots=True)
class AnswerCount:
    """Answer a count that the gateway has asked for.

    `duration` is the time since it was asked. `end` is not `OK` if no total is known.
    """

    name: int
    total: float
    duration: timedelta
    end: interface.End = interface.End.OK


@dataclass(frozen=True, slots=True)
class CallCounter:
    """Call the quota counter. The result goes to `LeaseHolder.handle_counter_result` with this token."""

    token: int
    name: int
    amount: float
    ttl: timedelta


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer. It may be lost."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line."""

    text: str


@dataclass(frozen=True, slots=True)
class ReportUsage:
    """Replicate that this ingress has spent these further units of an account near its quota.

    The window ends at `ends_at`.
    """

    account: int
    window: int
    ends_at: datetime
    units: float


Action = AnswerCount | CallCounter | SendMessage | LogLine | ReportUsage
