"""A process starts while the discovery agent is silent for some questions: what it does until it is heard."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time

from tests import harness
from tests.soak.stand_ins import ok_response

STOP_SENDING_TIME = 2.0  # s from the start of a process, by when it has been told of a drain
MAX_SILENT_REQUESTS = 4
PLAY_TIME = 7.0  # s


def server_list(draining: str, ready: str) -> bytes:
    hosts = [
        {"host": name, "dial": address, "site": "bat-a", "health": health, "born_ms": 0}
        for name, address, health in (("s-1", draining, "terminating"), ("s-2", ready, "in_service"))
    ]
    return ok_response(json.dumps({"seq": 42, "whole": True, "hosts": hosts}).encode())


async def last_request_to_draining_server(silent_requests: int) -> float:
    """Seconds from the start of a process to the last request at a server that drains since then."""
    started, received_at = time.monotonic(), [0.0]
    numbers = itertools.count()

    def serve_while_draining(_: bytes, __: asyncio.StreamWriter) -> bytes:
        received_at.append(time.monotonic() - started)
        return harness.OK

    def answer_list(request: bytes, _: asyncio.StreamWriter) -> bytes | None:
        if next(asked) < silent_requests or b"since=42&" in request:
            return None
        return server_list(draining, ready)

    async def keep_asking(ingress: harness.Ingress) -> None:
        while time.monotonic() - started < PLAY_TIME:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await ingress.exchange(
                    harness.request("GET", "/stock-check", correlation_id=f"r-{next(numbers)}")
                )
            await asyncio.sleep(0.02)

    asked = itertools.count()
    async with (
        harness.stand_in(serve_while_draining) as (draining, _),
        harness.stand_in(lambda _, __: harness.OK) as (ready, __),
        harness.stand_in(harness.counter()) as (counter, ___),
        harness.stand_in(answer_list) as (agent, ____),
        harness.ready_ingress(draining, counter, agent) as ingress,
    ):
        await keep_asking(ingress)
    return received_at[-1]


def test_a_draining_server_gets_nothing_late_if_the_agent_is_silent_at_a_start() -> None:
    """Guards against a start that waits as long for each silent question as for a watch."""

    async def scenario() -> list[float]:
        plays = [last_request_to_draining_server(silent) for silent in range(MAX_SILENT_REQUESTS + 1)]
        return list(await asyncio.gather(*plays))

    times = asyncio.run(scenario())
    assert [seconds for seconds in times if seconds > STOP_SENDING_TIME] == [], times
