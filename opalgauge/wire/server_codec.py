"""The HTTP protocol of the servers: attempts and probes, and what the answers to them mean."""

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
FORBIDDEN_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")  # what no header's value may hold
PROBE_REQUEST = b"GET /status/load HTTP/1.1\r\nHost: stock-node\r\n\r\n"


def encode_attempt(http_request: HttpRequest, time_left: timedelta) -> bytes:
    """Encodes an attempt: the client's method, target, forwarded headers and body, with its own time left.

    If only the start of the body is known so far, the head announces the rest.
    """
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
    """Encodes a part of a chunked body; an empty part gives nothing, as an empty chunk would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"


def parse_load_report(text: str) -> dict[str, float]:
    """Parses a load report of `name=value` pairs; what is unknown, malformed or out of range is left out."""
    report: dict[str, float] = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        try:
            report[name.strip()] = float(value)
        except ValueError:
            continue
    return {k: v for k, v in report.items() if k in LOAD_FIELDS and 0 <= v < math.inf}


def parse_true_units(headers: Mapping[str, str]) -> float | None:
    """The units that the server found the request to cost; None if not stated or not plausible."""
    units = headers.get("X-Cost-Units", "")
    # Without a plausible number, the account stays charged with the units that were stated beforehand.
    return float(units) if UNITS_PATTERN.fullmatch(units) and float(units) > 0 else None


def parse_content_type(headers: Mapping[str, str]) -> str | None:
    """The Content-Type, which is passed on to the client; None if it cannot be written in a head.

    aiohttp accepts control characters in an answer and refuses to write them.
    """
    content_type = headers.get("Content-Type", "")
    return None if FORBIDDEN_PATTERN.search(content_type) else content_type


def parse_attempt_reply(connection_id: int, reply: Reply) -> ServerAnswered:
    """Parses the answer to an attempt. It is rejected, so that nothing ran, only if it says so explicitly.

    One that cannot be passed on is a failed attempt, which may have run.
    """
    headers: Mapping[str, str] = reply.head.headers
    load = parse_load_report(headers.get("X-Backend-Load", ""))
    if reply.status == 200:
        content_type = parse_content_type(headers)
        if content_type is None:
            return ServerAnswered(connection_id, End.ERROR, False, load=load)
        return ServerAnswered(
            connection_id, End.OK, reply.keep_alive, reply.body, content_type, load, parse_true_units(headers)
        )
    if reply.status in (503, 504) and headers.get("X-Unprocessed") == "1":
        return ServerAnswered(connection_id, End.REJECTED, reply.keep_alive, load=load)
    return ServerAnswered(connection_id, End.ERROR, reply.keep_alive, load=load)


def parse_stream_start(
    connection_id: int, reply: Reply, length: int | None
) -> StreamedAnswerStarted | ServerAnswered:
    """Parses the head of a successful answer that is too long to be buffered."""
    headers: Mapping[str, str] = reply.head.headers
    load = parse_load_report(headers.get("X-Backend-Load", ""))
    content_type = parse_content_type(headers)
    if content_type is None:
        return ServerAnswered(connection_id, End.ERROR, False, load=load)
    return StreamedAnswerStarted(connection_id, content_type, length, load, parse_true_units(headers))


def parse_probe_reply(connection_id: int, reply: Reply) -> ServerAnswered:
    """Parses the answer to a probe: a load report."""
    if reply.status != 200:
        return ServerAnswered(
            connection_id, End.REJECTED if reply.status == 503 else End.ERROR, reply.keep_alive
        )
    return ServerAnswered(
        connection_id, End.OK, reply.keep_alive, load=parse_load_report(reply.body.decode("ascii", "replace"))
    )
