"""The data folder of a replica.

======================  =======================================================================
``identity``            whose folder it is; written last when the folder is made
``manifest``            which segments and which snapshot are in force
``segment-N``           batches of entries, terms and votes, only ever appended to
``snapshot-N``          the machine's state after entry N
``synced``              how far the last segment is known to have been synced
``lock``                held by the process that uses the folder
======================  =======================================================================
"""

import fcntl
import os
import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from lychee_log.effects import SaveSnapshot, Write
from lychee_log.exceptions import StorageError
from lychee_log.files import TEMPORARY, Disk, SystemDisk, disk_errors, replace_file
from lychee_log.mark import MARK_NAME, Mark, MarkFile
from lychee_log.records import HardState, Identity, Recovered, Snapshot, StorageId
from lychee_log.recovery import (
    IDENTITY_NAME,
    LOCK_NAME,
    MANIFEST_NAME,
    Loaded,
    Manifest,
    Sealed,
    encode_record,
    is_new,
    load,
    snapshot_path,
)
from lychee_log.segment import Batch, SegmentWriter, segment_path
from lychee_types.ids import LogIndex, ReplicaId

SEGMENT_BYTES = 67_108_864
"""Size at which a new segment is begun, in bytes."""


class Storage:
    """Writes to a data folder; each call returns once its data is on the disk.

    After :class:`DiskFullError` the same call can be repeated. After any other error the folder
    must be opened again.

    :param folder: the data folder, held by this process.
    :param loaded: what was read from it.
    :param disk: the calls that can fail.
    """

    def __init__(self, *, folder: Path, loaded: Loaded, disk: Disk) -> None:
        self._recovered: Recovered | None = loaded.recovered
        self._folder = folder
        self._disk = disk
        self._manifest = loaded.manifest
        self._hard_state = loaded.recovered.hard_state
        self._lasts = {end.number: end.last for end in loaded.ends}
        end = loaded.ends[-1]
        self._mark = MarkFile(folder=folder)
        self._writer = SegmentWriter(folder=folder, number=end.number, size=end.size, disk=disk)
        if loaded.unmarked:
            self._store_again(loaded.unmarked)
        self._set_mark()
        self._remove_left_over()

    def take_recovered(self) -> Recovered:
        """Return what was found in the folder; only once, so that it does not stay in memory."""
        recovered, self._recovered = self._recovered, None
        if recovered is None:
            raise StorageError(
                message=f"what {self._folder} held has been taken already",
                remedy="open the folder again",
            )
        return recovered

    def write(self, write: Write) -> None:
        """Store a write.

        :raises DiskFullError: if there is no room; nothing of it counts as stored.
        :raises StorageError: if the disk fails.
        """
        if write.identity is not None:
            self._store_identity(write.identity)
        if write.hard_state is None and not write.entries and not write.committed:
            return
        self._writer.append(
            Batch(hard_state=write.hard_state, entries=write.entries, committed=write.committed)
        )
        self._set_mark()
        if write.hard_state is not None:
            self._hard_state = write.hard_state
        if write.entries:
            number = self._writer.number
            self._lasts[number] = max(self._lasts[number], write.entries[-1].index)
        if self._writer.size >= SEGMENT_BYTES:
            self._begin_segment(self._sealed_from(LogIndex(0)), self._manifest.snapshot)

    def prepare_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot that is not in force yet; may run beside the other calls.

        :raises DiskFullError: if there is no room.
        :raises StorageError: if the disk fails.
        """
        path = snapshot_path(self._folder, snapshot.index)
        replace_file(path, encode_record(snapshot), disk=self._disk)

    def save_snapshot(self, save: SaveSnapshot) -> None:
        """Put a snapshot in force and drop the segments that it makes needless.

        :raises DiskFullError: if there is no room; the folder is as before.
        :raises StorageError: if the disk fails.
        """
        index = save.snapshot.index
        if save.keep_from is None or not snapshot_path(self._folder, index).exists():
            self.prepare_snapshot(save.snapshot)
        kept = () if save.keep_from is None else self._sealed_from(save.keep_from)
        self._begin_segment(kept, index)
        self._remove_old()

    def close(self) -> None:
        """Close the files."""
        self._writer.close()
        self._mark.close()

    def _store_again(self, batches: tuple[Batch, ...]) -> None:
        """Write batches anew that a failed sync may have left in memory only."""
        entries = tuple(entry for batch in batches for entry in batch.entries)
        self._begin_segment(
            self._sealed_from(LogIndex(0)), self._manifest.snapshot, batches=batches
        )
        highest = max((entry.index for entry in entries), default=LogIndex(0))
        self._lasts[self._writer.number] = highest

    def _sealed_from(self, index: LogIndex) -> tuple[Sealed, ...]:
        """Return the segments needed for the entries from an index on, all of them as sealed."""
        last = Sealed(number=self._writer.number, size=self._writer.size)
        segments = (*self._manifest.sealed, last)
        needed = [each.number for each in segments if self._lasts[each.number] >= index]
        return tuple(each for each in segments if needed and each.number >= needed[0])

    def _begin_segment(
        self, sealed: tuple[Sealed, ...], snapshot: LogIndex, *, batches: tuple[Batch, ...] = ()
    ) -> None:
        number = self._writer.number + 1
        writer = SegmentWriter.create(
            folder=self._folder, number=number, hard_state=self._hard_state, disk=self._disk
        )
        try:
            if batches:
                writer.append(_merged(batches))
            manifest = Manifest(current=number, sealed=sealed, snapshot=snapshot)
            _store_manifest(self._folder, manifest, disk=self._disk)
        except BaseException:
            writer.close()
            raise
        self._manifest = manifest
        self._lasts[number] = LogIndex(0)
        self._writer.close()
        self._writer = writer
        self._set_mark()

    def _set_mark(self) -> None:
        self._mark.write(Mark(segment=self._writer.number, size=self._writer.size))

    def _store_identity(self, identity: Identity) -> None:
        replace_file(self._folder / IDENTITY_NAME, encode_record(identity), disk=self._disk)

    def _remove_left_over(self) -> None:
        """Remove what an interrupted call left, once the manifest is surely on the disk."""
        if self._unlisted():
            _store_manifest(self._folder, self._manifest, disk=self._disk)
        with disk_errors(self._folder):
            for path in self._unlisted():
                path.unlink()

    def _remove_old(self) -> None:
        """Remove the segments and snapshots before those in force."""
        first = segment_path(self._folder, self._manifest.segments[0])
        snapshot = snapshot_path(self._folder, self._manifest.snapshot)
        with disk_errors(self._folder):
            segments = [path for path in self._folder.glob("segment-*") if path < first]
            snapshots = [path for path in self._folder.glob("snapshot-*") if path < snapshot]
            for path in segments + snapshots:
                if path.suffix != TEMPORARY:
                    path.unlink()

    def _unlisted(self) -> list[Path]:
        listed = {segment_path(self._folder, number) for number in self._manifest.segments}
        listed.add(snapshot_path(self._folder, self._manifest.snapshot))
        fixed = {IDENTITY_NAME, MANIFEST_NAME, MARK_NAME, LOCK_NAME}
        with disk_errors(self._folder):
            files = list(self._folder.iterdir())
        return [path for path in files if path not in listed and path.name not in fixed]


def _merged(batches: tuple[Batch, ...]) -> Batch:
    """Return batches as one, so that storing them takes one sync.

    After a loss of power there may be thousands, and the replica answers nobody meanwhile.
    """
    states = [batch.hard_state for batch in batches if batch.hard_state is not None]
    entries = tuple(entry for batch in batches for entry in batch.entries)
    return Batch(
        hard_state=states[-1] if states else None,
        entries=entries,
        committed=max(batch.committed for batch in batches),
    )


@contextmanager
def open_storage(
    *, folder: Path, replica: ReplicaId, disk: Disk | None = None
) -> Iterator[Storage]:
    """Open a data folder, making it if it is empty, until the block ends.

    :param folder: the data folder.
    :param replica: the replica's id.
    :param disk: the calls that can fail.
    :raises StorageError: if it cannot be used, is damaged, or is another replica's.
    """
    disk = disk or SystemDisk()
    with disk_errors(folder):
        folder.mkdir(parents=True, exist_ok=True)
    with _locked(folder):
        if is_new(folder):
            _make(folder, replica, disk=disk)
        storage = Storage(folder=folder, loaded=load(folder, replica), disk=disk)
        try:
            yield storage
        finally:
            storage.close()


@contextmanager
def _locked(folder: Path) -> Iterator[None]:
    with disk_errors(folder / LOCK_NAME):
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


def _make(folder: Path, replica: ReplicaId, *, disk: Disk) -> None:
    writer = SegmentWriter.create(folder=folder, number=1, hard_state=HardState(), disk=disk)
    mark = MarkFile(folder=folder)
    mark.write(Mark(segment=1, size=writer.size))
    mark.sync()
    mark.close()
    writer.close()
    _store_manifest(folder, Manifest(current=1), disk=disk)
    identity = Identity(replica=replica, storage=StorageId(secrets.randbits(62) + 1))
    replace_file(folder / IDENTITY_NAME, encode_record(identity), disk=disk)


def _store_manifest(folder: Path, manifest: Manifest, *, disk: Disk) -> None:
    replace_file(folder / MANIFEST_NAME, encode_record(manifest), disk=disk)
