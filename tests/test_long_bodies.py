"""Long and slow bodies both ways, over real sockets: what passes, what it may cost, and how it may end."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import pytest

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from tests import harness
from tests.reducer_rig import CHECK, PLACE, ReducerRig

MB = 1024 * 1024
Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def harness_of(talk: Talk) -> AsyncIterator[harness.Ingress]:
    """An ingress before one stock node that speaks as `talk` says, a connection at a time."""

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await talk(reader, writer)
        writer.close()

    server = await asyncio.start_server(node, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        async with (
            harness.stand_in(harness.counter()) as (quota_at, _),
            harness.stand_in(harness.no_response) as (list_at, __),
            harness.ready_ingress(f"{host}:{port}", quota_at, list_at) as ingress,
        ):
            yield ingress
    finally:
        server.close()


def says(*parts: bytes, end: bool = False) -> Talk:
    """A stock node that gives each request the same answer, part by part."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await harness.read_request(reader)
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            if end:
                return

    return talk


def memory(ingress: harness.Ingress) -> int:
    """Bytes that the program has needed at most."""
    lines = Path(f"/proc/{ingress.process.pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) * 1024


async def ask(ingress: harness.Ingress, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*ingress.address)
    writer.write(data)
    return reader, writer


CHECKS = harness.request("GET", "/stock-check")
HEAD = b"HTTP/1.1 200 OK\r\n"
FORMS = {
    "one byte at a time": (says(*(bytes([b]) for b in harness.OK)), b"done"),
    "in chunks with extensions and a trailer": (
        says(HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;a=b\r\ndo\r\n2\r\nne\r\n0\r\nX-T: 1\r\n\r\n"),
        b"done",
    ),
    "up to its end": (says(HEAD + b"\r\ndo", b"ne", end=True), b"done"),
    "of the older protocol": (says(b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone", end=True), b"done"),
    "nothing": (says(HEAD + b"Content-Length: 0\r\n\r\n"), b""),
    "a 1xx ahead": (says(b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + harness.OK), b"done"),
    "long, up to its end": (says(HEAD + b"\r\n", b"x" * 200_000, end=True), b"x" * 200_000),
    "long, in small chunks": (
        says(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 150_000 + b"0\r\n\r\n"),
        b"x" * 150_000,
    ),
}


@pytest.mark.parametrize("form", FORMS)
def test_every_form_of_an_answer_reaches_its_client_whole(form: str) -> None:
    async def scene() -> None:
        talk, body = FORMS[form]
        async with harness_of(talk) as ingress:
            for _ in range(2):
                reader, writer = await ask(ingress, CHECKS.replace(b"HTTP/1.1\r\n", b"HTTP/1.0\r\n"))
                head, _, got = (await asyncio.wait_for(reader.read(), 30)).partition(b"\r\n\r\n")
                assert head.split(b" ")[1] == b"200" and got == body
                writer.close()

    asyncio.run(scene())


def test_long_answers_pass_through_a_small_memory_and_small_ones_do_not_wait() -> None:
    async def scene() -> None:
        block = bytes(range(256)) * 4096  # 1 MB

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while request := await harness.read_request(reader):
                if b"long" not in request.split(b" ")[1]:
                    writer.write(harness.OK)
                    continue
                writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % (32 * MB))
                for _ in range(32):
                    writer.write(block)
                    await writer.drain()

        async with harness_of(talk) as ingress:
            before = memory(ingress)
            long = []
            for n in range(6):
                asked = harness.request("GET", f"/stock-check/long/{n}", correlation_id=f"l{n}")
                long.append(await ask(ingress, asked))
                await long[-1][0].readuntil(b"\r\n\r\n")  # it flows, and is not read on
            for n in range(20):
                answer = await ingress.exchange(
                    harness.request("GET", "/stock-check", correlation_id=f"s{n}")
                )
                assert answer.endswith(b"done")
            told = await ingress.call_console(b"stats\n")
            assert b"in_progress=6\n" in told and b"passed.stock-check=20\n" in told
            for reader, writer in long:
                for _ in range(32):
                    assert await asyncio.wait_for(reader.readexactly(MB), 60) == block
                writer.close()
            assert memory(ingress) - before < 24 * MB  # of 192 MB that passed
            assert b"in_progress=0\n" in await ingress.call_console(b"stats\n")

    asyncio.run(scene())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_body_reaches_its_node_whole_while_it_comes(chunked: bool) -> None:
    async def scene() -> None:
        got = bytearray()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"transfer-encoding: chunked" in head:
                while size := int((await reader.readline()).split(b";")[0], 16):
                    got.extend((await reader.readexactly(size + 2))[:-2])
                await reader.readline()
            else:
                got.extend(await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r")[0])))
            writer.write(harness.OK)
            await reader.read()

        async with harness_of(talk) as ingress:
            before, block = memory(ingress), bytes(range(256)) * 4096
            framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {32 * MB}"
            more = f"{framing}\r\nExpect: 100-continue\r\n"
            reader, writer = await ask(ingress, harness.request("POST", "/place-order", extra_headers=more))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            for _ in range(32):
                writer.write(b"%x;e=1\r\n%s\r\n" % (len(block), block) if chunked else block)
                await writer.drain()
            if chunked:
                writer.write(b"0\r\nX-Trailer: 1\r\n\r\n")
            assert (await harness.read_request(reader)).endswith(b"done")
            assert bytes(got) == block * 32
            assert memory(ingress) - before < 16 * MB
            told = await ingress.call_console(b"stats\n")
            assert b"upstream_tries=1\n" in told and b"passed.place-order=1\n" in told
            writer.close()

    asyncio.run(scene())


def test_an_answer_that_breaks_off_ends_so_that_its_client_can_tell() -> None:
    async def scene() -> None:
        for head in (HEAD + b"Content-Length: 999999\r\n\r\n", HEAD + b"Transfer-Encoding: chunked\r\n\r\n"):
            part = b"x" * 100_000 if b"Length" in head else b"186a0\r\n" + b"x" * 100_000 + b"\r\n"
            async with harness_of(says(head, part, end=True)) as ingress:
                reader, writer = await ask(ingress, CHECKS)
                got = b""
                with contextlib.suppress(ConnectionError):
                    while data := await asyncio.wait_for(reader.read(65536), 30):
                        got += data
                assert got.startswith(b"HTTP/1.1 200") and not got.endswith(b"0\r\n\r\n")
                assert got.count(b"x") <= 100_000
                writer.close()
                assert b"bad_gateway.stock-check=1\n" in await ingress.call_console(b"stats\n")

    asyncio.run(scene())


def test_a_body_that_its_node_will_not_have_is_read_out_behind_the_answer() -> None:
    async def scene() -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()

        async with harness_of(talk) as ingress:
            more = f"Content-Length: {4 * MB}\r\n"
            reader, writer = await ask(ingress, harness.request("POST", "/place-order", extra_headers=more))
            writer.write(b"x" * MB)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 429 ") and b"Retry-After" in head
            writer.write(b"x" * 3 * MB + harness.request("GET", "/stock-check", correlation_id="next"))
            await writer.drain()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 429 ")
            writer.close()

    asyncio.run(scene())


class TestReducer:
    """What the reducer hears of long and slow bodies: beginnings, stalls and ends."""

    def coming(self, rig: ReducerRig) -> int:
        rig.last_request_id += 1
        errand = ev.HttpRequest("POST", "/place-order", f"id-{rig.last_request_id}", (), b"x", True, 100)
        left = timedelta(seconds=2)
        rig.step(ev.ClientConnected(rig.last_request_id))
        rig.step(ev.RequestBodyStarted(rig.last_request_id))
        rig.step(
            ev.RequestReceived(
                rig.last_request_id, errand, PLACE, 0, 9, left, 1, 2, 0, False, rig.last_request_id
            )
        )
        rig.open_connections()
        rig.answer_counter(total=1.0)
        rig.answer_last_window()
        rig.open_connections()
        return rig.last_request_id

    def test_a_slow_body_is_timed_from_its_last_byte(self) -> None:
        rig = ReducerRig()
        order = self.coming(rig)
        rig.pass_time(timedelta(seconds=30))
        assert not rig.answers and rig.last_attempt().time_left == timedelta(seconds=2)
        assert rig.reducer.status_report().in_progress == 0 and rig.reducer.status_report().attempts == 0
        rig.step(ev.RequestBodyEnded(order))
        rig.step(ev.AttemptWritten(rig.last_attempt().connection_id))
        assert rig.reducer.status_report().in_progress == 1 and rig.reducer.status_report().attempts == 1
        rig.pass_time(timedelta(milliseconds=1900))
        assert not rig.answers
        rig.pass_time(timedelta(milliseconds=100))
        assert rig.answers[-1].status == 504

    def test_half_a_body_is_never_sent_again(self) -> None:
        rig = ReducerRig()
        self.coming(rig)
        rig.step(ev.ConnectionLost(rig.last_attempt().connection_id, ev.Progress.WRITING))
        assert len([e for e in rig.effects if isinstance(e, fx.SendAttempt)]) == 1
        assert rig.answers[-1].status == 429 and rig.answers[-1].retry_after  # nothing has run

    def test_a_body_that_stops_frees_its_node(self) -> None:
        rig = ReducerRig()
        order = self.coming(rig)
        line = rig.last_attempt().connection_id
        rig.step(ev.RequestBodyStalled(order))
        assert rig.answers[-1].status == 408 and rig.answers[-1].close_connection
        assert fx.CloseConnection(line) in rig.effects

    def test_a_slow_head_has_its_time_and_no_more(self) -> None:
        rig = ReducerRig()
        rig.step(ev.ClientConnected(1))
        rig.pass_time(timedelta(milliseconds=1900))
        rig.step(ev.RequestHeadStarted(1))
        rig.pass_time(timedelta(milliseconds=2200))
        assert fx.CloseClient(1) not in rig.effects
        rig.pass_time(timedelta(milliseconds=600))
        assert fx.CloseClient(1) in rig.effects

    def test_a_client_that_leaves_a_long_answer_frees_its_node_and_a_drain_waits_for_one(self) -> None:
        rig = ReducerRig()
        rig.step(ev.ClientConnected(1))
        rig.admit(CHECK)
        line = rig.last_attempt().connection_id
        rig.step(ev.StreamedAnswerStarted(line, "", None, {}))
        assert rig.answers[-1].stream_connection_id == line and rig.reducer.status_report().in_progress == 1
        rig.step(ev.DrainRequested())
        rig.step(ev.CloseIdleRequested())
        assert fx.Exit() not in rig.effects
        rig.step(ev.ClientDisconnected(1))
        assert fx.CloseConnection(line) in rig.effects and fx.Exit() in rig.effects

    def test_a_connection_is_free_for_others_once_a_long_answer_has_come(self) -> None:
        rig = ReducerRig(server_count=1)
        order = rig.admit(CHECK)
        line = rig.last_attempt().connection_id
        rig.step(ev.StreamedAnswerStarted(line, "", 99_999, {}))
        rig.step(ev.StreamedAnswerReceived(line, True))
        rig.wait_until_reusable()
        rig.admit(CHECK)
        assert rig.last_attempt().connection_id == line
        rig.step(ev.StreamedAnswerEnded(order, True))
        assert fx.CloseConnection(line) not in rig.effects and sum(rig.reducer.status_report().served) == 1

    def test_one_long_body_more_than_memory_holds_is_turned_away_and_the_others_go_on(self) -> None:
        rig = ReducerRig(max_streams=2)
        first = self.coming(rig)
        rig.admit(CHECK)
        line = rig.last_attempt().connection_id
        rig.step(ev.StreamedAnswerStarted(line, "", None, {}))
        errand = ev.HttpRequest("POST", "/place-order", "one-more", (), b"x", True, 100)
        left = timedelta(seconds=2)
        rig.step(ev.RequestReceived(99, errand, PLACE, 0, 9, left, 1, 2, 0, False, 99))
        assert rig.answers[-1].status == 429 and rig.answers[-1].retry_after
        rig.admit(CHECK)
        rig.step(ev.StreamedAnswerStarted(rig.last_attempt().connection_id, "", None, {}))
        assert len(rig.reducer.state.streams) == 1
        rig.step(ev.RequestBodyEnded(first))
        rig.admit(CHECK)
        rig.step(ev.StreamedAnswerStarted(rig.last_attempt().connection_id, "", None, {}))
        assert len(rig.reducer.state.streams) == 2 and fx.CloseConnection(line) not in rig.effects
