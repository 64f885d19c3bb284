"""Failure detector for the quota counter, and limit on the calls to it. No I/O, no clock.

- `ANSWERS`: answers come in time. Several calls may be in flight; each answer in time raises their limit,
  each miss halves it.
- `SLOW`: answers are late or missing. One call at a time, followed by a rest of several times its duration,
  so that the calls of all ingresses together leave the counter room to recover.
- `GONE`: no answer for a while. Only a trial now and then.

The total of a late answer is valid, but the trouble ends only after several quick answers in a row. Otherwise
the next request would wait for the slow counter again, and so would every one after it.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from datetime import datetime, timedelta
from enum import Enum

LATE_AFTER = timedelta(milliseconds=25)  # half of a call's timeout; later answers are not waited for
QUICK_WITHIN = LATE_AFTER / 2
QUICK_ANSWERS = 3  # in a row end the trouble
MISSES_BEFORE_TROUBLE = 2  # late or missing answers in a row
TRIAL_INTERVAL = timedelta(milliseconds=500)  # on average, while there is trouble
GONE_AFTER = timedelta(seconds=1)  # without any answer, late ones included: gone, and not only slow
REST_FACTOR = 3.0  # rest after a call to a slow counter, as a multiple of the call's duration
# A counter under pressure gets fewer calls, each with more counts in it.
MIN_CALLS_AT_ONCE, MAX_CALLS_AT_ONCE = 1.0, 16.0
INITIAL_CALLS_AT_ONCE = 4.0


class CounterState(Enum):
    """How the counter answers this ingress. The values are shown at the admin endpoint."""

    ANSWERS = "answers"
    SLOW = "slow"
    GONE = "gone"


class CounterHealth:
    """Judges the counter by the calls of this ingress.

    `trouble_since` is the start of the present trouble. `has_answered` says that this process had an answer.
    """

    def __init__(self, now: datetime, rng: random.Random) -> None:
        self.trouble_since: datetime | None = None
        self.has_answered = False
        self.calls_at_once = INITIAL_CALLS_AT_ONCE
        self._rng = rng
        self._unanswered: dict[int, datetime] = {}  # calls in flight
        self._not_yet_late: OrderedDict[int, datetime] = OrderedDict()  # of these
        self._misses = 0
        self._quick_answers = 0
        self._answered_at = self._rest_until = self._trial_at = now

    @property
    def in_trouble(self) -> bool:
        """Whether the counter is slow or gone."""
        return self.trouble_since is not None

    def state(self, now: datetime) -> CounterState:
        """The present state of the counter."""
        if not self.in_trouble:
            return CounterState.ANSWERS
        if now - self._answered_at >= GONE_AFTER:
            return CounterState.GONE
        return CounterState.SLOW

    def may_call(self, now: datetime) -> bool:
        """Whether a call other than a trial may be sent now."""
        match self.state(now):
            case CounterState.ANSWERS:
                return len(self._not_yet_late) < int(self.calls_at_once)
            case CounterState.SLOW:
                return not self._unanswered and now >= self._rest_until
            case CounterState.GONE:
                return False

    def trial_due(self, now: datetime) -> bool:
        """Whether to send a read as a trial of the counter. If so, schedules the next trial."""
        if not self.in_trouble or now < self._trial_at:
            return False
        self._trial_at = now + TRIAL_INTERVAL * (0.75 + self._rng.random() / 2)
        return True

    def record_call(self, token: int, now: datetime) -> None:
        """A call has been sent."""
        self._unanswered[token] = self._not_yet_late[token] = now

    def take_overdue(self, now: datetime) -> list[int]:
        """Returns the calls that have become late since the last time."""
        late = [token for token, sent in self._not_yet_late.items() if now - sent >= LATE_AFTER]
        for token in late:
            del self._not_yet_late[token]
        return late

    def record_answer(self, token: int, now: datetime) -> bool:
        """An answer has come, in time or late. Returns whether it ends the trouble."""
        duration = now - self._unanswered.pop(token, now)
        in_time = self._not_yet_late.pop(token, None) is not None
        self.has_answered = True
        self._answered_at = now
        self._rest_until = now + REST_FACTOR * duration
        if not in_time:
            self._quick_answers = 0
            return False
        self._misses = 0
        self.calls_at_once = min(MAX_CALLS_AT_ONCE, self.calls_at_once + 1 / self.calls_at_once)
        self._quick_answers = self._quick_answers + 1 if duration < QUICK_WITHIN else 0
        if not self.in_trouble:
            return False
        if self._quick_answers < QUICK_ANSWERS:
            if self._quick_answers:
                self._trial_at = self._rest_until
            return False
        self.trouble_since = None
        return True

    def record_failure(self, token: int, now: datetime) -> bool:
        """A call has failed. Returns whether it is a miss: a late call has been counted as one before."""
        duration = now - self._unanswered.pop(token, now)
        self._rest_until = now + REST_FACTOR * max(duration, LATE_AFTER)
        return self._not_yet_late.pop(token, None) is not None

    def record_miss(self, now: datetime) -> bool:
        """An answer is late or will not come. Returns whether trouble begins with it."""
        self.calls_at_once = max(MIN_CALLS_AT_ONCE, self.calls_at_once / 2)
        self._quick_answers = 0
        self._misses += 1
        if self.in_trouble or self._misses < MISSES_BEFORE_TROUBLE:
            return False
        self.trouble_since, self._trial_at = now, now + TRIAL_INTERVAL / 2
        return True
