"""Quota decisions of one gateway."""

from __future__ import annotations

import pytest

from starlinggap import interface
from starlinggap.quota import estimate_use, fits
from tests.gateway_rig import GatewayRig, settings


def test_papers_example_is_admitted_and_its_double_refused() -> None:
    used = estimate_use(3.0, 0.0, 0.9)
    assert fits(used, 3.0, 1.0)
    assert not fits(used, 3.0, 2.0)


@pytest.mark.parametrize(("cost", "sent"), [(1.0, True), (2.0, False)])
def test_papers_example_through_the_gateway(cost: float, sent: bool) -> None:
    # All 3 units were used just before the window ended; a tenth of the next window has passed.
    rig = GatewayRig(settings(plans=(interface.Plan(rate=1.0, burst=3.0),)))
    rig.advance_to(2.99)
    for _ in range(3):
        assert rig.request(units=1.0) == "sent"
    rig.advance_to(3.3)
    assert (rig.request(units=cost) == "sent") is sent


def test_a_refusal_takes_its_units_back_and_advises() -> None:
    rig = GatewayRig(settings())
    assert rig.request(units=4.0) == "sent"
    assert rig.request(units=4.0) == "sent"
    assert rig.request(units=4.0) == "refused"
    assert sum(rig.totals.values()) == 8.0
    assert 0 < rig.refusals[-1].retry_after <= 1.0


def test_true_units_are_settled_on_the_count() -> None:
    rig = GatewayRig(settings(charge_true_units=True))
    assert rig.request(units=2.0) == "sent"
    rig.finish(true_units=4.0)
    rig.advance_to(rig.now + 2.0)
    rig.poll()
    assert sum(rig.totals.values()) == 4.0


def test_full_burst_after_light_use_is_admitted() -> None:
    # Light use in the last window, then the full burst: the token bucket has refilled and holds all of it.
    rig = GatewayRig(settings())
    for at in (0.1, 5.0, 7.9):
        rig.advance_to(at)
        assert rig.request(units=1.0) == "sent"
        rig.finish()
    rig.advance_to(8.6)
    assert [rig.request(units=4.0) for _ in range(2)] == ["sent", "sent"]
    assert rig.request(units=4.0) == "refused"


def test_silent_counter_is_decided_locally_within_its_timeout() -> None:
    rig = GatewayRig(settings(), answering=False)
    assert rig.request(units=1.0) == "waiting"
    rig.advance_to(0.03)
    assert rig.last_state() == "sent"
    states = [rig.request(units=4.0, step=0.06) for _ in range(12)]
    assert states.count("refused") >= 8


def test_impatient_try_is_answered_while_the_counter_is_silent() -> None:
    rig = GatewayRig(settings(), answering=False)
    assert rig.request(units=1.0, budget=0.004) in ("sent", "refused")
    rig.request(units=1.0, budget=0.03)
    rig.advance_to(rig.now + 0.02)
    assert rig.last_state() in ("sent", "refused")


def test_emptied_counter_does_not_open_the_quota() -> None:
    rig = GatewayRig(settings())
    assert [rig.request(units=4.0) for _ in range(2)] == ["sent", "sent"]
    rig.totals.clear()
    assert rig.request(units=4.0) == "refused"


@pytest.mark.parametrize("total", [float("nan"), float("inf"), -1e9])
def test_garbage_totals_are_ignored(total: float) -> None:
    rig = GatewayRig(settings(), answering=False)
    rig.request(units=1.0)
    rig.answer_all(total)
    assert rig.last_state() == "sent"
    assert rig.request(units=100.0) in ("waiting", "refused")


def test_late_answer_is_refunded_when_the_request_was_refused() -> None:
    rig = GatewayRig(settings(), answering=False)
    rig.request(units=100.0)
    rig.advance_to(0.035)
    assert rig.last_state() == "refused"
    rig.answer_all(None)
    rig.answering = True
    rig.advance_to(2.0)
    rig.poll()
    assert sum(rig.totals.values()) == 0.0


