"""What becomes of a client's connection whose worker is no more.

Pure: no I/O, no clock. A worker that stalls is killed before anything else is done, so that what it did is
all that it will ever have done; the kernel and the board then say how far that was. A connection's `Mark` is
what the worker wrote down about it, always before it did the thing; `Kernel` is what its socket has counted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

UNSURE = 2**63  # for `Mark.consumed`: bytes of a further request may have been read with the last one


@dataclass(frozen=True, slots=True)
class Mark:
    """A connection as its worker left it. Bytes are counted from the connection's start.

    `tag` numbers the requests on the connection; `open`: that request has no answer yet, and `owner` decides
    about it. `ran`: the tag of the last request with an attempt that was about to be written.
    """

    open: bool = False
    tag: int = 0
    owner: int = 0
    harmless: bool = False
    ran: int = 0
    consumed: int = 0  # up to the end of the last request
    written: int = 0  # before its answer
    until: int = 0  # ns of the monotonic clock: its client waits no longer


@dataclass(frozen=True, slots=True)
class Kernel:
    """What the socket counted: bytes read from it and written to it, and whether it still stands."""

    consumed: int
    written: int
    stands: bool = True


class Course(Enum):
    CLOSE = "close"  # nothing is owed on it
    DEAL = "deal"  # as good as new: another worker takes it
    KEEP = "keep"  # it has its answer: dealt on once it asks again: it had all of the answer
    AWAIT = "await"  # another worker is at work on its request; its answer goes out here
    REFUSE = "refuse"  # nothing has run, or a repeat is harmless
    FAIL = "fail"  # it may have run


def settled(mark: Mark) -> Course:
    """The final answer to an open request that nobody is at work on any more."""
    return Course.FAIL if mark.ran == mark.tag and not mark.harmless else Course.REFUSE


def course(mark: Mark, kernel: Kernel, gone: frozenset[int]) -> Course:
    """What to do about a connection; `gone`: the workers that are no more, its own among them."""
    if not kernel.stands:
        return Course.CLOSE
    if mark.open:
        if kernel.written > mark.written:
            # Guards against a second answer: this one has left, in whole or in part. And against closing on
            # a client that has read it and is just asking again.
            return Course.KEEP if kernel.consumed == mark.consumed else Course.CLOSE
        return settled(mark) if mark.owner in gone else Course.AWAIT
    if kernel.consumed != mark.consumed:
        # Guards against handing on the rest of a request whose beginning went with the worker.
        return Course.REFUSE
    return Course.DEAL
