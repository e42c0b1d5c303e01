"""A small file that records up to which length the current segment has been synced.

It is written after each sync but not synced itself: it is correct after a process ends or crashes,
and may be older than the segment after a power failure.
"""

import os
from pathlib import Path
from struct import Struct as Layout

from msgspec import Struct
from xxhash import xxh64_intdigest

from lychee_log.files import damage_error, translate_disk_errors

SYNC_MARK_NAME = "synced"

_BODY = Layout("<QQ")
_CHECKSUM = Layout("<Q")


class SyncMark(Struct, frozen=True, kw_only=True):
    """Length up to which a segment has been synced.

    :param segment: the segment's number.
    :param size: the length in bytes.
    """

    segment: int
    size: int


class SyncMarkFile:
    """Writes the sync mark.

    :param folder: the data folder.
    """

    def __init__(self, *, folder: Path) -> None:
        self._path = folder / SYNC_MARK_NAME
        with translate_disk_errors(self._path):
            self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o640)

    def write(self, mark: SyncMark) -> None:
        """Overwrite the sync mark."""
        payload = _BODY.pack(mark.segment, mark.size)
        with translate_disk_errors(self._path):
            os.pwrite(self._fd, payload + _CHECKSUM.pack(xxh64_intdigest(payload)), 0)

    def sync(self) -> None:
        """Sync the mark to disk."""
        with translate_disk_errors(self._path):
            os.fdatasync(self._fd)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)


def read_sync_mark(folder: Path) -> SyncMark:
    """Read the sync mark.

    :raises StorageError: if it is missing or damaged.
    """
    path = folder / SYNC_MARK_NAME
    if not path.exists():
        raise damage_error(path, "is missing")
    with translate_disk_errors(path):
        data = path.read_bytes()
    if len(data) != _BODY.size + _CHECKSUM.size:
        raise damage_error(path, "has the wrong size")
    payload = data[: _BODY.size]
    if _CHECKSUM.unpack(data[_BODY.size :]) != (xxh64_intdigest(payload),):
        raise damage_error(path, "does not match its checksum")
    segment, size = _BODY.unpack(payload)
    return SyncMark(segment=segment, size=size)
