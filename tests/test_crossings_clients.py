"""Pairs of events on connections from clients, in the order that does harm, on real connections."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from opalgauge.memory.events import CloseIdleRequested, DrainRequested
from opalgauge.wire import clients as wire
from tests import harness
from tests.crossing import Scene, check, play, scene, told, until


class Caller:
    """A client whose bytes are in the kernel before the ingress's loop turns again."""

    def __init__(self, here: Scene, small: bool = False) -> None:
        assert here.clients.listener is not None
        self.socket = socket.socket()
        if small:  # so that most of an answer waits at the ingress
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.socket.connect(here.clients.listener.address)
        self.socket.setblocking(False)

    def say(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def say_much(self, data: bytes) -> None:
        """More than a turn of the loop reads, as far as the kernel takes it."""
        assert self.socket.send(data + b"x" * 4_000_000) > 300_000

    async def heard(self) -> None:
        """Something has come."""

        def some() -> bool:
            try:
                return bool(self.socket.recv(1, socket.MSG_PEEK))
            except BlockingIOError:
                return False

        await until(some)

    async def answer(self) -> bytes:
        reader, writer = await asyncio.open_connection(sock=self.socket)
        try:
            return await asyncio.wait_for(harness.read_request(reader), 20)
        finally:
            writer.close()

    async def rest(self) -> bytes:
        """All up to the connection's end, which must be no reset."""
        reader, writer = await asyncio.open_connection(sock=self.socket)
        try:
            return await asyncio.wait_for(reader.read(), 20)
        finally:
            writer.close()


def idle_limit(here: Scene) -> None:
    here.pass_time(timedelta(seconds=3))


def drain(here: Scene) -> None:
    here.clients.last = True
    here.exchange.report(DrainRequested())
    here.exchange.report(CloseIdleRequested())


async def served(here: Scene, name: str, took: float = 0.0) -> None:
    """The one stock node gets that request, and answers it."""
    while True:
        peer = await here.nodes[0].peer()
        if name.encode() in await peer.request():
            await asyncio.sleep(took)
            peer.say(told(name.encode()))
            return


ENDS = pytest.mark.parametrize("end", [idle_limit, drain])


@ENDS
def test_a_request_that_lies_unread_when_its_connection_is_to_be_closed_is_answered(
    end: Callable[[Scene], None],
) -> None:
    # Guards it against the reset of a close over unread bytes.
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here)
            await until(lambda: here.books.clients_new)
            caller.say(check("one"))
            end(here)
            await served(here, "one")
            assert (await caller.answer()).endswith(b"one")

    play(what)


@ENDS
def test_a_connection_with_nothing_on_it_is_closed(end: Callable[[Scene], None]) -> None:
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here)
            await until(lambda: here.books.clients_new)
            end(here)
            assert await caller.rest() == b""

    play(what)


def test_a_head_in_two_halves_round_the_shutdown_is_answered() -> None:
    async def what() -> None:
        async with scene() as here:
            caller, data = Caller(here), check("one")
            caller.say(data[:40])
            await until(lambda: here.books.clients_sending_head)
            drain(here)
            assert not here.left, "somebody is still asking"
            caller.say(data[40:])
            await served(here, "one")
            answer = await caller.answer()
            assert answer.endswith(b"one") and b"connection: close" in answer.lower()
            await until(lambda: here.left)

    play(what)


def test_half_a_head_holds_up_no_shutdown_for_long() -> None:
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here)
            caller.say(check("one")[:40])
            await until(lambda: here.books.clients_sending_head)
            drain(here)
            here.pass_time(timedelta(seconds=3))
            assert here.left and await caller.rest() == b""

    play(what)


def test_what_waits_to_be_accepted_when_listening_stops_is_answered() -> None:
    async def what() -> None:
        async with scene() as here:
            callers = {name: Caller(here) for name in ("one", "two")}
            for name, caller in callers.items():
                caller.say(check(name))
            drain(here)  # before the loop has turned
            closing = asyncio.create_task(here.clients.close())
            for _ in callers:
                peer = await here.nodes[0].peer()
                data = await peer.request()
                peer.say(told(b"one" if b"one" in data else b"two"))
            for name, caller in callers.items():
                assert (await caller.answer()).endswith(name.encode())
            await closing

    play(what)


def test_a_request_that_nobody_has_read_when_nothing_seems_owed_is_answered() -> None:
    # Guards the turns between the choice to leave and the end: a request may be read in any of them.
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here)
            await until(lambda: here.books.clients_new)
            caller.say(check("late"))
            drain(here)
            assert here.left
            serving = asyncio.create_task(served(here, "late", took=0.3))  # longer than a forced end waits
            await here.clients.close()  # its first step is taken before the loop has turned
            await serving
            assert (await caller.answer()).endswith(b"late")

    play(what)


BODY = b"x" * 60_000


async def last_answer(here: Scene, caller: Caller) -> None:
    """The ingress is leaving, and has begun to write its last, long answer to that caller."""
    caller.say(check("one"))
    peer = await here.nodes[0].peer()
    await peer.request()
    here.clients.last = True
    here.exchange.report(DrainRequested())
    peer.say(told(BODY))
    await caller.heard()


