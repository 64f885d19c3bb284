"""Parsers for single words of the settings file: numbers, durations, sizes, rates, addresses.

A parser returns the value of a word, or raises ValueError with a description of what it accepts.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

NUMBER_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")
DURATION_UNITS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS = {"": 1, "k": 1024, "M": 1024**2, "G": 1024**3}
RATE_PERIODS = {"s": 1.0, "m": 60.0, "h": 3600.0}
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_COUNT = 2**31 - 1


def number(word: str) -> float:
    """Parses a decimal number, 0 or more."""
    if not NUMBER_PATTERN.fullmatch(word):
        raise ValueError("a plain number, such as 2 or 0.55")
    return float(word)


def share(word: str) -> float:
    """Parses a share: above 0, and 1 at most."""
    value = number(word)
    if not 0 < value <= 1:
        raise ValueError("a share above 0 and up to 1, such as 0.15")
    return value


def count(word: str) -> int:
    """Parses a whole number, 0 or more."""
    if not word.isascii() or not word.isdigit() or int(word) > MAX_COUNT:
        raise ValueError("a whole number, such as 4")
    return int(word)


def positive_count(word: str) -> int:
    """Parses a whole number, 1 or more."""
    value = count(word)
    if value < 1:
        raise ValueError("a whole number of 1 or more")
    return value


def duration(word: str) -> timedelta:
    """Parses a duration with its unit, 0 or more."""
    match = re.fullmatch(rf"({NUMBER_PATTERN.pattern})(us|ms|s|m|h|d)", word)
    if not match:
        raise ValueError("a duration with its unit (us, ms, s, m, h, d), such as 250ms")
    return timedelta(seconds=float(match[1]) * DURATION_UNITS[match[3]])


def positive_duration(word: str) -> timedelta:
    """Parses a duration above 0 with its unit."""
    value = duration(word)
    if not value:
        raise ValueError("a duration above 0, such as 250ms")
    return value


def size(word: str) -> int:
    """Parses a size in bytes; k, M and G stand for powers of 1024."""
    match = re.fullmatch(r"([0-9]{1,9})([kMG]?)", word)
    if not match:
        raise ValueError("a size in bytes, or with k, M or G, such as 64k")
    return int(match[1]) * SIZE_UNITS[match[2]]


class Rate(float):
    """Units per second."""


def rate(word: str) -> Rate:
    """Parses units for a period, such as 90/m, into units per second."""
    match = re.fullmatch(rf"({NUMBER_PATTERN.pattern})/([smh])", word)
    if not match:
        raise ValueError("units for a time (s, m, h), such as 2.5/s or 90/m")
    return Rate(float(match[1]) / RATE_PERIODS[match[3]])


def switch(word: str) -> bool:
    """Parses on or off."""
    if word not in ("on", "off"):
        raise ValueError("on or off")
    return word == "on"


def address(word: str) -> str:
    """Checks `HOST:PORT` with an IP address and returns it unchanged. Host names are not resolved."""
    host, _, port = word.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("an IP address and a port, such as 127.0.0.1:5000") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("a port from 1 to 65535 behind the address, such as 127.0.0.1:5000")
    return word


def name(word: str) -> str:
    """Checks a name of ASCII letters, digits, dots, underscores and dashes."""
    if not NAME_PATTERN.fullmatch(word):
        raise ValueError("a name of letters, digits, dots, underscores and dashes, 63 at most")
    return word


def seed(word: str) -> str:
    """Checks a seed of hexadecimal digits, 64 bits at most."""
    if not re.fullmatch(r"[0-9a-fA-F]{1,16}", word):
        raise ValueError("1 to 16 hexadecimal digits")
    return word


def path(word: str) -> str:
    """Checks a file path."""
    if not word or "\0" in word:
        raise ValueError("a file's path")
    return word


def one_of(*choices: str) -> Callable[[str], str]:
    """Returns a parser that accepts one of the given words."""

    def parse(word: str) -> str:
        if word not in choices:
            raise ValueError("one of " + ", ".join(choices))
        return word

    return parse


def format_value(value: Any) -> str:
    """Formats a value the way the settings file writes it."""
    if isinstance(value, bool):
        return "on" if value else "off"
    if isinstance(value, timedelta):
        seconds = value.total_seconds()
        return f"{seconds * 1000:g}ms" if seconds < 1 else f"{seconds:g}s"
    if isinstance(value, Rate):
        return f"{float(value):.9g}/s"
    if isinstance(value, float) and math.isfinite(value):
        return f"{value:g}"
    return str(value)
