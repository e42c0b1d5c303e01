"""Command line of lychee-gateway."""

import sys
from pathlib import Path

import click

from lychee_gateway.core import Gateway
from lychee_runtime import configure_logs, run_daemon
from lychee_types.exceptions import LycheeError, SettingsError
from lychee_types.settings import GatewaySettings
from lychee_types.settings_check import load_settings


@click.command()
@click.option(
    "--settings",
    required=True,
    type=click.Path(path_type=Path),
    help="YAML file with the gateway's settings.",
)
@click.option("--check-settings", is_flag=True, help="Check the settings and exit.")
def main(settings: Path, check_settings: bool) -> None:
    """Serve callers and forward their requests to backend servers."""
    try:
        cfg = load_settings(settings, GatewaySettings)
    except SettingsError as exc:
        click.echo(exc.format_message(), err=True)
        sys.exit(exc.exit_code)
    if check_settings:
        click.echo(f"{settings}: good")
        return
    configure_logs(program="lychee-gateway", name=cfg.id, cfg=cfg.log)
    try:
        code = run_daemon(lambda: Gateway(cfg=cfg))
    except LycheeError as exc:
        raise click.ClickException(exc.format_message()) from exc
    except OSError as exc:
        raise click.ClickException(
            f"cannot listen on {cfg.listen} or {cfg.announce}: {exc}\n"
            "  remedy: free the addresses or change them in the settings"
        ) from exc
    sys.exit(code)
