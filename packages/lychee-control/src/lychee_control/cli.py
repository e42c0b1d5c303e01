"""Command line of lychee-control."""

import sys
from pathlib import Path

import click

from lychee_control.core import ControlDaemon
from lychee_runtime import configure_logs, run_daemon
from lychee_types.settings import ControlSettings
from lychee_types.yamlfile import read_yaml


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
    result = read_yaml(path, ControlSettings)
    if result.is_error():
        for fault in result.error:
            click.echo(f"{path}: {fault.show()}", err=True)
        sys.exit(2)
    cfg = result.ok
    if check_settings:
        click.echo(f"{path}: ok")
        return
    configure_logs(program="lychee-control", name=cfg.id, cfg=cfg.log)
    sys.exit(run_daemon(lambda: ControlDaemon(cfg=cfg)))
