"""Load of backend servers and of hot keys, merged over the gateways' reports."""

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
"""Time constant in seconds with which past load is forgotten."""

MAX_INTERVAL_S = 5.0
"""Longest interval in seconds that one report counts for."""

MAX_TRACKED_KEYS = 256
"""Number of hot keys tracked for a service."""


@dataclass(kw_only=True, slots=True)
class DecayingSum:
    """A sum in which past amounts count less and less.

    :param value: the sum at ``at``.
    :param at: time in seconds of the last amount.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, *, now: float, amount: float) -> None:
        """Add an amount."""
        self.value = self.value_at(now) + amount
        self.updated_at = now

    def value_at(self, now: float) -> float:
        """Return the sum at a time in seconds."""
        return self.value * exp(-max(now - self.updated_at, 0.0) / DECAY_TIME_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRate:
    """How often a key is asked for.

    :param key: hash of the key.
    :param rate: requests a second over all gateways.
    """

    key: KeyHash
    rate: float


class LoadTracker:
    """Merges reports of load."""

    def __init__(self) -> None:
        self._last_report_at: dict[SessionId, float] = {}
        self._responses: dict[ServerId, DecayingSum] = {}
        self._busy_ms: dict[ServerId, DecayingSum] = {}
        self._keys: dict[ServiceName, dict[KeyHash, DecayingSum]] = {}

    def add_report(self, *, now: float, report: ReportLoad) -> None:
        """Take in a gateway's report.

        :param now: when it was received, in seconds.
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
        """Drop what is kept of a gateway's run."""
        self._last_report_at.pop(session, None)

    def forget_server(self, server: ServerId) -> None:
        """Drop what is kept of a server."""
        self._responses.pop(server, None)
        self._busy_ms.pop(server, None)

    def response_count(self, *, now: float, server: ServerId) -> float:
        """Return how many answers of a server still count."""
        answered = self._responses.get(server)
        return 0.0 if answered is None else answered.value_at(now)

    def response_rate(self, *, now: float, server: ServerId) -> float:
        """Return a server's answers a second."""
        return self.response_count(now=now, server=server) / DECAY_TIME_S

    def mean_response_ms(self, *, now: float, server: ServerId) -> float:
        """Return a server's mean time for a request in milliseconds, 0 if none was answered."""
        answered = self.response_count(now=now, server=server)
        busy = self._busy_ms.get(server)
        return busy.value_at(now) / answered if busy is not None and answered else 0.0

    def key_rates(self, *, now: float, service: ServiceName) -> Iterable[KeyRate]:
        """Return the hot keys of a service, hottest first."""
        rates = [
            KeyRate(key=key, rate=total.value_at(now) / DECAY_TIME_S)
            for key, total in self._keys.get(service, {}).items()
        ]
        return sorted(rates, key=lambda found: (-found.rate, found.key))
