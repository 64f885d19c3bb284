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
class IngressConfig:
    """The figures an ingress works by, fixed from its start."""

    settings: i.Settings
    seed: int
    counter_address: str
    server_list_address: str
    known_list_version: int
    known_servers: tuple[ListedServer, ...]
    dial_timeout: timedelta
    server_idle_timeout: timedelta  # a connection to a stock node that stood idle so long is closed
    counter_timeout: timedelta
    max_server_connections: int  # connections to stock nodes at once
    max_requests: int
    max_clients: int  # connections from clients at once
    keep_alive_limit: int  # connections that have asked: over it, new ones end with their first answer
    max_streams: int = 64  # long bodies that are passed on at once, both ways together
    uses_leases: bool = False  # somebody stands between the decisions and the quota counter
    watches_zones: bool = False  # somebody judges zones by what is seen, and is told of it
    max_bans: int = 1000  # stock nodes that staff may have out at once
    first_request_timeout: timedelta = timedelta(
        milliseconds=2100
    )  # without a byte of a request since it was opened
    head_timeout: timedelta = timedelta(milliseconds=2450)  # from a head's first bytes to its last
    body_timeout: timedelta = timedelta(minutes=10)  # for a long body to come, if it never stalls
    keep_alive_timeout: timedelta = timedelta(milliseconds=2100)  # without another since the last answer
    min_keep_alive: timedelta = timedelta(
        seconds=2
    )  # it is left alone so long where there is room for others
    min_first_request_wait: timedelta = timedelta(
        milliseconds=100
    )  # the time a request needs behind its connection
    client_check_interval: timedelta = timedelta(milliseconds=250)  # between looks at them
    counter_connections: int = (
        16  # of the 32 that the counter holds: room for those it has not yet seen closed
    )
    counter_pipeline_limit: int = 256  # calls without an answer on one connection
    answer_stall_timeout: timedelta = timedelta(
        milliseconds=100
    )  # between parts of a counter's or list's answer
    server_stall_timeout: timedelta = timedelta(milliseconds=300)  # and of a stock node's
    # A connection is left alone so long behind its answer: a second one may still be on its way, and would be
    # taken for the answer to the next request.
    reuse_delay: timedelta = timedelta(milliseconds=25)
    counter_silence_limit: timedelta = timedelta(seconds=2)  # a counter connection silent so long is replaced
    counter_silence_check: timedelta = timedelta(
        milliseconds=200
    )  # one that is silent while others answer, so long
    # A watch that has died in silence is known by this alone: an agent that lives answers within the wait.
    list_wait: timedelta = timedelta(seconds=1)
    list_wait_slack: timedelta = timedelta(milliseconds=300)  # and it is given up so long after that
    list_min_pause: timedelta = timedelta(
        milliseconds=100
    )  # a watch lasts if it is asked again within 200 ms
    list_max_pause: timedelta = timedelta(seconds=2)  # between questions that are turned away
    list_fleet_turn: timedelta = timedelta(
        0
    )  # in which all ingresses can be given a list that must be asked for
    gateway_margin: timedelta = timedelta(milliseconds=25)  # the decisions are told so much less time
    wake_up_slack: timedelta = timedelta(milliseconds=3)  # the wake-up comes so late at most
    fallback_margin: timedelta = timedelta(milliseconds=10)  # and the reducer answers by itself so early


@dataclass(slots=True)
class Statistics:
    """Counts since the process's start: final answers by kind of request, and attempts written whole."""

    served: list[int]
    refused: list[int]
    failed: list[int]
    attempts: int = 0
    abandoned: int = 0  # requests whose client left before the answer


@dataclass(frozen=True, slots=True)
class StatusReport:
    """What the admin endpoint shows, at one instant."""

    served: tuple[int, ...]
    refused: tuple[int, ...]
    failed: tuple[int, ...]
    attempts: int
    in_progress: int
    known_servers: int
    avoided_servers: int


