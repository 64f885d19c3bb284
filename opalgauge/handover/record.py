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
MICROSECOND = timedelta(microseconds=1)
CLOCK = "clock"  # in the record: when it was written, by the old process's clock and by the monotonic one


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


@dataclass(frozen=True, slots=True)
class Moment:
    """One instant by a process's own clock and by the machine's monotonic one."""

    now: datetime
    steady: timedelta


@dataclass(frozen=True, slots=True)
class Handed:
    """What an old process knows; `ahead`: its clock less ours, zero where it does not tell."""

    memory: Any
    ahead: timedelta


def answer(called: bytes, who: Identity, memory: Callable[[], Any], at: Moment) -> bytes:
    """What a process answers to a caller's first line.

    Guards an ingress against what was learned under another customer's settings, or by another ingress that
    was given the same folder. One of another version may be of this ingress: it is told nothing.
    """
    title, *told = called.decode("ascii", "replace").removesuffix("\n").split(" ")
    if title != TITLE or len(told) != 2:
        return UNUSABLE
    if told[0] != who.ingress:
        return STRANGER
    return write(memory(), at) if told[1] == who.settings else UNUSABLE


def write(memory: dict[str, Any], at: Moment) -> bytes:
    now, steady = (at.now - EPOCH) // MICROSECOND, at.steady // MICROSECOND
    body = json.dumps({**memory, CLOCK: [now, steady]}, separators=(",", ":")).encode()
    return f"{TITLE} {len(body)} {now} {hashlib.sha256(body).hexdigest()}\n".encode() + body


def length(head: bytes) -> int | None:
    """The bytes that follow a record's first line; None where it is none of ours."""
    try:
        title, size, _, __ = head.decode("ascii").split()
        return int(size) if title == TITLE and 0 <= int(size) <= MOST else None
    except ValueError:
        return None


def read(record: bytes, at: Moment) -> Handed | None:
    """What was written; None where it is torn, too old or of another version."""
    head, _, body = record.partition(b"\n")
    if length(head) != len(body):
        return None
    _, __, written, digest = head.decode("ascii").split()
    if hashlib.sha256(body).hexdigest() != digest:
        return None
    try:
        memory = json.loads(body)
        clock = memory.pop(CLOCK, None) if isinstance(memory, dict) else None
        if clock is not None:
            # The wall clock may have been stepped between the two starts: the age is a span of real time.
            then = Moment(EPOCH + MICROSECOND * int(clock[0]), MICROSECOND * int(clock[1]))
            age = at.steady - then.steady
            return Handed(memory, then.now + age - at.now) if timedelta(0) <= age <= OLDEST else None
        age = at.now - (EPOCH + MICROSECOND * int(written))
        return Handed(memory, timedelta(0)) if abs(age) <= OLDEST else None
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
