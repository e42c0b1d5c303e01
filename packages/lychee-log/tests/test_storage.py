"""Tests of the data folder: recovery, detection of damage, and full disks."""

import errno
import os
import shutil
from collections.abc import Callable
from pathlib import Path

import pytest

from lychee_log.effects import SaveSnapshot, Write
from lychee_log.exceptions import DiskFullError, StorageError
from lychee_log.files import SystemDisk
from lychee_log.records import Entry, HardState, Membership, RecoveredState, Snapshot
from lychee_log.storage import Storage, open_storage
from lychee_types.ids import LogIndex, ReplicaId

REPLICA = ReplicaId("a")


class FailingDisk(SystemDisk):
    """Fails some calls in a row; a failing write stores half of its bytes first."""

    def __init__(self, *, call: int, error_number: int, times: int = 1) -> None:
        self.calls = 0
        self.is_armed = False
        self._failing = range(call, call + times)
        self._code = error_number

    def write(self, fd: int, data: bytes) -> None:
        if self._fails():
            super().write(fd, data[: len(data) // 2])
            raise OSError(self._code, os.strerror(self._code))
        super().write(fd, data)

    def sync(self, fd: int) -> None:
        if self._fails():
            raise OSError(self._code, os.strerror(self._code))
        super().sync(fd)

    def _fails(self) -> bool:
        self.calls += self.is_armed
        return self.is_armed and self.calls - 1 in self._failing


def make_entries(first: int, last: int, *, term: int = 1) -> tuple[Entry, ...]:
    return tuple(
        Entry(index=LogIndex(index), term=term, data=b"%d-%d" % (term, index))
        for index in range(first, last + 1)
    )


def write(*items: Entry, hard_state: HardState | None = None, committed: int = 0) -> Write:
    return Write(
        number=1,
        identity=None,
        hard_state=hard_state,
        entries=items,
        committed=LogIndex(committed),
    )


def make_save(index: int, *, keep_from: int | None) -> SaveSnapshot:
    return SaveSnapshot(
        number=1,
        snapshot=Snapshot(index=LogIndex(index), term=1, members=Membership(), data=b"state"),
        keep_from=None if keep_from is None else LogIndex(keep_from),
    )


def recover(folder: Path) -> RecoveredState:
    with open_storage(folder=folder, replica=REPLICA) as storage:
        return storage.take_recovered_state()


def fill_folder(folder: Path) -> None:
    """Write two segments, a snapshot, and several batches in the last segment."""
    with open_storage(folder=folder, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 5), hard_state=HardState(term=1, vote=REPLICA)))
        storage.save_snapshot(make_save(4, keep_from=3))
        storage.write(write(*make_entries(6, 7)))
        storage.write(write(*make_entries(8, 9)))


def last_segment(folder: Path) -> Path:
    return max(folder.glob("segment-*"))


def test_what_was_written_is_recovered(tmp_path: Path) -> None:
    fill_folder(tmp_path)
    recovered = recover(tmp_path)
    assert recovered.hard_state == HardState(term=1, vote=REPLICA)
    assert recovered.snapshot is not None and recovered.snapshot.data == b"state"
    assert recovered.entries == make_entries(5, 9)


def test_the_commit_index_is_recovered(tmp_path: Path) -> None:
    with open_storage(folder=tmp_path, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 5), committed=2))
        storage.write(write(committed=4))
        storage.write(write(*make_entries(6, 7), committed=4))
    assert recover(tmp_path).committed == 4


def test_later_entries_replace_earlier_ones(tmp_path: Path) -> None:
    with open_storage(folder=tmp_path, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 9)))
        storage.write(write(*make_entries(4, 5, term=2)))
    assert recover(tmp_path).entries == make_entries(1, 3) + make_entries(4, 5, term=2)


def test_an_installed_snapshot_replaces_the_log(tmp_path: Path) -> None:
    fill_folder(tmp_path)
    with open_storage(folder=tmp_path, replica=REPLICA) as storage:
        storage.save_snapshot(make_save(50, keep_from=None))
        storage.write(write(*make_entries(51, 52)))
    recovered = recover(tmp_path)
    assert recovered.entries == make_entries(51, 52)
    assert recovered.hard_state == HardState(term=1, vote=REPLICA)
    assert len(list(tmp_path.glob("segment-*"))) == len(list(tmp_path.glob("snapshot-*"))) == 1


