"""Pictures of results: unavailable time, imbalance and churn."""

from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

import matplotlib
from matplotlib.axes import Axes
from msgspec import structs

from lychee_bench.measure import Measure, Results

matplotlib.use("Agg")

from matplotlib import pyplot

TOPICS = ("unavailable", "imbalance", "churn")
"""What the pictures show: the figures whose dotted name has the word."""


def plot_results(results: Results, path: Path) -> None:
    """Write a PNG with one bar chart for each topic.

    :param results: the figures.
    :param path: the file to write.
    """
    figure, axes = pyplot.subplots(len(TOPICS), 1, figsize=(10, 4 * len(TOPICS)))
    for axis, topic in zip(axes, TOPICS, strict=True):
        _plot_topic(axis, topic, by_policy(results.measures, topic))
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def by_policy(measures: Sequence[Measure], topic: str) -> list[Measure]:
    """Return the topic's figures, those of a placement's events as their mean for each policy."""
    groups: dict[str, list[Measure]] = {}
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


def _plot_topic(axis: Axes, topic: str, measures: list[Measure]) -> None:
    names = [f"{item.name} ({item.unit})" for item in measures]
    axis.barh(names, [item.value for item in measures])
    for place, item in enumerate(measures):
        if item.bound is not None:
            axis.plot([item.bound] * 2, [place - 0.4, place + 0.4], color="black")
    axis.set_title(topic)
    axis.invert_yaxis()
