"""The operator service of a replica that does not lead: where it refers operators to."""

import asyncio
from types import SimpleNamespace

import pytest

from lychee_control.machine import ControlMachine
from lychee_control.operator_service import OperatorService
from lychee_log import ReplicaAddress
from lychee_types.clock import SystemClock
from lychee_types.operator_messages import (
    ShowRequest,
)
from lychee_types.records import Endpoint
from lychee_types.timing import Timing

ENDPOINTS = {name: Endpoint(host="127.0.0.1", port=n) for n, name in enumerate(("c1", "c2"), 1)}


class SingleRequestLink:
    """A stream that receives one request."""

    def __init__(self) -> None:
        self.replies: list[object] = []

    async def receive(self) -> tuple[ShowRequest, ...]:
        return () if self.replies else (ShowRequest(),)

    def post(self, reply: object) -> None:
        self.replies.append(reply)


@pytest.mark.parametrize(
    ("known", "leader", "unavailable"),
    [("c1", None, True), ("c2", ENDPOINTS["c2"], False), (None, None, True)],
)
def test_a_replica_refers_operators_to_the_leader_only_if_that_is_another_replica(
    known, leader, unavailable
) -> None:
    voter = ReplicaAddress(id=known, endpoint=ENDPOINTS[known]) if known else None
    service = OperatorService(
        replica=SimpleNamespace(
            id="c1", leader=voter, is_leader=False, lease_expires_at=lambda: 0.0
        ),
        machine=ControlMachine(on_applied=lambda *args: None, on_restored=lambda: None),
        timing=Timing(),
        clock=SystemClock(),
        leader=lambda: None,
        dump=lambda: "",
    )
    link = SingleRequestLink()
    asyncio.run(service.serve(link))
    assert (link.replies[0].leader, link.replies[0].unavailable) == (leader, unavailable)
