"""What several cores bring and cost: `opalgauge bench cores`.

For each core count an ingress of its own, twice loaded: closed loop to see what it can do, then open loop
at a share of that to see its answer times. Then a worker is stopped and one is killed under load. The clients
and the stand-ins run on the same machine, so beyond half of its cores the figures say less of the ingress.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from opalgauge.lab.load_generator import HIGHEST
from opalgauge.lab.testbed import CEILING, WINDOW, loads, results, testbed
from starlinggap.quota import counter_name

ACCOUNTS = 200
CLIENTS = 2  # processes
SHARE = 0.6  # of the throughput found: the rate of the open loop
FULL = 0.95  # of the service before: service is full again


def accounts() -> list[list[Any]]:
    """Number, tariff, units and weight. The last one is far over its ceiling at any load worth measuring."""
    many: list[list[Any]] = [[1000 + n, "negoce", 1 + n % 3, 1.0 / (1 + n / 50)] for n in range(ACCOUNTS)]
    total = sum(a[3] for a in many)
    return [*many, [9, "entreprise", 2, total * 0.05]]


def _specs(
    address: str,
    seconds: float,
    rate: float,
    connections: int,
    tag: str,
    asked: list[list[Any]] | None = None,
) -> list[dict[str, Any]]:
    return [
        {
            "address": address, "seconds": seconds, "connections": connections // CLIENTS,
            "rate": rate / CLIENTS, "accounts": asked or accounts(), "seed": n + 1, "tag": f"{tag}{n}-",
        }
        for n in range(CLIENTS)
    ]  # fmt: skip


def _sum(told: Sequence[dict[str, Any]], key: str) -> int:
    return sum(int(t[key]) for t in told)


def _status(told: Sequence[dict[str, Any]]) -> dict[str, int]:
    both: dict[str, int] = {}
    for t in told:
        for status, n in t["status"].items():
            both[status] = both.get(status, 0) + n
    return dict(sorted(both.items()))


def by_account(
    seen: dict[str, list[dict[str, Any]]], began: float, ended: float
) -> dict[str, dict[str, float]]:
    """Units sent on, units counted and the quota, for each account that was asked for.

    The counter knows scrambled names only, so each account's names are made again for every window.
    """
    sent: dict[str, float] = {}
    for node in seen["node"]:
        for account, units in node["units"].items():
            sent[account] = sent.get(account, 0.0) + units
    sums = seen["counter"][0]["sums"]
    out = {}
    for number, tariff, _units, _weight in accounts():
        length = WINDOW[tariff]
        windows = range(int(began // length) - 2, int(ended // length) + 3)
        counted = sum(sums.get(f"{counter_name(number, window):x}", 0.0) for window in windows)
        rate = {"negoce": 100_000.0, "entreprise": 60.0}[tariff]
        quota = rate * (ended - began) + rate * length
        out[str(number)] = {"sent": sent.get(str(number), 0.0), "counted": counted, "quota": quota}
    return out


def drift(told: dict[str, dict[str, float]]) -> float:
    sent = sum(a["sent"] for a in told.values())
    off = sum(abs(a["sent"] - a["counted"]) for a in told.values())
    return 100 * off / sent if sent else 0.0


def measure(cores: int, seconds: float, say: Callable[[str], None]) -> dict[str, Any]:
    """One core count: throughput, answer times, cost, drift from the counter's count."""
    with testbed(cores) as made:
        began = time.time()
        results(loads(_specs(made.address, 2.0, 0, 16 * cores, "w")), 30)
        cpu = made.cost()[0]
        full = results(loads(_specs(made.address, seconds, 0, 48 * cores, "c")), seconds + 30)
        spent, rss = made.cost()
        answered = sum(_status(full).values())
        per_s = answered / max(t["took"] for t in full)
        open_loop = results(
            loads(_specs(made.address, seconds, SHARE * per_s, 96 * cores, "o")), seconds + 30
        )
        rss = max(rss, made.cost()[1])
        ended = time.time()
        made.close()
    times = HdrHistogram(1, HIGHEST, 3)
    for t in open_loop:
        times.decode_and_add(t["histogram"])
    told = by_account(made.seen, began, ended)
    both = [*full, *open_loop]
    rate, depth, slack = CEILING
    run = {
        "cores": cores, "requests_per_s": round(per_s), "open_loop_per_s": round(SHARE * per_s),
        **{
            name: round(times.get_value_at_percentile(at) / 1000, 2)
            for name, at in (("p50_ms", 50), ("p99_ms", 99), ("p999_ms", 99.9))
        },
        "cpu_us_per_request": round((spent - cpu) / answered * 1e6),
        "rss_mb": round(rss), "drift_percent": round(drift(told), 3),
        "lost": _sum(both, "lost") + _sum(both, "wrong"), "late": _sum(both, "late"),
        "doubled": sum(n["doubled"] for n in made.seen["node"]), "status": _status(both),
        "ceiling_passed": told["9"]["sent"] > rate * (ended - began) + depth + slack, "accounts": told,
    }  # fmt: skip
    say(
        f"{cores:>2} cores {run['requests_per_s']:>7}/s  p50 {run['p50_ms']} p99 {run['p99_ms']} "
        f"p99.9 {run['p999_ms']} ms  {run['cpu_us_per_request']} us  {run['rss_mb']} MB  "
        f"drift {run['drift_percent']}%  lost {run['lost']} doubled {run['doubled']} late {run['late']}"
    )
    return run


