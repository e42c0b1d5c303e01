"""A group of cores with a manual clock, disks in memory and messages that wait to be delivered.

For tests of this package and of programs that embed the core.
"""

from dataclasses import dataclass, field

from msgspec.structs import replace

from lychee_log.core import Core
from lychee_log.effects import (
    Applied,
    Apply,
    Effect,
    Event,
    Received,
    Restore,
    SaveSnapshot,
    Send,
    SnapshotTaken,
    Tick,
    Write,
    WriteRefused,
    Written,
)
from lychee_log.exceptions import LostStorageError
from lychee_log.messages import AppendReply, PeerMessage, VoteReply
from lychee_log.records import (
    Entry,
    EntryId,
    HardState,
    Identity,
    Recovered,
    ReplicaAddress,
    StorageId,
)
from lychee_log.state import Role
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

STEP_S = 0.01
"""Time of one round in which all messages are delivered and all writes are finished."""


@dataclass(kw_only=True)
class Node:
    """One replica of the group; ``core`` is None while it is down."""

    voter: ReplicaAddress
    first: tuple[ReplicaAddress, ...]
    disk: Recovered
    core: Core | None = None
    write: Write | SaveSnapshot | None = None
    items: list[bytes] = field(default_factory=list)
    is_expelled: bool = False
    starts: int = 0