@pytest.mark.parametrize("end", [interface.End.ERROR, interface.End.RESET])
@pytest.mark.parametrize(("before", "state"), [(1.0, "sent"), (8.0, "refused")])
def test_a_lost_total_is_read_again_and_decides_like_the_calls_own(
    end: interface.End, before: float, state: str
) -> None:
    rig = GatewayRig(settings(), answering=False)
    rig.request(units=2.0)
    call = rig.open_calls.pop()
    rig.totals[call.name] = before + call.amount
    rig.feed(interface.CountOutcome(call.name, 0.001, end))
    assert [c.amount for c in rig.open_calls] == [0.0]
    rig.answering = True
    rig.feed(rig.answer(rig.open_calls.pop()))
    assert rig.last_state() == state
    assert rig.totals[call.name] == before + (2.0 if state == "sent" else 0.0)
    assert rig.gateway.call_share == 1.0, "one lost total is no sign of overload"


def test_a_total_lost_twice_is_decided_without() -> None:
    rig = GatewayRig(settings(), answering=False)
    rig.request(units=2.0)
    for _ in range(2):
        rig.feed(interface.CountOutcome(rig.open_calls.pop().name, 0.001, interface.End.ERROR))
    assert rig.last_state() == "sent" and not rig.gateway.calls


PLAN_WITH_CEILING = interface.Plan(
    rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0, ceiling_slack=2.0
)


def test_an_account_met_late_has_the_part_of_the_ceiling_refilled_since_the_start() -> None:
    rig = GatewayRig(settings(plans=(PLAN_WITH_CEILING,), use_counter=False))
    rig.gateway.call_share = 0.0  # so that no total admits a request
    assert [rig.request(units=1.0, account=1) for _ in range(2)] == ["sent", "refused"]
    rig.finish()
    rig.advance_to(2.0)
    assert [rig.request(units=1.0, account=2) for _ in range(4)] == ["sent"] * 4


def test_totals_admit_only_what_the_part_of_the_ceiling_allows() -> None:
    # Each of four gateways has a quarter of 16 units, and just after its start only a quarter of the slack.
    rig = GatewayRig(settings(plans=(PLAN_WITH_CEILING,), gateways=4))
    assert rig.request(units=2.0, spread=4) == "refused"
    rig.advance_to(1.6)
    assert [rig.request(units=2.0, spread=4) for _ in range(2)] == ["sent", "refused"]
    rig.finish()
    rig.advance_to(3.6)
    assert [rig.request(units=2.0, spread=4) for _ in range(2)] == ["sent", "refused"]


def test_a_refusal_by_the_part_of_the_ceiling_says_when_the_part_holds_the_cost() -> None:
    rig = GatewayRig(settings(plans=(PLAN_WITH_CEILING,), gateways=4, max_retry_after=5.0))
    rig.request(units=2.0, spread=4)
    assert [refusal.retry_after for refusal in rig.refusals] == [pytest.approx(1.5)]


def test_after_lost_counts_totals_admit_only_what_the_part_of_the_ceiling_allows() -> None:
    rig = GatewayRig(settings(plans=(PLAN_WITH_CEILING,), gateways=4))
    rig.advance_to(10.0)
    assert [rig.request(units=2.0, spread=4) for _ in range(3)] == ["sent", "sent", "refused"]
    rig.totals.clear()
    assert [rig.request(units=2.0, spread=4) for _ in range(2)] == ["refused"] * 2


def test_accounts_seen_once_are_forgotten() -> None:
    # Bounds the memory: many accounts come once a day, or never again.
    rig = GatewayRig(settings())
    for n in range(200):
        rig.advance_to(n * 0.2)
        rig.request(account=1000 + n)
        rig.finish()
    assert len(rig.gateway.accounts) < 90
    rig.advance_to(80.0)
    assert not rig.gateway.accounts


def test_units_admitted_without_a_call_are_refunded_without_one() -> None:
    # Each refusal once cost an overloaded counter a call, so that it never recovered.
    rig = GatewayRig(settings(), answering=False, servers=1)
    for n in range(40):
        rig.gateway.call_share = 0.0
        rig.request(account=n % 4)
    assert sum(state == "refused" for state in rig.states.values()) > 20
    assert rig.call_count <= 1  # the probe
