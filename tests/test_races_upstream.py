"""Races on connections to servers, which are real ones.

Each test brings two events about in the order that would do harm.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory.effects import Destination as Destination
from opalgauge.memory.events import BanChangeRequested
from opalgauge.memory.state import ConnectionState
from starlinggap import interface as interface
from tests.race_rig import (
    MS,
    SETTINGS_WITHOUT_COUNTER,
    Scene,
    answer_list,
    check_request,
    first_connection,
    ok_response,
    place_request,
    run_scene,
    scene,
    wait_until,
)


def connections_to_servers(running: Scene, state: ConnectionState) -> int:
    connections = running.state.connections.values()
    return sum(
        connection.destination is Destination.SERVER and connection.state is state
        for connection in connections
    )


def test_a_late_second_answer_is_not_given_to_the_next_request() -> None:
    # A connection must not be used while bytes of its last request may still be on their way.
    async def scenario() -> None:
        async with scene() as running:
            first = await running.send_request(check_request("one"))
            connection = await running.servers[0].next_connection()
            await connection.read_request()
            connection.send(ok_response(b"one"))
            assert (await first).endswith(b"one")
            second = await running.send_request(check_request("two"))
            await wait_until(lambda: running.state.attempts)
            connection.send(ok_response(b"one"))  # again, after the next request was admitted
            other = await running.servers[0].next_connection()
            assert b"two" in await other.read_request()
            other.send(ok_response(b"two"))
            assert (await second).endswith(b"two")

    run_scene(scenario)


def test_a_connection_is_reused_after_the_reuse_delay() -> None:
    async def scenario() -> None:
        async with scene() as running:
            for name in ("one", "two", "three"):
                answer = await running.send_request(check_request(name))
                if name == "one":
                    connection = await running.servers[0].next_connection()
                assert name.encode() in await connection.read_request()
                connection.send(ok_response(name.encode()))
                assert (await answer).endswith(name.encode())
                running.pass_time(30 * MS)
            assert len(running.servers[0].all_connections) == 1

    run_scene(scenario)


@pytest.mark.parametrize("change", ["terminating", "restarted", "moved", "gone", "banned"])
def test_a_request_waiting_for_a_connection_goes_elsewhere_when_its_server_is_out(change: str) -> None:
    # The attempt is decided before the list changes. It must not be written when its connection opens later,
    # as the server's grace may be over by then.
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            list_connection = await running.server_list.next_connection()
            await list_connection.read_request()
            running.runtime.gate.clear()
            answer = await running.send_request(place_request("one"))
            await wait_until(lambda: running.state.attempts)
            ((_, attempt),) = running.state.attempts.items()
            server = running.state.servers[attempt.server_id]
            number = [stand_in.address for stand_in in running.servers].index(server.address)
            if change == "banned":
                running.runtime.report(BanChangeRequested(1, f"s-{number}", server.entry.server, True))
            else:
                entry = {
                    "terminating": running.list_entry(number, "terminating"),
                    "restarted": running.list_entry(number, started_ms=1_800_000_000_000),
                    "moved": running.list_entry(number, address="127.0.0.1:9"),
                    "gone": running.list_entry(number, "terminated"),
                }[change]
                answer_list(list_connection, 8, entry)
                await wait_until(lambda: running.state.list_version == 8)
            running.runtime.gate.set()
            if change != "restarted":
                connection = await running.servers[1 - number].next_connection()
            else:  # the new process is listed and may be chosen
                _, connection = await first_connection(running)
            await connection.read_request()
            assert sum(len(stand_in.all_connections) for stand_in in running.servers) == 1, (
                "the first connection was given up"
            )
            connection.send(ok_response(b"one"))
            assert (await answer).endswith(b"one")
            assert not running.state.attempts

    run_scene(scenario)


KEYED = replace(
    SETTINGS_WITHOUT_COUNTER,
    classes=(
        SETTINGS_WITHOUT_COUNTER.classes[0],
        replace(
            SETTINGS_WITHOUT_COUNTER.classes[1], idempotency=interface.Idempotency.KEYED, dedup_window=0.3
        ),
    ),
)


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_whose_connection_opens_after_its_window_is_not_written(late: bool) -> None:
    async def scenario() -> None:
        async with scene(server_count=2, settings=KEYED, dial_timeout=timedelta(seconds=1)) as running:
            answer = await running.send_request(place_request("one"))
            number, old = await first_connection(running)
            await old.read_request()
            running.runtime.gate.clear()
            old.writer.close()  # after the request's last byte: it may have run
            await wait_until(lambda: connections_to_servers(running, ConnectionState.OPENING))
            running.pass_time((400 if late else 100) * MS)
            running.runtime.gate.set()
            if late:
                status = int((await answer).split(b" ")[1])
                assert (
                    status in (429, 502)
                    and not running.state.attempts
                    and not connections_to_servers(running, ConnectionState.BUSY)
                )
                second = await running.servers[1 - number].next_connection()
                # The unused connection is closed at the idle timeout.
                running.pass_time(timedelta(seconds=10))
                assert await second.read_to_end() == b""
            else:
                second = await running.servers[1 - number].next_connection()
                assert b"one" in await second.read_request()
                second.send(ok_response(b"one"))
                assert (await answer).endswith(b"one")

    run_scene(scenario)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_connection_that_opens_after_its_client_left_is_not_written_to_and_not_held(
    may_cancel: bool,
) -> None:
    async def scenario() -> None:
        async with scene(settings=replace(SETTINGS_WITHOUT_COUNTER, allow_cancel=may_cancel)) as running:
            running.runtime.gate.clear()
            _, writer = await running.connect_client()
            writer.write(place_request("one"))
            await wait_until(lambda: connections_to_servers(running, ConnectionState.OPENING))
            writer.close()
            await wait_until(lambda: not running.state.requests)
            running.runtime.gate.set()
            if may_cancel:
                assert not running.state.connections or not connections_to_servers(
                    running, ConnectionState.OPENING
                )
            else:
                await wait_until(lambda: connections_to_servers(running, ConnectionState.IDLE))
            assert not running.state.attempts and connections_to_servers(running, ConnectionState.BUSY) == 0
            assert running.state.server_connection_count == connections_to_servers(
                running, ConnectionState.IDLE
            )
            other = await running.send_request(place_request("two"))
            running.pass_time(30 * MS)
            connection = await running.servers[0].next_connection()
            assert b"two" in await connection.read_request(), "nothing of the first was written"
            connection.send(ok_response(b"two"))
            assert (await other).endswith(b"two")

    run_scene(scenario)


def test_a_connection_that_opens_after_the_dial_timeout_is_not_written_to_and_released_once() -> None:
    async def scenario() -> None:
        async with scene(server_count=2) as running:
            running.runtime.gate.clear()
            answer = await running.send_request(place_request("one"))
            await wait_until(lambda: connections_to_servers(running, ConnectionState.OPENING))
            running.pass_time(260 * MS)  # past the dial timeout: the gateway tries the other server
            assert (
                connections_to_servers(running, ConnectionState.OPENING)
                == running.state.server_connection_count
                == 1
            )
            running.runtime.gate.set()
            _, connection = await first_connection(running)
            await connection.read_request()
            connection.send(ok_response(b"one"))
            assert (await answer).endswith(b"one")
            assert (
                sum(len(stand_in.all_connections) for stand_in in running.servers) == 1
                and not running.runtime.connect_tasks
            )

    run_scene(scenario)


def test_a_connection_to_a_process_that_was_replaced_meanwhile_is_not_kept_alive() -> None:
    async def scenario() -> None:
        async with scene() as running:
            list_connection = await running.server_list.next_connection()
            await list_connection.read_request()
            answer = await running.send_request(check_request("one"))
            connection = await running.servers[0].next_connection()
            await connection.read_request()
            answer_list(list_connection, 8, running.list_entry(0, started_ms=1_800_000_000_000))
            await wait_until(lambda: running.state.list_version == 8)
            connection.send(ok_response(b"one"))
            assert (await answer).endswith(b"one")
            assert await connection.read_to_end() == b""
            assert running.state.server_connection_count == 0

    run_scene(scenario)
