"""The state that a replica has in every role."""

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
    Recovered,
    ReplicaAddress,
    Snapshot,
)
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint

M = TypeVar("M", bound=Header)


class Role(Enum):
    """What a replica is doing."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class State:
    """Identity, term, log and commit index, and the effects not yet taken.

    :param endpoint: this replica's address.
    :param recovered: what was found in the data folder.
    """

    def __init__(self, *, endpoint: Endpoint, recovered: Recovered) -> None:
        self.identity = recovered.identity
        self.me = ReplicaAddress(
            id=recovered.identity.replica,
            endpoint=endpoint,
            storage=recovered.identity.storage,
        )
        self.hard_state = recovered.hard_state
        self.snapshot = recovered.snapshot
        self.log = _recovered_log(recovered)
        base = self.log.base.index
        known = min(recovered.committed, self.log.last.index)
        self.commit: LogIndex = max(base, known)
        self.applied: LogIndex = LogIndex(0)
        self.durability = Durability(durable=self.log.last.index, committed=self.commit)
        self.role = Role.FOLLOWER
        self.leader: ReplicaAddress | None = None
        self.fault: str | None = None
        self._effects: list[Effect] = []
        self._to_self: list[PeerMessage] = []

    @property
    def id(self) -> ReplicaId:
        """Return this replica's id."""
        return self.me.id

    @property
    def term(self) -> int:
        """Return the latest term seen."""
        return self.hard_state.term

    @property
    def members(self) -> Membership:
        """Return the membership in force."""
        return self.log.members

    @property
    def may_be_voter(self) -> bool:
        """Return whether this replica votes by a membership that may be the committed one."""
        possible = self.log.members_since(self.commit)
        return any(members.is_voter(self.id) for members in possible)

    @property
    def is_voter(self) -> bool:
        """Return whether this replica votes by the membership in force."""
        return self.members.is_voter(self.id)

    @property
    def synced_commit(self) -> LogIndex:
        """Return the last committed index that is on this replica's disk."""
        return min(self.commit, self.durability.durable)

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def take_effects(self) -> tuple[Effect, ...]:
        """Return the effects since the last call, in order."""
        effects, self._effects = tuple(self._effects), []
        return effects

    def take_own_messages(self) -> tuple[PeerMessage, ...]:
        """Return the messages to this replica itself since the last call."""
        messages, self._to_self = tuple(self._to_self), []
        return messages

    def build(
        self, kind: type[M], to: ReplicaAddress, *, term: int | None = None, **fields: Any
    ) -> M:
        """Return a message from this replica.

        :param kind: its class.
        :param to: the receiver.
        :param term: the term it carries, None for this replica's.
        :param fields: the fields besides the header.
        """
        return kind(
            sender=self.id,
            endpoint=self.me.endpoint,
            storage=self.me.storage,
            to=to.id,
            to_storage=to.storage,
            group=self.identity.group,
            term=self.term if term is None else term,
            **fields,
        )

    def send(self, to: ReplicaAddress, message: Any) -> None:
        """Send a message at once."""
        self.emit(Send(to=to, message=message))

    def send_synced(self, to: ReplicaAddress, message: Any) -> None:
        """Send a message once all that is to be written now has been synced."""
        send = Send(to=to, message=message)
        if not self.durability.hold(send, last=self.log.last.index):
            self._release(send)

    def send_state_synced(self, to: ReplicaAddress, message: Any) -> None:
        """Send a message once identity, term and vote have been synced; entries may follow."""
        if self.durability.is_state_synced:
            self.send(to, message)
        else:
            self.send_synced(to, message)

    def set_term(self, term: int, *, vote: ReplicaId | None) -> None:
        """Enter a term, or vote in the current one."""
        now = self.hard_state
        require(term >= now.term, "terms never go down")
        require(term > now.term or now.vote in (None, vote), "one vote per term")
        if term == now.term and now.vote == vote:
            return
        self.hard_state = HardState(term=term, vote=vote)
        self.durability.keep_hard_state(self.hard_state)

    def join_group(self, group: GroupId, *, founding: Membership | None) -> None:
        """Belong to a group from now on."""
        require(self.identity.group == 0, "a replica joins one group only")
        self.identity = replace(self.identity, group=group, founding=founding)
        self.durability.keep_identity(self.identity)
        if founding is not None:
            require(not len(self.log), "a group is founded on an empty log")
            self.log = EntryLog(base=self.log.base, members=founding)

    def commit_to(self, index: LogIndex) -> None:
        """Move the commit index forwards."""
        require(index >= self.commit, "the commit index never goes back")
        require(index <= self.log.last.index, "only entries in the log are committed")
        self.commit = index
        self.durability.keep_commit(index)

    def truncate(self, index: LogIndex) -> None:
        """Drop entries that a leader has replaced, from an index on."""
        require(index > self.commit, "committed entries are never truncated")
        self.log.truncate(index)
        self.durability.truncated(index)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by the leader's snapshot."""
        require(snapshot.index > self.commit, "a snapshot never takes the commit index back")
        self.durability.replace_log(snapshot, committed=self.commit)
        self.log = EntryLog(
            base=EntryId(index=snapshot.index, term=snapshot.term), members=snapshot.members
        )
        self.snapshot = snapshot
        self.commit = snapshot.index
        self.durability.keep_commit(self.commit)

    def finish_write(self, number: int) -> None:
        """Take note that a write has been synced."""
        for send in self.durability.finish(number, self.log):
            self._release(send)

    def next_write(self, now: float) -> Write | SaveSnapshot | None:
        """Return the next write if there is one."""
        return self.durability.next_write(self.log, now)

    def storage_matches(self, message: Header) -> bool:
        """Return whether the sender has the storage that the membership knows it by."""
        listed = self.members.find(message.sender)
        return listed is None or listed.storage == message.storage

    def _release(self, send: Send) -> None:
        if send.to.id == self.id:
            self._to_self.append(send.message)
        else:
            self.emit(send)


def _recovered_log(recovered: Recovered) -> EntryLog:
    snapshot = recovered.snapshot
    if snapshot is None:
        founding = recovered.identity.founding or Membership()
        log = EntryLog(base=EntryId(index=LogIndex(0), term=0), members=founding)
    else:
        base = EntryId(index=snapshot.index, term=snapshot.term)
        log = EntryLog(base=base, members=snapshot.members)
    log.extend(recovered.entries)
    return log
