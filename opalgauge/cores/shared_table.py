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

from opalgauge.cores.takeover import ConnectionRecord

HEADER_SIZE = 64
BUCKETS, WAYS = 1024, 8
IDS_SIZE = BUCKETS * WAYS * 8
RECORD_FORMAT = struct.Struct("<QQQIBB")  # consumed, written, until, tag, owner, harmless
RECORD_SIZE = 64
OPEN_OFFSET, ATTEMPTED_OFFSET, ATTEMPTED_ENTRIES = 30, 32, 8  # offsets within a mark, and places for what ran
U32 = struct.Struct("<I")
U64 = struct.Struct("<Q")


def id_hash(correlation: str) -> bytes:
    """Eight bytes, never all zero, which stands for a free place."""
    digest = hashlib.blake2b(correlation.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return digest if any(digest) else b"\1" + digest[1:]


class SharedTable:
    """The shared memory, as one process sees it."""

    def __init__(self, workers: int, slots: int, fd: int | None = None) -> None:
        self.workers, self.slots = workers, slots
        self.ids_offset = workers * HEADER_SIZE
        self.records_offset = self.ids_offset + workers * IDS_SIZE
        size = self.records_offset + slots * RECORD_SIZE
        if fd is None:
            fd = os.memfd_create("opalgauge-board")
            os.ftruncate(fd, size)
        self.fd = fd
        self.memory = mmap.mmap(fd, size)
        self.header_words = memoryview(self.memory)[: workers * HEADER_SIZE].cast("I")

    # --- beats and fences ----------------------------------------------------------------------------------
    def record_heartbeat(self, worker: int) -> None:
        U64.pack_into(self.memory, worker * HEADER_SIZE, time.monotonic_ns())

    def heartbeats(self) -> list[int]:
        """When each seat last showed that it moves, in ns of the monotonic clock; 0: never."""
        return [U64.unpack_from(self.memory, worker * HEADER_SIZE)[0] for worker in range(self.workers)]

    def fence(self, worker: int, generation: int) -> None:
        U32.pack_into(self.memory, worker * HEADER_SIZE + 8, generation)

    def is_fenced(self, worker: int, generation: int) -> bool:
        return self.header_words[worker * HEADER_SIZE // 4 + 2] >= generation

    def clear_worker(self, worker: int) -> None:
        """Forgets the open ids of a life that has ended."""
        offset = self.ids_offset + worker * IDS_SIZE
        self.memory[offset : offset + IDS_SIZE] = bytes(IDS_SIZE)
        U64.pack_into(self.memory, worker * HEADER_SIZE, 0)

    # --- open ids ------------------------------------------------------------------------------------------
    def claim_id(self, worker: int, digest: bytes) -> int | None:
        """Enters an id as open at a seat and gives its place, or None: it is open at another seat.

        The entry is made before the others' are read: of two seats that are told one id at the same moment at
        least one sees the other, and both turning it away is no harm, as no honest client sends an id twice.
        A bucket that is full (one in 10^6 at 512 open requests a seat) is as good as a clash.
        """
        bucket = int.from_bytes(digest[:4], "little") % BUCKETS * WAYS * 8
        own_bucket = self.ids_offset + worker * IDS_SIZE + bucket
        memory = self.memory
        for entry in range(own_bucket, own_bucket + WAYS * 8, 8):
            if memory[entry : entry + 8] == bytes(8):
                break
        else:
            return None
        memory[entry : entry + 8] = digest
        for other in range(self.workers):
            if other != worker:
                other_bucket = self.ids_offset + other * IDS_SIZE + bucket
                ids = memory[other_bucket : other_bucket + WAYS * 8]
                position = ids.find(digest)
                while position >= 0 and position % 8:
                    position = ids.find(digest, position + 1)
                if position >= 0:
                    memory[entry : entry + 8] = bytes(8)
                    return None
        return entry

    def release_id(self, entry: int) -> None:
        self.memory[entry : entry + 8] = bytes(8)

    # --- marks ---------------------------------------------------------------------------------------------
    def reset_connection(self, slot: int, consumed: int = 0) -> None:
        """A connection begins, or goes on at another worker after `consumed` bytes."""
        # Tags go on: guards a request against what is still said of the one before it in the same place.
        offset = self.records_offset + slot * RECORD_SIZE
        sequence = self.connection_record(slot).sequence
        RECORD_FORMAT.pack_into(self.memory, offset, consumed, 0, 0, sequence, 0, 0)
        self.memory[offset + OPEN_OFFSET] = 0

    def record_request(
        self,
        slot: int,
        sequence: int,
        owner: int,
        repeatable: bool,
        consumed: int,
        written: int,
        deadline_ns: int,
    ) -> None:
        """A request on the connection is about to be decided about; said before anything is done about it."""
        offset = self.records_offset + slot * RECORD_SIZE
        RECORD_FORMAT.pack_into(
            self.memory, offset, consumed, written, deadline_ns, sequence, owner, repeatable
        )
        self.memory[offset + OPEN_OFFSET] = 1

    def record_answer(self, slot: int, consumed: int | None) -> None:
        """The answer has been written: the connection is between requests, `consumed` bytes from its start
        (None: as many as were said when the request was opened)."""
        offset = self.records_offset + slot * RECORD_SIZE
        if consumed is not None:
            U64.pack_into(self.memory, offset, consumed)
        self.memory[offset + OPEN_OFFSET] = 0

    def record_attempt(self, slot: int, sequence: int) -> None:
        """An attempt for the request is about to be written. Its owner says so."""
        offset = (
            self.records_offset + slot * RECORD_SIZE + ATTEMPTED_OFFSET + sequence % ATTEMPTED_ENTRIES * 4
        )
        U32.pack_into(self.memory, offset, sequence)

    def connection_record(self, slot: int) -> ConnectionRecord:
        offset = self.records_offset + slot * RECORD_SIZE
        consumed, written, deadline_ns, sequence, owner, repeatable = RECORD_FORMAT.unpack_from(
            self.memory, offset
        )
        attempted = U32.unpack_from(
            self.memory, offset + ATTEMPTED_OFFSET + sequence % ATTEMPTED_ENTRIES * 4
        )[0]
        is_open = bool(self.memory[offset + OPEN_OFFSET])
        return ConnectionRecord(
            is_open, sequence, owner, bool(repeatable), attempted, consumed, written, deadline_ns
        )
