"""Requests under which backend servers have ended, and how such a request may be sent again."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from lychee_types.crash_messages import KnownRequest, ServerEnd
from lychee_types.ids import RequestSignature
from lychee_types.registry import ServerIncarnation

SUSPECT_AFTER = 2
"""Number of ended servers from which a request is suspected.

One is not enough: all requests at a server that ends lose their answers, whatever ended it.
"""

BLOCK_AFTER = 3
"""Number of ended servers from which a request is blocked."""

SAME_CAUSE_S = 0.5
"""Time within which servers that had a request at the same time end of one cause, in seconds.

A lost failure domain ends many servers at once, and a popular request is at several of them.
"""

SUSPECT_S = 600.0
"""Time after which an ended server no longer counts, in seconds."""

BLOCK_S = 3_600.0
"""The same for a blocked request, in seconds."""

MAX_ENDS = 16
"""Number of ends of one request from which only those that change its verdict are kept."""

MAX_REQUESTS = 4_096
"""Maximum number of requests that are remembered."""

MAX_SHARED = 100
"""Maximum number of requests that are shared with other processes at once."""


class Verdict(Enum):
    """How a request may be sent to a server."""

    FREE = "free"
    SUSPECTED = "suspected"
    BLOCKED = "blocked"


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedAttempt:
    """An attempt during which a server ended.

    :param sent_at: monotonic time in seconds at which the request was sent.
    :param ended_at: monotonic time in seconds at which the server ended.
    """

    sent_at: float
    ended_at: float

    def has_other_cause(self, earlier: "EndedAttempt") -> bool:
        """Return whether the server cannot have ended of the cause of an earlier one's end."""
        is_later = self.ended_at - earlier.ended_at >= SAME_CAUSE_S
        return is_later or self.sent_at >= earlier.ended_at


@dataclass(kw_only=True, slots=True)
class _Request:
    """What is known of one request.

    :param ends: the attempt during which each server ended.
    :param answered_at: monotonic time in seconds of the last answer of a server, None for none.
    """

    ends: dict[ServerIncarnation, EndedAttempt] = field(default_factory=dict)
    answered_at: float | None = None

    @property
    def latest_at(self) -> float:
        """Return the monotonic time of the last end or answer, in seconds."""
        return max((*(end.ended_at for end in self.ends.values()), self.answered_at or 0.0))


