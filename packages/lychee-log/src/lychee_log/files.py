"""Frames with a checksum, and files that are replaced atomically."""

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

_HEADER = Layout("<4sIQ")
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)

TEMPORARY_SUFFIX = ".tmp"
"""Suffix of a file that is still being written."""


class Disk(Protocol):
    """The operations that can fail when a disk is full or broken."""

    def write(self, fd: int, data: bytes) -> None:
        """Write all bytes at the file's position."""
        ...

    def sync(self, fd: int) -> None:
        """Return once the file's data and size are on the disk."""
        ...


class SystemDisk:
    """Disk operations of the operating system."""

    def write(self, fd: int, data: bytes) -> None:
        """Write all bytes at the file's position."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]

    def sync(self, fd: int) -> None:
        """Return once the file's data and size are on the disk."""
        os.fdatasync(fd)


class Frame:
    """A frame read from a file.

    :param payload: the frame's contents; a view if the file's data is one.
    :param end: offset just after the frame.
    """

    __slots__ = ("payload", "end")

    def __init__(self, *, payload: bytes | memoryview, end: int) -> None:
        self.payload = payload
        self.end = end


def pack_frame(payload: bytes, *, number: int, offset: int) -> bytes:
    """Return a frame: a header with magic, length and checksum, followed by the payload.

    :param number: number of the file, covered by the checksum.
    :param offset: offset of the frame in the file, covered by the checksum.
    """
    return _HEADER.pack(MAGIC, len(payload), _checksum(payload, number, offset)) + payload


def read_frame(data: bytes | memoryview, *, number: int, offset: int) -> Frame | None:
    """Return the frame at an offset, None if there is no complete and valid one."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    magic, payload_size, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + payload_size]
    if magic != MAGIC or len(payload) < payload_size:
        return None
    if checksum != _checksum(payload, number, offset):
        return None
    return Frame(payload=payload, end=start + payload_size)


def find_frame(data: bytes, *, number: int, after: int) -> int | None:
    """Return the offset of the first valid frame that starts after an offset, or None."""
    offset = data.find(MAGIC, after + 1)
    while offset >= 0:
        if read_frame(data, number=number, offset=offset) is not None:
            return offset
        offset = data.find(MAGIC, offset + 1)
    return None


@contextmanager
def translate_disk_errors(path: Path) -> Iterator[None]:
    """Translate errors of the operating system to :class:`StorageError`.

    :param path: the file or folder, named in the error.
    :raises DiskFullError: if the disk or the quota is full.
    :raises StorageError: for any other error.
    """
    try:
        yield
    except OSError as exc:
        if exc.errno in _DISK_FULL_ERRNOS:
            raise DiskFullError(
                message=f"no room to write {path}: {exc.strerror}",
                remedy="free space on the disk of the data folder",
            ) from exc
        raise StorageError(
            message=f"{path} cannot be read or written: {exc.strerror or exc}",
            remedy="check the disk and the file permissions; if the disk is broken, "
            + NEW_REPLICA_REMEDY,
        ) from exc


def damage_error(path: Path, problem: str) -> StorageError:
    """Return the error for a file that is missing or damaged.

    :param path: the file.
    :param problem: what is wrong with it.
    """
    return StorageError(message=f"{path} {problem}", remedy=NEW_REPLICA_REMEDY)


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that created and renamed files in it survive a power failure."""
    with translate_disk_errors(folder):
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def replace_file(path: Path, payload: bytes, *, disk: Disk) -> None:
    """Replace a file atomically and sync it.

    :param path: the file.
    :param payload: the new contents, stored as one frame.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with translate_disk_errors(path):
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
    """Read the contents of a file written by :func:`replace_file`.

    :raises StorageError: if it is missing or damaged.
    """
    if not path.exists():
        raise damage_error(path, "is missing")
    with translate_disk_errors(path):
        data = path.read_bytes()
    frame = read_frame(data, number=0, offset=0)
    if frame is None or frame.end != len(data):
        raise damage_error(path, "does not match its checksum")
    return bytes(frame.payload)


def _checksum(payload: bytes | memoryview, number: int, offset: int) -> int:
    return xxh64_intdigest(payload, seed=(number << 40) ^ offset)
