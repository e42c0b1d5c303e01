"""Reading a data folder back, and naming what is missing or damaged in it."""

from pathlib import Path

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_log.exceptions import StorageError
from lychee_log.files import TEMPORARY, damaged, disk_errors, read_file
from lychee_log.mark import MARK_NAME, read_mark
from lychee_log.records import Entry, HardState, Identity, Recovered, Snapshot
from lychee_log.segment import Batch, SegmentContents, read_current, read_sealed
from lychee_types.ids import LogIndex, ReplicaId

IDENTITY_NAME = "identity"
MANIFEST_NAME = "manifest"
LOCK_NAME = "lock"


class Sealed(Struct, frozen=True, kw_only=True):
    """A segment to which nothing is appended any more.

    :param number: its number.
    :param size: its length in bytes.
    """

    number: int
    size: int


class Manifest(Struct, frozen=True, kw_only=True):
    """Which files are in force.

    :param current: number of the segment to which batches are appended.
    :param sealed: the segments before it, oldest first.
    :param snapshot: index of the snapshot, 0 for none.
    """

    current: int
    sealed: tuple[Sealed, ...] = ()
    snapshot: LogIndex = LogIndex(0)

    @property
    def segments(self) -> tuple[int, ...]:
        """Return the numbers of all segments, oldest first."""
        return (*(segment.number for segment in self.sealed), self.current)


class SegmentEnd(Struct, frozen=True, kw_only=True):
    """Where a segment ends.

    :param number: the segment's number.
    :param size: its length in bytes.
    :param last: the highest index of an entry in it, 0 if it has none.
    """

    number: int
    size: int
    last: LogIndex


class Loaded(Struct, frozen=True, kw_only=True):
    """A data folder as it was read.

    :param recovered: what the replica starts from.
    :param manifest: which files are in force.
    :param ends: where each segment ends, oldest first.
    :param unmarked: the last batches, which are not known to have been synced.
    """

    recovered: Recovered
    manifest: Manifest
    ends: tuple[SegmentEnd, ...]
    unmarked: tuple[Batch, ...]


_ENCODER = Encoder()
_IDENTITY = Decoder(Identity)
_MANIFEST = Decoder(Manifest)
_SNAPSHOT = Decoder(Snapshot)


def encode_record(record: Identity | Manifest | Snapshot) -> bytes:
    """Return a record as it is stored."""
    return _ENCODER.encode(record)


def snapshot_path(folder: Path, index: LogIndex) -> Path:
    """Return the path of the snapshot at an index."""
    return folder / f"snapshot-{index:020d}"


def is_new(folder: Path) -> bool:
    """Return whether a folder holds no replica: it is empty, or its making was interrupted.

    :raises StorageError: if the identity is missing and something has been stored.
    """
    if (folder / IDENTITY_NAME).exists():
        return False
    with disk_errors(folder):
        names = {path.name for path in folder.iterdir() if path.suffix != TEMPORARY}
    first_files = {LOCK_NAME, MARK_NAME, MANIFEST_NAME, "segment-0000000001"}
    if not names <= first_files or _has_entries(folder, names):
        raise damaged(folder / IDENTITY_NAME, "is missing while the folder holds a log")
    return True


def stored_replica_id(folder: Path) -> ReplicaId | None:
    """Return whose data folder this is, None for a folder that holds no replica.

    :raises StorageError: if something is missing or damaged.
    """
    if not folder.exists() or is_new(folder):
        return None
    return _IDENTITY.decode(read_file(folder / IDENTITY_NAME)).replica


def load(folder: Path, replica: ReplicaId) -> Loaded:
    """Read a data folder.

    :raises StorageError: if something is missing or damaged, or the folder is another replica's.
    """
    identity = _IDENTITY.decode(read_file(folder / IDENTITY_NAME))
    if identity.replica != replica:
        raise StorageError(
            message=f"the data folder {folder} belongs to replica {identity.replica}",
            remedy=f"start replica {replica} with a data folder of its own",
        )
    manifest = _MANIFEST.decode(read_file(folder / MANIFEST_NAME))
    snapshot = _read_snapshot(folder, manifest)
    log = _read_segments(folder, manifest)
    recovered = Recovered(
        identity=identity,
        hard_state=log.hard_state,
        snapshot=snapshot,
        entries=_after(folder, snapshot, log.entries),
        committed=log.committed,
    )
    return Loaded(
        recovered=recovered, manifest=manifest, ends=tuple(log.ends), unmarked=log.unmarked
    )


class _StoredLog:
    """Collects the batches of all segments."""

    def __init__(self, *, folder: Path) -> None:
        self.hard_state = HardState()
        self.entries: list[Entry] = []
        self.committed = LogIndex(0)
        self.ends: list[SegmentEnd] = []
        self.unmarked: tuple[Batch, ...] = ()
        self._folder = folder

    def add_segment(self, number: int, contents: SegmentContents) -> None:
        """Take over a segment's batches."""
        highest = LogIndex(0)
        for batch in contents.batches:
            self._add(batch)
            highest = max((entry.index for entry in batch.entries), default=highest)
        self.ends.append(SegmentEnd(number=number, size=contents.size, last=highest))
        self.unmarked = contents.unmarked
        for batch in contents.unmarked:
            self._add(batch)

    def _add(self, batch: Batch) -> None:
        self.committed = max(self.committed, batch.committed)
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        for entry in batch.entries:
            self._add_entry(entry)

    def _add_entry(self, entry: Entry) -> None:
        if self.entries:
            expected = self.entries[-1].index + 1
            if entry.index > expected:
                raise damaged(self._folder, f"lacks the entries from {expected}")
            kept = max(0, entry.index - self.entries[0].index)
            del self.entries[kept:]
        self.entries.append(entry)


def _read_segments(folder: Path, manifest: Manifest) -> _StoredLog:
    mark = read_mark(folder)
    if mark.segment > manifest.current:
        raise damaged(folder / MANIFEST_NAME, "is older than the log")
    log = _StoredLog(folder=folder)
    for sealed in manifest.sealed:
        contents = read_sealed(folder=folder, number=sealed.number, size=sealed.size)
        log.add_segment(sealed.number, contents)
    synced = mark.size if mark.segment == manifest.current else 0
    current = read_current(folder=folder, number=manifest.current, synced=synced)
    log.add_segment(manifest.current, current)
    return log


def _read_snapshot(folder: Path, manifest: Manifest) -> Snapshot | None:
    if not manifest.snapshot:
        return None
    return _SNAPSHOT.decode(read_file(snapshot_path(folder, manifest.snapshot)))


def _after(folder: Path, snapshot: Snapshot | None, entries: list[Entry]) -> tuple[Entry, ...]:
    base = snapshot.index if snapshot is not None else 0
    later = tuple(entry for entry in entries if entry.index > base)
    if later and later[0].index != base + 1:
        raise damaged(folder, f"lacks the entries from {base + 1} to {later[0].index - 1}")
    return later


def _has_entries(folder: Path, names: set[str]) -> bool:
    if "segment-0000000001" not in names:
        return False
    try:
        contents = read_current(folder=folder, number=1, synced=0)
    except StorageError:
        return (folder / MANIFEST_NAME).exists()
    return bool(contents.unmarked)
