"""One upstream connection on a real socket: what it reports, and that it closes at once."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import pytest

from opalgauge.memory import events
from opalgauge.wire import server_codec
from opalgauge.wire.upstream import UpstreamConnection

Scenario = Callable[[UpstreamConnection, socket.socket, list[events.Event]], Awaitable[None]]


def run_with_connection(scenario: Scenario) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        ours, peer = socket.socketpair()
        reported: list[events.Event] = []
        connection = UpstreamConnection(1, loop, reported.append, server_codec.parse_attempt_reply, 64 * 1024)
        await loop.create_connection(lambda: connection, sock=ours)
        assert reported == [events.ConnectionOpened(1)]
        reported.clear()
        try:
            await scenario(connection, peer, reported)
        finally:
            connection.close()
            peer.close()

    asyncio.run(run())


async def wait_for_event(reported: list[events.Event]) -> None:
    while not reported:
        await asyncio.sleep(0.001)


def test_the_peer_sees_a_close_before_the_loop_turns() -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.close()
        peer.settimeout(5)
        assert peer.recv(1) == b""  # no await since then: no other attempt could have been sent yet
        await asyncio.sleep(0.01)
        assert not reported

    run_with_connection(scenario)


def test_a_request_that_was_not_completely_written_is_reported_as_such() -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.send(b"x" * 50_000_000)  # far more than any socket buffer holds
        peer.close()
        await wait_for_event(reported)
        assert reported == [events.ConnectionLost(1, events.Progress.WRITING)]

    run_with_connection(scenario)


def test_a_request_that_was_completely_written_may_have_run() -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        peer.recv(100)
        peer.close()
        await wait_for_event(reported)
        assert reported == [events.ConnectionLost(1, events.Progress.WRITTEN)]

    run_with_connection(scenario)


def test_an_incomplete_answer_is_no_answer() -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        await asyncio.sleep(0.01)
        peer.close()
        while not any(isinstance(e, events.ConnectionLost) for e in reported):
            await asyncio.sleep(0.001)
        assert reported == [events.AnswerPartReceived(1), events.ConnectionLost(1, events.Progress.ANSWERING)]

    run_with_connection(scenario)


GOOD_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
TRAILING_DATA = {
    "a second copy": GOOD_ANSWER.replace(b"done", b"nope"),
    "noise": b"\xd5\x1an?\r\n\r\n\x00",
    "half a head": b"HTTP/1.1 200 OK\r\nX-",
}


@pytest.mark.parametrize("trailing", TRAILING_DATA.values(), ids=TRAILING_DATA.keys())
@pytest.mark.parametrize("early", [b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"], ids=["", "1xx"])
def test_a_complete_answer_counts_whatever_follows_it_and_its_connection_is_not_kept(
    trailing: bytes, early: bytes
) -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        peer.sendall(early + GOOD_ANSWER + trailing)
        await wait_for_event(reported)
        answer = reported.pop(0)
        assert isinstance(answer, events.ServerAnswered)
        assert (answer.end.value, answer.body, answer.keep_alive) == ("ok", b"done", False)
        assert connection.closed

    run_with_connection(scenario)


MALFORMED_ANSWERS = {
    "noise": b"\xd5\x1an?\r\n\r\n\x00",
    "a negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\ndone",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone",
    "no length": b"HTTP/1.1 200 OK\r\n\r\ndone",
    "no status": b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone",
    "a bad chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ndone\r\n",
    "far too much": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000,
    "a head without end": b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppp\r\n" * 20_000,
}


@pytest.mark.parametrize("answer", MALFORMED_ANSWERS.values(), ids=MALFORMED_ANSWERS.keys())
def test_a_malformed_answer_ends_the_connection_as_one_that_may_have_run(answer: bytes) -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        peer.setblocking(False)
        with contextlib.suppress(OSError):  # the connection may be closed before all is sent
            await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(peer, answer), 30)
        await asyncio.wait_for(wait_for_event(reported), 30)
        assert reported[-1] == events.ConnectionLost(1, events.Progress.ANSWERING)

    run_with_connection(scenario)


def test_unsolicited_data_ends_the_connection() -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        peer.sendall(GOOD_ANSWER)
        await wait_for_event(reported)
        assert isinstance(reported[0], events.ConnectionLost)

    run_with_connection(scenario)


@pytest.mark.parametrize("unasked", [GOOD_ANSWER, b""], ids=["a second copy", "the end"])
def test_unsolicited_data_is_seen_before_anything_is_written(unasked: bytes) -> None:
    # The data has arrived, but the loop has not reported it yet: there is no await in between.
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        peer.sendall(GOOD_ANSWER)
        await wait_for_event(reported)
        assert isinstance(reported.pop(), events.ServerAnswered)
        peer.recv(100)
        if unasked:
            peer.sendall(unasked)
        else:
            peer.shutdown(socket.SHUT_WR)
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        assert reported == [events.ConnectionStale(1)]
        assert peer.recv(100) == b""

    run_with_connection(scenario)


def test_fragmented_and_pipelined_answers_are_reported_in_order() -> None:
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        one = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        two = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        for _ in range(3):
            connection.send(b"GET / HTTP/1.1\r\n\r\n")
        for byte in (one + one + two)[: len(one)]:
            peer.sendall(bytes([byte]))
            await asyncio.sleep(0)
        peer.sendall(one + two)
        while len(reported) < 3:
            await asyncio.sleep(0.001)
        answers = [e for e in reported if isinstance(e, events.ServerAnswered)]
        assert [(a.end.value, a.keep_alive, a.body) for a in answers] == [
            ("ok", True, b"abc"), ("ok", True, b"abc"), ("error", False, b"")
        ]  # fmt: skip

    run_with_connection(scenario)


def test_a_collected_connection_closes_no_descriptor_of_the_loop() -> None:
    # A descriptor that is closed without the loop's knowledge is soon reused by another connection.
    async def scenario(
        connection: UpstreamConnection, peer: socket.socket, reported: list[events.Event]
    ) -> None:
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        peer.sendall(GOOD_ANSWER)
        await wait_for_event(reported)
        assert not connection._is_stale()
        kept = [v for v in vars(connection).values() if isinstance(v, socket.socket)]
        assert not kept, "a socket of the loop is kept between checks"

    run_with_connection(scenario)
