"""What ingresses say to each other of rights: a datagram of at most 256 bytes. No I/O.

MessagePack by msgspec, sealed as all messages between ingresses are.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from opalgauge.memory.signed_datagram import decode, sign

VERSION = b"\x5a\x11"
MOST_NEEDS, MOST_GRANTS = 5, 4  # of one message: the longest of each still fit
MOST_UNITS = 1e6
TENTHS = 10


@dataclass(frozen=True, slots=True)
class Need:
    """Its account lacks units at the sender. `window`: its number, modulo 256."""

    account: int
    tariff: int
    first: int
    spread: int
    window: int
    units: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Units that the sender has given the receiver's life in this window, in all."""

    account: int
    window: int
    units: float
    life: int


@dataclass(frozen=True, slots=True)
class Message:
    """`down`: the sender is without the quota counter. `number` grows with each message of a life."""

    sender: int
    life: int
    number: int
    down: bool
    needs: tuple[Need, ...] = ()
    grants: tuple[Grant, ...] = ()


class _Wire(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: int
    life: int
    number: int
    down: bool
    needs: list[tuple[int, int, int, int, int, int]]
    grants: list[tuple[int, int, int, int]]


def write(message: Message, secret: bytes = b"") -> bytes:
    needs = [
        (n.account, n.tariff, n.first, n.spread, n.window, round(n.units * TENTHS)) for n in message.needs
    ]  # fmt: skip
    grants = [(g.account, g.window, round(g.units * TENTHS), g.life) for g in message.grants]
    wire = _Wire(message.sender, message.life, message.number, message.down, needs, grants)
    return sign(VERSION, msgspec.msgpack.encode(wire), secret)


def read(data: bytes, secret: bytes = b"") -> Message | None:
    """A peer's message; None where it is torn, foreign or says what cannot be. Never raises."""
    wire = decode(data, VERSION, secret, _Wire)
    if wire is None:
        return None
    sound = (
        wire.sender >= 0 and 0 <= wire.life < 2**53 and 0 <= wire.number < 2**53
        and len(wire.needs) <= MOST_NEEDS and len(wire.grants) <= MOST_GRANTS
        and all(min(n) >= 0 and n[3] >= 1 and n[4] < 256 and n[5] <= MOST_UNITS for n in wire.needs)
        and all(min(g) >= 0 and g[1] < 256 and g[2] <= MOST_UNITS for g in wire.grants)
    )  # fmt: skip
    if not sound:
        return None
    needs = tuple(Need(a, t, f, s, w, u / TENTHS) for a, t, f, s, w, u in wire.needs)
    grants = tuple(Grant(a, w, u / TENTHS, life) for a, w, u, life in wire.grants)
    return Message(wire.sender, wire.life, wire.number, wire.down, needs, grants)
