"""Servers that take their time: an answer that has begun is passed on, a wait ends with the client's time."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable

import pytest

from tests import harness
from tests.pipelined_requests import read_message
from tests.test_long_bodies import MB, OK_HEAD, ingress_with

SIZE = 100_000  # bytes of an answer
BODY = bytes(range(256)) * (SIZE // 256 + 1)
TIME_LEFT = "1.2"  # s, of the requests whose answers are slow
FRAMINGS = ("length", "chunked", "close")
AnswerScript = Callable[[asyncio.StreamWriter, Callable[[bytes], bytes]], Awaitable[None]]


async def write_steadily(writer: asyncio.StreamWriter, frame: Callable[[bytes], bytes]) -> None:
    for start in range(0, SIZE, SIZE // 40):
        writer.write(frame(BODY[start : min(SIZE, start + SIZE // 40)]))
        await writer.drain()
        await asyncio.sleep(0.05)


async def write_in_lumps(writer: asyncio.StreamWriter, frame: Callable[[bytes], bytes]) -> None:
    for start in range(0, SIZE, SIZE // 3):
        writer.write(frame(BODY[start : min(SIZE, start + SIZE // 3)]))
        await writer.drain()
        await asyncio.sleep(0.5)


async def write_body_late(writer: asyncio.StreamWriter, frame: Callable[[bytes], bytes]) -> None:
    await asyncio.sleep(0.9)
    writer.write(frame(BODY[:SIZE]))


async def stop_in_between(writer: asyncio.StreamWriter, frame: Callable[[bytes], bytes]) -> None:
    writer.write(frame(BODY[:80_000]))
    await writer.drain()
    await asyncio.sleep(4)
    writer.write(frame(BODY[80_000:SIZE]))


SCRIPTS: dict[str, AnswerScript] = {
    "steady": write_steadily,
    "lumps": write_in_lumps,
    "body-late": write_body_late,
    "stops-in-between": stop_in_between,
}


async def answer_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers each request with the script and in the framing that its target names."""
    while True:
        request = await harness.read_request(reader)
        _, _, name, framing = request.split(b" ")[1].decode().split("/")
        fields = {"length": b"Content-Length: %d\r\n" % SIZE, "chunked": b"Transfer-Encoding: chunked\r\n"}
        writer.write(OK_HEAD + fields.get(framing, b"Connection: close\r\n") + b"\r\n")
        await writer.drain()
        if framing == "chunked":
            await SCRIPTS[name](writer, lambda data: b"%x\r\n%s\r\n" % (len(data), data))
            writer.write(b"0\r\n\r\n")
        else:
            await SCRIPTS[name](writer, lambda data: data)
        if framing == "close":
            return


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Reads an answer in whatever framing; returns its status line and its body."""
    head, body = await read_message(reader)
    return head.lower().split(b"\r\n")[0], body


async def ask(ingress: harness.Ingress, method: str, target: str) -> str:
    """Sends a request; returns the status line of its answer, and what is missing of its body."""
    reader, writer = await asyncio.open_connection(*ingress.address)
    writer.write(harness.request(method, target, time_left=TIME_LEFT, correlation_id=target))
    try:
        status_line, body = await asyncio.wait_for(read_answer(reader), 20)
    except asyncio.IncompleteReadError:
        return "cut off"
    finally:
        writer.close()
    return status_line.decode() if body == BODY[:SIZE] else f"{status_line.decode()}, {len(body)} bytes"


async def ask_slow_server(name: str, framing: str) -> list[str]:
    """The answers to a request of each class, of a server that writes by this script and in this framing."""
    async with ingress_with(answer_slowly) as ingress:
        asked = [("GET", "stock-check"), ("POST", "place-order")]
        answers = await asyncio.gather(
            *(ask(ingress, method, f"/{request_class}/{name}/{framing}") for method, request_class in asked)
        )
        if b"upstream_tries=2\n" not in await ingress.call_admin(b"stats\n"):
            answers.append("sent again")
        return answers


def test_an_answer_that_a_server_has_begun_is_passed_on_to_its_end() -> None:
    """Guards against long answers that are held back or cut off because their server writes them slowly."""

    async def scenario() -> None:
        cases = [(name, framing) for name in SCRIPTS for framing in FRAMINGS]
        answers = await asyncio.gather(*(ask_slow_server(*case) for case in cases))
        assert dict(zip(cases, answers, strict=True)) == dict.fromkeys(cases, ["http/1.1 200 ok"] * 2)

    asyncio.run(scenario())


def test_answers_whose_bodies_come_late_refuse_no_later_requests() -> None:
    """Guards against one slow body that is taken for an overload, so that all that follows is shed."""

    async def scenario() -> None:
        async with ingress_with(answer_slowly) as ingress:
            answers = [
                await ask(ingress, method, f"/{request_class}/body-late/{framing}")
                for framing in FRAMINGS
                for method, request_class in (("GET", "stock-check"), ("POST", "place-order"))
            ]
            assert answers == ["http/1.1 200 ok"] * 6

    asyncio.run(scenario())


def test_an_answer_that_stops_before_it_goes_on_is_failed_in_time() -> None:
    """Guards against passing on an answer that never becomes whole, of which its client learns too late."""

    async def scenario() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await harness.read_request(reader)
            writer.write(OK_HEAD + b"Content-Length: 100\r\n\r\n" + BODY[:10])
            await reader.read()

        async with ingress_with(script) as ingress:
            started = time.monotonic()
            answer = await ingress.exchange(harness.request("POST", "/place-order", time_left="0.3"))
            assert answer.startswith(b"HTTP/1.1 504") and time.monotonic() - started < 0.8

    asyncio.run(scenario())


@pytest.mark.parametrize("rate", [90_000, 0])
def test_an_order_that_its_server_reads_too_slowly_is_answered_in_time(rate: int) -> None:
    """Guards against a final answer that waits for the server to read all of a request body."""

    async def scenario() -> None:
        order_size, time_left = 6 * MB, 0.8

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            while rate and await reader.read(rate // 20):
                await asyncio.sleep(0.05)
            await asyncio.sleep(30)

        async with ingress_with(script, reader_limit=4096) as ingress:
            numbers = itertools.count()

            async def place() -> tuple[bytes, float]:
                reader, writer = await asyncio.open_connection(*ingress.address)
                request = harness.request(
                    "POST", "/place-order", bytes(order_size), time_left=str(time_left),
                    correlation_id=f"slow-{next(numbers)}",
                )  # fmt: skip
                writer.write(request)
                sent_at = time.monotonic()
                status_line = await asyncio.wait_for(reader.readline(), 20)
                answered_after = time.monotonic() - sent_at
                writer.close()
                return status_line, answered_after

            for status_line, answered_after in await asyncio.gather(place(), place()):
                assert status_line.startswith(b"HTTP/1.1 504"), status_line
                assert answered_after < time_left + 0.5, answered_after

    asyncio.run(scenario())
