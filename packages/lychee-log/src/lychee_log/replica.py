"""Runs a replica on asyncio: connects the core to data folder, transport and state machine."""

import asyncio
from collections import deque
from collections.abc import Callable
from pathlib import Path
from random import Random

from loguru import logger

from lychee_log.bounds import LogBounds
from lychee_log.core import Core
from lychee_log.dump import ReplicaDump, dump_core, replica_states, role_name
from lychee_log.effects import (
    Applied,
    Apply,
    DiskFull,
    Effect,
    Event,
    LeadershipGained,
    LeadershipLost,
    Received,
    RestoreSnapshot,
    SaveSnapshot,
    Send,
    SnapshotTaken,
    Tick,
    Write,
    Written,
)
from lychee_log.exceptions import DiskFullError
from lychee_log.files import Disk
from lychee_log.hand_over import hand_over_leadership
from lychee_log.interfaces import StateMachine, Transport
from lychee_log.messages import PeerMessage
from lychee_log.proposals import Proposals
from lychee_log.records import Committed, Entry, ReplicaAddress, Snapshot
from lychee_log.replacement import VoterReplacement
from lychee_log.storage import Storage, open_storage
from lychee_types.clock import Clock
from lychee_types.exceptions import NotLeaderError
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.operator_messages import (
    ReplicaState,
)
from lychee_types.records import Endpoint
from lychee_types.timeouts import take_input
from lychee_types.timing import Timing

INBOX_LIMIT = 10_000
"""Number of queued events at which further messages are dropped."""

TICKS_PER_HEARTBEAT = 3
"""Number of ticks per heartbeat interval."""

LATE_TICKS = 3
"""Number of ticks without one after which the event loop was busy."""

DISK_RETRY_S = 0.5
"""Delay before a write to a full disk is retried, in seconds."""

SNAPSHOT_ENTRIES = 10_000
"""Number of applied entries after which a snapshot is taken."""

SNAPSHOT_SPREAD = 0.3
"""Maximum share by which a replica takes snapshots earlier, so that not all do so at once."""


