"""Announcements of backend servers on their way to the leader, and its answers."""

import asyncio

from lychee_types.ids import Incarnation, ServerId
from lychee_types.messages import (
    Announcement,
    ServerGrant,
)

BATCH_S = 0.02
"""Time in which announcements are collected into one report, in seconds."""

PENDING_LIMIT = 10_000
"""Number of announcements that may wait to be reported."""

AnnouncementId = tuple[ServerId, Incarnation, int]
"""Server, run and number of an announcement."""


def announcement_id(announcement: Announcement) -> AnnouncementId:
    """Return what an announcement's grant is found by."""
    server = announcement.server
    return (server.id, server.incarnation, announcement.number)


class AnnouncementDesk:
    """Collects announcements and hands each grant to the server that waits for it."""

    def __init__(self) -> None:
        self._pending: list[Announcement] = []
        self._wake = asyncio.Event()
        self._waiting: dict[AnnouncementId, asyncio.Future[ServerGrant]] = {}

    async def announce(self, announcement: Announcement, *, timeout_s: float) -> ServerGrant | None:
        """Report an announcement and return the leader's answer, None without one in time."""
        if len(self._pending) >= PENDING_LIMIT:
            return None
        key = announcement_id(announcement)
        reply: asyncio.Future[ServerGrant] = asyncio.get_running_loop().create_future()
        self._waiting[key] = reply
        self._pending.append(announcement)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            if self._waiting.get(key) is reply:
                del self._waiting[key]

    async def batch(self) -> tuple[Announcement, ...]:
        """Wait for an announcement, and return those of the next few milliseconds.

        Those whose server has been told to ask elsewhere are left out.
        """
        await self._wake.wait()
        await asyncio.sleep(BATCH_S)
        pending, self._pending = self._pending, []
        self._wake.clear()
        return tuple(a for a in pending if announcement_id(a) in self._waiting)

    def answer(self, grants: tuple[ServerGrant, ...]) -> None:
        """Hand out the leader's answers."""
        for grant in grants:
            reply = self._waiting.get((grant.server, grant.incarnation, grant.number))
            if reply is not None and not reply.done():
                reply.set_result(grant)
