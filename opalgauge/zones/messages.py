"""One ingress's message to its peers: a datagram of at most 256 bytes. No I/O.

MessagePack by msgspec, behind two bytes of version and before a keyed digest (BLAKE2b, 8 bytes). What is
torn, foreign or of another version is no message; it is dropped and counted by whoever reads.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

import msgspec

from opalgauge.memory.signed_datagram import decode, sign
from opalgauge.zones.health import Opinion

VERSION = b"\x5a\x01"
MOST_ZONES = 20
TENTH = timedelta(milliseconds=100)
MOST_TENTHS, MOST_TRIALS = 2**20, 15


class State(IntEnum):
    """Where a zone stands with an ingress; it goes over the wire."""

    IN = 0
    SLOW = 1
    LEFT = 2
    RETURNING = 3


@dataclass(frozen=True, slots=True)
class Told:
    """Of one zone. `age`: how long its state has held."""

    opinion: Opinion
    state: State
    age: timedelta
    good_trials: int = 0
    bad_trials: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """`life` grows with each start of the sender, `number` with each message of a life."""

    sender: int
    life: int
    number: int
    zones: tuple[Told, ...]


class _Wire(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: int
    life: int
    number: int
    zones: list[tuple[int, int, int, int, int]]


def write(message: Message, secret: bytes = b"") -> bytes:
    """At most 256 bytes for MOST_ZONES zones."""
    rows = [
        (
            int(z.opinion), int(z.state), min(z.age // TENTH, MOST_TENTHS),
            min(z.good_trials, MOST_TRIALS), min(z.bad_trials, MOST_TRIALS),
        )
        for z in message.zones[:MOST_ZONES]
    ]  # fmt: skip
    body = msgspec.msgpack.encode(_Wire(message.sender, message.life, message.number, rows))
    return sign(VERSION, body, secret)


def read(data: bytes, secret: bytes = b"") -> Message | None:
    """A peer's message; None where it is torn, foreign or says what cannot be. Never raises."""
    wire = decode(data, VERSION, secret, _Wire)
    if wire is None:
        return None
    try:
        if not (0 <= wire.life < 2**53 and 0 <= wire.number < 2**53) or len(wire.zones) > MOST_ZONES:
            return None
        zones = tuple(
            Told(Opinion(o), State(s), TENTH * _within(age, MOST_TENTHS), _within(good, MOST_TRIALS),
                 _within(bad, MOST_TRIALS))
            for o, s, age, good, bad in wire.zones
        )  # fmt: skip
    except ValueError:
        return None
    return Message(wire.sender, wire.life, wire.number, zones)


def _within(value: int, most: int) -> int:
    if not 0 <= value <= most:
        raise ValueError("out of range")
    return value
