"""Short datagrams between ingresses: sent and forgotten, taken in within a budget, dealt out by version."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from opalgauge.memory.signed_datagram import MAX_DATAGRAM_SIZE, VERSION_SIZE

MAX_DATAGRAMS_PER_SECOND = 100  # a second; what comes beyond it is dropped unread


class PeerSocket(asyncio.DatagramProtocol):
    """One UDP address, for all that the ingresses say to each other.

    `handlers`: by a datagram's first two bytes, who reads it, and whether it could be. `dropped` counts what
    was over the budget, too long, torn or of a version that nobody here reads.
    """

    def __init__(self, addresses: Mapping[int, tuple[str, int]], time: Callable[[], float]) -> None:
        self.addresses, self.time = addresses, time
        self.handlers: dict[bytes, Callable[[bytes], bool]] = {}
        self.transport: Any = None
        self.current_second, self.received = 0, 0
        self.sent = self.dropped = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        # Guards the one core against a flood: reading a message costs more than dropping it.
        second = int(self.time())
        if second != self.current_second:
            self.current_second, self.received = second, 0
        self.received += 1
        handler = self.handlers.get(data[:VERSION_SIZE])
        if (
            self.received > MAX_DATAGRAMS_PER_SECOND
            or len(data) > MAX_DATAGRAM_SIZE
            or handler is None
            or not handler(data)
        ):
            self.dropped += 1

    def error_received(self, exc: Exception) -> None:
        """A peer that is not there: its message is lost, as others may be."""

    def send(self, data: bytes, peer: int) -> None:
        address = self.addresses.get(peer)
        if address is not None and self.transport is not None and not self.transport.is_closing():
            self.sent += 1
            self.transport.sendto(data, address)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
