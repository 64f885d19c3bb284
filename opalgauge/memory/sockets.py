"""How the descriptors that a process may hold are divided among its connections."""

from __future__ import annotations

from dataclasses import dataclass

# Listener, discovery, quota counter, admin endpoint, files, standard streams and the event loop's own.
RESERVED_SOCKETS = 48
MIN_CONNECTIONS = 16  # of either kind, however few descriptors there are
# With more than max_clients / KEEP_ALIVE_DIVISOR clients, new connections end with their first answer.
KEEP_ALIVE_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class SocketLimits:
    """How many connections and requests a process holds at the same time."""

    max_clients: int  # connections from clients
    max_server_connections: int
    max_requests: int
    keep_alive_limit: int  # with more clients that wait or are idle, new ones are closed after one answer

    @classmethod
    def of_process(cls, sockets: int, max_requests: int) -> SocketLimits:
        """Divides this many descriptors: half of them are for clients, most of the rest for servers."""
        max_clients = max(MIN_CONNECTIONS, sockets // 2)
        return cls(
            max_clients,
            max(MIN_CONNECTIONS, sockets - max_clients - RESERVED_SOCKETS),
            max(MIN_CONNECTIONS, min(max_requests, max_clients)),
            max_clients // KEEP_ALIVE_DIVISOR,
        )
