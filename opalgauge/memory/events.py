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


class Reached(Enum):
    """How far an exchange had come when its connection ended."""

    CONNECTING = "connecting"
    WRITING = "writing"
    WRITTEN = "written"
    ANSWERING = "answering"

    @property
    def end(self) -> End:
        """Up to the request's last byte nothing can have run; from then on it may have."""
        return End.CONNECT_FAILED if self in (Reached.CONNECTING, Reached.WRITING) else End.RESET


@dataclass(slots=True)
class Errand:
    """What a stock node is to be asked, as the client worded it."""

    method: str
    target: str
    correlation: str
    passed: tuple[tuple[str, str], ...]  # the client's headers that go on unchanged: the body's kind, its key
    body: bytes  # whole, or its beginning where `more` is to come
    more: bool = False
    length: int | None = None  # of a body with more to come, where its client has told


@dataclass(slots=True)
class OrderTaken:
    """A client's whole request has been read."""

    order: int
    errand: Errand
    kind: int
    tariff: int
    account: int
    time_left: timedelta
    units: float
    spread: int
    first: int
    repeat: bool
    client: int  # the connection that it came over
    parts: int = 1  # see `starlinggap.interface.Request`
    held: float = math.inf


@dataclass(slots=True)
class OrderPassed:
    """A client's whole request has been read, and another core of this ingress decides about it."""

    taken: OrderTaken
    core: int


@dataclass(slots=True)
class OrderClashes:
    """A client's request has been read under an id that is open at another core."""

    order: int
    client: int


@dataclass(slots=True)
class OrderReturned:
    """The other core's final answer to an order that was passed to it."""

    order: int
    status: int
    body: bytes
    content_type: str
    retry_after: timedelta | None


@dataclass(slots=True)
class CoreLost:
    """Another core is no more. `ran`: the orders passed to it that may have run."""

    core: int
    ran: frozenset[int]


@dataclass(slots=True)
class ClientCame:
    """A client opened a connection."""

    client: int


@dataclass(slots=True)
class RequestBegun:
    """A part of a request's head has come, and the rest has not."""

    client: int


@dataclass(slots=True)
class BodyComing:
    """A request's head is whole and its body is not; the wire sees to it that it does not stall."""

    client: int


@dataclass(slots=True)
class RequestOver:
    """A request that became no order has been answered, or all of a body that nobody wants has come."""

    client: int


@dataclass(slots=True)
class BodyEnded:
    """The last byte of an order's body has come, of which only the beginning came with the order."""

    order: int


@dataclass(slots=True)
class BodyStalled:
    """An order's client has stopped sending its body."""

    order: int


@dataclass(slots=True)
class ClientLeft:
    """A client's connection has ended, whichever side closed it, and with it whatever was asked over it."""

    client: int


@dataclass(slots=True)
class LineUp:
    """A connection that was asked for is open."""

    line: int


@dataclass(slots=True)
class LineEnded:
    """A connection ended, or never came up."""

    line: int
    reached: Reached


@dataclass(slots=True)
class LineStale:
    """A kept connection turned out to be over before anything was written to it."""

    line: int


@dataclass(slots=True)
class AnswerBegun:
    """An answer has begun to come, or gone on, and its last byte has not come."""

    line: int


@dataclass(slots=True)
class AttemptHeld:
    """An attempt's last byte has not left yet: the stock node, or the client behind it, is slow."""

    line: int


@dataclass(slots=True)
class AttemptWritten:
    """The last byte of an attempt that was held has left."""

    line: int


@dataclass(slots=True)
class AnswerFlows:
    """A good answer is too long to be held: it is to be passed on while it comes. `length`: as it says."""

    line: int
    content_type: str
    length: int | None
    load: dict[str, float]
    true_units: float | None = None


@dataclass(slots=True)
class AnswerWhole:
    """The last byte of an answer that is being passed on has come from the stock node."""

    line: int
    keep: bool


@dataclass(slots=True)
class FlowOver:
    """An order's client has been given the last byte of its long answer, or the answer broke off."""

    order: int
    whole: bool


@dataclass(slots=True)
class NodeAnswered:
    """A stock node answered an attempt or a probe. `keep`: the connection can carry another."""

    line: int
    end: End
    keep: bool
    body: bytes = b""
    content_type: str = ""
    load: dict[str, float] = field(default_factory=dict)
    true_units: float | None = None  # what the request was found to take, where the node says so