class ConnectionState(Enum):
    """The states of a connection; one that has ended is not kept."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"


@dataclass(slots=True)
class Attempt:
    """A stock node is working on an order, or is being reached for it. `probe`: it is a probe instead."""

    request_id: int
    number: int
    server_id: int
    started: datetime
    stop_at: datetime
    connection_id: int = 0
    is_probe: bool = False
    written: bool = False  # whole, as far as is known


@dataclass(slots=True)
class CounterCall:
    """A call of the quota counter."""

    name: int
    amount: float
    ttl: timedelta
    called_at: datetime
    answered: bool = False  # whoever made it has had its one answer
    token: int = 0  # whoever holds leases made it, under this token; 0: the decisions


@dataclass(slots=True)
class Connection:
    """A connection. Where it leads to a stock node it carries one attempt at a time."""

    id: int
    destination: Destination
    state: ConnectionState
    server_id: int = 0
    opened_to: ListedServer | None = None  # the stock node as it was listed when this was opened
    attempt: Attempt | None = None
    since: datetime | None = None  # idle since
    answer_part_at: datetime | None = None  # when an answer that is not whole yet began to come
    streaming_request_id: int = 0  # the order whose long answer comes over it
    queued_calls: deque[CounterCall] = field(default_factory=deque)  # counter calls until the line is up
    unanswered_calls: deque[CounterCall] = field(default_factory=deque)  # counter calls without an answer


@dataclass(slots=True)
class RequestInProgress:
    """A client's request that still lacks its final answer."""

    id: int
    http_request: HttpRequest
    class_index: int
    is_safe: bool  # it may be repeated at any time
    answer_by: datetime
    client_id: int = 0
    is_first: bool = False  # the first that came over its connection
    worker: int | None = None  # that decides about it, where it is not this one
    attempt_count: int = 0
    open_attempts: int = 0  # of the attempts, those that have not ended
    time_after_body: timedelta | None = (
        None  # its body still comes: the time its client gives it from the last byte
    )
    body_streamed: bool = False  # what came of its body after the beginning has been sent, and is not kept
    may_have_run: bool = False
    repeat_until: datetime | None = None  # since it may have run: it may be sent again until then
    timed_out: bool = False


@dataclass(slots=True)
class AnswerStream:
    """A long answer that is being passed on: whose, and over which connection it comes."""

    request_id: int
    class_index: int
    client_id: int
    connection_id: int  # 0: all of it has come


@dataclass(slots=True)
class IngressState:
    """All the state of an ingress but the decisions' own."""

    counter_address: str
    server_list_address: str
    statistics: Statistics
    bans: dict[int, BanStatus] = field(default_factory=dict)  # by stock node: what staff last said of it
    requests: dict[int, RequestInProgress] = field(default_factory=dict)
    open_correlation_ids: set[str] = field(default_factory=set)  # of the orders
    # Connections from clients: those that have asked nothing yet, those that wait for an answer (and for
    # which), and those kept after one. The first and the last say since when, the longest first.
    clients_new: dict[int, datetime] = field(default_factory=dict)
    clients_sending_head: dict[int, datetime] = field(
        default_factory=dict
    )  # a part of whose head has come, and when
    clients_sending_body: set[int] = field(
        default_factory=set
    )  # those of which a body comes and no order is held
    clients_waiting: dict[int, int] = field(default_factory=dict)
    streams: dict[int, AnswerStream] = field(default_factory=dict)  # by order
    clients_idle: dict[int, datetime] = field(default_factory=dict)
    client_check_scheduled: bool = False  # a look at the connections that ask nothing is due
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    connections: dict[int, Connection] = field(default_factory=dict)
    idle_connections: dict[int, list[int]] = field(
        default_factory=dict
    )  # by stock node, the longest idle first
    servers: dict[int, ListedServer] = field(default_factory=dict)
    counter_answered_at: datetime | None = None  # when the counter last answered, on any connection
    counter_connections: dict[int, Connection] = field(
        default_factory=dict
    )  # by place among the counter's lines
    server_connection_count: int = 0
    list_version: int | None = None
    list_connection_id: int = 0
    list_reachable: bool = True
    list_refusals: int = 0  # questions turned away one after another
    last_connection_id: int = 0
    process_count: int = 1  # of this ingress that are at work
    draining: bool = False
    drain_schedule: DrainSchedule | None = None  # from then on
    has_successor: bool = False  # and another process takes what comes from now on
    other_process_accepting: bool = False  # another process of this ingress accepts clients
    idle_clients_closed: bool = False
    exited: bool = False
