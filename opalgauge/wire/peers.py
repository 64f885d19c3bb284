"""Short datagrams between ingresses: sent and forgotten, taken in within a budget, dealt out by version."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from opalgauge.memory.signed_datagram import MAX_DATAGRAM_SIZE, VERSION_SIZE

MOST_IN = 100  # a second; what comes beyond it is dropped unread


class Peers(asyncio.DatagramProtocol):
    """One UDP address, for all that the ingresses say to each other.

    `takers`: by a datagram's first two bytes, who reads it, and whether it could be. `dropped` counts what
    was over the budget, too long, torn or of a version that nobody here reads.
    """

    def __init__(self, peers: Mapping[int, tuple[str, int]], time: Callable[[], float]) -> None:
        self.peers, self.time = peers, time
        self.takers: dict[bytes, Callable[[bytes], bool]] = {}
        self.transport: Any = None
        self.second, self.taken = 0, 0
        self.sent = self.dropped = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        # Guards the one core against a flood: reading a message costs more than dropping it.
        second = int(self.time())
        if second != self.second:
            self.second, self.taken = second, 0
        self.taken += 1
        take = self.takers.get(data[:VERSION_SIZE])
        if self.taken > MOST_IN or len(data) > MAX_DATAGRAM_SIZE or take is None or not take(data):
            self.dropped += 1

    def error_received(self, exc: Exception) -> None:
        """A peer that is not there: its message is lost, as others may be."""

    def send(self, data: bytes, peer: int) -> None:
        address = self.peers.get(peer)
        if address is not None and self.transport is not None and not self.transport.is_closing():
            self.sent += 1
            self.transport.sendto(data, address)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
