"""The admin endpoint: listens for connections and answers one command on each."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, cast

from opalgauge.console import commands
from opalgauge.memory.effects import AnswerStaff
from opalgauge.memory.events import BanChangeRequested, Event
from opalgauge.memory.state import StatusReport
from opalgauge.wire.listener import Listener, bind
from opalgauge.wire.server_list import server_id_for

BACKLOG = 64  # connections that wait to be accepted
MAX_CONNECTIONS = 12  # at once; beyond, the oldest one without a command is aborted
COMMAND_TIMEOUT = timedelta(seconds=10)  # for a complete command, and for reading its answer
LINGER_TIMEOUT = timedelta(seconds=1)  # for input behind an overlong line to be read and dropped


class AdminConnection(asyncio.Protocol):
    """A connection: it receives a line, sends the answer and closes."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self.endpoint, self.call_id, self.received = endpoint, 0, b""
        self.transport: asyncio.Transport | None = None
        self.command_received = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when the connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with further input."""
        if self.command_received:
            return
        self.received += data[: commands.MAX_LINE + 1]
        line, end, _ = self.received.partition(b"\n")
        if end or len(line) > commands.MAX_LINE:
            self.command_received = True
            command = commands.parse(line) if end else commands.InvalidCommand("a line too long")
            self.endpoint.on_command(self, command)

    def eof_received(self) -> bool:
        """Called by the event loop at the end of input."""
        if not self.command_received:
            # The end of input may stand for the line end.
            self.command_received = True
            self.endpoint.on_command(self, commands.parse(self.received))
        return True  # the other side may still read the answer

    def connection_lost(self, exc: BaseException | None) -> None:
        """Called by the event loop when the connection has ended."""
        self.endpoint.on_disconnected(self)

    def send(self, data: bytes) -> None:
        """Sends an answer and closes the connection."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if len(self.received) <= commands.MAX_LINE:
                self.transport.close()
                return
            # A close while the other side is still sending would reset the connection and lose the answer.
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(
                LINGER_TIMEOUT.total_seconds(), self.endpoint._on_timeout, self
            )


class AdminEndpoint:
    """Serves operators. It reads the reducer's statistics and changes state only by events.

    `not_ready_reason` returns an empty string while the process serves.
    """

    def __init__(
        self,
        class_names: Sequence[str],
        status_report: Callable[[], StatusReport],
        report: Callable[[Event], None],
        not_ready_reason: Callable[[], str],
        extra_lines: Callable[[], list[str]] | None = None,
        record_lines: Callable[[], list[str]] = list,
    ) -> None:
        self.extra_lines, self.record_lines = extra_lines or list, record_lines
        self.class_names, self.status_report, self.report, self.not_ready_reason = (
            class_names,
            status_report,
            report,
            not_ready_reason,
        )
        self.connections: dict[int, AdminConnection] = {}  # by call_id, the oldest first
        self.last_call_id = 0
        self.listener: Listener | None = None

    async def listen(self, host: str, port: int) -> None:
        """Starts to listen. Raises OSError if the address is not available."""
        self.listener = Listener(bind(host, port), BACKLOG, lambda: AdminConnection(self))

    def close(self) -> None:
        """Stops listening."""
        if self.listener is not None:
            self.listener.close()

    def on_connected(self, connection: AdminConnection) -> None:
        """Registers a new connection and makes room for it if there are too many."""
        self.last_call_id += 1
        connection.call_id = self.last_call_id
        if len(self.connections) >= MAX_CONNECTIONS:
            # Silent connections must not use up the descriptors or keep out those with a command.
            self._abort(next((c for c in self.connections.values() if not c.command_received), None))
        self.connections[connection.call_id] = connection
        asyncio.get_running_loop().call_later(COMMAND_TIMEOUT.total_seconds(), self._on_timeout, connection)

    def on_disconnected(self, connection: AdminConnection) -> None:
        """Forgets a connection."""
        self.connections.pop(connection.call_id, None)

    def _abort(self, connection: AdminConnection | None) -> None:
        if connection is not None and connection.transport is not None:
            self.connections.pop(connection.call_id, None)
            connection.transport.abort()

    def _on_timeout(self, connection: AdminConnection) -> None:
        # The other side has sent no command, or does not read its answer.
        if connection.call_id in self.connections:
            self._abort(connection)

    def on_command(self, connection: AdminConnection, command: commands.Command) -> None:
        """Answers a command; the answer to a ban comes later, from the reducer."""
        match command:
            case commands.Status():
                not_ready_reason = self.not_ready_reason()
                connection.send(commands.format_answer(not not_ready_reason, not_ready_reason or "serving"))
            case commands.Stats():
                connection.send(
                    commands.format_statistics(self.status_report(), self.class_names, self.extra_lines())
                )
            case commands.Record():
                connection.send(commands.format_record(self.record_lines()))
            case commands.ChangeBan(name, banned):
                self.report(BanChangeRequested(connection.call_id, name, server_id_for(name), banned))
            case commands.InvalidCommand(reason):
                connection.send(commands.format_answer(False, reason))

    def on_answer(self, effect: AnswerStaff) -> None:
        """Sends the reducer's answer, if the connection is still open."""
        if connection := self.connections.get(effect.call_id):
            connection.send(commands.format_answer(effect.accepted, effect.text))


@contextlib.asynccontextmanager
async def open_admin_endpoint(address: tuple[str, int] | None, **options: Any) -> Any:
    """Context of an open endpoint; None without an address. `options` are those of AdminEndpoint."""
    if address is None:
        yield None
        return
    endpoint = AdminEndpoint(**options)
    await endpoint.listen(*address)
    try:
        yield endpoint
    finally:
        endpoint.close()
