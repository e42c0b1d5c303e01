"""What a replica holds of the log is bounded in bytes, however large the changes are.

Guards against replicas that some hundred large changes take beyond their VM's memory and disk.
"""

import asyncio
import tracemalloc

import pytest

from lychee_log import LogBounds, Replica
from lychee_log.effects import SaveSnapshot, SnapshotTaken, Write
from lychee_log.messages import AppendRequest, InstallSnapshot
from lychee_log.records import Entry, Membership, ReplicaAddress, Snapshot
from lychee_log.storage import open_storage
from lychee_log.testing import Group
from lychee_runtime.ports import free_endpoint
from lychee_types.clock import SystemClock
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=50, election_ms=200, drift_ms=20)
CHANGE_BYTES = 1_048_576
KEPT_BYTES = 8_388_608
IN_FLIGHT_BYTES = 2_097_152
CHANGES = 30


def change(number: int) -> bytes:
    return b"%d" % number + bytes(CHANGE_BYTES)


def log_bytes(core) -> int:
    log = core.state.log
    entries = log.slice(start=LogIndex(log.base.index + 1), end=log.last.index)
    return sum(len(entry.data) for entry in entries)


class NewestOnly(Group):
    """A group whose state machine has the newest change only, as a configuration does."""

    def _apply_entry(self, node, entry) -> None:
        node.items[:] = [entry.data[:100]]


def make_group() -> NewestOnly:
    group = NewestOnly(initial_voters="abc", timing=TIMING)
    group.run_until_leader()
    return group


def make_changes(group: Group, numbers: range) -> None:
    for number in numbers:
        assert group.propose(group.run_until_leader(), change(number))
        group.run(0.05)
        for node in group.nodes.values():
            if node.core is not None and number % 8 == 7:
                group.take_snapshot(node)


def test_large_changes_before_a_snapshot_stay_in_the_log_only_up_to_a_size() -> None:
    group = make_group()
    make_changes(group, range(CHANGES))
    group.run(0.5)
    for node in group.nodes.values():
        assert log_bytes(node.core) <= 2 * KEPT_BYTES + 2 * CHANGE_BYTES


def test_large_changes_on_their_way_to_a_silent_peer_are_bounded() -> None:
    group = make_group()
    leader = group.run_until_leader()
    peer = next(name for name in group.nodes if name != leader.address.id)
    group.messages.clear()
    for number in range(CHANGES):
        group.propose(leader, change(number))
    on_their_way = sum(
        len(entry.data)
        for message in group.messages
        if isinstance(message, AppendRequest) and message.to == peer
        for entry in message.entries
    )
    assert 0 < on_their_way <= IN_FLIGHT_BYTES + CHANGE_BYTES + 100


def test_a_change_beyond_all_bounds_is_replicated() -> None:
    group = make_group()
    group.propose(group.run_until_leader(), bytes(KEPT_BYTES + 1))
    make_changes(group, range(3))
    assert {node.core.state.applied_index for node in group.nodes.values()} == {
        group.run_until_leader().core.state.log.last.index
    }


def test_a_replica_that_was_away_is_sent_one_snapshot_beside_further_changes() -> None:
    group = make_group()
    away = next(node for node in group.nodes.values() if node is not group.run_until_leader())
    group.crash(away, is_stored=True)
    make_changes(group, range(CHANGES))
    sent = []

    def count() -> None:
        sent.extend(
            message.snapshot.index
            for message in group.messages
            if isinstance(message, InstallSnapshot) and message.to == away.address.id
        )

    group.start(away)
    for number in range(CHANGES, 2 * CHANGES):
        group.propose(group.run_until_leader(), change(number))
        for _ in range(5):
            group.run_round()
            count()
        if number % 8 == 7:
            group.take_snapshot(group.run_until_leader())
    group.run(0.5)
    assert len(sent) == 1
    assert away.core.state.applied_index == group.run_until_leader().core.state.applied_index


class NewestChange:
    """A state machine with the newest change only."""

    def __init__(self) -> None:
        self.newest = b""

    def apply(self, index, data):
        self.newest = data

    def snapshot(self) -> bytes:
        return self.newest

    def restore(self, data, index) -> None:
        self.newest = data


