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
DISABLE_VARIABLE = "OPALGAUGE_PLAIN"  # set to anything: the plain modules run


def source_files() -> list[Path]:
    """The compiled modules' files, in the order in which they depend on each other."""
    return [
        ROOT / package.replace(".", "/") / f"{name}.py"
        for package, names in COMPILED.items()
        for name in names
    ]


def source_digest() -> str:
    sources_hash = hashlib.sha256(f"{sys.version}|{sysconfig.get_platform()}".encode())
    for path in source_files():
        sources_hash.update(path.read_bytes())
    return sources_hash.hexdigest()[:24]


def build_folder() -> Path:
    return ROOT / ".native" / source_digest()


class CompiledModuleFinder:
    """Finds the modules of one build by their full names."""

    def __init__(self, build: Path) -> None:
        suffix = sysconfig.get_config_var("EXT_SUFFIX")
        self.files = {
            ".".join(path.relative_to(build).parts).removesuffix(suffix): str(path)
            for path in build.rglob(f"*{suffix}")
        }

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        file = self.files.get(name)
        return None if file is None else spec_from_file_location(name, file)


def use_compiled_modules() -> bool:
    """Puts the compiled modules before the plain ones; to be called before either is imported."""
    if DISABLE_VARIABLE in os.environ:
        return False
    try:
        build = build_folder()
        if not (build / "whole").exists():
            return False
        sys.meta_path.insert(0, CompiledModuleFinder(build))
    except OSError:
        return False
    return True
