"""What copies say to each other: datagrams of at most 256 bytes. No I/O.

MessagePack by msgspec, sealed as all messages between ingresses are; the version is its first two bytes. It
says one of: items; the hashes of all branches; the hashes of a branch's leaves; or that its sender
knows nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from opalgauge.memory.signed_datagram import DIGEST_SIZE, MAX_DATAGRAM_SIZE, decode, sign
from opalgauge.memory.signed_datagram import VERSION_SIZE as VERSION_LENGTH
from opalgauge.replica.crdt import Item
from opalgauge.replica.store import BRANCHES, HASH, LEAVES, TYPES, Key

VERSION = b"\x5a\x21"
HEAD = 24  # bytes of a message round its items, at most
MOST_ROWS = 4  # sources or tags in one piece of an item
MOST_NAME = 100  # characters


@dataclass(frozen=True, slots=True)
class Message:
    """`number` grows with each message of a life. One of the rest is said.

    `leaf` hashes with `back`: an answer to the receiver's own, not to be answered with more hashes.
    """

    sender: int
    life: int
    number: int
    items: tuple[tuple[Key, Item], ...] = ()
    branches: tuple[bytes, ...] = ()
    leaves: tuple[int, tuple[bytes, ...], bool] | None = None
    hello: bool = False


class _Wire(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: int
    life: int
    number: int
    hello: bool
    items: list[tuple[int, str, Any]] = field(default_factory=list)
    branches: list[bytes] = field(default_factory=list)
    leaves: tuple[int, list[bytes], bool] | None = None


def write(message: Message, secret: bytes = b"") -> bytes:
    leaves = message.leaves
    wire = _Wire(
        message.sender, message.life, message.number, message.hello,
        [(kind, name, item.wire()) for (kind, name), item in message.items], list(message.branches),
        (leaves[0], list(leaves[1]), leaves[2]) if leaves is not None else None,
    )  # fmt: skip
    return sign(VERSION, msgspec.msgpack.encode(wire), secret)


def read(data: bytes, secret: bytes = b"") -> Message | None:
    """Another copy's message; None where it is torn, foreign or says what cannot be. Never raises."""
    wire = decode(data, VERSION, secret, _Wire)
    if wire is None:
        return None
    try:
        if wire.sender < 0 or not (0 <= wire.life < 2**53 and 0 <= wire.number < 2**53):
            return None
        items = tuple(
            ((kind, name), TYPES[kind].read(told))
            for kind, name, told in wire.items
            if len(name) <= MOST_NAME
        )
        hashes = [*wire.branches, *(wire.leaves[1] if wire.leaves else ())]
        sound = (
            len(wire.branches) in (0, BRANCHES) and all(len(h) == HASH for h in hashes)
            and (wire.leaves is None or 0 <= wire.leaves[0] < BRANCHES and len(wire.leaves[1]) == LEAVES)
        )  # fmt: skip
        if not sound:
            return None
    except (msgspec.MsgspecError, ValueError, TypeError, KeyError):
        return None
    leaves = (wire.leaves[0], tuple(wire.leaves[1]), wire.leaves[2]) if wire.leaves is not None else None
    return Message(wire.sender, wire.life, wire.number, items, tuple(wire.branches), leaves, wire.hello)


def packed(items: Iterable[tuple[Key, Item]]) -> Iterator[tuple[tuple[Key, Item], ...]]:
    """As many items as fit, datagram by datagram; what is too long for one goes in pieces."""
    room = MAX_DATAGRAM_SIZE - DIGEST_SIZE - VERSION_LENGTH - HEAD
    batch: list[tuple[Key, Item]] = []
    used = 0
    for key, item in items:
        for piece in item.pieces(MOST_ROWS):
            size = len(msgspec.msgpack.encode([key[0], key[1], piece.wire()]))
            if batch and used + size > room:
                yield tuple(batch)
                batch, used = [], 0
            batch.append((key, piece))
            used += size
    if batch:
        yield tuple(batch)