def test_bytes_behind_a_last_answer_do_not_destroy_it() -> None:
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here, small=True)
            await last_answer(here, caller)
            caller.say(b"and more")
            await until(lambda: not here.clients.busy)
            for _ in range(100):
                await asyncio.sleep(0)
            caller.say(b"and yet more")
            assert (await caller.rest()).endswith(BODY)
            await until(lambda: not here.clients.numbers)

    play(what)


def test_what_is_read_behind_a_last_answer_is_not_sent_on() -> None:
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here, small=True)
            await last_answer(here, caller)
            ((connection, _),) = here.clients.numbers.items()
            assert isinstance(connection, wire.Handler)
            caller.say(check("behind"))
            await until(lambda: connection.dropped)
            assert not connection._messages, "it is not even read as a request"
            assert (await caller.rest()).endswith(BODY)
            assert not here.books.requests and here.books.statistics.attempts == 1

    play(what)


@pytest.mark.parametrize(
    "data",
    [
        harness.request("POST", "/place-order", more="Content-Length: 60000000\r\n"),
        harness.request("POST", "/nothing", more="Content-Length: 90000\r\n"),
        b"no request at all\r\n\r\n",
        b"GET /stock-check HTTP/1.1\r\nConnection: close\r\n\r\n",
    ],
    ids=["too long", "unknown", "no request", "to be closed"],
)
def test_a_malformed_request_is_answered_by_an_answer_and_an_orderly_end(data: bytes) -> None:
    # Guards its client, which still writes, against a reset in place of the answer.
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here)
            caller.say_much(data)
            answer = await caller.rest()
            assert answer[9:10] == b"4" and answer.count(b"HTTP/1.") == 1
            await until(lambda: not here.clients.numbers)

    play(what)


def test_a_client_that_floods_is_not_read_for_ever_and_not_held_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(wire, "LINGER", 0.05)

    async def what() -> None:
        async with scene() as here:
            caller = Caller(here)
            caller.say(b"no request at all\r\n\r\n")
            await caller.heard()
            ((connection, _),) = here.clients.numbers.items()
            assert isinstance(connection, wire.Handler)
            while here.clients.numbers:
                try:
                    caller.socket.send(b"x" * 65_536)
                except BlockingIOError:
                    pass
                except OSError:
                    break  # it has been ended
                await asyncio.sleep(0)
            await until(lambda: not here.clients.numbers)
            assert connection.dropped < wire.MOST_LINGER + 1024 * 1024
            caller.socket.close()

    play(what)


def test_an_ingress_that_leaves_waits_for_a_client_that_takes_its_last_answer_slowly() -> None:
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here, small=True)
            await until(lambda: here.clients.numbers)
            ((connection, _),) = here.clients.numbers.items()
            assert connection.transport is not None
            held = connection.transport.get_extra_info("socket")
            held.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await last_answer(here, caller)
            here.exchange.report(CloseIdleRequested())
            assert here.left
            closing = asyncio.create_task(here.clients.close())
            _, pending = await asyncio.wait([closing], timeout=0.3)
            assert pending, "all of it would be lost with the process"
            assert (await caller.rest()).endswith(BODY)
            await closing

    play(what)


def test_small_writes_are_not_held_back() -> None:
    async def what() -> None:
        async with scene() as here:
            caller = Caller(here)
            caller.say(check("one"))
            peer = await here.nodes[0].peer()
            await peer.request()
            opened = [line.transport for line in here.exchange.lines.values()]
            accepted = [connection.transport for connection in here.clients.numbers]
            assert len(opened) >= 2 and len(accepted) == 1
            for transport in (*opened, *accepted):
                assert transport is not None
                held = transport.get_extra_info("socket")
                assert held.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
            peer.say(told(b"one"))
            assert (await caller.answer()).endswith(b"one")

    play(what)


def test_one_that_is_asked_to_stop_while_it_starts_serves_nobody(tmp_path: Path) -> None:
    # An old process that is there and says nothing holds up the start; SIGTERM comes meanwhile.
    async def what() -> None:
        asked, release = asyncio.Event(), asyncio.Event()

        async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            asked.set()
            await release.wait()
            writer.close()

        server = await asyncio.start_unix_server(old, str(tmp_path / "opalgauge.kin"))
        listener = socket.create_server(("127.0.0.1", 0))
        async with (
            harness.party(harness.silent) as (other, _),
            harness.starting(other, other, other, listener, str(tmp_path)) as ingress,
        ):
            await asyncio.wait_for(asked.wait(), 60)
            ingress.process.send_signal(signal.SIGTERM)
            assert ingress.process.stderr is not None
            said = await asyncio.wait_for(ingress.process.stderr.read(), 60)
            assert b"leaving" in said and b"ready" not in said
            assert await ingress.process.wait() == 0
            release.set()
        server.close()
        listener.close()

    play(what)
