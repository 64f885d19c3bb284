"""The types that the decision module exchanges with its caller: settings, events in, actions out.

`Gateway.handle` takes events and returns actions; `Settings` is given once, at the start. This module defines
types only and decides nothing.

Conventions: times and durations are in seconds; points in time are read on the clock that all gateways share.
Amounts are units of a quota. A field named after a thing (`request`, `server`, `zone`, `attempt`, `account`)
holds its number. The caller chooses the numbers of requests, servers (from 1) and accounts; each is unique.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class SettingsError(ValueError):
    """A setting has an unusable value; the message begins with the setting's name."""


class Idempotency(Enum):
    """Whether a request that may have run can be sent again."""

    SAFE = "safe"  # a repeat changes nothing
    KEYED = "keyed"  # servers recognise a repeat by its key, see RequestClass.dedup_scope and dedup_window
    UNSAFE = "unsafe"  # a repeat runs a second time


class DedupScope(Enum):
    """The servers that recognise a keyed request which one of them has already run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class End(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # an error was answered; the request may have run
    REJECTED = "full"  # the other side refused, and says that it has not run the request
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke before the answer was complete
    CANCELLED = "cancelled"  # by a Cancel action
    NOT_SENT = "moot"  # the caller did not send it, because the request was over or could not be repeated


# Ends after which it is certain that the request did not run.
NEVER_RAN = frozenset({End.REJECTED, End.CONNECT_FAILED, End.NOT_SENT})


class Health(Enum):
    """The state of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"  # it completes what it has and must get no further requests
    GONE = "gone"  # it is removed from the list


class ListKind(Enum):
    """What a ServerList event holds."""

    CHANGES = "changes"  # only servers whose entry has changed
    COMPLETE = "whole"  # all servers; those left out are gone
    CACHED = "cached"  # all servers as last known before the start, possibly out of date
    FAILED = "failed"  # no list could be had; there are no entries


@dataclass(frozen=True, slots=True)
class RequestClass:
    """How requests of one class are treated."""

    aim: float  # s within which an answer is wanted
    deadline: float  # s after which an answer is of no use
    worth: float = 1.0  # value of an answer within the aim; what is worth least is shed first
    late_worth: float = 0.0  # value of an answer after the aim; the decisions do not use it
    idempotency: Idempotency = Idempotency.SAFE
    dedup_scope: DedupScope = DedupScope.ALL  # for KEYED only
    dedup_window: float = 0.0  # s after the first attempt in which servers recognise a repeat; for KEYED only
    stream: bool = False  # answers are streamed; the decisions do not use it


