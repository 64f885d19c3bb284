"""Bans as plain values, for the handover between two processes of one ingress. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from opalgauge.memory.events import BanStatus


class InvalidBans(ValueError):
    """The values are no list of bans; the message names the type of the error."""


def bans_to_plain(bans: Iterable[BanStatus]) -> list[list[Any]]:
    """Each ban as a list that JSON can hold: name, server ID, whether it is banned, Unix time in seconds."""
    return [[ban.name, ban.server_id, ban.banned, ban.at.timestamp()] for ban in bans]


def bans_from_plain(plain: Any) -> tuple[BanStatus, ...]:
    """The inverse of `bans_to_plain`; None gives no bans. Raises InvalidBans for what is no list of bans."""
    try:
        return tuple(
            BanStatus(str(name), int(server_id), bool(banned), datetime.fromtimestamp(float(at), UTC))
            for name, server_id, banned, at in plain or ()
        )
    except (TypeError, ValueError, OverflowError, OSError) as error:
        raise InvalidBans(type(error).__name__) from None
