"""System calls that fail as Linux documents, in the program's own process: it serves on and loses nothing."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests import harness
from tests.shim import Shim

LEFT = re.compile(rb"x-time-left: *([0-9.]+)", re.IGNORECASE)
ANSWERED = 20.0  # s: far longer than any answer takes


@dataclass
class Scene:
    ingress: harness.Ingress
    shim: Shim
    node: harness.Received

    def cpu_seconds(self) -> float:
        """What the process has used of the processor so far."""
        words = Path(f"/proc/{self.ingress.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")

    async def given(self, fault: str, least: int = 1) -> None:
        """The fault has reached the program."""
        async with asyncio.timeout(ANSWERED):
            while self.shim.injected_count(fault) < least:
                await asyncio.sleep(0.005)

    async def check(self, name: str) -> int:
        return await self._status(harness.request("GET", "/stock-check", correlation_id=name))

    async def place(self, name: str) -> int:
        """For a client that waits as long as the deployment lets it."""
        return await self._status(
            harness.request("POST", "/place-order", b"x", time_left="3.0", correlation_id=name)
        )

    async def _status(self, request: bytes) -> int:
        answer = self.ingress.exchange(request)
        return int((await asyncio.wait_for(answer, ANSWERED))[9:12])


def ok(_: bytes, __: asyncio.StreamWriter) -> bytes:
    return harness.OK


@contextlib.asynccontextmanager
async def scene(folder: Path) -> AsyncIterator[Scene]:
    shim = Shim(str(folder))
    async with (
        harness.stand_in(ok) as (node_at, node),
        harness.stand_in(harness.counter()) as (quota_at, _),
        harness.stand_in(harness.no_response) as (list_at, _),
        harness.ready_ingress(node_at, quota_at, list_at, environ=shim.environ) as ingress,
    ):
        yield Scene(ingress, shim, node)


ACCEPT_ERRORS = ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN")


@pytest.mark.parametrize("error", ACCEPT_ERRORS)
def test_an_accept_that_fails_for_a_moment_delays_a_client_and_loses_none(error: str, tmp_path: Path) -> None:
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.shim.inject("accept", getattr(errno, error))
            waiting = asyncio.create_task(here.check("waits"))
            await here.given("accept", 3)
            used, began = here.cpu_seconds(), time.monotonic()
            await asyncio.sleep(0.5)
            assert here.cpu_seconds() - used < (time.monotonic() - began) / 2, "it spins"
            here.shim.stop("accept")
            assert await waiting == 200
            assert await here.check("after") == 200

    asyncio.run(asyncio.wait_for(play(), 60))


def test_a_request_that_waited_to_be_accepted_is_sent_on_with_what_is_left(tmp_path: Path) -> None:
    # The soak's seed 223: requests that lay 0.25 s in the accept queue were sent on with all of their time.
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.shim.inject("accept", errno.EMFILE)
            asked = asyncio.create_task(here.check("waits"))
            await here.given("accept", 3)
            began = time.monotonic()
            await asyncio.sleep(0.6)
            here.shim.stop("accept")
            waited = time.monotonic() - began
            assert await asked == 200 and await here.check("after") == 200
            here.shim.inject("accept", errno.EMFILE)
            reader, writer = await asyncio.open_connection(*here.ingress.address)
            await here.given("accept", 6)
            await asyncio.sleep(0.3)
            here.shim.stop("accept")
            await asyncio.sleep(0.1)  # it is accepted, and asks only now
            writer.write(harness.request("GET", "/stock-check", correlation_id="asks-late"))
            assert b" 200 " in await asyncio.wait_for(harness.read_request(reader), ANSWERED)
            writer.close()
            told = [float(LEFT.search(request)[1]) for request in here.node.requests]  # type: ignore[index]
            assert told[0] <= 1.0 - waited + 0.15, "it has been sent on with time that its client has not"
            assert min(told[1:]) > 0.9

    asyncio.run(asyncio.wait_for(play(), 60))


def test_what_was_waited_is_taken_off_the_request_that_waited_and_no_other(tmp_path: Path) -> None:
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.shim.inject("accept", errno.EMFILE)
            reader, writer = await asyncio.open_connection(*here.ingress.address)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            await here.given("accept", 3)
            await asyncio.sleep(0.4)
            here.shim.stop("accept")
            for request in (b"", harness.request("GET", "/stock-check", correlation_id="asks-next")):
                writer.write(request)
                assert b" 200 " in await asyncio.wait_for(harness.read_request(reader), ANSWERED)
            writer.close()
            (request,) = here.node.requests
            assert float(LEFT.search(request)[1]) > 0.9  # type: ignore[index]

    asyncio.run(asyncio.wait_for(play(), 60))


def test_clients_behind_a_failing_accept_are_answered_when_it_is_asked_to_stop(tmp_path: Path) -> None:
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.shim.inject("accept", errno.EMFILE)
            waiting = asyncio.create_task(here.place("waits"))
            await here.given("accept", 3)
            here.ingress.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.0)  # past the time in which it accepts
            here.shim.stop("accept")
            assert await waiting == 200
            assert await asyncio.wait_for(here.ingress.process.wait(), ANSWERED) == 0

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("call", ["socket", "connect"])
@pytest.mark.parametrize("error", ["EADDRNOTAVAIL", "ENETUNREACH", "EMFILE", "ENOBUFS", "ENOMEM"])
def test_a_server_that_cannot_be_dialled_for_a_moment_fails_no_process(
    call: str, error: str, tmp_path: Path
) -> None:
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.shim.inject(call, getattr(errno, error))
            assert await here.check("without") in (429, 502, 504)
            await here.given(call)
            here.shim.stop(call)
            async with asyncio.timeout(ANSWERED):
                while await here.check(f"after-{time.monotonic_ns()}") != 200:
                    await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(play(), 60))


def test_short_reads_and_writes_change_no_answer(tmp_path: Path) -> None:
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.shim.inject("short_read", 7)
            here.shim.inject("short_write", 5)
            here.shim.inject("accept", errno.EINTR, percent=60)
            here.shim.inject("read", errno.EINTR, percent=20)
            here.shim.inject("write", errno.EINTR, percent=20)
            for n in range(8):
                assert await here.check(f"piecewise-{n}") == 200
            for fault in ("short_read", "short_write", "accept", "read", "write"):
                await here.given(fault)

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"])
def test_connections_that_break_end_alone(error: str, tmp_path: Path) -> None:
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.shim.inject("read", getattr(errno, error))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await here.check("broken")
            await here.given("read")
            here.shim.stop("read")
            async with asyncio.timeout(ANSWERED):
                while await here.check(f"after-{time.monotonic_ns()}") != 200:
                    await asyncio.sleep(0.05)
            assert not [r for r in here.node.requests if b"broken" in r]

    asyncio.run(asyncio.wait_for(play(), 60))


def test_the_library_gives_what_it_says(tmp_path: Path) -> None:
    shim = Shim(str(tmp_path))
    shim.inject("file_system", errno.ENOSPC)
    shim.inject("wall_clock", 3600)
    shim.inject("socket", errno.EMFILE)
    script = (
        "import errno, socket, time\n"
        "assert time.time() - time.clock_gettime(time.CLOCK_MONOTONIC) > 0\n"
        "try:\n open('written', 'w')\nexcept OSError as bad:\n assert bad.errno == errno.ENOSPC\n"
        "else:\n raise SystemExit('opened')\n"
        "try:\n socket.socket()\nexcept OSError as bad:\n assert bad.errno == errno.EMFILE\n"
        "else:\n raise SystemExit('made')\n"
        "print(time.time())\n"
    )

    done = subprocess.run(
        [sys.executable, "-S", "-c", script], cwd=tmp_path, capture_output=True, text=True, timeout=60,
        env={**os.environ, **shim.environ},
    )  # fmt: skip
    assert done.returncode == 0, done.stderr
    assert 3590 < float(done.stdout) - time.time() < 3610
    for fault in ("file_system", "wall_clock", "socket"):
        assert shim.injected_count(fault) >= 1
