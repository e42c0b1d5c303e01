"""Random runs: evacuations start and end while leaders change, replicas lag and gateways pause.

``LYCHEE_EVACUATION_SEEDS`` plays other seeds ("1-100").
"""

import asyncio
import os
from random import Random

import pytest
from loguru import logger

from lychee_gateway.proxy.age import StateAge
from lychee_gateway.proxy.placing import NoServer, RoutedRequest, ServerSelector
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.testing import make_limits
from lychee_gateway.proxy.view import RoutedView
from lychee_http.lateness import TICK_S, LoopWatch
from lychee_ranges import RoutedState
from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName, Token
from lychee_types.records import Endpoint
from lychee_types.registry import (
    LAST_KEY,
    GrantPhase,
    KeyRange,
    RegisteredServer,
    ServerIncarnation,
)
from lychee_types.registry_commands import (
    ChangeRouting,
    EvacuateDomain,
    RegisterServer,
    SetRanges,
)
from lychee_types.registry_messages import RoutedDelta, RoutedDeltas, RoutedSnapshot
from lychee_types.routing import Route, RoutedService, RouteKind, Routing, ServiceShare
from lychee_types.testing import SelectorClock, SimulatedSelector

BOUND_S = 5.0
"""Time after the acknowledgement from which nothing may reach an evacuated domain, in seconds."""

SECONDS = 90.0
APPLY_S = DRAIN_S = 2.0
LAST_SEND_S = 1.8
CONTACT_S = 1.0
PROBE_S = 0.2
SETTLE_S = 1.0
"""Time in which a gateway finds a replica with a recent state, in seconds."""

GATEWAYS = 3
DOMAINS = [DomainName(name) for name in ("nord", "syd", "vest")]
SERVICES = [ServiceName("free"), ServiceName("keyed")]
FIRST, _, LAST = os.environ.get("LYCHEE_EVACUATION_SEEDS", "1-6").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)


def run_of(name, incarnation):
    return ServerIncarnation(server=ServerId(name), incarnation=Incarnation(incarnation))


class Group:
    """The log that was committed, and replicas that have applied a part of it."""

    def __init__(self, rng, clock):
        self.rng, self.clock = rng, clock
        self.entries = []
        self.has_leader = True
        self.could_commit_at = self.in_contact_since = clock.monotonic()
        self.replicas = [Replica(self) for _ in range(3)]

    @property
    def may_commit(self):
        """Whether there is a leader and a majority that hears it."""
        now = self.clock.monotonic()
        return self.has_leader and sum(now >= r.cut_until for r in self.replicas) >= 2

    def record_contact(self):
        now = self.clock.monotonic()
        if now - self.could_commit_at > CONTACT_S:
            self.in_contact_since = now
        self.could_commit_at = now

    @property
    def is_in_contact(self):
        """Whether a gateway that runs has had the time to hear a replica with a recent state."""
        now = self.clock.monotonic()
        has_begun = now - self.in_contact_since > SETTLE_S
        return has_begun and now - self.could_commit_at <= CONTACT_S

    def commit(self, command):
        self.entries.append(RoutedDelta(index=LogIndex(len(self.entries) + 1), command=command))

    async def lose_leaders(self):
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 15.0))
            self.has_leader = False
            await asyncio.sleep(self.rng.uniform(0.3, 4.0))
            self.has_leader = True


class Replica:
    """A replica, which may be cut off from the leader."""

    def __init__(self, group):
        self.group = group
        self.state = RoutedState()
        self.confirmed_at = group.clock.monotonic()
        self.cut_until = 0.0

    async def run(self):
        rng, clock = self.group.rng, self.group.clock
        while True:
            await asyncio.sleep(rng.uniform(0.02, 0.08))
            if rng.random() < 0.004:
                self.cut_until = clock.monotonic() + rng.uniform(0.2, 12.0)
            if clock.monotonic() < self.cut_until or not self.group.may_commit:
                continue
            self.group.record_contact()
            for entry in self.group.entries[self.state.index :]:
                self.state.apply(entry.index, entry.command)
            self.confirmed_at = clock.monotonic()


