"""The processes of one ingress that are running, and what each holds, in a file that they share.

Each process takes the next number and holds a lock on the byte of that number for as long as it lives. So
the others can tell whether it lives even if it is stopped or answers nothing, and at once when it has ended.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Callable
from pathlib import Path

from opalgauge.handover.byte_locks import ByteLocks
from opalgauge.handover.limit_shares import Holding

LAST_NUMBER = struct.Struct("<I")  # of the processes that have started
ENTRY = struct.Struct("<IQI")  # number of a process, bytes of memory, descriptors
ENTRIES_OFFSET = 16  # bytes
MAX_PROCESSES = 8  # that run at the same time
FILE_SIZE = ENTRIES_OFFSET + MAX_PROCESSES * ENTRY.size  # bytes
TABLE_LOCK = 0  # byte that is locked while a process changes the file
PROCESS_LOCKS = 1  # byte of process number 0
HOLDS_NOTHING = Holding()
LOCK_ATTEMPTS = 50
LOCK_RETRY_DELAY = 0.002  # s


class ProcessTable:
    """This process's entry among those of its ingress. Raises OSError if the file cannot be used.

    `holding` is what the process holds at its start.
    """

    def __init__(self, path: Path, holding: Holding = HOLDS_NOTHING) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.locks = ByteLocks(self.descriptor)
        try:
            os.posix_fallocate(self.descriptor, 0, FILE_SIZE)  # later writes cannot run out of space
            self.number = self._take_number(holding)
        except OSError:
            os.close(self.descriptor)
            raise

    def _take_number(self, holding: Holding) -> int:
        if not self.locks.lock(TABLE_LOCK, LOCK_ATTEMPTS, LOCK_RETRY_DELAY):
            raise TimeoutError("the table of processes stays locked")
        try:
            head = os.pread(self.descriptor, LAST_NUMBER.size, 0)
            number = LAST_NUMBER.unpack(head)[0] + 1
            if not self.locks.try_lock(PROCESS_LOCKS + number):
                raise FileExistsError(f"process number {number} is taken")
            os.pwrite(self.descriptor, LAST_NUMBER.pack(number), 0)
            self._write_entry(number, holding)
            return int(number)
        finally:
            self.locks.unlock(TABLE_LOCK)

    def settle(self, decide: Callable[[list[Holding]], Holding]) -> bool:
        """Replaces what this process holds by what `decide` makes of what the others hold.

        No other process does so meanwhile. Returns False, without a call, if the file is locked just now.
        """
        if not self.locks.try_lock(TABLE_LOCK):
            return False
        try:
            self._write_entry(self.number, decide(self._others()))
            return True
        finally:
            self.locks.unlock(TABLE_LOCK)

    def _others(self) -> list[Holding]:
        data = os.pread(self.descriptor, MAX_PROCESSES * ENTRY.size, ENTRIES_OFFSET)
        data = data.ljust(MAX_PROCESSES * ENTRY.size, b"\0")
        return [
            Holding(memory, sockets)
            for number, memory, sockets in ENTRY.iter_unpack(data)
            if number and number != self.number and self.is_running(number)
        ]

    def _write_entry(self, number: int, holding: Holding) -> None:
        offset = ENTRIES_OFFSET + number % MAX_PROCESSES * ENTRY.size
        os.pwrite(self.descriptor, ENTRY.pack(number, holding.memory, holding.sockets), offset)

    def is_running(self, number: int) -> bool:
        """Whether the process with this number lives; this one does."""
        return number == self.number or self.locks.is_locked_elsewhere(PROCESS_LOCKS + number)

    def close(self) -> None:
        """Ends this process's entry."""
        os.close(self.descriptor)
