"""A small file that tells how far the last segment has been synced.

It is written after each sync and not synced itself: after the end of a process it is right, and
after a power failure it may be older than the segment.
"""

import os
from pathlib import Path
from struct import Struct as Layout

from msgspec import Struct
from xxhash import xxh64_intdigest

from lychee_log.files import damaged, disk_errors

MARK_NAME = "synced"

_BODY = Layout("<QQ")
_CHECKSUM = Layout("<Q")


class Mark(Struct, frozen=True, kw_only=True):
    """How far a segment has been synced.

    :param segment: its number.
    :param size: length in bytes.
    """

    segment: int
    size: int


class MarkFile:
    """Writes the mark.

    :param folder: the data folder.
    """

    def __init__(self, *, folder: Path) -> None:
        self._path = folder / MARK_NAME
        with disk_errors(self._path):
            self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o640)

    def write(self, mark: Mark) -> None:
        """Replace the mark."""
        body = _BODY.pack(mark.segment, mark.size)
        with disk_errors(self._path):
            os.pwrite(self._fd, body + _CHECKSUM.pack(xxh64_intdigest(body)), 0)

    def sync(self) -> None:
        """Return once the mark is on the disk."""
        with disk_errors(self._path):
            os.fdatasync(self._fd)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)


def read_mark(folder: Path) -> Mark:
    """Return the mark.

    :raises StorageError: if it is missing or damaged.
    """
    path = folder / MARK_NAME
    if not path.exists():
        raise damaged(path, "is missing")
    with disk_errors(path):
        data = path.read_bytes()
    if len(data) != _BODY.size + _CHECKSUM.size:
        raise damaged(path, "has the wrong size")
    body = data[: _BODY.size]
    if _CHECKSUM.unpack(data[_BODY.size :]) != (xxh64_intdigest(body),):
        raise damaged(path, "does not match its checksum")
    segment, size = _BODY.unpack(body)
    return Mark(segment=segment, size=size)
