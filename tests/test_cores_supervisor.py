"""The supervisor settles the connections of a lost worker: on real sockets, without worker processes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from opalgauge.cores.sockets import socket_progress
from opalgauge.cores.supervisor import Client, Supervisor
from opalgauge.lifecycle.config import make_config
from opalgauge.lifecycle.settings_file import to_platform_config
from opalgauge.lifecycle.sources import PlatformSource, SettingsReading
from tests.test_settings_file import VALID_FILE, parse

REQUEST = b"GET /stock-check HTTP/1.1\r\n\r\n"


class RecordingSupervisor(Supervisor):
    """A supervisor that records which connections it would reassign."""

    reassigned: list[tuple[int, int]]

    def _assign(self, slot: int, client: Client, consumed: int, tries: int = 1) -> None:
        self.reassigned.append((slot, consumed))


def run_scene(scene: Callable[[RecordingSupervisor, socket.socket, socket.socket], Awaitable[None]]) -> None:
    """Runs a scene with one connection in slot 3, held by generation 1 of worker 0, which has ended."""

    async def run() -> None:
        settings = to_platform_config(parse(VALID_FILE + "workers 2"))
        supervisor = RecordingSupervisor(
            SettingsReading(settings, 2), make_config(settings, {}), PlatformSource({}), lambda _: None
        )
        supervisor.reassigned = []
        with socket.create_server(("127.0.0.1", 0)) as server:
            client = socket.create_connection(server.getsockname())
            ours, _ = server.accept()
        ours.setblocking(False)
        client.setblocking(False)
        supervisor.clients[3] = Client(ours, 0, 1)
        with client:
            await scene(supervisor, client, ours)

    asyncio.run(run())


async def deliver(ours: socket.socket, data: bytes, client: socket.socket) -> None:
    client.sendall(data)
    while socket_progress(ours).consumed < 0 or len(_peek(ours)) < len(data):
        await asyncio.sleep(0.005)


def _peek(sock: socket.socket) -> bytes:
    try:
        return sock.recv(65536, socket.MSG_PEEK)
    except BlockingIOError:
        return b""


async def read_all(client: socket.socket) -> bytes:
    received = b""
    while data := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 65536), 5):
        received += data
    return received


@pytest.mark.parametrize("asks", ["before", "after", "never"])
def test_answered_client_that_asks_again_is_reassigned_and_never_answered_twice(asks: str) -> None:
    # The worker ended after it had written the answer and before it could record that.
    async def scene(supervisor: RecordingSupervisor, client: socket.socket, ours: socket.socket) -> None:
        await deliver(ours, REQUEST, client)
        ours.recv(65536)
        supervisor.table.record_request(3, 1, 0, False, len(REQUEST), 0, 0)
        supervisor.table.record_attempt(3, 1)
        ours.send(b"the answer")
        if asks == "before":
            await deliver(ours, REQUEST, client)
        supervisor._take_over_connection(3, supervisor.clients[3], frozenset({0}))
        if asks == "after":
            await asyncio.sleep(0.05)
            client.sendall(REQUEST)
        if asks == "never":
            assert await read_all(client) == b"the answer"
            assert not supervisor.reassigned
        else:
            while not supervisor.reassigned:
                await asyncio.sleep(0.005)
            assert supervisor.reassigned == [(3, len(REQUEST))]
            assert client.recv(65536) == b"the answer"

    run_scene(scene)


@pytest.mark.parametrize("asks", [False, True])
def test_drain_refuses_requests_of_a_lost_worker_and_closes_idle_connections(asks: bool) -> None:
    async def scene(supervisor: RecordingSupervisor, client: socket.socket, ours: socket.socket) -> None:
        supervisor.draining = True
        if asks:
            await deliver(ours, REQUEST, client)
        supervisor._take_over_connection(3, supervisor.clients[3], frozenset({0}))
        received = await read_all(client)
        assert received.startswith(b"HTTP/1.1 503") if asks else received == b""
        assert not supervisor.reassigned

    run_scene(scene)


def test_slot_is_freed_when_the_client_left_before_its_final_answer() -> None:
    async def scene(supervisor: RecordingSupervisor, client: socket.socket, ours: socket.socket) -> None:
        ours.shutdown(socket.SHUT_RDWR)
        free = len(supervisor.free_slots)
        supervisor._send_final(3, b"too late")
        assert len(supervisor.free_slots) == free + 1 and 3 not in supervisor.clients

    run_scene(scene)


def test_reassigned_connection_counts_all_bytes_ever_read_from_it() -> None:
    async def scene(supervisor: RecordingSupervisor, client: socket.socket, ours: socket.socket) -> None:
        await deliver(ours, REQUEST, client)
        ours.recv(65536)
        supervisor.table.reset_connection(3, len(REQUEST))  # an earlier generation had read and answered it
        supervisor._take_over_connection(3, supervisor.clients[3], frozenset({0}))
        assert supervisor.reassigned == [(3, len(REQUEST))]

    run_scene(scene)


def test_bytes_that_arrive_during_a_reading_do_not_change_the_consumed_count() -> None:
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
            seen.add(socket_progress(ours).consumed)
        sender.join()
        assert seen <= {100}
