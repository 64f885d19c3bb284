"""System calls of the program fail as Linux documents: it goes on serving and loses no request."""

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

TIME_LEFT = re.compile(rb"x-time-left: *([0-9.]+)", re.IGNORECASE)
ANSWER_TIMEOUT = 20.0  # s: far longer than any answer takes


@dataclass
class Scene:
    """An ingress whose system calls can be made to fail, and its server."""

    ingress: harness.Ingress
    shim: Shim
    server: harness.Received

    def cpu_seconds(self) -> float:
        """CPU time that the process has used so far."""
        stat_fields = Path(f"/proc/{self.ingress.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK")

    async def wait_for_fault(self, fault: str, least: int = 1) -> None:
        """Waits until the fault has been injected `least` times."""
        async with asyncio.timeout(ANSWER_TIMEOUT):
            while self.shim.injected_count(fault) < least:
                await asyncio.sleep(0.005)

    async def send_check(self, name: str) -> int:
        """Sends a repeatable request; returns the status of its answer."""
        return await self._status(harness.request("GET", "/stock-check", correlation_id=name))

    async def send_place(self, name: str) -> int:
        """Sends a request that must not run twice, with the longest time left that the deployment allows."""
        return await self._status(
            harness.request("POST", "/place-order", b"x", time_left="3.0", correlation_id=name)
        )

    async def _status(self, request: bytes) -> int:
        answer = self.ingress.exchange(request)
        return int((await asyncio.wait_for(answer, ANSWER_TIMEOUT))[9:12])


def ok(_: bytes, __: asyncio.StreamWriter) -> bytes:
    return harness.OK


@contextlib.asynccontextmanager
async def scene(folder: Path) -> AsyncIterator[Scene]:
    shim = Shim(str(folder))
    async with (
        harness.stand_in(ok) as (server_address, server),
        harness.stand_in(harness.counter()) as (counter_address, _),
        harness.stand_in(harness.no_response) as (list_address, _),
        harness.ready_ingress(server_address, counter_address, list_address, environ=shim.environ) as ingress,
    ):
        yield Scene(ingress, shim, server)


ACCEPT_ERRORS = ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN")


@pytest.mark.parametrize("error", ACCEPT_ERRORS)
def test_a_failing_accept_delays_a_client_and_loses_none(error: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with scene(tmp_path) as running:
            running.shim.inject("accept", getattr(errno, error))
            waiting = asyncio.create_task(running.send_check("waits"))
            await running.wait_for_fault("accept", 3)
            used, began = running.cpu_seconds(), time.monotonic()
            await asyncio.sleep(0.5)
            assert running.cpu_seconds() - used < (time.monotonic() - began) / 2, "it spins"
            running.shim.stop("accept")
            assert await waiting == 200
            assert await running.send_check("after") == 200

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_request_that_waited_to_be_accepted_is_forwarded_with_the_time_left(tmp_path: Path) -> None:
    # Soak seed 223: requests that had waited 0.25 s in the accept queue were forwarded with all their time.
    async def scenario() -> None:
        async with scene(tmp_path) as running:
            running.shim.inject("accept", errno.EMFILE)
            answer = asyncio.create_task(running.send_check("waits"))
            await running.wait_for_fault("accept", 3)
            began = time.monotonic()
            await asyncio.sleep(0.6)
            running.shim.stop("accept")
            waited = time.monotonic() - began
            assert await answer == 200 and await running.send_check("after") == 200
            running.shim.inject("accept", errno.EMFILE)
            reader, writer = await asyncio.open_connection(*running.ingress.address)
            await running.wait_for_fault("accept", 6)
            await asyncio.sleep(0.3)
            running.shim.stop("accept")
            await asyncio.sleep(0.1)  # it is accepted and sends its request only now
            writer.write(harness.request("GET", "/stock-check", correlation_id="asks-late"))
            assert b" 200 " in await asyncio.wait_for(harness.read_request(reader), ANSWER_TIMEOUT)
            writer.close()
            times_left = [float(TIME_LEFT.search(request)[1]) for request in running.server.requests]  # type: ignore[index]
            assert times_left[0] <= 1.0 - waited + 0.15, (
                "it was forwarded with time that its client does not have"
            )
            assert min(times_left[1:]) > 0.9

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_the_accept_delay_is_deducted_from_the_request_that_waited_and_no_other(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with scene(tmp_path) as running:
            running.shim.inject("accept", errno.EMFILE)
            reader, writer = await asyncio.open_connection(*running.ingress.address)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            await running.wait_for_fault("accept", 3)
            await asyncio.sleep(0.4)
            running.shim.stop("accept")
            for request in (b"", harness.request("GET", "/stock-check", correlation_id="asks-next")):
                writer.write(request)
                assert b" 200 " in await asyncio.wait_for(harness.read_request(reader), ANSWER_TIMEOUT)
            writer.close()
            (request,) = running.server.requests
            assert float(TIME_LEFT.search(request)[1]) > 0.9  # type: ignore[index]

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_clients_behind_a_failing_accept_are_answered_when_it_is_asked_to_stop(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with scene(tmp_path) as running:
            running.shim.inject("accept", errno.EMFILE)
            waiting = asyncio.create_task(running.send_place("waits"))
            await running.wait_for_fault("accept", 3)
            running.ingress.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.0)  # past the time in which it accepts connections
            running.shim.stop("accept")
            assert await waiting == 200
            assert await asyncio.wait_for(running.ingress.process.wait(), ANSWER_TIMEOUT) == 0

    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.mark.parametrize("call", ["socket", "connect"])
@pytest.mark.parametrize("error", ["EADDRNOTAVAIL", "ENETUNREACH", "EMFILE", "ENOBUFS", "ENOMEM"])
def test_a_server_that_cannot_be_connected_to_for_a_moment_fails_no_process(
    call: str, error: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with scene(tmp_path) as running:
            running.shim.inject(call, getattr(errno, error))
            assert await running.send_check("without") in (429, 502, 504)
            await running.wait_for_fault(call)
            running.shim.stop(call)
            async with asyncio.timeout(ANSWER_TIMEOUT):
                while await running.send_check(f"after-{time.monotonic_ns()}") != 200:
                    await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_short_reads_and_writes_change_no_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with scene(tmp_path) as running:
            running.shim.inject("short_read", 7)
            running.shim.inject("short_write", 5)
            running.shim.inject("accept", errno.EINTR, percent=60)
            running.shim.inject("read", errno.EINTR, percent=20)
            running.shim.inject("write", errno.EINTR, percent=20)
            for n in range(8):
                assert await running.send_check(f"piecewise-{n}") == 200
            for fault in ("short_read", "short_write", "accept", "read", "write"):
                await running.wait_for_fault(fault)

    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"])
def test_a_broken_connection_affects_no_other(error: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with scene(tmp_path) as running:
            running.shim.inject("read", getattr(errno, error))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await running.send_check("broken")
            await running.wait_for_fault("read")
            running.shim.stop("read")
            async with asyncio.timeout(ANSWER_TIMEOUT):
                while await running.send_check(f"after-{time.monotonic_ns()}") != 200:
                    await asyncio.sleep(0.05)
            assert not [r for r in running.server.requests if b"broken" in r]

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_the_preloaded_library_injects_the_faults_it_is_told(tmp_path: Path) -> None:
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
