"""The state that a replica keeps in every role."""

from enum import Enum
from typing import Any, TypeVar

from msgspec.structs import replace

from lychee_log.durability import Durability
from lychee_log.effects import Effect, SaveSnapshot, Send, Write
from lychee_log.entries import EntryLog
from lychee_log.messages import Header, PeerMessage
from lychee_log.records import (
    EntryId,
    GroupId,
    HardState,
    Membership,
    RecoveredState,
    ReplicaAddress,
    Snapshot,
)
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint

M = TypeVar("M", bound=Header)


class Role(Enum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftState:
    """Identity, term, log and commit index, and the effects that are still to be performed.

    :param endpoint: this replica's address.
    :param recovered: the state read from the data folder.
    """

    def __init__(self, *, endpoint: Endpoint, recovered: RecoveredState) -> None:
        self.identity = recovered.identity
        self.own_address = ReplicaAddress(
            id=recovered.identity.replica,
            endpoint=endpoint,
            storage=recovered.identity.storage,
        )
        self.hard_state = recovered.hard_state
        self.snapshot = recovered.snapshot
        self.log = _build_log(recovered)
        base = self.log.base.index
        known_commit = min(recovered.committed, self.log.last.index)
        self.commit_index: LogIndex = max(base, known_commit)
        self.applied_index: LogIndex = LogIndex(0)
        self.durability = Durability(
            durable_index=self.log.last.index, commit_index=self.commit_index
        )
        self.role = Role.FOLLOWER
        self.leader: ReplicaAddress | None = None
        self.disk_fault: str | None = None
        self._effects: list[Effect] = []
        self._self_messages: list[PeerMessage] = []

    @property
    def id(self) -> ReplicaId:
        """Return this replica's id."""
        return self.own_address.id

    @property
    def term(self) -> int:
        """Return the latest term seen."""
        return self.hard_state.term

    @property
    def members(self) -> Membership:
        """Return the current membership: the latest one in the log."""
        return self.log.members

    @property
    def may_be_voter(self) -> bool:
        """Return whether this replica is a voter in a membership that may be the committed one."""
        memberships = self.log.members_since(self.commit_index)
        return any(members.is_voter(self.id) for members in memberships)

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter in the current membership."""
        return self.members.is_voter(self.id)

    @property
    def durable_commit_index(self) -> LogIndex:
        """Return the last committed index that is also on this replica's disk."""
        return min(self.commit_index, self.durability.durable_index)

    def emit(self, effect: Effect) -> None:
        """Add an effect to perform."""
        self._effects.append(effect)

    def take_effects(self) -> tuple[Effect, ...]:
        """Return the effects since the last call, in order."""
        effects, self._effects = tuple(self._effects), []
        return effects

    def take_self_messages(self) -> tuple[PeerMessage, ...]:
        """Return the messages that this replica sent to itself since the last call."""
        messages, self._self_messages = tuple(self._self_messages), []
        return messages

    def build_message(
        self, kind: type[M], to: ReplicaAddress, *, term: int | None = None, **fields: Any
    ) -> M:
        """Build a message from this replica.

        :param kind: class of the message.
        :param to: the receiver.
        :param term: the term in the header, None for this replica's term.
        :param fields: the fields besides the header.
        """
        return kind(
            sender=self.id,
            endpoint=self.own_address.endpoint,
            storage=self.own_address.storage,
            to=to.id,
            to_storage=to.storage,
            group=self.identity.group,
            term=self.term if term is None else term,
            **fields,
        )

    def send(self, to: ReplicaAddress, message: Any) -> None:
        """Send a message immediately."""
        self.emit(Send(to=to, message=message))

    def send_after_sync(self, to: ReplicaAddress, message: Any) -> None:
        """Send a message once everything that is pending now has been synced to disk."""
        send = Send(to=to, message=message)
        if not self.durability.hold_until_synced(send, last_index=self.log.last.index):
            self._release(send)

    def send_after_state_sync(self, to: ReplicaAddress, message: Any) -> None:
        """Send a message once identity, term and vote have been synced; entries need not be."""
        if self.durability.is_state_synced:
            self.send(to, message)
        else:
            self.send_after_sync(to, message)

    def set_term(self, term: int, *, vote: ReplicaId | None) -> None:
        """Enter a new term, or record the vote in the current one."""
        current = self.hard_state
        require(term >= current.term, "terms never go down")
        require(term > current.term or current.vote in (None, vote), "one vote per term")
        if term == current.term and current.vote == vote:
            return
        self.hard_state = HardState(term=term, vote=vote)
        self.durability.queue_hard_state(self.hard_state)

    def join_group(self, group: GroupId, *, founding: Membership | None) -> None:
        """Make this replica a member of a group.

        :param group: the group's number.
        :param founding: the group's first membership, None if it is not known.
        """
        require(self.identity.group == 0, "a replica joins one group only")
        self.identity = replace(self.identity, group=group, founding=founding)
        self.durability.queue_identity(self.identity)
        if founding is not None:
            require(not len(self.log), "a group is founded on an empty log")
            self.log = EntryLog(base=self.log.base, members=founding)

    def advance_commit_index(self, index: LogIndex) -> None:
        """Advance the commit index."""
        require(index >= self.commit_index, "the commit index never goes back")
        require(index <= self.log.last.index, "only entries in the log are committed")
        self.commit_index = index
        self.durability.queue_commit_index(index)

    def truncate(self, index: LogIndex) -> None:
        """Remove the entries from an index on, which conflict with the leader's."""
        require(index > self.commit_index, "committed entries are never truncated")
        self.log.truncate(index)
        self.durability.note_truncation(index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log with the leader's snapshot."""
        require(snapshot.index > self.commit_index, "a snapshot never lowers the commit index")
        self.durability.queue_log_replacement(snapshot, commit_index=self.commit_index)
        self.log = EntryLog(
            base=EntryId(index=snapshot.index, term=snapshot.term), members=snapshot.members
        )
        self.snapshot = snapshot
        self.commit_index = snapshot.index
        self.durability.queue_commit_index(self.commit_index)

    def finish_write(self, number: int) -> None:
        """Record that a write has been synced, and send the messages that waited for it."""
        for send in self.durability.finish(number, self.log):
            self._release(send)

    def next_write(self, now: float) -> Write | SaveSnapshot | None:
        """Return the next write to perform, None if there is none."""
        return self.durability.next_write(self.log, now)

    def sender_storage_matches(self, message: Header) -> bool:
        """Return whether the sender's storage number is the one in the membership.

        Also true for a sender that is not a member.
        """
        listed = self.members.find(message.sender)
        return listed is None or listed.storage == message.storage

    def _release(self, send: Send) -> None:
        if send.to.id == self.id:
            self._self_messages.append(send.message)
        else:
            self.emit(send)


def _build_log(recovered: RecoveredState) -> EntryLog:
    snapshot = recovered.snapshot
    if snapshot is None:
        founding = recovered.identity.founding or Membership()
        log = EntryLog(base=EntryId(index=LogIndex(0), term=0), members=founding)
    else:
        base = EntryId(index=snapshot.index, term=snapshot.term)
        log = EntryLog(base=base, members=snapshot.members)
    log.extend(recovered.entries)
    return log
