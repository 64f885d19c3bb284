"""The reducer's effects: what it asks of the wire and the admin endpoint, and what it reports to other parts.

Effects are carried out in the order in which the reducer returns them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from typing import Any

from opalgauge.memory.events import BanStatus, HttpRequest, RequestReceived, ToldList
from starlinggap.interface import End, ServerEntry


class Destination(Enum):
    """What an outgoing connection leads to."""

    SERVER = "stock node"
    QUOTA_COUNTER = "quota counter"
    SERVER_LIST = "node list"


class Reason(Enum):
    """Why a request was answered as it was, or a connection closed; shown in the record of recent events."""

    UNSPECIFIED = "-"
    SERVED = "a server answered"
    FAILED = "its attempts failed"
    REFUSED = "the decisions refused it"
    OVERDUE = "its time was up"
    BODY_STALLED = "its body stopped"
    TOO_MANY = "too many requests or long bodies at once"
    ID_IN_USE = "its id is open already"
    MAY_HAVE_RUN = "its client had left, and it may have run"
    ID_UNKNOWN = "whether its id is open cannot be told"
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
    """A dataclass field for a Reason; effects that differ only in it are equal."""
    return field(default=default, compare=False)


@dataclass(slots=True)
class OpenConnection:
    """Open a connection. The event is `ConnectionOpened`, or `ConnectionLost` if it cannot be opened."""

    connection_id: int
    destination: Destination
    address: str


@dataclass(slots=True)
class CloseConnection:
    """Close a connection at once; no further event is reported of it."""

    connection_id: int
    reason: Reason = reason_field()


@dataclass(slots=True)
class SendAttempt:
    """Send a request to a server over an open connection."""

    connection_id: int
    http_request: HttpRequest
    time_left: timedelta  # sent to the server as the time that it has
    request_id: int = 0


@dataclass(slots=True)
class SendProbe:
    """Ask a server for its load report over an open connection."""

    connection_id: int


@dataclass(slots=True)
class CallCounter:
    """Call the quota counter: add `amount` to a named count, which is created with a lifetime of `ttl`."""

    connection_id: int
    name: int
    amount: float
    ttl: timedelta


@dataclass(slots=True)
class AskServerList:
    """Ask the discovery agent for the server list."""

    connection_id: int
    since_version: int | None  # only for what is newer; None: for the complete list
    wait: timedelta  # the agent answers within this time, even if nothing is newer


@dataclass(slots=True)
class ServerListSettled:
    """Serving may begin: the discovery agent has been heard, or silent for as long as a start waits."""

    heard: bool


@dataclass(slots=True)
class AnswerClient:
    """Give a client the one final answer to its request."""

    request_id: int
    status: int
    body: bytes = b""
    content_type: str = ""
    retry_after: timedelta | None = None
    close_connection: bool = False  # the client's connection ends with this answer
    stream_connection_id: int = 0  # the body is streamed from this server connection; 0: it is `body`
    length: int | None = None  # bytes of a streamed body, if the server states it
    reason: Reason = reason_field()


@dataclass(slots=True)
class ClaimId:
    """Claim a request's id among all processes of this ingress. The event is `IdClaimed`."""

    request_id: int
    correlation_id: str
    is_safe: bool  # the request may be repeated


@dataclass(slots=True)
class ReleaseId:
    """Give back the id of a request that is out no more, or that was not claimed after all."""

    correlation_id: str


@dataclass(slots=True)
class AbandonId:
    """Have all processes of this ingress refuse this id: its request may have run."""

    correlation_id: str


@dataclass(slots=True)
class StreamAnswer:
    """Stream the answer that has begun to arrive on a connection, however little of it has come."""

    connection_id: int


@dataclass(slots=True)
class DelegateRequest:
    """Hand a request to the worker that decides about it."""

    worker: int
    received: RequestReceived


@dataclass(slots=True)
class WithdrawRequest:
    """Tell the worker that decides about a request that nobody waits for it any more."""

    worker: int
    request_id: int


