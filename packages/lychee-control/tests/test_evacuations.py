"""Evacuation orders at the control replicas: the log, the replies, and who gets keys."""

import asyncio
from types import SimpleNamespace

import pytest
from loguru import logger
from msgspec import Struct
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from lychee_control.registry.evacuations import EvacuationDesk
from lychee_control.registry.heartbeats import HeartbeatTracker
from lychee_control.registry.machine import RoutedMachine
from lychee_control.registry.orders import (
    EvacuationOrder,
    EvacuationSet,
    Unavailable,
    UnknownDomain,
)
from lychee_control.registry.range_manager import RangeManager
from lychee_ranges import KeyTable, LoadTracker, RoutedState
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName, Token
from lychee_types.records import Endpoint
from lychee_types.registry import (
    GrantPhase,
    KeyRange,
    RegisteredServer,
    RoutedImage,
    ServerIncarnation,
)
from lychee_types.registry_commands import (
    EvacuateDomain,
    RegisterServer,
    encode_routed_command,
)

SERVICE = ServiceName("s")


def run_of(name):
    return ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1))


def server(name, domain):
    return RegisteredServer(
        run=run_of(name),
        endpoint=Endpoint(host="10.0.0.1", port=ord(name)),
        domain=DomainName(domain),
        service=SERVICE,
        release="1",
        slots=1,
    )


def evacuate(domain, is_evacuated=True):
    return EvacuateDomain(domain=DomainName(domain), is_evacuated=is_evacuated)


class FormerImage(Struct, frozen=True, kw_only=True):
    """The state as versions without evacuations store and send it."""

    index: LogIndex = LogIndex(0)
    servers: tuple[RegisteredServer, ...] = ()


def make_machine():
    return RoutedMachine(on_applied=lambda delta, outcome: None, on_restored=lambda: None)


def test_a_snapshot_keeps_the_evacuations():
    machine, other = make_machine(), make_machine()
    machine.apply(LogIndex(1), encode_routed_command(evacuate("nord")))
    other.restore(machine.snapshot(), LogIndex(1))
    assert other.state.evacuated == {"nord"}
    (snapshot,) = other.updates_since(LogIndex(0))
    assert RoutedState(image=snapshot.image()).evacuated == {"nord"}


def test_images_of_versions_without_evacuations_are_read_and_they_read_ours():
    machine = make_machine()
    machine.restore(encode(FormerImage(servers=(server("a", "nord"),))), LogIndex(0))
    assert machine.state.evacuated == set() and list(machine.state.servers) == ["a"]
    assert decode(machine.snapshot(), type=FormerImage).servers == (server("a", "nord"),)


class Desk:
    """A desk whose commits are applied at once, unless they are lost."""

    def __init__(self, *domains, known=()):
        self.state = RoutedState()
        for number, domain in enumerate(domains):
            self.apply(RegisterServer(server=server("abc"[number], domain)))
        self.proposed = []
        self.is_lost = False
        self.desk = EvacuationDesk(state=self.state, domains=known, propose=self.propose)

    def apply(self, command):
        return self.state.apply(LogIndex(self.state.index + 1), command)

    async def propose(self, command):
        self.proposed.append(command)
        return None if self.is_lost else self.apply(command)

    def order(self, domain, is_evacuated=True):
        order = EvacuationOrder(domain=DomainName(domain), is_evacuated=is_evacuated)
        return asyncio.run(self.desk.answer(order))


def test_an_order_is_acknowledged_once_it_is_committed():
    desk = Desk("nord")
    desk.is_lost = True
    assert isinstance(desk.order("nord"), Unavailable)
    desk.is_lost = False
    assert desk.order("nord") == EvacuationSet(domain="nord", is_evacuated=True)
    assert desk.state.evacuated == {"nord"}


