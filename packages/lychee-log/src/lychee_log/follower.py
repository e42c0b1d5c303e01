"""The follower role of a replica."""

from lychee_log.confirmations import Confirmations
from lychee_log.effects import RestoreSnapshot
from lychee_log.election import Election
from lychee_log.messages import AppendReply, AppendRequest, Header, InstallSnapshot
from lychee_log.records import ReplicaAddress, Snapshot
from lychee_log.state import RaftState, Role
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex

NO_RETRY = LogIndex(0)


class Follower:
    """Handles the leader's entries and snapshots.

    :param state: the replica's state.
    :param election: election timer, which each message of the leader restarts.
    """

    def __init__(self, *, state: RaftState, election: Election) -> None:
        self._state = state
        self._election = election
        self._verified_index = LogIndex(0)
        self._acknowledged_index = LogIndex(0)
        self._leader_sent_at = 0.0
        self._snapshot_to_restore: Snapshot | None = None
        self._confirmations = Confirmations()

    @property
    def confirmed_at(self) -> float:
        """Return the time as of which the state machine holds everything acknowledged.

        0.0 if it was never known to.
        """
        return self._confirmations.confirmed_at

    @property
    def is_restoring(self) -> bool:
        """Return whether the state machine waits for a snapshot that is still being stored."""
        return self._snapshot_to_restore is not None

    def reset_for_term(self) -> None:
        """Discard the progress made under the previous term's leader."""
        self._verified_index = LogIndex(0)
        self._acknowledged_index = LogIndex(0)
        self._leader_sent_at = 0.0

    def handle_append(self, request: AppendRequest, now: float) -> None:
        """Append the leader's entries, or reject them if the preceding entry does not match."""
        state = self._state
        self._note_leader(request, now)
        retry_from = self._retry_from(request)
        if retry_from:
            self._reply(request.sender_address, request.sent, now, retry_from=retry_from)
            return
        if state.disk_fault is not None and request.entries:
            return
        self._append_entries(request)
        last_index = LogIndex(request.prev_index + len(request.entries))
        self._verified_index = max(self._verified_index, last_index)
        state.advance_commit_index(max(state.commit_index, min(request.commit, last_index)))
        self._confirmations.record(
            request.confirms, commit=request.commit, applied=state.applied_index
        )
        self._leader_sent_at = max(self._leader_sent_at, request.sent)
        if not request.entries or state.durability.durable_index >= last_index:
            self._acknowledge(now)

    def handle_snapshot(self, request: InstallSnapshot, now: float) -> None:
        """Install the leader's snapshot, unless its entries are committed here already."""
        state = self._state
        self._note_leader(request, now)
        if state.disk_fault is not None:
            return
        snapshot = request.snapshot
        if snapshot.index > state.commit_index:
            if state.log.term_at(snapshot.index) == snapshot.term:
                state.advance_commit_index(snapshot.index)
            else:
                state.install_snapshot(snapshot)
                self._snapshot_to_restore = snapshot
        self._verified_index = max(self._verified_index, snapshot.index)
        self._leader_sent_at = max(self._leader_sent_at, request.sent)
        self._acknowledge(now)

    def acknowledge_synced(self, now: float) -> None:
        """Acknowledge the entries that the last write has synced."""
        if self._verified_index > self._acknowledged_index and self._state.leader is not None:
            self._acknowledge(now)

    def note_applied(self, index: LogIndex) -> None:
        """Record that the state machine has applied the entries up to an index."""
        self._confirmations.note_applied(index)

    def take_restore(self) -> RestoreSnapshot | None:
        """Return the snapshot to restore once it is on disk, else None."""
        snapshot = self._snapshot_to_restore
        if snapshot is None or self._state.durability.durable_index < snapshot.index:
            return None
        self._snapshot_to_restore = None
        return RestoreSnapshot(snapshot=snapshot)

    def _note_leader(self, request: Header, now: float) -> None:
        state = self._state
        require(state.role is not Role.LEADER, "a term has one leader")
        require(state.leader is None or state.leader.id == request.sender, "a term has one leader")
        state.role = Role.FOLLOWER
        state.leader = request.sender_address
        self._election.note_leader_contact(now)

    def _retry_from(self, request: AppendRequest) -> LogIndex:
        log = self._state.log
        if request.prev_index <= self._state.commit_index:
            return LogIndex(0)
        term = log.term_at(request.prev_index)
        if term is None:
            return LogIndex(log.last.index + 1)
        if term != request.prev_term:
            first_index = log.first_of_term(request.prev_index)
            return max(first_index, LogIndex(self._state.commit_index + 1))
        return LogIndex(0)

    def _append_entries(self, request: AppendRequest) -> None:
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

    def _acknowledge(self, now: float) -> None:
        state = self._state
        if state.leader is None:
            return
        self._acknowledged_index = min(self._verified_index, state.durability.durable_index)
        self._reply(state.leader, self._leader_sent_at, now)

    def _reply(
        self, to: ReplicaAddress, sent_at: float, now: float, *, retry_from: LogIndex = NO_RETRY
    ) -> None:
        match_index = LogIndex(0) if retry_from else self._acknowledged_index
        reply = self._state.build_message(
            AppendReply,
            to,
            match=match_index,
            retry_from=retry_from,
            sent=sent_at,
            number=self._confirmations.number_reply(now),
        )
        self._state.send_after_state_sync(to, reply)
