"""Races on the connection to the discovery agent, which is a real one.

Each test brings two events about in the order that would do harm.
"""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta
from typing import Any

import pytest

from opalgauge.memory.events import AddressesChanged
from opalgauge.wire.upstream import UpstreamConnection
from tests.race_rig import (
    MS,
    Scene,
    StandIn,
    StandInConnection,
    answer_list,
    ok_response,
    place_request,
    run_scene,
    scene,
    wait_until,
)


async def next_list_request(running: Scene, stand_in: StandIn | None = None) -> tuple[StandInConnection, str]:
    """The next connection to the agent, and the target of the request that comes over it."""
    connection = await (stand_in or running.server_list).next_connection()
    return connection, await read_list_request(connection)


async def read_list_request(connection: StandInConnection) -> str:
    return (await connection.read_request()).split(b" ")[1].decode()


async def wait_for_drips(protocol: UpstreamConnection, count: int) -> None:
    await wait_until(lambda: protocol.closed or protocol.incomplete_data.endswith(b" " * count))


async def wait_until_closed(running: Scene, connection_id: int) -> None:
    await wait_until(lambda: connection_id not in running.state.connections)


def move_list_agent(running: Scene, address: str) -> None:
    running.runtime.report(AddressesChanged(running.state.counter_address, address))


async def assert_forwarded_to(running: Scene, server_number: int) -> None:
    """A new request is forwarded to this server and to no other."""
    before = [len(stand_in.all_connections) for stand_in in running.servers]
    answer = await running.send_request(place_request(f"new-{server_number}"))
    connection = await running.servers[server_number].next_connection()
    await connection.read_request()
    after = [len(stand_in.all_connections) for stand_in in running.servers]
    assert [n for n in range(len(before)) if after[n] > before[n]] == [server_number]
    connection.send(ok_response(b"done"))
    assert (await answer).endswith(b"done")


ANSWER_BEGINNINGS = {
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 O",
    "half a list": b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"seq":9,"whole":tr',
    "half a chunk": b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n{"seq"',
    "only 1xx": b"HTTP/1.1 102 Processing\r\n\r\n",
}


@pytest.mark.parametrize("wait", [1, 20], ids=["pushed", "asked for"])
@pytest.mark.parametrize("beginning", ANSWER_BEGINNINGS)
def test_a_silent_list_connection_is_replaced_within_its_time(beginning: str, wait: int) -> None:
    async def scenario() -> None:
        async with scene(list_wait=timedelta(seconds=wait)) as running:
            list_connection, first = await next_list_request(running)
            received = len(ANSWER_BEGINNINGS[beginning])
            list_connection.send(ANSWER_BEGINNINGS[beginning])
            if received:
                protocol = running.runtime.connections[running.state.list_connection_id]
                await wait_until(
                    lambda: (
                        len(protocol.incomplete_data) >= received
                        or protocol.was_partial
                        or beginning == "only 1xx"
                    )
                )
            running.pass_time(timedelta(seconds=wait) + 500 * MS)
            running.pass_time(150 * MS)
            other, again = await next_list_request(running)
            assert again == first, "it goes on from what is known"
            answer_list(other, 8, running.list_entry(0))
            await wait_until(lambda: running.state.list_version == 8)
            assert await list_connection.read_to_end() == b""

    run_scene(scenario)


def test_a_list_that_drips_for_ever_is_replaced_too() -> None:
    # The timeout must not start again with every byte.
    async def scenario() -> None:
        async with scene() as running:
            list_connection, _ = await next_list_request(running)
            list_connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")
            protocol = running.runtime.connections[running.state.list_connection_id]
            for n in range(1, 30):
                if running.state.list_connection_id != protocol.connection_id or protocol.closed:
                    break
                list_connection.send(b" ")
                await wait_for_drips(protocol, n)
                running.pass_time(60 * MS)
            assert n < 25, "another connection is asked all the same"
            other, _ = await next_list_request(running)
            answer_list(other, 8, running.list_entry(0))
            await wait_until(lambda: protocol.closed)

    run_scene(scenario)


def test_a_server_that_drains_just_after_a_list_reset_gets_no_new_request() -> None:
    # The agent takes what it tells meanwhile for known, so the new connection is opened without a pause.
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            running.pass_time(200 * MS)
            list_connection.reset()
            other, _ = await next_list_request(running)
            answer_list(other, 8, running.list_entry(0, "terminating"))
            await wait_until(lambda: running.state.list_version == 8)
            await assert_forwarded_to(running, 1)

    run_scene(scenario)


def test_an_agent_that_closes_at_once_is_asked_with_pauses() -> None:
    async def scenario() -> None:
        async with scene() as running:
            list_connection, _ = await next_list_request(running)
            list_connection.reset()
            await wait_until(lambda: not running.state.list_reachable)
            assert running.state.list_connection_id not in running.state.connections, "not at once"
            running.pass_time(150 * MS)
            await next_list_request(running)

    run_scene(scenario)


@pytest.mark.parametrize("keep", [True, False])
@pytest.mark.parametrize("hosts", [True, False])
def test_an_agent_that_answers_at_once_with_nothing_new_is_asked_with_pauses(keep: bool, hosts: bool) -> None:
    async def scenario() -> None:
        async with scene() as running:
            list_connection, _ = await next_list_request(running)
            body = json.dumps({"seq": 7, "whole": hosts, "hosts": [running.list_entry(0)] * hosts}).encode()
            head = b"" if keep else b"Connection: close\r\n"
            list_connection.send(
                b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body)
            )
            connection = running.state.connections[running.state.list_connection_id]
            await wait_until(lambda: connection.since is None)
            assert len(running.server_list.all_connections) == 1
            running.pass_time(150 * MS)
            assert await read_list_request(
                list_connection if keep else await running.server_list.next_connection()
            )

    run_scene(scenario)


