"""The types of the decision module: settings at the start, events in, actions out.

Types only. Times are seconds on the clock shared by all gateways, amounts are units of a quota.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class SettingsError(ValueError):
    """A setting cannot be used; the message begins with the field's name."""


class Idempotency(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which servers drop a repeat of a keyed request among themselves."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class End(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


NEVER_RAN = frozenset({End.REJECTED, End.CONNECT_FAILED, End.NOT_SENT})


class Health(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message of the server list holds."""

    CHANGES = "changes"
    COMPLETE = "whole"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request; aim and deadline in seconds, window for keyed repeats."""

    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota for each of its customers, over all gateways together; 0 means no such limit."""

    rate: float = 0.0
    burst: float = 0.0
    open: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 1.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateways: int = 1
    gateway_index: int = 0
    zone: int = 0
    tick: float = 0.004
    max_units: float = 1.0
    charge_true_units: bool = False
    use_counter: bool = False
    counter_timeout: float = 0.05
    meter_period: float = 0.0
    max_attempts: int = 3
    allow_parallel: bool = False
    allow_cancel: bool = False
    allow_probes: bool = False
    idle_timeout: float = 15.0
    max_retry_after: float = 1.0
    list_on_request: bool = False
    max_watch_interval: float = 10.0
    slow_start_duration: float = 15.0
    slow_start_share: float = 0.2
    collapse_time: float = 3.0
    collapse_ratio: float = 3.0
    cross_zone_price: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list."""

    server: int
    health: Health
    zone: int = 0
    cell: int = 0
    started: float = 0.0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerList:
    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class BanChanged:
    """Staff take a server out of use, or give it back; nothing is sent to it in between."""

    server: int
    banned: bool
    at: float = 0.0  # when they said so


@dataclass(frozen=True, slots=True)
class ZoneShare:
    """What the fleet sends to a zone from now on, of a whole share: 0 leaves it, 1 is as ever.

    `trial`: a server there that takes one request which may be repeated, to see whether it answers; 0: none.
    """

    zone: int
    share: float
    trial_server: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try. It must get one final answer within `budget` seconds."""

    request: int
    cls: int
    plan: int
    account: int
    budget: float
    units: float = 1.0
    account_gateways: int = 1
    first_gateway: int = 0
    is_retry: bool = False
    # Where an ingress has several cores: how many decide for the customer side by side, and for how long (s)
    # nobody but these can have spent its part of a ceiling.
    account_workers: int = 1
    exclusive_for: float = math.inf
    body_pending: bool = (
        False  # its body still comes: it is timed from `RequestWritten`, when its attempt is whole
    )


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt. `final`: the request has its answer already."""

    request: int
    attempt: int
    server: int
    end: End
    duration: float
    final: bool = False
    quota_used: float | None = None
    true_units: float | None = None
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: int
    attempt: int
    server: int
    duration: float


@dataclass(frozen=True, slots=True)
class RequestWritten:
    """An attempt of a request whose body was still coming has been written whole."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    request: int


@dataclass(frozen=True, slots=True)
class ProbeOutcome:
    server: int
    end: End
    duration: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class CountOutcome:
    """The counter's answer to one Count: the total of the name after it, when `end` is OK."""

    name: int
    duration: float
    end: End
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    data: bytes


Event = (
    ServerList
    | BanChanged
    | ZoneShare
    | Request
    | Outcome
    | StreamStarted
    | RequestWritten
    | ClientGone
    | ProbeOutcome
    | TimerFired
    | CountOutcome
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a request count 0, 1, 2 in the order of their sends."""

    request: int
    server: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: not done, and trying again is harmless."""

    request: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: failed, with no promise about its effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close the idle connections kept to a server: the next attempt there opens a new one."""

    server: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add `amount` to a named total on the counter service; a new name lives `ttl` seconds."""

    name: int
    amount: float
    ttl: float


@dataclass(frozen=True, slots=True)
class Timer:
    at: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask to be told of changes of the server list from now on."""


Action = Send | Refuse | Fail | Cancel | Close | Probe | Count | Timer | WatchList
