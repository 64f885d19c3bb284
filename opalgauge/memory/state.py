"""What is kept between events. Only the reducer changes it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from opalgauge.memory.drain import DrainSchedule
from opalgauge.memory.effects import Destination
from opalgauge.memory.events import BanStatus, HttpRequest, ListedServer
from starlinggap import interface as i


@dataclass(frozen=True, slots=True)
class House:
    """The figures an ingress works by, fixed from its start."""

    settings: i.Settings
    seed: int
    counter_address: str
    node_list_address: str
    known_version: int
    known: tuple[ListedServer, ...]
    dial_timeout: timedelta
    idle_limit: timedelta  # a connection to a stock node that stood idle so long is closed
    counter_timeout: timedelta
    most_lines: int  # connections to stock nodes at once
    most_orders: int
    most_clients: int  # connections from clients at once
    crowd: int  # connections that have asked: over it, new ones end with their first answer
    most_streams: int = 64  # long bodies that are passed on at once, both ways together
    holds_leases: bool = False  # somebody stands between the decisions and the quota counter
    judges_zones: bool = False  # somebody judges zones by what is seen, and is told of it
    most_marks: int = 1000  # stock nodes that staff may have out at once
    silent_limit: timedelta = timedelta(milliseconds=2100)  # without a byte of a request since it was opened
    head_limit: timedelta = timedelta(milliseconds=2450)  # from a head's first bytes to its last
    body_limit: timedelta = timedelta(minutes=10)  # for a long body to come, if it never stalls
    kept_limit: timedelta = timedelta(milliseconds=2100)  # without another since the last answer
    kept_least: timedelta = timedelta(seconds=2)  # it is left alone so long where there is room for others
    silent_least: timedelta = timedelta(milliseconds=100)  # the time a request needs behind its connection
    client_round: timedelta = timedelta(milliseconds=250)  # between looks at them
    counter_lines: int = 16  # of the 32 that the counter holds: room for those it has not yet seen closed
    counter_depth: int = 256  # calls without an answer on one connection
    answer_patience: timedelta = timedelta(milliseconds=100)  # between parts of a counter's or list's answer
    node_patience: timedelta = timedelta(milliseconds=300)  # and of a stock node's
    # A connection is left alone so long behind its answer: a second one may still be on its way, and would be
    # taken for the answer to the next request.
    settling: timedelta = timedelta(milliseconds=25)
    counter_patience: timedelta = timedelta(seconds=2)  # a counter connection silent so long is replaced
    counter_doubt: timedelta = timedelta(milliseconds=200)  # one that is silent while others answer, so long
    # A watch that has died in silence is known by this alone: an agent that lives answers within the wait.
    list_wait: timedelta = timedelta(seconds=1)
    list_late: timedelta = timedelta(milliseconds=300)  # and it is given up so long after that
    list_pause: timedelta = timedelta(milliseconds=100)  # a watch lasts if it is asked again within 200 ms
    list_longest_pause: timedelta = timedelta(seconds=2)  # between questions that are turned away
    list_turn: timedelta = timedelta(0)  # in which all ingresses can be given a list that must be asked for
    answer_margin: timedelta = timedelta(milliseconds=25)  # the decisions are told so much less time
    wake_slack: timedelta = timedelta(milliseconds=3)  # the wake-up comes so late at most
    guard_margin: timedelta = timedelta(milliseconds=10)  # and the reducer answers by itself so early


@dataclass(slots=True)
class Tally:
    """Counts since the process's start: final answers by kind of request, and attempts written whole."""

    passed: list[int]
    dropped: list[int]
    failed: list[int]
    tries: int = 0
    gone: int = 0  # requests whose client left before the answer


@dataclass(frozen=True, slots=True)
class Figures:
    """What the admin endpoint shows, at one instant."""

    passed: tuple[int, ...]
    dropped: tuple[int, ...]
    failed: tuple[int, ...]
    tries: int
    in_progress: int
    known_nodes: int
    avoided_nodes: int


