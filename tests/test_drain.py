"""The shutdown's one schedule, on the reducer: what every open request hears before SIGKILL may come."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.drain import ANSWER_MARGIN, HELD_UP, DrainSchedule, kill_after
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
    errand = ev.Errand("POST", "/place-order", f"id-{number}", (), b"")
    rig.step(
        ev.OrderTaken(number, errand, kind, 0, 900 + number, timedelta(seconds=8), 1, 2, 0, False, number)
    )
    for effect in list(rig.out):
        if isinstance(effect, fx.OpenLine) and effect.party is fx.Party.QUOTA_COUNTER:
            if effect.line not in rig.up:
                rig.up.add(effect.line)
                rig.step(ev.LineUp(effect.line))
    for _ in range(2):
        call = rig.counter_call()
        rig.step(ev.CounterAnswered(call.line, i.End.OK, call.amount, True))
    return number


def waits_for_the_counter(rig: ReducerRig, kind: int) -> int:
    return rig.order(kind, left=timedelta(seconds=8))


def is_sent(rig: ReducerRig, kind: int) -> int:
    number = rig.order(kind, account=1000 + rig.number, left=timedelta(seconds=8))
    rig.count(total=1.0)
    rig.read_last_window()
    assert rig.attempt().order == number
    return number


def answer_has_begun(rig: ReducerRig, kind: int) -> int:
    number = is_sent(rig, kind)
    rig.step(ev.AnswerBegun(rig.attempt().line))
    return number


def has_failed_once(rig: ReducerRig, kind: int) -> int:
    number = is_sent(rig, kind)
    rig.step(ev.LineEnded(rig.attempt().line, ev.Reached.WRITTEN))
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
    rig.step(ev.ClientCame(99))
    rig.step(ev.RequestBegun(99))  # keeps the process from leaving
    rig.step(ev.DrainAsked(successor))
    asked = rig.now
    rig.pass_time(late * MS)
    number = state(rig, kind)
    sent_on = any(e.order == number for e in rig.out if isinstance(e, fx.SendAttempt))
    while rig.now < asked + kill_after(LONG) - ANSWER_MARGIN:
        rig.pass_time(MS)
    answers = [a for a in rig.answers if a.order == number]
    assert len(answers) == 1, "one final answer, with time for a process that is held up"
    assert answers[0].last
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
    rig.step(ev.ClientCame(99))
    rig.step(ev.RequestBegun(99))
    rig.step(ev.DrainAsked(successor))
    rig.pass_time(kill_after(LONG) - 50 * MS)
    number = rig.order(PLACE)
    assert [(a.status, a.last) for a in rig.answers if a.order == number] == [(429, True)]


def test_a_server_is_told_no_more_time_than_is_left_before_the_kill() -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientCame(99))
    rig.step(ev.RequestBegun(99))
    rig.step(ev.DrainAsked())
    rig.pass_time(2000 * MS)
    is_sent(rig, PLACE)
    assert rig.attempt().time_left <= kill_after(LONG) - ANSWER_MARGIN - 2000 * MS


def test_a_body_that_still_comes_ends_with_an_answer() -> None:
    rig = rig_with_long_deadlines()
    errand = ev.Errand("POST", "/place-order", "long", (), b"x" * 10, True, 1_000_000)
    rig.step(ev.ClientCame(7))
    rig.step(ev.OrderTaken(70, errand, PLACE, 0, 9, timedelta(seconds=8), 1, 2, 0, False, 7))
    rig.bring_up()
    rig.count(total=1.0)
    rig.read_last_window()
    assert rig.attempt().order == 70
    rig.step(ev.ClientCame(8))
    rig.step(ev.BodyComing(8))
    rig.step(ev.DrainAsked())
    rig.pass_time(kill_after(LONG) - ANSWER_MARGIN)
    assert [(a.status, a.last) for a in rig.answers if a.order == 70] == [(408, True)]
    assert fx.StopReading() in rig.out, "the other is no order yet"
    rig.step(ev.RequestOver(8))
    assert fx.Leave() in rig.out


def test_a_long_answer_is_cut_so_that_its_client_can_tell() -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientCame(1))
    is_sent(rig, CHECK)
    rig.step(ev.AnswerFlows(rig.attempt().line, "", None, {}))
    rig.step(ev.DrainAsked())
    rig.pass_time(kill_after(LONG) - ANSWER_MARGIN)
    assert fx.Leave() not in rig.out, "it may still become whole"
    rig.pass_time(ANSWER_MARGIN)
    cut = [e for e in rig.out if isinstance(e, fx.AbortClient)]
    assert len(cut) == 1 and rig.out.index(cut[0]) < rig.out.index(fx.Leave())


@pytest.mark.parametrize("successor", [False, True])
@pytest.mark.parametrize("deadline", [0.1, 0.4, 1.2, 3.0, 30.0])
def test_the_schedule_keeps_its_order_and_its_margin(deadline: float, successor: bool) -> None:
    least = kill_after([replace(SETTINGS.classes[0], deadline=deadline)])
    assert least == timedelta(seconds=min(deadline, 3.0) + 0.7)
    s = DrainSchedule.begun(START, least, successor)
    assert START < s.close_idle <= s.answer_all < s.leave < s.kill == START + least
    assert s.kill - s.answer_all > HELD_UP + house().wake_slack
    if not successor:
        assert s.close_idle - START >= 400 * MS, "new connections are dealt out for so long"


def test_being_asked_twice_gives_no_more_time() -> None:
    rig = rig_with_long_deadlines()
    rig.step(ev.ClientCame(99))
    rig.step(ev.RequestBegun(99))
    rig.step(ev.DrainAsked())
    first = rig.reducer.books.drain
    rig.pass_time(1000 * MS)
    rig.step(ev.DrainAsked())
    assert rig.reducer.books.drain == first
