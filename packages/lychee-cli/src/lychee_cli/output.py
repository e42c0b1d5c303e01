"""Printing of results and errors as text or JSON."""

from collections.abc import Sequence
from enum import Enum
from typing import Any, NoReturn

import click
import msgspec
from msgspec import Struct

from lychee_types.exceptions import Fault, LycheeError

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3


class Format(Enum):
    """How results and errors are printed."""

    TEXT = "text"
    JSON = "json"


class ErrorOutput(Struct, frozen=True, kw_only=True):
    """An error as JSON.

    :param error: what went wrong.
    :param remedy: what to do.
    :param faults: the faults of a file.
    """

    error: str
    remedy: str
    faults: tuple[Fault, ...] = ()


def print_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    click.echo(msgspec.json.encode(value).decode())


def print_table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns; nothing if there are none."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[n]) for row in [list(heads), *texts]) for n in range(len(heads))]
    for row in [list(heads), *texts] if texts else []:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  " + line.rstrip())


def fail(exc: LycheeError, form: Format) -> NoReturn:
    """Print an error with its remedy and end the program with its exit code."""
    if form is Format.JSON:
        click.echo(_json(ErrorOutput(error=exc.message, remedy=exc.remedy)), err=True)
    else:
        click.echo(f"Error: {exc.format_message()}", err=True)
    raise click.exceptions.Exit(exc.exit_code)


def fail_faults(file: str, faults: Sequence[Fault], form: Format) -> NoReturn:
    """Print the faults of a file and end the program as for bad input."""
    message = f"{file} has {len(faults)} fault{'s' if len(faults) != 1 else ''}"
    if form is Format.JSON:
        error = ErrorOutput(error=message, remedy="correct the file", faults=tuple(faults))
        click.echo(_json(error), err=True)
    else:
        click.echo(f"Error: {message}:", err=True)
        for fault in faults:
            click.echo(f"  {fault.format_message()}", err=True)
    raise click.exceptions.Exit(EXIT_BAD_INPUT)


def _json(value: Struct) -> str:
    return msgspec.json.encode(value).decode()
