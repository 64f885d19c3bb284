"""Tests of the reducer without sockets: requests, attempts, the quota counter and the server list."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory import effects, events
from starlinggap import interface
from tests.reducer_rig import CHECK, PLACE, SETTINGS, START, ReducerRig, listed_server


def test_a_request_is_counted_sent_and_answered_over_a_reused_connection() -> None:
    rig = ReducerRig()
    request_id = rig.request(PLACE, units=2.0)
    call = rig.last_counter_call()
    assert call.amount == 2.0
    rig.answer_counter(total=2.0)
    rig.answer_last_window()
    attempt = rig.last_attempt()
    assert attempt.http_request.target == "/place-order"
    rig.step(events.ServerAnswered(attempt.connection_id, interface.End.OK, True, b"done"))
    assert [(a.request_id, a.status, a.body) for a in rig.answers] == [(request_id, 200, b"done")]
    rig.wait_until_reusable()
    rig.request(PLACE, units=2.0)
    rig.answer_counter(total=4.0)
    assert rig.last_attempt().connection_id == attempt.connection_id


@pytest.mark.parametrize(("true_units", "charged"), [(3.0, 3.0), (0.5, 0.5), (900.0, 3.0), (None, 2.0)])
def test_true_units_of_a_request_are_settled_with_the_next_count(true_units: float, charged: float) -> None:
    rig = ReducerRig(settings=replace(SETTINGS, charge_true_units=True))
    rig.request(PLACE, units=2.0)
    rig.answer_counter(total=2.0)
    rig.answer_last_window()
    rig.step(
        events.ServerAnswered(
            rig.last_attempt().connection_id, interface.End.OK, True, b"done", true_units=true_units
        )
    )
    rig.request(PLACE, units=1.0)  # the difference is settled with the account's next call
    assert rig.last_counter_call().amount == charged - 2.0 + 1.0


def test_a_refusal_carries_retry_after() -> None:
    rig = ReducerRig()
    rig.request(PLACE)
    rig.answer_counter(total=1000.0)
    rig.answer_last_window()
    answer = rig.answers[-1]
    assert answer.status == 429
    assert answer.retry_after is not None and answer.retry_after > timedelta(0)


@pytest.mark.parametrize(
    ("progress", "retried"),
    [
        (events.Progress.CONNECTING, True),
        (events.Progress.WRITING, True),
        (events.Progress.WRITTEN, False),
        (events.Progress.ANSWERING, False),
    ],
)
def test_only_the_progress_of_an_attempt_decides_whether_an_unsafe_request_is_retried(
    progress: events.Progress, retried: bool
) -> None:
    rig = ReducerRig()
    rig.admit(PLACE)
    first = rig.last_attempt()
    rig.step(events.ConnectionLost(first.connection_id, progress))
    if retried:
        rig.open_connections()
        assert rig.last_attempt().connection_id != first.connection_id
    else:
        assert [a.status for a in rig.answers] == [502]


def test_an_attempt_that_times_out_closes_its_connection_before_anything_else_is_sent() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.effects.clear()
    rig.pass_time(timedelta(seconds=3))
    assert effects.CloseConnection(connection_id) in rig.effects
    closed = rig.effects.index(effects.CloseConnection(connection_id))
    assert not [e for e in rig.effects[:closed] if isinstance(e, effects.SendAttempt | effects.AnswerClient)]
    assert len(rig.answers) == 1


def test_a_client_is_answered_although_the_gateway_decides_nothing() -> None:
    rig = ReducerRig()
    rig.reducer.gateway.handle = lambda now, events: []  # type: ignore[method-assign]
    request_id = rig.request(CHECK, time_left=timedelta(seconds=1))
    rig.pass_time(timedelta(milliseconds=980))
    assert not rig.answers
    rig.pass_time(timedelta(milliseconds=15))
    assert [(a.request_id, a.status) for a in rig.answers] == [(request_id, 504)]


def test_a_refusal_of_what_may_have_run_becomes_a_failure() -> None:
    rig = ReducerRig()
    request_id = rig.admit(PLACE)
    rig.reducer.gateway.handle = lambda now, events: [interface.Refuse(request_id, 0.5)]  # type: ignore[method-assign]
    rig.step(events.ConnectionLost(rig.last_attempt().connection_id, events.Progress.WRITTEN))
    assert [a.status for a in rig.answers] == [502]


def test_a_second_attempt_while_the_first_is_open_is_not_sent() -> None:
    rig = ReducerRig()
    request_id = rig.admit(CHECK)
    first = rig.last_attempt()
    server = next(iter(rig.reducer.state.servers))
    recorded: list[interface.Event] = []

    def greedy(now: float, events: list[interface.Event]) -> list[interface.Action]:
        recorded.extend(events)
        return (
            [interface.Send(request_id, server, now + 1.0)]
            if isinstance(events[0], interface.TimerFired)
            else []
        )

    rig.reducer.gateway.handle = greedy  # type: ignore[method-assign]
    rig.pass_time(timedelta(milliseconds=400))
    assert [e.end for e in recorded if isinstance(e, interface.Outcome)][:1] == [interface.End.NOT_SENT]
    assert [e for e in rig.effects if isinstance(e, effects.SendAttempt)] == [first]


def test_the_attempt_of_a_client_that_leaves_is_cancelled() -> None:
    rig = ReducerRig()
    request_id = rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.ClientDisconnected(request_id))
    assert effects.CloseConnection(connection_id) in rig.effects
    assert not rig.answers and not rig.reducer.state.attempts


def test_the_counter_answers_each_call_once_and_a_late_answer_is_dropped() -> None:
    rig = ReducerRig()
    recorded = rig.record_gateway_events()
    rig.request(PLACE)
    connection_id = rig.last_counter_call().connection_id
    rig.pass_time(timedelta(milliseconds=85))
    assert [e.end for e in recorded if isinstance(e, interface.CountOutcome)] == [interface.End.TIMEOUT]
    rig.step(events.CounterAnswered(connection_id, interface.End.OK, 1.0, True))
    assert len([e for e in recorded if isinstance(e, interface.CountOutcome)]) == 1
    assert effects.CloseConnection(connection_id) not in rig.effects


def test_counter_answers_reach_the_gateway_in_call_order_when_the_connection_breaks() -> None:
    rig = ReducerRig()
    recorded = rig.record_gateway_events()
    rig.request(PLACE, account=7)
    rig.request(PLACE, account=7)
    connection_id = rig.last_counter_call().connection_id
    rig.step(events.CounterAnswered(connection_id, interface.End.OK, 1.0, True))
    rig.step(events.ConnectionLost(connection_id, events.Progress.WRITTEN))
    ends = [e.end for e in recorded if isinstance(e, interface.CountOutcome)]
    assert ends[0] is interface.End.OK and set(ends[1:]) == {interface.End.RESET}


def test_unanswered_calls_on_a_counter_connection_are_bounded() -> None:
    rig = ReducerRig(counter_pipeline_limit=4, counter_connections=1)
    for account in range(40):
        rig.request(PLACE, account=account)
    connection_id = rig.reducer.state.counter_connections[0]
    assert len(connection_id.unanswered_calls) + len(connection_id.queued_calls) <= 4


def test_the_list_is_asked_for_again_at_once_and_within_200_ms_after_a_break() -> None:
    rig = ReducerRig()
    connection_id = rig.last_list_request().connection_id
    rig.pass_time(timedelta(milliseconds=500))
    rig.step(events.ServerListAnswered(connection_id, True, 9, interface.ListKind.CHANGES, ()))
    assert rig.last_list_request().since_version == 9
    rig.step(events.ConnectionLost(connection_id, events.Progress.WRITTEN))
    rig.pass_time(timedelta(milliseconds=150))
    opened = [
        e
        for e in rig.effects
        if isinstance(e, effects.OpenConnection) and e.destination is effects.Destination.SERVER_LIST
    ]
    assert len(opened) == 2


def test_an_agent_that_does_not_wait_or_is_unreadable_is_neither_flooded_nor_logged_at_length() -> None:
    rig = ReducerRig()
    for asked in range(1, 21):
        connection_id = rig.last_list_request().connection_id
        rig.step(events.ServerListAnswered(connection_id, True, 9, interface.ListKind.CHANGES, ()))
        assert len(rig.list_requests()) == asked
        rig.pass_time(timedelta(milliseconds=150))
        assert len(rig.list_requests()) == asked + 1
    for _ in range(20):
        rig.step(events.ServerListAnswered(rig.last_list_request().connection_id, False))
        rig.pass_time(timedelta(milliseconds=150))
        rig.open_connections()
    assert rig.last_list_request().since_version is None
    assert len([e for e in rig.effects if isinstance(e, effects.Log)]) == 1


def test_a_server_list_that_refuses_is_asked_with_growing_random_pauses() -> None:
    # With a server list shared by 40 ingresses, each was refused and asked again 100 ms later, for ever.
    rigs = [ReducerRig(seed=n) for n in range(8)]
    for rig in rigs:
        for _ in range(6):
            rig.step(events.ServerListAnswered(rig.last_list_request().connection_id, False, refused=True))
            asked = len(rig.list_requests())
            while len(rig.list_requests()) == asked:
                rig.pass_time(timedelta(milliseconds=100))
                rig.open_connections()
        assert rig.last_list_request().since_version == 7, "it goes on from the version that it knows"
        assert rig.now - START > timedelta(seconds=4)
        assert [e.text for e in rig.effects if isinstance(e, effects.Log)] == [
            "node list: has no turn for us; asking again, later each time"
        ]
    assert len({rig.now for rig in rigs}) > 4


def test_forty_ingresses_that_start_at_once_spread_their_requests_for_the_list() -> None:
    # When all asked at once they were refused, and what they had asked for kept the others waiting for a day.
    rigs = [ReducerRig(seed=n, list_fleet_turn=timedelta(seconds=4)) for n in range(40)]
    first = []
    for rig in rigs:
        while not rig.list_requests():
            rig.pass_time(timedelta(milliseconds=50))
            rig.open_connections()
        first.append(rig.now - START)
    assert max(first) <= timedelta(seconds=4.1)
    seconds = [at // timedelta(seconds=1) for at in first]
    assert max(seconds.count(n) for n in range(4)) <= 16
    rig = rigs[0]
    rig.step(events.ServerListAnswered(rig.last_list_request().connection_id, False, refused=True))
    asked = len(rig.list_requests())
    rig.pass_time(timedelta(milliseconds=1900))
    rig.open_connections()
    assert len(rig.list_requests()) == asked, "it waits half a turn at least"


def test_a_silent_server_list_is_asked_anew_and_serving_goes_on() -> None:
    rig = ReducerRig()
    connection_id = rig.last_list_request().connection_id
    rig.pass_time(timedelta(seconds=22))
    assert effects.CloseConnection(connection_id) in rig.effects
    rig.admit(CHECK)
    assert rig.last_attempt()


def test_idle_connections_close_before_the_server_closes_them_and_when_it_is_gone() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.ServerAnswered(connection_id, interface.End.OK, True, b""))
    rig.pass_time(timedelta(seconds=8))
    assert effects.CloseConnection(connection_id) not in rig.effects
    rig.pass_time(timedelta(seconds=2))
    assert effects.CloseConnection(connection_id) in rig.effects
    rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.ServerAnswered(connection_id, interface.End.OK, True, b""))
    # There may be no connection to the agent just now.
    while rig.last_list_request().connection_id not in rig.reducer.state.connections:
        rig.pass_time(timedelta(milliseconds=100))
        rig.open_connections()
    rig.step(
        events.ServerListAnswered(
            rig.last_list_request().connection_id, True, 12, interface.ListKind.COMPLETE, (listed_server(99),)
        )
    )
    assert effects.CloseConnection(connection_id) in rig.effects


def test_a_probe_goes_out_on_a_connection_and_its_report_comes_back() -> None:
    rig = ReducerRig()
    recorded: list[interface.Event] = []
    probes: list[interface.Action] = [interface.Probe(2), interface.Probe(3)]

    def handle(now: float, events: list[interface.Event]) -> list[interface.Action]:
        recorded.extend(events)
        actions, probes[:] = list(probes), []
        return actions

    rig.reducer.gateway.handle = handle  # type: ignore[method-assign]
    rig.request(CHECK)
    first, second = (e.connection_id for e in rig.effects if isinstance(e, effects.SendProbe))
    rig.step(events.ServerAnswered(first, interface.End.OK, True, load={"util": 0.5}))
    rig.pass_time(timedelta(milliseconds=300))
    outcomes = [(e.server, e.end, e.load) for e in recorded if isinstance(e, interface.ProbeOutcome)]
    assert outcomes == [(2, interface.End.OK, {"util": 0.5}), (3, interface.End.TIMEOUT, {})]
    assert (
        effects.CloseConnection(second) in rig.effects and effects.CloseConnection(first) not in rig.effects
    )


def test_close_drops_the_idle_connections_to_that_server() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.ServerAnswered(connection_id, interface.End.OK, True, b""))
    server_id = rig.reducer.state.connections[connection_id].server_id
    rig.reducer.gateway.handle = lambda now, events: [interface.Close(server_id)]  # type: ignore[method-assign]
    rig.request(CHECK)
    assert effects.CloseConnection(connection_id) in rig.effects


def test_connections_to_servers_are_bounded() -> None:
    rig = ReducerRig(max_server_connections=2, server_count=3)
    for _ in range(6):
        rig.admit(CHECK)
    assert rig.reducer.state.server_connection_count <= 2


def test_too_many_requests_are_refused_at_once() -> None:
    rig = ReducerRig(max_requests=2)
    for _ in range(4):
        rig.request(CHECK)
    assert [a.status for a in rig.answers] == [429, 429]


def test_due_timers_run_with_other_events_or_at_a_wake_up_within_the_slack() -> None:
    # A wake-up of its own for every timer, most of which no longer apply when due, took 12% of the CPU.
    rig = ReducerRig()
    recorded = rig.record_gateway_events()
    rig.request(CHECK, time_left=timedelta(seconds=1))
    due = rig.reducer.timers.next_due()
    assert due is not None
    asked = [e for e in rig.effects if isinstance(e, effects.WakeAt)][-1]
    assert due < asked.at <= due + timedelta(milliseconds=3)
    rig.now = due
    rig.step(events.ConnectionLost(999_999, events.Progress.WRITTEN))
    assert [e for e in recorded if isinstance(e, interface.TimerFired)]


def test_a_drain_answers_all_and_exits_when_nothing_is_owed() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.DrainRequested())
    rig.step(events.CloseIdleRequested())
    assert effects.StopListening() in rig.effects and effects.Exit() not in rig.effects
    rig.step(events.ServerAnswered(connection_id, interface.End.OK, True, b""))
    assert rig.answers[-1].close_connection
    assert effects.Exit() in rig.effects


def test_an_attempt_on_a_stale_connection_goes_over_another_and_counts_once() -> None:
    rig = ReducerRig(server_count=1)
    rig.admit(PLACE)
    old = rig.last_attempt().connection_id
    rig.step(events.ServerAnswered(old, interface.End.OK, True, b""))
    rig.wait_until_reusable()
    rig.admit(PLACE)
    assert rig.last_attempt().connection_id == old
    recorded = rig.record_gateway_events()
    rig.step(events.ConnectionStale(old))
    rig.open_connections()
    new = rig.last_attempt().connection_id
    assert new != old and not [e for e in recorded if isinstance(e, interface.Outcome)]
    rig.step(events.ServerAnswered(new, interface.End.OK, True, b""))
    assert rig.answers[-1].status == 200
    assert [(e.attempt, e.end) for e in recorded if isinstance(e, interface.Outcome)] == [
        (0, interface.End.OK)
    ]


def test_a_counter_call_on_a_stale_connection_goes_over_another() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    rig.request(CHECK, account=1000)
    call = rig.last_counter_call()
    recorded = rig.record_gateway_events()
    rig.step(events.ConnectionStale(call.connection_id))
    rig.open_connections()
    again = rig.last_counter_call()
    assert (again.name, again.amount) == (
        call.name,
        call.amount,
    ) and again.connection_id != call.connection_id
    rig.answer_counter(total=2.0)
    assert [e.end for e in recorded if isinstance(e, interface.CountOutcome)] == [interface.End.OK]


def test_nobody_waits_longer_than_the_deadline_of_the_class() -> None:
    # This also bounds the memory: a request's timers are kept until they are due.
    rig = ReducerRig()
    rig.request(CHECK, time_left=timedelta(hours=1))
    rig.pass_time(timedelta(milliseconds=1250))
    assert rig.answers and not rig.reducer.state.requests and not rig.reducer.state.open_correlation_ids


@pytest.mark.parametrize("parts", [[True, True], [True], [False, False]])
@pytest.mark.parametrize("rest_comes", [True, False])
def test_an_answer_that_pauses_has_all_of_its_clients_time(rest_comes: bool, parts: list[bool]) -> None:
    rig = ReducerRig()
    request_id = rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.pass_time(timedelta(milliseconds=550))
    for head_complete in parts:
        rig.step(events.AnswerPartReceived(connection_id, head_complete))
    rig.pass_time(timedelta(milliseconds=600))
    assert effects.CloseConnection(connection_id) not in rig.effects and not rig.answers
    if rest_comes:
        rig.step(events.ServerAnswered(connection_id, interface.End.OK, True, b""))
    rig.pass_time(timedelta(milliseconds=26))
    passed_on = not rest_comes and parts == [True, True]
    assert (effects.StreamAnswer(connection_id) in rig.effects) is passed_on
    assert (effects.CloseConnection(connection_id) in rig.effects) is not (rest_comes or passed_on)
    if passed_on:
        rig.step(events.StreamedAnswerStarted(connection_id, "", None, {}))
        assert rig.answers[-1].stream_connection_id == connection_id
        rig.step(events.StreamedAnswerEnded(request_id, True))
    assert [a.status for a in rig.answers] == ([200] if rest_comes or passed_on else [429])
    assert len([e for e in rig.effects if isinstance(e, effects.SendAttempt)]) == 1, "not sent again"


def test_a_draining_process_fails_an_answer_that_it_could_not_pass_on_to_its_end() -> None:
    rig = ReducerRig()
    rig.request(PLACE, time_left=timedelta(seconds=3))
    rig.answer_counter(total=1.0)
    rig.answer_last_window()
    connection_id = rig.last_attempt().connection_id
    rig.step(events.DrainRequested())
    rig.pass_time(timedelta(milliseconds=2900))
    rig.step(events.AnswerPartReceived(connection_id))
    rig.step(events.AnswerPartReceived(connection_id))
    rig.pass_time(timedelta(milliseconds=76))
    assert effects.StreamAnswer(connection_id) not in rig.effects
    assert [a.status for a in rig.answers] == [504]


def test_a_counter_answer_that_stalls_frees_the_calls_behind_it() -> None:
    rig = ReducerRig()
    rig.request(CHECK)
    connection_id = rig.last_counter_call().connection_id
    rig.step(events.AnswerPartReceived(connection_id))
    rig.pass_time(timedelta(milliseconds=110))
    assert effects.CloseConnection(connection_id) in rig.effects


@pytest.mark.parametrize("list_kind", [interface.ListKind.CHANGES, interface.ListKind.COMPLETE])
def test_a_new_server_at_an_old_ones_address_replaces_it(list_kind: interface.ListKind) -> None:
    rig = ReducerRig(server_count=1)
    rig.admit(CHECK)
    connection_id = rig.last_attempt().connection_id
    rig.step(events.ServerAnswered(connection_id, interface.End.OK, True, b""))
    recorded = rig.record_gateway_events()
    old, new = (
        listed_server(1),
        events.ListedServer(
            listed_server(1).address, interface.ServerEntry(9, interface.Health.READY, started=1.0)
        ),
    )
    listed = (old, new) if list_kind is interface.ListKind.COMPLETE else (new,)
    rig.step(events.ServerListAnswered(rig.last_list_request().connection_id, True, 8, list_kind, listed))
    assert effects.CloseConnection(connection_id) in rig.effects
    assert set(rig.reducer.state.servers) == {9}
    entries = [e for e in recorded if isinstance(e, interface.ServerList)][-1].entries
    assert [e.health for e in entries if e.server == 1][-1] is interface.Health.GONE
    assert rig.reducer.gateway.ready == [9]


def test_a_list_connection_that_died_in_silence_is_replaced_within_two_seconds() -> None:
    rig = ReducerRig()
    first = rig.last_list_request()
    assert first.wait <= timedelta(seconds=1), "a working agent has answered by then"
    rig.pass_time(timedelta(milliseconds=1500))
    rig.open_list_connection()
    second = rig.last_list_request()
    assert second.connection_id != first.connection_id and second.since_version == first.since_version
    rig.step(events.ServerListAnswered(second.connection_id, True, 8, interface.ListKind.CHANGES, ()))
    assert effects.CloseConnection(first.connection_id) in rig.effects


def test_list_connections_over_which_nothing_comes_do_not_pile_up() -> None:
    """Guards against running out of descriptors while the agent is silent."""
    rig = ReducerRig()
    for _ in range(30):
        rig.pass_time(timedelta(seconds=1))
        rig.open_list_connection()
        open_connections = [
            connection
            for connection in rig.reducer.state.connections.values()
            if connection.destination is effects.Destination.SERVER_LIST
        ]
        assert 1 <= len(open_connections) <= 6


@pytest.mark.parametrize("others_answer", [True, False])
def test_a_counter_connection_that_is_silent_while_others_answer_is_replaced(others_answer: bool) -> None:
    # Else each call of the accounts that use this connection would time out.
    rig = ReducerRig()
    rig.request(CHECK, account=42)
    dead = rig.last_counter_call()
    rig.pass_time(timedelta(milliseconds=100))
    if others_answer:
        account = 43
        while rig.last_counter_call().connection_id == dead.connection_id:
            rig.request(CHECK, account=account)
            account += 1
        rig.answer_counter(total=1.0)
    rig.pass_time(timedelta(milliseconds=150))
    assert (effects.CloseConnection(dead.connection_id) in rig.effects) is others_answer
    rig.pass_time(timedelta(seconds=2))
    assert effects.CloseConnection(dead.connection_id) in rig.effects
