"""System call failures for the program's own processes, by a small library that is preloaded into them.

The test and the library share one mapped file: the test says what fails and how often, the library counts
what it has given. Needs a C compiler and no special rights.
"""

from __future__ import annotations

import functools
import mmap
import shutil
import struct
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).parent / "shim.c"
FAULTS = (
    "accept", "socket", "connect", "read", "write", "short_read", "short_write", "delay_write", "wall_clock",
    "file_system",
)  # fmt: skip
ALL_CALLS = 100  # percent
FIELD_SIZE = struct.calcsize("q")


class CompilerNotFound(RuntimeError):
    """The tests' machine has no C compiler."""


@functools.cache
def compiled_library() -> Path:
    """The compiled library, made once for all tests of a run."""
    compiler = shutil.which("cc") or shutil.which("gcc") or shutil.which("clang")
    if compiler is None:
        raise CompilerNotFound("the tests need a C compiler: cc, gcc or clang")
    target = Path(tempfile.mkdtemp(prefix="opalgauge-shim-")) / "shim.so"
    subprocess.run(
        [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", str(target), str(SOURCE), "-ldl"],
        check=True, timeout=60,
    )  # fmt: skip
    return target


class Shim:
    """The faults of one process or of several; `environ` is what makes a process have them."""

    def __init__(self, folder: str, seed: int = 1) -> None:
        self.path = Path(folder) / "shim.control"
        size = FIELD_SIZE * (1 + 3 * len(FAULTS))
        self.path.write_bytes(b"\0" * size)
        with open(self.path, "r+b") as file:
            self.control = mmap.mmap(file.fileno(), size)
        struct.pack_into("q", self.control, 0, seed)
        self.environ = {"LD_PRELOAD": str(compiled_library()), "OPALGAUGE_SHIM": str(self.path)}

    def _offset(self, fault: str) -> int:
        return FIELD_SIZE * (1 + 3 * FAULTS.index(fault))

    def inject(self, fault: str, value: int, percent: int = ALL_CALLS) -> None:
        """From now on. `value`: errno, bytes, milliseconds or seconds, as the library's source says."""
        struct.pack_into("qq", self.control, self._offset(fault), value, percent)

    def stop(self, fault: str) -> None:
        struct.pack_into("qq", self.control, self._offset(fault), 0, 0)

    def injected_count(self, fault: str) -> int:
        """How often the library has given it."""
        return int(struct.unpack_from("q", self.control, self._offset(fault) + 2 * FIELD_SIZE)[0])
