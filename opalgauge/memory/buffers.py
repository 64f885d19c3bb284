"""How much memory connections and requests take, by the buffers that hold what is read and written.

The wire keeps to these sizes, and the reducer admits connections and requests by what they add up to.
"""

from __future__ import annotations

from dataclasses import dataclass

KIB, MIB = 1024, 1024 * 1024
MAX_BUFFERED_BODY = 64 * KIB  # bytes of a body that are buffered; longer ones are streamed
READ_SIZE = 16 * KIB  # bytes that one read takes of a buffered body at most
HEAD_READ_SIZE = 1 * KIB  # bytes that one read takes of a client's connection while no body is being read
MIN_STREAM_READ = 8 * KIB  # bytes that one read takes of a streamed body at most, if memory is short
MAX_STREAM_READ = 64 * KIB  # the same if there is memory to spare
READER_LIMIT = 8 * KIB  # of aiohttp's reader of a client's body, which stops reading at twice as much
STREAM_READ_DIVISOR = 8  # the part of the memory for requests that streams share for longer reads

# An idle process, as long as it has not been measured: its anonymous memory, and that of the files it maps.
IDLE_ANONYMOUS, IDLE_MAPPED = 26 * MIB, 16 * MIB
# The system can reclaim mapped files. They are counted only where as much is left beside them.
MIN_LEFT_BESIDE_FILES = 16 * MIB
RESERVE_DIVISOR = 8  # the part of what is left that fragmentation and small tables may take
ACCOUNTS_DIVISOR = 8  # the part of what is left that the table of accounts may take
ACCOUNT_MEMORY = 1 * KIB  # bytes of what is known of an account
MIN_REQUEST_MEMORY = 1 * MIB  # bytes for clients, however small the limit of the process
SMALL_PROCESS = 32 * MIB  # bytes left for clients below which answers are buffered less
CLIENT_SHARE = 7 / 8  # of the memory for clients: the most that connections alone may take

# A client's connection: its objects, and what is read from it unasked, with a request and behind it.
CONNECTION_MEMORY = 14 * KIB + 2 * HEAD_READ_SIZE
FIELD_MEMORY = 400  # bytes of the objects of a header field, beside its text
HEAD_COPIES = 2  # of a head's text: raw and decoded
REQUEST_OVERHEAD = 32 * KIB  # bytes of the objects of a request and its server's connection
ANSWER_COPIES = 2  # of an answer that is buffered: as it was received, and parsed
BODY_COPIES = 2  # of a request's body: one to send it again, one on its way to the server
# A body whose start is being read, beside its bytes: what the reader and one read hold.
BODY_READ_AHEAD = 2 * READER_LIMIT + READ_SIZE


def head_memory(size: int, fields: int) -> int:
    """The bytes that a request's head of `size` bytes takes, or a part of one."""
    return HEAD_COPIES * size + FIELD_MEMORY * fields


def unreported_body_memory(length: int | None) -> int:
    """The bytes that a body takes at most whose start is being read; None: its length is not stated."""
    expected = MAX_BUFFERED_BODY if length is None else min(length, MAX_BUFFERED_BODY)
    return expected + BODY_READ_AHEAD


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """The memory of a process that serves nobody yet, in bytes."""

    anonymous: int = IDLE_ANONYMOUS
    mapped: int = IDLE_MAPPED  # of files


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """How the memory of a process is divided, in bytes."""

    requests: int  # for clients' connections, their requests, and bodies that are being read
    stream_reads: int  # for reads of streamed bodies that take more than MIN_STREAM_READ
    buffered_answer: int = MAX_BUFFERED_BODY  # of an answer: what is buffered before it is streamed
    max_accounts: int = 10_000  # that are kept beyond a second

    @classmethod
    def of_process(cls, process_limit: int, idle: ProcessMemory = ProcessMemory()) -> MemoryLimits:
        """Divides what a process with this limit has beside its own needs."""
        beside_files = process_limit - idle.anonymous - idle.mapped
        return cls.dividing(max(beside_files, min(process_limit - idle.anonymous, MIN_LEFT_BESIDE_FILES)))

    @classmethod
    def dividing(cls, left: int) -> MemoryLimits:
        """Divides so many bytes, which a process has beside its own needs."""
        accounts = max(0, left) // ACCOUNTS_DIVISOR
        available = max(MIN_REQUEST_MEMORY, left - left // RESERVE_DIVISOR - accounts)
        max_accounts = accounts // ACCOUNT_MEMORY
        if available < SMALL_PROCESS:
            return cls(available, 0, READ_SIZE, max_accounts)
        stream_reads = available // STREAM_READ_DIVISOR
        return cls(available - stream_reads, stream_reads, max_accounts=max_accounts)

    @property
    def max_connections(self) -> int:
        """How many clients' connections the memory holds."""
        return int(self.requests * CLIENT_SHARE) // CONNECTION_MEMORY

    @property
    def answer_memory(self) -> int:
        """The bytes of an answer: what is buffered of it, and a part of that on its way to the client."""
        return ANSWER_COPIES * self.buffered_answer + READ_SIZE + MIN_STREAM_READ

    def request_memory(self, body_size: int, head: int) -> int:
        """The bytes that a request takes at most until its answer has been written.

        `body_size` bytes of its body are buffered, and its head takes `head` bytes.
        """
        return REQUEST_OVERHEAD + self.answer_memory + BODY_COPIES * body_size + head

    def per_worker(self, workers: int) -> MemoryLimits:
        """The part of one of several worker processes."""
        return MemoryLimits(
            self.requests // workers,
            self.stream_reads // workers,
            self.buffered_answer,
            self.max_accounts // workers,
        )
