"""The drain on the reducer: every open request is answered before SIGKILL may come."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory import effects, events
from opalgauge.memory.drain import ANSWER_MARGIN, MAX_STALL, DrainSchedule, min_time_to_kill
from starlinggap import interface
from tests.reducer_rig import CHECK, PLACE, SETTINGS, START, ReducerRig, ingress_config

MS = timedelta(milliseconds=1)
LONG_DEADLINES = tuple(replace(c, deadline=8.0) for c in SETTINGS.classes)  # longer than the time to SIGKILL


def rig_with_long_deadlines(**changes: object) -> ReducerRig:
    return ReducerRig(settings=replace(SETTINGS, classes=LONG_DEADLINES), **changes)


def dialling(rig: ReducerRig, class_index: int) -> int:
    """A request whose connection to its server is not opened."""
    request_id = rig.last_request_id + 1
    rig.last_request_id = request_id
    http_request = events.HttpRequest("POST", "/place-order", f"id-{request_id}", (), b"")
    rig.step(
        events.RequestReceived(
            request_id,
            http_request,
            class_index,
            0,
            900 + request_id,
            timedelta(seconds=8),
            1,
            2,
            0,
            False,
            request_id,
        )
    )
    for effect in list(rig.effects):
        if (
            isinstance(effect, effects.OpenConnection)
            and effect.destination is effects.Destination.QUOTA_COUNTER
        ):
            if effect.connection_id not in rig.opened:
                rig.opened.add(effect.connection_id)
                rig.step(events.ConnectionOpened(effect.connection_id))
    for _ in range(2):
        call = rig.last_counter_call()
        rig.step(events.CounterAnswered(call.connection_id, interface.End.OK, call.amount, True))
    return request_id


def waiting_for_counter(rig: ReducerRig, class_index: int) -> int:
    return rig.request(class_index, time_left=timedelta(seconds=8))


def sent(rig: ReducerRig, class_index: int) -> int:
    request_id = rig.request(class_index, account=1000 + rig.last_request_id, time_left=timedelta(seconds=8))
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    assert rig.last_attempt().request_id == request_id
    return request_id


def answer_started(rig: ReducerRig, class_index: int) -> int:
    request_id = sent(rig, class_index)
    rig.step(events.AnswerPartReceived(rig.last_attempt().connection_id))
    return request_id


def failed_once(rig: ReducerRig, class_index: int) -> int:
    request_id = sent(rig, class_index)
    rig.step(events.ConnectionLost(rig.last_attempt().connection_id, events.Progress.WRITTEN))
    return request_id


STATES = [waiting_for_counter, dialling, sent, answer_started, failed_once]


@pytest.mark.parametrize("class_index", [CHECK, PLACE])
@pytest.mark.parametrize("has_successor", [False, True])
@pytest.mark.parametrize("make_state", STATES)
@pytest.mark.parametrize("late_ms", [0, 600, 2000, 3400])
def test_each_open_request_is_answered_before_the_kill(
    make_state: Callable[[ReducerRig, int], int], has_successor: bool, class_index: int, late_ms: int
) -> None:
    rig = rig_with_long_deadlines()
    rig.step(events.ClientConnected(99))
    rig.step(events.RequestHeadStarted(99))  # keeps the process from exiting
    rig.step(events.DrainRequested(has_successor))
    asked = rig.now
    rig.pass_time(late_ms * MS)
    request_id = make_state(rig, class_index)
    sent_on = any(e.request_id == request_id for e in rig.effects if isinstance(e, effects.SendAttempt))
    while rig.now < asked + min_time_to_kill(LONG_DEADLINES) - ANSWER_MARGIN:
        rig.pass_time(MS)
    answers = [a for a in rig.answers if a.request_id == request_id]
    assert len(answers) == 1, "one final answer, early enough for a process that stalls"
    assert answers[0].close_connection
    # What may have run is not answered as refused, unless running twice does no harm.
    assert answers[0].status in ((502, 504) if sent_on and class_index == PLACE else (429, 502, 504))
    if answers[0].status == 429:
        assert answers[0].retry_after
    before = len(rig.effects)
    rig.pass_time(timedelta(seconds=10))
    assert not [e for e in rig.effects[before:] if isinstance(e, effects.SendAttempt)], (
        "sent after its answer"
    )


@pytest.mark.parametrize("has_successor", [False, True])
def test_a_request_after_all_have_been_answered_is_refused_at_once(has_successor: bool) -> None:
    rig = rig_with_long_deadlines()
    rig.step(events.ClientConnected(99))
    rig.step(events.RequestHeadStarted(99))
    rig.step(events.DrainRequested(has_successor))
    rig.pass_time(min_time_to_kill(LONG_DEADLINES) - 50 * MS)
    request_id = rig.request(PLACE)
    assert [(a.status, a.close_connection) for a in rig.answers if a.request_id == request_id] == [
        (429, True)
    ]


def test_an_attempt_gets_no_more_time_than_is_left_before_the_kill() -> None:
    rig = rig_with_long_deadlines()
    rig.step(events.ClientConnected(99))
    rig.step(events.RequestHeadStarted(99))
    rig.step(events.DrainRequested())
    rig.pass_time(2000 * MS)
    sent(rig, PLACE)
    assert rig.last_attempt().time_left <= min_time_to_kill(LONG_DEADLINES) - ANSWER_MARGIN - 2000 * MS


def test_a_request_whose_body_is_still_coming_is_answered() -> None:
    rig = rig_with_long_deadlines()
    http_request = events.HttpRequest("POST", "/place-order", "long", (), b"x" * 10, True, 1_000_000)
    rig.step(events.ClientConnected(7))
    rig.step(events.RequestReceived(70, http_request, PLACE, 0, 9, timedelta(seconds=8), 1, 2, 0, False, 7))
    rig.open_connections()
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    assert rig.last_attempt().request_id == 70
    rig.step(events.ClientConnected(8))
    rig.step(events.RequestBodyStarted(8))
    rig.step(events.DrainRequested())
    rig.pass_time(min_time_to_kill(LONG_DEADLINES) - ANSWER_MARGIN)
    assert [(a.status, a.close_connection) for a in rig.answers if a.request_id == 70] == [(408, True)]
    assert effects.StopReadingBodies() in rig.effects, "the other request has not been reported as received"
    rig.step(events.RequestDiscarded(8))
    assert effects.Exit() in rig.effects


def test_a_streamed_answer_is_cut_so_that_its_client_can_tell() -> None:
    rig = rig_with_long_deadlines()
    rig.step(events.ClientConnected(1))
    sent(rig, CHECK)
    rig.step(events.StreamedAnswerStarted(rig.last_attempt().connection_id, "", None, {}))
    rig.step(events.DrainRequested())
    rig.pass_time(min_time_to_kill(LONG_DEADLINES) - ANSWER_MARGIN)
    assert effects.Exit() not in rig.effects, "the answer may still be completed"
    rig.pass_time(ANSWER_MARGIN)
    aborts = [e for e in rig.effects if isinstance(e, effects.AbortClient)]
    assert len(aborts) == 1 and rig.effects.index(aborts[0]) < rig.effects.index(effects.Exit())


@pytest.mark.parametrize("has_successor", [False, True])
@pytest.mark.parametrize("deadline", [0.1, 0.4, 1.2, 3.0, 30.0])
def test_the_drain_schedule_is_in_order_with_its_margins(deadline: float, has_successor: bool) -> None:
    min_to_kill = min_time_to_kill([replace(SETTINGS.classes[0], deadline=deadline)])
    assert min_to_kill == timedelta(seconds=min(deadline, 3.0) + 0.7)
    schedule = DrainSchedule.starting_at(START, min_to_kill, has_successor)
    assert (
        START
        < schedule.close_idle
        <= schedule.answer_all
        < schedule.exit
        < schedule.kill
        == START + min_to_kill
    )
    assert schedule.kill - schedule.answer_all > MAX_STALL + ingress_config().wake_up_slack
    if not has_successor:
        assert schedule.close_idle - START >= 400 * MS, "the platform sends new connections for so long"


def test_a_second_drain_request_gives_no_more_time() -> None:
    rig = rig_with_long_deadlines()
    rig.step(events.ClientConnected(99))
    rig.step(events.RequestHeadStarted(99))
    rig.step(events.DrainRequested())
    first = rig.reducer.state.drain_schedule
    rig.pass_time(1000 * MS)
    rig.step(events.DrainRequested())
    assert rig.reducer.state.drain_schedule == first
