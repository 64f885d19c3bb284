"""The admin endpoint's edge: a listener, callers that may be silent or rude, one answer to each call."""

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

BACKLOG = 64  # callers that wait to be accepted
MOST_CALLERS = 12  # at once: the oldest silent one makes room for one more
SILENT = timedelta(seconds=10)  # a call is whole by then, or its caller goes
DRAIN = timedelta(seconds=1)  # so long what is written behind a call is read and dropped


class Caller(asyncio.Protocol):
    """One connection: a line in, an answer out, the end."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self.endpoint, self.number, self.line = endpoint, 0, b""
        self.transport: asyncio.Transport | None = None
        self.asked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.came(self)

    def data_received(self, data: bytes) -> None:
        if self.asked:
            return
        self.line += data[: commands.MOST_LINE + 1]
        line, end, _ = self.line.partition(b"\n")
        if end or len(line) > commands.MOST_LINE:
            self.asked = True
            told = commands.understand(line) if end else commands.Wrong("a line too long")
            self.endpoint.called(self, told)

    def eof_received(self) -> bool:
        if not self.asked:
            # A caller may end its sending in place of its line.
            self.asked = True
            self.endpoint.called(self, commands.understand(self.line))
        return True  # it may still read

    def connection_lost(self, exc: BaseException | None) -> None:
        self.endpoint.went(self)

    def answer(self, text: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(text)
            if len(self.line) <= commands.MOST_LINE:
                self.transport.close()
                return
            # Guards the answer against the reset that a close sends where the caller is still writing.
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(DRAIN.total_seconds(), self.endpoint._silent, self)


class AdminEndpoint:
    """Where operators call. It reads the reducer's figures and changes things by events alone."""

    def __init__(
        self,
        kinds: Sequence[str],
        figures: Callable[[], StatusReport],
        report: Callable[[Event], None],
        refusal: Callable[[], str],
        more: Callable[[], list[str]] | None = None,
        record: Callable[[], list[str]] = list,
    ) -> None:
        self.more, self.record = more or list, record
        self.kinds, self.figures, self.report, self.refusal = kinds, figures, report, refusal
        self.callers: dict[int, Caller] = {}  # the oldest first
        self.number = 0
        self.listener: Listener | None = None

    async def listen(self, host: str, port: int) -> None:
        """Raises OSError where the address cannot be had."""
        self.listener = Listener(bind(host, port), BACKLOG, lambda _: Caller(self))

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()

    def came(self, caller: Caller) -> None:
        self.number += 1
        caller.number = self.number
        if len(self.callers) >= MOST_CALLERS:
            # Guards the descriptors, and callers that have something to say, against those that have not.
            self._drop(next((c for c in self.callers.values() if not c.asked), None))
        self.callers[caller.number] = caller
        asyncio.get_running_loop().call_later(SILENT.total_seconds(), self._silent, caller)

    def went(self, caller: Caller) -> None:
        self.callers.pop(caller.number, None)

    def _drop(self, caller: Caller | None) -> None:
        if caller is not None and caller.transport is not None:
            self.callers.pop(caller.number, None)
            caller.transport.abort()

    def _silent(self, caller: Caller) -> None:
        # Guards against callers that stay without a call, or do not read their answer.
        if caller.number in self.callers:
            self._drop(caller)

    def called(self, caller: Caller, call: commands.Call) -> None:
        match call:
            case commands.Status():
                refusal = self.refusal()
                caller.answer(commands.answer(not refusal, refusal or "serving"))
            case commands.Stats():
                caller.answer(commands.figures(self.figures(), self.kinds, self.more()))
            case commands.Record():
                caller.answer(commands.record(self.record()))
            case commands.Maint(name, out):
                self.report(BanChangeRequested(caller.number, name, server_id_for(name), out))
            case commands.Wrong(why):
                caller.answer(commands.answer(False, why))

    def answered(self, effect: AnswerStaff) -> None:
        """Carries out the reducer's answer; a caller that has left is owed none."""
        if caller := self.callers.get(effect.call_id):
            caller.answer(commands.answer(effect.accepted, effect.text))


@contextlib.asynccontextmanager
async def admin_endpoint(address: tuple[str, int] | None, **more: Any) -> Any:
    """An open endpoint, or none where no address is told."""
    if address is None:
        yield None
        return
    opened = AdminEndpoint(**more)
    await opened.listen(*address)
    try:
        yield opened
    finally:
        opened.close()
