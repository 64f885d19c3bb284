"""Where bans lie: one file in the ingress's own folder, shared by an old and a new process."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterator
from pathlib import Path

from opalgauge.console import bans
from opalgauge.memory.effects import PersistBans
from opalgauge.memory.events import BansReceived, BanStatus, Event
from opalgauge.wire.server_list import server_id_for

NAME, LOCK, NEW = "opalgauge.marks", "opalgauge.marks.lock", "opalgauge.marks.new"


class BanFile:
    """Reads and replaces the file. What cannot be written for now is still owed, and tried at each look."""

    def __init__(self, folder: str, log: Callable[[str], None]) -> None:
        self.folder, self.log = Path(folder), log
        self.seen: tuple[int, int] | None = None  # the file as it was last read
        self.told = False
        self.owed: tuple[BanStatus, ...] = ()  # not written yet

    @contextlib.contextmanager
    def _alone(self) -> Iterator[None]:
        """Guards what the other process has just said against being written over unread.

        Raises BlockingIOError where the other one has the file now: it may have been stopped, and this one
        must not stand still with it.
        """
        with open(self.folder / LOCK, "wb") as held:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield

    def _read(self) -> tuple[BanStatus, ...]:
        """What lies there; nothing where it is missing or no whole record."""
        try:
            with open(self.folder / NAME, "rb") as file:
                told = bans.read(file.read(bans.MOST + 1))
        except FileNotFoundError:
            return ()
        if told is None:
            self._complain("what is kept of them is no whole record, and is left")
            return ()
        return tuple(BanStatus(name, server_id_for(name), out, at) for name, out, at in told)

    def _complain(self, why: str) -> None:
        if not self.told:
            self.told = True
            self.log(f"maint: {why}")

    def keep(self, effect: PersistBans) -> None:
        """Whole or not at all: the new file takes the old one's place only when it is written."""
        self.owed = bans.merge(self.owed, effect.bans)
        self._write()

    def _write(self) -> None:
        try:
            with self._alone():
                record = bans.write(bans.merge(self._read(), self.owed))
                # One name: only who has the lock writes it, and a process that was killed leaves one at most.
                new = self.folder / NEW
                new.write_bytes(record)
                os.replace(new, self.folder / NAME)
        except BlockingIOError:
            return
        except OSError as bad:
            self._complain(f"cannot be kept over a new process: {bad}; tried again")
            return
        self.owed = ()
        if self.told:
            self.told = False
            self.log("maint: kept again")

    def look(self, report: Callable[[Event], None]) -> None:
        """Writes what is owed, and reports what lies there if the file is another than at the last look."""
        if self.owed:
            self._write()
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
            self.seen = None  # it is read at the next look
            self._complain(f"cannot be read: {bad}")
            return
        if marks:
            report(BansReceived(marks))
