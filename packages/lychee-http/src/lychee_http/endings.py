"""Requests that end without an answer: why, and what had become of them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from loguru import logger

from lychee_http.caller_side import CallerSide
from lychee_http.stages import Stage

if TYPE_CHECKING:
    from loguru import Logger


class EndReason(Enum):
    """Why a caller's connection ended, or closes, with requests that got no answer."""

    CALLER_LEFT = "caller_left"
    """The caller closed the connection."""

    CALLER_STALLED = "caller_stalled"
    """The caller did not read what was sent to it."""

    REQUEST_CUT = "request_cut"
    """The caller ended the connection inside a request."""

    ANSWER_CUT = "answer_cut"
    """An answer broke off, which only a close can show."""

    CLOSING_ANSWER = "closing_answer"
    """An answer closed the connection; its caller takes the requests behind it as not read."""

    IDLE = "idle"
    """The connection was closed as idle."""

    SHED = "shed"
    """The process held too much for its callers, or had too many connections."""

    STOPPED = "stopped"
    """The process stopped before the answer came."""

    FAILED = "failed"
    """A fault of the program; its log line says more."""

    @property
    def is_callers(self) -> bool:
        """Whether the caller itself is the cause."""
        return self in (
            EndReason.CALLER_LEFT,
            EndReason.CALLER_STALLED,
            EndReason.REQUEST_CUT,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class UnansweredRequest:
    """A request that got no answer, or no whole one.

    :param request: its id, empty if it is not known.
    :param was_sent: whether it was sent to a backend server.
    :param has_begun: whether a part of its answer was sent.
    :param age_ms: time since its head was read, in ms.
    :param stage: what it waited for.
    :param server: the server to which it was sent last, empty if it was sent to none.
    :param is_carried: whether another gateway carried it there.
    :param left_ms: time that its caller would still have waited, in ms; None if it told no time.
    """

    request: str
    was_sent: bool
    has_begun: bool
    age_ms: int
    stage: Stage = Stage.HANDLING
    server: str = ""
    is_carried: bool = False
    left_ms: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionEnd:
    """Requests of one caller's connection that got no answer.

    :param reason: why.
    :param requests: the requests, in the order in which they were sent.
    :param skipped: number of whole requests behind these that were received and not handled.
    :param side: the state of the caller's side just then, None if it is not known.
    """

    reason: EndReason
    requests: tuple[UnansweredRequest, ...]
    skipped: int = 0
    side: CallerSide | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UndeliveredAnswers:
    """Whole answers of a connection that its caller's system had not acknowledged at its end.

    :param reason: why the connection ended.
    :param requests: ids of the requests, in the order in which they were sent.
    :param size: number of bytes without acknowledgement.
    """

    reason: EndReason
    requests: tuple[str, ...]
    size: int


OnEnd = Callable[[ConnectionEnd], None]
"""Is told of requests that got no answer, after they have been logged."""


def ignore_end(end: ConnectionEnd) -> None:
    """Count nothing."""


def log_undelivered(answers: UndeliveredAnswers) -> None:
    """Log answers that may not have reached their caller."""
    bound = logger.bind(event="undelivered", requests=list(answers.requests), bytes=answers.size)
    _log(bound, answers.reason, "a caller's connection ended before its answers were acknowledged")


def log_end(end: ConnectionEnd) -> None:
    """Log requests that got no answer; a warning if the caller did not cause it."""
    side = end.side.value if end.side is not None else None
    bound = logger.bind(
        event="unanswered", requests=list(end.requests), skipped=end.skipped, side=side
    )
    _log(bound, end.reason, "requests of a caller's connection got no answer")


def _log(bound: "Logger", reason: EndReason, message: str) -> None:
    bound.bind(reason=reason.value).log("INFO" if reason.is_callers else "WARNING", message)
