"""Checked frames and files that are replaced as a whole."""

import errno
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from struct import Struct as Layout
from typing import Protocol

from xxhash import xxh64_intdigest

from lychee_log.exceptions import NEW_REPLICA_REMEDY, DiskFullError, StorageError

MAGIC = b"LyFr"
"""First bytes of each frame."""

_HEAD = Layout("<4sIQ")
_NO_ROOM = (errno.ENOSPC, errno.EDQUOT)

TEMPORARY = ".tmp"
"""Suffix of a file that is not complete."""


class Disk(Protocol):
    """The calls that can fail when a disk is full or broken."""

    def write(self, fd: int, data: bytes) -> None:
        """Write all bytes at the file's position."""
        ...

    def sync(self, fd: int) -> None:
        """Return once the file's data and size are on the disk."""
        ...


class SystemDisk:
    """The operating system's calls."""

    def write(self, fd: int, data: bytes) -> None:
        """Write all bytes at the file's position."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]

    def sync(self, fd: int) -> None:
        """Return once the file's data and size are on the disk."""
        os.fdatasync(fd)


class Frame:
    """A payload found in a file.

    :param payload: its bytes.
    :param end: offset just after the frame.
    """

    __slots__ = ("payload", "end")

    def __init__(self, *, payload: bytes, end: int) -> None:
        self.payload = payload
        self.end = end


def pack_frame(payload: bytes, *, number: int, offset: int) -> bytes:
    """Return a payload with its head and checksum.

    :param number: number of the file, part of the checksum.
    :param offset: where in the file the frame begins, part of the checksum.
    """
    return _HEAD.pack(MAGIC, len(payload), _checksum(payload, number, offset)) + payload


def read_frame(data: bytes, *, number: int, offset: int) -> Frame | None:
    """Return the whole frame that begins at an offset, None if there is none."""
    start = offset + _HEAD.size
    if start > len(data):
        return None
    magic, size, checksum = _HEAD.unpack_from(data, offset)
    payload = data[start : start + size]
    if magic != MAGIC or len(payload) < size:
        return None
    if checksum != _checksum(payload, number, offset):
        return None
    return Frame(payload=payload, end=start + size)


def find_frame(data: bytes, *, number: int, after: int) -> int | None:
    """Return the offset of the first whole frame that begins after an offset, or None."""
    offset = data.find(MAGIC, after + 1)
    while offset >= 0:
        if read_frame(data, number=number, offset=offset) is not None:
            return offset
        offset = data.find(MAGIC, offset + 1)
    return None


@contextmanager
def disk_errors(path: Path) -> Iterator[None]:
    """Turn the operating system's errors into :class:`StorageError`.

    :raises DiskFullError: if there is no room left.
    :raises StorageError: for any other error.
    """
    try:
        yield
    except OSError as exc:
        if exc.errno in _NO_ROOM:
            raise DiskFullError(
                message=f"no room to write {path}: {exc.strerror}",
                remedy="free room on the disk of the data folder",
            ) from exc
        raise StorageError(
            message=f"{path} cannot be read or written: {exc.strerror or exc}",
            remedy="check the disk and the rights; if the disk is broken, " + NEW_REPLICA_REMEDY,
        ) from exc


def damaged(path: Path, fault: str) -> StorageError:
    """Return the error for a file that is missing or damaged.

    :param path: the file.
    :param fault: what is wrong with it.
    """
    return StorageError(message=f"{path} {fault}", remedy=NEW_REPLICA_REMEDY)


def sync_folder(folder: Path) -> None:
    """Return once the folder's list of files is on the disk."""
    with disk_errors(folder):
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def replace_file(path: Path, payload: bytes, *, disk: Disk) -> None:
    """Replace a file as a whole and sync it.

    :param path: the file.
    :param payload: its new contents, stored as one frame.
    """
    temporary = path.with_name(path.name + TEMPORARY)
    with disk_errors(path):
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)
        try:
            disk.write(fd, pack_frame(payload, number=0, offset=0))
            disk.sync(fd)
        except OSError:
            temporary.unlink()
            raise
        finally:
            os.close(fd)
        os.replace(temporary, path)
    sync_folder(path.parent)


def read_file(path: Path) -> bytes:
    """Return the contents of a file written by :func:`replace_file`.

    :raises StorageError: if it is missing or damaged.
    """
    if not path.exists():
        raise damaged(path, "is missing")
    with disk_errors(path):
        data = path.read_bytes()
    frame = read_frame(data, number=0, offset=0)
    if frame is None or frame.end != len(data):
        raise damaged(path, "does not match its checksum")
    return frame.payload


def _checksum(payload: bytes, number: int, offset: int) -> int:
    return xxh64_intdigest(payload, seed=(number << 40) ^ offset)
