"""Writes the data folder of a replica.

======================  =======================================================================
``identity``            the replica that owns the folder; written last during initialization
``manifest``            the segments and the snapshot in use
``segment-N``           append-only file with batches of entries, terms and votes
``snapshot-N``          state of the state machine after entry N
``synced``              length up to which the current segment is known to be synced
``lock``                locked by the process that uses the folder
``known-voters``        voters that a replica outside the group was last told of
======================  =======================================================================
"""

import fcntl
import os
import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from msgspec.structs import replace

from lychee_log.effects import SaveSnapshot, Write
from lychee_log.exceptions import StorageError
from lychee_log.files import (
    TEMPORARY_SUFFIX,
    Disk,
    SystemDisk,
    replace_file,
    sync_folder,
    translate_disk_errors,
)
from lychee_log.mark import SYNC_MARK_NAME, SyncMark, SyncMarkFile
from lychee_log.records import HardState, Identity, RecoveredState, Snapshot, StorageId
from lychee_log.recovery import (
    IDENTITY_NAME,
    KNOWN_VOTERS_NAME,
    LOCK_NAME,
    MANIFEST_NAME,
    LoadedFolder,
    Manifest,
    SealedSegment,
    encode_record,
    is_uninitialized,
    load_folder,
    snapshot_path,
)
from lychee_log.segment import Batch, SegmentWriter, segment_path
from lychee_types.ids import LogIndex, ReplicaId

SEGMENT_BYTES = 16_777_216
"""Size at which a new segment is started, in bytes."""


