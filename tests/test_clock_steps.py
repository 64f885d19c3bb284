"""Faults of the machine: the wall clock is stepped by an hour, the disk is full, nobody reads the log."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
import tempfile
from pathlib import Path

import pytest

from opalgauge.console import ban_record
from opalgauge.console.ban_file import FILE_NAME, TEMP_NAME
from tests import harness
from tests.shim import Shim

HOUR = 3600


def ok(_: bytes, __: asyncio.StreamWriter) -> bytes:
    return harness.OK


def window_names(counter: harness.Received) -> set[bytes]:
    """The counter names that were charged; each stands for one window."""
    return {request.split(b" ")[1].partition(b"?")[0] for request in counter.requests if b"by=2" in request}


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_an_upgrade_over_a_stepped_clock_keeps_windows_and_bans(step: int) -> None:
    # A window of this quota is 5 s long, so both processes together charge two at most.
    async def scenario() -> None:
        with socket.socket() as listener, tempfile.TemporaryDirectory() as scratch:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            shim = Shim(scratch)
            async with (
                harness.stand_in(ok) as (server_address, _),
                harness.stand_in(harness.counter()) as (counter_address, counter),
                harness.stand_in(harness.no_response) as (list_address, _),
                harness.ready_ingress(
                    server_address, counter_address, list_address, listener, scratch, environ=shim.environ
                ) as old,
            ):
                assert b" 200 " in await old.send_request("GET", "/stock-check")
                shim.inject("wall_clock", step)
                async with harness.ready_ingress(
                    server_address, counter_address, list_address, listener, scratch, environ=shim.environ
                ) as new:
                    assert (await old.call_admin(b"maint-on s-1\n")).startswith(b"200")
                    old.process.send_signal(signal.SIGTERM)
                    assert await asyncio.wait_for(old.process.wait(), 20) == 0
                    async with asyncio.timeout(20):
                        while b"skipped_backends=1" not in await new.call_admin(b"stats\n"):
                            await asyncio.sleep(0.02)
                    assert (await new.call_admin(b"maint-off s-1\n")).startswith(b"200")
                    assert b" 200 " in await new.send_request("GET", "/stock-check")
                assert shim.injected_count("wall_clock") > 0
                assert 1 <= len(window_names(counter)) <= 3, "the two processes charge windows an hour apart"

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_clock_step_while_serving_changes_no_timeout_and_no_drain(tmp_path: Path) -> None:
    async def scenario() -> None:
        shim = Shim(str(tmp_path))
        async with (
            harness.stand_in(harness.no_response) as (server_address, _),
            harness.stand_in(harness.counter()) as (counter_address, _),
            harness.stand_in(harness.no_response) as (list_address, _),
            harness.ready_ingress(
                server_address, counter_address, list_address, environ=shim.environ
            ) as ingress,
        ):
            loop = asyncio.get_running_loop()
            for step in (HOUR, -HOUR):
                shim.inject("wall_clock", step)
                began = loop.time()
                answer = await ingress.exchange(
                    harness.request(
                        "POST", "/place-order", b"x", time_left="0.5", correlation_id=f"step{step}"
                    )
                )
                assert answer.startswith((b"HTTP/1.1 504", b"HTTP/1.1 502"))
                assert 0.3 < loop.time() - began < 0.6
            ingress.process.send_signal(signal.SIGTERM)
            began = loop.time()
            assert await asyncio.wait_for(ingress.process.wait(), 20) == 0
            assert loop.time() - began < 3.7

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_ban_on_a_full_disk_survives_an_upgrade_and_is_written_when_there_is_space() -> None:
    async def scenario() -> None:
        with socket.socket() as listener, tempfile.TemporaryDirectory() as scratch:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            with tempfile.TemporaryDirectory() as apart:
                shim = Shim(apart)
                async with (
                    harness.stand_in(ok) as (server_address, _),
                    harness.stand_in(harness.counter()) as (counter_address, _),
                    harness.stand_in(harness.no_response) as (list_address, _),
                    harness.ready_ingress(
                        server_address, counter_address, list_address, listener, scratch, environ=shim.environ
                    ) as old,
                ):
                    shim.inject("file_system", errno.ENOSPC)
                    assert (await old.call_admin(b"maint-on s-1\n")).startswith(b"200")
                    assert shim.injected_count("file_system") > 0
                    kept = Path(scratch) / FILE_NAME
                    assert not kept.exists()
                    async with harness.ready_ingress(
                        server_address, counter_address, list_address, listener, scratch, environ=shim.environ
                    ) as new:
                        assert b"skipped_backends=1" in await new.call_admin(b"stats\n")
                        shim.stop("file_system")
                        async with asyncio.timeout(20):
                            while not kept.exists():
                                await asyncio.sleep(0.02)
                        file_bans = ban_record.decode(kept.read_bytes())
                        assert file_bans is not None and [(name, out) for name, out, _ in file_bans] == [
                            ("s-1", True)
                        ]

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_restart_over_a_truncated_ban_file_serves_and_keeps_new_bans() -> None:
    async def scenario() -> None:
        with tempfile.TemporaryDirectory() as scratch:
            (Path(scratch) / FILE_NAME).write_bytes(b"opalgauge-marks-1 400 ab")
            (Path(scratch) / TEMP_NAME).write_bytes(b"opalgau")
            async with (
                harness.stand_in(ok) as (server_address, _),
                harness.stand_in(harness.counter()) as (counter_address, _),
                harness.stand_in(harness.no_response) as (list_address, _),
                harness.ready_ingress(
                    server_address, counter_address, list_address, temp_folder=scratch
                ) as ingress,
            ):
                assert b" 200 " in await ingress.send_request("GET", "/stock-check")
                assert (await ingress.call_admin(b"maint-on s-1\n")).startswith(b"200")
                file_bans = ban_record.decode((Path(scratch) / FILE_NAME).read_bytes())
                assert file_bans is not None and file_bans[0][:2] == ("s-1", True)

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_closed_log_pipe_does_not_stop_service(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            harness.stand_in(ok) as (server_address, _),
            harness.stand_in(harness.counter()) as (counter_address, _),
            harness.stand_in(harness.no_response) as (list_address, _),
            harness.ready_ingress(server_address, counter_address, list_address) as ingress,
        ):
            # Closes the reading end of its standard error: writing a log line fails from now on.
            transport = ingress.process._transport.get_pipe_transport(2)  # type: ignore[attr-defined]
            transport.close()
            await asyncio.sleep(0)
            assert (await ingress.call_admin(b"maint-on s-1\n")).startswith(b"200")  # writes a log line
            assert (await ingress.call_admin(b"maint-off s-1\n")).startswith(b"200")
            assert b" 200 " in await ingress.send_request("GET", "/stock-check")
            ingress.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(ingress.process.wait(), 20) == 0

    asyncio.run(asyncio.wait_for(scenario(), 60))
