"""What the reducer asks of the wire. Effects are carried out in the order in which they are listed."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from typing import Any

from opalgauge.memory.events import Errand, MaintMark, OrderTaken
from starlinggap.interface import End, ServerEntry


class Party(Enum):
    """Whom a connection leads to."""

    STOCK_NODE = "stock node"
    QUOTA_COUNTER = "quota counter"
    NODE_LIST = "node list"


class Why(Enum):
    """Why a request was answered as it was, or a connection closed; for the record of what has happened."""

    UNSAID = "-"
    SERVED = "a server answered"
    FAILED = "its attempts failed"
    REFUSED = "the decisions refused it"
    OVERDUE = "its time was up"
    BODY_STOPPED = "its body stopped"
    TOO_MANY = "too many requests or long bodies at once"
    ID_IN_USE = "its id is open already"
    WORKER_LOST = "the worker that decided is no more"
    STOPPING = "the process stops"
    CROWDED = "no room for more connections"
    IDLE = "idle too long"
    LIST_CHANGED = "its server left the list, or was taken out"
    CALLED_OFF = "the attempt was called off"
    DIAL_LATE = "it did not come up in time"
    HALTING = "its answer halted"
    DONE = "it carries nothing more"
    SILENT = "nothing was heard on it"
    READDRESSED = "a new configuration"


def why(reason: Why = Why.UNSAID) -> Any:
    """A field that two equal effects may differ in."""
    return field(default=reason, compare=False)


@dataclass(slots=True)
class OpenLine:
    line: int
    party: Party
    address: str


@dataclass(slots=True)
class CloseLine:
    """Ends the connection at once; nothing more is reported of it."""

    line: int
    why: Why = why()


@dataclass(slots=True)
class SendAttempt:
    line: int
    errand: Errand
    time_left: timedelta
    order: int = 0


@dataclass(slots=True)
class SendProbe:
    line: int


@dataclass(slots=True)
class CallCounter:
    """Adds `amount` to a named count; a new name lives for `life`."""

    line: int
    name: int
    amount: float
    life: timedelta


@dataclass(slots=True)
class AskNodeList:
    """Asks for what is newer than `since`, or for the whole list where that is None."""

    line: int
    since: int | None
    wait: timedelta


@dataclass(slots=True)
class AnswerClient:
    """The one final answer to an order. `last`: the client's connection ends with it.

    `flow`: the body comes over that connection and is passed on as it does; `length`: its bytes, where told.
    """

    order: int
    status: int
    body: bytes = b""
    content_type: str = ""
    retry_after: timedelta | None = None
    last: bool = False
    flow: int = 0
    length: int | None = None
    why: Why = why()


@dataclass(slots=True)
class PassOrder:
    """Hands an order to the core that decides about it."""

    core: int
    taken: OrderTaken


@dataclass(slots=True)
class RecallOrder:
    """Tells that core that nobody waits for the order any more."""

    core: int
    order: int


@dataclass(slots=True)
class CloseClient:
    """Ends a client's connection, over which nothing is owed.

    What has come over it and was not read is waited for, unless there is no room for it (`crowded`).
    """

    client: int
    crowded: bool = False
    why: Why = why()


@dataclass(slots=True)
class AbortClient:
    """Ends a client's connection in the middle of a long answer, so that the client can tell."""

    client: int


@dataclass(slots=True)
class StopReading:
    """Requests whose bodies have not come whole, and that became no order, are answered as such."""


@dataclass(slots=True)
class WakeAt:
    """Replaces the wake-up asked for before."""

    at: datetime


@dataclass(slots=True)
class StopAccepting:
    """Accept no more clients for now; those that are here stay."""


@dataclass(slots=True)
class AcceptAgain:
    """The other process takes no more clients: those that wait are accepted."""


@dataclass(slots=True)
class CloseFront:
    """Accept no more clients and close the connections that stand idle."""


@dataclass(slots=True)
class AnswerStaff:
    """The answer to a call at the admin endpoint."""

    call: int
    yes: bool
    text: str


@dataclass(slots=True)
class KeepMarks:
    """What staff have said of stock nodes is to outlive this process. To be done before they are answered."""

    marks: tuple[MaintMark, ...]


@dataclass(slots=True)
class AttemptSeen:
    """For whoever judges zones: an attempt or a probe has begun (`end` is None) or ended, after `took`."""

    key: tuple[int, int]
    node: int
    zone: int
    kind: int
    end: End | None = None
    took: timedelta = timedelta(0)


@dataclass(slots=True)
class NodesListed:
    """For the same: the stock nodes that are listed from now on."""

    entries: tuple[ServerEntry, ...]


@dataclass(slots=True)
class AccountMet:
    """For whoever holds leases of quotas: a request of this account has come."""

    account: int
    tariff: int
    spread: int
    first: int


@dataclass(slots=True)
class MarkMade:
    """For whoever replicates: staff have said this of a stock node, here."""

    mark: MaintMark


@dataclass(slots=True)
class CountAsked:
    """For the same: the decisions ask for a count. `CountTold` answers, once and in order for each name."""

    name: int
    amount: float
    life: timedelta


@dataclass(slots=True)
class CountHeard:
    """For the same: what came of a `CountWanted`."""

    token: int
    end: End
    total: float


@dataclass(slots=True)
class Leave:
    """Nothing is owed any more: the program can end."""


@dataclass(slots=True)
class Log:
    text: str


Effect = (
    OpenLine
    | CloseLine
    | SendAttempt
    | SendProbe
    | CallCounter
    | AskNodeList
    | AnswerClient
    | PassOrder
    | RecallOrder
    | CloseClient
    | AbortClient
    | StopReading
    | WakeAt
    | StopAccepting
    | AcceptAgain
    | CloseFront
    | AnswerStaff
    | KeepMarks
    | AttemptSeen
    | NodesListed
    | AccountMet
    | MarkMade
    | CountAsked
    | CountHeard
    | Leave
    | Log
)
