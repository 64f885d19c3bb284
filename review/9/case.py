"""During an upgrade the two processes of an ingress take more memory than the ingress may, and are killed.

Each of the two processes plans with the whole of `memory_mb`.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import rig

MEMORY_MB = 96
BAD_CLIENTS = 150  # a second
STAY = 1.9  # s for which a bad client stays with its half request
FIELDS, FIELD_SIZE = 126, 200
USUAL_PERIOD = 0.05  # s between two usual requests


def memory_of(processes: list[rig.Ingress]) -> float:
    """MiB that the processes take: the anonymous memory of each, and mapped files once."""
    anonymous, mapped = 0.0, 0.0
    for ingress in processes:
        assert ingress.process is not None
        with contextlib.suppress(OSError, IndexError):
            status = Path(f"/proc/{ingress.process.pid}/status").read_text()
            fields = dict(line.split(":", 1) for line in status.splitlines())
            if "RssAnon" in fields:
                anonymous += int(fields["RssAnon"].split()[0]) / 1024
                mapped = max(mapped, int(fields["RssFile"].split()[0]) / 1024)
    return anonymous + mapped


async def scenario(scene: rig.Scene, trouble: bool) -> int:
    record = scene.record
    counter, agent = await scene.add(rig.Counter()), await scene.add(rig.Agent())
    for number in range(3):
        backend = await scene.add(rig.Backend(f"s-{number}", record))
        agent.put(backend.name, backend.address)
    listener = rig.clients_listener()
    processes: list[rig.Ingress] = []
    peak, killed = 0.0, False

    async def start() -> rig.Ingress:
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
        processes_before = len(scene.ingresses)
        starting = asyncio.create_task(scene.process(listener, agent, counter, rig.settings(), limits=limits))
        while len(scene.ingresses) == processes_before or scene.ingresses[-1].process is None:
            await asyncio.sleep(0.001)
        processes.append(scene.ingresses[-1])
        return await starting

    async def watch_memory() -> None:
        nonlocal peak, killed
        while True:
            taken = memory_of(processes)
            if taken > peak + 2:
                record(f"platform: the ingress takes {taken:.0f} MB of {MEMORY_MB}")
            peak = max(peak, taken)
            if taken > MEMORY_MB and not killed:
                killed = True
                record(f"BROKEN: {taken:.0f} MB taken, {MEMORY_MB} allowed: the platform kills the ingress")
                for ingress in processes:
                    ingress.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    half = b"POST /place-order HTTP/1.1\r\n" + b"".join(
        b"X-Field-%d: %s\r\n" % (n, b"v" * FIELD_SIZE) for n in range(FIELDS)
    )

    async def bad_client() -> None:
        """Half a request and a close."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            _, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(half)
            await asyncio.sleep(STAY)
            writer.close()

    outcomes: dict[str, int] = {}

    async def usual_client(number: int) -> None:
        try:
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(
                rig.request_bytes("GET", "/stock-check", f"{number:016x}", time_left=1.2, customer=number + 1)
            )
            head, _ = await asyncio.wait_for(rig.read_message(reader), 1.8)
            outcome = str(rig.status_of(head))
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            outcome = "no answer"
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        record(f"client: request {number:016x}: {outcome}")

    async def come(client: object, period: float) -> None:
        number = 0
        while True:
            tasks.append(asyncio.create_task(client(number) if client is usual_client else bad_client()))  # type: ignore[operator]
            number += 1
            await asyncio.sleep(period)

    tasks: list[asyncio.Task[None]] = []
    old = await start()
    tasks.append(asyncio.create_task(watch_memory()))
    tasks.append(asyncio.create_task(come(usual_client, USUAL_PERIOD)))
    tasks.append(asyncio.create_task(come(bad_client, 1 / BAD_CLIENTS)))
    await asyncio.sleep(6)
    if trouble and not killed:
        await start()
        old.signal(signal.SIGTERM)
    await asyncio.sleep(6)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    listener.close()
    record(f"peak {peak:.0f} MB; usual requests: {outcomes}")
    return rig.BROKEN if killed else rig.HELD


rig.play(__file__, scenario)
