"""Command line of the bench."""

from importlib import import_module

import click

COMMANDS = ("server", "gateway", "demo", "soak", "bench", "compare", "plot")
"""Names of the commands; each is a module of :mod:`lychee_bench.commands`."""


class LazyGroup(click.Group):
    """A group that imports a command only when it is used.

    Many stand-in servers are started, and none needs the modules that the experiments import.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the commands' names."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command, None if there is none of that name."""
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = import_module(f"lychee_bench.commands.{cmd_name}").command
        return command


@click.group(cls=LazyGroup)
def main() -> None:
    """Try lycheescale with stand-in backend servers, callers and faults."""
