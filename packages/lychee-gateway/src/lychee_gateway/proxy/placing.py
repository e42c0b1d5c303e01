"""Select the server for each request, or refuse the request if no server can answer in time."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from lychee_gateway.proxy.limits import PermitRefused, PermitTaken, ServerLimits
from lychee_gateway.proxy.overloads import OverloadedOwners
from lychee_gateway.proxy.servers import ProxyServer, ServerList
from lychee_gateway.proxy.view import RoutedView
from lychee_types.clock import Clock
from lychee_types.ids import DomainName, ServiceName
from lychee_types.registry import GrantPhase, KeyRange, ServerIncarnation
from lychee_types.routing import Route
from lychee_types.timeouts import timeout_after_input

REMOTE_DOMAIN_PENALTY_S = 0.012
"""Latency that is assumed to be added by a server in another failure domain, in seconds."""

CARRIED_PENALTY_S = 0.025
"""Latency that is assumed to be added by another gateway that carries the bytes, in seconds."""

WAIT_SHARE = 0.4
"""Maximum queueing delay, as a share of the target latency minus the mean service time.

Under sustained overload every request waits for as long as it may. Work can take several times its
mean, and the rest of the time is reserved for that. A longer queue does not raise throughput.
"""

MIN_WAIT_SHARE = 0.15
"""Share of the target latency for which a request may always wait.

It applies where the mean service time leaves little or none of the target latency.
"""

URGENT_WAIT_FACTOR = 1.25
"""Factor by which a request may wait longer if its service also has a less urgent route."""

OWNER_WAIT_S = 0.12
"""Maximum wait for a key without a usable owner, in seconds.

