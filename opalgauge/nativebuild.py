"""`python -m opalgauge.nativebuild`: compiles the decisions and the reducer with mypyc, if it can.

It copies the sources aside, compiles them there, and puts the result in place as a whole. Where mypyc or a C
compiler is missing it says so in one line; the program then runs as plain Python. Exit status 0 either way.
"""

from __future__ import annotations

import importlib.util
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from opalgauge.lifecycle.native import COMPILED, ROOT, folder

SETUP = """
from mypyc.build import mypycify
from setuptools import setup
setup(name="opalgauge-native", packages=[], ext_modules=mypycify({files!r}, opt_level="3", debug_level="0"))
"""
LIMIT = 900  # s


def build() -> str:
    """Makes the build of the present sources, unless it stands; gives what to say."""
    target = folder()
    if (target / "whole").exists():
        return f"native: {target.name} stands already"
    if importlib.util.find_spec("mypyc") is None or importlib.util.find_spec("setuptools") is None:
        return "native: mypyc is not installed; plain Python will run"
    with tempfile.TemporaryDirectory() as aside:
        work = Path(aside)
        files = []
        for package, names in COMPILED.items():
            place = work / package.replace(".", "/")
            place.mkdir(parents=True, exist_ok=True)
            for part in [place, *place.parents]:
                if work in part.parents:
                    shutil.copy(ROOT / part.relative_to(work) / "__init__.py", part)
            for name in names:
                shutil.copy(ROOT / package.replace(".", "/") / f"{name}.py", place)
                files.append(str((place / f"{name}.py").relative_to(work)))
        (work / "setup.py").write_text(SETUP.format(files=["--ignore-missing-imports", *files]))
        try:
            done = subprocess.run(
                [sys.executable, "setup.py", "-q", "build_ext", "--inplace"], cwd=work, capture_output=True,
                text=True, timeout=LIMIT, check=False, env={**os.environ, "MYPYPATH": str(work)},
            )  # fmt: skip
        except (OSError, subprocess.TimeoutExpired) as bad:
            return f"native: cannot be compiled ({bad}); plain Python will run"
        if done.returncode:
            last = (done.stderr.strip() or done.stdout.strip()).splitlines()[-1:]
            return f"native: cannot be compiled ({' '.join(last)}); plain Python will run"
        target.parent.mkdir(exist_ok=True)
        made = Path(tempfile.mkdtemp(dir=target.parent))
        for built in work.rglob("*.so"):
            if "build" in built.relative_to(work).parts[:1]:
                continue
            place = made / built.relative_to(work)
            place.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(built, place)
        (made / "whole").write_text("")
        made.chmod(0o755)
        try:
            made.rename(target)
        except OSError:
            shutil.rmtree(made)  # another build was quicker
        for old in target.parent.iterdir():
            if old != target and old.is_dir():
                shutil.rmtree(old, ignore_errors=True)
    return f"native: {target.name} built"


if __name__ == "__main__":
    print(build())
