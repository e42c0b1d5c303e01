"""Which servers the manager of a service's key ranges takes for lost."""

import asyncio
from types import SimpleNamespace

import pytest
import uvloop

from lychee_control.registry.heartbeats import HeartbeatTracker
from lychee_control.registry.orders import Heartbeat
from lychee_control.registry.range_manager import MAX_MISSED_HEARTBEATS, RangeManager
from lychee_ranges import LoadTracker, RoutedState
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, RoutedImage, ServerIncarnation

SERVICE = ServiceName("s")
HEARTBEAT_S = 0.1
RUN = ServerIncarnation(server=ServerId("a"), incarnation=Incarnation(1))
SERVER = RegisteredServer(
    run=RUN,
    endpoint=Endpoint(host="10.0.0.1", port=1),
    domain=DomainName("d"),
    service=SERVICE,
    release="1",
    slots=1,
)


class Setup:
    """A manager that records at each plan which servers may get keys."""

    def __init__(self):
        self.clock = SystemClock()
        self.heartbeats = HeartbeatTracker(now=self.clock.monotonic())
        self.plans = asyncio.Queue()
        state = RoutedState(image=RoutedImage(index=LogIndex(1), servers=(SERVER,)))
        self.manager = RangeManager(
            service=SERVICE,
            state=state,
            heartbeats=self.heartbeats,
            loads=LoadTracker(now=self.clock.monotonic()),
            make_delivery=lambda table, writer: SimpleNamespace(),
            propose=None,
            spawn=lambda work, name: work.close(),
            clock=self.clock,
            limit_per_s=lambda run: None,
            heartbeat_s=HEARTBEAT_S,
        )
        self.manager._plan_moves = self._plan

    def _plan(self):
        candidates = self.manager._candidates(self.clock.monotonic())
        self.plans.put_nowait([item.server.run for item in candidates])

    def hear(self):
        heartbeat = Heartbeat(server=SERVER, sequence=1)
        self.heartbeats.record(heartbeat, self.clock.monotonic())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_server_whose_heartbeat_arrives_while_the_loop_is_busy_is_not_lost(run, busy_loop):
    async def scenario():
        setup = Setup()
        managing = asyncio.create_task(setup.manager.run())
        assert await setup.plans.get() == [RUN]
        busy_loop(setup.hear, 2 * MAX_MISSED_HEARTBEATS * HEARTBEAT_S)
        assert await setup.plans.get() == [RUN]
        managing.cancel()

    run(scenario())
