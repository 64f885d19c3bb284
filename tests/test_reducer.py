"""The reducer's own promises, without a socket: orders, attempts, the quota counter, the node list."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from starlinggap import interface as i
from tests.desk import CHECK, PLACE, SETTINGS, START, Desk, node


def test_an_order_is_counted_sent_and_answered_on_one_connection() -> None:
    desk = Desk()
    number = desk.order(PLACE, units=2.0)
    call = desk.counter_call()
    assert call.amount == 2.0
    desk.count(total=2.0)
    desk.read_last_window()
    attempt = desk.attempt()
    assert attempt.errand.target == "/place-order"
    desk.step(ev.NodeAnswered(attempt.line, i.End.OK, True, b"done"))
    assert [(a.order, a.status, a.body) for a in desk.answers] == [(number, 200, b"done")]
    desk.settle()
    desk.order(PLACE, units=2.0)
    desk.count(total=4.0)
    assert desk.attempt().line == attempt.line


@pytest.mark.parametrize(("told", "charged"), [(3.0, 3.0), (0.5, 0.5), (900.0, 3.0), (None, 2.0)])
def test_units_that_a_request_was_found_to_take_are_settled_on_its_count(told: float, charged: float) -> None:
    desk = Desk(settings=replace(SETTINGS, settles=True))
    desk.order(PLACE, units=2.0)
    desk.count(total=2.0)
    desk.read_last_window()
    desk.step(ev.NodeAnswered(desk.attempt().line, i.End.OK, True, b"done", true_units=told))
    desk.order(PLACE, units=1.0)  # what is still to be settled rides on the account's next call
    assert desk.counter_call().amount == charged - 2.0 + 1.0


def test_a_refusal_says_at_once_when_to_come_back() -> None:
    desk = Desk()
    desk.order(PLACE)
    desk.count(total=1000.0)
    desk.read_last_window()
    answer = desk.answers[-1]
    assert answer.status == 429
    assert answer.retry_after is not None and answer.retry_after > timedelta(0)


@pytest.mark.parametrize(
    ("reached", "again"),
    [
        (ev.Reached.CONNECTING, True),
        (ev.Reached.WRITING, True),
        (ev.Reached.WRITTEN, False),
        (ev.Reached.ANSWERING, False),
    ],
)
def test_only_how_far_it_came_decides_whether_a_place_order_is_tried_again(
    reached: ev.Reached, again: bool
) -> None:
    desk = Desk()
    desk.admit(PLACE)
    first = desk.attempt()
    desk.step(ev.LineEnded(first.line, reached))
    if again:
        desk.bring_up()
        assert desk.attempt().line != first.line
    else:
        assert [a.status for a in desk.answers] == [502]


def test_a_call_given_up_closes_its_connection_before_anything_else_is_sent() -> None:
    desk = Desk()
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.out.clear()
    desk.pass_time(timedelta(seconds=3))
    assert fx.CloseLine(line) in desk.out
    closed = desk.out.index(fx.CloseLine(line))
    assert not [e for e in desk.out[:closed] if isinstance(e, fx.SendAttempt | fx.AnswerClient)]
    assert len(desk.answers) == 1


def test_silent_decisions_do_not_cost_a_client_its_answer() -> None:
    desk = Desk()
    desk.reducer.gateway.handle = lambda now, events: []  # type: ignore[method-assign]
    number = desk.order(CHECK, left=timedelta(seconds=1))
    desk.pass_time(timedelta(milliseconds=980))
    assert not desk.answers
    desk.pass_time(timedelta(milliseconds=15))
    assert [(a.order, a.status) for a in desk.answers] == [(number, 504)]


def test_a_refusal_that_is_not_permitted_leaves_as_a_failure() -> None:
    desk = Desk()
    number = desk.admit(PLACE)
    desk.reducer.gateway.handle = lambda now, events: [i.Refuse(number, 0.5)]  # type: ignore[method-assign]
    desk.step(ev.LineEnded(desk.attempt().line, ev.Reached.WRITTEN))
    assert [a.status for a in desk.answers] == [502]


def test_a_second_attempt_while_the_first_is_out_is_not_sent() -> None:
    desk = Desk()
    number = desk.admit(CHECK)
    first = desk.attempt()
    server = next(iter(desk.reducer.books.nodes))
    heard: list[i.Event] = []

    def greedy(now: float, events: list[i.Event]) -> list[i.Action]:
        heard.extend(events)
        return [i.Send(number, server, now + 1.0)] if isinstance(events[0], i.TimerFired) else []

    desk.reducer.gateway.handle = greedy  # type: ignore[method-assign]
    desk.pass_time(timedelta(milliseconds=400))
    assert [e.end for e in heard if isinstance(e, i.Outcome)][:1] == [i.End.MOOT]
    assert [e for e in desk.out if isinstance(e, fx.SendAttempt)] == [first]


def test_a_client_that_leaves_has_its_attempt_called_off() -> None:
    desk = Desk()
    number = desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.ClientLeft(number))
    assert fx.CloseLine(line) in desk.out
    assert not desk.answers and not desk.reducer.books.attempts


def test_the_counter_answers_each_call_once_and_a_late_answer_is_dropped() -> None:
    desk = Desk()
    heard = desk.listen()
    desk.order(PLACE)
    line = desk.counter_call().line
    desk.pass_time(timedelta(milliseconds=85))
    assert [e.end for e in heard if isinstance(e, i.Counted)] == [i.End.TIMEOUT]
    desk.step(ev.CounterAnswered(line, i.End.OK, 1.0, True))
    assert len([e for e in heard if isinstance(e, i.Counted)]) == 1
    assert fx.CloseLine(line) not in desk.out


def test_counter_answers_reach_the_decisions_in_call_order_when_the_line_breaks() -> None:
    desk = Desk()
    heard = desk.listen()
    desk.order(PLACE, account=7)
    desk.order(PLACE, account=7)
    line = desk.counter_call().line
    desk.step(ev.CounterAnswered(line, i.End.OK, 1.0, True))
    desk.step(ev.LineEnded(line, ev.Reached.WRITTEN))
    ends = [e.end for e in heard if isinstance(e, i.Counted)]
    assert ends[0] is i.End.OK and set(ends[1:]) == {i.End.RESET}


def test_an_unanswered_counter_line_is_bounded_and_replaced() -> None:
    desk = Desk(counter_depth=4, counter_lines=1)
    for account in range(40):
        desk.order(PLACE, account=account)
    line = desk.reducer.books.counter[0]
    assert len(line.written) + len(line.waiting) <= 4


def test_the_watch_is_asked_again_at_once_and_after_a_break_within_200_ms() -> None:
    desk = Desk()
    line = desk.list_question().line
    desk.pass_time(timedelta(milliseconds=500))
    desk.step(ev.NodeListAnswered(line, True, 9, i.ListKind.CHANGES, ()))
    assert desk.list_question().since == 9
    desk.step(ev.LineEnded(line, ev.Reached.WRITTEN))
    desk.pass_time(timedelta(milliseconds=150))
    opened = [e for e in desk.out if isinstance(e, fx.OpenLine) and e.party is fx.Party.NODE_LIST]
    assert len(opened) == 2


def test_an_agent_that_does_not_wait_or_talks_nonsense_is_neither_flooded_nor_logged_at_length() -> None:
    desk = Desk()
    for asked in range(1, 21):
        line = desk.list_question().line
        desk.step(ev.NodeListAnswered(line, True, 9, i.ListKind.CHANGES, ()))
        assert len(desk.list_questions()) == asked
        desk.pass_time(timedelta(milliseconds=150))
        assert len(desk.list_questions()) == asked + 1
    for _ in range(20):
        desk.step(ev.NodeListAnswered(desk.list_question().line, False))
        desk.pass_time(timedelta(milliseconds=150))
        desk.bring_up()
    assert desk.list_question().since is None
    assert len([e for e in desk.out if isinstance(e, fx.Log)]) == 1


def test_a_node_list_without_a_turn_is_asked_later_each_time_and_not_by_all_at_once() -> None:
    # Guards a node list shared by 40 ingresses: each was turned away and asked again 100 ms later, for ever.
    desks = [Desk(seed=n) for n in range(8)]
    for desk in desks:
        for _ in range(6):
            desk.step(ev.NodeListAnswered(desk.list_question().line, False, turned_away=True))
            asked = len(desk.list_questions())
            while len(desk.list_questions()) == asked:
                desk.pass_time(timedelta(milliseconds=100))
                desk.bring_up()
        assert desk.list_question().since == 7, "what was told before is asked on from"
        assert desk.now - START > timedelta(seconds=4)
        assert [e.text for e in desk.out if isinstance(e, fx.Log)] == [
            "node list: has no turn for us; asking again, later each time"
        ]
    assert len({desk.now for desk in desks}) > 4


def test_forty_ingresses_that_start_at_once_ask_the_node_list_one_after_another() -> None:
    # A herd that asked at once was turned away, and what it had asked for kept the others waiting for a day.
    desks = [Desk(seed=n, list_turn=timedelta(seconds=4)) for n in range(40)]
    first = []
    for desk in desks:
        while not desk.list_questions():
            desk.pass_time(timedelta(milliseconds=50))
            desk.bring_up()
        first.append(desk.now - START)
    assert max(first) <= timedelta(seconds=4.1)
    seconds = [at // timedelta(seconds=1) for at in first]
    assert max(seconds.count(n) for n in range(4)) <= 16
    desk = desks[0]
    desk.step(ev.NodeListAnswered(desk.list_question().line, False, turned_away=True))
    asked = len(desk.list_questions())
    desk.pass_time(timedelta(milliseconds=1900))
    desk.bring_up()
    assert len(desk.list_questions()) == asked, "half a turn at least"


def test_a_silent_node_list_is_asked_anew_and_serving_goes_on() -> None:
    desk = Desk()
    line = desk.list_question().line
    desk.pass_time(timedelta(seconds=22))
    assert fx.CloseLine(line) in desk.out
    desk.admit(CHECK)
    assert desk.attempt()


def test_idle_connections_close_before_the_stock_node_would_and_when_it_is_gone() -> None:
    desk = Desk()
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.NodeAnswered(line, i.End.OK, True, b""))
    desk.pass_time(timedelta(seconds=8))
    assert fx.CloseLine(line) not in desk.out
    desk.pass_time(timedelta(seconds=2))
    assert fx.CloseLine(line) in desk.out
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.NodeAnswered(line, i.End.OK, True, b""))
    while desk.list_question().line not in desk.reducer.books.lines:  # it may be between two watches
        desk.pass_time(timedelta(milliseconds=100))
        desk.bring_up()
    desk.step(ev.NodeListAnswered(desk.list_question().line, True, 12, i.ListKind.WHOLE, (node(99),)))
    assert fx.CloseLine(line) in desk.out


def test_a_probe_goes_out_on_a_connection_and_its_report_comes_back() -> None:
    desk = Desk()
    heard: list[i.Event] = []
    asked: list[i.Action] = [i.Probe(2), i.Probe(3)]

    def handle(now: float, events: list[i.Event]) -> list[i.Action]:
        heard.extend(events)
        actions, asked[:] = list(asked), []
        return actions

    desk.reducer.gateway.handle = handle  # type: ignore[method-assign]
    desk.order(CHECK)
    first, second = (e.line for e in desk.out if isinstance(e, fx.SendProbe))
    desk.step(ev.NodeAnswered(first, i.End.OK, True, load={"util": 0.5}))
    desk.pass_time(timedelta(milliseconds=300))
    told = [(e.server, e.end, e.load) for e in heard if isinstance(e, i.Probed)]
    assert told == [(2, i.End.OK, {"util": 0.5}), (3, i.End.TIMEOUT, {})]
    assert fx.CloseLine(second) in desk.out and fx.CloseLine(first) not in desk.out


def test_close_drops_the_idle_connections_to_that_stock_node() -> None:
    desk = Desk()
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.NodeAnswered(line, i.End.OK, True, b""))
    node_number = desk.reducer.books.lines[line].node
    desk.reducer.gateway.handle = lambda now, events: [i.Close(node_number)]  # type: ignore[method-assign]
    desk.order(CHECK)
    assert fx.CloseLine(line) in desk.out


def test_a_full_house_of_connections_makes_room_or_says_so() -> None:
    desk = Desk(most_lines=2, nodes=3)
    for _ in range(6):
        desk.admit(CHECK)
    assert desk.reducer.books.node_lines <= 2


def test_too_many_orders_are_refused_at_once() -> None:
    desk = Desk(most_orders=2)
    for _ in range(4):
        desk.order(CHECK)
    assert [a.status for a in desk.answers] == [429, 429]


def test_what_is_due_rides_on_other_events_and_is_woken_for_within_the_slack() -> None:
    # Guards the hot path: a wake-up of its own for every timer, most of them due in vain, was 12% of the CPU.
    desk = Desk()
    heard = desk.listen()
    desk.order(CHECK, left=timedelta(seconds=1))
    due = desk.reducer.due[0][0]
    asked = [e for e in desk.out if isinstance(e, fx.WakeAt)][-1]
    assert due < asked.at <= due + timedelta(milliseconds=3)
    desk.now = due
    desk.step(ev.LineEnded(999_999, ev.Reached.WRITTEN))
    assert [e for e in heard if isinstance(e, i.TimerFired)]


def test_a_drain_answers_all_and_leaves_when_nothing_is_owed() -> None:
    desk = Desk()
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.DrainAsked())
    desk.step(ev.GraceOver())
    assert fx.CloseFront() in desk.out and fx.Leave() not in desk.out
    desk.step(ev.NodeAnswered(line, i.End.OK, True, b""))
    assert desk.answers[-1].last
    assert fx.Leave() in desk.out


def test_an_attempt_put_on_a_connection_that_is_over_goes_over_another_and_counts_once() -> None:
    desk = Desk(nodes=1)
    desk.admit(PLACE)
    old = desk.attempt().line
    desk.step(ev.NodeAnswered(old, i.End.OK, True, b""))
    desk.settle()
    desk.admit(PLACE)
    assert desk.attempt().line == old
    heard = desk.listen()
    desk.step(ev.LineStale(old))
    desk.bring_up()
    new = desk.attempt().line
    assert new != old and not [e for e in heard if isinstance(e, i.Outcome)]
    desk.step(ev.NodeAnswered(new, i.End.OK, True, b""))
    assert desk.answers[-1].status == 200
    assert [(e.attempt, e.end) for e in heard if isinstance(e, i.Outcome)] == [(0, i.End.OK)]


def test_a_call_put_on_a_counter_connection_that_is_over_goes_over_another() -> None:
    desk = Desk()
    desk.admit(CHECK)
    desk.order(CHECK, account=1000)
    call = desk.counter_call()
    heard = desk.listen()
    desk.step(ev.LineStale(call.line))
    desk.bring_up()
    again = desk.counter_call()
    assert (again.name, again.amount) == (call.name, call.amount) and again.line != call.line
    desk.count(total=2.0)
    assert [e.end for e in heard if isinstance(e, i.Counted)] == [i.End.OK]


def test_nobody_waits_longer_than_the_deadline_of_the_kind() -> None:
    # Guards the memory too: what an order leaves behind is kept until its time is up.
    desk = Desk()
    desk.order(CHECK, left=timedelta(hours=1))
    desk.pass_time(timedelta(milliseconds=1250))
    assert desk.answers and not desk.reducer.books.orders and not desk.reducer.books.open_ids


@pytest.mark.parametrize("rest", [True, False])
def test_an_answer_that_begins_and_does_not_go_on_is_given_up_soon(rest: bool) -> None:
    desk = Desk()
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.AnswerBegun(line))
    if rest:
        desk.step(ev.NodeAnswered(line, i.End.OK, True, b""))
    desk.pass_time(timedelta(milliseconds=310))
    assert (fx.CloseLine(line) in desk.out) is not rest
    assert [a.status for a in desk.answers] == ([200] if rest else [])
    if not rest:
        desk.bring_up()
        assert desk.attempt().line != line, "a stock-check is sent again"


def test_a_counter_answer_that_does_not_go_on_frees_the_calls_behind_it() -> None:
    desk = Desk()
    desk.order(CHECK)
    line = desk.counter_call().line
    desk.step(ev.AnswerBegun(line))
    desk.pass_time(timedelta(milliseconds=110))
    assert fx.CloseLine(line) in desk.out


@pytest.mark.parametrize("kind", [i.ListKind.CHANGES, i.ListKind.WHOLE])
def test_a_new_stock_node_at_an_old_ones_address_takes_its_place(kind: i.ListKind) -> None:
    desk = Desk(nodes=1)
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.NodeAnswered(line, i.End.OK, True, b""))
    heard = desk.listen()
    old, new = node(1), ev.StockNode(node(1).address, i.ServerEntry(9, i.Health.READY, started=1.0))
    told = (old, new) if kind is i.ListKind.WHOLE else (new,)
    desk.step(ev.NodeListAnswered(desk.list_question().line, True, 8, kind, told))
    assert fx.CloseLine(line) in desk.out
    assert set(desk.reducer.books.nodes) == {9}
    entries = [e for e in heard if isinstance(e, i.ServerList)][-1].entries
    assert [e.health for e in entries if e.server == 1][-1] is i.Health.GONE
    assert desk.reducer.gateway.ready == [9]


def test_a_watch_that_died_in_silence_is_noticed_within_two_seconds() -> None:
    desk = Desk()
    first = desk.list_question()
    assert first.wait <= timedelta(seconds=1), "an agent that lives has answered by then"
    desk.pass_time(timedelta(milliseconds=1500))
    desk.bring_up()
    assert fx.CloseLine(first.line) in desk.out
    assert desk.list_question().line != first.line and desk.list_question().since == first.since


@pytest.mark.parametrize("lives", [True, False])
def test_a_counter_connection_that_is_silent_while_others_answer_is_replaced(lives: bool) -> None:
    # Guards the accounts whose names share it: each of their calls would time out.
    desk = Desk()
    desk.order(CHECK, account=42)
    dead = desk.counter_call()
    desk.pass_time(timedelta(milliseconds=100))
    if lives:
        account = 43
        while desk.counter_call().line == dead.line:
            desk.order(CHECK, account=account)
            account += 1
        desk.count(total=1.0)
    desk.pass_time(timedelta(milliseconds=150))
    assert (fx.CloseLine(dead.line) in desk.out) is lives
    desk.pass_time(timedelta(seconds=2))
    assert fx.CloseLine(dead.line) in desk.out
