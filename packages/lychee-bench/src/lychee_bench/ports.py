"""Choice of free TCP ports on loopback."""

import socket
from contextlib import ExitStack
from random import SystemRandom

from lychee_types.records import Endpoint

LOOPBACK = "127.0.0.1"

PORTS = range(10_240, 32_768)
"""Ports below the range that the kernel assigns to outgoing connections.

A port that the kernel chose (by a bind to port 0) is in that range, so an outgoing connection of
another process could take it before the intended process listens on it.
"""

_RNG = SystemRandom()


def free_endpoints(number: int) -> tuple[Endpoint, ...]:
    """Return that many different loopback addresses on which no process listens."""
    with ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < number:
            port = _RNG.choice(PORTS)
            if _can_bind(stack.enter_context(socket.socket()), port):
                ports.append(port)
        return tuple(Endpoint(host=LOOPBACK, port=port) for port in ports)


def _can_bind(sock: socket.socket, port: int) -> bool:
    try:
        sock.bind((LOOPBACK, port))
    except OSError:
        return False
    return True
