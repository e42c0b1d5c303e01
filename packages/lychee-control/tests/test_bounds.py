"""What a control replica holds beside its log is bounded in bytes, however large the changes are.

Guards against replicas that some hundred large changes take beyond their VM's memory.
"""

import asyncio
import gc
import sys
from types import FunctionType, ModuleType

import pytest
from msgspec import Raw
from msgspec.msgpack import encode

from lychee_control.machine import ControlMachine
from lychee_control.memory import GATEWAYS_BYTES, LEAST_GATEWAY_BYTES, RECENT_BYTES, ReplicaMemory
from lychee_control.peers import LogMessage, frame_bytes
from lychee_control.registry.machine import RoutedMachine
from lychee_control.registry.subscribers import Subscribers
from lychee_log.messages import AppendRequest, InstallSnapshot
from lychee_log.records import Entry, GroupId, Membership, Snapshot, StorageId
from lychee_runtime import Link
from lychee_types.commands import SubmitDocument, encode_command
from lychee_types.document import Document
from lychee_types.ids import LogIndex, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.registry_commands import ChangeRouting, encode_routed_command
from lychee_types.registry_messages import (
    EncodedDelta,
    Pulse,
    RoutedDelta,
    RoutedDeltas,
    RoutedSnapshot,
)
from lychee_types.routed_settings import VmLimits

from .test_registry_updates import routing

ROUTES = 2_108
CHANGES = 60
HELD_BYTES = 4 * RECENT_BYTES
"""The recent commands, and the state in force as objects."""


def change(version):
    return ChangeRouting(
        number=version,
        based_on=version - 1,
        change=routing(version, ROUTES),
        digest=bytes([version] * 16),
    )


def held_bytes(root):
    """Return the size of all objects that one holds, in bytes."""
    seen, waiting, size = set(), [root], 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, type | ModuleType | FunctionType):
            continue
        seen.add(id(item))
        size += sys.getsizeof(item)
        if isinstance(item, Raw):
            size += len(memoryview(item))
        waiting += gc.get_referents(item)
    return size


def test_large_changes_are_kept_for_gateways_only_up_to_a_size():
    machine = RoutedMachine(on_applied=lambda *_: None, on_restored=lambda: None)
    for version in range(1, CHANGES + 1):
        machine.apply(LogIndex(version), encode_routed_command(change(version)))
    assert machine.state.version.number == CHANGES
    assert held_bytes(machine) <= HELD_BYTES
    (snapshot,) = machine.updates_since(LogIndex(1))
    assert isinstance(snapshot, RoutedSnapshot)
    (delta,) = machine.updates_since(LogIndex(CHANGES - 1))
    assert delta.entries() == (RoutedDelta(index=LogIndex(CHANGES), command=change(CHANGES)),)


def test_large_documents_are_kept_for_gateways_only_up_to_a_size():
    machine = ControlMachine(on_applied=lambda *_: None, on_restored=lambda: None)
    for number in range(CHANGES):
        command = SubmitDocument(
            submission=f"{number}",
            based_on=-1,
            author="a" * 300_000,
            document=Document(organisation="o", domains=(), services=()),
        )
        machine.apply(LogIndex(number + 1), encode_command(command))
    assert held_bytes(machine._recent) <= RECENT_BYTES + 300_000


def test_a_kept_command_is_sent_as_the_release_before_sends_it():
    command = change(1)
    kept = EncodedDelta(index=LogIndex(1), command=Raw(encode_routed_command(command)))
    former = RoutedDelta(index=LogIndex(1), command=command)
    assert encode(kept) == encode(former)
    assert RoutedDeltas.of((kept,)).packed == RoutedDeltas.of((former,)).packed


class SilentStream:
    """A stream whose peer reads nothing."""

    async def send_message(self, message):
        await asyncio.Event().wait()

    async def recv_message(self):
        await asyncio.Event().wait()


