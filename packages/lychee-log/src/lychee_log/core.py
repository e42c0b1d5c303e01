"""The decisions of a replica, without I/O: events and times go in, effects come out.

The rules are those of Raft with pre-votes, a check of the leader's quorum, leader leases and
changes of one voter at a time.
"""

from collections.abc import Sequence
from random import Random

from expression import Error, Ok, Result

from lychee_log.candidate import Candidate
from lychee_log.effects import (
    Applied,
    Apply,
    Effect,
    Event,
    Received,
    Restore,
    SnapshotTaken,
    StopLeading,
    Tick,
    WriteRefused,
    Written,
)
from lychee_log.election import Election
from lychee_log.follower import Follower
from lychee_log.founding import Founding, lost_storage
from lychee_log.leader import Leader
from lychee_log.membership import check_change, pending_change
from lychee_log.messages import (
    AppendReply,
    AppendRequest,
    Hello,
    InstallSnapshot,
    PeerMessage,
    VoteReply,
    VoteRequest,
)
from lychee_log.records import EntryId, GroupId, Membership, Recovered, ReplicaAddress, Snapshot
from lychee_log.state import Role, State
from lychee_types.exceptions import LycheeError, NotLeaderError, require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

APPLY_BATCH = 256
"""Number of entries that the machine applies before other events are looked at."""

WRITE_STALL_S = 1.5
"""Time after which a write that is not finished counts as a fault of the disk, in seconds."""

KEPT_ENTRIES = 1_000
"""Number of entries before a snapshot that stay in the log for peers a little behind."""


