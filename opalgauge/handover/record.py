"""The handover record, by which an old process passes its state to a new one: a head line, then JSON.

No I/O, no clock.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

TITLE = "opalgauge-memory-1"  # the number changes with the format of the record
OTHER_INGRESS = b"stranger\n"  # answer to a process of another ingress
NO_SNAPSHOT = b"unknown\n"  # answer to a process of this ingress to which the record does not apply
MAX_BODY = 16 * 1024 * 1024  # bytes
MAX_HEAD = 256  # bytes
MAX_AGE = timedelta(seconds=5)
EPOCH = datetime.fromtimestamp(0, UTC)
MICROSECOND = timedelta(microseconds=1)
CLOCK_KEY = "clock"  # key of the times at which the record was written, by wall clock and monotonic clock


@dataclass(frozen=True, slots=True)
class Identity:
    """Digests of the ingress that a process belongs to and of its settings."""

    ingress: str = "-"
    settings: str = "-"

    @classmethod
    def of(cls, name: str, settings: Any) -> Identity:
        """The identity of a process by the name and the settings of its ingress."""
        return cls(_digest(name), _digest(json.dumps(settings, sort_keys=True)))


UNKNOWN_IDENTITY = Identity()


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def encode_hello(identity: Identity) -> bytes:
    """Encodes the first line of a caller."""
    return f"{TITLE} {identity.ingress} {identity.settings}\n".encode()


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One instant, as told by a process's wall clock and by the machine's monotonic clock."""

    wall_clock: datetime
    monotonic: timedelta


@dataclass(frozen=True, slots=True)
class ReceivedSnapshot:
    """A snapshot from an old process. `clock_offset` is its wall clock minus ours, zero if unknown."""

    snapshot: Any
    clock_offset: timedelta


def answer_hello(
    hello: bytes, identity: Identity, export_snapshot: Callable[[], Any], clocks: ClockReading
) -> bytes:
    """Returns the answer to a caller's first line.

    A process with other settings, or of another ingress that shares the folder, must not use the snapshot. A
    process of another version may belong to this ingress, but cannot be handed the record.
    """
    title, *digests = hello.decode("ascii", "replace").removesuffix("\n").split(" ")
    if title != TITLE or len(digests) != 2:
        return NO_SNAPSHOT
    if digests[0] != identity.ingress:
        return OTHER_INGRESS
    return encode(export_snapshot(), clocks) if digests[1] == identity.settings else NO_SNAPSHOT


def encode(snapshot: dict[str, Any], clocks: ClockReading) -> bytes:
    """Encodes the record of a snapshot, written at the given time."""
    wall_clock, monotonic = (clocks.wall_clock - EPOCH) // MICROSECOND, clocks.monotonic // MICROSECOND
    body = json.dumps({**snapshot, CLOCK_KEY: [wall_clock, monotonic]}, separators=(",", ":")).encode()
    return f"{TITLE} {len(body)} {wall_clock} {hashlib.sha256(body).hexdigest()}\n".encode() + body


def body_length(head: bytes) -> int | None:
    """The number of bytes after the head line of a record; None if it is no head line of this version."""
    try:
        title, size, _, __ = head.decode("ascii").split()
        return int(size) if title == TITLE and 0 <= int(size) <= MAX_BODY else None
    except ValueError:
        return None


def decode(data: bytes, clocks: ClockReading) -> ReceivedSnapshot | None:
    """Decodes a record; None if it is damaged, too old or of another version."""
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
            # The wall clock may have been stepped since: the age is measured by the monotonic clock.
            written_at = ClockReading(EPOCH + MICROSECOND * int(clock[0]), MICROSECOND * int(clock[1]))
            age = clocks.monotonic - written_at.monotonic
            return (
                ReceivedSnapshot(snapshot, written_at.wall_clock + age - clocks.wall_clock)
                if timedelta(0) <= age <= MAX_AGE
                else None
            )
        # A record of an earlier version tells the wall clock only.
        age = clocks.wall_clock - (EPOCH + MICROSECOND * int(written))
        return ReceivedSnapshot(snapshot, timedelta(0)) if abs(age) <= MAX_AGE else None
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
