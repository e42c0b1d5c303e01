"""Configure logging with loguru, as text or as JSON lines.

A JSON line has ``time``, ``level``, ``program``, ``id``, ``event`` and ``message``, and the fields
of its event; docs/OPERATIONS.md lists them.
"""

import sys
from typing import TYPE_CHECKING, Any

from loguru import logger
from msgspec.json import Encoder

from lychee_runtime.output import BoundedOutput
from lychee_types.settings import LogOutput, LogSettings

if TYPE_CHECKING:
    from loguru import Message

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra} {message}"

_WARNING_LEVEL = 30
"""Number of loguru's WARNING level; lines from this level on are exempt from the rate limit."""

_ENCODER = Encoder(enc_hook=str)


def configure_logs(*, program: str, name: str, cfg: LogSettings) -> None:
    """Configure the log of the process.

    :param program: the program's name, included in every line.
    :param name: the process's id, included in every line.
    :param cfg: level, format and output.
    """
    logger.remove()
    logger.configure(extra={"program": program, "id": name})
    stream = sys.stdout if cfg.output is LogOutput.STDOUT else sys.stderr
    if not cfg.json:
        logger.add(stream, level=cfg.level, format=_TEXT_FORMAT, backtrace=False, diagnose=False)
        return
    sink = JsonSink(fd=stream.fileno(), program=program, name=name)
    logger.add(sink.write, level=cfg.level, format="{message}", backtrace=False, diagnose=False)


class JsonSink:
    """Writes each log record as one JSON object per line.

    :param fd: descriptor of the output.
    :param program: the program's name.
    :param name: the process's id.
    """

    def __init__(self, *, fd: int, program: str, name: str) -> None:
        self._program = program
        self._name = name
        self.output = BoundedOutput(fd=fd, format_dropped=self._dropped_notice)

    def write(self, message: "Message") -> None:
        """Write the record of a loguru message."""
        record = message.record
        line: dict[str, Any] = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name.lower(),
            **record["extra"],
            "message": record["message"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message).rstrip()
        is_urgent = record["level"].no >= _WARNING_LEVEL
        self.output.write(_ENCODER.encode(line) + b"\n", is_urgent=is_urgent)

    def _dropped_notice(self, count: int) -> bytes:
        line = {
            "level": "warning",
            "program": self._program,
            "id": self._name,
            "event": "log_left_out",
            "lines": count,
            "message": "log lines were dropped: the rate limit was exceeded or the output stalled",
        }
        return _ENCODER.encode(line) + b"\n"
