"""A short seeded soak, as CI plays it; the long one is started by hand: `python -m tests.soak`."""

from __future__ import annotations

import subprocess
import sys

from tests import harness

SEEDS = 6


def test_seeded_runs_break_nothing() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "tests.soak", "--seed", "1", "--seeds", str(SEEDS), "--jobs", "3"],
        cwd=harness.ROOT, capture_output=True, text=True, timeout=300,
    )  # fmt: skip
    assert done.returncode == 0, done.stdout + done.stderr
    assert f"soak: {SEEDS} passed, 0 failed" in done.stdout
