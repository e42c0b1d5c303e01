"""Ask servers for their load just before a request is sent to one of them."""

import asyncio
import re
from collections.abc import Callable, Coroutine, Sequence
from itertools import count
from typing import Any
from uuid import uuid4

from loguru import logger

from lychee_gateway.proxy.codec import ProbeAnswer, ProxyCodec
from lychee_gateway.proxy.probe_connections import ProbeConnections
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.view import RoutedView
from lychee_http import ServerConnection
from lychee_http.exceptions import ServerResponseError
from lychee_types.clock import Clock
from lychee_types.ids import ServiceName
from lychee_types.registry import ServerIncarnation
from lychee_types.timeouts import take_input, timeout_after_input

PROBE_TIMEOUT_S = 0.25
"""Time after which an unanswered probe's connection is closed, in seconds.

A load that comes after its request was sent is still recorded.
"""

QUIET_S = 0.5
"""Time for which a server that did not answer a probe is not asked again, in seconds."""

LATE_FULL_S = 0.1
"""Time for which a server whose answer is late counts as full, in seconds."""

MAX_PROBES = 48
"""Maximum number of probes of a gateway that are not answered yet."""

MAX_ANSWER_BYTES = 4_096
"""Maximum size of the body of an answer to a probe."""

USE_CHECK_S = 0.25
"""Interval at which it is checked whether a service's servers are asked, in seconds."""

_HEALTH_PATH = re.compile(r"/[\x21-\x7e]*")

Spawn = Callable[[Coroutine[Any, Any, None], str], "asyncio.Task[None]"]
"""Runs work in a named task of the daemon."""


