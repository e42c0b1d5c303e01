"""What a gateway sends to the servers of an evacuated failure domain."""

import asyncio

import pytest
from msgspec.structs import replace

from lychee_gateway.proxy.placing import OWNER_WAIT_S, NoServer, RoutedRequest, ServerSelector
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.testing import make_limits
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
    ServerIncarnation,
)
from lychee_types.registry_commands import EvacuateDomain, RegisterServer, SetRanges
from lychee_types.registry_messages import RoutedDelta, RoutedDeltas, RoutedSnapshot
from lychee_types.routing import (
    Route,
    RoutedService,
    RouteKind,
    Routing,
    RoutingVersion,
    ServiceShare,
)
from lychee_types.testing import ManualClock

SERVICE = ServiceName("s")
DRAIN_S = 2.0
ROUTE = Route(
    name="r",
    prefix="/",
    kind=RouteKind.SAFE,
    timeout_s=1.0,
    target_latency_s=0.2,
    priority=1,
    max_attempts=2,
    shares=(ServiceShare(service=SERVICE, weight=1.0),),
)
ROUTING = Routing(
    services=(
        RoutedService(name=SERVICE, health_path="/", connections=9, protocol="h1", tls=False),
    )
)


def run_of(name, incarnation=1):
    return ServerIncarnation(server=ServerId(name), incarnation=Incarnation(incarnation))


def record(name, domain, incarnation=1):
    return RegisteredServer(
        run=run_of(name, incarnation),
        endpoint=Endpoint(host="10.0.0.1", port=ord(name)),
        domain=DomainName(domain),
        service=SERVICE,
        release="v1",
        slots=3,
    )


def keys_of(name):
    return KeyRange(
        low=0, high=LAST_KEY, owner=run_of(name), token=Token(3), phase=GrantPhase.ACTIVE
    )


class Gateway:
    """A gateway's choice of servers, with the state that it has applied."""

    def __init__(self, *records, evacuated=(), owner="a"):
        self.clock = ManualClock()
        self.view = RoutedView()
        self.confirmed_at = self.clock.monotonic()
        self.servers = ServerList(clock=self.clock, as_of=lambda: self.confirmed_at)
        self.selector = ServerSelector(
            view=self.view,
            servers=self.servers,
            limits=make_limits(self.clock),
            domain=DomainName("nord"),
            clock=self.clock,
            drain_s=DRAIN_S,
        )
        self.view.add_listener(lambda: self.servers.sync(self.view.state))
        self.view.add_listener(self.selector.state_changed)
        self.image = RoutedImage(
            index=LogIndex(1),
            version=RoutingVersion(number=1, routing=ROUTING),
            servers=records,
            tables=(RangeTable(service=SERVICE, ranges=(keys_of(owner),)),),
            evacuated=tuple(DomainName(name) for name in evacuated),
        )
        self.view.install_snapshot(RoutedSnapshot.of(self.image))

    def apply(self, *commands):
        first = self.view.state.index + 1
        entries = [
            RoutedDelta(index=LogIndex(first + offset), command=command)
            for offset, command in enumerate(commands)
        ]
        self.view.apply_deltas(RoutedDeltas.of(tuple(entries)))

    def order(self, domain, is_evacuated=True):
        self.apply(EvacuateDomain(domain=DomainName(domain), is_evacuated=is_evacuated))

    def server(self, name):
        return next(s for s in self.servers.all() if s.run.server == name)

    def choose(self, key=None):
        """Return the id of the server that a request is sent to, None if it is refused."""

        async def work():
            now = self.clock.monotonic()
            request = RoutedRequest(
                route=ROUTE, service=SERVICE, key=key, arrived_at=now, deadline=now + 1.0
            )
            selection = asyncio.ensure_future(self.selector.select(request))
            await asyncio.sleep(0)
            if not selection.done():
                self.clock.advance(OWNER_WAIT_S)
                self.selector.state_changed()
            found = await selection
            if isinstance(found, NoServer):
                assert found.retry_after_s > 0
                return None
            return found.run.server

        return asyncio.run(work())

    def chosen(self):
        return {self.choose() for _ in range(20)}


