"""Load of keyed services as the gateways measured it, forgotten exponentially."""

from dataclasses import dataclass
from math import exp

from lychee_types.ids import ServerId, ServiceName
from lychee_types.registry import KeyRange
from lychee_types.registry_messages import LoadReport

BUCKET_KEYS = 8
"""Number of neighbouring keys that are counted together."""

MEMORY_S = 1.0
"""Time in which a rate falls to 1/e without further requests, in seconds."""

FIRST_PACE_S = 0.05
"""Time that an answer takes before any has been measured, in seconds."""

PACE_WEIGHT = 40.0
"""Number of answers after which a measured pace outweighs the assumed one."""


def bucket_of(key: int) -> int:
    """Return the bucket of a key."""
    return key // BUCKET_KEYS


@dataclass(kw_only=True, slots=True)
class _Rate:
    """A decaying sum of requests."""

    requests: float = 0.0
    at: float = 0.0

    def at_time(self, now: float) -> float:
        return self.requests * exp((self.at - now) / MEMORY_S)

    def add(self, requests: float, now: float) -> None:
        self.requests = self.at_time(now) + requests
        self.at = now


@dataclass(kw_only=True, slots=True)
class _Pace:
    """Answers of a server and the time that they took."""

    busy_s: float = 0.0
    answers: float = 0.0

    def add(self, busy_s: float, answers: int) -> None:
        keep = exp(-answers / (4 * PACE_WEIGHT))
        self.busy_s = self.busy_s * keep + busy_s
        self.answers = self.answers * keep + answers


class LoadBook:
    """Rates by key and answer times by server."""

    def __init__(self) -> None:
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
            faded = [bucket for bucket, rate in rates.items() if rate.at_time(now) < 0.01]
            for bucket in faded:
                del rates[bucket]

    def rates(self, service: ServiceName, now: float) -> dict[int, float]:
        """Return the requests a second of each bucket of a service."""
        known = self._rates.get(service, {})
        return {bucket: rate.at_time(now) / MEMORY_S for bucket, rate in known.items()}

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


