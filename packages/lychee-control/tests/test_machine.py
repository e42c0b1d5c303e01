"""The state machine behind the log and what late gateways are sent."""

import pytest

from lychee_control.machine import ControlMachine
from lychee_control.recent import DELTA_LIMIT
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
    ("have", "kind"),
    [
        (0, Snapshot),
        (1, Snapshot),
        (99, Snapshot),
        (100, Deltas),
        (DELTA_LIMIT + 99, Deltas),
        (DELTA_LIMIT + 100, type(None)),
        (DELTA_LIMIT + 101, Snapshot),
    ],
)
def test_a_late_gateway_gets_deltas_or_a_snapshot(have: int, kind: type) -> None:
    machine = machine_with(DELTA_LIMIT + 100)
    assert type(machine.catch_up(have)) is kind


def test_deltas_lead_to_the_same_state_as_the_snapshot() -> None:
    machine = machine_with(50)
    behind = machine_with(20)
    missing = machine.catch_up(20)
    assert isinstance(missing, Deltas)
    for delta in missing.entries:
        behind.state.apply(delta.index, delta.command)
    assert behind.state.image() == machine.state.image()


def test_gateways_never_see_the_ledger() -> None:
    machine = machine_with(3)
    assert machine.apply(4, encode_command(open_entry("booking/1"))) == LedgerOpened()
    machine.apply(5, encode_command(Noop()))
    machine.apply(6, encode_command(join(9)))
    missing = machine.catch_up(3)
    assert isinstance(missing, Deltas)
    assert [delta.index for delta in missing.entries] == [6]
    snapshot = machine.catch_up(0)
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
    assert isinstance(other.catch_up(2), Snapshot)
    assert other.catch_up(4) is None
    assert ClusterState(image=other.state.image()).ledger.find("booking/1") is not None
