"""Which server a request goes to, whether it waits, or that it is refused."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from lychee_gateway.proxy.servers import ProxyServer, ServerList
from lychee_gateway.proxy.view import RoutedView
from lychee_types.clock import Clock
from lychee_types.ids import DomainName, ServiceName
from lychee_types.registry import GrantPhase, KeyRange, ServerRun
from lychee_types.routing import Route

FAR_S = 0.012
"""What a server in another failure domain is taken to be slower by, in seconds."""

WAIT_SHARE = 0.4
"""Part of the time left by the mean work until the target latency for which a request may wait.

Under steady overload every request waits for as long as it may, and work takes up to several times
its mean: the rest is left for that. A longer queue has no server do more.
"""

LEAST_WAIT_SHARE = 0.15
"""Part of the target latency for which a request may wait even where the work takes longer."""

URGENT_SHARE = 1.25
"""How much longer requests may wait that are more urgent than others of their service."""

OWNER_WAIT_S = 0.12
"""Time for which keys that move are waited for, in seconds; a lost owner's keys take longer."""

NO_OWNER_RETRY_S = 0.3
"""When to come back for a key that has had no owner for longer, in seconds."""

DRAIN_SHARE = 0.75
"""Part of the drain time for which a leaving owner still gets requests for its keys."""

LEAST_RETRY_S = 0.05
"""Least time after which a caller is told to come back, in seconds."""

SPREAD = 0.15
"""Share by which servers' scores are varied, so that gateways do not all choose the same one."""


@dataclass(kw_only=True, slots=True)
class Placement:
    """A request on its way to a server.

    :param route: its route.
    :param service: the service that it goes to.
    :param key: its key, None for a service without owners.
    :param arrived: when it was read, clock seconds.
    :param until: when its final answer is due, clock seconds.
    :param tried: servers that it was sent to or that refused it.
    """

    route: Route
    service: ServiceName
    key: int | None
    arrived: float
    until: float
    tried: list[ServerRun] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class NoPlace:
    """No server can answer in time.

    :param reason: why.
    :param retry_after_s: when there may be room, in seconds.
    """

    reason: str
    retry_after_s: float


class Placer:
    """Chooses servers.

    :param view: the state.
    :param servers: the servers.
    :param domain: this gateway's failure domain.
    :param clock: source of time.
    :param drain_s: time after which a leaving server must get no request, in seconds.
    :param draw: source of random numbers.
    """

    def __init__(
        self,
        *,
        view: RoutedView,
        servers: ServerList,
        domain: DomainName,
        clock: Clock,
        drain_s: float,
        draw: Random | None = None,
    ) -> None:
        self._view = view
        self._servers = servers
        self._domain = domain
        self._clock = clock
        self._drain_s = drain_s
        self._draw = draw or Random()
        self._changed: asyncio.Future[None] | None = None
        self._vacant: dict[tuple[ServiceName, int, int], float] = {}

    def state_changed(self) -> None:
        """Have requests that wait for an owner look again."""
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)
        self._changed = None
        self._vacant = {
            place: since for place, since in self._vacant.items() if self._is_vacant(*place)
        }

    def choose_service(self, route: Route) -> ServiceName:
        """Return the service of a request by the weights of its route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._draw.choices(route.shares, weights)[0].service

    async def place(self, wanted: Placement) -> ProxyServer | NoPlace:
        """Return the server for a request, or why there is none."""
        if wanted.key is None:
            return self._place_free(wanted)
        return await self._place_keyed(wanted, wanted.key)

    def _place_free(self, wanted: Placement) -> ProxyServer | NoPlace:
        now = self._clock.monotonic()
        best: ProxyServer | None = None
        best_score = 0.0
        for server in self._servers.of(wanted.service):
            if server.record.is_leaving or server.run in wanted.tried:
                continue
            score = self._score(server, now)
            if best is None or score < best_score:
                best, best_score = server, score
        if best is None:
            return NoPlace(reason="no server is left", retry_after_s=0.3)
        return self._unless_full(wanted, best, now)

    def _score(self, server: ProxyServer, now: float) -> float:
        expected_s = server.wait_s(now) + server.work_s(now) * (
            1 + 0.3 * server.occupied(now) / server.slots
        )
        expected_s *= 1 + SPREAD * self._draw.random()
        if server.record.domain != self._domain:
            expected_s += FAR_S
        if not server.is_in_use(now):
            expected_s += 10.0
        return expected_s

    def _unless_full(
        self, wanted: Placement, server: ProxyServer, now: float
    ) -> ProxyServer | NoPlace:
        wait_s, work_s = server.wait_s(now), server.work_s(now)
        is_in_time = now + wait_s + work_s <= wanted.until
        is_short = wait_s <= self._longest_wait_s(wanted, work_s)
        if is_in_time and is_short and not server.is_full(now):
            return server
        return NoPlace(
            reason=f"the wait at the best server is {wait_s:.3f} s",
            retry_after_s=max(LEAST_RETRY_S, wait_s),
        )

    def _longest_wait_s(self, wanted: Placement, work_s: float) -> float:
        """Return for how long a request may wait at a server.

        What waits longer is mostly answered after its route's target latency and makes others
        late as well. Of a full service the last room is left to its more urgent routes.
        """
        target_s = wanted.route.target_latency_s
        longest_s = max((target_s - work_s) * WAIT_SHARE, target_s * LEAST_WAIT_SHARE)
        if self._view.has_less_urgent(wanted.route, wanted.service):
            longest_s *= URGENT_SHARE
        return longest_s

    async def _place_keyed(self, wanted: Placement, key: int) -> ProxyServer | NoPlace:
        patience_until = min(self._clock.monotonic() + OWNER_WAIT_S, wanted.until)
        while True:
            now = self._clock.monotonic()
            key_range = self._range(wanted.service, key)
            owner = self._owner(key_range)
            is_gone = owner is not None and self._has_drained(owner)
            if owner is not None and not is_gone and owner.run not in wanted.tried:
                return self._unless_full(wanted, owner, now)
            vacant_until = self._since_vacant(wanted.service, key_range, now) + OWNER_WAIT_S
            left_s = min(vacant_until, patience_until) - now
            if left_s <= 0:
                return NoPlace(reason="the key has no owner now", retry_after_s=NO_OWNER_RETRY_S)
            await self._until_changed(left_s)

    def _since_vacant(self, service: ServiceName, key_range: KeyRange | None, now: float) -> float:
        """Return since when requests have found a range without a usable owner."""
        low = key_range.low if key_range is not None else 0
        token = key_range.token if key_range is not None else 0
        return self._vacant.setdefault((service, low, token), now)

    def _range(self, service: ServiceName, key: int) -> KeyRange | None:
        table = self._view.state.tables.get(service)
        return table.find(key) if table is not None else None

    def _is_vacant(self, service: ServiceName, low: int, token: int) -> bool:
        key_range = self._range(service, low)
        return key_range is not None and key_range.token == token and not self._owner(key_range)

    def _owner(self, key_range: KeyRange | None) -> ProxyServer | None:
        if key_range is None or key_range.owner is None:
            return None
        if key_range.phase is not GrantPhase.ACTIVE:
            return None
        return self._servers.find(key_range.owner)

    def _has_drained(self, owner: ProxyServer) -> bool:
        """Return whether a leaving owner gets no more requests, though its keys have not moved."""
        if owner.leaving_since is None:
            return False
        return self._clock.monotonic() - owner.leaving_since > self._drain_s * DRAIN_SHARE

    async def _until_changed(self, timeout_s: float) -> None:
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(self._changed)
        except TimeoutError:
            return
