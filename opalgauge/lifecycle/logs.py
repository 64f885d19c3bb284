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


def log_plain(text: str) -> None:
    # Guards serving against a log that cannot be written for now: its disk is full, or its reader has gone.
    with contextlib.suppress(OSError, ValueError):
        print(f"opalgauge: {text}", file=sys.stderr, flush=True)


def make_log(log_format: str, **context: Any) -> Log:
    """A log of the given form: plain, text (key=value behind the line) or json; `always`: on each."""
    if log_format == "plain":
        return log_plain
    import structlog

    timestamper = structlog.processors.TimeStamper(fmt="iso", utc=True, key="time")
    if log_format == "json":
        event_renamer = structlog.processors.EventRenamer("line")
        processors: list[Any] = [timestamper, event_renamer, structlog.processors.JSONRenderer()]
    else:
        processors = [timestamper, _render_key_value]
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), processors=processors, wrapper_class=structlog.BoundLogger
    ).bind(**context)

    def log(text: str) -> None:
        with contextlib.suppress(OSError, ValueError):
            logger.msg(text, subject=text.partition(":")[0])

    return log


def _render_key_value(_: Any, __: str, event_dict: dict[str, Any]) -> str:
    """`opalgauge: LINE key=value …`, recognisable beside the plain form."""
    import structlog

    line = event_dict.pop("event")
    fields = structlog.processors.LogfmtRenderer(sort_keys=True)(_, __, event_dict)
    return f"opalgauge: {line} {fields}"
