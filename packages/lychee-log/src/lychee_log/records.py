"""Records of the replicated log that are stored on disk or sent to peers."""

from typing import NewType

from msgspec import Struct

from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint

StorageId = NewType("StorageId", int)
"""Random 63-bit number that identifies a data folder; 0 if it is not known yet."""

GroupId = NewType("GroupId", int)
"""Random 63-bit number that identifies a group; 0 for a replica that belongs to none yet."""


class ReplicaAddress(Struct, frozen=True, kw_only=True):
    """A replica as its peers address it.

    :param id: the replica's id.
    :param endpoint: its network address.
    :param storage: its storage number, 0 if it is not known yet.
    """

    id: ReplicaId
    endpoint: Endpoint
    storage: StorageId = StorageId(0)


class Membership(Struct, frozen=True, kw_only=True):
    """The members of a group.

    :param voters: replicas that vote and count towards a quorum.
    :param learners: replicas that only receive the log.
    """

    voters: tuple[ReplicaAddress, ...] = ()
    learners: tuple[ReplicaAddress, ...] = ()

    @property
    def all_members(self) -> tuple[ReplicaAddress, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def find(self, replica: ReplicaId) -> ReplicaAddress | None:
        """Return the member with an id, None if there is none."""
        return next((member for member in self.all_members if member.id == replica), None)

    def is_voter(self, replica: ReplicaId) -> bool:
        """Return whether the replica is a voter."""
        return any(voter.id == replica for voter in self.voters)

    def is_learner(self, replica: ReplicaId) -> bool:
        """Return whether the replica is a learner."""
        return any(learner.id == replica for learner in self.learners)

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1


class EntryId(Struct, frozen=True, kw_only=True):
    """Identifies a log entry.

    :param index: the position in the log.
    :param term: the term of the leader that appended it.
    """

    index: LogIndex
    term: int


class Entry(Struct, frozen=True, kw_only=True):
    """A log entry.

    :param index: the position in the log.
    :param term: the term of the leader that appended it.
    :param data: the proposal for the state machine; empty for entries of the log itself.
    :param members: the membership from this entry on, None if it is unchanged.
    """

    index: LogIndex
    term: int
    data: bytes = b""
    members: Membership | None = None

    @property
    def id(self) -> EntryId:
        """Return the entry's id."""
        return EntryId(index=self.index, term=self.term)


class HardState(Struct, frozen=True, kw_only=True):
    """Term and vote, which a replica must not lose (Raft's persistent state).

    :param term: the latest term it has seen.
    :param vote: the replica that it voted for in that term, None if it has not voted.
    """

    term: int = 0
    vote: ReplicaId | None = None


class Identity(Struct, frozen=True, kw_only=True):
    """Identifies the replica that owns a data folder.

    :param replica: the replica's id.
    :param storage: the folder's storage number.
    :param group: the replica's group, 0 if it belongs to none yet.
    :param founding: the group's first membership, None for a replica that joined later.
    """

    replica: ReplicaId
    storage: StorageId
    group: GroupId = GroupId(0)
    founding: Membership | None = None


class Snapshot(Struct, frozen=True, kw_only=True):
    """The state of the state machine after an entry.

    :param index: index of the last entry that it covers.
    :param term: that entry's term.
    :param members: the membership at that entry.
    :param data: the serialized state machine.
    """

    index: LogIndex
    term: int
    members: Membership
    data: bytes


class RecoveredState(Struct, frozen=True, kw_only=True):
    """The state read from a data folder.

    :param identity: the replica that owns the folder.
    :param hard_state: term and vote.
    :param snapshot: the latest snapshot, None if there is none.
    :param entries: the entries after the snapshot.
    :param committed: an index up to which entries are known to be committed.
    """

    identity: Identity
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    committed: LogIndex = LogIndex(0)


class Committed(Struct, frozen=True, kw_only=True):
    """The outcome of a proposal.

    :param index: index of its entry.
    :param term: term of its entry.
    :param result: the state machine's result.
    """

    index: LogIndex
    term: int
    result: object
