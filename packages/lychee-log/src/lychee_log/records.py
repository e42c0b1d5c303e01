"""Records of the replicated log that are stored and sent."""

from typing import NewType

from msgspec import Struct

from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint

StorageId = NewType("StorageId", int)
"""Random 63-bit number of one data folder; 0 where it is not known yet."""

GroupId = NewType("GroupId", int)
"""Random 63-bit number of one replicated group; 0 for a replica that belongs to none yet."""


class ReplicaAddress(Struct, frozen=True, kw_only=True):
    """A replica as its peers know it.

    :param id: its id.
    :param endpoint: its address.
    :param storage: its data folder's number, 0 where it is not known yet.
    """

    id: ReplicaId
    endpoint: Endpoint
    storage: StorageId = StorageId(0)


class Membership(Struct, frozen=True, kw_only=True):
    """Who belongs to the group.

    :param voters: replicas that vote and count for a quorum.
    :param learners: replicas that receive the log and do not count.
    """

    voters: tuple[ReplicaAddress, ...] = ()
    learners: tuple[ReplicaAddress, ...] = ()

    @property
    def everyone(self) -> tuple[ReplicaAddress, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def find(self, replica: ReplicaId) -> ReplicaAddress | None:
        """Return the member of that id, or None."""
        return next((member for member in self.everyone if member.id == replica), None)

    def is_voter(self, replica: ReplicaId) -> bool:
        """Return whether the replica votes."""
        return any(voter.id == replica for voter in self.voters)

    def is_learner(self, replica: ReplicaId) -> bool:
        """Return whether the replica is a learner."""
        return any(learner.id == replica for learner in self.learners)

    @property
    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1


class EntryId(Struct, frozen=True, kw_only=True):
    """Identity of a log entry.

    :param index: its position.
    :param term: the term of the leader that appended it.
    """

    index: LogIndex
    term: int


class Entry(Struct, frozen=True, kw_only=True):
    """A log entry.

    :param index: its position.
    :param term: the term of the leader that appended it.
    :param data: what the machine applies; empty for the log's own entries.
    :param members: the membership from this entry on, None if it stays.
    """

    index: LogIndex
    term: int
    data: bytes = b""
    members: Membership | None = None

    @property
    def id(self) -> EntryId:
        """Return the entry's identity."""
        return EntryId(index=self.index, term=self.term)


class HardState(Struct, frozen=True, kw_only=True):
    """What a replica must not forget.

    :param term: the latest term it has seen.
    :param vote: whom it voted for in that term.
    """

    term: int = 0
    vote: ReplicaId | None = None


class Identity(Struct, frozen=True, kw_only=True):
    """Whose data folder this is.

    :param replica: the replica's id.
    :param storage: the folder's number.
    :param group: the group it belongs to, 0 for none yet.
    :param founding: the group's first membership, None for a replica that joined later.
    """

    replica: ReplicaId
    storage: StorageId
    group: GroupId = GroupId(0)
    founding: Membership | None = None


class Snapshot(Struct, frozen=True, kw_only=True):
    """The machine's state after an entry.

    :param index: index of the last entry that it covers.
    :param term: that entry's term.
    :param members: the membership at that entry.
    :param data: the machine's state.
    """

    index: LogIndex
    term: int
    members: Membership
    data: bytes


class Recovered(Struct, frozen=True, kw_only=True):
    """What was found in a data folder.

    :param identity: whose folder it is.
    :param hard_state: term and vote.
    :param snapshot: the latest snapshot, None if there is none.
    :param entries: the entries after it.
    :param committed: an index up to which entries are known to be committed.
    """

    identity: Identity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    committed: LogIndex = LogIndex(0)


class Committed(Struct, frozen=True, kw_only=True):
    """The outcome of a proposal.

    :param index: the entry's index.
    :param term: its term.
    :param result: what the machine returned.
    """

    index: LogIndex
    term: int
    result: object
