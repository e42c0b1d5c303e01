"""The ``lychee`` command and its subcommands."""

import click

from lychee_cli.deployment import dump, replace_control, status
from lychee_cli.documents import check, diff, history, show, submit
from lychee_cli.explain import explain
from lychee_cli.servers import drain, undrain

EXIT_CODES = """\b
Exit codes:
  0   done
  1   failed or refused
  2   bad input: a faulty file, option or argument
  3   another operator's submission won the race
  75  no control replica or gateway can be reached; try again
"""


@click.group(
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
    epilog=EXIT_CODES,
)
@click.version_option(package_name="lychee-cli")
def main() -> None:
    """Check, submit and compare documents, and watch and change a deployment.

    Commands that ask the control replicas take their addresses from --control, which may be
    given several times, or from LYCHEE_CONTROL, separated by spaces.

    \b
    Examples:
      lychee check skaft.yaml
      lychee submit skaft.yaml --based-on 4 --author anna
      lychee status --control 10.0.0.1:7100 --control 10.0.0.2:7100
      lychee drain repair-3 --author anna

    \b
    Shell completion, for bash:
      eval "$(_LYCHEE_COMPLETE=bash_source lychee)"
    """


for command in (
    check,
    submit,
    show,
    diff,
    history,
    status,
    drain,
    undrain,
    replace_control,
    dump,
    explain,
):
    main.add_command(command)
