"""Two processes on one listening socket: no request is lost, bans hold for both, state is handed over."""

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
from opalgauge.handover.link import SOCKET_NAME, HandoverLink
from opalgauge.memory import effects, events
from starlinggap import interface, snapshot
from tests import harness
from tests.gateway_rig import GatewayRig, settings
from tests.reducer_rig import CHECK, START, ReducerRig

CLOCKS = record.ClockReading(START, timedelta(hours=5))


def clocks_after(seconds: float) -> record.ClockReading:
    elapsed = timedelta(seconds=seconds)
    return record.ClockReading(CLOCKS.wall_clock + elapsed, CLOCKS.monotonic + elapsed)


def test_a_process_with_a_successor_exits_once_its_clients_have_their_last_answers() -> None:
    rig = ReducerRig()
    for client in (1, 2):
        rig.step(events.ClientConnected(client))
    rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.DrainRequested(has_successor=True))
    assert effects.StopAccepting() in rig.effects and effects.StopListening() not in rig.effects
    rig.step(events.ServerAnswered(connection_id, interface.End.OK, True, b""))
    assert rig.answers[-1].close_connection
    rig.step(events.ClientDisconnected(1))
    assert effects.Exit() not in rig.effects  # the other client may still send a request
    rig.step(events.ClientDisconnected(2))
    assert effects.Exit() in rig.effects


def test_an_upgrade_under_load_rejects_nothing_and_keeps_bans() -> None:
    async def scenario() -> None:
        async def slow(_: bytes, __: asyncio.StreamWriter) -> bytes:
            await asyncio.sleep(0.02)
            return harness.OK

        with socket.socket() as listener, tempfile.TemporaryDirectory() as scratch:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            async with (
                harness.stand_in(slow) as (server_address, _),
                harness.stand_in(harness.counter()) as (counter_address, _),
                harness.stand_in(harness.no_response) as (list_address, _),
                harness.ready_ingress(
                    server_address, counter_address, list_address, listener, scratch
                ) as old,
            ):
                stopped = False
                answers: list[bytes] = []

                async def client(me: int) -> None:
                    """Sends requests over a kept connection; opens a new one when it is closed."""
                    n, reader, writer = 0, None, None
                    while not stopped:
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
                assert (await old.call_admin(b"maint-on s-1\n")).startswith(b"200")
                async with harness.ready_ingress(
                    server_address, counter_address, list_address, listener, scratch
                ) as new:
                    assert (await new.call_admin(b"stats\n")).find(b"skipped_backends=1") > 0
                    for process in (old, new):  # both are reconfigured while both run
                        await process.reconfigure()
                    old.process.send_signal(signal.SIGTERM)
                    assert (await new.call_admin(b"maint-off s-1\n")).startswith(b"200")
                    assert await asyncio.wait_for(old.process.wait(), 20) == 0
                    await asyncio.sleep(0.3)
                    stopped = True
                    await asyncio.gather(*asking)
                    assert (await new.call_admin(b"status\n")).startswith(b"200")
                    codes = {answer.split(b" ")[1] for answer in answers}
                    assert codes == {b"200", b"429"}

    asyncio.run(scenario())


def test_a_gateway_imports_a_snapshot_and_rejects_a_damaged_one() -> None:
    old = GatewayRig(settings(), servers=3)
    for n in range(40):
        old.request(account=n % 5, step=0.01)
        if old.last_state() == "sent":
            old.finish(interface.End.ERROR if n == 7 else interface.End.OK)
    old.gateway.call_share = 0.4
    new = GatewayRig(settings(), servers=3, seed=2)
    exported = json.loads(json.dumps(snapshot.export_state(old.gateway)))
    snapshot.import_state(new.gateway, exported, old.now)
    assert snapshot.export_state(new.gateway) == exported and new.gateway.call_share == 0.4
    assert new.gateway.accounts[1].deficit > 0
    damages: list[dict[str, object]] = [{"plans": 9}, {"customers": [[1]]}, {"learned": {}}, {"servers": 3}]
    for damage in damages:
        fresh = GatewayRig(settings(), servers=3)
        before = snapshot.export_state(fresh.gateway)
        with pytest.raises(snapshot.SnapshotError):
            snapshot.import_state(fresh.gateway, {**exported, **damage}, old.now)
        assert snapshot.export_state(fresh.gateway) == before


