"""Experiments: a scenario with one feature on, the same with it off, and the figures of both."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from opalgauge.lab.fleet import MAX_UNITS, Result, Scenario, run_scenario
from opalgauge.lab.quotas import PLANS, AccountLoad, deviation_bound, deviation_by_plan, replay

OUTAGE_START, OUTAGE_END, STATS_AT = 3.0, 9.0, 8.8
LOST_ZONE = "hall-a"
ZONE_SCHEDULE = f"""
{OUTAGE_START}s   {LOST_ZONE}.*  cut
{OUTAGE_END}s  {LOST_ZONE}.*  heal
0s       peers.*   drop 7.2%
0s       peers.*   delay 2ms 17ms
0s       peers.*   reorder 10%
"""


def zone_leave(seed: int, echo: Callable[[str], None]) -> dict[str, Any]:
    """Cuts off one zone of three, which returns with cold servers, while five ingresses serve.

    `leave_*_s`: from the fleet's first failed attempt in the zone to an ingress's last new one during the
    outage. `return_max_overload`: the most work sent to one of its servers within 3 s, over its capacity at
    the start of these.
    """
    figures = {}
    for name, leave in (("part", "on"), ("baseline", "watch")):
        scenario = Scenario(
            seed=seed,
            zone_leave=leave,
            rate=120.0,
            schedule=ZONE_SCHEDULE,
            zone_restart=(OUTAGE_END, LOST_ZONE),
        )
        figures[name] = _zone_figures(asyncio.run(run_scenario(scenario, stats_at=(STATS_AT,))))
        echo(f"{name}: " + ", ".join(f"{key} {value}" for key, value in figures[name].items()))
    return {**figures["part"], "baseline": figures["baseline"], "seed": seed}


def event_times(result: Result, name: str) -> list[float]:
    """Returns when something happened at each ingress that has seen it.

    `name`: a statistic that says how long ago it was when the stats were first read.
    """
    read_at, rows = result.stats[0]
    return [read_at - float(row[name]) for row in rows if row.get(name, "-") != "-"]


def quantile(values: list[float], fraction: float) -> float:
    """Returns the value below which a fraction of the values lies; 0 if there are none."""
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def leave_times(result: Result, zone: str = LOST_ZONE) -> list[float]:
    """Returns by ingress the seconds from the fleet's first failure in a zone to its last attempt there."""
    first_failure = min(event_times(result, f"zone.{zone}.first_failed"), default=0.0)
    return [
        max(0.0, last_attempt - first_failure)
        for last_attempt in event_times(result, f"zone.{zone}.last_try")
    ]


def _zone_figures(result: Result) -> dict[str, Any]:
    waits = leave_times(result)
    return {
        "lost": result.lost, "doubled": result.duplicates,
        "leave_p50_s": round(quantile(waits, 0.5), 2), "leave_p99_s": round(quantile(waits, 0.99), 2),
        "return_max_overload": round(result.max_overload[LOST_ZONE], 2),
        "asked": result.requests, "refused": result.refused, "failed": result.failed, "late": result.late,
        "worth_served": round(result.worth_served, 4),
    }  # fmt: skip


SPLIT_START, SPLIT_END, SPLIT_SECONDS = 8.0, 28.0, 34.0
HALVES = (0, 1, 2), (3, 4, 5)
PARTITION = "".join(
    f"{SPLIT_START}s peers.{a}.{b} cut\n{SPLIT_START}s peers.{b}.{a} cut\n{SPLIT_END}s peers.{a}.{b} heal\n"
    f"{SPLIT_END}s peers.{b}.{a} heal\n"
    for a in HALVES[0] for b in HALVES[1]
)  # fmt: skip
PEER_FAULTS = "0s peers.* drop 7.2%\n0s peers.* delay 2ms 17ms\n0s peers.* reorder 10%\n"
COUNTER_OUTAGE = f"{SPLIT_START}s counter.* cut\n{SPLIT_END}s counter.* heal\n"
QUOTA_SCENARIO = Scenario(
    ingresses=6,
    zone_leave="off",
    mean_work=0.005,
    plans=PLANS,
    seconds=SPLIT_SECONDS,
    schedule=PEER_FAULTS + PARTITION + COUNTER_OUTAGE,
)


def fleet_split(seed: int, echo: Callable[[str], None]) -> dict[str, Any]:
    """Partitions six ingresses into halves and cuts the counter off, both for 20 s.

    Gives for each plan during the outage: the units forwarded over the quota of the worst account, in percent
    of it; the units refused that an ideal counter admits, in percent of those that it admits; and the bounds
    that are promised for both.
    """
    figures = {}
    for name, leases in (("part", "on"), ("baseline", "off")):
        result = asyncio.run(run_scenario(replace(QUOTA_SCENARIO, seed=seed, leases=leases)))
        figures[name] = quota_figures(result, QUOTA_SCENARIO, (SPLIT_START, SPLIT_END))
        echo(f"{name}: " + ", ".join(f"{key} {value}" for key, value in figures[name].items()))
    return {**figures["part"], "baseline": figures["baseline"], "seed": seed}


