"""The last seconds of a process that was asked to stop, derived from one instant.

That instant is the earliest at which the platform may send SIGKILL. Pure: no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from starlinggap.interface import RequestClass

# The platform kills no sooner after SIGTERM than the deployment's longest deadline, counted as 3 s where it
# is longer, and 0.7 s.
MAX_COUNTED_DEADLINE = timedelta(seconds=3)
KILL_SLACK = timedelta(milliseconds=700)
MAX_STALL = timedelta(milliseconds=150)  # a process may stand still so long between its clock and its write
ANSWER_MARGIN = MAX_STALL + timedelta(milliseconds=100)  # before the kill: every request has its answer
EXIT_MARGIN = timedelta(milliseconds=100)  # before the kill: streams are cut so that their clients can tell
ACCEPT_TIME = timedelta(milliseconds=550)  # new connections are dealt out for up to 400 ms after SIGTERM
# Where another process takes new connections, clients may use the ones they have for so long at most, and for
# no more than that share of the time up to the kill: what comes last needs time for its answer.
MAX_GRACE = timedelta(milliseconds=2500)
GRACE_SHARE = 2 / 3


def min_time_to_kill(classes: Iterable[RequestClass]) -> timedelta:
    """The least time between SIGTERM and SIGKILL."""
    longest = max(timedelta(seconds=c.deadline) for c in classes)
    return min(longest, MAX_COUNTED_DEADLINE) + KILL_SLACK


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """When a process that is draining does what, at the latest."""

    close_idle: datetime  # accept no more connections and end those over which nothing is owed
    answer_all: datetime  # answer every request that is still open, whatever it waits for
    exit: datetime  # cut long answers and exit
    kill: datetime  # SIGKILL may come

    @classmethod
    def starting_at(cls, asked_at: datetime, min_to_kill: timedelta, has_successor: bool) -> DrainSchedule:
        """Of a process that was asked at `asked`, to be killed `least` later at the earliest.

        `successor`: another process takes new connections.
        """
        kill = asked_at + min_to_kill
        open_for = min(MAX_GRACE, min_to_kill * GRACE_SHARE) if has_successor else ACCEPT_TIME
        answer_all = kill - ANSWER_MARGIN
        return cls(min(asked_at + open_for, answer_all), answer_all, kill - EXIT_MARGIN, kill)
