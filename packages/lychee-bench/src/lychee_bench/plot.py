"""Pictures of results: unavailable time, imbalance and churn."""

from pathlib import Path

import matplotlib
from matplotlib.axes import Axes

from lychee_bench.measure import Measure, Results

matplotlib.use("Agg")

from matplotlib import pyplot

TOPICS = ("unavailable", "imbalance", "churn")
"""What the pictures show: the figures whose name has the word."""


def plot_results(results: Results, path: Path) -> None:
    """Write a PNG with one bar chart for each topic.

    :param results: the figures.
    :param path: the file to write.
    """
    figure, axes = pyplot.subplots(len(TOPICS), 1, figsize=(10, 4 * len(TOPICS)))
    for axis, topic in zip(axes, TOPICS, strict=True):
        _plot_topic(axis, topic, [item for item in results.measures if topic in item.name])
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _plot_topic(axis: Axes, topic: str, measures: list[Measure]) -> None:
    names = [f"{item.name} ({item.unit})" for item in measures]
    axis.barh(names, [item.value for item in measures])
    for place, item in enumerate(measures):
        if item.bound is not None:
            axis.plot([item.bound] * 2, [place - 0.4, place + 0.4], color="black")
    axis.set_title(topic)
    axis.invert_yaxis()
