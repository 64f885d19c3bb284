"""A copied id of an order whose long answer is still on its way runs a second time.

The order has run, its answer is being passed on, and its client still reads. A bad client sends its id again.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import rig

CLIENTS = 4
SIZE, PIECE, PAUSE = 1_500_000, 25_000, 0.04  # bytes, bytes and s: an answer of 2.4 s
COPY_AFTER = 0.4  # s after the first byte of the answer
TIME = 3.0  # s that a client waits


def order(request_id: str, customer: int) -> bytes:
    return rig.request_bytes("POST", "/place-order", request_id, time_left=TIME, customer=customer)


async def scenario(scene: rig.Scene, trouble: bool) -> int:
    record = scene.record
    counter, agent = await scene.add(rig.Counter()), await scene.add(rig.Agent())
    backends: list[rig.Backend] = []
    answered_at: dict[str, list[float]] = {}  # when backends had written their answers, or had to stop

    async def behave(
        backend: rig.Backend, arrival: rig.Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
            for _start in range(0, SIZE, PIECE):
                writer.write(b"x" * PIECE)
                await writer.drain()
                await asyncio.sleep(PAUSE)
        finally:
            answered_at.setdefault(arrival.request_id, []).append(record.now())
            record(f"backend {backend.name}: the answer to {arrival.request_id} has ended")
        return True

    for number in range(4):
        backend = await scene.add(rig.Backend(f"s-{number}", record, behave=behave))
        agent.put(backend.name, backend.address)
        backends.append(backend)
    ingress = scene.ingress("n0", agent, counter, rig.settings())
    await ingress.start()
    copied: list[int] = []

    async def bad_client(number: int) -> None:
        reader, writer = await asyncio.open_connection(*ingress.address)
        copied.append(number)
        record(f"bad client: sends order-{number}, which is open")
        writer.write(order(f"order-{number}", 100 + number))
        with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            head, body = await asyncio.wait_for(rig.read_message(reader), TIME + 3)
            record(f"bad client: order-{number}: {rig.status_of(head)}, {len(body)} bytes")
        writer.close()

    async def usual_client(number: int) -> None:
        reader, writer = await asyncio.open_connection(*ingress.address)
        record(f"client: sends order-{number}")
        writer.write(order(f"order-{number}", 100 + number))
        head = await asyncio.wait_for(reader.readuntil(rig.HEAD_END), TIME + 1)
        record(f"client: order-{number}: {rig.status_of(head)} begins")
        copy = None
        if trouble and rig.status_of(head) == 200:
            copy = asyncio.get_running_loop().call_later(
                COPY_AFTER, lambda: bad.append(asyncio.create_task(bad_client(number)))
            )
        body = await reader.readexactly(int(rig.header_fields(head)["content-length"]))
        record(f"client: order-{number}: {len(body)} bytes, whole")
        if copy is not None:
            copy.cancel()
        writer.close()

    bad: list[asyncio.Task[None]] = []
    await asyncio.gather(*(usual_client(number) for number in range(CLIENTS)))
    await asyncio.gather(*bad)
    if trouble and not copied:
        raise rig.CannotRun("no long answer was open")
    twice = []
    for number in range(CLIENTS):
        request_id = f"order-{number}"
        times = sorted(a.at for backend in backends for a in backend.arrivals if a.request_id == request_id)
        if len(times) > 1:
            twice.append(request_id)
            first_ended = min(answered_at[request_id])
            record(
                f"BROKEN: {request_id} came to backends {len(times)} times, at {times}; "
                f"the first attempt was out until {first_ended:.3f}"
            )
    record(f"{len(copied)} open orders were copied, {len(twice)} of them ran twice")
    return rig.BROKEN if twice else rig.HELD


rig.play(__file__, scenario)
