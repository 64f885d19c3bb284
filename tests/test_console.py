"""The admin endpoint: its commands, rude callers, the figures, and stock nodes taken out by hand."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from opalgauge.console import bans
from opalgauge.console import commands as c
from opalgauge.console.ban_file import NAME, BanFile
from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from starlinggap import interface as i
from tests import harness
from tests.gateway_rig import GatewayRig, entry
from tests.gateway_rig import settings as decisions
from tests.reducer_rig import CHECK, PLACE, START, ReducerRig, listed_server
from tests.test_sockets import harness_with


@pytest.mark.parametrize(
    ("line", "call"),
    [
        (b"status", c.Status()),
        (b"stats\r", c.Stats()),
        (b"  maint-on   s-1 ", c.Maint("s-1", True)),
        (b"maint-off s-1", c.Maint("s-1", False)),
    ],
)
def test_calls_are_understood(line: bytes, call: c.Call) -> None:
    assert c.understand(line) == call


@given(st.binary(max_size=80) | st.sampled_from([b"", b"status now", b"maint-on", b"maint-on a b"]))
@settings(derandomize=True, max_examples=200)
def test_whatever_else_is_said_gets_a_reason(line: bytes) -> None:
    call = c.understand(line)
    if isinstance(call, c.Wrong):
        assert c.answer(False, call.why).startswith(b"400 ") and c.answer(False, call.why).count(b"\n") == 1


MARK = ev.BanStatus("s-1", 1, True, START)


@given(st.integers(0, 200), st.binary(max_size=3))
@settings(derandomize=True, max_examples=100)
def test_a_torn_record_is_no_record(cut: int, noise: bytes) -> None:
    whole = bans.write([MARK])
    assert bans.read(whole) == (("s-1", True, START),)
    spoilt = whole[:cut] + noise
    assert spoilt == whole or bans.read(spoilt) is None


def test_of_two_processes_words_the_last_one_counts() -> None:
    later = ev.BanStatus("s-1", 1, False, START + timedelta(seconds=1))
    assert bans.merge([MARK], [later]) == bans.merge([later], [MARK]) == (later,)


def test_what_one_process_is_told_the_other_finds_and_a_torn_file_is_left(tmp_path: Path) -> None:
    said: list[str] = []
    one, other = BanFile(str(tmp_path), said.append), BanFile(str(tmp_path), said.append)
    found = list[ev.Event]()
    one.keep(fx.PersistBans((MARK,)))
    second = ev.BanStatus("s-2", 2, True, START)
    other.keep(fx.PersistBans((second,)))
    one.look(found.append)
    one.look(found.append)
    assert len(found) == 1 and isinstance(found[0], ev.BansReceived)
    assert {(x.name, x.banned) for x in found[0].bans} == {("s-1", True), ("s-2", True)}
    (tmp_path / NAME).write_bytes(bans.write([MARK])[:-1])
    other.look(found.append)
    assert len(found) == 1 and "no whole record" in said[0]


class TestDecisions:
    """The module: a banned server gets nothing, and comes back cold."""

    def test_a_banned_server_gets_no_attempt_of_any_kind_whatever_the_list_says(self) -> None:
        rig = GatewayRig(decisions(), servers=2)
        rig.feed(i.BanChanged(1, True))
        rig.feed(i.ServerList(i.ListKind.CHANGES, (i.ServerEntry(1, i.Health.GONE),)))
        rig.feed(i.ServerList(i.ListKind.COMPLETE, (entry(1, started=0.5), entry(2))))
        for customer in range(30):
            rig.request(account=customer)
            rig.finish(i.End.REJECTED if customer % 3 == 0 else i.End.OK)
        assert {s.server for s in rig.sends} == {2}
        assert rig.gateway.count_avoided(rig.now) == 1

    def test_with_all_banned_requests_are_refused_at_once_with_advice(self) -> None:
        rig = GatewayRig(decisions(), servers=1)
        rig.feed(i.BanChanged(1, True))
        assert rig.request() == "refused" and rig.refusals[-1].retry_after > 0

    def test_given_back_it_is_used_next_as_cold_and_without_old_beliefs(self) -> None:
        rig = GatewayRig(decisions(slow_start_duration=16.0, slow_start_share=0.15), servers=12)
        rig.advance_to(5.0)
        rig.gateway.servers[3].failures = {0: [1.0, 1e9, 8.0]}
        rig.feed(i.BanChanged(3, True, rig.now))
        rig.feed(i.BanChanged(3, False))
        rig.request()
        assert rig.sends[-1].server == 3 and rig.gateway.count_avoided(rig.now) == 0
        rig.finish()
        assert rig.gateway.capacity(rig.gateway.servers[3]) == pytest.approx(0.15)
        for n in range(200):
            rig.request(account=n)
            rig.finish()
        assert 0 < [s.server for s in rig.sends].count(3) < 200 / 12 / 2  # a warm one's part is 200 / 12


class TestReducer:
    """What the door's calls change, and what is counted."""

    def call(self, rig: ReducerRig, name: int, out: bool) -> fx.AnswerStaff:
        rig.step(ev.BanChangeRequested(1, f"s-{name}", name, out))
        return [e for e in rig.effects if isinstance(e, fx.AnswerStaff)][-1]

    def test_out_twice_and_back_once_is_back_and_the_file_comes_before_the_yes(self) -> None:
        rig = ReducerRig(server_count=2)
        assert self.call(rig, 1, True).accepted and self.call(rig, 1, True).accepted
        kept = [n for n, e in enumerate(rig.effects) if isinstance(e, fx.PersistBans)]
        said = [n for n, e in enumerate(rig.effects) if isinstance(e, fx.AnswerStaff)]
        assert len(kept) == 1 and kept[0] < said[0]
        assert rig.reducer.status_report().avoided_servers == 1
        assert self.call(rig, 1, False).accepted and rig.reducer.status_report().avoided_servers == 0

    def test_an_unknown_one_is_owed_a_no_and_one_that_is_out_can_always_come_back(self) -> None:
        rig = ReducerRig(server_count=1)
        assert not self.call(rig, 9, True).accepted and not self.call(rig, 9, False).accepted
        assert self.call(rig, 1, False).accepted  # in use already
        assert self.call(rig, 1, True).accepted
        question = rig.last_list_request()
        rig.step(
            ev.ServerListAnswered(question.connection_id, True, 8, i.ListKind.COMPLETE, (listed_server(2),))
        )
        assert self.call(rig, 1, False).accepted

    def test_a_node_taken_out_loses_its_idle_connections_and_finishes_what_is_there(self) -> None:
        rig = ReducerRig(server_count=1)
        rig.admit(CHECK)
        rig.step(ev.ServerAnswered(rig.last_attempt().connection_id, i.End.OK, True, b""))
        rig.admit(CHECK)
        rig.admit(PLACE)
        lines = [e.connection_id for e in rig.effects if isinstance(e, fx.SendAttempt)]
        rig.step(ev.ServerAnswered(lines[1], i.End.OK, True, b""))
        self.call(rig, 1, True)
        closed = [e.connection_id for e in rig.effects if isinstance(e, fx.CloseConnection)]
        assert lines[1] in closed and lines[2] not in closed
        rig.step(ev.ServerAnswered(lines[2], i.End.OK, True, b"done"))
        assert rig.answers[-1].status == 200
        rig.admit(PLACE)
        assert rig.answers[-1].status == 429 and rig.answers[-1].retry_after

    def test_what_the_other_process_was_told_holds_unless_this_one_was_told_later(self) -> None:
        rig = ReducerRig(server_count=2)
        rig.step(ev.BansReceived((ev.BanStatus("s-1", 1, True, START),)))
        assert rig.reducer.status_report().avoided_servers == 1
        rig.pass_time(timedelta(seconds=1))
        self.call(rig, 1, False)
        rig.step(ev.BansReceived((ev.BanStatus("s-1", 1, True, START),)))
        assert rig.reducer.status_report().avoided_servers == 0

    @given(st.lists(st.sampled_from(["check", "place", "serve", "error", "leave", "late", "stale", "cut"]),
                    max_size=40))  # fmt: skip
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_what_was_taken_is_all_accounted_for(self, steps: list[str]) -> None:
        rig, taken = ReducerRig(server_count=2, max_requests=6), 0
        for step in steps:
            out = [a for a in rig.reducer.state.attempts.values()]
            if step in ("check", "place"):
                taken += 1
                rig.request(CHECK if step == "check" else PLACE, account=1000 + taken)
                rig.answer_counter(total=1.0)
                rig.answer_last_window()
            elif step == "late":
                rig.pass_time(timedelta(seconds=1))
            elif step == "leave" and rig.reducer.state.clients_waiting:
                rig.step(ev.ClientDisconnected(next(iter(rig.reducer.state.clients_waiting))))
            elif out and step == "cut":
                rig.step(ev.ConnectionLost(out[0].connection_id, ev.Progress.WRITING))
            elif out and step == "stale":
                rig.step(ev.ConnectionStale(out[0].connection_id))
            elif out and step in ("serve", "error"):
                end = i.End.OK if step == "serve" else i.End.ERROR
                rig.step(ev.ServerAnswered(out[0].connection_id, end, True, b""))
            rig.open_connections()
            f, gone = rig.reducer.status_report(), rig.reducer.state.statistics.abandoned
            assert taken == sum(f.served) + sum(f.refused) + sum(f.failed) + f.in_progress + gone
            assert f.attempts >= sum(f.served)