class Stage(Enum):
    """The states of a connection; one that has ended is not kept."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"


@dataclass(slots=True)
class Attempt:
    """A stock node is working on an order, or is being reached for it. `probe`: it is a probe instead."""

    order: int
    number: int
    node: int
    started: datetime
    stop_at: datetime
    line: int = 0
    probe: bool = False
    written: bool = False  # whole, as far as is known


@dataclass(slots=True)
class CounterCall:
    """A call of the quota counter."""

    name: int
    amount: float
    life: timedelta
    made: datetime
    told: bool = False  # whoever made it has had its one answer
    token: int = 0  # whoever holds leases made it, under this token; 0: the decisions


@dataclass(slots=True)
class Line:
    """A connection. Where it leads to a stock node it carries one attempt at a time."""

    number: int
    party: Destination
    stage: Stage
    node: int = 0
    process: ListedServer | None = None  # the stock node as it was listed when this was opened
    attempt: Attempt | None = None
    since: datetime | None = None  # idle since
    begun: datetime | None = None  # when an answer that is not whole yet began to come
    flow: int = 0  # the order whose long answer comes over it
    waiting: deque[CounterCall] = field(default_factory=deque)  # counter calls until the line is up
    written: deque[CounterCall] = field(default_factory=deque)  # counter calls without an answer


@dataclass(slots=True)
class Order:
    """A client's request that still lacks its final answer."""

    number: int
    errand: HttpRequest
    kind: int
    harmless: bool  # it may be repeated at any time
    answer_by: datetime
    client: int = 0
    first: bool = False  # the first that came over its connection
    core: int | None = None  # that decides about it, where it is not this one
    attempts: int = 0
    out: int = 0  # of the attempts, those that have not ended
    coming: timedelta | None = None  # its body still comes: the time its client gives it from the last byte
    poured: bool = False  # what came of its body after the beginning has been sent, and is not kept
    may_have_run: bool = False
    repeat_by: datetime | None = None  # since it may have run: it may be sent again until then
    timed_out: bool = False


@dataclass(slots=True)
class Flow:
    """A long answer that is being passed on: whose, and over which connection it comes."""

    order: int
    kind: int
    client: int
    line: int  # 0: all of it has come


@dataclass(slots=True)
class Books:
    """All the state of an ingress but the decisions' own."""

    counter_address: str
    node_list_address: str
    tally: Tally
    marks: dict[int, BanStatus] = field(default_factory=dict)  # by stock node: what staff last said of it
    orders: dict[int, Order] = field(default_factory=dict)
    open_ids: set[str] = field(default_factory=set)  # of the orders
    # Connections from clients: those that have asked nothing yet, those that wait for an answer (and for
    # which), and those kept after one. The first and the last say since when, the longest first.
    silent: dict[int, datetime] = field(default_factory=dict)
    arriving: dict[int, datetime] = field(default_factory=dict)  # a part of whose head has come, and when
    bodies: set[int] = field(default_factory=set)  # those of which a body comes and no order is held
    asking: dict[int, int] = field(default_factory=dict)
    flows: dict[int, Flow] = field(default_factory=dict)  # by order
    kept: dict[int, datetime] = field(default_factory=dict)
    looking: bool = False  # a look at the connections that ask nothing is due
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    lines: dict[int, Line] = field(default_factory=dict)
    idle: dict[int, list[int]] = field(default_factory=dict)  # by stock node, the longest idle first
    nodes: dict[int, ListedServer] = field(default_factory=dict)
    counter_heard: datetime | None = None  # when the counter last answered, on any connection
    counter: dict[int, Line] = field(default_factory=dict)  # by place among the counter's lines
    node_lines: int = 0
    list_version: int | None = None
    list_line: int = 0
    list_heard: bool = True
    list_refusals: int = 0  # questions turned away one after another
    last_line: int = 0
    processes: int = 1  # of this ingress that are at work
    draining: bool = False
    drain: DrainSchedule | None = None  # from then on
    successor: bool = False  # and another process takes what comes from now on
    others_serving: bool = False  # another process of this ingress accepts clients
    grace_over: bool = False
    left: bool = False
