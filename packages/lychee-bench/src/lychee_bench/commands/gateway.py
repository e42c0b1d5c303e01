"""The command that runs a gateway with a given rule for choosing servers."""

from pathlib import Path

import click

from lychee_gateway.core import Gateway
from lychee_policy import ChoiceRule, LeastConnections, PowerOfTwo, RoundRobin
from lychee_runtime import configure_logs, run_daemon
from lychee_types.settings import GatewaySettings
from lychee_types.settings_check import load_settings

RULES: dict[str, ChoiceRule] = {
    "power-of-two": PowerOfTwo(),
    "round-robin": RoundRobin(),
    "least-connections": LeastConnections(),
}
"""Rules by the name that the option takes."""


class ExperimentalGateway(Gateway):
    """A gateway that chooses servers by a given rule instead of its default.

    :param cfg: the settings.
    :param rule: the rule by which a server is chosen.
    """

    def __init__(self, *, cfg: GatewaySettings, rule: ChoiceRule) -> None:
        super().__init__(cfg=cfg)
        self._request_dispatcher._rule = rule


@click.command()
@click.option("--settings", type=click.Path(path_type=Path), required=True)
@click.option("--rule", type=click.Choice(list(RULES)), required=True)
def command(*, settings: Path, rule: str) -> None:
    """Run a gateway that chooses servers by another rule, for experiments."""
    cfg = load_settings(settings, GatewaySettings)
    configure_logs(program="lychee-gateway", name=cfg.id, cfg=cfg.log)
    raise SystemExit(run_daemon(lambda: ExperimentalGateway(cfg=cfg, rule=RULES[rule])))
