"""What the stand-ins record during a run, independently of the ingress's own logs and statistics.

All times are in seconds on the clock of the run. The runner prints request, attempt and process records as
they are, so their fields and the members of `Effect` and `End` are part of its output.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What running a request of a class twice does, with the values that the settings have for it."""

    SAFE = "retryable"
    KEYED = "dedup"
    UNSAFE = "fragile"


class End(Enum):
    """How an exchange ended, as its client saw it."""

    ANSWERED = "answered"
    LOST = "connection ended with no whole answer"
    UNHEARD = "a kept connection ended before anything came"  # its client repeats it over another
    CUT = "an answer too long to be held broke off"  # allowed only where the server's answer did so too
    LEFT = "the client left"
    NEVER_SENT = "the connection had ended before the request was written"


@dataclass
class RequestRecord:
    """A request that a client sent over one connection."""

    name: str
    effect: Effect
    instance: int
    sent: float  # when its last byte was written
    waits: float  # the client's deadline, in seconds from then
    kept: bool  # the connection had carried an earlier request
    end: End | None = None
    status: int = 0
    ended: float = math.inf
    repeats: str = ""  # name of the request that it repeats: the ingress closed that one's connection unread
    digest: str = ""  # of method, target and body
    account: int = 0
    units: float = 0.0


@dataclass
class AttemptRecord:
    """A request that reached a server completely."""

    name: str
    server: int
    began: float  # when its first byte arrived
    whole: float  # when its last byte arrived
    time_left: float  # seconds, as the ingress stated it
    ran: bool  # False if it was rejected unprocessed, or dropped as a repeat of a known idempotency key
    ended: float = math.inf  # when it was answered, or its connection ended
    harmed: bool = False  # the server or the path broke its connection off
    digest: str = ""  # of method, target and body


@dataclass
class ServerRecord:
    """A server, from its start on."""

    server: int
    capacity: float  # requests/s after slow start
    started: float  # -inf if it started long before the run
    # By instance: when it was told that the server drains, and when its agent had this.
    drain_told: dict[int, float] = field(default_factory=dict)
    drain_known: dict[int, float] = field(default_factory=dict)


@dataclass
class ProcessRecord:
    """An ingress process."""

    instance: int
    began: float
    ready: float = math.inf
    asked: float = math.inf  # when it got SIGTERM
    killed: float = math.inf  # when it got SIGKILL
    ended: float = math.inf
    code: int | None = None
    faults: int = 0  # log lines that report an internal error
    crashed: bool = False  # it was killed without being asked to stop
    descriptors: int = 0  # highest number sampled
    memory_mb: float = 0.0  # highest resident size sampled


@dataclass
class Limits:
    """The figures of the deployment that the rules depend on; times in seconds."""

    longest_deadline: float
    slow_start_duration: float
    slow_start_share: float  # share of its capacity that a server has at the start
    # A server fails when it gets `collapse_ratio` times its capacity for `collapse_time`.
    collapse_time: float
    collapse_ratio: float
    stop_sending_time: float  # from the news that a server drains until it gets no further attempt
    descriptors: int
    memory_mb: float
    # Of the plan's hard ceiling: units a second, at once after a pause, and by which it may be passed.
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    max_start_time: float = 10.0  # from the start of a process until it serves


@dataclass
class Records:
    """Everything recorded in one run."""

    limits: Limits
    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    servers: list[ServerRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    # By instance: from when to when its agent was silent or its path there had a fault.
    agent_troubles: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    lag: float = 0.0  # seconds that the stand-ins' event loop was late, at most
