"""Upgrades that fail: clients of the shared socket are answered as long as one process lives."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
import uvloop

from opalgauge.handover import messages, record
from opalgauge.handover.link import SOCKET_NAME, HandoverLink
from opalgauge.memory import effects, events
from tests import harness
from tests.kill_scene import KillScene, scene
from tests.reducer_rig import CHECK, START, ReducerRig, listed_server

STOPPED_ACCEPTING = b"no more connections, another process takes them"
CLOCKS = record.ClockReading(START, START - START)
BAN = events.BanStatus("s-1", 7, True, START)


async def wait_for_record(ingress: harness.Ingress, text: bytes) -> None:
    """Waits until the record of a process contains a text."""
    async with asyncio.timeout(20):
        while text not in await ingress.call_admin(b"record\n"):
            await asyncio.sleep(0.01)


async def new_client_status(running: KillScene) -> int:
    """The status of the answer to a new client."""
    client = await running.open_client("warm-new")
    client.start_reading()
    running.send_request("warm-new")
    async with asyncio.timeout(2):
        while not client.is_complete():
            await asyncio.sleep(0.01)
    return client.status


def test_the_old_process_accepts_again_when_the_new_one_dies() -> None:
    async def scenario() -> None:
        async with scene(3.0, successor=True) as (running, second):
            await running.connect("kept")  # keeps the old process from exiting
            async with second as new:
                termination = running.terminate()
                await wait_for_record(running.ingress, STOPPED_ACCEPTING)
                new.process.send_signal(signal.SIGKILL)
                await new.process.wait()
            assert await new_client_status(running) == 200
            await termination.finish()

    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.mark.parametrize("first", ["old", "new"])
def test_both_processes_are_asked_to_stop_and_clients_are_still_accepted(first: str) -> None:
    async def scenario() -> None:
        async with scene(3.0, successor=True) as (running, second):
            await running.connect("kept")
            async with second as new:
                order = (running.ingress, new) if first == "old" else (new, running.ingress)
                order[0].process.send_signal(signal.SIGTERM)
                await wait_for_record(order[0], STOPPED_ACCEPTING)
                order[1].process.send_signal(signal.SIGTERM)
                assert await new_client_status(running) == 200
            running.ingress.process.send_signal(signal.SIGKILL)

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_new_process_that_is_not_ready_takes_over_no_clients() -> None:
    async def scenario() -> None:
        async with scene(3.0, successor=True) as (running, _):
            await running.connect("kept")
            # A process that hangs after its hello: it is connected and does not serve.
            _, hanging = await asyncio.open_unix_connection(Path(running.ingress_arguments[4]) / SOCKET_NAME)
            hanging.write(record.encode_hello(record.Identity.of("n0", "hangs")))
            await wait_for_record(running.ingress, b"2 processes of this ingress")
            termination = running.terminate()
            await wait_for_record(running.ingress, b"asked to stop, successor False")
            assert await new_client_status(running) == 200
            await termination.finish()
            hanging.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_ban_that_cannot_be_written_reaches_the_other_process() -> None:
    async def scenario() -> None:
        async with scene(3.0, successor=True) as (running, second), second as new:
            folder = Path(running.ingress_arguments[4])
            (folder / "opalgauge.marks.new").mkdir()  # the ban file cannot be written while this exists
            assert (await running.ingress.call_admin(b"maint-on s-1\n")).startswith(b"200")
            async with asyncio.timeout(20):
                while b"skipped_backends=1" not in await new.call_admin(b"stats\n"):
                    await asyncio.sleep(0.01)
            assert not (folder / "opalgauge.marks").exists()

    asyncio.run(asyncio.wait_for(scenario(), 60))


# --- the reducer -------------------------------------------------------------------------------------------
def draining_rig(successor: bool = True) -> ReducerRig:
    rig = ReducerRig()
    rig.step(events.ClientConnected(1))
    rig.admit(CHECK)
    rig.step(events.OtherProcessAccepting(successor))
    rig.step(events.DrainRequested(successor))
    return rig


def test_clients_are_accepted_again_only_while_there_is_time_to_answer_them() -> None:
    rig = draining_rig()
    rig.step(events.OtherProcessAccepting(False))
    assert effects.ResumeAccepting() in rig.effects
    late = draining_rig()
    assert late.reducer.state.drain_schedule is not None
    late.now = late.reducer.state.drain_schedule.close_idle
    late.step(events.WakeUpDue())
    late.step(events.OtherProcessAccepting(False))
    assert effects.ResumeAccepting() not in late.effects
    alone = draining_rig(successor=False)
    alone.step(events.OtherProcessAccepting(False))
    assert effects.ResumeAccepting() not in alone.effects


def test_bans_of_the_other_process_are_persisted_once() -> None:
    rig = ReducerRig()
    rig.step(events.BansReceived((BAN,), persist=True))
    assert sum(isinstance(e, effects.PersistBans) for e in rig.effects) == 1
    rig.step(events.BansReceived((BAN,), persist=True))
    assert sum(isinstance(e, effects.PersistBans) for e in rig.effects) == 1


# --- the link ----------------------------------------------------------------------------------------------
def test_two_processes_learn_whether_the_other_serves_and_its_bans(tmp_path: Path) -> None:
    async def scenario() -> None:
        reported: dict[str, list[events.Event]] = {"old": [], "new": [], "third": []}

        def link(name: str) -> HandoverLink:
            new_link = HandoverLink(str(tmp_path), dict, lambda: CLOCKS, lambda _: None)
            new_link.attach(reported[name].append)
            return new_link

        async def until(name: str, event: events.Event) -> None:
            async with asyncio.timeout(10):
                while event not in reported[name]:
                    await asyncio.sleep(0.001)
            reported[name].remove(event)

        old, new, third = link("old"), link("new"), link("third")
        await old.start()
        old.send_serving(True)
        await new.start()
        await until("new", events.OtherProcessAccepting(True))
        assert events.OtherProcessAccepting(True) not in reported["old"], "it is not ready"
        new.send_serving(True)
        await until("old", events.OtherProcessAccepting(True))
        new.send_bans((BAN,))
        await until("old", events.BansReceived((BAN,), persist=True))
        await third.start()
        third.send_serving(True)
        new.send_serving(False)
        third.close()
        await until("old", events.OtherProcessAccepting(False))
        old.close()
        await until("new", events.OtherProcessAccepting(False))
        new.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_sending_to_a_process_that_has_just_ended_does_no_harm(tmp_path: Path) -> None:
    # Found by the soak test: a new process that had received nothing crashed when it sent that it serves.
    async def scenario() -> None:
        gone = asyncio.Event()

        async def old(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()
            gone.set()

        async with await asyncio.start_unix_server(old, str(tmp_path / SOCKET_NAME)) as server:
            new = HandoverLink(str(tmp_path), dict, lambda: CLOCKS, lambda _: None)
            await new.start()
            await gone.wait()
            assert new.predecessor is not None
            new.predecessor.transport.abort()
            new.send_serving(True)
            for _ in range(3):
                await asyncio.sleep(0)
                new.send_bans((BAN,))
            new.close()
            server.close()

    uvloop.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{",
        b"[]\n",
        b'{"serving":1}\n',
        b'{"bans":[[1]]}\n',
        b'{"later":{}}\n',
        b'{"list":{}}\n',
        b"[" * 100_000,
    ],
)
def test_an_unknown_message_is_ignored(line: bytes) -> None:
    assert messages.decode(line) is None


def test_messages_are_decoded_as_they_were_encoded() -> None:
    for message in (
        messages.Serving(True),
        messages.Serving(False),
        messages.Bans((BAN,)),
        messages.Bans(()),
        messages.List(
            events.ToldList("127.0.0.1:8500", 42, (listed_server(1), listed_server(2, started=3.5)))
        ),
    ):
        assert messages.decode(messages.encode(message)) == message
