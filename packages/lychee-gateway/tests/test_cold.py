"""Requests to cold servers: permits, the preference for warm servers, what keyed callers get."""

import asyncio
from random import Random

import pytest

from lychee_gateway.proxy.cold import MAX_SEND_DELAY_S, ColdServers
from lychee_gateway.proxy.limits import ANSWER_WAIT_S, ServerLimits
from lychee_gateway.proxy.placing import NoServer, RoutedRequest, ServerSelector
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.view import RoutedView
from lychee_types.cold_messages import KnownCold, ObservedCold
from lychee_types.ids import LogIndex
from lychee_types.limit_messages import PermitReply
from lychee_types.registry import RoutedImage
from lychee_types.registry_messages import RoutedSnapshot
from lychee_types.routing import RoutedService, Routing, RoutingVersion
from lychee_types.testing import ManualClock

from .test_placing import SERVICE, record, route

WARMUP_S = 20.0


class Setup:
    """A gateway that has just received the state of a service with a rate of cold servers."""

    def __init__(self, *names, per_s=2.8):
        self.clock = ManualClock()
        self.questions = []
        self.view = RoutedView()
        self.servers = ServerList(clock=self.clock, as_of=self.clock.monotonic)
        self.cold = ColdServers(servers=self.servers, clock=self.clock)
        self.limits = ServerLimits(
            on_attempt=lambda server: None,
            on_permits=lambda outcome, count: None,
            clock=self.clock,
            cold=self.cold,
            rng=Random(1),
        )
        self.limits.set_post(self.questions.append)
        self.selector = ServerSelector(
            view=self.view,
            servers=self.servers,
            limits=self.limits,
            domain=record("a").domain,
            clock=self.clock,
            drain_s=2.0,
            rng=Random(1),
        )
        service = RoutedService(
            name=SERVICE, health_path="/", connections=9, protocol="h1", tls=False
        )
        if per_s is not None:
            service = RoutedService(
                name=SERVICE,
                health_path="/",
                connections=9,
                protocol="h1",
                tls=False,
                warmup_s=WARMUP_S,
                warmup_per_s=per_s,
            )
        image = RoutedImage(
            index=LogIndex(1),
            version=RoutingVersion(number=1, routing=Routing(services=(service,))),
            servers=tuple(record(name) for name in names),
        )
        self.view.add_listener(lambda: self.servers.sync(self.view.state))
        self.view.install_snapshot(RoutedSnapshot.of(image))

    def server(self, name):
        return self.servers.find(record(name).run)

    def hear(self, name, remaining_s, *, s_ago=0.0):
        observed = ObservedCold(
            run=record(name).run,
            remaining_ms=round(remaining_s * 1_000),
            heard_ms_ago=round(s_ago * 1_000),
        )
        self.cold.receive_news(KnownCold(servers=(observed,)))

    def select(self):
        now = self.clock.monotonic()
        request = RoutedRequest(
            route=route(), service=SERVICE, key=None, arrived_at=now, deadline=now + 1.0
        )
        return asyncio.run(self._select(request))

    async def _select(self, request):
        selecting = asyncio.ensure_future(self.selector.select(request))
        await asyncio.sleep(0.01)
        if not selecting.done():
            self.clock.advance(ANSWER_WAIT_S)
        return await selecting

    def grant(self, count):
        question = self.questions[-1]
        self.limits.receive_reply(
            PermitReply(
                run=question.limit.run,
                number=question.number,
                count=count,
                retry_after_ms=1_500,
            )
        )


def test_a_gateway_that_has_just_started_sends_nothing_without_a_permit():
    setup = Setup("a")
    assert isinstance(setup.select(), NoServer)
    assert setup.questions[-1].is_cold
    setup.grant(1)
    assert setup.select().run.server == "a"
    assert isinstance(setup.select(), NoServer)


def test_a_server_that_is_heard_to_be_warm_needs_no_permit():
    setup = Setup("a")
    setup.hear("a", 0.0, s_ago=0.5)
    assert setup.select().run.server == "a"
    assert not setup.questions


def test_services_without_a_rate_are_served_as_before():
    setup = Setup("a", per_s=None)
    setup.server("a").record_cold(10.0, setup.clock.monotonic())
    setup.hear("a", 10.0)
    assert setup.select().run.server == "a"
    assert not setup.questions


def test_a_warm_server_takes_what_a_cold_one_has_no_permit_for():
    setup = Setup("cold", "warm")
    setup.hear("warm", 0.0)
    now = setup.clock.monotonic()
    for _ in range(4):
        setup.server("warm").track_request(now).__enter__()
    began = setup.clock.monotonic()
    assert {setup.select().run.server for _ in range(5)} == {"warm"}
    assert setup.clock.monotonic() == began
    setup.grant(1)
    assert "cold" in {setup.select().run.server for _ in range(5)}


def test_permits_from_before_the_server_was_cold_are_dropped():
    # A gateway may hold 8 permits for a named limit far above the rate of a cold server.
    setup = Setup("a")
    setup.hear("a", 0.0)
    run = setup.server("a").run
    setup.limits.record(run, 60.0, sent_at=setup.clock.monotonic())
    assert not setup.limits.try_take(run)
    setup.grant(8)
    assert setup.limits.try_take(run)
    setup.server("a").record_cold(10.0, setup.clock.monotonic())
    assert not setup.limits.try_take(run)


def test_a_request_is_not_sent_long_after_its_permit_also_once_the_server_is_replaced():
    setup = Setup("a")
    server, selected_at = setup.server("a"), setup.clock.monotonic()
    assert setup.limits.may_send(server, selected_at=selected_at)
    setup.clock.advance(MAX_SEND_DELAY_S + 0.01)
    assert not setup.limits.may_send(server, selected_at=selected_at)
    # All requests that waited for connections of a former incarnation were once sent to it.
    setup.view.install_snapshot(RoutedSnapshot.of(RoutedImage(index=LogIndex(2))))
    assert setup.server("a") is None
    assert not setup.limits.may_send(server, selected_at=selected_at)


def test_a_request_that_was_selected_without_a_permit_is_not_sent_to_a_server_that_is_cold_again():
    setup = Setup("a")
    setup.hear("a", 0.0)
    server, selected_at = setup.server("a"), setup.clock.monotonic()
    setup.clock.advance(0.01)
    server.record_cold(10.0, setup.clock.monotonic())
    assert not setup.limits.may_send(server, selected_at=selected_at)


def test_an_evacuation_that_is_taken_back_makes_servers_cold_until_a_later_heartbeat():
    setup = Setup("a")
    setup.hear("a", 0.0)
    setup.server("a").assume_cold(setup.clock.monotonic())
    setup.hear("a", 0.0, s_ago=0.2)
    assert isinstance(setup.select(), NoServer)
    setup.clock.advance(1.0)
    setup.hear("a", 0.0)
    assert setup.select().run.server == "a"


def test_what_a_server_tells_one_gateway_is_reported_to_the_leader_once():
    setup = Setup("a")
    setup.hear("a", 0.0)
    setup.clock.advance(1.0)
    setup.server("a").record_cold(10.0, setup.clock.monotonic())
    (told,) = setup.cold.take_report().servers
    assert told.remaining_ms == pytest.approx(10_000, abs=2)
    assert setup.cold.take_report() is None
