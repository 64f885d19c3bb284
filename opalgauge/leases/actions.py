"""What the lease holder wants done: totals told, calls of the quota counter, messages, log lines, reports."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from opalgauge.leases.messages import Message
from starlinggap import interface


@dataclass(frozen=True, slots=True)
class AnswerCount:
    """One ask's answer. `took`: since it was asked. `end`: not `OK` where nobody can tell a total."""

    name: int
    total: float
    duration: timedelta
    end: interface.End = interface.End.OK


@dataclass(frozen=True, slots=True)
class CallCounter:
    """The counter is to be called; `counted` brings what comes of it under this token."""

    token: int
    name: int
    amount: float
    ttl: timedelta


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to another ingress, which may be lost on the way."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log."""

    text: str


@dataclass(frozen=True, slots=True)
class ReportUsage:
    """This ingress has spent so many units more of an account that comes near its quota, in a window."""

    account: int
    window: int
    ends_at: datetime
    units: float


Action = AnswerCount | CallCounter | SendMessage | LogLine | ReportUsage
