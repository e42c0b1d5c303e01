"""A replica: the core driven by asyncio, with its data folder, transport and machine."""

import asyncio
from collections import deque
from collections.abc import Callable
from pathlib import Path
from random import Random

from loguru import logger

from lychee_log.core import Core
from lychee_log.dump import ReplicaDump, dump_core, replica_states, role_name
from lychee_log.effects import (
    Applied,
    Apply,
    Effect,
    Event,
    Lead,
    Received,
    Restore,
    SaveSnapshot,
    Send,
    SnapshotTaken,
    StopLeading,
    Tick,
    Write,
    WriteRefused,
    Written,
)
from lychee_log.exceptions import DiskFullError
from lychee_log.files import Disk
from lychee_log.interfaces import StateMachine, Transport
from lychee_log.messages import PeerMessage
from lychee_log.proposals import Proposals
from lychee_log.records import Committed, Entry, ReplicaAddress, Snapshot
from lychee_log.replacement import Replacement
from lychee_log.storage import Storage, open_storage
from lychee_types.clock import Clock
from lychee_types.exceptions import NotLeaderError
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.operator_messages import (
    ReplicaState,
)
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

INBOX_LIMIT = 10_000
"""Number of waiting messages at which further ones are dropped."""

TICKS_PER_HEARTBEAT = 3
"""How often time is looked at, per heartbeat interval."""

DISK_RETRY_S = 0.5
"""Wait before a write that found no room is tried again, in seconds."""

SNAPSHOT_ENTRIES = 10_000
"""Number of entries after which a snapshot is taken."""

SNAPSHOT_SPREAD = 0.3
"""Share by which replicas take snapshots earlier, so that they do not all do so at once."""

SNAPSHOT_BYTES = 8_388_608
"""Size of entries in bytes after which a snapshot is taken."""


