"""Simulate load on the selection of servers: several gateways, servers with queues, callers.

Nothing is sent over a network. The gateways' own classes select the servers; the servers, callers
and the clock are simulated.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass, field
from math import log
from random import Random

from lychee_gateway.proxy.codec import Occupancy
from lychee_gateway.proxy.limits import ServerLimits
from lychee_gateway.proxy.paths import ServerPaths
from lychee_gateway.proxy.peers import Peers
from lychee_gateway.proxy.placing import NoServer, RoutedRequest, ServerSelector
from lychee_gateway.proxy.probed_choice import ProbedChoice
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.view import RoutedView
from lychee_types.clock import Clock
from lychee_types.ids import (
    DomainName,
    GatewayId,
    Incarnation,
    LogIndex,
    ServerId,
    ServiceName,
    Token,
)
from lychee_types.records import Endpoint
from lychee_types.registry import (
    LAST_KEY,
    GrantPhase,
    KeyRange,
    RangeTable,
    RegisteredServer,
    RoutedImage,
    ServerIncarnation,
)
from lychee_types.registry_messages import RoutedSnapshot
from lychee_types.routing import Route, RouteKind, Routing, RoutingVersion, ServiceShare
from lychee_types.testing import ManualClock

SERVICE = ServiceName("s")
"""The only service."""

DOMAIN = DomainName("d")
"""The failure domain of the gateways."""

HOP_S = 0.001
"""One-way latency between a gateway and a server, in seconds."""

QUEUE_FULL_RETRY_S = 0.1
"""Retry delay of callers whose request was rejected by a server with a full queue, in seconds."""


@dataclass(frozen=True, kw_only=True)
class Backend:
    """A simulated server.

    :param slots: number of requests that it works on at once.
    :param queue: number of requests that may wait; it rejects further ones.
    :param speed: work rate relative to `Load.service_time_s`.
    :param domain: its failure domain.
    """

    slots: int = 4
    queue: int = 16
    speed: float = 1.0
    domain: DomainName = DOMAIN


@dataclass(frozen=True, kw_only=True)
class Load:
    """The load that callers generate.

    :param per_s: new requests per second.
    :param service_time_s: mean service time of a request at speed 1, in seconds.
    :param spread: standard deviation of the logarithm of the service time.
    :param target_s: response time up to which an answer is in time, in seconds.
    :param timeout_s: time after which a caller gives up, in seconds.
    :param hot_share: share of requests for one key; None for a service whose keys have no owners.
    :param initial_callers: number of callers that arrived before the start and call at second 0.
    """

    per_s: float
    service_time_s: float = 0.09
    spread: float = 0.3
    target_s: float = 0.3
    timeout_s: float = 0.8
    hot_share: float | None = None
    initial_callers: int = 0


@dataclass(kw_only=True)
class Caller:
    """A simulated caller.

    :param first_at: monotonic time of its first call, in seconds.
    :param key: the key of its requests, if any.
    :param retries_left: number of calls that it still makes after refusals.
    """

    first_at: float
    key: int | None
    retries_left: int = 1


@dataclass(kw_only=True)
class SimulatedServer:
    """State of a simulated server.

    :param name: its id.
    :param backend: what kind of server it is.
    :param running: number of requests that it works on.
    :param waiting: begins the work on each request in its queue.
    """

    name: ServerId
    backend: Backend
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class LoadSimulation:
    """Simulates callers, gateways and servers, and counts the outcomes for callers.

    :param backends: the servers.
    :param load: the load that callers generate.
    :param gateways: number of gateways.
    :param knows_gateway_count: whether gateways know how many gateways there are.
    :param seed: seed of the random numbers.
    """

    def __init__(
        self,
        *,
        backends: list[Backend],
        load: Load,
        gateways: int = 9,
        knows_gateway_count: bool = True,
        seed: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.load = load
        self.counts: Counter[str] = Counter()
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._servers = {
            ServerId(f"b{number}"): SimulatedServer(name=ServerId(f"b{number}"), backend=backend)
            for number, backend in enumerate(backends)
        }
        self._route = _route(load)
        self._gateways = [
            self._gateway(gateways if knows_gateway_count else 1) for _ in range(gateways)
        ]

    def run(self, seconds: float) -> Counter[str]:
        """Simulate some seconds of load, and return the number of callers for each outcome.

        Outcomes of a caller are in_time, late, refused and gone (its timeout passed).
        """
        for _ in range(self.load.initial_callers):
            self._call(Caller(first_at=-self._rng.random(), key=self._key()))
        self._schedule(0.0, lambda: self._add_caller(seconds))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            action()
        return self.counts

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.clock.monotonic() + delay_s, self._event_count, action))

    def _add_caller(self, left_s: float) -> None:
        self._call(Caller(first_at=self.clock.monotonic(), key=self._key()))
        gap_s = -log(1.0 - self._rng.random()) / self.load.per_s
        if gap_s < left_s:
            self._schedule(gap_s, lambda: self._add_caller(left_s - gap_s))

    def _key(self) -> int | None:
        if self.load.hot_share is None:
            return None
        return 1 if self._rng.random() < self.load.hot_share else self._rng.randint(0, LAST_KEY)

    def _call(self, caller: Caller) -> None:
        now = self.clock.monotonic()
        deadline = caller.first_at + self.load.timeout_s
        if now >= deadline:
            self.counts["gone"] += 1
            return
        request = RoutedRequest(
            route=self._route, service=SERVICE, key=caller.key, arrived_at=now, deadline=deadline
        )
        gateway = self._rng.choice(self._gateways)
        self._select(gateway, request, lambda found: self._go_on(caller, found))

    def _select(
        self,
        gateway: ServerSelector,
        request: RoutedRequest,
        go_on: Callable[[ProxyServer | NoServer], None],
    ) -> None:
        go_on(_run_without_waiting(gateway.select(request)))

    def _go_on(self, caller: Caller, found: ProxyServer | NoServer) -> None:
        match found:
            case NoServer(retry_after_s=retry_after_s):
                self._retry_or_refuse(caller, retry_after_s)
            case ProxyServer():
                self._send(caller, found)

    def _retry_or_refuse(self, caller: Caller, retry_after_s: float) -> None:
        left_s = caller.first_at + self.load.timeout_s - self.clock.monotonic()
        self.counts["refusals"] += 1
        if caller.retries_left == 0:
            self.counts["refused"] += 1
            return
        caller.retries_left -= 1
        self._schedule(min(retry_after_s, left_s / 3), lambda: self._call(caller))

    def _send(self, caller: Caller, found: ProxyServer) -> None:
        server = self._servers[found.run.server]
        sent_at = self.clock.monotonic()
        stack = ExitStack()
        in_flight = stack.enter_context(found.track_request(sent_at))

        def begin() -> None:
            server.running += 1
            sigma = self.load.spread
            service_time_s = self.load.service_time_s * self._rng.lognormvariate(
                -sigma * sigma / 2, sigma
            )
            self._schedule(self._duration_s(server, service_time_s), end)

        def end() -> None:
            server.running -= 1
            if server.waiting:
                server.waiting.popleft()()
            occupancy = self._occupancy(server)
            self._schedule(HOP_S, lambda: receive_answer(occupancy))

        def receive_answer(occupancy: Occupancy) -> None:
            now = self.clock.monotonic()
            found.record_occupancy(occupancy, now)
            found.record_answer(in_flight, now - sent_at)
            stack.close()
            self._count(now - caller.first_at)

        def receive_rejection(occupancy: Occupancy) -> None:
            found.record_occupancy(occupancy, self.clock.monotonic())
            stack.close()
            self.counts["turned away"] += 1
            self._retry_or_refuse(caller, QUEUE_FULL_RETRY_S)

        def arrive() -> None:
            if server.running < server.backend.slots:
                begin()
            elif len(server.waiting) < server.backend.queue:
                server.waiting.append(begin)
            else:
                occupancy = self._occupancy(server)
                self._schedule(HOP_S, lambda: receive_rejection(occupancy))

        self._schedule(HOP_S, arrive)

    def _duration_s(self, server: SimulatedServer, service_time_s: float) -> float:
        """Return how long a server takes for work that begins now, in seconds."""
        return service_time_s / server.backend.speed

    def _occupancy(self, server: SimulatedServer) -> Occupancy:
        return Occupancy(
            running=server.running, waiting=len(server.waiting), slots=server.backend.slots
        )

    def _count(self, seconds: float) -> None:
        if seconds <= self.load.target_s:
            self.counts["in_time"] += 1
        elif seconds <= self.load.timeout_s:
            self.counts["late"] += 1
        else:
            self.counts["gone"] += 1

    def _gateway(self, expected: int) -> ServerSelector:
        view = RoutedView()
        servers = ServerList(clock=self.clock, as_of=self.clock.monotonic)
        view.add_listener(lambda: servers.sync(view.state))
        view.install_snapshot(RoutedSnapshot.of(self._image()))
        servers.set_gateway_count(expected)
        return self._selector(view, servers)

    def _selector(self, view: RoutedView, servers: ServerList) -> ServerSelector:
        return ServerSelector(
            view=view,
            servers=servers,
            limits=make_limits(self.clock),
            domain=DOMAIN,
            clock=self.clock,
            drain_s=2.0,
            rng=Random(self._rng.random()),
            probed=self._probed(),
        )

    def _probed(self) -> ProbedChoice | None:
        """Return what asks servers for their load at one gateway."""
        return None

    def _image(self) -> RoutedImage:
        records = tuple(
            RegisteredServer(
                run=ServerIncarnation(server=name, incarnation=Incarnation(1)),
                endpoint=Endpoint(host="10.0.0.1", port=1),
                domain=server.backend.domain,
                service=SERVICE,
                release="v1",
                slots=server.backend.slots,
                cold_s=0.0,
                is_leaving=False,
            )
            for name, server in self._servers.items()
        )
        tables: tuple[RangeTable, ...] = ()
        if self.load.hot_share is not None:
            tables = (RangeTable(service=SERVICE, ranges=_equal_ranges(records)),)
        version = RoutingVersion(number=1, routing=Routing(hosts=()))
        return RoutedImage(index=LogIndex(1), version=version, servers=records, tables=tables)


def make_limits(clock: Clock) -> ServerLimits:
    """Return limits without metrics."""
    return ServerLimits(
        on_attempt=lambda server: None, on_permits=lambda outcome, count: None, clock=clock
    )


def make_paths(servers: ServerList, clock: Clock) -> ServerPaths:
    """Return the paths of a gateway without other gateways; it starts no work besides requests."""
    own_id = GatewayId("g1")
    return ServerPaths(
        gateway=own_id,
        domain=DomainName("d"),
        carry=None,
        servers=servers,
        peers=Peers(own_id=own_id, clock=clock),
        spawn=lambda work, name: work.close(),
        on_connection=lambda service, way, exc: None,
        clock=clock,
    )


def _route(load: Load) -> Route:
    return Route(
        name="r",
        prefix="/",
        kind=RouteKind.SAFE,
        timeout_s=load.timeout_s,
        target_latency_s=load.target_s,
        priority=1,
        max_attempts=2,
        shares=(ServiceShare(service=SERVICE, weight=1.0),),
    )


def _equal_ranges(records: tuple[RegisteredServer, ...]) -> tuple[KeyRange, ...]:
    """Return ranges of about the same size, one for each server."""
    size = (LAST_KEY + 1) // len(records)
    lasts = [size * number - 1 for number in range(1, len(records))] + [LAST_KEY]
    lows = [0] + [last + 1 for last in lasts[:-1]]
    return tuple(
        KeyRange(low=low, high=high, owner=record.run, token=Token(1), phase=GrantPhase.ACTIVE)
        for low, high, record in zip(lows, lasts, records, strict=True)
    )


def _run_without_waiting(
    selection: Coroutine[object, None, ProxyServer | NoServer],
) -> ProxyServer | NoServer:
    """Return the result of a selection, which must not wait."""
    try:
        selection.send(None)
    except StopIteration as exc:
        found: ProxyServer | NoServer = exc.value
        return found
    raise AssertionError("the selection waits")
