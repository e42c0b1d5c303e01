"""The leader role of a replica."""

from collections.abc import Sequence

from lychee_log.effects import LeadershipGained
from lychee_log.messages import AppendReply, AppendRequest, InstallSnapshot
from lychee_log.progress import Leadership, Progress, ReplicationMode
from lychee_log.records import Entry, EntryId, Membership, ReplicaAddress
from lychee_log.state import RaftState
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.timing import Timing

APPEND_BYTES = 262_144
"""Maximum size of the entries in one append request, in bytes; a single entry may be larger."""

SNAPSHOT_RETRY_S = 2.0
"""Delay before an unacknowledged snapshot is sent again, in seconds."""

QUORUM_LOSS_TIMEOUTS = 2.0
"""Time without replies from a majority after which a leader steps down, in election timeouts."""


class Leader:
    """The leader of one term: replicates entries and advances the commit index.

    :param state: the replica's state.
    :param timing: timing parameters.
    :param now: current monotonic time in seconds.
    :param in_flight_bytes: bound on the unacknowledged entries on their way to one peer, in bytes.
    """

    def __init__(
        self, *, state: RaftState, timing: Timing, now: float, in_flight_bytes: int
    ) -> None:
        self._state = state
        self._in_flight_bytes = in_flight_bytes
        self._timeout_s = timing.election_ms / 1_000
        self._heartbeat_s = timing.heartbeat_ms / 1_000
        self._drift_s = timing.drift_s
        next_index = LogIndex(state.log.last.index + 1)
        self.leadership = Leadership(term=state.term, first_index=next_index, now=now)
        self.append((Entry(index=next_index, term=state.term, members=state.members),))

    @property
    def is_ready(self) -> bool:
        """Return whether the state machine has applied the first entry of the term."""
        return self.leadership.is_ready

    def propose(self, batch: Sequence[bytes]) -> EntryId:
        """Append proposals and return the id of the first entry."""
        first_index = self._state.log.last.index + 1
        self.append(
            tuple(
                Entry(index=LogIndex(first_index + offset), term=self.leadership.term, data=data)
                for offset, data in enumerate(batch)
            )
        )
        return EntryId(index=LogIndex(first_index), term=self.leadership.term)

    def change_members(self, members: Membership) -> EntryId:
        """Append a membership change, which takes effect immediately, and return its entry id."""
        index = LogIndex(self._state.log.last.index + 1)
        entry = Entry(index=index, term=self.leadership.term, members=members)
        self.append((entry,))
        return entry.id

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries of the current term to the log."""
        state = self._state
        next_index = LogIndex(state.log.last.index + 1)
        require(state.term == self.leadership.term, "a leader appends in its own term only")
        state.log.extend(entries)
        self.leadership.set_members(state.members, own_id=state.id, next_index=next_index)

    def replicate(self, now: float) -> None:
        """Send each peer the entries or the snapshot it lacks, and any heartbeat that is due."""
        for peer in self.leadership.peers.values():
            self._replicate_to(peer, now)

    def handle_reply(self, reply: AppendReply, now: float) -> None:
        """Handle a peer's reply to an append or a snapshot."""
        peer = self.leadership.peers.get(reply.sender)
        if peer is None or peer.address.storage != reply.storage:
            return
        require(reply.sent <= now, "a reply never names a send time in the future")
        require(
            reply.match <= self._state.log.last.index,
            "a peer never matches entries beyond the leader's log",
        )
        peer.last_reply_at = now
        peer.last_reply_number = reply.number
        peer.acknowledged_sent_at = max(peer.acknowledged_sent_at, reply.sent)
        if reply.retry_from:
            if peer.mode is not ReplicationMode.SNAPSHOT and reply.retry_from > peer.match_index:
                peer.record_rejection(reply.retry_from)
                peer.heartbeat_sent_at = 0.0
            return
        peer.record_match(reply.match)
        if peer.mode is ReplicationMode.PROBE or self._has_snapshot(peer):
            peer.mode = ReplicationMode.STREAM

    def advance_commit(self) -> None:
        """Commit the entries that a majority has on disk, if the last of them is of this term."""
        state = self._state
        index = self.leadership.quorum_match_index(
            state.members, own_id=state.id, durable_index=state.durability.durable_index
        )
        if index > state.commit_index and state.log.term_at(index) == self.leadership.term:
            state.advance_commit_index(index)

    def on_applied(self) -> None:
        """Announce the leadership once the state machine has caught up."""
        if not self.is_ready and self._state.applied_index >= self.leadership.first_index:
            self.leadership.is_ready = True
            self._state.emit(LeadershipGained(term=self.leadership.term))

    def lease_expires_at(self, now: float) -> float:
        """Return the time until which no other replica can be elected, 0.0 without a lease.

        :param now: current monotonic time in seconds.
        """
        start = self.leadership.lease_start(self._state.members, own_id=self._state.id, now=now)
        return start + self._timeout_s - self._drift_s if start > 0.0 else 0.0

    def has_lost_quorum(self, now: float) -> bool:
        """Return whether a majority of the voters has not replied for too long."""
        replied_at = self.leadership.quorum_replied_at(
            self._state.members, own_id=self._state.id, now=now
        )
        return now - replied_at > self._timeout_s * QUORUM_LOSS_TIMEOUTS

    def is_removed(self) -> bool:
        """Return whether this replica's removal as a voter has been committed."""
        state = self._state
        return not state.is_voter and state.commit_index >= state.log.members_index

    def successor(self, now: float) -> ReplicaAddress | None:
        """Return a voter that holds the whole log and has replied recently, None if there is none.

        :param now: current monotonic time in seconds.
        """
        last_index = self._state.log.last.index
        for voter in self._state.members.voters:
            peer = self.leadership.peers.get(voter.id)
            if peer is None or now - peer.last_reply_at > self._timeout_s:
                continue
            if peer.match_index >= last_index:
                return peer.address
        return None

    def is_caught_up(self, replica: ReplicaId, now: float) -> bool:
        """Return whether a peer holds all committed entries and has replied recently."""
        peer = self.leadership.peers.get(replica)
        if peer is None:
            return replica == self._state.id
        has_replied_recently = now - peer.last_reply_at <= self._timeout_s
        return has_replied_recently and peer.match_index >= self._state.commit_index

    def _replicate_to(self, peer: Progress, now: float) -> None:
        state = self._state
        if peer.next_index <= state.log.base.index:
            self._send_snapshot(peer, now)
        elif peer.mode is ReplicationMode.STREAM:
            self._stream_to(peer, now)
        if now - peer.heartbeat_sent_at >= self._heartbeat_s:
            peer.heartbeat_sent_at = now
            self._send_append(peer, (), now)

    def _stream_to(self, peer: Progress, now: float) -> None:
        state = self._state
        while peer.can_stream(self._in_flight_bytes) and peer.next_index <= state.log.last.index:
            self._send_entries(peer, now)
        if min(state.commit_index, LogIndex(peer.next_index - 1)) > peer.sent_commit_index:
            self._send_append(peer, (), now)

    def _send_entries(self, peer: Progress, now: float) -> None:
        log = self._state.log
        size, last_index = 0, peer.next_index
        for entry in log.slice(start=peer.next_index, end=log.last.index):
            size += len(entry.data)
            if size > APPEND_BYTES and entry.index > peer.next_index:
                break
            last_index = entry.index
        entries = log.slice(start=peer.next_index, end=last_index)
        self._send_append(peer, entries, now)
        peer.record_append(last_index, size=sum(len(entry.data) for entry in entries))

    def _send_append(self, peer: Progress, entries: tuple[Entry, ...], now: float) -> None:
        state = self._state
        prev_index = LogIndex(peer.next_index - 1)
        prev_term = state.log.term_at(prev_index)
        if prev_term is None or peer.mode is ReplicationMode.SNAPSHOT:
            prev_index, prev_term = LogIndex(0), 0
        peer.sent_commit_index = min(state.commit_index, LogIndex(prev_index + len(entries)))
        request = state.build_message(
            AppendRequest,
            peer.address,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=entries,
            commit=peer.sent_commit_index,
            sent=now,
            confirms=self._reply_to_confirm(peer, now),
        )
        state.send(peer.address, request)

    def _reply_to_confirm(self, peer: Progress, now: float) -> int:
        """Return the number of the peer's last reply if its commit index is the newest, else 0."""
        is_newest = peer.sent_commit_index == self._state.commit_index
        has_lease = self.is_ready and now < self.lease_expires_at(now)
        return peer.last_reply_number if is_newest and has_lease else 0

    def _send_snapshot(self, peer: Progress, now: float) -> None:
        state = self._state
        is_reachable = now - peer.last_reply_at <= self._timeout_s
        is_due = (
            peer.mode is not ReplicationMode.SNAPSHOT
            or now - peer.snapshot_sent_at >= SNAPSHOT_RETRY_S
        )
        if not (is_reachable and is_due):
            return
        snapshot = state.snapshot
        require(snapshot is not None, "entries removed from the log are covered by a snapshot")
        peer.mode = ReplicationMode.SNAPSHOT
        peer.snapshot_sent_at = now
        peer.clear_in_flight()
        request = state.build_message(InstallSnapshot, peer.address, snapshot=snapshot, sent=now)
        state.send(peer.address, request)

    def _has_snapshot(self, peer: Progress) -> bool:
        return (
            peer.mode is ReplicationMode.SNAPSHOT and peer.next_index > self._state.log.base.index
        )
