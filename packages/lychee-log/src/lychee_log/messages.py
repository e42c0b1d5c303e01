"""Messages between replicas."""

from msgspec import Struct

from lychee_log.records import Entry, GroupId, Membership, ReplicaAddress, Snapshot, StorageId
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint


class Header(Struct, frozen=True, kw_only=True):
    """Fields common to all messages.

    :param sender: the sender's id.
    :param endpoint: the sender's address.
    :param storage: storage number of the sender's data folder.
    :param to: the receiver's id.
    :param to_storage: the receiver's storage number as known to the sender, 0 if unknown.
    :param group: number of the sender's group, 0 if it belongs to none yet.
    :param term: the sender's term; the next term in a pre-vote.
    """

    sender: ReplicaId
    endpoint: Endpoint
    storage: StorageId
    to: ReplicaId
    to_storage: StorageId
    group: GroupId
    term: int

    @property
    def sender_address(self) -> ReplicaAddress:
        """Return the sender's address with its storage number."""
        return ReplicaAddress(id=self.sender, endpoint=self.endpoint, storage=self.storage)


class Hello(Header, frozen=True, kw_only=True, tag=True):
    """Introduction of a replica: its storage number and what it knows about the group.

    :param founding: the group's first membership, None if it is not known.
    :param members: the latest membership, None for a replica that belongs to no group yet.
    :param wants_reply: whether the receiver should reply with its own Hello.
    """

    founding: Membership | None = None
    members: Membership | None = None
    wants_reply: bool = False


class VoteRequest(Header, frozen=True, kw_only=True, tag=True):
    """A candidate's request for a vote.

    :param pre: whether it is a pre-vote; ``term`` is then the term after the candidate's own.
    :param handed_over: whether the leader of the last term has given up its lease for this
        candidate, so that no promise to that leader is left.
    :param last_index: index of the last entry in the candidate's log.
    :param last_term: term of that entry.
    """

    pre: bool
    last_index: LogIndex
    last_term: int
    handed_over: bool = False


class VoteReply(Header, frozen=True, kw_only=True, tag=True):
    """The reply to a vote request.

    :param pre: whether it replies to a pre-vote.
    :param granted: whether the vote is granted.
    """

    pre: bool
    granted: bool


class AppendRequest(Header, frozen=True, kw_only=True, tag=True):
    """Entries of the leader, or a heartbeat.

    :param prev_index: index of the entry that precedes ``entries``.
    :param prev_term: term of that entry.
    :param entries: entries in order of index; empty for a heartbeat.
    :param commit: the leader's commit index.
    :param sent: send time on the leader's monotonic clock in seconds, echoed in the reply.
    :param confirms: number of the receiver's reply before which nothing beyond ``commit`` was
        acknowledged; 0 if the leader cannot tell.
    """

    prev_index: LogIndex
    prev_term: int
    entries: tuple[Entry, ...]
    commit: LogIndex
    sent: float
    confirms: int = 0


class AppendReply(Header, frozen=True, kw_only=True, tag=True):
    """The reply to an append or a snapshot.

    :param match: last index that is known to match the leader's log and to be synced.
    :param retry_from: index from which to send entries again because the preceding entry is missing
        or differs; 0 if it matches.
    :param sent: ``sent`` of the request.
    :param number: number of the reply, returned in ``confirms``.
    """

    match: LogIndex
    sent: float
    retry_from: LogIndex = LogIndex(0)
    number: int = 0


class InstallSnapshot(Header, frozen=True, kw_only=True, tag=True):
    """The leader's snapshot, for a replica that lacks entries no longer in the log.

    :param snapshot: the snapshot.
    :param sent: send time on the leader's monotonic clock in seconds, echoed in the reply.
    """

    snapshot: Snapshot
    sent: float


class HandOver(Header, frozen=True, kw_only=True, tag=True):
    """A leader that stops has given up its leadership; the receiver should stand for election."""


PeerMessage = (
    Hello | VoteRequest | VoteReply | AppendRequest | AppendReply | InstallSnapshot | HandOver
)
"""Messages between replicas."""