def test_a_repeated_order_is_committed_again_as_an_opposite_one_may_be_under_way():
    desk = Desk("nord")
    for _ in range(2):
        assert desk.order("nord", False) == EvacuationSet(domain="nord", is_evacuated=False)
    assert desk.proposed == [evacuate("nord", False)] * 2


def test_only_known_domains_are_evacuated_but_any_evacuation_can_be_ended():
    desk = Desk(known=("nord", "syd"))
    assert desk.order("nrod") == UnknownDomain(domain="nrod") and not desk.proposed
    assert isinstance(desk.order("syd"), EvacuationSet)
    desk.apply(evacuate("former"))
    assert isinstance(desk.order("former", False), EvacuationSet)
    assert desk.state.evacuated == {"syd"}


@pytest.mark.parametrize("known", [(), ("nord", "syd", "vest")])
def test_the_evacuation_of_the_last_domain_is_carried_out_with_a_warning(known):
    lines = []
    handler = logger.add(lambda text: lines.append(text.record["extra"].get("event")))
    try:
        desk = Desk("nord", "syd", known=known)
        for domain in known[2:]:
            desk.order(domain)
        desk.order("nord")
        assert "all_evacuated" not in lines
        assert isinstance(desk.order("syd"), EvacuationSet)
        assert lines[-1] == "all_evacuated"
    finally:
        logger.remove(handler)


class Plans:
    """A range manager, with all keys at the server a, and what it plans."""

    def __init__(self, *servers):
        state = RoutedState(image=RoutedImage(index=LogIndex(1), servers=servers))
        keys = KeyRange(
            low=0, high=65_535, owner=run_of("a"), token=Token(5), phase=GrantPhase.ACTIVE
        )
        state.tables[SERVICE] = KeyTable(ranges=(keys,))
        self.state = state
        delivery = SimpleNamespace(
            is_ready=lambda run: True,
            is_lost=lambda run, now: False,
            may_move=lambda keys, now: True,
            update_owners=lambda owners, others: None,
            max_ranges_per_owner=9,
        )
        clock = SystemClock()
        self.manager = RangeManager(
            service=SERVICE,
            state=state,
            heartbeats=HeartbeatTracker(now=clock.monotonic()),
            loads=LoadTracker(now=clock.monotonic()),
            make_delivery=lambda table, writer: delivery,
            propose=None,
            spawn=lambda work, name: work.close(),
            clock=clock,
            limit_per_s=lambda run: None,
            heartbeat_s=60.0,
        )

    def order(self, domain, is_evacuated=True):
        self.state.apply(LogIndex(self.state.index + 1), evacuate(domain, is_evacuated))

    def plan(self):
        """Plan once, and return the moves as number of keys and next owner."""
        self.manager._plan_moves()
        moves, self.manager._pending_moves = self.manager._pending_moves, []
        return [(move.keys.size, move.new_owner.server) for move in moves]


def test_all_keys_leave_an_evacuated_domain():
    plans = Plans(server("a", "nord"), server("b", "syd"), server("c", "nord"))
    plans.order("nord")
    assert plans.plan() == [(65_536, "b")]
    assert not plans.manager._can_own(run_of("c")) and plans.manager._can_own(run_of("b"))


def test_no_key_returns_to_a_domain_while_it_is_evacuated():
    plans = Plans(server("a", "nord"), server("b", "syd"), server("c", "nord"))
    plans.order("nord")
    plans.state.tables[SERVICE] = KeyTable(
        ranges=(replace(plans.state.tables[SERVICE].ranges[0], owner=run_of("b"), token=Token(6)),)
    )
    assert plans.plan() == []
    plans.order("nord", False)
    assert {to for _, to in plans.plan()} == {"a", "c"}


def test_keys_stay_where_they_are_if_all_servers_of_their_service_are_evacuated():
    plans = Plans(server("a", "nord"), server("b", "syd"))
    plans.order("nord")
    plans.order("syd")
    assert plans.plan() == []
    plans.order("syd", False)
    assert plans.plan() == [(65_536, "b")]
