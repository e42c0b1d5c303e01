"""Experiments on placement, revocation and the leader's cost, with typed result rows.

The daemons do not use them. Each is seeded, so every run returns the same owners; only the measured
times differ.
"""

from lychee_owner.experiment.cost import CostRow, measure_cost
from lychee_owner.experiment.hotkeys import HotKeyRow, simulate_hot_keys
from lychee_owner.experiment.placement import PlacementRow, compare_placements
from lychee_owner.experiment.revocation import RevocationRow, compare_revocations

__all__ = [
    "CostRow",
    "HotKeyRow",
    "PlacementRow",
    "RevocationRow",
    "compare_placements",
    "compare_revocations",
    "simulate_hot_keys",
    "measure_cost",
]
