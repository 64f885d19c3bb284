"""KNOWN-RED.txt: tests that fail for a fault that is known, and is mended first in the next sitting.

A line each: the test's name as pytest gives it, its cause, its issue, parted by ` | `. Three lines at most.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST = 3
ISSUE = re.compile(r"issue \d+")


class Unusable(ValueError):
    """The list itself is at fault; the message says why in one line."""


@dataclass(frozen=True)
class Red:
    test: str
    cause: str
    issue: str


def read(text: str) -> tuple[Red, ...]:
    reds = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not ISSUE.fullmatch(parts[2]):
            raise Unusable(f"KNOWN-RED.txt: not `test | cause | issue N`: {line}")
        reds.append(Red(*parts))
    if len(reds) > MOST:
        raise Unusable(f"KNOWN-RED.txt: {len(reds)} lines; {MOST} at most")
    if len({red.test for red in reds}) < len(reds):
        raise Unusable("KNOWN-RED.txt: a test stands there twice")
    return tuple(reds)


def unknown(reds: tuple[Red, ...], tests: set[str]) -> list[str]:
    """What is listed and is no test."""
    return [red.test for red in reds if red.test not in tests]
