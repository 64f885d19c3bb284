"""The datagram format of messages between ingresses: a version, a body and a keyed digest of both. No I/O."""

from __future__ import annotations

import hashlib
import hmac
from typing import TypeVar

import msgspec

T = TypeVar("T")

DIGEST_SIZE = 8  # bytes of BLAKE2b
MAX_DATAGRAM_SIZE = 256  # bytes; the platform declares a run void for a longer datagram
VERSION_SIZE = 2  # bytes at the start of a datagram that select its reader


def _digest(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret[:64], digest_size=DIGEST_SIZE).digest()


def sign(version: bytes, body: bytes, secret: bytes) -> bytes:
    """The datagram for a body. Does not check its size; only the first 64 bytes of `secret` are used."""
    return version + body + _digest(version + body, secret)


def verify(data: bytes, version: bytes, secret: bytes) -> bytes | None:
    """A datagram's body; None if it is torn, too long, of another version or signed with another secret."""
    signed, digest = data[:-DIGEST_SIZE], data[-DIGEST_SIZE:]
    if len(data) > MAX_DATAGRAM_SIZE or not signed.startswith(version):
        return None
    return signed[len(version) :] if hmac.compare_digest(digest, _digest(signed, secret)) else None


def decode(data: bytes, version: bytes, secret: bytes, message_type: type[T]) -> T | None:
    """The message in a datagram's body; None if `verify` gives none or it is not of `message_type`."""
    body = verify(data, version, secret)
    if body is None:
        return None
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except msgspec.MsgspecError:
        return None
