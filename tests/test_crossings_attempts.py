"""Pairs of events round attempts, the counter and clients that leave, in the order that does harm."""

from __future__ import annotations

import asyncio
import re
import socket
from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory.effects import Destination as Whom
from opalgauge.memory.events import AddressesChanged
from opalgauge.memory.state import ConnectionState
from starlinggap import interface as i
from tests import harness
from tests.crossing import ALONE, MS, Peer, Scene, check, first, place, play, scene, told, until
from tests.reducer_rig import SETTINGS

KEYED = replace(
    ALONE,
    classes=(ALONE.classes[0], replace(ALONE.classes[1], idempotency=i.Idempotency.KEYED, dedup_window=0.3)),
)


async def first_unless(here: Scene, reading: asyncio.Task[list[tuple[Peer, str, float]]]) -> tuple[int, Peer]:
    """As `first`; a further call that only reads is answered with nothing."""
    getting = asyncio.create_task(first(here))
    await asyncio.wait([getting, reading], return_when=asyncio.FIRST_COMPLETED)
    if reading.done():
        ((peer, _, amount),) = reading.result()
        assert amount == 0.0
        peer.say(told(b"0"))
    else:
        reading.cancel()
    return await getting


def sent(here: Scene) -> int:
    return sum(len(p.all) for p in here.nodes)


def nothing_left(here: Scene) -> None:
    """Nothing of any request: in the books, at the sockets, with whoever waits."""
    books, clients = here.books, here.clients
    assert (
        not books.requests
        and not books.open_correlation_ids
        and not books.clients_waiting
        and not books.attempts
    )
    assert not books.streams and not books.clients_sending_body and not books.clients_sending_head
    assert not clients.waiting and not clients.bodies and not clients.reading and not clients.busy
    assert not here.exchange.pours
    assert not [
        li
        for li in books.connections.values()
        if li.destination is Whom.SERVER and li.state is ConnectionState.BUSY
    ]


BREAKS = {
    "in the head": b"HTTP/1.1 200 OK\r\nConte",
    "in the body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone",
    "in a body without length": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone",
    "between chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
    "after the request's last byte": b"",
}


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("where", BREAKS)
def test_an_answer_that_a_reset_breaks_is_none_and_only_what_may_is_repeated(where: str, kind: str) -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            answer = await here.ask(check("one") if kind == "safe" else place("one"))
            _, peer = await first(here)
            await peer.request()
            peer.say(BREAKS[where])
            if BREAKS[where]:
                (line,) = [li for li in here.exchange.lines.values() if li.flows is not None]
                await until(lambda: line.heard)
            peer.reset()
            if kind == "safe":
                _, again = await first(here)
                assert b"one" in await again.request()
                again.say(told(b"other"))
                assert (await answer).endswith(b"\r\n\r\nother")
            else:
                assert int((await answer).split(b" ")[1]) == 502
                assert sent(here) == 1
            nothing_left(here)

    play(what)


def test_an_answer_without_a_length_is_ended_by_an_orderly_close() -> None:
    async def what() -> None:
        async with scene() as here:
            answer = await here.ask(place("one"))
            _, peer = await first(here)
            await peer.request()
            peer.say(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
            peer.writer.close()
            assert (await answer).endswith(b"all of it")

    play(what)


def test_a_long_answer_without_a_length_that_is_reset_is_not_taken_for_whole() -> None:
    async def what() -> None:
        async with scene() as here:
            reader, writer = await here.client()
            writer.write(place("one"))
            _, peer = await first(here)
            await peer.request()
            peer.say(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * 200_000)
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
            await until(lambda: here.books.streams)
            peer.reset()
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                # Framed in chunks, whose last never comes, or reset: its client can tell either way.
                while True:
                    size = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), 20)).strip(), 16)
                    assert size, "its end must not look like a whole answer's"
                    await reader.readexactly(size + 2)
            writer.close()
            await until(lambda: not here.books.streams)
            nothing_left(here)

    play(what)


def test_a_connection_reset_long_after_its_answer_is_not_used_and_breaks_nothing() -> None:
    async def what() -> None:
        async with scene() as here:
            answer = await here.ask(check("one"))
            _, peer = await first(here)
            await peer.request()
            peer.say(told(b"one"))
            await answer
            here.pass_time(timedelta(seconds=2))
            sock = peer.writer.get_extra_info("socket")
            peer.reset()
            await until(lambda: sock.fileno() == -1)  # the reset is in the kernel, the ingress has not heard
            other = await here.ask(place("two"))
            _, fresh = await first(here)
            assert b"two" in await fresh.request()
            fresh.say(told(b"two"))
            assert (await other).endswith(b"two")
            assert here.books.statistics.attempts == 2

    play(what)