def test_a_late_answer_on_the_old_list_connection_is_ignored() -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            running.pass_time(1400 * MS)
            other, _ = await next_list_request(running)
            answer_list(other, 9, running.list_entry(0, "terminating"))
            await other.writer.drain()
            # In the kernel when the other answer is read, or later.
            answer_list(list_connection, 8, running.list_entry(0), running.list_entry(1), is_complete=True)
            assert "since=9&" in await read_list_request(other)
            assert await list_connection.read_to_end() == b""
            assert running.state.list_version == 9
            await assert_forwarded_to(running, 1)

    run_scene(scenario)


@pytest.mark.parametrize("pause", [200 * MS, 700 * MS, 3000 * MS])
@pytest.mark.parametrize("pieces", [1, 2, 9])
@pytest.mark.parametrize("ending", ["a length", "chunks", "the connection"])
def test_a_list_is_taken_over_however_slowly_the_agent_answers(
    ending: str, pieces: int, pause: timedelta
) -> None:
    """Guards against a draining server that is sent requests as each answer of the agent is given up."""

    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            entry = running.list_entry(0, "terminating")
            body = json.dumps({"seq": 8, "whole": False, "hosts": [entry]}).encode()
            answer = {
                "a length": ok_response(body),
                "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
                % (len(body), body),
                "the connection": b"HTTP/1.1 200 OK\r\n\r\n" + body,
            }[ending]
            protocol = running.runtime.connections[running.state.list_connection_id]
            size, received = -(-len(answer) // pieces), 0

            def is_read() -> bool:
                return len(protocol.incomplete_data) >= received or running.state.list_version == 8

            for start in range(0, len(answer), size):
                running.pass_time(min(pause, timedelta(seconds=5) / pieces))
                list_connection.send(answer[start : start + size])
                received = min(received + size, len(answer))
                await wait_until(is_read)
            if ending == "the connection":
                list_connection.writer.close()
            await wait_until(lambda: running.state.list_version == 8)
            await assert_forwarded_to(running, 1)

    run_scene(scenario)


async def assert_whole_list_is_asked_for_and_taken_over(running: Scene) -> None:
    """The next request is for the whole list; by its answer the first of two servers drains."""
    running.pass_time(150 * MS)
    connection, target = await next_list_request(running)
    assert "since" not in target
    answer_list(connection, 9, running.list_entry(0, "terminating"), running.list_entry(1), is_complete=True)
    await wait_until(lambda: running.state.list_version == 9)
    await assert_forwarded_to(running, 1)


def test_changes_of_an_older_list_behind_a_late_answer_are_not_lost() -> None:
    """Guards against changes that are dropped as their version is lower than that of a late whole list."""

    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            # In the kernel when the agent is asked over another connection.
            answer_list(list_connection, 20, running.list_entry(0), running.list_entry(1), is_complete=True)
            await list_connection.writer.drain()
            running.pass_time(1400 * MS)
            other, _ = await next_list_request(running)
            await wait_until(lambda: running.state.list_version == 20)
            answer_list(other, 9, running.list_entry(0, "terminating"))
            await wait_until(lambda: running.state.list_version is None)
            await assert_whole_list_is_asked_for_and_taken_over(running)

    run_scene(scenario)


def test_an_answer_that_is_slower_than_the_next_one_is_taken_over_before_it() -> None:
    async def scenario() -> None:
        async with scene(server_count=3) as running:
            list_connection, _ = await next_list_request(running)
            running.pass_time(1400 * MS)
            other, _ = await next_list_request(running)
            answer_list(list_connection, 8, running.list_entry(0, "terminating"))
            await wait_until(lambda: running.state.list_version == 8)
            assert await list_connection.read_to_end() == b"", "the agent is asked over the other one"
            answer_list(other, 9, running.list_entry(1, "terminating"))
            assert "since=9&" in await read_list_request(other)
            await assert_forwarded_to(running, 2)

    run_scene(scenario)


def test_a_slow_agent_that_counts_its_versions_anew_is_asked_for_the_whole_list() -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            running.pass_time(1400 * MS)
            other, _ = await next_list_request(running)
            answer_list(list_connection, 3, running.list_entry(0, "terminating"))
            await wait_until(lambda: running.state.list_version is None)
            running.pass_time(1400 * MS)
            third, target = await next_list_request(running)
            assert "since" not in target
            answer_list(
                third, 3, running.list_entry(0, "terminating"), running.list_entry(1), is_complete=True
            )
            assert "since=3&" in await read_list_request(third)
            assert await other.read_to_end() == b""
            await assert_forwarded_to(running, 1)

    run_scene(scenario)


@pytest.mark.parametrize(
    ("seq", "is_complete", "accepted", "since"),
    [
        (7, False, True, "since=7&"),  # the same version again
        (900, False, True, "since=900&"),  # versions may be left out
        (3, False, False, None),  # changes of a list whose versions have started again
        (3, True, True, "since=3&"),  # the complete list, with such a version
    ],
)
def test_list_versions_that_repeat_jump_or_go_back(
    seq: int, is_complete: bool, accepted: bool, since: str | None
) -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            running.pass_time(200 * MS)
            answer_list(
                list_connection,
                seq,
                running.list_entry(0, "terminating"),
                running.list_entry(1),
                is_complete=is_complete,
                indent=2,
            )
            if accepted:
                assert f"?{since}" in await read_list_request(list_connection)
                await assert_forwarded_to(running, 1)
            else:
                await wait_until(lambda: not running.state.list_reachable)
                running.pass_time(150 * MS)
                other, again = await next_list_request(running)
                assert "since" not in again, "the complete list is asked for"
                answer_list(other, 3, running.list_entry(1), is_complete=True)
                assert "since=3&" in await read_list_request(other)
                await assert_forwarded_to(running, 1)

    run_scene(scenario)


UNREADABLE_ENTRIES: dict[str, Any] = {
    "no host": {"host": None},
    "an unknown health": {"health": "ill"},
    "a health of the wrong type": {"health": ["terminating"]},
    "a start that is no number": {"born_ms": "soon"},
    "a start without end": {"born_ms": float("inf")},
    "a start that is none": {"born_ms": float("nan")},
    "a share that is none": {"share": float("nan")},
    "a block without end": {"block": float("inf")},
}


@pytest.mark.parametrize("spoilt", [*UNREADABLE_ENTRIES, "deep", "no list", "no version"])
def test_an_unreadable_list_changes_nothing_and_the_whole_list_is_asked_for(spoilt: str) -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            if spoilt == "deep":
                list_connection.send(ok_response(b'{"seq":8,"whole":true,"hosts":' + b"[" * 200_000))
            elif spoilt == "no list":
                list_connection.send(ok_response(b'{"seq":8,"whole":true,"hosts":7}'))
            elif spoilt == "no version":
                answer_list(list_connection, float("nan"), running.list_entry(0, "terminating"))
            else:
                entry = {**running.list_entry(0, "terminating"), **UNREADABLE_ENTRIES[spoilt]}
                if entry["host"] is None:
                    del entry["host"]
                answer_list(list_connection, 8, running.list_entry(1, "terminating"), entry)
            await wait_until(lambda: not running.state.list_reachable)
            assert not [line for line in running.log if "fault" in line]
            await assert_whole_list_is_asked_for_and_taken_over(running)

    run_scene(scenario)


@pytest.mark.parametrize("state", ["half a list", "silent", "down"])
def test_a_reload_with_a_new_agent_address_asks_it_at_once_for_the_whole_list(state: str) -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            other = await StandIn().start()
            list_connection, _ = await next_list_request(running)
            if state == "half a list":
                body = json.dumps({"seq": 8, "whole": True, "hosts": [running.list_entry(0)]}).encode()
                list_connection.send(ok_response(body)[:-5])
                protocol = running.runtime.connections[running.state.list_connection_id]
                await wait_until(lambda: protocol.incomplete_data)
            elif state == "down":
                assert running.server_list.server is not None
                running.server_list.server.close()
                list_connection.reset()
                await wait_until(lambda: not running.state.list_reachable)
            move_list_agent(running, other.address)
            new, first = await next_list_request(running, other)
            assert "since" not in first
            if state == "half a list":
                list_connection.send(body[-5:])  # the rest of the old answer still comes
            answer_list(new, 2, running.list_entry(0, "terminating"), running.list_entry(1), is_complete=True)
            assert "since=2&" in await read_list_request(new)
            await assert_forwarded_to(running, 1)
            running.pass_time(timedelta(milliseconds=900))  # timers of the old connection ask nobody
            assert len(other.all_connections) == 1 and len(running.server_list.all_connections) == 1
            other.close()

    run_scene(scenario)


def test_a_reload_while_the_new_agent_is_down_takes_effect_when_it_comes_up() -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            other = await StandIn().start()
            assert other.server is not None
            host, port = other.address.split(":")
            other.server.close()
            await other.server.wait_closed()
            move_list_agent(running, other.address)
            await wait_until(lambda: not running.state.list_reachable)
            assert await list_connection.read_to_end() == b""
            other.server = await asyncio.start_server(
                lambda r, w: other.new_connections.put_nowait(StandInConnection(r, w)), host, int(port)
            )
            running.pass_time(150 * MS)
            new, first = await next_list_request(running, other)
            assert "since" not in first
            answer_list(new, 1, running.list_entry(0, "terminating"), running.list_entry(1), is_complete=True)
            await wait_until(lambda: running.state.list_version == 1)
            await assert_forwarded_to(running, 1)
            other.close()

    run_scene(scenario)


def test_a_reload_with_the_same_address_keeps_the_list_connection() -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection, _ = await next_list_request(running)
            move_list_agent(running, running.server_list.address)
            answer_list(list_connection, 8, running.list_entry(0, "terminating"))
            assert "since=8&" in await read_list_request(list_connection)
            assert len(running.server_list.all_connections) == 1
            await assert_forwarded_to(running, 1)

    run_scene(scenario)


def test_an_agent_that_refuses_is_asked_again_within_seconds_where_lists_are_pushed() -> None:
    # After a longer pause the agent would take what it had to tell for known.
    async def scenario() -> None:
        async with scene() as running:
            for _ in range(8):
                list_connection, _ = await next_list_request(running)
                list_connection.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                await wait_until_closed(running, running.state.list_connection_id)
                running.pass_time(timedelta(milliseconds=3010))

    run_scene(scenario)
