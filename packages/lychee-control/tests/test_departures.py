"""Departures of servers: every later leader knows an acknowledged one, whatever heartbeats say."""

import asyncio

import pytest
from msgspec import Struct
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from lychee_control.registry.heartbeats import HeartbeatTracker
from lychee_control.registry.machine import RoutedMachine
from lychee_control.registry.orders import Heard, Heartbeat, Leave, Refused, Unavailable
from lychee_control.registry.registrations import RegistrationDesk
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.registry_commands import (
    RegisterServer,
    RemoveServer,
    RoutedCommand,
    decode_routed_command,
    encode_routed_command,
)
from lychee_types.routing import Routing

REPLICA = Endpoint(host="10.0.0.9", port=1)


def server(number, *, name="a", port=1, is_leaving=False):
    return RegisteredServer(
        run=ServerIncarnation(server=ServerId(name), incarnation=Incarnation(number)),
        endpoint=Endpoint(host="10.0.0.1", port=port),
        domain=DomainName("d"),
        service=ServiceName("s"),
        release="1",
        slots=1,
        is_leaving=is_leaving,
    )


class Group:
    """Replicas with one state, and a leader whose commits are applied at once unless it is cut off.

    :param log: commands that former leaders have committed.
    """

    def __init__(self, log=()):
        self.machine = RoutedMachine(on_applied=lambda *_: None, on_restored=lambda: None)
        self.log = []
        self.is_cut_off = False
        for command in log:
            self.apply(command)
        self.elect()

    def elect(self):
        """Let another replica lead, whose state comes from a snapshot."""
        data, index = self.machine.snapshot(), self.machine.state.index
        self.machine = RoutedMachine(on_applied=lambda *_: None, on_restored=lambda: None)
        self.machine.restore(data, index)
        self.desk = RegistrationDesk(
            state=self.machine.state,
            propose=self.propose,
            heartbeats=HeartbeatTracker(now=0.0),
            record_cold=lambda server: None,
            answer_with_keys=self.answer_with_keys,
            clock=SystemClock(),
            endpoint=REPLICA,
            max_silence_s=0.0,
            drain_s=0.0,
        )

    def apply(self, command):
        self.log.append(command)
        index = LogIndex(self.machine.state.index + 1)
        return self.machine.apply(index, encode_routed_command(command))

    async def propose(self, command):
        return None if self.is_cut_off else self.apply(command)

    async def answer_with_keys(self, heartbeat, received_at, *, may_wait):
        return Heard(next_at=REPLICA)

    def beat(self, item, sequence=1):
        return asyncio.run(self.desk.answer_heartbeat(Heartbeat(server=item, sequence=sequence)))

    def leave(self, number, name="a"):
        return asyncio.run(self.desk.answer_leave(Leave(server=name, incarnation=number)))

    def ready(self):
        """Return the incarnations that get requests."""
        servers = self.machine.state.servers.values()
        return [item.run for item in servers if not item.is_leaving]


@pytest.mark.parametrize("known", [(), (server(1),)], ids=["unknown", "another incarnation"])
def test_a_leader_that_cannot_commit_acknowledges_no_departure(known):
    # It was suspended, and knows nothing of a server that a later leader has registered.
    group = Group([RegisterServer(server=item) for item in known])
    group.is_cut_off = True
    assert isinstance(group.leave(2), Unavailable)


@pytest.mark.parametrize("number", [None, 0])
def test_no_departure_of_a_server_that_names_no_start_is_acknowledged_without_a_commit(number):
    group = Group()
    group.is_cut_off = True
    assert isinstance(group.leave(number), Unavailable)
    group.is_cut_off = False
    assert isinstance(group.leave(number), Heard)
    group.elect()
    assert isinstance(group.beat(server(0)), Refused) and not group.ready()


