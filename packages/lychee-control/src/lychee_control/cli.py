"""Command line of lychee-control."""

import sys
from pathlib import Path

import click

from lychee_control.core import ControlDaemon
from lychee_runtime import configure_logs, run_daemon
from lychee_types.exceptions import LycheeError
from lychee_types.settings import ControlSettings
from lychee_types.settings_check import hints, load_settings


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="YAML file with the replica's settings.",
)
@click.option("--check-settings", is_flag=True, help="Check the settings and exit.")
def main(path: Path, check_settings: bool) -> None:
    """Run one control replica."""
    try:
        cfg = load_settings(path, ControlSettings)
        if check_settings:
            for hint in hints(cfg):
                click.echo(f"{path}: hint: {hint.format_message()}")
            click.echo(f"{path}: good")
            return
        configure_logs(program="lychee-control", name=cfg.id, cfg=cfg.log)
        sys.exit(run_daemon(lambda: ControlDaemon(cfg=cfg)))
    except LycheeError as exc:
        click.echo(f"Error: {exc.format_message()}", err=True)
        sys.exit(exc.exit_code)
    except OSError as exc:
        click.echo(f"Error: cannot listen on the address in {path}: {exc}", err=True)
        click.echo("  remedy: free the address or change it in the settings", err=True)
        sys.exit(1)
