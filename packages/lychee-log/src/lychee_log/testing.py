"""Simulates a group of cores with a manual clock, in-memory disks and queued messages.

For tests of this package and of programs that embed the core.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

from msgspec.structs import replace

from lychee_log.core import Core
from lychee_log.effects import (
    Applied,
    Apply,
    DiskFull,
    Effect,
    Event,
    Received,
    RestoreSnapshot,
    SaveSnapshot,
    Send,
    SnapshotTaken,
    Tick,
    Write,
    Written,
)
from lychee_log.exceptions import LostStorageError
from lychee_log.messages import AppendReply, PeerMessage, VoteReply
from lychee_log.records import (
    Entry,
    EntryId,
    HardState,
    Identity,
    RecoveredState,
    ReplicaAddress,
    StorageId,
)
from lychee_log.state import Role
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

ROUND_S = 0.01
"""Simulated time of one round, which delivers all messages and finishes all writes, in seconds."""


@dataclass(kw_only=True)
class Node:
    """One replica of the group; ``core`` is None while it is down."""

    address: ReplicaAddress
    initial_voters: tuple[ReplicaAddress, ...]
    disk: RecoveredState
    core: Core | None = None
    write: Write | SaveSnapshot | None = None
    items: list[bytes] = field(default_factory=list)
    has_lost_storage: bool = False
    start_count: int = 0


@dataclass(frozen=True, kw_only=True)
class Acknowledged:
    """The last entry that a leader could acknowledge at a time."""

    at: float
    index: LogIndex


class Group:
    """Cores, their disks and the messages between them.

    Checks the safety properties of the log after every event.

    :param initial_voters: one-letter ids of the initial voters.
    :param timing: timing parameters.
    :param seed: seed of the cores.
    """

    def __init__(self, *, initial_voters: str, timing: Timing, seed: int = 1) -> None:
        self.now = 1_000.0
        self.nodes: dict[ReplicaId, Node] = {}
        self.messages: list[PeerMessage] = []
        self.cut_links: set[tuple[ReplicaId, ReplicaId]] = set()
        self.committed: dict[LogIndex, Entry] = {}
        self.leaders: dict[int, ReplicaId] = {}
        self.leases: dict[ReplicaId, float] = {}
        self.acknowledged: list[Acknowledged] = []
        self._timing = timing
        self._seed = seed
        self._last_storage_id = 0
        for name in initial_voters:
            self.add(name, initial_voters=initial_voters)

    def add(self, name: str, *, initial_voters: str = "") -> Node:
        """Add a replica with an empty disk and start it."""
        address = make_address(name)
        voters = tuple(make_address(each) for each in initial_voters)
        node = Node(address=address, initial_voters=voters, disk=self._empty_disk(address.id))
        self.nodes[address.id] = node
        self.start(node)
        return node

    def start(self, node: Node) -> None:
        """Start a replica with the state on its disk."""
        node.start_count += 1
        self._restore(node, b"")
        self._seed += 1
        node.core = Core(
            endpoint=node.address.endpoint,
            recovered=node.disk,
            initial_voters=node.initial_voters,
            timing=self._timing,
            seed=self._seed,
            now=self.now,
        )
        self._perform(node, node.core.flush(self.now))

    def crash(self, node: Node, *, is_stored: bool) -> None:
        """Stop a replica.

        :param is_stored: whether the write in progress, if any, reaches the disk.
        """
        if is_stored and node.write is not None:
            self._store(node, node.write)
        node.write = None
        node.core = None

    def wipe(self, node: Node) -> None:
        """Stop a replica and empty its disk."""
        self.crash(node, is_stored=False)
        node.disk = self._empty_disk(node.address.id)

    def step(self, node: Node, event: Event) -> None:
        """Pass an event to a replica if it is up, and perform the resulting effects."""
        if node.core is None:
            return
        try:
            effects = node.core.step(event, self.now)
        except LostStorageError:
            node.has_lost_storage = True
            self.crash(node, is_stored=False)
            return
        self._perform(node, effects)
        self._check_new_leader(node)

    def propose(self, node: Node, data: bytes) -> bool:
        """Propose data, and return whether it was appended."""
        if node.core is None or node.core.propose((data,)).is_error():
            return False
        self._perform(node, node.core.flush(self.now))
        return True

    def finish_write(self, node: Node) -> None:
        """Finish the write in progress and report it to the core."""
        if node.write is not None:
            write, node.write = node.write, None
            self._store(node, write)
            self.step(node, Written(number=write.number))

    def report_disk_full(self, node: Node) -> None:
        """Report to the core that the write in progress failed because the disk is full."""
        if node.write is not None:
            self.step(node, DiskFull(number=node.write.number, reason="no room"))

    def take_snapshot(self, node: Node) -> None:
        """Take a snapshot of the state machine."""
        if node.core is not None and node.core.state.applied_index:
            data = self._image(node)
            snapshot = node.core.build_snapshot(node.core.state.applied_index, data)
            if snapshot is not None:
                self.step(node, SnapshotTaken(snapshot=snapshot))

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver one queued message.

        :param position: its position in the queue.
        :param keep: whether it stays queued and is delivered again.
        """
        message = self.messages[position] if keep else self.messages.pop(position)
        node = self.nodes.get(message.to)
        if node is not None and (message.sender, message.to) not in self.cut_links:
            self.step(node, Received(message=message))

    def hand_over(self, node: Node) -> bool:
        """Let a replica hand over its leadership, and return whether it has given it up."""
        if node.core is None or node.core.hand_over(self.now) is None:
            return False
        self.leases.pop(node.address.id, None)
        self._perform(node, node.core.flush(self.now))
        return True

    def isolate(self, node: Node) -> None:
        """Cut the links between a replica and all others, in both directions."""
        for other in self.nodes:
            self.cut_links |= {(node.address.id, other), (other, node.address.id)}

    def run_round(self) -> None:
        """Advance the time, deliver all queued messages and finish all writes."""
        self.now += ROUND_S
        queued, self.messages = self.messages, []
        for message in queued:
            self.messages.append(message)
            self.deliver(len(self.messages) - 1)
        for node in list(self.nodes.values()):
            self.finish_write(node)
            self.step(node, Tick())

    def run(self, seconds: float) -> None:
        """Run rounds for a simulated time."""
        for _ in range(round(seconds / ROUND_S)):
            self.run_round()

    def current_leader(self) -> Node | None:
        """Return the leader of the highest term with a current state machine, or None."""
        leaders = [node for node in self.nodes.values() if node.core and node.core.is_ready_leader]
        return max(leaders, key=lambda node: _term(node), default=None)

    def run_until_leader(self, seconds: float = 4.0) -> Node:
        """Run until a replica holds a leader lease, and return it."""
        deadline = self.now + seconds
        while self.now < deadline:
            self.run_round()
            node = self.current_leader()
            if node is not None and node.core and node.core.lease_expires_at(self.now) > self.now:
                return node
        raise AssertionError("no leader in time")

    def _empty_disk(self, replica: ReplicaId) -> RecoveredState:
        self._last_storage_id += 1
        return RecoveredState(
            identity=Identity(replica=replica, storage=StorageId(self._last_storage_id))
        )

    def _perform(self, node: Node, effects: tuple[Effect, ...]) -> None:
        assert node.core is not None
        for effect in effects:
            match effect:
                case Send(message=message):
                    self._check_durability(node, message)
                    self.messages.append(message)
                case Write() | SaveSnapshot():
                    require(node.write is None, "only one write is in progress at a time")
                    node.write = effect
                case Apply(entries=entries):
                    self._apply(node, entries)
                case RestoreSnapshot(snapshot=snapshot):
                    self._restore(node, snapshot.data)
                    self.step(node, Applied(index=snapshot.index))
        self._check_commits(node)

    def _apply(self, node: Node, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            known = self.committed.setdefault(entry.index, entry)
            require(known == entry, "all state machines apply the same entries")
            if entry.data:
                self._apply_entry(node, entry)
        self.step(node, Applied(index=entries[-1].index))

    def _apply_entry(self, node: Node, entry: Entry) -> None:
        """Apply an entry to a replica's state machine; groups with another one override this."""
        node.items.append(entry.data)

    def _image(self, node: Node) -> bytes:
        """Return the contents of a replica's state machine."""
        return b"\n".join(node.items)

    def _restore(self, node: Node, image: bytes) -> None:
        """Replace the contents of a replica's state machine; an empty image is that of a start."""
        node.items = image.split(b"\n") if image else []

    def _store(self, node: Node, write: Write | SaveSnapshot) -> None:
        disk = node.disk
        if isinstance(write, SaveSnapshot):
            index = write.snapshot.index
            kept_entries = () if write.keep_from is None else disk.entries
            later_entries = tuple(entry for entry in kept_entries if entry.index > index)
            node.disk = replace(disk, snapshot=write.snapshot, entries=later_entries)
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

    def _check_durability(self, node: Node, message: PeerMessage) -> None:
        """Check that the vote or entry that a message confirms is on disk."""
        disk = node.disk
        if isinstance(message, VoteReply) and message.granted and not message.pre:
            granted_vote = HardState(term=message.term, vote=message.to)
            is_stored = disk.hard_state == granted_vote or disk.hard_state.term > message.term
            require(is_stored, "a vote is on disk before it is given")
        if isinstance(message, AppendReply) and message.match:
            on_disk = self._is_on_disk(node, message)
            require(on_disk, "an entry is on disk before it is acknowledged")

    def _is_on_disk(self, node: Node, reply: AppendReply) -> bool:
        """Return whether the disk holds the entry that a reply acknowledges.

        A reply of an earlier term that was held until a sync was correct in that term.
        """
        assert node.core is not None
        state, disk, index = node.core.state, node.disk, reply.match
        if reply.term < state.term or (disk.snapshot and index <= disk.snapshot.index):
            return True
        is_committed = index <= state.commit_index
        term = self.committed[index].term if is_committed else state.log.term_at(index)
        return any(entry.id == EntryId(index=index, term=term or 0) for entry in disk.entries)

    def _check_commits(self, node: Node) -> None:
        if node.core is None:
            return
        state = node.core.state
        for index in range(state.log.base.index + 1, state.commit_index + 1):
            entry = state.log.slice(start=LogIndex(index), end=LogIndex(index))[0]
            known = self.committed.setdefault(LogIndex(index), entry)
            require(known == entry, "all replicas commit the same entries")
        until = node.core.lease_expires_at(self.now)
        if until > self.now:
            self.leases[node.address.id] = until
        self._check_confirmed(node.core)

    def _check_confirmed(self, core: Core) -> None:
        """Check that a replica holds all that was acknowledged before the time it names."""
        if core.is_ready_leader:
            newest = self.acknowledged[-1].index if self.acknowledged else 0
            if core.state.applied_index > newest:
                self.acknowledged.append(Acknowledged(at=self.now, index=core.state.applied_index))
        confirmed_at = core.confirmed_at(self.now)
        count = bisect_left(self.acknowledged, confirmed_at, key=lambda known: known.at)
        if count:
            is_held = core.state.applied_index >= self.acknowledged[count - 1].index
            require(is_held, "a confirmed state holds all that was acknowledged before")

    def _check_new_leader(self, node: Node) -> None:
        if node.core is None or node.core.state.role is not Role.LEADER:
            return
        state = node.core.state
        if self.leaders.get(state.term) == node.address.id:
            return
        require(state.term not in self.leaders, "a term has one leader")
        self.leaders[state.term] = node.address.id
        for other, until in self.leases.items():
            require(other == node.address.id or until <= self.now, "leases do not overlap")
        for index, entry in self.committed.items():
            is_in_log = index <= state.log.base.index or state.log.term_at(index) == entry.term
            require(is_in_log, "a leader holds all that was committed before its term")


def make_address(name: str) -> ReplicaAddress:
    """Return the address of a replica with a one-letter name."""
    return ReplicaAddress(id=ReplicaId(name), endpoint=Endpoint(host="127.0.0.1", port=ord(name)))


def _term(node: Node) -> int:
    return node.core.state.term if node.core else 0
