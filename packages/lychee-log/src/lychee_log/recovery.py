"""Reads a data folder, and reports missing or damaged files."""

from pathlib import Path

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_log.exceptions import StorageError
from lychee_log.files import TEMPORARY_SUFFIX, damage_error, read_file, translate_disk_errors
from lychee_log.mark import SYNC_MARK_NAME, read_sync_mark
from lychee_log.records import Entry, HardState, Identity, RecoveredState, Snapshot
from lychee_log.segment import Batch, SegmentContents, read_current, read_sealed
from lychee_types.ids import LogIndex, ReplicaId

IDENTITY_NAME = "identity"
MANIFEST_NAME = "manifest"
LOCK_NAME = "lock"
KNOWN_VOTERS_NAME = "known-voters"


class SealedSegment(Struct, frozen=True, kw_only=True):
    """A segment to which nothing is appended anymore.

    :param number: the segment's number.
    :param size: its length in bytes.
    """

    number: int
    size: int


class Manifest(Struct, frozen=True, kw_only=True):
    """The segments and the snapshot in use.

    :param current: number of the segment to which batches are appended.
    :param sealed: the complete segments before it, oldest first.
    :param snapshot: index of the snapshot, 0 for none.
    """

    current: int
    sealed: tuple[SealedSegment, ...] = ()
    snapshot: LogIndex = LogIndex(0)

    @property
    def segments(self) -> tuple[int, ...]:
        """Return the numbers of all segments, oldest first."""
        return (*(segment.number for segment in self.sealed), self.current)


class SegmentEnd(Struct, frozen=True, kw_only=True):
    """Length and last index of a segment.

    :param number: the segment's number.
    :param size: its length in bytes.
    :param last: the highest index of an entry in it, 0 if it has none.
    """

    number: int
    size: int
    last: LogIndex


class LoadedFolder(Struct, frozen=True, kw_only=True):
    """The contents of a data folder.

    :param recovered: the state that the replica starts from.
    :param manifest: the segments and the snapshot in use.
    :param segment_ends: length and last index of each segment, oldest first.
    :param unconfirmed: the last batches, which are not known to have been synced.
    """

    recovered: RecoveredState
    manifest: Manifest
    segment_ends: tuple[SegmentEnd, ...]
    unconfirmed: tuple[Batch, ...]


_ENCODER = Encoder()
_IDENTITY = Decoder(Identity)
_MANIFEST = Decoder(Manifest)
_SNAPSHOT = Decoder(Snapshot)


def encode_record(record: Identity | Manifest | Snapshot) -> bytes:
    """Encode a record for storage."""
    return _ENCODER.encode(record)


def snapshot_path(folder: Path, index: LogIndex) -> Path:
    """Return the path of the snapshot at an index."""
    return folder / f"snapshot-{index:020d}"


def is_uninitialized(folder: Path) -> bool:
    """Return whether a folder is empty, or its initialization was interrupted.

    :raises StorageError: if the identity is missing although the folder holds a log.
    """
    if (folder / IDENTITY_NAME).exists():
        return False
    with translate_disk_errors(folder):
        file_names = {path.name for path in folder.iterdir() if path.suffix != TEMPORARY_SUFFIX}
    initial_files = {LOCK_NAME, SYNC_MARK_NAME, MANIFEST_NAME, "segment-0000000001"}
    initial_files.add(KNOWN_VOTERS_NAME)
    if not file_names <= initial_files or _has_entries(folder, file_names):
        raise damage_error(folder / IDENTITY_NAME, "is missing while the folder holds a log")
    return True


def stored_replica_id(folder: Path) -> ReplicaId | None:
    """Return the id of the replica that owns a data folder, None if it holds no replica yet.

    :raises StorageError: if a file is missing or damaged.
    """
    if not folder.exists() or is_uninitialized(folder):
        return None
    return _IDENTITY.decode(read_file(folder / IDENTITY_NAME)).replica


