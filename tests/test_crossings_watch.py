"""Pairs of events on the watch of the node list, in the order that does harm, on real connections."""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta
from typing import Any

import pytest

from opalgauge.memory.events import AddressesChanged
from opalgauge.wire.line import LineProtocol
from tests.crossing import MS, Party, Peer, Scene, place, play, scene, tell, told, until


async def asked(here: Scene, party: Party | None = None) -> tuple[Peer, str]:
    """The next connection for a watch, and what is asked over it."""
    peer = await (party or here.node_list).peer()
    return peer, await question(peer)


async def question(peer: Peer) -> str:
    return (await peer.request()).split(b" ")[1].decode()


async def dripped(line: LineProtocol, count: int) -> None:
    await until(lambda: line.over or line.heard.endswith(b" " * count))


async def gone(here: Scene, line: int) -> None:
    await until(lambda: line not in here.books.connections)


def moved(here: Scene, address: str) -> None:
    here.exchange.report(AddressesChanged(here.books.counter_address, address))


async def goes_to(here: Scene, number: int) -> None:
    """A new request is sent to that stock node and to no other."""
    before = [len(p.all) for p in here.nodes]
    answer = await here.ask(place(f"new-{number}"))
    peer = await here.nodes[number].peer()
    await peer.request()
    after = [len(p.all) for p in here.nodes]
    assert [n for n in range(len(before)) if after[n] > before[n]] == [number]
    peer.say(told(b"done"))
    assert (await answer).endswith(b"done")


