"""Choice of free ports."""

import socket

from lychee_runtime import ports
from lychee_runtime.ports import free_endpoint, free_endpoints


def test_a_port_is_chosen_only_once() -> None:
    chosen = [*free_endpoints(2_000), *(free_endpoint() for _ in range(2_000))]
    assert len(set(chosen)) == len(chosen)


def test_a_port_that_another_loopback_address_uses_is_not_chosen() -> None:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.5.1", 0))
        sock.listen()
        assert not ports._can_bind(sock.getsockname()[1])
