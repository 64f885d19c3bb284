"""What an old process hands to a new one, as bytes: a line that says what follows, then JSON.

No I/O, no clock.
"""

from __future__ import annotations

import hashlib
import json
from datetime import UTC, datetime, timedelta
from typing import Any

TITLE = "opalgauge-memory-1"  # the number changes with the meaning of what follows
HELLO = f"{TITLE}\n".encode()
MOST = 16 * 1024 * 1024  # bytes
MOST_HEAD = 256  # bytes
OLDEST = timedelta(seconds=5)
EPOCH = datetime.fromtimestamp(0, UTC)


def write(memory: Any, now: datetime) -> bytes:
    body = json.dumps(memory, separators=(",", ":")).encode()
    at = (now - EPOCH) // timedelta(microseconds=1)
    return f"{TITLE} {len(body)} {at} {hashlib.sha256(body).hexdigest()}\n".encode() + body


def length(head: bytes) -> int | None:
    """The bytes that follow a record's first line; None where it is none of ours."""
    try:
        title, size, _, __ = head.decode("ascii").split()
        return int(size) if title == TITLE and 0 <= int(size) <= MOST else None
    except ValueError:
        return None


def read(record: bytes, now: datetime) -> Any | None:
    """What was written; None where it is torn, too old or of another version."""
    head, _, body = record.partition(b"\n")
    if length(head) != len(body):
        return None
    _, __, at, digest = head.decode("ascii").split()
    if hashlib.sha256(body).hexdigest() != digest:
        return None
    try:
        if not abs(now - (EPOCH + timedelta(microseconds=int(at)))) <= OLDEST:
            return None
        return json.loads(body)
    except (ValueError, OverflowError):
        return None
