"""Ports on loopback that nobody uses, for parties that are started later.

They lie below those that the system gives to outgoing connections: else one that opens in between may have
taken a port before its party listens there.
"""

from __future__ import annotations

import random
import socket

MIN_PORT, MAX_PORT = 15_000, 32_000
RANDOM = random.SystemRandom()  # two scenes side by side must not try the same ones


def _is_free(port: int) -> bool:
    with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
        try:
            stream.bind(("127.0.0.1", port))
            datagram.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports(count: int) -> list[int]:
    """So many ports, all different, at which neither streams nor datagrams are taken in."""
    ports: list[int] = []
    while len(ports) < count:
        port = RANDOM.randrange(MIN_PORT, MAX_PORT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports
