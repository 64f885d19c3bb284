"""A copied id of an open order runs a second time at the other process of an upgrade.

The old process holds the orders; a bad client sends their ids again, and its connections come to the new one.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import rig

CLIENTS = 6
WORK = 1.0  # s, of an order
TIME = 3.0  # s that a client waits, and the longest deadline
KILL_AFTER = 3.0 + 0.7  # s from SIGTERM to SIGKILL


def order(request_id: str, customer: int) -> bytes:
    return rig.request_bytes("POST", "/place-order", request_id, time_left=TIME, customer=customer)


async def scenario(scene: rig.Scene, trouble: bool) -> int:
    record = scene.record
    counter, agent = await scene.add(rig.Counter()), await scene.add(rig.Agent())
    backends: list[rig.Backend] = []

    async def behave(
        backend: rig.Backend, arrival: rig.Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(0.02 if arrival.request_id.startswith("first") else WORK)
        record(f"backend {backend.name}: {arrival.request_id} has run")
        writer.write(rig.ok(rig.answer_body(arrival.request_id)))
        return True

    for number in range(6):
        backend = await scene.add(rig.Backend(f"s-{number}", record, behave=behave))
        agent.put(backend.name, backend.address)
        backends.append(backend)
    listener = rig.clients_listener()
    old = await scene.process(listener, agent, counter, rig.settings())
    may_send = asyncio.Event()

    async def usual_client(number: int) -> None:
        """Has a connection to the old process, and sends its order on it at the new one's yes."""
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(order(f"first-{number}", 100 + number))
        head, _ = await asyncio.wait_for(rig.read_message(reader), 5)
        record(f"client: first-{number}: {rig.status_of(head)}")
        while not may_send.is_set():  # the connection is in use up to then
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(may_send.wait(), 0.3)
                break
            writer.write(order(f"first-{number}-{record.now():.3f}", 100 + number))
            await asyncio.wait_for(rig.read_message(reader), 5)
        record(f"client: sends order-{number}")
        writer.write(order(f"order-{number}", 100 + number))
        with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            head, _ = await asyncio.wait_for(rig.read_message(reader), TIME + 1)
            record(f"client: order-{number}: {rig.status_of(head)}")
        writer.close()

    async def bad_client(number: int) -> None:
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        record(f"bad client: sends order-{number}, which is open")
        writer.write(order(f"order-{number}", 100 + number))
        with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            head, _ = await asyncio.wait_for(rig.read_message(reader), TIME + 1)
            record(f"bad client: order-{number}: {rig.status_of(head)}")
        writer.close()

    clients = [asyncio.create_task(usual_client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1)
    if trouble:
        await scene.process(listener, agent, counter, rig.settings())
    may_send.set()
    open_orders: set[int] = set()
    for _ in range(200):  # until the orders are at their backends
        arrived = {a.request_id for backend in backends for a in backend.arrivals}
        open_orders = {n for n in range(CLIENTS) if f"order-{n}" in arrived}
        if len(open_orders) == CLIENTS:
            break
        await asyncio.sleep(0.005)
    if not open_orders:
        raise rig.CannotRun("no order has come to a backend")
    if trouble:
        old.signal(signal.SIGTERM)
        killed_at = record.now() + KILL_AFTER
        await asyncio.sleep(0.1)  # new connections come to the new process
    await asyncio.gather(*(bad_client(number) for number in open_orders))
    await asyncio.gather(*clients, return_exceptions=True)
    if trouble and old.process is not None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(old.process.wait(), max(0.0, killed_at - record.now()))
        if old.process.returncode is None:
            old.signal(signal.SIGKILL)
    twice = []
    for number in sorted(open_orders):
        times = [a.at for backend in backends for a in backend.arrivals if a.request_id == f"order-{number}"]
        if len(times) > 1:
            twice.append(number)
            record(f"BROKEN: order-{number} came to backends {len(times)} times, at {sorted(times)}")
    record(f"{len(open_orders)} open orders were copied, {len(twice)} of them ran twice")
    listener.close()
    return rig.BROKEN if twice else rig.HELD


rig.play(__file__, scenario)
