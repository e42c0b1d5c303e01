"""Messages between replicas."""

from msgspec import Struct

from lychee_log.records import Entry, GroupId, Membership, ReplicaAddress, Snapshot, StorageId
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint


class Header(Struct, frozen=True, kw_only=True):
    """What every message carries.

    :param sender: the sender's id.
    :param endpoint: the sender's address.
    :param storage: number of the sender's data folder.
    :param to: the receiver's id.
    :param to_storage: number of the receiver's data folder as the sender knows it, 0 for unknown.
    :param group: the sender's group.
    :param term: the sender's term.
    """

    sender: ReplicaId
    endpoint: Endpoint
    storage: StorageId
    to: ReplicaId
    to_storage: StorageId
    group: GroupId
    term: int

    @property
    def origin(self) -> ReplicaAddress:
        """Return the sender."""
        return ReplicaAddress(id=self.sender, endpoint=self.endpoint, storage=self.storage)


class Hello(Header, frozen=True, kw_only=True, tag=True):
    """A replica tells its storage number and what it knows of the group.

    :param founding: the group's first membership, None where it is not known.
    :param members: the latest membership, None for a replica that belongs to no group yet.
    :param wants_reply: whether the receiver should answer with its own Hello.
    """

    founding: Membership | None = None
    members: Membership | None = None
    wants_reply: bool = False


class VoteRequest(Header, frozen=True, kw_only=True, tag=True):
    """A candidate asks for a vote.

    :param pre: whether it only asks whether it would get the vote; ``term`` is then the next one.
    :param last_index: index of its last entry.
    :param last_term: term of its last entry.
    """

    pre: bool
    last_index: LogIndex
    last_term: int


class VoteReply(Header, frozen=True, kw_only=True, tag=True):
    """The answer to a vote request.

    :param pre: whether it answers a pre-vote.
    :param granted: whether the vote is given.
    """

    pre: bool
    granted: bool


class AppendRequest(Header, frozen=True, kw_only=True, tag=True):
    """The leader's entries, or its heartbeat.

    :param prev_index: index of the entry before the first one.
    :param prev_term: term of that entry.
    :param entries: in order of index; empty for a heartbeat.
    :param commit: the leader's commit index.
    :param sent: the leader's monotonic time of sending in seconds, returned in the reply.
    """

    prev_index: LogIndex
    prev_term: int
    entries: tuple[Entry, ...]
    commit: LogIndex
    sent: float


class AppendReply(Header, frozen=True, kw_only=True, tag=True):
    """The answer to an append or to a snapshot.

    :param match: last index known to agree with the leader's log and to be synced.
    :param retry_from: index to append from, where the entry before the first one is missing or
        another one; 0 if it agrees.
    :param sent: the time in the request.
    """

    match: LogIndex
    sent: float
    retry_from: LogIndex = LogIndex(0)


class InstallSnapshot(Header, frozen=True, kw_only=True, tag=True):
    """The leader's snapshot, for a replica that is too far behind.

    :param snapshot: the snapshot.
    :param sent: the leader's monotonic time of sending in seconds, returned in the reply.
    """

    snapshot: Snapshot
    sent: float


PeerMessage = Hello | VoteRequest | VoteReply | AppendRequest | AppendReply | InstallSnapshot
"""Messages between replicas."""
