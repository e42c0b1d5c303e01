"""Tests of the replica with a real event loop, an in-memory transport and real files."""

import asyncio
import errno
import os
import shutil
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from threading import Event

import pytest
import uvloop

from lychee_log import Committed, LostStorageError, Replica, ReplicaAddress, StorageError
from lychee_log.files import SystemDisk
from lychee_log.messages import AppendRequest, PeerMessage, VoteRequest
from lychee_types.clock import SystemClock
from lychee_types.exceptions import NotLeaderError, UnavailableError
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

TIMING = Timing(heartbeat_ms=20, election_ms=120, drift_ms=20)
SCENARIO_TIMEOUT_S = 15.0


class ListMachine:
    """State machine that collects proposals; its snapshot joins them with newlines."""

    def __init__(self) -> None:
        self.items: list[bytes] = []

    def apply(self, index: LogIndex, data: bytes) -> object:
        self.items.append(data)
        return len(self.items)

    def snapshot(self) -> bytes:
        return b"\n".join(self.items)

    def restore(self, data: bytes, index: LogIndex) -> None:
        self.items = data.split(b"\n") if data else []


class Network:
    """Delivers messages in memory, except to and from isolated replicas."""

    def __init__(self) -> None:
        self.nodes: dict[ReplicaId, Node] = {}
        self.isolated: set[ReplicaId] = set()
        self.posted: list[PeerMessage] = []

    def post(self, *, to: ReplicaAddress, message: PeerMessage) -> None:
        self.posted.append(message)
        if to.id in self.nodes and not {to.id, message.sender} & self.isolated:
            self.nodes[to.id].replica.receive(message)


class FaultyDisk(SystemDisk):
    """Disk whose syncs fail with the error number in ``fault``, unless it is 0.

    While ``gate`` is cleared, syncs wait.
    """

    def __init__(self) -> None:
        self.fault = 0
        self.gate = Event()
        self.gate.set()

    def sync(self, fd: int) -> None:
        self.gate.wait(SCENARIO_TIMEOUT_S)
        if self.fault:
            raise OSError(self.fault, os.strerror(self.fault))
        super().sync(fd)


class Node:
    """A running replica."""

    def __init__(
        self,
        *,
        name: str,
        initial_voters: tuple[ReplicaAddress, ...],
        network: Network,
        data_folder: Path,
        snapshot_entries: int,
    ) -> None:
        self.machine = ListMachine()
        self.leadership_changes: list[bool] = []
        self.disk = FaultyDisk()
        self.replica = Replica(
            id=ReplicaId(name),
            endpoint=make_address(name).endpoint,
            data_folder=data_folder / name,
            initial_voters=initial_voters,
            timing=TIMING,
            state_machine=self.machine,
            transport=network,
            clock=SystemClock(),
            seed=ord(name[0]),
            on_leadership_change=lambda leads, term: self.leadership_changes.append(leads),
            on_applied=lambda index, data: None,
            snapshot_entries=snapshot_entries,
            disk=self.disk,
        )
        self.task = asyncio.create_task(self.replica.run())


def make_address(name: str) -> ReplicaAddress:
    return ReplicaAddress(
        id=ReplicaId(name), endpoint=Endpoint(host="127.0.0.1", port=ord(name[0]))
    )


class Group:
    """Replicas on one network."""

    def __init__(self, *, data_folder: Path, snapshot_entries: int = 10_000) -> None:
        self.network = Network()
        self._data_folder = data_folder
        self._snapshot_entries = snapshot_entries

    @property
    def nodes(self) -> dict[ReplicaId, Node]:
        return self.network.nodes

    def start(self, name: str, *, initial_voters: str = "") -> Node:
        node = Node(
            name=name,
            initial_voters=tuple(make_address(each) for each in initial_voters),
            network=self.network,
            data_folder=self._data_folder,
            snapshot_entries=self._snapshot_entries,
        )
        self.nodes[ReplicaId(name)] = node
        return node

    async def stop(self, name: str) -> None:
        node = self.nodes.pop(ReplicaId(name))
        node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            for node in self.nodes.values():
                if node.task.done():
                    node.task.result()
            await asyncio.sleep(0.005)

    async def leader(self) -> Node:
        await self.wait_until(lambda: any(node.replica.is_leader for node in self.nodes.values()))
        leaders = [node for node in self.nodes.values() if node.replica.is_leader]
        return max(leaders, key=lambda node: node.replica.term)

    async def propose(self, data: bytes) -> Committed:
        while True:
            try:
                return await (await self.leader()).replica.propose(data)
            except NotLeaderError:
                await asyncio.sleep(0.005)

    async def replace_voter(self, *, old: str, new: str) -> None:
        """Ask each leader in turn until one has made the change, as an operator does."""
        while True:
            leader = await self.leader()
            try:
                await leader.replica.replace_voter(old=ReplicaId(old), new=make_address(new))
            except (NotLeaderError, UnavailableError):
                await asyncio.sleep(0.005)
            else:
                return


