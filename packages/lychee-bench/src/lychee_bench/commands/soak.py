"""The command that runs a soak test."""

from pathlib import Path

import click

from lychee_bench.commands.running import run_until_done
from lychee_bench.sizes import SOAK_USERS
from lychee_bench.soak import SoakPlan, run_soak


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of faults, arrivals and keys.")
@click.option("--seconds", default=60.0, show_default=True, help="How long requests are sent.")
@click.option("--user", type=click.Choice(list(SOAK_USERS)), default="skaft", show_default=True)
@click.option("--examples", type=click.Path(path_type=Path), default=Path("examples"))
@click.option("--rate", default=0.5, show_default=True, help="Factor on the rates of requests.")
@click.option("--repeats", is_flag=True, help="Let servers repeat answers up to 2 s late.")
def command(
    *, seed: int, seconds: float, user: str, examples: Path, rate: float, repeats: bool
) -> None:
    """Run a deployment under a schedule of faults, and list the broken invariants."""
    sizes = SOAK_USERS[user]
    plan = SoakPlan(
        sizes=sizes,
        document=examples / sizes.document,
        seconds=seconds,
        seed=seed,
        rate=rate,
        repeats=repeats,
    )
    run_until_done(run_soak(plan, out=click.echo))
