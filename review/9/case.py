"""At a planned restart, requests that the ingress has taken on an open connection are dropped unanswered.

A client writes three orders at once on one connection. The ingress is told to end while the first is at its
backend; its answer closes the connection, and the two others are read and dropped.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import rig

CLIENTS, AT_ONCE = 4, 3
WORK = 0.4  # s
TIME = 3.0  # s that a client waits, and the longest deadline
KILL_AFTER = 3.0 + 0.7  # s from SIGTERM to SIGKILL


async def scenario(scene: rig.Scene, trouble: bool) -> int:
    record = scene.record
    counter, agent = await scene.add(rig.Counter()), await scene.add(rig.Agent())
    for number in range(4):
        backend = await scene.add(rig.Backend(f"s-{number}", record, work=WORK))
        agent.put(backend.name, backend.address)
    ingress = scene.ingress("n0", agent, counter, rig.settings())
    await ingress.start()
    lost: list[str] = []

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection(*ingress.address)
        first = f"order-{number}-0"
        # A request before, so that none of the others is the first on its connection.
        writer.write(rig.request_bytes("POST", "/place-order", first, time_left=TIME, customer=100 + number))
        head, _ = await asyncio.wait_for(rig.read_message(reader), 5)
        record(f"client: {first}: {rig.status_of(head)}")
        ids = [f"order-{number}-{k}" for k in range(1, AT_ONCE + 1)]
        writer.write(
            b"".join(
                rig.request_bytes("POST", "/place-order", i, time_left=TIME, customer=100 + number)
                for i in ids
            )
        )
        record(f"client: sends {', '.join(ids)} at once")
        for request_id in ids:
            try:
                head, _ = await asyncio.wait_for(rig.read_message(reader), TIME + 1)
                record(f"client: {request_id}: {rig.status_of(head)}")
            except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
                lost.append(request_id)
                record(f"BROKEN: {request_id}: no answer, the ingress has ended the connection ({error!r})")
        writer.close()

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(WORK + 0.2)  # the first answers are there, the next orders are at their backends
    if trouble:
        ingress.signal(signal.SIGTERM)
        killed_at = record.now() + KILL_AFTER
    await asyncio.gather(*clients)
    if trouble and ingress.process is not None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(ingress.process.wait(), max(0.0, killed_at - record.now()))
        if ingress.process.returncode is None:
            ingress.signal(signal.SIGKILL)
    record(f"{CLIENTS * AT_ONCE} orders, {len(lost)} of them lost")
    return rig.BROKEN if lost else rig.HELD


rig.play(__file__, scenario)
