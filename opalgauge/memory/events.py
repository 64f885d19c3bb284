"""The reducer's events: everything that sockets, timers, staff and other processes report to it.

An event says what has happened and decides nothing. A failure is an event, too: it says how far the exchange
had come, and that alone decides whether the request may have run.

Connections to servers, to the quota counter and to the discovery agent are named by `connection_id`, which
the reducer chose in the effect `OpenConnection`; clients' connections by `client_id`, which `opalgauge.wire`
chose.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from typing import Any

from opalgauge.memory.buffers import MemoryLimits
from opalgauge.memory.sockets import SocketLimits
from starlinggap.interface import End, ListKind, ServerEntry


class Progress(Enum):
    """How far an exchange had come when its connection ended."""

    CONNECTING = "connecting"
    WRITING = "writing"  # at least one byte of the request has not left
    WRITTEN = "written"  # the whole request has left
    ANSWERING = "answering"  # at least one byte of the answer has come

    @property
    def end(self) -> End:
        """How the attempt ended: until its last byte has left it cannot have run, after that it may have."""
        return End.CONNECT_FAILED if self in (Progress.CONNECTING, Progress.WRITING) else End.RESET


@dataclass(slots=True)
class HttpRequest:
    """A client's HTTP request as it is forwarded to a server."""

    method: str
    target: str
    correlation_id: str
    # The client's headers that are forwarded unchanged: those that describe the body and its idempotency key.
    headers: tuple[tuple[str, str], ...]
    body: bytes  # complete, or its beginning with `has_more_body`
    has_more_body: bool = False  # the rest is streamed from the client to the server
    body_length: int | None = None  # bytes of such a body, if the client states it
    head_memory: int = 0  # bytes that the head takes while the request is open


@dataclass(slots=True)
class RequestReceived:
    """A client's request has been read, or the beginning of one with a long body.

    See `starlinggap.interface.Request` for the fields that are passed on to the gateway.
    """

    request_id: int
    http_request: HttpRequest
    class_index: int
    plan_index: int
    account: int
    time_left: timedelta  # that the client still waits for its answer, as it says
    units: float
    account_gateways: int
    first_gateway: int
    is_retry: bool
    client_id: int  # the connection that it came over
    account_workers: int = 1
    exclusive_for: float = math.inf  # seconds


class IdClaim(Enum):
    """Whether this process may send on a request under its id, beside the ingress's other processes."""

    GRANTED = "granted"
    IN_USE = "out at another process"
    MAY_HAVE_RUN = "may have run at another process"
    UNAVAILABLE = "cannot be told"


@dataclass(slots=True)
class IdClaimed:
    """The outcome of a `ClaimId`."""

    request_id: int
    claim: IdClaim


@dataclass(slots=True)
class RequestDelegated:
    """A client's request has been read, and another worker of this ingress decides about it."""

    received: RequestReceived
    worker: int


@dataclass(slots=True)
class DuplicateRequestId:
    """A client's request has been read under a correlation ID that is open at another worker."""

    request_id: int
    client_id: int


@dataclass(slots=True)
class DelegatedRequestAnswered:
    """The other worker's final answer to a request that was delegated to it."""

    request_id: int
    status: int
    body: bytes
    content_type: str
    retry_after: timedelta | None


@dataclass(slots=True)
class WorkerLost:
    """Another worker has ended, or cannot be reached."""

    worker: int
    may_have_run: frozenset[int]  # IDs of the requests delegated to it that may have run


@dataclass(slots=True)
class ClientConnected:
    """A client opened a connection."""

    client_id: int


@dataclass(slots=True)
class MemoryMeasured:
    """What the process leaves of the memory that it may take is known, or has changed."""

    limits: MemoryLimits


@dataclass(slots=True)
class SocketLimitsChanged:
    """The descriptors that this process may hold have changed, as another process has started or ended."""

    limits: SocketLimits


@dataclass(slots=True)
class RequestHeadStarted:
    """A part of a request's head has come, but not all of it. Reported again as more of it comes."""

    client_id: int
    memory: int = 0  # bytes that the part takes


@dataclass(slots=True)
class RequestBodyStarted:
    """A request's head is complete and its body is not. The wire ends the wait if the body stalls."""

    client_id: int
    memory: int = 0  # bytes that it takes at most until it is reported or discarded