@asynccontextmanager
async def running_group(
    *, data_folder: Path, initial_voters: str, snapshot_entries: int = 10_000
) -> AsyncIterator[Group]:
    group = Group(data_folder=data_folder, snapshot_entries=snapshot_entries)
    for name in initial_voters:
        group.start(name, initial_voters=initial_voters)
    try:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            yield group
    finally:
        for name in list(group.nodes):
            await group.stop(name)


@pytest.mark.parametrize("first", ["a", "abc", "abcde"])
def test_proposals_are_applied_everywhere_in_order(tmp_path: Path, first: str) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters=first) as group:
            outcomes = [await group.propose(b"%d" % number) for number in range(20)]
            assert [outcome.result for outcome in outcomes] == list(range(1, 21))
            await group.wait_until(
                lambda: all(len(n.machine.items) == 20 for n in group.nodes.values())
            )
            expected = [b"%d" % number for number in range(20)]
            assert all(node.machine.items == expected for node in group.nodes.values())

    asyncio.run(scenario())


def test_acknowledged_proposals_survive_restarts_of_all_replicas(tmp_path: Path) -> None:
    async def scenario() -> None:
        for number in range(3):
            async with running_group(
                data_folder=tmp_path, initial_voters="abc", snapshot_entries=7
            ) as group:
                for item in range(10):
                    await group.propose(b"%d" % (number * 10 + item))
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            leader = await group.leader()
            assert leader.machine.items == [b"%d" % item for item in range(30)]

    asyncio.run(scenario())


def test_a_new_leader_follows_a_lost_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            await group.propose(b"before")
            lost = await group.leader()
            await group.stop(lost.replica.id)
            await group.propose(b"after")
            leader = await group.leader()
            assert leader.replica.term > 1
            assert leader.machine.items == [b"before", b"after"]

    asyncio.run(scenario())


