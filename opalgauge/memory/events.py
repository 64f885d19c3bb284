"""What has happened: everything that the wire reports to the reducer.

A failure is a value too: it says how far the exchange had come, and nothing else decides what it means.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from typing import Any

from starlinggap.interface import End, ListKind, ServerEntry


class Progress(Enum):
    """How far an exchange had come when its connection ended."""

    CONNECTING = "connecting"
    WRITING = "writing"
    WRITTEN = "written"
    ANSWERING = "answering"

    @property
    def end(self) -> End:
        """Up to the request's last byte nothing can have run; from then on it may have."""
        return End.CONNECT_FAILED if self in (Progress.CONNECTING, Progress.WRITING) else End.RESET


@dataclass(slots=True)
class HttpRequest:
    """What a stock node is to be asked, as the client worded it."""

    method: str
    target: str
    correlation_id: str
    headers: tuple[
        tuple[str, str], ...
    ]  # the client's headers that go on unchanged: the body's kind, its key
    body: bytes  # whole, or its beginning where `more` is to come
    has_more_body: bool = False
    body_length: int | None = None  # of a body with more to come, where its client has told


@dataclass(slots=True)
class RequestReceived:
    """A client's whole request has been read."""

    request_id: int
    http_request: HttpRequest
    class_index: int
    plan_index: int
    account: int
    time_left: timedelta
    units: float
    spread: int
    first: int
    is_retry: bool
    client_id: int  # the connection that it came over
    deciding_workers: int = 1  # see `starlinggap.interface.Request`
    exclusive_seconds: float = math.inf


@dataclass(slots=True)
class RequestDelegated:
    """A client's whole request has been read, and another core of this ingress decides about it."""

    received: RequestReceived
    worker: int


@dataclass(slots=True)
class DuplicateRequestId:
    """A client's request has been read under an id that is open at another core."""

    request_id: int
    client_id: int


@dataclass(slots=True)
class DelegatedRequestAnswered:
    """The other core's final answer to an order that was passed to it."""

    request_id: int
    status: int
    body: bytes
    content_type: str
    retry_after: timedelta | None


@dataclass(slots=True)
class WorkerLost:
    """Another core is no more. `ran`: the orders passed to it that may have run."""

    worker: int
    may_have_run: frozenset[int]


@dataclass(slots=True)
class ClientConnected:
    """A client opened a connection."""

    client_id: int


@dataclass(slots=True)
class RequestHeadStarted:
    """A part of a request's head has come, and the rest has not."""

    client_id: int


@dataclass(slots=True)
class RequestBodyStarted:
    """A request's head is whole and its body is not; the wire sees to it that it does not stall."""

    client_id: int


@dataclass(slots=True)
class RequestDiscarded:
    """A request that became no order has been answered, or all of a body that nobody wants has come."""

    client_id: int


@dataclass(slots=True)
class RequestBodyEnded:
    """The last byte of an order's body has come, of which only the beginning came with the order."""

    request_id: int


@dataclass(slots=True)
class RequestBodyStalled:
    """An order's client has stopped sending its body."""

    request_id: int


@dataclass(slots=True)
class ClientDisconnected:
    """A client's connection has ended, whichever side closed it, and with it whatever was asked over it."""

    client_id: int


@dataclass(slots=True)
class ConnectionOpened:
    """A connection that was asked for is open."""

    connection_id: int


@dataclass(slots=True)
class ConnectionLost:
    """A connection ended, or never came up."""

    connection_id: int
    progress: Progress


@dataclass(slots=True)
class ConnectionStale:
    """A kept connection turned out to be over before anything was written to it."""

    connection_id: int


@dataclass(slots=True)
class AnswerPartReceived:
    """An answer has begun to come, or gone on, and its last byte has not come."""

    connection_id: int


@dataclass(slots=True)
class AttemptWriteBlocked:
    """An attempt's last byte has not left yet: the stock node, or the client behind it, is slow."""

    connection_id: int


@dataclass(slots=True)
class AttemptWritten:
    """The last byte of an attempt that was held has left."""

    connection_id: int


@dataclass(slots=True)
class StreamedAnswerStarted:
    """A good answer is too long to be held: it is to be passed on while it comes. `length`: as it says."""

    connection_id: int
    content_type: str
    length: int | None
    load: dict[str, float]
    true_units: float | None = None


