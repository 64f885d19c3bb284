"""Carries out the reducer's effects and reports back what happens: the only place where the two meet."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

from aiohttp import ClientPayloadError, StreamReader

from opalgauge.memory import effects as fx
from opalgauge.memory.events import (
    AttemptWriteBlocked,
    ClientDisconnected,
    ConnectionLost,
    ConnectionStale,
    Event,
    Progress,
    RequestBodyEnded,
    RequestBodyStalled,
    WakeUpDue,
)
from opalgauge.memory.reducer import Reducer
from opalgauge.wire import quota_counter, server_codec
from opalgauge.wire.clients import BODY_STALL, NODE_STALL, Clients
from opalgauge.wire.recorder import Recorder
from opalgauge.wire.server_list import NodeListReader, question_bytes
from opalgauge.wire.upstream import (
    MOST_BODY,
    MOST_LIST,
    MOST_LONG,
    MOST_TOTAL,
    LineProtocol,
    Reply,
    Understand,
)

MOST_FAULTS = 20  # log lines: a defect that shows at every order must not fill the disk


class Exchange:
    """One ingress's sockets round its reducer."""

    def __init__(
        self,
        reducer: Reducer,
        now: Callable[[], datetime],
        node_list: NodeListReader,
        log: Callable[[str], None],
        leave: Callable[[], None],
    ) -> None:
        self.reducer, self.now, self.log, self.leave = reducer, now, log, leave
        self.node_list = node_list
        self.loop = asyncio.get_running_loop()
        self.clients: Clients | None = None
        self.lines: dict[int, LineProtocol] = {}
        self.dials: dict[int, asyncio.Task[None]] = {}
        self.probing: set[int] = set()
        self.pours: dict[int, asyncio.Task[None]] = {}  # by line: bodies that are passed on as they come
        self.flows = True  # long bodies pass through; not where orders pass between cores
        self.timer: asyncio.TimerHandle | None = None
        self.events: deque[Event] = deque()
        self.recorder = Recorder()
        self.stepping = False
        self.faults = 0
        self.do: dict[type, Callable[[Any], None]] = {
            fx.OpenConnection: self._open,
            fx.CloseConnection: self._close,
            fx.SendAttempt: self.send,
            fx.SendProbe: self._probe,
            fx.CallCounter: lambda e: self._write(
                e.connection_id, quota_counter.call_bytes(e.name, e.amount, e.ttl)
            ),
            fx.AskServerList: lambda e: self._write(e.connection_id, question_bytes(e.since_version, e.wait)),
            fx.AnswerClient: self._answer,
            fx.CloseClient: self._close_client,
            fx.AbortClient: lambda e: self.clients.abort(e.client_id) if self.clients else None,
            fx.StopReadingBodies: lambda _: self.clients.stop_reading() if self.clients else None,
            # An ingress of one core passes nothing on; `opalgauge.cores` puts its own in their place.
            fx.DelegateRequest: lambda _: None,
            fx.WithdrawRequest: lambda _: None,
            fx.WakeAt: self._wake_at,
            fx.StopAccepting: lambda _: self.clients.stop_accepting() if self.clients else None,
            fx.ResumeAccepting: lambda _: self.clients.accept_again() if self.clients else None,
            # Answered and kept where there is an admin endpoint; `opalgauge.console` puts its own here.
            fx.AnswerStaff: lambda _: None,
            fx.PersistBans: lambda _: None,
            # Heard where zones are judged; `opalgauge.zones` puts its own here.
            fx.ReportAttempt: lambda _: None,
            fx.ReportServers: lambda _: None,
            # Heard where state is replicated; `opalgauge.replica` puts its own here.
            fx.ReplicateBan: lambda _: None,
            # Heard where leases of quotas are held; `opalgauge.leases` puts its own here.
            fx.ReportAccount: lambda _: None,
            fx.AskLeaseHolder: lambda _: None,
            fx.ReportCounterResult: lambda _: None,
            fx.StopListening: lambda _: self.clients.stop_listening() if self.clients else None,
            fx.Exit: lambda _: self.leave(),
            fx.Log: lambda e: self.log(e.text),
        }

    def start(self) -> None:
        self._perform(self.reducer.start(self.now()))

    def report(self, event: Event) -> None:
        """Events are taken one at a time: one that comes while effects are carried out waits for them."""
        if type(event) is ConnectionLost or type(event) is ConnectionStale:
            self.lines.pop(event.connection_id, None)
            self.probing.discard(event.connection_id)
            self._stop_pouring(event.connection_id)
        self.events.append(event)
        if self.stepping:
            return
        self.stepping = True
        try:
            while self.events:
                event = self.events.popleft()
                self.recorder.note(event, self.reducer.now)
                try:
                    self._perform(self.reducer.step(event, self.now()))
                except Exception as bad:
                    # Guards all other clients against what one event brings to light; the reducer's guard
                    # still answers the order that it was about.
                    self.fault(f"{type(event).__name__}: {bad!r}")
        finally:
            self.stepping = False

    def time_to_kill(self) -> timedelta:
        """Until SIGKILL may come, less the time that an exit takes; of a process that is draining."""
        drain = self.reducer.state.drain_schedule
        return timedelta.max if drain is None else max(timedelta(0), drain.exit - self.now())

    def fault(self, what: str) -> None:
        """A defect of the program, told a bounded number of times."""
        self.faults += 1
        if self.faults <= MOST_FAULTS:
            last = "; further ones are not logged" if self.faults == MOST_FAULTS else ""
            self.log(f"fault: {what}{last}")

    def _perform(self, effects: list[fx.Effect]) -> None:
        now = self.reducer.now
        for effect in effects:
            self.recorder.note(effect, now)
            try:
                self.do[type(effect)](effect)
            except Exception as bad:
                # Guards the answers behind it: the other effects of the same event are still carried out.
                self.fault(f"{type(effect).__name__}: {bad!r}")

    # --- connections ---------------------------------------------------------------------------------------
    def _open(self, effect: fx.OpenConnection) -> None:
        understand: Understand
        most, flows = MOST_BODY, None
        if effect.destination is fx.Destination.QUOTA_COUNTER:
            understand, most = quota_counter.understand_total, MOST_TOTAL
        elif effect.destination is fx.Destination.SERVER_LIST:
            understand, most = self.node_list.understand, MOST_LIST
        else:
            understand = self._understand_node
            flows = server_codec.understand_flow if self.flows else None
        line = LineProtocol(effect.connection_id, self.loop, self.report, understand, most, flows)
        self.lines[effect.connection_id] = line
        self.dials[effect.connection_id] = self.loop.create_task(self._dial(effect, line))

    async def _dial(self, effect: fx.OpenConnection, line: LineProtocol) -> None:
        try:
            host, _, port = effect.address.rpartition(":")
            await self.loop.create_connection(lambda: line, host, int(port))
        except (OSError, ValueError, OverflowError):
            if not line.over:
                line.over = True
                self.report(ConnectionLost(effect.connection_id, Progress.CONNECTING))
        finally:
            self.dials.pop(effect.connection_id, None)

    def _close(self, effect: fx.CloseConnection) -> None:
        if dial := self.dials.pop(effect.connection_id, None):
            dial.cancel()
        self.probing.discard(effect.connection_id)
        self._stop_pouring(effect.connection_id)
        if line := self.lines.pop(effect.connection_id, None):
            line.end()

    def _stop_pouring(self, line: int) -> None:
        if self.pours and (task := self.pours.pop(line, None)):
            task.cancel()

    def send(self, effect: fx.SendAttempt) -> None:
        if self.clients is not None and (client := self.clients.gone(effect.request_id)) is not None:
            # Guards against an attempt for a client that closed a while ago: a loop that was held up reads
            # its request first, and its end after that.
            self.report(AttemptWriteBlocked(effect.connection_id))
            self.report(ClientDisconnected(client))
            return
        data = server_codec.attempt_bytes(effect.http_request, effect.time_left)
        if not effect.http_request.has_more_body:
            self._write(effect.connection_id, data)
            return
        line = self.lines.get(effect.connection_id)
        body = self.clients.body(effect.request_id) if self.clients is not None else None
        if line is not None and body is not None:
            line.pouring = True
            line.send(data)
            if not line.over:
                self.pours[effect.connection_id] = self.loop.create_task(self._pour(effect, line, body))

    async def _pour(self, effect: fx.SendAttempt, line: LineProtocol, body: StreamReader) -> None:
        """The rest of a body, from its client to the stock node, no faster than either."""
        chunked, sent = effect.http_request.body_length is None, len(effect.http_request.body)
        try:
            while True:
                async with asyncio.timeout(BODY_STALL):
                    data = await body.readany()
                if not data:
                    break
                sent += len(data)
                if sent > MOST_LONG:
                    self.report(RequestBodyStalled(effect.request_id))
                    return
                async with asyncio.timeout(NODE_STALL):
                    await line.pour(server_codec.chunk(data) if chunked else data)
            if chunked:
                await line.pour(server_codec.LAST_CHUNK)
            self.report(RequestBodyEnded(effect.request_id))
            line.poured()
        except TimeoutError:
            self.report(RequestBodyStalled(effect.request_id))
        except (OSError, ValueError, RuntimeError, ClientPayloadError):
            # The client's framing is no good, or a side has gone.
            self.report(RequestBodyStalled(effect.request_id))
        finally:
            self.pours.pop(effect.connection_id, None)

    def _write(self, number: int, data: bytes) -> None:
        if line := self.lines.get(number):
            line.send(data)

    def _probe(self, effect: fx.SendProbe) -> None:
        self.probing.add(effect.connection_id)
        self._write(effect.connection_id, server_codec.PROBE)

    def _understand_node(self, line: int, reply: Reply) -> Event:
        if line in self.probing:
            self.probing.discard(line)
            return server_codec.understand_probe(line, reply)
        return server_codec.understand_attempt(line, reply)

    # --- the rest ------------------------------------------------------------------------------------------
    def _answer(self, effect: fx.AnswerClient) -> None:
        if self.clients is not None:
            line = self.lines.get(effect.stream_connection_id) if effect.stream_connection_id else None
            flow = line.flow if line is not None else None
            self.clients.answer(effect, flow[1] if flow else None)

    def _close_client(self, effect: fx.CloseClient) -> None:
        if self.clients is not None:
            self.clients.dismiss(effect.client_id, effect.immediately)

    def _wake_at(self, effect: fx.WakeAt) -> None:
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, (effect.at - self.now()).total_seconds())
        self.timer = self.loop.call_later(wait, self._woken)

    def _woken(self) -> None:
        self.timer = None
        self.report(WakeUpDue())
