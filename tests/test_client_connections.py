"""Client connections: how long one may be idle, and which are closed when there are too many."""

from __future__ import annotations

from datetime import timedelta

from opalgauge.memory import effects, events
from starlinggap import interface
from tests.reducer_rig import CHECK, ReducerRig


def closed_clients(rig: ReducerRig) -> list[int]:
    return [e.client_id for e in rig.effects if isinstance(e, effects.CloseClient)]


def serve_new_client(rig: ReducerRig) -> int:
    """Connects a client and answers one request of it; returns its id."""
    rig.step(events.ClientConnected(rig.last_request_id + 1))
    client = rig.request(CHECK, account=1000 + rig.last_request_id)
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.step(events.ServerAnswered(rig.last_attempt().connection_id, interface.End.OK, True, b""))
    return client


def test_a_client_that_sends_nothing_is_closed_within_three_seconds() -> None:
    rig = ReducerRig()
    rig.step(events.ClientConnected(900))
    rig.pass_time(timedelta(seconds=2))
    assert not closed_clients(rig)
    rig.pass_time(timedelta(milliseconds=700))
    assert closed_clients(rig) == [900]


def test_a_client_that_stays_idle_after_a_request_is_closed() -> None:
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


def test_at_the_limit_the_longest_silent_client_is_closed_first_then_the_longest_idle() -> None:
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
    assert closed_clients(rig) == [901, kept], "the silent clients have only just connected"


def test_at_the_limit_of_clients_that_have_just_connected_the_newest_is_closed() -> None:
    # The requests of those who connected earlier may still be on their way.
    rig = ReducerRig(max_clients=2)
    for client in (901, 902, 903):
        rig.step(events.ClientConnected(client))
    assert closed_clients(rig) == [903]


def test_with_many_idle_clients_first_answers_close_their_connections() -> None:
    rig = ReducerRig(keep_alive_limit=3)
    for _ in range(3):
        serve_new_client(rig)
    assert not any(a.close_connection for a in rig.answers)
    serve_new_client(rig)
    assert rig.answers[-1].close_connection
    # A connection that is used again is kept.
    rig.last_request_id = 0
    rig.request(CHECK, account=2000)
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    rig.step(events.ServerAnswered(rig.last_attempt().connection_id, interface.End.OK, True, b""))
    assert rig.answers[-1].request_id == 1 and not rig.answers[-1].close_connection
