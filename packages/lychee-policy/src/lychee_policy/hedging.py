"""Second copies (hedging): when an unanswered request is also sent to another server.

This is for a load on which a few servers, or a few requests, are slow among fast ones. It is of no
use where most are slow: more copies then only add load. So copies are limited to a share of a
route's requests, and none are made while more requests are slow than the delay accounts for.
"""

from dataclasses import dataclass
from enum import Enum

from hdrh.histogram import HdrHistogram

from lychee_policy.budget import BUCKET_S, RecentCount

TIMES_S = 5.0
"""Time for which one histogram records; a percentile is of the last one or two, in seconds."""

LONGEST_TIMES_S = 20.0
"""The same where requests are so few that the percentile would not be known, in seconds.

A gateway among many gets a few requests a second of each route.
"""

OLDER_FACTOR = 1.1
"""Time for which a full histogram still counts, by that in which it recorded.

The next one may take a little longer until it has recorded enough.
"""

REFRESH_S = 0.25
"""Interval at which the percentile is calculated anew, in seconds."""

TICKS_PER_S = 10_000
"""Resolution of the recorded response times, per second."""

MAX_TIME_S = 60.0
"""Response time above which all count as equal, in seconds."""

TIME_DIGITS = 2
"""Significant decimal digits of recorded response times."""

MIN_DELAY_S = 0.005
"""Minimum time before a copy is sent, in seconds."""

MIN_TIMES = 20
"""Response times without which no percentile is known."""

MIN_TIMES_ABOVE = 2
"""Response times above the percentile without which it is not known."""

BURST = 3.0
"""Copies that a route may save up while none are needed."""

DUE_S = 2.5
"""Time over which requests that are slower than the delay are counted, in seconds."""

DUE_SLACK = 3
"""Slow requests that are allowed in that time, however few requests there are."""


class Suppression(Enum):
    """Why a request gets no copy."""

    NOT_REPEATABLE = "not_repeatable"
    KEYED = "keyed"
    BODY_INCOMPLETE = "body_incomplete"
    SUSPECTED = "suspected"
    STOPPING = "stopping"
    NO_ATTEMPT_LEFT = "no_attempt_left"
    ANSWER_BEGUN = "answer_begun"
    NO_TIME = "no_time"
    MANY_SLOW = "many_slow"
    SHARE_SPENT = "share_spent"
    NO_ROOM = "no_room"
    RETRY_BUDGET = "retry_budget"


@dataclass(frozen=True, kw_only=True, slots=True)
class CopyRequest:
    """A request whose first attempt is not answered yet.

    :param is_idempotent: whether it may be run more than once.
    :param is_keyed: whether its key has one owner.
    :param is_whole: whether its whole body is there to be sent again.
    :param is_suspected: whether servers have ended under it.
    :param is_stopping: whether the gateway stops.
    :param attempts: number of servers that it was sent to, with the attempt that runs.
    :param max_attempts: maximum number of servers that it may be sent to.
    :param is_answer_begun: whether the answer to the first attempt has begun to arrive.
    :param left_s: time until its deadline, in seconds.
    """

    is_idempotent: bool
    is_keyed: bool
    is_whole: bool
    is_suspected: bool
    is_stopping: bool
    attempts: int
    max_attempts: int
    is_answer_begun: bool
    left_s: float


def find_obstacle(request: CopyRequest, *, needed_s: float) -> Suppression | None:
    """Return why a request gets no copy, whatever the load; None if it may get one.

    :param request: the request.
    :param needed_s: time within which a copy is usually answered, in seconds.
    """
    obstacles = (
        (not request.is_idempotent, Suppression.NOT_REPEATABLE),
        (request.is_keyed, Suppression.KEYED),
        (not request.is_whole, Suppression.BODY_INCOMPLETE),
        (request.is_suspected, Suppression.SUSPECTED),
        (request.is_stopping, Suppression.STOPPING),
        (request.attempts >= request.max_attempts, Suppression.NO_ATTEMPT_LEFT),
        (request.is_answer_begun, Suppression.ANSWER_BEGUN),
        (request.left_s < needed_s, Suppression.NO_TIME),
    )
    return next((reason for holds, reason in obstacles if holds), None)