@given(st.integers(0, 400), st.binary(max_size=4))
@hypothesis.settings(derandomize=True, max_examples=80)
def test_a_record_that_is_truncated_old_or_of_another_version_is_rejected(cut: int, noise: bytes) -> None:
    encoded = record.encode({"a": [1.5, None]}, CLOCKS)
    assert record.decode(encoded, clocks_after(4)) == record.ReceivedSnapshot(
        {"a": [1.5, None]}, timedelta(0)
    )
    assert record.decode(encoded, clocks_after(6)) is None
    assert record.decode(encoded.replace(b"memory-1", b"memory-2"), CLOCKS) is None
    damaged = encoded[:cut] + noise
    assert damaged == encoded or record.decode(damaged, CLOCKS) is None


@pytest.mark.parametrize("step", [3600, -3600, 20, -20])
def test_the_age_of_a_record_does_not_depend_on_the_wall_clock(step: int) -> None:
    encoded = record.encode({"a": 1}, CLOCKS)
    stepped = record.ClockReading(
        START + timedelta(seconds=3 + step), CLOCKS.monotonic + timedelta(seconds=3)
    )
    assert record.decode(encoded, stepped) == record.ReceivedSnapshot({"a": 1}, timedelta(seconds=-step))
    old = record.ClockReading(START + timedelta(seconds=6 + step), CLOCKS.monotonic + timedelta(seconds=6))
    assert record.decode(encoded, old) is None
    # The previous version wrote no monotonic clock: the age follows from the wall clock.
    body = b'{"a":1}'
    head = f"{record.TITLE} {len(body)} {(START - record.EPOCH) // record.MICROSECOND} "
    previous_format = f"{head}{hashlib.sha256(body).hexdigest()}\n".encode() + body
    assert record.decode(previous_format, CLOCKS) == record.ReceivedSnapshot({"a": 1}, timedelta(0))
    assert record.decode(previous_format, stepped) is None


def test_a_record_with_a_flipped_bit_is_rejected_or_unchanged() -> None:
    encoded = record.encode({"a": [1.5, None]}, CLOCKS)
    for position in range(len(encoded)):
        flipped = encoded[:position] + bytes([encoded[position] ^ 1]) + encoded[position + 1 :]
        assert record.decode(flipped, CLOCKS) in (
            None,
            record.ReceivedSnapshot({"a": [1.5, None]}, timedelta(0)),
        )


def test_two_processes_share_one_part_of_a_ceiling() -> None:
    rig, handled = ReducerRig(), list[interface.Event]()
    handled = rig.record_gateway_events()
    for processes, parts in ((1, 1), (2, 2), (1, 1)):
        rig.step(events.ProcessCountChanged(processes))
        rig.request(CHECK)
        assert [e for e in handled if isinstance(e, interface.Request)][-1].account_workers == parts


def test_the_link_hands_over_and_reports_which_processes_live(tmp_path: Path) -> None:
    async def scenario() -> None:
        reported: dict[str, list[events.Event]] = {"old": [], "new": [], "third": []}
        log: list[str] = []

        def link(name: str) -> HandoverLink:
            new_link = HandoverLink(str(tmp_path), lambda: {"from": name}, lambda: CLOCKS, log.append)
            new_link.attach(reported[name].append)
            return new_link

        async def until(name: str, event: events.Event) -> None:
            while event not in reported[name]:
                await asyncio.sleep(0.001)

        dead = socket.socket(socket.AF_UNIX)
        dead.bind(str(tmp_path / SOCKET_NAME))
        dead.close()  # left over: nobody listens on it
        old, new, third = link("old"), link("new"), link("third")
        await old.start()
        assert not reported["old"]
        await new.start()
        assert reported["new"] == [events.ProcessCountChanged(2), events.SnapshotReceived({"from": "old"})]
        await until("old", events.ProcessCountChanged(2))
        old.close()
        await until("new", events.ProcessCountChanged(1))
        while new.server is None:
            await asyncio.sleep(0.001)
        await third.start()  # a second upgrade
        assert events.SnapshotReceived({"from": "new"}) in reported["third"]
        third.close()  # it never becomes ready
        await until("new", events.ProcessCountChanged(1))
        new.close()
        assert not log

    asyncio.run(asyncio.wait_for(scenario(), 20))


