"""The link between an old and a new process of an ingress: a Unix socket in the folder that they share.

The new process connects, receives the old one's snapshot and stays connected, so that each knows whether the
other lives. Both then send each other messages (`messages`). A process that is alone listens for the next
one. Serving does not depend on the link: its failures are logged and otherwise ignored.
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
    ListReceived,
    OtherProcessAccepting,
    ProcessCountChanged,
    SnapshotReceived,
    ToldList,
)

SOCKET_NAME = "opalgauge.kin"
HANDOVER_TIMEOUT = timedelta(milliseconds=500)  # a new process waits no longer for the snapshot
MAX_CALLERS = 4
MAX_UNSENT_BYTES = 1 << 20  # a process with more unread bytes is sent no further messages


class HandoverLink:
    """One process's end of the link.

    `folder` is shared by the processes of the ingress. `export_snapshot` returns what a new process is handed
    over, `read_clocks` the clocks of this process. Events are kept until `attach` says where to report them.
    """

    def __init__(
        self,
        folder: str,
        export_snapshot: Callable[[], dict[str, Any]],
        read_clocks: Callable[[], record.ClockReading],
        log: Callable[[str], None],
        identity: record.Identity = record.UNKNOWN_IDENTITY,
    ) -> None:
        self.identity = identity
        self.path = Path(folder) / SOCKET_NAME
        self.export_snapshot, self.read_clocks, self.log = export_snapshot, read_clocks, log
        self.early_events: list[Event] = []  # reported before `attach`
        self.report: Callable[[Event], None] = self.early_events.append
        self.clock_offset = timedelta(0)  # the old process's clock minus ours, after a handover
        self.server: asyncio.Server | None = None
        self.callers: set[asyncio.StreamWriter] = set()
        self.linked: set[asyncio.StreamWriter] = set()  # callers that have had the answer to their hello
        self.told_list: ToldList | None = None  # the last one that was sent, for later callers
        self.tasks: set[asyncio.Task[None]] = set()
        self.predecessor: asyncio.StreamWriter | None = None
        self.serving = False  # whether this process accepts clients
        self.serving_processes: set[asyncio.StreamWriter] = set()  # connections to processes that do so

    async def start(self) -> None:
        """Receives the snapshot of an old process if there is one; otherwise listens for a new one."""
        received = None
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT.total_seconds()):
                reader, self.predecessor = await asyncio.open_unix_connection(
                    str(self.path), limit=messages.MAX_MESSAGE_BYTES
                )
                self.report(ProcessCountChanged(2))
                self.predecessor.write(record.encode_hello(self.identity))
                head = await reader.readline()
                if head == record.OTHER_INGRESS:
                    self._leave_other_ingress()
                    return
                received = await self._receive_snapshot(head, reader)
        except OSError:
            if self.predecessor is None:
                await self._listen()  # no old process, or only the socket of a dead one
                return
        except (TimeoutError, ValueError, asyncio.IncompleteReadError):
            pass
        if received is None:
            self.log("handover: the old process hands over nothing that can be used; starting from nothing")
        else:
            self.clock_offset = received.clock_offset
            self.report(SnapshotReceived(received.snapshot))
        if self.predecessor is None:
            return
        self._start_task(self._follow_predecessor(reader))

    def attach(self, report: Callable[[Event], None]) -> None:
        """Reports the events so far to `report`, and all later ones."""
        early_events, self.early_events, self.report = self.early_events, [], report
        for event in early_events:
            report(event)

    def send_serving(self, serving: bool) -> None:
        """Tells the other process whether this one accepts clients and goes on doing so."""
        self.serving = serving
        self._send(messages.Serving(serving))

    def send_bans(self, bans: tuple[BanStatus, ...]) -> None:
        """Tells the other process the bans that this one knows of."""
        self._send(messages.Bans(bans))

    def send_list(self, told: ToldList) -> None:
        """Tells the other process the server list, also one that connects later."""
        self.told_list = told
        self._send(messages.List(told))

    def _send(self, message: messages.Message) -> None:
        """Sends a message to the other process, if there is one that reads."""
        for writer in (self.predecessor, *self.linked):
            if writer is not None:
                self._send_to(writer, message)

    def _send_to(self, writer: asyncio.StreamWriter, message: messages.Message) -> None:
        line = messages.encode(message)
        if len(line) > messages.MAX_MESSAGE_BYTES:
            self.log(
                f"handover: {len(line)} bytes are too many for one message; the other process is not told"
            )
            return
        self._write(writer, line)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, line: bytes) -> None:
        """Writes unless the process has ended, in which case writing may raise, or does not read."""
        if not writer.is_closing() and writer.transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            writer.write(line)

    def _leave_other_ingress(self) -> None:
        """Disconnects from a process of another ingress, which keeps its socket in this folder.

        It does not count as a process of this ingress, with which the limits would be shared.
        """
        assert self.predecessor is not None
        self.predecessor.close()
        self.predecessor = None
        self.report(ProcessCountChanged(1))
        self.log("handover: a process of another ingress is at this folder; nothing of it is used")

    def close(self) -> None:
        """Closes all connections and stops listening."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in (self.predecessor, *self.callers):
            if writer is not None:
                writer.close()

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _receive_snapshot(
        self, head: bytes, reader: asyncio.StreamReader
    ) -> record.ReceivedSnapshot | None:
        size = record.body_length(head)
        if size is None:
            return None
        return record.decode(head + await reader.readexactly(size), self.read_clocks())

    async def _follow_predecessor(self, reader: asyncio.StreamReader) -> None:
        assert self.predecessor is not None
        with contextlib.suppress(OSError, ValueError):
            await self._receive_messages(reader, self.predecessor)
        self._set_other_serving(self.predecessor, False)
        self.predecessor = None
        self.report(ProcessCountChanged(1))
        await self._listen()

    def _set_other_serving(self, other: asyncio.StreamWriter, serving: bool) -> None:
        was_serving = bool(self.serving_processes)
        if serving:
            self.serving_processes.add(other)
        else:
            self.serving_processes.discard(other)
        if bool(self.serving_processes) is not was_serving:
            self.report(OtherProcessAccepting(not was_serving))

    async def _receive_messages(self, reader: asyncio.StreamReader, other: asyncio.StreamWriter) -> None:
        """Reports the messages of the other process until it disconnects."""
        while line := await reader.readline():
            match messages.decode(line):
                case messages.Serving(serving):
                    self._set_other_serving(other, serving)
                case messages.Bans(bans):
                    self.report(BansReceived(bans, persist=True))
                case messages.List(told):
                    self.report(ListReceived(told))

    async def _listen(self) -> None:
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)  # left by a dead process
            self.server = await asyncio.start_unix_server(
                self._on_caller, str(self.path), limit=messages.MAX_MESSAGE_BYTES
            )
        except OSError as error:
            self.log(f"handover: no successor can ask this process: {error}")

    async def _on_caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.callers) >= MAX_CALLERS:
            writer.close()
            return
        self.callers.add(writer)
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT.total_seconds()):
                hello = await reader.readline()
            reply = record.answer_hello(hello, self.identity, self.export_snapshot, self.read_clocks())
            writer.write(reply)
            await writer.drain()
            if reply == record.OTHER_INGRESS:
                return
            self.report(ProcessCountChanged(2))
            self.linked.add(writer)
            if self.serving:
                self._send_to(writer, messages.Serving(True))
            if self.told_list is not None:
                self._send_to(writer, messages.List(self.told_list))
            await self._receive_messages(reader, writer)
        except (OSError, TimeoutError, ValueError):
            pass  # the caller has disconnected, is silent or sends too long a line
        finally:
            self._set_other_serving(writer, False)
            self.callers.discard(writer)
            self.linked.discard(writer)
            writer.close()
            if not self.callers:
                self.report(ProcessCountChanged(1))
