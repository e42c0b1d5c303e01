"""Runs experiments one after another."""

import time
from collections.abc import Callable, Sequence
from pathlib import Path

from lychee_bench.experiments.catalog import EXPERIMENTS, run_experiment
from lychee_bench.experiments.setting import ExperimentContext
from lychee_bench.folder import run_folder
from lychee_bench.measure import Measurement, Results, write_results
from lychee_types.exceptions import LycheeError

FAILED = "failed"
"""Verdict of an experiment that failed without measurements."""


async def run_bench(
    names: Sequence[str],
    *,
    examples: Path,
    result: Path | None,
    out: Callable[[str], None],
) -> bool:
    """Run experiments and return whether all of them completed.

    :param names: names of the experiments.
    :param examples: folder with the users' documents.
    :param result: file to write the results to, or None.
    :param out: prints a line.
    """
    measures: list[Measurement] = []
    complete = True
    for name in names:
        try:
            measured = await _run_one(name, examples)
        except LycheeError as exc:
            out(f"{name} - - - {FAILED}")
            out(exc.format_message())
            complete = False
            continue
        measures += measured
        for measure in measured:
            out(measure.format_line())
    if result is not None:
        write_results(result, Results(at=time.time(), measures=tuple(measures)))
    return complete


async def _run_one(name: str, examples: Path) -> list[Measurement]:
    with run_folder() as folder:
        context = ExperimentContext(folder=folder.path, examples=examples)
        measures = await run_experiment(EXPERIMENTS[name], context)
        folder.passed = True
        return measures
