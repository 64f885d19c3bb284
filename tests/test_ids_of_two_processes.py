"""An id is out at one process of an ingress only, whichever of the two a copy comes to.

Each process listens on a socket of its own, so that a test says which one takes a request.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import socket
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from opalgauge.handover.id_table import BUCKET_COUNT, BUCKET_SIZE, ENTRIES_PER_BUCKET, IdTable, _digest
from opalgauge.handover.process_table import ProcessTable
from opalgauge.memory.events import IdClaim
from tests import harness

LONG_FOLDER = "x" * 100  # of a path that is too long for the address of a Unix socket
ORDER, CHECK = ("POST", "/place-order"), ("GET", "/stock-check")


@dataclass
class Scene:
    processes: list[harness.Ingress]  # the old one and the new one
    arrived: list[bytes]
    may_answer: asyncio.Event  # until it is set, servers answer nothing
    open: list[asyncio.StreamWriter] = field(default_factory=list)  # connections of open requests

    async def open_request(
        self, process: int, name: str, kind: tuple[str, str] = ORDER
    ) -> asyncio.StreamWriter:
        """Sends a request; returns its connection once the request is at its server."""
        _, writer = await asyncio.open_connection(*self.processes[process].address)
        self.open.append(writer)
        writer.write(harness.request(*kind, correlation_id=name))
        while not self.arrivals(name):
            await asyncio.sleep(0.005)
        return writer

    async def status(self, process: int, name: str, kind: tuple[str, str] = ORDER) -> int:
        """The status of a request with this id."""
        answer = await self.processes[process].exchange(harness.request(*kind, correlation_id=name))
        return int(answer.split(b" ")[1])

    async def status_once_ended(self, process: int, name: str, kind: tuple[str, str] = ORDER) -> int:
        """The status of the first request that is not refused because the id is open."""
        for _ in range(300):
            if (status := await self.status(process, name, kind)) != 400:
                return status
            await asyncio.sleep(0.01)
        return 400

    def arrivals(self, name: str) -> int:
        return sum(f"Id: {name}\r\n".encode() in request for request in self.arrived)


def play(scenario: Callable[[Scene], Awaitable[None]], folder_name: str = "") -> None:
    async def run() -> None:
        may_answer = asyncio.Event()

        async def respond(_: bytes, __: asyncio.StreamWriter) -> bytes:
            await may_answer.wait()
            return harness.OK

        async with contextlib.AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory())) / folder_name
            folder.mkdir(exist_ok=True)
            server, received = await stack.enter_async_context(harness.stand_in(respond))
            counter, _ = await stack.enter_async_context(harness.stand_in(harness.counter()))
            agent, _ = await stack.enter_async_context(harness.stand_in(harness.no_response))
            processes = []
            for _ in range(2):
                listener = stack.enter_context(socket.socket())
                listener.bind(("127.0.0.1", 0))
                listener.listen(64)
                processes.append(
                    await stack.enter_async_context(
                        harness.ready_ingress(server, counter, agent, listener, str(folder))
                    )
                )
            scene = Scene(processes, received.requests, may_answer)
            try:
                await scenario(scene)
            finally:
                for writer in scene.open:
                    writer.close()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("folder_name", ["", LONG_FOLDER])
@pytest.mark.parametrize(("first", "second"), [(0, 1), (1, 0)])
def test_a_copy_of_an_open_order_does_not_run_at_the_other_process(
    first: int, second: int, folder_name: str
) -> None:
    """Guards against ids that one process of an upgrade knows, with a link between the two or without."""

    async def scenario(scene: Scene) -> None:
        await scene.open_request(first, "order-1")
        assert [await scene.status(second, "order-1") for _ in range(3)] == [400] * 3
        assert scene.arrivals("order-1") == 1
        scene.may_answer.set()
        assert await scene.status_once_ended(second, "order-1") == 200, "the id is given back"

    play(scenario, folder_name)


def test_an_order_that_comes_to_both_processes_at_once_runs_once() -> None:
    """Guards against a copy that comes in the gap in which an id is told to the other process."""

    async def scenario(scene: Scene) -> None:
        for turn in range(30):
            names = [f"order-{turn}-{number}" for number in range(2)]
            tasks = [asyncio.create_task(scene.status(n, name)) for name in names for n in (0, 1)]
            while not all(map(scene.arrivals, names)) or sum(task.done() for task in tasks) < len(names):
                await asyncio.sleep(0.002)
            scene.may_answer.set()
            assert Counter(await asyncio.gather(*tasks)) == {200: len(names), 400: len(names)}
            assert [scene.arrivals(name) for name in names] == [1] * len(names)
            scene.may_answer.clear()

    play(scenario)


@pytest.mark.parametrize("ends", [False, True])
@pytest.mark.parametrize(("first", "second"), [(0, 1), (1, 0)])
def test_an_order_whose_client_has_left_one_process_does_not_run_at_the_other(
    first: int, second: int, ends: bool
) -> None:
    """Guards against abandoned ids that one process knows, and that are forgotten as it ends."""

    async def scenario(scene: Scene) -> None:
        (await scene.open_request(first, "order-1")).close()
        if ends:
            scene.processes[first].process.send_signal(signal.SIGTERM)
            await scene.processes[first].process.wait()
        assert await scene.status_once_ended(second, "order-1") == 502
        assert scene.arrivals("order-1") == 1

    play(scenario)


def test_a_copy_is_judged_by_what_became_of_the_process_that_had_its_id() -> None:
    """Guards against a claim that waits for a stopped process, or forgets the orders of one that has died."""

    async def scenario(scene: Scene) -> None:
        old = scene.processes[0].process
        await scene.open_request(0, "order-1")
        await scene.open_request(0, "check-1", CHECK)
        old.send_signal(signal.SIGSTOP)
        assert await asyncio.wait_for(scene.status(1, "order-1"), 0.5) == 400
        assert await asyncio.wait_for(scene.status(1, "check-1", CHECK), 0.5) == 400
        old.send_signal(signal.SIGKILL)
        await old.wait()
        scene.may_answer.set()
        assert await scene.status(1, "order-1") == 502, "it may have run"
        assert await scene.status(1, "check-1", CHECK) == 200
        assert scene.arrivals("order-1") == 1

    play(scenario)


def open_table(folder: Path) -> IdTable:
    return IdTable(folder / "ids", ProcessTable(folder / "processes"))


def test_a_process_that_is_stopped_while_it_changes_an_entry_holds_up_no_other(tmp_path: Path) -> None:
    """Guards against a claim that is granted or waits where it cannot be told, and an id that stays open."""
    old, new = open_table(tmp_path), open_table(tmp_path)
    assert new.claim("order-1", False) is IdClaim.GRANTED
    bucket = _digest("order-1") % BUCKET_COUNT
    assert old.locks.try_lock(bucket)
    assert new.claim("order-1", False) is IdClaim.UNAVAILABLE
    new.release("order-1")
    old.locks.unlock(bucket)
    assert old.claim("order-1", False) is IdClaim.IN_USE
    assert new.claim("order-2", False) is IdClaim.GRANTED  # makes up for the release
    assert old.claim("order-1", False) is IdClaim.GRANTED
    old.processes.close()
    old.close()
    assert new.claim("order-1", False) is IdClaim.MAY_HAVE_RUN


def test_a_full_bucket_forgets_abandoned_ids_and_no_open_one(tmp_path: Path) -> None:
    """Guards against an open id that is pushed out by others."""
    table, other = open_table(tmp_path), open_table(tmp_path)
    names = (f"id-{number}" for number in itertools.count())
    in_bucket = (name for name in names if _digest(name) % BUCKET_COUNT == 0)
    same_bucket = list(itertools.islice(in_bucket, ENTRIES_PER_BUCKET + 1))
    for name in same_bucket[:-1]:
        assert table.claim(name, False) is IdClaim.GRANTED
    assert other.claim(same_bucket[-1], False) is IdClaim.UNAVAILABLE
    table.abandon(same_bucket[3])
    assert other.claim(same_bucket[-1], False) is IdClaim.GRANTED
    assert [other.claim(name, False) for name in same_bucket[:3]] == [IdClaim.IN_USE] * 3


def test_a_damaged_table_stops_no_request(tmp_path: Path) -> None:
    """Guards against a process that fails at what it reads."""
    table = open_table(tmp_path)
    (tmp_path / "ids").write_bytes(b"\xff" * BUCKET_SIZE * BUCKET_COUNT)
    assert table.claim("order-1", False) is IdClaim.GRANTED
    (tmp_path / "ids").write_bytes(b"")
    assert table.claim("order-1", False) is IdClaim.GRANTED
