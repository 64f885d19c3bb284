"""Measures the memory and the descriptors of this process."""

from __future__ import annotations

import os
from pathlib import Path

from opalgauge.memory.buffers import KIB, ProcessMemory

STATUS_FILE, DESCRIPTORS_FOLDER = Path("/proc/self/status"), "/proc/self/fd"
ANONYMOUS_FIELD, MAPPED_FIELD = "RssAnon", "RssFile"


def count_descriptors() -> int:
    """The descriptors that this process holds now; 0 if the system does not tell."""
    try:
        return len(os.listdir(DESCRIPTORS_FOLDER))
    except OSError:
        return 0


def measure_memory(status_file: Path = STATUS_FILE) -> ProcessMemory | None:
    """The memory that this process takes now; None if the system does not tell."""
    sizes: dict[str, int] = {}
    try:
        for line in status_file.read_text().splitlines():
            name, _, value = line.partition(":")
            if name in (ANONYMOUS_FIELD, MAPPED_FIELD):
                sizes[name] = int(value.split()[0]) * KIB
        return ProcessMemory(sizes[ANONYMOUS_FIELD], sizes[MAPPED_FIELD])
    except (OSError, ValueError, IndexError, KeyError):
        return None
