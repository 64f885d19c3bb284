"""The program on real sockets: what passes unchanged, what is answered to whom, and how it ends."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from datetime import datetime

import pytest

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.reducer import Reducer
from opalgauge.wire.clients import Clients, Trade
from opalgauge.wire.exchange import Exchange
from opalgauge.wire.node_list import NodeListReader
from tests import harness
from tests.reducer_rig import START, ingress_config

SETTLING = ingress_config().reuse_delay.total_seconds()


@contextlib.asynccontextmanager
async def harness_with(
    node: harness.Responder, quota: harness.Responder | None = None
) -> AsyncIterator[tuple[harness.Ingress, harness.Received, harness.Received]]:
    async with (
        harness.stand_in(node) as (node_at, nodes),
        harness.stand_in(quota or harness.counter()) as (quota_at, quotas),
        harness.stand_in(harness.no_response) as (list_at, _),
        harness.ready_ingress(node_at, quota_at, list_at) as ingress,
    ):
        yield ingress, nodes, quotas


def status(answer: bytes) -> int:
    return int(answer.split(b" ")[1])


def test_a_request_passes_unchanged_and_its_answer_comes_back() -> None:
    async def scene() -> None:
        async with harness_with(lambda r, w: harness.OK) as (ingress, nodes, quotas):
            target = "/place-order/a%2Fb/%7e?x=%20&&y=a+b"
            body = bytes(range(256)) * 8
            answer = await ingress.send_request("POST", target, body, "Content-Encoding: gzip\r\n")
            assert status(answer) == 200 and answer.endswith(b"\r\n\r\ndone")
            head, _, passed = nodes.requests[0].partition(b"\r\n\r\n")
            assert head.startswith(b"POST " + target.encode() + b" HTTP/1.1\r\n")
            assert b"X-Correlation-Id: 9b1f03aa5c7e2d41" in head
            assert b"Content-Encoding: gzip" in head
            assert 0.8 < float(head.split(b"X-Time-Left: ")[1].split(b"\r\n")[0]) < 1.0
            assert passed == body
            assert quotas.requests[0].startswith(b"POST /counters/")
            assert b"?by=2&expire_ms=" in quotas.requests[0]
            assert status(await ingress.exchange(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) == 200

    asyncio.run(scene())


def test_a_kept_connection_that_dies_under_a_request_is_not_tried_again_by_itself() -> None:
    # Guards against a client library's own resending: a place-order could run twice, unseen by the decisions.
    served = 0

    def node(_: bytes, writer: asyncio.StreamWriter) -> bytes | None:
        nonlocal served
        served += 1
        if served == 1:
            return harness.OK
        writer.close()
        return None

    async def scene() -> None:
        async with harness_with(node) as (ingress, nodes, _):
            assert status(await ingress.send_request("POST", "/place-order")) == 200
            await asyncio.sleep(2 * SETTLING)  # at least: until the connection may be used again
            assert status(await ingress.send_request("POST", "/place-order")) == 502
            assert nodes.connections == 1
            assert len(nodes.requests) == 2

    asyncio.run(scene())


def test_an_attempt_given_up_ends_its_connection_and_the_client_has_its_answer() -> None:
    async def scene() -> None:
        async with harness_with(harness.no_response) as (ingress, nodes, _):
            answer = await ingress.exchange(harness.request("POST", "/place-order", time_left="0.4"))
            assert status(answer) == 504
            await asyncio.wait_for(nodes.connection_ended.wait(), 30)
            assert len(nodes.requests) == 1

    asyncio.run(scene())


@pytest.mark.parametrize("quota", [harness.no_response, lambda r, w: w.close()], ids=["silent", "breaking"])
def test_without_a_quota_counter_orders_are_still_answered(quota: harness.Responder) -> None:
    async def scene() -> None:
        async with harness_with(lambda r, w: harness.OK, quota) as (ingress, _, quotas):
            for _ in range(3):
                assert status(await ingress.send_request("POST", "/place-order")) == 200
            assert quotas.requests

    asyncio.run(scene())


def test_no_counter_call_is_refused_by_being_turned_away() -> None:
    # The counter turns every call away until a run begins: that is no reason to be unready or to refuse.
    away = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

    async def scene() -> None:
        async with harness_with(lambda r, w: harness.OK, lambda r, w: away) as (ingress, _, _quotas):
            assert status(await ingress.exchange(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) == 200
            assert status(await ingress.send_request("GET", "/stock-check")) == 200

    asyncio.run(scene())


def test_a_new_configuration_moves_counter_and_node_list_and_stops_nothing() -> None:
    # Guards against ending on SIGHUP, and against going on with addresses that are left.
    async def scene() -> None:
        async with (
            harness_with(lambda r, w: harness.OK) as (ingress, _, quotas),
            harness.stand_in(harness.counter()) as (quota_at, new_quotas),
            harness.stand_in(harness.no_response) as (list_at, new_lists),
        ):
            assert status(await ingress.send_request("POST", "/place-order")) == 200
            await ingress.reconfigure(counter=quota_at, discovery=list_at)
            seen = len(quotas.requests)
            assert status(await ingress.send_request("POST", "/place-order")) == 200
            assert new_quotas.requests and len(quotas.requests) == seen
            while not new_lists.requests:
                await asyncio.sleep(0.01)
            assert new_lists.requests[0].startswith(b"GET /v1/endpoints HTTP/1.1")
            ingress.config_path.write_text('{"half')
            ingress.process.send_signal(signal.SIGHUP)
            assert ingress.process.stderr is not None
            assert b"going on as before" in await ingress.process.stderr.readline()
            assert status(await ingress.send_request("POST", "/place-order")) == 200

    asyncio.run(scene())


SILENT = {
    "nothing": b"",
    "half a head": b"GET /stock-check HTTP/1.1\r\nX-",
    "half a body": harness.request("POST", "/place-order", b"abc")[:-1],
}


def test_clients_that_ask_nothing_whole_are_closed() -> None:
    async def scene() -> None:
        async with harness_with(lambda r, w: harness.OK) as (ingress, nodes, _):
            ends = []
            for data in SILENT.values():
                reader, writer = await asyncio.open_connection(*ingress.address)
                writer.write(data)
                ends.append((reader, writer))
            for reader, writer in ends:
                said = await asyncio.wait_for(reader.read(), 30)
                assert said == b"" or said.startswith(b"HTTP/1.1 408 ")
                writer.close()
            assert not nodes.requests

    asyncio.run(scene())


CHUNKS = "Transfer-Encoding: chunked\r\n"


@pytest.mark.parametrize("leaving", [False, True])
def test_a_request_that_has_been_read_is_not_lost_to_the_end_of_quiet_connections(leaving: bool) -> None:
    # Guards the turns of the loop between a request's last byte and its order: the reducer does not know yet.
    async def scene() -> None:
        seen: list[ev.Event] = []
        clients = Clients(Trade([("stock-check", True)], ["negoce"], 3.0, 2), seen.append, lambda: True)
        await clients.listen("127.0.0.1", 0)
        assert clients.listener is not None
        reader, writer = await asyncio.open_connection(*clients.listener.address)
        while not clients.connections:
            await asyncio.sleep(0)
        ((number, connection),) = clients.connections.items()
        connection.data_received(harness.request("GET", "/stock-check"))
        end = clients.stop_listening if leaving else lambda: clients.dismiss(number)
        end()
        while not isinstance(seen[-1], ev.RequestReceived):
            await asyncio.sleep(0)
            end()
        closing = asyncio.ensure_future(clients.close() if leaving else asyncio.sleep(0))
        await asyncio.sleep(0.15)
        clients.answer(fx.AnswerClient(seen[-1].request_id, 200, b"done"))
        assert (await harness.read_request(reader)).endswith(b"done")
        await closing
        await asyncio.sleep(0.01)
        clients.dismiss(number)
        assert await reader.read() == b""
        writer.close()
        clients.stop_listening()

    asyncio.run(asyncio.wait_for(scene(), 20))


BAD = {
    "an unknown kind": (harness.request("GET", "/nothing"), 404),
    "another method": (harness.request("GET", "/place-order"), 400),
    "time that is none": (harness.request("GET", "/stock-check", time_left="soon"), 400),
    "time that is over": (harness.request("GET", "/stock-check", time_left="-1"), 400),
    "time without end": (harness.request("GET", "/stock-check", time_left="inf"), 400),
    "no headers": (b"GET /stock-check HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "an unknown tariff": (harness.request("GET", "/stock-check").replace(b"negoce", b"gratis"), 400),
    "an account that is none": (harness.request("GET", "/stock-check").replace(b"b4d6", b"zzzz"), 400),
    "units that are none": (harness.request("GET", "/stock-check").replace(b"units=2", b"units=nan"), 400),
    "spread that is none": (harness.request("GET", "/stock-check").replace(b"spread=2", b"spread=inf"), 400),
    "too many units": (harness.request("GET", "/stock-check").replace(b"units=2", b"units=4"), 400),
    "no units": (harness.request("GET", "/stock-check").replace(b"units=2", b"units=0"), 400),
    "units in other digits": (harness.request("GET", "/stock-check").replace(b"units=2", b"units=1_0"), 400),
    "a set too wide": (harness.request("GET", "/stock-check").replace(b"spread=2", b"spread=3"), 400),
    "a set from nowhere": (harness.request("GET", "/stock-check").replace(b"first=0", b"first=2"), 400),
    "no terms": (harness.request("GET", "/stock-check").replace(b"X-Call-Terms", b"X-Other"), 400),
    "no id": (harness.request("GET", "/stock-check", correlation_id=""), 400),
    "a body where there is none": (harness.request("GET", "/stock-check", b"abc"), 400),
    "a length and chunks": (harness.request("POST", "/place-order", b"abc", CHUNKS), 400),
    "a negative length": (
        harness.request("POST", "/place-order", extra_headers="Content-Length: -1\r\n"),
        400,
    ),
    "no HTTP": (b"\x16\x03\x01 what is this\r\n\r\n", 400),
    "far too much to send": (
        harness.request("POST", "/place-order", extra_headers="Content-Length: 60000000\r\n"),
        413,
    ),
    "two lengths": (harness.request("POST", "/place-order", b"abc", "Content-Length: 9\r\n"), 400),
}


def test_bad_input_is_answered_and_kills_nothing() -> None:
    async def scene() -> None:
        async with harness_with(lambda r, w: harness.OK) as (ingress, nodes, _):
            for name, (data, expected) in BAD.items():
                assert status(await ingress.exchange(data)) == expected, name
            assert not nodes.requests
            assert status(await ingress.send_request("GET", "/stock-check")) == 200
            assert ingress.process.returncode is None

    asyncio.run(scene())


def test_a_request_under_the_id_of_an_open_one_is_turned_away_and_harms_it_not() -> None:
    release = asyncio.Event()

    async def node(_: bytes, __: asyncio.StreamWriter) -> bytes:
        await release.wait()
        return harness.OK

    async def scene() -> None:
        async with harness_with(node) as (ingress, nodes, _):
            first = asyncio.create_task(
                ingress.exchange(harness.request("POST", "/place-order", time_left="3.0"))
            )
            while not nodes.requests:
                await asyncio.sleep(0.01)
            assert status(await ingress.send_request("GET", "/stock-check")) == 400
            release.set()
            assert status(await first) == 200
            assert len(nodes.requests) == 1
            assert status(await ingress.send_request("GET", "/stock-check")) == 200

    asyncio.run(scene())


def test_a_stock_node_that_talks_nonsense_costs_one_connection_only() -> None:
    served = 0

    def node(_: bytes, __: asyncio.StreamWriter) -> bytes:
        nonlocal served
        served += 1
        return b"\x00nonsense\r\n\r\n" if served == 20 else harness.OK

    async def scene() -> None:
        async with harness_with(node) as (ingress, _, _quotas):
            answers = [status(await ingress.send_request("POST", "/place-order")) for _ in range(22)]
            assert answers == [200] * 19 + [502] + [200] * 2

    asyncio.run(scene())


def test_a_client_that_leaves_has_its_attempt_called_off() -> None:
    async def scene() -> None:
        async with harness_with(harness.no_response) as (ingress, nodes, _):
            _, writer = await asyncio.open_connection(*ingress.address)
            writer.write(harness.request("POST", "/place-order", time_left="600"))
            while not nodes.requests:
                await asyncio.sleep(0.01)
            assert not nodes.connection_ended.is_set()
            writer.close()
            await asyncio.wait_for(nodes.connection_ended.wait(), 30)

    asyncio.run(scene())


def test_a_defect_in_one_event_is_told_and_stops_nothing_else() -> None:
    class Broken(Reducer):
        def step(self, event: ev.Event, now: datetime) -> list[fx.Effect]:
            if isinstance(event, ev.ClientDisconnected):
                raise RuntimeError("a defect")
            return [fx.Log(type(event).__name__)]

    async def scene() -> None:
        told: list[str] = []
        exchange = Exchange(
            Broken(ingress_config()), lambda: START, NodeListReader(()), told.append, lambda: None
        )
        for _ in range(30):
            exchange.report(ev.ClientDisconnected(1))
        exchange.report(ev.WakeUpDue())
        assert told[0] == "fault: ClientDisconnected: RuntimeError('a defect')"
        assert len(told) == 21 and told[-1] == "WakeUpDue"

    asyncio.run(scene())


def test_sigterm_answers_what_is_owed_and_what_still_comes_then_leaves_with_0() -> None:
    release = asyncio.Event()

    async def node(data: bytes, _: asyncio.StreamWriter) -> bytes:
        if b"/slow" in data:
            await release.wait()
        return harness.OK

    async def scene() -> None:
        async with harness_with(node) as (ingress, nodes, _):
            slow = asyncio.create_task(
                ingress.exchange(harness.request("POST", "/place-order/slow", correlation_id="slow"))
            )
            while not nodes.requests:
                await asyncio.sleep(0.01)
            idle_reader, idle_writer = await asyncio.open_connection(*ingress.address)
            ingress.process.send_signal(signal.SIGTERM)
            assert ingress.process.stderr is not None
            assert b"drain" in await ingress.process.stderr.readline()
            late = await ingress.send_request("GET", "/stock-check")
            assert status(late) == 200 and b"connection: close" in late.lower()
            assert await idle_reader.read() == b""  # closed by the ingress, with nothing on it
            idle_writer.close()
            release.set()
            assert status(await slow) == 200
            assert await ingress.process.wait() == 0

    asyncio.run(scene())


def test_signals_that_cross_end_the_ingress_once_and_its_client_has_its_answer() -> None:
    # The stock node hangs, so that the order has nothing left but its time; SIGTERM comes twice, and SIGHUP.
    async def scene() -> None:
        async with harness_with(harness.no_response) as (ingress, nodes, _):
            held = asyncio.create_task(
                ingress.exchange(harness.request("POST", "/place-order", time_left="1.0"))
            )
            while not nodes.requests:
                await asyncio.sleep(0.01)
            for sign in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                ingress.process.send_signal(sign)
            answer = await held
            assert status(answer) in (502, 504) and b"connection: close" in answer.lower()
            assert ingress.process.stderr is not None
            said = await asyncio.wait_for(ingress.process.stderr.read(), 60)
            assert await ingress.process.wait() == 0
            assert said.count(b"asked to stop") == 1 and b"fault" not in said
            assert len(nodes.requests) == 1

    asyncio.run(scene())


def test_a_start_needs_neither_the_node_list_nor_the_counter() -> None:
    # Guards a whole deployment that starts at once while discovery is down.
    async def scene() -> None:
        async with harness.stand_in(lambda r, w: harness.OK) as (node, _):
            nobody = f"127.0.0.1:{harness.free_port()}"
            async with harness.starting_ingress(node, nobody, nobody) as ingress:
                assert ingress.process.stderr is not None
                while b"ready" not in await asyncio.wait_for(ingress.process.stderr.readline(), 60):
                    assert ingress.process.returncode is None
                assert status(await ingress.exchange(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) == 200
                answer = await ingress.exchange(harness.request("POST", "/place-order", time_left="2.0"))
                assert status(answer) == 200

    asyncio.run(scene())
