"""Plays load against the choice of servers: several gateways, servers with queues, callers.

Nothing here sends anything. The gateways' own classes decide; servers, callers and time are played.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass, field
from math import log
from random import Random

from lychee_gateway.proxy.codec import Occupancy
from lychee_gateway.proxy.placing import NoPlace, Placement, Placer
from lychee_gateway.proxy.servers import ProxyServer, ServerList
from lychee_gateway.proxy.view import RoutedView
from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName, Token
from lychee_types.records import Endpoint
from lychee_types.registry import (
    LAST_KEY,
    GrantPhase,
    KeyRange,
    RangeTable,
    RegisteredServer,
    RoutedImage,
    ServerRun,
)
from lychee_types.registry_messages import RoutedSnapshot
from lychee_types.routing import Route, RouteKind, Routing, RoutingVersion, ServiceShare
from lychee_types.testing import ManualClock

SERVICE = ServiceName("s")
"""The only service."""

HOP_S = 0.001
"""Time between a gateway and a server, in seconds."""

TURNED_AWAY_RETRY_S = 0.1
"""When callers come back whose request a full server turned away, in seconds."""


@dataclass(frozen=True, kw_only=True)
class Backend:
    """A played server.

    :param slots: requests that it works on at once.
    :param queue: requests that may wait; what comes beyond is turned away.
    :param speed: how much faster than the mean it works.
    """

    slots: int = 4
    queue: int = 16
    speed: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Load:
    """What callers do.

    :param per_s: new requests a second.
    :param work_s: mean time of work at speed 1.
    :param spread: standard deviation of the logarithm of the work.
    :param target_s: time for which answers are useful.
    :param patience_s: time after which a caller leaves.
    :param hot_share: share of requests for one key; None for a service without owners.
    :param waiting: callers that came before the gateways were there, all at second 0.
    """

    per_s: float
    work_s: float = 0.09
    spread: float = 0.3
    target_s: float = 0.3
    patience_s: float = 0.8
    hot_share: float | None = None
    waiting: int = 0


@dataclass(kw_only=True)
class _Caller:
    first_at: float
    key: int | None
    returns: int = 1


@dataclass(kw_only=True)
class _Server:
    backend: Backend
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class Play:
    """Plays callers against gateways for some seconds, and counts what callers get.

    :param backends: the servers.
    :param load: what callers do.
    :param gateways: number of gateways.
    :param known: whether gateways know how many they are.
    :param seed: seed of the play.
    """

    def __init__(
        self,
        *,
        backends: list[Backend],
        load: Load,
        gateways: int = 9,
        known: bool = True,
        seed: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.load = load
        self.counts: Counter[str] = Counter()
        self._draw = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._servers = {
            ServerId(f"b{number}"): _Server(backend=backend)
            for number, backend in enumerate(backends)
        }
        self._route = _route(load)
        self._gateways = [self._gateway(gateways if known else 1) for _ in range(gateways)]

    def run(self, seconds: float) -> Counter[str]:
        """Play, and return how many callers got what: in_time, late, refused, gone."""
        for _ in range(self.load.waiting):
            self._call(_Caller(first_at=-self._draw.random(), key=self._key()))
        self._at(0.0, lambda: self._next_caller(seconds))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            action()
        return self.counts

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (self.clock.monotonic() + delay_s, self._number, action))

    def _next_caller(self, left_s: float) -> None:
        self._call(_Caller(first_at=self.clock.monotonic(), key=self._key()))
        gap_s = -log(1.0 - self._draw.random()) / self.load.per_s
        if gap_s < left_s:
            self._at(gap_s, lambda: self._next_caller(left_s - gap_s))

    def _key(self) -> int | None:
        if self.load.hot_share is None:
            return None
        return 1 if self._draw.random() < self.load.hot_share else self._draw.randint(0, LAST_KEY)

    def _call(self, caller: _Caller) -> None:
        now = self.clock.monotonic()
        until = caller.first_at + self.load.patience_s
        if now >= until:
            self.counts["gone"] += 1
            return
        wanted = Placement(
            route=self._route, service=SERVICE, key=caller.key, arrived=now, until=until
        )
        found = _now(self._draw.choice(self._gateways).place(wanted))
        match found:
            case NoPlace(retry_after_s=retry_after_s):
                self._refused(caller, retry_after_s)
            case ProxyServer():
                self._send(caller, found)

    def _refused(self, caller: _Caller, retry_after_s: float) -> None:
        left_s = caller.first_at + self.load.patience_s - self.clock.monotonic()
        self.counts["refusals"] += 1
        if caller.returns == 0:
            self.counts["refused"] += 1
            return
        caller.returns -= 1
        self._at(min(retry_after_s, left_s / 3), lambda: self._call(caller))

    def _send(self, caller: _Caller, found: ProxyServer) -> None:
        server = self._servers[found.run.server]
        sent_at = self.clock.monotonic()
        stack = ExitStack()
        sending = stack.enter_context(found.occupying(sent_at))

        def begin() -> None:
            server.running += 1
            sigma = self.load.spread
            work_s = self.load.work_s * self._draw.lognormvariate(-sigma * sigma / 2, sigma)
            self._at(work_s / server.backend.speed, end)

        def end() -> None:
            server.running -= 1
            if server.waiting:
                server.waiting.popleft()()
            word = self._word(server)
            self._at(HOP_S, lambda: answered(word))

        def answered(word: Occupancy) -> None:
            now = self.clock.monotonic()
            found.note_occupancy(word, now)
            found.note_answer(sending, now - sent_at)
            stack.close()
            self._count(now - caller.first_at)

        def turned_away(word: Occupancy) -> None:
            found.note_occupancy(word, self.clock.monotonic())
            stack.close()
            self.counts["turned away"] += 1
            self._refused(caller, TURNED_AWAY_RETRY_S)

        def arrives() -> None:
            if server.running < server.backend.slots:
                begin()
            elif len(server.waiting) < server.backend.queue:
                server.waiting.append(begin)
            else:
                word = self._word(server)
                self._at(HOP_S, lambda: turned_away(word))

        self._at(HOP_S, arrives)

    def _word(self, server: _Server) -> Occupancy:
        return Occupancy(
            running=server.running, waiting=len(server.waiting), slots=server.backend.slots
        )

    def _count(self, seconds: float) -> None:
        if seconds <= self.load.target_s:
            self.counts["in_time"] += 1
        elif seconds <= self.load.patience_s:
            self.counts["late"] += 1
        else:
            self.counts["gone"] += 1

    def _gateway(self, expected: int) -> Placer:
        view = RoutedView()
        servers = ServerList(clock=self.clock)
        view.listen(lambda: servers.sync(view.state))
        view.install(RoutedSnapshot(image=self._image()))
        servers.expect_gateways(expected)
        return Placer(
            view=view,
            servers=servers,
            domain=DomainName("d"),
            clock=self.clock,
            drain_s=2.0,
            draw=Random(self._draw.random()),
        )

    def _image(self) -> RoutedImage:
        records = tuple(
            RegisteredServer(
                run=ServerRun(server=name, incarnation=Incarnation(1)),
                endpoint=Endpoint(host="10.0.0.1", port=1),
                domain=DomainName("d"),
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
            tables = (RangeTable(service=SERVICE, ranges=_even(records)),)
        version = RoutingVersion(number=1, routing=Routing(hosts=()))
        return RoutedImage(index=LogIndex(1), version=version, servers=records, tables=tables)


def _route(load: Load) -> Route:
    return Route(
        name="r",
        prefix="/",
        kind=RouteKind.SAFE,
        timeout_s=load.patience_s,
        target_latency_s=load.target_s,
        priority=1,
        max_attempts=2,
        shares=(ServiceShare(service=SERVICE, weight=1.0),),
    )


def _even(records: tuple[RegisteredServer, ...]) -> tuple[KeyRange, ...]:
    """Return ranges of about the same size, one for each server."""
    size = (LAST_KEY + 1) // len(records)
    lasts = [size * number - 1 for number in range(1, len(records))] + [LAST_KEY]
    lows = [0] + [last + 1 for last in lasts[:-1]]
    return tuple(
        KeyRange(low=low, high=high, owner=record.run, token=Token(1), phase=GrantPhase.ACTIVE)
        for low, high, record in zip(lows, lasts, records, strict=True)
    )


def _now(placing: Coroutine[object, None, ProxyServer | NoPlace]) -> ProxyServer | NoPlace:
    """Return what a placement decides without waiting."""
    try:
        placing.send(None)
    except StopIteration as exc:
        found: ProxyServer | NoPlace = exc.value
        return found
    raise AssertionError("the placement waits")
