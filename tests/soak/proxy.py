"""Proxies that inject faults between the ingress and its servers, counter and discovery agents.

A proxy records when the bytes of each request arrived from the ingress, so that the checker measures the
ingress and not the path.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.stand_ins import Clock

READ_SIZE = 65_536
PATH_DELAY = 0.03  # s
RESET_SHARE = 0.3  # share of the chunks on a path with resets at which the connection is reset
LATE_DIAL_DELAY = 0.4  # s until the proxy connects to its target
FLUSH_TIMEOUT = 0.02  # s for forwarding what one side sent before it closed
PIECE_PAUSE = 0.002  # s between two pieces


class PathFault(Enum):
    """What a path does to its connections."""

    NONE = "none"
    DELAY = "delay"  # every byte arrives later
    PIECES = "pieces"  # bytes arrive a few at a time
    LATE_DIAL = "late dial"  # connections are accepted, but connected to the target only later
    STALL = "stall"  # bytes are held until the fault ends
    RESET = "reset"  # connections are reset while something is sent


LOSSLESS_FAULTS = (PathFault.DELAY, PathFault.PIECES)  # everything sent still arrives, and soon


@dataclass
class ArrivalTimes:
    """When the first byte of the current request arrived, and its last one so far."""

    first: float = math.inf
    last: float = -math.inf


class Proxy:
    """Listens on an address of its own and forwards connections to its target."""

    def __init__(self, target: str, now: Clock, rng: random.Random) -> None:
        self.target, self.now, self.rng = target, now, rng
        self.fault = PathFault.NONE
        self.not_stalled = asyncio.Event()
        self.not_stalled.set()
        self.arrivals: dict[int, ArrivalTimes] = {}  # by the local port of the connection to the target
        self.resets: set[int] = set()  # ports of connections that this proxy has reset
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: asyncio.Server | None = None
        self.address = ""

    async def open(self) -> None:
        """Starts to listen and sets `address`."""
        self.listener = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0, backlog=512)
        host, port = self.listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()

    def start_fault(self, fault: PathFault) -> None:
        """Applies a fault to all connections, until `end_fault`."""
        self.fault = fault
        if fault is PathFault.STALL:
            self.not_stalled.clear()

    def end_fault(self) -> None:
        """Ends the fault; stalled bytes are forwarded."""
        self.fault = PathFault.NONE
        self.not_stalled.set()

    def take_arrival(self, port: int) -> ArrivalTimes | None:
        """Returns the arrival times of the request that the target has just read, and clears them.

        `port` is the peer port that the target sees. None if no request is on record.
        """
        found = self.arrivals.get(port)
        if found is None or found.first == math.inf:
            return None
        completed = replace(found)
        found.first, found.last = math.inf, -math.inf
        return completed

    def take_reset(self, port: int) -> bool:
        """Whether the connection from this port was reset.

        True only once, as another connection may get the port.
        """
        found = port in self.resets
        self.resets.discard(port)
        return found

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        arrival, to_target, to_client = ArrivalTimes(), asyncio.Queue[bytes](), asyncio.Queue[bytes]()
        transfers = {asyncio.create_task(self._receive(reader, to_target, arrival))}
        target_writer, port = None, 0
        try:
            if self.fault is PathFault.LATE_DIAL:
                await asyncio.sleep(LATE_DIAL_DELAY)
            host, _, target_port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(target_port))
            port = target_writer.get_extra_info("sockname")[1]
            self.arrivals[port] = arrival
            transfers |= {
                asyncio.create_task(self._receive(target_reader, to_client, None)),
                asyncio.create_task(self._forward(to_target, target_writer, port)),
                asyncio.create_task(self._forward(to_client, writer, port)),
            }
            await asyncio.wait(transfers, return_when=asyncio.FIRST_COMPLETED)
            if unfinished := [transfer for transfer in transfers if not transfer.done()]:
                await asyncio.wait(unfinished, timeout=FLUSH_TIMEOUT)
        except OSError:
            pass
        finally:
            for transfer in transfers:
                transfer.cancel()
            self.arrivals.pop(port, None)
            writer.transport.abort()
            if target_writer is not None:
                target_writer.transport.abort()

    async def _receive(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue[bytes], arrival: ArrivalTimes | None
    ) -> None:
        """Reads without delay, whatever the fault, and records the arrival times."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_SIZE):
                if arrival is not None:
                    arrival.last = self.now()
                    arrival.first = min(arrival.first, arrival.last)
                queue.put_nowait(data)

    async def _forward(self, queue: asyncio.Queue[bytes], writer: asyncio.StreamWriter, port: int) -> None:
        """Forwards one direction, until the connection is reset."""
        with contextlib.suppress(OSError):
            while True:
                data = await queue.get()
                await self.not_stalled.wait()
                if self.fault is PathFault.RESET and self.rng.random() < RESET_SHARE:
                    self.resets.add(port)
                    return
                await self._write_with_fault(data, writer)
                await writer.drain()

    async def _write_with_fault(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        if self.fault is PathFault.DELAY:
            await asyncio.sleep(PATH_DELAY)
        if self.fault is not PathFault.PIECES or len(data) > READ_SIZE // 16:
            writer.write(data)
            return
        step = max(1, len(data) // 4)
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await asyncio.sleep(PIECE_PAUSE)
