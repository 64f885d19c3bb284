"""The protocol of the shared quota counter: calls, and what its answers mean."""

from __future__ import annotations

import re
from datetime import timedelta

from opalgauge.memory.events import CounterAnswered
from opalgauge.wire.upstream import Reply
from starlinggap.interface import End

MAX_AMOUNT = 1e9
MAX_TTL = timedelta(seconds=60)
REJECTED_STATUSES = (503, 400, 404)  # the counter has added nothing
TOTAL_PATTERN = re.compile(rb"\s*[-+]?(\d+(\.\d*)?|\.\d+)([eE][-+]?\d{1,2})?\s*")


def encode_call(name: int, amount: float, ttl: timedelta) -> bytes:
    """Encodes a call that adds `amount` to the count `name`; a new count expires after `ttl`.

    Both are limited to what the counter accepts.
    """
    amount = min(MAX_AMOUNT, max(-MAX_AMOUNT, amount))
    by = f"{amount:.6f}".rstrip("0").rstrip(".")
    expire = max(1, min(MAX_TTL, ttl) // timedelta(milliseconds=1))
    return (
        f"POST /counters/{name:x}?by={by}&expire_ms={expire} HTTP/1.1\r\n"
        "Host: quota-counter\r\nContent-Length: 0\r\n\r\n"
    ).encode("ascii")


def parse_total(connection_id: int, reply: Reply) -> CounterAnswered:
    """Parses the count's new total. A rejected call has added nothing, an unreadable answer may have."""
    if reply.status in REJECTED_STATUSES:
        return CounterAnswered(connection_id, End.REJECTED, 0.0, reply.keep_alive)
    if reply.status != 200 or not TOTAL_PATTERN.fullmatch(reply.body):
        # The connection is not kept: after an answer like this, the next calls on it may all time out.
        return CounterAnswered(connection_id, End.ERROR, 0.0, False)
    return CounterAnswered(connection_id, End.OK, float(reply.body), reply.keep_alive)
