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

MEMORY_S = 10.0
"""Time constant in seconds with which past load is forgotten."""

LONGEST_INTERVAL_S = 5.0
"""Longest interval in seconds that one report counts for."""

TRACKED_KEYS = 256
"""Number of hot keys tracked for a service."""


@dataclass(kw_only=True, slots=True)
class DecayingSum:
    """A sum in which past amounts count less and less.

    :param value: the sum at ``at``.
    :param at: time in seconds of the last amount.
    """

    value: float = 0.0
    at: float = 0.0

    def add(self, *, now: float, amount: float) -> None:
        """Add an amount."""
        self.value = self.at_time(now) + amount
        self.at = now

    def at_time(self, now: float) -> float:
        """Return the sum at a time in seconds."""
        return self.value * exp(-max(now - self.at, 0.0) / MEMORY_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRate:
    """How often a key is asked for.

    :param key: hash of the key.
    :param rate: requests a second over all gateways.
    """

    key: KeyHash
    rate: float


class Loads:
    """Merges reports of load."""

    def __init__(self) -> None:
        self._reported: dict[SessionId, float] = {}
        self._answered: dict[ServerId, DecayingSum] = {}
        self._busy_ms: dict[ServerId, DecayingSum] = {}
        self._keys: dict[ServiceName, dict[KeyHash, DecayingSum]] = {}

    def note(self, *, now: float, report: ReportLoad) -> None:
        """Take in a gateway's report.

        :param now: when it was received, in seconds.
        :param report: the report.
        """
        since = self._reported.get(report.session, now)
        self._reported[report.session] = now
        for load in report.servers:
            self._note_server(now=now, load=load)
        for hot in report.hot_keys:
            interval_s = min(now - since, LONGEST_INTERVAL_S)
            self._note_key(now=now, hot=hot, amount=hot.rate * interval_s)

    def _note_server(self, *, now: float, load: ServerLoad) -> None:
        if not load.answered:
            return
        self._answered.setdefault(load.server, DecayingSum()).add(now=now, amount=load.answered)
        self._busy_ms.setdefault(load.server, DecayingSum()).add(now=now, amount=load.busy_ms)

    def _note_key(self, *, now: float, hot: HotKey, amount: float) -> None:
        keys = self._keys.setdefault(hot.service, {})
        keys.setdefault(hot.key, DecayingSum()).add(now=now, amount=amount)
        if len(keys) > 2 * TRACKED_KEYS:
            hottest = sorted(keys, key=lambda key: -keys[key].at_time(now))
            self._keys[hot.service] = {key: keys[key] for key in hottest[:TRACKED_KEYS]}

    def forget_gateway(self, session: SessionId) -> None:
        """Drop what is kept of a gateway's run."""
        self._reported.pop(session, None)

    def forget_server(self, server: ServerId) -> None:
        """Drop what is kept of a server."""
        self._answered.pop(server, None)
        self._busy_ms.pop(server, None)

    def answered(self, *, now: float, server: ServerId) -> float:
        """Return how many answers of a server still count."""
        answered = self._answered.get(server)
        return 0.0 if answered is None else answered.at_time(now)

    def rate(self, *, now: float, server: ServerId) -> float:
        """Return a server's answers a second."""
        return self.answered(now=now, server=server) / MEMORY_S

    def request_ms(self, *, now: float, server: ServerId) -> float:
        """Return a server's mean time for a request in milliseconds, 0 if none was answered."""
        answered = self.answered(now=now, server=server)
        busy = self._busy_ms.get(server)
        return busy.at_time(now) / answered if busy is not None and answered else 0.0

    def key_rates(self, *, now: float, service: ServiceName) -> Iterable[KeyRate]:
        """Return the hot keys of a service, hottest first."""
        rates = [
            KeyRate(key=key, rate=total.at_time(now) / MEMORY_S)
            for key, total in self._keys.get(service, {}).items()
        ]
        return sorted(rates, key=lambda found: (-found.rate, found.key))
