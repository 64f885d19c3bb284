"""What the reducer asks of the wire. Effects are carried out in the order in which they are listed."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from typing import Any

from opalgauge.memory.events import BanStatus, HttpRequest, RequestReceived
from starlinggap.interface import End, ServerEntry


class Destination(Enum):
    """Whom a connection leads to."""

    SERVER = "stock node"
    QUOTA_COUNTER = "quota counter"
    SERVER_LIST = "node list"


class Reason(Enum):
    """Why a request was answered as it was, or a connection closed; for the record of what has happened."""

    UNSPECIFIED = "-"
    SERVED = "a server answered"
    FAILED = "its attempts failed"
    REFUSED = "the decisions refused it"
    OVERDUE = "its time was up"
    BODY_STALLED = "its body stopped"
    TOO_MANY = "too many requests or long bodies at once"
    ID_IN_USE = "its id is open already"
    WORKER_LOST = "the worker that decided is no more"
    STOPPING = "the process stops"
    CONNECTION_LIMIT = "no room for more connections"
    IDLE = "idle too long"
    LIST_CHANGED = "its server left the list, or was taken out"
    CANCELLED = "the attempt was called off"
    CONNECT_TIMEOUT = "it did not come up in time"
    ANSWER_STALLED = "its answer halted"
    DONE = "it carries nothing more"
    NO_RESPONSE = "nothing was heard on it"
    ADDRESS_CHANGED = "a new configuration"


def reason_field(default: Reason = Reason.UNSPECIFIED) -> Any:
    """A field that two equal effects may differ in."""
    return field(default=default, compare=False)


@dataclass(slots=True)
class OpenConnection:
    connection_id: int
    destination: Destination
    address: str


@dataclass(slots=True)
class CloseConnection:
    """Ends the connection at once; nothing more is reported of it."""

    connection_id: int
    reason: Reason = reason_field()


@dataclass(slots=True)
class SendAttempt:
    connection_id: int
    http_request: HttpRequest
    time_left: timedelta
    request_id: int = 0


@dataclass(slots=True)
class SendProbe:
    connection_id: int


@dataclass(slots=True)
class CallCounter:
    """Adds `amount` to a named count; a new name lives for `life`."""

    connection_id: int
    name: int
    amount: float
    ttl: timedelta


@dataclass(slots=True)
class AskServerList:
    """Asks for what is newer than `since`, or for the whole list where that is None."""

    connection_id: int
    since_version: int | None
    wait: timedelta


@dataclass(slots=True)
class AnswerClient:
    """The one final answer to an order. `last`: the client's connection ends with it.

    `flow`: the body comes over that connection and is passed on as it does; `length`: its bytes, where told.
    """

    request_id: int
    status: int
    body: bytes = b""
    content_type: str = ""
    retry_after: timedelta | None = None
    close_connection: bool = False
    stream_connection_id: int = 0
    length: int | None = None
    reason: Reason = reason_field()


@dataclass(slots=True)
class DelegateRequest:
    """Hands an order to the core that decides about it."""

    worker: int
    received: RequestReceived


@dataclass(slots=True)
class WithdrawRequest:
    """Tells that core that nobody waits for the order any more."""

    worker: int
    request_id: int


@dataclass(slots=True)
class CloseClient:
    """Ends a client's connection, over which nothing is owed.

    What has come over it and was not read is waited for, unless there is no room for it (`crowded`).
    """

    client_id: int
    immediately: bool = False
    reason: Reason = reason_field()


@dataclass(slots=True)
class AbortClient:
    """Ends a client's connection in the middle of a long answer, so that the client can tell."""

    client_id: int


@dataclass(slots=True)
class StopReadingBodies:
    """Requests whose bodies have not come whole, and that became no order, are answered as such."""


@dataclass(slots=True)
class WakeAt:
    """Replaces the wake-up asked for before."""

    at: datetime


@dataclass(slots=True)
class StopAccepting:
    """Accept no more clients for now; those that are here stay."""


@dataclass(slots=True)
class ResumeAccepting:
    """The other process takes no more clients: those that wait are accepted."""


@dataclass(slots=True)
class StopListening:
    """Accept no more clients and close the connections that stand idle."""


@dataclass(slots=True)
class AnswerStaff:
    """The answer to a call at the admin endpoint."""

    call_id: int
    accepted: bool
    text: str


@dataclass(slots=True)
class PersistBans:
    """What staff have said of stock nodes is to outlive this process. To be done before they are answered."""

    bans: tuple[BanStatus, ...]


@dataclass(slots=True)
class ReportAttempt:
    """For whoever judges zones: an attempt or a probe has begun (`end` is None) or ended, after `took`."""

    key: tuple[int, int]
    server_id: int
    zone: int
    class_index: int
    end: End | None = None
    took: timedelta = timedelta(0)


@dataclass(slots=True)
class ReportServers:
    """For the same: the stock nodes that are listed from now on."""

    entries: tuple[ServerEntry, ...]


@dataclass(slots=True)
class ReportAccount:
    """For whoever holds leases of quotas: a request of this account has come."""

    account: int
    plan_index: int
    spread: int
    first: int


@dataclass(slots=True)
class ReplicateBan:
    """For whoever replicates: staff have said this of a stock node, here."""

    ban: BanStatus


@dataclass(slots=True)
class AskLeaseHolder:
    """For the same: the decisions ask for a count. `LeaseHolderAnswered` answers, once and in order for each
    name."""

    name: int
    amount: float
    ttl: timedelta


@dataclass(slots=True)
class ReportCounterResult:
    """For the same: what came of a `CounterCallRequested`."""

    token: int
    end: End
    total: float


@dataclass(slots=True)
class Exit:
    """Nothing is owed any more: the program can end."""


@dataclass(slots=True)
class Log:
    text: str


Effect = (
    OpenConnection
    | CloseConnection
    | SendAttempt
    | SendProbe
    | CallCounter
    | AskServerList
    | AnswerClient
    | DelegateRequest
    | WithdrawRequest
    | CloseClient
    | AbortClient
    | StopReadingBodies
    | WakeAt
    | StopAccepting
    | ResumeAccepting
    | StopListening
    | AnswerStaff
    | PersistBans
    | ReportAttempt
    | ReportServers
    | ReportAccount
    | ReplicateBan
    | AskLeaseHolder
    | ReportCounterResult
    | Exit
    | Log
)
