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
MAX_ZONES = 20
TENTH_OF_SECOND = timedelta(milliseconds=100)
MAX_TENTHS, MAX_TRIALS = 2**20, 15


class ZoneState(IntEnum):
    """Where a zone stands with an ingress; it goes over the wire."""

    IN = 0
    SLOW = 1
    LEFT = 2
    RETURNING = 3


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """Of one zone. `age`: how long its state has held."""

    opinion: Opinion
    state: ZoneState
    age: timedelta
    good_trials: int = 0
    bad_trials: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """`life` grows with each start of the sender, `number` with each message of a life."""

    sender: int
    incarnation: int
    sequence: int
    zones: tuple[ZoneReport, ...]


class _WireMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: int
    incarnation: int
    sequence: int
    zones: list[tuple[int, int, int, int, int]]


def encode_message(message: Message, secret: bytes = b"") -> bytes:
    """At most 256 bytes for MOST_ZONES zones."""
    rows = [
        (
            int(z.opinion), int(z.state), min(z.age // TENTH_OF_SECOND, MAX_TENTHS),
            min(z.good_trials, MAX_TRIALS), min(z.bad_trials, MAX_TRIALS),
        )
        for z in message.zones[:MAX_ZONES]
    ]  # fmt: skip
    encoded = msgspec.msgpack.encode(
        _WireMessage(message.sender, message.incarnation, message.sequence, rows)
    )
    return sign(VERSION, encoded, secret)


def decode_message(data: bytes, secret: bytes = b"") -> Message | None:
    """A peer's message; None where it is torn, foreign or says what cannot be. Never raises."""
    body = decode(data, VERSION, secret, _WireMessage)
    if body is None:
        return None
    try:
        if not (0 <= body.incarnation < 2**53 and 0 <= body.sequence < 2**53) or len(body.zones) > MAX_ZONES:
            return None
        zones = tuple(
            ZoneReport(Opinion(o), ZoneState(s), TENTH_OF_SECOND * _check_range(age, MAX_TENTHS),
                       _check_range(good, MAX_TRIALS), _check_range(bad, MAX_TRIALS))
            for o, s, age, good, bad in body.zones
        )  # fmt: skip
    except ValueError:
        return None
    return Message(body.sender, body.incarnation, body.sequence, zones)


def _check_range(value: int, maximum: int) -> int:
    if not 0 <= value <= maximum:
        raise ValueError("out of range")
    return value
