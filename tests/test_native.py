"""Compiled modules are used only for exactly these sources, and are never required."""

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
def small_tree(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A source tree with one module to compile, instead of the program's own."""
    (tmp_path / "trade").mkdir()
    (tmp_path / "trade" / "__init__.py").write_text("")
    (tmp_path / "trade" / "total.py").write_text(SOURCE)
    monkeypatch.setattr(native, "ROOT", tmp_path)
    monkeypatch.setattr(nativebuild, "ROOT", tmp_path)
    for module in (native, nativebuild):
        monkeypatch.setattr(module, "COMPILED", {"trade": ("total",)})
    return tmp_path


def load_in(tree: Path, **environ: str) -> str:
    """Returns which file a program in that tree imports the module from, and the module's output."""
    code = (
        f"import sys; sys.path.insert(0, {str(harness.ROOT)!r}); sys.path.insert(0, {str(tree)!r})\n"
        "from pathlib import Path; from opalgauge.lifecycle import native\n"
        f"native.ROOT = Path({str(tree)!r}); native.COMPILED = {{'trade': ('total',)}}\n"
        "native.use_compiled_modules()\n"
        "from trade import total; t = total.Total(); t.add(2); print(total.__file__, t.add(3))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=120,
        cwd=tree, env={**os.environ, **environ},
    )  # fmt: skip
    return result.stdout.strip()


@pytest.mark.skipif(shutil.which("cc") is None, reason="no C compiler here: plain Python runs")
def test_a_build_is_used_only_for_its_exact_sources(small_tree: Path) -> None:
    assert nativebuild.build().endswith("built")
    assert nativebuild.build().endswith("stands already")
    assert ".so 5" in load_in(small_tree)
    assert "total.py 5" in load_in(small_tree, **{native.DISABLE_VARIABLE: "1"})
    source = small_tree / "trade" / "total.py"
    source.write_text(SOURCE.replace("+= units", "+= 2 * units"))
    os.utime(source, (0, 0))  # older than the build: the digest decides, not the time
    assert "total.py 10" in load_in(small_tree)
    assert nativebuild.build().endswith("built")
    assert ".so 10" in load_in(small_tree)
    assert len(list((small_tree / ".native").iterdir())) == 1  # the build of the old sources is removed


def test_plain_python_runs_when_compilation_fails(small_tree: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("CC", "/bin/false")
    message = nativebuild.build()
    assert "plain Python will run" in message and "\n" not in message
    assert "total.py 5" in load_in(small_tree)


def test_an_incomplete_build_is_not_used(small_tree: Path) -> None:
    partial = native.build_folder() / "trade"
    partial.mkdir(parents=True)
    (partial / "total.py").write_text("raise SystemExit(9)")
    assert "total.py 5" in load_in(small_tree) and ".native" not in load_in(small_tree)


def test_all_listed_sources_exist() -> None:
    assert all(path.exists() for path in native.source_files())
