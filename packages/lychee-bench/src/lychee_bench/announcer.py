"""Announcements that a stand-in server sends to the entry VMs."""

import asyncio
from collections.abc import Callable

import msgspec

from lychee_bench.http_client import (
    ClientConnection,
    ConnectionBrokenError,
    ConnectionRefusedByPeerError,
    connect,
)
from lychee_bench.lease import ServerLease
from lychee_types.clock import Clock
from lychee_types.messages import (
    Announcement,
    ServerGrant,
)
from lychee_types.records import Endpoint, ServerRecord

INTERVAL_S = 0.3
"""Interval between announcements, in seconds."""

TIMEOUT_S = 0.3
"""Timeout for an entry VM's reply, in seconds."""

TARGET = "/_lychee/announce"


class Announcer:
    """Announces a server to an entry VM, and to the next one whenever it does not reply.

    :param entries: announce addresses of the entry VMs.
    :param first: index of the entry VM to start with.
    :param lease: lease that the received grants extend.
    :param record: returns the server's record.
    :param in_flight: returns the number of requests that run or wait.
    :param clock: source of monotonic time.
    """

    def __init__(
        self,
        *,
        entries: tuple[Endpoint, ...],
        first: int,
        lease: ServerLease,
        record: Callable[[], ServerRecord],
        in_flight: Callable[[], int],
        clock: Clock,
    ) -> None:
        self.last_reason = ""
        self._entries = entries
        self._next_index = first
        self._lease = lease
        self._record = record
        self._in_flight = in_flight
        self._clock = clock
        self._last_number = 0
        self._conn: ClientConnection | None = None

    async def run(self) -> None:
        """Send announcements until cancelled."""
        try:
            while True:
                started = self._clock.monotonic()
                await self._announce_round()
                elapsed_s = self._clock.monotonic() - started
                await asyncio.sleep(max(0.0, INTERVAL_S - elapsed_s))
        finally:
            self._close_connection()

    async def _announce_round(self) -> None:
        for _ in self._entries:
            if await self._announce_once():
                return
            self._close_connection()
            self._next_index += 1

    async def _announce_once(self) -> bool:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                conn = await self._connection()
                sent_at = self._clock.monotonic()
                response = await conn.request(
                    method="POST",
                    target=TARGET,
                    headers={"Content-Type": "application/json"},
                    body=self._announcement(),
                )
        except (ConnectionBrokenError, ConnectionRefusedByPeerError, TimeoutError):
            return False
        if response.status != 200:
            return False
        grant = msgspec.json.decode(response.body, type=ServerGrant)
        if grant.number == self._last_number:
            self.last_reason = grant.reason
            self._lease.apply_grant(grant, sent_at=sent_at)
        return True

    def _announcement(self) -> bytes:
        self._last_number += 1
        return msgspec.json.encode(
            Announcement(
                server=self._record(),
                number=self._last_number,
                fence=self._lease.confirmed_fence,
                in_flight=self._in_flight(),
                wall_ms=int(self._clock.wall() * 1_000),
            )
        )

    async def _connection(self) -> ClientConnection:
        if self._conn is None or not self._conn.usable:
            entry = self._entries[self._next_index % len(self._entries)]
            self._conn = await connect(entry, timeout_s=TIMEOUT_S)
        return self._conn

    def _close_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None
