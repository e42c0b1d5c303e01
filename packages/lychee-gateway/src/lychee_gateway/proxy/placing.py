"""Select the server for each request, or refuse the request if no server can answer in time."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from lychee_gateway.proxy.limits import PermitRefused, PermitTaken, ServerLimits
from lychee_gateway.proxy.overloads import OverloadedOwners
from lychee_gateway.proxy.probed_choice import ProbedChoice
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.view import RoutedView
from lychee_policy.probes import REMOTE_DOMAIN_SHARE
from lychee_types.clock import Clock
from lychee_types.ids import DomainName, ServiceName
from lychee_types.registry import GrantPhase, KeyRange, ServerIncarnation
from lychee_types.routing import Route
from lychee_types.timeouts import timeout_after_input

REMOTE_DOMAIN_PENALTY_S = 0.012
"""Latency that is assumed to be added by a server in another failure domain, in seconds."""

CARRIED_PENALTY_S = 0.025
"""Latency that is assumed to be added by another gateway that carries the bytes, in seconds."""

NEW_CONNECTION_SHARE = 0.2
"""Delay that a server without an idle connection is charged with, as a share of the time of work.

Where many gateways share many servers, each request would otherwise go to a server that has closed
the last connection as idle. The share is above `SCORE_JITTER`, which spreads requests over servers.
"""

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

UNHEALTHY_PENALTY_S = 10.0
"""Added to the score of a server that is ejected because of repeated failures, in seconds."""

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
    :param probed: number of servers whose load was known when its server was chosen.
    """

    route: Route
    service: ServiceName
    key: int | None
    arrived_at: float
    deadline: float
    tried: list[ServerIncarnation] = field(default_factory=list)
    is_suspect: bool = False
    probed: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class NoServer:
    """No server can answer the request in time.

    :param reason: the cause, as sent to the caller.
    :param retry_after_s: delay after which a retry may succeed, in seconds.
    """

    reason: str
    retry_after_s: float


