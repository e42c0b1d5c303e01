"""The leader's management of one service's key ranges: first split, moves, merges."""

import asyncio
from collections.abc import Callable, Iterable

from loguru import logger
from msgspec.structs import replace

from lychee_control.registry.delivery import GrantDelivery, Spawn
from lychee_control.registry.heartbeats import HeartbeatTracker
from lychee_control.registry.proposals import Propose, RangeWriter
from lychee_ranges import (
    NO_OWNER,
    BucketRates,
    Candidate,
    KeyTable,
    LoadTracker,
    Move,
    MovePlanner,
    RoutedState,
    first_split,
    mergeable_ranges,
)
from lychee_types.clock import Clock
from lychee_types.ids import ServiceName, Token
from lychee_types.registry import GrantPhase, KeyRange, RegisteredServer, ServerIncarnation
from lychee_types.server_check import server_fault
from lychee_types.timeouts import take_input

FIRST_SPLIT_DELAY_S = 0.6
"""Time without a new server after which the keys are first split, in seconds."""

MAX_MOVES = 16
"""Maximum number of concurrent moves of keys that have a serving owner."""

MAX_UNOWNED_MOVES = 300
"""Maximum number of concurrent moves of keys whose owner is lost or leaving."""

WARM_UP_S = 1.5
"""Time in seconds for which a new leader only measures loads before it moves keys by load."""

OPTIONAL_MOVE_INTERVAL_S = 0.5
"""Minimum time between two moves that only reduce response times, in seconds."""

LATE_PLAN_S = 0.2
"""Time between two plans above which the event loop was busy, in seconds."""

PLAN_INTERVAL_S = 0.1
"""Interval at which moves are planned, in seconds."""

MAX_MISSED_HEARTBEATS = 2.5
"""Missed heartbeats after which a server without keys is given none."""

MakeDelivery = Callable[[Callable[[], KeyTable], RangeWriter], GrantDelivery]
"""Returns how a service's grants reach their owners, given its ranges and what changes them."""


