"""Tests the checker of the fault tests: it reports a broken record for every rule, and no clean one."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.soak.checker import check_records, ended_at_kill, kill_delay, slow_start_budget
from tests.soak.deployment import RequestClass, draw_deployment
from tests.soak.records import (
    AttemptRecord,
    Effect,
    End,
    Limits,
    ProcessRecord,
    Records,
    RequestRecord,
    ServerRecord,
)
from tests.soak.stand_ins import KnownKeys

LIMITS = Limits(3.0, 16.0, 0.2, 1.5, 2.5, 2.0, 512, 128.0)


def clean_records() -> Records:
    """Records of a run without faults: a request served, one refused, one retried after a rejection."""
    served = RequestRecord("a", Effect.UNSAFE, 0, 1.0, 2.0, False, End.ANSWERED, 200, 1.2)
    refused = RequestRecord("b", Effect.UNSAFE, 0, 1.0, 2.0, True, End.ANSWERED, 429, 1.1)
    retried = RequestRecord("c", Effect.UNSAFE, 0, 2.0, 2.0, True, End.ANSWERED, 200, 2.4)
    return Records(
        LIMITS,
        [served, refused, retried],
        [
            AttemptRecord("a", 1, 1.05, 1.05, 1.9, True, 1.2),
            AttemptRecord("c", 1, 2.05, 2.05, 1.9, False, 2.1),
            AttemptRecord("c", 2, 2.2, 2.2, 1.7, True, 2.4),
        ],
        [ServerRecord(1, 20.0, -math.inf), ServerRecord(2, 20.0, -math.inf)],
        [ProcessRecord(0, 0.0, 0.5, asked=5.0, ended=5.6, code=0)],
    )


def test_clean_records_break_no_rule() -> None:
    assert check_records(clean_records()) == []


def lose_answer(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], end=End.LOST, status=0)


def never_end(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], end=None, status=0)


def close_after_forwarding(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], end=End.UNHEARD, status=0, kept=True)


def cut_whole_answer(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], end=End.CUT, status=0)


def answer_late(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], ended=3.7)


def run_twice(records: Records) -> None:
    records.attempts.append(AttemptRecord("a", 2, 1.3, 1.3, 1.6, True, 1.4))


def repeat_unknown_key(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], effect=Effect.KEYED)
    records.attempts.append(AttemptRecord("a", 2, 1.3, 1.3, 1.6, True, 1.4))


def send_second_copy(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], effect=Effect.SAFE)
    records.attempts.append(AttemptRecord("a", 2, 1.1, 1.1, 1.6, True, 1.4))


def invent_request(records: Records) -> None:
    records.attempts.append(AttemptRecord("nobody's", 2, 1.1, 1.1, 1.6, True, 1.4))


def refuse_after_running(records: Records) -> None:
    records.attempts.append(AttemptRecord("b", 1, 1.05, 1.05, 1.9, True, 1.1))


def forward_for_closed_client(records: Records) -> None:
    records.requests[0] = replace(records.requests[0], end=End.LEFT, status=0, ended=0.9)


def tell_too_much_time(records: Records) -> None:
    records.attempts[0].time_left = 2.3


def send_to_draining_server(records: Records) -> None:
    records.servers[1].drain_told[0] = 0.1


def overload_cold_server(records: Records) -> None:
    records.servers[1].started = 1.0
    for number in range(60):
        records.requests.append(
            RequestRecord(f"x{number}", Effect.SAFE, 0, 2.0, 2.0, True, End.ANSWERED, 200, 2.1)
        )
        records.attempts.append(AttemptRecord(f"x{number}", 2, 2.05, 2.05, 1.8, True, 2.1))


def change_content(records: Records) -> None:
    records.attempts[0].digest = "other"


def pass_ceiling(records: Records) -> None:
    records.limits = replace(LIMITS, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=3.0)
    for request in records.requests:
        request.units = 20.0


def send_to_draining_server_after_a_start(records: Records) -> None:
    records.servers[1].drain_known[0] = 0.0
    records.processes[0] = replace(records.processes[0], began=0.1)


def lose_answer_away_from_a_crash(records: Records) -> None:
    lose_answer(records)
    records.processes[0] = replace(records.processes[0], killed=3.0, ended=3.0, crashed=True)


def crash(records: Records) -> None:
    records.processes[0] = replace(records.processes[0], ended=3.0, code=-11)


def exit_with_failure(records: Records) -> None:
    records.processes[0].code = 1


def never_become_ready(records: Records) -> None:
    records.processes[0] = replace(records.processes[0], ready=math.inf, asked=20.0, ended=20.5)


def log_defect(records: Records) -> None:
    records.processes[0].faults = 1


def open_too_many_descriptors(records: Records) -> None:
    records.processes[0].descriptors = 513


def use_too_much_memory(records: Records) -> None:
    records.processes[0].memory_mb = 129.0


BROKEN_RECORDS: list[tuple[Callable[[Records], None], str]] = [
    (lose_answer, "lost"), (never_end, "lost"), (close_after_forwarding, "lost"), (answer_late, "late"),
    (run_twice, "doubled"), (send_second_copy, "second copy"), (invent_request, "unknown"),
    (repeat_unknown_key, "doubled"), (cut_whole_answer, "lost"),
    (refuse_after_running, "refused"), (forward_for_closed_client, "gone"), (tell_too_much_time, "deadline"),
    (send_to_draining_server, "drain"), (overload_cold_server, "slow start"), (crash, "crash"),
    (exit_with_failure, "crash"), (never_become_ready, "not ready"), (log_defect, "defect"),
    (change_content, "content"), (pass_ceiling, "ceiling"), (lose_answer_away_from_a_crash, "lost"),
    (send_to_draining_server_after_a_start, "drain at a start"),
    (open_too_many_descriptors, "limits"), (use_too_much_memory, "limits"),
]  # fmt: skip


@pytest.mark.parametrize(("break_rule", "rule"), BROKEN_RECORDS, ids=lambda w: getattr(w, "__name__", ""))
def test_broken_record_is_reported(break_rule: Callable[[Records], None], rule: str) -> None:
    records = clean_records()
    break_rule(records)
    assert rule in {violation.rule for violation in check_records(records)}


def test_loss_at_the_kill_is_recognised() -> None:
    records = clean_records()
    lose_answer(records)
    (violation,) = check_records(records)
    assert not ended_at_kill(records, violation)
    records.processes[0].killed = records.requests[0].ended + 0.002
    assert ended_at_kill(records, violation)


def test_what_a_killed_process_held_is_not_lost() -> None:
    records = clean_records()
    lose_answer(records)
    killed = records.requests[0].ended - 0.002
    records.processes[0] = replace(
        records.processes[0], killed=killed, ended=killed, asked=math.inf, crashed=True
    )
    assert not check_records(records)


def test_a_drain_that_an_unheard_agent_has_is_not_told() -> None:
    records = clean_records()
    send_to_draining_server_after_a_start(records)
    records.agent_troubles[0] = [(0.5, 2.0)]
    assert not check_records(records)


def test_a_ceiling_holds_for_each_account_and_counts_a_request_once() -> None:
    records = clean_records()
    pass_ceiling(records)
    records.requests[2].account = 7
    assert not check_records(records)


def test_limits_of_the_rules() -> None:
    assert kill_delay(0.4) == pytest.approx(1.1) and kill_delay(8.0) == pytest.approx(3.7)
    assert slow_start_budget(0.2, 20.0, LIMITS) == pytest.approx(15 + 3 * math.sqrt(15) + 3)
    assert slow_start_budget(1.0, 20.0, LIMITS) == pytest.approx(75 + 2 * math.sqrt(75) + 2)


def test_long_answer_cut_by_its_server_is_not_lost() -> None:
    records = clean_records()
    cut_whole_answer(records)
    for attempt in records.attempts:
        attempt.harmed = True
    assert not check_records(records)


def test_servers_drop_repeats_of_known_keys() -> None:
    in_all_zones = RequestClass("a", Effect.KEYED, 0.5, 2.0, dedup_window=1.0)
    in_one_zone = RequestClass("b", Effect.KEYED, 0.5, 2.0, dedup_window=1.0, dedup_per_zone=True)
    unkeyed = RequestClass("c", Effect.UNSAFE, 0.5, 2.0, dedup_window=1.0)
    keys = KnownKeys((in_all_zones, in_one_zone, unkeyed))
    heads = [b"POST /%b HTTP/1.1\r\nIdempotency-Key: k-%b" % (name, name) for name in (b"a", b"b", b"c")]
    assert [keys.is_repeat(head, 0, 5.0) for head in heads] == [False, False, False]
    assert [keys.is_repeat(head, 1, 5.9) for head in heads] == [True, False, False]
    assert [keys.is_repeat(head, 0, 5.9) for head in heads] == [True, True, False]
    assert [keys.is_repeat(head, 0, 6.0) for head in heads] == [False, False, False]


def test_seed_draws_the_same_deployment() -> None:
    drawn = [draw_deployment(seed) for seed in range(40)]
    assert drawn == [draw_deployment(seed) for seed in range(40)]
    assert (
        {d.idle_crowd for d in drawn}
        == {d.system_call_faults for d in drawn}
        == {d.rolling_upgrades for d in drawn}
        == {d.clock_steps for d in drawn}
        == {d.has_ceiling for d in drawn}
        == {True, False}
    )
    assert {d.instances for d in drawn} == {1, 2, 3, 4}
    assert any(d.servers >= 100 for d in drawn)
    assert {d.limits.longest_deadline for d in drawn} >= {0.4, 3.0, 5.0}
