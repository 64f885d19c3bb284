"""Makes system calls of ingress processes fail, with a small library that is preloaded into them.

The test and the library map one control file: the test sets which calls fail and how often, the library
counts the failures that it injected. Needs a C compiler, but no privileges.
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
    """No C compiler is installed."""


@functools.cache
def compiled_library() -> Path:
    """Returns the path of the library, compiled once per test run.

    Raises CompilerNotFound, or subprocess.CalledProcessError if it does not compile.
    """
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
    """The faults of the processes that are started with `environ` in their environment."""

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
        """Injects a fault into `percent` of the calls, until `stop`.

        `value` is an errno, bytes, milliseconds or seconds, as `struct control` in shim.c says.
        """
        struct.pack_into("qq", self.control, self._offset(fault), value, percent)

    def stop(self, fault: str) -> None:
        """Stops injecting a fault."""
        struct.pack_into("qq", self.control, self._offset(fault), 0, 0)

    def injected_count(self, fault: str) -> int:
        """Returns how often the library has injected a fault."""
        return int(struct.unpack_from("q", self.control, self._offset(fault) + 2 * FIELD_SIZE)[0])