BEGINNINGS = {
    "nothing": b"",
    "half a head": b"HTTP/1.1 200 O",
    "half a list": b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"seq":9,"whole":tr',
    "half a chunk": b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n{"seq"',
    "only 1xx": b"HTTP/1.1 102 Processing\r\n\r\n",
}


@pytest.mark.parametrize("wait", [1, 20], ids=["pushed", "asked for"])
@pytest.mark.parametrize("beginning", BEGINNINGS)
def test_a_watch_that_falls_silent_is_replaced_within_its_time(beginning: str, wait: int) -> None:
    async def what() -> None:
        async with scene(list_wait=timedelta(seconds=wait)) as here:
            watch, first = await asked(here)
            heard = len(BEGINNINGS[beginning])
            watch.say(BEGINNINGS[beginning])
            if heard:
                line = here.exchange.lines[here.books.list_connection_id]
                await until(lambda: len(line.heard) >= heard or line.halting or beginning == "only 1xx")
            here.pass_time(timedelta(seconds=wait) + 500 * MS)
            here.pass_time(150 * MS)
            other, again = await asked(here)
            assert again == first, "it goes on from what is known"
            assert await watch.ended() == b""
            tell(other, 8, here.listed(0))
            await until(lambda: here.books.list_version == 8)

    play(what)


def test_a_list_that_drips_for_ever_is_replaced_too() -> None:
    # Guards against a silence timer that every byte sets back.
    async def what() -> None:
        async with scene() as here:
            watch, _ = await asked(here)
            watch.say(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")
            line = here.exchange.lines[here.books.list_connection_id]
            for n in range(1, 30):
                if here.books.list_connection_id != line.number or line.over:
                    break
                watch.say(b" ")
                await dripped(line, n)
                here.pass_time(60 * MS)
            assert line.over and n < 25
            await asked(here)

    play(what)


def test_what_drains_just_after_its_watch_was_reset_gets_nothing_new() -> None:
    # The new watch is opened at once: not after a pause in which what is told counts as heard.
    async def what() -> None:
        async with scene(nodes=2) as here:
            watch, _ = await asked(here)
            here.pass_time(200 * MS)
            watch.reset()
            other, _ = await asked(here)
            tell(other, 8, here.listed(0, "terminating"))
            await until(lambda: here.books.list_version == 8)
            await goes_to(here, 1)

    play(what)


def test_an_agent_that_ends_every_watch_at_once_is_asked_with_pauses() -> None:
    async def what() -> None:
        async with scene() as here:
            watch, _ = await asked(here)
            watch.reset()
            await until(lambda: not here.books.list_reachable)
            assert here.books.list_connection_id not in here.books.connections, "not at once"
            here.pass_time(150 * MS)
            await asked(here)

    play(what)


@pytest.mark.parametrize("keep", [True, False])
@pytest.mark.parametrize("hosts", [True, False])
def test_an_agent_that_answers_at_once_with_nothing_new_is_asked_with_pauses(keep: bool, hosts: bool) -> None:
    async def what() -> None:
        async with scene() as here:
            watch, _ = await asked(here)
            body = json.dumps({"seq": 7, "whole": hosts, "hosts": [here.listed(0)] * hosts}).encode()
            head = b"" if keep else b"Connection: close\r\n"
            watch.say(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body))
            line = here.books.connections[here.books.list_connection_id]
            await until(lambda: line.since is None)
            assert len(here.node_list.all) == 1
            here.pass_time(150 * MS)
            assert await question(watch if keep else await here.node_list.peer())

    play(what)


def test_an_old_watchs_late_answer_is_not_heard_after_the_new_ones() -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            watch, _ = await asked(here)
            # The old answer is on its way, and lies in the kernel, as the watch is given up.
            tell(watch, 20, here.listed(0), here.listed(1), whole=True)
            await watch.writer.drain()
            here.pass_time(1400 * MS)
            other, _ = await asked(here)
            tell(other, 9, here.listed(0, "terminating"))
            await until(lambda: here.books.list_version == 9)
            await goes_to(here, 1)

    play(what)


@pytest.mark.parametrize(
    ("seq", "whole", "taken", "since"),
    [
        (7, False, True, "since=7&"),  # the same again
        (900, False, True, "since=900&"),  # it may jump
        (3, False, False, None),  # changes of a list that was counted anew
        (3, True, True, "since=3&"),  # the whole list, counted anew
    ],
)
def test_versions_that_repeat_jump_or_go_back(seq: int, whole: bool, taken: bool, since: str | None) -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            watch, _ = await asked(here)
            here.pass_time(200 * MS)
            tell(watch, seq, here.listed(0, "terminating"), here.listed(1), whole=whole, indent=2)
            if taken:
                assert f"?{since}" in await question(watch)
                await goes_to(here, 1)
            else:
                await until(lambda: not here.books.list_reachable)
                here.pass_time(150 * MS)
                other, again = await asked(here)
                assert "since" not in again, "the whole list is asked for"
                tell(other, 3, here.listed(1), whole=True)
                assert "since=3&" in await question(other)
                await goes_to(here, 1)

    play(what)


SPOILT: dict[str, Any] = {
    "no host": {"host": None},
    "an unknown health": {"health": "ill"},
    "a health of the wrong type": {"health": ["terminating"]},
    "a start that is no number": {"born_ms": "soon"},
    "a start without end": {"born_ms": float("inf")},
    "a start that is none": {"born_ms": float("nan")},
    "a share that is none": {"share": float("nan")},
    "a block without end": {"block": float("inf")},
}


@pytest.mark.parametrize("spoilt", [*SPOILT, "deep", "no list", "no version"])
def test_a_list_that_cannot_be_read_changes_nothing_and_the_next_is_asked_for(spoilt: str) -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            watch, _ = await asked(here)
            if spoilt == "deep":
                watch.say(told(b'{"seq":8,"whole":true,"hosts":' + b"[" * 200_000))
            elif spoilt == "no list":
                watch.say(told(b'{"seq":8,"whole":true,"hosts":7}'))
            elif spoilt == "no version":
                tell(watch, float("nan"), here.listed(0, "terminating"))
            else:
                entry = {**here.listed(0, "terminating"), **SPOILT[spoilt]}
                if entry["host"] is None:
                    del entry["host"]
                tell(watch, 8, here.listed(1, "terminating"), entry)
            await until(lambda: not here.books.list_reachable)
            assert not [line for line in here.log if "fault" in line]
            here.pass_time(150 * MS)
            other, again = await asked(here)
            assert "since" not in again
            tell(other, 9, here.listed(0, "terminating"), here.listed(1), whole=True)
            await until(lambda: here.books.list_version == 9)
            await goes_to(here, 1)

    play(what)


@pytest.mark.parametrize("state", ["half a list", "silent", "down"])
def test_a_reload_that_moves_the_agent_asks_the_new_one_at_once_for_its_whole_list(state: str) -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            other = await Party().open()
            watch, _ = await asked(here)
            if state == "half a list":
                body = json.dumps({"seq": 8, "whole": True, "hosts": [here.listed(0)]}).encode()
                watch.say(told(body)[:-5])
                line = here.exchange.lines[here.books.list_connection_id]
                await until(lambda: line.heard)
            elif state == "down":
                assert here.node_list.server is not None
                here.node_list.server.close()
                watch.reset()
                await until(lambda: not here.books.list_reachable)
            moved(here, other.address)
            new, first = await asked(here, other)
            assert "since" not in first
            if state == "half a list":
                watch.say(body[-5:])  # the old one's end comes all the same
            tell(new, 2, here.listed(0, "terminating"), here.listed(1), whole=True)
            assert "since=2&" in await question(new)
            await goes_to(here, 1)
            here.pass_time(timedelta(milliseconds=900))  # what was due for the old one asks nobody
            assert len(other.all) == 1 and len(here.node_list.all) == 1
            other.close()

    play(what)


def test_a_reload_while_the_new_agent_is_down_is_made_good_as_it_comes_up() -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            watch, _ = await asked(here)
            other = await Party().open()
            assert other.server is not None
            host, port = other.address.split(":")
            other.server.close()
            await other.server.wait_closed()
            moved(here, other.address)
            await until(lambda: not here.books.list_reachable)
            assert await watch.ended() == b""
            other.server = await asyncio.start_server(
                lambda r, w: other.peers.put_nowait(Peer(r, w)), host, int(port)
            )
            here.pass_time(150 * MS)
            new, first = await asked(here, other)
            assert "since" not in first
            tell(new, 1, here.listed(0, "terminating"), here.listed(1), whole=True)
            await until(lambda: here.books.list_version == 1)
            await goes_to(here, 1)
            other.close()

    play(what)


def test_a_reload_with_the_same_address_leaves_the_watch_alone() -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            watch, _ = await asked(here)
            moved(here, here.node_list.address)
            tell(watch, 8, here.listed(0, "terminating"))
            assert "since=8&" in await question(watch)
            assert len(here.node_list.all) == 1
            await goes_to(here, 1)

    play(what)


def test_an_agent_without_a_turn_where_lists_are_pushed_is_asked_again_within_seconds() -> None:
    # Guards against a pause longer than the time after which what it had to tell counts as told.
    async def what() -> None:
        async with scene() as here:
            for _ in range(8):
                watch, _ = await asked(here)
                watch.say(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                await gone(here, here.books.list_connection_id)
                here.pass_time(timedelta(milliseconds=3010))

    play(what)