def test_segments_behind_a_snapshot_are_removed(tmp_path: Path) -> None:
    with open_storage(folder=tmp_path, replica=REPLICA) as storage:
        for number in range(1, 6):
            storage.write(write(*make_entries(number * 10 - 9, number * 10)))
            storage.save_snapshot(make_save(number * 10, keep_from=number * 10 - 5))
    assert len(list(tmp_path.glob("segment-*"))) == 2
    assert recover(tmp_path).snapshot == make_save(50, keep_from=None).snapshot


def test_a_torn_write_is_cut_off(tmp_path: Path) -> None:
    before, after = tmp_path / "before", tmp_path / "after"
    with open_storage(folder=before, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 2)))
    shutil.copytree(before, after)
    with open_storage(folder=after, replica=REPLICA) as storage:
        storage.write(write(*make_entries(3, 4)))
    start = last_segment(before).stat().st_size
    whole = last_segment(after).read_bytes()
    for size in range(start, len(whole)):
        for tail in (b"", bytes(len(whole) - size)):
            torn = tmp_path / "torn"
            shutil.copytree(before, torn)
            last_segment(torn).write_bytes(whole[:size] + tail)
            assert recover(torn).entries == make_entries(1, 2)
            with open_storage(folder=torn, replica=REPLICA) as storage:
                storage.write(write(*make_entries(3, 3)))
            assert recover(torn).entries == make_entries(1, 3)
            shutil.rmtree(torn)


@pytest.mark.parametrize("name", ["identity", "manifest", "synced", "segment-*", "snapshot-*"])
def test_each_damaged_byte_is_found(tmp_path: Path, name: str) -> None:
    fill_folder(tmp_path)
    for path in tmp_path.glob(name):
        intact = path.read_bytes()
        for position in range(len(intact)):
            flipped = bytes([intact[position] ^ 0x40])
            path.write_bytes(intact[:position] + flipped + intact[position + 1 :])
            with pytest.raises(StorageError, match=path.name) as caught:
                recover(tmp_path)
            assert "new id" in caught.value.remedy
        path.write_bytes(intact)
    recover(tmp_path)


@pytest.mark.parametrize("name", ["identity", "manifest", "synced", "segment-*", "snapshot-*"])
def test_each_cut_or_missing_file_is_found(tmp_path: Path, name: str) -> None:
    fill_folder(tmp_path)
    for path in tmp_path.glob(name):
        intact = path.read_bytes()
        for size in range(len(intact)):
            path.write_bytes(intact[:size])
            with pytest.raises(StorageError, match=path.name):
                recover(tmp_path)
        path.unlink()
        with pytest.raises(StorageError, match=path.name):
            recover(tmp_path)
        path.write_bytes(intact)
    recover(tmp_path)


def test_damage_before_a_synced_write_is_found_with_an_old_mark(tmp_path: Path) -> None:
    with open_storage(folder=tmp_path, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 2)))
        mark = (tmp_path / "synced").read_bytes()
        start = last_segment(tmp_path).stat().st_size
        storage.write(write(*make_entries(3, 4)))
        storage.write(write(*make_entries(5, 6)))
    good = last_segment(tmp_path).read_bytes()
    last_segment(tmp_path).write_bytes(good[: start + 20] + b"\xff" + good[start + 21 :])
    (tmp_path / "synced").write_bytes(mark)
    with pytest.raises(StorageError, match="before its end"):
        recover(tmp_path)


def test_batches_that_are_not_marked_as_synced_are_stored_again(tmp_path: Path) -> None:
    with open_storage(folder=tmp_path, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 2), hard_state=HardState(term=1)))
        mark = (tmp_path / "synced").read_bytes()
        storage.write(write(*make_entries(3, 4), hard_state=HardState(term=2)))
    (tmp_path / "synced").write_bytes(mark)
    old = last_segment(tmp_path)
    for call in range(6):
        disk = FailingDisk(call=call, error_number=errno.EIO)
        disk.is_armed = True
        try:
            with open_storage(folder=tmp_path, replica=REPLICA, disk=disk):
                pass
        except StorageError:
            pass
    recovered = recover(tmp_path)
    assert recovered.entries == make_entries(1, 4) and recovered.hard_state == HardState(term=2)
    assert last_segment(tmp_path) != old


def test_an_emptied_folder_gets_another_storage_number(tmp_path: Path) -> None:
    fill_folder(tmp_path)
    before = recover(tmp_path).identity
    for path in tmp_path.iterdir():
        path.unlink()
    after = recover(tmp_path)
    assert after.identity.storage != before.storage
    assert after.entries == ()


