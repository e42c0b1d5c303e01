"""Running of a command's coroutine."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, NoReturn

import click
import uvloop

from lychee_types.exceptions import LycheeError

INTERRUPTED = 130
"""Exit code after SIGINT or SIGTERM."""


def run_until_done(work: Coroutine[Any, Any, bool]) -> NoReturn:
    """Run a coroutine and exit with 0 if it returns True, else with 1.

    SIGTERM and SIGINT cancel it, so that it ends the processes that it started.

    :param work: the command's work.
    """
    try:
        passed = uvloop.run(_cancellable(work))
    except LycheeError as exc:
        raise click.ClickException(exc.format_message()) from exc
    except asyncio.CancelledError:
        raise SystemExit(INTERRUPTED) from None
    raise SystemExit(0 if passed else 1)


async def _cancellable(work: Coroutine[Any, Any, bool]) -> bool:
    task = asyncio.ensure_future(work)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task
