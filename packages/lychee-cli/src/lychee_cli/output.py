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
    :param remedy: how the user can correct it.
    :param faults: the faults of a file, empty if the error has another cause.
    """

    error: str
    remedy: str
    faults: tuple[Fault, ...] = ()


def print_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    click.echo(msgspec.json.encode(value).decode())


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table with aligned columns; print nothing if there are no rows."""
    cell_texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[n]) for row in [list(headings), *cell_texts]) for n in range(len(headings))
    ]
    for row in [list(headings), *cell_texts] if cell_texts else []:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  " + line.rstrip())


def fail_with_error(exc: LycheeError, output_format: Format) -> NoReturn:
    """Print an error with its remedy, and exit with its exit code."""
    if output_format is Format.JSON:
        click.echo(_encode_json(ErrorOutput(error=exc.message, remedy=exc.remedy)), err=True)
    else:
        click.echo(f"Error: {exc.format_message()}", err=True)
    raise click.exceptions.Exit(exc.exit_code)


def fail_with_faults(file: str, faults: Sequence[Fault], output_format: Format) -> NoReturn:
    """Print the faults of a file, and exit with the code for bad input."""
    message = f"{file} has {len(faults)} fault{'s' if len(faults) != 1 else ''}"
    if output_format is Format.JSON:
        error = ErrorOutput(error=message, remedy="correct the file", faults=tuple(faults))
        click.echo(_encode_json(error), err=True)
    else:
        click.echo(f"Error: {message}:", err=True)
        for fault in faults:
            click.echo(f"  {fault.format_message()}", err=True)
    raise click.exceptions.Exit(EXIT_BAD_INPUT)


def _encode_json(value: Struct) -> str:
    return msgspec.json.encode(value).decode()
