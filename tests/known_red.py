"""KNOWN-RED.txt: tests that fail for a fault that is known, and is mended first in the next sitting.

A line each: the test's name as pytest gives it, its cause, its issue, parted by ` | `. Three lines at most.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_ENTRIES = 3
ISSUE_PATTERN = re.compile(r"issue \d+")


class InvalidList(ValueError):
    """The list itself is at fault; the message says why in one line."""


@dataclass(frozen=True)
class KnownFailure:
    test: str
    cause: str
    issue: str


def parse(text: str) -> tuple[KnownFailure, ...]:
    failures = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not ISSUE_PATTERN.fullmatch(parts[2]):
            raise InvalidList(f"KNOWN-RED.txt: not `test | cause | issue N`: {line}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_ENTRIES:
        raise InvalidList(f"KNOWN-RED.txt: {len(failures)} lines; {MAX_ENTRIES} at most")
    if len({failure.test for failure in failures}) < len(failures):
        raise InvalidList("KNOWN-RED.txt: a test stands there twice")
    return tuple(failures)


def unknown(failures: tuple[KnownFailure, ...], tests: set[str]) -> list[str]:
    """What is listed and is no test."""
    return [failure.test for failure in failures if failure.test not in tests]
