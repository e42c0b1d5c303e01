"""Relay of backend servers' announcements to the leader, and of its grants to the servers."""

import asyncio

from lychee_types.ids import Incarnation, ServerId
from lychee_types.messages import (
    Announcement,
    ServerGrant,
)
from lychee_types.timeouts import timeout_after_input

BATCH_WINDOW_S = 0.02
"""Time during which announcements are collected into one report, in seconds."""

MAX_PENDING = 10_000
"""Maximum number of announcements that wait to be reported."""

AnnouncementId = tuple[ServerId, Incarnation, int]
"""Server, incarnation and number of an announcement."""


def announcement_id(announcement: Announcement) -> AnnouncementId:
    """Return the id by which an announcement is matched with its grant."""
    server = announcement.server
    return (server.id, server.incarnation, announcement.number)


class AnnouncementRelay:
    """Collects announcements, and delivers each grant to the server that waits for it."""

    def __init__(self) -> None:
        self._pending: list[Announcement] = []
        self._announcement_pending = asyncio.Event()
        self._pending_replies: dict[AnnouncementId, asyncio.Future[ServerGrant]] = {}

    async def announce(self, announcement: Announcement, *, timeout_s: float) -> ServerGrant | None:
        """Report an announcement and return the leader's grant.

        Return None if the grant does not arrive in time or if too many announcements are waiting.

        :param announcement: the announcement.
        :param timeout_s: longest wait in seconds.
        """
        if len(self._pending) >= MAX_PENDING:
            return None
        key = announcement_id(announcement)
        reply: asyncio.Future[ServerGrant] = asyncio.get_running_loop().create_future()
        self._pending_replies[key] = reply
        self._pending.append(announcement)
        self._announcement_pending.set()
        try:
            async with timeout_after_input(timeout_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            if self._pending_replies.get(key) is reply:
                del self._pending_replies[key]

    async def next_batch(self) -> tuple[Announcement, ...]:
        """Wait for an announcement, and return it with those that arrive during the batch window.

        Announcements that timed out are omitted: their servers were told to ask another VM.
        """
        await self._announcement_pending.wait()
        await asyncio.sleep(BATCH_WINDOW_S)
        pending, self._pending = self._pending, []
        self._announcement_pending.clear()
        return tuple(a for a in pending if announcement_id(a) in self._pending_replies)

    def deliver_grants(self, grants: tuple[ServerGrant, ...]) -> None:
        """Deliver grants of the leader to the waiting servers."""
        for grant in grants:
            reply = self._pending_replies.get((grant.server, grant.incarnation, grant.number))
            if reply is not None and not reply.done():
                reply.set_result(grant)