@dataclass(slots=True)
class AnswerBlocked:
    """A part of an answer that has been given could not be written, because its client reads slowly."""

    client_id: int
    size: int  # bytes


@dataclass(slots=True)
class AnswerWritten:
    """The last byte of an answer that was blocked has left."""

    client_id: int


@dataclass(slots=True)
class RequestDiscarded:
    """A request that was not reported as `RequestReceived` has been answered, or an unwanted body is over."""

    client_id: int


@dataclass(slots=True)
class RequestBodyEnded:
    """The last byte of a streamed request body has come; `RequestReceived` held only its beginning."""

    request_id: int


@dataclass(slots=True)
class RequestBodyStalled:
    """A client has stopped sending its streamed request body, or has sent one that cannot be forwarded."""

    request_id: int


@dataclass(slots=True)
class RequestBodyBlocked:
    """A part of a streamed request body could not be written, because the server reads slowly.

    The client is not read until it could, and may have written the last byte of its body long before.
    """

    request_id: int
    remaining: int | None  # bytes that have not been read from the client; None: not stated


@dataclass(slots=True)
class RequestBodyUnblocked:
    """The server has taken the part of a body that was blocked."""

    request_id: int
    remaining: int | None  # as it was when the part was blocked
    size: int  # bytes of the part


@dataclass(slots=True)
class ClientDisconnected:
    """A client's connection has ended, whichever side closed it. Nobody waits for its request any more."""

    client_id: int


@dataclass(slots=True)
class NothingUnread:
    """A client has sent nothing behind its open request that would hide the end of its connection."""

    client_id: int


@dataclass(slots=True)
class ConnectionOpened:
    """A connection that the reducer asked for is open."""

    connection_id: int


@dataclass(slots=True)
class ConnectionLost:
    """A connection has ended, or could not be opened."""

    connection_id: int
    progress: Progress


@dataclass(slots=True)
class ConnectionStale:
    """A kept connection turned out to be closed before anything was written to it."""

    connection_id: int


@dataclass(slots=True)
class AnswerPartReceived:
    """A part of an answer has come, but not its last byte."""

    connection_id: int
    head_complete: bool = True  # so that the answer could be streamed


@dataclass(slots=True)
class AttemptWriteBlocked:
    """An attempt's last byte has not left yet, because the server reads slowly or the client sends slowly."""

    connection_id: int


@dataclass(slots=True)
class AttemptWritten:
    """The last byte has left of an attempt whose write was blocked or whose body was streamed."""

    connection_id: int


@dataclass(slots=True)
class StreamedAnswerStarted:
    """A successful answer is too long to be buffered and has to be streamed to the client."""

    connection_id: int
    content_type: str
    length: int | None  # bytes of its body, if the server states it
    load: dict[str, float]
    true_units: float | None = None


@dataclass(slots=True)
class StreamedAnswerReceived:
    """The last byte of a streamed answer has come from the server."""

    connection_id: int
    keep_alive: bool


@dataclass(slots=True)
class StreamedAnswerEnded:
    """A streamed answer has been written to its client, with `complete` to the end; else it broke off."""

    request_id: int
    complete: bool


@dataclass(slots=True)
class ServerAnswered:
    """A server has answered an attempt or a probe."""

    connection_id: int
    end: End
    keep_alive: bool  # the connection can carry another request
    body: bytes = b""
    content_type: str = ""
    load: dict[str, float] = field(default_factory=dict)  # the server's load report
    true_units: float | None = None  # what the request did cost, where the server reports it


