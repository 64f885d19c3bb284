"""A short answer that its backend writes slowly reaches its client seconds after the client's time.

The answer's length is stated and below 64 KiB, so its last byte is what is timed.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import rig

SIZE, PIECE, PAUSE = 4000, 100, 0.1  # bytes, bytes and s: an answer of 4 s
LATEST = 0.5 + 0.05  # s after a request's time: a later final answer is none
MARGIN = 0.25  # s for a busy machine
WATCHED = 4.0  # s for which the client goes on looking
REQUESTS = 6  # of each kind


async def answer_slowly(
    backend: rig.Backend, arrival: rig.Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Writes the answer in pieces: the backend takes seconds for it."""
    body = rig.answer_body(arrival.request_id).ljust(SIZE, b".")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
    for start in range(0, SIZE, PIECE):
        writer.write(body[start : start + PIECE])
        await writer.drain()
        await asyncio.sleep(PAUSE)
    backend.record(f"backend {backend.name}: the answer to {arrival.request_id} is whole")
    return True


async def scenario(scene: rig.Scene, trouble: bool) -> int:
    record = scene.record
    counter, agent = await scene.add(rig.Counter()), await scene.add(rig.Agent())
    for number in range(3):
        backend = await scene.add(
            rig.Backend(f"s-{number}", record, behave=answer_slowly if trouble else None)
        )
        agent.put(backend.name, backend.address)
    ingress = scene.ingress("n0", agent, counter, rig.settings())
    await ingress.start()
    late: list[str] = []

    async def ask(method: str, kind: str, number: int, time_left: float) -> None:
        request_id = f"{kind}-{number}"
        reader, writer = await asyncio.open_connection(*ingress.address)
        sent_at = record.now()
        record(f"client: sends {request_id}, with {time_left} s")
        writer.write(
            rig.request_bytes(method, f"/{kind}", request_id, time_left=time_left, customer=number + 1)
        )
        try:
            async with asyncio.timeout(time_left + LATEST + MARGIN + WATCHED):
                head = await reader.readuntil(rig.HEAD_END)
                record(
                    f"client: {request_id}: {rig.status_of(head)} begins {record.now() - sent_at:.3f} s after"
                )
                await reader.readexactly(int(rig.header_fields(head).get("content-length", "0")))
            took = record.now() - sent_at
            record(f"client: {request_id}: whole {took:.3f} s after")
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            took = record.now() - sent_at
            record(f"client: {request_id}: no whole answer ({error!r}) {took:.3f} s after")
            took = float("inf")
        finally:
            writer.close()
        if took > time_left + LATEST + MARGIN:
            late.append(request_id)
            record(f"BROKEN: {request_id} had no final answer {LATEST} s after its time")

    asked = []
    for number in range(REQUESTS):
        asked.append(asyncio.create_task(ask("GET", "stock-check", number, 1.2)))
        asked.append(asyncio.create_task(ask("POST", "place-order", number, 3.0)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*asked)
    record(f"{len(asked)} requests, {len(late)} of them without a final answer in time")
    return rig.BROKEN if late else rig.HELD


rig.play(__file__, scenario)
