"""A service's keys are granted in the way of the configuration in force.

CONFIG: keys went on to be granted in the way of an older configuration.
"""

import asyncio

from msgspec.structs import replace

from lychee_control.registry.heartbeat_delivery import HeartbeatDelivery
from lychee_types.registry_commands import ChangeRouting, encode_routed_command
from lychee_types.routing import GrantWay

from .test_grant_runs import SERVICE, Run


class ChangedWay(Run):
    """A run in which an operator changes the way of granting."""

    async def play(self):
        self.group.elect()
        await asyncio.sleep(0.1)
        known = self.group.state.routing
        service = replace(known.services[0], grants=GrantWay.HEARTBEAT)
        change = ChangeRouting(
            number=2, based_on=1, change=replace(known, services=(service,)), digest=b"d" * 16
        )
        self.group.apply(encode_routed_command(change))
        await asyncio.sleep(1.0)
        self.delivery = self.group.leader._range_managers[SERVICE].delivery
        self.group.leader.stop()
        await asyncio.gather(*self.group.tasks)


def test_a_changed_way_of_granting_is_in_force_in_the_same_term():
    run = ChangedWay(0, way=GrantWay.CALL).go()
    assert isinstance(run.delivery, HeartbeatDelivery)
