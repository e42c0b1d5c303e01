"""Outlier detection: servers that fail or slow down are left out for a time.

Only real answers count. Health and load endpoints lag or mislead, so they are not asked.
"""

from collections import deque
from dataclasses import dataclass

from lychee_types.ids import ServerId

FAILURES_IN_A_ROW = 3
"""Failures in a row after which a server is left out."""

RECENT_RESULTS = 20
"""Number of newest results that the share of failures is taken over."""

FAILURE_SHARE = 0.5
"""Share of failures among the newest results from which a server is left out."""

SLOW_FACTOR = 5.0
"""Times the median of the others above which a server's answers count as slow."""

SLOW_ANSWERS = 8
"""Answers needed before a server can count as slow."""

SLOW_FLOOR_S = 0.02
"""Mean time to an answer below which no server counts as slow, in seconds."""

BASE_EJECTION_S = 1.0
"""First time for which a server is left out, in seconds; it doubles each time."""

NON_IDEMPOTENT_EJECTION_S = 5.0
"""The same for services whose probes are not idempotent, and so may end as unknown."""

EJECTION_LIMIT_S = 30.0
"""Longest time for which a server is left out, in seconds."""

FORGIVEN_S = 60.0
"""Time without an ejection after which the time starts from its first value, in seconds."""

PROBES = 3
"""Good answers in a row that a server must give before it takes its usual work again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InUse:
    """The server takes its usual work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ejected:
    """The server is left out.

    :param until: monotonic time in seconds.
    """

    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Probing:
    """The server is given one request at a time.

    :param good: good answers so far.
    """

    good: int = 0


EjectionState = InUse | Ejected | Probing


class _Record:
    """What is kept of one server."""

    def __init__(self) -> None:
        self.state: EjectionState = InUse()
        self.results: deque[bool] = deque(maxlen=RECENT_RESULTS)
        self.in_a_row = 0
        self.ejections = 0
        self.ejected_at = float("-inf")


class OutlierDetector:
    """Decides which servers of one service are left out; never more than half of them.

    :param base_ejection_s: first time for which a server is left out, in seconds.
    """

    def __init__(self, *, base_ejection_s: float = BASE_EJECTION_S) -> None:
        self._base_ejection_s = base_ejection_s
        self._records: dict[ServerId, _Record] = {}

    def set_servers(self, servers: set[ServerId]) -> None:
        """Forget servers that are gone and learn of new ones."""
        for gone in set(self._records) - servers:
            del self._records[gone]
        for new in servers - set(self._records):
            self._records[new] = _Record()

    def reset(self, server: ServerId) -> None:
        """Start anew with a server, for example after it restarted."""
        self._records[server] = _Record()

    def ejection_state(self, server: ServerId, now: float) -> EjectionState:
        """Return how a server stands.

        :param server: its id.
        :param now: monotonic time in seconds.
        """
        record = self._records.get(server)
        if record is None:
            return InUse()
        if isinstance(record.state, Ejected) and record.state.until <= now:
            record.state = Probing()
        return record.state

    def record_success(self, server: ServerId, now: float, *, slow: bool = False) -> bool:
        """Count an answer, and return whether the server was left out for it.

        :param server: the server's id.
        :param now: monotonic time in seconds.
        :param slow: whether the server's answers are slow by :func:`is_slow`.
        """
        record = self._records.get(server)
        if record is None:
            return False
        record.in_a_row = 0
        record.results.append(True)
        match self.ejection_state(server, now):
            case Probing() if slow:
                return self._eject(record, now, forced=True)
            case Probing(good=good) if good + 1 >= PROBES:
                record.state = InUse()
                record.results.clear()
            case Probing(good=good):
                record.state = Probing(good=good + 1)
            case InUse() if slow:
                return self._eject(record, now)
            case _:
                pass
        return False

    def record_failure(self, server: ServerId, now: float) -> bool:
        """Count a failure, and return whether the server was left out for it.

        :param server: the server's id.
        :param now: monotonic time in seconds.
        """
        record = self._records.get(server)
        if record is None:
            return False
        record.in_a_row += 1
        record.results.append(False)
        match self.ejection_state(server, now):
            case Probing():
                return self._eject(record, now, forced=True)
            case InUse() if record.in_a_row >= FAILURES_IN_A_ROW or _fails_often(record):
                return self._eject(record, now)
            case _:
                return False

    def _eject(self, record: _Record, now: float, *, forced: bool = False) -> bool:
        """Leave a server out; one that was being probed was left out already."""
        left_out = sum(not isinstance(r.state, InUse) for r in self._records.values())
        if not forced and 2 * (left_out + 1) > len(self._records):
            return False
        if now - record.ejected_at > FORGIVEN_S:
            record.ejections = 0
        record.ejections += 1
        record.ejected_at = now
        length = min(EJECTION_LIMIT_S, self._base_ejection_s * 2 ** (record.ejections - 1))
        record.state = Ejected(until=now + length)
        record.in_a_row = 0
        record.results.clear()
        return True


def _fails_often(record: _Record) -> bool:
    full = len(record.results) == RECENT_RESULTS
    return full and record.results.count(False) >= FAILURE_SHARE * RECENT_RESULTS


def is_stuck(*, oldest_s: float, typical_s: float) -> bool:
    """Return whether a server keeps a request waiting so long that it should get no other one.

    :param oldest_s: age of its oldest request without an answer, in seconds.
    :param typical_s: usual time to an answer in seconds, 0 if unknown.
    """
    return typical_s > 0 and oldest_s > SLOW_FACTOR * max(typical_s, SLOW_FLOOR_S)


def is_slow(*, mean_s: float, response_count: int, others_s: list[float]) -> bool:
    """Return whether a server's answers are slow beside the others'.

    :param mean_s: its mean time to an answer in seconds, scaled by its announced speed.
    :param response_count: number of its answers.
    :param others_s: the same times of the other servers.
    """
    if response_count < SLOW_ANSWERS or mean_s < SLOW_FLOOR_S or not others_s:
        return False
    return mean_s > SLOW_FACTOR * sorted(others_s)[len(others_s) // 2]
