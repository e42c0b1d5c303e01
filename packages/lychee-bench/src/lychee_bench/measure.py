"""Figures of experiments, with their bounds and verdicts."""

from pathlib import Path

import msgspec
from msgspec import Struct


class Measure(Struct, frozen=True, kw_only=True):
    """One measured figure.

    :param name: what was measured, dotted, the experiment's name first.
    :param value: the figure.
    :param unit: its unit.
    :param bound: the bound that is stated for it, or None.
    :param at_least: whether the bound is a least value; else it is a largest one.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False

    @property
    def verdict(self) -> str:
        """Return ok, missed, or info where no bound is stated."""
        if self.bound is None:
            return "info"
        holds = self.value >= self.bound if self.at_least else self.value <= self.bound
        return "ok" if holds else "missed"

    def format_line(self) -> str:
        """Return the figure as one line."""
        sign = ">=" if self.at_least else "<="
        bound = "-" if self.bound is None else f"{sign}{self.bound:g}"
        return f"{self.name} {self.value:.4g} {self.unit} {bound} {self.verdict}"


class Results(Struct, frozen=True, kw_only=True):
    """The figures of one run of the bench.

    :param at: wall time of its end in seconds.
    :param measures: the figures.
    """

    at: float
    measures: tuple[Measure, ...]


def write_results(path: Path, results: Results) -> None:
    """Write results to a file as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


def read_results(path: Path) -> Results:
    """Return the results in a file.

    :raises msgspec.MsgspecError: if the file holds none.
    """
    return msgspec.json.decode(path.read_bytes(), type=Results)


def compare_results(old: Results, new: Results) -> list[str]:
    """Return one line for each figure that both have: name, old, new, ratio."""
    before = {measure.name: measure for measure in old.measures}
    lines = []
    for measure in new.measures:
        if earlier := before.get(measure.name):
            ratio = f"{measure.value / earlier.value:.3f}" if earlier.value else "-"
            lines.append(
                f"{measure.name} {earlier.value:.4g} {measure.value:.4g} {measure.unit} {ratio}"
            )
    return lines
