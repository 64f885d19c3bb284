"""Attempts and probes as the stock nodes read them, and what their answers mean."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from datetime import timedelta

from opalgauge.memory.events import HttpRequest, ServerAnswered, StreamedAnswerStarted
from opalgauge.wire.upstream import Reply
from starlinggap.interface import End

LOADS = {"latency_ms", "inflight", "util", "queue", "qps", "eps"}
UNITS = re.compile(r"[0-9]{1,6}(\.[0-9]{0,9})?")
PROBE = b"GET /status/load HTTP/1.1\r\nHost: stock-node\r\n\r\n"


def attempt_bytes(errand: HttpRequest, time_left: timedelta) -> bytes:
    """The client's own method, path, query, id, key and body; the time is what this attempt is given."""
    if errand.has_more_body and errand.body_length is None:
        length, body = "Transfer-Encoding: chunked\r\n", chunk(errand.body)
    else:
        size, body = errand.body_length if errand.has_more_body else len(errand.body), errand.body
        length = f"Content-Length: {size}\r\n" if size or errand.method != "GET" else ""
    kind = "".join(f"{name}: {value}\r\n" for name, value in errand.headers)
    head = (
        f"{errand.method} {errand.target} HTTP/1.1\r\nHost: stock-node\r\n"
        f"X-Correlation-Id: {errand.correlation_id}\r\nX-Time-Left: {time_left.total_seconds():.3f}\r\n"
        f"{kind}{length}\r\n"
    )
    return head.encode("utf-8", "surrogateescape") + body


def chunk(data: bytes) -> bytes:
    """A part of a body whose length is not known; an empty one would end it."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"


def load_report(text: str) -> dict[str, float]:
    """The values of a load report; what cannot be read is left out."""
    report: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            report[name.strip()] = float(value)
        except ValueError:
            continue
    return {k: v for k, v in report.items() if k in LOADS and 0 <= v < math.inf}


def true_units(headers: Mapping[str, str]) -> float | None:
    """What the request was found to take, in units; None where it is not told, or cannot be meant."""
    told = headers.get("X-Cost-Units", "")
    # Guards an account's count against a figure that is none: what was told before stays charged.
    return float(told) if UNITS.fullmatch(told) and float(told) > 0 else None


def understand_attempt(line: int, reply: Reply) -> ServerAnswered:
    headers: Mapping[str, str] = reply.headers.headers
    load = load_report(headers.get("X-Backend-Load", ""))
    if reply.status == 200:
        kind = headers.get("Content-Type", "")
        return ServerAnswered(line, End.OK, reply.keep, reply.body, kind, load, true_units(headers))
    if reply.status in (503, 504) and headers.get("X-Unprocessed") == "1":
        return ServerAnswered(line, End.REJECTED, reply.keep, load=load)
    return ServerAnswered(line, End.ERROR, reply.keep, load=load)


def understand_flow(line: int, reply: Reply, length: int | None) -> StreamedAnswerStarted:
    """A good answer that is too long to be held."""
    headers: Mapping[str, str] = reply.headers.headers
    load = load_report(headers.get("X-Backend-Load", ""))
    return StreamedAnswerStarted(line, headers.get("Content-Type", ""), length, load, true_units(headers))


def understand_probe(line: int, reply: Reply) -> ServerAnswered:
    if reply.status != 200:
        return ServerAnswered(line, End.REJECTED if reply.status == 503 else End.ERROR, reply.keep)
    return ServerAnswered(line, End.OK, reply.keep, load=load_report(reply.body.decode("ascii", "replace")))