class Replica:
    """One member of a replicated log.

    :param id: its id.
    :param endpoint: its address.
    :param data_folder: its data folder.
    :param initial_voters: the first voters; empty for a replica that joins a group.
    :param timing: time limits, the same on every replica.
    :param state_machine: the state machine.
    :param transport: sends messages to peers.
    :param clock: source of time.
    :param seed: seed of random timeouts.
    :param on_leadership_change: called with ``True`` and the term once this replica leads and its
        state machine is current, and with ``False`` and the term once it no longer leads.
    :param on_applied: told of every proposal after the machine has applied it.
    :param snapshot_entries: number of entries after which a snapshot is taken.
    :param inline_sync: whether the event loop waits for the disk, instead of a worker thread.
    :param disk: the calls that can fail, None for the operating system's.
    """

    def __init__(
        self,
        *,
        id: ReplicaId,
        endpoint: Endpoint,
        data_folder: Path,
        initial_voters: tuple[ReplicaAddress, ...],
        timing: Timing,
        state_machine: StateMachine,
        transport: Transport,
        clock: Clock,
        seed: int,
        on_leadership_change: Callable[[bool, int], None],
        on_applied: Callable[[LogIndex, bytes], None],
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        inline_sync: bool = False,
        disk: Disk | None = None,
    ) -> None:
        self.id = id
        self._endpoint = endpoint
        self._data_folder = data_folder
        self._initial_voters = initial_voters
        self._timing = timing
        self._state_machine = state_machine
        self._transport = transport
        self._clock = clock
        self._seed = seed
        self._on_leadership_change = on_leadership_change
        self._on_applied = on_applied
        spread = Random(seed).uniform(1.0 - SNAPSHOT_SPREAD, 1.0)
        self._snapshot_after = max(1, int(snapshot_entries * spread))
        self._inline_sync = inline_sync
        self._disk = disk
        self._core: Core | None = None
        self._storage: Storage | None = None
        self._inbox: deque[Event] = deque()
        self._wake = asyncio.Event()
        self._proposals = Proposals()
        self._writing: asyncio.Task[None] | None = None
        self._snapshotting: asyncio.Task[None] | None = None
        self._ticked_at = 0.0
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._changing = asyncio.Lock()
        self._is_stopping = False
        self._open_fault: str | None = None

    @property
    def role(self) -> str:
        """Return leader, follower, pre-candidate, candidate or learner."""
        return role_name(self._core) if self._core else "follower"

    @property
    def term(self) -> int:
        """Return the latest term seen."""
        return self._core.state.term if self._core else 0

    @property
    def leader(self) -> ReplicaAddress | None:
        """Return the leader as far as it is known."""
        return self._core.state.leader if self._core else None

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads and its machine is current."""
        return self._core is not None and self._core.leads

    @property
    def commit_index(self) -> LogIndex:
        """Return the commit index."""
        return self._core.state.commit if self._core else LogIndex(0)

    @property
    def applied_index(self) -> LogIndex:
        """Return the last applied index."""
        return self._core.state.applied if self._core else LogIndex(0)

    @property
    def voters(self) -> tuple[ReplicaAddress, ...]:
        """Return the voters in force."""
        return self._core.state.members.voters if self._core else ()

    @property
    def disk_fault(self) -> str | None:
        """Return why the disk takes no writes, None if it does."""
        return self._core.state.fault if self._core else self._open_fault

    def lease_expires_at(self) -> float:
        """Return until when no other replica can have been elected, monotonic seconds.

        0.0 if this replica does not lead.
        """
        return self._core.leads_until(self._clock.monotonic()) if self._core else 0.0

    def replica_states(self) -> tuple[ReplicaState, ...]:
        """Return the members as this replica sees them."""
        return replica_states(self._core, self._clock.monotonic()) if self._core else ()

    def dump(self) -> ReplicaDump | None:
        """Return the replica's state for operators, None before it runs."""
        if self._core is None:
            return None
        now = self._clock.monotonic()
        return dump_core(self._core, now, proposals=len(self._proposals), inbox=len(self._inbox))

    def receive(self, message: PeerMessage) -> None:
        """Take a message from a peer; it is dropped if too many wait."""
        if len(self._inbox) < INBOX_LIMIT:
            self._put(Received(message=message))

    async def propose(self, data: bytes) -> Committed:
        """Have data committed and applied.

        :raises NotLeaderError: if this replica does not lead; nothing was appended.
        :raises UnavailableError: if the leadership was lost and the outcome is not known.
        """
        if self._core is None or self._core.leader is None:
            leader = self.leader
            raise NotLeaderError(leader=leader.id if leader else None)
        outcome = self._proposals.add(data)
        self._wake.set()
        return await outcome

    async def replace_voter(
        self, *, old: ReplicaId | None, new: ReplicaAddress | None
    ) -> tuple[ReplicaAddress, ...]:
        """Add a voter, remove one, or put one in another's place.

        The new voter learns the log first; the call returns once it holds everything that has
        been acknowledged. It can be repeated after an error.

        :param old: the voter that leaves, None to add only.
        :param new: the voter that joins, which must be running; None to remove only.
        :return: the voters from now on.
        :raises NotLeaderError: if this replica does not lead.
        :raises UnavailableError: if the new voter does not answer or the leadership was lost.
        :raises MembershipError: if the change is not allowed.
        """
        if self._core is None or self._core.leader is None:
            leader = self.leader
            raise NotLeaderError(leader=leader.id if leader else None)
        async with self._changing:
            replacement = Replacement(core=self._core, clock=self._clock, wake=self._wake.set)
            return await replacement.run(old=old, new=new)

    async def run(self) -> None:
        """Run until cancelled.

        :raises InvariantError: if a condition that must always hold does not.
        :raises StorageError: if the data folder cannot be used or is damaged.
        """
        while True:
            try:
                with open_storage(
                    folder=self._data_folder, replica=self.id, disk=self._disk
                ) as storage:
                    await self._run_on(storage)
            except DiskFullError as exc:
                logger.error("{}", exc)
                self._open_fault = exc.message
                await asyncio.sleep(DISK_RETRY_S)

    async def _run_on(self, storage: Storage) -> None:
        self._open_fault = None
        self._storage = storage
        self._core = Core(
            endpoint=self._endpoint,
            recovered=storage.take_recovered(),
            first=self._initial_voters,
            timing=self._timing,
            seed=self._seed,
            now=self._clock.monotonic(),
        )
        try:
            await self._loop(self._core)
        finally:
            await self._stop()

    async def _loop(self, core: Core) -> None:
        loop = asyncio.get_running_loop()
        tick_s = self._timing.heartbeat_ms / 1_000 / TICKS_PER_HEARTBEAT
        while True:
            timer = loop.call_later(tick_s, self._wake.set)
            await self._wake.wait()
            timer.cancel()
            self._wake.clear()
            self._turn(core, tick_s)
            await asyncio.sleep(0)

    def _turn(self, core: Core, tick_s: float) -> None:
        """Handle all that waits, then perform what follows."""
        for task in (self._writing, self._snapshotting):
            if task is not None and task.done():
                task.result()
        events, self._inbox = self._inbox, deque()
        batch = self._proposals.take_new()
        now = self._clock.monotonic()
        for event in events:
            core.handle(event, now)
        if now - self._ticked_at >= tick_s:
            self._ticked_at = now
            core.handle(Tick(), now)
        if batch:
            result = core.propose(tuple(proposal.data for proposal in batch))
            if result.is_ok():
                self._proposals.appended(batch, result.ok)
            else:
                self._proposals.refuse(batch, result.error)
        for effect in core.flush(now):
            self._perform(core, effect)

    def _perform(self, core: Core, effect: Effect) -> None:
        match effect:
            case Send(to=to, message=message):
                self._transport.post(to=to, message=message)
            case Write() | SaveSnapshot():
                self._writing = asyncio.create_task(self._write(effect), name="log write")
            case Apply(entries=entries):
                self._apply(core, entries)
            case Restore(snapshot=snapshot):
                self._restore(snapshot)
            case Lead(term=term):
                logger.info("replica leads in term {}", term)
                self._on_leadership_change(True, term)
            case StopLeading(term=term, was_ready=was_ready):
                logger.info("replica no longer leads in term {}", term)
                self._proposals.lose(above=core.state.commit)
                if was_ready:
                    self._on_leadership_change(False, term)

    def _apply(self, core: Core, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            result: object = None
            if entry.data:
                result = self._state_machine.apply(entry.index, entry.data)
                self._on_applied(entry.index, entry.data)
            self._proposals.applied(entry.id, result)
            self._bytes_since_snapshot += len(entry.data)
        self._entries_since_snapshot += len(entries)
        last = entries[-1].index
        self._put(Applied(index=last))
        is_long = self._entries_since_snapshot >= self._snapshot_after
        if is_long or self._bytes_since_snapshot >= SNAPSHOT_BYTES:
            self._take_snapshot(core, last)

    def _take_snapshot(self, core: Core, index: LogIndex) -> None:
        if self._snapshotting is not None and not self._snapshotting.done():
            return
        self._entries_since_snapshot = self._bytes_since_snapshot = 0
        snapshot = core.snapshot_at(index, self._state_machine.snapshot())
        if snapshot is not None:
            work = self._prepare_snapshot(snapshot)
            self._snapshotting = asyncio.create_task(work, name="snapshot")

    async def _prepare_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot beside the log, so that commits go on."""
        assert self._storage is not None
        try:
            await asyncio.to_thread(self._storage.prepare_snapshot, snapshot)
        except DiskFullError as exc:
            logger.error("{}", exc)
        except BaseException:
            self._wake.set()
            raise
        else:
            self._put(SnapshotTaken(snapshot=snapshot))

    def _restore(self, snapshot: Snapshot) -> None:
        logger.info("replica restores the snapshot at {}", snapshot.index)
        self._state_machine.restore(snapshot.data, snapshot.index)
        self._proposals.lose(upto=snapshot.index)
        self._entries_since_snapshot = self._bytes_since_snapshot = 0
        self._put(Applied(index=snapshot.index))

    async def _write(self, effect: Write | SaveSnapshot) -> None:
        """Write in a worker thread, so that heartbeats go on; one write is out at a time."""
        while True:
            try:
                if self._inline_sync:
                    self._store(effect)
                else:
                    await asyncio.to_thread(self._store, effect)
            except DiskFullError as exc:
                logger.error("{}", exc)
                self._put(WriteRefused(number=effect.number, reason=exc.message))
                await asyncio.sleep(DISK_RETRY_S)
                if self._is_stopping:
                    return
            except BaseException:
                self._wake.set()
                raise
            else:
                self._put(Written(number=effect.number))
                return

    def _store(self, effect: Write | SaveSnapshot) -> None:
        assert self._storage is not None
        if isinstance(effect, Write):
            self._storage.write(effect)
        else:
            self._storage.save_snapshot(effect)

    async def _stop(self) -> None:
        self._is_stopping = True
        self._proposals.close()
        tasks = [task for task in (self._writing, self._snapshotting) if task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.is_leader and self._core is not None:
            self._on_leadership_change(False, self._core.state.term)
        self._core = None
        self._storage = None

    def _put(self, event: Event) -> None:
        self._inbox.append(event)
        self._wake.set()
