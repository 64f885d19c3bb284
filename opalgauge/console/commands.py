"""Parses the commands of the admin endpoint and formats its answers. No I/O, no clock."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from opalgauge.memory.state import StatusReport

MAX_LINE = 512  # bytes of a command, line end included
SERVER_ID = re.compile(r"[!-~]{1,128}")  # visible ASCII


@dataclass(frozen=True, slots=True)
class Status:
    """Asks whether this process serves."""


@dataclass(frozen=True, slots=True)
class Stats:
    """Asks for the statistics."""


@dataclass(frozen=True, slots=True)
class Record:
    """Asks for the flight record: the latest events and effects."""


@dataclass(frozen=True, slots=True)
class ChangeBan:
    """Takes a server out of use, or returns it."""

    server_name: str
    banned: bool


@dataclass(frozen=True, slots=True)
class InvalidCommand:
    """A line that is not a command; `reason` is the answer."""

    reason: str


Command = Status | Stats | Record | ChangeBan | InvalidCommand


def parse(line: bytes) -> Command:
    """Parses a line, with or without its line end. Never raises."""
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
    """Returns a line that starts with 200 or 400."""
    return f"{200 if success else 400} {text}\n".encode("ascii", "replace")


def format_record(lines: Sequence[str]) -> bytes:
    """Returns a line that starts with 200, one line per entry, and the line EOF."""
    return "\n".join(["200 record", *lines, "EOF\n"]).encode("ascii", "replace")


def format_statistics(
    report: StatusReport, class_names: Sequence[str], extra_lines: Sequence[str] = ()
) -> bytes:
    """Returns a line that starts with 200, one line per figure, the extra lines, and the line EOF."""
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
