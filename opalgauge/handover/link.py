"""The link between an old and a new process at one address: a Unix socket in the folder that they share.

The new one calls, is handed what the old one knows, and stays connected: by that each knows that the other
lives. Over it each then tells the other what both have to know (`messages`). Whoever is alone listens.
Nothing of it is needed to serve: what fails is told in the log and left.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from opalgauge.handover import messages, record
from opalgauge.memory.events import (
    BansReceived,
    BanStatus,
    Event,
    OtherProcessAccepting,
    ProcessCountChanged,
    SnapshotReceived,
)

NAME = "opalgauge.kin"
PATIENCE = timedelta(milliseconds=500)  # a start waits no longer for what the old process knows
MOST_CALLERS = 4
MOST_UNSENT = 1 << 20  # bytes for a process that does not read: it is told no more


class Link:
    """One process's end of the link."""

    def __init__(
        self,
        folder: str,
        memory: Callable[[], dict[str, Any]],
        moment: Callable[[], record.Moment],
        log: Callable[[str], None],
        who: record.Identity = record.NOBODY,
    ) -> None:
        self.who = who
        self.path = Path(folder) / NAME
        self.memory, self.moment, self.log = memory, moment, log
        self.early: list[Event] = []  # what has happened before anybody could hear of it
        self.report: Callable[[Event], None] = self.early.append
        self.ahead = timedelta(0)  # the old process's clock less ours, once it has handed over
        self.server: asyncio.Server | None = None
        self.callers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.link: asyncio.StreamWriter | None = None
        self.serving = False  # this process
        self.others_serving: set[asyncio.StreamWriter] = set()  # those at the other ends that have said so

    async def start(self) -> None:
        """Hears what an old process knows, if there is one; listens where there is none."""
        told = None
        try:
            async with asyncio.timeout(PATIENCE.total_seconds()):
                reader, self.link = await asyncio.open_unix_connection(str(self.path), limit=messages.LONGEST)
                self.report(ProcessCountChanged(2))
                self.link.write(record.hello(self.who))
                head = await reader.readline()
                if head == record.STRANGER:
                    self._strangers()
                    return
                told = await self._hear(head, reader)
        except OSError:
            if self.link is None:
                await self._listen()  # nobody is there, or one that died
                return
        except (TimeoutError, ValueError, asyncio.IncompleteReadError):
            pass
        if told is None:
            self.log("handover: the old process hands over nothing that can be used; starting from nothing")
        else:
            self.ahead = told.ahead
            self.report(SnapshotReceived(told.memory))
        if self.link is None:
            return
        self._run(self._until_alone(reader))

    def go_on(self, report: Callable[[Event], None]) -> None:
        """Reports what has happened so far, and from now on all that does."""
        early, self.early, self.report = self.early, [], report
        for event in early:
            report(event)

    def tell_serving(self, serving: bool) -> None:
        """Whether this process accepts clients, and goes on doing so."""
        self.serving = serving
        self._tell(messages.Serving(serving))

    def tell_bans(self, marks: tuple[BanStatus, ...]) -> None:
        self._tell(messages.Bans(marks))

    def _tell(self, message: messages.Message) -> None:
        """Tells the other process, if there is one that reads."""
        line = messages.write(message)
        if len(line) > messages.LONGEST:
            return
        for writer in (self.link, *self.callers):
            if writer is not None:
                self._write(writer, line)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, line: bytes) -> None:
        """Guards against a process that has ended, where writing would raise, and one that does not read."""
        if not writer.is_closing() and writer.transport.get_write_buffer_size() < MOST_UNSENT:
            writer.write(line)

    def _strangers(self) -> None:
        """Another ingress has this folder, too. Its place there is left to it, and its part of the limits."""
        assert self.link is not None
        self.link.close()
        self.link = None
        self.report(ProcessCountChanged(1))
        self.log("handover: a process of another ingress is at this folder; nothing of it is used")

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in (self.link, *self.callers):
            if writer is not None:
                writer.close()

    def _run(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _hear(self, head: bytes, reader: asyncio.StreamReader) -> record.Handed | None:
        size = record.length(head)
        if size is None:
            return None
        return record.read(head + await reader.readexactly(size), self.moment())

    async def _until_alone(self, reader: asyncio.StreamReader) -> None:
        assert self.link is not None
        with contextlib.suppress(OSError, ValueError):
            await self._listen_to(reader, self.link)
        self._other_serves(self.link, False)
        self.link = None
        self.report(ProcessCountChanged(1))
        await self._listen()

    def _other_serves(self, other: asyncio.StreamWriter, serves: bool) -> None:
        before = bool(self.others_serving)
        if serves:
            self.others_serving.add(other)
        else:
            self.others_serving.discard(other)
        if bool(self.others_serving) is not before:
            self.report(OtherProcessAccepting(not before))

    async def _listen_to(self, reader: asyncio.StreamReader, other: asyncio.StreamWriter) -> None:
        """Hears what the other process tells, until it ends."""
        while line := await reader.readline():
            match messages.read(line):
                case messages.Serving(serves):
                    self._other_serves(other, serves)
                case messages.Bans(marks):
                    self.report(BansReceived(marks, persist=True))

    async def _listen(self) -> None:
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)  # a dead process's
            self.server = await asyncio.start_unix_server(
                self._called, str(self.path), limit=messages.LONGEST
            )
        except OSError as bad:
            self.log(f"handover: no successor can ask this process: {bad}")

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.callers) >= MOST_CALLERS:
            writer.close()
            return
        self.callers.add(writer)
        try:
            async with asyncio.timeout(PATIENCE.total_seconds()):
                hello = await reader.readline()
            answer = record.answer(hello, self.who, self.memory, self.moment())
            writer.write(answer)
            await writer.drain()
            if answer == record.STRANGER:
                return
            self.report(ProcessCountChanged(2))
            if self.serving:
                self._write(writer, messages.write(messages.Serving(True)))
            await self._listen_to(reader, writer)
        except (OSError, TimeoutError, ValueError):
            pass  # it has gone, or says nothing
        finally:
            self._other_serves(writer, False)
            self.callers.discard(writer)
            writer.close()
            if not self.callers:
                self.report(ProcessCountChanged(1))
