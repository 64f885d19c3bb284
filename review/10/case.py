"""A bad client that copies the id of an open request makes the ingress drop its owner's next requests.

The usual client has written three orders on its connection. While the first is at its backend, a bad client
sends a request with the same id; the ingress then reads and drops what the usual client wrote behind.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import rig

CLIENTS, BEHIND = 4, 2
WORK = 0.4  # s
TIME = 3.0  # s that a client waits


async def scenario(scene: rig.Scene, trouble: bool) -> int:
    record = scene.record
    counter, agent = await scene.add(rig.Counter()), await scene.add(rig.Agent())
    for number in range(4):
        backend = await scene.add(rig.Backend(f"s-{number}", record, work=WORK))
        agent.put(backend.name, backend.address)
    ingress = scene.ingress("n0", agent, counter, rig.settings())
    await ingress.start()
    lost: list[str] = []

    def order(request_id: str, customer: int) -> bytes:
        return rig.request_bytes("POST", "/place-order", request_id, time_left=TIME, customer=customer)

    async def usual_client(number: int) -> None:
        reader, writer = await asyncio.open_connection(*ingress.address)
        ids = [f"order-{number}-{k}" for k in range(1 + BEHIND)]
        for request_id in ids:
            record(f"client: sends {request_id}")
            writer.write(order(request_id, 100 + number))
            await asyncio.sleep(0.03)
        for request_id in ids:
            try:
                head, _ = await asyncio.wait_for(rig.read_message(reader), TIME + 1)
                record(f"client: {request_id}: {rig.status_of(head)}")
            except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
                lost.append(request_id)
                record(f"BROKEN: {request_id}: no answer, the ingress has ended the connection ({error!r})")
        writer.close()

    async def bad_client(number: int) -> None:
        reader, writer = await asyncio.open_connection(*ingress.address)
        request_id = f"order-{number}-0"
        record(f"bad client: sends {request_id}, which is open")
        writer.write(order(request_id, 900 + number))
        try:
            head, _ = await asyncio.wait_for(rig.read_message(reader), TIME + 1)
            record(f"bad client: {request_id}: {rig.status_of(head)}")
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            record(f"bad client: {request_id}: {error!r}")
        writer.close()

    clients = [asyncio.create_task(usual_client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(0.2)
    if trouble:
        await asyncio.gather(*(bad_client(number) for number in range(CLIENTS)))
    await asyncio.gather(*clients)
    record(f"{CLIENTS * (1 + BEHIND)} orders, {len(lost)} of them lost")
    return rig.BROKEN if lost else rig.HELD


rig.play(__file__, scenario)
