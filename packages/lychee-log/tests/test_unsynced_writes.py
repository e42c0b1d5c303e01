"""What a data folder holds after a loss of power, which takes what was not synced.

Bytes that were written and not synced may be lost, also in part, and so may names that were given
or taken in a folder that was not synced. ``LYCHEE_UNSYNCED_SEEDS`` plays other seeds ("1-400").
"""

import errno
import os
import stat
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from msgspec.structs import replace

from lychee_log import storage as storage_module
from lychee_log.effects import SaveSnapshot, Write
from lychee_log.exceptions import DiskFullError
from lychee_log.files import SystemDisk
from lychee_log.mark import SYNC_MARK_NAME
from lychee_log.records import Entry, HardState, Membership, RecoveredState, Snapshot
from lychee_log.storage import Storage, open_storage
from lychee_types.ids import LogIndex, ReplicaId

REPLICA = ReplicaId("a")
LOSSES = 4
CALLS = ("write", "pwrite", "fdatasync", "fsync", "ftruncate", "replace", "unlink")
FIRST, _, LAST = os.environ.get("LYCHEE_UNSYNCED_SEEDS", "1-20").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)


class PowerLostError(BaseException):
    """The VM has lost power; nothing that runs on it goes on."""


class Power:
    """Tracks what one folder's disk holds, and takes the power before one of the calls to it.

    :param folder: the data folder, which the disk holds already.
    """

    def __init__(self, *, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.folder = folder
        self.calls_left = 1 << 30
        files = {each.stat().st_ino: each for each in folder.iterdir()}
        self._names = {each.name: inode for inode, each in files.items()}
        self._files = {inode: each.read_bytes() for inode, each in files.items()}
        self._marks: list[bytes] = []
        for name in CALLS:
            monkeypatch.setattr(os, name, self._guard(name, getattr(os, name)))

    def _guard(self, name: str, perform: Callable[..., Any]) -> Callable[..., Any]:
        def guarded(target: Any, *args: Any, **kwargs: Any) -> Any:
            path = Path(
                os.readlink(f"/proc/self/fd/{target}") if isinstance(target, int) else target
            )
            if self.folder not in (path, path.parent):
                return perform(target, *args, **kwargs)
            self.calls_left -= 1
            if self.calls_left < 0:
                raise PowerLostError
            result = perform(target, *args, **kwargs)
            self._note(name, path, target)
            return result

        return guarded

    def _note(self, name: str, path: Path, target: Any) -> None:
        if name == "pwrite":
            self._marks.append(path.read_bytes())
        elif name in ("fsync", "fdatasync") and stat.S_ISDIR(os.fstat(target).st_mode):
            self._names = {each.name: each.stat().st_ino for each in self.folder.iterdir()}
        elif name in ("fsync", "fdatasync"):
            self._files[os.fstat(target).st_ino] = path.read_bytes()

    def store_what_is_left(self, to: Path, rng: Random) -> None:
        """Write a folder as the disk may hold it now."""
        kept_share = rng.choice([0.0, 0.5, 1.0])
        files = {each.stat().st_ino: each for each in self.folder.iterdir()}
        names = {each.name: inode for inode, each in files.items()}
        to.mkdir()
        for name in sorted(self._names | names):
            is_new = rng.random() < kept_share
            inode = (names if is_new else self._names).get(name)
            if inode is not None:
                (to / name).write_bytes(self._left_of(name, inode, files.get(inode), rng))

    def _left_of(self, name: str, inode: int, path: Path | None, rng: Random) -> bytes:
        synced = self._files.get(inode, b"")
        if name == SYNC_MARK_NAME:
            return rng.choice([synced, *self._marks[-3:]])
        if path is None or rng.random() < 0.4:
            return synced
        written = path.read_bytes()
        size = rng.randrange(len(written) + 1)
        if written.startswith(synced):
            size = max(size, len(synced))
        return rng.choice([written, written[:size], written[:size] + bytes(len(written) - size)])


class FillingDisk(SystemDisk):
    """Is full now and then, and then has stored half of the bytes."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def write(self, fd: int, data: bytes) -> None:
        if self._rng.random() < 0.05:
            super().write(fd, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(fd, data)

    def sync(self, fd: int) -> None:
        if self._rng.random() < 0.02:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().sync(fd)


def next_call(stored: RecoveredState, rng: Random) -> Write | SaveSnapshot:
    """Return what a replica might store next."""
    base = stored.snapshot.index if stored.snapshot else 0
    last = base + len(stored.entries)
    term = stored.hard_state.term
    if rng.random() < 0.15 and stored.entries:
        keep_from = LogIndex(max(1, last - rng.randrange(6)))
        return save(last, stored.entries[-1].term, keep_from)
    if rng.random() < 0.1:
        return save(last + rng.randrange(1, 20), term, None)
    hard_state = HardState(term=term + 1, vote=REPLICA) if rng.random() < 0.3 else None
    term += hard_state is not None
    first = rng.randrange(max(base, stored.committed), last + 1) + 1
    if rng.random() < 0.7 or not hard_state:
        first = last + 1
    entries = tuple(
        Entry(index=LogIndex(first + offset), term=term, data=rng.randbytes(rng.randrange(60)))
        for offset in range(rng.randrange(4))
    )
    end = entries[-1].index if entries else last
    committed = LogIndex(rng.randrange(stored.committed, max(stored.committed, end) + 1))
    return Write(
        number=1, identity=None, hard_state=hard_state, entries=entries, committed=committed
    )


def save(index: int, term: int, keep_from: LogIndex | None) -> SaveSnapshot:
    snapshot = Snapshot(index=LogIndex(index), term=term, members=Membership(), data=b"%d" % index)
    return SaveSnapshot(number=1, snapshot=snapshot, keep_from=keep_from)


def after(stored: RecoveredState, call: Write | SaveSnapshot) -> RecoveredState:
    """Return what is to be recovered once a call has returned."""
    match call:
        case SaveSnapshot(snapshot=snapshot, keep_from=keep_from):
            kept = () if keep_from is None else stored.entries
            entries = tuple(entry for entry in kept if entry.index > snapshot.index)
            return replace(stored, snapshot=snapshot, entries=entries)
        case Write(hard_state=hard_state, entries=new):
            kept = tuple(e for e in stored.entries if not new or e.index < new[0].index)
            return replace(
                stored,
                hard_state=hard_state or stored.hard_state,
                entries=kept + new,
                committed=max(stored.committed, call.committed),
            )


def perform(storage: Storage, call: Write | SaveSnapshot) -> None:
    """Perform a call, again until the disk has room."""
    while True:
        try:
            if isinstance(call, Write):
                storage.write(call)
            else:
                storage.save_snapshot(call)
            return
        except DiskFullError:
            continue


def use_until_power_is_lost(
    power: Power, stored: RecoveredState, rng: Random
) -> tuple[RecoveredState, RecoveredState]:
    """Use the folder, with restarts of the process, and return what may be recovered."""
    before = following = stored
    power.calls_left = rng.randrange(120)
    try:
        while True:
            with open_folder(power.folder, FillingDisk(rng)) as storage:
                for _ in range(rng.randrange(1, 20)):
                    call = next_call(before, rng)
                    following = after(before, call)
                    perform(storage, call)
                    before = following
    except PowerLostError:
        return before, following


@contextmanager
def open_folder(folder: Path, disk: FillingDisk) -> Iterator[Storage]:
    """Open a folder, again until the disk has room."""
    with ExitStack() as stack:
        while True:
            try:
                storage = stack.enter_context(
                    open_storage(folder=folder, replica=REPLICA, disk=disk)
                )
                break
            except DiskFullError:
                continue
        yield storage


@pytest.mark.parametrize("seed", SEEDS)
def test_what_a_call_has_stored_survives_losses_of_power(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    rng = Random(seed)
    for name in ("fsync", "fdatasync"):
        monkeypatch.setattr(os, name, lambda fd: None)
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 500)
    monkeypatch.setattr(storage_module, "secrets", SimpleNamespace(randbits=rng.getrandbits))
    folder = tmp_path / "0"
    with open_storage(folder=folder, replica=REPLICA) as storage:
        stored = storage.take_recovered_state()
    for number in range(1, LOSSES + 1):
        with monkeypatch.context() as patch:
            power = Power(folder=folder, monkeypatch=patch)
            before, following = use_until_power_is_lost(power, stored, rng)
        folder = tmp_path / str(number)
        power.store_what_is_left(folder, rng)
        with open_storage(folder=folder, replica=REPLICA) as storage:
            found = storage.take_recovered_state()
        # A snapshot says as well up to where entries are committed, so it need not be kept.
        assert found.committed <= following.committed
        assert replace(found, committed=0) in [
            replace(each, committed=0) for each in (before, following)
        ]
        stored = found


def test_a_new_data_folder_has_its_name_synced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    synced: set[str] = set()
    monkeypatch.setattr(os, "fsync", lambda fd: synced.add(os.readlink(f"/proc/self/fd/{fd}")))
    folder = tmp_path / "lychee" / "core-1"
    with open_storage(folder=folder, replica=REPLICA):
        assert {str(folder.parent), str(tmp_path)} <= synced
    synced.clear()
    with open_storage(folder=folder, replica=REPLICA):
        assert str(folder.parent) not in synced