class Prober:
    """Asks servers for their load on connections that are kept open.

    A probe is no request of a caller: its outcome counts for no failure and no service time.

    :param codec: translates request and response heads.
    :param view: the gateway's copy of the replicated state.
    :param servers: the registered servers.
    :param spawn: runs work in a task.
    :param is_late: returns whether the event loop is late, so that nobody could answer in time.
    :param on_probes: counts probes by service and outcome.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        codec: ProxyCodec,
        view: RoutedView,
        servers: ServerList,
        spawn: Spawn,
        is_late: Callable[[], bool],
        on_probes: Callable[[ServiceName, str], None],
        clock: Clock,
    ) -> None:
        self._codec = codec
        self._view = view
        self._servers = servers
        self._spawn = spawn
        self._is_late = is_late
        self._on_probes = on_probes
        self._clock = clock
        self._conns = ProbeConnections(
            accepted=self._accepted, gateways=lambda: servers.gateway_count
        )
        self._pending: dict[ServerIncarnation, asyncio.Task[None]] = {}
        self._quiet_until: dict[ServerIncarnation, float] = {}
        self._used: dict[ServiceName, bool] = {}
        self._probed_services: set[ServiceName] = set()
        self._checked_at = clock.monotonic()
        self._prefix = uuid4().hex[:12]
        self._numbers = count(1)

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """Services whose servers are asked."""
        return tuple(sorted(self._probed_services))

    def sync(self) -> None:
        """Forget the servers that are no longer registered, and check the services again."""
        runs = {server.run for server in self._servers.all()}
        self._conns.keep_only(runs)
        self._quiet_until = {run: until for run, until in self._quiet_until.items() if run in runs}
        self._used.clear()

    def close(self) -> None:
        """Close the connections that are kept for probes."""
        self._conns.keep_only(set())

    def is_used(self, service: ServiceName) -> bool:
        """Return whether the servers of a service are asked before a request is sent.

        They are if they have told their speed lately and have a health path.
        """
        now = self._clock.monotonic()
        if now - self._checked_at >= USE_CHECK_S:
            self._checked_at = now
            self._used.clear()
        if service not in self._used:
            self._used[service] = bool(self._health_path(service)) and any(
                server.tells_speed(now) for server in self._servers.for_service(service)
            )
            self._record_use(service, self._used[service])
        return self._used[service] and len(self._pending) < MAX_PROBES and not self._is_late()

    def _record_use(self, service: ServiceName, is_used: bool) -> None:
        if is_used is (service in self._probed_services):
            return
        if is_used:
            self._probed_services.add(service)
        else:
            self._probed_services.discard(service)
        logger.bind(event="probing", service=service, is_used=is_used).info(
            "servers are {} for their load before requests", "asked" if is_used else "not asked"
        )

    def can_ask(self, server: ProxyServer) -> bool:
        """Return whether a server can be asked now."""
        now = self._clock.monotonic()
        if not server.is_direct or now < self._quiet_until.get(server.run, 0.0):
            return False
        return server.run in self._pending or self._conns.is_available(server)

    def lacks_connection(self, server: ProxyServer) -> bool:
        """Return whether a server cannot be asked as there is no connection for that."""
        return server.run not in self._pending and not self._conns.is_available(server)

    def can_ask_soon(self, server: ProxyServer) -> bool:
        """Return whether a server can be asked now that has left a request unanswered for long.

        Its service must have a health path and servers that tell their load.
        """
        service = server.record.service
        if self._is_late() or len(self._pending) >= MAX_PROBES or not self.can_ask(server):
            return False
        tells_load = any(other.last_load for other in self._servers.for_service(service))
        return tells_load and bool(self._health_path(service))

    def ask_soon(self, server: ProxyServer) -> None:
        """Ask a server for its load, and record it when the answer comes."""
        self._probe_task(server)

    async def ask(self, servers: Sequence[ProxyServer], *, until: float) -> list[ProxyServer]:
        """Ask servers at the same time, record their loads, and return those that have answered.

        :param servers: the servers.
        :param until: monotonic time in seconds until which answers are waited for.
        """
        asked_at = self._clock.monotonic()
        tasks = [self._probe_task(server) for server in servers]
        _, late = await asyncio.wait(tasks, timeout=max(0.0, until - asked_at))
        if late:
            await take_input()
        for server, task in zip(servers, tasks, strict=True):
            if not task.done():
                self._record_late(server)
        return [server for server in servers if server.probed_at >= asked_at]

    def _probe_task(self, server: ProxyServer) -> "asyncio.Task[None]":
        """Return the task of a probe of a server, which other requests may wait for too."""
        task = self._pending.get(server.run)
        if task is None:
            task = self._spawn(self._probe(server), "probe of a server")
            self._pending[server.run] = task
            task.add_done_callback(lambda _: self._pending.pop(server.run, None))
        return task

    def _record_late(self, server: ProxyServer) -> None:
        self._on_probes(server.record.service, "late")
        if not self._is_late():
            server.record_full(self._clock.monotonic(), for_s=LATE_FULL_S)

    async def _probe(self, server: ProxyServer) -> None:
        """Ask one server, and record its load."""
        service = server.record.service
        self._on_probes(service, "asked")
        try:
            answer = await self._exchange(server)
        except (OSError, ServerResponseError) as exc:
            # A server that is full or slow may reset the connection or not answer.
            logger.debug("server {} did not answer a probe: {!r}", server.run.server, exc)
            answer = None
        except Exception:
            # Requests are sent without probes too.
            logger.exception("unexpected error in a probe")
            answer = None
        if answer is None:
            self._on_probes(service, "failed")
            self._quiet_until[server.run] = self._clock.monotonic() + QUIET_S
            return
        self._on_probes(service, "answered")

    async def _exchange(self, server: ProxyServer) -> ProbeAnswer | None:
        """Send a probe and return its answer, None if there is none that counts.

        :raises OSError: if the server is not reached or does not answer in time.
        :raises ServerResponseError: if its answer is malformed.
        """
        conn = await self._conns.acquire(server)
        if conn is None:
            return None
        probe_id = f"{self._prefix}-{next(self._numbers)}"
        with self._conns.use(server, conn) as probe:
            async with timeout_after_input(PROBE_TIMEOUT_S, has_input=conn.has_input):
                asked_at = self._clock.monotonic()
                path = self._health_path(server.record.service)
                if not path:
                    return None
                head = self._codec.probe(path, server=server.record, request_id=probe_id)
                conn.send(head, b"")
                answer = self._codec.read_probe(await conn.read_head())
                await _skip_body(conn)
            if answer.request_id not in ("", probe_id):
                raise ConnectionError("the answer belongs to another request")
            probe.names_requests = bool(answer.request_id)
            self._record(server, answer, asked_at)
            self._record_evidence(server, answer, probe.earliest_asked_at(asked_at))
        return answer if answer.occupancy is not None else None

    def _record(self, server: ProxyServer, answer: ProbeAnswer, asked_at: float) -> None:
        now = self._clock.monotonic()
        if answer.occupancy is not None:
            server.record_probe(answer.occupancy, asked_at=asked_at, now=now)
        if answer.cold_remaining_s is not None:
            server.record_cold(answer.cold_remaining_s, now)

    def _record_evidence(self, server: ProxyServer, answer: ProbeAnswer, asked_at: float) -> None:
        if answer.occupancy is not None:
            now = self._clock.monotonic()
            server.record_load_evidence(answer.occupancy, asked_at=asked_at, now=now)

    def _health_path(self, service: ServiceName) -> str:
        known = self._view.state.routing.service(service)
        path = known.health_path if known is not None else ""
        return path if _HEALTH_PATH.fullmatch(path) else ""

    def _accepted(self, service: ServiceName) -> int:
        known = self._view.state.routing.service(service)
        return known.connections if known is not None else 0


async def _skip_body(conn: ServerConnection) -> None:
    """Read a body to its end.

    :raises ConnectionError: if it is too large.
    """
    size = 0
    while chunk := await conn.read_chunk():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise ConnectionError("the answer to a probe is too large")
