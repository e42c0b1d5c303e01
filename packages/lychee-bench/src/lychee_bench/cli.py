"""Command line of the program."""

import click


@click.command()
def main() -> None:
    """Start the program."""
    raise click.ClickException("not built yet")
