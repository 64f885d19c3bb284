"""The file in which bans are stored; an old and a new process of an ingress share it."""

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
    """Reads and replaces the ban file. Bans that cannot be written are kept and retried at each poll."""

    def __init__(self, folder: str, log: Callable[[str], None]) -> None:
        self.folder, self.log = Path(folder), log
        self.last_seen: tuple[int, int] | None = None  # inode and mtime (ns) of the file as last read
        self.failure_logged = False
        self.unsaved: tuple[BanStatus, ...] = ()  # bans that are not written yet

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Holds the lock, so that a concurrent change by the other process is not overwritten unread.

        Raises BlockingIOError if the other process holds the lock: that process may be suspended, and this
        one must not wait for it.
        """
        with open(self.folder / LOCK_NAME, "wb") as lock_file:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield

    def _read(self) -> tuple[BanStatus, ...]:
        """Returns the stored bans; none if the file is missing or not a complete record."""
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
        """Stores bans. The new file replaces the old one only when it is completely written."""
        self.unsaved = ban_record.merge(self.unsaved, effect.bans)
        self._write()

    def _write(self) -> None:
        try:
            with self._locked():
                record = ban_record.encode(ban_record.merge(self._read(), self.unsaved))
                # A fixed name is safe under the lock, and a killed process leaves one such file at most.
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
        """Retries unsaved bans, and reports the stored ones if the file has changed since the last poll."""
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
            self.last_seen = None  # read again at the next poll
            self._log_failure(f"cannot be read: {error}")
            return
        if bans:
            report(BansReceived(bans))
