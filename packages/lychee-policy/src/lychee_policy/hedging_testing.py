"""Simulate second copies of requests: arrivals, a pool of slots and one gateway."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lychee_policy.hedging import CopyRequest, RouteCopies, Suppression

TIMEOUT_S = 60.0
"""Time that every request has, in seconds."""


@dataclass(frozen=True, kw_only=True)
class CopyLoad:
    """The requests of one route.

    :param work_s: returns the time that a server needs for an attempt that begins at a time.
    :param per_s: returns the number of requests per second at a time.
    :param max_share: maximum number of copies for each request, 0 for none.
    :param percentile: percentile of the response times after which a copy is sent.
    :param slots: number of attempts that all servers together work on at once.
    :param seed: seed of the random numbers.
    """

    work_s: Callable[[Random, float], float]
    per_s: Callable[[float], float] = lambda now: 100.0
    max_share: float = 0.1
    percentile: float = 95.0
    slots: int = 200
    seed: int = 1


@dataclass(kw_only=True)
class CopyCounts:
    """What became of the requests.

    :param times_s: response times in order of arrival, in seconds.
    :param copies_at: times at which copies were sent, in seconds.
    :param work_s: time that servers worked, in seconds.
    :param suppressed: why requests for which one was due got no copy, in order.
    """

    times_s: list[float] = field(default_factory=list)
    copies_at: list[float] = field(default_factory=list)
    work_s: float = 0.0
    suppressed: list[Suppression] = field(default_factory=list)

    def percentile_s(self, percentile: float) -> float:
        """Return a percentile of all response times in seconds."""
        ordered = sorted(self.times_s)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percentile / 100))]


@dataclass(kw_only=True)
class _Request:
    number: int
    arrived_at: float
    attempts: list["_Attempt"] = field(default_factory=list)
    is_answered: bool = False


@dataclass(kw_only=True)
class _Attempt:
    request: _Request
    sent_at: float
    began_at: float | None = None


class CopySimulation:
    """Simulates the gateway and its servers.

    :param load: the requests.
    """

    def __init__(self, load: CopyLoad) -> None:
        self._load = load
        self._arrivals = Random(load.seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._busy = 0
        self._waiting: deque[_Attempt] = deque()
        self._counts = CopyCounts()
        self._copies = RouteCopies(
            max_share=load.max_share, percentile=load.percentile, now=self._now
        )

    def run(self, seconds: float) -> CopyCounts:
        """Simulate arrivals for some seconds, and what becomes of them."""
        self._schedule(0.0, lambda: self._arrive(seconds))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self._counts

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self._now + delay_s, self._event_count, action))

    def _arrive(self, until: float) -> None:
        request = _Request(number=len(self._counts.times_s), arrived_at=self._now)
        self._counts.times_s.append(float("inf"))
        self._copies.count_request(self._now)
        delay_s = self._copies.delay_s(self._now)
        self._send(request)
        if delay_s is not None and self._load.max_share:
            self._schedule(delay_s, lambda: self._copy(request))
        gap_s = self._arrivals.expovariate(self._load.per_s(self._now))
        if self._now + gap_s < until:
            self._schedule(gap_s, lambda: self._arrive(until))

    def _copy(self, request: _Request) -> None:
        if request.is_answered:
            return
        reason = self._copies.find_suppression(self._facts(request), self._now)
        if reason is None and self._busy >= self._load.slots:
            reason = Suppression.NO_ROOM
        if reason is not None:
            self._counts.suppressed.append(reason)
            return
        self._copies.spend()
        self._counts.copies_at.append(self._now)
        self._send(request)

    def _facts(self, request: _Request) -> CopyRequest:
        return CopyRequest(
            is_idempotent=True,
            is_keyed=False,
            is_whole=True,
            is_suspected=False,
            is_stopping=False,
            attempts=1,
            max_attempts=2,
            is_answer_begun=False,
            left_s=request.arrived_at + TIMEOUT_S - self._now,
        )

    def _send(self, request: _Request) -> None:
        attempt = _Attempt(request=request, sent_at=self._now)
        request.attempts.append(attempt)
        if self._busy < self._load.slots:
            self._begin(attempt)
        else:
            self._waiting.append(attempt)

    def _begin(self, attempt: _Attempt) -> None:
        self._busy += 1
        attempt.began_at = self._now
        request = attempt.request
        # The same attempt takes as long in each run, with copies or without.
        rng = Random(f"{self._load.seed} {request.number} {request.attempts.index(attempt)}")
        work_s = self._load.work_s(rng, self._now)
        self._schedule(work_s, lambda: self._answer(attempt))

    def _answer(self, attempt: _Attempt) -> None:
        request = attempt.request
        if request.is_answered:
            return
        request.is_answered = True
        self._counts.times_s[request.number] = self._now - request.arrived_at
        # The time of the first attempt counts, also where that is cancelled for its copy.
        self._copies.times.record(self._now - request.attempts[0].sent_at, self._now)
        for each in request.attempts:
            self._end(each)

    def _end(self, attempt: _Attempt) -> None:
        if attempt.began_at is None:
            self._waiting.remove(attempt)
            return
        self._counts.work_s += self._now - attempt.began_at
        self._busy -= 1
        if self._waiting:
            self._begin(self._waiting.popleft())
