"""The protocol of one replica, without I/O: takes events with their time and returns effects.

Implements Raft with pre-vote, leader step-down on a lost quorum, leader leases and single-server
membership changes.
"""

from collections.abc import Sequence
from random import Random

from expression import Error, Ok, Result

from lychee_log.bounds import LogBounds
from lychee_log.candidate import Candidate
from lychee_log.effects import (
    Applied,
    Apply,
    DiskFull,
    Effect,
    Event,
    LeadershipLost,
    Received,
    RestoreSnapshot,
    SnapshotTaken,
    Tick,
    Written,
)
from lychee_log.election import Election
from lychee_log.follower import Follower
from lychee_log.founding import lost_storage_error
from lychee_log.introductions import Introductions
from lychee_log.leader import Leader
from lychee_log.membership import check_change, pending_change_error
from lychee_log.messages import (
    AppendReply,
    AppendRequest,
    HandOver,
    Hello,
    InstallSnapshot,
    PeerMessage,
    VoteReply,
    VoteRequest,
)
from lychee_log.records import (
    EntryId,
    GroupId,
    Membership,
    RecoveredState,
    ReplicaAddress,
    Snapshot,
)
from lychee_log.state import RaftState, Role
from lychee_types.exceptions import LycheeError, NotLeaderError, require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

APPLY_BATCH = 256
"""Maximum number of entries that the state machine applies before other events are handled."""

WRITE_STALL_S = 1.5
"""Time after which an unfinished write is treated as a disk fault, in seconds."""

KEPT_ENTRIES = 1_000
"""Maximum number of entries before a snapshot that stay in the log for peers slightly behind."""


