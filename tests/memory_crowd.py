"""Crowds of clients that make an ingress hold as much as it can, and the memory that it takes under them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import threading
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

from tests import harness

MB = 1024 * 1024
SAMPLE_INTERVAL = 0.004  # s between two looks at a process's memory
RETURN_DELAY = 0.02  # s after the end of a connection until its client comes again
LONG_ANSWER = 8 * MB  # bytes
PIECE = bytes(64 * 1024)


def anonymous_memory(pid: int) -> int:
    """The anonymous memory of a process in bytes; 0 if it has ended."""
    return _memory_field(pid, "RssAnon:")


def mapped_memory(pid: int) -> int:
    """The memory of the files that a process maps in bytes; 0 if it has ended."""
    return _memory_field(pid, "RssFile:")


def _memory_field(pid: int, field: str) -> int:
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1]) * 1024
    return 0


class MemorySampler:
    """Records the peak of a process's anonymous memory in a thread of its own."""

    def __init__(self, pid: int) -> None:
        self.pid, self.peak, self.stopped = pid, 0, threading.Event()
        self.thread = threading.Thread(target=self._sample, daemon=True)

    def __enter__(self) -> MemorySampler:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped.set()
        self.thread.join()

    def _sample(self) -> None:
        while not self.stopped.wait(SAMPLE_INTERVAL):
            self.peak = max(self.peak, anonymous_memory(self.pid))


