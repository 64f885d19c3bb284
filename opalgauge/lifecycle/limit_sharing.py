"""Keeps this process within its part of the limits that hold for all processes of its ingress together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from opalgauge.handover import id_table, process_table
from opalgauge.handover.limit_shares import Holding, SharedLimit
from opalgauge.handover.process_table import ProcessTable
from opalgauge.lifecycle.process_memory import count_descriptors, measure_memory
from opalgauge.memory.buffers import MIB, MemoryLimits, ProcessMemory
from opalgauge.memory.events import Event, MemoryMeasured, ProcessCountChanged, SocketLimitsChanged
from opalgauge.memory.sockets import RESERVED_SOCKETS, SocketLimits
from opalgauge.memory.state import IngressConfig
from opalgauge.wire.streamed_body import ReadBudget

POLL_INTERVAL = 0.1  # s; a process that starts takes longer until it serves
START_MEMORY = 2 * MIB  # that a start takes for a while, and for what it is handed over
MIN_SHARED_MEMORY = 8 * MIB  # beside two idle processes, for both to serve with
MIN_SHARED_SOCKETS = 32  # the same, in descriptors
# The part of that which a process leaves to a second one while it is alone. Memory is given back late, if at
# all; descriptors at once.
MEMORY_SUCCESSOR_DIVISOR, SOCKET_SUCCESSOR_DIVISOR = 4, 8
SHARED_FILES = process_table.FILE_SIZE + id_table.FILE_SIZE  # bytes; they count as memory


def held_now() -> Holding:
    """What this process holds."""
    memory = measure_memory()
    return Holding(memory.anonymous if memory is not None else 0, count_descriptors())


def shared_memory_limit(process_limit: int, idle: ProcessMemory) -> SharedLimit | None:
    """The limit on the anonymous memory of all processes; None if two of them do not fit.

    Mapped files are counted once, as processes of one program share them, and only where MIN_SHARED_MEMORY is
    left beside them: the system can reclaim them.
    """
    left = process_limit - SHARED_FILES - START_MEMORY
    total = max(left - idle.mapped, min(left, 2 * idle.anonymous + MIN_SHARED_MEMORY))
    limit = SharedLimit(total, idle.anonymous, MEMORY_SUCCESSOR_DIVISOR)
    return limit if limit.beside_two >= MIN_SHARED_MEMORY else None


def shared_socket_limit(sockets: int) -> SharedLimit | None:
    """The limit on the descriptors of all processes; None if two of them do not fit."""
    limit = SharedLimit(sockets, RESERVED_SOCKETS, SOCKET_SUCCESSOR_DIVISOR)
    return limit if limit.beside_two >= MIN_SHARED_SOCKETS else None


class LimitSharing:
    """Follows the other processes of this ingress, and reports this one's part of the limits to the reducer.

    Until the process has been measured (`start`) it reports only how many processes there are.
    """

    def __init__(
        self,
        processes: ProcessTable,
        config: IngressConfig,
        report: Callable[[Event], None],
        read_budget: ReadBudget,
    ) -> None:
        self.processes, self.config, self.report, self.read_budget = processes, config, report, read_budget
        self.loop = asyncio.get_running_loop()
        self.idle: ProcessMemory | None = None
        self.memory_limit: SharedLimit | None = None
        self.socket_limit = shared_socket_limit(config.socket_limit)
        self.linked_count = 1  # processes of which the handover link tells, this one included
        self.process_count = 1
        self.part = Holding()  # what was reported last

    def start(self, idle: ProcessMemory, log: Callable[[str], None]) -> None:
        """Takes this process's part of the limits; `idle` is what it takes while it serves nobody."""
        self.idle, self.memory_limit = idle, shared_memory_limit(self.config.memory_limit, idle)
        if self.memory_limit is None or self.socket_limit is None:
            log("handover: the limits leave no room for a second process beside this one")
        self._settle()

    def count_linked(self, linked_count: int) -> None:
        """Takes over how many processes the link tells of. Those of another version are known by it alone."""
        self.linked_count = linked_count
        self._settle()

    def follow(self) -> None:
        """Settles this process's part from now on."""
        self._settle()
        self.loop.call_later(POLL_INTERVAL, self.follow)

    def _settle(self) -> None:
        events: list[Event] = []

        def decide(others: list[Holding]) -> Holding:
            process_count = max(len(others) + 1, self.linked_count)
            if process_count != self.process_count:
                self.process_count = process_count
                events.append(ProcessCountChanged(process_count))
            others += [self._holding_of_unlisted()] * (process_count - 1 - len(others))
            return self._decide(others, events)

        self.processes.settle(decide)
        for event in events:
            self.report(event)

    def _decide(self, others: list[Holding], events: list[Event]) -> Holding:
        """Adds the events that report this process's part, if it has changed; returns what it holds."""
        held = held_now() if others or self.idle is None else Holding()
        if self.idle is None:
            return held
        memory = self._memory_part([other.memory for other in others])
        sockets = self._socket_part([other.sockets for other in others])
        if memory != self.part.memory:
            limits = self._memory_limits(memory, self.idle)
            self.read_budget.total = limits.stream_reads
            events.append(MemoryMeasured(limits))
        if sockets != self.part.sockets:
            events.append(SocketLimitsChanged(SocketLimits.of_process(sockets, self.config.max_open)))
        self.part = Holding(memory, sockets)
        return Holding(max(memory, held.memory), max(sockets, held.sockets))

    def _holding_of_unlisted(self) -> Holding:
        """What a process is taken to hold that is linked and has no entry."""
        return Holding(self.config.memory_limit // 2, self.config.socket_limit // 2)

    def _memory_part(self, others: list[int]) -> int:
        return self.config.memory_limit if self.memory_limit is None else self.memory_limit.part(others)

    def _memory_limits(self, part: int, idle: ProcessMemory) -> MemoryLimits:
        if self.memory_limit is None:
            return MemoryLimits.of_process(part, idle)
        return MemoryLimits.dividing(part - idle.anonymous)

    def _socket_part(self, others: list[int]) -> int:
        return self.config.socket_limit if self.socket_limit is None else self.socket_limit.part(others)