class Core:
    """The protocol state machine of one replica.

    :param endpoint: this replica's address.
    :param recovered: the state read from the data folder.
    :param initial_voters: the voters of a new group; empty for a replica that joins one.
    :param timing: timing parameters.
    :param seed: seed of the random timeouts and of the group's number.
    :param now: current monotonic time in seconds.
    :param bounds: bounds on what is held of the log, None for the default.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        recovered: RecoveredState,
        initial_voters: tuple[ReplicaAddress, ...],
        timing: Timing,
        seed: int,
        now: float,
        bounds: LogBounds | None = None,
    ) -> None:
        self._bounds = bounds or LogBounds()
        self.state = RaftState(endpoint=endpoint, recovered=recovered)
        self._timing = timing
        self._random = Random(seed)
        has_no_group = recovered.identity.group == 0
        block_votes_s = 0.0 if has_no_group else timing.election_ms / 1_000
        self._election = Election(
            timing=timing, seed=self._random.getrandbits(63), now=now, block_votes_s=block_votes_s
        )
        self._candidate = Candidate(state=self.state, election=self._election)
        self._follower = Follower(state=self.state, election=self._election)
        self._introductions = Introductions(
            state=self.state,
            election=self._election,
            initial_voters=initial_voters,
            heartbeat_s=timing.heartbeat_ms / 1_000,
        )
        self._leader: Leader | None = None
        self._is_applying = False
        self._recovered_commit_index = self.state.commit_index
        if recovered.snapshot is not None:
            self._is_applying = True
            self.state.emit(RestoreSnapshot(snapshot=recovered.snapshot))
        if self.state.members.voters == (self.state.own_address,):
            self._election.deadline = now

    @property
    def is_ready_leader(self) -> bool:
        """Return whether this replica leads and its state machine is current."""
        return self._leader is not None and self._leader.is_ready

    @property
    def leader(self) -> Leader | None:
        """Return the leader role, None unless this replica leads."""
        return self._leader

    @property
    def joining_replica(self) -> ReplicaAddress | None:
        """Return the replica that answered :meth:`request_storage_id`, with its storage number."""
        return self._introductions.joining_replica

    @property
    def missing_voters(self) -> tuple[ReplicaId, ...]:
        """Return the initial voters whose storage number a replica without a group still lacks."""
        return self._introductions.missing_voters

    def lease_expires_at(self, now: float) -> float:
        """Return the time until which no other replica can be elected.

        0.0 if this replica does not lead.

        :param now: current monotonic time in seconds.
        """
        return self._leader.lease_expires_at(now) if self._leader and self.is_ready_leader else 0.0

    def confirmed_at(self, now: float) -> float:
        """Return the time as of which the state machine holds everything acknowledged.

        0.0 if it was never known to since this replica started.

        :param now: current monotonic time in seconds.
        """
        if now < self.lease_expires_at(now):
            return now
        return self._follower.confirmed_at

    def step(self, event: Event, now: float) -> tuple[Effect, ...]:
        """Handle an event and return the resulting effects."""
        self.handle(event, now)
        return self.flush(now)

    def handle(self, event: Event, now: float) -> None:
        """Handle an event; :meth:`flush` returns the resulting effects.

        :raises InvariantError: if an invariant of the protocol is violated.
        :raises LostStorageError: if the membership lists this replica with another storage number.
        """
        match event:
            case Tick():
                self._tick(now)
            case Received(message=message):
                self._receive(message, now)
            case Written(number=number):
                self.state.disk_fault = None
                self.state.finish_write(number)
                self._follower.acknowledge_synced(now)
            case DiskFull(reason=reason):
                self._step_down_on_disk_fault(reason, now)
            case Applied(index=index):
                self._handle_applied(index)
            case SnapshotTaken(snapshot=snapshot):
                self._adopt_snapshot(snapshot)

    def flush(self, now: float) -> tuple[Effect, ...]:
        """Return the effects of all events since the last call, in order."""
        self._receive_self_messages(now)
        if self._leader is not None:
            self._leader.advance_commit()
            self._leader.replicate(now)
            if self._leader.is_removed():
                self._step_down(now)
        write = self.state.next_write(now)
        if write is not None:
            self.state.emit(write)
        self._apply_next()
        self._check_invariants()
        return self.state.take_effects()

    def propose(self, batch: Sequence[bytes]) -> Result[EntryId, LycheeError]:
        """Append proposals if this replica leads, and return the id of the first entry."""
        if self._leader is None:
            return Error(self._not_leader())
        return Ok(self._leader.propose(batch))

    def change_members(self, members: Membership) -> Result[EntryId, LycheeError]:
        """Append a membership change if this replica leads and the change is allowed."""
        state = self.state
        if self._leader is None:
            return Error(self._not_leader())
        if not self.is_ready_leader or state.log.members_index > state.commit_index:
            return Error(pending_change_error())
        return check_change(old=state.members, new=members).map(self._leader.change_members)

    def build_snapshot(self, index: LogIndex, data: bytes) -> Snapshot | None:
        """Return a snapshot of the state machine, None if the log no longer holds the entry.

        :param index: index of the last applied entry.
        :param data: the serialized state machine.
        """
        log = self.state.log
        term = log.term_at(index)
        if term is None:
            return None
        return Snapshot(index=index, term=term, members=log.members_at(index), data=data)

    def hand_over(self, now: float) -> ReplicaAddress | None:
        """Give up the leadership and its lease, and ask another voter to stand for election.

        Only if all entries are committed and a voter holds them.

        :param now: current monotonic time in seconds.
        :return: the voter, None if nothing was changed.
        """
        state = self.state
        if self._leader is None or not self._leader.is_ready:
            return None
        if state.commit_index < state.log.last.index:
            return None
        successor = self._leader.successor(now)
        if successor is None:
            return None
        self._step_down(now)
        state.send(successor, state.build_message(HandOver, successor))
        return successor

    def request_storage_id(self, replica: ReplicaAddress) -> None:
        """Ask a replica that is about to join for its storage number."""
        self._introductions.request_storage_id(replica)

    def is_caught_up(self, replica: ReplicaId, now: float) -> bool:
        """Return whether a member holds all committed entries; False unless this replica leads."""
        return self._leader is not None and self._leader.is_caught_up(replica, now)

    def _new_group_id(self) -> GroupId:
        return GroupId(self._random.getrandbits(62) + 1)

    def _not_leader(self) -> NotLeaderError:
        leader = self.state.leader
        return NotLeaderError(leader=leader.id if leader else None)

    def _tick(self, now: float) -> None:
        if (
            self.state.disk_fault is None
            and self.state.durability.current_write_s(now) > WRITE_STALL_S
        ):
            self._step_down_on_disk_fault("the disk does not finish a write", now)
        if self.state.identity.group == 0:
            self._introductions.try_bootstrap(now, group=self._new_group_id())
        elif self._leader is not None:
            if self._leader.has_lost_quorum(now):
                self._step_down(now)
        elif now >= self._election.deadline:
            if self._candidate.can_start_election:
                self._follower.reset_for_term()
                self._candidate.start_pre_vote(now)
            else:
                self.state.leader = None
                self._election.restart_timer(now)

    def _receive(self, message: PeerMessage, now: float) -> None:
        if message.to != self.state.id:
            return
        if message.to_storage not in (0, self.state.own_address.storage):
            raise lost_storage_error(self.state.id)
        match message:
            case Hello():
                self._introductions.handle_hello(message, now)
            case _ if self._is_from_group(message):
                self._receive_from_group(message, now)

    def _receive_from_group(self, message: PeerMessage, now: float) -> None:
        match message:
            case VoteRequest():
                self._handle_vote_request(message, now)
            case VoteReply():
                self._handle_vote_reply(message, now)
            case AppendRequest() | InstallSnapshot():
                self._handle_leader_message(message, now)
            case HandOver():
                self._handle_hand_over(message, now)
            case AppendReply():
                self._observe_term(message.term, now)
                if self._leader is not None and message.term == self.state.term:
                    self._leader.handle_reply(message, now)

    def _is_from_group(self, message: PeerMessage) -> bool:
        state = self.state
        if state.identity.group == 0 and isinstance(message, AppendRequest | InstallSnapshot):
            if message.to_storage != state.own_address.storage or message.group == 0:
                return False
            state.join_group(message.group, founding=None)
        return message.group == state.identity.group and state.sender_storage_matches(message)

    def _handle_vote_request(self, request: VoteRequest, now: float) -> None:
        is_promised = self._election.are_votes_blocked(now) and not request.handed_over
        is_vote_blocked = self._leader is not None or is_promised
        if not request.pre and request.term > self.state.term:
            if is_vote_blocked:
                return
            self._observe_term(request.term, now)
        self._candidate.answer_vote_request(request, now)

    def _handle_hand_over(self, message: HandOver, now: float) -> None:
        state = self.state
        is_follower = state.role is Role.FOLLOWER and state.disk_fault is None
        if message.term != state.term or not is_follower or not state.is_voter:
            return
        if state.leader is None or state.leader.id != message.sender:
            return
        self._follower.reset_for_term()
        self._candidate.start_election(now, handed_over=True)

    def _handle_vote_reply(self, reply: VoteReply, now: float) -> None:
        if not reply.granted:
            self._observe_term(reply.term, now)
        elif self._candidate.count_vote(reply):
            if reply.pre:
                self._candidate.start_election(now)
            else:
                self._become_leader(now)

    def _handle_leader_message(self, request: AppendRequest | InstallSnapshot, now: float) -> None:
        state = self.state
        if request.term < state.term:
            rejection = state.build_message(
                AppendReply, request.sender_address, match=LogIndex(0), sent=0.0
            )
            state.send_after_state_sync(request.sender_address, rejection)
            return
        self._observe_term(request.term, now)
        if isinstance(request, AppendRequest):
            self._follower.handle_append(request, now)
        else:
            self._follower.handle_snapshot(request, now)

    def _step_down_on_disk_fault(self, reason: str, now: float) -> None:
        self.state.disk_fault = reason
        self._step_down(now)

    def _observe_term(self, term: int, now: float) -> None:
        if term <= self.state.term:
            return
        self._step_down(now)
        self.state.set_term(term, vote=None)
        self.state.role = Role.FOLLOWER
        self.state.leader = None
        self._follower.reset_for_term()

    def _step_down(self, now: float) -> None:
        leader = self._leader
        if leader is not None:
            self._election.block_votes_until(leader.lease_expires_at(now))
            self._leader = None
            leader_term = leader.leadership.term
            self.state.emit(LeadershipLost(term=leader_term, was_ready=leader.is_ready))
            self.state.leader = None
            self._election.restart_timer(now)
        self.state.role = Role.FOLLOWER

    def _become_leader(self, now: float) -> None:
        state = self.state
        state.role = Role.LEADER
        state.leader = state.own_address
        self._follower.reset_for_term()
        self._leader = Leader(
            state=state,
            timing=self._timing,
            now=now,
            in_flight_bytes=self._bounds.in_flight_bytes,
        )

    def _receive_self_messages(self, now: float) -> None:
        for message in self.state.take_self_messages():
            self._receive(message, now)

    def _apply_next(self) -> None:
        state = self.state
        if self._is_applying:
            return
        restore = self._follower.take_restore()
        if restore is not None:
            self._is_applying = True
            state.emit(restore)
            return
        if self._follower.is_restoring or state.applied_index >= state.durable_commit_index:
            return
        start = LogIndex(state.applied_index + 1)
        # After a restart, apply all entries that were known to be committed in one batch: until
        # then, reads of the state machine would return outdated state.
        end = LogIndex(
            min(
                state.durable_commit_index,
                max(state.applied_index + APPLY_BATCH, self._recovered_commit_index),
            )
        )
        self._is_applying = True
        state.emit(Apply(entries=state.log.slice(start=start, end=end)))

    def _handle_applied(self, index: LogIndex) -> None:
        require(index >= self.state.applied_index, "the applied index never goes back")
        self.state.applied_index = index
        self._follower.note_applied(index)
        self._is_applying = False
        if self._leader is not None:
            self._leader.on_applied()

    def _adopt_snapshot(self, snapshot: Snapshot) -> None:
        state = self.state
        matches_log = state.log.term_at(snapshot.index) == snapshot.term
        is_later = state.snapshot is None or snapshot.index > state.snapshot.index
        if not (matches_log and is_later) or state.durability.is_saving_snapshot:
            return
        if self._follower.is_restoring:
            return
        require(snapshot.index <= state.applied_index, "only applied entries are in a snapshot")
        keep_from = state.log.first_within(
            snapshot.index, max_entries=KEPT_ENTRIES, max_bytes=self._bounds.kept_bytes
        )
        state.snapshot = snapshot
        state.durability.queue_snapshot(snapshot, keep_from=keep_from)

    def _check_invariants(self) -> None:
        state = self.state
        require(state.applied_index <= state.commit_index, "only committed entries are applied")
        require(state.commit_index <= state.log.last.index, "only entries in the log are committed")
