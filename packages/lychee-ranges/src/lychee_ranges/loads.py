"""Load of keyed services as the gateways measured it, forgotten exponentially."""

from dataclasses import dataclass, field
from math import exp

from lychee_types.ids import ServerId, ServiceName
from lychee_types.registry_messages import LoadReport

BUCKET_KEYS = 1
"""Number of neighbouring keys that are counted together: one key alone may be hot."""

SLOW_S = 3.0
"""Time in which the steady rate falls to 1/e without further requests, in seconds."""

FAST_S = 0.4
"""Time in which the latest rate falls to 1/e without further requests, in seconds."""

FIRST_PACE_S = 0.05
"""Time that an answer takes before any has been measured, in seconds."""

FADED = 0.05
"""Remaining requests below which a bucket is forgotten."""

PACE_WEIGHT = 20.0
"""Number of answers after which a measured pace outweighs the assumed one."""

PACE_MEMORY = 160.0
"""Number of answers in which an answer's weight in the pace falls to 1/e."""


def bucket_of(key: int) -> int:
    """Return the bucket of a key."""
    return key // BUCKET_KEYS


@dataclass(kw_only=True, slots=True)
class _Rate:
    """Two decaying sums of requests."""

    slow: float = 0.0
    fast: float = 0.0
    at: float = 0.0

    def add(self, requests: float, now: float) -> None:
        self.slow = self.slow * exp((self.at - now) / SLOW_S) + requests
        self.fast = self.fast * exp((self.at - now) / FAST_S) + requests
        self.at = now

    def slow_at(self, now: float) -> float:
        return self.slow * exp((self.at - now) / SLOW_S)

    def fast_at(self, now: float) -> float:
        return self.fast * exp((self.at - now) / FAST_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class BucketRates:
    """Requests of one service by bucket.

    :param slow: steady requests a second.
    :param fast: requests a second by the last reports alone; they vary by chance.
    """

    slow: dict[int, float] = field(default_factory=dict)
    fast: dict[int, float] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class _Pace:
    """Answers of a server and the time that they took."""

    busy_s: float = 0.0
    answers: float = 0.0

    def add(self, busy_s: float, answers: int) -> None:
        keep = exp(-answers / PACE_MEMORY)
        self.busy_s = self.busy_s * keep + busy_s
        self.answers = self.answers * keep + answers


class LoadBook:
    """Rates by key and answer times by server.

    :param now: when it begins to take reports, clock seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._began = now
        self._rates: dict[ServiceName, dict[int, _Rate]] = {}
        self._paces: dict[ServerId, _Pace] = {}

    def take(self, report: LoadReport, now: float) -> None:
        """Add a gateway's report.

        :param report: the report.
        :param now: clock seconds.
        """
        for service in report.services:
            rates = self._rates.setdefault(service.service, {})
            for load in service.keys:
                rates.setdefault(load.bucket, _Rate()).add(load.requests, now)
        for pace in report.servers:
            if pace.answers:
                self._paces.setdefault(pace.server, _Pace()).add(pace.busy_s, pace.answers)

    def forget_cold(self, now: float) -> None:
        """Drop buckets whose rate has faded."""
        for rates in self._rates.values():
            faded = [bucket for bucket, rate in rates.items() if rate.slow_at(now) < FADED]
            for bucket in faded:
                del rates[bucket]

    def rates(self, service: ServiceName, now: float) -> BucketRates:
        """Return the requests of each bucket of a service."""
        known = self._rates.get(service, {})
        warm_s = min(SLOW_S, max(FAST_S, now - self._began))
        return BucketRates(
            slow={bucket: rate.slow_at(now) / warm_s for bucket, rate in known.items()},
            fast={bucket: rate.fast_at(now) / FAST_S for bucket, rate in known.items()},
        )

    def pace_s(self, server: ServerId, *, usual_s: float = FIRST_PACE_S) -> float:
        """Return how long a server works on a request, in seconds.

        :param server: the server.
        :param usual_s: pace of the service's usual server.
        """
        pace = self._paces.get(server)
        if pace is None:
            return usual_s
        total = pace.busy_s + usual_s * PACE_WEIGHT
        return total / (pace.answers + PACE_WEIGHT)

    def usual_pace_s(self, servers: tuple[ServerId, ...]) -> float:
        """Return the mean pace of some servers, in seconds."""
        known = [self._paces[server] for server in servers if server in self._paces]
        answers = sum(pace.answers for pace in known)
        if answers < 1.0:
            return FIRST_PACE_S
        return sum(pace.busy_s for pace in known) / answers