class Storage:
    """Writes to a data folder; each call returns once its data is on disk.

    After :class:`DiskFullError` the same call can be retried. After any other error the folder must
    be opened again.

    :param folder: the data folder, locked by this process.
    :param loaded: the contents read from it.
    :param disk: the disk operations that can fail.
    """

    def __init__(self, *, folder: Path, loaded: LoadedFolder, disk: Disk) -> None:
        self._recovered_state: RecoveredState | None = loaded.recovered
        self._folder = folder
        self._disk = disk
        self._manifest = loaded.manifest
        self._hard_state = loaded.recovered.hard_state
        self._last_indexes = {segment.number: segment.last for segment in loaded.segment_ends}
        current = loaded.segment_ends[-1]
        self._sync_mark = SyncMarkFile(folder=folder)
        self._writer = SegmentWriter(
            folder=folder, number=current.number, size=current.size, disk=disk
        )
        self._leave_out_covered_segments()
        if loaded.unconfirmed:
            self._rewrite_unconfirmed(loaded.unconfirmed)
        self._write_sync_mark()
        self._remove_unlisted_files()

    def take_recovered_state(self) -> RecoveredState:
        """Return the state read from the folder, once only, so that it is not kept in memory."""
        recovered, self._recovered_state = self._recovered_state, None
        if recovered is None:
            raise StorageError(
                message=f"the state read from {self._folder} has already been taken",
                remedy="open the folder again",
            )
        return recovered

    def write(self, write: Write) -> None:
        """Store a write.

        :raises DiskFullError: if the disk is full; no part of the write counts as stored.
        :raises StorageError: if the disk fails.
        """
        if write.identity is not None:
            self._store_identity(write.identity)
        if write.hard_state is None and not write.entries and not write.committed:
            return
        self._writer.append(
            Batch(hard_state=write.hard_state, entries=write.entries, committed=write.committed)
        )
        self._write_sync_mark()
        if write.hard_state is not None:
            self._hard_state = write.hard_state
        if write.entries:
            number = self._writer.number
            self._last_indexes[number] = max(self._last_indexes[number], write.entries[-1].index)
        if self._writer.size >= SEGMENT_BYTES:
            self._start_segment(self._segments_from(LogIndex(0)), self._manifest.snapshot)

    def prepare_snapshot(self, snapshot: Snapshot) -> None:
        """Write the file of a snapshot that is not in use yet.

        May run concurrently with the other calls.

        :raises DiskFullError: if the disk is full.
        :raises StorageError: if the disk fails.
        """
        path = snapshot_path(self._folder, snapshot.index)
        replace_file(path, encode_record(snapshot), disk=self._disk)

    def save_snapshot(self, save: SaveSnapshot) -> None:
        """Make a snapshot the one in use, and remove the segments that it makes obsolete.

        :raises DiskFullError: if the disk is full; the folder is unchanged.
        :raises StorageError: if the disk fails.
        """
        index = save.snapshot.index
        if save.keep_from is None or not snapshot_path(self._folder, index).exists():
            self.prepare_snapshot(save.snapshot)
        kept_segments = () if save.keep_from is None else self._segments_from(save.keep_from)
        self._start_segment(kept_segments, index)
        self._remove_obsolete_files()

    def close(self) -> None:
        """Close the files."""
        self._writer.close()
        self._sync_mark.close()

    def _rewrite_unconfirmed(self, batches: tuple[Batch, ...]) -> None:
        """Write unconfirmed batches to a new segment.

        After a failed sync they may have been in memory only, even though the file could be read.
        """
        entries = tuple(entry for batch in batches for entry in batch.entries)
        self._start_segment(
            self._segments_from(LogIndex(0)), self._manifest.snapshot, batches=batches
        )
        last_index = max((entry.index for entry in entries), default=LogIndex(0))
        self._last_indexes[self._writer.number] = last_index

    def _leave_out_covered_segments(self) -> None:
        """Leave out the segments whose entries the snapshot covers; nobody reads them any more."""
        first = self._manifest.snapshot + 1
        sealed = self._manifest.sealed
        while sealed and self._last_indexes[sealed[0].number] < first:
            sealed = sealed[1:]
        self._manifest = replace(self._manifest, sealed=sealed)

    def _segments_from(self, index: LogIndex) -> tuple[SealedSegment, ...]:
        """Return the segments that hold entries from an index on, the current one as sealed."""
        current = SealedSegment(number=self._writer.number, size=self._writer.size)
        segments = (*self._manifest.sealed, current)
        needed = [
            segment.number for segment in segments if self._last_indexes[segment.number] >= index
        ]
        return tuple(segment for segment in segments if needed and segment.number >= needed[0])

    def _start_segment(
        self,
        sealed: tuple[SealedSegment, ...],
        snapshot: LogIndex,
        *,
        batches: tuple[Batch, ...] = (),
    ) -> None:
        number = self._writer.number + 1
        writer = SegmentWriter.create(
            folder=self._folder, number=number, hard_state=self._hard_state, disk=self._disk
        )
        try:
            if batches:
                writer.append(_merge_batches(batches))
            manifest = Manifest(current=number, sealed=sealed, snapshot=snapshot)
            _store_manifest(self._folder, manifest, disk=self._disk)
        except BaseException:
            writer.close()
            raise
        self._manifest = manifest
        self._last_indexes[number] = LogIndex(0)
        self._writer.close()
        self._writer = writer
        self._write_sync_mark()

    def _write_sync_mark(self) -> None:
        self._sync_mark.write(SyncMark(segment=self._writer.number, size=self._writer.size))

    def _store_identity(self, identity: Identity) -> None:
        replace_file(self._folder / IDENTITY_NAME, encode_record(identity), disk=self._disk)

    def _remove_unlisted_files(self) -> None:
        """Remove files that an interrupted call left behind.

        Stores the manifest first: the one that was read may not be synced yet.
        """
        if self._unlisted_files():
            _store_manifest(self._folder, self._manifest, disk=self._disk)
        with translate_disk_errors(self._folder):
            for path in self._unlisted_files():
                path.unlink()

    def _remove_obsolete_files(self) -> None:
        """Remove the segments and snapshots older than those in use."""
        first_segment = segment_path(self._folder, self._manifest.segments[0])
        current_snapshot = snapshot_path(self._folder, self._manifest.snapshot)
        with translate_disk_errors(self._folder):
            segments = [path for path in self._folder.glob("segment-*") if path < first_segment]
            snapshots = [
                path for path in self._folder.glob("snapshot-*") if path < current_snapshot
            ]
            for path in segments + snapshots:
                if path.suffix != TEMPORARY_SUFFIX:
                    path.unlink()

    def _unlisted_files(self) -> list[Path]:
        listed_paths = {segment_path(self._folder, number) for number in self._manifest.segments}
        listed_paths.add(snapshot_path(self._folder, self._manifest.snapshot))
        fixed_names = {IDENTITY_NAME, MANIFEST_NAME, SYNC_MARK_NAME, LOCK_NAME, KNOWN_VOTERS_NAME}
        with translate_disk_errors(self._folder):
            files = list(self._folder.iterdir())
        return [path for path in files if path not in listed_paths and path.name not in fixed_names]


