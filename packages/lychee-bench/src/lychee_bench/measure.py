"""Measurements of the experiments, with their bounds and verdicts."""

from pathlib import Path

import msgspec
from msgspec import Struct


class Measurement(Struct, frozen=True, kw_only=True):
    """One measured value.

    :param name: what was measured, a dotted name that begins with that of the experiment.
    :param value: the value.
    :param unit: its unit.
    :param bound: the required bound of the value, None if there is none.
    :param at_least: whether the bound is a minimum; else it is a maximum.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False

    @property
    def verdict(self) -> str:
        """``ok`` or ``missed``, or ``info`` if there is no bound."""
        if self.bound is None:
            return "info"
        is_met = self.value >= self.bound if self.at_least else self.value <= self.bound
        return "ok" if is_met else "missed"

    def format_line(self) -> str:
        """Return the measurement as one line of text."""
        operator = ">=" if self.at_least else "<="
        bound = "-" if self.bound is None else f"{operator}{self.bound:g}"
        return f"{self.name} {self.value:.4g} {self.unit} {bound} {self.verdict}"


class Results(Struct, frozen=True, kw_only=True):
    """The measurements of one run of the bench.

    :param at: wall time of its end in seconds.
    :param measures: the measurements.
    """

    at: float
    measures: tuple[Measurement, ...]


def write_results(path: Path, results: Results) -> None:
    """Write results to a JSON file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


def read_results(path: Path) -> Results:
    """Return the results in a JSON file.

    :raises msgspec.MsgspecError: if the file holds no results.
    """
    return msgspec.json.decode(path.read_bytes(), type=Results)


def compare_results(old: Results, new: Results) -> list[str]:
    """Return a line for each measurement that both results have: name, old, new, unit, ratio."""
    before = {measure.name: measure for measure in old.measures}
    lines = []
    for measure in new.measures:
        if earlier := before.get(measure.name):
            ratio = f"{measure.value / earlier.value:.3f}" if earlier.value else "-"
            lines.append(
                f"{measure.name} {earlier.value:.4g} {measure.value:.4g} {measure.unit} {ratio}"
            )
    return lines
