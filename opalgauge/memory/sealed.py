"""What all messages between ingresses have in common: a version, a body, a keyed digest. No I/O."""

from __future__ import annotations

import hashlib
import hmac
from typing import TypeVar

import msgspec

T = TypeVar("T")

SEAL = 8  # bytes of BLAKE2b
LONGEST = 256  # bytes: the platform voids a run for a longer datagram
VERSION = 2  # bytes of a datagram, by which its reader is found


def _digest(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret[:64], digest_size=SEAL).digest()


def seal(version: bytes, body: bytes, secret: bytes) -> bytes:
    return version + body + _digest(version + body, secret)


def unseal(data: bytes, version: bytes, secret: bytes) -> bytes | None:
    """The body; None where the datagram is torn, too long, of another version or sealed otherwise."""
    whole, told = data[:-SEAL], data[-SEAL:]
    if len(data) > LONGEST or not whole.startswith(version):
        return None
    return whole[len(version) :] if hmac.compare_digest(told, _digest(whole, secret)) else None


def opened(data: bytes, version: bytes, secret: bytes, form: type[T]) -> T | None:
    """What a datagram says, in its form; None where it is torn, foreign or of another form."""
    body = unseal(data, version, secret)
    if body is None:
        return None
    try:
        return msgspec.msgpack.decode(body, type=form)
    except msgspec.MsgspecError:
        return None
