"""The reducer's state, and the configuration that it works by. Only the reducer changes the state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from opalgauge.memory.buffers import MIB, MemoryLimits
from opalgauge.memory.drain import DrainSchedule
from opalgauge.memory.duplicates import HeldDuplicates
from opalgauge.memory.effects import Destination
from opalgauge.memory.events import BanStatus, HttpRequest, ListedServer
from opalgauge.memory.request_ids import AbandonedIds, OpenIds
from opalgauge.memory.sockets import SocketLimits
from opalgauge.memory.timers import Timer
from starlinggap import interface


@dataclass(frozen=True, slots=True)
class IngressConfig:
    """The configuration of an ingress, fixed from its start; addresses may change, see `AddressesChanged`."""

    settings: interface.Settings
    seed: int
    counter_address: str
    server_list_address: str
    known_list_version: int
    known_servers: tuple[ListedServer, ...]  # as listed before the start
    dial_timeout: timedelta
    server_idle_timeout: timedelta  # a connection to a server that has been idle so long is closed
    counter_timeout: timedelta
    max_server_connections: int  # this and the next three: see SocketLimits; until they change
    max_requests: int
    max_clients: int
    keep_alive_limit: int
    max_open: int = 20000  # requests at the same time, however many descriptors there are
    socket_limit: int = 1024  # descriptors that all processes of the ingress may hold
    memory_limit: int = 192 * MIB  # bytes that all processes of the ingress may take
    memory: MemoryLimits = MemoryLimits.of_process(192 * MIB)  # until it has been measured
    uses_leases: bool = False  # the gateway's counts go to the lease holder and not to the counter
    shares_state: bool = False  # with another process of this ingress: ids that are out, the server list
    watches_zones: bool = False  # attempts and lists are reported to the zone watch
    streams_answers: bool = True  # those that are not complete in time; workers cannot
    max_bans: int = 1000  # banned servers
    # How long a client may be connected without sending a byte of its first request.
    first_request_timeout: timedelta = timedelta(milliseconds=2100)
    head_timeout: timedelta = timedelta(milliseconds=2450)  # from a head's first byte to its last
    body_timeout: timedelta = timedelta(minutes=10)  # for a streamed request body that never stalls
    body_read_timeout: timedelta = timedelta(seconds=10)  # for a server that has stopped reading a long body
    keep_alive_timeout: timedelta = timedelta(milliseconds=2100)  # from an answer to the next request
    # With `max_clients` connected, a new client takes the place of one that has sent nothing within
    # `min_first_request_wait`, in which a request can arrive behind its connection; else of one that has been
    # idle for `min_keep_alive`, else of one that has been idle for `min_first_request_wait`.
    min_keep_alive: timedelta = timedelta(seconds=2)
    min_first_request_wait: timedelta = timedelta(milliseconds=100)
    client_check_interval: timedelta = timedelta(milliseconds=250)  # between checks for clients to be closed
    # Of the 32 that the counter accepts: the rest is room for those whose close it has not seen yet.
    counter_connections: int = 16
    counter_pipeline_limit: int = 256  # unanswered calls on one connection
    answer_stall_timeout: timedelta = timedelta(milliseconds=100)  # between parts of a counter's answer
    # A connection to a server is not used again so soon after its answer: a second answer may still be on its
    # way, and would be taken for the answer to the next request.
    reuse_delay: timedelta = timedelta(milliseconds=25)
    counter_silence_limit: timedelta = timedelta(seconds=2)  # a counter connection silent so long is replaced
    # After this time one is replaced that is silent while others answer; also the interval of that check.
    counter_silence_check: timedelta = timedelta(milliseconds=200)
    # The discovery agent answers within this time. Only by that is a connection found that broke unnoticed.
    list_wait: timedelta = timedelta(seconds=1)
    # After `list_wait`, before the agent is asked over another connection as well.
    list_wait_slack: timedelta = timedelta(milliseconds=300)
    # Before the agent is asked over another connection as well, while it is not heard: a request for its
    # whole list is answered at once. None: it is always asked for changes.
    list_first_answer_wait: timedelta | None = None
    list_first_requests: int = 10  # so many requests follow each other after that time; the agent may be down
    list_first_pause: timedelta = timedelta(seconds=1)  # between further ones, while it is not heard
    # For which a start waits until the agent is heard.
    list_ready_wait: timedelta = timedelta(milliseconds=500)
    # From an answer's first byte, before the same: the rest may never come.
    list_answer_wait: timedelta = timedelta(seconds=1)
    # After `list_wait`, before an answer is given up. A change counts as told so long after the agent had it.
    list_told_within: timedelta = timedelta(seconds=6)
    # Least time between two requests for the list. The agent keeps a watch that is renewed within 200 ms.
    list_min_pause: timedelta = timedelta(milliseconds=100)
    list_max_pause: timedelta = timedelta(seconds=2)  # after a refusal
    # Where the list must be asked for: the time in which the agent can answer all ingresses once.
    list_fleet_turn: timedelta = timedelta(0)
    gateway_margin: timedelta = timedelta(milliseconds=25)  # the gateway gets so much less time
    wake_up_slack: timedelta = timedelta(milliseconds=3)  # a timer may be due so long before its wake-up
    # An answer that is not complete in time is passed on if its server is writing it: its last part is not
    # older than this.
    max_answer_pause: timedelta = timedelta(milliseconds=700)
    # An answer that is not complete in time is not passed on if a drain ends so soon: it would be cut off.
    min_stream_time: timedelta = timedelta(seconds=1)
    fallback_margin: timedelta = timedelta(milliseconds=10)  # the reducer answers by itself so early


@dataclass(slots=True)
class Statistics:
    """Counts since the process's start."""

    served: list[int]  # requests by class; so are the two below
    refused: list[int]
    failed: list[int]
    attempts: int = 0  # whose last byte has left
    abandoned: int = 0  # requests whose client left before the end of its answer


