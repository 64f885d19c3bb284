"""The reducer's own promises, without a socket: orders, attempts, the quota counter, the node list."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from starlinggap import interface as i
from tests.reducer_rig import CHECK, PLACE, SETTINGS, START, ReducerRig, node


def test_an_order_is_counted_sent_and_answered_on_one_connection() -> None:
    rig = ReducerRig()
    number = rig.order(PLACE, units=2.0)
    call = rig.counter_call()
    assert call.amount == 2.0
    rig.count(total=2.0)
    rig.read_last_window()
    attempt = rig.attempt()
    assert attempt.http_request.target == "/place-order"
    rig.step(ev.ServerAnswered(attempt.connection_id, i.End.OK, True, b"done"))
    assert [(a.request_id, a.status, a.body) for a in rig.answers] == [(number, 200, b"done")]
    rig.settle()
    rig.order(PLACE, units=2.0)
    rig.count(total=4.0)
    assert rig.attempt().connection_id == attempt.connection_id


@pytest.mark.parametrize(("told", "charged"), [(3.0, 3.0), (0.5, 0.5), (900.0, 3.0), (None, 2.0)])
def test_units_that_a_request_was_found_to_take_are_settled_on_its_count(told: float, charged: float) -> None:
    rig = ReducerRig(settings=replace(SETTINGS, charge_true_units=True))
    rig.order(PLACE, units=2.0)
    rig.count(total=2.0)
    rig.read_last_window()
    rig.step(ev.ServerAnswered(rig.attempt().connection_id, i.End.OK, True, b"done", true_units=told))
    rig.order(PLACE, units=1.0)  # what is still to be settled rides on the account's next call
    assert rig.counter_call().amount == charged - 2.0 + 1.0


def test_a_refusal_says_at_once_when_to_come_back() -> None:
    rig = ReducerRig()
    rig.order(PLACE)
    rig.count(total=1000.0)
    rig.read_last_window()
    answer = rig.answers[-1]
    assert answer.status == 429
    assert answer.retry_after is not None and answer.retry_after > timedelta(0)


@pytest.mark.parametrize(
    ("reached", "again"),
    [
        (ev.Progress.CONNECTING, True),
        (ev.Progress.WRITING, True),
        (ev.Progress.WRITTEN, False),
        (ev.Progress.ANSWERING, False),
    ],
)
def test_only_how_far_it_came_decides_whether_a_place_order_is_tried_again(
    reached: ev.Progress, again: bool
) -> None:
    rig = ReducerRig()
    rig.admit(PLACE)
    first = rig.attempt()
    rig.step(ev.ConnectionLost(first.connection_id, reached))
    if again:
        rig.bring_up()
        assert rig.attempt().connection_id != first.connection_id
    else:
        assert [a.status for a in rig.answers] == [502]


def test_a_call_given_up_closes_its_connection_before_anything_else_is_sent() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.out.clear()
    rig.pass_time(timedelta(seconds=3))
    assert fx.CloseConnection(line) in rig.out
    closed = rig.out.index(fx.CloseConnection(line))
    assert not [e for e in rig.out[:closed] if isinstance(e, fx.SendAttempt | fx.AnswerClient)]
    assert len(rig.answers) == 1


def test_silent_decisions_do_not_cost_a_client_its_answer() -> None:
    rig = ReducerRig()
    rig.reducer.gateway.handle = lambda now, events: []  # type: ignore[method-assign]
    number = rig.order(CHECK, left=timedelta(seconds=1))
    rig.pass_time(timedelta(milliseconds=980))
    assert not rig.answers
    rig.pass_time(timedelta(milliseconds=15))
    assert [(a.request_id, a.status) for a in rig.answers] == [(number, 504)]


def test_a_refusal_that_is_not_permitted_leaves_as_a_failure() -> None:
    rig = ReducerRig()
    number = rig.admit(PLACE)
    rig.reducer.gateway.handle = lambda now, events: [i.Refuse(number, 0.5)]  # type: ignore[method-assign]
    rig.step(ev.ConnectionLost(rig.attempt().connection_id, ev.Progress.WRITTEN))
    assert [a.status for a in rig.answers] == [502]


def test_a_second_attempt_while_the_first_is_out_is_not_sent() -> None:
    rig = ReducerRig()
    number = rig.admit(CHECK)
    first = rig.attempt()
    server = next(iter(rig.reducer.state.servers))
    heard: list[i.Event] = []

    def greedy(now: float, events: list[i.Event]) -> list[i.Action]:
        heard.extend(events)
        return [i.Send(number, server, now + 1.0)] if isinstance(events[0], i.TimerFired) else []

    rig.reducer.gateway.handle = greedy  # type: ignore[method-assign]
    rig.pass_time(timedelta(milliseconds=400))
    assert [e.end for e in heard if isinstance(e, i.Outcome)][:1] == [i.End.NOT_SENT]
    assert [e for e in rig.out if isinstance(e, fx.SendAttempt)] == [first]


def test_a_client_that_leaves_has_its_attempt_called_off() -> None:
    rig = ReducerRig()
    number = rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.step(ev.ClientDisconnected(number))
    assert fx.CloseConnection(line) in rig.out
    assert not rig.answers and not rig.reducer.state.attempts


def test_the_counter_answers_each_call_once_and_a_late_answer_is_dropped() -> None:
    rig = ReducerRig()
    heard = rig.listen()
    rig.order(PLACE)
    line = rig.counter_call().connection_id
    rig.pass_time(timedelta(milliseconds=85))
    assert [e.end for e in heard if isinstance(e, i.CountOutcome)] == [i.End.TIMEOUT]
    rig.step(ev.CounterAnswered(line, i.End.OK, 1.0, True))
    assert len([e for e in heard if isinstance(e, i.CountOutcome)]) == 1
    assert fx.CloseConnection(line) not in rig.out


def test_counter_answers_reach_the_decisions_in_call_order_when_the_line_breaks() -> None:
    rig = ReducerRig()
    heard = rig.listen()
    rig.order(PLACE, account=7)
    rig.order(PLACE, account=7)
    line = rig.counter_call().connection_id
    rig.step(ev.CounterAnswered(line, i.End.OK, 1.0, True))
    rig.step(ev.ConnectionLost(line, ev.Progress.WRITTEN))
    ends = [e.end for e in heard if isinstance(e, i.CountOutcome)]
    assert ends[0] is i.End.OK and set(ends[1:]) == {i.End.RESET}


def test_an_unanswered_counter_line_is_bounded_and_replaced() -> None:
    rig = ReducerRig(counter_pipeline_limit=4, counter_connections=1)
    for account in range(40):
        rig.order(PLACE, account=account)
    line = rig.reducer.state.counter_connections[0]
    assert len(line.unanswered_calls) + len(line.queued_calls) <= 4


def test_the_watch_is_asked_again_at_once_and_after_a_break_within_200_ms() -> None:
    rig = ReducerRig()
    line = rig.list_question().connection_id
    rig.pass_time(timedelta(milliseconds=500))
    rig.step(ev.ServerListAnswered(line, True, 9, i.ListKind.CHANGES, ()))
    assert rig.list_question().since_version == 9
    rig.step(ev.ConnectionLost(line, ev.Progress.WRITTEN))
    rig.pass_time(timedelta(milliseconds=150))
    opened = [
        e for e in rig.out if isinstance(e, fx.OpenConnection) and e.destination is fx.Destination.SERVER_LIST
    ]
    assert len(opened) == 2


def test_an_agent_that_does_not_wait_or_talks_nonsense_is_neither_flooded_nor_logged_at_length() -> None:
    rig = ReducerRig()
    for asked in range(1, 21):
        line = rig.list_question().connection_id
        rig.step(ev.ServerListAnswered(line, True, 9, i.ListKind.CHANGES, ()))
        assert len(rig.list_questions()) == asked
        rig.pass_time(timedelta(milliseconds=150))
        assert len(rig.list_questions()) == asked + 1
    for _ in range(20):
        rig.step(ev.ServerListAnswered(rig.list_question().connection_id, False))
        rig.pass_time(timedelta(milliseconds=150))
        rig.bring_up()
    assert rig.list_question().since_version is None
    assert len([e for e in rig.out if isinstance(e, fx.Log)]) == 1


def test_a_node_list_without_a_turn_is_asked_later_each_time_and_not_by_all_at_once() -> None:
    # Guards a node list shared by 40 ingresses: each was turned away and asked again 100 ms later, for ever.
    rigs = [ReducerRig(seed=n) for n in range(8)]
    for rig in rigs:
        for _ in range(6):
            rig.step(ev.ServerListAnswered(rig.list_question().connection_id, False, refused=True))
            asked = len(rig.list_questions())
            while len(rig.list_questions()) == asked:
                rig.pass_time(timedelta(milliseconds=100))
                rig.bring_up()
        assert rig.list_question().since_version == 7, "what was told before is asked on from"
        assert rig.now - START > timedelta(seconds=4)
        assert [e.text for e in rig.out if isinstance(e, fx.Log)] == [
            "node list: has no turn for us; asking again, later each time"
        ]
    assert len({rig.now for rig in rigs}) > 4


def test_forty_ingresses_that_start_at_once_ask_the_node_list_one_after_another() -> None:
    # A herd that asked at once was turned away, and what it had asked for kept the others waiting for a day.
    rigs = [ReducerRig(seed=n, list_fleet_turn=timedelta(seconds=4)) for n in range(40)]
    first = []
    for rig in rigs:
        while not rig.list_questions():
            rig.pass_time(timedelta(milliseconds=50))
            rig.bring_up()
        first.append(rig.now - START)
    assert max(first) <= timedelta(seconds=4.1)
    seconds = [at // timedelta(seconds=1) for at in first]
    assert max(seconds.count(n) for n in range(4)) <= 16
    rig = rigs[0]
    rig.step(ev.ServerListAnswered(rig.list_question().connection_id, False, refused=True))
    asked = len(rig.list_questions())
    rig.pass_time(timedelta(milliseconds=1900))
    rig.bring_up()
    assert len(rig.list_questions()) == asked, "half a turn at least"


def test_a_silent_node_list_is_asked_anew_and_serving_goes_on() -> None:
    rig = ReducerRig()
    line = rig.list_question().connection_id
    rig.pass_time(timedelta(seconds=22))
    assert fx.CloseConnection(line) in rig.out
    rig.admit(CHECK)
    assert rig.attempt()


def test_idle_connections_close_before_the_stock_node_would_and_when_it_is_gone() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.step(ev.ServerAnswered(line, i.End.OK, True, b""))
    rig.pass_time(timedelta(seconds=8))
    assert fx.CloseConnection(line) not in rig.out
    rig.pass_time(timedelta(seconds=2))
    assert fx.CloseConnection(line) in rig.out
    rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.step(ev.ServerAnswered(line, i.End.OK, True, b""))
    while (
        rig.list_question().connection_id not in rig.reducer.state.connections
    ):  # it may be between two watches
        rig.pass_time(timedelta(milliseconds=100))
        rig.bring_up()
    rig.step(
        ev.ServerListAnswered(rig.list_question().connection_id, True, 12, i.ListKind.COMPLETE, (node(99),))
    )
    assert fx.CloseConnection(line) in rig.out


def test_a_probe_goes_out_on_a_connection_and_its_report_comes_back() -> None:
    rig = ReducerRig()
    heard: list[i.Event] = []
    asked: list[i.Action] = [i.Probe(2), i.Probe(3)]

    def handle(now: float, events: list[i.Event]) -> list[i.Action]:
        heard.extend(events)
        actions, asked[:] = list(asked), []
        return actions

    rig.reducer.gateway.handle = handle  # type: ignore[method-assign]
    rig.order(CHECK)
    first, second = (e.connection_id for e in rig.out if isinstance(e, fx.SendProbe))
    rig.step(ev.ServerAnswered(first, i.End.OK, True, load={"util": 0.5}))
    rig.pass_time(timedelta(milliseconds=300))
    told = [(e.server, e.end, e.load) for e in heard if isinstance(e, i.ProbeOutcome)]
    assert told == [(2, i.End.OK, {"util": 0.5}), (3, i.End.TIMEOUT, {})]
    assert fx.CloseConnection(second) in rig.out and fx.CloseConnection(first) not in rig.out


def test_close_drops_the_idle_connections_to_that_stock_node() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.step(ev.ServerAnswered(line, i.End.OK, True, b""))
    node_number = rig.reducer.state.connections[line].server_id
    rig.reducer.gateway.handle = lambda now, events: [i.Close(node_number)]  # type: ignore[method-assign]
    rig.order(CHECK)
    assert fx.CloseConnection(line) in rig.out


def test_a_full_house_of_connections_makes_room_or_says_so() -> None:
    rig = ReducerRig(max_server_connections=2, nodes=3)
    for _ in range(6):
        rig.admit(CHECK)
    assert rig.reducer.state.server_connection_count <= 2


def test_too_many_orders_are_refused_at_once() -> None:
    rig = ReducerRig(max_requests=2)
    for _ in range(4):
        rig.order(CHECK)
    assert [a.status for a in rig.answers] == [429, 429]


def test_what_is_due_rides_on_other_events_and_is_woken_for_within_the_slack() -> None:
    # Guards the hot path: a wake-up of its own for every timer, most of them due in vain, was 12% of the CPU.
    rig = ReducerRig()
    heard = rig.listen()
    rig.order(CHECK, left=timedelta(seconds=1))
    due = rig.reducer.timers[0][0]
    asked = [e for e in rig.out if isinstance(e, fx.WakeAt)][-1]
    assert due < asked.at <= due + timedelta(milliseconds=3)
    rig.now = due
    rig.step(ev.ConnectionLost(999_999, ev.Progress.WRITTEN))
    assert [e for e in heard if isinstance(e, i.TimerFired)]


def test_a_drain_answers_all_and_leaves_when_nothing_is_owed() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.step(ev.DrainRequested())
    rig.step(ev.CloseIdleRequested())
    assert fx.StopListening() in rig.out and fx.Exit() not in rig.out
    rig.step(ev.ServerAnswered(line, i.End.OK, True, b""))
    assert rig.answers[-1].close_connection
    assert fx.Exit() in rig.out


def test_an_attempt_put_on_a_connection_that_is_over_goes_over_another_and_counts_once() -> None:
    rig = ReducerRig(nodes=1)
    rig.admit(PLACE)
    old = rig.attempt().connection_id
    rig.step(ev.ServerAnswered(old, i.End.OK, True, b""))
    rig.settle()
    rig.admit(PLACE)
    assert rig.attempt().connection_id == old
    heard = rig.listen()
    rig.step(ev.ConnectionStale(old))
    rig.bring_up()
    new = rig.attempt().connection_id
    assert new != old and not [e for e in heard if isinstance(e, i.Outcome)]
    rig.step(ev.ServerAnswered(new, i.End.OK, True, b""))
    assert rig.answers[-1].status == 200
    assert [(e.attempt, e.end) for e in heard if isinstance(e, i.Outcome)] == [(0, i.End.OK)]


def test_a_call_put_on_a_counter_connection_that_is_over_goes_over_another() -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    rig.order(CHECK, account=1000)
    call = rig.counter_call()
    heard = rig.listen()
    rig.step(ev.ConnectionStale(call.connection_id))
    rig.bring_up()
    again = rig.counter_call()
    assert (again.name, again.amount) == (
        call.name,
        call.amount,
    ) and again.connection_id != call.connection_id
    rig.count(total=2.0)
    assert [e.end for e in heard if isinstance(e, i.CountOutcome)] == [i.End.OK]


def test_nobody_waits_longer_than_the_deadline_of_the_kind() -> None:
    # Guards the memory too: what an order leaves behind is kept until its time is up.
    rig = ReducerRig()
    rig.order(CHECK, left=timedelta(hours=1))
    rig.pass_time(timedelta(milliseconds=1250))
    assert rig.answers and not rig.reducer.state.requests and not rig.reducer.state.open_correlation_ids


@pytest.mark.parametrize("rest", [True, False])
def test_an_answer_that_begins_and_does_not_go_on_is_given_up_soon(rest: bool) -> None:
    rig = ReducerRig()
    rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.step(ev.AnswerPartReceived(line))
    if rest:
        rig.step(ev.ServerAnswered(line, i.End.OK, True, b""))
    rig.pass_time(timedelta(milliseconds=310))
    assert (fx.CloseConnection(line) in rig.out) is not rest
    assert [a.status for a in rig.answers] == ([200] if rest else [])
    if not rest:
        rig.bring_up()
        assert rig.attempt().connection_id != line, "a stock-check is sent again"


def test_a_counter_answer_that_does_not_go_on_frees_the_calls_behind_it() -> None:
    rig = ReducerRig()
    rig.order(CHECK)
    line = rig.counter_call().connection_id
    rig.step(ev.AnswerPartReceived(line))
    rig.pass_time(timedelta(milliseconds=110))
    assert fx.CloseConnection(line) in rig.out


@pytest.mark.parametrize("kind", [i.ListKind.CHANGES, i.ListKind.COMPLETE])
def test_a_new_stock_node_at_an_old_ones_address_takes_its_place(kind: i.ListKind) -> None:
    rig = ReducerRig(nodes=1)
    rig.admit(CHECK)
    line = rig.attempt().connection_id
    rig.step(ev.ServerAnswered(line, i.End.OK, True, b""))
    heard = rig.listen()
    old, new = node(1), ev.ListedServer(node(1).address, i.ServerEntry(9, i.Health.READY, started=1.0))
    told = (old, new) if kind is i.ListKind.COMPLETE else (new,)
    rig.step(ev.ServerListAnswered(rig.list_question().connection_id, True, 8, kind, told))
    assert fx.CloseConnection(line) in rig.out
    assert set(rig.reducer.state.servers) == {9}
    entries = [e for e in heard if isinstance(e, i.ServerList)][-1].entries
    assert [e.health for e in entries if e.server == 1][-1] is i.Health.GONE
    assert rig.reducer.gateway.ready == [9]


def test_a_watch_that_died_in_silence_is_noticed_within_two_seconds() -> None:
    rig = ReducerRig()
    first = rig.list_question()
    assert first.wait <= timedelta(seconds=1), "an agent that lives has answered by then"
    rig.pass_time(timedelta(milliseconds=1500))
    rig.bring_up()
    assert fx.CloseConnection(first.connection_id) in rig.out
    assert (
        rig.list_question().connection_id != first.connection_id
        and rig.list_question().since_version == first.since_version
    )


@pytest.mark.parametrize("lives", [True, False])
def test_a_counter_connection_that_is_silent_while_others_answer_is_replaced(lives: bool) -> None:
    # Guards the accounts whose names share it: each of their calls would time out.
    rig = ReducerRig()
    rig.order(CHECK, account=42)
    dead = rig.counter_call()
    rig.pass_time(timedelta(milliseconds=100))
    if lives:
        account = 43
        while rig.counter_call().connection_id == dead.connection_id:
            rig.order(CHECK, account=account)
            account += 1
        rig.count(total=1.0)
    rig.pass_time(timedelta(milliseconds=150))
    assert (fx.CloseConnection(dead.connection_id) in rig.out) is lives
    rig.pass_time(timedelta(seconds=2))
    assert fx.CloseConnection(dead.connection_id) in rig.out
