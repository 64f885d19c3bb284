"""Decides what happens to a client's connection after its worker was lost.

Pure: no I/O, no clock. A stalled worker is killed before anything else is done, so its state can no longer
change; the kernel and the shared table then tell how far it came. `ConnectionRecord` is the write-ahead
record of a connection: the worker writes each step before it takes it. `SocketProgress` is what the kernel
counted on the connection's socket.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Value of `ConnectionRecord.consumed` when bytes of another request may have been read with the last one.
CONSUMED_UNKNOWN = 2**63


@dataclass(frozen=True, slots=True)
class ConnectionRecord:
    """A connection as its worker left it. Byte counts run from the connection's start.

    `sequence` numbers the requests on the connection; `open` means that this request has no answer yet and
    that the worker `owner` decides about it. `attempted` is the sequence of the last request of which an
    attempt was about to be written. `repeatable` means that sending the request twice does no harm.
    """

    open: bool = False
    sequence: int = 0
    owner: int = 0
    repeatable: bool = False
    attempted: int = 0
    consumed: int = 0  # up to the end of the last request
    written: int = 0  # before its answer
    deadline_ns: int = 0  # on the monotonic clock; the client stops waiting then


@dataclass(frozen=True, slots=True)
class SocketProgress:
    """What the kernel counted: bytes read from and written to a socket, and whether it is still connected."""

    consumed: int
    written: int
    established: bool = True


class Disposition(Enum):
    """What the supervisor does with a connection whose worker was lost."""

    CLOSE = "close"  # no answer is owed on it
    REASSIGN = "deal"  # it is between requests: another worker takes it
    # Answered. Reassigned once the client sends its next request: it has received the whole answer then.
    AWAIT_NEXT_REQUEST = "keep"
    AWAIT_OWNER = "await"  # another worker is still deciding its request; the supervisor writes that answer
    REFUSE = "refuse"  # no attempt was made, or a repeat does no harm
    FAIL = "fail"  # an attempt may have been executed


def unowned_disposition(record: ConnectionRecord) -> Disposition:
    """The final answer to an open request that no worker decides about any more."""
    return (
        Disposition.FAIL
        if record.attempted == record.sequence and not record.repeatable
        else Disposition.REFUSE
    )


def choose_disposition(
    record: ConnectionRecord, progress: SocketProgress, lost: frozenset[int]
) -> Disposition:
    """Decides what to do with a connection. `lost` are the workers that are gone, its own among them."""
    if not progress.established:
        return Disposition.CLOSE
    if record.open:
        if progress.written > record.written:
            # The answer has been written, in whole or in part, so a second one must not follow. A client that
            # has read it and is sending its next request must not find the connection closed.
            return (
                Disposition.AWAIT_NEXT_REQUEST if progress.consumed == record.consumed else Disposition.CLOSE
            )
        return unowned_disposition(record) if record.owner in lost else Disposition.AWAIT_OWNER
    if progress.consumed != record.consumed:
        # The beginning of a request was read by the lost worker; nobody can handle the rest alone.
        return Disposition.REFUSE
    return Disposition.REASSIGN
