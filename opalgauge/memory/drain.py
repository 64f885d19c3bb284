"""The schedule of a process that was asked to stop, derived from the earliest time at which SIGKILL may come.

No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from starlinggap.interface import RequestClass

# The platform sends SIGKILL no sooner after SIGTERM than the deployment's longest deadline plus 0.7 s. A
# deadline above 3 s counts as 3 s.
MAX_COUNTED_DEADLINE = timedelta(seconds=3)
KILL_SLACK = timedelta(milliseconds=700)
# A process may be stalled so long between reading its clock and writing an answer.
MAX_STALL = timedelta(milliseconds=150)
ANSWER_MARGIN = MAX_STALL + timedelta(milliseconds=100)  # before SIGKILL: all open requests are answered
EXIT_MARGIN = timedelta(milliseconds=100)  # before SIGKILL: streams are reset and the process exits
# For so long clients are accepted: the platform still sends new connections up to 400 ms after SIGTERM.
ACCEPT_TIME = timedelta(milliseconds=550)
# Where another process accepts new clients, those that are connected may send requests for `MAX_GRACE`, but
# for no more than `GRACE_SHARE` of the time up to SIGKILL: the last requests need time for their answers.
MAX_GRACE = timedelta(milliseconds=2500)
GRACE_SHARE = 2 / 3


def min_time_to_kill(classes: Iterable[RequestClass]) -> timedelta:
    """The least time between SIGTERM and SIGKILL, given the deployment's request classes."""
    longest = max(timedelta(seconds=c.deadline) for c in classes)
    return min(longest, MAX_COUNTED_DEADLINE) + KILL_SLACK


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """The latest times for the steps of a drain, in their order."""

    close_idle: datetime  # stop accepting clients, and close those without an open request
    answer_all: datetime  # answer every request that is still open
    exit: datetime  # reset streamed answers, and exit
    kill: datetime  # from here on SIGKILL may come

    @classmethod
    def starting_at(cls, asked_at: datetime, min_to_kill: timedelta, has_successor: bool) -> DrainSchedule:
        """The schedule of a process that is asked to stop at `asked_at`.

        `min_to_kill` is the least time until SIGKILL. With `has_successor`, another process accepts clients.
        """
        kill = asked_at + min_to_kill
        open_for = min(MAX_GRACE, min_to_kill * GRACE_SHARE) if has_successor else ACCEPT_TIME
        answer_all = kill - ANSWER_MARGIN
        return cls(min(asked_at + open_for, answer_all), answer_all, kill - EXIT_MARGIN, kill)
