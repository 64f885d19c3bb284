"""One outgoing connection on a real socket: what its end tells, and that it ends at once."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import pytest

from opalgauge.memory import events as ev
from opalgauge.wire import server_codec
from opalgauge.wire.upstream import UpstreamConnection

Scene = Callable[[UpstreamConnection, socket.socket, list[ev.Event]], Awaitable[None]]


def with_line(scene: Scene) -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        events: list[ev.Event] = []
        line = UpstreamConnection(1, loop, events.append, server_codec.parse_attempt_reply, 64 * 1024)
        await loop.create_connection(lambda: line, sock=ours)
        assert events == [ev.ConnectionOpened(1)]
        events.clear()
        try:
            await scene(line, theirs, events)
        finally:
            line.close()
            theirs.close()

    asyncio.run(play())


async def until(events: list[ev.Event]) -> None:
    while not events:
        await asyncio.sleep(0.001)


def test_an_end_is_seen_by_the_other_side_before_the_loop_turns() -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.close()
        theirs.settimeout(5)
        assert theirs.recv(1) == b""  # no await since: a further attempt could not have been written yet
        await asyncio.sleep(0.01)
        assert not events

    with_line(scene)


def test_a_request_that_was_not_wholly_written_is_told_as_such() -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.send(b"x" * 50_000_000)  # far more than any socket buffer holds
        theirs.close()
        await until(events)
        assert events == [ev.ConnectionLost(1, ev.Progress.WRITING)]

    with_line(scene)


def test_a_request_that_was_wholly_written_may_have_run() -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.send(b"GET / HTTP/1.1\r\n\r\n")
        theirs.recv(100)
        theirs.close()
        await until(events)
        assert events == [ev.ConnectionLost(1, ev.Progress.WRITTEN)]

    with_line(scene)


def test_an_answer_that_breaks_off_is_no_answer() -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.send(b"GET / HTTP/1.1\r\n\r\n")
        theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        await asyncio.sleep(0.01)
        theirs.close()
        while not any(isinstance(e, ev.ConnectionLost) for e in events):
            await asyncio.sleep(0.001)
        assert events == [ev.AnswerPartReceived(1), ev.ConnectionLost(1, ev.Progress.ANSWERING)]

    with_line(scene)


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
BEHIND = {
    "a second copy": GOOD.replace(b"done", b"nope"),
    "noise": b"\xd5\x1an?\r\n\r\n\x00",
    "half a head": b"HTTP/1.1 200 OK\r\nX-",
}


@pytest.mark.parametrize("behind", BEHIND.values(), ids=BEHIND.keys())
@pytest.mark.parametrize("early", [b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"], ids=["", "1xx"])
def test_a_good_answer_counts_whatever_comes_behind_it_and_the_connection_does_not(
    behind: bytes, early: bytes
) -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.send(b"GET / HTTP/1.1\r\n\r\n")
        theirs.sendall(early + GOOD + behind)
        await until(events)
        answer = events.pop(0)
        assert isinstance(answer, ev.ServerAnswered)
        assert (answer.end.value, answer.body, answer.keep_alive) == ("ok", b"done", False)
        assert line.closed

    with_line(scene)


SPOILT = {
    "noise": b"\xd5\x1an?\r\n\r\n\x00",
    "a negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\ndone",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone",
    "no length": b"HTTP/1.1 200 OK\r\n\r\ndone",
    "no status": b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone",
    "a bad chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ndone\r\n",
    "far too much": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000,
    "a head without end": b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppp\r\n" * 20_000,
}


@pytest.mark.parametrize("answer", SPOILT.values(), ids=SPOILT.keys())
def test_a_spoilt_answer_ends_the_connection_as_one_that_may_have_run(answer: bytes) -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.send(b"GET / HTTP/1.1\r\n\r\n")
        theirs.setblocking(False)
        with contextlib.suppress(OSError):  # the line may end before it has all
            await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(theirs, answer), 30)
        await asyncio.wait_for(until(events), 30)
        assert events[-1] == ev.ConnectionLost(1, ev.Progress.ANSWERING)

    with_line(scene)


def test_what_comes_unasked_ends_the_connection() -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        theirs.sendall(GOOD)
        await until(events)
        assert isinstance(events[0], ev.ConnectionLost)

    with_line(scene)


@pytest.mark.parametrize("unasked", [GOOD, b""], ids=["a second copy", "the end"])
def test_what_came_unasked_is_seen_before_anything_is_written(unasked: bytes) -> None:
    # Guards the time between the other side's word and the loop's: no await lies between them here.
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.send(b"GET / HTTP/1.1\r\n\r\n")
        theirs.sendall(GOOD)
        await until(events)
        assert isinstance(events.pop(), ev.ServerAnswered)
        theirs.recv(100)
        if unasked:
            theirs.sendall(unasked)
        else:
            theirs.shutdown(socket.SHUT_WR)
        line.send(b"GET / HTTP/1.1\r\n\r\n")
        assert events == [ev.ConnectionStale(1)]
        assert theirs.recv(100) == b""

    with_line(scene)


def test_answers_in_pieces_and_several_at_once_are_told_in_order() -> None:
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        one = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        two = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        for _ in range(3):
            line.send(b"GET / HTTP/1.1\r\n\r\n")
        for byte in (one + one + two)[: len(one)]:
            theirs.sendall(bytes([byte]))
            await asyncio.sleep(0)
        theirs.sendall(one + two)
        while len(events) < 3:
            await asyncio.sleep(0.001)
        answers = [e for e in events if isinstance(e, ev.ServerAnswered)]
        assert [(a.end.value, a.keep_alive, a.body) for a in answers] == [
            ("ok", True, b"abc"), ("ok", True, b"abc"), ("error", False, b"")
        ]  # fmt: skip

    with_line(scene)


def test_a_line_that_is_collected_closes_no_descriptor_of_the_loops() -> None:
    # Guards other connections: a descriptor closed behind the loop's back is soon another connection's.
    async def scene(line: UpstreamConnection, theirs: socket.socket, events: list[ev.Event]) -> None:
        line.send(b"GET / HTTP/1.1\r\n\r\n")
        theirs.sendall(GOOD)
        await until(events)
        assert not line._is_stale()
        kept = [v for v in vars(line).values() if isinstance(v, socket.socket)]
        assert not kept, "nothing of the loop's is held between looks"

    with_line(scene)