@dataclass(slots=True)
class StreamedAnswerReceived:
    """The last byte of an answer that is being passed on has come from the stock node."""

    connection_id: int
    keep_alive: bool


@dataclass(slots=True)
class StreamedAnswerEnded:
    """An order's client has been given the last byte of its long answer, or the answer broke off."""

    request_id: int
    complete: bool


@dataclass(slots=True)
class ServerAnswered:
    """A stock node answered an attempt or a probe. `keep`: the connection can carry another."""

    connection_id: int
    end: End
    keep_alive: bool
    body: bytes = b""
    content_type: str = ""
    load: dict[str, float] = field(default_factory=dict)
    true_units: float | None = None  # what the request was found to take, where the node says so


@dataclass(slots=True)
class CounterAnswered:
    """The quota counter answered the oldest call on a connection."""

    connection_id: int
    end: End
    total: float
    keep_alive: bool


@dataclass(slots=True)
class ListedServer:
    """One line of the node list: the entry for the decisions, the address for the wire."""

    address: str
    entry: ServerEntry


@dataclass(slots=True)
class ServerListAnswered:
    """The node list agent answered; `nodes` is None where the answer could not be read.

    `turned_away`: it has answered that it cannot tell now; what it told before still stands.
    """

    connection_id: int
    keep_alive: bool
    version: int = 0
    list_kind: ListKind = ListKind.FAILED
    servers: tuple[ListedServer, ...] | None = None
    refused: bool = False


@dataclass(slots=True)
class WakeUpDue:
    """The wake-up that was asked for is due."""


@dataclass(slots=True)
class AddressesChanged:
    """The configuration was read again: where the quota counter and the node list are asked from now on."""

    counter_address: str
    node_list_address: str


@dataclass(slots=True)
class ServersConfigured:
    """The settings name the stock nodes themselves, and no node list agent: the whole list, as read now."""

    servers: tuple[ListedServer, ...]


@dataclass(slots=True)
class DrainRequested:
    """The process is to stop: its answers close their connections.

    `successor`: another process takes what comes from now on.
    """

    has_successor: bool = False


@dataclass(frozen=True, slots=True)
class BanStatus:
    """What staff last said of a stock node, and when: it is out of use, or it is not."""

    name: str
    server_id: int
    banned: bool
    at: datetime


@dataclass(slots=True)
class BanChangeRequested:
    """Staff take a stock node out of use, or give it back; `call` is owed an answer."""

    call_id: int
    name: str
    server_id: int
    banned: bool


@dataclass(slots=True)
class OtherProcessAccepting:
    """Whether another process of this ingress accepts clients, and goes on doing so."""

    accepting: bool


@dataclass(slots=True)
class ProcessCountChanged:
    """So many processes of this ingress are at work: this one, and perhaps one before or after it."""

    process_count: int


@dataclass(slots=True)
class SnapshotReceived:
    """What the process before this one knows, as `starlinggap.snapshot` gives it."""

    snapshot: Any


@dataclass(slots=True)
class BansReceived:
    """What staff told this ingress's other process, or one before it; with `keep`, another ingress."""

    bans: tuple[BanStatus, ...]
    persist: bool = False


@dataclass(slots=True)
class EjectionsReceived:
    """Other ingresses have found these bad: stock node, its start, kind of request, until when (Unix s)."""

    ejections: tuple[tuple[int, float, int, float], ...]


@dataclass(slots=True)
class ZoneShareChanged:
    """What the fleet sends to a zone from now on, of a whole one. `trial`: a node to be tried there, or 0."""

    zone: int
    share: float
    trial_server: int = 0


@dataclass(slots=True)
class LeaseHolderAnswered:
    """Whoever holds leases of quotas answers the decisions' oldest ask for this name."""

    name: int
    total: float
    took: timedelta
    end: End = End.OK


@dataclass(slots=True)
class CounterCallRequested:
    """Whoever holds leases has the quota counter called."""

    token: int
    name: int
    amount: float
    ttl: timedelta


@dataclass(slots=True)
class CloseIdleRequested:
    """Connections over which nothing is owed are to be closed, and no more accepted."""


Event = (
    RequestReceived
    | RequestDelegated
    | DuplicateRequestId
    | DelegatedRequestAnswered
    | WorkerLost
    | ClientConnected
    | ClientDisconnected
    | RequestHeadStarted
    | RequestBodyStarted
    | RequestDiscarded
    | RequestBodyEnded
    | RequestBodyStalled
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