It covers a planned move of keys. Keys of a lost owner are unavailable for longer.
"""

NO_OWNER_RETRY_S = 0.3
"""Retry delay for a key that has had no owner for longer than `OWNER_WAIT_S`, in seconds."""

OWNER_DRAIN_SHARE = 0.75
"""Share of the drain time for which a leaving owner still gets requests for its keys."""

SUSPECT_PENALTY_S = 10.0
"""Added to the score of a server for each request there that a suspect may harm, in seconds."""

MIN_RETRY_S = 0.05
"""Minimum retry delay that is sent to a caller, in seconds."""

SCORE_JITTER = 0.15
"""Maximum random increase of a score, as a share; spreads the gateways over several servers."""


@dataclass(kw_only=True, slots=True)
class RoutedRequest:
    """A request whose route and service are known.

    :param route: the matching route.
    :param service: the service that it is sent to.
    :param key: its key, None for a service whose keys have no owners.
    :param arrived_at: monotonic time in seconds at which its head was received.
    :param deadline: monotonic time in seconds by which it must be answered.
    :param tried: servers that are not selected for it again.
    :param is_suspect: whether servers have ended under it, so that it needs an idle one.
    """

    route: Route
    service: ServiceName
    key: int | None
    arrived_at: float
    deadline: float
    tried: list[ServerIncarnation] = field(default_factory=list)
    is_suspect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NoServer:
    """No server can answer the request in time.

    :param reason: the cause, as sent to the caller.
    :param retry_after_s: delay after which a retry may succeed, in seconds.
    """

    reason: str
    retry_after_s: float


class ServerSelector:
    """Selects the server for each request.

    Requests with a key go to the key's owner. Others go to the server with the lowest expected
    response time.

    :param view: the gateway's copy of the replicated state.
    :param servers: load and health of the servers.
    :param limits: rate limits of the servers.
    :param domain: this gateway's failure domain.
    :param clock: source of time.
    :param drain_s: time after which a leaving server must get no more requests, in seconds.
    :param rng: source of random numbers.
    :param overloads: overloaded owners of keys; None for a gateway without a leader.
    """

    def __init__(
        self,
        *,
        view: RoutedView,
        servers: ServerList,
        limits: ServerLimits,
        domain: DomainName,
        clock: Clock,
        drain_s: float,
        rng: Random | None = None,
        overloads: OverloadedOwners | None = None,
    ) -> None:
        self._view = view
        self._servers = servers
        self._limits = limits
        self._domain = domain
        self._clock = clock
        self._drain_s = drain_s
        self._rng = rng or Random()
        self._overloads = OverloadedOwners(clock=clock) if overloads is None else overloads
        self._state_change: asyncio.Future[None] | None = None
        self._vacancies: dict[tuple[ServiceName, int, int], float] = {}

    def state_changed(self) -> None:
        """Wake up requests that wait for an owner, so that they check the new state."""
        if self._state_change is not None and not self._state_change.done():
            self._state_change.set_result(None)
        self._state_change = None
        self._vacancies = {
            vacancy: since
            for vacancy, since in self._vacancies.items()
            if self._is_vacant(*vacancy)
        }

    def choose_service(self, route: Route) -> ServiceName:
        """Choose a service at random by the weights of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    async def select(self, request: RoutedRequest) -> ProxyServer | NoServer:
        """Return the server for a request, or why there is none.

        Waits up to `OWNER_WAIT_S` if the request's key has no usable owner.
        """
        self._servers.estimate_anew()
        if request.key is None:
            return await self._select_any(request)
        return await self._select_owner(request, request.key)

    async def _select_any(self, request: RoutedRequest) -> ProxyServer | NoServer:
        """Return the best server; the best one without a rate limit if another has no permit."""
        limited: list[ServerIncarnation] = []
        now = self._clock.monotonic()
        while (best := self._find_best(request, now, skip=limited)) is not None:
            admitted = self._admit(request, best, now)
            if isinstance(admitted, NoServer):
                return admitted
            if await self._limits.take_promptly(best.run, deadline=request.deadline):
                return admitted
            limited.append(best.run)
        for run in limited:
            server = self._servers.find(run)
            if server is not None:
                return await self._wait_for_permit(request, server)
        return NoServer(reason="no server is left", retry_after_s=0.3)

    def _find_best(
        self, request: RoutedRequest, now: float, *, skip: list[ServerIncarnation]
    ) -> ProxyServer | None:
        best: ProxyServer | None = None
        best_score = 0.0
        for server in self._servers.for_service(request.service):
            if server.record.is_leaving or server.run in request.tried or server.run in skip:
                continue
            score = self._score(server, now)
            if request.is_suspect:
                score += SUSPECT_PENALTY_S * server.estimated_occupancy(now)
            if best is None or score < best_score:
                best, best_score = server, score
        return best

    async def _wait_for_permit(
        self, request: RoutedRequest, server: ProxyServer
    ) -> ProxyServer | NoServer:
        match await self._limits.take(server.run, deadline=request.deadline):
            case PermitTaken():
                return server
            case PermitRefused(retry_after_s=retry_after_s):
                return NoServer(
                    reason="the server's rate limit is used up",
                    retry_after_s=max(MIN_RETRY_S, retry_after_s),
                )

    def _score(self, server: ProxyServer, now: float) -> float:
        expected_s = server.expected_wait_s(now) + server.expected_service_time_s(now) * (
            1 + 0.3 * server.estimated_occupancy(now) / server.slots
        )
        expected_s *= 1 + SCORE_JITTER * self._rng.random()
        if server.record.domain != self._domain:
            expected_s += REMOTE_DOMAIN_PENALTY_S
        if not server.is_direct:
            expected_s += CARRIED_PENALTY_S
        if not server.is_healthy(now):
            expected_s += 10.0
        return expected_s

    def _admit(
        self, request: RoutedRequest, server: ProxyServer, now: float
    ) -> ProxyServer | NoServer:
        wait_s, service_time_s = server.expected_wait_s(now), server.expected_service_time_s(now)
        is_in_time = now + wait_s + service_time_s <= request.deadline
        is_short = wait_s <= self._max_wait_s(request, service_time_s)
        if is_in_time and is_short and not server.is_full(now):
            return server
        return NoServer(
            reason=f"the wait at the best server is {wait_s:.3f} s",
            retry_after_s=max(MIN_RETRY_S, wait_s),
        )

    def _max_wait_s(self, request: RoutedRequest, service_time_s: float) -> float:
        """Return the maximum time that a request may wait in a server's queue, in seconds.

        A request that waits longer is usually answered after its route's target latency and delays
        others too. The last queue places of a busy service are reserved for its urgent routes.
        """
        target_s = request.route.target_latency_s
        longest_s = max((target_s - service_time_s) * WAIT_SHARE, target_s * MIN_WAIT_SHARE)
        if self._view.has_less_urgent_route(request.route, request.service):
            longest_s *= URGENT_WAIT_FACTOR
        return longest_s

    async def _select_owner(self, request: RoutedRequest, key: int) -> ProxyServer | NoServer:
        wait_until = min(self._clock.monotonic() + OWNER_WAIT_S, request.deadline)
        # A change that has arrived is taken in before the first refusal too.
        has_waited = False
        while True:
            now = self._clock.monotonic()
            key_range = self._range(request.service, key)
            owner = self._owner(key_range)
            has_drained = owner is not None and self._has_drained(owner)
            if owner is not None and not has_drained and owner.run not in request.tried:
                admitted = self._admit_at_owner(request, owner, now)
                if isinstance(admitted, NoServer):
                    return admitted
                return await self._wait_for_permit(request, owner)
            vacant_until = self._vacant_since(request.service, key_range, now) + OWNER_WAIT_S
            left_s = min(vacant_until, wait_until) - now
            if left_s <= 0 and has_waited:
                return NoServer(reason="the key has no owner now", retry_after_s=NO_OWNER_RETRY_S)
            await self._wait_for_change(left_s)
            has_waited = True

    def _admit_at_owner(
        self, request: RoutedRequest, owner: ProxyServer, now: float
    ) -> ProxyServer | NoServer:
        retry_after_s = self._overloads.refused_for_s(owner.run, request.route, request.service)
        if retry_after_s is None:
            return self._admit(request, owner, now)
        return NoServer(
            reason="the key's owner gets more than it can serve", retry_after_s=retry_after_s
        )

    def _vacant_since(self, service: ServiceName, key_range: KeyRange | None, now: float) -> float:
        """Return the monotonic time in seconds since which a key range has had no usable owner.

        Counts from the first request for the range.
        """
        low = key_range.low if key_range is not None else 0
        token = key_range.token if key_range is not None else 0
        return self._vacancies.setdefault((service, low, token), now)

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
        """Return whether a leaving owner gets no more requests, even if it still owns its keys."""
        return owner.has_drained(self._clock.monotonic(), self._drain_s * OWNER_DRAIN_SHARE)

    async def _wait_for_change(self, timeout_s: float) -> None:
        if self._state_change is None:
            self._state_change = asyncio.get_running_loop().create_future()
        try:
            async with timeout_after_input(timeout_s):
                await asyncio.shield(self._state_change)
        except TimeoutError:
            return