def test_a_folder_of_another_replica_is_refused(tmp_path: Path) -> None:
    fill_folder(tmp_path)
    with pytest.raises(StorageError, match="belongs to replica a"):
        with open_storage(folder=tmp_path, replica=ReplicaId("b")):
            pass


def test_a_folder_in_use_is_refused(tmp_path: Path) -> None:
    with open_storage(folder=tmp_path, replica=REPLICA):
        with pytest.raises(StorageError, match="another process"):
            recover(tmp_path)


STEPS: list[Callable[[Storage], None]] = [
    lambda storage: storage.write(write(*make_entries(6, 8), hard_state=HardState(term=2))),
    lambda storage: storage.save_snapshot(make_save(5, keep_from=2)),
    lambda storage: storage.save_snapshot(make_save(50, keep_from=None)),
]


def write_last_entry(storage: Storage) -> None:
    storage.write(write(Entry(index=LogIndex(6), term=2)))


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("call", range(6))
def test_a_full_disk_stores_nothing_and_can_be_tried_again(
    tmp_path: Path, step: Callable[[Storage], None], call: int
) -> None:
    trial, good = tmp_path / "trial", tmp_path / "good"
    with open_storage(folder=trial, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 5)))
    shutil.copytree(trial, good)
    with open_storage(folder=good, replica=REPLICA) as storage:
        step(storage)
    disk = FailingDisk(call=call, error_number=errno.ENOSPC)
    with open_storage(folder=trial, replica=REPLICA, disk=disk) as storage:
        disk.is_armed = True
        for action in (step, write_last_entry):
            try:
                action(storage)
            except DiskFullError:
                action(storage)
    with open_storage(folder=good, replica=REPLICA) as storage:
        write_last_entry(storage)
    assert recover(trial).entries == recover(good).entries


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("call", range(6))
def test_a_crash_at_any_write_leaves_the_state_before_or_after(
    tmp_path: Path, step: Callable[[Storage], None], call: int
) -> None:
    trial, good = tmp_path / "trial", tmp_path / "good"
    with open_storage(folder=trial, replica=REPLICA) as storage:
        storage.write(write(*make_entries(1, 5)))
    before = recover(trial)
    shutil.copytree(trial, good)
    with open_storage(folder=good, replica=REPLICA) as storage:
        step(storage)
    disk = FailingDisk(call=call, error_number=errno.EIO)
    with open_storage(folder=trial, replica=REPLICA, disk=disk) as storage:
        disk.is_armed = True
        try:
            step(storage)
        except StorageError as exc:
            assert not isinstance(exc, DiskFullError)
    assert recover(trial) in (before, recover(good))


@pytest.mark.parametrize("call", range(8))
def test_making_a_folder_can_be_interrupted(tmp_path: Path, call: int) -> None:
    disk = FailingDisk(call=call, error_number=errno.EIO)
    disk.is_armed = True
    try:
        with open_storage(folder=tmp_path, replica=REPLICA, disk=disk):
            pass
    except StorageError:
        pass
    assert recover(tmp_path).entries == ()


class CountingDisk(SystemDisk):
    """Counts syncs."""

    def __init__(self) -> None:
        self.syncs = 0

    def sync(self, fd: int) -> None:
        self.syncs += 1
        super().sync(fd)


def test_batches_whose_mark_was_lost_are_stored_again_by_few_syncs(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    with open_storage(folder=folder, replica=REPLICA) as storage:
        storage.take_recovered_state()
        old_mark = (folder / "synced").read_bytes()
        for index in range(1, 101):
            state = HardState(term=index, vote=REPLICA) if index % 10 == 0 else None
            storage.write(write(*make_entries(index, index), hard_state=state))
        storage.write(write(*make_entries(95, 97, term=2)))
    (folder / "synced").write_bytes(old_mark)
    disk = CountingDisk()
    with open_storage(folder=folder, replica=REPLICA, disk=disk) as storage:
        recovered = storage.take_recovered_state()
    assert recovered.entries == (*make_entries(1, 94), *make_entries(95, 97, term=2))
    assert recovered.hard_state == HardState(term=100, vote=REPLICA)
    assert disk.syncs < 8
    with open_storage(folder=folder, replica=REPLICA) as storage:
        assert storage.take_recovered_state() == recovered
