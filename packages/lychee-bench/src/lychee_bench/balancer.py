"""The platform's balancer: spreads callers' connections over the gateways."""

import asyncio
from collections import deque

from msgspec import Struct

from lychee_bench.http_client import (
    ClientConnection,
    ConnectionBrokenError,
    ConnectionRefusedByPeerError,
    connect,
)
from lychee_types.exceptions import UnavailableError
from lychee_types.records import Endpoint

PROBE_INTERVAL_S = 0.25
"""Time between two questions for a gateway's readiness, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""Time for a gateway to tell its readiness, in seconds."""

READY_TARGET = "/_lychee/ready"


class GatewayAddresses(Struct, frozen=True, kw_only=True):
    """Addresses of one gateway.

    :param name: the gateway's id.
    :param listen: where callers connect.
    :param announce: where readiness is asked for.
    """

    name: str
    listen: Endpoint
    announce: Endpoint


class Balancer:
    """Gives each new connection to the next ready gateway and keeps idle connections.

    :param entries: the gateways.
    """

    def __init__(self, *, entries: tuple[GatewayAddresses, ...]) -> None:
        self._entries = entries
        self._ready = dict.fromkeys((entry.listen for entry in entries), True)
        self._idle: deque[ClientConnection] = deque()
        self._last_index = 0

    async def acquire(self, *, avoid: Endpoint | None = None) -> ClientConnection:
        """Return a connection to a ready gateway.

        :param avoid: a gateway that is used only if no other is ready.
        :raises UnavailableError: if no gateway takes connections.
        """
        for _ in range(len(self._idle)):
            conn = self._idle.popleft()
            if not conn.usable:
                continue
            if not self._ready[conn.endpoint]:
                conn.close()
            elif conn.endpoint == avoid:
                self._idle.append(conn)
            else:
                return conn
        return await self._open(avoid)

    def release(self, conn: ClientConnection) -> None:
        """Keep a connection for later requests."""
        if conn.usable:
            self._idle.append(conn)

    async def open_idle(self, number: int) -> None:
        """Open connections ahead of the first requests."""
        for conn in [await self._open(None) for _ in range(number)]:
            self.release(conn)

    async def probe_readiness(self) -> None:
        """Ask for the gateways' readiness until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for entry in self._entries:
                tasks.create_task(self._probe_gateway(entry))

    async def _open(self, avoid: Endpoint | None) -> ClientConnection:
        ready = [entry.listen for entry in self._entries if self._ready[entry.listen]]
        others = [endpoint for endpoint in ready if endpoint != avoid] or ready
        for _ in others:
            self._last_index += 1
            endpoint = others[self._last_index % len(others)]
            try:
                return await connect(endpoint)
            except ConnectionRefusedByPeerError:
                self._ready[endpoint] = False
        raise UnavailableError(message="no gateway is ready", remedy="wait and ask again")

    async def _probe_gateway(self, entry: GatewayAddresses) -> None:
        conn: ClientConnection | None = None
        while True:
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    if conn is None or not conn.usable:
                        conn = await connect(entry.announce, timeout_s=PROBE_TIMEOUT_S)
                    answer = await conn.request(method="GET", target=READY_TARGET, headers={})
                self._ready[entry.listen] = answer.status == 200
            except (ConnectionBrokenError, ConnectionRefusedByPeerError, TimeoutError):
                self._ready[entry.listen] = False
                conn = None
            await asyncio.sleep(PROBE_INTERVAL_S)
