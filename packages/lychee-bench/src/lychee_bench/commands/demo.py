"""The command that runs the demo."""

from pathlib import Path

import click

from lychee_bench.commands.running import run_until_done
from lychee_bench.demo import DemoPlan, run_demo
from lychee_bench.sizes import USERS


@click.command()
@click.option("--user", type=click.Choice(list(USERS)), default="skaft", show_default=True)
@click.option("--examples", type=click.Path(path_type=Path), default=Path("examples"))
@click.option("--seconds", default=20.0, show_default=True, help="How long requests are sent.")
@click.option("--seed", default=1, show_default=True, help="Seed of arrivals and keys.")
def command(*, user: str, examples: Path, seconds: float, seed: int) -> None:
    """Run a deployment, kill an owner and the control leader, and print a verdict."""
    sizes = USERS[user]
    plan = DemoPlan(sizes=sizes, document=examples / sizes.document, seconds=seconds, seed=seed)
    run_until_done(run_demo(plan, out=click.echo))
