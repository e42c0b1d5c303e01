"""Load of backend servers and of hot keys, merged from the reports of all gateways."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

from lychee_types.ids import KeyHash, ServerId, ServiceName, SessionId
from lychee_types.messages import (
    HotKey,
    ReportLoad,
    ServerLoad,
)

DECAY_TIME_S = 10.0
"""Time constant in seconds of the exponential decay of past load."""

MAX_INTERVAL_S = 5.0
"""Maximum interval in seconds that a single report may cover."""

MAX_TRACKED_KEYS = 256
"""Number of hot keys kept per service once more than twice as many are tracked."""


@dataclass(kw_only=True, slots=True)
class DecayingSum:
    """A sum whose past amounts decay exponentially.

    :param value: the sum at ``updated_at``.
    :param updated_at: monotonic time in seconds of the last amount.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, *, now: float, amount: float) -> None:
        """Add an amount."""
        self.value = self.value_at(now) + amount
        self.updated_at = now

    def value_at(self, now: float) -> float:
        """Return the decayed sum at a monotonic time in seconds."""
        return self.value * exp(-max(now - self.updated_at, 0.0) / DECAY_TIME_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRate:
    """Request rate of a key.

    :param key: hash of the key.
    :param rate: requests per second through all gateways.
    """

    key: KeyHash
    rate: float


class LoadTracker:
    """Merges load reports into decaying sums."""

    def __init__(self) -> None:
        self._last_report_at: dict[SessionId, float] = {}
        self._responses: dict[ServerId, DecayingSum] = {}
        self._busy_ms: dict[ServerId, DecayingSum] = {}
        self._keys: dict[ServiceName, dict[KeyHash, DecayingSum]] = {}

    def add_report(self, *, now: float, report: ReportLoad) -> None:
        """Add a gateway's load report.

        :param now: when the report was received, in seconds.
        :param report: the report.
        """
        since = self._last_report_at.get(report.session, now)
        self._last_report_at[report.session] = now
        for load in report.servers:
            self._add_server_load(now=now, load=load)
        for hot in report.hot_keys:
            interval_s = min(now - since, MAX_INTERVAL_S)
            self._add_key_load(now=now, hot=hot, amount=hot.rate * interval_s)

    def _add_server_load(self, *, now: float, load: ServerLoad) -> None:
        if not load.answered:
            return
        self._responses.setdefault(load.server, DecayingSum()).add(now=now, amount=load.answered)
        self._busy_ms.setdefault(load.server, DecayingSum()).add(now=now, amount=load.busy_ms)

    def _add_key_load(self, *, now: float, hot: HotKey, amount: float) -> None:
        keys = self._keys.setdefault(hot.service, {})
        keys.setdefault(hot.key, DecayingSum()).add(now=now, amount=amount)
        if len(keys) > 2 * MAX_TRACKED_KEYS:
            hottest_keys = sorted(keys, key=lambda key: -keys[key].value_at(now))
            self._keys[hot.service] = {key: keys[key] for key in hottest_keys[:MAX_TRACKED_KEYS]}

    def forget_gateway(self, session: SessionId) -> None:
        """Drop the data of a gateway session."""
        self._last_report_at.pop(session, None)

    def forget_server(self, server: ServerId) -> None:
        """Drop the data of a server."""
        self._responses.pop(server, None)
        self._busy_ms.pop(server, None)

    def response_count(self, *, now: float, server: ServerId) -> float:
        """Return the decayed number of a server's recent responses."""
        answered = self._responses.get(server)
        return 0.0 if answered is None else answered.value_at(now)

    def response_rate(self, *, now: float, server: ServerId) -> float:
        """Return a server's responses per second."""
        return self.response_count(now=now, server=server) / DECAY_TIME_S

    def mean_response_ms(self, *, now: float, server: ServerId) -> float:
        """Return a server's mean response time in milliseconds, 0 without a response."""
        count = self.response_count(now=now, server=server)
        busy = self._busy_ms.get(server)
        return busy.value_at(now) / count if busy is not None and count else 0.0

    def key_rates(self, *, now: float, service: ServiceName) -> Iterable[KeyRate]:
        """Return the hot keys of a service, hottest first."""
        rates = [
            KeyRate(key=key, rate=total.value_at(now) / DECAY_TIME_S)
            for key, total in self._keys.get(service, {}).items()
        ]
        return sorted(rates, key=lambda key_rate: (-key_rate.rate, key_rate.key))
