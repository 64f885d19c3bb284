"""The admin endpoint: its commands, misbehaving callers, statistics, and bans of servers."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from opalgauge.console import ban_record, commands
from opalgauge.console.ban_file import FILE_NAME, BanFile
from opalgauge.memory import effects, events
from starlinggap import interface
from tests import harness
from tests.gateway_rig import GatewayRig, entry
from tests.gateway_rig import settings as gateway_settings
from tests.reducer_rig import CHECK, PLACE, START, ReducerRig, listed_server
from tests.test_sockets import running_ingress


@pytest.mark.parametrize(
    ("line", "command"),
    [
        (b"status", commands.Status()),
        (b"stats\r", commands.Stats()),
        (b"  maint-on   s-1 ", commands.ChangeBan("s-1", True)),
        (b"maint-off s-1", commands.ChangeBan("s-1", False)),
    ],
)
def test_parse_accepts_every_command(line: bytes, command: commands.Command) -> None:
    assert commands.parse(line) == command


@given(st.binary(max_size=80) | st.sampled_from([b"", b"status now", b"maint-on", b"maint-on a b"]))
@settings(derandomize=True, max_examples=200)
def test_parse_answers_invalid_input_with_a_reason(line: bytes) -> None:
    command = commands.parse(line)
    if isinstance(command, commands.InvalidCommand):
        assert (
            commands.format_answer(False, command.reason).startswith(b"400 ")
            and commands.format_answer(False, command.reason).count(b"\n") == 1
        )


BAN = events.BanStatus("s-1", 1, True, START)


@given(st.integers(0, 200), st.binary(max_size=3))
@settings(derandomize=True, max_examples=100)
def test_decode_rejects_a_damaged_record(cut: int, noise: bytes) -> None:
    whole = ban_record.encode([BAN])
    assert ban_record.decode(whole) == (("s-1", True, START),)
    damaged = whole[:cut] + noise
    assert damaged == whole or ban_record.decode(damaged) is None


def test_merge_keeps_the_latest_change() -> None:
    later_ban = events.BanStatus("s-1", 1, False, START + timedelta(seconds=1))
    assert ban_record.merge([BAN], [later_ban]) == ban_record.merge([later_ban], [BAN]) == (later_ban,)


def test_two_processes_share_the_ban_file_and_ignore_a_damaged_one(tmp_path: Path) -> None:
    log_lines: list[str] = []
    one, other = BanFile(str(tmp_path), log_lines.append), BanFile(str(tmp_path), log_lines.append)
    reported = list[events.Event]()
    one.save(effects.PersistBans((BAN,)))
    second = events.BanStatus("s-2", 2, True, START)
    other.save(effects.PersistBans((second,)))
    one.poll(reported.append)
    one.poll(reported.append)
    assert len(reported) == 1 and isinstance(reported[0], events.BansReceived)
    assert {(x.name, x.banned) for x in reported[0].bans} == {("s-1", True), ("s-2", True)}
    (tmp_path / FILE_NAME).write_bytes(ban_record.encode([BAN])[:-1])
    other.poll(reported.append)
    assert len(reported) == 1 and "no whole record" in log_lines[0]


class TestDecisions:
    """The gateway sends nothing to a banned server, and starts it cold afterwards."""

    def test_a_banned_server_gets_no_attempt_whatever_the_list_says(self) -> None:
        rig = GatewayRig(gateway_settings(), servers=2)
        rig.feed(interface.BanChanged(1, True))
        rig.feed(
            interface.ServerList(
                interface.ListKind.CHANGES, (interface.ServerEntry(1, interface.Health.GONE),)
            )
        )
        rig.feed(interface.ServerList(interface.ListKind.COMPLETE, (entry(1, started=0.5), entry(2))))
        for account in range(30):
            rig.request(account=account)
            rig.finish(interface.End.REJECTED if account % 3 == 0 else interface.End.OK)
        assert {s.server for s in rig.sends} == {2}
        assert rig.gateway.count_avoided(rig.now) == 1

    def test_requests_are_refused_with_retry_after_when_all_servers_are_banned(self) -> None:
        rig = GatewayRig(gateway_settings(), servers=1)
        rig.feed(interface.BanChanged(1, True))
        assert rig.request() == "refused" and rig.refusals[-1].retry_after > 0

    def test_an_unbanned_server_starts_cold_without_old_statistics(self) -> None:
        rig = GatewayRig(gateway_settings(slow_start_duration=16.0, slow_start_share=0.15), servers=12)
        rig.advance_to(5.0)
        rig.gateway.servers[3].failures = {0: [1.0, 1e9, 8.0]}
        rig.feed(interface.BanChanged(3, True, rig.now))
        rig.feed(interface.BanChanged(3, False))
        rig.request()
        assert rig.sends[-1].server == 3 and rig.gateway.count_avoided(rig.now) == 0
        rig.finish()
        assert rig.gateway.capacity_share(rig.gateway.servers[3]) == pytest.approx(0.15)
        for n in range(200):
            rig.request(account=n)
            rig.finish()
        assert (
            0 < [s.server for s in rig.sends].count(3) < 200 / 12 / 2
        )  # the share of a warm one is 200 / 12


class TestReducer:
    """Commands that change bans, and the counting of requests."""

    def call(self, rig: ReducerRig, server_id: int, banned: bool) -> effects.AnswerStaff:
        rig.step(events.BanChangeRequested(1, f"s-{server_id}", server_id, banned))
        return [e for e in rig.effects if isinstance(e, effects.AnswerStaff)][-1]

    def test_a_ban_is_idempotent_and_persisted_before_it_is_confirmed(self) -> None:
        rig = ReducerRig(server_count=2)
        assert self.call(rig, 1, True).accepted and self.call(rig, 1, True).accepted
        persisted = [n for n, e in enumerate(rig.effects) if isinstance(e, effects.PersistBans)]
        answered = [n for n, e in enumerate(rig.effects) if isinstance(e, effects.AnswerStaff)]
        assert len(persisted) == 1 and persisted[0] < answered[0]
        assert rig.reducer.status_report().avoided_servers == 1
        assert self.call(rig, 1, False).accepted and rig.reducer.status_report().avoided_servers == 0

    def test_an_unknown_server_is_rejected_and_a_banned_one_can_always_return(self) -> None:
        rig = ReducerRig(server_count=1)
        assert not self.call(rig, 9, True).accepted and not self.call(rig, 9, False).accepted
        assert self.call(rig, 1, False).accepted  # not banned: no change
        assert self.call(rig, 1, True).accepted
        list_request = rig.last_list_request()
        rig.step(
            events.ServerListAnswered(
                list_request.connection_id, True, 8, interface.ListKind.COMPLETE, (listed_server(2),)
            )
        )
        assert self.call(rig, 1, False).accepted

    def test_a_ban_closes_idle_connections_and_lets_open_requests_finish(self) -> None:
        rig = ReducerRig(server_count=1)
        rig.admit(CHECK)
        rig.step(events.ServerAnswered(rig.last_attempt().connection_id, interface.End.OK, True, b""))
        rig.admit(CHECK)
        rig.admit(PLACE)
        connection_ids = [e.connection_id for e in rig.effects if isinstance(e, effects.SendAttempt)]
        rig.step(events.ServerAnswered(connection_ids[1], interface.End.OK, True, b""))
        self.call(rig, 1, True)
        closed = [e.connection_id for e in rig.effects if isinstance(e, effects.CloseConnection)]
        assert connection_ids[1] in closed and connection_ids[2] not in closed
        rig.step(events.ServerAnswered(connection_ids[2], interface.End.OK, True, b"done"))
        assert rig.answers[-1].status == 200
        rig.admit(PLACE)
        assert rig.answers[-1].status == 429 and rig.answers[-1].retry_after

    def test_bans_of_the_other_process_hold_unless_changed_later_here(self) -> None:
        rig = ReducerRig(server_count=2)
        rig.step(events.BansReceived((events.BanStatus("s-1", 1, True, START),)))
        assert rig.reducer.status_report().avoided_servers == 1
        rig.pass_time(timedelta(seconds=1))
        self.call(rig, 1, False)
        rig.step(events.BansReceived((events.BanStatus("s-1", 1, True, START),)))
        assert rig.reducer.status_report().avoided_servers == 0

    @given(st.lists(st.sampled_from(["check", "place", "serve", "error", "leave", "late", "stale", "cut"]),
                    max_size=40))  # fmt: skip
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_every_accepted_request_is_counted_exactly_once(self, steps: list[str]) -> None:
        rig, accepted = ReducerRig(server_count=2, max_requests=6), 0
        for step in steps:
            open_attempts = [a for a in rig.reducer.state.attempts.values()]
            if step in ("check", "place"):
                accepted += 1
                rig.request(CHECK if step == "check" else PLACE, account=1000 + accepted)
                rig.answer_counter(total=1.0)
                rig.answer_last_window()
            elif step == "late":
                rig.pass_time(timedelta(seconds=1))
            elif step == "leave" and rig.reducer.state.clients_waiting:
                rig.step(events.ClientDisconnected(next(iter(rig.reducer.state.clients_waiting))))
            elif open_attempts and step == "cut":
                rig.step(events.ConnectionLost(open_attempts[0].connection_id, events.Progress.WRITING))
            elif open_attempts and step == "stale":
                rig.step(events.ConnectionStale(open_attempts[0].connection_id))
            elif open_attempts and step in ("serve", "error"):
                end = interface.End.OK if step == "serve" else interface.End.ERROR
                rig.step(events.ServerAnswered(open_attempts[0].connection_id, end, True, b""))
            rig.open_connections()
            f, gone = rig.reducer.status_report(), rig.reducer.state.statistics.abandoned
            assert accepted == sum(f.served) + sum(f.refused) + sum(f.failed) + f.in_progress + gone
            assert f.attempts >= sum(f.served)


def test_admin_endpoint_of_a_running_ingress() -> None:
    async def scenario() -> None:
        async with running_ingress(lambda r, w: harness.OK) as (ingress, _, __):
            silent = [await asyncio.open_connection(*ingress.admin_address) for _ in range(20)]
            silent[0][1].write(b"sta")
            endless = await asyncio.open_connection(*ingress.admin_address)
            endless[1].write(b"x" * 100_000)
            assert (await endless[0].read()).startswith(b"400 ")
            assert (await ingress.call_admin(b"status\n")).startswith(b"200 ")
            assert (await ingress.call_admin(b"status\r\n")).startswith(b"200 ")
            assert (await ingress.call_admin(b"\xff\xfe\n")).startswith(b"400 ")
            await ingress.send_request("GET", "/stock-check")
            answer = (await ingress.call_admin(b"stats\n")).decode().split("\n")
            assert answer[0].startswith("200") and answer[-2:] == ["EOF", ""]
            statistics = dict(line.split("=") for line in answer[1:-2])
            assert statistics["passed.stock-check"] == "1" and statistics["passed.place-order"] == "0"
            assert statistics["upstream_tries"] == "1" and statistics["known_backends"] == "1"
            assert (await ingress.call_admin(b"maint-on s-9\n")).startswith(b"400 ")
            assert (await ingress.call_admin(b"maint-on s-1\n")).startswith(b"200 ")
            assert (await ingress.send_request("GET", "/stock-check")).startswith(b"HTTP/1.1 429")
            assert (await ingress.call_admin(b"maint-off s-1\n")).startswith(b"200 ")
            assert (await ingress.send_request("GET", "/stock-check")).startswith(b"HTTP/1.1 200")
            for _, writer in (*silent, endless):
                writer.close()

    asyncio.run(scenario())


def test_admin_endpoint_answers_while_the_event_loop_is_busy() -> None:
    async def scenario() -> None:
        async with running_ingress(lambda r, w: harness.OK) as (ingress, _, __):
            clients, requests_per_client, answered = 40, 20, 0

            async def client(client_number: int) -> None:
                nonlocal answered
                reader, writer = await asyncio.open_connection(*ingress.address)
                requests = (
                    harness.request("GET", "/stock-check", correlation_id=f"{client_number}-{n}")
                    for n in range(requests_per_client)
                )
                writer.write(b"".join(requests))
                for _ in range(requests_per_client):
                    await harness.read_request(reader)
                    answered += 1
                writer.close()

            client_tasks = [asyncio.create_task(client(client_number)) for client_number in range(clients)]
            while answered < 20:
                await asyncio.sleep(0)
            for _ in range(3):
                assert (await ingress.call_admin(b"stats\n")).endswith(b"EOF\n")
            assert answered < clients * requests_per_client  # it did not wait for the earlier requests
            await asyncio.gather(*client_tasks)

    asyncio.run(scenario())