@dataclass(slots=True)
class CounterAnswered:
    """The quota counter answered the oldest call on a connection."""

    line: int
    end: End
    total: float
    keep: bool


@dataclass(slots=True)
class StockNode:
    """One line of the node list: the entry for the decisions, the address for the wire."""

    address: str
    entry: ServerEntry


@dataclass(slots=True)
class NodeListAnswered:
    """The node list agent answered; `nodes` is None where the answer could not be read.

    `turned_away`: it has answered that it cannot tell now; what it told before still stands.
    """

    line: int
    keep: bool
    version: int = 0
    kind: ListKind = ListKind.FAILED
    nodes: tuple[StockNode, ...] | None = None
    turned_away: bool = False


@dataclass(slots=True)
class Woken:
    """The wake-up that was asked for is due."""


@dataclass(slots=True)
class Readdressed:
    """The configuration was read again: where the quota counter and the node list are asked from now on."""

    counter_address: str
    node_list_address: str


@dataclass(slots=True)
class NodesNamed:
    """The settings name the stock nodes themselves, and no node list agent: the whole list, as read now."""

    nodes: tuple[StockNode, ...]


@dataclass(slots=True)
class DrainAsked:
    """The process is to stop: its answers close their connections.

    `successor`: another process takes what comes from now on.
    """

    successor: bool = False


@dataclass(frozen=True, slots=True)
class MaintMark:
    """What staff last said of a stock node, and when: it is out of use, or it is not."""

    name: str
    node: int
    out: bool
    at: datetime


@dataclass(slots=True)
class MaintAsked:
    """Staff take a stock node out of use, or give it back; `call` is owed an answer."""

    call: int
    name: str
    node: int
    out: bool


@dataclass(slots=True)
class OthersServing:
    """Whether another process of this ingress accepts clients, and goes on doing so."""

    serving: bool


@dataclass(slots=True)
class ProcessesSeen:
    """So many processes of this ingress are at work: this one, and perhaps one before or after it."""

    processes: int


@dataclass(slots=True)
class MemoryHanded:
    """What the process before this one knows, as `starlinggap.snapshot` gives it."""

    memory: Any


@dataclass(slots=True)
class MarksFound:
    """What staff told this ingress's other process, or one before it; with `keep`, another ingress."""

    marks: tuple[MaintMark, ...]
    keep: bool = False


@dataclass(slots=True)
class NodesEjected:
    """Other ingresses have found these bad: stock node, its start, kind of request, until when (Unix s)."""

    found: tuple[tuple[int, float, int, float], ...]


@dataclass(slots=True)
class ZoneJudged:
    """What the fleet sends to a zone from now on, of a whole one. `trial`: a node to be tried there, or 0."""

    zone: int
    share: float
    trial: int = 0


@dataclass(slots=True)
class CountTold:
    """Whoever holds leases of quotas answers the decisions' oldest ask for this name."""

    name: int
    total: float
    took: timedelta
    end: End = End.OK


@dataclass(slots=True)
class CountWanted:
    """Whoever holds leases has the quota counter called."""

    token: int
    name: int
    amount: float
    life: timedelta


@dataclass(slots=True)
class CloseIdleAsked:
    """Connections over which nothing is owed are to be closed, and no more accepted."""


Event = (
    OrderTaken
    | OrderPassed
    | OrderClashes
    | OrderReturned
    | CoreLost
    | ClientCame
    | ClientLeft
    | RequestBegun
    | BodyComing
    | RequestOver
    | BodyEnded
    | BodyStalled
    | LineUp
    | LineEnded
    | LineStale
    | AnswerBegun
    | AttemptHeld
    | AttemptWritten
    | AnswerFlows
    | AnswerWhole
    | FlowOver
    | NodeAnswered
    | CounterAnswered
    | NodeListAnswered
    | Woken
    | Readdressed
    | NodesNamed
    | DrainAsked
    | MaintAsked
    | MarksFound
    | NodesEjected
    | ProcessesSeen
    | OthersServing
    | MemoryHanded
    | ZoneJudged
    | CountTold
    | CountWanted
    | CloseIdleAsked
)
