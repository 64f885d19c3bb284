"""Connections from clients: how long one may ask nothing, and who makes room when there are too many."""

from __future__ import annotations

from datetime import timedelta

from opalgauge.memory import effects, events
from starlinggap import interface
from tests.reducer_rig import CHECK, ReducerRig


def closed_clients(rig: ReducerRig) -> list[int]:
    return [e.client_id for e in rig.effects if isinstance(e, effects.CloseClient)]


def serve_new_client(rig: ReducerRig) -> int:
    """A client that has asked and has its answer."""
    rig.step(events.ClientConnected(rig.last_request_id + 1))
    client = rig.request(CHECK, account=1000 + rig.last_request_id)
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.step(events.ServerAnswered(rig.last_attempt().connection_id, interface.End.OK, True, b""))
    return client


def test_a_client_that_asks_nothing_is_closed_within_three_seconds_of_connecting() -> None:
    rig = ReducerRig()
    rig.step(events.ClientConnected(900))
    rig.pass_time(timedelta(seconds=2))
    assert not closed_clients(rig)
    rig.pass_time(timedelta(milliseconds=700))
    assert closed_clients(rig) == [900]


def test_a_client_that_asked_once_and_stays_is_closed_some_seconds_later() -> None:
    rig = ReducerRig()
    client = serve_new_client(rig)
    rig.pass_time(timedelta(seconds=2))
    assert not closed_clients(rig)
    rig.pass_time(timedelta(seconds=1))
    assert closed_clients(rig) == [client]
    assert not rig.reducer.state.clients_idle and not rig.reducer.state.clients_waiting


def test_a_client_that_waits_for_its_answer_is_not_closed() -> None:
    rig = ReducerRig()
    rig.step(events.ClientConnected(1))
    assert rig.request(CHECK, time_left=timedelta(seconds=8)) == 1
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.pass_time(timedelta(milliseconds=1150))
    assert not closed_clients(rig) and not rig.answers


def test_in_a_crowd_the_longest_silent_makes_room_first_then_the_longest_kept() -> None:
    rig = ReducerRig(max_clients=3)
    kept = serve_new_client(rig)
    rig.pass_time(timedelta(milliseconds=1750))
    for client in (901, 902):
        rig.step(events.ClientConnected(client))
        rig.pass_time(timedelta(milliseconds=150))
    rig.step(events.ClientConnected(903))
    assert closed_clients(rig) == [901]
    rig.step(events.ClientDisconnected(902))
    rig.step(events.ClientConnected(904))
    rig.step(events.ClientConnected(905))
    assert closed_clients(rig) == [901, kept], "the silent ones have only just come"


def test_in_a_crowd_of_clients_that_have_just_come_the_newest_is_turned_away() -> None:
    # Guards those whose request is still on its way against the crowd behind them.
    rig = ReducerRig(max_clients=2)
    for client in (901, 902, 903):
        rig.step(events.ClientConnected(client))
    assert closed_clients(rig) == [903]


def test_in_a_crowd_that_asks_once_and_stays_first_answers_end_their_connections() -> None:
    rig = ReducerRig(keep_alive_limit=3)
    for _ in range(3):
        serve_new_client(rig)
    assert not any(a.close_connection for a in rig.answers)
    serve_new_client(rig)
    assert rig.answers[-1].close_connection
    # One that is used again is left alone.
    rig.last_request_id = 0
    rig.request(CHECK, account=2000)
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.step(events.ServerAnswered(rig.last_attempt().connection_id, interface.End.OK, True, b""))
    assert rig.answers[-1].request_id == 1 and not rig.answers[-1].close_connection
