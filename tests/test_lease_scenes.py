"""Six ingresses, each a process, their quotas on one counter, and faults on every path between them."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from opalgauge.lab.experiments import HALVES, WORDS, quota_figures
from opalgauge.lab.fleet import Plan, play
from opalgauge.lab.quotas import TARIFFS

CUT, BACK, END = 2.0, 8.0, 9.0
BASE = Plan(
    ingresses=6, leave="off", leases="on", work=0.005, tariffs=TARIFFS, seconds=END,
    schedule=f"{WORDS}{CUT}s counter.* cut\n{BACK}s counter.* heal",
)  # fmt: skip
APART = "".join(f"{CUT}s peers.{a}.{b} cut\n{CUT}s peers.{b}.{a} cut\n" for a in HALVES[0] for b in HALVES[1])
SOME = WORDS + "".join(f"{CUT}s counter.{n} silence\n{BACK}s counter.{n} heal\n" for n in HALVES[0])
SCENES = {
    "counter gone": BASE,
    "counter slower": replace(BASE, schedule=WORDS, counter_work=0.0016, counter_slow=(CUT, BACK, 7.7)),
    "gone for some": replace(BASE, schedule=SOME),
    "two halves": replace(BASE, schedule=BASE.schedule + "\n" + APART),
    "two halves, one with the counter": replace(BASE, schedule=SOME + APART),
    "restarted while it holds leases": replace(BASE, restarts=((CUT + 2.0, 0),)),
    "accounts that move": replace(BASE, shift=1.5),
    "with all parts on": replace(BASE, leave="on", replicate=True, restarts=((CUT + 2.0, 0),)),
}


@pytest.mark.parametrize("name", SCENES)
def test_no_tariff_passes_its_bound_and_no_request_is_lost(name: str) -> None:
    plan = SCENES[name]
    result = asyncio.run(play(plan, (CUT + 3.5,)))
    assert result.lost == 0 and result.doubled == 0
    told = quota_figures(result, plan, (CUT, BACK))
    for share in told["plans"].values():
        assert share["overshoot_percent"] <= share["stated_overshoot_percent"]
        assert share["wrongly_refused_percent"] <= share["stated_refused_percent"]
    doors = [door for door in result.figures[0][1] if door]
    gone = [door["leases.counter"] for door in doors].count("gone")
    assert gone >= (0 if "slower" in name else 2)
    assert all(int(door["peers.words_sent"]) > 0 for door in doors)
    if plan.replicate:
        assert max(int(door["replica.counts"]) for door in doors) > 0
        assert all(f"zone.hall-{z}.state" in door for door in doors for z in "abc")
