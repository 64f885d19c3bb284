"""Runs a reducer: feeds it events, carries out its effects on sockets and timers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

from aiohttp import ClientPayloadError

from opalgauge.memory import effects
from opalgauge.memory.buffers import MAX_BUFFERED_BODY
from opalgauge.memory.events import (
    AttemptWriteBlocked,
    ClientDisconnected,
    ConnectionLost,
    ConnectionStale,
    Event,
    IdClaim,
    IdClaimed,
    NothingUnread,
    Progress,
    RequestBodyBlocked,
    RequestBodyEnded,
    RequestBodyStalled,
    RequestBodyUnblocked,
    WakeUpDue,
)
from opalgauge.memory.reducer import Reducer
from opalgauge.wire import quota_counter, server_codec
from opalgauge.wire.clients import BODY_STALL_TIMEOUT, Clients
from opalgauge.wire.read_limiter import ReadLimiter
from opalgauge.wire.recorder import Recorder
from opalgauge.wire.server_list import ServerListReader, encode_list_request
from opalgauge.wire.streamed_body import StreamedRequestBody
from opalgauge.wire.upstream import (
    MAX_BODY,
    MAX_COUNTER_REPLY,
    MAX_SERVER_LIST,
    ParseReply,
    Reply,
    UpstreamConnection,
)

MAX_LOGGED_FAULTS = 20  # log lines: a bug that shows at every request must not fill the disk


class Runtime:
    """Connects a reducer with the outside: connections, clients, timer, recorder and log.

    `effect_handlers` maps each type of effect to its handler. Optional parts of the program replace the
    handlers of the effects that are meant for them. `on_exit` is called when the process can end.
    """

    def __init__(
        self,
        reducer: Reducer,
        now: Callable[[], datetime],
        server_list_reader: ServerListReader,
        log: Callable[[str], None],
        on_exit: Callable[[], None],
    ) -> None:
        self.reducer, self.now, self.log, self.on_exit = reducer, now, log, on_exit
        self.server_list_reader = server_list_reader
        self.loop = asyncio.get_running_loop()
        self.clients: Clients | None = None
        self.connections: dict[int, UpstreamConnection] = {}
        self.connect_tasks: dict[int, asyncio.Task[None]] = {}
        self.probe_connections: set[int] = set()
        self.body_tasks: dict[int, asyncio.Task[None]] = {}  # by connection: bodies that are streamed
        # Whether long bodies are streamed. Workers that delegate requests to each other cannot do so.
        self.stream_bodies = True
        self.timer: asyncio.TimerHandle | None = None
        self.event_queue: deque[Event] = deque()
        self.recorder = Recorder()
        self.list_settled = asyncio.Event()  # see effects.ServerListSettled
        self.processing = False
        self.fault_count = 0
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.OpenConnection: self._open_connection,
            effects.CloseConnection: self._close_connection,
            effects.SendAttempt: self.send_attempt,
            effects.SendProbe: self._send_probe,
            effects.CallCounter: lambda e: self._write(
                e.connection_id, quota_counter.encode_call(e.name, e.amount, e.ttl)
            ),
            effects.AskServerList: lambda e: self._write(
                e.connection_id, encode_list_request(e.since_version, e.wait)
            ),
            effects.ServerListSettled: lambda _: self.list_settled.set(),
            effects.AnswerClient: self._answer_client,
            # Only beside another process of this ingress: replaced by `opalgauge.handover`.
            effects.ClaimId: lambda e: self.report(IdClaimed(e.request_id, IdClaim.GRANTED)),
            effects.ReleaseId: lambda _: None,
            effects.AbandonId: lambda _: None,
            effects.StreamAnswer: self._stream_answer,
            effects.CloseClient: self._close_client,
            effects.AbortClient: lambda e: self.clients.abort(e.client_id) if self.clients else None,
            effects.RefuseIncomplete: lambda e: (
                self.clients.refuse_incomplete(e.client_id) if self.clients else None
            ),
            effects.DropUnreadBytes: self._drop_unread_bytes,
            effects.StopReadingBodies: lambda _: self.clients.stop_reading_bodies() if self.clients else None,
            # Only workers delegate requests: replaced by `opalgauge.cores`.
            effects.DelegateRequest: lambda _: None,
            effects.WithdrawRequest: lambda _: None,
            effects.WakeAt: self._wake_at,
            effects.StopAccepting: lambda _: self.clients.stop_accepting() if self.clients else None,
            effects.ResumeAccepting: lambda _: self.clients.resume_accepting() if self.clients else None,
            # Only with an admin endpoint: replaced by `opalgauge.console`.
            effects.AnswerStaff: lambda _: None,
            effects.PersistBans: lambda _: None,
            # Only beside another process of this ingress: replaced by `opalgauge.handover`.
            effects.ShareList: lambda _: None,
            # Only if the health of zones is watched: replaced by `opalgauge.zones`.
            effects.ReportAttempt: lambda _: None,
            effects.ReportServers: lambda _: None,
            # Only if state is replicated: replaced by `opalgauge.replica`.
            effects.ReplicateBan: lambda _: None,
            # Only with leases: replaced by `opalgauge.leases`.
            effects.ReportAccount: lambda _: None,
            effects.AskLeaseHolder: lambda _: None,
            effects.ReportCounterResult: lambda _: None,
            effects.StopListening: lambda _: self.clients.stop_listening() if self.clients else None,
            effects.Exit: lambda _: self.on_exit(),
            effects.Log: lambda e: self.log(e.text),
        }

    def start(self) -> None:
        """Starts the reducer and carries out its first effects."""
        self._execute(self.reducer.start(self.now()))

    def report(self, event: Event) -> None:
        """Passes an event to the reducer and carries out its effects.

        Events are processed one at a time: one that is reported while effects are carried out is queued.
        """
        if type(event) is ConnectionLost or type(event) is ConnectionStale:
            self.connections.pop(event.connection_id, None)
            self.probe_connections.discard(event.connection_id)
            self._cancel_body_task(event.connection_id)
        self.event_queue.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.event_queue:
                event = self.event_queue.popleft()
                self.recorder.record(event, self.reducer.now)
                try:
                    self._execute(self.reducer.step(event, self.now()))
                except Exception as error:
                    # A bug that one event triggers must not affect other clients. The reducer's
                    # timer still answers the request that it was about.
                    self.report_fault(f"{type(event).__name__}: {error!r}")
        finally:
            self.processing = False

    def time_until_exit(self) -> timedelta:
        """Time until a draining process has to exit, to be gone before SIGKILL; unlimited if not draining."""
        drain = self.reducer.state.drain_schedule
        return timedelta.max if drain is None else max(timedelta(0), drain.exit - self.now())

    def report_fault(self, description: str) -> None:
        """Logs a bug of the program, up to MAX_LOGGED_FAULTS times."""
        self.fault_count += 1
        if self.fault_count <= MAX_LOGGED_FAULTS:
            suffix = "; further ones are not logged" if self.fault_count == MAX_LOGGED_FAULTS else ""
            self.log(f"fault: {description}{suffix}")

    def _execute(self, requested: list[effects.Effect]) -> None:
        now = self.reducer.now
        for effect in requested:
            self.recorder.record(effect, now)
            try:
                self.effect_handlers[type(effect)](effect)
            except Exception as error:
                # The remaining effects of the event, answers among them, are still carried out.
                self.report_fault(f"{type(effect).__name__}: {error!r}")

    # --- connections ---------------------------------------------------------------------------------------
    def _open_connection(self, effect: effects.OpenConnection) -> None:
        parse_reply: ParseReply
        max_body, parse_stream_start = MAX_BUFFERED_BODY, None
        if effect.destination is effects.Destination.QUOTA_COUNTER:
            parse_reply, max_body = quota_counter.parse_total, MAX_COUNTER_REPLY
        elif effect.destination is effects.Destination.SERVER_LIST:
            parse_reply, max_body = self.server_list_reader.parse_reply, MAX_SERVER_LIST
        else:
            parse_reply = self._parse_server_reply
            max_body = self.reducer.state.memory.buffered_answer
            parse_stream_start = server_codec.parse_stream_start if self.stream_bodies else None
        connection = UpstreamConnection(
            effect.connection_id,
            self.loop,
            self.report,
            parse_reply,
            max_body,
            parse_stream_start,
            # A list that breaks off cannot be parsed, so the end of the connection may end it.
            reads_until_eof=effect.destination is effects.Destination.SERVER_LIST,
        )
        self.connections[effect.connection_id] = connection
        self.connect_tasks[effect.connection_id] = self.loop.create_task(self._connect(effect, connection))

    async def _connect(self, effect: effects.OpenConnection, connection: UpstreamConnection) -> None:
        try:
            host, _, port = effect.address.rpartition(":")
            await self.loop.create_connection(lambda: ReadLimiter(connection), host, int(port))
        except (OSError, ValueError, OverflowError):
            if not connection.closed:
                connection.closed = True
                self.report(ConnectionLost(effect.connection_id, Progress.CONNECTING))
        finally:
            self.connect_tasks.pop(effect.connection_id, None)

    def _close_connection(self, effect: effects.CloseConnection) -> None:
        if task := self.connect_tasks.pop(effect.connection_id, None):
            task.cancel()
        self.probe_connections.discard(effect.connection_id)
        self._cancel_body_task(effect.connection_id)
        if connection := self.connections.pop(effect.connection_id, None):
            connection.close()

    def _drop_unread_bytes(self, effect: effects.DropUnreadBytes) -> None:
        if self.clients is None or not self.clients.drop_unread_bytes(effect.client_id):
            self.loop.call_soon(self.report, NothingUnread(effect.client_id))

    def _cancel_body_task(self, connection_id: int) -> None:
        if self.body_tasks and (task := self.body_tasks.pop(connection_id, None)):
            task.cancel()

    def send_attempt(self, effect: effects.SendAttempt) -> None:
        # Nothing is sent for a client that has disconnected. After the loop was delayed, it reads the request
        # first and the disconnect after it.
        if (client_id := self._disconnected_client(effect.request_id)) is not None:
            self.report(AttemptWriteBlocked(effect.connection_id))
            self.report(ClientDisconnected(client_id))
            return
        data = server_codec.encode_attempt(effect.http_request, effect.time_left)
        if not effect.http_request.has_more_body:
            self._write(effect.connection_id, data)
            return
        connection = self.connections.get(effect.connection_id)
        body = self.clients.streamed_body(effect.request_id) if self.clients is not None else None
        if connection is not None and body is not None:
            connection.sending_body = True
            connection.send(data)
            if not connection.closed:
                started = len(effect.http_request.body)
                effect.http_request.body = b""  # such a request is never sent again
                self.body_tasks[effect.connection_id] = self.loop.create_task(
                    self._stream_body(effect, connection, body, started)
                )

    def _disconnected_client(self, request_id: int) -> int | None:
        return self.clients.disconnected_client(request_id) if self.clients is not None else None

    async def _stream_body(
        self,
        effect: effects.SendAttempt,
        connection: UpstreamConnection,
        body: StreamedRequestBody,
        sent: int,
    ) -> None:
        """Streams the rest of a body from its client to the server, at the pace of the slower one.

        `sent` bytes of it have been written before.
        """
        chunked = effect.http_request.body_length is None
        try:
            while True:
                async with asyncio.timeout(BODY_STALL_TIMEOUT):
                    data = await body.read()
                if not data:
                    break
                sent += len(data)
                if sent > MAX_BODY:
                    self.report(RequestBodyStalled(effect.request_id))
                    return
                if (client_id := self._disconnected_client(effect.request_id)) is not None:
                    # Its end was behind the body: the attempt must not become complete.
                    self.report(ClientDisconnected(client_id))
                    return
                length = effect.http_request.body_length
                remaining = None if length is None else length - sent
                part = server_codec.encode_chunk(data) if chunked else data
                await self._write_body_part(effect.request_id, connection, part, remaining)
            if chunked:
                await self._write_body_part(effect.request_id, connection, server_codec.LAST_CHUNK, 0)
            self.report(RequestBodyEnded(effect.request_id))
            connection.finish_body()
        except TimeoutError:
            self.report(RequestBodyStalled(effect.request_id))
        except (OSError, ValueError, RuntimeError, ClientPayloadError):
            # The client's framing is invalid, or a side has disconnected.
            self.report(RequestBodyStalled(effect.request_id))
        finally:
            self.body_tasks.pop(effect.connection_id, None)

    async def _write_body_part(
        self, request_id: int, connection: UpstreamConnection, data: bytes, remaining: int | None
    ) -> None:
        """Writes a part of a streamed body; reports if the server does not take it at once."""
        if connection.write_body_part(data):
            return
        self.report(RequestBodyBlocked(request_id, remaining))
        await connection.wait_until_written()
        self.report(RequestBodyUnblocked(request_id, remaining, len(data)))

    def _stream_answer(self, effect: effects.StreamAnswer) -> None:
        if connection := self.connections.get(effect.connection_id):
            connection.stream_answer()

    def _write(self, connection_id: int, data: bytes) -> None:
        if connection := self.connections.get(connection_id):
            connection.send(data)

    def _send_probe(self, effect: effects.SendProbe) -> None:
        self.probe_connections.add(effect.connection_id)
        self._write(effect.connection_id, server_codec.PROBE_REQUEST)

    def _parse_server_reply(self, connection_id: int, reply: Reply) -> Event:
        if connection_id in self.probe_connections:
            self.probe_connections.discard(connection_id)
            return server_codec.parse_probe_reply(connection_id, reply)
        return server_codec.parse_attempt_reply(connection_id, reply)

    # --- clients and timer ---------------------------------------------------------------------------------
    def _answer_client(self, effect: effects.AnswerClient) -> None:
        if self.clients is not None:
            connection = (
                self.connections.get(effect.stream_connection_id) if effect.stream_connection_id else None
            )
            self.clients.answer(effect, connection.streamed_body if connection is not None else None)

    def _close_client(self, effect: effects.CloseClient) -> None:
        if self.clients is not None:
            self.clients.close_if_idle(effect.client_id, effect.immediately)

    def _wake_at(self, effect: effects.WakeAt) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.0, (effect.at - self.now()).total_seconds())
        self.timer = self.loop.call_later(delay, self._on_wake_up)

    def _on_wake_up(self) -> None:
        self.timer = None
        self.report(WakeUpDue())
