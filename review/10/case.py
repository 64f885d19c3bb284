"""A new process sends work to a backend of which the old process of the same ingress was told that it drains.

Discovery goes down just after the old process was told; the new one serves on the list of its configuration.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import rig

OUTAGE = 8.0  # s for which discovery is down
GRACE = 2.0  # s: `stop_sending_within`
BINDS_AFTER_YES = 2.0  # s after the yes of a new process
SLACK = 0.05  # s by which every limit is longer on sockets
MARGIN = 0.15  # s for a busy machine
KILL_AFTER = 3.0 + 0.7  # s from SIGTERM to SIGKILL
CLIENTS = 8


async def scenario(scene: rig.Scene, trouble: bool) -> int:
    record = scene.record
    counter, agent = await scene.add(rig.Counter()), await scene.add(rig.Agent())
    backends: dict[str, rig.Backend] = {}
    for number in range(4):
        backend = await scene.add(rig.Backend(f"s-{number}", record))
        agent.put(backend.name, backend.address)
        backends[backend.name] = backend
    drained = backends["s-1"]
    tree = rig.settings(tiers_of_service=[dict(rig.settings()["tiers_of_service"][3], quota_rate=100.0)])
    listener = rig.clients_listener()
    known = agent.listing()  # what the platform tells every process: the list as of the start
    old = await scene.process(listener, agent, counter, tree, known=known)

    async def client(number: int) -> None:
        asked = 0
        while True:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*listener.getsockname())
                asked += 1
                writer.write(
                    rig.request_bytes(
                        "GET", "/stock-check", f"check-{number}-{asked}", time_left=1.2, customer=number + 1
                    )
                )
                await asyncio.wait_for(rig.read_message(reader), 2)
                writer.close()
            await asyncio.sleep(0.2)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(2)
    agent.put(drained.name, drained.address, health="terminating")
    told_at = record.now()
    record("agent: tells that s-1 drains")
    await asyncio.sleep(0.1)  # the old process has its answer
    if trouble:
        agent.up.clear()
        record(f"agent: discovery is down, for {OUTAGE} s")
    outage = asyncio.get_running_loop().call_later(OUTAGE, agent.up.set)
    await scene.process(listener, agent, counter, tree, known=known)
    yes_at = record.now()
    old.signal(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        assert old.process is not None
        await asyncio.wait_for(old.process.wait(), KILL_AFTER)
    if old.process.returncode is None:
        old.signal(signal.SIGKILL)
    await asyncio.sleep(max(0.0, told_at + OUTAGE + 2 - record.now()))
    outage.cancel()
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    listener.close()
    latest = max(told_at, yes_at + BINDS_AFTER_YES) + GRACE + SLACK
    late = [arrival for arrival in drained.arrivals if arrival.at > latest + MARGIN]
    for arrival in late:
        record(f"BROKEN: {arrival.request_id} came to s-1 {arrival.at - told_at:.3f} s after the news")
    total = sum(len(backend.arrivals) for backend in backends.values())
    record(
        f"{total} requests, {len(late)} of them at s-1 later than {latest - told_at:.3f} s after the news; "
        f"the last there {drained.arrivals[-1].at - told_at:.3f} s after"
    )
    return rig.BROKEN if late else rig.HELD


rig.play(__file__, scenario)
