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

LATE = timedelta(milliseconds=25)  # an answer that takes longer is not waited for: half of a call's time-out
QUICK = LATE / 2
QUICK_ANSWERS = 3  # in a row: the counter answers again
MISSES = 2  # answers late or lost in a row: the counter is in trouble
TRIAL = timedelta(milliseconds=500)  # between trials while nothing else is called
SILENCE = timedelta(seconds=1)  # without any answer, also a late one: the counter is gone, and not only slow
REST = 3.0  # times as long as the last call took: no call while the counter is slow
LEAST_CALLS, MOST_CALLS = 1.0, 16.0  # at once: a counter under pressure is called less, and batches more
FIRST_CALLS = 4.0


class CounterState(Enum):
    ANSWERS = "answers"
    SLOW = "slow"
    GONE = "gone"


class CounterHealth:
    """`since`: when the present trouble began. `reached`: it has answered in this life."""

    def __init__(self, now: datetime, chance: random.Random) -> None:
        self.since: datetime | None = None
        self.reached = False
        self.calls_at_once = FIRST_CALLS
        self._chance = chance
        self._sent: dict[int, datetime] = {}  # calls without an answer
        self._awaited: OrderedDict[int, datetime] = OrderedDict()  # those of them that are not late
        self._misses = 0
        self._quick_answers = 0
        self._answered_at = self._rest_until = self._trial_at = now

    @property
    def in_trouble(self) -> bool:
        return self.since is not None

    def state(self, now: datetime) -> CounterState:
        if not self.in_trouble:
            return CounterState.ANSWERS
        if now - self._answered_at >= SILENCE:
            return CounterState.GONE
        return CounterState.SLOW

    def may_call(self, now: datetime) -> bool:
        match self.state(now):
            case CounterState.ANSWERS:
                return len(self._awaited) < int(self.calls_at_once)
            case CounterState.SLOW:
                return not self._sent and now >= self._rest_until
            case CounterState.GONE:
                return False

    def trial_due(self, now: datetime) -> bool:
        """Whether a read is to be sent only to learn how the counter is; the next one's time is set."""
        if not self.in_trouble or now < self._trial_at:
            return False
        self._trial_at = now + TRIAL * (0.75 + self._chance.random() / 2)
        return True

    def called(self, token: int, now: datetime) -> None:
        self._sent[token] = self._awaited[token] = now

    def overdue(self, now: datetime) -> list[int]:
        """The calls that have become late since this was last asked."""
        late = [token for token, sent in self._awaited.items() if now - sent >= LATE]
        for token in late:
            del self._awaited[token]
        return late

    def answered(self, token: int, now: datetime) -> bool:
        """An answer has come, in time or late. Whether it ends the trouble."""
        took = now - self._sent.pop(token, now)
        in_time = self._awaited.pop(token, None) is not None
        self.reached = True
        self._answered_at = now
        self._rest_until = now + REST * took
        if not in_time:
            self._quick_answers = 0
            return False
        self._misses = 0
        self.calls_at_once = min(MOST_CALLS, self.calls_at_once + 1 / self.calls_at_once)
        self._quick_answers = self._quick_answers + 1 if took < QUICK else 0
        if not self.in_trouble:
            return False
        if self._quick_answers < QUICK_ANSWERS:
            if self._quick_answers:
                self._trial_at = self._rest_until
            return False
        self.since = None
        return True

    def failed(self, token: int, now: datetime) -> bool:
        """No answer will come. Whether it is a miss: a call that was late has been counted as one before."""
        took = now - self._sent.pop(token, now)
        self._rest_until = now + REST * max(took, LATE)
        return self._awaited.pop(token, None) is not None

    def missed(self, now: datetime) -> bool:
        """An answer was late or will not come. Whether trouble begins with it."""
        self.calls_at_once = max(LEAST_CALLS, self.calls_at_once / 2)
        self._quick_answers = 0
        self._misses += 1
        if self.in_trouble or self._misses < MISSES:
            return False
        self.since, self._trial_at = now, now + TRIAL / 2
        return True
