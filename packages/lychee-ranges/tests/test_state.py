import pytest
from msgspec.structs import replace

from lychee_ranges import RoutedState
from lychee_types.ids import (
    DomainName,
    Incarnation,
    LogIndex,
    ServerId,
    ServiceName,
    Token,
)
from lychee_types.records import Endpoint
from lychee_types.registry import GrantPhase, KeyRange, RegisteredServer, ServerIncarnation
from lychee_types.registry_commands import (
    Applied,
    ChangeRouting,
    EvacuateDomain,
    Obsolete,
    RegisterServer,
    RemoveServer,
    RoutingAccepted,
    RoutingConflict,
    RoutingRefused,
    SetRanges,
)
from lychee_types.routing import (
    Route,
    RoutedService,
    RouteKind,
    Routing,
    RoutingPatch,
    ServiceShare,
    VirtualHost,
)


def service(name="booking"):
    return RoutedService(
        name=ServiceName(name), health_path="/h", connections=10, protocol="h1", tls=False
    )


def route(name="r", prefix="/a/", weights=((("booking"), 1.0),), **changes):
    values = {
        "name": name,
        "prefix": prefix,
        "kind": RouteKind.SAFE,
        "timeout_s": 1.0,
        "target_latency_s": 0.2,
        "priority": 1,
        "max_attempts": 2,
        "shares": tuple(ServiceShare(service=ServiceName(n), weight=w) for n, w in weights),
    }
    return Route(**(values | changes))


def routing(*routes, services=("booking",)):
    return Routing(
        services=tuple(service(name) for name in services),
        hosts=(VirtualHost(host="h", routes=routes or (route(),)),),
    )


def change(number, based_on, content=None, digest=b"d"):
    return ChangeRouting(
        number=number, based_on=based_on, change=content or routing(), digest=digest
    )


def server(name="s", incarnation=1, port=1, **changes):
    values = {
        "run": ServerIncarnation(server=ServerId(name), incarnation=Incarnation(incarnation)),
        "endpoint": Endpoint(host="10.0.0.1", port=port),
        "domain": DomainName("nord"),
        "service": ServiceName("booking"),
        "release": "v1",
        "slots": 3,
    }
    return RegisteredServer(**(values | changes))


class AppliedLog:
    """Applies commands at consecutive log indexes."""

    def __init__(self):
        self.state = RoutedState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.state.apply(LogIndex(self.index), command)


@pytest.fixture
def log():
    return AppliedLog()


def test_the_first_configuration_is_based_on_version_0(log):
    assert log.apply(change(4, 0)) == RoutingAccepted(number=4)
    assert log.state.version.number == 4


def test_a_change_that_was_accepted_is_accepted_again_when_it_is_resent(log):
    log.apply(change(4, 0))
    log.apply(change(6, 4, digest=b"other"))
    assert log.apply(change(4, 0)) == RoutingAccepted(number=4, is_repeat=True)
    assert log.state.version.number == 6


def test_the_second_of_two_changes_based_on_one_version_conflicts(log):
    log.apply(change(4, 0))
    assert log.apply(change(5, 4, digest=b"one")) == RoutingAccepted(number=5)
    assert log.apply(change(5, 4, digest=b"two")) == RoutingConflict(number=5)


def test_a_number_that_is_not_above_the_present_one_is_refused(log):
    log.apply(change(4, 0))
    assert isinstance(log.apply(change(4, 4, digest=b"two")), RoutingRefused)
    assert isinstance(log.apply(change(3, 4, digest=b"three")), RoutingRefused)


@pytest.mark.parametrize(
    "faulty",
    [
        route(weights=(("nobody", 1.0),)),
        route(weights=(("booking", 0.0),)),
        route(weights=(("booking", 2.0), ("booking", -1.0))),
        route(weights=(("booking", float("nan")),)),
        route(max_attempts=0),
        route(prefix="/a"),
        route(prefix="a/"),
        route(timeout_s=0.0),
    ],
)
def test_an_invalid_configuration_is_refused_and_changes_nothing(log, faulty):
    log.apply(change(4, 0))
    before = log.state.image()
    assert isinstance(log.apply(change(5, 4, routing(faulty), digest=b"x")), RoutingRefused)
    assert replace(log.state.image(), index=before.index) == before


