"""SIGKILL at the earliest moment that the platform allows: by then, every request that was read is answered.

Real processes over loopback. The platform waits between SIGTERM and SIGKILL for the deployment's longest
deadline, but at most 3 s, and another 0.7 s.
"""

from __future__ import annotations

import asyncio

import pytest

from tests import harness
from tests.kill_scene import BUFFERED_SIZE, STREAMED_SIZE, KillScene, scene

LATE_REQUEST_DELAY = 0.9  # s after SIGTERM: the deadline of a request that arrives then is after the kill
FAILURE_STATUSES = (502, 504)  # a request that may have run is not answered as refused
REFUSED_STATUS = 429


def assert_final_status(running: KillScene, name: str, *statuses: int) -> None:
    """Checks the status of a request; one that was not sent to a server may have been refused.

    A machine that stops for some ten milliseconds during the first answers makes them late against their aim.
    The ingress counts that as overload, and refuses requests before it sends them.
    """
    allowed = statuses if running.was_sent(name) else (*statuses, REFUSED_STATUS)
    assert running.clients[name].status in allowed, name


def test_a_request_read_after_the_start_of_an_upgrade_is_answered_before_the_kill() -> None:
    async def scenario() -> None:
        async with scene(3.0, successor=True) as (running, second):
            # Before the new process starts, so that the old one accepts the connection.
            await running.connect("late")
            async with second:
                termination = running.terminate()
                await termination.wait_until(LATE_REQUEST_DELAY)
                running.send_request("late")
                await termination.finish()
        late = running.clients["late"]
        assert late.complete_at is not None and late.complete_at < termination.kill_at
        assert late.status in FAILURE_STATUSES

    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.mark.parametrize("successor", [False, True], ids=["stop", "upgrade"])
@pytest.mark.parametrize("deadline", [0.4, 3.0, 8.0])
def test_the_earliest_kill_finds_a_request_in_every_state(deadline: float, successor: bool) -> None:
    sent = ("early", "begun", "later")
    others = ("streamed", "big", "half-head", "half-body", "long-body", "silent", "last")

    async def scenario() -> None:
        async with scene(deadline, successor) as (running, second):
            await running.connect(*sent, *others)
            async with second:
                running.send_request("early")
                running.send_request("begun")
                running.send_request("streamed")
                running.clients["half-head"].send(b"POST /place-order HTTP/1.1\r\nX-Corr")
                running.send_request("half-body", "Content-Length: 100\r\n", b"")
                running.send_request("long-body", "Content-Length: 900000\r\n", b"")
                running.clients["long-body"].send(b"l" * 100_000)
                running.send_request("big")
                termination = running.terminate()
                await termination.wait_until(0.35)
                if not successor:
                    new = await running.open_client("new")
                    running.send_request("new")
                    new.start_reading()
                running.send_request("later")
                await termination.wait_until(termination.kill_at - termination.terminated_at - 0.05)
                running.send_request("last")
                await termination.finish()
        clients = running.clients
        for name in (*sent, *(["new"] if not successor else [])):
            client = clients[name]
            assert client.complete_at is not None and client.complete_at < termination.kill_at, name
            assert_final_status(running, name, *FAILURE_STATUSES)
        assert_final_status(running, "big", 200)
        assert clients["big"].status != 200 or len(clients["big"].received) > BUFFERED_SIZE
        for name in ("half-body", "long-body"):
            client = clients[name]
            assert client.complete_at is not None and client.complete_at < termination.kill_at, name
        assert clients["half-body"].status in (*FAILURE_STATUSES, 408)
        assert_final_status(running, "long-body", *FAILURE_STATUSES, 408)
        streamed = clients["streamed"]
        assert_final_status(running, "streamed", 200)
        assert len(streamed.received) < STREAMED_SIZE, "it looks complete"
        for name in ("half-head", "silent", "streamed"):
            ended = clients[name].ended_at
            assert ended is not None and ended < termination.kill_at, f"{name}: open until the kill"
        # Its connection was closed before the request was sent, so the client knows that it was not read.
        last = clients["last"].ended_at
        assert last is not None and last < termination.kill_at - 0.05

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_overload_refuses_only_requests_that_no_server_was_sent() -> None:
    names = ("first", "second", "third", "long-body")

    async def scenario() -> None:
        async with scene(0.4, successor=False) as (running, _):
            await running.connect(*names)
            # Answers that take twice their aim are an overload.
            slow = [f"slow-{number}" for number in range(4)]
            await asyncio.gather(*(running.connect_with(name, name) for name in slow))
            for name in names[:-1]:
                running.send_request(name)
            running.send_request("long-body", "Content-Length: 900000\r\n", b"")
            running.clients["long-body"].send(b"l" * 100_000)
            termination = running.terminate()
            await termination.finish()
        for name in names:
            client = running.clients[name]
            assert client.complete_at is not None and client.complete_at < termination.kill_at, name
            expected = (*FAILURE_STATUSES, 408) if running.was_sent(name) else (REFUSED_STATUS,)
            assert client.status in expected, name
        assert not all(running.was_sent(name) for name in names), "nothing was refused"

    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.mark.parametrize("successor", [False, True], ids=["stop", "upgrade"])
def test_a_request_that_waits_for_a_silent_counter_is_answered_before_the_kill(successor: bool) -> None:
    async def scenario() -> None:
        async with scene(0.4, successor, harness.no_response) as (running, second):
            for name in ("early", "later"):
                client = await running.open_client(name)
                client.start_reading()
            async with second:
                running.send_request("early")
                termination = running.terminate()
                await termination.wait_until(0.5)
                running.send_request("later")
                await termination.finish()
        for name in ("early", "later"):
            client = running.clients[name]
            assert client.complete_at is not None and client.complete_at < termination.kill_at, name
            assert client.status in (*FAILURE_STATUSES, 429), name

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_shared_descriptor_without_a_successor_rejects_no_clients() -> None:
    async def scenario() -> None:
        async with scene(3.0, successor=True) as (running, _):
            await running.connect("kept")
            termination = running.terminate()
            await termination.wait_until(0.3)
            client = await running.open_client("warm-new")
            running.send_request("warm-new")
            client.start_reading()
            await termination.finish()
        assert running.clients["warm-new"].status == 200

    asyncio.run(asyncio.wait_for(scenario(), 60))
