"""A replica's state for operators."""

from msgspec import Struct

from lychee_log.core import Core
from lychee_log.records import GroupId, Membership, StorageId
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.operator_messages import (
    ReplicaState,
)

UNKNOWN_MS = -1
"""``silent_ms`` of a peer on a replica that is not the leader and gets no replies from it."""


class ReplicaDump(Struct, frozen=True, kw_only=True):
    """A replica's state for operators; its size is bounded by the number of members.

    :param id: the replica's id.
    :param storage: storage number of its data folder.
    :param group: number of its group, 0 if it belongs to none yet.
    :param role: leader, follower, candidate, pre-candidate or learner.
    :param term: the latest term seen.
    :param vote: the replica that it voted for in that term, None if it has not voted.
    :param leader: the leader, None if it is not known.
    :param leads: whether it leads and its state machine is current.
    :param first: index of the first log entry in memory.
    :param last: index of the last log entry.
    :param durable: index of the last log entry on disk.
    :param commit: the commit index.
    :param applied: index of the last applied entry.
    :param log_bytes: size of the entries in memory, in bytes.
    :param snapshot: index of the latest snapshot, 0 for none.
    :param members: the current membership.
    :param missing: initial voters whose storage number a replica without a group still lacks.
    :param fault: why the disk accepts no writes, None if it does.
    :param proposals: number of proposals without an outcome.
    :param inbox: number of queued events.
    :param replicas: the members' states as known to this replica.
    """

    id: ReplicaId
    storage: StorageId
    group: GroupId
    role: str
    term: int
    vote: ReplicaId | None
    leader: ReplicaId | None
    leads: bool
    first: LogIndex
    last: LogIndex
    durable: LogIndex
    commit: LogIndex
    applied: LogIndex
    log_bytes: int
    snapshot: LogIndex
    members: Membership
    missing: tuple[ReplicaId, ...]
    fault: str | None
    proposals: int
    inbox: int
    replicas: tuple[ReplicaState, ...]


def role_name(core: Core) -> str:
    """Return the role as shown to operators."""
    state = core.state
    return "learner" if state.members.is_learner(state.id) else state.role.value


def replica_states(core: Core, now: float) -> tuple[ReplicaState, ...]:
    """Return the members' states as known to this replica; only a leader tracks their progress."""
    state = core.state
    leadership = core.leader.leadership if core.leader is not None else None
    peers = leadership.peers if leadership is not None else {}
    states = []
    for member in state.members.all_members:
        role, match, silent_ms = "voter", LogIndex(0), UNKNOWN_MS
        if state.members.is_learner(member.id):
            role = "learner"
        if member.id == state.id:
            role, match, silent_ms = role_name(core), state.durability.durable_index, 0
        elif member.id in peers:
            peer = peers[member.id]
            role = "learner" if role == "learner" else "follower"
            # A new leader has no replies yet, which does not say that its peers are silent.
            heard_at = max(peer.last_reply_at, leadership.elected_at) if leadership else 0.0
            match, silent_ms = peer.match_index, int((now - heard_at) * 1_000)
        elif state.leader is not None and state.leader.id == member.id:
            role = "leader"
        states.append(
            ReplicaState(
                id=member.id,
                endpoint=member.endpoint,
                role=role,
                match=match,
                silent_ms=silent_ms,
            )
        )
    return tuple(states)


def dump_core(core: Core, now: float, *, proposals: int, inbox: int) -> ReplicaDump:
    """Return the dump of a replica.

    :param proposals: number of proposals without an outcome.
    :param inbox: number of queued events.
    """
    state = core.state
    return ReplicaDump(
        id=state.id,
        storage=state.own_address.storage,
        group=state.identity.group,
        role=role_name(core),
        term=state.term,
        vote=state.hard_state.vote,
        leader=state.leader.id if state.leader else None,
        leads=core.is_ready_leader,
        first=LogIndex(state.log.base.index + 1),
        last=state.log.last.index,
        durable=state.durability.durable_index,
        commit=state.commit_index,
        applied=state.applied_index,
        log_bytes=state.log.size,
        snapshot=state.snapshot.index if state.snapshot else LogIndex(0),
        members=state.members,
        missing=core.missing_voters,
        fault=state.disk_fault,
        proposals=proposals,
        inbox=inbox,
        replicas=replica_states(core, now),
    )
