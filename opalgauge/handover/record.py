"""What an old process hands to a new one, as bytes: a line that says what follows, then JSON.

No I/O, no clock.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

TITLE = "opalgauge-memory-1"  # the number changes with the meaning of what follows
STRANGER = b"stranger\n"  # an answer: the caller is a process of another ingress
UNUSABLE = b"unknown\n"  # an answer: one of this ingress, but nothing of the record would hold for it
MOST = 16 * 1024 * 1024  # bytes
MOST_HEAD = 256  # bytes
OLDEST = timedelta(seconds=5)
EPOCH = datetime.fromtimestamp(0, UTC)


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose process it is, and by which settings it works; both as digests."""

    ingress: str = "-"
    settings: str = "-"

    @classmethod
    def of(cls, name: str, settings: Any) -> Identity:
        return cls(_digest(name), _digest(json.dumps(settings, sort_keys=True)))


NOBODY = Identity()


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def hello(who: Identity) -> bytes:
    """A caller's first line."""
    return f"{TITLE} {who.ingress} {who.settings}\n".encode()


def answer(called: bytes, who: Identity, memory: Callable[[], Any], now: datetime) -> bytes:
    """What a process answers to a caller's first line.

    Guards an ingress against what was learned under another customer's settings, or by another ingress that
    was given the same folder. One of another version may be of this ingress: it is told nothing.
    """
    title, *told = called.decode("ascii", "replace").removesuffix("\n").split(" ")
    if title != TITLE or len(told) != 2:
        return UNUSABLE
    if told[0] != who.ingress:
        return STRANGER
    return write(memory(), now) if told[1] == who.settings else UNUSABLE


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