@dataclass(frozen=True, slots=True)
class Plan:
    """The limits of each account on a plan, at all gateways together.

    The quota may be exceeded by requests that are worth it, the ceiling by none. 0 means no such limit.
    """

    rate: float = 0.0  # quota, units a second
    burst: float = 0.0  # units that an account may use at once after a pause
    open: int = 0  # requests open at the same time
    price: float = 1.0  # what a unit earns; multiplies the worth of a request's class
    over_worth: float = 0.0  # what a request beyond the quota earns
    over_cost: float = 1.0  # and what it costs; it is sent only where it earns more
    ceiling_rate: float = 0.0  # hard limit, units a second
    ceiling_burst: float = 0.0  # units that may be used at once after a pause, under the hard limit
    ceiling_slack: float = 0.0  # units that gateways may use right after their start, under the hard limit


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateways: int = 1  # how many share the quotas
    gateway_index: int = 0  # of this one among them, from 0
    zone: int = 0  # the one that this gateway stands in
    tick: float = 0.004  # resolution of the caller's timers; no attempt starts so close to its deadline
    max_units: float = 1.0  # the largest cost of one request
    charge_true_units: bool = False  # charge Outcome.true_units where a server reports them
    use_counter: bool = False  # False: no shared counter; each gateway counts for itself
    counter_timeout: float = 0.05  # for one call of the counter
    meter_period: float = 0.0  # period of the deployment's usage meter; the decisions do not use it
    max_attempts: int = 3  # of one request
    allow_parallel: bool = False  # several attempts of a request may be out at the same time
    allow_cancel: bool = False  # the Cancel action may be used
    allow_probes: bool = False  # the Probe action may be used
    idle_timeout: float = 15.0  # a connection that has been idle so long is no longer used
    max_retry_after: float = 1.0  # longest Refuse.retry_after
    list_on_request: bool = False  # the server list only comes after WatchList actions
    max_watch_interval: float = 10.0  # longest time between two of these
    slow_start_duration: float = 15.0  # time from its start until a server has its full capacity
    slow_start_share: float = 0.2  # share of its capacity that it has at its start
    # A server fails when it gets `collapse_ratio` times its capacity for `collapse_time`.
    collapse_time: float = 3.0
    collapse_ratio: float = 3.0
    cross_zone_price: float = 0.0  # added to 1, multiplies the expected time at a server in another zone


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server in the server list."""

    server: int
    health: Health
    zone: int = 0
    cell: int = 0  # part of a zone, see DedupScope.CELL
    started: float = 0.0  # when it started; 0: long ago
    weight: float = 1.0  # capacity relative to other servers; 0: not known, taken as 1


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list, or a change of it, has come in."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class BanChanged:
    """Staff have banned a server or lifted its ban; nothing is sent to a banned server."""

    server: int
    banned: bool
    at: float = 0.0  # time of the command


@dataclass(frozen=True, slots=True)
class ZoneShare:
    """The fleet has changed the share of traffic that it sends to a zone."""

    zone: int
    share: float  # of its normal traffic: 0 while it is left, 1 as usual
    trial_server: int = (
        0  # a server there to be tried with one request, a SAFE one while the share is 0; 0: none
    )


@dataclass(frozen=True, slots=True)
class Request:
    """A client has sent a request. It gets one final answer: an Outcome with `final`, a Refuse or a Fail."""

    request: int
    cls: int  # index of Settings.classes
    plan: int  # index of Settings.plans
    account: int
    budget: float  # s until the client must have its answer
    units: float = 1.0  # its cost; charged before it is sent
    account_gateways: int = 1  # how many gateways get requests of this account
    first_gateway: int = 0  # index of the first of these; the decisions do not use it
    is_retry: bool = False  # the client says that it repeats a request
    account_workers: int = 1  # how many workers of this ingress decide for the account side by side
    # For how long only these workers have decided for the account here. Before that, other workers may have
    # used this ingress's part of the ceiling.
    exclusive_for: float = math.inf
    # The body has not been read to its end. The budget then counts from RequestWritten.
    body_pending: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt has ended."""

    request: int
    attempt: int
    server: int
    end: End
    duration: float  # since the attempt was sent
    final: bool = False  # the client has its answer, so nothing more is to be done for the request
    quota_used: float | None = None  # share of the account's quota, as the server reports it; not used
    true_units: float | None = None  # what the request did cost, as the server reports it
    load: dict[str, float] = field(default_factory=dict)  # the server's load report; only "queue" is used


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first bytes of a streamed answer have gone to the client; no further attempt is made."""

    request: int
    attempt: int
    server: int
    duration: float  # since the attempt was sent


@dataclass(frozen=True, slots=True)
class RequestWritten:
    """An attempt of a request with `body_pending` has been sent to its end; it is timed from now on."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The head of an attempt's answer has come. How long the rest takes is no sign of load."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has disconnected and gets no answer any more."""

    request: int


@dataclass(frozen=True, slots=True)
class ProbeOutcome:
    """A probe has ended."""

    server: int
    end: End
    duration: float  # since the probe was sent
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a Timer action has come."""

    token: int  # of that action


@dataclass(frozen=True, slots=True)
class CountOutcome:
    """A counter call has ended."""

    name: int  # as in the Count action
    duration: float  # since the call was sent
    end: End
    total: float = 0.0  # of this name, the call's own amount included; only set when `end` is OK


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another gateway has sent a message; the decisions do not use it."""

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
    | AnswerStarted
    | ClientGone
    | ProbeOutcome
    | TimerFired
    | CountOutcome
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0 in the order of their Send actions."""

    request: int
    server: int
    deadline: float  # point in time at which the attempt is given up


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the request was not executed, or a repeat of it does no harm."""

    request: int
    retry_after: float  # s that the client should wait before it tries again


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up an attempt whose answer is no longer wanted."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close all idle connections to a server; the next attempt there opens a new one."""

    server: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load report, to see whether it answers."""

    server: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named total of the shared counter, and read it."""

    name: int  # 64 bits; stands for one window of one account
    amount: float  # may be 0, to read only, or negative, to take units back
    ttl: float  # s after which the counter forgets a name that this call creates


@dataclass(frozen=True, slots=True)
class Timer:
    """Ask for a TimerFired event."""

    at: float  # point in time
    token: int  # comes back with that event


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask for the server list's changes from now on."""


Action = Send | Refuse | Fail | Cancel | Close | Probe | Count | Timer | WatchList
