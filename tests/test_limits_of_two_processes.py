"""The limits on memory and descriptors hold for both processes of an upgrade together."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import tempfile
import threading
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from opalgauge.handover.limit_shares import Holding, SharedLimit
from opalgauge.handover.process_table import ProcessTable
from tests import harness
from tests.memory_crowd import MB, SAMPLE_INTERVAL, anonymous_memory, answer, crowd, mapped_memory
from tests.test_upgrade_faults import wait_for_record

LONG_FOLDER = "x" * 100  # of a path that is too long for the address of a Unix socket
FILL_TIME = 3.0  # s in which a crowd takes all that the old process gives
OVERLAP = 2.5  # s of the crowd at both processes


@dataclass
class Sampler:
    """Records the peaks of what processes take together, in a thread of its own."""

    pids: list[int] = field(default_factory=list)
    memory: int = 0  # bytes: anonymous memory of each process, and mapped files once
    descriptors: int = 0
    stopped: threading.Event = field(default_factory=threading.Event)

    def sample(self) -> None:
        while not self.stopped.wait(SAMPLE_INTERVAL):
            pids = list(self.pids)
            mapped = max(map(mapped_memory, pids), default=0)
            self.memory = max(self.memory, mapped + sum(map(anonymous_memory, pids)))
            descriptors = 0
            for pid in pids:
                with contextlib.suppress(OSError):
                    descriptors += len(os.listdir(f"/proc/{pid}/fd"))
            self.descriptors = max(self.descriptors, descriptors)


@contextlib.asynccontextmanager
async def sampling() -> AsyncIterator[Sampler]:
    sampler = Sampler()
    thread = threading.Thread(target=sampler.sample, daemon=True)
    thread.start()
    try:
        yield sampler
    finally:
        sampler.stopped.set()
        thread.join()


async def upgrade_under_crowd(
    kinds: list[str], size: int, memory_mb: float, sockets: int, folder_name: str = ""
) -> Sampler:
    """Replaces a process while a crowd keeps coming back; returns what both took."""
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory())) / folder_name
        folder.mkdir(exist_ok=True)
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(512)
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        stack.callback(server.close)
        host, port = server.sockets[0].getsockname()
        counter, _ = await stack.enter_async_context(harness.stand_in(harness.counter()))
        agent, _ = await stack.enter_async_context(harness.stand_in(harness.no_response))
        sampler = await stack.enter_async_context(sampling())

        async def start() -> harness.Ingress:
            ingress = await stack.enter_async_context(
                harness.starting_ingress(
                    f"{host}:{port}", counter, agent, listener, str(folder),
                    memory_mb=memory_mb, sockets=sockets,
                )
            )  # fmt: skip
            sampler.pids.append(ingress.process.pid)
            assert ingress.process.stderr is not None
            while b"ready" not in await asyncio.wait_for(ingress.process.stderr.readline(), 60):
                assert ingress.process.returncode is None
            return ingress

        old = await start()
        async with crowd(old.address, kinds, size, comes_again=True):
            await asyncio.sleep(FILL_TIME)
            new = await start()
            old.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(OVERLAP)
            assert new.process.returncode is None
        await asyncio.wait_for(old.process.wait(), 10)
        sampler.pids.remove(old.process.pid)
        assert b" 200 " in await new.send_request("GET", "/stock-check")
        return sampler


@pytest.mark.parametrize(
    ("kinds", "memory_mb"),
    [(["half_head"], 96), (["half_head"], 80), (["many_fields", "stop_half_way", "unread_answer"], 80)],
)
def test_two_processes_stay_within_the_memory_limit_of_one_ingress(kinds: list[str], memory_mb: int) -> None:
    """Guards against processes that each plan with the whole limit, and a start that finds no room left."""
    sampler = asyncio.run(asyncio.wait_for(upgrade_under_crowd(kinds, 285, memory_mb, 1024), 60))
    assert sampler.memory / MB <= memory_mb


@pytest.mark.parametrize("folder_name", ["", LONG_FOLDER])
@pytest.mark.parametrize(("kind", "sockets"), [("silent", 256), ("half_head", 384)])
def test_two_processes_stay_within_the_descriptors_of_one_ingress(
    kind: str, sockets: int, folder_name: str
) -> None:
    """Guards against processes that each plan with all descriptors, with a link between them or without."""
    sampler = asyncio.run(
        asyncio.wait_for(upgrade_under_crowd([kind], sockets, 192, sockets, folder_name), 60)
    )
    assert sampler.descriptors <= sockets


@given(st.lists(st.tuples(st.integers(0, 1), st.booleans(), st.floats(0, 1)), max_size=40))
def test_parts_never_add_up_to_more_than_the_limit(steps: list[tuple[int, bool, float]]) -> None:
    """Guards against a part that grows before the other process has given its own back."""
    limit = SharedLimit(96, 26, 4)
    holds: dict[int, int] = {}
    for process, ends, use in steps:
        others = [held for number, held in holds.items() if number != process]
        if ends:
            holds.pop(process, None)
            continue
        part = limit.part(others)
        in_use = int(holds.get(process, limit.idle) * use)  # of what it was allowed before
        holds[process] = max(part, in_use, limit.idle)
        assert sum(holds.values()) <= limit.total


def test_what_a_process_holds_counts_while_it_lives_and_no_longer(tmp_path: Path) -> None:
    """Guards against a stopped process that is taken for none, and a dead one that is counted for good."""
    path, seen = tmp_path / "processes", []

    def settle(others: list[Holding]) -> Holding:
        seen.append(others)
        return Holding(10, 1)

    first, second = ProcessTable(path, Holding(50, 5)), ProcessTable(path, Holding(20, 2))
    assert second.settle(settle) and seen.pop() == [Holding(50, 5)]
    assert first.settle(settle) and seen.pop() == [Holding(10, 1)]
    assert first.locks.try_lock(0) and not second.settle(settle) and not seen
    first.locks.unlock(0)
    first.close()
    assert second.settle(settle) and seen.pop() == []
    third = ProcessTable(path)
    assert third.number == 3 and third.settle(settle) and seen.pop() == [Holding(10, 1)]


def test_processes_count_each_other_without_a_link() -> None:
    """Guards against ceilings that both processes use in full where their link cannot be opened."""

    async def scenario() -> None:
        with tempfile.TemporaryDirectory() as parent, socket.socket() as listener:
            folder = Path(parent) / LONG_FOLDER
            folder.mkdir()
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            async with (
                harness.stand_in(harness.counter()) as (counter, _),
                harness.stand_in(harness.no_response) as (agent, __),
                harness.ready_ingress(counter, counter, agent, listener, str(folder)) as old,
            ):
                async with harness.ready_ingress(counter, counter, agent, listener, str(folder)) as new:
                    await wait_for_record(new, b"2 processes of this ingress")
                    await wait_for_record(old, b"2 processes of this ingress")
                await wait_for_record(old, b"1 processes of this ingress")

    asyncio.run(asyncio.wait_for(scenario(), 60))
