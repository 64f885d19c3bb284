"""Connections from clients: how long one may ask nothing, and who makes room when there are too many."""

from __future__ import annotations

from datetime import timedelta

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from starlinggap import interface as i
from tests.reducer_rig import CHECK, ReducerRig


def closed(rig: ReducerRig) -> list[int]:
    return [e.client_id for e in rig.effects if isinstance(e, fx.CloseClient)]


def asked(rig: ReducerRig) -> int:
    """A client that has asked and has its answer."""
    rig.step(ev.ClientConnected(rig.last_request_id + 1))
    client = rig.request(CHECK, account=1000 + rig.last_request_id)
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.step(ev.ServerAnswered(rig.last_attempt().connection_id, i.End.OK, True, b""))
    return client


def test_a_client_that_asks_nothing_is_closed_within_three_seconds_of_connecting() -> None:
    rig = ReducerRig()
    rig.step(ev.ClientConnected(900))
    rig.pass_time(timedelta(seconds=2))
    assert not closed(rig)
    rig.pass_time(timedelta(milliseconds=700))
    assert closed(rig) == [900]


def test_a_client_that_asked_once_and_stays_is_closed_some_seconds_later() -> None:
    rig = ReducerRig()
    client = asked(rig)
    rig.pass_time(timedelta(seconds=2))
    assert not closed(rig)
    rig.pass_time(timedelta(seconds=1))
    assert closed(rig) == [client]
    assert not rig.reducer.state.clients_idle and not rig.reducer.state.clients_waiting


def test_a_client_that_waits_for_its_answer_is_not_closed() -> None:
    rig = ReducerRig()
    rig.step(ev.ClientConnected(1))
    assert rig.request(CHECK, time_left=timedelta(seconds=8)) == 1
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.pass_time(timedelta(milliseconds=1150))
    assert not closed(rig) and not rig.answers


def test_in_a_crowd_the_longest_silent_makes_room_first_then_the_longest_kept() -> None:
    rig = ReducerRig(max_clients=3)
    kept = asked(rig)
    rig.pass_time(timedelta(milliseconds=1750))
    for client in (901, 902):
        rig.step(ev.ClientConnected(client))
        rig.pass_time(timedelta(milliseconds=150))
    rig.step(ev.ClientConnected(903))
    assert closed(rig) == [901]
    rig.step(ev.ClientDisconnected(902))
    rig.step(ev.ClientConnected(904))
    rig.step(ev.ClientConnected(905))
    assert closed(rig) == [901, kept], "the silent ones have only just come"


def test_in_a_crowd_of_clients_that_have_just_come_the_newest_is_turned_away() -> None:
    # Guards those whose request is still on its way against the crowd behind them.
    rig = ReducerRig(max_clients=2)
    for client in (901, 902, 903):
        rig.step(ev.ClientConnected(client))
    assert closed(rig) == [903]


def test_in_a_crowd_that_asks_once_and_stays_first_answers_end_their_connections() -> None:
    rig = ReducerRig(keep_alive_limit=3)
    for _ in range(3):
        asked(rig)
    assert not any(a.close_connection for a in rig.answers)
    asked(rig)
    assert rig.answers[-1].close_connection
    # One that is used again is left alone.
    rig.last_request_id = 0
    rig.request(CHECK, account=2000)
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.step(ev.ServerAnswered(rig.last_attempt().connection_id, i.End.OK, True, b""))
    assert rig.answers[-1].request_id == 1 and not rig.answers[-1].close_connection