def test_a_follower_refuses_proposals(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            leader = await group.leader()
            follower = next(node for node in group.nodes.values() if node is not leader)
            with pytest.raises(NotLeaderError):
                await follower.replica.propose(b"x")
            assert follower.replica.lease_expires_at() == 0.0
            await group.wait_until(
                lambda: leader.replica.lease_expires_at() > SystemClock().monotonic()
            )

    asyncio.run(scenario())


def test_a_replaced_voter_holds_all_that_was_acknowledged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(
            data_folder=tmp_path, initial_voters="abc", snapshot_entries=10
        ) as group:
            for number in range(35):
                await group.propose(b"%d" % number)
            leader = await group.leader()
            lost = next(name for name in group.nodes if name != leader.replica.id)
            await group.stop(lost)
            added = group.start("d")
            voters = await leader.replica.replace_voter(old=lost, new=make_address("d"))
            assert {each.id for each in voters} == {*group.nodes}
            await group.stop(leader.replica.id)
            await group.propose(b"last")
            expected = [b"%d" % number for number in range(35)] + [b"last"]
            await group.wait_until(lambda: added.machine.items == expected)

    asyncio.run(scenario())


def test_a_full_disk_ends_the_leadership_and_not_the_replica(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            await group.propose(b"before")
            faulty = await group.leader()
            faulty.disk.fault = errno.ENOSPC
            with pytest.raises(UnavailableError):
                await faulty.replica.propose(b"unknown")
            assert "No space left" in (faulty.replica.disk_fault or "")
            assert faulty.leadership_changes[-1] is False
            await group.propose(b"after")
            faulty.disk.fault = 0
            await group.wait_until(lambda: faulty.replica.disk_fault is None)
            await group.wait_until(lambda: faulty.machine.items[-1:] == [b"after"])

    asyncio.run(scenario())


def test_a_proposal_that_only_the_others_could_store_ends_when_the_disk_is_full(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            await group.propose(b"before")
            faulty = await group.leader()
            others = [node for node in group.nodes.values() if node is not faulty]
            faulty.disk.gate.clear()
            outcome = asyncio.ensure_future(faulty.replica.propose(b"stored"))
            try:
                await group.wait_until(
                    lambda: any(b"stored" in node.machine.items for node in others)
                )
                faulty.disk.fault = errno.ENOSPC
            finally:
                faulty.disk.gate.set()
            with pytest.raises(UnavailableError):
                await outcome

    asyncio.run(scenario())


def test_a_failed_sync_stops_the_replica(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="a") as group:
            await group.propose(b"before")
            node = await group.leader()
            node.disk.fault = errno.EIO
            with pytest.raises(UnavailableError):
                await node.replica.propose(b"unknown")
            with pytest.raises(StorageError, match="Input/output error"):
                await node.task
            group.nodes.clear()
            group.start("a", initial_voters="a")
            assert (await group.leader()).machine.items in ([b"before"], [b"before", b"unknown"])

    asyncio.run(scenario())


def test_a_leader_that_is_cut_off_ends_its_proposals(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            await group.propose(b"kept")
            old = await group.leader()
            group.network.isolated.add(old.replica.id)
            with pytest.raises(UnavailableError):
                await old.replica.propose(b"lost")
            assert old.replica.lease_expires_at() == 0.0
            await group.propose(b"after")
            group.network.isolated.clear()
            await group.wait_until(lambda: old.machine.items == [b"kept", b"after"])

    asyncio.run(scenario())


def test_an_emptied_disk_stops_the_replica_with_the_remedy(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            await group.propose(b"kept")
            leader = await group.leader()
            lost = next(name for name in group.nodes if name != leader.replica.id)
            await group.stop(lost)
            shutil.rmtree(tmp_path / lost)
            node = group.start(lost, initial_voters="abc")
            with pytest.raises(LostStorageError, match="other storage") as caught:
                await node.task
            assert "new id" in caught.value.remedy
            del group.nodes[lost]
            added = group.start("d")
            await group.replace_voter(old=lost, new="d")
            await group.wait_until(lambda: added.machine.items == [b"kept"])

    asyncio.run(scenario())


def test_a_voter_can_be_added_and_removed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="a") as group:
            await group.propose(b"1")
            leader = await group.leader()
            group.start("b")
            assert len(await leader.replica.replace_voter(old=None, new=make_address("b"))) == 2
            voters = await leader.replica.replace_voter(old=ReplicaId("a"), new=None)
            assert [each.id for each in voters] == ["b"]
            await group.wait_until(lambda: group.nodes[ReplicaId("b")].replica.is_leader)
            assert not leader.replica.is_leader
            assert (await group.propose(b"2")).result == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_follower_reads_the_leaders_message_before_it_stands_for_election(
    tmp_path: Path, run, busy_loop
) -> None:
    async def scenario() -> None:
        async with running_group(data_folder=tmp_path, initial_voters="abc") as group:
            await group.propose(b"x")
            leader = await group.leader()
            follower = next(node for node in group.nodes.values() if node is not leader)
            is_for_follower = {"to": follower.replica.id, "sender": leader.replica.id}
            heartbeat = [
                message
                for message in group.network.posted
                if isinstance(message, AppendRequest)
                and {"to": message.to, "sender": message.sender} == is_for_follower
            ][-1]
            for name in set(group.nodes) - {follower.replica.id}:
                await group.stop(name)
            group.network.posted.clear()
            received = asyncio.Event()

            def receive() -> None:
                follower.replica.receive(heartbeat)
                received.set()

            busy_loop(receive, 2 * TIMING.longest_election_ms / 1_000)
            await received.wait()
            for _ in range(20):
                await asyncio.sleep(0)
            assert not [m for m in group.network.posted if isinstance(m, VoteRequest)]
            # Without further messages of the leader it stands.
            await group.wait_until(
                lambda: any(isinstance(m, VoteRequest) for m in group.network.posted)
            )

    run(scenario())
