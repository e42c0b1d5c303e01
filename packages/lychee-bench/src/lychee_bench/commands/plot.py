"""The command that plots results."""

from pathlib import Path

import click

from lychee_bench.measure import read_results
from lychee_bench.plot import plot_results


@click.command()
@click.argument("result", type=click.Path(path_type=Path, exists=True))
@click.option("--out", type=click.Path(path_type=Path), default=Path("bench.png"))
def command(*, result: Path, out: Path) -> None:
    """Draw unavailable time, imbalance and churn of RESULT as a PNG."""
    plot_results(read_results(result), out)
    click.echo(str(out))
