"""CI ignores the failures that KNOWN-RED.txt lists, and no others."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS_FOLDER = Path(__file__).parent
FAILING_ENTRY = "tests/test_some.py::test_fails | a counter is forgotten | issue 7"
PASSING_ENTRY = "tests/test_some.py::test_passes | none | issue 7"


def run(folder: Path, list_text: str | None, *options: str) -> tuple[int, str]:
    """Runs a project of two tests, one of which fails, with that list; returns exit status and output."""
    tests = folder / "tests"
    tests.mkdir()
    (tests / "__init__.py").touch()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(TESTS_FOLDER / name, tests / name)
    (tests / "test_some.py").write_text(
        "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"
    )
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if list_text is not None:
        (folder / "KNOWN-RED.txt").write_text(list_text)
    process = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *options],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return process.returncode, process.stdout + process.stderr


def test_a_listed_failure_is_ignored_and_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, FAILING_ENTRY + "\n")
    assert code == 0
    assert "known red: tests/test_some.py::test_fails: a counter is forgotten (issue 7)" in output
    assert "1 passed, 1 xfailed" in output


@pytest.mark.parametrize("list_text", [None, "", "\n"])
def test_an_unlisted_failure_fails_the_run(list_text: str | None, tmp_path: Path) -> None:
    assert run(tmp_path, list_text)[0] == 1


@pytest.mark.parametrize(
    ("list_text", "expected"),
    [
        (f"{FAILING_ENTRY}\n{PASSING_ENTRY}", "test_passes"),  # a listed test that passes
        (f"{FAILING_ENTRY}\ntests/test_some.py::test_gone | moved | issue 7", "no such test"),
        ("tests/test_some.py::test_fails | no issue", "not `test | cause | issue N`"),
        ("tests/test_some.py::test_fails |  | issue 7", "not `test | cause | issue N`"),
        ("tests/test_some.py::test_fails | a cause | 7", "not `test | cause | issue N`"),
        (f"{FAILING_ENTRY}\n{FAILING_ENTRY}", "twice"),
        ("\n".join(f"tests/test_some.py::test_{n} | a cause | issue 7" for n in range(4)), "3 at most"),
    ],
)
def test_an_invalid_list_fails_the_run(list_text: str, expected: str, tmp_path: Path) -> None:
    code, output = run(tmp_path, list_text)
    assert code != 0 and expected in output


def test_a_partial_run_may_lack_listed_tests(tmp_path: Path) -> None:
    assert run(tmp_path, FAILING_ENTRY, "-k", "passes")[0] == 0
