"""What gateways report of backend servers, combined over failure domains."""

from dataclasses import dataclass

from lychee_types.ids import DomainName, ServerId
from lychee_types.messages import (
    ServerLoad,
)

MIN_FAILING_DOMAINS = 2
"""How many failure domains must have seen a server fail before it counts as unreachable."""

REPORT_VALIDITY_S = 2.0
"""Age in seconds at which a report no longer counts."""

BASE_EXCLUSION_S = 5.0
"""First time in seconds for which an unreachable server that announces itself is kept out."""

MAX_EXCLUSION_S = 300.0
"""Longest such time in seconds."""


@dataclass(kw_only=True, slots=True)
class DomainObservation:
    """What a failure domain's gateways have seen of a server.

    :param failing_since: since when every request has failed, None if one was answered.
    :param seen_at: when the newest report was received.
    """

    failing_since: float | None
    reported_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Exclusion:
    """A server that is kept out.

    :param until: end of the exclusion in seconds.
    :param length: its length in seconds.
    """

    until: float
    duration_s: float


class ReachabilityTracker:
    """Tells which servers several failure domains cannot reach."""

    def __init__(self) -> None:
        self._observations: dict[ServerId, dict[DomainName, DomainObservation]] = {}
        self._exclusions: dict[ServerId, Exclusion] = {}

    def add_report(self, *, now: float, domain: DomainName, load: ServerLoad) -> None:
        """Take in a gateway's word on one server.

        :param now: when it was received, in seconds.
        :param domain: the gateway's failure domain.
        :param load: what the gateway has seen.
        """
        if not load.answered and not load.failed:
            return
        observations = self._observations.setdefault(load.server, {})
        before = observations.get(domain)
        if load.answered:
            observations[domain] = DomainObservation(failing_since=None, reported_at=now)
            self._drop_reachable(load.server)
            return
        fresh = before is not None and now < before.reported_at + REPORT_VALIDITY_S
        since = before.failing_since if before is not None and fresh else None
        observations[domain] = DomainObservation(
            failing_since=now if since is None else since, reported_at=now
        )

    def _drop_reachable(self, server: ServerId) -> None:
        """Drop the sightings of a server that no failure domain sees fail."""
        if all(s.failing_since is None for s in self._observations[server].values()):
            del self._observations[server]

    def is_unreachable(self, *, now: float, server: ServerId, for_s: float) -> bool:
        """Return whether several failure domains have only seen a server fail.

        :param now: the leader's time in seconds.
        :param server: the server's id.
        :param for_s: for how long at least, in seconds.
        """
        observations = self._observations.get(server)
        if not observations:
            return False
        fresh = [
            observation
            for observation in observations.values()
            if now < observation.reported_at + REPORT_VALIDITY_S
        ]
        failing = [s for s in fresh if s.failing_since is not None]
        lasting = [s for s in failing if s.failing_since is not None]
        lasting = [s for s in lasting if now >= (s.failing_since or 0.0) + for_s]
        return len(failing) == len(fresh) and len(lasting) >= MIN_FAILING_DOMAINS

    def exclude(self, *, now: float, server: ServerId) -> None:
        """Keep a server out for a time that doubles with each exclusion."""
        before = self._exclusions.get(server)
        if before is not None and now < before.until:
            return
        duration_s = (
            BASE_EXCLUSION_S if before is None else min(2 * before.duration_s, MAX_EXCLUSION_S)
        )
        self._exclusions[server] = Exclusion(until=now + duration_s, duration_s=duration_s)
        self._observations.pop(server, None)

    def is_excluded(self, *, now: float, server: ServerId) -> bool:
        """Return whether a server is kept out."""
        exclusion = self._exclusions.get(server)
        return exclusion is not None and now < exclusion.until

    def forget(self, server: ServerId) -> None:
        """Drop what is known of a server."""
        self._observations.pop(server, None)
        self._exclusions.pop(server, None)
