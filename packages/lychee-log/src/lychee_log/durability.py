"""Which part of the log is on disk, and which messages wait for it."""

from dataclasses import dataclass, field

from lychee_log.effects import SaveSnapshot, Send, Write
from lychee_log.entries import EntryLog
from lychee_log.records import Entry, EntryId, HardState, Identity, Snapshot
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex

COMMIT_NOTE_S = 0.1
"""Time after which the commit index is stored if no other write takes it along, in seconds."""


@dataclass(kw_only=True)
class _InFlight:
    number: int
    begun_at: float
    last: EntryId | None
    keeps_state: bool
    compact_to: LogIndex | None = None
    waiting: list[Send] = field(default_factory=list)


class Durability:
    """Collects what must be written, one write at a time, and holds back promises until then.

    :param durable: index of the last entry on disk.
    :param committed: the commit index on disk.
    """

    def __init__(self, *, durable: LogIndex, committed: LogIndex) -> None:
        self.durable = durable
        self._handed = durable
        self._committed = committed
        self._kept_committed = committed
        self._committed_at: float | None = None
        self._identity: Identity | None = None
        self._hard_state: HardState | None = None
        self._snapshot: SaveSnapshot | None = None
        self._waiting: list[Send] = []
        self._in_flight: _InFlight | None = None
        self._number = 0

    @property
    def is_state_synced(self) -> bool:
        """Return whether identity, term and vote are on disk as they stand."""
        pending = self._identity is not None or self._hard_state is not None
        return not pending and not (self._in_flight is not None and self._in_flight.keeps_state)

    @property
    def is_saving_snapshot(self) -> bool:
        """Return whether a snapshot waits to be saved or is being saved."""
        saving = self._in_flight is not None and self._in_flight.compact_to is not None
        return saving or self._snapshot is not None

    def keep_identity(self, identity: Identity) -> None:
        """Have the identity written."""
        self._identity = identity

    def keep_hard_state(self, hard_state: HardState) -> None:
        """Have term and vote written."""
        self._hard_state = hard_state

    def keep_commit(self, index: LogIndex) -> None:
        """Have the commit index written, with the next write or a little later."""
        self._committed = index

    def keep_snapshot(self, snapshot: Snapshot, *, keep_from: LogIndex) -> None:
        """Have a snapshot of this replica's machine written."""
        self._snapshot = SaveSnapshot(number=0, snapshot=snapshot, keep_from=keep_from)

    def replace_log(self, snapshot: Snapshot, *, committed: LogIndex) -> None:
        """Have the stored log replaced by the leader's snapshot.

        :param committed: the commit index so far; what is stored up to it agrees with the leader.
        """
        self._snapshot = SaveSnapshot(number=0, snapshot=snapshot, keep_from=None)
        self.durable = min(self.durable, committed)
        self._handed = snapshot.index

    def truncated(self, index: LogIndex) -> None:
        """Take note that the entries from an index on have been replaced in memory."""
        before = LogIndex(index - 1)
        self.durable = min(self.durable, before)
        self._handed = min(self._handed, before)

    def hold(self, send: Send, *, last: LogIndex) -> bool:
        """Hold a message until all that is to be written now has been synced.

        :param last: index of the last entry in memory.
        :return: whether it is held; if not, it may be sent at once.
        """
        if self._has_pending(last):
            self._waiting.append(send)
        elif self._in_flight is not None:
            self._in_flight.waiting.append(send)
        else:
            return False
        return True

    def writing_s(self, now: float) -> float:
        """Return for how many seconds a write has been out, 0.0 if none is."""
        return now - self._in_flight.begun_at if self._in_flight is not None else 0.0

    def next_write(self, log: EntryLog, now: float) -> Write | SaveSnapshot | None:
        """Return the next write if none is out and there is something to write."""
        if self._in_flight is not None:
            return None
        if self._snapshot is not None:
            return self._begin_snapshot(self._snapshot, log, now)
        if self._has_pending(log.last.index) or self._owes_commit(now):
            return self._begin_write(log, now)
        return None

    def finish(self, number: int, log: EntryLog) -> tuple[Send, ...]:
        """Take note that a write has been synced and return the messages that waited for it."""
        done = self._in_flight
        require(done is not None and done.number == number, "one write is out at a time")
        assert done is not None
        self._in_flight = None
        if done.last is not None and log.term_at(done.last.index) == done.last.term:
            self.durable = max(self.durable, done.last.index)
        if done.compact_to is not None:
            log.compact(min(done.compact_to, self.durable))
        return tuple(done.waiting)

    def _has_pending(self, last: LogIndex) -> bool:
        state = self._identity is not None or self._hard_state is not None
        replacing = self._snapshot is not None and self._snapshot.keep_from is None
        return state or replacing or self._handed < last

    def _owes_commit(self, now: float) -> bool:
        """Return whether the commit index has waited for another write for long enough."""
        if self._committed == self._kept_committed:
            return False
        if self._committed_at is None:
            self._committed_at = now
        return now - self._committed_at >= COMMIT_NOTE_S

    def _begin_snapshot(self, save: SaveSnapshot, log: EntryLog, now: float) -> SaveSnapshot:
        self._number += 1
        self._snapshot = None
        replaces = save.keep_from is None
        last = EntryId(index=save.snapshot.index, term=save.snapshot.term) if replaces else None
        compact_to = LogIndex(save.keep_from - 1) if save.keep_from is not None else None
        self._in_flight = _InFlight(
            number=self._number,
            begun_at=now,
            last=last,
            keeps_state=False,
            compact_to=compact_to,
        )
        if replaces and not self._has_pending(log.last.index):
            self._in_flight.waiting, self._waiting = self._waiting, []
        return SaveSnapshot(number=self._number, snapshot=save.snapshot, keep_from=save.keep_from)

    def _begin_write(self, log: EntryLog, now: float) -> Write:
        self._number += 1
        last = log.last
        entries: tuple[Entry, ...] = ()
        if self._handed < last.index:
            entries = log.slice(start=LogIndex(self._handed + 1), end=last.index)
        keeps_state = self._identity is not None or self._hard_state is not None
        write = Write(
            number=self._number,
            identity=self._identity,
            hard_state=self._hard_state,
            entries=entries,
            committed=self._committed,
        )
        self._kept_committed = self._committed
        self._committed_at = None
        self._in_flight = _InFlight(
            number=self._number,
            begun_at=now,
            last=last if entries else None,
            keeps_state=keeps_state,
            waiting=self._waiting,
        )
        self._waiting = []
        self._identity = self._hard_state = None
        self._handed = last.index
        return write
