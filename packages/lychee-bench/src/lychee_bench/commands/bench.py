"""The command that runs experiments."""

from pathlib import Path

import click

from lychee_bench.bench import run_bench
from lychee_bench.commands.running import run_until_done
from lychee_bench.experiments.catalog import EXPERIMENTS


@click.command()
@click.option("--only", type=click.Choice(list(EXPERIMENTS)), help="Run one experiment.")
@click.option("--examples", type=click.Path(path_type=Path), default=Path("examples"))
@click.option("--out", type=click.Path(path_type=Path), help="File for the results, as JSON.")
def command(*, only: str | None, examples: Path, out: Path | None) -> None:
    """Run the experiments; each line is name, value, unit, bound and verdict."""
    names = [only] if only else list(EXPERIMENTS)
    run_until_done(run_bench(names, examples=examples, result=out, out=click.echo))