NO_SERVER_LEFT = NoServer(reason="no server is left", retry_after_s=0.3)
"""The result if no server of the service may be selected."""


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
    :param probed: chooses servers that are asked for their load, None if none are asked.
    :param rng: source of random numbers.
    :param overloads: overloaded owners of keys; None for a gateway without a leader.
    :param prefers_open: whether servers are preferred to which there is an idle connection.
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
        probed: ProbedChoice | None = None,
        rng: Random | None = None,
        overloads: OverloadedOwners | None = None,
        prefers_open: bool = False,
    ) -> None:
        self._prefers_open = prefers_open
        self._probed = probed
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

    def refusal(self, request: RoutedRequest) -> NoServer | None:
        """Return why no server can take a request now, None if one probably can.

        Takes no permit, and waits for no owner.
        """
        now = self._clock.monotonic()
        if request.key is not None:
            owner = self._owner(self._range(request.service, request.key))
            admitted = self.admit(request, owner, now) if owner is not None else None
        else:
            best = self._find_best(request, now, skip=[])
            if best is None:
                return NO_SERVER_LEFT
            is_probed = self.is_probed(request)
            admitted = best if is_probed else self.admit(request, best, now)
        return admitted if isinstance(admitted, NoServer) else None

    async def select_for_copy(self, request: RoutedRequest) -> ProxyServer | None:
        """Return the best server that was not tried, None unless it has a free slot and a permit.

        Where servers are asked for their load before a request is sent, some are asked now: a copy
        at a server chosen by old loads is seldom faster than the first attempt. Waits for nothing
        else.
        """
        best = await self._find_best_for_copy(request)
        now = self._clock.monotonic()
        if best is None or best.is_leaving or now < best.full_until:
            return None
        if not (best.is_healthy(now) and best.has_free_slot(now)):
            return None
        return best if self._limits.try_take(best.run) else None

    async def _find_best_for_copy(self, request: RoutedRequest) -> ProxyServer | None:
        now = self._clock.monotonic()
        if self._probed is None or not self.is_probed(request):
            return self._find_best(request, now, skip=[])
        ranked = await self._probed.rank(
            list(self._usable(request)), delay_s=lambda server: self._delay_s(request, server, now)
        )
        return next((s for s in ranked if self._servers.find(s.run) is s), None)

    async def _select_any(self, request: RoutedRequest) -> ProxyServer | NoServer:
        """Return the best server; the best one without a rate limit if another has no permit.

        A cold server is waited for only where no other one has room.
        """
        limited: list[ServerIncarnation] = []
        request.probed = 0
        if self._probed is not None and self.is_probed(request):
            found = await self._select_probed(request, self._probed, limited)
            if found is not None:
                return found
        full: list[ServerIncarnation] = []
        refusal = NO_SERVER_LEFT
        now = self._clock.monotonic()
        while (best := self._find_best(request, now, skip=[*limited, *full])) is not None:
            is_cold = best.is_cold(now)
            admitted = self.admit(request, best, now)
            if isinstance(admitted, NoServer):
                refusal = admitted
                if not is_cold:
                    limited = [run for run in limited if self._is_cold(run, now)]
                    break
                full.append(best.run)
                continue
            if await self._take_permit(request, best, is_cold=is_cold):
                return admitted
            limited.append(best.run)
        for run in limited:
            server = self._servers.find(run)
            if server is not None:
                return await self._wait_for_permit(request, server)
        return refusal

    def is_probed(self, request: RoutedRequest) -> bool:
        """Return whether servers are asked for their load before the request is sent."""
        return self._probed is not None and self._probed.is_used(
            request.service, deadline=request.deadline
        )

    async def _select_probed(
        self, request: RoutedRequest, probed: ProbedChoice, limited: list[ServerIncarnation]
    ) -> ProxyServer | None:
        """Return the best server of some that are asked for their load, None if none has room.

        :param request: the request.
        :param probed: asks the servers.
        :param limited: servers without a permit, to which others are added.
        """
        usable = list(self._usable(request))
        now = self._clock.monotonic()
        ranked = await probed.rank(
            usable, delay_s=lambda server: self._delay_s(request, server, now)
        )
        request.probed = len(ranked)
        found: ProxyServer | None = None
        for server in ranked:
            # The state may have changed while they were asked.
            if server.is_leaving or self._servers.find(server.run) is not server:
                continue
            if isinstance(self.admit(request, server, self._clock.monotonic()), NoServer):
                break
            is_cold = server.is_cold(self._clock.monotonic())
            if await self._take_permit(request, server, is_cold=is_cold):
                found = server
                break
            limited.append(server.run)
        probed.count(request.service, found)
        return found

    def _usable(self, request: RoutedRequest) -> Iterator[ProxyServer]:
        """Yield the servers that may be selected for a request without a key."""
        for server in self._servers.for_service(request.service):
            if not server.is_leaving and server.run not in request.tried:
                yield server

    async def _take_permit(
        self, request: RoutedRequest, server: ProxyServer, *, is_cold: bool
    ) -> bool:
        """Take a permit if there is one soon; for a cold server, only one that is at hand."""
        if is_cold:
            return self._limits.try_take(server.run)
        return await self._limits.take_promptly(server.run, deadline=request.deadline)

    def _is_cold(self, run: ServerIncarnation, now: float) -> bool:
        server = self._servers.find(run)
        return server is not None and server.is_cold(now)

    def _find_best(
        self, request: RoutedRequest, now: float, *, skip: list[ServerIncarnation]
    ) -> ProxyServer | None:
        best: ProxyServer | None = None
        best_score = 0.0
        for server in self._usable(request):
            if server.run in skip:
                continue
            score = self._score(server, now) + self._delay_s(request, server, now)
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
        jitter = 1 + SCORE_JITTER * self._rng.random()
        return self._expected_s(server, now) * jitter + self._remote_s(server, self._domain, now)

    def _expected_s(self, server: ProxyServer, now: float) -> float:
        return server.expected_wait_s(now) + server.expected_service_time_s(now) * (
            1 + 0.3 * server.estimated_occupancy(now) / server.slots
        )

    def _remote_s(self, server: ProxyServer, domain: DomainName, now: float) -> float:
        """Return what a server is charged with if it is not in a failure domain, in seconds."""
        if server.record.domain == domain:
            return 0.0
        if not server.tells_speed(now):
            return REMOTE_DOMAIN_PENALTY_S
        return REMOTE_DOMAIN_PENALTY_S + REMOTE_DOMAIN_SHARE * server.expected_service_time_s(now)

    def cost_s(
        self, request: RoutedRequest, server: ProxyServer, domain: DomainName, now: float
    ) -> float:
        """Return the cost by which a server is chosen, without its random part, in seconds.

        :param request: the request.
        :param server: the server.
        :param domain: the failure domain of the gateway that chooses.
        :param now: monotonic time in seconds.
        """
        cost_s = self._expected_s(server, now) + self._remote_s(server, domain, now)
        return cost_s + self._delay_s(request, server, now)

    def _delay_s(self, request: RoutedRequest, server: ProxyServer, now: float) -> float:
        """Return what a server is charged with besides its load and domain, in seconds."""
        delay_s = max(0.0, server.full_until - now)
        if not server.is_direct:
            delay_s += CARRIED_PENALTY_S
        if not server.is_healthy(now):
            delay_s += UNHEALTHY_PENALTY_S
        if self._prefers_open and not server.pool:
            delay_s += NEW_CONNECTION_SHARE * server.expected_service_time_s(now)
        if request.is_suspect:
            delay_s += SUSPECT_PENALTY_S * server.estimated_occupancy(now)
        return delay_s

    def admit(
        self, request: RoutedRequest, server: ProxyServer, now: float
    ) -> ProxyServer | NoServer:
        """Return a server if it can probably answer a request in time, else why it cannot."""
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
            has_drained = owner is not None and self.has_drained(owner)
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
            return self.admit(request, owner, now)
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

    def find_owner(
        self, service: ServiceName, key: int
    ) -> tuple[KeyRange | None, ProxyServer | None]:
        """Return the range of a key, and the server that may get requests for it."""
        key_range = self._range(service, key)
        return key_range, self._owner(key_range)

    def _is_vacant(self, service: ServiceName, low: int, token: int) -> bool:
        key_range = self._range(service, low)
        return key_range is not None and key_range.token == token and not self._owner(key_range)

    def _owner(self, key_range: KeyRange | None) -> ProxyServer | None:
        if key_range is None or key_range.owner is None:
            return None
        if key_range.phase is not GrantPhase.ACTIVE:
            return None
        return self._servers.find(key_range.owner)

    def has_drained(self, owner: ProxyServer) -> bool:
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
