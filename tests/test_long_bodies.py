"""Long and slow bodies in both directions, over real sockets: what is streamed, its cost, and how it ends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import pytest

from opalgauge.memory import buffers, effects, events
from opalgauge.memory.buffers import MemoryLimits
from tests import harness
from tests.reducer_rig import CHECK, PLACE, ReducerRig

MB = 1024 * 1024
ServerScript = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def ingress_with(script: ServerScript, reader_limit: int = 2**16) -> AsyncIterator[harness.Ingress]:
    """An ingress in front of one server, which runs `script` on each connection.

    The server reads up to `reader_limit` bytes ahead of its script.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await script(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=reader_limit)
    host, port = server.sockets[0].getsockname()
    try:
        async with (
            harness.stand_in(harness.counter()) as (counter_address, _),
            harness.stand_in(harness.no_response) as (list_address, __),
            harness.ready_ingress(f"{host}:{port}", counter_address, list_address) as ingress,
        ):
            yield ingress
    finally:
        server.close()


def repeat_answer(*parts: bytes, close: bool = False) -> ServerScript:
    """A server script that gives each request the same answer, part by part."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await harness.read_request(reader)
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            if close:
                return

    return script


def peak_memory(ingress: harness.Ingress) -> int:
    """The peak resident memory of the program, in bytes."""
    lines = Path(f"/proc/{ingress.process.pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) * 1024


async def send_request(
    ingress: harness.Ingress, data: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*ingress.address)
    writer.write(data)
    return reader, writer


def of_account(account: int, request: bytes) -> bytes:
    """The request with another account, so that no quota stops it."""
    return request.replace(b"customer=00000000b4d65521", b"customer=%016x" % account)


async def open_slow_reader(
    ingress: harness.Ingress, data: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request over a connection that takes in only some KB of the answer before it is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ingress.address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(data)
    return reader, writer


async def wait_until_still(progress: Callable[[], int]) -> None:
    """Waits until `progress` has begun and has not changed for a second: whoever can go on has done so."""
    last, still = 0, 0
    while still < 20:
        await asyncio.sleep(0.05)
        still = still + 1 if last and progress() == last else 0
        last = progress()


CHECK_REQUEST = harness.request("GET", "/stock-check")
LONG_REQUEST = events.HttpRequest("POST", "/place-order", "one-more", (), b"x", True, 100)
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWER_FORMS = {
    "one byte at a time": (repeat_answer(*(bytes([b]) for b in harness.OK)), b"done"),
    "in chunks with extensions and a trailer": (
        repeat_answer(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;a=b\r\ndo\r\n2\r\nne\r\n0\r\nX-T: 1\r\n\r\n"
        ),
        b"done",
    ),
    "up to its end": (repeat_answer(OK_HEAD + b"\r\ndo", b"ne", close=True), b"done"),
    "of the older protocol": (
        repeat_answer(b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone", close=True),
        b"done",
    ),
    "nothing": (repeat_answer(OK_HEAD + b"Content-Length: 0\r\n\r\n"), b""),
    "a 1xx ahead": (repeat_answer(b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + harness.OK), b"done"),
    "long, up to its end": (repeat_answer(OK_HEAD + b"\r\n", b"x" * 200_000, close=True), b"x" * 200_000),
    "long, in small chunks": (
        repeat_answer(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 150_000 + b"0\r\n\r\n"
        ),
        b"x" * 150_000,
    ),
}


@pytest.mark.parametrize("form", ANSWER_FORMS)
def test_every_form_of_an_answer_reaches_its_client_complete(form: str) -> None:
    async def scenario() -> None:
        script, body = ANSWER_FORMS[form]
        async with ingress_with(script) as ingress:
            for _ in range(2):
                reader, writer = await send_request(
                    ingress, CHECK_REQUEST.replace(b"HTTP/1.1\r\n", b"HTTP/1.0\r\n")
                )
                head, _, received = (await asyncio.wait_for(reader.read(), 30)).partition(b"\r\n\r\n")
                assert head.split(b" ")[1] == b"200" and received == body
                writer.close()

    asyncio.run(scenario())


def test_long_answers_need_little_memory_and_short_ones_do_not_wait() -> None:
    async def scenario() -> None:
        block = bytes(range(256)) * 4096  # 1 MB

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while request := await harness.read_request(reader):
                if b"long" not in request.split(b" ")[1]:
                    writer.write(harness.OK)
                    continue
                writer.write(OK_HEAD + b"Content-Length: %d\r\n\r\n" % (32 * MB))
                for _ in range(32):
                    writer.write(block)
                    await writer.drain()

        async with ingress_with(script) as ingress:
            before = peak_memory(ingress)
            long = []
            for n in range(6):
                asked = harness.request("GET", f"/stock-check/long/{n}", correlation_id=f"l{n}")
                long.append(await send_request(ingress, asked))
                await long[-1][0].readuntil(b"\r\n\r\n")  # it is being streamed, and is not read any further
            for n in range(20):
                answer = await ingress.exchange(
                    harness.request("GET", "/stock-check", correlation_id=f"s{n}")
                )
                assert answer.endswith(b"done")
            stats = await ingress.call_admin(b"stats\n")
            assert b"in_progress=6\n" in stats and b"passed.stock-check=20\n" in stats
            for reader, writer in long:
                for _ in range(32):
                    assert await asyncio.wait_for(reader.readexactly(MB), 60) == block
                writer.close()
            assert peak_memory(ingress) - before < 24 * MB  # of 192 MB that were streamed
            assert b"in_progress=0\n" in await ingress.call_admin(b"stats\n")

    asyncio.run(scenario())


@pytest.mark.parametrize("chunked", [False, True])
def test_slow_readers_of_long_answers_keep_to_the_memory_of_their_requests(chunked: bool) -> None:
    """Guards against an ingress that is killed for its memory as many clients read long answers slowly."""

    async def scenario() -> None:
        clients, size, sent = 80, 4 * MB, 0

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            await harness.read_request(reader)
            framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
            writer.write(OK_HEAD + framing + b"\r\n\r\n")
            block = b"8000\r\n%s\r\n" % bytes(0x8000) if chunked else bytes(0x8000)
            for _ in range(size // 0x8000):
                writer.write(block)
                await writer.drain()
                sent += 1
            writer.write(b"0\r\n\r\n" if chunked else b"")
            await reader.read()

        async with ingress_with(script) as ingress:
            before, opened = peak_memory(ingress), list[asyncio.StreamWriter]()
            for n in range(clients):
                request = harness.request("GET", f"/stock-check/{n}", correlation_id=f"slow{n}")
                reader, writer = await open_slow_reader(ingress, of_account(1000 + n, request))
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")
                opened.append(writer)
            await wait_until_still(lambda: sent)
            limits = buffers.MemoryLimits.of_process(192 * MB)
            allowed = clients * limits.request_memory(0, 0) + limits.stream_reads
            assert peak_memory(ingress) - before < allowed
            for writer in opened:
                writer.close()

    asyncio.run(scenario())


def test_requests_behind_an_open_one_are_not_read_ahead_without_a_limit() -> None:
    """Guards against an ingress that is killed for its memory as clients send much at once."""

    async def scenario() -> None:
        clients, sent = 40, 0

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        async with ingress_with(script) as ingress:
            before = peak_memory(ingress)

            async def send(client: int) -> None:
                nonlocal sent
                _, writer = await asyncio.open_connection(*ingress.address)
                writer.transport.set_write_buffer_limits(0)
                for n in range(100):
                    writer.write(
                        harness.request("POST", "/place-order", bytes(60_000), correlation_id=f"{client}-{n}")
                    )
                    await writer.drain()
                    sent += 1

            senders = [asyncio.create_task(send(client)) for client in range(clients)]
            await wait_until_still(lambda: sent)
            read_ahead = 60_000 + buffers.READ_SIZE
            limits = buffers.MemoryLimits.of_process(192 * MB)
            allowed = clients * (limits.request_memory(60_000, 0) + read_ahead)
            assert peak_memory(ingress) - before < allowed
            for sender in senders:
                sender.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_body_is_streamed_to_its_server_complete(chunked: bool) -> None:
    async def scenario() -> None:
        received = bytearray()

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"transfer-encoding: chunked" in head:
                while size := int((await reader.readline()).split(b";")[0], 16):
                    received.extend((await reader.readexactly(size + 2))[:-2])
                await reader.readline()
            else:
                received.extend(
                    await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r")[0]))
                )
            writer.write(harness.OK)
            await reader.read()

        async with ingress_with(script) as ingress:
            before, block = peak_memory(ingress), bytes(range(256)) * 4096
            framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {32 * MB}"
            more = f"{framing}\r\nExpect: 100-continue\r\n"
            reader, writer = await send_request(
                ingress, harness.request("POST", "/place-order", extra_headers=more)
            )
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            for _ in range(32):
                writer.write(b"%x;e=1\r\n%s\r\n" % (len(block), block) if chunked else block)
                await writer.drain()
            if chunked:
                writer.write(b"0\r\nX-Trailer: 1\r\n\r\n")
            assert (await harness.read_request(reader)).endswith(b"done")
            assert bytes(received) == block * 32
            assert peak_memory(ingress) - before < 16 * MB
            stats = await ingress.call_admin(b"stats\n")
            assert b"upstream_tries=1\n" in stats and b"passed.place-order=1\n" in stats
            writer.close()

    asyncio.run(scenario())


def test_a_client_can_tell_that_its_answer_broke_off() -> None:
    async def scenario() -> None:
        for head in (
            OK_HEAD + b"Content-Length: 999999\r\n\r\n",
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        ):
            part = b"x" * 100_000 if b"Length" in head else b"186a0\r\n" + b"x" * 100_000 + b"\r\n"
            async with ingress_with(repeat_answer(head, part, close=True)) as ingress:
                reader, writer = await send_request(ingress, CHECK_REQUEST)
                received = b""
                with contextlib.suppress(ConnectionError):
                    while data := await asyncio.wait_for(reader.read(65536), 30):
                        received += data
                assert received.startswith(b"HTTP/1.1 200") and not received.endswith(b"0\r\n\r\n")
                assert received.count(b"x") <= 100_000
                writer.close()
                assert b"bad_gateway.stock-check=1\n" in await ingress.call_admin(b"stats\n")

    asyncio.run(scenario())


def test_a_body_that_its_server_rejects_is_discarded_after_the_answer() -> None:
    async def scenario() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()

        async with ingress_with(script) as ingress:
            more = f"Content-Length: {4 * MB}\r\n"
            reader, writer = await send_request(
                ingress, harness.request("POST", "/place-order", extra_headers=more)
            )
            writer.write(b"x" * MB)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 429 ") and b"Retry-After" in head
            writer.write(b"x" * 3 * MB + harness.request("GET", "/stock-check", correlation_id="next"))
            await writer.drain()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 429 ")
            writer.close()

    asyncio.run(scenario())


class TestReducer:
    """How the reducer handles long and slow bodies: their start, stalls and end."""

    def start_streamed_request(self, rig: ReducerRig) -> int:
        rig.last_request_id += 1
        http_request = events.HttpRequest(
            "POST", "/place-order", f"id-{rig.last_request_id}", (), b"x", True, 100
        )
        time_left = timedelta(seconds=2)
        rig.step(events.ClientConnected(rig.last_request_id))
        rig.step(events.RequestBodyStarted(rig.last_request_id))
        rig.step(
            events.RequestReceived(
                rig.last_request_id, http_request, PLACE, 0, 9, time_left, 1, 2, 0, False, rig.last_request_id
            )
        )
        rig.open_connections()
        rig.answer_counter(total=1.0)
        rig.answer_last_window()
        rig.open_connections()
        return rig.last_request_id

    def test_a_slow_body_is_timed_from_its_last_byte(self) -> None:
        rig = ReducerRig()
        request_id = self.start_streamed_request(rig)
        rig.pass_time(timedelta(seconds=30))
        assert not rig.answers and rig.last_attempt().time_left == timedelta(seconds=2)
        assert rig.reducer.status_report().in_progress == 0 and rig.reducer.status_report().attempts == 0
        rig.step(events.RequestBodyEnded(request_id))
        rig.step(events.AttemptWritten(rig.last_attempt().connection_id))
        assert rig.reducer.status_report().in_progress == 1 and rig.reducer.status_report().attempts == 1
        rig.pass_time(timedelta(milliseconds=1900))
        assert not rig.answers
        rig.pass_time(timedelta(milliseconds=100))
        assert rig.answers[-1].status == 504

    def test_a_server_that_does_not_read_a_body_takes_the_time_of_its_client(self) -> None:
        """Guards against an answer that waits for a server which reads a body slowly, or not at all."""
        rig = ReducerRig()
        request_id = self.start_streamed_request(rig)
        connection_id = rig.last_attempt().connection_id
        for _ in range(3):
            rig.step(events.RequestBodyBlocked(request_id, 10_000))
            rig.pass_time(timedelta(milliseconds=600))
            rig.step(events.RequestBodyUnblocked(request_id, 10_000, 0))
            rig.pass_time(timedelta(seconds=5))  # the client sends nothing
        assert not rig.answers
        rig.step(events.RequestBodyBlocked(request_id, None))
        rig.pass_time(timedelta(milliseconds=210))
        assert rig.answers[-1].status == 504 and rig.answers[-1].close_connection
        assert effects.CloseConnection(connection_id) in rig.effects

    def test_a_client_that_cannot_have_written_its_body_keeps_its_time(self) -> None:
        rig = ReducerRig()
        request_id = self.start_streamed_request(rig)
        rig.step(events.RequestBodyBlocked(request_id, 30 * MB))
        rig.pass_time(timedelta(seconds=9))
        rig.step(events.RequestBodyUnblocked(request_id, 30 * MB, 0))
        rig.step(events.RequestBodyEnded(request_id))
        rig.pass_time(timedelta(milliseconds=1900))
        assert not rig.answers

    def test_an_incomplete_body_is_never_resent(self) -> None:
        rig = ReducerRig()
        self.start_streamed_request(rig)
        rig.step(events.ConnectionLost(rig.last_attempt().connection_id, events.Progress.WRITING))
        assert len([e for e in rig.effects if isinstance(e, effects.SendAttempt)]) == 1
        assert rig.answers[-1].status == 429 and rig.answers[-1].retry_after  # nothing has run

    def test_a_stalled_body_frees_its_server(self) -> None:
        rig = ReducerRig()
        request_id = self.start_streamed_request(rig)
        connection_id = rig.last_attempt().connection_id
        rig.step(events.RequestBodyStalled(request_id))
        assert rig.answers[-1].status == 408 and rig.answers[-1].close_connection
        assert effects.CloseConnection(connection_id) in rig.effects

    def test_a_slow_head_has_its_time_and_no_more(self) -> None:
        rig = ReducerRig()
        rig.step(events.ClientConnected(1))
        rig.pass_time(timedelta(milliseconds=1900))
        rig.step(events.RequestHeadStarted(1))
        rig.pass_time(timedelta(milliseconds=2200))
        assert effects.CloseClient(1) not in rig.effects
        rig.pass_time(timedelta(milliseconds=600))
        assert effects.CloseClient(1) in rig.effects

    def test_a_client_that_leaves_a_long_answer_frees_its_server_and_a_drain_waits_for_it(self) -> None:
        rig = ReducerRig()
        rig.step(events.ClientConnected(1))
        rig.admit(CHECK)
        connection_id = rig.last_attempt().connection_id
        rig.step(events.StreamedAnswerStarted(connection_id, "", None, {}))
        assert (
            rig.answers[-1].stream_connection_id == connection_id
            and rig.reducer.status_report().in_progress == 1
        )
        rig.step(events.DrainRequested())
        rig.step(events.CloseIdleRequested())
        assert effects.Exit() not in rig.effects
        rig.step(events.ClientDisconnected(1))
        assert effects.CloseConnection(connection_id) in rig.effects and effects.Exit() in rig.effects

    def test_a_connection_can_be_reused_once_a_long_answer_has_been_received(self) -> None:
        rig = ReducerRig(server_count=1)
        request_id = rig.admit(CHECK)
        connection_id = rig.last_attempt().connection_id
        rig.step(events.StreamedAnswerStarted(connection_id, "", 99_999, {}))
        rig.step(events.StreamedAnswerReceived(connection_id, True))
        rig.wait_until_reusable()
        rig.admit(CHECK)
        assert rig.last_attempt().connection_id == connection_id
        rig.step(events.StreamedAnswerEnded(request_id, True))
        assert (
            effects.CloseConnection(connection_id) not in rig.effects
            and sum(rig.reducer.status_report().served) == 1
        )

    def test_a_body_for_which_there_is_no_memory_is_refused_and_the_others_go_on(self) -> None:
        """Guards against more bodies than memory holds, and against failing an answer that has run."""
        one_request = MemoryLimits(0, 0).request_memory(len(LONG_REQUEST.body), 0)
        rig = ReducerRig(memory=MemoryLimits(2 * (one_request + buffers.CONNECTION_MEMORY), 0))
        first_request_id = self.start_streamed_request(rig)
        first_connection_id = rig.last_attempt().connection_id
        rig.admit(CHECK)
        rig.step(events.StreamedAnswerStarted(rig.last_attempt().connection_id, "", None, {}))
        time_left = timedelta(seconds=2)
        rig.step(events.RequestReceived(99, LONG_REQUEST, PLACE, 0, 9, time_left, 1, 2, 0, False, 99))
        assert rig.answers[-1].status == 429 and rig.answers[-1].retry_after
        rig.step(events.ClientConnected(100))
        rig.step(events.RequestBodyStarted(100, buffers.unreported_body_memory(None)))
        assert effects.RefuseIncomplete(100) in rig.effects
        rig.step(events.RequestDiscarded(100))
        rig.step(events.RequestBodyEnded(first_request_id))
        rig.step(events.StreamedAnswerStarted(first_connection_id, "", None, {}))
        assert len(rig.reducer.state.streams) == 2
        for request_id in list(rig.reducer.state.streams):
            rig.step(events.StreamedAnswerEnded(request_id, True))
        assert rig.reducer.state.memory_in_use == 0
        rig.step(events.RequestBodyStarted(100))
        rig.step(events.RequestReceived(101, LONG_REQUEST, PLACE, 0, 9, time_left, 1, 2, 0, False, 100))
        assert 101 in rig.reducer.state.requests
