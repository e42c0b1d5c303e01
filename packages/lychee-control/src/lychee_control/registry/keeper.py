"""The leader's work on the keys of one service: owners, moves and first grants."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger
from msgspec.structs import replace

from lychee_control.registry.calls import (
    GRANT_TIMEOUT_S,
    GrantCodec,
    Released,
    ServerCalls,
)
from lychee_control.registry.heartbeats import HeartbeatBook
from lychee_control.registry.owners import Owner
from lychee_control.registry.proposals import Propose, RangeWriter
from lychee_ranges import (
    NO_OWNER,
    BucketRates,
    Candidate,
    Exposures,
    KeyTable,
    LoadBook,
    Move,
    Plan,
    RoutedState,
    first_split,
    hold_limit_s,
    mergeable,
)
from lychee_types.clock import Clock
from lychee_types.ids import ServiceName, Token
from lychee_types.registry import GrantPhase, KeyRange, RegisteredServer, ServerRun

HOLD_S = 3.0
"""Hold time of a grant, in seconds: a silent owner's keys are free again after it."""

SETTLE_S = 0.6
"""Time without a new server after which keys are split for the first time, in seconds."""

MOVES_AT_ONCE = 16
"""Most moves under way of keys that are served."""

HOUSED_AT_ONCE = 300
"""Most moves under way of keys whose owner is lost or leaving."""

LEARN_S = 1.5
"""Time for which a new leader measures load and paces before keys move for them, in seconds."""

CALM_PAUSE_S = 0.5
"""Least time between two moves that only make answers faster, in seconds."""

RANGES_PER_OWNER = 4
"""Ranges for each owner from which on neighbouring ones are merged."""

TICK_S = 0.1
"""Interval between looks for moves, in seconds."""

MISSED_BEATS = 2.5
"""Missed heartbeats after which a server without keys gets none."""

LOST_SHARE = 0.85
"""Part of the hold time after a failed grant at which an owner's keys are given up for lost."""

RELEASE_RETRY_S = 0.3
"""Pause before a release that was not answered is sent again, in seconds."""

Spawn = Callable[[Coroutine[Any, Any, None], str], "asyncio.Task[None]"]
"""Starts a named task that ends with the leadership."""


