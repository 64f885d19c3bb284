"""Zone scenarios with five ingress processes, servers in three zones, and the fault proxy between them."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from opalgauge.lab.experiments import leave_times
from opalgauge.lab.fault_proxy import PathFaults, Schedule, ScheduleError
from opalgauge.lab.fleet import Result, Scenario, run_scenario

CUT, BACK, END = 1.5, 5.0, 9.5
PEERS = "0s peers.* drop 7.2%\n0s peers.* delay 2ms 17ms\n0s peers.* reorder 10%\n"
BASE = Scenario(
    rate=80.0, seconds=END, warm_up=4.0, zone_restart=(BACK, "hall-a"),
    schedule=f"{PEERS}{CUT}s hall-a.* cut\n{BACK}s hall-a.* heal",
)  # fmt: skip


def run_checked(scenario: Scenario, *sample_times: float) -> Result:
    result = asyncio.run(run_scenario(scenario, sample_times))
    assert result.lost == 0 and result.duplicates == 0
    assert result.served + result.late + result.refused + result.failed >= 0.99 * result.requests
    return result


def zone_states(result: Result, zone: str, sample: int = 0) -> list[str]:
    return [ingress_stats[f"zone.{zone}.state"] for ingress_stats in result.stats[sample][1] if ingress_stats]


def log_counts(result: Result, text: str) -> list[int]:
    """How many log lines of each ingress contain the text."""
    return [sum(text in line for line in log) for log in result.logs]


@pytest.mark.parametrize(
    "extra_faults",
    [
        "", "0s peers.* drop 50%", "0s peers.* drop 100%", "0s peers.0.* cut\n0s peers.*.0 cut",
        f"{CUT}s hall-a.* silence",
    ],
    ids=["refused", "half of the messages lost", "all messages lost", "one ingress cut off", "silent"],
)  # fmt: skip
def test_failed_zone_is_left_by_all_within_two_seconds_and_returned_to_in_steps(extra_faults: str) -> None:
    result = run_checked(replace(BASE, schedule=f"{BASE.schedule}\n{extra_faults}"), BACK - 0.1, END - 0.2)
    assert zone_states(result, "hall-a") == ["left"] * 5
    assert max(leave_times(result)) < 2.0
    assert result.max_overload["hall-a"] < 4.0
    # An ingress without peers has to make both trials itself, and waits longer for its turns.
    alone = "100%" in extra_faults or "peers.0.*" in extra_faults
    assert zone_states(result, "hall-a", 1).count("left") <= (5 if alone else 0)
    assert result.refused < 0.1 * result.requests
    ingress_stats = result.stats[0][1][0]
    assert (
        ingress_stats["zone.hall-a.share"] == "0.00"
        and ingress_stats["zone.hall-a.why"]
        and ingress_stats["peers.alive"]
    )


def test_failed_zone_is_tried_until_it_is_back_where_zones_are_only_watched() -> None:
    result = run_checked(replace(BASE, zone_leave="watch"), BACK - 0.1)
    assert max(leave_times(result)) > 2.5


def test_slow_zone_is_not_left_and_gets_less() -> None:
    scenario = replace(BASE, schedule=PEERS, zone_restart=None, zone_slowdown=(1.0, 20.0, "hall-a", 3.0))
    scenario = replace(scenario, seconds=12.0)
    result = run_checked(scenario, 5.0, 7.0, 9.0, 10.0, 11.0, 11.8)
    seen = [state for n in range(6) for state in zone_states(result, "hall-a", n)]
    assert "left" not in seen and seen.count("slow") > 3
    assert result.failed == 0 and result.refused < 0.05 * result.requests


def test_flapping_zone_is_left_no_more_often_than_it_fails() -> None:
    flaps = "".join(f"{n}s hall-a.* {'cut' if n % 4 == 2 else 'heal'}\n" for n in range(2, 16, 2))
    result = run_checked(replace(BASE, schedule=PEERS + flaps, zone_restart=None, seconds=15.0, rate=50.0))
    left = log_counts(result, "zone hall-a: left")
    assert 1 <= max(left) <= 4  # it fails four times; how soon each ingress notices depends on the machine
    assert result.failed < 0.03 * result.requests and result.refused < 0.01 * result.requests


def test_half_failed_zone_is_not_left() -> None:
    cut = f"{PEERS}{CUT}s hall-a.s-00 cut\n{CUT}s hall-a.s-01 cut"
    result = run_checked(replace(BASE, servers_per_zone=4, schedule=cut, zone_restart=None, seconds=7.0), 6.8)
    assert len(zone_states(result, "hall-a")) == 5 and "left" not in zone_states(result, "hall-a")
    assert result.refused < 0.01 * result.requests and result.failed < 0.03 * result.requests


def test_when_all_zones_fail_live_servers_serve_and_no_zone_is_given_up() -> None:
    cut = PEERS + "".join(f"{CUT}s hall-{z}.s-{n}{m} cut\n" for n, z in enumerate("abc") for m in (0, 1))
    result = run_checked(
        replace(BASE, schedule=cut, zone_restart=None, rate=20.0, seconds=8.0), 3.0, 5.0, 7.5
    )
    for sample in range(3):
        zones = [zone_states(result, f"hall-{z}", sample) for z in "abc"]
        assert all(any(z[k] != "left" for z in zones) for k in range(5))
    # Only at first, before any ingress can know, do all four attempts of a request fail.
    assert [when for when, end in result.outcomes if end == "refused" and when > CUT + 1.0] == []
    assert result.served > 0.95 * result.requests


def test_ingress_restarted_during_a_ramp_does_not_break_it() -> None:
    result = run_checked(replace(BASE, ingress_restarts=((BACK + 1.2, 1),), seconds=END + 1), END + 0.5)
    assert result.max_overload["hall-a"] < 4.0
    assert "left" not in zone_states(result, "hall-a")


# --- the fault schedule ------------------------------------------------------------------------------------
def test_schedule_gives_the_faults_of_a_path_at_a_time() -> None:
    schedule = Schedule(
        "0s peers.* drop 7.2%  # as seen in service\n0s peers.* delay 2ms 17ms\n3s peers.1.* drop 50%\n"
        "3s hall-a.* cut\n9s hall-a.* heal\n4s hall-a.s-01 silence\n1s peers.* reorder 20%"
    )
    fault = schedule.faults_at("peers.1.2", 1)
    assert replace(fault, drop=0.0) == PathFaults("heal", 0.0, 0.002, 0.017, 0.2)
    assert fault.drop == pytest.approx(0.072) == schedule.faults_at("peers.2.1", 3).drop
    assert schedule.faults_at("peers.1.2", 3).drop == 0.5
    assert [schedule.faults_at("hall-a.s-01", t).state for t in (2.9, 3, 4, 9)] == [
        "heal",
        "cut",
        "silence",
        "heal",
    ]
    assert schedule.change_times("hall-b.s-01") == []


@pytest.mark.parametrize(
    "line", ["3 a cut", "3s a", "3s a cut now", "3s a drop 2", "0s a delay 3ms 1ms", "0s a drop 120%"]
)
def test_invalid_schedule_names_its_line(line: str) -> None:
    with pytest.raises(ScheduleError, match="line 2"):
        Schedule(f"0s b cut\n{line}")
