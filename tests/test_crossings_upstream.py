"""Pairs of events on connections to stock nodes, in the order that does harm, on real connections."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory.effects import Destination as Whom
from opalgauge.memory.events import BanChangeRequested
from opalgauge.memory.state import ConnectionState
from starlinggap import interface as i
from tests.crossing import ALONE, MS, Scene, check, first, place, play, scene, tell, told, until


def to_nodes(here: Scene, stage: ConnectionState) -> int:
    lines = here.books.connections.values()
    return sum(line.destination is Whom.SERVER and line.state is stage for line in lines)


def test_a_second_answer_that_comes_late_is_not_given_to_the_next_request() -> None:
    # Guards against using a connection while what belongs to its last request may still be on its way there.
    async def what() -> None:
        async with scene() as here:
            first = await here.ask(check("one"))
            peer = await here.nodes[0].peer()
            await peer.request()
            peer.say(told(b"one"))
            assert (await first).endswith(b"one")
            second = await here.ask(check("two"))
            await until(lambda: here.books.attempts)
            peer.say(told(b"one"))  # the same again, after the next request has been let in
            other = await here.nodes[0].peer()
            assert b"two" in await other.request()
            other.say(told(b"two"))
            assert (await second).endswith(b"two")

    play(what)


def test_a_connection_that_has_settled_is_used_again() -> None:
    async def what() -> None:
        async with scene() as here:
            for name in ("one", "two", "three"):
                answer = await here.ask(check(name))
                if name == "one":
                    peer = await here.nodes[0].peer()
                assert name.encode() in await peer.request()
                peer.say(told(name.encode()))
                assert (await answer).endswith(name.encode())
                here.pass_time(30 * MS)
            assert len(here.nodes[0].all) == 1

    play(what)


@pytest.mark.parametrize("change", ["terminating", "restarted", "moved", "gone", "banned"])
def test_what_waits_for_a_connection_goes_elsewhere_when_its_node_is_out(change: str) -> None:
    # Guards against a send that was decided before a list came and is written a dial later, past the grace.
    async def what() -> None:
        async with scene(nodes=2) as here:
            watch = await here.node_list.peer()
            await watch.request()
            here.exchange.gate.clear()
            answer = await here.ask(place("one"))
            await until(lambda: here.books.attempts)
            ((_, attempt),) = here.books.attempts.items()
            node = here.books.servers[attempt.server_id]
            number = [p.address for p in here.nodes].index(node.address)
            if change == "banned":
                here.exchange.report(BanChangeRequested(1, f"s-{number}", node.entry.server, True))
            else:
                entry = {
                    "terminating": here.listed(number, "terminating"),
                    "restarted": here.listed(number, born=1_800_000_000_000),
                    "moved": here.listed(number, at="127.0.0.1:9"),
                    "gone": here.listed(number, "terminated"),
                }[change]
                tell(watch, 8, entry)
                await until(lambda: here.books.list_version == 8)
            here.exchange.gate.set()
            if change != "restarted":
                peer = await here.nodes[1 - number].peer()
            else:  # the new process may well be chosen: by what is listed now
                _, peer = await first(here)
            await peer.request()
            assert sum(len(p.all) for p in here.nodes) == 1, "the first dial was given up"
            peer.say(told(b"one"))
            assert (await answer).endswith(b"one")
            assert not here.books.attempts

    play(what)


KEYED = replace(
    ALONE,
    classes=(ALONE.classes[0], replace(ALONE.classes[1], idempotency=i.Idempotency.KEYED, dedup_window=0.3)),
)


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_written(late: bool) -> None:
    async def what() -> None:
        async with scene(nodes=2, settings=KEYED, dial_timeout=timedelta(seconds=1)) as here:
            answer = await here.ask(place("one"))
            number, old = await first(here)
            await old.request()
            here.exchange.gate.clear()
            old.writer.close()  # after the request's last byte: it may have run
            await until(lambda: to_nodes(here, ConnectionState.OPENING))
            here.pass_time((400 if late else 100) * MS)
            here.exchange.gate.set()
            if late:
                status = int((await answer).split(b" ")[1])
                assert (
                    status in (429, 502)
                    and not here.books.attempts
                    and not to_nodes(here, ConnectionState.BUSY)
                )
                second = await here.nodes[1 - number].peer()
                here.pass_time(timedelta(seconds=10))  # the connection, unused, is closed at the idle limit
                assert await second.ended() == b""
            else:
                second = await here.nodes[1 - number].peer()
                assert b"one" in await second.request()
                second.say(told(b"one"))
                assert (await answer).endswith(b"one")

    play(what)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_connection_that_comes_up_after_its_client_left_is_not_written_to_and_not_held(
    may_cancel: bool,
) -> None:
    async def what() -> None:
        async with scene(settings=replace(ALONE, allow_cancel=may_cancel)) as here:
            here.exchange.gate.clear()
            _, writer = await here.client()
            writer.write(place("one"))
            await until(lambda: to_nodes(here, ConnectionState.OPENING))
            writer.close()
            await until(lambda: not here.books.requests)
            here.exchange.gate.set()
            if may_cancel:
                assert not here.books.connections or not to_nodes(here, ConnectionState.OPENING)
            else:
                await until(lambda: to_nodes(here, ConnectionState.IDLE))
            assert not here.books.attempts and to_nodes(here, ConnectionState.BUSY) == 0
            assert here.books.server_connection_count == to_nodes(here, ConnectionState.IDLE)
            other = await here.ask(place("two"))
            here.pass_time(30 * MS)
            peer = await here.nodes[0].peer()
            assert b"two" in await peer.request(), "nothing of the first was written"
            peer.say(told(b"two"))
            assert (await other).endswith(b"two")

    play(what)


def test_a_dial_that_comes_up_after_its_time_limit_is_not_written_to_and_given_back_once() -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            here.exchange.gate.clear()
            answer = await here.ask(place("one"))
            await until(lambda: to_nodes(here, ConnectionState.OPENING))
            here.pass_time(260 * MS)  # past the dial's limit: the decisions go to the other node
            assert to_nodes(here, ConnectionState.OPENING) == here.books.server_connection_count == 1
            here.exchange.gate.set()
            _, peer = await first(here)
            await peer.request()
            peer.say(told(b"one"))
            assert (await answer).endswith(b"one")
            assert sum(len(p.all) for p in here.nodes) == 1 and not here.exchange.dials

    play(what)


def test_a_connection_to_a_process_that_was_replaced_meanwhile_is_not_kept() -> None:
    async def what() -> None:
        async with scene() as here:
            watch = await here.node_list.peer()
            await watch.request()
            answer = await here.ask(check("one"))
            peer = await here.nodes[0].peer()
            await peer.request()
            tell(watch, 8, here.listed(0, born=1_800_000_000_000))
            await until(lambda: here.books.list_version == 8)
            peer.say(told(b"one"))
            assert (await answer).endswith(b"one")
            assert await peer.ended() == b""
            assert here.books.server_connection_count == 0

    play(what)
