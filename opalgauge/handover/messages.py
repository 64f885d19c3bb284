"""The messages between two processes of one ingress: one line of JSON each. No I/O, no clock.

An unknown message is ignored, as the other process may run another version.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from opalgauge.memory.bans import InvalidBans, bans_from_plain, bans_to_plain
from opalgauge.memory.events import BanStatus, ListedServer, ToldList
from starlinggap.interface import Health, ServerEntry

MAX_MESSAGE_BYTES = 1 << 20  # a longer message is not sent


@dataclass(frozen=True, slots=True)
class Serving:
    """Whether the sender accepts clients: from when it is ready until it is asked to stop."""

    serving: bool


@dataclass(frozen=True, slots=True)
class Bans:
    """The bans of servers that the sender knows of."""

    bans: tuple[BanStatus, ...]


@dataclass(frozen=True, slots=True)
class List:
    """The server list, as the discovery agent has told the sender."""

    told: ToldList


Message = Serving | Bans | List


def encode(message: Message) -> bytes:
    """Encodes a message as a line."""
    match message:
        case Serving(serving):
            content: dict[str, object] = {"serving": serving}
        case Bans(bans):
            content = {"bans": bans_to_plain(bans)}
        case List(told):
            rows = [_server_to_plain(server) for server in told.servers]
            content = {"list": {"agent": told.agent_address, "version": told.version, "servers": rows}}
    return json.dumps(content, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> Message | None:
    """Decodes a line; None if it cannot be read or its message is unknown."""
    try:
        content = json.loads(line)
        if not isinstance(content, dict):
            return None
        if isinstance(serving := content.get("serving"), bool):
            return Serving(serving)
        if "list" in content:
            plain = content["list"]
            servers = tuple(map(_server_from_plain, plain["servers"]))
            return List(ToldList(str(plain["agent"]), int(plain["version"]), servers))
        return Bans(bans_from_plain(content["bans"])) if "bans" in content else None
    except (InvalidBans, ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def _server_to_plain(server: ListedServer) -> list[Any]:
    entry = server.entry
    return [
        server.address, entry.server, entry.health.value, entry.zone, entry.cell, entry.started, entry.weight
    ]  # fmt: skip


def _server_from_plain(plain: Any) -> ListedServer:
    address, server_id, health, zone, cell, started, weight = plain
    return ListedServer(
        str(address),
        ServerEntry(int(server_id), Health(health), int(zone), int(cell), float(started), float(weight)),
    )
