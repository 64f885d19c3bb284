"""What becomes of a client's connection whose worker is no more.

Pure: no I/O, no clock. A worker that stalls is killed before anything else is done, so that what it did is
all that it will ever have done; the kernel and the board then say how far that was. A connection's
`ConnectionRecord` is what the worker wrote down about it, always before it did the thing; `SocketProgress`
is what its socket has counted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# For `ConnectionRecord.consumed`: bytes of a further request may have been read with the last one.
CONSUMED_UNKNOWN = 2**63


@dataclass(frozen=True, slots=True)
class ConnectionRecord:
    """A connection as its worker left it. Bytes are counted from the connection's start.

    `sequence` numbers the requests on the connection; `open`: that request has no answer yet, and `owner`
    decides about it. `attempted`: the sequence of the last request with an attempt that was about to be
    written.
    """

    open: bool = False
    sequence: int = 0
    owner: int = 0
    repeatable: bool = False
    attempted: int = 0
    consumed: int = 0  # up to the end of the last request
    written: int = 0  # before its answer
    deadline_ns: int = 0  # ns of the monotonic clock: its client waits no longer


@dataclass(frozen=True, slots=True)
class SocketProgress:
    """What the socket counted: bytes read from it and written to it, and whether it still stands."""

    consumed: int
    written: int
    established: bool = True


class Disposition(Enum):
    CLOSE = "close"  # nothing is owed on it
    REASSIGN = "deal"  # as good as new: another worker takes it
    AWAIT_NEXT_REQUEST = "keep"  # it has its answer: dealt on once it asks again: it had all of the answer
    AWAIT_OWNER = "await"  # another worker is at work on its request; its answer goes out here
    REFUSE = "refuse"  # nothing has run, or a repeat is harmless
    FAIL = "fail"  # it may have run


def unowned_disposition(record: ConnectionRecord) -> Disposition:
    """The final answer to an open request that nobody is at work on any more."""
    return (
        Disposition.FAIL
        if record.attempted == record.sequence and not record.repeatable
        else Disposition.REFUSE
    )


def choose_disposition(
    record: ConnectionRecord, progress: SocketProgress, lost: frozenset[int]
) -> Disposition:
    """What to do about a connection; `lost`: the workers that are no more, its own among them."""
    if not progress.established:
        return Disposition.CLOSE
    if record.open:
        if progress.written > record.written:
            # Guards against a second answer: this one has left, in whole or in part. And against closing on
            # a client that has read it and is just asking again.
            return (
                Disposition.AWAIT_NEXT_REQUEST if progress.consumed == record.consumed else Disposition.CLOSE
            )
        return unowned_disposition(record) if record.owner in lost else Disposition.AWAIT_OWNER
    if progress.consumed != record.consumed:
        # Guards against handing on the rest of a request whose beginning went with the worker.
        return Disposition.REFUSE
    return Disposition.REASSIGN
