"""What all messages between ingresses have in common: a version, a body, a keyed digest. No I/O."""

from __future__ import annotations

import hashlib
import hmac
from typing import TypeVar

import msgspec

T = TypeVar("T")

DIGEST_SIZE = 8  # bytes of BLAKE2b
MAX_DATAGRAM_SIZE = 256  # bytes: the platform voids a run for a longer datagram
VERSION_SIZE = 2  # bytes of a datagram, by which its reader is found


def _digest(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret[:64], digest_size=DIGEST_SIZE).digest()


def sign(version: bytes, body: bytes, secret: bytes) -> bytes:
    return version + body + _digest(version + body, secret)


def verify(data: bytes, version: bytes, secret: bytes) -> bytes | None:
    """The body; None where the datagram is torn, too long, of another version or sealed otherwise."""
    signed, digest = data[:-DIGEST_SIZE], data[-DIGEST_SIZE:]
    if len(data) > MAX_DATAGRAM_SIZE or not signed.startswith(version):
        return None
    return signed[len(version) :] if hmac.compare_digest(digest, _digest(signed, secret)) else None


def decode(data: bytes, version: bytes, secret: bytes, message_type: type[T]) -> T | None:
    """What a datagram says, in its form; None where it is torn, foreign or of another form."""
    body = verify(data, version, secret)
    if body is None:
        return None
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except msgspec.MsgspecError:
        return None
