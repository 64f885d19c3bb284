"""One ingress on several cores, whose workers stall, die and restart under live connections."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import pytest

from tests import harness
from tests.cores_harness import IngressProcess, account_owned_by, request_bytes, running_ingress

STOP, KILL = signal.SIGSTOP, signal.SIGKILL
Scene = Callable[[IngressProcess, harness.Received], Awaitable[None]]


class StandInServer:
    """A stand-in server that answers at once, or slow requests when they are released."""

    def __init__(self) -> None:
        self.release = asyncio.Event()

    async def __call__(self, request: bytes, _: asyncio.StreamWriter) -> bytes:
        if b"slow" in request:
            await self.release.wait()
        return harness.OK


def run_scene(
    scene: Callable[[IngressProcess, harness.Received, StandInServer], Awaitable[None]],
    workers: int = 3,
    extra_settings: str = "",
) -> None:
    async def run() -> None:
        server = StandInServer()
        async with (
            harness.stand_in(server) as (server_address, seen),
            harness.stand_in(harness.counter()) as (counter_address, _),
            running_ingress(server_address, counter_address, workers, extra_settings) as ingress,
        ):
            await scene(ingress, seen, server)

    asyncio.run(run())


async def wait_for_requests(seen: harness.Received, count: int) -> None:
    async with asyncio.timeout(10):
        while len(seen.requests) < count:
            await asyncio.sleep(0.01)


# The first client's connection is assigned to worker 0, the second's to worker 1.
LOSSES = {
    "the owner stalls": (1, 1, STOP),
    "the owner dies": (1, 1, KILL),
    "holder and owner stall": (0, 0, STOP),
    "holder and owner die": (0, 0, KILL),
}


@pytest.mark.parametrize("case", LOSSES)
def test_attempted_requests_of_a_lost_owner_fail_unless_repeatable(
    case: str,
) -> None:
    owner, lost, signal_number = LOSSES[case]

    async def scene(ingress: IngressProcess, seen: harness.Received, _: StandInServer) -> None:
        account = account_owned_by(owner)
        client, others = await ingress.client(), [await ingress.client(), await ingress.client()]
        second = await ingress.client()  # worker 0 again
        client.send(request_bytes("place-order", account, "slow-place"))
        second.send(request_bytes("stock-check", account, "slow-check"))
        await wait_for_requests(seen, 2)
        pid = ingress.signal(lost, signal_number)
        place, check = await client.answer(), await second.answer()
        assert place.startswith(b"HTTP/1.1 502")
        assert check.split(b" ")[1] in (b"429", b"503") and b"retry-after" in check.lower()
        # The lost process is gone, so it cannot wake and act; nobody repeated its requests.
        await ingress.wait_for_log(f"worker {lost}: ended")
        with pytest.raises(ProcessLookupError):
            os.kill(pid, signal.SIGCONT)
        await ingress.wait_until("a new process", lambda: ingress.pids().get(lost) not in (None, pid))
        assert sorted(r.split(b"X-Correlation-Id: ")[1].split(b"\r\n")[0] for r in seen.requests) == [
            b"slow-check", b"slow-place",
        ]  # fmt: skip
        for other in others:
            assert await other.ask(request_bytes("place-order", account, f"after-{id(other)}")) == 200

    run_scene(scene)


@pytest.mark.parametrize("signal_number", [STOP, KILL])
def test_request_of_a_lost_holder_still_gets_its_owners_answer(signal_number: int) -> None:
    async def scene(ingress: IngressProcess, seen: harness.Received, server: StandInServer) -> None:
        client = await ingress.client()  # held by worker 0
        client.send(request_bytes("place-order", account_owned_by(1), "slow"))
        await wait_for_requests(seen, 1)
        ingress.signal(0, signal_number)
        await ingress.wait_for_log("worker 0: ended")
        server.release.set()
        assert (await client.answer()).startswith(b"HTTP/1.1 200")
        assert await client.ends() == b"" and len(seen.requests) == 1

    run_scene(scene)


@pytest.mark.parametrize("signal_number", [STOP, KILL])
def test_idle_connections_move_to_another_worker(signal_number: int) -> None:
    async def scene(ingress: IngressProcess, seen: harness.Received, _: StandInServer) -> None:
        client = await ingress.client()
        assert await client.ask(request_bytes("place-order", account_owned_by(2), "a")) == 200
        ingress.signal(0, signal_number)
        assert await client.ask(request_bytes("place-order", account_owned_by(2), "b")) == 200
        assert await client.ask(request_bytes("place-order", account_owned_by(0), "c")) == 200
        assert len(seen.requests) == 3

    run_scene(scene)


def test_half_read_request_of_a_stalled_worker_is_refused() -> None:
    async def scene(ingress: IngressProcess, seen: harness.Received, _: StandInServer) -> None:
        client = await ingress.client()
        whole = (
            request_bytes("place-order", account_owned_by(0), "a", extra_headers="Content-Length: 3\r\n")
            + b"abc"
        )
        client.send(whole[:-2])
        await asyncio.sleep(0.1)
        ingress.signal(0, STOP)
        client.send(whole[-2:])
        answer = await client.answer()
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
        assert await client.ends() == b"" and not seen.requests

    run_scene(scene)


def test_request_without_an_attempt_is_refused_when_its_worker_stalls() -> None:
    # The counter does not answer, so no attempt is made yet.
    async def run() -> None:
        async with (
            harness.stand_in(harness.no_response) as (server_address, seen),
            harness.stand_in(harness.no_response) as (counter_address, _),
            running_ingress(
                server_address, counter_address, extra_settings="counter-timeout 30s\n"
            ) as ingress,
        ):
            client = await ingress.client()
            client.send(request_bytes("place-order", account_owned_by(0), "a"))
            await asyncio.sleep(0.1)
            ingress.signal(0, STOP)
            assert (await client.answer()).startswith(b"HTTP/1.1 503")
            assert not seen.requests

    asyncio.run(run())


def test_id_open_at_one_worker_is_rejected_at_every_other() -> None:
    async def scene(ingress: IngressProcess, seen: harness.Received, server: StandInServer) -> None:
        clients = [await ingress.client() for _ in range(3)]
        clients[0].send(request_bytes("place-order", account_owned_by(0), "slow-id"))
        await wait_for_requests(seen, 1)
        for n, client in enumerate(clients[1:]):
            assert await client.ask(request_bytes("stock-check", account_owned_by(n + 1), "slow-id")) == 400
        server.release.set()
        assert (await clients[0].answer()).startswith(b"HTTP/1.1 200")
        assert await clients[2].ask(request_bytes("stock-check", account_owned_by(2), "slow-id")) == 200

    run_scene(scene)


def test_reload_during_a_stall_reaches_every_worker() -> None:
    async def run() -> None:
        server = StandInServer()
        async with (
            harness.stand_in(server) as (server_address, _),
            harness.stand_in(server) as (other_address, seen),
            harness.stand_in(harness.counter()) as (counter_address, _),
            running_ingress(server_address, counter_address) as ingress,
        ):
            ingress.signal(1, STOP)
            ingress.path.write_text(ingress.text.replace(server_address, other_address))
            ingress.process.send_signal(signal.SIGHUP)
            await ingress.wait_for_log("in force: stock-node")
            await ingress.wait_for_log("worker 1: ended")
            await ingress.wait_until("a new process", lambda: 1 in ingress.pids())
            await asyncio.sleep(0.5)
            for worker in range(3):
                client = await ingress.client()
                assert (
                    await client.ask(request_bytes("stock-check", account_owned_by(worker), f"s{worker}"))
                    == 200
                )
            assert len(seen.requests) == 3
            ingress.path.write_text("workers none")
            ingress.process.send_signal(signal.SIGHUP)
            await ingress.wait_for_log("going on as before")
            assert (
                await (await ingress.client()).ask(request_bytes("stock-check", account_owned_by(0), "again"))
                == 200
            )

    asyncio.run(run())


def test_sigterm_during_a_stall_answers_every_request_and_exits_0() -> None:
    async def scene(ingress: IngressProcess, seen: harness.Received, server: StandInServer) -> None:
        clients = [await ingress.client() for _ in range(3)]
        for worker, client in enumerate(clients):
            client.send(request_bytes("place-order", account_owned_by(worker), f"slow-{worker}"))
        await wait_for_requests(seen, 3)
        ingress.signal(1, STOP)
        ingress.process.terminate()
        await ingress.wait_for_log("drain: asked to stop")
        late = await (await ingress.client()).ask(request_bytes("stock-check", account_owned_by(2), "late"))
        assert late == 200
        assert (await clients[1].answer()).startswith(b"HTTP/1.1 502")
        server.release.set()
        for client in (clients[0], clients[2]):
            assert (await client.answer()).startswith(b"HTTP/1.1 200")
        assert await asyncio.wait_for(ingress.process.wait(), 10) == 0
        assert len(seen.requests) == 4

    run_scene(scene)


def test_crash_looping_worker_backs_off_is_logged_once_and_the_others_serve() -> None:
    async def scene(ingress: IngressProcess, _: harness.Received, __: StandInServer) -> None:
        client = await ingress.client()
        for _n in range(4):
            await ingress.wait_until("a process", lambda: 1 in ingress.pids())
            ingress.signal(1, KILL)
            await ingress.wait_until("its exit", lambda: 1 not in ingress.pids())
            # 429 if the request had just been delegated to the worker that exited.
            assert await client.ask(request_bytes("place-order", account_owned_by(1), f"n{_n}")) in (200, 429)
        await ingress.wait_for_log("worker 1: keeps ending (signal 9)")
        await ingress.wait_for_log("worker 1: serves again")
        assert sum("worker 1: keeps ending" in line for line in ingress.lines) == 1

    run_scene(scene)


@pytest.mark.parametrize("stalled", [False, True])
def test_workers_exit_when_the_supervisor_dies(stalled: bool) -> None:
    async def scene(ingress: IngressProcess, seen: harness.Received, server: StandInServer) -> None:
        client = await ingress.client()
        client.send(request_bytes("place-order", account_owned_by(1), "slow"))
        await wait_for_requests(seen, 1)
        pids = ingress.pids()
        if stalled:
            os.kill(pids[2], STOP)
            await asyncio.sleep(0.05)
        ingress.process.kill()
        # `process.wait()` would also wait until the workers close the log.
        await ingress.wait_until("its exit", lambda: ingress.process.returncode is not None)
        server.release.set()
        assert (await client.answer()).startswith(b"HTTP/1.1 200")
        if stalled:
            await asyncio.sleep(0.5)
            os.kill(pids[2], signal.SIGCONT)
        async with asyncio.timeout(10):
            while any(os.path.exists(f"/proc/{pid}") for pid in pids.values()):
                await asyncio.sleep(0.02)

    run_scene(scene)


def test_account_is_counted_once_per_attempt_and_keeps_its_ceiling_over_a_restart() -> None:
    totals: dict[str, float] = {}

    def count(request: bytes, writer: asyncio.StreamWriter) -> bytes:
        answer = counter(request, writer)
        amount = request.split(b"by=")[1].split(b"&")[0]
        totals["all"] = totals.get("all", 0.0) + float(amount)
        return answer  # type: ignore[no-any-return]

    counter = harness.counter()

    async def run() -> None:
        async with (
            harness.stand_in(lambda r, w: harness.OK) as (server_address, seen),
            harness.stand_in(count) as (counter_address, _),
            running_ingress(server_address, counter_address) as ingress,
        ):
            account = account_owned_by(1)
            loop = asyncio.get_running_loop()
            began = loop.time()
            clients = [await ingress.client() for _ in range(3)]
            asked = 0
            for n in range(60):
                await asyncio.sleep(0.04)
                if n == 30:
                    ingress.signal(1, KILL)
                    await ingress.wait_for_log("worker 1: ended")
                for client in clients:
                    asked += 1
                    correlation = f"a{asked}"
                    status = await client.ask(
                        request_bytes("stock-check", account, correlation, plan="entreprise", units=3)
                    )
                    assert status in (200, 429, 503)
            spent = 3 * len(seen.requests)
            # The whole account's ceiling: burst, slack and refill.
            assert spent <= 60 + 4 + 30 * (loop.time() - began) + 1e-6
            assert spent >= 15
            await asyncio.sleep(0.3)
            # Refunds that were in flight at the kill are lost: the count may be too high, never too low.
            assert spent <= totals["all"] <= spent + 3 * 3

    asyncio.run(run())


def test_malformed_requests_are_answered_and_kill_no_worker() -> None:
    from tests.test_sockets import BAD_REQUESTS

    async def scene(ingress: IngressProcess, seen: harness.Received, _: StandInServer) -> None:
        before = ingress.pids()
        for name, (data, expected) in BAD_REQUESTS.items():
            client = await ingress.client()
            assert await client.ask(data) == expected, name
            client.writer.close()
        assert not seen.requests and ingress.pids() == before

    run_scene(scene)


def test_failed_start_exits_2_and_leaves_no_worker() -> None:
    async def scene(ingress: IngressProcess, _: harness.Received, __: StandInServer) -> None:
        import sys

        second = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "opalgauge.cli.main", "serve", "--settings", str(ingress.path),
            cwd=harness.ROOT, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _out, err = await asyncio.wait_for(second.communicate(), 30)
        assert second.returncode == 2 and b"cannot start: " in err and b"in use" in err

    run_scene(scene, workers=2)
