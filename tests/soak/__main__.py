"""`python -m tests.soak`: plays seeds, several at once, and tells what is broken; exit status 1 then."""

from __future__ import annotations

import argparse
import concurrent.futures
import multiprocessing
import sys
import time
from collections import Counter

from tests.soak.run import Outcome, run_seed

MAX_PRINTED_DETAILS = 3  # violations printed per rule and seed


def print_outcome(outcome: Outcome, command: str) -> None:
    """Prints one line for the seed, then the details of its violations and the command that repeats it."""
    ends = ", ".join(f"{end_name.lower()} {count}" for end_name, count in sorted(outcome.ends.items()))
    statuses = ", ".join(f"{code}: {count}" for code, count in sorted(outcome.statuses.items()))
    rules = Counter(violation.rule for violation in outcome.violations)
    summary = ", ".join(f"{rule} {count}" for rule, count in rules.items()) or "nothing broken"
    print(
        f"seed {outcome.seed}: {outcome.requests} requests ({ends}; {statuses}), "
        f"{outcome.processes} processes, {outcome.injected_faults} system call faults, "
        f"lag {outcome.lag * 1000:.0f} ms: {summary}",
        flush=True,
    )
    printed = Counter[str]()
    for violation in outcome.violations:
        printed[violation.rule] += 1
        if printed[violation.rule] <= MAX_PRINTED_DETAILS:
            print(f"  {violation.rule}: {violation.details}", flush=True)
    if outcome.violations:
        print(f"  again: {command} --seed {outcome.seed}", flush=True)


def main() -> int:
    """Runs the seeds given on the command line; returns the exit status, 1 if any of them broke a rule."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many, one after the other")
    parser.add_argument("--jobs", type=int, default=3, help="runs at once")
    parser.add_argument("--crowd", action="store_true", help="idle clients hold all descriptors, always")
    parser.add_argument("--shim", action="store_true", help="system calls fail, always")
    arguments = parser.parse_args()
    command_words = [
        "python -m tests.soak",
        *(f"--{flag}" for flag in ("crowd", "shim") if getattr(arguments, flag)),
    ]
    start, outcomes = time.monotonic(), list[Outcome]()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs, context) as pool:
        seeds = range(arguments.seed, arguments.seed + arguments.seeds)
        futures = [
            pool.submit(run_seed, seed, arguments.crowd or None, arguments.shim or None) for seed in seeds
        ]
        for future in concurrent.futures.as_completed(futures):
            outcomes.append(future.result())
            print_outcome(outcomes[-1], " ".join(command_words))
    rules = Counter(violation.rule for outcome in outcomes for violation in outcome.violations)
    print(
        f"{len(outcomes)} seeds, {sum(outcome.requests for outcome in outcomes)} requests, "
        f"{sum(outcome.processes for outcome in outcomes)} processes, {time.monotonic() - start:.0f} s; "
        f"lost at the kill {sum(outcome.lost_at_kill for outcome in outcomes)}; "
        f"broken: {dict(rules) or 'nothing'}"
    )
    failed = sum(bool(outcome.violations) for outcome in outcomes)
    print(f"soak: {len(outcomes) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
