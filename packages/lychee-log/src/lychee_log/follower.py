"""What a replica does while it follows a leader."""

from lychee_log.effects import Restore
from lychee_log.election import Election
from lychee_log.messages import AppendReply, AppendRequest, Header, InstallSnapshot
from lychee_log.records import ReplicaAddress, Snapshot
from lychee_log.state import Role, State
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex

NONE = LogIndex(0)


class Follower:
    """A follower's decisions.

    :param state: the replica's state.
    :param election: timers and promises.
    """

    def __init__(self, *, state: State, election: Election) -> None:
        self._state = state
        self._election = election
        self._verified = LogIndex(0)
        self._acknowledged = LogIndex(0)
        self._sent = 0.0
        self._restoring: Snapshot | None = None

    @property
    def is_restoring(self) -> bool:
        """Return whether the machine waits for a snapshot that is being stored."""
        return self._restoring is not None

    def enter_term(self) -> None:
        """Forget what the last term's leader has verified."""
        self._verified = LogIndex(0)
        self._acknowledged = LogIndex(0)
        self._sent = 0.0

    def append(self, request: AppendRequest, now: float) -> None:
        """Take over the leader's entries."""
        state = self._state
        self._hear(request, now)
        retry_from = self._retry_from(request)
        if retry_from:
            self._reply(request.origin, request.sent, retry_from=retry_from)
            return
        if state.fault is not None and request.entries:
            return
        self._take(request)
        upto = LogIndex(request.prev_index + len(request.entries))
        self._verified = max(self._verified, upto)
        state.commit_to(max(state.commit, min(request.commit, upto)))
        self._sent = max(self._sent, request.sent)
        if not request.entries or state.durability.durable >= upto:
            self._acknowledge()

    def install(self, request: InstallSnapshot, now: float) -> None:
        """Take over the leader's snapshot."""
        state = self._state
        self._hear(request, now)
        if state.fault is not None:
            return
        snapshot = request.snapshot
        if snapshot.index > state.commit:
            if state.log.term_at(snapshot.index) == snapshot.term:
                state.commit_to(snapshot.index)
            else:
                state.install(snapshot)
                self._restoring = snapshot
        self._verified = max(self._verified, snapshot.index)
        self._sent = max(self._sent, request.sent)
        self._acknowledge()

    def note_written(self) -> None:
        """Acknowledge what has been synced since."""
        if self._verified > self._acknowledged and self._state.leader is not None:
            self._acknowledge()

    def take_restore(self) -> Restore | None:
        """Return the snapshot for the machine once it is on disk."""
        snapshot = self._restoring
        if snapshot is None or self._state.durability.durable < snapshot.index:
            return None
        self._restoring = None
        return Restore(snapshot=snapshot)

    def _hear(self, request: Header, now: float) -> None:
        state = self._state
        require(state.role is not Role.LEADER, "a term has one leader")
        require(state.leader is None or state.leader.id == request.sender, "a term has one leader")
        state.role = Role.FOLLOWER
        state.leader = request.origin
        self._election.hear_leader(now)

    def _retry_from(self, request: AppendRequest) -> LogIndex:
        log = self._state.log
        if request.prev_index <= self._state.commit:
            return LogIndex(0)
        term = log.term_at(request.prev_index)
        if term is None:
            return LogIndex(log.last.index + 1)
        if term != request.prev_term:
            first = log.first_of_term(request.prev_index)
            return max(first, LogIndex(self._state.commit + 1))
        return LogIndex(0)

    def _take(self, request: AppendRequest) -> None:
        state = self._state
        for entry in request.entries:
            if entry.index <= state.log.base.index:
                continue
            term = state.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                state.truncate(entry.index)
            state.log.append(entry)

    def _acknowledge(self) -> None:
        state = self._state
        if state.leader is None:
            return
        self._acknowledged = min(self._verified, state.durability.durable)
        self._reply(state.leader, self._sent)

    def _reply(self, to: ReplicaAddress, sent: float, *, retry_from: LogIndex = NONE) -> None:
        match = LogIndex(0) if retry_from else self._acknowledged
        reply = self._state.build(AppendReply, to, match=match, retry_from=retry_from, sent=sent)
        self._state.send_state_synced(to, reply)
