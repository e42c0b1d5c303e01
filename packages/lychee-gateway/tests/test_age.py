"""What a gateway may do with a state of some age."""

import asyncio

import pytest
import uvloop

from lychee_gateway.proxy.age import StateAge
from lychee_gateway.proxy.view import RoutedView
from lychee_types.ids import LogIndex
from lychee_types.registry import RoutedImage
from lychee_types.registry_messages import RoutedSnapshot
from lychee_types.routing import RoutingVersion

APPLY_S = 2.0


class ManualClock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


class Gateway:
    """A gateway's view and its age, with a clock that is set by hand."""

    def __init__(self):
        self.clock = ManualClock()
        self.view = RoutedView()
        self.running_since = self.clock.now
        self.age = StateAge(
            view=self.view,
            clock=self.clock,
            apply_s=APPLY_S,
            running_since=lambda: self.running_since,
        )

    def install(self, index, version=1):
        image = RoutedImage(index=LogIndex(index), version=RoutingVersion(number=version))
        self.view.install_snapshot(RoutedSnapshot.of(image))

    def hear(self, index):
        """Hear a replica whose state is current as of now."""
        self.age.record_pulse(as_of=self.clock.now, index=LogIndex(index))

    def uses(self):
        return self.age.is_usable, self.age.is_current


def test_a_confirmed_state_is_current_for_as_long_as_a_change_may_take():
    gateway = Gateway()
    gateway.install(5)
    gateway.hear(5)
    assert gateway.uses() == (True, True)
    gateway.clock.now += APPLY_S
    assert gateway.uses() == (True, True)


def test_a_state_that_stays_behind_a_current_replica_is_not_used():
    gateway = Gateway()
    gateway.install(5)
    gateway.hear(5)
    for _ in range(3):
        gateway.clock.now += 1.0
        gateway.hear(6)
    assert gateway.uses() == (False, False)
    gateway.install(6)
    gateway.hear(6)
    assert gateway.uses() == (True, True)


def test_a_confirmed_state_forwards_and_denies_nothing_while_no_current_replica_is_heard():
    gateway = Gateway()
    gateway.install(5)
    gateway.hear(5)
    gateway.clock.now += 60.0
    assert gateway.uses() == (True, False)
    gateway.hear(6)
    assert gateway.uses() == (False, False)


def test_after_a_pause_an_old_state_is_not_used_until_the_gateway_has_listened_for_long_enough():
    gateway = Gateway()
    gateway.install(5)
    gateway.hear(5)
    gateway.clock.now += 60.0
    gateway.running_since = gateway.clock.now
    assert gateway.uses() == (False, False)
    gateway.clock.now += APPLY_S + 0.1
    assert gateway.uses() == (True, False)
    gateway.running_since = gateway.clock.now
    gateway.hear(5)
    assert gateway.uses() == (True, True)


@pytest.mark.parametrize(("waited_s", "is_usable"), [(0.0, True), (APPLY_S + 0.1, False)])
def test_a_state_that_was_never_confirmed_is_used_for_a_short_time_only(waited_s, is_usable):
    gateway = Gateway()
    assert gateway.uses() == (False, False)
    gateway.install(5)
    gateway.clock.now += waited_s
    gateway.install(6)
    assert gateway.uses() == (is_usable, False)
    assert gateway.age.age_ms is None


def test_a_request_waits_until_the_state_is_usable():
    async def scenario():
        gateway = Gateway()
        waiting = asyncio.create_task(gateway.age.wait_until_usable(60.0))
        await asyncio.sleep(0)
        assert not waiting.done()
        gateway.install(5)
        await asyncio.wait_for(waiting, 10)

    asyncio.run(scenario())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_routes_that_arrive_while_the_loop_is_busy_are_there_when_the_wait_ends(run, busy_loop):
    async def scenario():
        gateway = Gateway()
        busy_loop(lambda: gateway.install(5), 0.2)
        await gateway.age.wait_until_usable(0.1)
        assert gateway.age.is_usable

    run(scenario())
