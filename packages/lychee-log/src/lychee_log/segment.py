"""Segments: files to which batches are only ever appended."""

import os
from pathlib import Path

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_log.files import (
    Disk,
    Frame,
    damaged,
    disk_errors,
    find_frame,
    pack_frame,
    read_frame,
    sync_folder,
)
from lychee_log.records import Entry, HardState
from lychee_types.ids import LogIndex


class Batch(Struct, frozen=True, kw_only=True):
    """What one write stores; it is there as a whole or not at all.

    :param hard_state: term and vote from here on, None if they stay.
    :param committed: an index up to which entries are committed, 0 for none.
    :param entries: they replace earlier entries of the same and later indexes.
    """

    hard_state: HardState | None = None
    committed: LogIndex = LogIndex(0)
    entries: tuple[Entry, ...] = ()


_ENCODER = Encoder()
_DECODER = Decoder(Batch)


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment."""
    return folder / f"segment-{number:010d}"


class SegmentWriter:
    """Appends batches to the last segment; what follows its valid length is cut off first.

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

    :param batches: the batches that are known to have been synced.
    :param size: length of them in bytes.
    :param unmarked: whole batches after them, which may or may not have been acknowledged.
    """

    batches: tuple[Batch, ...]
    size: int
    unmarked: tuple[Batch, ...] = ()


def read_sealed(*, folder: Path, number: int, size: int) -> SegmentContents:
    """Return the batches of a segment to which nothing is appended any more.

    :param size: its length in bytes; what follows has been stored again in a later segment.
    :raises StorageError: if it is missing or damaged.
    """
    path = segment_path(folder, number)
    data = _read(path)[:size]
    frames = _frames(data, number=number)
    end = frames[-1].end if frames else 0
    if end != size:
        raise damaged(path, f"is damaged at byte {end} of {size}")
    return SegmentContents(batches=_decode(frames), size=size)


def read_current(*, folder: Path, number: int, synced: int) -> SegmentContents:
    """Return the batches of the segment to which batches are appended.

    A torn write at its end is left out. It was never acknowledged: no whole batch follows it.

    :param synced: length that is known to have been synced.
    :raises StorageError: if something that may have been acknowledged is missing or damaged.
    """
    path = segment_path(folder, number)
    data = _read(path)
    frames = _frames(data, number=number)
    if not frames:
        raise damaged(path, "is empty or damaged at its beginning")
    end = frames[-1].end
    if end < synced:
        raise damaged(path, f"is damaged at byte {end}; {synced} bytes had been synced")
    if find_frame(data, number=number, after=end) is not None:
        raise damaged(path, f"is damaged at byte {end}, before its end")
    marked = [frame for frame in frames if frame.end <= synced] or frames[:1]
    return SegmentContents(
        batches=_decode(marked),
        size=marked[-1].end,
        unmarked=_decode(frames[len(marked) :]),
    )


def _read(path: Path) -> bytes:
    if not path.exists():
        raise damaged(path, "is missing")
    with disk_errors(path):
        return path.read_bytes()


def _frames(data: bytes, *, number: int) -> list[Frame]:
    frames: list[Frame] = []
    offset = 0
    while frame := read_frame(data, number=number, offset=offset):
        frames.append(frame)
        offset = frame.end
    return frames


def _decode(frames: list[Frame]) -> tuple[Batch, ...]:
    return tuple(_DECODER.decode(frame.payload) for frame in frames)
