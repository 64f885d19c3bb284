"""SIGKILL at the earliest moment that the platform allows: every request that was read has had its answer.

Real processes over loopback. The platform sends SIGKILL no sooner after SIGTERM than the deployment's longest
deadline, counted as 3 s at most, and 0.7 s.
"""

from __future__ import annotations

import asyncio

import pytest

from tests import harness
from tests.kill_scene import BIG, STREAMED, scene

LATE = 0.9  # s after SIGTERM: a request that comes then may wait beyond the kill
FAILED = (502, 504)  # what may have run is not called refused


def test_a_request_read_after_the_start_of_an_upgrade_is_answered_before_the_kill() -> None:
    async def play() -> None:
        async with scene(3.0, successor=True) as (here, second):
            # While the old process is alone, so that it is the one that has the connection.
            await here.connect("late")
            async with second:
                stop = here.stop()
                await stop.at(LATE)
                here.place("late")
                await stop.end()
        late = here.clients["late"]
        assert late.whole_at is not None and late.whole_at < stop.kill
        assert late.status in FAILED

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("successor", [False, True], ids=["stop", "upgrade"])
@pytest.mark.parametrize("deadline", [0.4, 3.0, 8.0])
def test_the_kill_at_its_earliest_finds_a_request_in_every_state(deadline: float, successor: bool) -> None:
    sent = ("early", "begun", "later")
    others = ("streamed", "big", "half-head", "half-body", "long-body", "silent", "last")

    async def play() -> None:
        async with scene(deadline, successor) as (here, second):
            await here.connect(*sent, *others)
            async with second:
                here.place("early")
                here.place("begun")
                here.place("streamed")
                here.clients["half-head"].say(b"POST /place-order HTTP/1.1\r\nX-Corr")
                here.place("half-body", "Content-Length: 100\r\n", b"")
                here.place("long-body", "Content-Length: 900000\r\n", b"")
                here.clients["long-body"].say(b"l" * 100_000)
                here.place("big")
                stop = here.stop()
                await stop.at(0.35)
                if not successor:
                    new = await here.open("new")
                    here.place("new")
                    new.follow()
                here.place("later")
                await stop.at(stop.kill - stop.asked - 0.05)
                here.place("last")
                await stop.end()
        clients = here.clients
        for name in (*sent, *(["new"] if not successor else [])):
            client = clients[name]
            assert client.whole_at is not None and client.whole_at < stop.kill, name
            assert client.status in FAILED, name
        assert clients["big"].status == 200 and len(clients["big"].received) > BIG
        for name in ("half-body", "long-body"):
            client = clients[name]
            assert client.whole_at is not None and client.whole_at < stop.kill, name
            assert client.status in (*FAILED, 408), name
        streamed = clients["streamed"]
        assert streamed.status == 200 and len(streamed.received) < STREAMED, "it looks whole"
        for name in ("half-head", "silent", "streamed"):
            ended = clients[name].ended_at
            assert ended is not None and ended < stop.kill, f"{name}: left to the kill"
        # Its connection had ended before it was written, so that its client knows that it was not taken.
        last = clients["last"].ended_at
        assert last is not None and last < stop.kill - 0.05

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("successor", [False, True], ids=["stop", "upgrade"])
def test_a_request_that_waits_for_a_silent_counter_is_answered_before_the_kill(successor: bool) -> None:
    async def play() -> None:
        async with scene(0.4, successor, harness.no_response) as (here, second):
            for name in ("early", "later"):
                client = await here.open(name)
                client.follow()
            async with second:
                here.place("early")
                stop = here.stop()
                await stop.at(0.5)
                here.place("later")
                await stop.end()
        for name in ("early", "later"):
            client = here.clients[name]
            assert client.whole_at is not None and client.whole_at < stop.kill, name
            assert client.status in (*FAILED, 429), name

    asyncio.run(asyncio.wait_for(play(), 60))


def test_a_shared_descriptor_without_a_successor_is_no_reason_to_turn_clients_away() -> None:
    async def play() -> None:
        async with scene(3.0, successor=True) as (here, _):
            await here.connect("kept")
            stop = here.stop()
            await stop.at(0.3)
            client = await here.open("warm-new")
            here.place("warm-new")
            client.follow()
            await stop.end()
        assert here.clients["warm-new"].status == 200

    asyncio.run(asyncio.wait_for(play(), 60))