class Gateway:
    """A gateway that may be paused; it follows one replica at a time."""

    def __init__(self, group, rng):
        self.group, self.rng, self.clock = group, rng, group.clock
        self.replica = rng.choice(group.replicas)
        self.paused_until = 0.0
        self.sent = []
        self.view = RoutedView()
        self.watch = LoopWatch(clock=self.clock)
        self.age = StateAge(
            view=self.view,
            clock=self.clock,
            apply_s=APPLY_S,
            running_since=self.watch.running_since,
        )
        self.servers = ServerList(clock=self.clock, as_of=lambda: self.age.confirmed_at)
        self.selector = ServerSelector(
            view=self.view,
            servers=self.servers,
            limits=make_limits(self.clock),
            domain=rng.choice(DOMAINS),
            clock=self.clock,
            drain_s=DRAIN_S,
            rng=rng,
        )
        self.view.add_listener(lambda: self.servers.sync(self.view.state))
        self.view.add_listener(self.selector.state_changed)

    async def until_running(self):
        await asyncio.sleep(max(0.0, self.paused_until - self.clock.monotonic()))

    async def watch_the_loop(self):
        while True:
            await asyncio.sleep(TICK_S)
            await self.until_running()
            # What waited with the tick is handled before it.
            await asyncio.sleep(0.001)
            self.watch.tick()

    async def pause(self):
        while True:
            await asyncio.sleep(self.rng.uniform(3.0, 30.0))
            self.paused_until = self.clock.monotonic() + self.rng.uniform(0.1, 15.0)

    async def follow(self):
        while True:
            asked_at = self.clock.monotonic()
            await asyncio.sleep(self.rng.uniform(0.001, 0.05))
            state, confirmed_at = self.replica.state, self.replica.confirmed_at
            index, age_s = state.index, self.clock.monotonic() - confirmed_at
            entries = self.group.entries[self.view.state.index : index]
            message = RoutedSnapshot.of(state.image())
            await asyncio.sleep(self.rng.choice((0.001, 0.02, 0.3)))
            await self.until_running()
            # Requests that waited are handled first.
            await asyncio.sleep(0.01)
            if age_s > CONTACT_S:
                await asyncio.sleep(self.rng.uniform(0.05, 0.2))
                number = self.group.replicas.index(self.replica) + 1
                self.replica = self.group.replicas[number % len(self.group.replicas)]
                continue
            if self.rng.random() < 0.5 and entries:
                self.view.apply_deltas(RoutedDeltas.of(tuple(entries)))
            else:
                self.view.install_snapshot(message)
            self.age.record_pulse(as_of=asked_at - age_s, index=index)
            await asyncio.sleep(PROBE_S)

    async def receive_requests(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.02, 0.3))
            await self.until_running()
            asyncio.ensure_future(self.forward(self.rng.choice(SERVICES)))  # noqa: RUF006

    async def forward(self, service):
        key = 7 if service == "keyed" else None
        now = self.clock.monotonic()
        if not self.age.is_usable:
            return
        found = await self.selector.select(
            RoutedRequest(
                route=ROUTES[service], service=service, key=key, arrived_at=now, deadline=now + 9.0
            )
        )
        if isinstance(found, NoServer):
            return
        await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.05, 1.0, 8.0)))
        await self.until_running()
        now = self.clock.monotonic()
        if (
            self.group.is_in_contact
            and self.age.is_usable
            and not found.has_drained(now, LAST_SEND_S)
        ):
            self.sent.append((now, found.record.domain))


ROUTES = {
    service: Route(
        name=service,
        prefix="/",
        kind=RouteKind.SAFE,
        timeout_s=9.0,
        target_latency_s=1.0,
        priority=1,
        max_attempts=2,
        shares=(ServiceShare(service=service, weight=1.0),),
    )
    for service in SERVICES
}