class Keeper:
    """Gives each key of a service an owner while this replica leads.

    :param service: the service.
    :param state: the replicated state.
    :param beats: servers' heartbeats.
    :param loads: measured load.
    :param codec: translates calls to servers.
    :param propose: has a command committed.
    :param spawn: starts a task.
    :param clock: source of time.
    :param leads_until: until when no other leader can exist, clock seconds.
    :param heartbeat_s: interval between heartbeats, in seconds.
    :param hold_s: hold time of a grant, in seconds.
    """

    def __init__(
        self,
        *,
        service: ServiceName,
        state: RoutedState,
        beats: HeartbeatBook,
        loads: LoadBook,
        codec: GrantCodec,
        propose: Propose,
        spawn: Spawn,
        clock: Clock,
        leads_until: Callable[[], float],
        heartbeat_s: float,
        hold_s: float,
    ) -> None:
        self._service = service
        self._state = state
        self._beats = beats
        self._loads = loads
        self._codec = codec
        self._spawn = spawn
        self._clock = clock
        self._leads_until = leads_until
        self._heartbeat_s = heartbeat_s
        self._hold_s = hold_s
        now = clock.monotonic()
        # A former leader may have renewed until this one was elected, and its calls be on the way.
        unknown_until = now + GRANT_TIMEOUT_S + hold_limit_s(hold_s)
        self._exposures = Exposures(hold_s=hold_s, unknown_until=unknown_until)
        self._writer = RangeWriter(service=service, table=self._table, propose=propose)
        self._owners: dict[ServerRun, Owner] = {}
        self._tasks: dict[ServerRun, asyncio.Task[None]] = {}
        self._known: dict[ServerRun, RegisteredServer] = {}
        self._began = now
        self._joined_at = now
        self._moving: list[Move] = []
        self._calm_at = now

    async def run(self) -> None:
        """Work until cancelled."""
        self._spawn(self._writer.run(), f"ranges of {self._service}")
        while True:
            self._look()
            await asyncio.sleep(TICK_S)

    def wake(self) -> None:
        """Have owners look at their ranges again."""
        for owner in self._owners.values():
            owner.wake()

    def _table(self) -> KeyTable:
        table = self._state.tables.get(self._service)
        return table if table is not None else KeyTable()

    def _look(self) -> None:
        now = self._clock.monotonic()
        self._learn_servers(now)
        candidates = self._candidates(now)
        table = self._table()
        self._sync_owners(table)
        if not candidates:
            return
        if all(key_range.owner is None for key_range in table.ranges):
            if now - self._joined_at >= SETTLE_S and not self._moving:
                self._start_split(candidates)
            return
        self._start_moves(table, candidates, now)
        if len(table.ranges) > RANGES_PER_OWNER * len(self._owners):
            self._merge(table)

    def _merge(self, table: KeyTable) -> None:
        """Renew neighbouring ranges of one owner as one, by a new token."""
        for key_range in mergeable(table, tuple(self._moving)):
            assert key_range.owner is not None
            move = Move(keys=key_range, to=key_range.owner, reason="merge")
            self._moving.append(move)
            self._spawn(self._give(None, move), f"merge in {self._service}")

    def _learn_servers(self, now: float) -> None:
        for server in self._state.servers.values():
            if server.service == self._service:
                if server.run not in self._known:
                    self._joined_at = now
                self._known[server.run] = server

    def _candidates(self, now: float) -> tuple[Candidate, ...]:
        servers = [
            server
            for server in self._state.servers.values()
            if server.service == self._service
            and not server.is_leaving
            and not self._is_lost(server.run, now)
        ]
        usual_s = self._loads.usual_pace_s(tuple(server.run.server for server in servers))
        ordered = sorted(servers, key=lambda server: (server.domain, server.run.server))
        return tuple(
            Candidate(server=server, pace_s=self._loads.pace_s(server.run.server, usual_s=usual_s))
            for server in ordered
        )

    def _surely_leads(self) -> bool:
        """Return whether no other replica can lead now."""
        return self._clock.monotonic() < self._leads_until()

    def _is_over(self, run: ServerRun) -> bool:
        """Return whether a later run of the same server is registered."""
        registered = self._state.servers.get(run.server)
        return registered is not None and registered.run != run

    def _is_lost(self, run: ServerRun, now: float) -> bool:
        """Return whether a run is silent, and holds no keys any more if it had some.

        While its hold lasts it may serve its keys, though this replica cannot reach it.
        """
        owner = self._owners.get(run)
        if owner is None:
            return now - self._beats.heard_at(run) > MISSED_BEATS * self._heartbeat_s
        return owner.is_failing and now - owner.failing_since > LOST_SHARE * self._hold_s

    def _sync_owners(self, table: KeyTable) -> None:
        """Run an owner's task for each run that has keys, and end those of others."""
        wanted = {key_range.owner for key_range in table.ranges if key_range.owner is not None}
        for run in wanted - set(self._owners):
            server = self._known.get(run)
            if server is not None:
                self._begin_owner(run, server)
        for run in set(self._owners) - wanted:
            self._tasks.pop(run).cancel()
            self._owners.pop(run).calls.close()

    def _begin_owner(self, run: ServerRun, server: RegisteredServer) -> None:
        owner = Owner(
            run=run,
            calls=ServerCalls(
                endpoint=server.endpoint, codec=self._codec, may_grant=self._surely_leads
            ),
            table=self._table,
            writer=self._writer,
            exposures=self._exposures,
            clock=self._clock,
            leads_until=self._leads_until,
            heard_at=self._beats.heard_at,
            is_over=self._is_over,
            hold_s=self._hold_s,
        )
        self._owners[run] = owner
        self._tasks[run] = self._spawn(owner.run(), f"owner {run.server}")

    def _start_split(self, candidates: tuple[Candidate, ...]) -> None:
        logger.bind(event="first_split", service=self._service, servers=len(candidates)).info(
            "keys are given out for the first time"
        )
        whole = self._table().ranges[0]
        for key_range in first_split(candidates):
            assert key_range.owner is not None
            move = Move(keys=key_range, to=key_range.owner, reason="first grant")
            self._moving.append(move)
            self._spawn(self._give(whole, move), f"first grant in {self._service}")

    async def _give(self, expected: KeyRange | None, move: Move) -> None:
        try:
            await self._writer.change(expected=expected, new=move.keys)
            self._look()
        finally:
            self._moving.remove(move)

    def _start_moves(self, table: KeyTable, candidates: tuple[Candidate, ...], now: float) -> None:
        housed = sum(move.reason == NO_OWNER for move in self._moving)
        room = max(0, MOVES_AT_ONCE - (len(self._moving) - housed))
        is_learning = now - self._began < LEARN_S
        rates = BucketRates() if is_learning else self._loads.rates(self._service, now)
        plan = Plan(table=table, candidates=candidates, rates=rates, pending=tuple(self._moving))
        is_calm_due = now - self._calm_at >= CALM_PAUSE_S
        if is_calm_due:
            self._calm_at = now
        moves = plan.moves(
            room,
            calm_limit=1 if is_calm_due else 0,
            house_limit=max(0, HOUSED_AT_ONCE - housed),
        )
        for move in moves:
            if move.reason != NO_OWNER and self._exposures.has_open(move.keys, now):
                # The keys would be nobody's until the unanswered grant has run out.
                continue
            self._moving.append(move)
            self._spawn(self._move(move), f"move in {self._service}")

    async def _move(self, move: Move) -> None:
        """Take keys from their owner, wait until nobody can hold them, and give them away."""
        keys = move.keys
        logger.bind(
            event="move_begins",
            service=self._service,
            low=keys.low,
            high=keys.high,
            token=keys.token,
            owner=keys.owner.server if keys.owner else "",
            to=move.to.server,
            reason=move.reason,
        ).info("keys move")
        try:
            await self._carry_out(move)
        finally:
            self._moving.remove(move)

    async def _carry_out(self, move: Move) -> None:
        keys = move.keys
        releasing = replace(keys, phase=GrantPhase.RELEASING, handover="")
        handover = ""
        if keys.owner is not None:
            if keys.phase is not GrantPhase.RELEASING:
                if not await self._writer.change(expected=keys, new=releasing):
                    return
            handover = await self._release(releasing)
        wait_s = self._exposures.free_at(keys) - self._clock.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        target = self._state.servers.get(move.to.server)
        vacant = keys.owner is None
        expected = keys if vacant else releasing
        if target is None or target.run != move.to or target.is_leaving:
            new = replace(keys, owner=None, token=Token(0), phase=GrantPhase.VACANT)
        else:
            new = replace(
                keys,
                owner=move.to,
                token=Token(0),
                phase=GrantPhase.GRANTING,
                handover=handover,
            )
        await self._writer.change(expected=expected, new=new)
        self._look()
        self.wake()

    async def _release(self, keys: KeyRange) -> str:
        """Have the owner give keys up; without its word they are free when its hold has ended."""
        owner = self._owners.get(keys.owner) if keys.owner is not None else None
        if owner is None:
            return ""
        await owner.barrier()
        if self._is_over(owner.run_id):
            # A run ends with its process; what took its place holds nothing yet.
            self._exposures.ended(owner.run_id)
            return ""
        while True:
            reply = await owner.calls.release(keys)
            if isinstance(reply, Released):
                self._exposures.released(keys)
                return reply.handover
            if self._clock.monotonic() >= self._exposures.free_at(keys):
                return ""
            logger.bind(event="release_failed", low=keys.low, high=keys.high).warning(
                "a release failed: {}", reply
            )
            await asyncio.sleep(RELEASE_RETRY_S)
