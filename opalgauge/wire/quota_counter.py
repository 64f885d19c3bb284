"""Calls as the quota counter reads them, and what its answers mean."""

from __future__ import annotations

import re
from datetime import timedelta

from opalgauge.memory.events import CounterAnswered
from opalgauge.wire.upstream import Reply
from starlinggap.interface import End

MOST_AMOUNT = 1e9
LONGEST_LIFE = timedelta(seconds=60)
AWAY = (503, 400, 404)  # nothing was added
TOTAL = re.compile(rb"\s*[-+]?(\d+(\.\d*)?|\.\d+)([eE][-+]?\d{1,2})?\s*")


def call_bytes(name: int, amount: float, life: timedelta) -> bytes:
    amount = min(MOST_AMOUNT, max(-MOST_AMOUNT, amount))
    by = f"{amount:.6f}".rstrip("0").rstrip(".")
    expire = max(1, min(LONGEST_LIFE, life) // timedelta(milliseconds=1))
    return (
        f"POST /counters/{name:x}?by={by}&expire_ms={expire} HTTP/1.1\r\n"
        "Host: quota-counter\r\nContent-Length: 0\r\n\r\n"
    ).encode("ascii")


def understand_total(line: int, reply: Reply) -> CounterAnswered:
    """A call that was turned away, or was none, has added nothing; whatever else cannot be read may have."""
    if reply.status in AWAY:
        return CounterAnswered(line, End.REJECTED, 0.0, reply.keep)
    if reply.status != 200 or not TOTAL.fullmatch(reply.body):
        # Guards against waiting on a connection that is of no further use: its next calls would all time out.
        return CounterAnswered(line, End.ERROR, 0.0, False)
    return CounterAnswered(line, End.OK, float(reply.body), reply.keep)
