"""Log lines on stderr: plain ones for the platform, structlog's with a settings file.

A line starts with its subject (`ready:`, `reload:`, `worker:` …); docs/on-call.md lists them. Single requests
are not logged.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable
from typing import Any

Log = Callable[[str], None]


def log_plain(text: str) -> None:
    """Writes a plain line to stderr."""
    # A log that cannot be written (disk full, or its reader has gone) must not stop service.
    with contextlib.suppress(OSError, ValueError):
        print(f"opalgauge: {text}", file=sys.stderr, flush=True)


def make_log(log_format: str, **context: Any) -> Log:
    """Returns a log function of the given format.

    `log_format` is plain, text (the line, then key=value pairs) or json. The `context` values are added to
    each line that is not plain.
    """
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


def _render_key_value(logger: Any, method_name: str, event_dict: dict[str, Any]) -> str:
    """Renders `opalgauge: LINE key=value …`, which starts like a plain line."""
    import structlog

    line = event_dict.pop("event")
    fields = structlog.processors.LogfmtRenderer(sort_keys=True)(logger, method_name, event_dict)
    return f"opalgauge: {line} {fields}"
