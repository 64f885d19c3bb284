"""Pairs of events on connections to stock nodes, in the order that does harm, on real connections."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory.effects import Destination as Whom
from opalgauge.memory.events import BanChangeRequested
from opalgauge.memory.state import ConnectionState
from starlinggap import interface as i
from tests.crossing import (
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


def to_nodes(here: Scene, stage: ConnectionState) -> int:
    lines = here.state.connections.values()
    return sum(line.destination is Whom.SERVER and line.state is stage for line in lines)


def test_a_second_answer_that_comes_late_is_not_given_to_the_next_request() -> None:
    # Guards against using a connection while what belongs to its last request may still be on its way there.
    async def what() -> None:
        async with scene() as here:
            first = await here.send_request(check_request("one"))
            peer = await here.servers[0].next_connection()
            await peer.read_request()
            peer.send(ok_response(b"one"))
            assert (await first).endswith(b"one")
            second = await here.send_request(check_request("two"))
            await wait_until(lambda: here.state.attempts)
            peer.send(ok_response(b"one"))  # the same again, after the next request has been let in
            other = await here.servers[0].next_connection()
            assert b"two" in await other.read_request()
            other.send(ok_response(b"two"))
            assert (await second).endswith(b"two")

    run_scene(what)


def test_a_connection_that_has_settled_is_used_again() -> None:
    async def what() -> None:
        async with scene() as here:
            for name in ("one", "two", "three"):
                answer = await here.send_request(check_request(name))
                if name == "one":
                    peer = await here.servers[0].next_connection()
                assert name.encode() in await peer.read_request()
                peer.send(ok_response(name.encode()))
                assert (await answer).endswith(name.encode())
                here.pass_time(30 * MS)
            assert len(here.servers[0].all_connections) == 1

    run_scene(what)


@pytest.mark.parametrize("change", ["terminating", "restarted", "moved", "gone", "banned"])
def test_what_waits_for_a_connection_goes_elsewhere_when_its_node_is_out(change: str) -> None:
    # Guards against a send that was decided before a list came and is written a dial later, past the grace.
    async def what() -> None:
        async with scene(server_count=2) as here:
            watch = await here.server_list.next_connection()
            await watch.read_request()
            here.exchange.gate.clear()
            answer = await here.send_request(place_request("one"))
            await wait_until(lambda: here.state.attempts)
            ((_, attempt),) = here.state.attempts.items()
            node = here.state.servers[attempt.server_id]
            number = [p.address for p in here.servers].index(node.address)
            if change == "banned":
                here.exchange.report(BanChangeRequested(1, f"s-{number}", node.entry.server, True))
            else:
                entry = {
                    "terminating": here.list_entry(number, "terminating"),
                    "restarted": here.list_entry(number, started_ms=1_800_000_000_000),
                    "moved": here.list_entry(number, address="127.0.0.1:9"),
                    "gone": here.list_entry(number, "terminated"),
                }[change]
                answer_list(watch, 8, entry)
                await wait_until(lambda: here.state.list_version == 8)
            here.exchange.gate.set()
            if change != "restarted":
                peer = await here.servers[1 - number].next_connection()
            else:  # the new process may well be chosen: by what is listed now
                _, peer = await first_connection(here)
            await peer.read_request()
            assert sum(len(p.all_connections) for p in here.servers) == 1, "the first dial was given up"
            peer.send(ok_response(b"one"))
            assert (await answer).endswith(b"one")
            assert not here.state.attempts

    run_scene(what)


KEYED = replace(
    SETTINGS_WITHOUT_COUNTER,
    classes=(
        SETTINGS_WITHOUT_COUNTER.classes[0],
        replace(SETTINGS_WITHOUT_COUNTER.classes[1], effect=i.Effect.KEYED, window=0.3),
    ),
)


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_written(late: bool) -> None:
    async def what() -> None:
        async with scene(server_count=2, settings=KEYED, dial_timeout=timedelta(seconds=1)) as here:
            answer = await here.send_request(place_request("one"))
            number, old = await first_connection(here)
            await old.read_request()
            here.exchange.gate.clear()
            old.writer.close()  # after the request's last byte: it may have run
            await wait_until(lambda: to_nodes(here, ConnectionState.OPENING))
            here.pass_time((400 if late else 100) * MS)
            here.exchange.gate.set()
            if late:
                status = int((await answer).split(b" ")[1])
                assert (
                    status in (429, 502)
                    and not here.state.attempts
                    and not to_nodes(here, ConnectionState.BUSY)
                )
                second = await here.servers[1 - number].next_connection()
                here.pass_time(timedelta(seconds=10))  # the connection, unused, is closed at the idle limit
                assert await second.read_to_end() == b""
            else:
                second = await here.servers[1 - number].next_connection()
                assert b"one" in await second.read_request()
                second.send(ok_response(b"one"))
                assert (await answer).endswith(b"one")

    run_scene(what)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_connection_that_comes_up_after_its_client_left_is_not_written_to_and_not_held(
    may_cancel: bool,
) -> None:
    async def what() -> None:
        async with scene(settings=replace(SETTINGS_WITHOUT_COUNTER, cancel=may_cancel)) as here:
            here.exchange.gate.clear()
            _, writer = await here.connect_client()
            writer.write(place_request("one"))
            await wait_until(lambda: to_nodes(here, ConnectionState.OPENING))
            writer.close()
            await wait_until(lambda: not here.state.requests)
            here.exchange.gate.set()
            if may_cancel:
                assert not here.state.connections or not to_nodes(here, ConnectionState.OPENING)
            else:
                await wait_until(lambda: to_nodes(here, ConnectionState.IDLE))
            assert not here.state.attempts and to_nodes(here, ConnectionState.BUSY) == 0
            assert here.state.server_connection_count == to_nodes(here, ConnectionState.IDLE)
            other = await here.send_request(place_request("two"))
            here.pass_time(30 * MS)
            peer = await here.servers[0].next_connection()
            assert b"two" in await peer.read_request(), "nothing of the first was written"
            peer.send(ok_response(b"two"))
            assert (await other).endswith(b"two")

    run_scene(what)


def test_a_dial_that_comes_up_after_its_time_limit_is_not_written_to_and_given_back_once() -> None:
    async def what() -> None:
        async with scene(server_count=2) as here:
            here.exchange.gate.clear()
            answer = await here.send_request(place_request("one"))
            await wait_until(lambda: to_nodes(here, ConnectionState.OPENING))
            here.pass_time(260 * MS)  # past the dial's limit: the decisions go to the other node
            assert to_nodes(here, ConnectionState.OPENING) == here.state.server_connection_count == 1
            here.exchange.gate.set()
            _, peer = await first_connection(here)
            await peer.read_request()
            peer.send(ok_response(b"one"))
            assert (await answer).endswith(b"one")
            assert sum(len(p.all_connections) for p in here.servers) == 1 and not here.exchange.dials

    run_scene(what)


def test_a_connection_to_a_process_that_was_replaced_meanwhile_is_not_kept() -> None:
    async def what() -> None:
        async with scene() as here:
            watch = await here.server_list.next_connection()
            await watch.read_request()
            answer = await here.send_request(check_request("one"))
            peer = await here.servers[0].next_connection()
            await peer.read_request()
            answer_list(watch, 8, here.list_entry(0, started_ms=1_800_000_000_000))
            await wait_until(lambda: here.state.list_version == 8)
            peer.send(ok_response(b"one"))
            assert (await answer).endswith(b"one")
            assert await peer.read_to_end() == b""
            assert here.state.server_connection_count == 0

    run_scene(what)
