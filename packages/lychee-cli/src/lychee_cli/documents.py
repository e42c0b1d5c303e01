"""Commands that check, submit and show the operators' document."""

from pathlib import Path

import click
from expression import Result

from lychee_cli.output import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    Format,
    fail_with_faults,
    print_json,
    print_table,
)
from lychee_cli.session import AUTHOR, Session, author_option, format_option, session_options
from lychee_runtime import OperatorClient
from lychee_types.document import Document
from lychee_types.document_check import DEFAULT_TIMING, read_document
from lychee_types.document_edit import diff_documents, submission_id
from lychee_types.exceptions import SettingsError
from lychee_types.settings import ControlSettings
from lychee_types.settings_check import read_settings
from lychee_types.state import SubmissionRecord
from lychee_types.timing import Timing
from lychee_types.yamlfile import format_yaml

FILE = click.Path(path_type=Path)


def load_document(
    file: Path, output_format: Format, *, timing: Timing = DEFAULT_TIMING
) -> Document:
    """Read and check a document; if it has faults, print them and exit.

    :param file: the document's file.
    :param output_format: how to print the faults.
    :param timing: timing parameters of the deployment that the document is checked against.
    """
    match read_document(file, timing):
        case Result(tag="ok", ok=document):
            return document
        case Result(error=faults):
            fail_with_faults(str(file), faults, output_format)


def describe_submission(record: SubmissionRecord) -> str:
    """Return the outcome of a submission in a few words."""
    if record.accepted:
        return f"version {record.version}"
    if record.refusal:
        return f"refused: {record.refusal}"
    return f"lost to version {record.version} by {record.winner or 'nobody'}"


def report_submission(record: SubmissionRecord, output_format: Format) -> None:
    """Print the outcome of a submission, and exit with an error if it was not accepted.

    The exit code is :data:`EXIT_CONFLICT` if another submission was accepted first, and
    :data:`EXIT_FAILED` if this one was refused.
    """
    if output_format is Format.JSON:
        print_json(record)
    elif record.accepted:
        click.echo(f"accepted: version {record.version}")
    elif record.refusal:
        click.echo(f"not accepted: {record.refusal}\n  remedy: {record.remedy}")
    else:
        click.echo(
            f"not accepted: {record.winner or 'nobody'} has the version in force, "
            f"{record.version}; this was based on {record.based_on}",
        )
        click.echo(
            "  remedy: compare with lychee diff, then submit "
            f"--based-on {record.version}, or leave it",
        )
    if not record.accepted:
        raise click.exceptions.Exit(EXIT_FAILED if record.refusal else EXIT_CONFLICT)


@click.command()
@click.argument("file", type=FILE)
@click.option(
    "--settings", type=FILE, help="Control settings whose time limits the deployment uses."
)
@format_option
def check(*, file: Path, settings: Path | None, form: Format) -> None:
    """Check a document; needs no control replica.

    Names every fault with its line and its remedy.

    \b
    Example:
      lychee check skaft.yaml
    """
    timing = DEFAULT_TIMING
    if settings is not None:
        match read_settings(settings, ControlSettings):
            case Result(tag="ok", ok=found):
                timing = found.timing
            case Result(error=faults):
                fail_with_faults(str(settings), faults, form)
    document = load_document(file, form, timing=timing)
    if form is Format.JSON:
        print_json(document)
    else:
        click.echo(f"{file}: good, {len(document.services)} services")


@click.command()
@click.argument("file", type=FILE)
@click.option(
    "--based-on",
    type=click.IntRange(min=0),
    required=True,
    help="Version that the file is based on; 0 for the first.",
)
@author_option
@click.option("--submission", type=AUTHOR, help="Id of an earlier submission that is sent again.")
@session_options
def submit(
    session: Session, *, file: Path, based_on: int, author: str, submission: str | None
) -> None:
    """Submit a document, which is accepted or refused whole.

    The submission's id is printed before it is sent. It follows from the file, the version and
    the author, so the same command after a lost answer is the same submission.

    \b
    Example:
      lychee submit skaft.yaml --based-on 4 --author anna
    """
    document = load_document(file, session.format)
    chosen_id = submission or submission_id(author=author, based_on=based_on, document=document)
    click.echo(f"submission {chosen_id}", err=True)

    async def submit_document(client: OperatorClient) -> SubmissionRecord:
        await _require_version(client, based_on)
        return await client.submit(
            submission=chosen_id, based_on=based_on, author=author, document=document
        )

    report_submission(session.run(submit_document), session.format)


async def _require_version(client: OperatorClient, based_on: int) -> None:
    """Raise an error if a version does not exist yet.

    A submission based on it would be recorded as lost for good: sending it again once the version
    exists would return the recorded outcome.
    """
    current_version = (await client.show()).version
    if based_on > current_version:
        raise SettingsError(
            message=f"there is no version {based_on} yet; version {current_version} is in force",
            remedy=f"write --based-on {current_version} if the file is based on that",
        )


@click.command()
@click.option(
    "--version", type=click.IntRange(min=0), default=0, help="Version; 0 for the one in force."
)
@session_options
def show(session: Session, *, version: int) -> None:
    """Print a version of the document as YAML.

    \b
    Example:
      lychee show > current.yaml
    """
    reply = session.run(lambda client: client.show(version=version))
    if session.format is Format.JSON:
        print_json(reply)
    elif reply.document is None:
        click.echo("# no document has been accepted yet")
    else:
        click.echo(f"# version {reply.version} by {reply.author}")
        click.echo(format_yaml(reply.document), nl=False)


@click.command()
@click.argument("new")
@click.argument("old", type=click.IntRange(min=0), default=0)
@session_options
def diff(session: Session, *, new: str, old: int) -> None:
    """Print what NEW, a file or a version, changes against version OLD.

    OLD is the version in force where it is left out.

    \b
    Examples:
      lychee diff skaft.yaml
      lychee diff 5 4
    """
    local_document = None if new.isdecimal() else load_document(Path(new), session.format)

    async def compare(client: OperatorClient) -> str:
        before = await client.show(version=old)
        after = local_document
        if after is None:
            after = (await client.show(version=int(new))).document
        if after is None:
            raise SettingsError(
                message="no document has been accepted yet", remedy="submit one, or name a file"
            )
        return diff_documents(
            before.document,
            after,
            before_name=f"version {before.version}",
            after_name=new if local_document is not None else f"version {new}",
        )

    text = session.run(compare)
    if session.format is Format.JSON:
        print_json({"diff": text})
    else:
        click.echo(text or "no difference\n", nl=False)


@click.command()
@session_options
def history(session: Session) -> None:
    """List the submissions and what became of each, oldest first.

    \b
    Example:
      lychee history
    """
    records = session.run(lambda client: client.history())
    if session.format is Format.JSON:
        print_json(records)
        return
    rows = [
        (
            record.submission,
            record.author,
            record.based_on,
            describe_submission(record),
        )
        for record in records
    ]
    print_table(("submission", "author", "based on", "outcome"), rows)
