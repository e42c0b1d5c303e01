"""Test which server is selected for a request, and when a request is refused."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
import uvloop
from msgspec.structs import replace

from lychee_gateway.proxy.codec import Occupancy
from lychee_gateway.proxy.overloads import OverloadedOwners
from lychee_gateway.proxy.placing import OWNER_WAIT_S, NoServer, RoutedRequest, ServerSelector
from lychee_gateway.proxy.probed_choice import ProbedChoice
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.testing import make_limits
from lychee_gateway.proxy.view import RoutedView
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName, Token
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
from lychee_types.routing import (
    Route,
    RouteKind,
    Routing,
    RoutingVersion,
    ServiceShare,
    VirtualHost,
)
from lychee_types.testing import ManualClock

SERVICE = ServiceName("s")


def record(name, *, domain="nord", slots=3, cold_s=0.0, is_leaving=False):
    return RegisteredServer(
        run=ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1)),
        endpoint=Endpoint(host="10.0.0.1", port=1),
        domain=DomainName(domain),
        service=SERVICE,
        release="v1",
        slots=slots,
        cold_s=cold_s,
        is_leaving=is_leaving,
    )


def route(*shares, target_s=0.2, priority=1):
    return Route(
        name="r",
        prefix="/",
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        target_latency_s=target_s,
        priority=priority,
        max_attempts=2,
        shares=shares or (ServiceShare(service=SERVICE, weight=1.0),),
    )


class Setup:
    """Some servers, and a selector that chooses among them."""

    def __init__(self, *records, ranges=(), clock=None, prefers_open=False):
        self.clock = clock or ManualClock()
        self.view = RoutedView()
        self.as_of = None
        self.servers = ServerList(clock=self.clock, as_of=self._as_of)
        self.limits = make_limits(self.clock)
        self.refused_routes = []
        self.overloads = OverloadedOwners(
            clock=self.clock, on_refused=self.refused_routes.append, rng=Random(1)
        )
        self.selector = ServerSelector(
            view=self.view,
            servers=self.servers,
            limits=self.limits,
            overloads=self.overloads,
            domain=DomainName("nord"),
            clock=self.clock,
            drain_s=2.0,
            rng=Random(1),
            prefers_open=prefers_open,
        )
        self.view.add_listener(lambda: self.servers.sync(self.view.state))
        self.view.add_listener(self.selector.state_changed)
        self.index = 0
        self.install(*records, ranges=ranges)

    def _as_of(self):
        return self.clock.monotonic() if self.as_of is None else self.as_of

    def install(self, *records, ranges=(), routes=()):
        self.index += 1
        routing = Routing(hosts=(VirtualHost(host="h", routes=tuple(routes)),))
        version = RoutingVersion(number=self.index, routing=routing)
        tables = (RangeTable(service=SERVICE, ranges=tuple(ranges)),) if ranges else ()
        image = RoutedImage(
            index=LogIndex(self.index), version=version, servers=records, tables=tables
        )
        self.view.install_snapshot(RoutedSnapshot.of(image))

    def server(self, name) -> ProxyServer:
        return next(s for s in self.servers.for_service(SERVICE) if s.run.server == name)

    def request(self, *, key=None, left_s=1.0, **changes):
        now = self.clock.monotonic()
        return RoutedRequest(
            route=route(**changes),
            service=SERVICE,
            key=key,
            arrived_at=now,
            deadline=now + left_s,
        )

    async def select(self, **request):
        return await self.selector.select(self.request(**request))


def run(work):
    return asyncio.run(work)


def report_occupancy(setup, name, running, waiting):
    now = setup.clock.monotonic()
    server = setup.server(name)
    with server.track_request(now):
        server.record_occupancy(Occupancy(running=running, waiting=waiting, slots=3), now)


def test_a_request_goes_to_the_less_loaded_server():
    setup = Setup(record("a"), record("b"))
    report_occupancy(setup, "a", 3, 6)
    assert run(setup.select()).run.server == "b"


def test_a_server_of_the_same_failure_domain_is_preferred_while_it_has_room():
    setup = Setup(record("near"), record("far", domain="syd"))
    chosen = [run(setup.select()).run.server for _ in range(20)]
    assert chosen.count("near") >= 18
    report_occupancy(setup, "near", 3, 9)
    assert run(setup.select()).run.server == "far"


class IdleConnection:
    """A connection that can take a request."""

    def __init__(self):
        self.stream = SimpleNamespace()
        self.is_carried = False

    def is_reusable(self):
        return True


def test_a_server_with_an_idle_connection_is_preferred_where_the_settings_say_so():
    # With many gateways and servers, nearly each request opened a connection.
    chosen = {}
    for prefers_open in (False, True):
        setup = Setup(*(record(name) for name in "abcdef"), prefers_open=prefers_open)
        setup.server("c").pool.add(IdleConnection())
        names = [run(setup.select()).run.server for _ in range(60)]
        chosen[prefers_open] = names.count("c")
    assert chosen[True] == 60
    assert chosen[False] < 30


def test_a_server_with_an_idle_connection_is_not_preferred_to_one_without_a_queue():
    setup = Setup(record("a"), record("b"), prefers_open=True)
    setup.server("a").pool.add(IdleConnection())
    report_occupancy(setup, "a", 3, 2)
    assert run(setup.select()).run.server == "b"


def test_a_cold_server_gets_fewer_requests():
    setup = Setup(record("warm"), record("cold", cold_s=3.0))
    chosen = [run(setup.select()).run.server for _ in range(20)]
    assert chosen.count("warm") == 20
    setup.clock.advance(4.0)
    chosen = [run(setup.select()).run.server for _ in range(40)]
    assert "cold" in chosen


def test_a_request_is_refused_at_once_with_a_retry_delay_when_all_servers_are_full():
    setup = Setup(record("a"), record("b"))
    for name in "ab":
        report_occupancy(setup, name, 3, 12)
    refused = run(setup.select())
    assert isinstance(refused, NoServer)
    assert refused.retry_after_s >= 0.05


def test_a_full_server_is_selected_again_after_a_while_without_a_new_report():
    setup = Setup(record("a"))
    report_occupancy(setup, "a", 3, 12)
    assert isinstance(run(setup.select()), NoServer)
    setup.clock.advance(2.0)
    assert run(setup.select()).run.server == "a"


def test_the_queue_of_a_fast_server_is_bounded_too():
    setup = Setup(record("a"))
    server = setup.server("a")
    server.service_time_s = 0.001
    report_occupancy(setup, "a", 3, 9)
    assert isinstance(run(setup.select()), NoServer)


def test_an_overdue_request_indicates_a_queue():
    setup = Setup(record("a"))
    server = setup.server("a")
    with server.track_request(setup.clock.monotonic()):
        setup.clock.advance(0.9)
        assert isinstance(run(setup.select()), NoServer)


def test_without_reports_other_gateways_are_assumed_to_cause_similar_load():
    setup = Setup(record("a"))
    setup.servers.set_gateway_count(10)
    server = setup.server("a")
    now = setup.clock.monotonic()
    with server.track_request(now):
        assert run(setup.select()) is server
        with server.track_request(now), server.track_request(now):
            assert isinstance(run(setup.select()), NoServer)


def test_a_failing_server_is_ejected():
    setup = Setup(record("a"), record("b"))
    for _ in range(3):
        setup.server("a").record_failure(setup.clock.monotonic())
    assert {run(setup.select()).run.server for _ in range(20)} == {"b"}


def test_a_leaving_server_gets_no_requests():
    setup = Setup(record("a", is_leaving=True), record("b"))
    assert {run(setup.select()).run.server for _ in range(20)} == {"b"}


def test_a_request_with_less_time_left_than_the_work_takes_is_refused():
    setup = Setup(record("a"))
    assert isinstance(run(setup.select(left_s=0.01)), NoServer)


def test_services_are_chosen_by_weight():
    shares = (
        ServiceShare(service=ServiceName("x"), weight=90),
        ServiceShare(service=ServiceName("y"), weight=10),
    )
    setup = Setup()
    chosen = [setup.selector.choose_service(route(*shares)) for _ in range(2_000)]
    assert 0.07 < chosen.count("y") / 2_000 < 0.13


def all_keys(phase, name="a"):
    return KeyRange(
        low=0,
        high=LAST_KEY,
        owner=ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1)),
        token=Token(3),
        phase=phase,
    )


def test_a_request_with_a_key_goes_to_its_owner_only():
    setup = Setup(record("a"), record("b"), ranges=[all_keys(GrantPhase.ACTIVE)])
    assert {run(setup.select(key=7)).run.server for _ in range(10)} == {"a"}


def test_a_share_of_the_requests_for_an_overloaded_owner_is_admitted():
    setup = Setup(record("a"), record("b"), ranges=[all_keys(GrantPhase.ACTIVE)])
    share = OwnerShare(run=setup.server("a").run, share=0.25, retry_s=2.0)
    setup.overloads.receive_news(KnownOverloads(owners=(share,)))
    found = [run(setup.select(key=7)) for _ in range(200)]
    refused = [item for item in found if isinstance(item, NoServer)]
    assert 130 <= len(refused) <= 170 and len(setup.refused_routes) == len(refused)
    assert all(0 < item.retry_after_s <= 2.0 for item in refused)
    assert setup.overloads.lowest_share == 0.25
    setup.overloads.receive_news(KnownOverloads(owners=()))
    assert isinstance(run(setup.select(key=7)), ProxyServer)


@pytest.mark.parametrize("phase", [GrantPhase.GRANTING, GrantPhase.RELEASING])
def test_a_request_waits_while_its_key_moves(phase):
    async def body():
        setup = Setup(record("a"), record("b"), ranges=[all_keys(phase)])
        selection = asyncio.ensure_future(setup.select(key=7))
        await asyncio.sleep(0.01)
        assert not selection.done()
        moved = all_keys(GrantPhase.ACTIVE, "b")
        setup.install(record("a"), record("b"), ranges=[moved])
        assert (await selection).run.server == "b"

    run(body())


def test_requests_are_refused_at_once_when_a_key_has_had_no_owner_for_long():
    async def body():
        setup = Setup(record("a"), ranges=[all_keys(GrantPhase.RELEASING)])
        first = asyncio.ensure_future(setup.select(key=7))
        await asyncio.sleep(0)
        setup.clock.advance(1.0)
        assert isinstance(await first, NoServer)
        async with asyncio.timeout(0.05):
            assert isinstance(await setup.select(key=8), NoServer)

    run(body())


def test_a_leaving_owner_gets_no_requests_near_the_end_of_the_drain_time():
    leaving = record("a", is_leaving=True)
    setup = Setup(leaving, ranges=[all_keys(GrantPhase.ACTIVE)])
    assert run(setup.select(key=7)).run.server == "a"
    setup.clock.advance(1.4)
    assert run(setup.select(key=7)).run.server == "a"
    setup.clock.advance(0.2)
    setup.selector.state_changed()

    async def body():
        selection = asyncio.ensure_future(setup.select(key=7))
        await asyncio.sleep(0)
        setup.clock.advance(1.0)
        return await selection

    assert isinstance(run(body()), NoServer)


@pytest.mark.parametrize(("late_s", "is_used"), [(0.4, True), (1.6, False)])
def test_the_drain_time_begins_when_the_owner_may_have_been_allowed_to_leave(late_s, is_used):
    setup = Setup(record("a"), ranges=[all_keys(GrantPhase.ACTIVE)])
    setup.as_of = setup.clock.monotonic()
    setup.clock.advance(late_s)
    setup.install(record("a", is_leaving=True), ranges=[all_keys(GrantPhase.ACTIVE)])
    assert setup.server("a").has_drained(setup.clock.monotonic(), 1.5) is not is_used


def test_a_server_that_is_leaving_when_a_gateway_first_hears_of_it_may_have_left():
    setup = Setup()
    setup.as_of = float("-inf")
    setup.install(record("a", is_leaving=True))
    assert setup.server("a").has_drained(setup.clock.monotonic(), 1.5)


def test_a_request_is_refused_if_its_answer_would_miss_the_target_latency():
    setup = Setup(record("a"))
    setup.server("a").service_time_s = 0.15
    report_occupancy(setup, "a", 3, 1)
    assert isinstance(run(setup.select(target_s=0.2)), NoServer)
    assert run(setup.select(target_s=0.4)).run.server == "a"


def test_a_slow_server_without_a_queue_still_gets_requests():
    setup = Setup(record("a"))
    setup.server("a").service_time_s = 0.6
    assert run(setup.select(target_s=0.2)).run.server == "a"


def test_the_last_queue_places_are_reserved_for_the_more_urgent_route():
    urgent, other = route(priority=1), route(priority=2)
    setup = Setup(record("a"))
    setup.install(record("a"), routes=(urgent, replace(other, name="other", prefix="/o/")))
    report_occupancy(setup, "a", 3, 2)
    assert run(setup.select(priority=1)).run.server == "a"
    assert isinstance(run(setup.select(priority=2)), NoServer)


def test_unrelated_state_changes_do_not_extend_the_wait_for_an_owner():
    async def body():
        setup = Setup(record("a"), ranges=[all_keys(GrantPhase.ACTIVE)])
        request = setup.request(key=7)
        request.tried.append(setup.server("a").run)
        selection = asyncio.ensure_future(setup.selector.select(request))
        for _ in range(6):
            await asyncio.sleep(0)
            setup.clock.advance(0.03)
            setup.install(record("a"), ranges=[all_keys(GrantPhase.ACTIVE)])
        await asyncio.sleep(0)
        assert selection.done() and isinstance(selection.result(), NoServer)

    run(body())


def answer(setup, name, seconds):
    """Let a server answer a request after a time."""
    server = setup.server(name)
    with server.track_request(setup.clock.monotonic()) as in_flight:
        setup.clock.advance(seconds)
        server.record_answer(in_flight, seconds)


def chosen(setup, count=30):
    return {run(setup.select()).run.server for _ in range(count)}


def test_a_server_without_answers_is_tried_like_the_fastest_of_its_service():
    setup = Setup(record("a"), record("b"))
    answer(setup, "a", 0.005)
    setup.clock.advance(0.1)
    assert chosen(setup) == {"a", "b"}


def test_a_server_that_was_slow_once_is_tried_again_later():
    setup = Setup(record("a"), record("b"))
    answer(setup, "b", 0.05)
    answer(setup, "a", 0.005)
    setup.clock.advance(0.1)
    assert chosen(setup) == {"a"}
    for _ in range(20):
        setup.clock.advance(1.0)
        answer(setup, "a", 0.005)
        setup.servers.estimate_anew()
    assert chosen(setup) == {"a", "b"}


def test_the_measured_time_of_a_server_that_answers_is_kept():
    setup = Setup(record("a"), record("b"))
    for _ in range(40):
        answer(setup, "a", 0.005)
        answer(setup, "b", 0.05)
        setup.clock.advance(0.4)
        setup.servers.estimate_anew()
    assert setup.server("b").service_time_s == pytest.approx(0.05)


def test_a_request_under_way_keeps_the_measured_time_of_its_server():
    setup = Setup(record("a"), record("b"))
    answer(setup, "a", 0.005)
    answer(setup, "b", 0.05)
    with setup.server("b").track_request(setup.clock.monotonic()):
        setup.clock.advance(20.0)
        setup.servers.estimate_anew()
    assert setup.server("b").service_time_s == pytest.approx(0.05)


def test_one_long_first_answer_does_not_make_a_new_server_the_slowest():
    setup = Setup(record("a"))
    answer(setup, "a", 0.01)
    setup.install(record("a"), record("b"))
    answer(setup, "b", 0.03)
    assert setup.server("b").service_time_s < 0.015


@pytest.mark.parametrize("has_waited", [False, True])
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_an_owner_that_arrives_while_the_loop_is_busy_is_known_when_the_wait_ends(
    run, has_waited, busy_loop
):
    async def body():
        moving = [all_keys(GrantPhase.GRANTING)]
        setup = Setup(record("a"), ranges=moving, clock=SystemClock())
        if not has_waited:
            assert isinstance(await setup.select(key=7), NoServer)
        busy_loop(
            lambda: setup.install(record("a"), ranges=[all_keys(GrantPhase.ACTIVE)]),
            OWNER_WAIT_S + 0.1,
        )
        assert (await setup.select(key=7)).run.server == "a"

    run(body())


def report_speed(setup, name, speed):
    server, now = setup.server(name), setup.clock.monotonic()
    with server.track_request(now) as in_flight:
        occupancy = Occupancy(running=0, waiting=0, slots=3, speed=speed)
        server.record_occupancy(occupancy, now)
        server.record_answer(in_flight, 0.1)


def test_a_reported_speed_counts_until_it_is_old():
    """The figure was not read, and a slowed server got as many requests as the others."""
    setup = Setup(record("a"), record("b"))
    report_speed(setup, "a", 1 / 3)
    report_speed(setup, "b", 1.0)
    setup.clock.advance(0.02)
    slowed = setup.server("a")
    assert slowed.slowness(setup.clock.monotonic()) == pytest.approx(3.0, rel=0.1)
    assert {run(setup.select()).run.server for _ in range(20)} == {"b"}
    setup.clock.advance(2.0)
    assert slowed.slowness(setup.clock.monotonic()) == pytest.approx(1.0, abs=0.01)


def test_the_service_time_of_a_slowed_server_is_kept_at_the_usual_speed():
    """Its slow answers would count on after the speed is back."""
    setup = Setup(record("a"))
    for _ in range(20):
        server, now = setup.server("a"), setup.clock.monotonic()
        with server.track_request(now) as in_flight:
            setup.clock.advance(0.3)
            occupancy = Occupancy(running=0, waiting=0, slots=3, speed=1 / 3)
            server.record_occupancy(occupancy, setup.clock.monotonic())
            server.record_answer(in_flight, 0.3)
    assert setup.server("a").service_time_s == pytest.approx(0.1, rel=0.4)


def test_an_upload_is_refused_unread_only_if_the_best_server_is_full():
    setup = Setup(record("a"), record("b"))
    assert setup.selector.refusal(setup.request()) is None
    for name in ("a", "b"):
        report_occupancy(setup, name, 3, 12)
    assert isinstance(setup.selector.refusal(setup.request()), NoServer)
    setup.install()
    assert isinstance(setup.selector.refusal(setup.request()), NoServer)


def test_a_server_that_reset_a_connection_is_avoided_while_others_have_room():
    """The next requests went to the server that was full, and were lost too."""
    setup = Setup(record("a"), record("b"))
    setup.server("a").record_reset(setup.clock.monotonic())
    report_occupancy(setup, "b", 3, 1)
    assert {run(setup.select()).run.server for _ in range(20)} == {"b"}
    setup.clock.advance(1.1)
    assert {run(setup.select()).run.server for _ in range(20)} == {"a", "b"}


def test_a_load_with_a_free_slot_ends_the_time_after_a_reset():
    setup = Setup(record("a"), record("b"))
    setup.server("a").record_reset(setup.clock.monotonic())
    report_occupancy(setup, "a", 3, 0)
    assert setup.server("a").full_until > setup.clock.monotonic()
    report_occupancy(setup, "a", 1, 0)
    assert setup.server("a").full_until < setup.clock.monotonic()


def test_a_server_that_reset_a_connection_is_used_if_there_is_no_other():
    setup = Setup(record("a"))
    setup.server("a").record_reset(setup.clock.monotonic())
    assert run(setup.select()).run.server == "a"


def test_a_copy_goes_to_a_server_that_was_not_tried_and_has_a_free_slot():
    setup = Setup(record("a"), record("b"), record("c", is_leaving=True))
    request = setup.request()
    request.tried.append(setup.server("a").run)
    assert run(setup.selector.select_for_copy(request)) is setup.server("b")
    request.tried.append(setup.server("b").run)
    assert run(setup.selector.select_for_copy(request)) is None


def test_no_copy_goes_to_a_server_with_a_queue_a_failing_one_or_one_without_a_permit():
    setup = Setup(record("a", slots=1))
    server, request = setup.server("a"), setup.request()
    now = setup.clock.monotonic()
    with server.track_request(now):
        assert run(setup.selector.select_for_copy(request)) is None
    assert run(setup.selector.select_for_copy(request)) is server
    setup.limits.record(server.run, 1.0, sent_at=now)
    assert run(setup.selector.select_for_copy(request)) is None
    setup.limits.record(server.run, None, sent_at=now + 0.1)
    for _ in range(3):
        server.record_failure(now)
    assert run(setup.selector.select_for_copy(request)) is None


def test_a_server_whose_slow_attempts_are_cancelled_is_measured_as_slow():
    setup = Setup(record("a"))
    server, now = setup.server("a"), setup.clock.monotonic()
    before = server.service_time_s
    server.record_cancelled(now - before / 2, now)
    assert server.service_time_s == before
    for _ in range(20):
        server.record_cancelled(now - 1.0, now)
    assert server.service_time_s > 0.8


def test_a_copy_may_go_to_a_server_with_one_slow_request_if_slots_are_free():
    setup = Setup(record("a", slots=3))
    server, now = setup.server("a"), setup.clock.monotonic()
    with server.track_request(now - 5.0):
        assert server.expected_wait_s(now) > 0
        assert run(setup.selector.select_for_copy(setup.request())) is server


def probe(setup, name):
    now = setup.clock.monotonic()
    load = Occupancy(running=0, waiting=0, slots=3, speed=1.0)
    setup.server(name).record_probe(load, asked_at=now, now=now)


def test_a_server_that_joins_later_is_tried_though_others_are_known_to_be_fast():
    # It was taken for as fast as the mean; the best of three that were asked was always faster.
    setup = Setup(record("slow"), record("fast"), record("unknown"))
    for name in ("slow", "fast", "unknown"):
        probe(setup, name)
    for name, seconds in (("slow", 0.4), ("fast", 0.1)):
        server, now = setup.server(name), setup.clock.monotonic()
        with server.track_request(now) as in_flight:
            server.record_answer(in_flight, seconds)
    setup.install(*(record(name) for name in ("slow", "fast", "unknown", "later")))
    probe(setup, "later")
    setup.clock.advance(1.0)
    setup.servers.estimate_anew()
    assert setup.server("later").service_time_s == pytest.approx(0.1)
    assert setup.server("unknown").service_time_s == pytest.approx(0.25)


class FakeProbing:
    """Asks servers; all but the first of those that it knows have a queue."""

    def __init__(self, clock):
        self.clock = clock
        self.asked = []

    def is_used(self, service):
        return True

    def can_ask(self, server):
        return True

    def lacks_connection(self, server):
        return False

    async def ask(self, servers, *, until):
        for server in servers:
            self.asked.append(server.run.server)
            waiting = 0 if server.run.server == "c" else 3
            load = Occupancy(running=3 if waiting else 0, waiting=waiting, slots=3)
            now = self.clock.monotonic()
            server.record_probe(load, asked_at=now, now=now)
        return list(servers)


def test_a_copy_goes_to_a_server_that_was_just_asked_for_its_load():
    # Copies by old loads went to servers that were as slow as the first one.
    setup = Setup(*(record(name) for name in "abcd"))
    probing = FakeProbing(setup.clock)
    setup.selector._probed = ProbedChoice(
        probing=probing,
        domain=DomainName("nord"),
        on_choice=lambda service, chosen: None,
        clock=setup.clock,
        rng=Random(1),
    )
    request = setup.request()
    request.tried.append(setup.server("a").run)
    assert run(setup.selector.select_for_copy(request)) is setup.server("c")
    assert "a" not in probing.asked
    request.tried.append(setup.server("c").run)
    assert run(setup.selector.select_for_copy(request)) is None
