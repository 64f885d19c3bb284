"""Simulates the replicas of a fleet in virtual time: lossy messages, skewed clocks, partitions, restarts."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from opalgauge.lab.simulation import TICK_INTERVAL, Simulation
from opalgauge.replica import messages
from opalgauge.replica.gossip import Gossip, SendMessage
from opalgauge.replica.store import ReplicaStore

MAX_RECEIVED_PER_SECOND = 100  # messages that a replica accepts; further ones are dropped


@dataclass(slots=True)
class Scenario:
    """Random bans and ejections until `changes_until`, then only the messages that are still needed.

    Times are in seconds, shares of the messages from 0 to 1.
    """

    replicas: int = 5
    seconds: float = 30.0
    changes_until: float = 15.0
    changes_per_second: float = 4.0
    seed: int = 1
    drop: float = 0.072
    duplicate: float = 0.05  # share that arrives twice
    delay: tuple[float, float] = (0.002, 0.017)
    clock_skew: float = 0.0  # clocks differ from the true time by as much at most
    # From, until, size of the group of first replicas that the others are cut off from.
    partition: tuple[float, float, int] = (0.0, 0.0, 0)
    restarts: tuple[tuple[float, int], ...] = ()


@dataclass(slots=True)
class Result:
    """What a run measured."""

    change_count: int = 0
    # Seconds from the last change or fault until all replicas were equal for good.
    converged_after: float | None = None
    max_sent_per_second: int = 0  # messages of one replica
    max_received_per_second: int = 0
    bytes_sent_per_second: float = 0.0  # of one replica, mean
    catch_up_times: list[float] = field(default_factory=list)
    max_message_size: int = 0


class ReplicaSimulation(Simulation):
    """Runs a scenario with the gossip code that serves."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario.seed)
        self.scenario, self.result = scenario, Result()
        self.clock_skews = [
            self.rng.uniform(-scenario.clock_skew, scenario.clock_skew) for _ in range(scenario.replicas)
        ]
        self.generations = [0] * scenario.replicas
        self.sent: dict[tuple[int, int], int] = {}
        self.received: dict[tuple[int, int], int] = {}
        self.replicas = [self._make_replica(index) for index in range(scenario.replicas)]
        for index in range(scenario.replicas):
            self._schedule(TICK_INTERVAL * self.rng.random(), self._tick, index, 0)
        change_time = 1.0
        while (
            change_time := change_time + self.rng.expovariate(scenario.changes_per_second)
        ) < scenario.changes_until:
            self._schedule(change_time, self._change)
        for when, index in scenario.restarts:
            self._schedule(when, self._restart, index)

    def _make_replica(self, index: int) -> Gossip:
        store = ReplicaStore(index, int(self.now * 1000))
        return Gossip(
            store,
            self.scenario.replicas,
            self._wall_clock(self.clock_skews[index]),
            self.scenario.seed * 1000 + index,
        )

    def run(self) -> Result:
        """Runs the scenario to its end."""
        last_fault = max(
            [
                self.scenario.changes_until,
                self.scenario.partition[1],
                *(when for when, _ in self.scenario.restarts),
            ]
        )
        converged_since, next_check = None, 0.0
        while self._run_next(self.scenario.seconds):
            if self.now >= max(next_check, last_fault):
                next_check = self.now + 0.05
                if len({tuple(replica.store.branch_hashes) for replica in self.replicas}) > 1:
                    converged_since = None
                elif converged_since is None:
                    converged_since = self.now
        self.result.converged_after = converged_since - last_fault if converged_since is not None else None
        self.result.max_sent_per_second = max(self.sent.values(), default=0)
        self.result.max_received_per_second = max(self.received.values(), default=0)
        self.result.bytes_sent_per_second /= self.scenario.replicas * self.scenario.seconds
        return self.result

    def _change(self) -> None:
        index = self.rng.randrange(self.scenario.replicas)
        replica, now = self.replicas[index], self._wall_clock(self.clock_skews[index])
        subject, choice = self.rng.randrange(20), self.rng.random()
        self.result.change_count += 1
        if choice < 0.5:
            replica.announce(replica.store.set_ban(f"s-{subject:08x}", self.rng.random() < 0.6, now))
        elif choice < 0.8:
            replica.announce(replica.store.add_ejection(f"{subject}:0:0", now + timedelta(seconds=600), now))
        else:
            replica.announce(replica.store.clear_ejection(f"{subject}:0:0", now))

    def _restart(self, index: int) -> None:
        self.generations[index] += 1
        self.replicas[index] = self._make_replica(index)
        self._schedule(self.now, self._tick, index, self.generations[index])
        self._schedule(self.now, self._check_catch_up, index, self.generations[index], self.now)

    def _check_catch_up(self, index: int, generation: int, started_at: float) -> None:
        if generation != self.generations[index]:
            return
        if self.replicas[index].caught_up:
            self.result.catch_up_times.append(self.now - started_at)
        else:
            self._schedule(self.now + 0.01, self._check_catch_up, index, generation, started_at)

    def _tick(self, index: int, generation: int) -> None:
        if generation == self.generations[index]:
            self._schedule(self.now + TICK_INTERVAL, self._tick, index, generation)
            self.replicas[index].tick(self._wall_clock(self.clock_skews[index]))
            self._send_pending(index)

    def _send_pending(self, index: int) -> None:
        for outgoing in self.replicas[index].take_outputs()[0]:
            self._transmit(index, outgoing)

    def _transmit(self, index: int, outgoing: SendMessage) -> None:
        data = messages.encode_message(outgoing.message)
        self.result.max_message_size = max(self.result.max_message_size, len(data))
        self.result.bytes_sent_per_second += len(data)
        key = index, int(self.now)
        self.sent[key] = self.sent.get(key, 0) + 1
        start, end, group_size = self.scenario.partition
        if start <= self.now < end and (index < group_size) != (outgoing.peer < group_size):
            return
        for _ in range(1 + (self.rng.random() < self.scenario.duplicate)):
            if self.rng.random() >= self.scenario.drop:
                self._schedule(
                    self.now + self.rng.uniform(*self.scenario.delay), self._receive, outgoing.peer, data
                )

    def _receive(self, index: int, data: bytes) -> None:
        key = index, int(self.now)
        self.received[key] = self.received.get(key, 0) + 1
        if (
            self.received[key] <= MAX_RECEIVED_PER_SECOND
            and (message := messages.decode_message(data)) is not None
        ):
            self.replicas[index].handle_message(message, self._wall_clock(self.clock_skews[index]))
            self._send_pending(index)
