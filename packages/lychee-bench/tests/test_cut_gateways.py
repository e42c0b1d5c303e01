"""The simulation of gateways that are cut off."""

from lychee_bench.experiments.catalog import EXPERIMENTS
from lychee_bench.experiments.cuts import measure_cut_gateways


def _measure() -> dict[str, float]:
    return {m.name: m.value for m in measure_cut_gateways(EXPERIMENTS["cut-gateways"])}


def test_the_simulation_gives_the_same_figures_each_time_and_refuses_nobody_at_half() -> None:
    measures = _measure()
    assert measures == _measure()
    assert measures["cut-gateways.50-of-100.refused-settled"] == 0.0
    assert measures["cut-gateways.1-of-100.asked-opening"] == 1.0
