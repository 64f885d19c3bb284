"""A few seeds of the randomized fault tests, for CI; `python -m tests.soak` runs more."""

from __future__ import annotations

import subprocess
import sys

from tests import harness

SEED_COUNT = 6


def test_seeded_runs_break_no_rule() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "tests.soak", "--seed", "1", "--seeds", str(SEED_COUNT), "--jobs", "3"],
        cwd=harness.ROOT, capture_output=True, text=True, timeout=300,
    )  # fmt: skip
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert f"soak: {SEED_COUNT} passed, 0 failed" in completed.stdout
