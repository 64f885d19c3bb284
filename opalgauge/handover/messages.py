"""The messages between two processes of one ingress: one line of JSON each. No I/O, no clock.

An unknown message is ignored, as the other process may run another version.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from opalgauge.memory.bans import InvalidBans, bans_from_plain, bans_to_plain
from opalgauge.memory.events import BanStatus

MAX_MESSAGE_BYTES = 1 << 20  # a longer message is not sent


@dataclass(frozen=True, slots=True)
class Serving:
    """Whether the sender accepts clients: from when it is ready until it is asked to stop."""

    serving: bool


@dataclass(frozen=True, slots=True)
class Bans:
    """The bans of servers that the sender knows of."""

    bans: tuple[BanStatus, ...]


Message = Serving | Bans


def encode(message: Message) -> bytes:
    """Encodes a message as a line."""
    match message:
        case Serving(serving):
            content: dict[str, object] = {"serving": serving}
        case Bans(bans):
            content = {"bans": bans_to_plain(bans)}
    return json.dumps(content, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> Message | None:
    """Decodes a line; None if it cannot be read or its message is unknown."""
    try:
        content = json.loads(line)
        if not isinstance(content, dict):
            return None
        if isinstance(serving := content.get("serving"), bool):
            return Serving(serving)
        return Bans(bans_from_plain(content["bans"])) if "bans" in content else None
    except (InvalidBans, ValueError, RecursionError):
        return None
