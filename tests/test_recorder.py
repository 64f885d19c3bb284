"""The record of what a process did last: asked for, written on a signal, and bounded."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from dataclasses import fields
from pathlib import Path

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.wire.recorder import KINDS, MOST, Recorder
from tests import harness
from tests.race_rig import run_scene, scene
from tests.reducer_rig import PLACE, START, ReducerRig


def test_a_request_can_be_followed_from_its_head_to_its_answer() -> None:
    rig, recorder = ReducerRig(), Recorder()
    number = rig.admit(PLACE)
    rig.step(ev.ConnectionLost(rig.last_attempt().connection_id, ev.Progress.WRITTEN))
    for effect in rig.effects:
        recorder.note(effect, START)
    lines = [line for line in recorder.lines() if f"request {number} " in line]
    assert f"request {number} sent over connection" in lines[0]
    assert f"request {number} answered 502: its attempts failed" in lines[1]


def test_the_record_is_bounded() -> None:
    recorder = Recorder()
    for n in range(MOST + 10):
        recorder.note(ev.ClientConnected(n), START)
    assert len(recorder.lines()) == MOST and recorder.lines()[0].endswith("client 10 connected")


def test_every_answer_and_close_says_why() -> None:
    with_a_reason = {kind for kind in vars(fx).values() if hasattr(kind, "__dataclass_fields__")}
    with_a_reason = {kind for kind in with_a_reason if "reason" in {f.name for f in fields(kind)}}
    assert with_a_reason == {fx.AnswerClient, fx.CloseClient, fx.CloseConnection} <= set(KINDS)
    source = (Path(harness.ROOT) / "opalgauge/memory/reducer.py").read_text()
    assert "Reason.UNSPECIFIED" not in source


def test_it_is_told_at_the_admin_endpoint_and_written_on_a_signal() -> None:
    async def play() -> None:
        def ok(_: bytes, __: asyncio.StreamWriter) -> bytes:
            return harness.OK

        with tempfile.TemporaryDirectory() as scratch:
            async with (
                harness.party(ok) as (node_at, _),
                harness.party(harness.counter()) as (quota_at, _),
                harness.party(harness.silent) as (list_at, _),
                harness.ingress(node_at, quota_at, list_at, scratch=scratch) as ingress,
            ):
                await ingress.raw(harness.request("GET", "/stock-check", name="followed"))
                told = await ingress.call(b"record\n")
                assert told.startswith(b"200 record\n") and told.endswith(b"EOF\n")
                assert b"id followed" in told and b"answered 200: a server answered" in told
                ingress.process.send_signal(signal.SIGUSR1)
                path = Path(scratch) / "opalgauge.n0.record"
                async with asyncio.timeout(20):
                    while not path.exists() or b"id followed" not in path.read_bytes():
                        await asyncio.sleep(0.02)

    asyncio.run(asyncio.wait_for(play(), 60))


def test_an_effect_that_fails_takes_no_other_along() -> None:
    async def play_it() -> None:
        def fails(_: object) -> None:
            raise OSError("cannot be written")

        async with scene() as here:
            here.exchange.do[fx.Log] = fails
            here.exchange.report(ev.DrainRequested(has_successor=True))  # logs, then accepts no more
            assert here.clients.listener is not None and here.clients.listener.acceptor.suspended
            assert here.log == ["fault: Log: OSError('cannot be written')"]

    run_scene(play_it)