def _merge_batches(batches: tuple[Batch, ...]) -> Batch:
    """Merge batches into one, so that a single sync stores them.

    After a power failure there may be thousands, and the replica answers no requests until they are
    stored.
    """
    hard_states = [batch.hard_state for batch in batches if batch.hard_state is not None]
    entries = tuple(entry for batch in batches for entry in batch.entries)
    return Batch(
        hard_state=hard_states[-1] if hard_states else None,
        entries=entries,
        committed=max(batch.committed for batch in batches),
    )


@contextmanager
def open_storage(
    *, folder: Path, replica: ReplicaId, disk: Disk | None = None
) -> Iterator[Storage]:
    """Open and lock a data folder for the duration of a ``with`` block; initialize an empty one.

    :param folder: the data folder.
    :param replica: the replica's id.
    :param disk: the disk operations that can fail.
    :raises StorageError: if the folder cannot be used, is damaged, or belongs to another replica.
    """
    disk = disk or SystemDisk()
    _make_folder(folder)
    with _lock_folder(folder):
        if is_uninitialized(folder):
            _initialize_folder(folder, replica, disk=disk)
        storage = Storage(folder=folder, loaded=load_folder(folder, replica), disk=disk)
        try:
            yield storage
        finally:
            storage.close()


def _make_folder(folder: Path) -> None:
    """Make a folder and those above it, synced: what is stored in it is lost with its name."""
    with translate_disk_errors(folder):
        missing = [each for each in (folder, *folder.parents) if not each.exists()]
        folder.mkdir(parents=True, exist_ok=True)
    for made in missing:
        sync_folder(made.parent)


@contextmanager
def _lock_folder(folder: Path) -> Iterator[None]:
    with translate_disk_errors(folder / LOCK_NAME):
        fd = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o640)
    try:
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            raise StorageError(
                message=f"another process uses the data folder {folder}",
                remedy="stop that process, or give this one a folder of its own",
            ) from exc
        yield
    finally:
        os.close(fd)


def _initialize_folder(folder: Path, replica: ReplicaId, *, disk: Disk) -> None:
    writer = SegmentWriter.create(folder=folder, number=1, hard_state=HardState(), disk=disk)
    sync_mark = SyncMarkFile(folder=folder)
    sync_mark.write(SyncMark(segment=1, size=writer.size))
    sync_mark.sync()
    sync_mark.close()
    writer.close()
    _store_manifest(folder, Manifest(current=1), disk=disk)
    identity = Identity(replica=replica, storage=StorageId(secrets.randbits(62) + 1))
    replace_file(folder / IDENTITY_NAME, encode_record(identity), disk=disk)


def _store_manifest(folder: Path, manifest: Manifest, *, disk: Disk) -> None:
    replace_file(folder / MANIFEST_NAME, encode_record(manifest), disk=disk)
