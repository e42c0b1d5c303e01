"""Leases and liveness of backend servers, as known to the leader.

An incarnation is one lifetime of a server process: a restarted server has a higher one.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from lychee_owner.state import ClusterState
from lychee_types.commands import JoinServer
from lychee_types.exceptions import require
from lychee_types.ids import Incarnation, ServerId, Token
from lychee_types.messages import (
    Announcement,
    ServerGrant,
)
from lychee_types.records import ServerRecord, ServerStatus
from lychee_types.timing import Timing

MIN_SPEED = 0.01
MAX_SPEED = 100.0
"""Range of the speeds that a server may announce."""


@dataclass(kw_only=True, slots=True)
class TrackedIncarnation:
    """State of one incarnation of a backend server; times are the leader's monotonic time.

    :param incarnation: number of the incarnation.
    :param number: number of its newest announcement.
    :param announced_at: when that announcement was received, in seconds.
    :param fence: highest fence that this incarnation has confirmed.
    :param granted_fence: highest fence granted to this incarnation.
    :param in_flight: number of requests in flight that it has reported.
    """

    incarnation: Incarnation
    number: int
    announced_at: float
    fence: Token = Token(0)
    granted_fence: Token = Token(0)
    in_flight: int = 0


class ServerLeases:
    """Replies to announcements and tracks the leases of backend servers.

    :param state: the replicated state, after the leader's first entry.
    :param timing: timing parameters.
    :param now: when this replica became leader, in seconds.
    :param fence_of: returns the fence below which a server must refuse tokens.
    """

    def __init__(
        self,
        *,
        state: ClusterState,
        timing: Timing,
        now: float,
        fence_of: Callable[[ServerRecord], Token],
    ) -> None:
        self._state = state
        self._timing = timing
        self._started = now
        self._fence_of = fence_of
        self._lease_ends: dict[ServerId, float] = {}
        self._uncommitted: dict[ServerId, ServerRecord] = {}
        self._awaiting_move: set[ServerId] = set()
        self.incarnations: dict[ServerId, TrackedIncarnation] = {}

    def handle_announcement(self, *, now: float, announcement: Announcement) -> ServerGrant | None:
        """Return the reply to an announcement, or None until the server's record is committed.

        :param now: when the announcement was received, in seconds.
        :param announcement: the announcement.
        """
        record = announcement.server
        committed = self._state.servers.get(record.id)
        reason = self._refusal_reason(committed=committed, record=record)
        if reason:
            return self.refuse(announcement=announcement, reason=reason)
        self._record_announcement(now=now, announcement=announcement)
        if committed is not None and self._state.is_move_needed(existing=committed, new=record):
            self._awaiting_move.add(record.id)
            reason = "its former run still owns keys; they move away first"
            return self.refuse(announcement=announcement, reason=reason)
        self._awaiting_move.discard(record.id)
        if committed is None or not _is_same(committed=committed, record=record):
            self._uncommitted[record.id] = record
            return None
        return self._renew(now=now, announcement=announcement, committed=committed)

    def refuse(self, *, announcement: Announcement, reason: str) -> ServerGrant:
        """Return a reply that grants no lease.

        :param announcement: the announcement.
        :param reason: why it is refused, for the server's operators.
        """
        return self._grant(announcement=announcement, fence=Token(0), reason=reason)

    def _refusal_reason(self, *, committed: ServerRecord | None, record: ServerRecord) -> str:
        if committed is not None and record.incarnation < committed.incarnation:
            return "a later run of this server has joined"
        tracked = self.incarnations.get(record.id)
        if tracked is not None and record.incarnation < tracked.incarnation:
            return "a later run of this server has announced itself"
        if self._state.service(record.service) is None:
            return f"the document has no service {record.service}"
        if not (MIN_SPEED <= record.speed <= MAX_SPEED and record.slots > 0):
            return f"speed must be from {MIN_SPEED} to {MAX_SPEED}, and slots at least 1"
        return ""

    def _record_announcement(self, *, now: float, announcement: Announcement) -> None:
        record = announcement.server
        tracked = self.incarnations.get(record.id)
        if tracked is None or tracked.incarnation < record.incarnation:
            tracked = TrackedIncarnation(
                incarnation=record.incarnation, number=-1, announced_at=now
            )
            self.incarnations[record.id] = tracked
        tracked.fence = max(tracked.fence, announcement.fence)
        if announcement.number > tracked.number:
            tracked.number = announcement.number
            tracked.announced_at = now
            tracked.in_flight = announcement.in_flight

    def _renew(
        self, *, now: float, announcement: Announcement, committed: ServerRecord
    ) -> ServerGrant:
        tracked = self.incarnations[committed.id]
        fence = max(tracked.granted_fence, self._fence_of(committed))
        require(
            fence <= self._state.index,
            f"the fence of server {committed.id} is beyond the last applied log index",
        )
        tracked.granted_fence = fence
        lease_end = now + self._timing.lease_s + self._timing.drift_s
        self._lease_ends[committed.id] = max(lease_end, self.lease_end(committed.id))
        return self._grant(announcement=announcement, fence=fence, reason="")

    def _grant(self, *, announcement: Announcement, fence: Token, reason: str) -> ServerGrant:
        document = self._state.document
        server = announcement.server
        return ServerGrant(
            server=server.id,
            incarnation=server.incarnation,
            number=announcement.number,
            lease_ms=0 if reason else self._timing.lease_ms,
            fence=fence,
            leaving=document is not None and document.is_leaving(server.id),
            reason=reason,
        )

    def lease_end(self, server: ServerId) -> float:
        """Return the time from which a server certainly holds no lease, in seconds.

        Assumes that a previous leader granted one just before this leader was elected.
        """
        unknown = self._started + self._timing.lease_s + self._timing.drift_s
        return self._lease_ends.get(server, unknown)

    def confirmed_fence(self, server: ServerId) -> Token:
        """Return the fence that a server's committed incarnation has confirmed, 0 if none."""
        tracked = self.incarnations.get(server)
        committed = self._state.servers.get(server)
        if tracked is None or committed is None or tracked.incarnation != committed.incarnation:
            return Token(0)
        return tracked.fence

    def announcement_age_s(self, *, now: float, server: ServerRecord) -> float:
        """Return the time since a server's last announcement to this leader, in seconds."""
        tracked = self.incarnations.get(server.id)
        last_announced_at = self._started if tracked is None else tracked.announced_at
        return now - max(last_announced_at, self._started)

    def is_superseded(self, server: ServerRecord) -> bool:
        """Return whether a new incarnation waits for the keys of this record to move."""
        return server.id in self._awaiting_move

    def due_joins(self) -> Iterable[JoinServer]:
        """Return the commands that commit announced records."""
        for record in list(self._uncommitted.values()):
            committed = self._state.servers.get(record.id)
            stale = committed is not None and committed.incarnation > record.incarnation
            if committed is not None and self._state.is_move_needed(existing=committed, new=record):
                self._awaiting_move.add(record.id)
                stale = True
            if stale or (committed is not None and _is_same(committed=committed, record=record)):
                del self._uncommitted[record.id]
                continue
            speed = record.speed if committed is None else committed.speed
            yield JoinServer(server=replace(record, speed=speed))

    def forget(self, server: ServerId) -> None:
        """Drop the data of a server that has been removed from the state."""
        self.incarnations.pop(server, None)
        self._uncommitted.pop(server, None)


def _is_same(*, committed: ServerRecord, record: ServerRecord) -> bool:
    """Return whether a committed record equals the announced one apart from the speed."""
    if committed.status is ServerStatus.LOST:
        return False
    return committed == replace(record, speed=committed.speed)
