"""Whether a server has ended is told from a cut, by what other gateways and servers show."""

import asyncio
import math
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import pytest

from lychee_gateway.proxy import paths as paths_module
from lychee_gateway.proxy import peers as peers_module
from lychee_gateway.proxy.carrier import Carrier
from lychee_gateway.proxy.paths import ServerPaths
from lychee_gateway.proxy.peers import Peers
from lychee_gateway.proxy.server_list import ServerList
from lychee_ranges import RoutedState
from lychee_runtime.ports import free_endpoint
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, GatewayId, Incarnation, LogIndex, ServerId, ServiceName
from lychee_types.peer_messages import GatewayReport, KnownGateway, KnownGateways
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, RoutedImage, ServerIncarnation

GATEWAYS = 6

SERVERS = 4

DOMAIN = DomainName("d")

SEEDS = range(12)
"""Seeds of the gateways' choices whom to ask."""


LONG_S = 10.0
"""Bounds of waits that nothing in these tests comes near to, however busy the machine is."""


@pytest.fixture(autouse=True)
def long_bounds(monkeypatch):
    """Leave the decision to what gateways and servers reply, not to when."""
    for module, name in [
        (paths_module, "END_CHECK_S"),
        (paths_module, "CARRIED_END_CHECK_S"),
        (peers_module, "ASK_TIMEOUT_S"),
    ]:
        monkeypatch.setattr(module, name, LONG_S)


def run_of(number):
    return ServerIncarnation(server=ServerId(f"s{number}"), incarnation=Incarnation(1))


def image_of(endpoints):
    records = tuple(
        RegisteredServer(
            run=run_of(number),
            endpoint=endpoint,
            domain=DOMAIN,
            service=ServiceName("s"),
            release="1",
            slots=1,
        )
        for number, endpoint in enumerate(endpoints)
    )
    return RoutedImage(index=LogIndex(1), servers=records)


class Gateway:
    """The part of a gateway that opens connections, for itself and for others."""

    def __init__(self, number, endpoints, *, seed):
        self.id = GatewayId(f"g{number}")
        self.carry = free_endpoint()
        self.clock = SystemClock()
        self.servers = ServerList(clock=self.clock, as_of=lambda: -math.inf)
        self.servers.sync(RoutedState(image=image_of(endpoints)))
        self.peers = Peers(own_id=self.id, clock=self.clock, rng=Random(seed))
        self.tasks = set()
        self.paths = ServerPaths(
            gateway=self.id,
            domain=DOMAIN,
            carry=self.carry,
            servers=self.servers,
            peers=self.peers,
            spawn=self.spawn,
            on_connection=lambda service, way, exc: None,
            clock=self.clock,
            rng=Random(seed),
        )
        self.paths.sync()
        self.carrier = Carrier(
            endpoint=self.carry,
            servers=self.servers,
            connect=self.paths.connect,
            on_request=lambda outcome: None,
            on_bytes=lambda size: None,
        )

    def spawn(self, work, name):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def server(self, number):
        return self.servers.find(run_of(number))

    def cut_from(self, number):
        """Let a server refuse this gateway's connections from now on."""
        self.server(number).pool.endpoint = free_endpoint()

    async def has_ended(self, number):
        return await self.paths.has_ended(self.server(number))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers.all():
            server.pool.close()
        await self.carrier.close()

    def known(self):
        report = GatewayReport(
            gateway=self.id, domain=DOMAIN, carry=self.carry, reaches_none=False, unreached=()
        )
        return KnownGateway(report=report, ms_ago=0)


@asynccontextmanager
async def deployed(*, gateways=GATEWAYS, seed=1):
    """Yield gateways that know each other, and the listeners of their servers."""
    async with AsyncExitStack() as stack:
        loop = asyncio.get_running_loop()
        listeners = [
            await loop.create_server(asyncio.Protocol, "127.0.0.1", 0) for _ in range(SERVERS)
        ]
        for listener in listeners:
            stack.callback(listener.close)
        addresses = [listener.sockets[0].getsockname() for listener in listeners]
        endpoints = [Endpoint(host=host, port=port) for host, port in addresses]
        started = [Gateway(number, endpoints, seed=seed) for number in range(gateways)]
        news = KnownGateways(gateways=tuple(gateway.known() for gateway in started))
        for gateway in started:
            gateway.peers.receive_news(news)
            gateway.carrier.start()
            stack.push_async_callback(gateway.close)
        yield started, listeners


def play(scenario, **options):
    async def body():
        async with asyncio.timeout(30), deployed(**options) as (gateways, listeners):
            await scenario(gateways, listeners)

    asyncio.run(body())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_server_that_one_gateway_reaches_has_not_ended(seed):
    async def scenario(gateways, listeners):
        for gateway in gateways[:-1]:
            gateway.cut_from(0)
        assert [await gateway.has_ended(0) for gateway in gateways] == [False] * GATEWAYS

    play(scenario, seed=seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_server_that_no_gateway_reaches_has_ended(seed):
    async def scenario(gateways, listeners):
        listeners[0].close()
        assert [await gateway.has_ended(0) for gateway in gateways] == [True] * GATEWAYS

    play(scenario, seed=seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_gateway_that_was_silent_a_moment_ago_is_asked_too(seed):
    async def scenario(gateways, listeners):
        for gateway in gateways[:-1]:
            gateway.cut_from(0)
            gateway.peers._wait_before(gateways[-1].known().report, math.inf)
        assert [await gateway.has_ended(0) for gateway in gateways] == [False] * GATEWAYS

    play(scenario, seed=seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_server_has_ended_though_others_end_at_the_same_time(seed):
    async def scenario(gateways, listeners):
        for listener in listeners[:-1]:
            listener.close()
        assert await gateways[0].has_ended(0)

    play(scenario, gateways=1, seed=seed)


@pytest.mark.parametrize("gateways", [1, GATEWAYS])
def test_no_server_has_ended_for_gateways_that_reach_none(gateways):
    async def scenario(gateways, listeners):
        for gateway in gateways:
            for number in range(SERVERS):
                gateway.cut_from(number)
        assert [await gateway.has_ended(0) for gateway in gateways] == [False] * len(gateways)

    play(scenario, gateways=gateways)
