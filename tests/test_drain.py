"""The shutdown's one schedule, on the reducer: what every open request hears before SIGKILL may come."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.drain import ANSWER_MARGIN, MAX_STALL, DrainSchedule, min_time_to_kill
from starlinggap import interface as i
from tests.reducer_rig import CHECK, PLACE, SETTINGS, START, ReducerRig, house

MS = timedelta(milliseconds=1)
LONG = tuple(replace(c, deadline=8.0) for c in SETTINGS.classes)  # longer than the kill waits


def rig_with_long_deadlines(**changes: object) -> ReducerRig:
    return ReducerRig(settings=replace(SETTINGS, classes=LONG), **changes)


def only_dials(rig: ReducerRig, kind: int) -> int:
    """An order whose connection to its server does not come up."""
    number = rig.number + 1
    rig.number = number
    errand = ev.HttpRequest("POST", "/place-order", f"id-{number}", (), b"")
    rig.step(
        ev.RequestReceived(
            number, errand, kind, 0, 900 + number, timedelta(seconds=8), 1, 2, 0, False, number
        )
    )
    for effect in list(rig.out):
        if isinstance(effect, fx.OpenConnection) and effect.destination is fx.Destination.QUOTA_COUNTER:
            if effect.connection_id not in rig.up:
                rig.up.add(effect.connection_id)
                rig.step(ev.ConnectionOpened(effect.connection_id))
    for _ in range(2):
        call = rig.counter_call()
        rig.step(ev.CounterAnswered(call.connection_id, i.End.OK, call.amount, True))
    return number


def waits_for_the_counter(rig: ReducerRig, kind: int) -> int:
    return rig.order(kind, left=timedelta(seconds=8))


def is_sent(rig: ReducerRig, kind: int) -> int:
    number = rig.order(kind, account=1000 + rig.number, left=timedelta(seconds=8))
    rig.count(total=1.0)
    rig.read_last_window()
    assert rig.attempt().request_id == number
    return number


def answer_has_begun(rig: ReducerRig, kind: int) -> int:
    number = is_sent(rig, kind)
    rig.step(ev.AnswerPartReceived(rig.attempt().connection_id))
    return number


def has_failed_once(rig: ReducerRig, kind: int) -> int:
    number = is_sent(rig, kind)
    rig.step(ev.ConnectionLost(rig.attempt().connection_id, ev.Progress.WRITTEN))
    return number


STATES = [waits_for_the_counter, only_dials, is_sent, answer_has_begun, has_failed_once]


@pytest.mark.parametrize("kind", [CHECK, PLACE])
@pytest.mark.parametrize("successor", [False, True])
@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("late", [0, 600, 2000, 3400])
def test_each_open_request_is_answered_before_the_kill(
    state: Callable[[ReducerRig, int], int], successor: bool, kind: int, late: int
) -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientConnected(99))
    rig.step(ev.RequestHeadStarted(99))  # keeps the process from leaving
    rig.step(ev.DrainRequested(successor))
    asked = rig.now
    rig.pass_time(late * MS)
    number = state(rig, kind)
    sent_on = any(e.request_id == number for e in rig.out if isinstance(e, fx.SendAttempt))
    while rig.now < asked + min_time_to_kill(LONG) - ANSWER_MARGIN:
        rig.pass_time(MS)
    answers = [a for a in rig.answers if a.request_id == number]
    assert len(answers) == 1, "one final answer, with time for a process that is held up"
    assert answers[0].close_connection
    # What may have run is not called refused, unless to run twice does no harm.
    assert answers[0].status in ((502, 504) if sent_on and kind == PLACE else (429, 502, 504))
    if answers[0].status == 429:
        assert answers[0].retry_after
    before = len(rig.out)
    rig.pass_time(timedelta(seconds=10))
    assert not [e for e in rig.out[before:] if isinstance(e, fx.SendAttempt)], "given up, and sent on"


@pytest.mark.parametrize("successor", [False, True])
def test_what_arrives_when_all_have_been_answered_is_refused_at_once(successor: bool) -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientConnected(99))
    rig.step(ev.RequestHeadStarted(99))
    rig.step(ev.DrainRequested(successor))
    rig.pass_time(min_time_to_kill(LONG) - 50 * MS)
    number = rig.order(PLACE)
    assert [(a.status, a.close_connection) for a in rig.answers if a.request_id == number] == [(429, True)]


def test_a_server_is_told_no_more_time_than_is_left_before_the_kill() -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientConnected(99))
    rig.step(ev.RequestHeadStarted(99))
    rig.step(ev.DrainRequested())
    rig.pass_time(2000 * MS)
    is_sent(rig, PLACE)
    assert rig.attempt().time_left <= min_time_to_kill(LONG) - ANSWER_MARGIN - 2000 * MS


def test_a_body_that_still_comes_ends_with_an_answer() -> None:
    rig = rig_with_long_deadlines()
    errand = ev.HttpRequest("POST", "/place-order", "long", (), b"x" * 10, True, 1_000_000)
    rig.step(ev.ClientConnected(7))
    rig.step(ev.RequestReceived(70, errand, PLACE, 0, 9, timedelta(seconds=8), 1, 2, 0, False, 7))
    rig.bring_up()
    rig.count(total=1.0)
    rig.read_last_window()
    assert rig.attempt().request_id == 70
    rig.step(ev.ClientConnected(8))
    rig.step(ev.RequestBodyStarted(8))
    rig.step(ev.DrainRequested())
    rig.pass_time(min_time_to_kill(LONG) - ANSWER_MARGIN)
    assert [(a.status, a.close_connection) for a in rig.answers if a.request_id == 70] == [(408, True)]
    assert fx.StopReadingBodies() in rig.out, "the other is no order yet"
    rig.step(ev.RequestDiscarded(8))
    assert fx.Exit() in rig.out


def test_a_long_answer_is_cut_so_that_its_client_can_tell() -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientConnected(1))
    is_sent(rig, CHECK)
    rig.step(ev.StreamedAnswerStarted(rig.attempt().connection_id, "", None, {}))
    rig.step(ev.DrainRequested())
    rig.pass_time(min_time_to_kill(LONG) - ANSWER_MARGIN)
    assert fx.Exit() not in rig.out, "it may still become whole"
    rig.pass_time(ANSWER_MARGIN)
    cut = [e for e in rig.out if isinstance(e, fx.AbortClient)]
    assert len(cut) == 1 and rig.out.index(cut[0]) < rig.out.index(fx.Exit())


@pytest.mark.parametrize("successor", [False, True])
@pytest.mark.parametrize("deadline", [0.1, 0.4, 1.2, 3.0, 30.0])
def test_the_schedule_keeps_its_order_and_its_margin(deadline: float, successor: bool) -> None:
    least = min_time_to_kill([replace(SETTINGS.classes[0], deadline=deadline)])
    assert least == timedelta(seconds=min(deadline, 3.0) + 0.7)
    s = DrainSchedule.starting_at(START, least, successor)
    assert START < s.close_idle <= s.answer_all < s.exit < s.kill == START + least
    assert s.kill - s.answer_all > MAX_STALL + house().wake_up_slack
    if not successor:
        assert s.close_idle - START >= 400 * MS, "new connections are dealt out for so long"


def test_being_asked_twice_gives_no_more_time() -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientConnected(99))
    rig.step(ev.RequestHeadStarted(99))
    rig.step(ev.DrainRequested())
    first = rig.reducer.state.drain_schedule
    rig.pass_time(1000 * MS)
    rig.step(ev.DrainRequested())
    assert rig.reducer.state.drain_schedule == first
