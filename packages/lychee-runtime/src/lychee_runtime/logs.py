"""Logging by loguru: one line a decision, as text or as JSON."""

import sys

from loguru import logger

from lychee_types.settings import LogOutput, LogSettings

_TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra} {message}"


def configure_logs(*, program: str, name: str, cfg: LogSettings) -> None:
    """Send the process's log to its output.

    :param program: the program's name, on every line.
    :param name: the process's id, on every line.
    :param cfg: level and form.
    """
    logger.remove()
    logger.configure(extra={"program": program, "id": name})
    logger.add(
        sys.stdout if cfg.output is LogOutput.STDOUT else sys.stderr,
        level=cfg.level,
        format=_TEXT,
        serialize=cfg.json,
        backtrace=False,
        diagnose=False,
    )