class Connection:
    """A client's connection, and what the client does on it."""

    numbers = itertools.count()

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    def request(method: str, target: str, body: bytes = b"", more: str = "", left: str = "3.0") -> bytes:
        """A request with an id and an account of its own."""
        number = next(Connection.numbers)
        data = harness.request(method, target, body, more, left, f"crowd-{number}")
        return data.replace(b"customer=00000000b4d65521", b"customer=%016x" % (number % 100_000))

    async def _write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def _write_in_pieces(self, data: bytes, size: int, pause: float) -> None:
        for start in range(0, len(data), size):
            await self._write(data[start : start + size])
            await asyncio.sleep(pause)

    async def _read_to_end(self) -> None:
        while await self.reader.read(65536):
            pass

    async def stop_before_end(self) -> None:
        """Sends all but the last byte of an order of 60 kB."""
        await self._write(self.request("POST", "/place-order", bytes(60_000))[:-1])
        await self._read_to_end()

    async def stop_half_way(self) -> None:
        """Sends half of an order of 1 MB."""
        order = self.request("POST", "/place-order", bytes(MB))
        await self._write(order[: len(order) // 2])
        await self._read_to_end()

    async def many_fields(self) -> None:
        """Sends a head of thousands of short fields in pieces."""
        fields = "".join(f"a{n}: b\r\n" for n in range(4000))
        head = self.request("GET", "/stock-check", more=fields)
        await self._write_in_pieces(head[:-2], 900, 0.02)
        await self._read_to_end()

    async def long_fields(self) -> None:
        """Sends a head of a hundred long fields, as fast as it is read, and leaves out its end."""
        fields = "".join(f"a{n}: {'b' * 8000}\r\n" for n in range(100))
        await self._write(self.request("GET", "/stock-check", more=fields)[:-2])
        await self._read_to_end()

    async def slow_order(self) -> None:
        """Sends an order of 300 kB at 80 kB/s."""
        order = self.request("POST", "/place-order", bytes(300_000))
        await self._write_in_pieces(order, 4000, 0.05)
        await self._read_to_end()

    async def pipelined_orders(self) -> None:
        """Sends forty orders of 60 kB behind each other."""
        for _ in range(40):
            await self._write(self.request("POST", "/place-order", bytes(60_000)))
        await self._read_to_end()

    async def slow_head(self) -> None:
        """Sends a head at 200 bytes/s."""
        head = self.request("GET", "/stock-check", more=f"X-More: {'x' * 2000}\r\n")
        await self._write_in_pieces(head, 20, 0.1)
        await self._read_to_end()

    async def slow_reader(self) -> None:
        """Reads an answer of 8 MB at 55 kB/s."""
        await self._write(self.request("GET", "/stock-check/long"))
        while await self.reader.read(2750):
            await asyncio.sleep(0.05)

    async def tiny_chunks(self) -> None:
        """Sends an order in chunks of one byte."""
        order = self.request("POST", "/place-order", more="Transfer-Encoding: chunked\r\n")
        await self._write(order + b"1\r\nx\r\n" * 60_000)
        await self._read_to_end()

    async def half_head(self) -> None:
        """Sends 26 kB of a head, and leaves just before a client has to complete it."""
        fields = "".join(f"X-Field-{n}: {'v' * 200}\r\n" for n in range(120))
        await self._write(self.request("POST", "/place-order", more=fields)[:-2])
        await asyncio.sleep(1.9)

    async def silent(self) -> None:
        """Sends nothing."""
        await asyncio.sleep(1.9)

    async def unread_answer(self) -> None:
        """Asks for answers of 60 kB, and reads none."""
        for _ in range(4):
            await self._write(self.request("GET", "/stock-check/60kB"))
        await asyncio.sleep(60)


KINDS: dict[str, Callable[[Connection], Awaitable[None]]] = {
    kind.__name__: kind
    for kind in (
        Connection.stop_before_end, Connection.stop_half_way, Connection.many_fields, Connection.long_fields,
        Connection.slow_order, Connection.pipelined_orders, Connection.slow_head, Connection.slow_reader,
        Connection.tiny_chunks, Connection.unread_answer,
    )
}  # fmt: skip
CROWDS_THAT_LEAVE = {
    kind.__name__: kind for kind in (Connection.half_head, Connection.silent)
}  # before their time for a request is over


async def _run_client(address: tuple[str, int], kind: str, comes_again: bool) -> None:
    while True:
        sock = socket.socket()
        sock.setblocking(False)
        if kind in ("slow_reader", "unread_answer"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        writer = None
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            await (KINDS | CROWDS_THAT_LEAVE)[kind](Connection(reader, writer))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            sock.close() if writer is None else writer.close()
        if not comes_again:
            return
        await asyncio.sleep(RETURN_DELAY)


@contextlib.asynccontextmanager
async def crowd(
    address: tuple[str, int], kinds: list[str], size: int = 330, comes_again: bool = False
) -> AsyncIterator[None]:
    """Runs `size` clients, in turn of these kinds, until the block ends."""
    tasks = [
        asyncio.create_task(_run_client(address, kinds[number % len(kinds)], comes_again))
        for number in range(size)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server: gives long answers, answers of 60 kB and short ones; reads orders as they come."""
    with (
        contextlib.closing(writer),
        contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError),
    ):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"chunked" in head:
                while size := int(await reader.readline(), 16):
                    await reader.readexactly(size + 2)
                await reader.readline()
            elif b"content-length:" in head:
                left = int(head.split(b"content-length:")[1].split(b"\r")[0])
                while left:
                    left -= len(await reader.readexactly(min(left, 65536)))
            target = head.split(b" ")[1]
            body_size = LONG_ANSWER if b"/long" in target else 60_000 if b"/60kb" in target else 4
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_size)
            while body_size:
                writer.write(PIECE[:body_size])
                body_size -= min(body_size, len(PIECE))
                await writer.drain()


@contextlib.asynccontextmanager
async def small_ingress(memory_mb: float, port: int = 0) -> AsyncIterator[harness.Ingress]:
    """An ingress with this memory limit and 1,024 descriptors, in front of one server."""
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, server_port = server.sockets[0].getsockname()
    try:
        async with (
            harness.stand_in(harness.counter()) as (counter_address, _),
            harness.stand_in(harness.no_response) as (list_address, __),
            harness.ready_ingress(
                f"{host}:{server_port}", counter_address, list_address, port=port, memory_mb=memory_mb
            ) as ingress,
        ):
            yield ingress
    finally:
        server.close()


async def peak_under_crowd(memory_mb: float, kinds: list[str], seconds: float = 4.0, size: int = 330) -> int:
    """The peak of anonymous memory of an ingress under a crowd, in bytes."""
    async with small_ingress(memory_mb) as ingress:
        with MemorySampler(ingress.process.pid) as sampler:
            async with crowd(ingress.address, kinds, size):
                await asyncio.sleep(seconds)
        assert ingress.process.returncode is None
        return sampler.peak


async def peaks_of_lives(
    memory_mb: float, kinds: list[str], lives: int = 4, life: float = 3.0, size: int = 330
) -> list[int]:
    """The peaks of processes that are killed and started again while the whole crowd keeps coming back."""
    port, peaks = harness.free_port(), []
    async with crowd(("127.0.0.1", port), kinds, size, comes_again=True):
        for _ in range(lives):
            async with small_ingress(memory_mb, port) as ingress:
                with MemorySampler(ingress.process.pid) as sampler:
                    await asyncio.sleep(life)
                assert ingress.process.returncode is None
            peaks.append(sampler.peak)
            await asyncio.sleep(1.0)
    return peaks