@pytest.mark.parametrize("elections", [0, 1])
@pytest.mark.parametrize(
    "before",
    [(), (server(1),), (server(3),), (server(2),), (server(2), server(3, name="b"))],
    ids=["unknown", "older", "younger", "known", "address taken"],
)
def test_a_heartbeat_that_arrives_after_an_acknowledged_departure_registers_nothing(
    before, elections
):
    group = Group([RegisterServer(server=item) for item in before])
    assert isinstance(group.leave(2), Heard)
    for other in before:
        group.apply(RemoveServer(run=other.run))
    for _ in range(elections):
        group.elect()
    group.beat(server(2))
    assert not group.ready()


@pytest.mark.parametrize(
    "successor", [server(3), server(3, name="b")], ids=["same id", "same address"]
)
def test_a_departure_is_known_after_a_successor_has_come_and_gone(successor):
    group = Group([RegisterServer(server=server(2))])
    assert isinstance(group.leave(2), Heard)
    assert isinstance(group.beat(successor), Heard) and group.ready() == [successor.run]
    group.apply(RemoveServer(run=successor.run))
    group.elect()
    for sequence in range(2, 4):
        group.beat(server(2), sequence)
    assert not group.ready()


def test_a_heartbeat_beside_a_departure_that_is_being_committed_does_not_take_it_back():
    group = Group([RegisterServer(server=server(1))])
    waiting = []

    async def propose(command):
        # Commits take as long as the test wishes, and keep their order.
        done = asyncio.get_running_loop().create_future()
        waiting.append((command, done))
        return await done

    async def body():
        group.desk._propose = propose
        leave = asyncio.create_task(group.desk.answer_leave(Leave(server="a", incarnation=1)))
        await asyncio.sleep(0)
        changed = replace(server(1), slots=7)
        beat = asyncio.create_task(
            group.desk.answer_heartbeat(Heartbeat(server=changed, sequence=1))
        )
        await asyncio.sleep(0)
        for command, done in waiting:
            done.set_result(group.apply(command))
        return await leave, await beat

    leave, beat = asyncio.run(body())
    assert isinstance(leave, Heard) and isinstance(beat, Heard)
    assert not group.ready()


def test_a_departure_is_recorded_though_its_service_has_been_removed():
    # The service may be configured again, while the server still runs.
    group = Group([RegisterServer(server=server(1))])
    group.machine.state.version = replace(group.machine.state.version, number=1, routing=Routing())
    assert isinstance(group.leave(1), Heard)
    assert not group.ready()


def test_a_heartbeat_sent_again_acknowledges_no_departure_that_is_not_committed():
    group = Group([RegisterServer(server=server(1))])
    group.is_cut_off = True
    leaving = server(1, is_leaving=True)
    assert isinstance(group.beat(leaving), Unavailable)
    assert isinstance(group.beat(leaving), Unavailable)
    group.apply(RegisterServer(server=leaving))
    assert isinstance(group.beat(leaving), Heard)


def test_a_departure_is_acknowledged_again_without_a_second_record():
    group = Group()
    assert isinstance(group.leave(2), Heard)
    entries = len(group.log)
    assert isinstance(group.leave(2), Heard) and len(group.log) == entries


class FormerImage(Struct, frozen=True, kw_only=True):
    """What the release before stores and reads of ended incarnations."""

    index: LogIndex
    servers: tuple[RegisteredServer, ...] = ()
    ended: tuple[ServerIncarnation, ...] = ()


def test_a_replica_of_the_release_before_reads_the_record_and_this_one_reads_its():
    group = Group()
    group.leave(2)
    (command,) = group.log
    assert isinstance(decode_routed_command(encode(command)), RoutedCommand)
    assert command == RemoveServer(run=server(2).run)
    former = decode(group.machine.snapshot(), type=FormerImage)
    assert former.ended == (server(2).run,)
    group.machine.restore(encode(former), former.index)
    group.elect()
    assert isinstance(group.beat(server(2)), Refused) and not group.ready()
