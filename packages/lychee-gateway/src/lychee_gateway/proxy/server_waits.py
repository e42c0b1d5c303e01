"""Requests that servers have and have not answered, and which of these waits are overdue."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

from loguru import logger

from lychee_gateway.proxy.servers import InFlightRequest, ProxyServer
from lychee_http import ServerConnection
from lychee_policy import overdue_after_s
from lychee_types.clock import Clock
from lychee_types.ids import ServiceName

CHECK_S = 0.2
"""Interval at which waits are checked, in seconds."""

LOG_INTERVAL_S = 1.0
"""Time in which at most `MAX_LOGGED` overdue waits are logged, in seconds."""

MAX_LOGGED = 10
"""Maximum number of overdue waits that are logged in `LOG_INTERVAL_S`; others are only counted."""

OnOverdue = Callable[[ServiceName, str], None]
"""Counts an overdue wait by service and way, "direct" or "carried"."""


def _ignore(service: ServiceName, way: str) -> None:
    """Count nothing."""


class ServerWait:
    """One request that was sent on a connection and has no answer yet.

    :param server: the server.
    :param conn: the connection.
    :param request_id: the request's id, empty if it has none.
    :param in_flight: what was expected of it when the server was selected.
    :param is_sent: returns whether the whole request has been written to the connection.
    :param sent_at: monotonic time in seconds at which its head was sent.
    :param deadline: monotonic time in seconds by which its answer is due.
    """

    def __init__(
        self,
        *,
        server: ProxyServer,
        conn: ServerConnection,
        request_id: str,
        in_flight: InFlightRequest,
        is_sent: Callable[[], bool],
        sent_at: float,
        deadline: float,
    ) -> None:
        self.server = server
        self.conn = conn
        self.request_id = request_id
        self.in_flight = in_flight
        self._is_sent = is_sent
        self.sent_at = sent_at
        self.deadline = deadline
        self.arrived_at = inf
        self.is_overdue = False

    @property
    def way(self) -> str:
        """How it was sent: "direct", or "carried" by another gateway."""
        return "carried" if self.conn.is_carried else "direct"

    def check_arrival(self, now: float) -> None:
        """Look whether the whole request has arrived at the next system, and note when.

        That is the server's on a direct connection, and else the carrying gateway's.
        """
        stream = self.conn.stream
        if self.arrived_at < inf or stream.lost or not self._is_sent():
            return
        if stream.is_acknowledged():
            self.arrived_at = now

    def due_at(self, now: float) -> float:
        """Return the monotonic time in seconds from which on it is overdue."""
        return self.arrived_at + overdue_after_s(
            service_time_s=self.server.expected_service_time_s(now),
            slowdown=self.in_flight.slowdown,
        )


class ServerWaits:
    """The requests at servers, and a check of those that wait for long.

    :param clock: source of time.
    :param on_overdue: counts overdue waits.
    """

    def __init__(self, *, clock: Clock, on_overdue: OnOverdue = _ignore) -> None:
        self._on_overdue = on_overdue
        self._clock = clock
        self._waits: set[ServerWait] = set()
        self._logged_since = 0.0
        self._logged = 0

    @property
    def overdue(self) -> int:
        """Number of requests that are overdue now."""
        return sum(wait.is_overdue for wait in self._waits)

    @contextmanager
    def track(self, wait: ServerWait) -> Iterator[None]:
        """Watch a request inside the block, which ends when its answer begins or with it."""
        self._waits.add(wait)
        try:
            yield
        finally:
            self._waits.discard(wait)

    async def run(self) -> None:
        """Check the waits regularly."""
        while True:
            await asyncio.sleep(CHECK_S)
            self.check()

    def check(self) -> None:
        """Find the waits that have become overdue, count them, and log some of them."""
        now = self._clock.monotonic()
        for wait in self._waits:
            wait.check_arrival(now)
            if not wait.is_overdue and now >= wait.due_at(now):
                wait.is_overdue = True
                self._on_overdue(wait.server.record.service, wait.way)
                self._log_overdue(wait, now)

    def _log_overdue(self, wait: ServerWait, now: float) -> None:
        if now - self._logged_since >= LOG_INTERVAL_S:
            self._logged_since, self._logged = now, 0
        self._logged += 1
        if self._logged > MAX_LOGGED:
            return
        server = wait.server
        logger.bind(
            event="overdue",
            request=wait.request_id,
            server=server.run.server,
            way=wait.way,
            address=wait.conn.stream.peer,
            ms=round((now - wait.sent_at) * 1_000),
            arrived_ms=round((now - wait.arrived_at) * 1_000),
            usual_ms=round(server.service_time_s * 1_000),
            left_ms=round((wait.deadline - now) * 1_000),
            load=server.last_load,
            load_age_ms=server.occupancy_age_ms(now),
        ).info("a request waits at a server for longer than work takes there")
