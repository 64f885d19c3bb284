"""CI passes over what KNOWN-RED.txt lists, and only over that."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
FAILS = "tests/test_some.py::test_fails | a counter is forgotten | issue 7"
PASSES = "tests/test_some.py::test_passes | none | issue 7"


def run(folder: Path, listed: str | None, *more: str) -> tuple[int, str]:
    """A project of two tests, one of which fails, with that list."""
    tests = folder / "tests"
    tests.mkdir()
    (tests / "__init__.py").touch()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, tests / name)
    (tests / "test_some.py").write_text(
        "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"
    )
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    ended = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *more], cwd=folder, capture_output=True, text=True, timeout=60
    )
    return ended.returncode, ended.stdout + ended.stderr


def test_a_listed_test_that_fails_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, said = run(tmp_path, FAILS + "\n")
    assert code == 0
    assert "known red: tests/test_some.py::test_fails: a counter is forgotten (issue 7)" in said
    assert "1 passed, 1 xfailed" in said


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_a_test_that_is_not_listed_fails(listed: str | None, tmp_path: Path) -> None:
    assert run(tmp_path, listed)[0] == 1


@pytest.mark.parametrize(
    ("listed", "why"),
    [
        (f"{FAILS}\n{PASSES}", "test_passes"),  # a listed test that passes
        (f"{FAILS}\ntests/test_some.py::test_gone | moved | issue 7", "no such test"),
        ("tests/test_some.py::test_fails | no issue", "not `test | cause | issue N`"),
        ("tests/test_some.py::test_fails |  | issue 7", "not `test | cause | issue N`"),
        ("tests/test_some.py::test_fails | a cause | 7", "not `test | cause | issue N`"),
        (f"{FAILS}\n{FAILS}", "twice"),
        ("\n".join(f"tests/test_some.py::test_{n} | a cause | issue 7" for n in range(4)), "3 at most"),
    ],
)
def test_a_list_that_is_no_good_fails(listed: str, why: str, tmp_path: Path) -> None:
    code, said = run(tmp_path, listed)
    assert code != 0 and why in said


def test_a_part_of_the_tests_may_lack_a_listed_one(tmp_path: Path) -> None:
    assert run(tmp_path, FAILS, "-k", "passes")[0] == 0
