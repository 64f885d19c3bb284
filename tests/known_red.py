"""Reads KNOWN-RED.txt, the list of tests that fail for a known cause, which is to be fixed next.

Each line holds the test's pytest node ID, the cause and the issue, separated by ` | `. Three lines at most.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_ENTRIES = 3
ISSUE_PATTERN = re.compile(r"issue \d+")


class InvalidList(ValueError):
    """The list cannot be used; the message is one line."""


@dataclass(frozen=True)
class KnownFailure:
    """A line of the list."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Parses the list. Raises InvalidList."""
    failures = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not ISSUE_PATTERN.fullmatch(parts[2]):
            raise InvalidList(f"KNOWN-RED.txt: not `test | cause | issue N`: {line}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_ENTRIES:
        raise InvalidList(f"KNOWN-RED.txt: {len(failures)} lines; {MAX_ENTRIES} at most")
    if len({failure.test for failure in failures}) < len(failures):
        raise InvalidList("KNOWN-RED.txt: a test is listed twice")
    return tuple(failures)


def unknown(failures: tuple[KnownFailure, ...], tests: set[str]) -> list[str]:
    """Returns the listed names that are not among the tests."""
    return [failure.test for failure in failures if failure.test not in tests]