@dataclass(slots=True)
class CounterAnswered:
    """The quota counter has answered the oldest call on a connection."""

    connection_id: int
    end: End
    total: float
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server in the server list: its entry for the gateway, its address for the wire."""

    address: str
    entry: ServerEntry


@dataclass(slots=True)
class ServerListAnswered:
    """The discovery agent has answered a request for the server list."""

    connection_id: int
    keep_alive: bool
    version: int = 0
    list_kind: ListKind = ListKind.FAILED
    servers: tuple[ListedServer, ...] | None = None  # None: the answer could not be read
    refused: bool = False  # it has no list for us now; the last one stays valid


@dataclass(frozen=True, slots=True)
class ToldList:
    """The complete server list, as a discovery agent has told it to a process of this ingress."""

    agent_address: str
    version: int
    servers: tuple[ListedServer, ...]


@dataclass(slots=True)
class ListReceived:
    """Another process of this ingress has been told the server list."""

    told: ToldList


@dataclass(slots=True)
class WakeUpDue:
    """The time of the last `WakeAt` has come."""


@dataclass(slots=True)
class AddressesChanged:
    """The configuration was read again: the addresses of the quota counter and of the discovery agent."""

    counter_address: str
    server_list_address: str


@dataclass(slots=True)
class ServersConfigured:
    """The settings name all servers themselves, instead of a discovery agent, and were read again."""

    servers: tuple[ListedServer, ...]


@dataclass(slots=True)
class DrainRequested:
    """The process is to stop. From now on its answers close their connections."""

    has_successor: bool = False  # another process accepts the clients that connect from now on


@dataclass(frozen=True, slots=True)
class BanStatus:
    """Whether a server is banned, as staff last said."""

    name: str
    server_id: int
    banned: bool
    at: datetime  # time of the command; where two processes know of different ones, the later one holds


@dataclass(slots=True)
class BanChangeRequested:
    """Staff ban a server, or lift its ban."""

    call_id: int  # the call at the admin endpoint that `AnswerStaff` answers
    name: str
    server_id: int
    banned: bool


@dataclass(slots=True)
class OtherProcessAccepting:
    """Another process of this ingress has begun or ceased to accept clients."""

    accepting: bool


@dataclass(slots=True)
class ProcessCountChanged:
    """The number of processes of this ingress has changed, for instance during an upgrade."""

    process_count: int  # this one included


@dataclass(slots=True)
class SnapshotReceived:
    """The previous process of this ingress has handed over what it knows, see `starlinggap.snapshot`."""

    snapshot: Any


@dataclass(slots=True)
class BansReceived:
    """Bans have come in that staff did not give to this process."""

    bans: tuple[BanStatus, ...]
    # They come from another process or ingress, not from the ban file: what is new of them is written there.
    persist: bool = False


@dataclass(slots=True)
class EjectionsReceived:
    """Other ingresses have ejected servers for their failures."""

    ejections: tuple[tuple[int, float, int, float], ...]  # server, its start, class, end; both times Unix s


@dataclass(slots=True)
class ZoneShareChanged:
    """The fleet has changed the share of traffic that it sends to a zone."""

    zone: int
    share: float  # of its normal traffic: 0 while it is left, 1 as usual
    trial_server: int = 0  # a server there to be tried with one probe or request; 0: none


@dataclass(slots=True)
class LeaseHolderAnswered:
    """The lease holder has answered the gateway's oldest open count of this name, see `AskLeaseHolder`."""

    name: int
    total: float
    duration: timedelta  # since it was asked
    end: End = End.OK


@dataclass(slots=True)
class CounterCallRequested:
    """The lease holder wants a call of the quota counter. `ReportCounterResult` tells its result."""

    token: int  # not 0; the result carries it
    name: int
    amount: float
    ttl: timedelta


@dataclass(slots=True)
class CloseIdleRequested:
    """No more clients are to be accepted, and those without an open request are to be closed."""


Event = (
    RequestReceived
    | IdClaimed
    | RequestDelegated
    | DuplicateRequestId
    | DelegatedRequestAnswered
    | WorkerLost
    | ClientConnected
    | ClientDisconnected
    | NothingUnread
    | MemoryMeasured
    | SocketLimitsChanged
    | RequestHeadStarted
    | RequestBodyStarted
    | AnswerBlocked
    | AnswerWritten
    | RequestDiscarded
    | RequestBodyEnded
    | RequestBodyStalled
    | RequestBodyBlocked
    | RequestBodyUnblocked
    | ConnectionOpened
    | ConnectionLost
    | ConnectionStale
    | AnswerPartReceived
    | AttemptWriteBlocked
    | AttemptWritten
    | StreamedAnswerStarted
    | StreamedAnswerReceived
    | StreamedAnswerEnded
    | ServerAnswered
    | CounterAnswered
    | ServerListAnswered
    | ListReceived
    | WakeUpDue
    | AddressesChanged
    | ServersConfigured
    | DrainRequested
    | BanChangeRequested
    | BansReceived
    | EjectionsReceived
    | ProcessCountChanged
    | OtherProcessAccepting
    | SnapshotReceived
    | ZoneShareChanged
    | LeaseHolderAnswered
    | CounterCallRequested
    | CloseIdleRequested
)
