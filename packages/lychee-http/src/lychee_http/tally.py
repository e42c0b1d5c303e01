"""Counts what becomes of the requests of callers' connections, so that none goes missing."""

from collections import Counter

from lychee_http.endings import (
    ConnectionEnd,
    EndReason,
    OnEnd,
    UndeliveredAnswers,
    ignore_end,
)


class RequestTally:
    """The requests of some connections: those read, answered, and ended without an answer.

    Each request is counted twice: once when it is read, and once by what became of it. So
    :attr:`open` is the number of requests under way; any other value shows that one was lost.
    Answers that their callers' systems have not acknowledged at the end count as answered and as
    :attr:`undelivered`.

    :param on_end: is told of requests that got no answer.
    """

    def __init__(self, *, on_end: OnEnd = ignore_end) -> None:
        self.read = 0
        self.answered = 0
        self.ended: Counter[EndReason] = Counter()
        self.undelivered: Counter[EndReason] = Counter()
        self.dropped_bytes: Counter[EndReason] = Counter()
        self._on_end = on_end

    @property
    def open(self) -> int:
        """Number of requests that were read and have neither an answer nor a reason for none."""
        return self.read - self.answered - self.ended.total()

    def count_read(self) -> None:
        """Count a request whose head was read, or rejected as malformed."""
        self.read += 1

    def count_answered(self) -> None:
        """Count a request whose whole answer was handed over to be sent."""
        self.answered += 1

    def count_answered_ahead(self) -> None:
        """Count a request that was received behind the answer to it, and not handled."""
        self.read += 1
        self.answered += 1

    def count_end(self, end: ConnectionEnd) -> None:
        """Count requests that got no whole answer, and as read those that were skipped."""
        self.read += end.skipped
        self.ended[end.reason] += len(end.requests) + end.skipped
        self._on_end(end)

    def count_undelivered(self, answers: UndeliveredAnswers) -> None:
        """Count answers that were handed over and not acknowledged when the connection ended."""
        self.undelivered[answers.reason] += len(answers.requests)

    def count_dropped(self, reason: EndReason, size: int) -> None:
        """Count bytes of a caller that were received and belong to no request that was read."""
        if size:
            self.dropped_bytes[reason] += size

    def summary(self) -> dict[str, object]:
        """Return all counts, for the log."""
        return {
            "read": self.read,
            "answered": self.answered,
            "ended": {reason.value: count for reason, count in self.ended.items()},
            "undelivered": {reason.value: count for reason, count in self.undelivered.items()},
            "dropped_bytes": {reason.value: size for reason, size in self.dropped_bytes.items()},
        }
