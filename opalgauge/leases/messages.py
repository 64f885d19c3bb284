"""Lease messages between ingresses: datagrams of at most 256 bytes. No I/O.

Encoded with msgspec as MessagePack arrays and signed like all messages between ingresses.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from opalgauge.memory.signed_datagram import decode, sign

VERSION = b"\x5a\x11"
MAX_NEEDS, MAX_GRANTS = 5, 4  # per message; the longest ones just fit the datagram
MAX_UNITS = 1e6
TENTHS_PER_UNIT = 10


@dataclass(frozen=True, slots=True)
class Need:
    """The sender lacks rights for an account. `window` is the window's number modulo 256."""

    account: int
    plan_index: int
    first_ingress: int
    ingress_count: int
    window: int
    units: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Rights given to the receiver: the sum of all grants of the sender in this window.

    As it is a sum, a repeated grant counts once. It is valid for one incarnation of the receiver only.
    """

    account: int
    window: int
    units: float
    receiver_incarnation: int


@dataclass(frozen=True, slots=True)
class Message:
    """A lease message.

    `incarnation` is larger at each start of the sender, `sequence` at each message of an incarnation.
    `without_counter` says that the counter does not answer the sender in time.
    """

    sender: int
    incarnation: int
    sequence: int
    without_counter: bool
    needs: tuple[Need, ...] = ()
    grants: tuple[Grant, ...] = ()


class _WireMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: int
    incarnation: int
    sequence: int
    without_counter: bool
    needs: list[tuple[int, int, int, int, int, int]]
    grants: list[tuple[int, int, int, int]]


def encode_message(message: Message, secret: bytes = b"") -> bytes:
    """Encodes and signs a message. Units are rounded to tenths."""
    needs = [
        (n.account, n.plan_index, n.first_ingress, n.ingress_count, n.window,
         round(n.units * TENTHS_PER_UNIT))
        for n in message.needs
    ]  # fmt: skip
    grants = [
        (g.account, g.window, round(g.units * TENTHS_PER_UNIT), g.receiver_incarnation)
        for g in message.grants
    ]
    body = _WireMessage(
        message.sender, message.incarnation, message.sequence, message.without_counter, needs, grants
    )
    return sign(VERSION, msgspec.msgpack.encode(body), secret)


def decode_message(data: bytes, secret: bytes = b"") -> Message | None:
    """Decodes a peer's message; None if it is torn, wrongly signed or invalid. Never raises."""
    body = decode(data, VERSION, secret, _WireMessage)
    if body is None:
        return None
    sound = (
        body.sender >= 0 and 0 <= body.incarnation < 2**53 and 0 <= body.sequence < 2**53
        and len(body.needs) <= MAX_NEEDS and len(body.grants) <= MAX_GRANTS
        and all(min(n) >= 0 and n[3] >= 1 and n[4] < 256 and n[5] <= MAX_UNITS for n in body.needs)
        and all(min(g) >= 0 and g[1] < 256 and g[2] <= MAX_UNITS for g in body.grants)
    )  # fmt: skip
    if not sound:
        return None
    needs = tuple(Need(a, t, f, s, w, u / TENTHS_PER_UNIT) for a, t, f, s, w, u in body.needs)
    grants = tuple(Grant(a, w, u / TENTHS_PER_UNIT, incarnation) for a, w, u, incarnation in body.grants)
    return Message(body.sender, body.incarnation, body.sequence, body.without_counter, needs, grants)
