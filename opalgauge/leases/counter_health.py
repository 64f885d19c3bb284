"""How one ingress finds the quota counter, and when it may call it. No I/O, no clock.

- `ANSWERS`: answers come in time. Several calls at once; how many grows by each answer and halves by a miss.
- `SLOW`: answers come late or not in time. One call at a time, and after each a rest of several times as long
  as it took, so that the calls of all ingresses together leave the counter room to recover.
- `GONE`: nothing has been answered for a while. Only a trial now and then.

A late answer brings a total that is right, but does not end the trouble: that takes several quick answers in
a row. Otherwise the next request would wait for the counter again, and so on in turn.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from datetime import datetime, timedelta
from enum import Enum

LATE_AFTER = timedelta(
    milliseconds=25
)  # an answer that takes longer is not waited for: half of a call's time-out
QUICK_WITHIN = LATE_AFTER / 2
QUICK_ANSWERS = 3  # in a row: the counter answers again
MISSES_BEFORE_TROUBLE = 2  # answers late or lost in a row: the counter is in trouble
TRIAL_INTERVAL = timedelta(milliseconds=500)  # between trials while nothing else is called
GONE_AFTER = timedelta(
    seconds=1
)  # without any answer, also a late one: the counter is gone, and not only slow
REST_FACTOR = 3.0  # times as long as the last call took: no call while the counter is slow
MIN_CALLS_AT_ONCE, MAX_CALLS_AT_ONCE = (
    1.0,
    16.0,
)  # at once: a counter under pressure is called less, and batches more
INITIAL_CALLS_AT_ONCE = 4.0


class CounterState(Enum):
    ANSWERS = "answers"
    SLOW = "slow"
    GONE = "gone"


class CounterHealth:
    """`since`: when the present trouble began. `reached`: it has answered in this life."""

    def __init__(self, now: datetime, rng: random.Random) -> None:
        self.trouble_since: datetime | None = None
        self.has_answered = False
        self.calls_at_once = INITIAL_CALLS_AT_ONCE
        self._rng = rng
        self._unanswered: dict[int, datetime] = {}  # calls without an answer
        self._not_yet_late: OrderedDict[int, datetime] = OrderedDict()  # those of them that are not late
        self._misses = 0
        self._quick_answers = 0
        self._answered_at = self._rest_until = self._trial_at = now

    @property
    def in_trouble(self) -> bool:
        return self.trouble_since is not None

    def state(self, now: datetime) -> CounterState:
        if not self.in_trouble:
            return CounterState.ANSWERS
        if now - self._answered_at >= GONE_AFTER:
            return CounterState.GONE
        return CounterState.SLOW

    def may_call(self, now: datetime) -> bool:
        match self.state(now):
            case CounterState.ANSWERS:
                return len(self._not_yet_late) < int(self.calls_at_once)
            case CounterState.SLOW:
                return not self._unanswered and now >= self._rest_until
            case CounterState.GONE:
                return False

    def trial_due(self, now: datetime) -> bool:
        """Whether a read is to be sent only to learn how the counter is; the next one's time is set."""
        if not self.in_trouble or now < self._trial_at:
            return False
        self._trial_at = now + TRIAL_INTERVAL * (0.75 + self._rng.random() / 2)
        return True

    def record_call(self, token: int, now: datetime) -> None:
        self._unanswered[token] = self._not_yet_late[token] = now

    def take_overdue(self, now: datetime) -> list[int]:
        """The calls that have become late since this was last asked."""
        late = [token for token, sent in self._not_yet_late.items() if now - sent >= LATE_AFTER]
        for token in late:
            del self._not_yet_late[token]
        return late

    def record_answer(self, token: int, now: datetime) -> bool:
        """An answer has come, in time or late. Whether it ends the trouble."""
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
        """No answer will come. Whether it is a miss: a call that was late has been counted as one before."""
        duration = now - self._unanswered.pop(token, now)
        self._rest_until = now + REST_FACTOR * max(duration, LATE_AFTER)
        return self._not_yet_late.pop(token, None) is not None

    def record_miss(self, now: datetime) -> bool:
        """An answer was late or will not come. Whether trouble begins with it."""
        self.calls_at_once = max(MIN_CALLS_AT_ONCE, self.calls_at_once / 2)
        self._quick_answers = 0
        self._misses += 1
        if self.in_trouble or self._misses < MISSES_BEFORE_TROUBLE:
            return False
        self.trouble_since, self._trial_at = now, now + TRIAL_INTERVAL / 2
        return True
