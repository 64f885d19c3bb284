"""Races on clients' connections, which are real ones.

Each test brings two events about in the order that would do harm.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from opalgauge.memory.events import CloseIdleRequested, DrainRequested
from opalgauge.wire import client_connection
from opalgauge.wire import clients as clients
from tests import harness
from tests.race_rig import Scene, check_request, ok_response, run_scene, scene, wait_until


class Client:
    """A client whose bytes are in the kernel before the ingress's event loop runs again."""

    def __init__(self, running: Scene, small_buffer: bool = False) -> None:
        assert running.clients.listener is not None
        self.socket = socket.socket()
        if small_buffer:  # most of an answer has to wait at the ingress
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.socket.connect(running.clients.listener.address)
        self.socket.setblocking(False)

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def flood(self, data: bytes) -> None:
        """Sends more than a turn of the loop reads, as far as the kernel takes it."""
        assert self.socket.send(data + b"x" * 4_000_000) > 300_000

    async def wait_for_data(self) -> None:
        """Waits until something has come."""

        def some() -> bool:
            try:
                return bool(self.socket.recv(1, socket.MSG_PEEK))
            except BlockingIOError:
                return False

        await wait_until(some)

    async def read_answer(self) -> bytes:
        reader, writer = await asyncio.open_connection(sock=self.socket)
        try:
            return await asyncio.wait_for(harness.read_request(reader), 20)
        finally:
            writer.close()

    async def read_to_end(self) -> bytes:
        """All bytes up to the end of the connection, which must not be a reset."""
        reader, writer = await asyncio.open_connection(sock=self.socket)
        try:
            return await asyncio.wait_for(reader.read(), 20)
        finally:
            writer.close()


def reach_idle_timeout(running: Scene) -> None:
    running.pass_time(timedelta(seconds=3))


def start_drain(running: Scene) -> None:
    running.clients.draining = True
    running.runtime.report(DrainRequested())
    running.runtime.report(CloseIdleRequested())


async def serve_request(running: Scene, name: str, duration: float = 0.0) -> None:
    """The first server gets this request and answers it."""
    while True:
        connection = await running.servers[0].next_connection()
        if name.encode() in await connection.read_request():
            await asyncio.sleep(duration)
            connection.send(ok_response(name.encode()))
            return


ENDS = pytest.mark.parametrize("end", [reach_idle_timeout, start_drain])


@ENDS
def test_an_unread_request_on_a_connection_about_to_be_closed_is_answered(
    end: Callable[[Scene], None],
) -> None:
    # Closing a connection with unread bytes sends a reset, and the request would get no answer.
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running)
            await wait_until(lambda: running.state.clients_new)
            client.send(check_request("one"))
            end(running)
            await serve_request(running, "one")
            assert (await client.read_answer()).endswith(b"one")

    run_scene(scenario)


@ENDS
def test_a_connection_with_nothing_unread_is_closed(end: Callable[[Scene], None]) -> None:
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running)
            await wait_until(lambda: running.state.clients_new)
            end(running)
            assert await client.read_to_end() == b""

    run_scene(scenario)


def test_a_request_head_split_by_the_drain_is_answered() -> None:
    async def scenario() -> None:
        async with scene() as running:
            client, data = Client(running), check_request("one")
            client.send(data[:40])
            await wait_until(lambda: running.state.clients_sending_head)
            start_drain(running)
            assert not running.exited, "a request is still coming"
            client.send(data[40:])
            await serve_request(running, "one")
            answer = await client.read_answer()
            assert answer.endswith(b"one") and b"connection: close" in answer.lower()
            await wait_until(lambda: running.exited)

    run_scene(scenario)


def test_half_a_request_head_does_not_delay_the_drain_for_long() -> None:
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running)
            client.send(check_request("one")[:40])
            await wait_until(lambda: running.state.clients_sending_head)
            start_drain(running)
            running.pass_time(timedelta(seconds=3))
            assert running.exited and await client.read_to_end() == b""

    run_scene(scenario)


def test_connections_waiting_to_be_accepted_when_listening_stops_are_answered() -> None:
    async def scenario() -> None:
        async with scene() as running:
            clients_by_name = {name: Client(running) for name in ("one", "two")}
            for name, client in clients_by_name.items():
                client.send(check_request(name))
            start_drain(running)  # before the loop has run
            closing = asyncio.create_task(running.clients.close())
            for _ in clients_by_name:
                connection = await running.servers[0].next_connection()
                data = await connection.read_request()
                connection.send(ok_response(b"one" if b"one" in data else b"two"))
            for name, client in clients_by_name.items():
                assert (await client.read_answer()).endswith(name.encode())
            await closing

    run_scene(scenario)


def test_a_request_unread_at_the_decision_to_exit_is_answered() -> None:
    # A request may be read in any turn of the loop between the decision to exit and the end.
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running)
            await wait_until(lambda: running.state.clients_new)
            client.send(check_request("late"))
            start_drain(running)
            assert running.exited
            # It takes longer than a forced end waits.
            serving = asyncio.create_task(serve_request(running, "late", duration=0.3))
            await running.clients.close()  # begins before the loop has run
            await serving
            assert (await client.read_answer()).endswith(b"late")

    run_scene(scenario)


BODY = b"x" * 60_000


