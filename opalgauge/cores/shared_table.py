"""Memory that the guardian and its workers share: beats, fences, open ids, and a mark for each connection.

Every field has one writer, so nothing is locked and a worker that stalls holds nobody up. It lives in an
anonymous file that goes with the last process; the guardian hands its descriptor to each worker.

    header of a seat (64 bytes): beat (ns, monotonic) u64 | fenced life u32
    ids of a seat: BUCKETS x WAYS x u64, the hashes of the ids open there
    mark of a connection (64 bytes), by its number: what `takeover.Mark` says. Which attempts were begun
    stands in eight places that requests take in turn, so that a late word about one does not cover another's.
"""

from __future__ import annotations

import hashlib
import mmap
import os
import struct
import time

from opalgauge.cores.takeover import Mark

HEADER = 64
BUCKETS, WAYS = 1024, 8
IDS = BUCKETS * WAYS * 8
MARK = struct.Struct("<QQQIBB")  # consumed, written, until, tag, owner, harmless
MARK_SIZE = 64
OPEN_AT, RAN_AT, TURNS = 30, 32, 8  # offsets within a mark, and places for what ran
U32 = struct.Struct("<I")
U64 = struct.Struct("<Q")


def id_hash(correlation: str) -> bytes:
    """Eight bytes, never all zero, which stands for a free place."""
    told = hashlib.blake2b(correlation.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return told if any(told) else b"\1" + told[1:]


class Board:
    """The shared memory, as one process sees it."""

    def __init__(self, seats: int, slots: int, fd: int | None = None) -> None:
        self.seats, self.slots = seats, slots
        self.ids_at = seats * HEADER
        self.marks_at = self.ids_at + seats * IDS
        size = self.marks_at + slots * MARK_SIZE
        if fd is None:
            fd = os.memfd_create("opalgauge-board")
            os.ftruncate(fd, size)
        self.fd = fd
        self.memory = mmap.mmap(fd, size)
        self.fences = memoryview(self.memory)[: seats * HEADER].cast("I")

    # --- beats and fences ----------------------------------------------------------------------------------
    def beat(self, seat: int) -> None:
        U64.pack_into(self.memory, seat * HEADER, time.monotonic_ns())

    def beats(self) -> list[int]:
        """When each seat last showed that it moves, in ns of the monotonic clock; 0: never."""
        return [U64.unpack_from(self.memory, n * HEADER)[0] for n in range(self.seats)]

    def fence(self, seat: int, life: int) -> None:
        U32.pack_into(self.memory, seat * HEADER + 8, life)

    def fenced(self, seat: int, life: int) -> bool:
        return self.fences[seat * HEADER // 4 + 2] >= life

    def clear(self, seat: int) -> None:
        """Forgets the open ids of a life that has ended."""
        at = self.ids_at + seat * IDS
        self.memory[at : at + IDS] = bytes(IDS)
        U64.pack_into(self.memory, seat * HEADER, 0)

    # --- open ids ------------------------------------------------------------------------------------------
    def claim(self, seat: int, told: bytes) -> int | None:
        """Enters an id as open at a seat and gives its place, or None: it is open at another seat.

        The entry is made before the others' are read: of two seats that are told one id at the same moment at
        least one sees the other, and both turning it away is no harm, as no honest client sends an id twice.
        A bucket that is full (one in 10^6 at 512 open requests a seat) is as good as a clash.
        """
        bucket = int.from_bytes(told[:4], "little") % BUCKETS * WAYS * 8
        mine = self.ids_at + seat * IDS + bucket
        memory = self.memory
        for place in range(mine, mine + WAYS * 8, 8):
            if memory[place : place + 8] == bytes(8):
                break
        else:
            return None
        memory[place : place + 8] = told
        for other in range(self.seats):
            if other != seat:
                at = self.ids_at + other * IDS + bucket
                row = memory[at : at + WAYS * 8]
                found = row.find(told)
                while found >= 0 and found % 8:
                    found = row.find(told, found + 1)
                if found >= 0:
                    memory[place : place + 8] = bytes(8)
                    return None
        return place

    def release(self, place: int) -> None:
        self.memory[place : place + 8] = bytes(8)

    # --- marks ---------------------------------------------------------------------------------------------
    def fresh(self, slot: int, consumed: int = 0) -> None:
        """A connection begins, or goes on at another worker after `consumed` bytes."""
        # Tags go on: guards a request against what is still said of the one before it in the same place.
        at = self.marks_at + slot * MARK_SIZE
        tag = self.mark(slot).tag
        MARK.pack_into(self.memory, at, consumed, 0, 0, tag, 0, 0)
        self.memory[at + OPEN_AT] = 0

    def opened(
        self, slot: int, tag: int, owner: int, harmless: bool, consumed: int, written: int, until: int
    ) -> None:
        """A request on the connection is about to be decided about; said before anything is done about it."""
        at = self.marks_at + slot * MARK_SIZE
        MARK.pack_into(self.memory, at, consumed, written, until, tag, owner, harmless)
        self.memory[at + OPEN_AT] = 1

    def answered(self, slot: int, consumed: int | None) -> None:
        """The answer has been written: the connection is between requests, `consumed` bytes from its start
        (None: as many as were said when the request was opened)."""
        at = self.marks_at + slot * MARK_SIZE
        if consumed is not None:
            U64.pack_into(self.memory, at, consumed)
        self.memory[at + OPEN_AT] = 0

    def ran(self, slot: int, tag: int) -> None:
        """An attempt for the request is about to be written. Its owner says so."""
        at = self.marks_at + slot * MARK_SIZE + RAN_AT + tag % TURNS * 4
        U32.pack_into(self.memory, at, tag)

    def mark(self, slot: int) -> Mark:
        at = self.marks_at + slot * MARK_SIZE
        consumed, written, until, tag, owner, harmless = MARK.unpack_from(self.memory, at)
        ran = U32.unpack_from(self.memory, at + RAN_AT + tag % TURNS * 4)[0]
        is_open = bool(self.memory[at + OPEN_AT])
        return Mark(is_open, tag, owner, bool(harmless), ran, consumed, written, until)