def quota_figures(result: Result, scenario: Scenario, interval: tuple[float, float]) -> dict[str, Any]:
    """Returns the figures of `fleet_split` for the requests decided in `interval`."""
    plan_by_account = AccountLoad(scenario.plans, scenario.ingresses, scenario.seed).plan_by_account
    seconds = interval[1] - interval[0]
    deviations = deviation_by_plan(
        replay(result.decisions, plan_by_account, interval), plan_by_account, seconds
    )
    plans = {}
    for plan in scenario.plans:
        deviation, stated = (
            deviations[plan.name],
            deviation_bound(plan, seconds, MAX_UNITS, scenario.ingresses),
        )
        plans[plan.name] = {
            "overshoot_percent": round(deviation.overshoot, 2),
            "overshoot_all_percent": round(deviation.mean_overshoot, 2),
            "wrongly_refused_percent": round(deviation.wrongly_refused, 2),
            "stated_overshoot_percent": round(stated.overshoot, 2),
            "stated_refused_percent": round(stated.wrongly_refused, 2),
            "stated_bound_percent": round(max(stated.overshoot, stated.wrongly_refused), 2),
        }
    return {
        "lost": result.lost, "doubled": result.duplicates, "asked": result.requests, "failed": result.failed,
        "counter_calls_per_request": round(result.counter_calls / max(1, result.requests), 3),
        "plans": plans,
    }  # fmt: skip


# One ingress is cut off from its peers and reconnected; another is restarted.
AWAY_START, AWAY_END, RESTART_AT = 6.0, 14.0, 17.0
REPLICA_SCENARIO = Scenario(
    ingresses=5, zone_leave="off", replicate=True, mean_work=0.01, rate=40.0, seconds=24.0,
    sample_interval=0.1,
    schedule=(
        PEER_FAULTS + "3s hall-a.s-01 cut\n5s hall-a.s-01 heal\n"
        + f"{AWAY_START}s peers.4.* cut\n{AWAY_START}s peers.*.4 cut\n"
        f"{AWAY_END}s peers.4.* heal\n{AWAY_END}s peers.*.4 heal"
    ),
    admin_commands=(
        (1.0, 0, "maint-on s-00"), (1.5, 1, "maint-on s-10"), (2.0, 2, "maint-on s-20"),
        # While the fifth ingress is cut off both sides get commands, which conflict for two servers.
        (8.0, 4, "maint-off s-00"), (8.5, 0, "maint-on s-11"), (9.0, 4, "maint-on s-12"),
        (9.5, 1, "maint-off s-10"), (10.0, 4, "maint-off s-20"), (10.5, 2, "maint-off s-20"),
        (11.0, 2, "maint-on s-20"),
        (20.0, 1, "maint-on s-21"), (21.0, 3, "maint-off s-12"),
    ),
    garbage_datagrams=((15.0, 0, 40), (15.0, 2, 40), (15.5, 3, 400)),
    ingress_restarts=((RESTART_AT, 1),),
)  # fmt: skip


def replicas(seed: int, echo: Callable[[str], None]) -> dict[str, Any]:
    """Changes bans and ejections at five ingresses; one is cut off for 8 s, one restarted, 7.2% is lost.

    `converge_*_s`: from a change, or the end of a fault, until all replicas were equal; changes made
    while one is cut off are left out.
    """
    result = asyncio.run(run_scenario(replace(REPLICA_SCENARIO, seed=seed)))
    figures = replica_figures(result, REPLICA_SCENARIO)
    echo(", ".join(f"{key} {value}" for key, value in figures.items()))
    return {**figures, "seed": seed}


def replica_figures(result: Result, scenario: Scenario) -> dict[str, Any]:
    """Returns the figures of `replicas`."""
    changes = [time for time, _, _ in scenario.admin_commands if not AWAY_START <= time < AWAY_END]
    ready = [time for time, _, _ in result.stats_at_ready]
    faults = [AWAY_END] if scenario.seconds > AWAY_END else []
    waits = [
        wait
        for wait in (_time_to_convergence(result, time) for time in [*changes, *faults, *ready])
        if wait is not None
    ]
    last = result.stats_samples[-1][1]
    sent = [[int(row.get("peers.words_sent", 0)) for row in rows] for _, rows in result.stats_samples]
    max_rate = 0
    for start, (time, _) in enumerate(result.stats_samples):
        for end in range(start + 1, len(result.stats_samples)):
            if result.stats_samples[end][0] - time > 1.0:
                break
            max_rate = max(
                [max_rate, *(after - before for before, after in zip(sent[start], sent[end], strict=True))]
            )
    others = [
        row for time, rows in result.stats_samples if ready and time <= ready[0] for row in rows[:1] if row
    ]
    return {
        "lost": result.lost, "doubled": result.duplicates, "asked": result.requests,
        "converged": len({row.get("replica.digest") for row in last}) == 1,
        "converge_p50_s": round(quantile(waits, 0.5), 2), "converge_p99_s": round(quantile(waits, 0.99), 2),
        "messages_per_s_max": max_rate,
        "caught_up_before_ready": all(
            row.get("replica.caught_up") == "1" and row.get("replica.bans") == others[-1].get("replica.bans")
            for _, _, row in result.stats_at_ready
        ),
        "torn_dropped": sum(int(row.get("peers.words_dropped", 0)) for row in last),
        "refused_to_staff": sum(not answer.startswith("200") for answer in result.admin_answers),
    }  # fmt: skip


def _time_to_convergence(result: Result, since: float) -> float | None:
    """Returns the seconds until all ingresses that answered had the same digest; None if they never did."""
    for time, rows in result.stats_samples:
        if time >= since and len({row.get("replica.digest") for row in rows}) == 1:
            return time - since
    return None
