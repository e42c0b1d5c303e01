"""Explain where a request would go now, without sending it and without a change of any count."""

from collections.abc import Callable

from lychee_gateway.proxy.age import StateAge
from lychee_gateway.proxy.hedging import Hedger
from lychee_gateway.proxy.limits import ServerLimits
from lychee_gateway.proxy.overloads import OverloadedOwners
from lychee_gateway.proxy.placing import (
    NO_OWNER_RETRY_S,
    NO_SERVER_LEFT,
    OWNER_WAIT_S,
    NoServer,
    RoutedRequest,
    ServerSelector,
)
from lychee_gateway.proxy.retries import RetryBudgets
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.view import RoutedView
from lychee_types.clock import Clock
from lychee_types.exceptions import SettingsError
from lychee_types.explanation import (
    Decision,
    ExplainedRoute,
    ExplainedServer,
    ExplainedService,
    ExplainQuery,
    Explanation,
    KeyOwner,
)
from lychee_types.ids import DomainName, GatewayId, ServiceName
from lychee_types.registry import LAST_KEY, KeyRange
from lychee_types.routing import Route


class Explainer:
    """Answers questions about this gateway's decisions.

    :param gateway: this gateway's id.
    :param domain: its failure domain.
    :param view: the gateway's copy of the replicated state.
    :param age: the age of that state.
    :param servers: load and health of the servers.
    :param selector: selects servers.
    :param limits: rate limits of the servers.
    :param overloads: overloaded owners of keys.
    :param retries: this gateway's part of the retry budget.
    :param hedger: sends second copies.
    :param is_stopping: returns whether the gateway stops.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        gateway: GatewayId,
        domain: DomainName,
        view: RoutedView,
        age: StateAge,
        servers: ServerList,
        selector: ServerSelector,
        limits: ServerLimits,
        overloads: OverloadedOwners,
        retries: RetryBudgets,
        hedger: Hedger,
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._gateway = gateway
        self._domain = domain
        self._view = view
        self._age = age
        self._servers = servers
        self._selector = selector
        self._limits = limits
        self._overloads = overloads
        self._retries = retries
        self._hedger = hedger
        self._is_stopping = is_stopping
        self._clock = clock

    def explain(self, query: ExplainQuery) -> Explanation:
        """Return what would happen to a request now.

        :raises SettingsError: if the query names nothing that can be explained.
        """
        route = self._find_route(query)
        refusal = self._refusal(route)
        services: tuple[ExplainedService, ...] = ()
        if route is not None and refusal is None:
            services = tuple(self._explain_services(route, query))
        return Explanation(
            gateway=self._gateway,
            domain=query.domain or self._domain,
            version=self._view.state.version.number,
            state_age_ms=self._age.age_ms,
            evacuated=tuple(sorted(self._view.state.evacuated)),
            route=self._describe_route(route) if route is not None else None,
            services=services,
            refusal=refusal,
        )

    def _find_route(self, query: ExplainQuery) -> Route | None:
        if query.key is not None and not 0 <= query.key <= LAST_KEY:
            raise SettingsError(
                message=f"{query.key} is no key", remedy=f"write a number from 0 to {LAST_KEY}"
            )
        if not query.route:
            if not query.host or not query.path.startswith("/"):
                raise SettingsError(
                    message="the query names neither a route nor a host and a path",
                    remedy="give a host and a path that begins with a slash, or a route",
                )
            return self._view.matcher.find(query.host.lower(), query.path)
        routes = (route for host in self._view.state.routing.hosts for route in host.routes)
        found = next((route for route in routes if route.name == query.route), None)
        if found is None:
            raise SettingsError(
                message=f"there is no route {query.route[:64]}",
                remedy="read the names of the routes in the configuration that is in force",
            )
        return found

    def _refusal(self, route: Route | None) -> Decision | None:
        """Return why the gateway refuses all requests of a route, None if it does not."""
        if not self._age.is_usable:
            return _refuse("the gateway has not heard the control replicas for too long", 503)
        if route is None:
            if self._view.has_routes and self._age.is_current:
                return _refuse("no route takes this host and path", 404)
            return _refuse("no known route takes this host and path; there may be a newer one", 503)
        if self._is_stopping():
            return _refuse("this gateway stops", 503)
        return None

    def _describe_route(self, route: Route) -> ExplainedRoute:
        return ExplainedRoute(
            name=route.name,
            kind=route.kind.value,
            priority=route.priority,
            timeout_ms=_ms(route.timeout_s),
            target_ms=_ms(route.target_latency_s),
            max_attempts=route.max_attempts,
            copies=self._hedger.explain(route),
        )

    def _explain_services(self, route: Route, query: ExplainQuery) -> list[ExplainedService]:
        total = sum(share.weight for share in route.shares)
        return [
            self._explain_service(route, share.service, share.weight / total, query)
            for share in route.shares
        ]

    def _explain_service(
        self, route: Route, service: ServiceName, share: float, query: ExplainQuery
    ) -> ExplainedService:
        now = self._clock.monotonic()
        timeout_s = route.timeout_s
        if query.timeout_ms is not None:
            timeout_s = min(timeout_s, query.timeout_ms / 1_000)
        request = RoutedRequest(
            route=route, service=service, key=query.key, arrived_at=now, deadline=now + timeout_s
        )
        known = self._view.state.routing.service(service)
        key: KeyOwner | None = None
        if known is not None and known.is_keyed:
            key_range, owner = self._find_owner(service, query.key)
            key = self._describe_key(key_range, request) if key_range is not None else None
            servers, decision = self._decide_for_key(request, owner, key, now)
        else:
            request.key = None
            servers, decision = self._decide_for_any(request, query.domain or self._domain, now)
        return ExplainedService(
            service=service,
            share=round(share, 4),
            is_probed=request.key is None and self._selector.is_probed(request),
            retries_left=self._retries.left(service, now=now),
            key=key,
            servers=tuple(servers),
            decision=decision,
        )

    def _find_owner(
        self, service: ServiceName, key: int | None
    ) -> tuple[KeyRange | None, ProxyServer | None]:
        return (None, None) if key is None else self._selector.find_owner(service, key)

    def _describe_key(self, key_range: KeyRange, request: RoutedRequest) -> KeyOwner:
        owner = key_range.owner
        share = 1.0
        if owner is not None:
            share = self._overloads.admitted_share(owner, request.route, request.service)
        return KeyOwner(
            low=key_range.low,
            high=key_range.high,
            phase=key_range.phase.value,
            token=key_range.token,
            owner=owner.server if owner is not None else None,
            admitted_share=round(share, 3),
        )

    def _decide_for_key(
        self, request: RoutedRequest, owner: ProxyServer | None, key: KeyOwner | None, now: float
    ) -> tuple[list[ExplainedServer], Decision]:
        if request.key is None:
            return [], _refuse("the service needs a key", 400)
        if owner is None or self._selector.has_drained(owner):
            wait_ms, retry_ms = _ms(OWNER_WAIT_S), _ms(NO_OWNER_RETRY_S)
            reason = f"the key has no owner now; waits {wait_ms} ms for one, then answers 503"
            return [], Decision(action="wait", reason=reason, retry_after_ms=retry_ms)
        decision = self._decide(request, owner, now)
        if key is not None and key.admitted_share < 1 and decision.action == "send":
            share = f"{key.admitted_share:.0%}"
            reason = f"the owner is overloaded; {share} of the requests are sent, others get 503"
            decision = Decision(action="send", reason=reason, server=decision.server)
        cost_s = self._selector.cost_s(request, owner, self._domain, now)
        return [self._describe(owner, cost_s, now, decision.reason)], decision

    def _decide_for_any(
        self, request: RoutedRequest, domain: DomainName, now: float
    ) -> tuple[list[ExplainedServer], Decision]:
        """Return the servers and the decision, as `ServerSelector.select` makes it."""
        servers = self._servers.for_service(request.service)
        costs = [(self._selector.cost_s(request, s, domain, now), s) for s in servers]
        costs.sort(key=lambda entry: (entry[1].is_leaving, entry[0]))
        decision: Decision | None = None
        rows: list[ExplainedServer] = []
        for cost_s, server in costs:
            note = self._exclusion(server, now)
            if note is None and decision is None:
                found = self._decide(request, server, now)
                if found.action == "send" or not server.is_cold(now):
                    decision = found
                note = found.reason
            rows.append(self._describe(server, cost_s, now, note or "costs more"))
        return rows, decision or _refuse_as(NO_SERVER_LEFT)

    def _exclusion(self, server: ProxyServer, now: float) -> str | None:
        """Return why a server is passed over whatever it costs, None if it is not."""
        if server.record.is_leaving:
            return "leaves"
        if server.is_leaving:
            return "its failure domain is evacuated"
        if self._limits.limit_per_s(server.run) is not None and not self._limits.held(server.run):
            kind = "cold" if server.is_cold(now) else "limited"
            return f"{kind}, and no permit is at hand"
        return None

    def _decide(self, request: RoutedRequest, server: ProxyServer, now: float) -> Decision:
        admitted = self._selector.admit(request, server, now)
        if isinstance(admitted, NoServer):
            return _refuse_as(admitted)
        reason = "owns the key" if request.key is not None else "lowest cost"
        return Decision(action="send", reason=reason, server=server.run.server)

    def _describe(
        self, server: ProxyServer, cost_s: float, now: float, note: str
    ) -> ExplainedServer:
        signs = [note]
        if not server.is_healthy(now):
            signs.append("ejected after failures")
        if now < server.full_until:
            signs.append("full lately")
        if not server.is_direct:
            signs.append("reached through another gateway")
        return ExplainedServer(
            server=server.run.server,
            domain=server.record.domain,
            occupied=round(server.estimated_occupancy(now), 1),
            slots=server.slots,
            load_age_ms=server.occupancy_age_ms(now),
            wait_ms=_ms(server.expected_wait_s(now)),
            work_ms=_ms(server.expected_service_time_s(now)),
            cost_ms=_ms(cost_s),
            note="; ".join(signs),
        )


def _refuse(reason: str, status: int) -> Decision:
    return Decision(action="refuse", reason=reason, status=status)


def _refuse_as(refusal: NoServer) -> Decision:
    return Decision(
        action="refuse",
        reason=refusal.reason,
        status=503,
        retry_after_ms=_ms(refusal.retry_after_s),
    )


def _ms(seconds: float) -> int:
    return round(seconds * 1_000)
