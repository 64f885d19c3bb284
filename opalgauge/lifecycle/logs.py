"""Log lines: plain ones for the platform, structlog's where settings of our own are used.

A line's first words name its subject (`ready:`, `reload:`, `worker:` …) as docs/on-call.md lists them.
Nothing is written for single requests.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable
from typing import Any

Log = Callable[[str], None]


def plain(text: str) -> None:
    # Guards serving against a log that cannot be written for now: its disk is full, or its reader has gone.
    with contextlib.suppress(OSError, ValueError):
        print(f"opalgauge: {text}", file=sys.stderr, flush=True)


def make_log(form: str, **always: Any) -> Log:
    """A log of the given form: plain, text (key=value behind the line) or json; `always`: on each."""
    if form == "plain":
        return plain
    import structlog

    stamp = structlog.processors.TimeStamper(fmt="iso", utc=True, key="time")
    if form == "json":
        rename = structlog.processors.EventRenamer("line")
        chain: list[Any] = [stamp, rename, structlog.processors.JSONRenderer()]
    else:
        chain = [stamp, _key_value]
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), processors=chain, wrapper_class=structlog.BoundLogger
    ).bind(**always)

    def log(text: str) -> None:
        with contextlib.suppress(OSError, ValueError):
            logger.msg(text, subject=text.partition(":")[0])

    return log


def _key_value(_: Any, __: str, told: dict[str, Any]) -> str:
    """`opalgauge: LINE key=value …`, recognisable beside the plain form."""
    import structlog

    line = told.pop("event")
    rest = structlog.processors.LogfmtRenderer(sort_keys=True)(_, __, told)
    return f"opalgauge: {line} {rest}"
