"""Zone messages between ingresses: datagrams of at most 256 bytes. No I/O.

Encoded with msgspec as MessagePack arrays, preceded by two version bytes and followed by a keyed digest
(BLAKE2b, 8 bytes). The receiver drops and counts datagrams that are torn, wrongly signed or of another
version.
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
    """State of a zone at an ingress. Peers get the numbers, the admin endpoint shows the names.

    IN: in full use. SLOW: in use with a reduced share. LEFT: only trials are sent there. RETURNING: the
    share grows back.
    """

    IN = 0
    SLOW = 1
    LEFT = 2
    RETURNING = 3


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """What an ingress tells of one zone. `age` is the time since its state began."""

    opinion: Opinion
    state: ZoneState
    age: timedelta
    good_trials: int = 0
    bad_trials: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """A report of all zones, in the order of the settings.

    `incarnation` is larger at each start of the sender, `sequence` at each message of an incarnation.
    """

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
    """Encodes and signs a message. Only the first `MAX_ZONES` zones fit the 256 bytes and are sent."""
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
    """Decodes a peer's message; None if it is torn, wrongly signed or invalid. Never raises."""
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
