"""A proxy between processes that injects faults into TCP and UDP traffic by a seeded schedule.

A schedule has lines of `WHEN PATHS FAULT`. Paths are matched by shell patterns; of the lines that match a
path and set the same fault, the latest that is due holds:

    3s    hall-a.*   cut            # open connections are reset, new ones refused
    3s    hall-a.*   silence        # open connections stall, new ones time out
    9s    hall-a.*   heal           # ends cut and silence; resets connections that were open in a silence
    0s    peers.*    drop 7.2%      # of the datagrams
    0s    peers.*    delay 2ms 17ms # least and greatest
    0s    peers.*    reorder 20%    # of the datagrams are held back by the greatest delay once more
    0s    peers.*    repeat 5%      # of the datagrams come twice
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

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
PERCENTAGE = re.compile(r"(\d+(?:\.\d+)?)%")
PATH_STATES = ("cut", "silence", "heal")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends a reset


class ScheduleError(ValueError):
    """A line of a schedule cannot be parsed; the message quotes it with its number."""


@dataclass(slots=True)
class PathFaults:
    """The faults of a path at one time: delays in seconds, the rest as probabilities.

    `state`: cut, silence, or heal for neither.
    """

    state: str = "heal"
    drop: float = 0.0
    min_delay: float = 0.0
    max_delay: float = 0.0
    reorder: float = 0.0
    repeat: float = 0.0


@dataclass(frozen=True, slots=True)
class ScheduleLine:
    """One parsed line: from `at` (s) on, a fault holds on all paths that match the pattern."""

    at: float
    path_pattern: str
    keyword: str
    values: tuple[float, ...]


def _duration(text: str) -> float:
    match = DURATION.fullmatch(text)
    if match is None:
        raise ScheduleError(f"{text!r} is not a duration such as 200ms or 3s")
    return float(match[1]) * (0.001 if match[2] == "ms" else 1.0)


def _percentage(text: str) -> float:
    match = PERCENTAGE.fullmatch(text)
    if match is None or float(match[1]) > 100:
        raise ScheduleError(f"{text!r} is not a percentage such as 7.2%")
    return float(match[1]) / 100


class Schedule:
    """A parsed schedule of faults; does no I/O. Raises ScheduleError for a line that it cannot parse."""

    def __init__(self, text: str) -> None:
        self.lines: list[ScheduleLine] = []
        for number, row in enumerate(text.splitlines(), 1):
            words = row.split("#")[0].split()
            if not words:
                continue
            try:
                self.lines.append(self._parse_line(words))
            except ValueError as error:
                raise ScheduleError(f"line {number}: {row.strip()!r}: {error}") from None
        self.lines.sort(key=lambda line: line.at)

    @staticmethod
    def _parse_line(words: list[str]) -> ScheduleLine:
        if len(words) < 3:
            raise ScheduleError("expected WHEN PATHS FAULT")
        start, path_pattern, keyword, *arguments = words
        if keyword in PATH_STATES and not arguments:
            return ScheduleLine(_duration(start), path_pattern, keyword, ())
        if keyword == "delay" and len(arguments) == 2 and _duration(arguments[0]) <= _duration(arguments[1]):
            return ScheduleLine(
                _duration(start), path_pattern, keyword, (_duration(arguments[0]), _duration(arguments[1]))
            )
        if keyword in ("drop", "reorder", "repeat") and len(arguments) == 1:
            return ScheduleLine(_duration(start), path_pattern, keyword, (_percentage(arguments[0]),))
        raise ScheduleError(
            "expected one of cut, silence, heal, drop SHARE, delay MIN MAX, reorder SHARE, repeat SHARE"
        )

    def faults_at(self, path: str, elapsed: float) -> PathFaults:
        """Returns the faults of a path `elapsed` seconds after the start."""
        faults = PathFaults()
        for line in self.lines:
            if line.at > elapsed or not fnmatchcase(path, line.path_pattern):
                continue
            if line.keyword in PATH_STATES:
                faults = replace(faults, state=line.keyword)
            elif line.keyword == "delay":
                faults = replace(faults, min_delay=line.values[0], max_delay=line.values[1])
            else:
                setattr(faults, line.keyword, line.values[0])
        return faults

    def change_times(self, path: str) -> list[float]:
        """Returns when the faults of a path may change, in seconds after the start."""
        return [line.at for line in self.lines if fnmatchcase(path, line.path_pattern)]


class FaultProxy:
    """All paths of a scenario. The schedule runs from `start_schedule` on; until then there are no faults."""

    def __init__(self, schedule: Schedule, seed: int) -> None:
        self.schedule, self.seed = schedule, seed
        self.loop = asyncio.get_running_loop()
        self.started_at: float | None = None
        self.stream_paths: list[StreamPath] = []
        self.datagram_paths: list[DatagramPath] = []
        self.timers: list[asyncio.TimerHandle] = []

    def current_faults(self, path: str) -> PathFaults:
        """Returns the faults that hold on a path now."""
        return (
            PathFaults()
            if self.started_at is None
            else self.schedule.faults_at(path, self.loop.time() - self.started_at)
        )

    def start_schedule(self) -> None:
        """Starts the schedule's clock."""
        self.started_at = self.loop.time()
        for path in self.stream_paths:
            for delay in self.schedule.change_times(path.name):
                self.timers.append(self.loop.call_later(delay, path.apply_schedule))

    async def add_stream_path(self, name: str, target: str) -> str:
        """Adds a TCP path; returns the address to connect to in place of `target`."""
        path = StreamPath(self, name, target)
        self.stream_paths.append(path)
        return path.address

    async def add_datagram_path(self, name: str, target: str) -> str:
        """Adds a one-way UDP path; returns the address to send to in place of `target`."""
        path = DatagramPath(self, name, target)
        await self.loop.create_datagram_endpoint(lambda: path, local_addr=("127.0.0.1", 0))
        self.datagram_paths.append(path)
        return path.address

    async def close(self) -> None:
        """Closes all paths and their connections."""
        for timer in self.timers:
            timer.cancel()
        for path in self.stream_paths:
            path.close()
        for datagram_path in self.datagram_paths:
            datagram_path.transport.close()