class Group:
    """Cores, their disks and the messages between them.

    The promises of the log are checked after every event.

    :param first: ids of the first voters.
    :param timing: time limits.
    :param seed: seed of the cores.
    """

    def __init__(self, *, first: str, timing: Timing, seed: int = 1) -> None:
        self.now = 1_000.0
        self.nodes: dict[ReplicaId, Node] = {}
        self.messages: list[PeerMessage] = []
        self.cuts: set[tuple[ReplicaId, ReplicaId]] = set()
        self.committed: dict[LogIndex, Entry] = {}
        self.leaders: dict[int, ReplicaId] = {}
        self.leases: dict[ReplicaId, float] = {}
        self._timing = timing
        self._seed = seed
        self._storages = 0
        for name in first:
            self.add(name, first=first)

    def add(self, name: str, *, first: str = "") -> Node:
        """Add a replica with an empty disk and start it."""
        voter = make_voter(name)
        voters = tuple(make_voter(each) for each in first)
        node = Node(voter=voter, first=voters, disk=self._empty_disk(voter.id))
        self.nodes[voter.id] = node
        self.start(node)
        return node

    def start(self, node: Node) -> None:
        """Start a replica from its disk."""
        node.starts += 1
        node.items = []
        self._seed += 1
        node.core = Core(
            endpoint=node.voter.endpoint,
            recovered=node.disk,
            first=node.first,
            timing=self._timing,
            seed=self._seed,
            now=self.now,
        )
        self._perform(node, node.core.flush(self.now))

    def crash(self, node: Node, *, is_stored: bool) -> None:
        """End a replica; a write that is under way is stored or not."""
        if is_stored and node.write is not None:
            self._store(node, node.write)
        node.write = None
        node.core = None

    def wipe(self, node: Node) -> None:
        """End a replica and empty its disk."""
        self.crash(node, is_stored=False)
        node.disk = self._empty_disk(node.voter.id)

    def step(self, node: Node, event: Event) -> None:
        """Hand an event to a replica if it is up, and perform what follows."""
        if node.core is None:
            return
        try:
            effects = node.core.step(event, self.now)
        except LostStorageError:
            node.is_expelled = True
            self.crash(node, is_stored=False)
            return
        self._perform(node, effects)
        self._check_leader(node)

    def propose(self, node: Node, data: bytes) -> bool:
        """Propose; return whether it was appended."""
        if node.core is None or node.core.propose((data,)).is_error():
            return False
        self._perform(node, node.core.flush(self.now))
        return True

    def finish_write(self, node: Node) -> None:
        """Store and report the write that is under way."""
        if node.write is not None:
            write, node.write = node.write, None
            self._store(node, write)
            self.step(node, Written(number=write.number))

    def refuse_write(self, node: Node) -> None:
        """Report that the write under way found no room."""
        if node.write is not None:
            self.step(node, WriteRefused(number=node.write.number, reason="no room"))

    def take_snapshot(self, node: Node) -> None:
        """Take a snapshot of the machine."""
        if node.core is not None and node.core.state.applied:
            data = b"\n".join(node.items)
            snapshot = node.core.snapshot_at(node.core.state.applied, data)
            if snapshot is not None:
                self.step(node, SnapshotTaken(snapshot=snapshot))

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver one waiting message, and keep it for another delivery if asked."""
        message = self.messages[position] if keep else self.messages.pop(position)
        node = self.nodes.get(message.to)
        if node is not None and (message.sender, message.to) not in self.cuts:
            self.step(node, Received(message=message))

    def isolate(self, node: Node) -> None:
        """Cut a replica off from all others, in both directions."""
        for other in self.nodes:
            self.cuts |= {(node.voter.id, other), (other, node.voter.id)}

    def round(self) -> None:
        """Advance the time, deliver everything and finish all writes."""
        self.now += STEP_S
        waiting, self.messages = self.messages, []
        for message in waiting:
            self.messages.append(message)
            self.deliver(len(self.messages) - 1)
        for node in list(self.nodes.values()):
            self.finish_write(node)
            self.step(node, Tick())

    def run(self, seconds: float) -> None:
        """Run rounds for a time."""
        for _ in range(round(seconds / STEP_S)):
            self.round()

    def leading(self) -> Node | None:
        """Return the replica that leads in the highest term, if its machine is current."""
        leading = [node for node in self.nodes.values() if node.core and node.core.leads]
        return max(leading, key=lambda node: _term(node), default=None)

    def settle(self, seconds: float = 4.0) -> Node:
        """Run until a replica leads that can reach a majority, and return it."""
        end = self.now + seconds
        while self.now < end:
            self.round()
            node = self.leading()
            if node is not None and node.core and node.core.leads_until(self.now) > self.now:
                return node
        raise AssertionError("no leader in time")

    def _empty_disk(self, replica: ReplicaId) -> Recovered:
        self._storages += 1
        return Recovered(identity=Identity(replica=replica, storage=StorageId(self._storages)))

    def _perform(self, node: Node, effects: tuple[Effect, ...]) -> None:
        assert node.core is not None
        for effect in effects:
            match effect:
                case Send(message=message):
                    self._check_promise(node, message)
                    self.messages.append(message)
                case Write() | SaveSnapshot():
                    require(node.write is None, "one write is out at a time")
                    node.write = effect
                case Apply(entries=entries):
                    self._apply(node, entries)
                case Restore(snapshot=snapshot):
                    node.items = snapshot.data.split(b"\n") if snapshot.data else []
                    self.step(node, Applied(index=snapshot.index))
        self._check_commits(node)

    def _apply(self, node: Node, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            known = self.committed.setdefault(entry.index, entry)
            require(known == entry, "all machines apply the same entries")
            if entry.data:
                node.items.append(entry.data)
        self.step(node, Applied(index=entries[-1].index))

    def _store(self, node: Node, write: Write | SaveSnapshot) -> None:
        disk = node.disk
        if isinstance(write, SaveSnapshot):
            index = write.snapshot.index
            kept = () if write.keep_from is None else disk.entries
            later = tuple(entry for entry in kept if entry.index > index)
            node.disk = replace(disk, snapshot=write.snapshot, entries=later)
            return
        if write.identity is not None:
            disk = replace(disk, identity=write.identity)
        if write.hard_state is not None:
            disk = replace(disk, hard_state=write.hard_state)
        if write.entries:
            first = write.entries[0].index
            before = tuple(entry for entry in disk.entries if entry.index < first)
            disk = replace(disk, entries=before + write.entries)
        disk = replace(disk, committed=max(disk.committed, write.committed))
        node.disk = disk

    def _check_promise(self, node: Node, message: PeerMessage) -> None:
        """Check that what a message promises is on the disk."""
        disk = node.disk
        if isinstance(message, VoteReply) and message.granted and not message.pre:
            promised = HardState(term=message.term, vote=message.to)
            is_kept = disk.hard_state == promised or disk.hard_state.term > message.term
            require(is_kept, "a vote is on disk before it is given")
        if isinstance(message, AppendReply) and message.match:
            on_disk = self._is_on_disk(node, message)
            require(on_disk, "an entry is on disk before it is acknowledged")

    def _is_on_disk(self, node: Node, reply: AppendReply) -> bool:
        """Return whether the disk holds the entry that a reply acknowledges.

        A reply of an earlier term that waited for a sync was true in that term.
        """
        assert node.core is not None
        state, disk, index = node.core.state, node.disk, reply.match
        if reply.term < state.term or (disk.snapshot and index <= disk.snapshot.index):
            return True
        is_committed = index <= state.commit
        term = self.committed[index].term if is_committed else state.log.term_at(index)
        return any(entry.id == EntryId(index=index, term=term or 0) for entry in disk.entries)

    def _check_commits(self, node: Node) -> None:
        if node.core is None:
            return
        state = node.core.state
        for index in range(state.log.base.index + 1, state.commit + 1):
            entry = state.log.slice(start=LogIndex(index), end=LogIndex(index))[0]
            known = self.committed.setdefault(LogIndex(index), entry)
            require(known == entry, "all replicas commit the same entries")
        until = node.core.leads_until(self.now)
        if until > self.now:
            self.leases[node.voter.id] = until

    def _check_leader(self, node: Node) -> None:
        if node.core is None or node.core.state.role is not Role.LEADER:
            return
        state = node.core.state
        if self.leaders.get(state.term) == node.voter.id:
            return
        require(state.term not in self.leaders, "a term has one leader")
        self.leaders[state.term] = node.voter.id
        for other, until in self.leases.items():
            require(other == node.voter.id or until <= self.now, "leases do not overlap")
        for index, entry in self.committed.items():
            held = index <= state.log.base.index or state.log.term_at(index) == entry.term
            require(held, "a leader holds all that was committed before its term")


def make_voter(name: str) -> ReplicaAddress:
    """Return a replica's record for a one-letter name."""
    return ReplicaAddress(id=ReplicaId(name), endpoint=Endpoint(host="127.0.0.1", port=ord(name)))


def _term(node: Node) -> int:
    return node.core.state.term if node.core else 0