@dataclass(slots=True)
class CloseClient:
    """Close a client's connection that has no open request.

    One over which unread bytes have come is kept, as they may be a request, but not with `immediately`.
    """

    client_id: int
    immediately: bool = False
    reason: Reason = reason_field()


@dataclass(slots=True)
class AbortClient:
    """Reset a client's connection in the middle of a streamed answer, so that it does not look complete."""

    client_id: int


@dataclass(slots=True)
class RefuseIncomplete:
    """Refuse a request that has begun to arrive and was not reported as `RequestReceived`: no memory."""

    client_id: int


@dataclass(slots=True)
class DropUnreadBytes:
    """Read and drop what a client sent behind its open request, as the end of its connection may follow.

    The answer to the open request then ends the connection.
    """

    client_id: int


@dataclass(slots=True)
class StopReadingBodies:
    """Stop reading the bodies of requests that were not reported as `RequestReceived`, and answer those."""


@dataclass(slots=True)
class WakeAt:
    """Report `WakeUpDue` at this time. Replaces the wake-up asked for before."""

    at: datetime


@dataclass(slots=True)
class StopAccepting:
    """Accept no more clients for now; those that are connected stay."""


@dataclass(slots=True)
class ResumeAccepting:
    """Accept clients again, those that wait included, as no other process does any more."""


@dataclass(slots=True)
class StopListening:
    """Accept no more clients for good.

    Those that already wait are accepted, unless another process listens at the same socket.
    """


@dataclass(slots=True)
class AnswerStaff:
    """Answer a call at the admin endpoint."""

    call_id: int
    accepted: bool
    text: str


@dataclass(slots=True)
class ShareList:
    """Tell the other process of this ingress the server list, which the agent has just told this one."""

    told: ToldList


@dataclass(slots=True)
class PersistBans:
    """Write all bans to the ban file, so that they outlive this process. Precedes the answer to staff."""

    bans: tuple[BanStatus, ...]


@dataclass(slots=True)
class ReportAttempt:
    """Tell the zone watch that an attempt or a probe has begun or ended."""

    key: tuple[int, int]  # request and attempt number; of a probe 0 and the server
    server_id: int
    zone: int
    class_index: int
    end: End | None = None  # None: it has begun
    duration: timedelta = timedelta(0)  # up to its end


@dataclass(slots=True)
class ReportServers:
    """Tell the zone watch which servers are listed from now on."""

    entries: tuple[ServerEntry, ...]


@dataclass(slots=True)
class ReportAccount:
    """Tell the lease holder that a request of this account has come."""

    account: int
    plan_index: int
    account_gateways: int
    first_gateway: int


@dataclass(slots=True)
class ReplicateBan:
    """Tell the other ingresses that staff have banned a server here, or lifted its ban."""

    ban: BanStatus


@dataclass(slots=True)
class AskLeaseHolder:
    """Have the lease holder answer a count of the gateway's, in place of the quota counter.

    Each is answered by one `LeaseHolderAnswered`, those of a name in the order in which they were asked.
    """

    name: int
    amount: float
    ttl: timedelta


@dataclass(slots=True)
class ReportCounterResult:
    """Tell the lease holder the result of a `CounterCallRequested`."""

    token: int
    end: End
    total: float


@dataclass(slots=True)
class Exit:
    """End the process: no request or stream is open any more, or SIGKILL is near."""


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Effect = (
    OpenConnection
    | CloseConnection
    | SendAttempt
    | SendProbe
    | CallCounter
    | AskServerList
    | ServerListSettled
    | AnswerClient
    | ClaimId
    | ReleaseId
    | AbandonId
    | StreamAnswer
    | DelegateRequest
    | WithdrawRequest
    | CloseClient
    | AbortClient
    | RefuseIncomplete
    | DropUnreadBytes
    | StopReadingBodies
    | WakeAt
    | StopAccepting
    | ResumeAccepting
    | StopListening
    | AnswerStaff
    | ShareList
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
