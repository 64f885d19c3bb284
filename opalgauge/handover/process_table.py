"""The processes of one ingress that are running, in a file that they share.

Each process takes the next number and holds a lock on the byte of that number for as long as it lives. So
the others can tell whether it lives even if it is stopped or answers nothing, and at once when it has ended.
"""

from __future__ import annotations

import os
import struct
import time
from pathlib import Path

from opalgauge.handover.byte_locks import ByteLocks

LAST_NUMBER = struct.Struct("<I")  # of the processes that have started
TABLE_LOCK = 0  # byte that is locked while a process takes its number
PROCESS_LOCKS = 1  # byte of process number 0
LOCK_ATTEMPTS = 50
LOCK_RETRY_DELAY = 0.002  # s


class ProcessTable:
    """This process's entry among those of its ingress. Raises OSError if the file cannot be used."""

    def __init__(self, path: Path) -> None:
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.locks = ByteLocks(self.descriptor)
        try:
            self.number = self._take_number()
        except OSError:
            os.close(self.descriptor)
            raise

    def _take_number(self) -> int:
        for _ in range(LOCK_ATTEMPTS):
            if self.locks.try_lock(TABLE_LOCK):
                break
            time.sleep(LOCK_RETRY_DELAY)
        else:
            raise TimeoutError("the table of processes stays locked")
        try:
            head = os.pread(self.descriptor, LAST_NUMBER.size, 0)
            number = LAST_NUMBER.unpack(head)[0] + 1 if len(head) == LAST_NUMBER.size else 1
            if not self.locks.try_lock(PROCESS_LOCKS + number):
                raise FileExistsError(f"process number {number} is taken")
            os.pwrite(self.descriptor, LAST_NUMBER.pack(number), 0)
            return int(number)
        finally:
            self.locks.unlock(TABLE_LOCK)

    def is_running(self, number: int) -> bool:
        """Whether the process with this number lives; this one does."""
        return number == self.number or self.locks.is_locked_elsewhere(PROCESS_LOCKS + number)

    def close(self) -> None:
        """Ends this process's entry."""
        os.close(self.descriptor)