class Core:
    """One replica's decisions.

    :param endpoint: this replica's address.
    :param recovered: what was found in the data folder.
    :param first: the first voters; empty for a replica that joins a group.
    :param timing: time limits.
    :param seed: seed of random timeouts and of the group's number.
    :param now: monotonic seconds.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        recovered: Recovered,
        first: tuple[ReplicaAddress, ...],
        timing: Timing,
        seed: int,
        now: float,
    ) -> None:
        self.state = State(endpoint=endpoint, recovered=recovered)
        self._timing = timing
        self._random = Random(seed)
        is_new = recovered.identity.group == 0
        promised_s = 0.0 if is_new else timing.election_ms / 1_000
        self._election = Election(
            timing=timing, seed=self._random.getrandbits(63), now=now, promised_s=promised_s
        )
        self._candidate = Candidate(state=self.state, election=self._election)
        self._follower = Follower(state=self.state, election=self._election)
        self._founding = Founding(me=self.state.me, first=first)
        self._leader: Leader | None = None
        self._greeted_at = 0.0
        self._newcomer: ReplicaAddress | None = None
        self._is_applying = False
        self._recovered = self.state.commit
        if recovered.snapshot is not None:
            self._is_applying = True
            self.state.emit(Restore(snapshot=recovered.snapshot))
        if self.state.members.voters == (self.state.me,):
            self._election.deadline = now

    @property
    def leads(self) -> bool:
        """Return whether this replica leads and its machine is current."""
        return self._leader is not None and self._leader.is_ready

    @property
    def leader(self) -> Leader | None:
        """Return the leader's decisions while this replica leads."""
        return self._leader

    @property
    def newcomer(self) -> ReplicaAddress | None:
        """Return the replica that answered :meth:`greet`, with its storage number."""
        return self._newcomer

    @property
    def missing(self) -> tuple[ReplicaId, ...]:
        """Return the first voters not heard yet by a replica without a group."""
        return self._founding.missing if self.state.identity.group == 0 else ()

    def leads_until(self, now: float) -> float:
        """Return until when no other leader can have been elected, 0.0 if not the leader."""
        return self._leader.leads_until(now) if self._leader and self.leads else 0.0

    def step(self, event: Event, now: float) -> tuple[Effect, ...]:
        """Handle an event and return all that follows from it."""
        self.handle(event, now)
        return self.flush(now)

    def handle(self, event: Event, now: float) -> None:
        """Handle an event; :meth:`flush` returns what follows.

        :raises InvariantError: if a condition that must always hold does not.
        :raises LostStorageError: if the group knows this replica with other storage.
        """
        match event:
            case Tick():
                self._tick(now)
            case Received(message=message):
                self._receive(message, now)
            case Written(number=number):
                self.state.fault = None
                self.state.finish_write(number)
                self._follower.note_written()
            case WriteRefused(reason=reason):
                self._refuse_work(reason, now)
            case Applied(index=index):
                self._note_applied(index)
            case SnapshotTaken(snapshot=snapshot):
                self._keep_snapshot(snapshot)

    def flush(self, now: float) -> tuple[Effect, ...]:
        """Return the effects of the events since the last call, in order."""
        self._receive_own(now)
        if self._leader is not None:
            self._leader.advance_commit()
            self._leader.replicate(now)
            if self._leader.is_removed():
                self._step_down(now)
        write = self.state.next_write(now)
        if write is not None:
            self.state.emit(write)
        self._apply_next()
        self._check()
        return self.state.take_effects()

    def propose(self, batch: Sequence[bytes]) -> Result[EntryId, LycheeError]:
        """Append proposals if this replica leads; return the first entry's identity."""
        if self._leader is None:
            return Error(self._not_leader())
        return Ok(self._leader.propose(batch))

    def change_members(self, members: Membership) -> Result[EntryId, LycheeError]:
        """Append a membership if this replica leads and the change is allowed."""
        state = self.state
        if self._leader is None:
            return Error(self._not_leader())
        if not self.leads or state.log.members_index > state.commit:
            return Error(pending_change())
        return check_change(old=state.members, new=members).map(self._leader.change_members)

    def snapshot_at(self, index: LogIndex, data: bytes) -> Snapshot | None:
        """Return a snapshot of the machine, None if the log no longer knows the entry.

        :param index: the last applied entry.
        :param data: the machine's state.
        """
        log = self.state.log
        term = log.term_at(index)
        if term is None:
            return None
        return Snapshot(index=index, term=term, members=log.members_at(index), data=data)

    def greet(self, newcomer: ReplicaAddress) -> None:
        """Ask a replica that is to join for its storage number."""
        self._newcomer = None
        self._say_hello(newcomer, wants_reply=True)

    def is_caught_up(self, replica: ReplicaId, now: float) -> bool:
        """Return whether a member holds everything committed; only a leader knows."""
        return self._leader is not None and self._leader.is_caught_up(replica, now)

    def _not_leader(self) -> NotLeaderError:
        leader = self.state.leader
        return NotLeaderError(leader=leader.id if leader else None)

    def _tick(self, now: float) -> None:
        if self.state.fault is None and self.state.durability.writing_s(now) > WRITE_STALL_S:
            self._refuse_work("the disk does not finish a write", now)
        if self.state.identity.group == 0:
            self._found(now)
        elif self._leader is not None:
            if self._leader.has_lost_quorum(now):
                self._step_down(now)
        elif now >= self._election.deadline:
            if self._candidate.may_stand:
                self._follower.enter_term()
                self._candidate.ask_first(now)
            else:
                self.state.leader = None
                self._election.restart_timer(now)

    def _receive(self, message: PeerMessage, now: float) -> None:
        if message.to != self.state.id:
            return
        if message.to_storage not in (0, self.state.me.storage):
            raise lost_storage(self.state.id)
        match message:
            case Hello():
                self._hear_hello(message, now)
            case _ if self._is_from_group(message):
                self._receive_from_group(message, now)

    def _receive_from_group(self, message: PeerMessage, now: float) -> None:
        match message:
            case VoteRequest():
                self._hear_vote_request(message, now)
            case VoteReply():
                self._hear_vote_reply(message, now)
            case AppendRequest() | InstallSnapshot():
                self._hear_leader(message, now)
            case AppendReply():
                self._note_term(message.term, now)
                if self._leader is not None and message.term == self.state.term:
                    self._leader.hear(message, now)

    def _is_from_group(self, message: PeerMessage) -> bool:
        state = self.state
        if state.identity.group == 0 and isinstance(message, AppendRequest | InstallSnapshot):
            if message.to_storage != state.me.storage or message.group == 0:
                return False
            state.join_group(message.group, founding=None)
        return message.group == state.identity.group and state.storage_matches(message)

    def _hear_vote_request(self, request: VoteRequest, now: float) -> None:
        binds = self._leader is not None or self._election.has_promised(now)
        if not request.pre and request.term > self.state.term:
            if binds:
                return
            self._note_term(request.term, now)
        self._candidate.answer(request, now)

    def _hear_vote_reply(self, reply: VoteReply, now: float) -> None:
        if not reply.granted:
            self._note_term(reply.term, now)
        elif self._candidate.count(reply):
            if reply.pre:
                self._candidate.stand(now)
            else:
                self._lead(now)

    def _hear_leader(self, request: AppendRequest | InstallSnapshot, now: float) -> None:
        state = self.state
        if request.term < state.term:
            refusal = state.build(AppendReply, request.origin, match=LogIndex(0), sent=0.0)
            state.send_state_synced(request.origin, refusal)
            return
        self._note_term(request.term, now)
        if isinstance(request, AppendRequest):
            self._follower.append(request, now)
        else:
            self._follower.install(request, now)

    def _refuse_work(self, fault: str, now: float) -> None:
        self.state.fault = fault
        self._step_down(now)

    def _note_term(self, term: int, now: float) -> None:
        if term <= self.state.term:
            return
        self._step_down(now)
        self.state.set_term(term, vote=None)
        self.state.role = Role.FOLLOWER
        self.state.leader = None
        self._follower.enter_term()

    def _step_down(self, now: float) -> None:
        leader = self._leader
        if leader is not None:
            self._election.promise(leader.leads_until(now))
            self._leader = None
            term = leader.leadership.term
            self.state.emit(StopLeading(term=term, was_ready=leader.is_ready))
            self.state.leader = None
            self._election.restart_timer(now)
        self.state.role = Role.FOLLOWER

    def _lead(self, now: float) -> None:
        state = self.state
        state.role = Role.LEADER
        state.leader = state.me
        self._follower.enter_term()
        self._leader = Leader(state=state, timing=self._timing, now=now)

    def _receive_own(self, now: float) -> None:
        for message in self.state.take_own_messages():
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
        if self._follower.is_restoring or state.applied >= state.synced_commit:
            return
        start = LogIndex(state.applied + 1)
        # After a start all at once: whoever asks sooner would get a state of long ago.
        end = LogIndex(min(state.synced_commit, max(state.applied + APPLY_BATCH, self._recovered)))
        self._is_applying = True
        state.emit(Apply(entries=state.log.slice(start=start, end=end)))

    def _note_applied(self, index: LogIndex) -> None:
        require(index >= self.state.applied, "the applied index never goes back")
        self.state.applied = index
        self._is_applying = False
        if self._leader is not None:
            self._leader.note_applied()

    def _keep_snapshot(self, snapshot: Snapshot) -> None:
        state = self.state
        is_known = state.log.term_at(snapshot.index) == snapshot.term
        is_later = state.snapshot is None or snapshot.index > state.snapshot.index
        if not (is_known and is_later) or state.durability.is_saving_snapshot:
            return
        if self._follower.is_restoring:
            return
        require(snapshot.index <= state.applied, "only applied entries are in a snapshot")
        keep_from = LogIndex(max(1, snapshot.index - KEPT_ENTRIES))
        state.snapshot = snapshot
        state.durability.keep_snapshot(snapshot, keep_from=keep_from)

    def _check(self) -> None:
        state = self.state
        require(state.applied <= state.commit, "only committed entries are applied")
        require(state.commit <= state.log.last.index, "only entries in the log are committed")

    def _found(self, now: float) -> None:
        members = self._founding.membership()
        if members is not None:
            group = GroupId(self._random.getrandbits(62) + 1)
            self.state.join_group(group, founding=members)
            self._election.deadline = now
        if now - self._greeted_at >= self._timing.heartbeat_ms / 1_000:
            self._greeted_at = now
            for voter in self._founding.others:
                self._say_hello(voter, wants_reply=members is None)

    def _hear_hello(self, hello: Hello, now: float) -> None:
        state = self.state
        if state.identity.group == 0:
            self._hear_hello_without_group(hello, now)
        elif hello.group == 0 and state.members.find(hello.sender) is None:
            self._newcomer = hello.origin
        if hello.wants_reply:
            self._say_hello(hello.origin, wants_reply=False)

    def _hear_hello_without_group(self, hello: Hello, now: float) -> None:
        if hello.group == 0:
            self._founding.hear(hello)
            return
        self._founding.check_against(hello)
        founding = hello.founding
        if founding is not None and self.state.me in founding.voters:
            self.state.join_group(hello.group, founding=founding)
            self._election.restart_timer(now)

    def _say_hello(self, to: ReplicaAddress, *, wants_reply: bool) -> None:
        state = self.state
        in_group = state.identity.group != 0
        hello = state.build(
            Hello,
            ReplicaAddress(id=to.id, endpoint=to.endpoint),
            founding=state.identity.founding,
            members=state.members if in_group else None,
            wants_reply=wants_reply,
        )
        state.send_state_synced(to, hello)
