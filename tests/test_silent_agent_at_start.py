"""The discovery agent is silent for some questions: what a process does until it hears it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import math
import socket
import tempfile
import time
from datetime import timedelta

import pytest

from opalgauge.memory import effects, events
from starlinggap import interface
from tests import harness
from tests.reducer_rig import ReducerRig, listed_server
from tests.soak.stand_ins import ok_response

STOP_SENDING_TIME = 2.0  # s from the start of a process, by when it has been told of a drain
MAX_SILENT_REQUESTS = 4
PLAY_TIME = 7.0  # s
FIRST_WAIT, READY_WAIT = timedelta(milliseconds=100), timedelta(milliseconds=500)


def server_list(draining: str, ready: str, version: int = 42) -> bytes:
    first_health = "terminating" if version == 42 else "in_service"
    hosts = [
        {"host": name, "dial": address, "site": "bat-a", "health": health, "born_ms": 0}
        for name, address, health in (("s-1", draining, first_health), ("s-2", ready, "in_service"))
    ]
    return ok_response(json.dumps({"seq": version, "whole": True, "hosts": hosts}).encode())


async def last_request_to_draining_server(silent_requests: int, heard_before: bool = False) -> float:
    """Seconds until the last request at a server that drains since the start of a process.

    With `heard_before` it drains since the process opened its first watch, which stays silent.
    """
    started, received_at = time.monotonic(), [0.0]
    numbers = itertools.count()

    def serve_while_draining(_: bytes, __: asyncio.StreamWriter) -> bytes:
        received_at.append(time.monotonic() - started)
        return harness.OK

    def answer_list(request: bytes, _: asyncio.StreamWriter) -> bytes | None:
        nonlocal started, heard_before
        if heard_before:
            if b"since=41&" not in request:
                return server_list(draining, ready, version=41)
            started, heard_before = time.monotonic(), False
        if next(asked) < silent_requests or b"since=42&" in request:
            return None
        return server_list(draining, ready)

    async def keep_asking(ingress: harness.Ingress) -> None:
        while time.monotonic() - started < PLAY_TIME:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await ingress.exchange(
                    harness.request("GET", "/stock-check", correlation_id=f"r-{next(numbers)}")
                )
            await asyncio.sleep(0.02)

    asked = itertools.count()
    async with (
        harness.stand_in(serve_while_draining) as (draining, _),
        harness.stand_in(lambda _, __: harness.OK) as (ready, __),
        harness.stand_in(harness.counter()) as (counter, ___),
        harness.stand_in(answer_list) as (agent, ____),
        harness.ready_ingress(draining, counter, agent) as ingress,
    ):
        await keep_asking(ingress)
    return received_at[-1]


def test_a_draining_server_gets_nothing_late_if_the_agent_is_silent_at_a_start() -> None:
    """Guards against a start that waits as long for each silent question as for a watch."""

    async def scenario() -> list[float]:
        plays = [last_request_to_draining_server(silent) for silent in range(MAX_SILENT_REQUESTS + 1)]
        return list(await asyncio.gather(*plays))

    times = asyncio.run(scenario())
    assert [seconds for seconds in times if seconds > STOP_SENDING_TIME] == [], times


def test_a_draining_server_gets_nothing_late_if_the_agent_falls_silent_later() -> None:
    """Guards against a silent watch that is followed by another one, which is waited for as long."""

    async def scenario() -> list[float]:
        plays = [
            last_request_to_draining_server(silent, heard_before=True)
            for silent in range(1, MAX_SILENT_REQUESTS + 1)
        ]
        return list(await asyncio.gather(*plays))

    times = asyncio.run(scenario())
    assert [seconds for seconds in times if seconds > STOP_SENDING_TIME] == [], times


async def last_request_after_news_to_the_other_process() -> float:
    """Seconds from the news of a drain to an ingress's old process until its last request at that server.

    A new process starts meanwhile, to which the agent is silent.
    """
    told_at, received_at, is_silent = math.inf, [0.0], False
    numbers, watches = itertools.count(), list[asyncio.StreamWriter]()

    def serve_while_draining(_: bytes, __: asyncio.StreamWriter) -> bytes:
        received_at.append(time.monotonic() - told_at)
        return harness.OK

    def answer_list(request: bytes, writer: asyncio.StreamWriter) -> bytes | None:
        nonlocal told_at
        if is_silent:
            if told_at == math.inf:
                watches[-1].write(server_list(draining, ready))
                told_at = time.monotonic()
            return None
        if b"since=" not in request:
            return server_list(draining, ready, version=41)
        watches.append(writer)
        return None

    with socket.socket() as listener, tempfile.TemporaryDirectory() as folder:
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        async with (
            harness.stand_in(serve_while_draining) as (draining, _),
            harness.stand_in(lambda _, __: harness.OK) as (ready, __),
            harness.stand_in(harness.counter()) as (counter, ___),
            harness.stand_in(answer_list) as (agent, ____),
            harness.ready_ingress(draining, counter, agent, listener, folder),
        ):
            while not watches:
                await asyncio.sleep(0.01)
            is_silent = True
            async with harness.ready_ingress(draining, counter, agent, listener, folder) as new:
                while time.monotonic() < told_at + 2 * STOP_SENDING_TIME:
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        await new.exchange(
                            harness.request("GET", "/stock-check", correlation_id=f"r-{next(numbers)}")
                        )
                    await asyncio.sleep(0.02)
    return received_at[-1]


def test_a_new_process_learns_of_a_drain_that_only_the_old_one_was_told_of() -> None:
    """Guards against an ingress of which one process knows what the other does not."""
    seconds = asyncio.run(asyncio.wait_for(last_request_after_news_to_the_other_process(), 60))
    assert seconds <= STOP_SENDING_TIME


def starting_rig() -> ReducerRig:
    return ReducerRig(list_first_answer_wait=FIRST_WAIT, list_ready_wait=READY_WAIT)


def settled(rig: ReducerRig) -> list[bool]:
    return [effect.heard for effect in rig.effects if isinstance(effect, effects.ServerListSettled)]


def ask_in_steps(rig: ReducerRig, steps: int) -> None:
    for _ in range(steps):
        rig.pass_time(FIRST_WAIT)
        rig.open_list_connection()


def answer(rig: ReducerRig, connection_id: int, version: int) -> None:
    rig.step(
        events.ServerListAnswered(
            connection_id, True, version, interface.ListKind.COMPLETE, (listed_server(1),)
        )
    )


def test_a_start_asks_for_the_whole_list_again_and_again_until_it_is_heard() -> None:
    rig = starting_rig()
    rig.open_list_connection()
    ask_in_steps(rig, 4)
    assert [request.since_version for request in rig.list_requests()] == [None] * 5
    assert len({request.connection_id for request in rig.list_requests()}) == 5
    assert settled(rig) == [], "it does not serve yet"
    rig.pass_time(FIRST_WAIT / 10)
    answer(rig, rig.last_list_request().connection_id, version=3)
    assert settled(rig) == [True]
    assert rig.last_list_request().since_version == 3, "versions of before do not count"
    ask_in_steps(rig, 9)
    assert len(rig.list_requests()) == 6, "an agent that has been heard is asked as usual"


def test_a_silent_watch_is_followed_by_requests_that_are_answered_at_once() -> None:
    rig = starting_rig()
    rig.open_list_connection()
    rig.pass_time(FIRST_WAIT / 10)
    answer(rig, rig.last_list_request().connection_id, version=3)
    watch = rig.last_list_request()
    rig.pass_time(rig.reducer.config.list_wait + rig.reducer.config.list_wait_slack)
    rig.open_list_connection()
    ask_in_steps(rig, 3)
    after_watch = rig.list_requests()[rig.list_requests().index(watch) + 1 :]
    assert [request.since_version for request in after_watch] == [None] * 4
    rig.pass_time(FIRST_WAIT / 10)
    answer(rig, rig.last_list_request().connection_id, version=4)
    rig.pass_time(rig.reducer.config.list_min_pause)
    assert rig.last_list_request().since_version == 4
    ask_in_steps(rig, 9)
    assert len(rig.list_requests()) == 7, "it is asked as usual again"


def test_a_slow_agent_is_watched_again_after_a_silent_watch() -> None:
    """Guards against an agent that is asked for its whole list again and again as it answers late."""
    rig = starting_rig()
    rig.open_list_connection()
    rig.pass_time(FIRST_WAIT / 10)
    answer(rig, rig.last_list_request().connection_id, version=3)
    rig.pass_time(rig.reducer.config.list_wait + rig.reducer.config.list_wait_slack)
    rig.open_list_connection()
    before = len(rig.list_requests())
    for version in range(4, 12):
        slow_request = rig.last_list_request()
        ask_in_steps(rig, 2)
        rig.pass_time(FIRST_WAIT / 2)
        answer(rig, slow_request.connection_id, version)
        rig.open_list_connection()
        if rig.last_list_request().since_version is not None:
            break
    assert rig.last_list_request().since_version is not None, "it is watched again"
    assert len(rig.list_requests()) - before <= 4


def test_a_late_first_answer_is_taken_over() -> None:
    rig = starting_rig()
    rig.open_list_connection()
    ask_in_steps(rig, 3)
    answer(rig, rig.list_requests()[0].connection_id, version=8)
    assert settled(rig) == [True] and rig.reducer.state.list_version == 8


def test_a_start_serves_after_a_while_beside_an_agent_that_is_down() -> None:
    rig = starting_rig()
    rig.open_list_connection()
    ask_in_steps(rig, 5)
    assert settled(rig) == [False]
    ask_in_steps(rig, 100)
    assert len(rig.list_requests()) <= 10 + 11, "it is asked less often then"


@pytest.mark.parametrize("silent_requests", [0, 3])
def test_a_new_agent_is_asked_as_at_a_start(silent_requests: int) -> None:
    rig = starting_rig()
    rig.open_list_connection()
    answer(rig, rig.last_list_request().connection_id, version=8)
    before = len(rig.list_requests())
    rig.step(events.AddressesChanged("127.0.0.1:6400", "127.0.0.1:8501"))
    rig.open_list_connection()
    ask_in_steps(rig, silent_requests)
    assert [r.since_version for r in rig.list_requests()[before:]] == [None] * (silent_requests + 1)
    answer(rig, rig.last_list_request().connection_id, version=2)
    assert rig.reducer.state.list_version == 2 and settled(rig) == [True]


def draining_in(rig: ReducerRig) -> list[int]:
    servers = rig.reducer.state.servers.values()
    return [s.entry.server for s in servers if s.entry.health is interface.Health.DRAINING]


def received(version: int, draining: bool, agent: str = "127.0.0.1:8500") -> events.ListReceived:
    health = interface.Health.DRAINING if draining else interface.Health.READY
    return events.ListReceived(events.ToldList(agent, version, (listed_server(1, health), listed_server(2))))


def test_the_other_process_s_list_counts_while_it_is_newer_and_the_agent_is_not_heard() -> None:
    """Guards against news of the other process that is older than what is known here."""
    rig = ReducerRig(shares_state=True, known_list_version=49)
    rig.step(received(50, draining=True, agent="127.0.0.1:1"))
    assert draining_in(rig) == [], "versions of another agent say nothing"
    rig.step(received(48, draining=True))
    assert draining_in(rig) == [], "the list of the configuration is newer"
    rig.step(received(50, draining=True))
    assert draining_in(rig) == [1]
    rig.step(received(49, draining=False))
    assert draining_in(rig) == [1]
    rig.open_list_connection()
    answer(rig, rig.last_list_request().connection_id, 51)
    shared = [effect.told.version for effect in rig.effects if isinstance(effect, effects.ShareList)]
    assert shared == [51], "only what the agent has told here is passed on"
    servers = dict(rig.reducer.state.servers)
    for version in (51, 52):
        rig.step(received(version, draining=True))
        assert rig.reducer.state.servers == servers, "what the agent has told here counts"
