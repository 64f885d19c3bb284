"""A fault proxy between processes: it drops, delays, reorders, silences or cuts traffic by a seeded schedule.

A schedule is lines of `WHEN PATHS FAULT`; paths are named by shell patterns, and the newest line that fits
a path and speaks of a fault holds:

    3s    hall-a.*   cut            # open connections are reset, new ones refused
    3s    hall-a.*   silence        # open connections stay and say nothing, new ones never come up
    9s    hall-a.*   heal           # whatever was open during a silence is reset
    0s    peers.*    drop 7.2%
    0s    peers.*    delay 2ms 17ms
    0s    peers.*    reorder 20%    # so many are held back by one more delay
    0s    peers.*    repeat 5%      # so many come twice
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
import struct
from dataclasses import dataclass, replace
from fnmatch import fnmatchcase
from typing import Any

SPAN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
SHARE = re.compile(r"(\d+(?:\.\d+)?)%")
CONNECTED = ("cut", "silence", "heal")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


class ScheduleError(ValueError):
    """A line of a schedule that cannot be read; the message names it."""


@dataclass(slots=True)
class Fault:
    """What holds on a path. Times in seconds, shares from 0 to 1."""

    state: str = "heal"
    drop: float = 0.0
    least: float = 0.0
    most: float = 0.0
    reorder: float = 0.0
    repeat: float = 0.0


@dataclass(frozen=True, slots=True)
class Line:
    at: float
    paths: str
    word: str
    figures: tuple[float, ...]


def _span(text: str) -> float:
    match = SPAN.fullmatch(text)
    if match is None:
        raise ScheduleError(f"{text!r} is no time such as 200ms or 3s")
    return float(match[1]) * (0.001 if match[2] == "ms" else 1.0)


def _share(text: str) -> float:
    match = SHARE.fullmatch(text)
    if match is None or float(match[1]) > 100:
        raise ScheduleError(f"{text!r} is no share such as 7.2%")
    return float(match[1]) / 100


class Schedule:
    """What holds on which path at which time; no I/O."""

    def __init__(self, text: str) -> None:
        self.lines: list[Line] = []
        for number, row in enumerate(text.splitlines(), 1):
            words = row.split("#")[0].split()
            if not words:
                continue
            try:
                self.lines.append(self._line(words))
            except ValueError as bad:
                raise ScheduleError(f"line {number}: {row.strip()!r}: {bad}") from None
        self.lines.sort(key=lambda line: line.at)

    @staticmethod
    def _line(words: list[str]) -> Line:
        if len(words) < 3:
            raise ScheduleError("a line is WHEN PATHS FAULT")
        at, paths, word, *rest = words
        if word in CONNECTED and not rest:
            return Line(_span(at), paths, word, ())
        if word == "delay" and len(rest) == 2 and _span(rest[0]) <= _span(rest[1]):
            return Line(_span(at), paths, word, (_span(rest[0]), _span(rest[1])))
        if word in ("drop", "reorder", "repeat") and len(rest) == 1:
            return Line(_span(at), paths, word, (_share(rest[0]),))
        raise ScheduleError(
            "known are cut, silence, heal, drop SHARE, delay LEAST MOST, reorder SHARE, repeat SHARE"
        )

    def at(self, path: str, when: float) -> Fault:
        fault = Fault()
        for line in self.lines:
            if line.at > when or not fnmatchcase(path, line.paths):
                continue
            if line.word in CONNECTED:
                fault = replace(fault, state=line.word)
            elif line.word == "delay":
                fault = replace(fault, least=line.figures[0], most=line.figures[1])
            else:
                setattr(fault, line.word, line.figures[0])
        return fault

    def changes(self, path: str) -> list[float]:
        return [line.at for line in self.lines if fnmatchcase(path, line.paths)]


class Proxy:
    """Every path of a scene. Times of the schedule count from `begin`; before it nothing is wrong."""

    def __init__(self, schedule: Schedule, seed: int) -> None:
        self.schedule, self.seed = schedule, seed
        self.loop = asyncio.get_running_loop()
        self.began: float | None = None
        self.streams: list[StreamPath] = []
        self.datagrams: list[DatagramPath] = []
        self.timers: list[asyncio.TimerHandle] = []

    def fault(self, path: str) -> Fault:
        return Fault() if self.began is None else self.schedule.at(path, self.loop.time() - self.began)

    def begin(self) -> None:
        self.began = self.loop.time()
        for path in self.streams:
            for when in self.schedule.changes(path.name):
                self.timers.append(self.loop.call_later(when, path.follow))

    async def stream(self, name: str, target: str) -> str:
        """A path for connections; gives the address to use in place of `target`."""
        path = StreamPath(self, name, target)
        self.streams.append(path)
        return path.address

    async def datagram(self, name: str, target: str) -> str:
        path = DatagramPath(self, name, target)
        await self.loop.create_datagram_endpoint(lambda: path, local_addr=("127.0.0.1", 0))
        self.datagrams.append(path)
        return path.address

    async def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        for path in self.streams:
            path.close()
        for one in self.datagrams:
            one.transport.close()


class StreamPath:
    """Connections to one target. A listening socket of its own, so that it can stop answering as a machine
    that has vanished does: its queue is filled, and the kernel drops what asks to connect."""

    def __init__(self, proxy: Proxy, name: str, target: str) -> None:
        self.proxy, self.name = proxy, name
        self.chance = random.Random(f"{proxy.seed} {name}")
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        self.sock = self._listen(("127.0.0.1", 0))
        self.bound = self.sock.getsockname()
        self.address = f"127.0.0.1:{self.bound[1]}"
        self.state = "heal"
        self.open: set[Any] = set()
        self.fillers: list[socket.socket] = []
        self.accepting: asyncio.Task[None] | None = proxy.loop.create_task(self._accept())
        self.tasks: set[asyncio.Task[None]] = set()

    @staticmethod
    def _listen(bound: tuple[str, int]) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(bound)
        sock.listen(128)
        sock.setblocking(False)
        return sock

    def follow(self) -> None:
        """Does what the schedule says by now."""
        state = self.proxy.fault(self.name).state
        if state == self.state:
            return
        before, self.state = self.state, state
        if state == "heal":
            for one in self.fillers:
                one.close()
            self.fillers.clear()
            if before == "silence":
                self._reset()  # the machine that is back knows nothing of them
                self.sock.close()
            self.sock = self._listen(self.bound)
            self.accepting = self.proxy.loop.create_task(self._accept())
            return
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if state == "cut":
            self._reset()
            self.sock.close()
        else:
            self.sock.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(OSError):
                    filler.connect(self.bound)
                self.fillers.append(filler)

    def _reset(self) -> None:
        for writer in list(self.open):
            self._abort(writer)

    @staticmethod
    def _abort(writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self.proxy.loop.sock_accept(self.sock)
            except OSError:
                return
            task = self.proxy.loop.create_task(self._serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        near = far = None
        try:
            reader, near = await asyncio.open_connection(sock=sock)
            self.open.add(near)
            far_reader, far = await asyncio.open_connection(*self.target)
            self.open.add(far)
            await asyncio.wait(
                [
                    asyncio.ensure_future(self._pass(reader, far)),
                    asyncio.ensure_future(self._pass(far_reader, near)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        except OSError:
            pass
        finally:
            for writer in (near, far):
                if writer is not None:
                    self.open.discard(writer)
                    if self.state == "silence":
                        continue  # it says nothing, not even that it has ended
                    (self._abort if self.state == "cut" else asyncio.StreamWriter.close)(writer)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                fault = self.proxy.fault(self.name)
                if fault.most:
                    await asyncio.sleep(fault.least + (fault.most - fault.least) * self.chance.random())
                while self.state == "silence":
                    await asyncio.sleep(0.02)
                if writer.is_closing():
                    return
                writer.write(data)

    def close(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
        for task in self.tasks:
            task.cancel()
        self._reset()
        self.sock.close()
        for one in self.fillers:
            one.close()


class DatagramPath(asyncio.DatagramProtocol):
    """Datagrams to one target, one way."""

    def __init__(self, proxy: Proxy, name: str, target: str) -> None:
        self.proxy, self.name = proxy, name
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        self.chance = random.Random(f"{proxy.seed} {name}")
        self.transport: Any = None
        self.address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.address = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"

    def datagram_received(self, data: bytes, addr: Any) -> None:
        fault = self.proxy.fault(self.name)
        draws = [self.chance.random() for _ in range(4)]  # as many for each, whatever holds
        if fault.state != "heal" or draws[0] < fault.drop:
            return
        wait = fault.least + (fault.most - fault.least) * draws[1]
        if draws[2] < fault.reorder:
            wait += fault.most
        self.proxy.loop.call_later(wait, self._forward, data)
        if draws[3] < fault.repeat:
            self.proxy.loop.call_later(2 * wait, self._forward, data)

    def _forward(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, self.target)

    def error_received(self, exc: Exception) -> None:
        """Its target is not there just now."""
