"""Compiled modules: found only for exactly these sources, and never needed."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from opalgauge import nativebuild
from opalgauge.lifecycle import native
from tests import harness

SOURCE = """
class Total:
    def __init__(self) -> None:
        self.units = 0

    def add(self, units: int) -> int:
        self.units += units
        return self.units
"""


@pytest.fixture
def small(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A tree of one module to compile, in place of the program's own."""
    (tmp_path / "trade").mkdir()
    (tmp_path / "trade" / "__init__.py").write_text("")
    (tmp_path / "trade" / "total.py").write_text(SOURCE)
    monkeypatch.setattr(native, "ROOT", tmp_path)
    monkeypatch.setattr(nativebuild, "ROOT", tmp_path)
    for module in (native, nativebuild):
        monkeypatch.setattr(module, "COMPILED", {"trade": ("total",)})
    return tmp_path


def loaded(tree: Path, **environ: str) -> str:
    """The file that a program in that tree gets the module from, and what the module does."""
    code = (
        f"import sys; sys.path.insert(0, {str(harness.ROOT)!r}); sys.path.insert(0, {str(tree)!r})\n"
        "from pathlib import Path; from opalgauge.lifecycle import native\n"
        f"native.ROOT = Path({str(tree)!r}); native.COMPILED = {{'trade': ('total',)}}\n"
        "native.prefer()\n"
        "from trade import total; t = total.Total(); t.add(2); print(total.__file__, t.add(3))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=120,
        cwd=tree, env={**os.environ, **environ},
    )  # fmt: skip
    return done.stdout.strip()


@pytest.mark.skipif(shutil.which("cc") is None, reason="no C compiler here: plain Python runs")
def test_a_build_is_used_for_exactly_its_sources_and_for_no_others(small: Path) -> None:
    assert nativebuild.build().endswith("built")
    assert nativebuild.build().endswith("stands already")
    assert ".so 5" in loaded(small)
    assert "total.py 5" in loaded(small, **{native.OFF: "1"})
    source = small / "trade" / "total.py"
    source.write_text(SOURCE.replace("+= units", "+= 2 * units"))
    os.utime(source, (0, 0))  # older than the build: a time would not tell
    assert "total.py 10" in loaded(small)
    assert nativebuild.build().endswith("built")
    assert ".so 10" in loaded(small)
    assert len(list((small / ".native").iterdir())) == 1  # the build of other sources is gone


def test_what_cannot_be_compiled_runs_as_plain_python(small: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("CC", "/bin/false")
    said = nativebuild.build()
    assert "plain Python will run" in said and "\n" not in said
    assert "total.py 5" in loaded(small)


def test_a_build_that_was_cut_off_is_not_used(small: Path) -> None:
    half = native.folder() / "trade"
    half.mkdir(parents=True)
    (half / "total.py").write_text("raise SystemExit(9)")
    assert "total.py 5" in loaded(small) and ".native" not in loaded(small)


def test_the_sources_named_for_it_are_there() -> None:
    assert all(path.exists() for path in native.sources())
