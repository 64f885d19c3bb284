"""Imports compiled modules instead of the plain ones if there is a build of exactly these sources.

`python -m opalgauge.nativebuild` writes a build to `.native/DIGEST/`. The digest covers the sources, the
interpreter and the platform, so that a build of other sources is never used, whatever its age. Without a
build, the same modules run as plain Python.
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
    "opalgauge.memory": ("events", "effects", "drain", "timers", "state", "reducer"),
}
DISABLE_VARIABLE = "OPALGAUGE_PLAIN"  # environment variable; if set, the plain modules are used


def source_files() -> list[Path]:
    """Returns the source files of the compiled modules, dependencies first."""
    return [
        ROOT / package.replace(".", "/") / f"{name}.py"
        for package, names in COMPILED.items()
        for name in names
    ]


def source_digest() -> str:
    """Returns the digest of the sources, the interpreter and the platform."""
    sources_hash = hashlib.sha256(f"{sys.version}|{sysconfig.get_platform()}".encode())
    for path in source_files():
        sources_hash.update(path.read_bytes())
    return sources_hash.hexdigest()[:24]


def build_folder() -> Path:
    """Returns the folder of the build of these sources, which need not exist."""
    return ROOT / ".native" / source_digest()


class CompiledModuleFinder:
    """A meta path finder for the modules of one build."""

    def __init__(self, build: Path) -> None:
        suffix = sysconfig.get_config_var("EXT_SUFFIX")
        self.files = {
            ".".join(path.relative_to(build).parts).removesuffix(suffix): str(path)
            for path in build.rglob(f"*{suffix}")
        }

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Returns the spec of a compiled module by its full name, or None."""
        file = self.files.get(name)
        return None if file is None else spec_from_file_location(name, file)


def use_compiled_modules() -> bool:
    """Makes imports prefer the compiled modules. Returns whether they will be used.

    Must be called before any of the modules is imported.
    """
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
