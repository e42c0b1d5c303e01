"""Choice of free TCP ports on loopback."""

import socket
from random import SystemRandom

from lychee_types.records import Endpoint

LOOPBACK = "127.0.0.1"

PORTS = range(10_240, 32_768)
"""Ports below the range that the kernel assigns to outgoing connections.

A port that the kernel chose (by a bind to port 0) is in that range, so an outgoing connection of
another process could take it before the intended process listens on it.
"""

_RNG = SystemRandom()
_chosen: set[int] = set()


def free_endpoints(number: int) -> tuple[Endpoint, ...]:
    """Return that many different loopback addresses on which no process listens.

    No process uses their ports at other addresses of this VM either. A port is chosen only once in
    a process: listeners share a port without an error, so a repeated choice would mix up their
    connections.
    """
    return tuple(Endpoint(host=LOOPBACK, port=_choose_port()) for _ in range(number))


def free_endpoint() -> Endpoint:
    """Return a loopback address as :func:`free_endpoints` does."""
    return free_endpoints(1)[0]


def _choose_port() -> int:
    while True:
        port = _RNG.choice(PORTS)
        if port not in _chosen and _can_bind(port):
            _chosen.add(port)
            return port


def _can_bind(port: int) -> bool:
    """Return whether no process uses the port on any address of this VM."""
    with socket.socket() as sock:
        try:
            sock.bind(("", port))
        except OSError:
            return False
        return True
