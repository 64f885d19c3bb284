"""What requests leave behind is bounded, however many come and under however many names."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory import effects, events
from opalgauge.memory.buffers import MIB, MemoryLimits, ProcessMemory
from opalgauge.memory.timers import MIN_CANCELLED, TimerQueue
from starlinggap import interface
from tests.reducer_rig import CHECK, SETTINGS, START, ReducerRig


def test_ever_new_accounts_do_not_fill_the_memory() -> None:
    """Guards against memory that grows as one client sends requests under ever new names."""
    rig = ReducerRig(server_count=30)
    limits = MemoryLimits.of_process(32 * MIB, ProcessMemory(26 * MIB, 16 * MIB))
    rig.step(events.MemoryMeasured(limits))
    assert 0 < limits.max_accounts < 1000
    for _ in range(limits.max_accounts + 300):
        rig.admit(CHECK)
        rig.step(events.ServerAnswered(rig.last_attempt().connection_id, interface.End.OK, True, b""))
        rig.pass_time(timedelta(milliseconds=20))
        rig.effects.clear()
        rig.open_connections()
    assert len(rig.reducer.gateway.accounts) <= limits.max_accounts + 60
    assert len(rig.reducer.gateway.requests) < 60
    assert len(rig.reducer.timers.heap) <= 2 * MIN_CANCELLED + 100


@pytest.mark.parametrize("slack", [0.0, 8.0])
def test_an_account_that_was_dropped_early_gets_no_new_part_of_its_ceiling(slack: float) -> None:
    """Guards against a hard ceiling that is passed because a crowd of names drops what was spent of it."""
    plan = interface.Plan(rate=25.0, burst=30.0, ceiling_rate=1.0, ceiling_burst=50.0, ceiling_slack=slack)
    rig = ReducerRig(settings=replace(SETTINGS, plans=(plan,)))
    gateway = rig.reducer.gateway
    gateway.max_accounts = 1
    rig.pass_time(timedelta(seconds=100))
    rig.request(CHECK, account=1)
    gateway.accounts[1].headroom = 0.0  # all of it was spent
    rig.pass_time(timedelta(seconds=2))
    rig.request(CHECK, account=2)
    assert 1 not in gateway.accounts
    rig.pass_time(timedelta(seconds=2))
    rig.request(CHECK, account=1)
    assert gateway.accounts[1].headroom <= 2.0 * plan.ceiling_rate / 2 + 0.1


def test_cancelled_timers_are_not_kept() -> None:
    queue, called = TimerQueue(), list[int]()
    timers = [queue.add(START + timedelta(seconds=n), called.append, (n,)) for n in range(4000)]
    for timer in timers[1:-1]:
        queue.cancel(timer)
    assert len(queue.heap) <= 2 * MIN_CANCELLED
    while (due := queue.pop_due(START + timedelta(hours=2))) is not None:
        assert due.callback is not None
        due.callback(*due.args)
    assert called == [0, 3999] and queue.next_due() is None


def test_complete_requests_find_room_beside_heads_that_never_end() -> None:
    """Guards against a crowd of half heads for which every request is refused."""
    rig = ReducerRig()
    rig.step(events.MemoryMeasured(MemoryLimits.dividing(8 * MIB)))
    for client_id in range(1001, 1200):
        rig.step(events.ClientConnected(client_id))
        rig.step(events.RequestHeadStarted(client_id, 100_000))
        if effects.RefuseIncomplete(client_id) in rig.effects:
            rig.step(events.ClientDisconnected(client_id))
    assert effects.RefuseIncomplete(1199) in rig.effects
    for _ in range(5):
        rig.request(CHECK)
    assert not rig.answers