def test_requests_without_a_key_leave_an_evacuated_domain_at_once():
    gateway = Gateway(record("a", "nord"), record("b", "syd"))
    assert "a" in gateway.chosen()
    gateway.order("nord")
    assert gateway.chosen() == {"b"}
    gateway.order("syd")
    assert gateway.chosen() == {None}


def test_an_owner_in_an_evacuated_domain_gets_requests_until_the_drain_time_is_nearly_over():
    gateway = Gateway(record("a", "nord"), record("b", "syd"))
    gateway.order("nord")
    assert gateway.choose(key=7) == "a"
    gateway.clock.advance(1.4)
    assert gateway.choose(key=7) == "a"
    gateway.clock.advance(0.2)
    assert gateway.choose(key=7) is None
    gateway.apply(SetRanges(service=SERVICE, ranges=(keys_of("b"),)))
    assert gateway.choose(key=7) == "b"


def test_the_drain_time_counts_from_when_the_order_may_have_been_acknowledged():
    gateway = Gateway(record("a", "nord"), record("b", "syd"))
    gateway.clock.advance(1.6)
    gateway.order("nord")
    assert gateway.choose(key=7) is None


def test_a_gateway_that_starts_during_an_evacuation_sends_nothing_there():
    gateway = Gateway(record("a", "nord"), record("b", "syd"))
    gateway.confirmed_at = float("-inf")
    image = RoutedImage(
        index=LogIndex(2),
        version=gateway.image.version,
        servers=(record("a", "nord", incarnation=2),),
        tables=(RangeTable(service=SERVICE, ranges=(keys_of("a"),)),),
        evacuated=(DomainName("nord"),),
    )
    gateway.view.install_snapshot(RoutedSnapshot.of(image))
    assert gateway.choose() is None and gateway.choose(key=7) is None


def test_servers_that_are_taken_back_get_requests_on_their_connections():
    gateway = Gateway(record("a", "nord"))
    pool = gateway.server("a").pool
    gateway.order("nord")
    gateway.clock.advance(60.0)
    assert gateway.choose() is None and gateway.choose(key=7) is None
    gateway.order("nord", False)
    assert gateway.choose() == gateway.choose(key=7) == "a"
    assert gateway.server("a").pool is pool


@pytest.mark.parametrize("is_restart", [True, False])
def test_a_server_that_registers_in_an_evacuated_domain_gets_nothing(is_restart):
    gateway = Gateway(record("a", "nord"), record("b", "syd"))
    gateway.order("nord")
    gateway.clock.advance(1.6)
    gateway.confirmed_at = gateway.clock.monotonic()
    new = record("a", "nord", incarnation=2) if is_restart else record("c", "nord")
    gateway.apply(RegisterServer(server=new))
    keys = replace(keys_of("a"), owner=new.run)
    gateway.apply(SetRanges(service=SERVICE, ranges=(keys,)))
    assert gateway.server(new.run.server).run == new.run
    assert gateway.chosen() == {"b"} and gateway.choose(key=7) is None


def test_a_server_that_leaves_by_itself_is_not_taken_back_with_its_domain():
    gateway = Gateway(record("a", "nord"), record("b", "syd"))
    leaving = RegisterServer(server=replace(record("a", "nord"), is_leaving=True))
    gateway.order("nord")
    gateway.apply(leaving)
    gateway.order("nord", False)
    assert gateway.chosen() == {"b"}


def test_servers_are_assumed_cold_once_when_the_evacuation_of_their_domain_ends(monkeypatch):
    gateway = Gateway(record("a", "nord"), record("b", "syd"))
    told = []
    for name in "ab":
        monkeypatch.setattr(
            gateway.server(name), "assume_cold", lambda now, name=name: told.append(name)
        )
    for is_evacuated in (False, True, True, False, False):
        gateway.order("nord", is_evacuated)
    assert told == ["a"]


def test_a_request_that_waits_for_a_connection_to_a_former_run_is_not_sent_after_the_drain_time():
    gateway = Gateway(record("a", "nord"))
    former = gateway.server("a")
    gateway.apply(RegisterServer(server=record("a", "nord", incarnation=2)))
    assert gateway.server("a") is not former
    gateway.order("nord")
    gateway.clock.advance(DRAIN_S)
    assert former.has_drained(gateway.clock.monotonic(), 0.9 * DRAIN_S)