class RecentTimes:
    """Percentiles of the response times of about the last ten seconds, or more if they are few.

    :param percentile: the percentile, below 100.
    :param now: monotonic time in seconds.
    """

    def __init__(self, *, percentile: float, now: float) -> None:
        self._percentile = percentile
        self._needed = max(MIN_TIMES, MIN_TIMES_ABOVE / (1 - percentile / 100))
        self._newer, self._older = _histogram(), _histogram()
        self._newer_since = now
        self._older_until = now
        self._calculated_at = float("-inf")
        self._high_s: float | None = None
        self._median_s = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Record a response time, or the time after which an attempt was cancelled.

        An attempt is cancelled for a copy after the delay only, so its time is on the right side of
        the percentile, though it would have been longer.

        :param seconds: the time in seconds.
        :param now: monotonic time in seconds.
        """
        self._rotate(now)
        self._newer.record_value(max(1, min(_ticks(MAX_TIME_S), _ticks(seconds))))

    def high_s(self, now: float) -> float | None:
        """Return the percentile in seconds, None if too few times are known."""
        self._calculate(now)
        return self._high_s

    def median_s(self, now: float) -> float:
        """Return the median in seconds, 0 if too few times are known."""
        self._calculate(now)
        return self._median_s

    def _calculate(self, now: float) -> None:
        if now - self._calculated_at < REFRESH_S:
            return
        self._calculated_at = now
        self._rotate(now)
        both = _histogram()
        both.add(self._newer)
        if now < self._older_until:
            both.add(self._older)
        self._high_s, self._median_s = None, 0.0
        if both.get_total_count() >= self._needed:
            self._high_s = both.get_value_at_percentile(self._percentile) / TICKS_PER_S
            self._median_s = both.get_value_at_percentile(50) / TICKS_PER_S

    def _rotate(self, now: float) -> None:
        age_s = now - self._newer_since
        is_sparse = self._newer.get_total_count() < self._needed
        if age_s < (LONGEST_TIMES_S if is_sparse else TIMES_S):
            return
        self._older, self._newer = self._newer, _histogram()
        recorded_s = min(age_s, LONGEST_TIMES_S)
        self._older_until = self._newer_since + (1 + OLDER_FACTOR) * recorded_s
        self._newer_since = now


class RouteCopies:
    """Decides on the copies of one route's requests at one gateway.

    :param max_share: maximum number of copies for each request, above 0.
    :param percentile: percentile of the response times after which a copy is sent.
    :param now: monotonic time in seconds.
    """

    def __init__(self, *, max_share: float, percentile: float, now: float) -> None:
        self.times = RecentTimes(percentile=percentile, now=now)
        self.last_request_at = now
        self._max_share = max_share
        self._saved = 0.0
        self._requests = _recent_count()
        self._due = _recent_count()
        slow_share = 1 - percentile / 100
        self._max_due_share = min(2 * slow_share, (1 + slow_share) / 2)

    @property
    def saved(self) -> float:
        """Number of copies that may be sent at once."""
        return self._saved

    def count_request(self, now: float) -> None:
        """Count a request; it earns its share of a copy."""
        self.last_request_at = now
        self._requests.add(now)
        self._saved = min(BURST, self._saved + self._max_share)

    def delay_s(self, now: float) -> float | None:
        """Return after which time a copy is due, in seconds; None while that is unknown."""
        high_s = self.times.high_s(now)
        return None if high_s is None else max(MIN_DELAY_S, high_s)

    def find_suppression(self, request: CopyRequest, now: float) -> Suppression | None:
        """Return why a request for which a copy is due gets none, None if it may get one.

        To be called once for each, as it counts how many requests are slow.
        """
        self._due.add(now)
        obstacle = find_obstacle(request, needed_s=max(MIN_DELAY_S, self.times.median_s(now)))
        if obstacle is not None:
            return obstacle
        if self._due.get(now) > self._max_due_share * self._requests.get(now) + DUE_SLACK:
            return Suppression.MANY_SLOW
        return Suppression.SHARE_SPENT if self._saved < 1 else None

    def spend(self) -> None:
        """Count a copy that is sent."""
        self._saved -= 1


def _recent_count() -> RecentCount:
    return RecentCount(buckets=int(DUE_S / BUCKET_S))


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _ticks(MAX_TIME_S), TIME_DIGITS)


def _ticks(seconds: float) -> int:
    return round(seconds * TICKS_PER_S)
