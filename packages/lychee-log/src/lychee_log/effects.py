"""Events that a replica's core handles, and the effects it returns."""

from msgspec import Struct

from lychee_log.messages import PeerMessage
from lychee_log.records import Entry, HardState, Identity, ReplicaAddress, Snapshot
from lychee_types.ids import LogIndex


class Tick(Struct, frozen=True, kw_only=True):
    """Timer event: time has passed."""


class Received(Struct, frozen=True, kw_only=True):
    """A message from a peer has arrived.

    :param message: the message.
    """

    message: PeerMessage


class Written(Struct, frozen=True, kw_only=True):
    """A write has been synced.

    :param number: the write's number.
    """

    number: int


class DiskFull(Struct, frozen=True, kw_only=True):
    """A write failed because the disk is full; it is retried until it succeeds.

    :param number: the write's number.
    :param reason: the operating system's error message.
    """

    number: int
    reason: str


class Applied(Struct, frozen=True, kw_only=True):
    """The state machine has applied all entries it was given.

    :param index: index of the last one.
    """

    index: LogIndex


class SnapshotTaken(Struct, frozen=True, kw_only=True):
    """A snapshot of the state machine has been taken.

    :param snapshot: the snapshot, from :meth:`~lychee_log.core.Core.build_snapshot`.
    """

    snapshot: Snapshot


Event = Tick | Received | Written | DiskFull | Applied | SnapshotTaken
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

    At most one write is in progress at a time.

    :param number: the write's number.
    :param identity: the identity to store first, None if it is unchanged.
    :param hard_state: term and vote to store, None if they are unchanged.
    :param entries: entries to append; they replace stored entries from the first index on.
    :param committed: an index up to which entries are committed and, after this write, stored.
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
    :param keep_from: index of the first log entry to keep, None to replace the whole stored log.
    """

    number: int
    snapshot: Snapshot
    keep_from: LogIndex | None


class Apply(Struct, frozen=True, kw_only=True):
    """Apply committed entries in order, and then report :class:`Applied`.

    :param entries: the entries.
    """

    entries: tuple[Entry, ...]


class RestoreSnapshot(Struct, frozen=True, kw_only=True):
    """Replace the state machine's state by a snapshot, and then report :class:`Applied`.

    :param snapshot: the snapshot.
    """

    snapshot: Snapshot


class LeadershipGained(Struct, frozen=True, kw_only=True):
    """The replica leads, and its state machine is current.

    :param term: the term that it leads.
    """

    term: int


class LeadershipLost(Struct, frozen=True, kw_only=True):
    """The replica no longer leads.

    :param term: the term that it led.
    :param was_ready: whether :class:`LeadershipGained` was emitted for that term.
    """

    term: int
    was_ready: bool


Effect = Send | Write | SaveSnapshot | Apply | RestoreSnapshot | LeadershipGained | LeadershipLost
"""Outputs of the core."""
