"""The memory limit of a process binds, whatever crowds of clients send and however often they come back."""

from __future__ import annotations

import asyncio

from tests.memory_crowd import KINDS, MB, peak_under_crowd, peaks_of_lives

LEAST_MEMORY = 32  # MB
SMALL_MEMORY = 64  # MB


def test_a_small_memory_limit_binds_whatever_a_crowd_sends() -> None:
    """Guards against buffers that are counted late or not at all."""

    async def scenario() -> None:
        peaks = {kind: await peak_under_crowd(LEAST_MEMORY, [kind], seconds=2.5) / MB for kind in KINDS}
        assert {kind: peak for kind, peak in peaks.items() if peak > LEAST_MEMORY} == {}

    asyncio.run(scenario())


def test_a_crowd_that_comes_back_after_each_kill_is_held_within_the_limit() -> None:
    """Guards against a process that is killed again and again, as refused requests keep what was read."""

    async def scenario() -> None:
        peaks = [
            *await peaks_of_lives(SMALL_MEMORY, ["stop_half_way"], lives=2),
            *await peaks_of_lives(SMALL_MEMORY, ["pipelined_orders"], lives=2),
            *await peaks_of_lives(LEAST_MEMORY, list(KINDS), lives=2),
        ]
        limits = [SMALL_MEMORY] * 4 + [LEAST_MEMORY] * 2
        assert [peak / MB <= limit for peak, limit in zip(peaks, limits, strict=True)] == [True] * 6, peaks

    asyncio.run(scenario())
