"""What the stand-ins write down in a run. The program's own logs and figures are no part of it.

All times are seconds on the run's own clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What it means if a request of a class runs twice."""

    SAFE = "retryable"
    KEYED = "dedup"
    UNSAFE = "fragile"


class End(Enum):
    """How a client's exchange ended."""

    ANSWERED = "answered"
    LOST = "connection ended with no whole answer"
    UNHEARD = "a kept connection ended before anything came"  # its client asks once more over a new one
    CUT = "an answer too long to be held broke off"  # only where the server's own answer did
    LEFT = "the client left"
    NEVER_SENT = "the connection had ended before the request was written"


@dataclass
class RequestRecord:
    """One request of one client over one connection."""

    name: str
    effect: Effect
    instance: int
    sent: float  # its last byte was written
    waits: float  # seconds that its client waits
    kept: bool  # the connection had carried another
    end: End | None = None
    status: int = 0
    ended: float = math.inf
    repeats: str = ""  # the request that it repeats, because a closed connection crossed that one


@dataclass
class AttemptRecord:
    """One request that reached a server whole."""

    name: str
    server: int
    began: float  # its first byte
    whole: float
    time_left: float  # as the ingress told it
    ran: bool  # False: turned away unprocessed, or dropped as a repeat whose key is known
    ended: float = math.inf  # answered, or its connection ended
    harmed: bool = False  # its connection was ended by the server, or on the way


@dataclass
class ServerRecord:
    """One life of a server."""

    server: int
    capacity: float  # requests a second when warm
    started: float  # -inf: long before the run
    drain_told: dict[int, float] = field(
        default_factory=dict
    )  # by instance: when it was told to stop sending


@dataclass
class ProcessRecord:
    """One process of the program."""

    instance: int
    began: float
    ready: float = math.inf
    asked: float = math.inf  # SIGTERM
    killed: float = math.inf  # SIGKILL
    ended: float = math.inf
    code: int | None = None
    faults: int = 0  # lines of its log that tell of a defect
    descriptors: int = 0  # most that were seen
    memory_mb: float = 0.0


@dataclass
class Limits:
    """The deployment's figures that the rules depend on."""

    longest_deadline: float
    slow_start_duration: float  # s of slow start
    slow_start_share: float  # share of the capacity at its beginning
    collapse_time: float  # s
    collapse_ratio: float
    stop_sending_time: float  # s after a server was told to drain
    descriptors: int
    memory_mb: float
    max_start_time: float = 10.0  # s from a start until it serves


@dataclass
class Records:
    """All of one run."""

    limits: Limits
    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    servers: list[ServerRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    lag: float = 0.0  # s: the most that the stand-ins themselves were held up
