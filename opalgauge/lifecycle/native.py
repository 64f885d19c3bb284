"""Compiled modules in place of the plain ones, where there is a build of exactly these sources.

A build lies in `.native/DIGEST/`, made by `python -m opalgauge.nativebuild`. The digest is over the sources'
bytes, the interpreter and the machine, so a build of other sources is never found, whatever its age. Without
one the same modules run as plain Python.
"""

from __future__ import annotations

import hashlib
import os
import sys
import sysconfig
from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from importlib.util import spec_from_file_location
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).parent.parent.parent
COMPILED = {
    "starlinggap": ("interface", "quota", "slow_start", "brain", "snapshot"),
    "opalgauge.memory": ("events", "effects", "drain", "state", "reducer"),
}
OFF = "OPALGAUGE_PLAIN"  # set to anything: the plain modules run


def sources() -> list[Path]:
    """The compiled modules' files, in the order in which they depend on each other."""
    return [
        ROOT / package.replace(".", "/") / f"{name}.py"
        for package, names in COMPILED.items()
        for name in names
    ]


def digest() -> str:
    told = hashlib.sha256(f"{sys.version}|{sysconfig.get_platform()}".encode())
    for path in sources():
        told.update(path.read_bytes())
    return told.hexdigest()[:24]


def folder() -> Path:
    return ROOT / ".native" / digest()


class Finder:
    """Finds the modules of one build by their full names."""

    def __init__(self, built: Path) -> None:
        ending = sysconfig.get_config_var("EXT_SUFFIX")
        self.files = {
            ".".join(path.relative_to(built).parts).removesuffix(ending): str(path)
            for path in built.rglob(f"*{ending}")
        }

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        file = self.files.get(name)
        return None if file is None else spec_from_file_location(name, file)


def prefer() -> bool:
    """Puts the compiled modules before the plain ones; to be called before either is imported."""
    if OFF in os.environ:
        return False
    try:
        built = folder()
        if not (built / "whole").exists():
            return False
        sys.meta_path.insert(0, Finder(built))
    except OSError:
        return False
    return True
