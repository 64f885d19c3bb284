"""Where bans lie: one file in the ingress's own folder, shared by an old and a new process."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterator
from pathlib import Path

from opalgauge.console import ban_record
from opalgauge.memory.effects import PersistBans
from opalgauge.memory.events import BansReceived, BanStatus, Event
from opalgauge.wire.server_list import server_id_for

FILE_NAME, LOCK_NAME, TEMP_NAME = "opalgauge.marks", "opalgauge.marks.lock", "opalgauge.marks.new"


class BanFile:
    """Reads and replaces the file. What cannot be written for now is still owed, and tried at each look."""

    def __init__(self, folder: str, log: Callable[[str], None]) -> None:
        self.folder, self.log = Path(folder), log
        self.last_seen: tuple[int, int] | None = None  # the file as it was last read
        self.failure_logged = False
        self.unsaved: tuple[BanStatus, ...] = ()  # not written yet

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Guards what the other process has just said against being written over unread.

        Raises BlockingIOError where the other one has the file now: it may have been stopped, and this one
        must not stand still with it.
        """
        with open(self.folder / LOCK_NAME, "wb") as lock_file:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield

    def _read(self) -> tuple[BanStatus, ...]:
        """What lies there; nothing where it is missing or no whole record."""
        try:
            with open(self.folder / FILE_NAME, "rb") as file:
                entries = ban_record.decode(file.read(ban_record.MAX_RECORD_SIZE + 1))
        except FileNotFoundError:
            return ()
        if entries is None:
            self._log_failure("what is kept of them is no whole record, and is left")
            return ()
        return tuple(BanStatus(name, server_id_for(name), banned, at) for name, banned, at in entries)

    def _log_failure(self, reason: str) -> None:
        if not self.failure_logged:
            self.failure_logged = True
            self.log(f"maint: {reason}")

    def save(self, effect: PersistBans) -> None:
        """Whole or not at all: the new file takes the old one's place only when it is written."""
        self.unsaved = ban_record.merge(self.unsaved, effect.bans)
        self._write()

    def _write(self) -> None:
        try:
            with self._locked():
                record = ban_record.encode(ban_record.merge(self._read(), self.unsaved))
                # One name: only who has the lock writes it, and a process that was killed leaves one at most.
                temp_file = self.folder / TEMP_NAME
                temp_file.write_bytes(record)
                os.replace(temp_file, self.folder / FILE_NAME)
        except BlockingIOError:
            return
        except OSError as error:
            self._log_failure(f"cannot be kept over a new process: {error}; tried again")
            return
        self.unsaved = ()
        if self.failure_logged:
            self.failure_logged = False
            self.log("maint: kept again")

    def poll(self, report: Callable[[Event], None]) -> None:
        """Writes what is owed, and reports what lies there if the file is another than at the last look."""
        if self.unsaved:
            self._write()
        try:
            status = os.stat(self.folder / FILE_NAME)
        except OSError:
            return
        identity = (status.st_ino, status.st_mtime_ns)
        if identity == self.last_seen:
            return
        self.last_seen = identity
        try:
            bans = self._read()
        except OSError as error:
            self.last_seen = None  # it is read at the next look
            self._log_failure(f"cannot be read: {error}")
            return
        if bans:
            report(BansReceived(bans))
