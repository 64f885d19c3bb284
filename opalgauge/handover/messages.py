"""What two processes of one ingress tell each other while both live: a line of JSON each. No I/O, no clock.

A line that is not understood is passed over: the other process may be of another version.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from opalgauge.memory.bans import InvalidBans, bans_from_plain, bans_to_plain
from opalgauge.memory.events import BanStatus

MAX_MESSAGE_BYTES = 1 << 20  # bytes of a line; what is longer is not told


@dataclass(frozen=True, slots=True)
class Serving:
    """Whether the sender accepts clients and goes on doing so: from when it is ready until it is to stop."""

    serving: bool


@dataclass(frozen=True, slots=True)
class Bans:
    """What staff have said of servers, as the sender knows it."""

    bans: tuple[BanStatus, ...]


Message = Serving | Bans


def encode(message: Message) -> bytes:
    match message:
        case Serving(serving):
            content: dict[str, object] = {"serving": serving}
        case Bans(bans):
            content = {"bans": bans_to_plain(bans)}
    return json.dumps(content, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> Message | None:
    try:
        content = json.loads(line)
        if not isinstance(content, dict):
            return None
        if isinstance(serving := content.get("serving"), bool):
            return Serving(serving)
        return Bans(bans_from_plain(content["bans"])) if "bans" in content else None
    except (InvalidBans, ValueError, RecursionError):
        return None