@dataclass(frozen=True, slots=True)
class StatusReport:
    """The figures that the admin endpoint shows; see `Statistics` for the counts."""

    served: tuple[int, ...]
    refused: tuple[int, ...]
    failed: tuple[int, ...]
    attempts: int
    in_progress: int  # requests whose body has come and whose answer has not ended
    known_servers: int
    avoided_servers: int  # of these: banned, ejected or otherwise not used by the gateway


class ConnectionState(Enum):
    """The states of an outgoing connection. One that has ended is not kept."""

    OPENING = "opening"
    IDLE = "idle"  # to a server, and free for the next attempt
    BUSY = "busy"


@dataclass(slots=True)
class Attempt:
    """An attempt of a request at a server, or a probe, from the gateway's action to its end."""

    request_id: int  # 0 of a probe
    number: int  # among the attempts of its request, from 0
    server_id: int
    started: datetime
    stop_at: datetime  # its timeout
    connection_id: int = 0
    is_probe: bool = False
    written: bool = False  # its last byte has left, as far as is known
    timer: Timer | None = None  # of its timeout


@dataclass(slots=True)
class CounterCall:
    """A call of the quota counter: adds `amount` to a named count and gives its total."""

    name: int
    amount: float
    ttl: timedelta
    called_at: datetime
    answered: bool = False  # the caller has had its one answer, which may be a timeout
    token: int = 0  # of the lease holder's call; 0: the gateway's
    timer: Timer | None = None  # of its timeout


@dataclass(slots=True)
class Connection:
    """An outgoing connection. One to a server carries one attempt at a time."""

    id: int
    destination: Destination
    state: ConnectionState
    server_id: int = 0
    opened_to: ListedServer | None = None  # the server as it was listed when the connection was opened
    attempt: Attempt | None = None
    since: datetime | None = None  # to a server: idle since; to the discovery agent: when it was asked
    answer_part_at: datetime | None = None  # when the last part of an incomplete answer came
    answer_parts: int = 0  # reported since the head of an incomplete answer has come
    idle_check_scheduled: bool = False
    streaming_request_id: int = 0  # the request whose streamed answer comes over it
    queued_calls: deque[CounterCall] = field(default_factory=deque)  # counter calls until it is open
    unanswered_calls: deque[CounterCall] = field(default_factory=deque)  # counter calls, the oldest first

    def forget_answer_parts(self) -> None:
        """Called when an answer is no longer incomplete: it has come, or it is streamed."""
        self.answer_part_at, self.answer_parts = None, 0


