"""The protocol of the discovery agent: requests for the server list, and its answers."""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

from opalgauge.memory.events import ListedServer, ServerListAnswered
from opalgauge.wire.upstream import Reply
from starlinggap.interface import Health, ListKind, ServerEntry

HEALTH_BY_NAME = {"in_service": Health.READY, "terminating": Health.DRAINING, "terminated": Health.GONE}

UNAVAILABLE_STATUSES = (429, 503, 504)  # the agent cannot answer now; its last list stays valid


def server_id_for(host: str) -> int:
    """A server's id, derived from its host name: the same on every ingress, whatever its address."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=6).digest(), "big")


def encode_list_request(since_version: int | None, wait: timedelta) -> bytes:
    """Requests the changes since a version, for which the agent waits up to `wait`, or the whole list."""
    query = (
        ""
        if since_version is None
        else f"?since={since_version}&timeout_ms={wait // timedelta(milliseconds=1)}"
    )
    return f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: node-list\r\n\r\n".encode("ascii")


def finite_float(value: Any) -> float:
    """Converts a number in a list; raises ValueError or TypeError if it is none or not finite."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("not a finite figure")
    return number


def parse_servers(hosts: Sequence[Any], zones: Sequence[str]) -> tuple[ListedServer, ...]:
    """Parses the servers of a list.

    A zone that is not in `zones` gets the index after the last one. Raises ValueError, KeyError, TypeError,
    AttributeError or OverflowError for an entry that cannot be read.
    """
    servers = []
    for host in hosts:
        zone_name = str(host.get("site", ""))
        entry = ServerEntry(
            server_id_for(str(host["host"])),
            HEALTH_BY_NAME[host["health"]],
            zones.index(zone_name) if zone_name in zones else len(zones),
            int(host.get("block", 0)),
            finite_float(host.get("born_ms", 0)) / 1000.0,
            finite_float(host.get("share", 1.0)),
        )
        servers.append(ListedServer(str(host.get("dial", "")), entry))
    return tuple(servers)


class ServerListReader:
    """Parses the agent's answers; `zones` are the names of the deployment's zones, in order."""

    def __init__(self, zones: Sequence[str]) -> None:
        self.zones = zones

    def parse_reply(self, connection_id: int, reply: Reply) -> ServerListAnswered:
        """Parses an answer; an unreadable one gives an event without servers."""
        unreadable = ServerListAnswered(connection_id, False)
        if reply.status in UNAVAILABLE_STATUSES:
            return ServerListAnswered(connection_id, False, refused=True)
        if reply.status != 200:
            return unreadable
        try:
            content = json.loads(reply.body)
            servers = parse_servers(content["hosts"], self.zones)
            list_kind = ListKind.COMPLETE if content["whole"] else ListKind.CHANGES
            return ServerListAnswered(
                connection_id, reply.keep_alive, int(content["seq"]), list_kind, servers
            )
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError):
            return unreadable
