"""What a control replica sends a gateway to bring it up to date."""

from lychee_control.registry.machine import MAX_LATER_DELTAS, RoutedMachine
from lychee_types.ids import LogIndex
from lychee_types.registry import ServerIncarnation
from lychee_types.registry_commands import ChangeRouting, RemoveServer, encode_routed_command
from lychee_types.registry_messages import RoutedDeltas, RoutedSnapshot
from lychee_types.routing import (
    Route,
    RoutedService,
    RouteKind,
    Routing,
    ServiceShare,
    VirtualHost,
)


def make_machine():
    return RoutedMachine(on_applied=lambda delta, outcome: None, on_restored=lambda: None)


def apply(machine, command):
    machine.apply(LogIndex(machine.state.index + 1), encode_routed_command(command))


def remove_server(machine, number):
    apply(machine, RemoveServer(run=ServerIncarnation(server=f"s{number}", incarnation=1)))


def test_a_gateway_that_is_a_little_behind_gets_the_commands_that_it_lacks():
    machine = make_machine()
    for number in range(5):
        remove_server(machine, number)
    (deltas,) = machine.updates_since(LogIndex(3))
    assert isinstance(deltas, RoutedDeltas)
    assert [delta.index for delta in deltas.entries()] == [4, 5]
    assert machine.updates_since(LogIndex(5)) == ()


def test_gateways_that_attach_after_each_other_share_a_snapshot():
    machine = make_machine()
    remove_server(machine, 1)
    (first,) = machine.updates_since(LogIndex(0))
    remove_server(machine, 2)
    shared, later = machine.updates_since(LogIndex(0))
    assert isinstance(first, RoutedSnapshot)
    assert shared is first
    assert [delta.index for delta in later.entries()] == [2]
    for number in range(MAX_LATER_DELTAS + 1):
        remove_server(machine, number)
    (anew,) = machine.updates_since(LogIndex(0))
    assert anew.image() == machine.state.image()


def routing(version, routes):
    shares = (ServiceShare(service="claim", weight=1),)
    return Routing(
        services=(
            RoutedService(name="claim", health_path="/", connections=9, protocol="h1", tls=False),
        ),
        hosts=(
            VirtualHost(
                host="x",
                routes=tuple(
                    Route(
                        name=f"route-{number}",
                        prefix=f"/{(number * 104729 + version) % 1299709}/",
                        kind=RouteKind.SAFE,
                        shares=shares,
                        timeout_s=1.0,
                        target_latency_s=0.1,
                        priority=1,
                        max_attempts=2,
                    )
                    for number in range(routes)
                ),
            ),
        ),
    )


def test_a_gateway_gets_a_snapshot_in_place_of_several_large_configurations():
    machine = make_machine()
    remove_server(machine, 1)
    for version in range(1, 9):
        change = routing(version, 1_000)
        command = ChangeRouting(
            number=version, based_on=version - 1, change=change, digest=bytes([version] * 16)
        )
        apply(machine, command)
    (snapshot,) = machine.updates_since(LogIndex(1))
    assert isinstance(snapshot, RoutedSnapshot)
    assert snapshot.image() == machine.state.image()
    assert snapshot.image().version.number == 8
