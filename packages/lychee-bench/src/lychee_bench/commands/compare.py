"""The command that compares two results."""

from pathlib import Path

import click

from lychee_bench.measure import compare_results, read_results


@click.command()
@click.argument("old", type=click.Path(path_type=Path, exists=True))
@click.argument("new", type=click.Path(path_type=Path, exists=True))
def command(*, old: Path, new: Path) -> None:
    """Print the figures of two results and the ratio of NEW to OLD."""
    for line in compare_results(read_results(old), read_results(new)):
        click.echo(line)
