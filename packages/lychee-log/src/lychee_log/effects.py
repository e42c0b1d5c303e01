"""What goes into a replica's core and what comes out of it."""

from msgspec import Struct

from lychee_log.messages import PeerMessage
from lychee_log.records import Entry, HardState, Identity, ReplicaAddress, Snapshot
from lychee_types.ids import LogIndex


class Tick(Struct, frozen=True, kw_only=True):
    """Time has passed."""


class Received(Struct, frozen=True, kw_only=True):
    """A message has arrived.

    :param message: the message.
    """

    message: PeerMessage


class Written(Struct, frozen=True, kw_only=True):
    """A write has been synced.

    :param number: the write's number.
    """

    number: int


class WriteRefused(Struct, frozen=True, kw_only=True):
    """A write found no room on the disk; it is tried again until it has been written.

    :param number: the write's number.
    :param reason: what the operating system said.
    """

    number: int
    reason: str


class Applied(Struct, frozen=True, kw_only=True):
    """The machine has applied all entries it was given.

    :param index: the last one.
    """

    index: LogIndex


class SnapshotTaken(Struct, frozen=True, kw_only=True):
    """A snapshot of the machine has been taken.

    :param snapshot: the snapshot, from :meth:`~lychee_log.core.Core.snapshot_at`.
    """

    snapshot: Snapshot


Event = Tick | Received | Written | WriteRefused | Applied | SnapshotTaken
"""Inputs of the core."""


class Send(Struct, frozen=True, kw_only=True):
    """Send a message.

    :param to: the receiver.
    :param message: the message.
    """

    to: ReplicaAddress
    message: PeerMessage


class Write(Struct, frozen=True, kw_only=True):
    """Write to the data folder, sync, and then report :class:`Written`.

    At most one write is out at a time.

    :param number: the write's number.
    :param identity: the identity to store first, None if it stays.
    :param hard_state: term and vote to store, None if they stay.
    :param entries: entries to append; they replace stored ones of the same and later indexes.
    :param committed: an index up to which entries are committed, all stored by this write.
    """

    number: int
    identity: Identity | None
    hard_state: HardState | None
    entries: tuple[Entry, ...]
    committed: LogIndex


class SaveSnapshot(Struct, frozen=True, kw_only=True):
    """Store a snapshot, sync, and then report :class:`Written`.

    :param number: the write's number.
    :param snapshot: the snapshot.
    :param keep_from: index of the first entry to keep; None if the stored log is replaced.
    """

    number: int
    snapshot: Snapshot
    keep_from: LogIndex | None


class Apply(Struct, frozen=True, kw_only=True):
    """Apply committed entries in order, and then report :class:`Applied`.

    :param entries: the entries.
    """

    entries: tuple[Entry, ...]


class Restore(Struct, frozen=True, kw_only=True):
    """Replace the machine's state by a snapshot, and then report :class:`Applied`.

    :param snapshot: the snapshot.
    """

    snapshot: Snapshot


class Lead(Struct, frozen=True, kw_only=True):
    """The replica leads, and its machine is current.

    :param term: its term.
    """

    term: int


class StopLeading(Struct, frozen=True, kw_only=True):
    """The replica no longer leads.

    :param term: the term that it led.
    :param was_ready: whether :class:`Lead` had been given for that term.
    """

    term: int
    was_ready: bool


Effect = Send | Write | SaveSnapshot | Apply | Restore | Lead | StopLeading
"""Outputs of the core."""