SPOILT = {
    "noise": b"\x00\xff noise \r\n\r\n",
    "a head without end": b"HTTP/1.1 200 OK\r\nX: " + b"a" * 20_000,
    "endless 1xx": b"HTTP/1.1 102 Processing\r\n\r\n" * 4000,
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "a length that is none": b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd",
}


@pytest.mark.parametrize("spoilt", SPOILT)
def test_a_spoilt_answer_fails_what_may_have_run_and_harms_nobody_else(spoilt: str) -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            answer = await here.ask(place("one"))
            _, peer = await first(here)
            await peer.request()
            peer.say(SPOILT[spoilt])
            assert int((await answer).split(b" ")[1]) == 502
            assert sent(here) == 1 and await peer.ended() == b""
            nothing_left(here)

    play(what)


def test_a_1xx_now_and_then_keeps_an_attempt_no_longer_than_its_time() -> None:
    async def what() -> None:
        async with scene() as here:
            answer = await here.ask(place("one"))
            _, peer = await first(here)
            await peer.request()
            for _ in range(30):
                if not here.books.requests:
                    break
                peer.say(b"HTTP/1.1 102 Processing\r\n\r\n")
                await asyncio.sleep(0)
                here.pass_time(100 * MS)
            assert int((await answer).split(b" ")[1]) in (502, 504)
            nothing_left(here)

    play(what)


@pytest.mark.parametrize("late", [False, True])
def test_a_keyed_repeat_waits_no_longer_than_its_window(late: bool) -> None:
    # The retry's own wait, for a stock node that could take it, outlasts the window.
    async def what() -> None:
        async with scene(nodes=2, settings=KEYED) as here:
            answer = await here.ask(place("one"))
            number, peer = await first(here)
            await peer.request()
            here.pass_time((310 if late else 100) * MS)
            peer.reset()
            if late:
                assert int((await answer).split(b" ")[1]) in (429, 502) and sent(here) == 1
            else:
                other, again = await first(here)
                assert other != number and b"one" in await again.request()
                again.say(told(b"one"))
                assert (await answer).endswith(b"one")
            nothing_left(here)

    play(what)


# --- the quota counter -------------------------------------------------------------------------------------
async def call(peer: Peer) -> tuple[str, float]:
    """A call's name and amount."""
    found = re.match(rb"POST /counters/([0-9a-f]+)\?by=([-0-9.]+)&", await peer.request())
    assert found is not None
    return found[1].decode(), float(found[2])


def total(value: float) -> bytes:
    return told(b"%g" % value)


async def calls(here: Scene, count: int) -> list[tuple[Peer, str, float]]:
    """The next calls, over however many connections."""
    assert here.counter is not None
    found: list[tuple[Peer, str, float]] = []
    reading: dict[asyncio.Task[tuple[str, float]], Peer] = {}
    opened = {asyncio.create_task(here.counter.peer())}
    for peer in here.counter.all:
        reading[asyncio.create_task(call(peer))] = peer
    while len(found) < count:
        done, _ = await asyncio.wait({*opened, *reading}, return_when=asyncio.FIRST_COMPLETED, timeout=20)
        assert done, "no further call came"
        for task in done:
            if task in opened:
                peer = task.result()  # type: ignore[assignment]
                opened = {asyncio.create_task(here.counter.peer())}
                if peer not in reading.values():
                    reading[asyncio.create_task(call(peer))] = peer
            elif task in reading:
                peer = reading.pop(task)  # type: ignore[arg-type]
                found.append((peer, *task.result()))  # type: ignore[misc]
    for task in (*opened, *reading):
        task.cancel()
    return found


def test_a_client_that_leaves_before_the_counters_answer_is_not_sent_on_and_its_units_come_back() -> None:
    async def what() -> None:
        async with scene(settings=SETTINGS) as here:
            _, writer = await here.client()
            writer.write(place("one"))
            ((peer, name, amount),) = await calls(here, 1)
            assert amount == 2
            writer.close()
            await until(lambda: not here.books.requests)
            peer.say(total(2.0))
            ((_, again, back),) = await calls(here, 1)
            assert (again, back) == (name, -2.0), "what was charged and not sent is refunded, once"
            peer.say(total(0.0))
            await until(
                lambda: not any(line.unanswered_calls for line in here.books.counter_connections.values())
            )
            here.pass_time(timedelta(seconds=1))
            assert sent(here) == 0
            nothing_left(here)

    play(what)