@pytest.mark.parametrize("gateways", [1, 80])
def test_a_stream_ends_once_its_gateway_is_too_far_behind(gateways):
    subscribers = Subscribers(
        machine=RoutedMachine(on_applied=lambda *_: None, on_restored=lambda: None),
        on_note=lambda session, note: None,
        pulse=lambda at: Pulse(asked_at=at, index=LogIndex(0), age_ms=0, gateways=1, replicas=()),
        news=lambda: (),
    )
    memory = ReplicaMemory()
    subscribers._followers |= {object() for _ in range(gateways)}
    bound = memory.bytes_a_gateway(gateways)
    link = Link(stream=SilentStream(), peer="gateway", bound=subscribers.pending_bound(memory))
    held = []
    while not link.closed and len(held) < 10_000:
        link.post(RoutedDeltas(packed=bytes(20_000)))
        held.append(link.pending_bytes)
    assert link.closed and link.pending_bytes == 0
    assert bound <= max(held) <= bound + 40_000
    link.post(RoutedDeltas(packed=bytes(20_000)))
    assert link.pending_bytes == 0


def test_a_state_of_any_size_is_sent_to_a_gateway_that_reads():
    async def scenario():
        memory = ReplicaMemory(gateways_bytes=1)
        sent = []

        class Stream(SilentStream):
            async def send_message(self, message):
                sent.extend(message)

        subscribers = Subscribers(
            machine=RoutedMachine(on_applied=lambda *_: None, on_restored=lambda: None),
            on_note=lambda session, note: None,
            pulse=lambda at: None,
            news=lambda: (),
        )
        link = Link(stream=Stream(), peer="gateway", bound=subscribers.pending_bound(memory))
        link.post(RoutedSnapshot(index=LogIndex(1), packed=bytes(10 * LEAST_GATEWAY_BYTES)))
        link.post(RoutedDeltas(packed=bytes(100)))
        writer = asyncio.create_task(link.run_writer())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        writer.cancel()
        return link.closed, len(sent)

    assert asyncio.run(scenario()) == (False, 2)


def test_entries_and_snapshots_for_a_silent_replica_count():
    header = {
        "sender": ReplicaId("a"),
        "endpoint": Endpoint(host="10.0.0.1", port=1),
        "storage": StorageId(1),
        "to": ReplicaId("b"),
        "to_storage": StorageId(2),
        "group": GroupId(1),
        "term": 1,
        "sent": 0.0,
    }
    entries = tuple(Entry(index=LogIndex(n), term=1, data=bytes(1_000)) for n in (1, 2))
    append = AppendRequest(
        prev_index=LogIndex(0), prev_term=0, entries=entries, commit=LogIndex(0), **header
    )
    snapshot = Snapshot(index=LogIndex(2), term=1, members=Membership(), data=bytes(3_000))
    install = InstallSnapshot(snapshot=snapshot, **header)
    assert [frame_bytes(LogMessage(message=message)) for message in (append, install)] == [
        2_000,
        3_000,
    ]


@pytest.mark.parametrize(
    "vm",
    [
        VmLimits(memory_mb=296, disk_mb=256),
        VmLimits(memory_mb=296),
        VmLimits(memory_mb=4_096, disk_mb=64),
        VmLimits(memory_mb=96),
    ],
    ids=str,
)
def test_the_bounds_share_a_quarter_of_what_the_vm_has_beside_the_process(vm):
    memory = ReplicaMemory.of_vm(vm)
    room = (vm.memory_mb - 64) * 250_000
    if vm.disk_mb:
        room = min(room, vm.disk_mb * 250_000)
    assert memory.log.total_bytes + memory.recent_bytes + memory.gateways_bytes <= room
    assert memory.bytes_a_gateway(1) <= GATEWAYS_BYTES


def test_a_vm_whose_limits_are_not_known_has_the_default_bounds():
    assert ReplicaMemory.of_vm(VmLimits()) == ReplicaMemory()
