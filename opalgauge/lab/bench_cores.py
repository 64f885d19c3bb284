"""Throughput, latency and cost by number of cores: `opalgauge bench cores`.

For each core count an ingress is started and loaded twice: in a closed loop to find its throughput, then in
an open loop at a share of that to find its latency. After that a worker is stopped, one is killed, and one
account makes half of the load. The clients and the stand-ins run on the same machine, so with more than half
of its cores the figures say less about the ingress.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from opalgauge.lab.load_generator import MAX_LATENCY_US
from opalgauge.lab.testbed import CEILING, WINDOWS, load_results, start_load_generators, testbed
from starlinggap.quota import counter_name

ACCOUNTS = 200
CLIENT_PROCESSES = 2
OPEN_LOOP_SHARE = 0.6  # rate of the open loop, of the throughput found in the closed loop
FULL_SERVICE_SHARE = 0.95  # of the answers a second before the fault: service is full again


def accounts() -> list[list[Any]]:
    """Returns rows of number, plan, units and weight; at any useful load the last is far over its ceiling."""
    rows: list[list[Any]] = [
        [1000 + index, "negoce", 1 + index % 3, 1.0 / (1 + index / 50)] for index in range(ACCOUNTS)
    ]
    total = sum(row[3] for row in rows)
    return [*rows, [9, "entreprise", 2, total * 0.05]]


def _load_specs(
    address: str,
    seconds: float,
    rate: float,
    connections: int,
    tag: str,
    account_rows: list[list[Any]] | None = None,
) -> list[dict[str, Any]]:
    return [
        {
            "address": address, "seconds": seconds, "connections": connections // CLIENT_PROCESSES,
            "rate": rate / CLIENT_PROCESSES, "accounts": account_rows or accounts(), "seed": index + 1,
            "tag": f"{tag}{index}-",
        }
        for index in range(CLIENT_PROCESSES)
    ]  # fmt: skip


def _total(reports: Sequence[dict[str, Any]], key: str) -> int:
    return sum(int(report[key]) for report in reports)


def _status_counts(reports: Sequence[dict[str, Any]]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for report in reports:
        for status, count in report["status"].items():
            counts[status] = counts.get(status, 0) + count
    return dict(sorted(counts.items()))


def usage_by_account(
    reports: dict[str, list[dict[str, Any]]], started: float, ended: float
) -> dict[str, dict[str, float]]:
    """Returns the units forwarded, the units counted and the quota of each account.

    `reports`: of the stand-ins. The counter's names are hashes of account and window, so they are computed
    again for every window of the run.
    """
    sent: dict[str, float] = {}
    for server in reports["node"]:
        for account, units in server["units"].items():
            sent[account] = sent.get(account, 0.0) + units
    sums = reports["counter"][0]["sums"]
    usage = {}
    for number, plan, _units, _weight in accounts():
        window_length = WINDOWS[plan]
        windows = range(int(started // window_length) - 2, int(ended // window_length) + 3)
        counted = sum(sums.get(f"{counter_name(number, window):x}", 0.0) for window in windows)
        rate = {"negoce": 100_000.0, "entreprise": 60.0}[plan]
        quota = rate * (ended - started) + rate * window_length
        usage[str(number)] = {"sent": sent.get(str(number), 0.0), "counted": counted, "quota": quota}
    return usage


def drift_percent(usage: dict[str, dict[str, float]]) -> float:
    """Returns the differences between units forwarded and counted, in percent of the units forwarded."""
    sent = sum(account["sent"] for account in usage.values())
    difference = sum(abs(account["sent"] - account["counted"]) for account in usage.values())
    return 100 * difference / sent if sent else 0.0


def measure_cores(cores: int, seconds: float, echo: Callable[[str], None]) -> dict[str, Any]:
    """Measures throughput, latency, cost and drift from the counter with one core count."""
    with testbed(cores) as bed:
        started = time.time()
        load_results(start_load_generators(_load_specs(bed.address, 2.0, 0, 16 * cores, "w")), 30)
        cpu_before = bed.resource_usage()[0]
        closed_loop = load_results(
            start_load_generators(_load_specs(bed.address, seconds, 0, 48 * cores, "c")), seconds + 30
        )
        cpu_after, rss = bed.resource_usage()
        answered = sum(_status_counts(closed_loop).values())
        throughput = answered / max(report["took"] for report in closed_loop)
        open_loop = load_results(
            start_load_generators(
                _load_specs(bed.address, seconds, OPEN_LOOP_SHARE * throughput, 96 * cores, "o")
            ),
            seconds + 30,
        )
        rss = max(rss, bed.resource_usage()[1])
        ended = time.time()
        bed.close()
    latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
    for report in open_loop:
        latencies.decode_and_add(report["histogram"])
    usage = usage_by_account(bed.reports, started, ended)
    reports = [*closed_loop, *open_loop]
    rate, burst, slack = CEILING
    run = {
        "cores": cores, "requests_per_s": round(throughput),
        "open_loop_per_s": round(OPEN_LOOP_SHARE * throughput),
        **{
            name: round(latencies.get_value_at_percentile(percentile) / 1000, 2)
            for name, percentile in (("p50_ms", 50), ("p99_ms", 99), ("p999_ms", 99.9))
        },
        "cpu_us_per_request": round((cpu_after - cpu_before) / answered * 1e6),
        "rss_mb": round(rss), "drift_percent": round(drift_percent(usage), 3),
        "lost": _total(reports, "lost") + _total(reports, "wrong"), "late": _total(reports, "late"),
        "doubled": sum(report["doubled"] for report in bed.reports["node"]),
        "status": _status_counts(reports),
        "ceiling_passed": usage["9"]["sent"] > rate * (ended - started) + burst + slack, "accounts": usage,
    }  # fmt: skip
    echo(
        f"{cores:>2} cores {run['requests_per_s']:>7}/s  p50 {run['p50_ms']} p99 {run['p99_ms']} "
        f"p99.9 {run['p999_ms']} ms  {run['cpu_us_per_request']} us  {run['rss_mb']} MB  "
        f"drift {run['drift_percent']}%  lost {run['lost']} doubled {run['doubled']} late {run['late']}"
    )
    return run


def measure_worker_fault(
    cores: int, rate: float, fault: str, echo: Callable[[str], None], seconds: float = 8.0
) -> dict[str, Any]:
    """Stops (`stall`) or kills (`kill`) one worker under an open loop; measures losses and recovery time.

    The servers answer after 20 ms, so that attempts are in flight when it happens.
    """
    with testbed(cores, delay=0.02) as bed:
        started = time.time()
        within_quota = accounts()[:-1]  # so that a refusal can only be due to the fault
        load_results(
            start_load_generators(_load_specs(bed.address, 2.0, 0, 16 * cores, "w", within_quota)), 30
        )
        generators = start_load_generators(
            _load_specs(bed.address, seconds, rate, 128 * cores, "h", within_quota)
        )
        time.sleep(0.4 * seconds)
        victim = bed.worker_process(cores - 1)
        os.kill(victim.pid, signal.SIGSTOP if fault == "stall" else signal.SIGKILL)
        fault_time = time.time()
        reports = load_results(generators, seconds + 30)
        ended = time.time()
        successor_pid = bed.worker_process(cores - 1).pid
        log = [line for line in bed.log if "worker " in line]
        bed.close()
    tenths: dict[int, int] = {}
    for report in reports:
        for tenth, served in report["tenths"].items():
            tenths[int(tenth)] = tenths.get(int(tenth), 0) + served
    fault_tenth = int((fault_time - min(report["began"] for report in reports)) * 10)
    usual_served = sum(tenths.get(tenth, 0) for tenth in range(max(0, fault_tenth - 15), fault_tenth)) / max(
        1, min(15, fault_tenth)
    )
    last_tenth = int(seconds * 10) - 5
    half_seconds = {
        tenth: sum(tenths.get(part, 0) for part in range(tenth, tenth + 5))
        for tenth in range(fault_tenth, last_tenth)
    }
    recovered_tenth = next(
        (tenth for tenth, served in half_seconds.items() if served >= FULL_SERVICE_SHARE * 5 * usual_served),
        last_tenth,
    )
    usage = usage_by_account(bed.reports, started, ended)
    figures = {
        "cores": cores, "rate": round(rate), "lost": _total(reports, "lost") + _total(reports, "wrong"),
        "doubled": sum(report["doubled"] for report in bed.reports["node"]), "late": _total(reports, "late"),
        "resent": _total(reports, "resent"),
        "failed": {status: count for status, count in _status_counts(reports).items() if status != "200"},
        "seconds_until_full_service": round((recovered_tenth - fault_tenth) / 10, 1),
        "drift_percent": round(drift_percent(usage), 3),
        "new_life": successor_pid != victim.pid, "log": log[-4:],
    }  # fmt: skip
    echo(
        f"{fault:>5}: {cores} cores at {rate:.0f}/s: lost {figures['lost']} doubled {figures['doubled']} "
        f"late {figures['late']}, full service after {figures['seconds_until_full_service']} s, "
        f"not served {figures['failed']}"
    )
    return figures


def measure_uneven_load(cores: int, seconds: float, echo: Callable[[str], None]) -> dict[str, Any]:
    """Measures the CPU of each worker in a closed loop in which one account makes half of the requests."""
    rows = accounts()[:-1]
    rows[0][3] = sum(row[3] for row in rows[1:])
    with testbed(cores) as bed:
        load_results(start_load_generators(_load_specs(bed.address, 3.0, 0, 48 * cores, "w", rows)), 30)
        workers = [bed.worker_process(number) for number in range(cores)]
        cpu_before = [sum(process.cpu_times()[:2]) for process in workers]
        reports = load_results(
            start_load_generators(_load_specs(bed.address, seconds, 0, 48 * cores, "u", rows)), seconds + 30
        )
        took = max(report["took"] for report in reports)
        cpu_shares = [
            (sum(process.cpu_times()[:2]) - before) / took
            for process, before in zip(workers, cpu_before, strict=True)
        ]
        bed.close()
    figures = {
        "cores": cores, "requests_per_s": round(sum(_status_counts(reports).values()) / took),
        "cpu_by_worker": [round(share, 2) for share in cpu_shares], "lost": _total(reports, "lost"),
        "doubled": sum(report["doubled"] for report in bed.reports["node"]),
    }  # fmt: skip
    echo(f"uneven: {cores} cores at {figures['requests_per_s']}/s, CPU by worker {figures['cpu_by_worker']}")
    return figures


def _median_run(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the round of median throughput, with the failures of all rounds summed up."""
    median = sorted(runs, key=lambda run: run["requests_per_s"])[(len(runs) - 1) // 2]
    sums = {key: sum(run[key] for run in runs) for key in ("lost", "doubled", "late")}
    by_round = [(run["requests_per_s"], run["cpu_us_per_request"]) for run in runs]
    worst_drift = max(run["drift_percent"] for run in runs)
    ceiling_passed = any(run["ceiling_passed"] for run in runs)
    return {
        **median,
        **sums,
        "drift_percent": worst_drift,
        "ceiling_passed": ceiling_passed,
        "rounds": by_round,
    }


def bench(cores: Sequence[int], seconds: float, rounds: int, echo: Callable[[str], None]) -> dict[str, Any]:
    """Runs the whole benchmark; returns the JSON that `opalgauge bench cores` writes."""
    machine_cores = os.cpu_count()
    echo(
        f"{machine_cores} cores on this machine, which also carry {CLIENT_PROCESSES} clients, "
        "2 nodes and the counter"
    )
    runs_by_cores: dict[int, list[dict[str, Any]]] = {core_count: [] for core_count in cores}
    for _ in range(rounds):  # core counts take turns, as the speed of a shared machine drifts
        for core_count in cores:
            runs_by_cores[core_count].append(measure_cores(core_count, seconds, echo))
    runs = [_median_run(runs_by_cores[core_count]) for core_count in cores]
    single_core = next((run for run in runs if run["cores"] == 1), None)
    for run in runs:
        speedup = (
            f", {run['requests_per_s'] / single_core['requests_per_s']:.2f} times one core"
            if single_core
            else ""
        )
        echo(f"median: {run['cores']} cores {run['requests_per_s']}/s{speedup}")
    multi_core = [core_count for core_count in cores if core_count > 1]
    figures: dict[str, Any] = {
        "machine_cores": os.cpu_count(),
        "seconds": seconds,
        "rounds": rounds,
        "runs": runs,
    }
    if multi_core:
        chosen_cores = min(multi_core, key=lambda core_count: abs(core_count - 4))
        rate = 0.4 * next(run["requests_per_s"] for run in runs if run["cores"] == chosen_cores)
        for fault in ("stall", "kill"):
            figures[fault] = measure_worker_fault(chosen_cores, rate, fault, echo)
        figures["uneven"] = measure_uneven_load(chosen_cores, seconds, echo)
    return figures
