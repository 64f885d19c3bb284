"""A connection that this ingress opens: bytes out, answers in, one event for each thing that happens.

aiohttp's client session was measured at 163 us of CPU a call against 38 us for its own response parser on a
bare connection, and it cannot write calls one behind another; so this is the session's nearest relative. It
sends nothing by itself a second time, follows no redirect, keeps no cookie and decompresses nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from opalgauge.memory.events import Event, LineEnded, LineUp, Reached

MOST_BODY = 64 * 1024  # bytes: no message holds more
MOST_LIST = 4 * 1024 * 1024  # bytes: nor is a node list longer


@dataclass(slots=True)
class Reply:
    """One whole answer; `keep`: the connection can carry another."""

    status: int
    headers: RawResponseMessage
    body: bytes
    keep: bool


Understand = Callable[[int, Reply], Event]


class LineProtocol(BaseProtocol):
    """One outgoing connection. Whatever goes wrong on it ends here, as one `LineEnded`."""

    def __init__(
        self,
        number: int,
        loop: asyncio.AbstractEventLoop,
        report: Callable[[Event], None],
        understand: Understand,
        most: int,
    ) -> None:
        super().__init__(loop)
        self.number, self.report, self.understand, self.most = number, report, understand, most
        self.parser = HttpResponseParser(
            self, loop, 2 * most, max_line_size=8190, max_field_size=8190, auto_decompress=False,
            read_until_eof=True,
        )  # fmt: skip
        self.reached = Reached.CONNECTING
        self.over = False
        self.pending: tuple[RawResponseMessage, StreamReader] | None = None

    # --- asyncio's side ------------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        line = cast(asyncio.Transport, transport)
        line.set_write_buffer_limits(high=0)  # so that `pause_writing` tells of every byte not yet written
        self.reached = Reached.WRITING
        if self.over:
            line.abort()
        else:
            self.report(LineUp(self.number))

    def pause_writing(self) -> None:
        super().pause_writing()
        self.reached = Reached.WRITING

    def resume_writing(self) -> None:
        super().resume_writing()
        self.reached = Reached.WRITTEN

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        if self.reached is Reached.WRITTEN:
            self.reached = Reached.ANSWERING
        try:
            messages, upgraded, _ = self.parser.feed_data(data)
        except Exception:  # whatever the other side sent, it ends this connection and nothing else
            self._fault()
            return
        if upgraded:
            self._fault()
            return
        for message, payload in messages:
            if message.code < 200:
                continue
            self.pending = (message, payload)
            if payload.is_eof():
                self._answered()
            else:
                payload.on_eof(self._answered)
        if self.pending and self.pending[1].total_bytes > self.most:
            self._fault()  # guards against an answer without end

    def eof_received(self) -> None:
        if self.over or self.pending is None:
            return
        try:
            self.parser.feed_eof()  # an answer that has no length ends with its connection
        except Exception:
            self._fault()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._fault()

    # --- our side ------------------------------------------------------------------------------------------
    def send(self, data: bytes) -> None:
        if self.over or self.transport is None:
            return
        self.reached = Reached.WRITTEN  # unless `write` finds that some is left, and says so
        self.transport.write(data)

    def end(self) -> None:
        """Ends the connection before anything else is sent on another; nothing more is reported."""
        self.over = True
        if self.transport is not None:
            # Guards against the loop's habit of closing a socket a turn later, when a further attempt would
            # already be out.
            with contextlib.suppress(OSError, ValueError):
                held = socket.socket(fileno=os.dup(self.transport.get_extra_info("socket").fileno()))
                with held:
                    held.shutdown(socket.SHUT_RDWR)
            self.transport.abort()

    def _fault(self) -> None:
        if not self.over:
            reached = self.reached
            self.end()
            self.report(LineEnded(self.number, reached))

    def _answered(self) -> None:
        if self.over or self.pending is None:
            return
        (message, payload), self.pending = self.pending, None
        if payload.exception() is not None:
            return  # the connection's end, which follows, tells of it
        body = payload.read_nowait(-1)
        keep = not message.should_close
        self.report(self.understand(self.number, Reply(message.code, message, body, keep)))
