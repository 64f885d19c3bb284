"""What staff can say at the endpoint, and how it is answered. No I/O, no clock."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from opalgauge.memory.state import StatusReport

MOST_LINE = 512  # bytes of a call, its line end included
ID = re.compile(r"[!-~]{1,128}")  # visible ASCII


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
class Maint:
    """A stock node out of use, or back."""

    name: str
    out: bool


@dataclass(frozen=True, slots=True)
class Wrong:
    """No call; `why` is what the caller is told."""

    why: str


Call = Status | Stats | Record | Maint | Wrong


def understand(line: bytes) -> Call:
    """A call's line, with or without its end. Never raises."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return Wrong("not plain text")
    match words:
        case ["status"]:
            return Status()
        case ["stats"]:
            return Stats()
        case ["record"]:
            return Record()
        case ["maint-on" | "maint-off" as word, name] if ID.fullmatch(name):
            return Maint(name, word == "maint-on")
        case []:
            return Wrong("no call")
        case ["status" | "stats" | "record" as word, *_]:
            return Wrong(f"{word} takes no argument")
        case ["maint-on" | "maint-off" as word, *_]:
            return Wrong(f"{word} takes one stock node's ID")
        case _:
            return Wrong("unknown call; known are status, stats, record, maint-on ID, maint-off ID")


def answer(yes: bool, text: str) -> bytes:
    """One line that begins with 200 or 400."""
    return f"{200 if yes else 400} {text}\n".encode("ascii", "replace")


def record(lines: Sequence[str]) -> bytes:
    """A line that begins with 200, a line an entry, and the line EOF."""
    return "\n".join(["200 record", *lines, "EOF\n"]).encode("ascii", "replace")


def figures(told: StatusReport, kinds: Sequence[str], more: Sequence[str] = ()) -> bytes:
    """A line that begins with 200, a line a figure, `more` of them, and the line EOF."""
    lines = ["200 figures"]
    for name, counts in (("passed", told.served), ("dropped", told.refused), ("bad_gateway", told.failed)):
        lines += [f"{name}.{kind}={count}" for kind, count in zip(kinds, counts, strict=True)]
    lines += [
        f"upstream_tries={told.attempts}",
        f"in_progress={told.in_progress}",
        f"known_backends={told.known_servers}",
        f"skipped_backends={told.avoided_servers}",
        *more,
        "EOF\n",
    ]
    return "\n".join(lines).encode("ascii", "replace")
