"""TCP ports that are free on loopback."""

import socket
from contextlib import ExitStack

from lychee_types.records import Endpoint

LOOPBACK = "127.0.0.1"


def free_endpoints(number: int) -> tuple[Endpoint, ...]:
    """Return different loopback addresses that nobody listens on."""
    with ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(number)]
        for sock in socks:
            sock.bind((LOOPBACK, 0))
        return tuple(Endpoint(host=LOOPBACK, port=sock.getsockname()[1]) for sock in socks)
