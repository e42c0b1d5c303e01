"""Overloaded owners of keys: the leader computes what they can serve, and tells all gateways."""

import asyncio
from collections.abc import Callable, Iterator

from loguru import logger

from lychee_control.registry.delivery import Spawn
from lychee_policy import (
    EVIDENCE_S,
    AnsweredWork,
    FullServerSigns,
    OwnerLoad,
    OwnerShares,
    estimated_demand,
    mean_service_time_s,
)
from lychee_ranges import (
    BUCKET_KEYS,
    DEFAULT_SERVICE_TIME_S,
    LATEST_DECAY_S,
    LoadTracker,
    RoutedState,
)
from lychee_types.clock import Clock
from lychee_types.ids import ServerId, ServiceName
from lychee_types.overload_messages import KnownOverloads
from lychee_types.registry import GrantPhase, ServerIncarnation
from lychee_types.registry_messages import LeaderNews, LoadReport

SHARE_INTERVAL_S = 0.2
"""Interval at which shares are computed and sent, in seconds."""


class OverloadBoard:
    """What the leader knows of owners that get more than they can serve.

    :param state: the replicated state.
    :param loads: demand by bucket of keys.
    :param spread: sends news to all gateways.
    :param spawn: starts a task.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        state: RoutedState,
        loads: LoadTracker,
        spread: Callable[[LeaderNews], None],
        spawn: Spawn,
        clock: Clock,
    ) -> None:
        self._state = state
        self._loads = loads
        self._spread = spread
        self._spawn = spawn
        self._is_running = False
        self._clock = clock
        self._shares = OwnerShares()
        self._answers: dict[ServerId, AnsweredWork] = {}
        self._signs: dict[ServiceName, FullServerSigns] = {}
        self._overflow_at: dict[ServiceName, float] = {}
        self._told: set[ServerId] = set()

    def __len__(self) -> int:
        """Return how many owners are overloaded."""
        return len(self._shares)

    async def _run(self) -> None:
        """Compute the shares and send them while owners may leave requests unanswered."""
        try:
            while self._overflow_at:
                await asyncio.sleep(SHARE_INTERVAL_S)
                self.update()
        finally:
            self._is_running = False

    def record(self, report: LoadReport) -> None:
        """Record what gateways have measured of servers."""
        now = self._clock.monotonic()
        for stats in report.servers:
            server = self._state.servers.get(stats.server)
            if server is None:
                continue
            known = self._answers.setdefault(stats.server, AnsweredWork(updated_at=now))
            if stats.answers:
                known.add(stats.answers, stats.work_s or stats.busy_s, now)
            if stats.occupied >= 0:
                known.record_occupied(stats.occupied, now, slots=max(1, server.slots))
            signs = self._signs.setdefault(server.service, FullServerSigns(updated_at=now))
            if known.had_long_queue(now):
                signs.record(unanswered=stats.unanswered, answered=stats.answers, now=now)
            may_overflow = bool(stats.unanswered) or known.long_queue_at == now
            if may_overflow and signs.leaves_unanswered(now):
                self._overflow_at[server.service] = now
                self._start()

    def _start(self) -> None:
        if not self._is_running:
            self._is_running = True
            self._spawn(self._run(), "shares of overloaded owners")

    def update(self) -> None:
        """Compute the shares, and send them if there are any or the last ones have ended."""
        now = self._clock.monotonic()
        self._overflow_at = {
            service: overflow_at
            for service, overflow_at in self._overflow_at.items()
            if now - overflow_at <= EVIDENCE_S
        }
        for server in self._answers.keys() - self._state.servers.keys():
            del self._answers[server]
        owners = self._shares.update(self._owner_loads(now))
        for owner in owners:
            # What gateways refuse would be left unanswered; else shares would end every 10 s.
            self._overflow_at[self._state.servers[owner.run.server].service] = now
        if not owners and not self._told:
            return
        self._spread(KnownOverloads(owners=owners))
        overloaded = {owner.run.server: owner.share for owner in owners}
        for server in self._told ^ overloaded.keys():
            logger.bind(
                event="owner_overloaded" if server in overloaded else "owner_relieved",
                server=server,
                share=round(overloaded.get(server, 1.0), 3),
            ).info(
                "an owner of keys is {}",
                "overloaded" if server in overloaded else "no longer overloaded",
            )
        self._told = set(overloaded)

    def _owner_loads(self, now: float) -> Iterator[OwnerLoad]:
        """Yield the loads of the owners of each service that may leave requests unanswered."""
        for service in self._overflow_at:
            yield from self._loads_of(service, now)

    def _loads_of(self, service: ServiceName, now: float) -> Iterator[OwnerLoad]:
        works: dict[ServerIncarnation, AnsweredWork] = {}
        for server in self._state.servers.values():
            if server.service == service:
                name = server.run.server
                works[server.run] = self._answers.get(name) or AnsweredWork(updated_at=now)
                works[server.run].decay(now)
        mean_s = mean_service_time_s(works.values(), default_s=DEFAULT_SERVICE_TIME_S)
        for run, demand_per_s in self._demands(service, now).items():
            if run in works:
                slots = max(1, self._state.servers[run.server].slots)
                capacity_per_s = works[run].capacity_per_s(slots=slots, mean_s=mean_s)
                yield OwnerLoad(
                    run=run,
                    demand_per_s=demand_per_s,
                    capacity_per_s=capacity_per_s,
                    excess=works[run].excess(slots=slots, now=now),
                )

    def _demands(self, service: ServiceName, now: float) -> dict[ServerIncarnation, float]:
        """Return the requests per second for the keys of each owner, including refused ones."""
        table = self._state.tables.get(service)
        if table is None:
            return {}
        rates = self._loads.rates(service, now)
        steady: dict[ServerIncarnation, float] = {}
        latest: dict[ServerIncarnation, float] = {}
        for bucket, per_s in rates.steady.items():
            key_range = table.find(bucket * BUCKET_KEYS)
            owner = key_range.owner
            if owner is None or key_range.phase is not GrantPhase.ACTIVE:
                continue
            steady[owner] = steady.get(owner, 0.0) + per_s
            latest[owner] = latest.get(owner, 0.0) + rates.latest[bucket]
        return {
            owner: estimated_demand(
                steady=per_s, latest=latest[owner], latest_window_s=LATEST_DECAY_S
            )
            for owner, per_s in steady.items()
        }