class StreamPath:
    """TCP connections to one target.

    It manages its listening socket itself, to be able to imitate a machine that has vanished: it fills the
    backlog, so that the kernel drops further attempts to connect.
    """

    def __init__(self, proxy: FaultProxy, name: str, target: str) -> None:
        self.proxy, self.name = proxy, name
        self.rng = random.Random(f"{proxy.seed} {name}")
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        self.listener = self._listen(("127.0.0.1", 0))
        self.listen_address = self.listener.getsockname()
        self.address = f"127.0.0.1:{self.listen_address[1]}"
        self.state = "heal"
        self.writers: set[Any] = set()
        self.backlog_fillers: list[socket.socket] = []
        self.accept_task: asyncio.Task[None] | None = proxy.loop.create_task(self._accept())
        self.tasks: set[asyncio.Task[None]] = set()

    @staticmethod
    def _listen(listen_address: tuple[str, int]) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(listen_address)
        sock.listen(128)
        sock.setblocking(False)
        return sock

    def apply_schedule(self) -> None:
        """Enters the state that the schedule sets by now, if it is not in it yet."""
        state = self.proxy.current_faults(self.name).state
        if state == self.state:
            return
        previous, self.state = self.state, state
        if state == "heal":
            for filler in self.backlog_fillers:
                filler.close()
            self.backlog_fillers.clear()
            if previous == "silence":
                self._reset_connections()  # a machine that is back has lost them
                self.listener.close()
            self.listener = self._listen(self.listen_address)
            self.accept_task = self.proxy.loop.create_task(self._accept())
            return
        if self.accept_task is not None:
            self.accept_task.cancel()
            self.accept_task = None
        if state == "cut":
            self._reset_connections()
            self.listener.close()
        else:
            self.listener.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(OSError):
                    filler.connect(self.listen_address)
                self.backlog_fillers.append(filler)

    def _reset_connections(self) -> None:
        for writer in list(self.writers):
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
                sock, _ = await self.proxy.loop.sock_accept(self.listener)
            except OSError:
                return
            task = self.proxy.loop.create_task(self._serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        client_writer = target_writer = None
        try:
            client_reader, client_writer = await asyncio.open_connection(sock=sock)
            self.writers.add(client_writer)
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.writers.add(target_writer)
            await asyncio.wait(
                [
                    asyncio.ensure_future(self._forward(client_reader, target_writer)),
                    asyncio.ensure_future(self._forward(target_reader, client_writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        except OSError:
            pass
        finally:
            for writer in (client_writer, target_writer):
                if writer is not None:
                    self.writers.discard(writer)
                    if self.state == "silence":
                        continue  # leaves it open: a silent path sends no end of stream either
                    (self._abort if self.state == "cut" else asyncio.StreamWriter.close)(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                faults = self.proxy.current_faults(self.name)
                if faults.max_delay:
                    await asyncio.sleep(
                        faults.min_delay + (faults.max_delay - faults.min_delay) * self.rng.random()
                    )
                while self.state == "silence":
                    await asyncio.sleep(0.02)
                if writer.is_closing():
                    return
                writer.write(data)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.accept_task is not None:
            self.accept_task.cancel()
        for task in self.tasks:
            task.cancel()
        self._reset_connections()
        self.listener.close()
        for filler in self.backlog_fillers:
            filler.close()


class DatagramPath(asyncio.DatagramProtocol):
    """UDP datagrams to one target, in one direction."""

    def __init__(self, proxy: FaultProxy, name: str, target: str) -> None:
        self.proxy, self.name = proxy, name
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        self.rng = random.Random(f"{proxy.seed} {name}")
        self.transport: Any = None
        self.address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.address = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"

    def datagram_received(self, data: bytes, addr: Any) -> None:
        faults = self.proxy.current_faults(self.name)
        draws = [self.rng.random() for _ in range(4)]  # always four, so that a fault changes no later draw
        if faults.state != "heal" or draws[0] < faults.drop:
            return
        delay = faults.min_delay + (faults.max_delay - faults.min_delay) * draws[1]
        if draws[2] < faults.reorder:
            delay += faults.max_delay
        self.proxy.loop.call_later(delay, self._forward, data)
        if draws[3] < faults.repeat:
            self.proxy.loop.call_later(2 * delay, self._forward, data)

    def _forward(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, self.target)

    def error_received(self, exc: Exception) -> None:
        """The target does not listen at the moment; the datagram is lost."""
