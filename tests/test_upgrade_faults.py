"""An upgrade that goes wrong: who connects to the shared socket is answered as long as one process lives."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
import uvloop

from opalgauge.handover import messages, record
from opalgauge.handover.link import NAME, Link
from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from tests import harness
from tests.kill_scene import Scene, scene
from tests.reducer_rig import CHECK, START, ReducerRig

STOPPED_ACCEPTING = b"no more connections, another process takes them"
AT = record.Moment(START, START - START)
BAN = ev.BanStatus("s-1", 7, True, START)


async def has_recorded(ingress: harness.Ingress, words: bytes) -> None:
    """Until a process's record holds these words."""
    async with asyncio.timeout(20):
        while words not in await ingress.call_console(b"record\n"):
            await asyncio.sleep(0.01)


async def status_of_a_new_client(here: Scene) -> int:
    client = await here.open("warm-new")
    client.follow()
    here.place("warm-new")
    async with asyncio.timeout(2):
        while not client.is_whole():
            await asyncio.sleep(0.01)
    return client.status


def test_the_old_process_accepts_again_when_the_new_one_dies() -> None:
    async def play() -> None:
        async with scene(3.0, successor=True) as (here, second):
            await here.connect("kept")  # by which the old process stays
            async with second as new:
                stop = here.stop()
                await has_recorded(here.ingress, STOPPED_ACCEPTING)
                new.process.send_signal(signal.SIGKILL)
                await new.process.wait()
            assert await status_of_a_new_client(here) == 200
            await stop.end()

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("first", ["old", "new"])
def test_both_processes_are_asked_to_stop_and_clients_are_still_accepted(first: str) -> None:
    async def play() -> None:
        async with scene(3.0, successor=True) as (here, second):
            await here.connect("kept")
            async with second as new:
                order = (here.ingress, new) if first == "old" else (new, here.ingress)
                order[0].process.send_signal(signal.SIGTERM)
                await has_recorded(order[0], STOPPED_ACCEPTING)
                order[1].process.send_signal(signal.SIGTERM)
                assert await status_of_a_new_client(here) == 200
            here.ingress.process.send_signal(signal.SIGKILL)

    asyncio.run(asyncio.wait_for(play(), 60))


def test_a_new_process_that_is_not_ready_takes_nobody_s_clients_away() -> None:
    async def play() -> None:
        async with scene(3.0, successor=True) as (here, _):
            await here.connect("kept")
            # One that hangs behind its first line: it is there, and does not serve.
            _, hanging = await asyncio.open_unix_connection(Path(here.parties[4]) / NAME)
            hanging.write(record.hello(record.Identity.of("n0", "hangs")))
            await has_recorded(here.ingress, b"2 processes of this ingress")
            stop = here.stop()
            await has_recorded(here.ingress, b"asked to stop, successor False")
            assert await status_of_a_new_client(here) == 200
            await stop.end()
            hanging.close()

    asyncio.run(asyncio.wait_for(play(), 60))


def test_a_ban_that_cannot_be_written_reaches_the_other_process() -> None:
    async def play() -> None:
        async with scene(3.0, successor=True) as (here, second), second as new:
            folder = Path(here.parties[4])
            (folder / "opalgauge.marks.new").mkdir()  # it cannot be written while this stands here
            assert (await here.ingress.call_console(b"maint-on s-1\n")).startswith(b"200")
            async with asyncio.timeout(20):
                while b"skipped_backends=1" not in await new.call_console(b"stats\n"):
                    await asyncio.sleep(0.01)
            assert not (folder / "opalgauge.marks").exists()

    asyncio.run(asyncio.wait_for(play(), 60))


# --- the reducer -------------------------------------------------------------------------------------------
def draining(successor: bool = True) -> ReducerRig:
    rig = ReducerRig()
    rig.step(ev.ClientConnected(1))
    rig.admit(CHECK)
    rig.step(ev.OtherProcessAccepting(successor))
    rig.step(ev.DrainRequested(successor))
    return rig