class Replica:
    """One replica of a replicated log.

    :param id: the replica's id.
    :param endpoint: its address.
    :param data_folder: its data folder.
    :param initial_voters: the voters of a new group; empty for a replica that joins one.
    :param timing: timing parameters; must be the same on every replica.
    :param state_machine: the state machine.
    :param transport: sends messages to peers.
    :param clock: source of time.
    :param seed: seed of the random timeouts.
    :param on_leadership_change: called with ``True`` and the term once this replica leads and its
        state machine is current, and with ``False`` and the term once it no longer leads.
    :param on_applied: called with index and data of every proposal after it has been applied.
    :param snapshot_entries: number of applied entries after which a snapshot is taken.
    :param inline_sync: whether to sync on the event loop's thread instead of a worker thread.
    :param disk: the disk operations that can fail, None for those of the operating system.
    :param bounds: bounds on what is held of the log, None for the default.
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
        bounds: LogBounds | None = None,
    ) -> None:
        self._bounds = bounds or LogBounds()
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
        snapshot_share = Random(seed).uniform(1.0 - SNAPSHOT_SPREAD, 1.0)
        self._snapshot_entries = max(1, int(snapshot_entries * snapshot_share))
        self._inline_sync = inline_sync
        self._disk = disk
        self._core: Core | None = None
        self._storage: Storage | None = None
        self._inbox: deque[Event] = deque()
        self._wake = asyncio.Event()
        self._proposals = Proposals(max_bytes=self._bounds.pending_bytes)
        self._write_task: asyncio.Task[None] | None = None
        self._snapshot_task: asyncio.Task[None] | None = None
        self._last_tick_at = 0.0
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._voter_change_lock = asyncio.Lock()
        self._is_stopping = False
        self._open_error: str | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the data folder is open, so that it has this replica's identity."""
        return self._core is not None

    @property
    def role(self) -> str:
        """Return the role: leader, follower, pre-candidate, candidate or learner."""
        return role_name(self._core) if self._core else "follower"

    @property
    def term(self) -> int:
        """Return the latest term seen."""
        return self._core.state.term if self._core else 0

    @property
    def leader(self) -> ReplicaAddress | None:
        """Return the leader, None if it is not known."""
        return self._core.state.leader if self._core else None

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads and its state machine is current."""
        return self._core is not None and self._core.is_ready_leader

    @property
    def commit_index(self) -> LogIndex:
        """Return the commit index."""
        return self._core.state.commit_index if self._core else LogIndex(0)

    @property
    def applied_index(self) -> LogIndex:
        """Return the index of the last applied entry."""
        return self._core.state.applied_index if self._core else LogIndex(0)

    @property
    def log_bytes(self) -> int:
        """Return the size of the log's entries in memory, in bytes."""
        return self._core.state.log.size if self._core else 0

    @property
    def voters(self) -> tuple[ReplicaAddress, ...]:
        """Return the voters of the current membership."""
        return self._core.state.members.voters if self._core else ()

    @property
    def is_voter(self) -> bool:
        """Return whether this replica counts itself among the voters."""
        return self._core is not None and self._core.state.is_voter

    @property
    def is_membership_committed(self) -> bool:
        """Return whether the current membership is known to be committed."""
        state = self._core.state if self._core else None
        return state is not None and state.log.members_index <= state.commit_index

    @property
    def disk_fault(self) -> str | None:
        """Return why the disk accepts no writes, None if it does."""
        return self._core.state.disk_fault if self._core else self._open_error

    def lease_expires_at(self) -> float:
        """Return the monotonic time until which no other replica can be elected, in seconds.

        0.0 if this replica does not lead.
        """
        return self._core.lease_expires_at(self._clock.monotonic()) if self._core else 0.0

    def confirmed_at(self) -> float:
        """Return the monotonic time as of which the state machine holds all that was acknowledged.

        In seconds; 0.0 if it was never known to since this replica started.
        """
        return self._core.confirmed_at(self._clock.monotonic()) if self._core else 0.0

    def replica_states(self) -> tuple[ReplicaState, ...]:
        """Return the members' states as known to this replica."""
        return replica_states(self._core, self._clock.monotonic()) if self._core else ()

    def dump(self) -> ReplicaDump | None:
        """Return the replica's state for operators, None while it is not running."""
        if self._core is None:
            return None
        now = self._clock.monotonic()
        return dump_core(self._core, now, proposals=len(self._proposals), inbox=len(self._inbox))

    def receive(self, message: PeerMessage) -> None:
        """Queue a message from a peer; it is dropped if the queue is full."""
        if len(self._inbox) < INBOX_LIMIT:
            self._enqueue(Received(message=message))

    async def propose(self, data: bytes) -> Committed:
        """Append data to the log, and return once it has been committed and applied.

        :raises NotLeaderError: if this replica does not lead; nothing was appended.
        :raises UnavailableError: if the leadership was lost and the outcome is unknown, or if too
            many proposals are pending and this one was not appended.
        """
        if self._core is None or self._core.leader is None:
            leader = self.leader
            raise NotLeaderError(leader=leader.id if leader else None)
        outcome = self._proposals.add(data)
        self._wake.set()
        return await outcome

    async def hand_over_leadership(self, *, timeout_s: float) -> None:
        """Hand the leadership to another replica, so that a planned stop costs no election timeout.

        Returns when another replica leads, at once if this one does not lead.

        :param timeout_s: maximum time in seconds.
        """
        if self._core is not None:
            await hand_over_leadership(
                self._core, clock=self._clock, wake_loop=self._wake.set, timeout_s=timeout_s
            )

    async def replace_voter(
        self, *, old: ReplicaId | None, new: ReplicaAddress | None
    ) -> tuple[ReplicaAddress, ...]:
        """Add a voter, remove one, or replace one by another.

        The new voter first receives the log as a learner. The call returns once it holds all
        committed entries. It can be retried after an error.

        :param old: the voter to remove, None to only add one.
        :param new: the voter to add, which must be running; None to only remove one.
        :return: the voters after the change.
        :raises NotLeaderError: if this replica does not lead.
        :raises UnavailableError: if the new voter does not answer or the leadership was lost.
        :raises MembershipError: if the change is not allowed.
        """
        if self._core is None or self._core.leader is None:
            leader = self.leader
            raise NotLeaderError(leader=leader.id if leader else None)
        async with self._voter_change_lock:
            replacement = VoterReplacement(
                core=self._core, clock=self._clock, wake_loop=self._wake.set
            )
            return await replacement.run(old=old, new=new)

    async def run(self) -> None:
        """Run until cancelled.

        :raises InvariantError: if an invariant of the protocol is violated.
        :raises StorageError: if the data folder cannot be used or is damaged.
        """
        while True:
            try:
                with open_storage(
                    folder=self._data_folder, replica=self.id, disk=self._disk
                ) as storage:
                    await self._run_with_storage(storage)
            except DiskFullError as exc:
                logger.error("{}", exc)
                self._open_error = exc.message
                await asyncio.sleep(DISK_RETRY_S)

    async def _run_with_storage(self, storage: Storage) -> None:
        self._open_error = None
        self._storage = storage
        self._core = Core(
            endpoint=self._endpoint,
            recovered=storage.take_recovered_state(),
            initial_voters=self._initial_voters,
            timing=self._timing,
            seed=self._seed,
            now=self._clock.monotonic(),
            bounds=self._bounds,
        )
        try:
            await self._run_loop(self._core)
        finally:
            await self._stop()

    async def _run_loop(self, core: Core) -> None:
        loop = asyncio.get_running_loop()
        tick_s = self._timing.heartbeat_ms / 1_000 / TICKS_PER_HEARTBEAT
        while True:
            timer = loop.call_later(tick_s, self._wake.set)
            await self._wake.wait()
            timer.cancel()
            self._wake.clear()
            if self._clock.monotonic() - self._last_tick_at > LATE_TICKS * tick_s:
                # Messages that arrived meanwhile are handled before it is judged who is silent.
                await take_input()
            self._process_events(core, tick_s)
            await asyncio.sleep(0)

    def _process_events(self, core: Core, tick_s: float) -> None:
        """Handle all queued events and proposals, then perform the resulting effects."""
        for task in (self._write_task, self._snapshot_task):
            if task is not None and task.done():
                task.result()
        events, self._inbox = self._inbox, deque()
        batch = self._proposals.take_new()
        now = self._clock.monotonic()
        for event in events:
            core.handle(event, now)
        if now - self._last_tick_at >= tick_s:
            self._last_tick_at = now
            core.handle(Tick(), now)
        if batch:
            appended = core.propose(tuple(proposal.data for proposal in batch))
            if appended.is_ok():
                self._proposals.mark_appended(batch, appended.ok)
            else:
                self._proposals.reject(batch, appended.error)
        for effect in core.flush(now):
            self._perform(core, effect)
        if core.state.disk_fault is not None:
            # What only the others could store is not applied here before the disk has room.
            self._proposals.fail_as_unknown(above=core.state.durable_commit_index)

    def _perform(self, core: Core, effect: Effect) -> None:
        match effect:
            case Send(to=to, message=message):
                self._transport.post(to=to, message=message)
            case Write() | SaveSnapshot():
                self._write_task = asyncio.create_task(self._write(effect), name="log write")
            case Apply(entries=entries):
                self._apply(core, entries)
            case RestoreSnapshot(snapshot=snapshot):
                self._restore(snapshot)
            case LeadershipGained(term=term):
                logger.info("replica became leader in term {}", term)
                self._on_leadership_change(True, term)
            case LeadershipLost(term=term, was_ready=was_ready):
                logger.info("replica is no longer leader in term {}", term)
                self._proposals.fail_as_unknown(above=core.state.commit_index)
                if was_ready:
                    self._on_leadership_change(False, term)

    def _apply(self, core: Core, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            result: object = None
            if entry.data:
                result = self._state_machine.apply(entry.index, entry.data)
                self._on_applied(entry.index, entry.data)
            self._proposals.resolve_applied(entry.id, result)
            self._bytes_since_snapshot += len(entry.data)
        self._entries_since_snapshot += len(entries)
        last_index = entries[-1].index
        self._enqueue(Applied(index=last_index))
        has_many_entries = self._entries_since_snapshot >= self._snapshot_entries
        if has_many_entries or self._bytes_since_snapshot >= self._bounds.snapshot_bytes:
            self._take_snapshot(core, last_index)

    def _take_snapshot(self, core: Core, index: LogIndex) -> None:
        if self._snapshot_task is not None and not self._snapshot_task.done():
            return
        self._entries_since_snapshot = self._bytes_since_snapshot = 0
        snapshot = core.build_snapshot(index, self._state_machine.snapshot())
        if snapshot is not None:
            work = self._prepare_snapshot(snapshot)
            self._snapshot_task = asyncio.create_task(work, name="snapshot")

    async def _prepare_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot's file concurrently with log writes, so that commits continue."""
        assert self._storage is not None
        try:
            await asyncio.to_thread(self._storage.prepare_snapshot, snapshot)
        except DiskFullError as exc:
            logger.error("{}", exc)
        except BaseException:
            self._wake.set()
            raise
        else:
            self._enqueue(SnapshotTaken(snapshot=snapshot))

    def _restore(self, snapshot: Snapshot) -> None:
        logger.info("replica restores the snapshot at index {}", snapshot.index)
        self._state_machine.restore(snapshot.data, snapshot.index)
        self._proposals.fail_as_unknown(upto=snapshot.index)
        self._entries_since_snapshot = self._bytes_since_snapshot = 0
        self._enqueue(Applied(index=snapshot.index))

    async def _write(self, effect: Write | SaveSnapshot) -> None:
        """Perform a write in a worker thread, so that heartbeats continue.

        Only one write is in progress at a time.
        """
        while True:
            try:
                if self._inline_sync:
                    self._store(effect)
                else:
                    await asyncio.to_thread(self._store, effect)
            except DiskFullError as exc:
                logger.error("{}", exc)
                self._enqueue(DiskFull(number=effect.number, reason=exc.message))
                await asyncio.sleep(DISK_RETRY_S)
                if self._is_stopping:
                    return
            except BaseException:
                self._wake.set()
                raise
            else:
                self._enqueue(Written(number=effect.number))
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
        tasks = [task for task in (self._write_task, self._snapshot_task) if task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.is_leader and self._core is not None:
            self._on_leadership_change(False, self._core.state.term)
        self._core = None
        self._storage = None

    def _enqueue(self, event: Event) -> None:
        self._inbox.append(event)
        self._wake.set()