OTHER_PROCESSES = {
    "another ingress": (record.Identity.of("n1", {"classes": [1]}), False),
    "another customer's settings": (record.Identity.of("n0", {"classes": [2]}), True),
}


@pytest.mark.parametrize("stranger", OTHER_PROCESSES)
def test_the_snapshot_of_another_ingress_or_other_settings_is_not_used(stranger: str, tmp_path: Path) -> None:
    other, same_ingress = OTHER_PROCESSES[stranger]

    async def scenario() -> None:
        old_reported, new_reported, log = list[events.Event](), list[events.Event](), list[str]()
        identity = record.Identity.of("n0", {"classes": [1]})
        old = HandoverLink(str(tmp_path), lambda: {"from": "old"}, lambda: CLOCKS, log.append, other)
        old.attach(old_reported.append)
        new = HandoverLink(str(tmp_path), lambda: {"from": "new"}, lambda: CLOCKS, log.append, identity)
        new.attach(new_reported.append)
        await old.start()
        await new.start()
        assert not [e for e in new_reported if isinstance(e, events.SnapshotReceived)]
        assert len(log) == 1 and log[0].startswith("handover: ")
        # Processes of one ingress share its part of the limits, even with different settings; others do not.
        assert new_reported[-1] == events.ProcessCountChanged(2 if same_ingress else 1)
        if same_ingress:
            while events.ProcessCountChanged(2) not in old_reported:
                await asyncio.sleep(0)
        else:
            while old.callers:
                await asyncio.sleep(0)
            assert events.ProcessCountChanged(2) not in old_reported
            assert new.server is None and (tmp_path / SOCKET_NAME).exists(), (
                "the socket of the other ingress is left alone"
            )
        new.close()
        old.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


@given(st.binary(max_size=80))
@hypothesis.settings(derandomize=True, max_examples=80)
def test_an_unknown_hello_is_answered_without_a_snapshot(received: bytes) -> None:
    identity = record.Identity.of("n0", {})
    for hello in (
        received,
        record.encode_hello(identity)[:-3] + received,
        received + record.encode_hello(identity),
    ):
        if hello.removesuffix(b"\n") != record.encode_hello(identity).removesuffix(b"\n"):
            assert record.answer_hello(hello, identity, lambda: {"a": 1}, CLOCKS) in (
                record.OTHER_INGRESS,
                record.NO_SNAPSHOT,
            )


@pytest.mark.parametrize("sent", [b"", record.encode({"a": 1}, CLOCKS)[:-3], b"unknown\n", b"x" * 100_000])
def test_an_old_process_that_dies_while_handing_over_is_given_up(sent: bytes, tmp_path: Path) -> None:
    async def scenario() -> None:
        async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(sent)
            writer.close()
            server.close()

        server = await asyncio.start_unix_server(old, str(tmp_path / SOCKET_NAME))
        reported, log = list[events.Event](), list[str]()
        new = HandoverLink(str(tmp_path), lambda: {}, lambda: CLOCKS, log.append)
        new.attach(reported.append)
        await new.start()
        while not reported or reported[-1] != events.ProcessCountChanged(1) or new.server is None:
            await asyncio.sleep(0)
        assert not [e for e in reported if isinstance(e, events.SnapshotReceived)]
        assert len(log) == 1 and log[0].startswith("handover: the old process hands over nothing")
        new.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))
