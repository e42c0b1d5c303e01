"""Outlier detection: servers that fail or respond slowly are ejected for some time.

Only responses to real requests count (passive health checking). Health and load endpoints are not
used because what they report lags behind or is misleading.
"""

from collections import deque
from dataclasses import dataclass

from lychee_types.ids import ServerId

CONSECUTIVE_FAILURES = 3
"""Number of consecutive failures after which a server is ejected."""

RECENT_RESULTS = 20
"""Number of most recent results that the share of failures is computed from."""

FAILURE_SHARE = 0.5
"""Share of failures among the recent results from which a server is ejected."""

SLOW_FACTOR = 5.0
"""Multiple of a typical response time above which a server counts as slow or stuck."""

MIN_RESPONSES = 8
"""Number of responses that are needed before a server can count as slow."""

MIN_SLOW_RESPONSE_S = 0.02
"""Mean response time in seconds below which no server counts as slow."""

BASE_EJECTION_S = 1.0
"""Duration of the first ejection in seconds; it doubles with each further ejection."""

NON_IDEMPOTENT_EJECTION_S = 5.0
"""Duration of the first ejection in seconds for services with non-idempotent requests.

It is longer because the outcome of a failed probe may remain unknown to the caller.
"""

MAX_EJECTION_S = 30.0
"""Maximum duration of an ejection in seconds."""

EJECTION_RESET_S = 60.0
"""Time in seconds since the last ejection after which the duration starts over."""

REQUIRED_PROBES = 3
"""Number of consecutive successful probes after which a server is fully in use again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InUse:
    """The server gets its normal share of requests."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ejected:
    """The server gets no requests.

    :param until: end of the ejection, as monotonic time in seconds.
    """

    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Probing:
    """The server gets one request at a time, as a probe.

    :param successes: number of successful probes in a row.
    """

    successes: int = 0


EjectionState = InUse | Ejected | Probing


class _Record:
    """Recent results and ejection state of one server."""

    def __init__(self) -> None:
        self.state: EjectionState = InUse()
        self.results: deque[bool] = deque(maxlen=RECENT_RESULTS)
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_at = float("-inf")


class OutlierDetector:
    """Decides which servers of one service are ejected, at most half of them.

    :param base_ejection_s: duration of the first ejection in seconds.
    """

    def __init__(self, *, base_ejection_s: float = BASE_EJECTION_S) -> None:
        self._base_ejection_s = base_ejection_s
        self._records: dict[ServerId, _Record] = {}

    def set_servers(self, servers: set[ServerId]) -> None:
        """Set the servers of the service: drop those no longer listed and add the new ones."""
        for gone in set(self._records) - servers:
            del self._records[gone]
        for new in servers - set(self._records):
            self._records[new] = _Record()

    def reset(self, server: ServerId) -> None:
        """Discard the results of a server, for example after it restarted."""
        self._records[server] = _Record()

    def ejection_state(self, server: ServerId, now: float) -> EjectionState:
        """Return whether a server is in use, ejected or being probed.

        :param server: the server's id.
        :param now: monotonic time in seconds.
        """
        record = self._records.get(server)
        if record is None:
            return InUse()
        if isinstance(record.state, Ejected) and record.state.until <= now:
            record.state = Probing()
        return record.state

    def record_success(self, server: ServerId, now: float, *, slow: bool = False) -> bool:
        """Count a successful response, and return whether it caused an ejection.

        :param server: the server's id.
        :param now: monotonic time in seconds.
        :param slow: whether the server is slow according to :func:`is_slow`.
        """
        record = self._records.get(server)
        if record is None:
            return False
        record.consecutive_failures = 0
        record.results.append(True)
        match self.ejection_state(server, now):
            case Probing() if slow:
                return self._eject(record, now, forced=True)
            case Probing(successes=successes) if successes + 1 >= REQUIRED_PROBES:
                record.state = InUse()
                record.results.clear()
            case Probing(successes=successes):
                record.state = Probing(successes=successes + 1)
            case InUse() if slow:
                return self._eject(record, now)
            case _:
                pass
        return False

    def record_failure(self, server: ServerId, now: float) -> bool:
        """Count a failure, and return whether it caused an ejection.

        :param server: the server's id.
        :param now: monotonic time in seconds.
        """
        record = self._records.get(server)
        if record is None:
            return False
        record.consecutive_failures += 1
        record.results.append(False)
        match self.ejection_state(server, now):
            case Probing():
                return self._eject(record, now, forced=True)
            case InUse() if record.consecutive_failures >= CONSECUTIVE_FAILURES or _fails_often(
                record
            ):
                return self._eject(record, now)
            case _:
                return False

    def _eject(self, record: _Record, now: float, *, forced: bool = False) -> bool:
        """Eject a server unless that would eject more than half of the servers.

        A server that is being probed counts as ejected already, so it is always ejected again.
        """
        ejected_count = sum(not isinstance(r.state, InUse) for r in self._records.values())
        if not forced and 2 * (ejected_count + 1) > len(self._records):
            return False
        if now - record.ejected_at > EJECTION_RESET_S:
            record.ejections = 0
        record.ejections += 1
        record.ejected_at = now
        duration_s = min(MAX_EJECTION_S, self._base_ejection_s * 2 ** (record.ejections - 1))
        record.state = Ejected(until=now + duration_s)
        record.consecutive_failures = 0
        record.results.clear()
        return True


def _fails_often(record: _Record) -> bool:
    full = len(record.results) == RECENT_RESULTS
    return full and record.results.count(False) >= FAILURE_SHARE * RECENT_RESULTS


def is_stuck(*, oldest_s: float, typical_s: float) -> bool:
    """Return whether a request has waited so long that the server should get no other one.

    :param oldest_s: age of the oldest request without a response, in seconds.
    :param typical_s: typical response time in seconds, 0 if unknown.
    """
    return typical_s > 0 and oldest_s > SLOW_FACTOR * max(typical_s, MIN_SLOW_RESPONSE_S)


def is_slow(*, mean_s: float, response_count: int, others_s: list[float]) -> bool:
    """Return whether a server is much slower than the median of the other servers.

    :param mean_s: its mean response time in seconds, multiplied by its announced speed.
    :param response_count: number of its responses.
    :param others_s: the same products for the other servers.
    """
    if response_count < MIN_RESPONSES or mean_s < MIN_SLOW_RESPONSE_S or not others_s:
        return False
    return mean_s > SLOW_FACTOR * sorted(others_s)[len(others_s) // 2]
