"""A drain of several workers answers every request before the earliest possible SIGKILL."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from tests import harness
from tests.cores_harness import account_owned_by, request_bytes, running_ingress

KILL_AFTER = 3.7  # s after SIGTERM; the longest deadline is 30 s, of which a drain allows for 3 s


@pytest.mark.parametrize("worker_lost", [False, True])
def test_every_request_at_every_worker_is_answered_before_sigkill(worker_lost: bool) -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        async with (
            harness.stand_in(harness.no_response) as (server_address, server),
            harness.stand_in(harness.counter()) as (counter_address, _),
            running_ingress(server_address, counter_address, 2) as ingress,
        ):
            # Requests held by either worker, and decided by either.
            clients = [await ingress.client() for _ in range(8)]
            for n, client in enumerate(clients[:4]):
                client.send(request_bytes("place-order", account_owned_by(n % 2, 2, n), f"early-{n}"))
            await asyncio.sleep(0.1)
            ingress.process.send_signal(signal.SIGTERM)
            kill = loop.time() + KILL_AFTER
            for n, client in enumerate(clients[4:]):
                client.send(request_bytes("place-order", account_owned_by(n % 2, 2, n), f"late-{n}"))
            if worker_lost:
                await asyncio.sleep(0.8)
                ingress.signal(0, signal.SIGKILL)
            pids = [ingress.process.pid, *ingress.pids().values()]
            answers = [asyncio.create_task(client.answer()) for client in clients]
            _, pending = await asyncio.wait(answers, timeout=kill - loop.time())
            for pid in pids:
                try:
                    os.kill(pid, signal.SIGKILL)
                except ProcessLookupError:
                    continue
            assert not pending, f"{len(pending)} without an answer at the kill"
            correlations = [f"early-{n}" for n in range(4)] + [f"late-{n}" for n in range(4)]
            for correlation, answer in zip(correlations, answers, strict=True):
                status = int((await answer)[9:12])
                attempted = any(f"Id: {correlation}\r".encode() in request for request in server.requests)
                # A request that a server may have executed must not be answered as refused.
                assert status in (502, 504) if attempted else status in (429, 502, 503, 504), (
                    correlation,
                    status,
                    attempted,
                )

    asyncio.run(asyncio.wait_for(scene(), 60))
