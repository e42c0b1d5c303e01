"""What a gateway says of where a request would go, and that saying so changes nothing."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from lychee_gateway.proxy.codec import Occupancy
from lychee_gateway.proxy.explaining import Explainer
from lychee_gateway.proxy.limits import ServerLimits
from lychee_gateway.proxy.overloads import OverloadedOwners
from lychee_gateway.proxy.pages import make_pages, read_query
from lychee_gateway.proxy.placing import NoServer, RoutedRequest, ServerSelector
from lychee_gateway.proxy.retries import RetryBudgets
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.view import RoutedView
from lychee_types.exceptions import SettingsError
from lychee_types.explanation import EXPLAIN_PATH, ExplainQuery
from lychee_types.ids import DomainName, GatewayId, Incarnation, LogIndex, ServerId, ServiceName
from lychee_types.limit_messages import KnownLimits, ObservedLimit
from lychee_types.overload_messages import KnownOverloads, OwnerShare
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
from lychee_types.routed_settings import DeploymentLimits
from lychee_types.routing import (
    Route,
    RoutedService,
    RouteKind,
    Routing,
    RoutingVersion,
    ServiceShare,
    VirtualHost,
)
from lychee_types.testing import ManualClock

FREE, KEYED = ServiceName("free"), ServiceName("keyed")
NORD, SYD = DomainName("nord"), DomainName("syd")


def record(name, service, *, domain=NORD, is_leaving=False):
    return RegisteredServer(
        run=ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1)),
        endpoint=Endpoint(host="10.0.0.1", port=1),
        domain=domain,
        service=service,
        release="v1",
        slots=3,
        cold_s=0.0,
        is_leaving=is_leaving,
    )


def service(name, *, is_keyed=False):
    return RoutedService(
        name=name, health_path="/h", connections=9, protocol="h1", tls=False, is_keyed=is_keyed
    )


def route(name, service):
    return Route(
        name=name,
        prefix=f"/{name}/",
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        target_latency_s=0.2,
        priority=1,
        max_attempts=2,
        shares=(ServiceShare(service=service, weight=1.0),),
    )


class Gateway:
    """A gateway's decisions, with three servers without owners of keys and one owner."""

    def __init__(self, *, evacuated=(), owner="owner"):
        self.clock = ManualClock()
        self.view = RoutedView()
        self.servers = ServerList(clock=self.clock, as_of=self.clock.monotonic)
        self.questions, self.refused, self.rng = [], [], Random(1)
        self.limits = ServerLimits(
            on_attempt=lambda server: None, on_permits=lambda how, count: None, clock=self.clock
        )
        self.limits.set_post(self.questions.append)
        self.overloads = OverloadedOwners(
            clock=self.clock, on_refused=self.refused.append, rng=self.rng
        )
        self.selector = ServerSelector(
            view=self.view,
            servers=self.servers,
            limits=self.limits,
            overloads=self.overloads,
            domain=NORD,
            clock=self.clock,
            drain_s=2.0,
            rng=self.rng,
        )
        self.retries = RetryBudgets(bounds=DeploymentLimits())
        self.age = SimpleNamespace(is_usable=True, is_current=True, age_ms=40)
        self.is_stopping = False
        self.explainer = Explainer(
            gateway=GatewayId("g1"),
            domain=NORD,
            view=self.view,
            age=self.age,
            servers=self.servers,
            selector=self.selector,
            limits=self.limits,
            overloads=self.overloads,
            retries=self.retries,
            hedger=SimpleNamespace(explain=lambda route: "none"),
            is_stopping=lambda: self.is_stopping,
            clock=self.clock,
        )
        self.view.add_listener(lambda: self.servers.sync(self.view.state))
        self._install(evacuated, owner)

    def _install(self, evacuated, owner):
        routing = Routing(
            services=(service(FREE), service(KEYED, is_keyed=True)),
            hosts=(VirtualHost(host="h", routes=(route("a", FREE), route("k", KEYED))),),
        )
        records = (
            record("near", FREE),
            record("far", FREE, domain=SYD),
            record("leaver", FREE, is_leaving=True),
            record("owner", KEYED),
        )
        run = ServerIncarnation(server=ServerId(owner), incarnation=Incarnation(1))
        keys = KeyRange(low=0, high=LAST_KEY, owner=run, phase=GrantPhase.ACTIVE, token=5)
        image = RoutedImage(
            index=LogIndex(1),
            version=RoutingVersion(number=7, routing=routing),
            servers=records,
            tables=(RangeTable(service=KEYED, ranges=(keys,)),),
            evacuated=evacuated,
        )
        self.view.install_snapshot(RoutedSnapshot.of(image))

    def server(self, name):
        return next(server for server in self.servers.all() if server.run.server == name)

    def fill(self, name):
        now = self.clock.monotonic()
        with self.server(name).track_request(now):
            load = Occupancy(running=3, waiting=12, slots=3)
            self.server(name).record_occupancy(load, now)

    def overload_owner(self, share):
        owner = OwnerShare(run=self.server("owner").run, share=share, retry_s=2.0)
        self.overloads.receive_news(KnownOverloads(owners=(owner,)))

    def limit(self, name):
        limit = ObservedLimit(run=self.server(name).run, per_s=1.0, sent_ms_ago=0, heard_ms_ago=0)
        self.limits.receive_news(KnownLimits(limits=(limit,)))

    def explain(self, path="/a/", **query):
        return self.explainer.explain(ExplainQuery(host="h", path=path, **query))

    def decision(self, path="/a/", **query):
        return self.explain(path, **query).services[0].decision

    def notes(self):
        return {row.server: row.note for row in self.explain().services[0].servers}


