"""Tests that the experiments give results in line with the figures in the design documents."""

from lychee_owner.experiment import (
    compare_placements,
    compare_revocations,
    measure_cost,
    simulate_hot_keys,
)
from lychee_owner.experiment.cost import CostSize
from lychee_owner.experiment.placement import SIZES


def test_bounded_rendezvous_keeps_its_limit_and_moves_little() -> None:
    rows = {(row.policy, row.event): row for row in compare_placements(SIZES[1:2], repeats=3)}
    chosen, plain = rows["bounded rendezvous", "loss"], rows["rendezvous", "loss"]
    assert chosen.imbalance < 1.07 < plain.imbalance
    assert chosen.churn < 1.1 < rows["bounded ring", "loss"].churn
    assert chosen.shipped_bytes < rows["minimal table", "loss"].shipped_bytes


def test_placing_hot_keys_individually_evens_the_load() -> None:
    without, with_budget = simulate_hot_keys(SIZES[:1], budgets=(0, 10))
    assert with_budget.settled_imbalance < without.settled_imbalance - 0.2
    assert with_budget.settle_s < 120


def test_one_placement_change_revokes_any_number_of_keys() -> None:
    one, together, version = compare_revocations((2_000,))
    assert one.revoked == together.revoked == version.revoked == one.messages
    assert version.messages == 1 and version.sent_bytes < together.sent_bytes < one.sent_bytes


def test_the_command_that_begins_a_move_does_not_grow_with_the_servers() -> None:
    few, many = measure_cost((CostSize(servers=5, hot_keys=0), CostSize(servers=40, hot_keys=0)))
    assert many.begin_bytes == few.begin_bytes < 200
