"""What staff said of stock nodes, as a small text record that outlives the process. No I/O, no clock.

One line says what follows is and how long it is, with a digest; then a line a mark: `out` or `in`, when
(microseconds of Unix time) and the stock node's ID. A record that is not whole is no record.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

from opalgauge.memory.events import BanStatus

TITLE = "opalgauge-marks-1"
EPOCH = datetime.fromtimestamp(0, UTC)
MAX_RECORD_SIZE = 1 << 20  # bytes of a record


def encode(bans: Iterable[BanStatus]) -> bytes:
    body = "".join(
        f"{'out' if ban.banned else 'in'} {(ban.at - EPOCH) // timedelta(microseconds=1)} {ban.name}\n"
        for ban in bans
    ).encode("ascii")
    return f"{TITLE} {len(body)} {hashlib.sha256(body).hexdigest()}\n".encode() + body


def decode(record: bytes) -> tuple[tuple[str, bool, datetime], ...] | None:
    """Names with what was said and when; None where the record is torn, foreign or too long."""
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
    """Of each stock node what was said last; of two things said at once, that it is out."""
    newest: dict[int, BanStatus] = {}
    for ban in (*first, *second):
        known = newest.get(ban.server_id)
        if known is None or (known.at, known.banned) < (ban.at, ban.banned):
            newest[ban.server_id] = ban
    return tuple(newest.values())
