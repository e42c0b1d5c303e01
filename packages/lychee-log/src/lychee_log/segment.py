"""Segments: files to which batches are only ever appended."""

import os
from pathlib import Path

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_log.files import (
    Disk,
    damaged,
    disk_errors,
    find_frame,
    pack_frame,
    read_frame,
    sync_folder,
)
from lychee_log.records import Entry, HardState


class Batch(Struct, frozen=True, kw_only=True):
    """What one write stores; it is there as a whole or not at all.

    :param hard_state: term and vote from here on, None if they stay.
    :param entries: they replace earlier entries of the same and later indexes.
    """

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()


_ENCODER = Encoder()
_DECODER = Decoder(Batch)


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment."""
    return folder / f"segment-{number:010d}"


class SegmentWriter:
    """Appends batches to the last segment.

    :param folder: the data folder.
    :param number: the segment's number.
    :param size: length of what is valid in it, in bytes.
    """

    def __init__(self, *, folder: Path, number: int, size: int, disk: Disk) -> None:
        self.number = number
        self.size = size
        self._disk = disk
        self._path = segment_path(folder, number)
        with disk_errors(self._path):
            self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o640)
            self._cut()

    @classmethod
    def create(
        cls, *, folder: Path, number: int, hard_state: HardState, disk: Disk
    ) -> "SegmentWriter":
        """Begin a segment with the term and vote in force."""
        writer = cls(folder=folder, number=number, size=0, disk=disk)
        try:
            writer.append(Batch(hard_state=hard_state))
        except BaseException:
            writer.close()
            raise
        sync_folder(folder)
        return writer

    def append(self, batch: Batch) -> None:
        """Append a batch and sync it.

        A batch that found no room is cut off again, so that the call can be repeated.

        :raises DiskFullError: if there is no room; nothing counts as stored.
        :raises StorageError: if the disk fails.
        """
        data = pack_frame(_ENCODER.encode(batch), number=self.number, offset=self.size)
        with disk_errors(self._path):
            self._cut()
            self._disk.write(self._fd, data)
            self._disk.sync(self._fd)
        self.size += len(data)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)

    def _cut(self) -> None:
        if os.fstat(self._fd).st_size != self.size:
            os.ftruncate(self._fd, self.size)
            os.fsync(self._fd)
        os.lseek(self._fd, self.size, os.SEEK_SET)


class SegmentContents(Struct, frozen=True, kw_only=True):
    """What was found in a segment.

    :param batches: the whole batches in order.
    :param size: length of them in bytes; what follows was never acknowledged.
    """

    batches: tuple[Batch, ...]
    size: int


def read_segment(*, folder: Path, number: int, synced: int, may_be_torn: bool) -> SegmentContents:
    """Return the batches of a segment.

    :param synced: length that is known to have been synced.
    :param may_be_torn: whether a write may have been under way at its end.
    :raises StorageError: if something that may have been acknowledged is missing or damaged.
    """
    path = segment_path(folder, number)
    if not path.exists():
        raise damaged(path, "is missing")
    with disk_errors(path):
        data = path.read_bytes()
    batches, offset = [], 0
    while frame := read_frame(data, number=number, offset=offset):
        batches.append(_DECODER.decode(frame.payload))
        offset = frame.end
    if offset < synced:
        raise damaged(path, f"is damaged at byte {offset}; {synced} bytes had been synced")
    if offset < len(data):
        if not may_be_torn or find_frame(data, number=number, after=offset) is not None:
            raise damaged(path, f"is damaged at byte {offset}, before its end")
    if not batches:
        raise damaged(path, "is empty")
    return SegmentContents(batches=tuple(batches), size=offset)
