"""Replication messages between ingresses: datagrams of at most 256 bytes. No I/O.

Encoded with msgspec as MessagePack arrays and signed like all messages between ingresses; the first two bytes
are the version. A message holds items, or the hashes of all branches, or those of one branch's leaves, or the
hello of a replica that has nothing yet.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from opalgauge.memory.signed_datagram import DIGEST_SIZE, MAX_DATAGRAM_SIZE, VERSION_SIZE, decode, sign
from opalgauge.replica.crdt import Item
from opalgauge.replica.store import BRANCHES, HASH_SIZE, ITEM_TYPES, LEAVES, Key

VERSION = b"\x5a\x21"
ENVELOPE_SIZE = 24  # bytes of a message besides its items, at most
MAX_ROWS = 4  # sources or tags per part of a split item
MAX_NAME_LENGTH = 100  # characters


@dataclass(frozen=True, slots=True)
class Message:
    """A replication message, with one of items, branch hashes, leaf hashes and hello.

    `incarnation` is larger at each start of the sender, `sequence` at each message of an incarnation.
    `leaf_hashes` holds the branch, the hashes, and whether they answer the receiver's own; such an answer is
    not answered with hashes again.
    """

    sender: int
    incarnation: int
    sequence: int
    items: tuple[tuple[Key, Item], ...] = ()
    branch_hashes: tuple[bytes, ...] = ()
    leaf_hashes: tuple[int, tuple[bytes, ...], bool] | None = None
    hello: bool = False


class _WireMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: int
    incarnation: int
    sequence: int
    hello: bool
    items: list[tuple[int, str, Any]] = field(default_factory=list)
    branch_hashes: list[bytes] = field(default_factory=list)
    leaf_hashes: tuple[int, list[bytes], bool] | None = None


def encode_message(message: Message, secret: bytes = b"") -> bytes:
    """Encodes and signs a message. Its items must fit, as those of `pack_items` do."""
    leaf_hashes = message.leaf_hashes
    body = _WireMessage(
        message.sender, message.incarnation, message.sequence, message.hello,
        [(kind, name, item.to_wire()) for (kind, name), item in message.items],
        list(message.branch_hashes),
        (leaf_hashes[0], list(leaf_hashes[1]), leaf_hashes[2]) if leaf_hashes is not None else None,
    )  # fmt: skip
    return sign(VERSION, msgspec.msgpack.encode(body), secret)


def decode_message(data: bytes, secret: bytes = b"") -> Message | None:
    """Decodes a peer's message; None if it is torn, wrongly signed or invalid. Never raises."""
    body = decode(data, VERSION, secret, _WireMessage)
    if body is None:
        return None
    try:
        if body.sender < 0 or not (0 <= body.incarnation < 2**53 and 0 <= body.sequence < 2**53):
            return None
        items = tuple(
            ((kind, name), ITEM_TYPES[kind].from_wire(value))
            for kind, name, value in body.items
            if len(name) <= MAX_NAME_LENGTH
        )
        hashes = [*body.branch_hashes, *(body.leaf_hashes[1] if body.leaf_hashes else ())]
        is_valid = (
            len(body.branch_hashes) in (0, BRANCHES) and all(len(h) == HASH_SIZE for h in hashes)
            and (body.leaf_hashes is None
                 or 0 <= body.leaf_hashes[0] < BRANCHES and len(body.leaf_hashes[1]) == LEAVES)
        )  # fmt: skip
        if not is_valid:
            return None
    except (msgspec.MsgspecError, ValueError, TypeError, KeyError):
        return None
    leaf_hashes = (
        (body.leaf_hashes[0], tuple(body.leaf_hashes[1]), body.leaf_hashes[2])
        if body.leaf_hashes is not None
        else None
    )
    return Message(
        body.sender,
        body.incarnation,
        body.sequence,
        items,
        tuple(body.branch_hashes),
        leaf_hashes,
        body.hello,
    )


def pack_items(items: Iterable[tuple[Key, Item]]) -> Iterator[tuple[tuple[Key, Item], ...]]:
    """Yields the items of one datagram after the other. Splits items that are too long for one."""
    capacity = MAX_DATAGRAM_SIZE - DIGEST_SIZE - VERSION_SIZE - ENVELOPE_SIZE
    batch: list[tuple[Key, Item]] = []
    used = 0
    for key, item in items:
        for piece in item.split(MAX_ROWS):
            size = len(msgspec.msgpack.encode([key[0], key[1], piece.to_wire()]))
            if batch and used + size > capacity:
                yield tuple(batch)
                batch, used = [], 0
            batch.append((key, piece))
            used += size
    if batch:
        yield tuple(batch)
