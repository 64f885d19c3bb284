"""The record of the last events and effects: bounded, returned on request and written on a signal."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from dataclasses import fields
from pathlib import Path

from opalgauge.memory import effects, events
from opalgauge.wire.recorder import ENTRY_FORMATS, MAX_ENTRIES, Recorder
from tests import harness
from tests.race_rig import run_scene, scene
from tests.reducer_rig import PLACE, START, ReducerRig


def test_a_request_can_be_followed_from_its_head_to_its_answer() -> None:
    rig, recorder = ReducerRig(), Recorder()
    request_id = rig.admit(PLACE)
    rig.step(events.ConnectionLost(rig.last_attempt().connection_id, events.Progress.WRITTEN))
    for effect in rig.effects:
        recorder.record(effect, START)
    lines = [line for line in recorder.lines() if f"request {request_id} " in line]
    assert f"request {request_id} sent over connection" in lines[0]
    assert f"request {request_id} answered 502: its attempts failed" in lines[1]


def test_the_record_is_bounded() -> None:
    recorder = Recorder()
    for n in range(MAX_ENTRIES + 10):
        recorder.record(events.ClientConnected(n), START)
    assert len(recorder.lines()) == MAX_ENTRIES and recorder.lines()[0].endswith("client 10 connected")


def test_every_answer_and_close_has_a_reason() -> None:
    effects_with_reason = {
        effect_type for effect_type in vars(effects).values() if hasattr(effect_type, "__dataclass_fields__")
    }
    effects_with_reason = {
        effect_type
        for effect_type in effects_with_reason
        if "reason" in {f.name for f in fields(effect_type)}
    }
    assert (
        effects_with_reason
        == {effects.AnswerClient, effects.CloseClient, effects.CloseConnection}
        <= set(ENTRY_FORMATS)
    )
    source = (Path(harness.ROOT) / "opalgauge/memory/reducer.py").read_text()
    assert "Reason.UNSPECIFIED" not in source


def test_the_record_is_returned_by_the_admin_endpoint_and_written_on_a_signal() -> None:
    async def scenario() -> None:
        def ok(_: bytes, __: asyncio.StreamWriter) -> bytes:
            return harness.OK

        with tempfile.TemporaryDirectory() as scratch:
            async with (
                harness.stand_in(ok) as (server_address, _),
                harness.stand_in(harness.counter()) as (counter_address, _),
                harness.stand_in(harness.no_response) as (list_address, _),
                harness.ready_ingress(
                    server_address, counter_address, list_address, temp_folder=scratch
                ) as ingress,
            ):
                await ingress.exchange(harness.request("GET", "/stock-check", correlation_id="followed"))
                answer = await ingress.call_admin(b"record\n")
                assert answer.startswith(b"200 record\n") and answer.endswith(b"EOF\n")
                assert b"id followed" in answer and b"answered 200: a server answered" in answer
                ingress.process.send_signal(signal.SIGUSR1)
                path = Path(scratch) / "opalgauge.n0.record"
                async with asyncio.timeout(20):
                    while not path.exists() or b"id followed" not in path.read_bytes():
                        await asyncio.sleep(0.02)

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_failing_effect_does_not_stop_the_others() -> None:
    async def scenario() -> None:
        def fails(_: object) -> None:
            raise OSError("cannot be written")

        async with scene() as here:
            here.runtime.effect_handlers[effects.Log] = fails
            here.runtime.report(events.DrainRequested(has_successor=True))  # logs, then accepts no more
            assert here.clients.listener is not None and here.clients.listener.acceptor.suspended
            assert here.log == ["fault: Log: OSError('cannot be written')"]

    run_scene(scenario)
