"""Free ports on loopback for processes that are started later.

They lie below the kernel's range of ephemeral ports. Otherwise an outgoing connection that is opened in the
meantime could take a port before the process listens on it.
"""

from __future__ import annotations

import random
import socket

MIN_PORT, MAX_PORT = 15_000, 32_000
RANDOM = random.SystemRandom()  # unseeded: two runs side by side must not try the same ports


def _is_free(port: int) -> bool:
    with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
        try:
            stream.bind(("127.0.0.1", port))
            datagram.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports(count: int) -> list[int]:
    """Returns `count` different ports on which nobody listens, over TCP or UDP."""
    ports: list[int] = []
    while len(ports) < count:
        port = RANDOM.randrange(MIN_PORT, MAX_PORT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports
