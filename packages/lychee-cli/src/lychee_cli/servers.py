"""Commands that drain backend servers, and end their draining."""

import click

from lychee_cli.documents import report_submission
from lychee_cli.output import Format
from lychee_cli.session import Session, author_option, session_options
from lychee_runtime import OperatorClient
from lychee_types.document_edit import submission_id, with_leaving
from lychee_types.exceptions import SettingsError
from lychee_types.ids import ServerId
from lychee_types.schema import nearest_name
from lychee_types.state import SubmissionRecord

RETRY_LIMIT = 20
"""Upper limit of ``--retries``: how often to submit again after another submission won."""


retries_option = click.option(
    "--retries",
    type=click.IntRange(0, RETRY_LIMIT),
    default=0,
    show_default=True,
    help="How often to try again after another operator's submission won.",
)


@click.command()
@click.argument("server")
@click.option("--absent", is_flag=True, help="Allow a server that has not announced itself.")
@author_option
@retries_option
@session_options
def drain(session: Session, *, server: str, absent: bool, author: str, retries: int) -> None:
    """Tell backend server SERVER to leave: no new work, and its keys move.

    \b
    Example:
      lychee drain repair-3 --author anna
    """
    _set_leaving(session, ServerId(server), author, retries, leaving=True, allow_absent=absent)


@click.command()
@click.argument("server")
@author_option
@retries_option
@session_options
def undrain(session: Session, *, server: str, author: str, retries: int) -> None:
    """Let backend server SERVER take work again.

    \b
    Example:
      lychee undrain repair-3 --author anna
    """
    _set_leaving(session, ServerId(server), author, retries, leaving=False, allow_absent=True)


def _set_leaving(
    session: Session,
    server: ServerId,
    author: str,
    retries: int,
    *,
    leaving: bool,
    allow_absent: bool,
) -> None:
    async def submit_with_retries(client: OperatorClient) -> SubmissionRecord | None:
        if not allow_absent:
            await _require_announced(client, server)
        record = await _submit_once(client, server, author, leaving=leaving)
        for _ in range(retries):
            if record is None or record.accepted:
                break
            winner = record.winner or "nobody"
            click.echo(f"{winner} won with version {record.version}; trying again", err=True)
            record = await _submit_once(client, server, author, leaving=leaving)
        return record

    record = session.run(submit_with_retries)
    state_text = "leaving" if leaving else "not leaving"
    if record is not None:
        report_submission(record, session.format)
        if session.format is Format.TEXT:
            click.echo(f"{server} is {state_text}")
    elif session.format is Format.TEXT:
        click.echo(f"{server} is {state_text} already; nothing was submitted")
    else:
        click.echo("null")


async def _submit_once(
    client: OperatorClient, server: ServerId, author: str, *, leaving: bool
) -> SubmissionRecord | None:
    """Submit the changed document, or return None if it needs no change."""
    current = await client.show()
    if current.document is None:
        raise SettingsError(
            message="no document has been accepted yet", remedy="submit one with lychee submit"
        )
    if current.document.is_leaving(server) == leaving:
        return None
    document = with_leaving(current.document, server, leaving=leaving)
    submission = submission_id(author=author, based_on=current.version, document=document)
    click.echo(f"submission {submission}", err=True)
    return await client.submit(
        submission=submission, based_on=current.version, author=author, document=document
    )


async def _require_announced(client: OperatorClient, server: ServerId) -> None:
    known = [str(state.record.id) for state in (await client.status()).servers]
    if server in known:
        return
    nearest = nearest_name(server, known)
    raise SettingsError(
        message=f"no backend server {server} has announced itself",
        remedy=f"write {nearest}" if nearest else "see lychee status, or add --absent",
    )