class Run:
    """One run, and the requests that were sent too late."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.selector = SimulatedSelector()
        self.clock = SelectorClock(self.selector)
        self.group = Group(self.rng, self.clock)
        self.born = 0
        self.evacuated_at = {domain: [] for domain in DOMAINS}
        self.gateways = [Gateway(self.group, self.rng) for _ in range(GATEWAYS)]

    def register(self, service, domain):
        self.born += 1
        name = f"{service}-{domain}"
        server = RegisteredServer(
            run=run_of(name, self.born),
            endpoint=Endpoint(host="10.0.0.1", port=self.born),
            domain=domain,
            service=service,
            release="v1",
            slots=30,
        )
        self.group.commit(RegisterServer(server=server))
        if service == "keyed":
            keys = KeyRange(
                low=0,
                high=LAST_KEY,
                owner=server.run,
                token=Token(self.born),
                phase=GrantPhase.ACTIVE,
            )
            self.group.commit(SetRanges(service=service, ranges=(keys,)))

    def begin(self):
        services = tuple(
            RoutedService(name=name, health_path="/", connections=9, protocol="h1", tls=False)
            for name in SERVICES
        )
        change = Routing(services=services)
        self.group.commit(ChangeRouting(number=1, based_on=0, change=change, digest=b"d"))
        for service in SERVICES:
            for domain in DOMAINS:
                self.register(service, domain)

    async def order(self):
        while True:
            await asyncio.sleep(self.rng.choice((0.01, 0.3, 2.0, 9.0)))
            if not self.group.may_commit:
                continue
            domain, is_evacuated = self.rng.choice(DOMAINS), self.rng.random() < 0.5
            self.group.commit(EvacuateDomain(domain=domain, is_evacuated=is_evacuated))
            self.evacuated_at[domain].append((self.clock.monotonic(), is_evacuated))

    async def restart_servers(self):
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 8.0))
            if self.group.may_commit:
                self.register(self.rng.choice(SERVICES), self.rng.choice(DOMAINS))

    def is_too_late(self, at, domain):
        """Return whether a domain was evacuated for longer than the bound; repeats don't count."""
        since = None
        for ordered_at, is_evacuated in self.evacuated_at[domain]:
            if ordered_at > at:
                break
            since = (since or ordered_at) if is_evacuated else None
        return since is not None and at - since > BOUND_S

    async def play(self):
        self.begin()
        works = [self.order(), self.restart_servers(), self.group.lose_leaders()]
        works += [replica.run() for replica in self.group.replicas]
        for gateway in self.gateways:
            works += [gateway.watch_the_loop(), gateway.follow(), gateway.receive_requests()]
            works.append(gateway.pause())
        tasks = [asyncio.ensure_future(work) for work in works]
        await asyncio.sleep(SECONDS)
        failed = [task.exception() for task in tasks if task.done()]
        assert not failed, failed
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    def go(self):
        loop = asyncio.SelectorEventLoop(self.selector)
        loop.time = self.clock.monotonic
        try:
            loop.run_until_complete(self.play())
        finally:
            loop.close()
        sent = [item for gateway in self.gateways for item in gateway.sent]
        assert len(sent) > 30
        return [item for item in sent if self.is_too_late(*item)]


@pytest.fixture(autouse=True)
def quiet():
    logger.disable("lychee_gateway")
    yield
    logger.enable("lychee_gateway")


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_reaches_an_evacuated_domain_after_the_bound(seed):
    assert Run(seed).go() == []


def trust_any_age(monkeypatch):
    monkeypatch.setattr(StateAge, "_silent_s", lambda self: self._seconds_since(self._heard_as_of))


def drain_for_ever(monkeypatch):
    monkeypatch.setattr(ProxyServer, "has_drained", lambda self, now, after_s: False)


def look_at_records_only(monkeypatch):
    def leaving_since(self, record, as_of):
        return as_of if record.is_leaving else None

    monkeypatch.setattr(ServerList, "_leaving_since", leaving_since)


def drain_new_servers_anew(monkeypatch):
    def leaving_since(self, record, as_of):
        is_leaving = record.is_leaving or record.domain in self._evacuated_since
        return as_of if is_leaving else None

    monkeypatch.setattr(ServerList, "_leaving_since", leaving_since)


def forget_former_runs(monkeypatch):
    leave = ProxyServer.leave

    def leave_if_listed(self, as_of):
        if not self.pool._closed:
            leave(self, as_of)

    monkeypatch.setattr(ProxyServer, "leave", leave_if_listed)


MUTANTS = (
    trust_any_age,
    drain_for_ever,
    look_at_records_only,
    drain_new_servers_anew,
    forget_former_runs,
)


@pytest.mark.parametrize("mutate", MUTANTS)
def test_each_guard_that_is_taken_out_is_found(mutate, monkeypatch):
    mutate(monkeypatch)
    assert any(Run(seed).go() for seed in range(1, 41))