class NoTransport:
    def post(self, *, to, message) -> None:
        """Lose the message: the replica is alone."""


def is_storing_snapshot(replica: Replica) -> bool:
    is_waiting = any(isinstance(event, SnapshotTaken) for event in replica._inbox)
    return is_waiting or replica._core.state.durability.is_saving_snapshot


async def until_snapshot_is_stored(replica: Replica) -> None:
    """Wait until no snapshot is written; while one is, the log grows by what is committed."""
    if replica._snapshot_task is not None:
        await replica._snapshot_task
    while is_storing_snapshot(replica):  # noqa: ASYNC110
        await asyncio.sleep(0.001)


def test_a_replicas_folder_and_log_stay_within_their_bounds(tmp_path) -> None:
    bounds = LogBounds(kept_bytes=400_000, snapshot_bytes=400_000)
    size = 100_000

    async def scenario() -> tuple[int, int]:
        leads = asyncio.Event()
        endpoint = free_endpoint()
        replica = Replica(
            id=ReplicaId("a"),
            endpoint=endpoint,
            data_folder=tmp_path,
            initial_voters=(ReplicaAddress(id=ReplicaId("a"), endpoint=endpoint),),
            timing=TIMING,
            state_machine=NewestChange(),
            transport=NoTransport(),
            clock=SystemClock(),
            seed=1,
            on_leadership_change=lambda is_leader, term: leads.set(),
            on_applied=lambda index, data: None,
            bounds=bounds,
        )
        task = asyncio.create_task(replica.run())
        await leads.wait()
        largest_log = largest_folder = 0
        for _ in range(100):
            await replica.propose(bytes(size))
            await until_snapshot_is_stored(replica)
            largest_log = max(largest_log, replica.log_bytes)
            used = sum(path.stat().st_size for path in list(tmp_path.iterdir()) if path.exists())
            largest_folder = max(largest_folder, used)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return largest_log, largest_folder

    largest_log, largest_folder = asyncio.run(scenario())
    assert largest_log <= bounds.kept_bytes + bounds.snapshot_bytes + 2 * size
    # Segments are removed whole, and a new snapshot is written beside the old one.
    assert largest_folder <= 3 * (bounds.kept_bytes + bounds.snapshot_bytes)


def test_a_folder_of_the_release_before_is_read_without_the_entries_that_it_kept(tmp_path) -> None:
    """It kept 1,000 entries before the snapshot, however large."""
    replica = ReplicaId("a")
    with open_storage(folder=tmp_path, replica=replica) as storage:
        for index in range(1, CHANGES + 1):
            entry = Entry(index=LogIndex(index), term=1, data=change(index))
            storage.write(
                Write(
                    number=1,
                    identity=None,
                    hard_state=None,
                    entries=(entry,),
                    committed=LogIndex(index),
                )
            )
            if index % 8 == 0:
                snapshot = Snapshot(
                    index=LogIndex(index), term=1, members=Membership(), data=entry.data
                )
                storage.save_snapshot(
                    SaveSnapshot(number=1, snapshot=snapshot, keep_from=LogIndex(1))
                )
    tracemalloc.start()
    try:
        with open_storage(folder=tmp_path, replica=replica) as storage:
            recovered = storage.take_recovered_state()
            _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert recovered.snapshot is not None and recovered.snapshot.index == 24
    assert [entry.index for entry in recovered.entries] == list(range(25, CHANGES + 1))
    kept_bytes = sum(path.stat().st_size for path in tmp_path.iterdir())
    assert kept_bytes < (6 + 1 + 1) * CHANGE_BYTES
    # The entries after the snapshot, and one segment and the snapshot while they are read.
    assert peak_bytes < (6 + 2 * 8 + 3) * CHANGE_BYTES


@pytest.mark.parametrize("room", [1_000_000, 10_000_000, 10**9])
def test_the_bounds_share_the_room_that_there_is(room: int) -> None:
    bounds = LogBounds.within(room)
    assert bounds.total_bytes <= room
    assert bounds.total_bytes <= LogBounds().total_bytes
