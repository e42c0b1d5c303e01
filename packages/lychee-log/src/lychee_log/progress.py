"""A leader's view of its peers: the entries they hold and when they last replied."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lychee_log.records import Membership, ReplicaAddress
from lychee_types.ids import LogIndex, ReplicaId

MAX_APPENDS_IN_FLIGHT = 32
"""Maximum number of unacknowledged append requests with entries to one peer."""


class ReplicationMode(Enum):
    """How entries are replicated to a peer.

    ``PROBE`` looks for the last common entry, ``STREAM`` sends entries without waiting for replies,
    and ``SNAPSHOT`` waits until the peer has installed a snapshot.
    """

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, kw_only=True, slots=True)
class _AppendInFlight:
    last_index: LogIndex
    size: int


class Progress:
    """Replication progress of one peer.

    :param address: the peer's address.
    :param next_index: index of the next entry to send.
    """

    def __init__(self, *, address: ReplicaAddress, next_index: LogIndex) -> None:
        self.address = address
        self.next_index = next_index
        self.match_index = LogIndex(0)
        self.mode = ReplicationMode.STREAM
        self._in_flight: deque[_AppendInFlight] = deque()
        self._in_flight_bytes = 0
        self.sent_commit_index = LogIndex(0)
        self.heartbeat_sent_at = 0.0
        self.snapshot_sent_at = 0.0
        self.last_reply_at = 0.0
        self.acknowledged_sent_at = 0.0
        self.last_reply_number = 0

    @property
    def in_flight_bytes(self) -> int:
        """Return the size of the unacknowledged entries that have been sent, in bytes."""
        return self._in_flight_bytes

    def can_stream(self, max_bytes: int) -> bool:
        """Return whether another append request with entries may be sent.

        :param max_bytes: size of the unacknowledged entries from which none is, in bytes.
        """
        has_room = self._in_flight_bytes < max_bytes or not self._in_flight
        is_streaming = self.mode is ReplicationMode.STREAM
        return is_streaming and has_room and len(self._in_flight) < MAX_APPENDS_IN_FLIGHT

    def record_append(self, last_index: LogIndex, *, size: int) -> None:
        """Record that the entries up to an index have been sent.

        :param last_index: the last one's index.
        :param size: the size of their data, in bytes.
        """
        self.next_index = LogIndex(last_index + 1)
        self._in_flight.append(_AppendInFlight(last_index=last_index, size=size))
        self._in_flight_bytes += size

    def clear_in_flight(self) -> None:
        """Forget the unacknowledged entries, as they are not waited for any more."""
        self._in_flight.clear()
        self._in_flight_bytes = 0

    def record_match(self, match_index: LogIndex) -> None:
        """Record that the peer's log matches the leader's up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, LogIndex(self.match_index + 1))
        while self._in_flight and self._in_flight[0].last_index <= self.match_index:
            self._in_flight_bytes -= self._in_flight.popleft().size

    def record_rejection(self, retry_from: LogIndex) -> None:
        """Move back to an index where the peer's log may match, and probe from there."""
        first_unmatched = LogIndex(self.match_index + 1)
        self.next_index = max(first_unmatched, min(retry_from, self.next_index))
        self.clear_in_flight()
        self.mode = ReplicationMode.PROBE


class Leadership:
    """A leader's state in its term.

    :param term: the term.
    :param first_index: index of the first entry of the term.
    :param now: monotonic time of the election in seconds.
    """

    def __init__(self, *, term: int, first_index: LogIndex, now: float) -> None:
        self.term = term
        self.first_index = first_index
        self.elected_at = now
        self.is_ready = False
        self.peers: dict[ReplicaId, Progress] = {}

    def set_members(self, members: Membership, *, own_id: ReplicaId, next_index: LogIndex) -> None:
        """Track the progress of all members other than the leader."""
        members_by_id = {member.id: member for member in members.all_members if member.id != own_id}
        for removed in self.peers.keys() - members_by_id.keys():
            del self.peers[removed]
        for replica, member in members_by_id.items():
            if replica not in self.peers:
                self.peers[replica] = Progress(address=member, next_index=next_index)

    def quorum_match_index(
        self, members: Membership, *, own_id: ReplicaId, durable_index: LogIndex
    ) -> LogIndex:
        """Return the highest index that a majority of the voters has on disk."""
        match_indexes = [
            durable_index if voter.id == own_id else self.peers[voter.id].match_index
            for voter in members.voters
        ]
        return sorted(match_indexes, reverse=True)[members.quorum - 1]

    def lease_start(self, members: Membership, *, own_id: ReplicaId, now: float) -> float:
        """Return the start of the lease.

        It is the latest time such that a majority of the voters has replied to a request sent then
        or later. The send time counts, not the arrival of the reply: a voter blocks its votes from
        the receipt of the request.
        """
        return self._quorum_time(members, own_id=own_id, now=now, time_of=_acknowledged_sent_at)

    def quorum_replied_at(self, members: Membership, *, own_id: ReplicaId, now: float) -> float:
        """Return the latest time such that a majority of the voters has replied since.

        The result is never earlier than the election.
        """
        return max(
            self.elected_at,
            self._quorum_time(members, own_id=own_id, now=now, time_of=_last_reply_at),
        )

    def _quorum_time(
        self,
        members: Membership,
        *,
        own_id: ReplicaId,
        now: float,
        time_of: Callable[[Progress], float],
    ) -> float:
        voter_times = [
            now if voter.id == own_id else time_of(self.peers[voter.id]) for voter in members.voters
        ]
        return sorted(voter_times, reverse=True)[members.quorum - 1]


def _acknowledged_sent_at(progress: Progress) -> float:
    return progress.acknowledged_sent_at


def _last_reply_at(progress: Progress) -> float:
    return progress.last_reply_at
