"""TCP ports that are free on loopback."""

import socket
from contextlib import ExitStack
from random import SystemRandom

from lychee_types.records import Endpoint

LOOPBACK = "127.0.0.1"

PORTS = range(10_240, 32_768)
"""Ports below those that the kernel gives to outgoing connections.

A port that was bound by number 0 can be taken by another process's connection before the process
listens that it was meant for.
"""

_RANDOM = SystemRandom()


def free_endpoints(number: int) -> tuple[Endpoint, ...]:
    """Return different loopback addresses that nobody listens on."""
    with ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < number:
            port = _RANDOM.choice(PORTS)
            if _bind(stack.enter_context(socket.socket()), port):
                ports.append(port)
        return tuple(Endpoint(host=LOOPBACK, port=port) for port in ports)


def _bind(sock: socket.socket, port: int) -> bool:
    try:
        sock.bind((LOOPBACK, port))
    except OSError:
        return False
    return True
