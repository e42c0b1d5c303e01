"""Admission of requests for keys whose owner gets more than it can serve.

The load: many callers want a few adjacent keys, so that one owner gets several times its capacity
until its keys have been split and moved. Each of about a hundred gateways sends it a few requests a
second and cannot know its queue. Servers of such a service leave unanswered what they cannot queue.
"""

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass
from math import exp, sqrt
from random import Random

from lychee_policy.full_servers import has_long_queue
from lychee_types.overload_messages import OwnerShare
from lychee_types.registry import ServerIncarnation

UTILIZATION = 0.85
"""Share of an owner's capacity up to which requests are admitted while its queue is as intended."""

MIN_UTILIZATION = 0.1
"""Share of an owner's capacity up to which requests are admitted while its queue is long."""

MAX_UTILIZATION = 1.0
"""Share of an owner's capacity up to which requests are admitted while its queue is short."""

REQUESTS_PER_SLOT = 1.25
"""Intended number of requests that an owner runs or queues, per slot."""

DRAIN_S = 0.5
"""Time in which a queue is to approach its intended length, in seconds.

Shares act on the queue some 0.4 s late. A shorter time would let them oscillate.
"""

OCCUPIED_HOLD_S = 1.0
"""Time after which a reported number of requests at an owner is no longer used, in seconds."""

EVIDENCE_S = 10.0
"""Time after a report of unanswered requests in which shares are computed, in seconds."""

QUEUE_HOLD_S = 4.0
"""Time for which a reported queue may have left a request unanswered, in seconds.

A caller's timeout ends long after the request found the queue full.
"""

SHARE_HOLD_S = 1.5
"""Time after which a share that is not repeated expires, in seconds."""

MAX_FALL = 0.25
"""Lowest ratio of a share to the one of the interval before."""

MAX_RISE = 0.5
"""Maximum rise of the admitted rate in one interval, as a share of the owner's capacity."""

MIN_SHARE = 0.005
"""Lowest share; requests that are admitted measure the owner's service time."""

NOISE_DEVIATIONS = 0.25
"""Deviations by which the latest rate may differ from the steady one by chance."""

ANSWERS_DECAY_S = 8.0
"""Time in which the weight of an answer in a server's capacity falls to 1/e, in seconds."""

MEAN_ANSWERS = 10.0
"""Weight of the mean service time of all servers in that of one server, as a number of answers."""

MIN_RETRY_S = 2.0
"""Minimum time over which the returns of refused callers are spread, in seconds."""

MAX_RETRY_S = 6.0
"""Maximum time over which the returns of refused callers are spread, in seconds."""

EARLIEST_RETURN_SHARE = 0.4
"""Share of a share's `retry_s` before which no refused caller is told to return."""

