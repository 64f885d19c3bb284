"""Servers that take their time: an answer that has begun is passed on, a wait ends with the client's time."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from tests import harness
from tests.test_long_bodies import OK_HEAD, ingress_with, of_account

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


async def stop_early(writer: asyncio.StreamWriter, frame: Callable[[bytes], bytes]) -> None:
    writer.write(frame(BODY[:10]))
    await writer.drain()
    await asyncio.sleep(2)
    writer.write(frame(BODY[10:SIZE]))


SCRIPTS: dict[str, AnswerScript] = {
    "steady": write_steadily,
    "lumps": write_in_lumps,
    "body-late": write_body_late,
    "stops-in-between": stop_in_between,
    "stops-early": stop_early,
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
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    status_line = head.split(b"\r\n")[0]
    if b"transfer-encoding: chunked" not in head:
        size = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        return status_line, await reader.readexactly(size)
    body = bytearray()
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return status_line, bytes(body)


def test_an_answer_that_a_server_has_begun_is_passed_on_to_its_end() -> None:
    """Guards against long answers that are held back or cut off because their server writes them slowly."""

    async def scenario() -> None:
        async with ingress_with(answer_slowly) as ingress:

            async def ask(method: str, target: str) -> str:
                reader, writer = await asyncio.open_connection(*ingress.address)
                request = harness.request(method, target, time_left=TIME_LEFT, correlation_id=target)
                writer.write(of_account(next(accounts), request))
                try:
                    status_line, body = await asyncio.wait_for(read_answer(reader), 20)
                except asyncio.IncompleteReadError:
                    return "cut off"
                finally:
                    writer.close()
                whole = body == BODY[:SIZE]
                return status_line.decode() if whole else f"{status_line.decode()}, {len(body)} bytes"

            accounts = itertools.count(1000)
            asked = {
                f"{request_class}/{name}/{framing}": ask(method, f"/{request_class}/{name}/{framing}")
                for name in SCRIPTS
                for framing in FRAMINGS
                for method, request_class in (("GET", "stock-check"), ("POST", "place-order"))
            }
            answers = dict(zip(asked, await asyncio.gather(*asked.values()), strict=True))
            assert answers == dict.fromkeys(asked, "http/1.1 200 ok")
            assert f"upstream_tries={len(asked)}\n".encode() in await ingress.call_admin(b"stats\n")

    asyncio.run(scenario())
