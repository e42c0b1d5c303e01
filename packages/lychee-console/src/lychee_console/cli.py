"""The ``lychee-console`` command."""

import sys
from pathlib import Path

import click

from lychee_console.access import SessionStore, load_operators
from lychee_console.daemon import ConsoleDaemon
from lychee_console.site import Site
from lychee_runtime import OperatorClient, client_context, configure_logs, run_daemon
from lychee_types.clock import SystemClock
from lychee_types.exceptions import LycheeError
from lychee_types.settings import ConsoleSettings
from lychee_types.settings_check import load_settings


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--settings",
    type=click.Path(path_type=Path),
    required=True,
    help="YAML file with listen, control and operators.",
)
@click.option("--check-settings", is_flag=True, help="Check the settings and end.")
def main(*, settings: Path, check_settings: bool) -> None:
    """Serve the operators' forms in a browser.

    Ends with 0 after a graceful stop (SIGTERM), 2 for faulty settings, 1 after a failure.
    SIGUSR1 writes a dump of the state to standard error.

    \b
    Example:
      lychee-console --settings console.yaml
    """
    try:
        cfg = load_settings(settings, ConsoleSettings)
        operators = load_operators(settings.parent / cfg.operators)
        client = OperatorClient(control=cfg.control, ssl=client_context(cfg.tls))
        if check_settings:
            click.echo(f"{settings}: good, {len(operators)} operators")
            return
        configure_logs(program="lychee-console", name=str(cfg.listen), cfg=cfg.log)

        def build() -> ConsoleDaemon:
            sessions = SessionStore(operators=operators, clock=SystemClock())
            site = Site(client=client, sessions=sessions)
            return ConsoleDaemon(cfg=cfg, site=site, sessions=sessions)

        sys.exit(run_daemon(build))
    except LycheeError as exc:
        click.echo(f"Error: {exc.format_message()}", err=True)
        sys.exit(exc.exit_code)
