"""Advisory locks on single bytes of a file, by which processes of one ingress exclude each other.

They belong to the open file (open file description locks): the kernel releases them when their process ends,
whatever ends it, and no other descriptor of the same file affects them.
"""

from __future__ import annotations

import fcntl
import os
import struct
import time

FLOCK = struct.Struct("hhqqi4x")  # struct flock of 64-bit Linux: type, whence, start, length, process


class ByteLocks:
    """The locks of one open file. `descriptor` must be open for reading and writing."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def try_lock(self, offset: int) -> bool:
        """Locks a byte; returns False if another open file has it locked."""
        try:
            fcntl.fcntl(self.descriptor, fcntl.F_OFD_SETLK, self._request(fcntl.F_WRLCK, offset))
        except (BlockingIOError, PermissionError):
            return False
        return True

    def lock(self, offset: int, attempts: int, retry_delay: float) -> bool:
        """Tries to lock a byte several times, with `retry_delay` seconds between; returns whether it did."""
        for attempt in range(attempts):
            if attempt:
                time.sleep(retry_delay)
            if self.try_lock(offset):
                return True
        return False

    def unlock(self, offset: int) -> None:
        """Unlocks a byte."""
        fcntl.fcntl(self.descriptor, fcntl.F_OFD_SETLK, self._request(fcntl.F_UNLCK, offset))

    def is_locked_elsewhere(self, offset: int) -> bool:
        """Whether another open file has a byte locked."""
        answer = fcntl.fcntl(self.descriptor, fcntl.F_OFD_GETLK, self._request(fcntl.F_WRLCK, offset))
        return bool(FLOCK.unpack(answer)[0] != fcntl.F_UNLCK)

    @staticmethod
    def _request(lock_type: int, offset: int) -> bytes:
        return FLOCK.pack(lock_type, os.SEEK_SET, offset, 1, 0)
