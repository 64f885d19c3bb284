"""Bans as plain values, as they pass between two processes of one ingress. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from opalgauge.memory.events import BanStatus


class InvalidBans(ValueError):
    """What was told is no list of bans."""


def bans_to_plain(bans: Iterable[BanStatus]) -> list[list[Any]]:
    return [[ban.name, ban.server_id, ban.banned, ban.at.timestamp()] for ban in bans]


def bans_from_plain(plain: Any) -> tuple[BanStatus, ...]:
    """Raises InvalidBans where that is no list of bans."""
    try:
        return tuple(
            BanStatus(str(name), int(server_id), bool(banned), datetime.fromtimestamp(float(at), UTC))
            for name, server_id, banned, at in plain or ()
        )
    except (TypeError, ValueError, OverflowError, OSError) as error:
        raise InvalidBans(type(error).__name__) from None
