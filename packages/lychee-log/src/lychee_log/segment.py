"""Segments: append-only files of batches."""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_log.files import (
    Disk,
    Frame,
    damage_error,
    find_frame,
    pack_frame,
    read_frame,
    sync_folder,
    translate_disk_errors,
)
from lychee_log.records import Entry, HardState
from lychee_types.ids import LogIndex


class Batch(Struct, frozen=True, kw_only=True):
    """The contents of one write, stored atomically.

    :param hard_state: new term and vote, None if they are unchanged.
    :param committed: an index up to which entries are committed, 0 for none.
    :param entries: new entries; they replace earlier entries from the first one's index on.
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
    """Appends batches to the current segment; truncates it to its valid length first.

    :param folder: the data folder.
    :param number: the segment's number.
    :param size: valid length of the segment in bytes.
    :param disk: the disk operations that can fail.
    """

    def __init__(self, *, folder: Path, number: int, size: int, disk: Disk) -> None:
        self.number = number
        self.size = size
        self._disk = disk
        self._path = segment_path(folder, number)
        with translate_disk_errors(self._path):
            self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o640)

    @classmethod
    def create(
        cls, *, folder: Path, number: int, hard_state: HardState, disk: Disk
    ) -> "SegmentWriter":
        """Create a segment that starts with the current term and vote."""
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

        The next call truncates a batch that was written only in part, so the call can be retried.

        :raises DiskFullError: if the disk is full; no part of the batch counts as stored.
        :raises StorageError: if the disk fails.
        """
        data = pack_frame(_ENCODER.encode(batch), number=self.number, offset=self.size)
        with translate_disk_errors(self._path):
            self._truncate_tail()
            self._disk.write(self._fd, data)
            self._disk.sync(self._fd)
        self.size += len(data)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)

    def _truncate_tail(self) -> None:
        if os.fstat(self._fd).st_size != self.size:
            os.ftruncate(self._fd, self.size)
            os.fsync(self._fd)
        os.lseek(self._fd, self.size, os.SEEK_SET)


class SegmentContents(Struct, frozen=True, kw_only=True):
    """The contents of a segment.

    :param batches: the batches that are known to have been synced, each decoded when it is its
        turn, so that not all are in memory at once.
    :param size: their total length in bytes.
    :param unconfirmed: complete batches after them, which may or may not have been acknowledged.
    """

    batches: Iterable[Batch]
    size: int
    unconfirmed: tuple[Batch, ...] = ()


def read_sealed(*, folder: Path, number: int, size: int) -> SegmentContents:
    """Read the batches of a sealed segment.

    :param size: its length in bytes; data beyond it has been stored again in a later segment.
    :raises StorageError: if the segment is missing or damaged.
    """
    path = segment_path(folder, number)
    data = memoryview(_read_segment(path))[:size]
    frames = _read_frames(data, number=number)
    end = frames[-1].end if frames else 0
    if end != size:
        raise damage_error(path, f"is damaged at byte {end} of {size}")
    return SegmentContents(batches=_decode_batches(frames), size=size)


def read_current(*, folder: Path, number: int, synced_size: int) -> SegmentContents:
    """Read the batches of the current segment.

    An incomplete write at the end is ignored: no complete batch follows it, so it was never
    acknowledged.

    :param synced_size: length that is known to have been synced.
    :raises StorageError: if data that may have been acknowledged is missing or damaged.
    """
    path = segment_path(folder, number)
    data = _read_segment(path)
    frames = _read_frames(memoryview(data), number=number)
    if not frames:
        raise damage_error(path, "is empty or damaged at its beginning")
    end = frames[-1].end
    if end < synced_size:
        raise damage_error(path, f"is damaged at byte {end}; {synced_size} bytes had been synced")
    if find_frame(data, number=number, after=end) is not None:
        raise damage_error(path, f"is damaged at byte {end}, before its end")
    synced_frames = [frame for frame in frames if frame.end <= synced_size] or frames[:1]
    return SegmentContents(
        batches=_decode_batches(synced_frames),
        size=synced_frames[-1].end,
        unconfirmed=tuple(_decode_batches(frames[len(synced_frames) :])),
    )


def _read_segment(path: Path) -> bytes:
    if not path.exists():
        raise damage_error(path, "is missing")
    with translate_disk_errors(path):
        return path.read_bytes()


def _read_frames(data: memoryview, *, number: int) -> list[Frame]:
    frames: list[Frame] = []
    offset = 0
    while frame := read_frame(data, number=number, offset=offset):
        frames.append(frame)
        offset = frame.end
    return frames


def _decode_batches(frames: list[Frame]) -> Iterator[Batch]:
    return (_DECODER.decode(frame.payload) for frame in frames)