def test_a_patch_adds_replaces_and_removes_by_name(log):
    log.apply(change(4, 0, routing(route("a"), route("b", "/b/"))))
    patch = RoutingPatch(
        hosts=(VirtualHost(host="h", routes=(route("b", "/c/"), route("d", "/d/"))),),
        drop_routes=("a",),
    )
    log.apply(change(5, 4, patch, digest=b"p"))
    routes = log.state.routing.hosts[0].routes
    assert [(r.name, r.prefix) for r in routes] == [("b", "/c/"), ("d", "/d/")]


def test_a_patch_that_leaves_a_route_without_its_service_is_refused(log):
    log.apply(change(4, 0))
    patch = RoutingPatch(drop_services=(ServiceName("booking"),))
    assert isinstance(log.apply(change(5, 4, patch, digest=b"p")), RoutingRefused)


def test_the_later_run_of_an_address_stays(log):
    log.apply(RegisterServer(server=server("new", incarnation=9)))
    assert isinstance(log.apply(RegisterServer(server=server("old", incarnation=5))), Obsolete)
    assert list(log.state.servers) == ["new"]


def test_a_new_run_at_an_address_takes_the_place_of_the_old_one(log):
    log.apply(RegisterServer(server=server("old", incarnation=5)))
    assert log.apply(RegisterServer(server=server("new", incarnation=9))) == Applied()
    assert list(log.state.servers) == ["new"]


def test_a_late_heartbeat_of_an_ended_run_registers_no_server(log):
    log.apply(RegisterServer(server=server()))
    log.apply(RemoveServer(run=server().run))
    assert isinstance(log.apply(RegisterServer(server=server())), Obsolete)
    assert log.apply(RegisterServer(server=server(incarnation=2))) == Applied()


def test_a_server_of_an_unknown_service_replaces_no_other(log):
    log.apply(change(4, 0))
    log.apply(RegisterServer(server=server("true")))
    forged = server("forged", incarnation=99, service=ServiceName("nobody"))
    assert isinstance(log.apply(RegisterServer(server=forged)), Obsolete)
    assert list(log.state.servers) == ["true"]


def test_tokens_only_increase(log):
    granting = KeyRange(low=0, high=9, owner=server().run, phase=GrantPhase.GRANTING)
    log.apply(SetRanges(service=ServiceName("k"), ranges=(granting,)))
    first = log.state.tables["k"].find(0).token
    log.apply(SetRanges(service=ServiceName("k"), ranges=(granting,)))
    assert log.state.tables["k"].find(0).token > first > 0


def test_a_token_that_is_set_stays(log):
    active = KeyRange(low=0, high=9, owner=server().run, token=Token(7), phase=GrantPhase.ACTIVE)
    log.apply(SetRanges(service=ServiceName("k"), ranges=(active,)))
    assert log.state.tables["k"].find(5).token == 7


def test_an_image_gives_the_same_state(log):
    log.apply(change(4, 0))
    log.apply(RegisterServer(server=server()))
    log.apply(RemoveServer(run=server("x").run))
    granting = KeyRange(low=3, high=9, owner=server().run, phase=GrantPhase.GRANTING)
    log.apply(SetRanges(service=ServiceName("k"), ranges=(granting,)))
    log.apply(evacuate("syd"))
    copy = RoutedState(image=log.state.image())
    assert copy.image() == log.state.image()
    assert copy.was_accepted(4, b"d")


def evacuate(domain, is_evacuated=True):
    return EvacuateDomain(domain=DomainName(domain), is_evacuated=is_evacuated)


def test_the_last_committed_order_on_a_domain_wins_also_if_it_is_repeated(log):
    for is_evacuated in (True, True, False, False, True, False, True):
        assert log.apply(evacuate("nord", is_evacuated)) == Applied()
        assert log.state.evacuated == ({"nord"} if is_evacuated else set())


def test_servers_of_an_evacuated_domain_are_leaving_whenever_they_register(log):
    log.apply(RegisterServer(server=server("before", port=1)))
    log.apply(evacuate("nord"))
    log.apply(RegisterServer(server=server("after", port=2)))
    log.apply(RegisterServer(server=server("other", port=3, domain=DomainName("syd"))))
    leaving = {n: log.state.is_leaving(s) for n, s in log.state.servers.items()}
    assert leaving == {"before": True, "after": True, "other": False}
    log.apply(evacuate("nord", False))
    assert not any(log.state.is_leaving(s) for s in log.state.servers.values())
