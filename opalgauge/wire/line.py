"""A connection that this ingress opens: bytes out, answers in, one event for each thing that happens.

aiohttp's client session was measured at 163 us of CPU a call against 38 us for its own response parser on a
bare connection, and it cannot write calls one behind another; so this is the session's nearest relative. It
sends nothing by itself a second time, follows no redirect, keeps no cookie and decompresses nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import cast

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from opalgauge.memory.events import AnswerBegun, Event, LineEnded, LineStale, LineUp, Reached

MOST_BODY = 64 * 1024  # bytes: no message holds more
MOST_TOTAL = 64  # bytes: nor is a count's total longer
MOST_HEAD = 16 * 1024  # bytes: nor is all that comes ahead of a body
MOST_LIST = 4 * 1024 * 1024  # bytes: nor is a node list longer


@dataclass(slots=True)
class Reply:
    """One whole answer; `keep`: the connection can carry another."""

    status: int
    headers: RawResponseMessage
    body: bytes
    keep: bool


END = b"\r\n\r\n"  # of a head, and of an answer in chunks

Understand = Callable[[int, Reply], Event]
Answer = tuple[RawResponseMessage, StreamReader]


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
        self.parser = self._new_parser()
        self.reached = Reached.CONNECTING
        self.over = self.used = self.halting = False
        self.owed = 0  # answers to what was sent
        self.begun: deque[Answer] = deque()  # answers whose last byte has not come
        self.heard = b""  # all bytes of these

    def _new_parser(self) -> HttpResponseParser:
        return HttpResponseParser(
            self, self._loop, 2 * self.most, max_line_size=8190, max_field_size=8190, auto_decompress=False,
        )  # fmt: skip

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
        if not self.owed:
            # Guards against noise and second copies behind an answer: they would be taken for the next one.
            self._fault()
            return
        self.reached = Reached.ANSWERING
        heard = self.heard + data if self.heard else data
        try:
            messages, upgraded, _ = self.parser.feed_data(data)
        except Exception:  # whatever the other side sent, it ends this connection and nothing else
            self._told(self._whole_ones(heard), heard, False)
            return
        if upgraded:
            self._fault()
            return
        for message, payload in messages:
            if message.code < 200:
                continue
            length = message.headers.get("Content-Length")
            if not message.chunked and (length is None or int(length) > self.most):
                # Guards against what cannot be said to be whole, and what is far too long.
                self._told(self._whole_ones(heard), heard, False)
                return
            self.begun.append((message, payload))
        whole = []
        while self.begun and self.begun[0][1].is_eof():
            whole.append(self.begun.popleft())
        self.heard = b"" if whole else heard
        halting = bool(self.begun) or not (whole or messages)  # a 1xx alone: the answer may take its time
        self._told(whole, heard, len(whole) + len(self.begun) <= self.owed)
        if self.over:
            return
        body = self.begun[0][1] if self.begun else None
        endless = len(self.heard) > self.most + MOST_HEAD or body is not None and body.total_bytes > self.most
        if endless or body is not None and body.exception() is not None:
            self._fault()  # guards against an answer without end, and chunks that cannot be read
        elif halting and not self.halting:
            self.report(AnswerBegun(self.number))
        self.halting = halting

    def _told(self, whole: list[Answer], heard: bytes, sound: bool) -> None:
        """Answers whose last byte has come. A connection that is not sound ends with the last of them."""
        whole = whole[: self.owed]
        for n, (message, payload) in enumerate(whole, 1):
            self.owed -= 1
            body = payload.read_nowait(-1)
            if not (self.owed or self.begun or heard.endswith(body if body and not message.chunked else END)):
                sound = False  # guards against the beginning of something that the parser has not refused yet
            keep = not message.should_close and (sound or n < len(whole))
            self.report(self.understand(self.number, Reply(message.code, message, body, keep)))
            if self.over:
                return
        if not sound:
            self._fault()

    def _whole_ones(self, heard: bytes) -> list[Answer]:
        """The whole answers ahead of bytes that cannot be read: they are good, what follows them is not.

        The parser drops them with the rest, so they are read once more, each no further than it says it goes.
        """
        whole: list[Answer] = []
        parser, at = self._new_parser(), 0
        with contextlib.suppress(Exception):
            while len(whole) < self.owed and (end := heard.find(END, at) + 4) > 3:
                (message, payload), *_ = parser.feed_data(heard[at:end])[0]
                at = end
                if message.code >= 200:
                    at += int(message.headers["Content-Length"])
                    if at > len(heard):
                        break
                    parser.feed_data(heard[end:at])
                    if not payload.is_eof():
                        break
                    whole.append((message, payload))
        return whole

    def resume_reading(self, resume_parser: bool = True) -> None:
        # Guards the hot path: aiohttp's stream says so after every answer, which costs a parse of nothing.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._fault()

    # --- our side ------------------------------------------------------------------------------------------
    def send(self, data: bytes) -> None:
        if self.over or self.transport is None:
            return
        if not self.owed and self.used and self._stale():
            self.end()
            self.report(LineStale(self.number))
            return
        self.owed += 1
        self.used = True
        self.reached = Reached.WRITTEN  # unless `write` finds that some is left, and says so
        self.transport.write(data)

    def _stale(self) -> bool:
        """Whether there is something to read, or the end, on a connection on which nothing is owed.

        Guards against writing to a connection that the other side has just closed, which would be a reset,
        and against taking what it sent unasked for the answer; the loop may yet have to tell of either.
        """
        try:
            with self._borrowed() as held:
                held.recv(1, socket.MSG_PEEK)
            return True
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True

    @contextlib.contextmanager
    def _borrowed(self) -> Iterator[socket.socket]:
        """The connection's socket, for the moment.

        It stands on the loop's own descriptor and lets go of it. Guards against closing that: its number
        would soon be another connection's, and bytes of one would go to the other. With its kind told, making
        it asks the system nothing.
        """
        assert self.transport is not None
        theirs = self.transport.get_extra_info("socket")
        held = socket.socket(theirs.family, socket.SOCK_STREAM, 0, fileno=theirs.fileno())
        try:
            yield held
        finally:
            held.detach()

    def end(self) -> None:
        """Ends the connection before anything else is sent on another; nothing more is reported."""
        self.over = True
        if self.transport is not None:
            # Guards against the loop's habit of closing a socket a turn later, when a further attempt would
            # already be out.
            with contextlib.suppress(OSError, ValueError), self._borrowed() as held:
                held.shutdown(socket.SHUT_RDWR)
            self.transport.abort()

    def _fault(self) -> None:
        if not self.over:
            reached = self.reached
            self.end()
            self.report(LineEnded(self.number, reached))
