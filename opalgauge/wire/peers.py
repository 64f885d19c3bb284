"""Datagrams between ingresses: unacknowledged, limited in rate, dispatched by their version."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from opalgauge.memory.signed_datagram import MAX_DATAGRAM_SIZE, VERSION_SIZE

MAX_DATAGRAMS_PER_SECOND = 100  # received; further ones are dropped unread


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket over which the ingresses of a fleet exchange messages.

    `handlers` maps a version, the first two bytes of a datagram, to the function that reads it; the function
    returns False for a datagram that it cannot read. `dropped` counts datagrams beyond the rate limit, too
    long, unreadable or of an unknown version. `time` returns the seconds of a monotonic clock.
    """

    def __init__(self, addresses: Mapping[int, tuple[str, int]], time: Callable[[], float]) -> None:
        self.addresses, self.time = addresses, time
        self.handlers: dict[bytes, Callable[[bytes], bool]] = {}
        self.transport: Any = None
        self.current_second, self.received = 0, 0
        self.sent = self.dropped = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the socket is open."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Dispatches a datagram, or drops it."""
        # Under a flood, dropping datagrams costs less CPU than reading them.
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
        """Ignores the errors of an unreachable peer: messages may be lost anyway."""

    def send(self, data: bytes, peer: int) -> None:
        """Sends a datagram to a peer; does nothing if its address is unknown or the socket is closed."""
        address = self.addresses.get(peer)
        if address is not None and self.transport is not None and not self.transport.is_closing():
            self.sent += 1
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
