"""Runs the coroutine of a command, and turns its result into an exit code."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, NoReturn

import click
import uvloop

from lychee_types.exceptions import LycheeError

EXIT_CODE_INTERRUPTED = 130
"""Exit code after SIGINT or SIGTERM."""


def run_until_done(work: Coroutine[Any, Any, bool]) -> NoReturn:
    """Run a coroutine and exit with code 0 if it returns True, else with 1.

    SIGTERM and SIGINT cancel it, so that it stops the processes that it started.

    :param work: the coroutine of the command.
    """
    try:
        passed = uvloop.run(_cancellable(work))
    except LycheeError as exc:
        raise click.ClickException(exc.format_message()) from exc
    except asyncio.CancelledError:
        raise SystemExit(EXIT_CODE_INTERRUPTED) from None
    raise SystemExit(0 if passed else 1)


async def _cancellable(work: Coroutine[Any, Any, bool]) -> bool:
    task = asyncio.ensure_future(work)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task
