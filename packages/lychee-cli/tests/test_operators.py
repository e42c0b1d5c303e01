"""Steps of the scenarios in operators.feature."""

import shlex
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from expression import Result as Checked
from msgspec.structs import replace
from pytest_bdd import given, parsers, scenarios, then, when

from lychee_cli.cli import main
from lychee_types.commands import SubmitDocument
from lychee_types.document_check import read_document

EXAMPLES = Path(__file__).parents[3] / "examples"

scenarios("operators.feature")


def document(name: str):
    found: Checked = read_document(EXAMPLES / name)
    return found.ok


@pytest.fixture
def results() -> list[Result]:
    return []


@given("the document skaft.yaml by anna is in force")
def accept_skaft(fake_control) -> None:
    command = SubmitDocument(
        submission="first", based_on=0, author="anna", document=document("skaft.yaml")
    )
    fake_control.state.apply(1, command)


@given("bo submits just before the next submission arrives")
def add_competing_submission(fake_control) -> None:
    version = fake_control.state.document_version
    changed = replace(document("skaft.yaml"), organisation=f"by bo after {version}")
    command = SubmitDocument(
        submission=f"bo-{version}", based_on=version, author="bo", document=changed
    )
    fake_control.before_submit.append(command)


@given("the answer to the next submission is lost")
def lose_next_answer(fake_control) -> None:
    fake_control.lost_submissions = 1


@when(parsers.re(r'\w+ runs "(?P<command>.*)"'))
def run(command: str, fake_control, results: list[Result]) -> None:
    words = [str(EXAMPLES / w) if w.endswith(".yaml") else w for w in shlex.split(command)]
    control = ["--control", str(fake_control.endpoint)]
    results.append(CliRunner().invoke(main, [*words, *control]))


@then(parsers.parse("the exit code is {code:d}"))
def exit_code(code: int, results: list[Result]) -> None:
    assert results[-1].exit_code == code, results[-1].output


@then(parsers.parse('the output says "{text}"'))
def output(text: str, results: list[Result]) -> None:
    assert text in results[-1].output


@then(parsers.parse("the version in force is {version:d}"))
def version_in_force(version: int, fake_control) -> None:
    assert fake_control.state.document_version == version
