"""Bans as plain values, as they pass between two processes of one ingress. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from opalgauge.memory.events import BanStatus


class UnusableMarks(ValueError):
    """What was told is no list of bans."""


def to_plain(marks: Iterable[BanStatus]) -> list[list[Any]]:
    return [[mark.name, mark.server_id, mark.banned, mark.at.timestamp()] for mark in marks]


def from_plain(told: Any) -> tuple[BanStatus, ...]:
    """Raises UnusableMarks where that is no list of bans."""
    try:
        return tuple(
            BanStatus(str(name), int(node), bool(out), datetime.fromtimestamp(float(at), UTC))
            for name, node, out, at in told or ()
        )
    except (TypeError, ValueError, OverflowError, OSError) as bad:
        raise UnusableMarks(type(bad).__name__) from None