@dataclass(slots=True)
class RequestInProgress:
    """A client's request that has no final answer yet."""

    id: int
    http_request: HttpRequest
    class_index: int
    is_safe: bool  # repeating it does no harm
    answer_by: datetime  # the reducer answers it then if the gateway has not
    client_id: int = 0
    memory: int = 0  # bytes that it is expected to take at most
    is_first: bool = False  # on its client's connection
    worker: int | None = None  # that decides about it, where it is not this one
    attempt_count: int = 0
    open_attempts: int = 0
    # While its body is still coming: the time left once the last byte has come. None: the body is complete.
    time_after_body: timedelta | None = None
    body_blocked_at: datetime | None = None  # since when its server does not read on
    body_streamed: bool = False  # its body went beyond what is buffered, and cannot be sent a second time
    may_have_run: bool = False
    repeat_until: datetime | None = None  # set once it may have run: no attempt starts later
    timed_out: bool = False  # its last attempt did
    overdue_timer: Timer | None = None  # of the answer at `answer_by`
    unclaimed: interface.Request | None = None  # what the gateway is told once the id is claimed


@dataclass(slots=True)
class AnswerStream:
    """A long answer that is being streamed from a server to a client."""

    request_id: int
    class_index: int
    is_safe: bool
    client_id: int
    memory: int  # bytes, as of its request
    connection_id: int  # that it comes over; 0: its last byte has come


@dataclass(slots=True)
class IngressState:
    """All state of an ingress except the gateway's own."""

    counter_address: str
    server_list_address: str
    statistics: Statistics
    memory: MemoryLimits
    sockets: SocketLimits
    bans: dict[int, BanStatus] = field(default_factory=dict)  # by server: also those that were lifted
    requests: dict[int, RequestInProgress] = field(default_factory=dict)
    open_correlation_ids: OpenIds = field(default_factory=OpenIds)
    held_duplicates: HeldDuplicates = field(default_factory=HeldDuplicates)
    abandoned_ids: AbandonedIds = field(default_factory=AbandonedIds)  # must not run a second time
    memory_in_use: int = 0  # bytes that requests, begun ones included, and answers take at most
    memory_full: bool = False  # something was refused for want of memory; a change is logged
    # Each client's connection is in one of the six collections `clients_…`. Times say since when; the
    # dictionaries that have them are in their order.
    clients_new: dict[int, datetime] = field(default_factory=dict)  # nothing of a request has come
    clients_sending_head: dict[int, datetime] = field(default_factory=dict)
    head_memory: dict[int, int] = field(default_factory=dict)  # bytes of these heads, by client
    # Of a request that is not in `requests`; bytes that it takes.
    clients_sending_body: dict[int, int] = field(default_factory=dict)
    clients_waiting: dict[int, int] = field(default_factory=dict)  # for the answer to this request
    streams: dict[int, AnswerStream] = field(default_factory=dict)  # by request
    clients_reading: dict[int, int] = field(default_factory=dict)  # an answer that is blocked; its bytes
    clients_idle: dict[int, datetime] = field(default_factory=dict)  # since their last answer
    client_check_scheduled: bool = False
    attempts: dict[tuple[int, int], Attempt] = field(default_factory=dict)  # by request and attempt number
    connections: dict[int, Connection] = field(default_factory=dict)
    idle_connections: dict[int, list[int]] = field(default_factory=dict)  # by server; the longest idle first
    servers: dict[int, ListedServer] = field(default_factory=dict)
    counter_answered_at: datetime | None = None  # last, on any connection
    # By slot: the calls of a name always use the same slot, see Reducer._call_counter.
    counter_connections: dict[int, Connection] = field(default_factory=dict)
    server_connection_count: int = 0
    list_version: int | None = None  # None: the complete list is asked for next
    list_connection_id: int = 0  # the one over which the agent was asked last
    list_reachable: bool = True  # the discovery agent answers; a change is logged
    list_refusals: int = 0  # one after another
    list_heard: bool = False  # the agent at this address has answered with a list, and not fallen silent
    list_settled: bool = False  # see effects.ServerListSettled
    unheard_list_requests: int = 0  # while the agent was not heard
    last_connection_id: int = 0
    process_count: int = 1  # of this ingress that are running
    draining: bool = False
    drain_schedule: DrainSchedule | None = None  # while draining
    has_successor: bool = False  # while draining: another process accepts new clients
    other_process_accepting: bool = False  # another process of this ingress accepts clients
    idle_clients_closed: bool = False  # while draining
    exited: bool = False

    @property
    def client_count(self) -> int:
        """How many clients are connected."""
        return (
            len(self.clients_new) + len(self.clients_sending_head) + len(self.clients_sending_body)
            + len(self.clients_waiting) + len(self.clients_reading) + len(self.clients_idle)
        )  # fmt: skip
