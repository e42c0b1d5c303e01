"""What a replica does while it leads."""

from collections.abc import Sequence

from lychee_log.effects import Lead
from lychee_log.messages import AppendReply, AppendRequest, InstallSnapshot
from lychee_log.progress import Leadership, Mode, Progress
from lychee_log.records import Entry, EntryId, Membership
from lychee_log.state import State
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.timing import Timing

APPEND_BYTES = 262_144
"""Size of the entries in one append, in bytes; a single entry may be larger."""

SNAPSHOT_RETRY_S = 2.0
"""Wait before a snapshot that was not answered is sent again, in seconds."""

QUORUM_TIMEOUTS = 2.0
"""Silence of a majority after which a leader gives up, in election timeouts."""


class Leader:
    """A leader's decisions in one term.

    :param state: the replica's state.
    :param timing: time limits.
    :param now: monotonic seconds.
    """

    def __init__(self, *, state: State, timing: Timing, now: float) -> None:
        self._state = state
        self._timeout_s = timing.election_ms / 1_000
        self._heartbeat_s = timing.heartbeat_ms / 1_000
        self._drift_s = timing.drift_s
        next_index = LogIndex(state.log.last.index + 1)
        self.leadership = Leadership(term=state.term, first=next_index, now=now)
        self.append((Entry(index=next_index, term=state.term, members=state.members),))

    @property
    def is_ready(self) -> bool:
        """Return whether the machine has applied the entry that opened the term."""
        return self.leadership.is_ready

    def propose(self, batch: Sequence[bytes]) -> EntryId:
        """Append proposals and return the first entry's identity."""
        first = self._state.log.last.index + 1
        self.append(
            tuple(
                Entry(index=LogIndex(first + offset), term=self.leadership.term, data=data)
                for offset, data in enumerate(batch)
            )
        )
        return EntryId(index=LogIndex(first), term=self.leadership.term)

    def change_members(self, members: Membership) -> EntryId:
        """Append a membership; it holds at once."""
        index = LogIndex(self._state.log.last.index + 1)
        entry = Entry(index=index, term=self.leadership.term, members=members)
        self.append((entry,))
        return entry.id

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries of this term."""
        state = self._state
        next_index = LogIndex(state.log.last.index + 1)
        require(state.term == self.leadership.term, "a leader appends in its own term only")
        state.log.extend(entries)
        self.leadership.set_members(state.members, me=state.id, next_index=next_index)

    def replicate(self, now: float) -> None:
        """Send each peer what it lacks, and heartbeats that are due."""
        for peer in self.leadership.peers.values():
            self._replicate_to(peer, now)

    def hear(self, reply: AppendReply, now: float) -> None:
        """Take note of a peer's answer."""
        peer = self.leadership.peers.get(reply.sender)
        if peer is None or peer.member.storage != reply.storage:
            return
        require(reply.sent <= now, "no peer has followed a message that was not sent yet")
        require(reply.match <= self._state.log.last.index, "no peer holds more than the leader")
        peer.heard_at = now
        peer.followed_at = max(peer.followed_at, reply.sent)
        if reply.retry_from:
            if peer.mode is not Mode.SNAPSHOT and reply.retry_from > peer.match:
                peer.rejected(reply.retry_from)
                peer.heartbeat_at = 0.0
            return
        peer.matched(reply.match)
        if peer.mode is Mode.PROBE or self._has_snapshot(peer):
            peer.mode = Mode.STREAM

    def advance_commit(self) -> None:
        """Commit what a majority holds on disk, if it is of this term."""
        state = self._state
        index = self.leadership.quorum_match(
            state.members, me=state.id, durable=state.durability.durable
        )
        if index > state.commit and state.log.term_at(index) == self.leadership.term:
            state.commit_to(index)

    def note_applied(self) -> None:
        """Report the leadership once the machine is current."""
        if not self.is_ready and self._state.applied >= self.leadership.first:
            self.leadership.is_ready = True
            self._state.emit(Lead(term=self.leadership.term))

    def leads_until(self, now: float) -> float:
        """Return until when no other replica can have been elected, monotonic seconds."""
        start = self.leadership.lease_start(self._state.members, me=self._state.id, now=now)
        return start + self._timeout_s - self._drift_s if start > 0.0 else 0.0

    def has_lost_quorum(self, now: float) -> bool:
        """Return whether a majority has been silent for too long."""
        heard = self.leadership.quorum_heard(self._state.members, me=self._state.id, now=now)
        return now - heard > self._timeout_s * QUORUM_TIMEOUTS

    def is_removed(self) -> bool:
        """Return whether a committed membership has this replica no longer as a voter."""
        state = self._state
        return not state.is_voter and state.commit >= state.log.members_index

    def is_caught_up(self, replica: ReplicaId, now: float) -> bool:
        """Return whether a peer holds everything committed and answers."""
        peer = self.leadership.peers.get(replica)
        if peer is None:
            return replica == self._state.id
        recent = now - peer.heard_at <= self._timeout_s
        return recent and peer.match >= self._state.commit

    def _replicate_to(self, peer: Progress, now: float) -> None:
        state = self._state
        if peer.next_index <= state.log.base.index:
            self._send_snapshot(peer, now)
        elif peer.mode is Mode.STREAM:
            self._stream_to(peer, now)
        if now - peer.heartbeat_at >= self._heartbeat_s:
            peer.heartbeat_at = now
            self._send_append(peer, (), now)

    def _stream_to(self, peer: Progress, now: float) -> None:
        state = self._state
        while peer.can_stream and peer.next_index <= state.log.last.index:
            self._send_entries(peer, now)
        if min(state.commit, LogIndex(peer.next_index - 1)) > peer.sent_commit:
            self._send_append(peer, (), now)

    def _send_entries(self, peer: Progress, now: float) -> None:
        log = self._state.log
        size, end = 0, peer.next_index
        for entry in log.slice(start=peer.next_index, end=log.last.index):
            size += len(entry.data)
            if size > APPEND_BYTES and entry.index > peer.next_index:
                break
            end = entry.index
        entries = log.slice(start=peer.next_index, end=end)
        self._send_append(peer, entries, now)
        peer.sent(end)

    def _send_append(self, peer: Progress, entries: tuple[Entry, ...], now: float) -> None:
        state = self._state
        prev_index = LogIndex(peer.next_index - 1)
        prev_term = state.log.term_at(prev_index)
        if prev_term is None or peer.mode is Mode.SNAPSHOT:
            prev_index, prev_term = LogIndex(0), 0
        peer.sent_commit = min(state.commit, LogIndex(prev_index + len(entries)))
        request = state.build(
            AppendRequest,
            peer.member,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=entries,
            commit=peer.sent_commit,
            sent=now,
        )
        state.send(peer.member, request)

    def _send_snapshot(self, peer: Progress, now: float) -> None:
        state = self._state
        answers = now - peer.heard_at <= self._timeout_s
        due = peer.mode is not Mode.SNAPSHOT or now - peer.snapshot_at >= SNAPSHOT_RETRY_S
        if not (answers and due):
            return
        snapshot = state.snapshot
        require(snapshot is not None, "what the log lacks is in a snapshot")
        peer.mode = Mode.SNAPSHOT
        peer.snapshot_at = now
        peer.in_flight.clear()
        request = state.build(InstallSnapshot, peer.member, snapshot=snapshot, sent=now)
        state.send(peer.member, request)

    def _has_snapshot(self, peer: Progress) -> bool:
        return peer.mode is Mode.SNAPSHOT and peer.next_index > self._state.log.base.index
