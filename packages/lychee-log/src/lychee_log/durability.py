"""Tracks which state is on disk, and holds back messages until their state is synced."""

from dataclasses import dataclass, field

from lychee_log.effects import SaveSnapshot, Send, Write
from lychee_log.entries import EntryLog
from lychee_log.records import Entry, EntryId, HardState, Identity, Snapshot
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex

COMMIT_WRITE_DELAY_S = 0.1
"""Time after which the commit index is written alone if no other write includes it, in seconds."""


@dataclass(kw_only=True)
class _InFlightWrite:
    number: int
    started_at: float
    last_entry: EntryId | None
    includes_state: bool
    compact_to: LogIndex | None = None
    held_messages: list[Send] = field(default_factory=list)


class Durability:
    """Collects pending state into one write at a time, and holds messages until it is synced.

    :param durable_index: index of the last entry on disk.
    :param commit_index: the commit index on disk.
    """

    def __init__(self, *, durable_index: LogIndex, commit_index: LogIndex) -> None:
        self.durable_index = durable_index
        self._submitted_index = durable_index
        self._commit_index = commit_index
        self._written_commit_index = commit_index
        self._commit_pending_since: float | None = None
        self._identity: Identity | None = None
        self._hard_state: HardState | None = None
        self._snapshot: SaveSnapshot | None = None
        self._held_messages: list[Send] = []
        self._in_flight: _InFlightWrite | None = None
        self._last_write_number = 0

    @property
    def is_state_synced(self) -> bool:
        """Return whether the current identity, term and vote are on disk."""
        is_pending = self._identity is not None or self._hard_state is not None
        return not is_pending and not (
            self._in_flight is not None and self._in_flight.includes_state
        )

    @property
    def is_saving_snapshot(self) -> bool:
        """Return whether a snapshot is queued or being written."""
        is_saving = self._in_flight is not None and self._in_flight.compact_to is not None
        return is_saving or self._snapshot is not None

    def queue_identity(self, identity: Identity) -> None:
        """Queue the identity for the next write."""
        self._identity = identity

    def queue_hard_state(self, hard_state: HardState) -> None:
        """Queue term and vote for the next write."""
        self._hard_state = hard_state

    def queue_commit_index(self, index: LogIndex) -> None:
        """Queue the commit index; it is written with the next write, or alone after a delay."""
        self._commit_index = index

    def queue_snapshot(self, snapshot: Snapshot, *, keep_from: LogIndex) -> None:
        """Queue a snapshot of this replica's own state machine.

        :param keep_from: index of the first entry that stays in the log.
        """
        self._snapshot = SaveSnapshot(number=0, snapshot=snapshot, keep_from=keep_from)

    def queue_log_replacement(self, snapshot: Snapshot, *, commit_index: LogIndex) -> None:
        """Queue the replacement of the stored log by the leader's snapshot.

        :param commit_index: the commit index so far; stored entries up to it match the leader's.
        """
        self._snapshot = SaveSnapshot(number=0, snapshot=snapshot, keep_from=None)
        self.durable_index = min(self.durable_index, commit_index)
        self._submitted_index = snapshot.index

    def note_truncation(self, index: LogIndex) -> None:
        """Record that the entries from an index on have been removed from the log in memory."""
        last_kept = LogIndex(index - 1)
        self.durable_index = min(self.durable_index, last_kept)
        self._submitted_index = min(self._submitted_index, last_kept)

    def hold_until_synced(self, send: Send, *, last_index: LogIndex) -> bool:
        """Hold a message until everything that is pending now has been synced.

        :param last_index: index of the last entry in memory.
        :return: whether the message is held; if not, it may be sent immediately.
        """
        if self._has_pending(last_index):
            self._held_messages.append(send)
        elif self._in_flight is not None:
            self._in_flight.held_messages.append(send)
        else:
            return False
        return True

    def current_write_s(self, now: float) -> float:
        """Return for how many seconds the current write has been in progress, 0.0 without one."""
        return now - self._in_flight.started_at if self._in_flight is not None else 0.0

    def next_write(self, log: EntryLog, now: float) -> Write | SaveSnapshot | None:
        """Return the next write, None if one is in progress or nothing is pending."""
        if self._in_flight is not None:
            return None
        if self._snapshot is not None:
            return self._start_snapshot(self._snapshot, log, now)
        if self._has_pending(log.last.index) or self._is_commit_write_due(now):
            return self._start_write(log, now)
        return None

    def finish(self, number: int, log: EntryLog) -> tuple[Send, ...]:
        """Record that a write has been synced, and return the messages that waited for it."""
        done = self._in_flight
        require(
            done is not None and done.number == number, "only one write is in progress at a time"
        )
        assert done is not None
        self._in_flight = None
        if (
            done.last_entry is not None
            and log.term_at(done.last_entry.index) == done.last_entry.term
        ):
            self.durable_index = max(self.durable_index, done.last_entry.index)
        if done.compact_to is not None:
            log.compact(min(done.compact_to, self.durable_index))
        return tuple(done.held_messages)

    def _has_pending(self, last_index: LogIndex) -> bool:
        has_state = self._identity is not None or self._hard_state is not None
        replaces_log = self._snapshot is not None and self._snapshot.keep_from is None
        return has_state or replaces_log or self._submitted_index < last_index

    def _is_commit_write_due(self, now: float) -> bool:
        """Return whether the commit index has been pending long enough to be written on its own."""
        if self._commit_index == self._written_commit_index:
            return False
        if self._commit_pending_since is None:
            self._commit_pending_since = now
        return now - self._commit_pending_since >= COMMIT_WRITE_DELAY_S

    def _start_snapshot(self, save: SaveSnapshot, log: EntryLog, now: float) -> SaveSnapshot:
        self._last_write_number += 1
        self._snapshot = None
        replaces_log = save.keep_from is None
        last_entry = (
            EntryId(index=save.snapshot.index, term=save.snapshot.term) if replaces_log else None
        )
        compact_to = LogIndex(save.keep_from - 1) if save.keep_from is not None else None
        self._in_flight = _InFlightWrite(
            number=self._last_write_number,
            started_at=now,
            last_entry=last_entry,
            includes_state=False,
            compact_to=compact_to,
        )
        if replaces_log and not self._has_pending(log.last.index):
            self._in_flight.held_messages, self._held_messages = self._held_messages, []
        return SaveSnapshot(
            number=self._last_write_number, snapshot=save.snapshot, keep_from=save.keep_from
        )

    def _start_write(self, log: EntryLog, now: float) -> Write:
        self._last_write_number += 1
        last = log.last
        entries: tuple[Entry, ...] = ()
        if self._submitted_index < last.index:
            entries = log.slice(start=LogIndex(self._submitted_index + 1), end=last.index)
        includes_state = self._identity is not None or self._hard_state is not None
        write = Write(
            number=self._last_write_number,
            identity=self._identity,
            hard_state=self._hard_state,
            entries=entries,
            committed=self._commit_index,
        )
        self._written_commit_index = self._commit_index
        self._commit_pending_since = None
        self._in_flight = _InFlightWrite(
            number=self._last_write_number,
            started_at=now,
            last_entry=last if entries else None,
            includes_state=includes_state,
            held_messages=self._held_messages,
        )
        self._held_messages = []
        self._identity = self._hard_state = None
        self._submitted_index = last.index
        return write