MAX_MIX_REQUESTS = 64.0
"""Number of requests after which the weights of all requests in the mix of routes are halved."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerLoad:
    """What one owner gets and can serve.

    :param run: the owner.
    :param demand_per_s: requests per second for its keys, including refused ones.
    :param capacity_per_s: requests per second that it can serve.
    :param excess: number of requests that it runs or queues beyond the intended number; negative
        if there are fewer.
    """

    run: ServerIncarnation
    demand_per_s: float
    capacity_per_s: float
    excess: float = 0.0

    @property
    def wanted_share(self) -> float:
        """Return the share to admit, so that the queue of an overloaded owner gets short."""
        if self.demand_per_s <= UTILIZATION * self.capacity_per_s:
            return 1.0
        return min(1.0, self._admitted_per_s / self.demand_per_s)

    @property
    def _admitted_per_s(self) -> float:
        wanted = UTILIZATION * self.capacity_per_s - self.excess / DRAIN_S
        lowest, highest = MIN_UTILIZATION, MAX_UTILIZATION
        return max(lowest * self.capacity_per_s, min(highest * self.capacity_per_s, wanted))


def estimated_demand(*, steady: float, latest: float, latest_window_s: float) -> float:
    """Return the steady rate, or the nearest rate that the latest one does not rule out.

    It follows a burst of requests and its end within about the shorter window.

    :param steady: requests per second over the longer window.
    :param latest: requests per second over the shorter window.
    :param latest_window_s: length of the shorter window, in seconds.
    """
    noise = NOISE_DEVIATIONS * sqrt(max(0.0, latest) / latest_window_s)
    return min(max(steady, latest - noise), latest + noise)


@dataclass(kw_only=True, slots=True)
class AnsweredWork:
    """Decaying sums of a server's answers and of the work that they took.

    :param updated_at: monotonic time in seconds of the last change.
    :param answers: number of answers.
    :param work_s: time that they took, without queueing, in seconds.
    :param occupied: number of requests that it runs or queues, as reported last.
    :param occupied_at: monotonic time in seconds of that report.
    :param long_queue_at: monotonic time in seconds at which it last reported a long queue.
    """

    updated_at: float
    answers: float = 0.0
    work_s: float = 0.0
    occupied: int = 0
    occupied_at: float = -OCCUPIED_HOLD_S
    long_queue_at: float = -QUEUE_HOLD_S

    def had_long_queue(self, now: float) -> bool:
        """Return whether requests that are given up now may have found the server full.

        :param now: monotonic time in seconds.
        """
        return now - self.long_queue_at < QUEUE_HOLD_S

    def record_occupied(self, occupied: int, now: float, *, slots: int) -> None:
        """Record how many requests the server runs or queues.

        :param occupied: the number, as it reported last.
        :param now: monotonic time in seconds.
        :param slots: number of requests that it works on at once.
        """
        self.occupied, self.occupied_at = occupied, now
        if has_long_queue(occupied, slots):
            self.long_queue_at = now

    def excess(self, *, slots: int, now: float) -> float:
        """Return how many requests it runs or queues beyond the intended number, 0 if unknown."""
        if now - self.occupied_at >= OCCUPIED_HOLD_S:
            return 0.0
        return self.occupied - REQUESTS_PER_SLOT * slots

    def add(self, answers: int, work_s: float, now: float) -> None:
        """Add what was reported now.

        :param answers: number of answers.
        :param work_s: time that they took, without queueing, in seconds.
        :param now: monotonic time in seconds.
        """
        self.decay(now)
        self.answers += answers
        self.work_s += work_s

    def decay(self, now: float) -> None:
        """Reduce the weight of what was reported earlier."""
        kept = exp((self.updated_at - now) / ANSWERS_DECAY_S)
        self.answers, self.work_s, self.updated_at = self.answers * kept, self.work_s * kept, now

    def capacity_per_s(self, *, slots: int, mean_s: float) -> float:
        """Return how many requests per second the server can serve.

        What a server answers is no more than it can serve. It is the better estimate where servers
        report no queue, so that the measured work includes queueing.

        :param slots: number of requests that it works on at once.
        :param mean_s: mean service time of all servers of the service, in seconds.
        """
        total_s = self.work_s + MEAN_ANSWERS * mean_s
        answered_per_s = max(0.0, self.answers - sqrt(self.answers)) / ANSWERS_DECAY_S
        return max(slots * (self.answers + MEAN_ANSWERS) / total_s, answered_per_s)


def mean_service_time_s(works: Iterable[AnsweredWork], *, default_s: float) -> float:
    """Return the mean service time of some servers, in seconds.

    :param works: what they have answered.
    :param default_s: the result if they have answered nothing.
    """
    known = tuple(works)
    answers = sum(work.answers for work in known)
    return sum(work.work_s for work in known) / answers if answers >= 1 else default_s


class OwnerShares:
    """The leader's shares of all overloaded owners, updated at a fixed interval."""

    def __init__(self) -> None:
        self._shares: dict[ServerIncarnation, float] = {}

    def __len__(self) -> int:
        """Return how many owners are overloaded."""
        return len(self._shares)

    def update(self, loads: Iterable[OwnerLoad]) -> tuple[OwnerShare, ...]:
        """Return the shares of the overloaded ones of some owners; the others are forgotten."""
        shares = {load.run: self._bounded_share(load) for load in loads}
        self._shares = {run: share for run, share in shares.items() if share < 1.0}
        return tuple(
            OwnerShare(run=run, share=share, retry_s=_retry_s(share))
            for run, share in self._shares.items()
        )

    def _bounded_share(self, load: OwnerLoad) -> float:
        former = self._shares.get(load.run, 1.0)
        if load.demand_per_s <= 0:
            return 1.0
        highest = former + MAX_RISE * load.capacity_per_s / load.demand_per_s
        return max(MIN_SHARE, former * MAX_FALL, min(load.wanted_share, highest))