def harm(
    cores: int, rate: float, how: str, say: Callable[[str], None], seconds: float = 8.0
) -> dict[str, Any]:
    """One worker is stopped (`stall`) or killed (`kill`) under an open loop: what it cost, and how long.

    The nodes answer after 20 ms, so that attempts are out when it happens.
    """
    with testbed(cores, delay=0.02) as made:
        began = time.time()
        inside = accounts()[:-1]  # so that whatever is refused is refused for the worker's sake
        results(loads(_specs(made.address, 2.0, 0, 16 * cores, "w", inside)), 30)
        running = loads(_specs(made.address, seconds, rate, 128 * cores, "h", inside))
        time.sleep(0.4 * seconds)
        victim = made.seat(cores - 1)
        os.kill(victim.pid, signal.SIGSTOP if how == "stall" else signal.SIGKILL)
        struck = time.time()
        told = results(running, seconds + 30)
        ended = time.time()
        new = made.seat(cores - 1).pid
        log = [line for line in made.lines if "worker " in line]
        made.close()
    tenths: dict[int, int] = {}
    for t in told:
        for tenth, good in t["tenths"].items():
            tenths[int(tenth)] = tenths.get(int(tenth), 0) + good
    at = int((struck - min(t["began"] for t in told)) * 10)
    usual = sum(tenths.get(n, 0) for n in range(max(0, at - 15), at)) / max(1, min(15, at))
    last = int(seconds * 10) - 5
    half_seconds = {n: sum(tenths.get(m, 0) for m in range(n, n + 5)) for n in range(at, last)}
    full = next((n for n, served in half_seconds.items() if served >= FULL * 5 * usual), last)
    units = by_account(made.seen, began, ended)
    out = {
        "cores": cores, "rate": round(rate), "lost": _sum(told, "lost") + _sum(told, "wrong"),
        "doubled": sum(n["doubled"] for n in made.seen["node"]), "late": _sum(told, "late"),
        "resent": _sum(told, "resent"),
        "failed": {k: v for k, v in _status(told).items() if k != "200"},
        "seconds_until_full_service": round((full - at) / 10, 1), "drift_percent": round(drift(units), 3),
        "new_life": new != victim.pid, "log": log[-4:],
    }  # fmt: skip
    say(
        f"{how:>5}: {cores} cores at {rate:.0f}/s: lost {out['lost']} doubled {out['doubled']} "
        f"late {out['late']}, full service after {out['seconds_until_full_service']} s, "
        f"not served {out['failed']}"
    )
    return out


def uneven(cores: int, seconds: float, say: Callable[[str], None]) -> dict[str, Any]:
    """One account is half of all traffic: what each worker's CPU did meanwhile, in closed loop."""
    many = accounts()[:-1]
    many[0][3] = sum(a[3] for a in many[1:])
    with testbed(cores) as made:
        results(loads(_specs(made.address, 3.0, 0, 48 * cores, "w", many)), 30)
        seats = [made.seat(n) for n in range(cores)]
        before = [sum(p.cpu_times()[:2]) for p in seats]
        told = results(loads(_specs(made.address, seconds, 0, 48 * cores, "u", many)), seconds + 30)
        took = max(t["took"] for t in told)
        busy = [(sum(p.cpu_times()[:2]) - b) / took for p, b in zip(seats, before, strict=True)]
        made.close()
    out = {
        "cores": cores, "requests_per_s": round(sum(_status(told).values()) / took),
        "cpu_by_worker": [round(b, 2) for b in busy], "lost": _sum(told, "lost"),
        "doubled": sum(n["doubled"] for n in made.seen["node"]),
    }  # fmt: skip
    say(f"uneven: {cores} cores at {out['requests_per_s']}/s, CPU by worker {out['cpu_by_worker']}")
    return out


def _median(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """The round in the middle by throughput; what must not happen is added up over all of them."""
    middle = sorted(runs, key=lambda r: r["requests_per_s"])[(len(runs) - 1) // 2]
    sums = {key: sum(r[key] for r in runs) for key in ("lost", "doubled", "late")}
    each = [(r["requests_per_s"], r["cpu_us_per_request"]) for r in runs]
    worst = max(r["drift_percent"] for r in runs)
    passed = any(r["ceiling_passed"] for r in runs)
    return {**middle, **sums, "drift_percent": worst, "ceiling_passed": passed, "rounds": each}


def bench(cores: Sequence[int], seconds: float, rounds: int, say: Callable[[str], None]) -> dict[str, Any]:
    """All of it; the JSON that `opalgauge bench cores` writes."""
    here = os.cpu_count()
    say(f"{here} cores on this machine, which also carry {CLIENTS} clients, 2 nodes and the counter")
    by_count: dict[int, list[dict[str, Any]]] = {n: [] for n in cores}
    for _ in range(rounds):  # in turn: the machine's speed drifts
        for n in cores:
            by_count[n].append(measure(n, seconds, say))
    runs = [_median(by_count[n]) for n in cores]
    one = next((r for r in runs if r["cores"] == 1), None)
    for run in runs:
        times = f", {run['requests_per_s'] / one['requests_per_s']:.2f} times one core" if one else ""
        say(f"median: {run['cores']} cores {run['requests_per_s']}/s{times}")
    several = [n for n in cores if n > 1]
    out: dict[str, Any] = {
        "machine_cores": os.cpu_count(),
        "seconds": seconds,
        "rounds": rounds,
        "runs": runs,
    }
    if several:
        chosen = min(several, key=lambda n: abs(n - 4))
        rate = 0.4 * next(r["requests_per_s"] for r in runs if r["cores"] == chosen)
        for how in ("stall", "kill"):
            out[how] = harm(chosen, rate, how, say)
        out["uneven"] = uneven(chosen, seconds, say)
    return out
