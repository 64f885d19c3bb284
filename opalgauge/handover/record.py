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
OTHER_INGRESS = b"stranger\n"  # an answer: the caller is a process of another ingress
NO_SNAPSHOT = b"unknown\n"  # an answer: one of this ingress, but nothing of the record would hold for it
MAX_BODY = 16 * 1024 * 1024  # bytes
MAX_HEAD = 256  # bytes
MAX_AGE = timedelta(seconds=5)
EPOCH = datetime.fromtimestamp(0, UTC)
MICROSECOND = timedelta(microseconds=1)
CLOCK_KEY = "clock"  # in the record: when it was written, by the old process's clock and by the monotonic one


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose process it is, and by which settings it works; both as digests."""

    ingress: str = "-"
    settings: str = "-"

    @classmethod
    def of(cls, name: str, settings: Any) -> Identity:
        return cls(_digest(name), _digest(json.dumps(settings, sort_keys=True)))


UNKNOWN_IDENTITY = Identity()


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def encode_hello(identity: Identity) -> bytes:
    """A caller's first line."""
    return f"{TITLE} {identity.ingress} {identity.settings}\n".encode()


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One instant by a process's own clock and by the machine's monotonic one."""

    wall_clock: datetime
    monotonic: timedelta


@dataclass(frozen=True, slots=True)
class ReceivedSnapshot:
    """What an old process knows; `clock_offset`: its clock less ours, zero where it does not tell."""

    snapshot: Any
    clock_offset: timedelta


def answer_hello(
    hello: bytes, identity: Identity, export_snapshot: Callable[[], Any], clocks: ClockReading
) -> bytes:
    """What a process answers to a caller's first line.

    Guards an ingress against what was learned under another customer's settings, or by another ingress that
    was given the same folder. One of another version may be of this ingress: it is told nothing.
    """
    title, *digests = hello.decode("ascii", "replace").removesuffix("\n").split(" ")
    if title != TITLE or len(digests) != 2:
        return NO_SNAPSHOT
    if digests[0] != identity.ingress:
        return OTHER_INGRESS
    return encode(export_snapshot(), clocks) if digests[1] == identity.settings else NO_SNAPSHOT


def encode(snapshot: dict[str, Any], clocks: ClockReading) -> bytes:
    wall_clock, monotonic = (clocks.wall_clock - EPOCH) // MICROSECOND, clocks.monotonic // MICROSECOND
    body = json.dumps({**snapshot, CLOCK_KEY: [wall_clock, monotonic]}, separators=(",", ":")).encode()
    return f"{TITLE} {len(body)} {wall_clock} {hashlib.sha256(body).hexdigest()}\n".encode() + body


def body_length(head: bytes) -> int | None:
    """The bytes that follow a record's first line; None where it is none of ours."""
    try:
        title, size, _, __ = head.decode("ascii").split()
        return int(size) if title == TITLE and 0 <= int(size) <= MAX_BODY else None
    except ValueError:
        return None


def decode(data: bytes, clocks: ClockReading) -> ReceivedSnapshot | None:
    """What was written; None where it is torn, too old or of another version."""
    head, _, body = data.partition(b"\n")
    if body_length(head) != len(body):
        return None
    _, __, written, digest = head.decode("ascii").split()
    if hashlib.sha256(body).hexdigest() != digest:
        return None
    try:
        snapshot = json.loads(body)
        clock = snapshot.pop(CLOCK_KEY, None) if isinstance(snapshot, dict) else None
        if clock is not None:
            # The wall clock may have been stepped between the two starts: the age is a span of real time.
            written_at = ClockReading(EPOCH + MICROSECOND * int(clock[0]), MICROSECOND * int(clock[1]))
            age = clocks.monotonic - written_at.monotonic
            return (
                ReceivedSnapshot(snapshot, written_at.wall_clock + age - clocks.wall_clock)
                if timedelta(0) <= age <= MAX_AGE
                else None
            )
        age = clocks.wall_clock - (EPOCH + MICROSECOND * int(written))
        return ReceivedSnapshot(snapshot, timedelta(0)) if abs(age) <= MAX_AGE else None
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
