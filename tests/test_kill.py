"""SIGKILL at the earliest moment that the platform allows: every request that was read has had its answer.

Real processes over loopback. The platform sends SIGKILL no sooner after SIGTERM than the deployment's longest
deadline, counted as 3 s at most, and 0.7 s.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile

from tests import harness

KILL_AFTER = 3.0 + 0.7  # s after SIGTERM: `place-order` waits for 3 s
LATE = 0.9  # s after SIGTERM: a request that comes then may wait beyond the kill


def test_a_request_read_after_the_start_of_an_upgrade_is_answered_before_the_kill() -> None:
    async def scene() -> None:
        def answers_checks_only(request: bytes, _: asyncio.StreamWriter) -> bytes | None:
            return harness.OK if request.startswith(b"GET") else None

        with socket.socket() as listener, tempfile.TemporaryDirectory() as scratch:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            async with (
                harness.party(answers_checks_only) as (node_at, node),
                harness.party(harness.counter()) as (quota_at, _),
                harness.party(harness.silent) as (list_at, _),
                harness.ingress(node_at, quota_at, list_at, listener, scratch) as old,
            ):
                # While the old process is alone, so that it is the one that has the connection.
                reader, writer = await asyncio.open_connection(*old.address)
                writer.write(harness.request("GET", "/stock-check", name="first"))
                assert (await harness.read_request(reader)).startswith(b"HTTP/1.1 200")
                async with harness.ingress(node_at, quota_at, list_at, listener, scratch):
                    loop = asyncio.get_running_loop()
                    old.process.send_signal(signal.SIGTERM)
                    told = loop.time()
                    await asyncio.sleep(told + LATE - loop.time())
                    writer.write(harness.request("POST", "/place-order", b"x", left="3.0", name="late"))
                    answer = asyncio.create_task(harness.read_request(reader))
                    await asyncio.wait([answer], timeout=told + KILL_AFTER - loop.time())
                    if old.process.returncode is None:
                        old.process.send_signal(signal.SIGKILL)
                    assert [r for r in node.requests if b"late" in r], "it never reached the server"
                    # What may have run is not called refused.
                    assert (await answer).startswith((b"HTTP/1.1 502", b"HTTP/1.1 504"))
                writer.close()

    asyncio.run(asyncio.wait_for(scene(), 60))