def test_the_cheapest_server_is_named_and_why_the_others_are_passed_over():
    gateway = Gateway()
    found = gateway.explain()
    assert (found.route.name, found.version, found.state_age_ms) == ("a", 7, 40)
    assert gateway.decision().server == "near"
    assert gateway.notes() == {"near": "lowest cost", "far": "costs more", "leaver": "leaves"}


def test_the_decision_is_that_of_the_selector():
    # An explanation that follows other rules than the requests would mislead operators.
    for fill in ((), ("near",), ("near", "far")):
        gateway = Gateway()
        for name in fill:
            gateway.fill(name)
        explained = gateway.decision()
        now = gateway.clock.monotonic()
        request = RoutedRequest(
            route=gateway.view.matcher.find("h", "/a/"),
            service=FREE,
            key=None,
            arrived_at=now,
            deadline=now + 1.0,
        )
        selected = asyncio.run(gateway.selector.select(request))
        if isinstance(selected, NoServer):
            assert (explained.action, explained.reason) == ("refuse", selected.reason)
            assert explained.retry_after_ms == round(selected.retry_after_s * 1_000)
        else:
            assert (explained.action, explained.server) == ("send", selected.run.server)


def test_another_failure_domain_can_be_asked_for():
    assert Gateway().decision(domain=SYD).server == "far"


def test_servers_of_an_evacuated_domain_are_passed_over():
    gateway = Gateway(evacuated=(SYD,))
    assert gateway.notes()["far"] == "its failure domain is evacuated"
    assert gateway.explain().evacuated == (SYD,)


def test_a_server_without_a_permit_is_passed_over():
    gateway = Gateway()
    gateway.limit("near")
    assert gateway.notes()["near"] == "limited, and no permit is at hand"
    assert gateway.decision().server == "far"


def test_a_key_goes_to_its_owner():
    gateway = Gateway()
    found = gateway.explain("/k/", key=9).services[0]
    assert (found.decision.server, found.key.owner, found.key.token) == ("owner", "owner", 5)
    assert gateway.decision("/k/").status == 400


def test_a_key_without_a_usable_owner_is_waited_for():
    found = Gateway(owner="gone").explain("/k/", key=9).services[0]
    assert found.decision.action == "wait"
    assert found.key.owner == "gone"


def test_the_share_that_an_overloaded_owner_admits_is_told():
    gateway = Gateway()
    gateway.overload_owner(0.4)
    found = gateway.explain("/k/", key=9).services[0]
    assert found.key.admitted_share == 0.4
    assert "40% of the requests are sent" in found.decision.reason


def test_what_the_gateway_refuses_altogether_is_explained():
    gateway = Gateway()
    assert gateway.explain("/other/").refusal.status == 404
    gateway.is_stopping = True
    assert gateway.explain().refusal.reason == "this gateway stops"
    gateway.age.is_usable = False
    assert gateway.explain().refusal.status == 503


def test_nothing_is_counted_or_asked():
    gateway = Gateway()
    gateway.limit("near")
    gateway.overload_owner(0.1)
    state = gateway.rng.getstate()
    for _ in range(50):
        gateway.explain()
        gateway.explain("/k/", key=9)
    assert gateway.rng.getstate() == state
    assert not gateway.questions
    assert not gateway.refused
    assert not gateway.selector._vacancies


@pytest.mark.parametrize(
    "query", ["key=x&host=h&path=/a/", "key=70000&host=h&path=/a/", "host=h", "route=b", "size=1"]
)
def test_wrong_questions_are_answered_with_the_remedy(query):
    explainer = Gateway().explainer
    with pytest.raises(SettingsError) as caught:
        explainer.explain(read_query(query))
    assert caught.value.remedy
    pages = make_pages(render_metrics=lambda: b"", explainer=explainer)
    assert pages[EXPLAIN_PATH](query).status == 400


def test_a_route_can_be_named_in_place_of_a_host_and_a_path():
    found = Gateway().explainer.explain(read_query("route=k&key=3&timeout_ms=800"))
    assert found.services[0].decision.server == "owner"
