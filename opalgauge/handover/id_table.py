"""The ids of the requests that are out at the processes of one ingress, in a file that they share.

Each process claims a request's id here before it sends the request on, so an id is out at one process only.
A claim needs no answer of the other process: it is right while that one is stopped, or has ended with
requests open. Ids of requests that may have run stay refused then.

The file holds buckets of entries. The digest of an id says in which bucket it is entered; an entry is changed
only while its bucket's byte is locked.
"""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

from opalgauge.handover.byte_locks import ByteLocks
from opalgauge.handover.process_table import ProcessTable
from opalgauge.memory.events import IdClaim

BUCKET_COUNT = 1024
ENTRIES_PER_BUCKET = 32
ENTRY = struct.Struct("<QIB3x")  # digest, number of the process, state
BUCKET_SIZE = ENTRIES_PER_BUCKET * ENTRY.size  # bytes
FILE_SIZE = BUCKET_COUNT * BUCKET_SIZE  # bytes
DIGEST_SIZE = 8  # bytes
LOCK_ATTEMPTS = 20  # a bucket is locked for microseconds, unless its process is stopped just then
LOCK_RETRY_DELAY = 0.0002  # s


class State(IntEnum):
    """What is known of an id."""

    NONE = 0  # the entry is free
    OPEN_SAFE = 1  # of a request that is out, and may be repeated
    OPEN_UNSAFE = 2  # of one that must not run twice
    ABANDONED = 3  # of one that may have run, and whose client had no complete answer


ENTERED_STATES = frozenset(State) - {State.NONE}


@dataclass(frozen=True, slots=True)
class Entry:
    """What is known of one id."""

    digest: int
    process: int
    state: State


class IdTable:
    """One process's access to the ids of its ingress. Raises OSError if the file cannot be used."""

    def __init__(self, path: Path, processes: ProcessTable) -> None:
        self.processes = processes
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.locks = ByteLocks(self.descriptor)
        # Changes of entries whose buckets were locked; made later.
        self.postponed: list[tuple[int, Callable[[list[Entry], int], list[Entry]]]] = []
        try:
            os.posix_fallocate(self.descriptor, 0, FILE_SIZE)  # later writes cannot run out of space
        except OSError:
            os.close(self.descriptor)
            raise

    def close(self) -> None:
        """Closes the file. Ids of requests that are open stay entered."""
        os.close(self.descriptor)

    def claim(self, correlation_id: str, is_safe: bool) -> IdClaim:
        """Enters the id of a request that is to be sent on, unless it must not be."""
        self._make_postponed_changes()
        digest = _digest(correlation_id)
        bucket = digest % BUCKET_COUNT
        if not self._lock(bucket, LOCK_ATTEMPTS):
            return IdClaim.UNAVAILABLE
        try:
            entries = self._read(bucket)
            known = next((entry for entry in entries if entry.digest == digest), None)
            verdict = IdClaim.GRANTED if known is None else self._judge(known)
            if verdict is not IdClaim.GRANTED:
                return verdict
            entries = [entry for entry in entries if entry is not known]
            if not self._make_room(entries):
                return IdClaim.UNAVAILABLE
            state = State.OPEN_SAFE if is_safe else State.OPEN_UNSAFE
            self._write(bucket, [*entries, Entry(digest, self.processes.number, state)])
            return IdClaim.GRANTED
        except OSError:
            return IdClaim.UNAVAILABLE
        finally:
            self.locks.unlock(bucket)

    def release(self, correlation_id: str) -> None:
        """Frees the id of a request of this process that is out no more."""
        self._change(_digest(correlation_id), self._without_open)

    def abandon(self, correlation_id: str) -> None:
        """Remembers the id of a request of this process that may have run, for all later processes."""
        self._change(_digest(correlation_id), self._with_abandoned)

    def _judge(self, entry: Entry) -> IdClaim:
        """Whether the id of an entry can be claimed."""
        if entry.state is State.ABANDONED:
            return IdClaim.MAY_HAVE_RUN
        if entry.process == self.processes.number:
            return IdClaim.GRANTED
        if self.processes.is_running(entry.process):
            return IdClaim.IN_USE
        return IdClaim.GRANTED if entry.state is State.OPEN_SAFE else IdClaim.MAY_HAVE_RUN

    def _make_room(self, entries: list[Entry]) -> bool:
        """Makes sure of room for one more entry; forgets the oldest whose request is not out if need be."""
        if len(entries) < ENTRIES_PER_BUCKET:
            return True
        for entry in entries:
            if entry.state is State.ABANDONED or not self.processes.is_running(entry.process):
                entries.remove(entry)
                return True
        return False

    def _without_open(self, entries: list[Entry], digest: int) -> list[Entry]:
        own = self.processes.number
        return [
            entry
            for entry in entries
            if entry.digest != digest or entry.process != own or entry.state is State.ABANDONED
        ]

    def _with_abandoned(self, entries: list[Entry], digest: int) -> list[Entry]:
        others = [entry for entry in entries if entry.digest != digest]
        if not self._make_room(others):
            return entries
        return [*others, Entry(digest, self.processes.number, State.ABANDONED)]

    def _change(self, digest: int, change: Callable[[list[Entry], int], list[Entry]]) -> None:
        self._make_postponed_changes()
        if not self._try_change(digest, change, LOCK_ATTEMPTS):
            self.postponed.append((digest, change))

    def _make_postponed_changes(self) -> None:
        if self.postponed:
            self.postponed = [
                (digest, change)
                for digest, change in self.postponed
                if not self._try_change(digest, change, attempts=1)
            ]

    def _try_change(
        self, digest: int, change: Callable[[list[Entry], int], list[Entry]], attempts: int
    ) -> bool:
        bucket = digest % BUCKET_COUNT
        if not self._lock(bucket, attempts):
            return False
        try:
            entries = self._read(bucket)
            changed = change(entries, digest)
            if changed != entries:
                self._write(bucket, changed)
            return True
        except OSError:
            return False
        finally:
            self.locks.unlock(bucket)

    def _lock(self, bucket: int, attempts: int) -> bool:
        """Locks a bucket. The other process has it for microseconds, unless it is stopped just then."""
        return self.locks.lock(bucket, attempts, LOCK_RETRY_DELAY)

    def _read(self, bucket: int) -> list[Entry]:
        data = os.pread(self.descriptor, BUCKET_SIZE, bucket * BUCKET_SIZE)
        data = data[: len(data) // ENTRY.size * ENTRY.size]
        entries = []
        for digest, process, state in ENTRY.iter_unpack(data):
            if state not in ENTERED_STATES:
                break
            entries.append(Entry(digest, process, State(state)))
        return entries

    def _write(self, bucket: int, entries: list[Entry]) -> None:
        data = b"".join(ENTRY.pack(entry.digest, entry.process, entry.state) for entry in entries)
        os.pwrite(self.descriptor, data.ljust(BUCKET_SIZE, b"\0"), bucket * BUCKET_SIZE)


def _digest(correlation_id: str) -> int:
    return int.from_bytes(hashlib.blake2b(correlation_id.encode(), digest_size=DIGEST_SIZE).digest())
