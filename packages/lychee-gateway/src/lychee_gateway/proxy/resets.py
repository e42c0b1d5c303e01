"""Servers that reset connections, as some do while their queue is full."""

from collections.abc import Callable

from loguru import logger

from lychee_gateway.proxy.servers import ProxyServer
from lychee_http import ServerConnection
from lychee_types.clock import Clock
from lychee_types.ids import ServiceName


class ResetRecorder:
    """Lets requests go to other servers for a moment after a server has reset a connection.

    It does so where servers report their speed: there the choice is corrected by the next probe.
    It says nothing about the outcome of the request on that connection.

    :param on_reset: counts resets by service.
    :param clock: source of time.
    """

    def __init__(self, *, on_reset: Callable[[ServiceName], None], clock: Clock) -> None:
        self._on_reset = on_reset
        self._clock = clock

    def record(self, server: ProxyServer, conn: ServerConnection) -> None:
        """Record that a connection ended without an answer, if the server itself has reset it."""
        if conn.is_carried or not conn.stream.was_reset:
            return
        now = self._clock.monotonic()
        if not server.tells_speed(now):
            # Elsewhere a reset may only say that too many connections are open.
            return
        is_new = server.full_until <= now
        server.record_reset(now)
        self._on_reset(server.record.service)
        if is_new:
            logger.bind(
                event="server_reset",
                server=server.run.server,
                full_ms=round((server.full_until - now) * 1_000),
            ).info("a server has reset a connection, and counts as full for a short time")