def test_a_counter_that_moves_with_calls_unanswered_loses_no_request_and_answers_none_twice() -> None:
    async def what() -> None:
        async with scene(settings=SETTINGS) as here:
            assert here.counter is not None
            answer = await here.ask(place("one"))
            ((old, name, _),) = await calls(here, 1)
            moved = here.counter = await type(here.counter)().open()
            here.exchange.report(AddressesChanged(moved.address, here.books.server_list_address))
            old.say(total(2.0))  # on its way as the connection is left
            ((new, again, amount),) = await calls(here, 1)
            assert (again, amount) == (name, 0.0), "the total is read once more, and nothing charged twice"
            new.say(total(2.0))
            reading = asyncio.create_task(calls(here, 1))  # of the last window
            _, node = await first_unless(here, reading)
            await node.request()
            node.say(told(b"one"))
            assert (await answer).endswith(b"one")
            nothing_left(here)
            moved.close()

    play(what)


def test_a_counter_that_answers_after_its_time_is_not_heard_for_the_next_call() -> None:
    async def what() -> None:
        async with scene(settings=SETTINGS) as here:
            answer = await here.ask(place("one"))
            ((peer, name, _),) = await calls(here, 1)
            here.pass_time(100 * MS)  # past its time: the decisions go on alone
            _, node = await first(here)
            await node.request()
            node.say(told(b"one"))
            assert (await answer).endswith(b"one")
            here.exchange.reducer.gateway.call_share = 1.0  # as if the counter were well again
            other = await here.ask(place("two"))
            ((same, again, _),) = await calls(here, 1)
            assert same is peer and again == name
            peer.say(total(45.0))  # the first call's, late: nothing of the quota would be left
            (line,) = here.books.counter_connections.values()
            await until(lambda: len(line.unanswered_calls) == 1)
            peer.say(total(4.0))
            reading = asyncio.create_task(calls(here, 1))  # of the last window
            await until(lambda: here.books.attempts or reading.done())
            if reading.done():
                reading.result()[0][0].say(told(b"0"))
            second = await asyncio.wait_for(node.request(), 20) if not here.books.idle_connections else b""
            if not second:
                _, fresh = await first(here)
                second, node = await fresh.request(), fresh
            assert b"two" in second
            node.say(told(b"two"))
            assert (await other).endswith(b"two")
            reading.cancel()
            nothing_left(here)

    play(what)


# --- clients that leave ------------------------------------------------------------------------------------
async def leaving(here: Scene, names: list[str]) -> list[asyncio.StreamWriter]:
    writers = []
    for n, name in enumerate(names):
        _, writer = await here.client()
        writer.write(place(name).replace(b"b4d65521", b"%08x" % n))  # an account of its own
        writers.append(writer)
    await until(lambda: len(here.books.requests) == len(names))
    return writers


def test_clients_that_leave_in_a_burst_while_no_node_is_there_are_not_sent_on() -> None:
    async def what() -> None:
        async with scene() as here:
            watch = await here.node_list.peer()
            await watch.request()
            watch.say(told(b'{"seq":8,"whole":true,"hosts":[]}'))
            await until(lambda: here.books.list_version == 8)
            names = [f"id-{n}" for n in range(40)]
            writers = await leaving(here, names)
            for writer in writers:
                writer.transport.abort()
            await until(lambda: not here.books.requests)
            entry = here.listed(0)
            watch.say(
                told(
                    b'{"seq":9,"whole":true,"hosts":[{"host":"%s","dial":"%s","health":"in_service"}]}'
                    % (entry["host"].encode(), entry["dial"].encode())
                )
            )
            await until(lambda: here.books.list_version == 9)
            here.pass_time(timedelta(seconds=1))
            answer = await here.ask(place("last"))
            _, peer = await first(here)
            assert b"last" in await peer.request()
            peer.say(told(b"last"))
            await answer
            assert sent(here) == 1 and here.books.statistics.attempts == 1
            nothing_left(here)

    play(what)


def test_a_client_that_leaves_during_its_attempt_is_not_sent_on_again() -> None:
    async def what() -> None:
        async with scene(nodes=2) as here:
            _, writer = await here.client()
            writer.write(check("one"))
            _, peer = await first(here)
            await peer.request()
            writer.transport.abort()
            peer.reset()  # in the same turn: what comes first must not matter
            await until(lambda: not here.books.requests)
            here.pass_time(timedelta(seconds=1))
            assert sent(here) == 1
            nothing_left(here)

    play(what)


