"""What staff can say at the endpoint, and how it is answered. No I/O, no clock."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from opalgauge.memory.state import StatusReport

MAX_LINE = 512  # bytes of a call, its line end included
SERVER_ID = re.compile(r"[!-~]{1,128}")  # visible ASCII


@dataclass(frozen=True, slots=True)
class Status:
    """Can this process serve?"""


@dataclass(frozen=True, slots=True)
class Stats:
    """The figures."""


@dataclass(frozen=True, slots=True)
class Record:
    """What the process did last."""


@dataclass(frozen=True, slots=True)
class ChangeBan:
    """A stock node out of use, or back."""

    server_name: str
    banned: bool


@dataclass(frozen=True, slots=True)
class InvalidCommand:
    """No call; `why` is what the caller is told."""

    reason: str


Command = Status | Stats | Record | ChangeBan | InvalidCommand


def parse(line: bytes) -> Command:
    """A call's line, with or without its end. Never raises."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return InvalidCommand("not plain text")
    match words:
        case ["status"]:
            return Status()
        case ["stats"]:
            return Stats()
        case ["record"]:
            return Record()
        case ["maint-on" | "maint-off" as word, name] if SERVER_ID.fullmatch(name):
            return ChangeBan(name, word == "maint-on")
        case []:
            return InvalidCommand("no call")
        case ["status" | "stats" | "record" as word, *_]:
            return InvalidCommand(f"{word} takes no argument")
        case ["maint-on" | "maint-off" as word, *_]:
            return InvalidCommand(f"{word} takes one stock node's ID")
        case _:
            return InvalidCommand("unknown call; known are status, stats, record, maint-on ID, maint-off ID")


def format_answer(success: bool, text: str) -> bytes:
    """One line that begins with 200 or 400."""
    return f"{200 if success else 400} {text}\n".encode("ascii", "replace")


def format_record(lines: Sequence[str]) -> bytes:
    """A line that begins with 200, a line an entry, and the line EOF."""
    return "\n".join(["200 record", *lines, "EOF\n"]).encode("ascii", "replace")


def format_statistics(
    report: StatusReport, class_names: Sequence[str], extra_lines: Sequence[str] = ()
) -> bytes:
    """A line that begins with 200, a line a figure, `more` of them, and the line EOF."""
    lines = ["200 figures"]
    for name, counts in (
        ("passed", report.served),
        ("dropped", report.refused),
        ("bad_gateway", report.failed),
    ):
        lines += [
            f"{name}.{class_name}={count}" for class_name, count in zip(class_names, counts, strict=True)
        ]
    lines += [
        f"upstream_tries={report.attempts}",
        f"in_progress={report.in_progress}",
        f"known_backends={report.known_servers}",
        f"skipped_backends={report.avoided_servers}",
        *extra_lines,
        "EOF\n",
    ]
    return "\n".join(lines).encode("ascii", "replace")
