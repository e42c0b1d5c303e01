"""Charts of results: unavailable time, imbalance and churn."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean, median

import matplotlib
from matplotlib.axes import Axes
from msgspec import structs

from lychee_bench.measure import Measurement, Results

matplotlib.use("Agg")

from matplotlib import pyplot

TOPICS = ("unavailable", "imbalance", "churn")
"""Topics of the charts: each shows the measurements that have the word in their dotted name."""

PICTURE_WIDTH_IN = 10.0
"""Width of the picture, in inches."""

ROW_HEIGHT_IN = 0.24
"""Height of one bar with its name, in inches."""

PANEL_EDGE_ROWS = 4
"""Height of a chart's title and axis, in bars."""

LOG_SCALE_RATIO = 30.0
"""Ratio of the largest value to the median above which a chart's scale is logarithmic."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Panel:
    """One bar chart: the measurements of one topic in one unit.

    :param topic: the topic.
    :param unit: unit of the measurements.
    :param measures: the measurements.
    """

    topic: str
    unit: str
    measures: tuple[Measurement, ...]


def plot_results(results: Results, path: Path) -> None:
    """Write a PNG with a bar chart for each topic and unit.

    :param results: the results.
    :param path: the file to write.
    """
    panels = make_panels(results)
    rows = [len(panel.measures) + PANEL_EDGE_ROWS for panel in panels]
    figure, axes = pyplot.subplots(
        max(len(panels), 1),
        1,
        figsize=(PICTURE_WIDTH_IN, max(sum(rows), 1) * ROW_HEIGHT_IN),
        height_ratios=rows or None,
        squeeze=False,
    )
    for axis, panel in zip(axes[:, 0], panels, strict=False):
        _plot_panel(axis, panel)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def make_panels(results: Results) -> tuple[Panel, ...]:
    """Return the charts to draw, ordered by topic; topics without measurements are left out."""
    panels: list[Panel] = []
    for topic in TOPICS:
        measures = by_policy(results.measures, topic)
        for unit in dict.fromkeys(measure.unit for measure in measures):
            chosen = tuple(measure for measure in measures if measure.unit == unit)
            panels.append(Panel(topic=topic, unit=unit, measures=chosen))
    return tuple(panels)


def by_policy(measures: Sequence[Measurement], topic: str) -> list[Measurement]:
    """Return the measurements of a topic.

    Those of a placement are reduced to their mean over all events, for each size and policy.
    """
    groups: dict[str, list[Measurement]] = {}
    for measure in measures:
        name = measure.name
        if topic not in name.split(".") or measure.unit == "req":
            continue
        if name.startswith("placement."):
            size, policy = name.split(".")[1:3]
            name = f"placement.{size}.{policy}.{topic}"
        groups.setdefault(name, []).append(measure)
    return [
        structs.replace(group[0], name=name, value=fmean(item.value for item in group))
        for name, group in groups.items()
    ]


def _plot_panel(axis: Axes, panel: Panel) -> None:
    values = [measure.value for measure in panel.measures]
    axis.barh([measure.name for measure in panel.measures], values)
    for row, measure in enumerate(panel.measures):
        if measure.bound is not None:
            axis.plot([measure.bound] * 2, [row - 0.4, row + 0.4], color="black")
    positive = [value for value in values if value > 0]
    if positive and max(positive) > LOG_SCALE_RATIO * median(positive):
        axis.set_xscale("symlog", linthresh=1.0)
    axis.set_title(f"{panel.topic} ({panel.unit})")
    axis.invert_yaxis()
