"""Questions as the node list agent reads them, and the list in its answers."""

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

HEALTH = {"in_service": Health.READY, "terminating": Health.DRAINING, "terminated": Health.GONE}

AWAY = (429, 503, 504)  # it has no turn to give just now


def node_number(host: str) -> int:
    """A stock node's number: alike on every ingress, whatever address it is reached at."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=6).digest(), "big")


def question_bytes(since: int | None, wait: timedelta) -> bytes:
    query = "" if since is None else f"?since={since}&timeout_ms={wait // timedelta(milliseconds=1)}"
    return f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: node-list\r\n\r\n".encode("ascii")


def finite(value: Any) -> float:
    """A figure of a list; what is none, or has no end, makes the list unreadable."""
    figure = float(value)
    if not math.isfinite(figure):
        raise ValueError("not a finite figure")
    return figure


def read_nodes(lines: Sequence[Any], zones: Sequence[str]) -> tuple[ListedServer, ...]:
    """The stock nodes of a list; raises what an unreadable line raises."""
    nodes = []
    for line in lines:
        site = str(line.get("site", ""))
        entry = ServerEntry(
            node_number(str(line["host"])),
            HEALTH[line["health"]],
            zones.index(site) if site in zones else len(zones),
            int(line.get("block", 0)),
            finite(line.get("born_ms", 0)) / 1000.0,
            finite(line.get("share", 1.0)),
        )
        nodes.append(ListedServer(str(line.get("dial", "")), entry))
    return tuple(nodes)


class NodeListReader:
    """Reads answers in the words of this deployment's zones."""

    def __init__(self, zones: Sequence[str]) -> None:
        self.zones = zones

    def understand(self, line: int, reply: Reply) -> ServerListAnswered:
        unread = ServerListAnswered(line, False)
        if reply.status in AWAY:
            return ServerListAnswered(line, False, refused=True)
        if reply.status != 200:
            return unread
        try:
            told = json.loads(reply.body)
            nodes = read_nodes(told["hosts"], self.zones)
            kind = ListKind.COMPLETE if told["whole"] else ListKind.CHANGES
            return ServerListAnswered(line, reply.keep, int(told["seq"]), kind, nodes)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError):
            return unread