def test_the_door_on_the_program() -> None:
    async def scene() -> None:
        async with harness_with(lambda r, w: harness.OK) as (ingress, _, __):
            silent = [await asyncio.open_connection(*ingress.console_address) for _ in range(20)]
            silent[0][1].write(b"sta")
            endless = await asyncio.open_connection(*ingress.console_address)
            endless[1].write(b"x" * 100_000)
            assert (await endless[0].read()).startswith(b"400 ")
            assert (await ingress.call_console(b"status\n")).startswith(b"200 ")
            assert (await ingress.call_console(b"status\r\n")).startswith(b"200 ")
            assert (await ingress.call_console(b"\xff\xfe\n")).startswith(b"400 ")
            await ingress.send_request("GET", "/stock-check")
            answer = (await ingress.call_console(b"stats\n")).decode().split("\n")
            assert answer[0].startswith("200") and answer[-2:] == ["EOF", ""]
            told = dict(line.split("=") for line in answer[1:-2])
            assert told["passed.stock-check"] == "1" and told["passed.place-order"] == "0"
            assert told["upstream_tries"] == "1" and told["known_backends"] == "1"
            assert (await ingress.call_console(b"maint-on s-9\n")).startswith(b"400 ")
            assert (await ingress.call_console(b"maint-on s-1\n")).startswith(b"200 ")
            assert (await ingress.send_request("GET", "/stock-check")).startswith(b"HTTP/1.1 429")
            assert (await ingress.call_console(b"maint-off s-1\n")).startswith(b"200 ")
            assert (await ingress.send_request("GET", "/stock-check")).startswith(b"HTTP/1.1 200")
            for _, writer in (*silent, endless):
                writer.close()

    asyncio.run(scene())


def test_the_door_answers_within_a_turn_of_a_pressed_loop() -> None:
    async def scene() -> None:
        async with harness_with(lambda r, w: harness.OK) as (ingress, _, __):
            clients, each, answered = 40, 20, 0

            async def client(me: int) -> None:
                nonlocal answered
                reader, writer = await asyncio.open_connection(*ingress.address)
                asks = (
                    harness.request("GET", "/stock-check", correlation_id=f"{me}-{n}") for n in range(each)
                )
                writer.write(b"".join(asks))
                for _ in range(each):
                    await harness.read_request(reader)
                    answered += 1
                writer.close()

            asking = [asyncio.create_task(client(me)) for me in range(clients)]
            while answered < 20:
                await asyncio.sleep(0)
            for _ in range(3):
                assert (await ingress.call_console(b"stats\n")).endswith(b"EOF\n")
            assert answered < clients * each  # it did not wait for what was there before it
            await asyncio.gather(*asking)

    asyncio.run(scene())
