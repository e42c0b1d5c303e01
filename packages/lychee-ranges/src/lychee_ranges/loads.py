"""Load of keyed services from gateways' reports, with exponential decay."""

from dataclasses import dataclass, field
from math import exp

from lychee_types.ids import ServerId, ServiceName
from lychee_types.registry_messages import LoadReport

BUCKET_KEYS = 1
"""Number of adjacent keys that are counted together; 1 because a single key may be hot."""

STEADY_DECAY_S = 3.0
"""Time in which the steady rate falls to 1/e without further requests, in seconds."""

LATEST_DECAY_S = 0.4
"""Time in which the latest rate falls to 1/e without further requests, in seconds."""

DEFAULT_SERVICE_TIME_S = 0.05
"""Service time assumed before any has been measured, in seconds."""

MIN_BUCKET_REQUESTS = 0.05
"""Decayed number of requests below which a bucket is dropped."""

DEFAULT_WEIGHT_ANSWERS = 20.0
"""Weight of the assumed service time in the mean, as a number of answers."""

SERVICE_TIME_DECAY_ANSWERS = 160.0
"""Number of later answers after which an answer's weight in the mean has fallen to 1/e."""


def bucket_of(key: int) -> int:
    """Return the bucket of a key."""
    return key // BUCKET_KEYS


@dataclass(kw_only=True, slots=True)
class _DecayingCount:
    """Two sums of requests that decay at different speeds."""

    steady: float = 0.0
    latest: float = 0.0
    updated_at: float = 0.0

    def add(self, requests: float, now: float) -> None:
        self.steady = self.steady * exp((self.updated_at - now) / STEADY_DECAY_S) + requests
        self.latest = self.latest * exp((self.updated_at - now) / LATEST_DECAY_S) + requests
        self.updated_at = now

    def steady_at(self, now: float) -> float:
        return self.steady * exp((self.updated_at - now) / STEADY_DECAY_S)

    def latest_at(self, now: float) -> float:
        return self.latest * exp((self.updated_at - now) / LATEST_DECAY_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class BucketRates:
    """Request rates of one service by bucket.

    :param steady: requests per second over the longer window.
    :param latest: requests per second over the shorter window; these vary randomly.
    """

    steady: dict[int, float] = field(default_factory=dict)
    latest: dict[int, float] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class _ServiceTime:
    """Decaying sums of a server's answers and of the time that they took."""

    busy_s: float = 0.0
    answers: float = 0.0

    def add(self, busy_s: float, answers: int) -> None:
        kept_fraction = exp(-answers / SERVICE_TIME_DECAY_ANSWERS)
        self.busy_s = self.busy_s * kept_fraction + busy_s
        self.answers = self.answers * kept_fraction + answers


class LoadTracker:
    """Request rates by bucket and mean service times by server.

    :param now: monotonic time in seconds from which reports are added.
    """

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._counts: dict[ServiceName, dict[int, _DecayingCount]] = {}
        self._service_times: dict[ServerId, _ServiceTime] = {}

    def add_report(self, report: LoadReport, now: float) -> None:
        """Add a gateway's report.

        :param report: the report.
        :param now: monotonic time in seconds.
        """
        for service in report.services:
            counts = self._counts.setdefault(service.service, {})
            for load in service.keys:
                counts.setdefault(load.bucket, _DecayingCount()).add(load.requests, now)
        for stats in report.servers:
            if stats.answers:
                self._service_times.setdefault(stats.server, _ServiceTime()).add(
                    stats.busy_s, stats.answers
                )

    def drop_idle_buckets(self, now: float) -> None:
        """Drop buckets whose decayed number of requests is below :data:`MIN_BUCKET_REQUESTS`."""
        for counts in self._counts.values():
            idle = [
                bucket
                for bucket, count in counts.items()
                if count.steady_at(now) < MIN_BUCKET_REQUESTS
            ]
            for bucket in idle:
                del counts[bucket]

    def rates(self, service: ServiceName, now: float) -> BucketRates:
        """Return the request rates of each bucket of a service."""
        known = self._counts.get(service, {})
        window_s = min(STEADY_DECAY_S, max(LATEST_DECAY_S, now - self._started_at))
        return BucketRates(
            steady={bucket: count.steady_at(now) / window_s for bucket, count in known.items()},
            latest={
                bucket: count.latest_at(now) / LATEST_DECAY_S for bucket, count in known.items()
            },
        )

    def service_time_s(
        self, server: ServerId, *, default_s: float = DEFAULT_SERVICE_TIME_S
    ) -> float:
        """Return a server's mean service time, in seconds.

        :param server: the server.
        :param default_s: the time assumed until enough answers have been measured.
        """
        known = self._service_times.get(server)
        if known is None:
            return default_s
        total = known.busy_s + default_s * DEFAULT_WEIGHT_ANSWERS
        return total / (known.answers + DEFAULT_WEIGHT_ANSWERS)

    def mean_service_time_s(self, servers: tuple[ServerId, ...]) -> float:
        """Return the mean service time over all answers of some servers, in seconds."""
        known = [self._service_times[server] for server in servers if server in self._service_times]
        answers = sum(service_time.answers for service_time in known)
        if answers < 1.0:
            return DEFAULT_SERVICE_TIME_S
        return sum(service_time.busy_s for service_time in known) / answers