def _retry_s(share: float) -> float:
    """Return the time in which an owner can serve what exceeds its capacity in a second."""
    return min(MAX_RETRY_S, max(MIN_RETRY_S, 1 / share - 1))


class RouteMix:
    """Numbers of a gateway's recent requests to one service by the priority of their routes."""

    def __init__(self) -> None:
        self._requests: dict[int, float] = {}
        self._total = 0.0

    def count(self, priority: int) -> None:
        """Count a request."""
        self._requests[priority] = self._requests.get(priority, 0.0) + 1
        self._total += 1
        if self._total > MAX_MIX_REQUESTS:
            self._requests = {known: number / 2 for known, number in self._requests.items()}
            self._total /= 2

    def admitted_share(self, priority: int, share: float) -> float:
        """Return the share of a priority's requests to admit, if a share of all is admitted."""
        return _share_of_priority(self._requests, self._total, priority, share)


def _share_of_priority(
    requests: Mapping[int, float], total: float, priority: int, share: float
) -> float:
    own = requests.get(priority, 0.0)
    if own <= 0:
        return share
    more_urgent = sum(number for known, number in requests.items() if known < priority)
    return min(1.0, max(0.0, (share * total - more_urgent) / own))


class OwnerAdmission:
    """A gateway's decision whether to send a request to the owner of its key.

    :param rng: source of random numbers.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._shares: dict[ServerIncarnation, OwnerShare] = {}
        self._expires_at = 0.0
        self._mixes: dict[Hashable, RouteMix] = {}

    def record(self, shares: Iterable[OwnerShare], now: float) -> None:
        """Replace all shares by the leader's newest ones."""
        self._shares = {share.run: share for share in shares if 0 < share.share < 1}
        self._expires_at = now + SHARE_HOLD_S

    def shares(self, now: float) -> Mapping[ServerIncarnation, OwnerShare]:
        """Return the shares that have not expired."""
        if self._shares and now >= self._expires_at:
            self._shares = {}
        return self._shares

    def count(self, service: Hashable, priority: int) -> None:
        """Count a request for the mix of a service's routes."""
        mix = self._mixes.get(service)
        if mix is None:
            mix = self._mixes[service] = RouteMix()
        mix.count(priority)

    def refused_for_s(
        self, run: ServerIncarnation, service: Hashable, *, priority: int, now: float
    ) -> float | None:
        """Return after which time a refused caller may return, None if the request is admitted.

        :param run: the owner of the request's key.
        :param service: the service, whose routes share the owner.
        :param priority: priority of the request's route; a lower number is more urgent.
        :param now: monotonic time in seconds.
        """
        known = self.shares(now).get(run)
        if known is None:
            return None
        if self._rng.random() < self.admitted_share(run, service, priority=priority, now=now):
            return None
        spread = EARLIEST_RETURN_SHARE + (1 - EARLIEST_RETURN_SHARE) * self._rng.random()
        return known.retry_s * spread

    def admitted_share(
        self, run: ServerIncarnation, service: Hashable, *, priority: int, now: float
    ) -> float:
        """Return the share of requests that is admitted, 1.0 at an owner that is not overloaded.

        :param run: the owner of the requests' keys.
        :param service: the service, whose routes share the owner.
        :param priority: priority of the requests' route.
        :param now: monotonic time in seconds.
        """
        known = self.shares(now).get(run)
        if known is None:
            return 1.0
        mix = self._mixes.get(service)
        return known.share if mix is None else mix.admitted_share(priority, known.share)
