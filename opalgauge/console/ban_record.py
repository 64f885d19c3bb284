"""Encodes bans as a small text record that outlives the process. No I/O, no clock.

The first line holds the title, the length of the rest and its SHA-256 digest. Each further line is a ban:
`out` or `in`, the time of the change (microseconds of Unix time) and the server's ID. An incomplete record is
rejected.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

from opalgauge.memory.events import BanStatus

TITLE = "opalgauge-marks-1"
EPOCH = datetime.fromtimestamp(0, UTC)
MAX_RECORD_SIZE = 1 << 20  # bytes


def encode(bans: Iterable[BanStatus]) -> bytes:
    """Returns the record of the given bans."""
    body = "".join(
        f"{'out' if ban.banned else 'in'} {(ban.at - EPOCH) // timedelta(microseconds=1)} {ban.name}\n"
        for ban in bans
    ).encode("ascii")
    return f"{TITLE} {len(body)} {hashlib.sha256(body).hexdigest()}\n".encode() + body


def decode(record: bytes) -> tuple[tuple[str, bool, datetime], ...] | None:
    """Returns name, banned state and time of each ban; None if the record is damaged or too long."""
    head, _, body = record.partition(b"\n")
    try:
        title, length, digest = head.decode("ascii").split(" ")
        if title != TITLE or len(record) > MAX_RECORD_SIZE or int(length) != len(body):
            return None
        if hashlib.sha256(body).hexdigest() != digest:
            return None
        entries = []
        for line in body.decode("ascii").splitlines():
            word, at, name = line.split(" ")
            entries.append((name, word == "out", EPOCH + timedelta(microseconds=int(at))))
        return tuple(entries)
    except (ValueError, OverflowError):
        return None


def merge(first: Iterable[BanStatus], second: Iterable[BanStatus]) -> tuple[BanStatus, ...]:
    """Returns the latest change per server; of two changes at the same time, the ban."""
    newest: dict[int, BanStatus] = {}
    for ban in (*first, *second):
        known = newest.get(ban.server_id)
        if known is None or (known.at, known.banned) < (ban.at, ban.banned):
            newest[ban.server_id] = ban
    return tuple(newest.values())
