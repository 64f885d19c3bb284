"""Hands over what one gateway has learned to another of the same settings, as when a process is replaced.

`export_state` returns values that JSON can hold. `import_state` checks all of them before it changes a thing.
Requests, attempts and units not yet added to the counter stay with the gateway that has them.

Ejections can also be exchanged one by one, see `active_ejections` and `adopt_ejection`.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any

from starlinggap import interface
from starlinggap.brain import EJECT_SHARE, MAX_EJECT_TIME, MIN_EJECT_TIME, Gateway
from starlinggap.quota import Account

MAX_ACCOUNTS = 5000  # in a snapshot; those with the latest requests
# What the gateway has learned of the counter, of load and of usual times. By key in the record: the attribute
# of Gateway that is stored there, a number (LEARNED) or a list of numbers (LISTS).
LEARNED = {
    "born": "started_at",
    "stake": "mean_stake",
    "ask": "call_share",
    "ask_at": "call_share_at",
    "best": "counter_min_time",
    "trial_at": "counter_probe_at",
    "cut_at": "call_share_cut_at",
    "retries": "retry_budget",
    "answered": "recent_answers",
    "took": "recent_aim_ratios",
    "late": "recent_late",
    "missed": "recent_overdue",
    "shed": "late_shed_share",
    "ended_at": "decayed_at",
    "pace": "mean_aim_ratio",
    "unanswered": "loss_share",
}
LISTS = {
    "let_in": "admit_shares",
    "usual": "usual_times",
    "tried": "connection_uses",
    "lost": "connection_losses",
}
# Attributes of Account and Server. The record has their values without names, in this order.
ACCOUNT_FIELDS = (
    "total",
    "own_units",
    "lost_units",
    "prev_total",
    "deficit",
    "others_rate",
    "assumed_units",
    "updated_at",
    "total_at",
    "denied_until",
    "seen_at",
    "decision_count",
    "admitted_count",
    "counts_decayed_at",
    "headroom",
)
ACCOUNT_FLAGS = ("prev_known", "deficit_stale")
SERVER_FIELDS = ("slowdown", "queue_length", "last_ok_at", "unbanned_at")


class SnapshotError(Exception):
    """The record is not what `export_state` returns, or was made under other settings."""


def export_state(gateway: Gateway) -> dict[str, Any]:
    """Returns a record of what the gateway has learned; it changes nothing."""
    plans = list(gateway.settings.plans)
    accounts = list(gateway.accounts.values())[-MAX_ACCOUNTS:]
    return {
        "kinds": len(gateway.settings.classes),
        "plans": len(plans),
        "learned": {key: getattr(gateway, name) for key, name in LEARNED.items()},
        "lists": {key: list(getattr(gateway, name)) for key, name in LISTS.items()},
        "quick": gateway.counter_quick,
        "servers": [
            [
                server_id,
                server.entry.started,
                [getattr(server, name) for name in SERVER_FIELDS],
                [[class_index, *failure] for class_index, failure in server.failures.items()],
            ]
            for server_id, server in gateway.servers.items()
        ],
        "customers": [
            [
                account.id,
                plans.index(account.plan),
                account.spread // account.workers,
                account.workers,
                account.window,
                [getattr(account, name) for name in ACCOUNT_FIELDS],
                [getattr(account, name) for name in ACCOUNT_FLAGS],
            ]
            for account in accounts
        ],
    }


def active_ejections(gateway: Gateway, now: float) -> list[tuple[int, float, int, float]]:
    """Lists the servers that this gateway has ejected: server, its start, the class, the end of the ejection.

    A start is the server's `ServerEntry.started`, and a class an index of `Settings.classes`.
    """
    return [
        (server_id, server.entry.started, class_index, failure[1])
        for server_id, server in gateway.servers.items()
        for class_index, failure in server.failures.items()
        if failure[1] > now
    ]


def adopt_ejection(
    gateway: Gateway, server_id: int, started: float, class_index: int, until: float, now: float
) -> None:
    """Ejects a server for a class until a time, because another gateway has; at most for MAX_EJECT_TIME.

    Does nothing where no server with this start is listed, or there is no such class.
    """
    server = gateway.servers.get(server_id)
    if (
        server is None
        or server.entry.started != started
        or not 0 <= class_index < len(gateway.settings.classes)
    ):
        return
    failure = server.failures.setdefault(class_index, [0.0, 0.0, MIN_EJECT_TIME])
    # Just above the threshold: one good answer ends the ejection, one error confirms it.
    failure[0], failure[1] = (
        max(failure[0], EJECT_SHARE * 1.01),
        max(failure[1], min(until, now + MAX_EJECT_TIME)),
    )


def parse_number(value: Any) -> float:
    """Returns the value as a float. Raises SnapshotError for anything but a number, and for NaN."""
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
        raise SnapshotError("not a number")
    return float(value)


def parse_numbers(values: Any, count: int) -> list[float]:
    """Returns the values as floats. Raises SnapshotError for anything but a list of `count` numbers."""
    if not isinstance(values, list) or len(values) != count:
        raise SnapshotError("wrong number of values")
    return [parse_number(value) for value in values]


def import_state(gateway: Gateway, record: Any, now: float) -> None:
    """Takes over what another gateway of the same settings has learned.

    What this gateway already knows of an account is kept. A server's figures are taken over only if it has
    not been restarted since. Raises SnapshotError, and changes nothing, where any part of the record is
    unusable.
    """
    try:
        if record["kinds"] != len(gateway.settings.classes) or record["plans"] != len(gateway.settings.plans):
            raise SnapshotError("made under other settings")
        learned = {name: parse_number(record["learned"][key]) for key, name in LEARNED.items()}
        lists = {
            name: parse_numbers(record["lists"][key], len(getattr(gateway, name)))
            for key, name in LISTS.items()
        }
        quick = bool(record["quick"])
        imported = [_parse_account(gateway, row, now) for row in record["customers"]]
        servers = [_parse_server(row) for row in record["servers"]]
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as error:
        raise SnapshotError(f"{type(error).__name__}: {error}") from None
    for name, value in learned.items():
        setattr(gateway, name, value)
    for name, values in lists.items():
        setattr(gateway, name, values)
    gateway.counter_quick = quick
    # Accounts that this gateway has already seen keep its own figures, which are newer.
    accounts = OrderedDict((account.id, account) for account in imported)
    accounts.update(gateway.accounts)
    gateway.accounts = accounts
    for server_id, started, values, failures in servers:
        server = gateway.servers.get(server_id)
        if server is not None and server.entry.started == started:
            server.slowdown, server.queue_length, server.last_ok_at, server.unbanned_at = values
            server.failures = failures


def _parse_account(gateway: Gateway, row: Any, now: float) -> Account:
    account_id, plan, gateways, workers, window, values, flags = row
    if not 0 <= plan < len(gateway.settings.plans) or not (gateways >= 1 and workers >= 1):
        raise SnapshotError("an account's plan, gateways or workers are out of range")
    request = interface.Request(
        0, 0, plan, int(account_id), 1.0, account_gateways=int(gateways), account_workers=int(workers)
    )
    account = Account(request, gateway.settings.plans[plan], now, 0.0)
    for name, value in zip(ACCOUNT_FIELDS, parse_numbers(values, len(ACCOUNT_FIELDS)), strict=True):
        setattr(account, name, value)
    account.window, (account.prev_known, account.deficit_stale) = int(window), (bool(flag) for flag in flags)
    return account


def _parse_server(row: Any) -> tuple[int, float, list[float], dict[int, list[float]]]:
    server_id, started, values, failures = row
    return (
        int(server_id),
        parse_number(started),
        parse_numbers(values, len(SERVER_FIELDS)),
        {int(failure[0]): parse_numbers(failure[1:], 3) for failure in failures},
    )
