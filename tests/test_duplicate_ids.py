"""Requests whose id is open already, held until it is known whether the earlier client has left."""

from __future__ import annotations

from datetime import timedelta

import pytest

from opalgauge.memory import effects, events
from opalgauge.memory.duplicates import MAX_HELD_DUPLICATES
from opalgauge.memory.reducer import MAX_DEPARTURE_WAIT
from starlinggap.interface import End
from tests.reducer_rig import CHECK, PLACE, ReducerRig

TIME_LEFT = timedelta(seconds=1)


def repeat_of(request_id: int, class_index: int, number: int) -> events.RequestReceived:
    """The event of a request with the id of an earlier one, from a client of its own."""
    method, target = ("GET", "/stock-check") if class_index == CHECK else ("POST", "/place-order")
    http_request = events.HttpRequest(method, target, f"id-{request_id}", (), b"")
    account = 1000 + request_id - 1
    return events.RequestReceived(
        number, http_request, class_index, 0, account, TIME_LEFT, 1.0, 2, 0, False, number
    )


def rig_with_held(class_index: int) -> tuple[ReducerRig, int, int]:
    """A rig, and the numbers of a request at its server and of a held one with the same id."""
    rig = ReducerRig()
    earlier = rig.admit(class_index)
    repeat = earlier + 100
    rig.step(repeat_of(earlier, class_index, repeat))
    assert effects.DropUnreadBytes(earlier) in rig.effects
    assert not rig.answers
    return rig, earlier, repeat


def statuses(rig: ReducerRig) -> list[tuple[int, int]]:
    """Which requests have been answered, with which status."""
    return [(answer.request_id, answer.status) for answer in rig.answers]


def test_a_duplicate_is_rejected_at_once_where_nothing_hides_its_clients_end() -> None:
    rig, earlier, repeat = rig_with_held(CHECK)
    rig.step(events.NothingUnread(earlier))
    assert statuses(rig) == [(repeat, 400)]


def test_a_duplicate_is_rejected_when_the_earlier_client_has_not_left_in_time() -> None:
    rig, earlier, repeat = rig_with_held(CHECK)
    rig.pass_time(MAX_DEPARTURE_WAIT + timedelta(milliseconds=1))
    assert statuses(rig) == [(repeat, 400)]
    rig.step(events.ClientDisconnected(earlier))
    assert statuses(rig) == [(repeat, 400)], "one answer"


@pytest.mark.parametrize("class_index", [CHECK, PLACE])
def test_a_duplicate_goes_on_once_the_earlier_client_has_left(class_index: int) -> None:
    rig, earlier, repeat = rig_with_held(class_index)
    waited = timedelta(milliseconds=50)
    rig.pass_time(waited)
    rig.step(events.AttemptWritten(rig.last_attempt().connection_id))
    rig.step(events.ClientDisconnected(earlier))
    if class_index == PLACE:
        assert statuses(rig) == [(repeat, 502)], "it may have run"
        return
    assert rig.reducer.state.requests[repeat].answer_by <= rig.now + TIME_LEFT - waited
    assert not rig.answers


def test_a_duplicate_of_an_order_that_was_answered_to_nobody_does_not_run() -> None:
    rig, earlier, repeat = rig_with_held(PLACE)
    rig.step(events.ServerAnswered(rig.last_attempt().connection_id, End.OK, True, b""))
    assert statuses(rig) == [(earlier, 200)]
    rig.step(events.ClientDisconnected(earlier))
    assert statuses(rig) == [(earlier, 200), (repeat, 502)]


def test_a_duplicate_whose_own_client_leaves_leaves_nothing_behind() -> None:
    rig, earlier, repeat = rig_with_held(CHECK)
    state = rig.reducer.state
    rig.step(events.ClientDisconnected(repeat))
    assert not state.held_duplicates and repeat not in state.clients_waiting
    assert state.memory_in_use == state.requests[earlier].memory
    rig.pass_time(MAX_DEPARTURE_WAIT * 2)
    assert repeat not in dict(statuses(rig))


def test_a_second_duplicate_of_one_request_is_rejected_at_once() -> None:
    rig, earlier, repeat = rig_with_held(CHECK)
    rig.step(repeat_of(earlier, CHECK, repeat + 1))
    assert statuses(rig) == [(repeat + 1, 400)]


def test_held_duplicates_are_bounded() -> None:
    rig = ReducerRig()
    earlier = [rig.request(CHECK, account=number) for number in range(MAX_HELD_DUPLICATES + 1)]
    for request_id in earlier:
        rig.step(repeat_of(request_id, CHECK, request_id + 100))
    assert [status for number, status in statuses(rig) if number > 100] == [400]


@pytest.mark.parametrize("departs", [False, True])
def test_a_held_duplicate_is_answered_before_a_draining_process_exits(departs: bool) -> None:
    rig, earlier, repeat = rig_with_held(CHECK)
    rig.step(events.DrainRequested(False))
    rig.step(events.ServerAnswered(rig.last_attempt().connection_id, End.OK, True, b""))
    assert effects.Exit() not in rig.effects
    if departs:
        rig.step(events.ClientDisconnected(earlier))
    rig.pass_time(timedelta(seconds=4))
    assert [number for number, _ in statuses(rig)].count(repeat) == 1
    assert effects.Exit() in rig.effects
