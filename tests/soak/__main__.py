"""`python -m tests.soak`: plays seeds, several at once, and tells what is broken; exit status 1 then."""

from __future__ import annotations

import argparse
import concurrent.futures
import multiprocessing
import sys
import time
from collections import Counter

from tests.soak.run import Outcome, play_seed

MOST_LINES = 3  # told of each rule that a seed breaks


def tell(outcome: Outcome, command: str) -> None:
    """One line a seed, and the whole line of what is broken."""
    ends = ", ".join(f"{name.lower()} {n}" for name, n in sorted(outcome.ends.items()))
    codes = ", ".join(f"{code}: {n}" for code, n in sorted(outcome.statuses.items()))
    rules = Counter(broken.rule for broken in outcome.broken)
    said = ", ".join(f"{rule} {n}" for rule, n in rules.items()) or "nothing broken"
    print(
        f"seed {outcome.seed}: {outcome.requests} requests ({ends}; {codes}), {outcome.processes} processes, "
        f"{outcome.faults} system call faults, lag {outcome.lag * 1000:.0f} ms: {said}",
        flush=True,
    )
    told = Counter[str]()
    for broken in outcome.broken:
        told[broken.rule] += 1
        if told[broken.rule] <= MOST_LINES:
            print(f"  {broken.rule}: {broken.line}", flush=True)
    if outcome.broken:
        print(f"  again: {command} --seed {outcome.seed}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many, one after the other")
    parser.add_argument("--jobs", type=int, default=3, help="runs at once")
    parser.add_argument("--crowd", action="store_true", help="idle clients hold all descriptors, always")
    parser.add_argument("--shim", action="store_true", help="system calls fail, always")
    told = parser.parse_args()
    words = ["python -m tests.soak", *(f"--{w}" for w in ("crowd", "shim") if getattr(told, w))]
    began, outcomes = time.monotonic(), list[Outcome]()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(told.jobs, context) as pool:
        seeds = range(told.seed, told.seed + told.seeds)
        waiting = [pool.submit(play_seed, seed, told.crowd or None, told.shim or None) for seed in seeds]
        for future in concurrent.futures.as_completed(waiting):
            outcomes.append(future.result())
            tell(outcomes[-1], " ".join(words))
    rules = Counter(broken.rule for outcome in outcomes for broken in outcome.broken)
    print(
        f"{len(outcomes)} seeds, {sum(o.requests for o in outcomes)} requests, "
        f"{sum(o.processes for o in outcomes)} processes, {time.monotonic() - began:.0f} s; "
        f"lost at the kill {sum(o.lost_at_kill for o in outcomes)}; "
        f"broken: {dict(rules) or 'nothing'}"
    )
    failed = sum(bool(o.broken) for o in outcomes)
    print(f"soak: {len(outcomes) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