class CrashTable:
    """Requests under which servers have ended, by signature.

    An answer of any server shows that the request is sound, so that earlier ends do not count. When
    there are too many requests, those with the fewest ends are forgotten first.
    """

    def __init__(self) -> None:
        self._requests: OrderedDict[RequestSignature, _Request] = OrderedDict()

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._requests)

    def __contains__(self, signature: RequestSignature) -> bool:
        """Return whether anything is known of a request."""
        return signature in self._requests

    def record_end(
        self, signature: RequestSignature, run: ServerIncarnation, end: EndedAttempt
    ) -> bool:
        """Record that a server ended while it had a request; return whether that is new.

        Of several reports of one end the earliest date counts: a report that takes time makes an
        end look later than it was, and so look like one with the next end's cause.

        :param signature: the request's signature.
        :param run: the server.
        :param end: the attempt.
        """
        request = self._requests.get(signature)
        if request is None:
            request = self._requests[signature] = _Request()
            self._limit_size()
        if end.ended_at <= (request.answered_at or 0.0):
            return False
        if run in request.ends:
            return self._date_earlier(request, run, end)
        if len(request.ends) >= MAX_ENDS and not self._adds_a_cause(signature, end):
            return False
        request.ends[run] = end
        return True

    def _date_earlier(self, request: _Request, run: ServerIncarnation, end: EndedAttempt) -> bool:
        """Take over an earlier date of a known end; return whether the causes change by it."""
        known = request.ends[run]
        if end.ended_at >= known.ended_at:
            return False
        former_causes = len(_separate_causes(request.ends.values()))
        request.ends[run] = end
        return len(_separate_causes(request.ends.values())) != former_causes

    def record_answer(self, signature: RequestSignature, at: float) -> bool:
        """Record that a server has answered a request; return whether ends no longer count.

        :param signature: the request's signature.
        :param at: monotonic time of the answer, in seconds.
        """
        request = self._requests.get(signature)
        if request is None or at <= (request.answered_at or 0.0):
            return False
        request.answered_at = at
        later = {run: end for run, end in request.ends.items() if end.ended_at > at}
        is_changed = len(later) < len(request.ends)
        request.ends = later
        return is_changed

    def count_ends(self, signature: RequestSignature, now: float) -> int:
        """Return of how many causes servers have ended under a request.

        :param signature: the request's signature.
        :param now: monotonic time in seconds.
        """
        return len(self._counted_ends(signature, now))

    def verdict(self, signature: RequestSignature, now: float) -> Verdict:
        """Return how a request may be sent.

        :param signature: the request's signature.
        :param now: monotonic time in seconds.
        """
        ends = self.count_ends(signature, now)
        if ends >= BLOCK_AFTER:
            return Verdict.BLOCKED
        return Verdict.SUSPECTED if ends >= SUSPECT_AFTER else Verdict.FREE

    def last_end_at(self, signature: RequestSignature) -> float | None:
        """Return when the last server ended under a request, None if none has.

        :param signature: the request's signature.
        """
        request = self._requests.get(signature)
        if request is None or not request.ends:
            return None
        return max(end.ended_at for end in request.ends.values())

    def blocked_for_s(self, signature: RequestSignature, now: float) -> float:
        """Return how long a request stays blocked, in seconds.

        :param signature: the request's signature.
        :param now: monotonic time in seconds.
        """
        counted = self._counted_ends(signature, now)
        if len(counted) < BLOCK_AFTER:
            return 0.0
        return counted[-BLOCK_AFTER] + BLOCK_S - now

    def drop_old(self, now: float) -> None:
        """Forget requests of which nothing counts any more."""
        old = [
            signature
            for signature, request in self._requests.items()
            if self.count_ends(signature, now) == 0
            and now - (request.answered_at or 0.0) > SUSPECT_S
        ]
        for signature in old:
            del self._requests[signature]

    def export(self, signatures: list[RequestSignature], now: float) -> tuple[KnownRequest, ...]:
        """Return what is known of some requests for another process.

        :param signatures: signatures of the requests.
        :param now: monotonic time in seconds.
        """
        return tuple(
            _export(signature, self._requests[signature], now)
            for signature in signatures
            if signature in self._requests
        )

    def export_suspects(self, now: float) -> tuple[KnownRequest, ...]:
        """Return what all processes are to know: suspects, and those that were answered since."""
        signatures = [
            signature
            for signature, request in self._requests.items()
            if request.answered_at is not None or self.verdict(signature, now) is not Verdict.FREE
        ]
        signatures.sort(key=lambda signature: self._requests[signature].latest_at)
        return self.export(signatures[-MAX_SHARED:], now)

    def merge(self, known: KnownRequest, now: float) -> bool:
        """Add what another process knows, and return whether that is new.

        :param known: what it knows.
        :param now: monotonic time in seconds.
        """
        is_new = False
        for end in known.ends:
            is_new = self.record_end(known.signature, end.run, _received(end, now)) or is_new
        if known.answered_ms_ago is not None:
            at = now - known.answered_ms_ago / 1_000
            is_new = self.record_answer(known.signature, at) or is_new
        return is_new

    def _counted_ends(self, signature: RequestSignature, now: float) -> list[float]:
        """Return the monotonic times of the ends that count, in seconds."""
        request = self._requests.get(signature)
        if request is None:
            return []
        counted = _separate_causes(request.ends.values())
        longest_s = BLOCK_S if len(counted) >= BLOCK_AFTER else SUSPECT_S
        return [end.ended_at for end in counted if now - end.ended_at <= longest_s]

    def _adds_a_cause(self, signature: RequestSignature, end: EndedAttempt) -> bool:
        """Return whether one more end makes a difference to the verdict."""
        counted = self._counted_ends(signature, end.ended_at)
        is_apart = all(
            abs(end.ended_at - other) >= SAME_CAUSE_S or end.sent_at >= other for other in counted
        )
        return len(counted) < BLOCK_AFTER and is_apart

    def _limit_size(self) -> None:
        """Remove the oldest request with the fewest ends, unless there is room."""
        if len(self._requests) <= MAX_REQUESTS:
            return
        newest = next(reversed(self._requests))
        for most_ends in range(1, MAX_ENDS + BLOCK_AFTER):
            for signature, request in self._requests.items():
                if len(request.ends) <= most_ends and signature != newest:
                    del self._requests[signature]
                    return


def _separate_causes(ends: Iterable[EndedAttempt]) -> list[EndedAttempt]:
    """Return the first end of each cause, in order of time."""
    counted: list[EndedAttempt] = []
    for end in sorted(ends, key=lambda end: end.ended_at):
        if not counted or end.has_other_cause(counted[-1]):
            counted.append(end)
    return counted


def _export(signature: RequestSignature, request: _Request, now: float) -> KnownRequest:
    answered_ms_ago = None
    if request.answered_at is not None:
        answered_ms_ago = _ms_ago(request.answered_at, now)
    return KnownRequest(
        signature=signature,
        ends=tuple(_export_end(run, end, now) for run, end in request.ends.items()),
        answered_ms_ago=answered_ms_ago,
    )


def _export_end(run: ServerIncarnation, end: EndedAttempt, now: float) -> ServerEnd:
    return ServerEnd(
        run=run, sent_ms_ago=_ms_ago(end.sent_at, now), ms_ago=_ms_ago(end.ended_at, now)
    )


def _received(end: ServerEnd, now: float) -> EndedAttempt:
    """Return the end that another process has told, by this process's clock."""
    return EndedAttempt(sent_at=now - end.sent_ms_ago / 1_000, ended_at=now - end.ms_ago / 1_000)


def _ms_ago(at: float, now: float) -> int:
    return max(0, round((now - at) * 1_000))
