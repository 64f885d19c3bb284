"""Lease scenarios with six ingress processes, a shared counter, and faults on all paths between them."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from opalgauge.lab.experiments import HALVES, PEER_FAULTS, quota_figures
from opalgauge.lab.fleet import Scenario, run_scenario
from opalgauge.lab.quotas import PLANS

CUT, BACK, END = 2.0, 8.0, 9.0
BASE = Scenario(
    ingresses=6, zone_leave="off", leases="on", mean_work=0.005, plans=PLANS, seconds=END,
    schedule=f"{PEER_FAULTS}{CUT}s counter.* cut\n{BACK}s counter.* heal",
)  # fmt: skip
HALVES_APART = "".join(
    f"{CUT}s peers.{a}.{b} cut\n{CUT}s peers.{b}.{a} cut\n" for a in HALVES[0] for b in HALVES[1]
)
SILENT_FOR_SOME = PEER_FAULTS + "".join(
    f"{CUT}s counter.{n} silence\n{BACK}s counter.{n} heal\n" for n in HALVES[0]
)
SCENARIOS = {
    "counter gone": BASE,
    "counter slower": replace(
        BASE, schedule=PEER_FAULTS, counter_work=0.0016, counter_slowdown=(CUT, BACK, 7.7)
    ),
    "gone for some": replace(BASE, schedule=SILENT_FOR_SOME),
    "two halves": replace(BASE, schedule=BASE.schedule + "\n" + HALVES_APART),
    "two halves, one with the counter": replace(BASE, schedule=SILENT_FOR_SOME + HALVES_APART),
    "restarted while it holds leases": replace(BASE, ingress_restarts=((CUT + 2.0, 0),)),
    "accounts that move": replace(BASE, shift_interval=1.5),
    "with all parts on": replace(BASE, zone_leave="on", replicate=True, ingress_restarts=((CUT + 2.0, 0),)),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_plan_exceeds_its_bound_and_no_request_is_lost(name: str) -> None:
    scenario = SCENARIOS[name]
    result = asyncio.run(run_scenario(scenario, (CUT + 3.5,)))
    assert result.lost == 0 and result.duplicates == 0
    figures = quota_figures(result, scenario, (CUT, BACK))
    for deviation in figures["plans"].values():
        assert deviation["overshoot_percent"] <= deviation["stated_overshoot_percent"]
        assert deviation["wrongly_refused_percent"] <= deviation["stated_refused_percent"]
    stats_by_ingress = [ingress_stats for ingress_stats in result.stats[0][1] if ingress_stats]
    gone = [ingress_stats["leases.counter"] for ingress_stats in stats_by_ingress].count("gone")
    assert gone >= (0 if "slower" in name else 2)
    assert all(int(ingress_stats["peers.words_sent"]) > 0 for ingress_stats in stats_by_ingress)
    if scenario.replicate:
        assert max(int(ingress_stats["replica.counts"]) for ingress_stats in stats_by_ingress) > 0
        assert all(
            f"zone.hall-{z}.state" in ingress_stats for ingress_stats in stats_by_ingress for z in "abc"
        )
