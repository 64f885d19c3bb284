"""The guardian's side of a lost worker's connections, on real sockets and without any worker."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from opalgauge.cores.sockets import kernel
from opalgauge.cores.supervisor import Client, Guardian
from opalgauge.lifecycle.config import make_config
from opalgauge.lifecycle.settings import as_told
from opalgauge.lifecycle.sources import PlatformSource, Reading
from tests.test_settings_file import GOOD, parse

ASK = b"GET /stock-check HTTP/1.1\r\n\r\n"


class Hall(Guardian):
    """A guardian that notes what it would deal on."""

    dealt: list[tuple[int, int]]

    def _deal(self, slot: int, client: Client, consumed: int, tries: int = 1) -> None:
        self.dealt.append((slot, consumed))


def play(scene: Callable[[Hall, socket.socket, socket.socket], Awaitable[None]]) -> None:
    """One connection in place 3, held by the first life of seat 0, which has ended."""

    async def run() -> None:
        told = as_told(parse(GOOD + "workers 2"))
        hall = Hall(Reading(told, 2), make_config(told, {}), PlatformSource({}), lambda _: None)
        hall.dealt = []
        with socket.create_server(("127.0.0.1", 0)) as server:
            client = socket.create_connection(server.getsockname())
            ours, _ = server.accept()
        ours.setblocking(False)
        client.setblocking(False)
        hall.clients[3] = Client(ours, 0, 1)
        with client:
            await scene(hall, client, ours)

    asyncio.run(run())


async def come(ours: socket.socket, data: bytes, client: socket.socket) -> None:
    client.sendall(data)
    while kernel(ours).consumed < 0 or len(_peek(ours)) < len(data):
        await asyncio.sleep(0.005)


def _peek(sock: socket.socket) -> bytes:
    try:
        return sock.recv(65536, socket.MSG_PEEK)
    except BlockingIOError:
        return b""


async def all_of(client: socket.socket) -> bytes:
    got = b""
    while data := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 65536), 5):
        got += data
    return got


@pytest.mark.parametrize("asks", ["before", "after", "never"])
def test_a_client_that_has_its_answer_and_asks_again_is_dealt_on_and_never_answered_twice(asks: str) -> None:
    # The worker ended after it had written its answer and before it could say so.
    async def scene(hall: Hall, client: socket.socket, ours: socket.socket) -> None:
        await come(ours, ASK, client)
        ours.recv(65536)
        hall.board.opened(3, 1, 0, False, len(ASK), 0, 0)
        hall.board.ran(3, 1)
        ours.send(b"the answer")
        if asks == "before":
            await come(ours, ASK, client)
        hall._inherit(3, hall.clients[3], frozenset({0}))
        if asks == "after":
            await asyncio.sleep(0.05)
            client.sendall(ASK)
        if asks == "never":
            assert await all_of(client) == b"the answer"
            assert not hall.dealt
        else:
            while not hall.dealt:
                await asyncio.sleep(0.005)
            assert hall.dealt == [(3, len(ASK))]
            assert client.recv(65536) == b"the answer"

    play(scene)


@pytest.mark.parametrize("asks", [False, True])
def test_a_drain_refuses_what_was_asked_of_a_lost_worker_and_closes_the_quiet(asks: bool) -> None:
    async def scene(hall: Hall, client: socket.socket, ours: socket.socket) -> None:
        hall.draining = True
        if asks:
            await come(ours, ASK, client)
        hall._inherit(3, hall.clients[3], frozenset({0}))
        got = await all_of(client)
        assert got.startswith(b"HTTP/1.1 503") if asks else got == b""
        assert not hall.dealt

    play(scene)


def test_a_client_that_is_gone_when_its_last_answer_is_written_gives_its_place_back() -> None:
    async def scene(hall: Hall, client: socket.socket, ours: socket.socket) -> None:
        ours.shutdown(socket.SHUT_RDWR)
        free = len(hall.free)
        hall._last(3, b"too late")
        assert len(hall.free) == free + 1 and 3 not in hall.clients

    play(scene)


def test_a_connection_that_was_dealt_on_is_known_by_all_the_bytes_that_were_ever_read_from_it() -> None:
    async def scene(hall: Hall, client: socket.socket, ours: socket.socket) -> None:
        await come(ours, ASK, client)
        ours.recv(65536)
        hall.board.fresh(3, len(ASK))  # an earlier life had read and answered it
        hall._inherit(3, hall.clients[3], frozenset({0}))
        assert hall.dealt == [(3, len(ASK))]

    play(scene)


def test_bytes_that_come_while_a_connection_is_looked_at_count_as_neither_read_nor_less_than_none() -> None:
    import threading

    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        ours, _ = server.accept()
    with client, ours:
        client.sendall(b"x" * 100)
        while len(ours.recv(100, socket.MSG_PEEK)) < 100:
            pass
        ours.recv(100)

        def send() -> None:
            for _ in range(20000):
                client.sendall(b"y")

        sender = threading.Thread(target=send)
        sender.start()
        seen = set()
        while sender.is_alive():
            seen.add(kernel(ours).consumed)
        sender.join()
        assert seen <= {100}
