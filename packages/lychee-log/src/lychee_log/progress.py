"""What a leader knows of its peers: what they hold, and until when they follow it."""

from collections import deque
from collections.abc import Callable
from enum import Enum

from lychee_log.records import Membership, ReplicaAddress
from lychee_types.ids import LogIndex, ReplicaId

WINDOW = 32
"""Number of unanswered appends to one peer."""


class Mode(Enum):
    """How entries are sent to a peer."""

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


class Progress:
    """A leader's view of one peer.

    :param member: the peer.
    :param next_index: the next entry to send.
    """

    def __init__(self, *, member: ReplicaAddress, next_index: LogIndex) -> None:
        self.member = member
        self.next_index = next_index
        self.match = LogIndex(0)
        self.mode = Mode.STREAM
        self.in_flight: deque[LogIndex] = deque()
        self.sent_commit = LogIndex(0)
        self.heartbeat_at = 0.0
        self.snapshot_at = 0.0
        self.heard_at = 0.0
        self.followed_at = 0.0

    @property
    def can_stream(self) -> bool:
        """Return whether another append may be sent."""
        return self.mode is Mode.STREAM and len(self.in_flight) < WINDOW

    def sent(self, last: LogIndex) -> None:
        """Take note of an append up to an index."""
        self.next_index = LogIndex(last + 1)
        self.in_flight.append(last)

    def matched(self, match: LogIndex) -> None:
        """Take note that the peer holds the leader's log up to an index."""
        self.match = max(self.match, match)
        self.next_index = max(self.next_index, LogIndex(self.match + 1))
        while self.in_flight and self.in_flight[0] <= self.match:
            self.in_flight.popleft()

    def rejected(self, retry_from: LogIndex) -> None:
        """Go back to where the peer's log may agree."""
        floor = LogIndex(self.match + 1)
        self.next_index = max(floor, min(retry_from, self.next_index))
        self.in_flight.clear()
        self.mode = Mode.PROBE


class Leadership:
    """A leader's state in its term.

    :param term: the term.
    :param first: index of the entry that opened the term.
    :param now: when it was elected, monotonic seconds.
    """

    def __init__(self, *, term: int, first: LogIndex, now: float) -> None:
        self.term = term
        self.first = first
        self.since = now
        self.is_ready = False
        self.peers: dict[ReplicaId, Progress] = {}

    def set_members(self, members: Membership, *, me: ReplicaId, next_index: LogIndex) -> None:
        """Track exactly the members other than the leader."""
        wanted = {member.id: member for member in members.everyone if member.id != me}
        for gone in self.peers.keys() - wanted.keys():
            del self.peers[gone]
        for replica, member in wanted.items():
            if replica not in self.peers:
                self.peers[replica] = Progress(member=member, next_index=next_index)

    def quorum_match(self, members: Membership, *, me: ReplicaId, durable: LogIndex) -> LogIndex:
        """Return the highest index that a majority of the voters holds on disk."""
        held = [
            durable if voter.id == me else self.peers[voter.id].match for voter in members.voters
        ]
        return sorted(held, reverse=True)[members.quorum - 1]

    def lease_start(self, members: Membership, *, me: ReplicaId, now: float) -> float:
        """Return the latest time of sending that a majority of the voters has answered."""
        return self._quorum_time(members, me=me, now=now, times=_followed_at)

    def quorum_heard(self, members: Membership, *, me: ReplicaId, now: float) -> float:
        """Return the latest time since when a majority of the voters has been heard of."""
        return max(self.since, self._quorum_time(members, me=me, now=now, times=_heard_at))

    def _quorum_time(
        self, members: Membership, *, me: ReplicaId, now: float, times: Callable[[Progress], float]
    ) -> float:
        seen = [now if voter.id == me else times(self.peers[voter.id]) for voter in members.voters]
        return sorted(seen, reverse=True)[members.quorum - 1]


def _followed_at(progress: Progress) -> float:
    return progress.followed_at


def _heard_at(progress: Progress) -> float:
    return progress.heard_at