async def start_last_answer(running: Scene, client: Client) -> None:
    """Brings the ingress to drain and to begin writing its last, long answer to this client."""
    client.send(check_request("one"))
    connection = await running.servers[0].next_connection()
    await connection.read_request()
    running.clients.draining = True
    running.runtime.report(DrainRequested())
    connection.send(ok_response(BODY))
    await client.wait_for_data()


def test_bytes_behind_a_last_answer_do_not_destroy_it() -> None:
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running, small_buffer=True)
            await start_last_answer(running, client)
            client.send(b"and more")
            await wait_until(lambda: not running.clients.busy_connections)
            for _ in range(100):
                await asyncio.sleep(0)
            client.send(b"and yet more")
            assert (await client.read_to_end()).endswith(BODY)
            await wait_until(lambda: not running.clients.client_ids)

    run_scene(scenario)


def test_a_request_behind_a_last_answer_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running, small_buffer=True)
            await start_last_answer(running, client)
            ((connection, _),) = running.clients.client_ids.items()
            assert isinstance(connection, client_connection.ClientConnection)
            client.send(check_request("behind"))
            await wait_until(lambda: connection.dropped_bytes)
            assert not connection._messages, "it is not even read as a request"
            assert (await client.read_to_end()).endswith(BODY)
            assert not running.state.requests and running.state.statistics.attempts == 1

    run_scene(scenario)


@pytest.mark.parametrize(
    ("data", "statuses"),
    [
        (harness.request("POST", "/place-order", extra_headers="Content-Length: 60000000\r\n"), [b"413"]),
        (harness.request("POST", "/nothing", extra_headers="Content-Length: 3000000\r\n"), [b"404"]),
        # Its body is read to the end: what follows is a request of its own.
        (harness.request("POST", "/nothing", extra_headers="Content-Length: 60000\r\n"), [b"404", b"400"]),
        (b"no request at all\r\n\r\n", [b"400"]),
        (b"GET /stock-check HTTP/1.1\r\nConnection: close\r\n\r\n", [b"400"]),
    ],
    ids=["too long", "unknown", "unknown and complete", "no request", "to be closed"],
)
def test_a_malformed_request_gets_an_answer_and_an_orderly_close(data: bytes, statuses: list[bytes]) -> None:
    # Its client is still writing, and must not get a reset in place of the answer.
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running)
            client.flood(data)
            answer = await client.read_to_end()
            assert [part[2:5] for part in answer.split(b"HTTP/1.")[1:]] == statuses
            await wait_until(lambda: not running.clients.client_ids)

    run_scene(scenario)


def test_a_client_that_floods_is_not_read_for_ever_and_not_kept_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "LINGER_TIME", 0.05)

    async def scenario() -> None:
        async with scene() as running:
            client = Client(running)
            client.send(b"no request at all\r\n\r\n")
            await client.wait_for_data()
            ((connection, _),) = running.clients.client_ids.items()
            assert isinstance(connection, client_connection.ClientConnection)
            while running.clients.client_ids:
                try:
                    client.socket.send(b"x" * 65_536)
                except BlockingIOError:
                    pass
                except OSError:
                    break  # the ingress has closed it
                await asyncio.sleep(0)
            await wait_until(lambda: not running.clients.client_ids)
            assert connection.dropped_bytes < client_connection.MAX_LINGER_BYTES + 1024 * 1024
            client.socket.close()

    run_scene(scenario)


def test_an_exiting_ingress_waits_for_a_client_that_reads_its_last_answer_slowly() -> None:
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running, small_buffer=True)
            await wait_until(lambda: running.clients.client_ids)
            ((connection, _),) = running.clients.client_ids.items()
            assert connection.transport is not None
            held = connection.transport.get_extra_info("socket")
            held.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await start_last_answer(running, client)
            running.runtime.report(CloseIdleRequested())
            assert running.exited
            closing = asyncio.create_task(running.clients.close())
            _, pending = await asyncio.wait([closing], timeout=0.3)
            assert pending, "the rest of the answer would be lost with the process"
            assert (await client.read_to_end()).endswith(BODY)
            await closing

    run_scene(scenario)


def test_nagles_algorithm_is_off() -> None:
    async def scenario() -> None:
        async with scene() as running:
            client = Client(running)
            client.send(check_request("one"))
            connection = await running.servers[0].next_connection()
            await connection.read_request()
            opened = [connection.transport for connection in running.runtime.connections.values()]
            accepted = [connection.transport for connection in running.clients.client_ids]
            assert len(opened) >= 2 and len(accepted) == 1
            for transport in (*opened, *accepted):
                assert transport is not None
                held = transport.get_extra_info("socket")
                assert held.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
            connection.send(ok_response(b"one"))
            assert (await client.read_answer()).endswith(b"one")

    run_scene(scenario)


def test_an_ingress_stopped_while_it_starts_serves_nobody(tmp_path: Path) -> None:
    # An old process that does not answer delays the start, and SIGTERM comes meanwhile.
    async def scenario() -> None:
        asked, release = asyncio.Event(), asyncio.Event()

        async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            asked.set()
            await release.wait()
            writer.close()

        server = await asyncio.start_unix_server(old, str(tmp_path / "opalgauge.kin"))
        listener = socket.create_server(("127.0.0.1", 0))
        async with (
            harness.stand_in(harness.no_response) as (other, _),
            harness.starting_ingress(other, other, other, listener, str(tmp_path)) as ingress,
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

    run_scene(scenario)
