"""Memory shared by the supervisor and its workers: heartbeats, fences, open ids and connection records.

Every field has a single writer, so there are no locks and a stalled worker blocks nobody. The table lives in
an anonymous file that disappears with the last process; the supervisor passes its descriptor to each worker.

    worker header (64 bytes): heartbeat (ns, monotonic) u64 | highest fenced generation u32
    worker ids: BUCKETS x WAYS x u64, the hashes of the ids of open requests
    connection record (64 bytes), by slot: the fields of `takeover.ConnectionRecord`. Sequence numbers of
    attempted requests go to eight entries in turn, so that a late write about one request does not overwrite
    the entry of another.
"""

from __future__ import annotations

import hashlib
import mmap
import os
import struct
import time

from opalgauge.cores.takeover import ConnectionRecord

HEADER_SIZE = 64
BUCKETS, WAYS = 1024, 8  # of the set-associative hash table of each worker
IDS_SIZE = BUCKETS * WAYS * 8
RECORD_FORMAT = struct.Struct("<QQQIBB")  # consumed, written, deadline_ns, sequence, owner, repeatable
RECORD_SIZE = 64
# Byte offsets within a connection record, and the number of entries for attempted sequence numbers.
OPEN_OFFSET, ATTEMPTED_OFFSET, ATTEMPTED_ENTRIES = 30, 32, 8
U32 = struct.Struct("<I")
U64 = struct.Struct("<Q")


def id_hash(correlation: str) -> bytes:
    """Hashes a correlation id to eight bytes that are never all zero: zero marks a free entry."""
    digest = hashlib.blake2b(correlation.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return digest if any(digest) else b"\1" + digest[1:]


class SharedTable:
    """The shared memory, as mapped by one process.

    `workers` is the number of workers, `slots` the number of client connections. Without `fd` a new table is
    created.
    """

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

    # --- heartbeats and fences -----------------------------------------------------------------------------
    def record_heartbeat(self, worker: int) -> None:
        """Writes the current monotonic time as the worker's last heartbeat."""
        U64.pack_into(self.memory, worker * HEADER_SIZE, time.monotonic_ns())

    def heartbeats(self) -> list[int]:
        """The last heartbeat of each worker, in ns of the monotonic clock; 0: none yet."""
        return [U64.unpack_from(self.memory, worker * HEADER_SIZE)[0] for worker in range(self.workers)]

    def fence(self, worker: int, generation: int) -> None:
        """Forbids a worker's generations up to this one to act any more."""
        U32.pack_into(self.memory, worker * HEADER_SIZE + 8, generation)

    def is_fenced(self, worker: int, generation: int) -> bool:
        """Whether this generation of a worker has been fenced off."""
        return self.header_words[worker * HEADER_SIZE // 4 + 2] >= generation

    def clear_worker(self, worker: int) -> None:
        """Clears the open ids and the heartbeat of a generation that has ended."""
        offset = self.ids_offset + worker * IDS_SIZE
        self.memory[offset : offset + IDS_SIZE] = bytes(IDS_SIZE)
        U64.pack_into(self.memory, worker * HEADER_SIZE, 0)

    # --- open ids ------------------------------------------------------------------------------------------
    def claim_id(self, worker: int, digest: bytes) -> int | None:
        """Registers an id as open at a worker. Returns its entry, or None if it is open at another worker.

        The entry is written before the other workers' entries are read: if two workers receive the same id at
        the same moment, at least one of them sees the other. Both may reject it, which does no harm, as no
        honest client sends an id twice. A full bucket (one in 10^6 at 512 open requests per worker) counts
        as a duplicate.
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
        """Frees an entry that `claim_id` returned."""
        self.memory[entry : entry + 8] = bytes(8)

    # --- connection records --------------------------------------------------------------------------------
    def reset_connection(self, slot: int, consumed: int = 0) -> None:
        """Resets the record of a connection that is new or that moves to another worker.

        `consumed` is the number of bytes that were read from it before.
        """
        # The sequence continues: late writes about an earlier request in this slot must not be taken for the
        # next one's.
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
        """Records a request on the connection as open. Called before anything is done about the request.

        Byte counts run from the start of the connection; `deadline_ns` is on the monotonic clock.
        """
        offset = self.records_offset + slot * RECORD_SIZE
        RECORD_FORMAT.pack_into(
            self.memory, offset, consumed, written, deadline_ns, sequence, owner, repeatable
        )
        self.memory[offset + OPEN_OFFSET] = 1

    def record_answer(self, slot: int, consumed: int | None) -> None:
        """Records that the answer has been written: the connection is between requests.

        `consumed` is the number of bytes read since the connection's start; None keeps the number that was
        recorded with the request.
        """
        offset = self.records_offset + slot * RECORD_SIZE
        if consumed is not None:
            U64.pack_into(self.memory, offset, consumed)
        self.memory[offset + OPEN_OFFSET] = 0

    def record_attempt(self, slot: int, sequence: int) -> None:
        """Records that an attempt of the request is about to be written. Called by the request's owner."""
        offset = (
            self.records_offset + slot * RECORD_SIZE + ATTEMPTED_OFFSET + sequence % ATTEMPTED_ENTRIES * 4
        )
        U32.pack_into(self.memory, offset, sequence)

    def connection_record(self, slot: int) -> ConnectionRecord:
        """Reads the record of a connection."""
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
