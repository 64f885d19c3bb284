"""Where the marks lie: one file in the ingress's own folder, shared by an old and a new process."""

from __future__ import annotations

import contextlib
import fcntl
import os
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path

from opalgauge.console import bans
from opalgauge.memory.effects import KeepMarks
from opalgauge.memory.events import Event, MaintMark, MarksFound
from opalgauge.wire.node_list import node_number

NAME, LOCK = "opalgauge.marks", "opalgauge.marks.lock"


class BanFile:
    """Reads and replaces the file. What cannot be done is told in the log and changes nothing else."""

    def __init__(self, folder: str, log: Callable[[str], None]) -> None:
        self.folder, self.log = Path(folder), log
        self.seen: tuple[int, int] | None = None  # the file as it was last read
        self.told = False

    @contextlib.contextmanager
    def _alone(self) -> Iterator[None]:
        """Guards what the other process has just said against being written over unread."""
        with open(self.folder / LOCK, "wb") as held:
            fcntl.flock(held, fcntl.LOCK_EX)
            yield

    def _read(self) -> tuple[MaintMark, ...]:
        """What lies there; nothing where it is missing or no whole record."""
        try:
            with open(self.folder / NAME, "rb") as file:
                told = bans.read(file.read(bans.MOST + 1))
        except FileNotFoundError:
            return ()
        if told is None:
            self._complain("what is kept of them is no whole record, and is left")
            return ()
        return tuple(MaintMark(name, node_number(name), out, at) for name, out, at in told)

    def _complain(self, why: str) -> None:
        if not self.told:
            self.told = True
            self.log(f"maint: {why}")

    def keep(self, effect: KeepMarks) -> None:
        """Whole or not at all: the new file takes the old one's place only when it is written."""
        try:
            with self._alone():
                record = bans.write(bans.merge(self._read(), effect.marks))
                handle, name = tempfile.mkstemp(dir=self.folder, prefix=NAME)
                try:
                    with os.fdopen(handle, "wb") as file:
                        file.write(record)
                    os.replace(name, self.folder / NAME)
                except OSError:
                    os.unlink(name)
                    raise
        except OSError as bad:
            self._complain(f"cannot be kept over a new process: {bad}")

    def look(self, report: Callable[[Event], None]) -> None:
        """Reports what lies there if the file is another than at the last look."""
        try:
            found = os.stat(self.folder / NAME)
        except OSError:
            return
        seen = (found.st_ino, found.st_mtime_ns)
        if seen == self.seen:
            return
        self.seen = seen
        try:
            marks = self._read()
        except OSError as bad:
            self._complain(f"cannot be read: {bad}")
            return
        if marks:
            report(MarksFound(marks))