class RangeManager:
    """Assigns an owner to each key of a service while this replica leads.

    :param service: the service.
    :param state: the replicated state.
    :param heartbeats: servers' last heartbeats.
    :param loads: measured loads and service times.
    :param make_delivery: returns how grants reach their owners, given what changes the ranges.
    :param propose: commits a command.
    :param spawn: starts a task.
    :param clock: source of time.
    :param limit_per_s: returns a server's rate limit in requests per second, None for none.
    :param heartbeat_s: interval between heartbeats, in seconds.
    :param is_cold: returns whether a server is cold and gets its keys in steps.
    """

    def __init__(
        self,
        *,
        service: ServiceName,
        state: RoutedState,
        heartbeats: HeartbeatTracker,
        loads: LoadTracker,
        make_delivery: MakeDelivery,
        propose: Propose,
        spawn: Spawn,
        clock: Clock,
        limit_per_s: Callable[[ServerIncarnation], float | None],
        heartbeat_s: float,
        is_cold: Callable[[ServerIncarnation], bool] = lambda run: False,
    ) -> None:
        self._is_cold = is_cold
        self._service = service
        self._state = state
        self._heartbeats = heartbeats
        self._loads = loads
        self._spawn = spawn
        self._clock = clock
        self._limit_per_s = limit_per_s
        self._heartbeat_s = heartbeat_s
        self._writer = RangeWriter(service=service, table=self._table, propose=propose)
        self.delivery = make_delivery(self._table, self._writer)
        self._owners: dict[ServerIncarnation, RegisteredServer] = {}
        self._known_servers: dict[ServerIncarnation, RegisteredServer] = {}
        now = clock.monotonic()
        self._started_at = now
        self._last_registered_at = now
        self._pending_moves: list[Move] = []
        self._optional_move_at = now

    async def run(self) -> None:
        """Manage the ranges until cancelled."""
        self._spawn(self._writer.run(), f"ranges of {self._service}")
        while True:
            planned_at = self._clock.monotonic()
            self._plan_moves()
            await asyncio.sleep(PLAN_INTERVAL_S)
            if self._clock.monotonic() - planned_at > LATE_PLAN_S:
                # Heartbeats that have arrived are counted before a server is taken for lost.
                await take_input()

    def on_ranges_set(self, ranges: Iterable[KeyRange]) -> None:
        """Tell the owners of a committed change of ranges.

        :param ranges: the new ranges.
        """
        owners = (item.owner for item in ranges if item.owner is not None)
        self.delivery.wake_up(dict.fromkeys(owners))

    def _table(self) -> KeyTable:
        table = self._state.tables.get(self._service)
        return table if table is not None else KeyTable()

    def _plan_moves(self) -> None:
        now = self._clock.monotonic()
        self._update_known_servers(now)
        candidates = self._candidates(now)
        table = self._table()
        self._update_owners(table, candidates)
        if not candidates:
            return
        if all(key_range.owner is None for key_range in table.ranges):
            if now - self._last_registered_at >= FIRST_SPLIT_DELAY_S and not self._pending_moves:
                self._start_first_split(candidates)
            return
        self._start_moves(table, candidates, now)
        if len(table.ranges) > self.delivery.max_ranges_per_owner * len(self._owners):
            self._start_merges(table)

    def _start_merges(self, table: KeyTable) -> None:
        """Merge adjacent ranges of one owner, under a new token, so that one grant renews them."""
        for key_range in mergeable_ranges(table, tuple(self._pending_moves)):
            assert key_range.owner is not None
            move = Move(keys=key_range, new_owner=key_range.owner, reason="merge")
            self._pending_moves.append(move)
            self._spawn(self._merge(move), f"merge in {self._service}")

    def _update_known_servers(self, now: float) -> None:
        for server in self._state.servers.values():
            if server.service == self._service:
                if server.run not in self._known_servers:
                    self._last_registered_at = now
                self._known_servers[server.run] = server

    def _candidates(self, now: float) -> tuple[Candidate, ...]:
        servers = [
            server
            for server in self._state.servers.values()
            if server.service == self._service
            and not self._state.is_leaving(server)
            and server_fault(server) is None
            and not self._is_lost(server.run, now)
        ]
        mean_s = self._loads.mean_service_time_s(tuple(server.run.server for server in servers))
        ordered = sorted(servers, key=lambda server: (server.domain, server.run.server))
        return tuple(
            Candidate(
                server=server,
                service_time_s=self._loads.service_time_s(server.run.server, default_s=mean_s),
                limit_per_s=self._limit_per_s(server.run),
                is_cold=self._is_cold(server.run),
            )
            for server in ordered
        )

    def _is_lost(self, incarnation: ServerIncarnation, now: float) -> bool:
        """Return whether an incarnation counts as lost.

        An incarnation without keys is lost after missed heartbeats. One with keys is lost only when
        its hold has nearly expired, because until then it may serve them even if it cannot be
        reached.
        """
        if incarnation in self._owners:
            return self.delivery.is_lost(incarnation, now)
        silent_s = now - self._heartbeats.last_heartbeat_at(incarnation)
        return silent_s > MAX_MISSED_HEARTBEATS * self._heartbeat_s

    def _can_own(self, incarnation: ServerIncarnation) -> bool:
        """Return whether an incarnation is registered, ready and not lost, and stays."""
        server = self._state.servers.get(incarnation.server)
        if server is None or server.run != incarnation or self._state.is_leaving(server):
            return False
        if self._is_lost(incarnation, self._clock.monotonic()):
            return False
        return self._is_ready(incarnation)

    def _is_ready(self, incarnation: ServerIncarnation) -> bool:
        """Return whether an incarnation has keys, or can be told at once of its first ones."""
        return incarnation in self._owners or self.delivery.is_ready(incarnation)

    def _update_owners(self, table: KeyTable, candidates: tuple[Candidate, ...]) -> None:
        """Have grants delivered to each incarnation that has keys, and to no other."""
        owners = dict.fromkeys(item.owner for item in table.ranges if item.owner is not None)
        self._owners = {
            owner: self._known_servers[owner] for owner in owners if owner in self._known_servers
        }
        servers = {candidate.server.run: candidate.server for candidate in candidates}
        others = {run: server for run, server in servers.items() if run not in self._owners}
        self.delivery.update_owners(self._owners, others)

    def _start_first_split(self, candidates: tuple[Candidate, ...]) -> None:
        logger.bind(event="first_split", service=self._service, servers=len(candidates)).info(
            "splitting the keys among the servers for the first time"
        )
        whole = self._table().ranges[0]
        for key_range in first_split(candidates):
            assert key_range.owner is not None
            move = Move(keys=key_range, new_owner=key_range.owner, reason="first grant")
            self._pending_moves.append(move)
            self._spawn(self._write_move(whole, move), f"first grant in {self._service}")

    async def _write_move(self, expected: KeyRange | None, move: Move) -> None:
        try:
            await self._writer.change(expected=expected, new=move.keys)
        finally:
            self._pending_moves.remove(move)

    async def _merge(self, move: Move) -> None:
        await self.delivery.wait_for_turn(move.keys, move.new_owner)
        await self._write_move(None, move)

    def _start_moves(self, table: KeyTable, candidates: tuple[Candidate, ...], now: float) -> None:
        unowned = sum(move.reason == NO_OWNER for move in self._pending_moves)
        room = max(0, MAX_MOVES - (len(self._pending_moves) - unowned))
        is_warming_up = now - self._started_at < WARM_UP_S
        rates = BucketRates() if is_warming_up else self._loads.rates(self._service, now)
        planner = MovePlanner(
            table=table,
            candidates=tuple(item for item in candidates if self._is_ready(item.server.run)),
            rates=rates,
            pending=tuple(self._pending_moves),
        )
        is_optional_due = now - self._optional_move_at >= OPTIONAL_MOVE_INTERVAL_S
        if is_optional_due:
            self._optional_move_at = now
        moves = planner.plan_moves(
            room,
            optional_limit=1 if is_optional_due else 0,
            unowned_limit=max(0, MAX_UNOWNED_MOVES - unowned),
        )
        for move in moves:
            if move.reason != NO_OWNER and not self.delivery.may_move(move.keys, now):
                continue
            self._pending_moves.append(move)
            self._spawn(self._move(move), f"move in {self._service}")

    async def _move(self, move: Move) -> None:
        """Release keys from their owner, wait until it cannot hold them, and assign the new one."""
        keys = move.keys
        logger.bind(
            event="move_begins",
            service=self._service,
            low=keys.low,
            high=keys.high,
            token=keys.token,
            owner=keys.owner.server if keys.owner else "",
            to=move.new_owner.server,
            reason=move.reason,
        ).info("moving keys")
        try:
            await self._carry_out(move)
        finally:
            self._pending_moves.remove(move)

    async def _carry_out(self, move: Move) -> None:
        keys = move.keys
        releasing = replace(keys, phase=GrantPhase.RELEASING, handover="")
        handover = ""
        if keys.owner is not None:
            if keys.phase is not GrantPhase.RELEASING:
                await self.delivery.wait_for_turn(keys, move.new_owner)
                if not await self._writer.change(expected=keys, new=releasing):
                    return
            handover = await self.delivery.release(releasing)
        is_vacant = keys.owner is None
        expected = keys if is_vacant else releasing
        if not self._can_own(move.new_owner):
            new = replace(keys, owner=None, token=Token(0), phase=GrantPhase.VACANT)
        else:
            new = replace(
                keys,
                owner=move.new_owner,
                token=Token(0),
                phase=GrantPhase.GRANTING,
                handover=handover,
            )
        await self._writer.change(expected=expected, new=new)