def test_clients_are_accepted_again_only_while_there_is_time_to_answer_them() -> None:
    rig = draining()
    rig.step(ev.OtherProcessAccepting(False))
    assert fx.ResumeAccepting() in rig.effects
    late = draining()
    assert late.reducer.state.drain_schedule is not None
    late.now = late.reducer.state.drain_schedule.close_idle
    late.step(ev.WakeUpDue())
    late.step(ev.OtherProcessAccepting(False))
    assert fx.ResumeAccepting() not in late.effects
    alone = draining(successor=False)
    alone.step(ev.OtherProcessAccepting(False))
    assert fx.ResumeAccepting() not in alone.effects


def test_bans_of_the_other_process_are_kept_once() -> None:
    rig = ReducerRig()
    rig.step(ev.BansReceived((BAN,), persist=True))
    assert sum(isinstance(e, fx.PersistBans) for e in rig.effects) == 1
    rig.step(ev.BansReceived((BAN,), persist=True))
    assert sum(isinstance(e, fx.PersistBans) for e in rig.effects) == 1


# --- the link ----------------------------------------------------------------------------------------------
def test_two_processes_hear_whether_the_other_serves_and_what_it_bans(tmp_path: Path) -> None:
    async def play() -> None:
        heard: dict[str, list[ev.Event]] = {"old": [], "new": [], "third": []}

        def link(name: str) -> Link:
            made = Link(str(tmp_path), dict, lambda: AT, lambda _: None)
            made.go_on(heard[name].append)
            return made

        async def until(name: str, event: ev.Event) -> None:
            async with asyncio.timeout(10):
                while event not in heard[name]:
                    await asyncio.sleep(0.001)
            heard[name].remove(event)

        old, new, third = link("old"), link("new"), link("third")
        await old.start()
        old.tell_serving(True)
        await new.start()
        await until("new", ev.OtherProcessAccepting(True))
        assert ev.OtherProcessAccepting(True) not in heard["old"], "it is not ready"
        new.tell_serving(True)
        await until("old", ev.OtherProcessAccepting(True))
        new.tell_bans((BAN,))
        await until("old", ev.BansReceived((BAN,), persist=True))
        await third.start()
        third.tell_serving(True)
        new.tell_serving(False)
        third.close()
        await until("old", ev.OtherProcessAccepting(False))
        old.close()
        await until("new", ev.OtherProcessAccepting(False))
        new.close()

    asyncio.run(asyncio.wait_for(play(), 30))


def test_telling_a_process_that_has_just_ended_does_no_harm(tmp_path: Path) -> None:
    # The soak found it: a start that was told nothing raised when it said that it serves, and crashed.
    async def play() -> None:
        gone = asyncio.Event()

        async def old(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()
            gone.set()

        async with await asyncio.start_unix_server(old, str(tmp_path / NAME)) as server:
            new = Link(str(tmp_path), dict, lambda: AT, lambda _: None)
            await new.start()
            await gone.wait()
            assert new.link is not None
            new.link.transport.abort()
            new.tell_serving(True)
            for _ in range(3):
                await asyncio.sleep(0)
                new.tell_bans((BAN,))
            new.close()
            server.close()

    uvloop.run(asyncio.wait_for(play(), 20))


@pytest.mark.parametrize(
    "line", [b"", b"{", b"[]\n", b'{"serving":1}\n', b'{"bans":[[1]]}\n', b'{"later":{}}\n', b"[" * 100_000]
)
def test_a_line_of_another_version_is_passed_over(line: bytes) -> None:
    assert messages.read(line) is None


def test_what_is_told_is_read_back() -> None:
    for message in (
        messages.Serving(True),
        messages.Serving(False),
        messages.Bans((BAN,)),
        messages.Bans(()),
    ):
        assert messages.read(messages.write(message)) == message
