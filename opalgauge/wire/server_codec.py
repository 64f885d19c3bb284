"""Attempts and probes as the stock nodes read them, and what their answers mean."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from datetime import timedelta

from opalgauge.memory.events import HttpRequest, ServerAnswered, StreamedAnswerStarted
from opalgauge.wire.upstream import Reply
from starlinggap.interface import End

LOAD_FIELDS = {"latency_ms", "inflight", "util", "queue", "qps", "eps"}
UNITS_PATTERN = re.compile(r"[0-9]{1,6}(\.[0-9]{0,9})?")
PROBE_REQUEST = b"GET /status/load HTTP/1.1\r\nHost: stock-node\r\n\r\n"


def encode_attempt(http_request: HttpRequest, time_left: timedelta) -> bytes:
    """The client's own method, path, query, id, key and body; the time is what this attempt is given."""
    if http_request.has_more_body and http_request.body_length is None:
        length, body = "Transfer-Encoding: chunked\r\n", encode_chunk(http_request.body)
    else:
        size, body = (
            http_request.body_length if http_request.has_more_body else len(http_request.body),
            http_request.body,
        )
        length = f"Content-Length: {size}\r\n" if size or http_request.method != "GET" else ""
    headers = "".join(f"{name}: {value}\r\n" for name, value in http_request.headers)
    head = (
        f"{http_request.method} {http_request.target} HTTP/1.1\r\nHost: stock-node\r\n"
        f"X-Correlation-Id: {http_request.correlation_id}\r\nX-Time-Left: {time_left.total_seconds():.3f}\r\n"
        f"{headers}{length}\r\n"
    )
    return head.encode("utf-8", "surrogateescape") + body


def encode_chunk(data: bytes) -> bytes:
    """A part of a body whose length is not known; an empty one would end it."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"


def parse_load_report(text: str) -> dict[str, float]:
    """The values of a load report; what cannot be read is left out."""
    report: dict[str, float] = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        try:
            report[name.strip()] = float(value)
        except ValueError:
            continue
    return {k: v for k, v in report.items() if k in LOAD_FIELDS and 0 <= v < math.inf}


def parse_true_units(headers: Mapping[str, str]) -> float | None:
    """What the request was found to take, in units; None where it is not told, or cannot be meant."""
    units = headers.get("X-Cost-Units", "")
    # Guards an account's count against a figure that is none: what was told before stays charged.
    return float(units) if UNITS_PATTERN.fullmatch(units) and float(units) > 0 else None


def parse_attempt_reply(connection_id: int, reply: Reply) -> ServerAnswered:
    headers: Mapping[str, str] = reply.head.headers
    load = parse_load_report(headers.get("X-Backend-Load", ""))
    if reply.status == 200:
        content_type = headers.get("Content-Type", "")
        return ServerAnswered(
            connection_id, End.OK, reply.keep_alive, reply.body, content_type, load, parse_true_units(headers)
        )
    if reply.status in (503, 504) and headers.get("X-Unprocessed") == "1":
        return ServerAnswered(connection_id, End.REJECTED, reply.keep_alive, load=load)
    return ServerAnswered(connection_id, End.ERROR, reply.keep_alive, load=load)


def parse_stream_start(connection_id: int, reply: Reply, length: int | None) -> StreamedAnswerStarted:
    """A good answer that is too long to be held."""
    headers: Mapping[str, str] = reply.head.headers
    load = parse_load_report(headers.get("X-Backend-Load", ""))
    return StreamedAnswerStarted(
        connection_id, headers.get("Content-Type", ""), length, load, parse_true_units(headers)
    )


def parse_probe_reply(connection_id: int, reply: Reply) -> ServerAnswered:
    if reply.status != 200:
        return ServerAnswered(
            connection_id, End.REJECTED if reply.status == 503 else End.ERROR, reply.keep_alive
        )
    return ServerAnswered(
        connection_id, End.OK, reply.keep_alive, load=parse_load_report(reply.body.decode("ascii", "replace"))
    )
