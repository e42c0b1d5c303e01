"""A stand-in for the platform's load balancer, which spreads connections over the gateways."""

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
"""Interval between readiness probes of a gateway, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""Timeout of a readiness probe, in seconds."""

READY_TARGET = "/_lychee/ready"


class GatewayAddresses(Struct, frozen=True, kw_only=True):
    """Addresses of one gateway.

    :param name: the gateway's id.
    :param listen: address that callers connect to.
    :param announce: address that announcements and readiness probes are sent to.
    """

    name: str
    listen: Endpoint
    announce: Endpoint


class Balancer:
    """Opens each new connection to the next ready gateway, and pools idle connections.

    :param gateways: addresses of the gateways.
    """

    def __init__(self, *, gateways: tuple[GatewayAddresses, ...]) -> None:
        self._gateways = gateways
        self._ready = dict.fromkeys((gateway.listen for gateway in gateways), True)
        self._idle: deque[ClientConnection] = deque()
        self._last_index = 0

    async def acquire(self, *, avoid: Endpoint | None = None) -> ClientConnection:
        """Return an idle or a new connection to a ready gateway.

        :param avoid: gateway that is used only if no other is ready.
        :raises UnavailableError: if no connection to a gateway can be opened.
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
        """Return a connection to the pool."""
        if conn.usable:
            self._idle.append(conn)

    async def open_idle(self, number: int) -> None:
        """Fill the pool with new connections before the first requests."""
        for conn in [await self._open(None) for _ in range(number)]:
            self.release(conn)

    async def probe_readiness(self) -> None:
        """Probe the readiness of every gateway until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for gateway in self._gateways:
                tasks.create_task(self._probe_gateway(gateway))

    async def _open(self, avoid: Endpoint | None) -> ClientConnection:
        ready = [gateway.listen for gateway in self._gateways if self._ready[gateway.listen]]
        others = [endpoint for endpoint in ready if endpoint != avoid] or ready
        for _ in others:
            self._last_index += 1
            endpoint = others[self._last_index % len(others)]
            try:
                return await connect(endpoint)
            except ConnectionRefusedByPeerError:
                self._ready[endpoint] = False
        raise UnavailableError(
            message="no gateway accepts connections", remedy="wait and try again"
        )

    async def _probe_gateway(self, gateway: GatewayAddresses) -> None:
        conn: ClientConnection | None = None
        while True:
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    if conn is None or not conn.usable:
                        conn = await connect(gateway.announce, timeout_s=PROBE_TIMEOUT_S)
                    response = await conn.request(method="GET", target=READY_TARGET, headers={})
                self._ready[gateway.listen] = response.status == 200
            except (ConnectionBrokenError, ConnectionRefusedByPeerError, TimeoutError):
                self._ready[gateway.listen] = False
                conn = None
            await asyncio.sleep(PROBE_INTERVAL_S)
