"""`python -m opalgauge.nativebuild`: compiles the decision modules and the reducer with mypyc, if possible.

The sources are copied to a temporary folder and compiled there; the result is moved into place atomically. If
mypyc or a C compiler is missing, one line says so and the program runs as plain Python. The exit status is 0
in both cases.
"""

from __future__ import annotations

import importlib.util
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from opalgauge.lifecycle.native import COMPILED, ROOT, build_folder

SETUP = """
from mypyc.build import mypycify
from setuptools import setup
setup(name="opalgauge-native", packages=[], ext_modules=mypycify({files!r}, opt_level="3", debug_level="0"))
"""
BUILD_TIMEOUT = 900  # s, for the compiler run


def build() -> str:
    """Builds the current sources unless a build of them exists. Returns one line that tells the outcome."""
    target = build_folder()
    if (target / "whole").exists():
        return f"native: {target.name} stands already"
    if importlib.util.find_spec("mypyc") is None or importlib.util.find_spec("setuptools") is None:
        return "native: mypyc is not installed; plain Python will run"
    with tempfile.TemporaryDirectory() as temp_folder:
        work_folder = Path(temp_folder)
        files = []
        for package, names in COMPILED.items():
            destination = work_folder / package.replace(".", "/")
            destination.mkdir(parents=True, exist_ok=True)
            for parent in [destination, *destination.parents]:
                if work_folder in parent.parents:
                    shutil.copy(ROOT / parent.relative_to(work_folder) / "__init__.py", parent)
            for name in names:
                shutil.copy(ROOT / package.replace(".", "/") / f"{name}.py", destination)
                files.append(str((destination / f"{name}.py").relative_to(work_folder)))
        (work_folder / "setup.py").write_text(SETUP.format(files=["--ignore-missing-imports", *files]))
        try:
            result = subprocess.run(
                [sys.executable, "setup.py", "-q", "build_ext", "--inplace"],
                cwd=work_folder,
                capture_output=True,
                text=True,
                timeout=BUILD_TIMEOUT,
                check=False,
                env={**os.environ, "MYPYPATH": str(work_folder)},
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            return f"native: cannot be compiled ({error}); plain Python will run"
        if result.returncode:
            last_line = (result.stderr.strip() or result.stdout.strip()).splitlines()[-1:]
            return f"native: cannot be compiled ({' '.join(last_line)}); plain Python will run"
        target.parent.mkdir(exist_ok=True)
        staging = Path(tempfile.mkdtemp(dir=target.parent))
        for library in work_folder.rglob("*.so"):
            if "build" in library.relative_to(work_folder).parts[:1]:
                continue
            destination = staging / library.relative_to(work_folder)
            destination.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(library, destination)
        (staging / "whole").write_text("")
        staging.chmod(0o755)
        try:
            staging.rename(target)
        except OSError:
            shutil.rmtree(staging)  # a concurrent build finished first
        for other in target.parent.iterdir():
            if other != target and other.is_dir():
                shutil.rmtree(other, ignore_errors=True)
    return f"native: {target.name} built"


if __name__ == "__main__":
    print(build())
