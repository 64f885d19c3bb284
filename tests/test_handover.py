"""Two processes on one listening socket: nothing is turned back, and what staff said holds over both."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import socket
import tempfile
from datetime import timedelta
from pathlib import Path

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from opalgauge.handover import record
from opalgauge.handover.link import NAME, Link
from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from starlinggap import interface as i
from starlinggap import snapshot
from tests import harness
from tests.gateway_rig import GatewayRig, settings
from tests.reducer_rig import CHECK, START, ReducerRig

AT = record.Moment(START, timedelta(hours=5))


def later(seconds: float) -> record.Moment:
    span = timedelta(seconds=seconds)
    return record.Moment(AT.now + span, AT.steady + span)


def test_a_process_with_a_successor_leaves_once_its_clients_have_their_last_answers() -> None:
    rig = ReducerRig()
    for client in (1, 2):
        rig.step(ev.ClientConnected(client))
    rig.admit(CHECK)
    line = rig.last_attempt().connection_id
    rig.step(ev.DrainRequested(has_successor=True))
    assert fx.StopAccepting() in rig.effects and fx.StopListening() not in rig.effects
    rig.step(ev.ServerAnswered(line, i.End.OK, True, b""))
    assert rig.answers[-1].close_connection
    rig.step(ev.ClientDisconnected(1))
    assert fx.Exit() not in rig.effects  # the other client may still ask
    rig.step(ev.ClientDisconnected(2))
    assert fx.Exit() in rig.effects


def test_an_upgrade_under_load_turns_nothing_back_and_keeps_what_staff_said() -> None:
    async def scene() -> None:
        async def slow(_: bytes, __: asyncio.StreamWriter) -> bytes:
            await asyncio.sleep(0.02)
            return harness.OK

        with socket.socket() as listener, tempfile.TemporaryDirectory() as scratch:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            async with (
                harness.stand_in(slow) as (node_at, _),
                harness.stand_in(harness.counter()) as (quota_at, _),
                harness.stand_in(harness.no_response) as (list_at, _),
                harness.ready_ingress(node_at, quota_at, list_at, listener, scratch) as old,
            ):
                over = False
                answers: list[bytes] = []

                async def client(me: int) -> None:
                    """Asks over a kept connection, as long as that is left open."""
                    n, reader, writer = 0, None, None
                    while not over:
                        if writer is None:
                            reader, writer = await asyncio.open_connection(*old.address)
                        assert reader is not None
                        n += 1
                        writer.write(harness.request("GET", "/stock-check", correlation_id=f"{me}-{n}"))
                        answers.append(await harness.read_request(reader))
                        if b"connection: close" in answers[-1].lower():
                            writer.close()
                            writer = None
                    if writer is not None:
                        writer.close()

                asking = [asyncio.create_task(client(me)) for me in range(6)]
                assert (await old.call_console(b"maint-on s-1\n")).startswith(b"200")
                async with harness.ready_ingress(node_at, quota_at, list_at, listener, scratch) as new:
                    assert (await new.call_console(b"stats\n")).find(b"skipped_backends=1") > 0
                    for process in (old, new):  # a new configuration in the overlap, at either
                        await process.reconfigure()
                    old.process.send_signal(signal.SIGTERM)
                    assert (await new.call_console(b"maint-off s-1\n")).startswith(b"200")
                    assert await asyncio.wait_for(old.process.wait(), 20) == 0
                    await asyncio.sleep(0.3)
                    over = True
                    await asyncio.gather(*asking)
                    assert (await new.call_console(b"status\n")).startswith(b"200")
                    codes = {answer.split(b" ")[1] for answer in answers}
                    assert codes == {b"200", b"429"}

    asyncio.run(scene())


def test_what_one_gateway_has_learned_another_takes_over_and_refuses_what_is_no_good() -> None:
    old = GatewayRig(settings(), servers=3)
    for n in range(40):
        old.request(account=n % 5, step=0.01)
        if old.last_state() == "sent":
            old.finish(i.End.ERROR if n == 7 else i.End.OK)
    old.gateway.call_share = 0.4
    new = GatewayRig(settings(), servers=3, seed=2)
    told = json.loads(json.dumps(snapshot.export_state(old.gateway)))
    snapshot.import_state(new.gateway, told, old.now)
    assert snapshot.export_state(new.gateway) == told and new.gateway.call_share == 0.4
    assert new.gateway.accounts[1].deficit > 0
    spoils: list[dict[str, object]] = [{"plans": 9}, {"customers": [[1]]}, {"learned": {}}, {"servers": 3}]
    for spoil in spoils:
        fresh = GatewayRig(settings(), servers=3)
        before = snapshot.export_state(fresh.gateway)
        with pytest.raises(snapshot.SnapshotError):
            snapshot.import_state(fresh.gateway, {**told, **spoil}, old.now)
        assert snapshot.export_state(fresh.gateway) == before


@given(st.integers(0, 400), st.binary(max_size=4))
@hypothesis.settings(derandomize=True, max_examples=80)
def test_a_record_that_is_torn_old_or_of_another_version_is_none(cut: int, noise: bytes) -> None:
    whole = record.write({"a": [1.5, None]}, AT)
    assert record.read(whole, later(4)) == record.Handed({"a": [1.5, None]}, timedelta(0))
    assert record.read(whole, later(6)) is None
    assert record.read(whole.replace(b"memory-1", b"memory-2"), AT) is None
    spoilt = whole[:cut] + noise
    assert spoilt == whole or record.read(spoilt, AT) is None


@pytest.mark.parametrize("step", [3600, -3600, 20, -20])
def test_a_record_is_as_old_as_it_is_whatever_the_wall_clock_says(step: int) -> None:
    whole = record.write({"a": 1}, AT)
    stepped = record.Moment(START + timedelta(seconds=3 + step), AT.steady + timedelta(seconds=3))
    assert record.read(whole, stepped) == record.Handed({"a": 1}, timedelta(seconds=-step))
    old = record.Moment(START + timedelta(seconds=6 + step), AT.steady + timedelta(seconds=6))
    assert record.read(whole, old) is None
    # What the version before wrote tells no more than the wall clock does.
    body = b'{"a":1}'
    head = f"{record.TITLE} {len(body)} {(START - record.EPOCH) // record.MICROSECOND} "
    before = f"{head}{hashlib.sha256(body).hexdigest()}\n".encode() + body
    assert record.read(before, AT) == record.Handed({"a": 1}, timedelta(0))
    assert record.read(before, stepped) is None


def test_a_record_of_which_a_bit_has_turned_is_none_or_as_it_was() -> None:
    whole = record.write({"a": [1.5, None]}, AT)
    for at in range(len(whole)):
        turned = whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :]
        assert record.read(turned, AT) in (None, record.Handed({"a": [1.5, None]}, timedelta(0)))


def test_two_processes_share_one_part_of_a_ceiling() -> None:
    rig, heard = ReducerRig(), list[i.Event]()
    heard = rig.record_gateway_events()
    for processes, parts in ((1, 1), (2, 2), (1, 1)):
        rig.step(ev.ProcessCountChanged(processes))
        rig.request(CHECK)
        assert [e for e in heard if isinstance(e, i.Request)][-1].account_workers == parts


def test_the_link_hands_over_and_tells_who_lives(tmp_path: Path) -> None:
    async def scene() -> None:
        heard: dict[str, list[ev.Event]] = {"old": [], "new": [], "third": []}
        said: list[str] = []

        def link(name: str) -> Link:
            made = Link(str(tmp_path), lambda: {"from": name}, lambda: AT, said.append)
            made.go_on(heard[name].append)
            return made

        async def until(name: str, event: ev.Event) -> None:
            while event not in heard[name]:
                await asyncio.sleep(0.001)

        dead = socket.socket(socket.AF_UNIX)
        dead.bind(str(tmp_path / NAME))
        dead.close()  # a leftover: nobody listens there
        old, new, third = link("old"), link("new"), link("third")
        await old.start()
        assert not heard["old"]
        await new.start()
        assert heard["new"] == [ev.ProcessCountChanged(2), ev.SnapshotReceived({"from": "old"})]
        await until("old", ev.ProcessCountChanged(2))
        old.close()
        await until("new", ev.ProcessCountChanged(1))
        while new.server is None:
            await asyncio.sleep(0.001)
        await third.start()  # a second upgrade
        assert ev.SnapshotReceived({"from": "new"}) in heard["third"]
        third.close()  # which never becomes ready
        await until("new", ev.ProcessCountChanged(1))
        new.close()
        assert not said

    asyncio.run(asyncio.wait_for(scene(), 20))


STRANGERS = {
    "another ingress": (record.Identity.of("n1", {"classes": [1]}), False),
    "another customer's settings": (record.Identity.of("n0", {"classes": [2]}), True),
}


@pytest.mark.parametrize("stranger", STRANGERS)
def test_what_others_have_learned_is_not_used(stranger: str, tmp_path: Path) -> None:
    other, beside_too = STRANGERS[stranger]

    async def scene() -> None:
        old_heard, new_heard, said = list[ev.Event](), list[ev.Event](), list[str]()
        mine = record.Identity.of("n0", {"classes": [1]})
        old = Link(str(tmp_path), lambda: {"from": "old"}, lambda: AT, said.append, other)
        old.go_on(old_heard.append)
        new = Link(str(tmp_path), lambda: {"from": "new"}, lambda: AT, said.append, mine)
        new.go_on(new_heard.append)
        await old.start()
        await new.start()
        assert not [e for e in new_heard if isinstance(e, ev.SnapshotReceived)]
        assert len(said) == 1 and said[0].startswith("handover: ")
        # Two processes of one ingress share its part of the limits, whatever they work by; others do not.
        assert new_heard[-1] == ev.ProcessCountChanged(2 if beside_too else 1)
        if beside_too:
            while ev.ProcessCountChanged(2) not in old_heard:
                await asyncio.sleep(0)
        else:
            while old.callers:
                await asyncio.sleep(0)
            assert ev.ProcessCountChanged(2) not in old_heard
            assert new.server is None and (tmp_path / NAME).exists(), "the other's place is left to it"
        new.close()
        old.close()

    asyncio.run(asyncio.wait_for(scene(), 20))


@given(st.binary(max_size=80))
@hypothesis.settings(derandomize=True, max_examples=80)
def test_whatever_a_caller_says_first_is_answered_without_what_was_learned(said: bytes) -> None:
    mine = record.Identity.of("n0", {})
    for hello in (said, record.hello(mine)[:-3] + said, said + record.hello(mine)):
        if hello.removesuffix(b"\n") != record.hello(mine).removesuffix(b"\n"):
            assert record.answer(hello, mine, lambda: {"a": 1}, AT) in (record.STRANGER, record.UNUSABLE)


@pytest.mark.parametrize("said", [b"", record.write({"a": 1}, AT)[:-3], b"unknown\n", b"x" * 100_000])
def test_an_old_process_that_dies_in_the_middle_of_handing_over_is_left(said: bytes, tmp_path: Path) -> None:
    async def scene() -> None:
        async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(said)
            writer.close()
            server.close()

        server = await asyncio.start_unix_server(old, str(tmp_path / NAME))
        heard, told = list[ev.Event](), list[str]()
        new = Link(str(tmp_path), lambda: {}, lambda: AT, told.append)
        new.go_on(heard.append)
        await new.start()
        while not heard or heard[-1] != ev.ProcessCountChanged(1) or new.server is None:
            await asyncio.sleep(0)
        assert not [e for e in heard if isinstance(e, ev.SnapshotReceived)]
        assert len(told) == 1 and told[0].startswith("handover: the old process hands over nothing")
        new.close()

    asyncio.run(asyncio.wait_for(scene(), 20))