def load_folder(folder: Path, replica: ReplicaId) -> LoadedFolder:
    """Read a data folder.

    :raises StorageError: if a file is missing or damaged, or the folder belongs to another replica.
    """
    identity = _IDENTITY.decode(read_file(folder / IDENTITY_NAME))
    if identity.replica != replica:
        raise StorageError(
            message=f"the data folder {folder} belongs to replica {identity.replica}",
            remedy=f"start replica {replica} with a data folder of its own",
        )
    manifest = _MANIFEST.decode(read_file(folder / MANIFEST_NAME))
    snapshot = _read_snapshot(folder, manifest)
    log = _read_segments(folder, manifest, snapshot)
    recovered = RecoveredState(
        identity=identity,
        hard_state=log.hard_state,
        snapshot=snapshot,
        entries=_entries_after_snapshot(folder, snapshot, log.entries),
        committed=log.committed,
    )
    return LoadedFolder(
        recovered=recovered,
        manifest=manifest,
        segment_ends=tuple(log.segment_ends),
        unconfirmed=log.unconfirmed,
    )


class _StoredLog:
    """Merges the batches of all segments.

    Entries that the snapshot covers are checked and dropped: they may be many times the rest.

    :param folder: the data folder.
    :param base_index: the last index that the snapshot covers, 0 for none.
    """

    def __init__(self, *, folder: Path, base_index: LogIndex) -> None:
        self.hard_state = HardState()
        self.entries: list[Entry] = []
        self.committed = LogIndex(0)
        self.segment_ends: list[SegmentEnd] = []
        self.unconfirmed: tuple[Batch, ...] = ()
        self._folder = folder
        self._base_index = base_index
        self._last_index: LogIndex | None = None

    def add_segment(self, number: int, contents: SegmentContents) -> None:
        """Add the batches of the next segment."""
        last_index = LogIndex(0)
        for batch in contents.batches:
            self._add(batch)
            last_index = max((entry.index for entry in batch.entries), default=last_index)
        self.segment_ends.append(SegmentEnd(number=number, size=contents.size, last=last_index))
        self.unconfirmed = contents.unconfirmed
        for batch in contents.unconfirmed:
            self._add(batch)

    def _add(self, batch: Batch) -> None:
        self.committed = max(self.committed, batch.committed)
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        for entry in batch.entries:
            self._add_entry(entry)

    def _add_entry(self, entry: Entry) -> None:
        if self._last_index is not None and entry.index > self._last_index + 1:
            raise damage_error(self._folder, f"lacks the entries from {self._last_index + 1}")
        self._last_index = entry.index
        if self.entries:
            kept_count = max(0, entry.index - self.entries[0].index)
            del self.entries[kept_count:]
        if entry.index > self._base_index:
            self.entries.append(entry)


def _read_segments(folder: Path, manifest: Manifest, snapshot: Snapshot | None) -> _StoredLog:
    mark = read_sync_mark(folder)
    if mark.segment > manifest.current:
        raise damage_error(folder / MANIFEST_NAME, "is older than the log")
    log = _StoredLog(folder=folder, base_index=snapshot.index if snapshot else LogIndex(0))
    for sealed in manifest.sealed:
        contents = read_sealed(folder=folder, number=sealed.number, size=sealed.size)
        log.add_segment(sealed.number, contents)
    synced_size = mark.size if mark.segment == manifest.current else 0
    contents_of_current = read_current(
        folder=folder, number=manifest.current, synced_size=synced_size
    )
    log.add_segment(manifest.current, contents_of_current)
    return log


def _read_snapshot(folder: Path, manifest: Manifest) -> Snapshot | None:
    if not manifest.snapshot:
        return None
    return _SNAPSHOT.decode(read_file(snapshot_path(folder, manifest.snapshot)))


def _entries_after_snapshot(
    folder: Path, snapshot: Snapshot | None, entries: list[Entry]
) -> tuple[Entry, ...]:
    base_index = snapshot.index if snapshot is not None else 0
    later = tuple(entry for entry in entries if entry.index > base_index)
    if later and later[0].index != base_index + 1:
        raise damage_error(
            folder, f"lacks the entries from {base_index + 1} to {later[0].index - 1}"
        )
    return later


def _has_entries(folder: Path, file_names: set[str]) -> bool:
    if "segment-0000000001" not in file_names:
        return False
    try:
        contents = read_current(folder=folder, number=1, synced_size=0)
    except StorageError:
        return (folder / MANIFEST_NAME).exists()
    return bool(contents.unconfirmed)
