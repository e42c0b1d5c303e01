"""The replicated state machine, and the updates that it sends to gateways that are behind."""

import pytest

from lychee_control.machine import ControlMachine
from lychee_control.recent import MAX_DELTAS
from lychee_owner.state import ClusterState
from lychee_types.commands import (
    JoinGateway,
    LedgerOpened,
    Noop,
    OpenLedger,
    encode_command,
)
from lychee_types.messages import (
    Deltas,
    Snapshot,
)
from lychee_types.records import GatewayRecord, LedgerEntry, LedgerStatus


def join(number: int) -> JoinGateway:
    return JoinGateway(gateway=GatewayRecord(id=f"g{number}", session=f"s{number}", domain="nord"))


def open_entry(key: str) -> OpenLedger:
    entry = LedgerEntry(key=key, digest=1, session="s", status=LedgerStatus.OPEN, opened_at=0.0)
    return OpenLedger(entry=entry)


def machine_with(count: int) -> ControlMachine:
    machine = ControlMachine(on_applied=lambda *args: None, on_restored=lambda: None)
    for index in range(1, count + 1):
        machine.apply(index, encode_command(join(index % 7)))
    return machine


@pytest.mark.parametrize(
    ("applied_index", "kind"),
    [
        (0, Snapshot),
        (1, Snapshot),
        (99, Snapshot),
        (100, Deltas),
        (MAX_DELTAS + 99, Deltas),
        (MAX_DELTAS + 100, type(None)),
        (MAX_DELTAS + 101, Snapshot),
    ],
)
def test_a_gateway_that_is_behind_gets_deltas_or_a_snapshot(applied_index: int, kind: type) -> None:
    machine = machine_with(MAX_DELTAS + 100)
    assert type(machine.updates_since(applied_index)) is kind


def test_deltas_lead_to_the_same_state_as_the_snapshot() -> None:
    machine = machine_with(50)
    behind = machine_with(20)
    updates = machine.updates_since(20)
    assert isinstance(updates, Deltas)
    for delta in updates.entries:
        behind.state.apply(delta.index, delta.command)
    assert behind.state.image() == machine.state.image()


def test_gateways_never_get_the_ledger() -> None:
    machine = machine_with(3)
    assert machine.apply(4, encode_command(open_entry("booking/1"))) == LedgerOpened()
    machine.apply(5, encode_command(Noop()))
    machine.apply(6, encode_command(join(9)))
    updates = machine.updates_since(3)
    assert isinstance(updates, Deltas)
    assert [delta.index for delta in updates.entries] == [6]
    snapshot = machine.updates_since(0)
    assert isinstance(snapshot, Snapshot) and snapshot.image.ledger == ()


def test_a_snapshot_restores_everything_and_is_passed_on() -> None:
    machine = machine_with(3)
    machine.apply(4, encode_command(open_entry("booking/1")))
    calls: list[str] = []
    other = ControlMachine(
        on_applied=lambda *args: None, on_restored=lambda: calls.append("restored")
    )
    other.restore(machine.snapshot(), 4)
    assert other.state.image() == machine.state.image()
    assert calls == ["restored"]
    assert isinstance(other.updates_since(2), Snapshot)
    assert other.updates_since(4) is None
    assert ClusterState(image=other.state.image()).ledger.find("booking/1") is not None
