"""What one gateway has learned, for another that takes its place: plain values, no decisions.

`export_state` gives what json can hold; `import_state` checks it as a whole and changes nothing where any of
it is no good.
Debts to the counter stay with the gateway that owes them, and so do requests and attempts.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any

from starlinggap import interface as i
from starlinggap.brain import EJECT_SHARE, MAX_EJECT_TIME, MIN_EJECT_TIME, Gateway
from starlinggap.quota import Account

MAX_ACCOUNTS = 5000  # customers, those seen last
# What the gateway itself has learned, of the counter, of load and of the usual times: the record's key and
# the attribute that it holds.
LEARNED = {
    "born": "started_at",
    "stake": "mean_stake",
    "ask": "call_share",
    "ask_at": "call_share_at",
    "best": "counter_min_time",
    "trial_at": "counter_probe_at",
    "cut_at": "call_share_cut_at",
    "forgot_at": "counts_lost_at",
    "retries": "retry_budget",
    "answered": "answered",
    "took": "aim_ratios",
    "late": "late",
    "missed": "overdue",
    "shed": "shed",
    "ended_at": "decayed_at",
    "pace": "mean_aim_ratio",
    "unanswered": "loss_share",
}
LISTS = {"let_in": "admit_shares", "usual": "usual", "tried": "conn_uses", "lost": "conn_losses"}
ACCOUNT_FIELDS = ("total", "own_units", "lost_units", "prev_total", "deficit", "others_rate", "assumed_units",
            "updated_at", "total_at", "denied_until",
                  "seen_at", "judged", "admitted", "judged_at",
            "headroom")  # fmt: skip
ACCOUNT_FLAGS = ("prev_known", "stale")
SERVER_FIELDS = ("slowdown", "queue_length", "last_ok_at", "returned_at")


class SnapshotError(Exception):
    """Not what `export_state` gives, or of other settings."""


def export_state(gateway: Gateway) -> dict[str, Any]:
    plans = list(gateway.settings.plans)
    customers = list(gateway.accounts.values())[-MAX_ACCOUNTS:]
    return {
        "kinds": len(gateway.settings.classes),
        "plans": len(plans),
        "learned": {key: getattr(gateway, name) for key, name in LEARNED.items()},
        "lists": {key: list(getattr(gateway, name)) for key, name in LISTS.items()},
        "quick": gateway.counter_quick,
        "servers": [
            [key, server.entry.started, [getattr(server, name) for name in SERVER_FIELDS],
             [[cls, *ill] for cls, ill in server.failures.items()]]
            for key, server in gateway.servers.items()
        ],
        "customers": [
            [c.id, plans.index(c.plan), c.spread // c.workers, c.workers, c.window,
             [getattr(c, name) for name in ACCOUNT_FIELDS], [getattr(c, name) for name in ACCOUNT_FLAGS]]
            for c in customers
        ],
    }  # fmt: skip


def active_ejections(gateway: Gateway, now: float) -> list[tuple[int, float, int, float]]:
    """Servers that it has ejected by what it saw: server, its start, for which class, until when."""
    return [
        (key, server.entry.started, cls, ill[1])
        for key, server in gateway.servers.items()
        for cls, ill in server.failures.items()
        if ill[1] > now
    ]


def adopt_ejection(gateway: Gateway, key: int, started: float, cls: int, until: float, now: float) -> None:
    """Takes over what others found of a server, if it is the same start of it; no longer than it ejects."""
    server = gateway.servers.get(key)
    if server is None or server.entry.started != started or not 0 <= cls < len(gateway.settings.classes):
        return
    ill = server.failures.setdefault(cls, [0.0, 0.0, MIN_EJECT_TIME])
    # Just over the edge: its next good answer clears it, its next bad one is believed.
    ill[0], ill[1] = max(ill[0], EJECT_SHARE * 1.01), max(ill[1], min(until, now + MAX_EJECT_TIME))


def parse_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
        raise SnapshotError("not a number")
    return float(value)


def parse_numbers(values: Any, count: int) -> list[float]:
    if not isinstance(values, list) or len(values) != count:
        raise SnapshotError("not as many values as there should be")
    return [parse_number(v) for v in values]


def import_state(gateway: Gateway, told: Any, now: float) -> None:
    """Takes over what another gateway of the same settings has learned. Raises SnapshotError."""
    try:
        if told["kinds"] != len(gateway.settings.classes) or told["plans"] != len(gateway.settings.plans):
            raise SnapshotError("of other settings")
        learned = {name: parse_number(told["learned"][key]) for key, name in LEARNED.items()}
        lists = {
            name: parse_numbers(told["lists"][key], len(getattr(gateway, name)))
            for key, name in LISTS.items()
        }
        quick = bool(told["quick"])
        known = [_parse_account(gateway, one, now) for one in told["customers"]]
        servers = [_parse_server(one) for one in told["servers"]]
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as bad:
        raise SnapshotError(f"{type(bad).__name__}: {bad}") from None
    for name, value in learned.items():
        setattr(gateway, name, value)
    for name, values in lists.items():
        setattr(gateway, name, values)
    gateway.counter_quick = quick
    # What this one has met by itself is not touched: it knows no less of that.
    customers = OrderedDict((c.id, c) for c in known)
    customers.update(gateway.accounts)
    gateway.accounts = customers
    for key, started, values, ill in servers:
        server = gateway.servers.get(key)
        if server is not None and server.entry.started == started:
            server.slowdown, server.queue_length, server.last_ok_at, server.returned_at = values
            server.failures = ill


def _parse_account(gateway: Gateway, one: Any, now: float) -> Account:
    who, plan, spread, parts, window, values, flags = one
    if not 0 <= plan < len(gateway.settings.plans) or not (spread >= 1 and parts >= 1):
        raise SnapshotError("a customer out of range")
    request = i.Request(0, 0, plan, int(who), 1.0, account_gateways=int(spread), account_workers=int(parts))
    c = Account(request, gateway.settings.plans[plan], now, 0.0)
    for name, value in zip(ACCOUNT_FIELDS, parse_numbers(values, len(ACCOUNT_FIELDS)), strict=True):
        setattr(c, name, value)
    c.window, (c.prev_known, c.stale) = int(window), (bool(f) for f in flags)
    return c


def _parse_server(one: Any) -> tuple[int, float, list[float], dict[int, list[float]]]:
    key, started, values, ill = one
    return (
        int(key),
        parse_number(started),
        parse_numbers(values, len(SERVER_FIELDS)),
        {int(entry[0]): parse_numbers(entry[1:], 3) for entry in ill},
    )