@pytest.mark.parametrize("how", ["a close", "a reset"])
def test_a_client_that_leaves_while_its_long_body_lies_unread_is_not_sent_on(how: str) -> None:
    # What waits for a node is read no further, and the loop would meet the client's end by reading alone.
    begun, rest = 70 * 1024, 620 * 1024  # what is held of it, and what lies here and there

    async def what() -> None:
        async with scene() as here:
            here.exchange.gate.clear()
            _, writer = await here.client()
            whole = harness.request("POST", "/place-order", b"x" * (begun + rest), left="2.0", name="one")
            writer.write(whole[:-rest])
            await until(lambda: here.books.requests)
            writer.write(whole[-rest:])
            (connection,) = here.clients.numbers
            await until(lambda: connection.transport is not None and not connection.transport.is_reading())
            await until(lambda: writer.transport.get_write_buffer_size() == 0)
            if how == "a close":
                writer.close()
            else:
                Peer(asyncio.StreamReader(), writer).reset()
            await until(lambda: not here.books.requests)
            here.exchange.gate.set()
            here.pass_time(100 * MS)
            assert here.books.statistics.attempts == 0
            nothing_left(here)

    play(what)


@pytest.mark.parametrize("ends", ["its sending side", "with a request behind"])
def test_a_client_that_has_ended_is_gone(ends: str) -> None:
    # The end of the sending side cannot be told from a close; what stands behind is not read any more.
    async def what() -> None:
        async with scene() as here:
            here.exchange.gate.clear()
            _, writer = await here.client()
            writer.write(place("one") + (place("two") if ends == "with a request behind" else b""))
            await until(lambda: here.books.requests)
            if ends == "its sending side":
                writer.write_eof()
            else:
                writer.close()
            await until(lambda: not here.books.requests)
            here.exchange.gate.set()
            await until(lambda: not here.clients.numbers)
            here.pass_time(100 * MS)
            assert here.books.statistics.attempts == 0
            nothing_left(here)
            writer.close()

    play(what)


@pytest.mark.parametrize("end", ["close", "reset", "half"])
def test_a_client_that_went_before_its_request_was_read_gets_no_attempt(end: str) -> None:
    async def what() -> None:
        async with scene() as here:
            first = await here.ask(check("first"))
            peer = await here.nodes[0].peer()
            await peer.request()
            peer.say(told(b"first"))
            assert (await first).endswith(b"first")
            await until(lambda: not here.clients.numbers)
            here.pass_time(30 * MS)  # its connection to the node can be used at once
            assert here.clients.listener is not None
            # All in one turn: the loop finds a request and its client's end.
            late = socket.create_connection(here.clients.listener.address)
            late.send(check("late"))
            if end == "reset":
                late.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            late.shutdown(socket.SHUT_WR) if end == "half" else late.close()
            await until(lambda: here.clients.connection == 2 and not here.clients.numbers)
            assert here.books.statistics.attempts == 1 and not here.books.requests
            ended = asyncio.create_task(peer.reader.read())
            await asyncio.sleep(0)
            assert not ended.done() or ended.result() == b"", "it was sent on"
            ended.cancel()
            late.close()

    play(what)


def test_clients_that_send_much_at_once_and_go_leave_nothing_and_others_are_answered() -> None:
    async def what() -> None:
        async with scene(max_clients=60, max_requests=40) as here:
            assert here.clients.listener is not None
            at = here.clients.listener.address
            floods = []
            for n in range(20):
                flood = socket.create_connection(at)
                flood.setblocking(False)
                flood.send(b"".join(place(f"id-{n}-{m}") for m in range(60)))
                floods.append(flood)
            await until(lambda: here.clients.connection == 20 and here.books.requests)
            assert len(here.books.requests) <= 40
            for flood in floods:
                flood.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                flood.close()
            # Whether an end is read before another's request in one turn of the loop is the system's order.
            await until(lambda: not here.clients.numbers)
            answer = await here.ask(check("good").replace(b"b4d65521", b"00000001"))
            good = asyncio.create_task(_serve(here))
            assert (await answer).endswith(b"good")
            good.cancel()
            await until(lambda: not here.books.requests and not here.clients.numbers)
            nothing_left(here)

    play(what)


async def _serve(here: Scene) -> None:
    """The stock node answers everyone with the id that it was asked under."""

    async def talk(peer: Peer) -> None:
        while True:
            try:
                data = await harness.read_request(peer.reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            found = re.search(rb"X-Correlation-Id: (\S+)", data)
            assert found is not None
            peer.say(told(found[1]))

    tasks = set()
    while True:
        tasks.add(asyncio.create_task(talk(await here.nodes[0].peers.get())))
