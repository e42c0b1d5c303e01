"""Reachability of backend servers, combined from the reports of gateways by failure domain."""

from dataclasses import dataclass

from lychee_types.ids import DomainName, ServerId
from lychee_types.messages import (
    ServerLoad,
)

MIN_FAILING_DOMAINS = 2
"""Number of failure domains that must see a server fail before it counts as unreachable."""

REPORT_VALIDITY_S = 2.0
"""Age in seconds from which a report is ignored."""

BASE_EXCLUSION_S = 5.0
"""Duration in seconds of the first exclusion of a server that announces but is unreachable."""

MAX_EXCLUSION_S = 300.0
"""Maximum duration of an exclusion in seconds."""


@dataclass(kw_only=True, slots=True)
class DomainObservation:
    """Whether the gateways of one failure domain can reach a server.

    :param failing_since: time since which every request has failed; None if one succeeded since.
    :param reported_at: when the newest report was received, in seconds.
    """

    failing_since: float | None
    reported_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Exclusion:
    """A period in which a server may not join.

    :param until: end of the exclusion, as monotonic time in seconds.
    :param duration_s: its duration in seconds.
    """

    until: float
    duration_s: float


class ReachabilityTracker:
    """Tracks which servers several failure domains cannot reach and which are excluded."""

    def __init__(self) -> None:
        self._observations: dict[ServerId, dict[DomainName, DomainObservation]] = {}
        self._exclusions: dict[ServerId, Exclusion] = {}

    def add_report(self, *, now: float, domain: DomainName, load: ServerLoad) -> None:
        """Add the part of a gateway's load report that concerns one server.

        :param now: when the report was received, in seconds.
        :param domain: failure domain of the gateway.
        :param load: numbers of answered and failed requests.
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
        """Drop the observations of a server that every failure domain can reach."""
        if all(s.failing_since is None for s in self._observations[server].values()):
            del self._observations[server]

    def is_unreachable(self, *, now: float, server: ServerId, for_s: float) -> bool:
        """Return whether several failure domains see a server fail and none can reach it.

        :param now: the leader's monotonic time in seconds.
        :param server: id of the server.
        :param for_s: how long these domains must have seen it fail, in seconds.
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
        """Exclude a server for a duration that doubles with each exclusion."""
        before = self._exclusions.get(server)
        if before is not None and now < before.until:
            return
        duration_s = (
            BASE_EXCLUSION_S if before is None else min(2 * before.duration_s, MAX_EXCLUSION_S)
        )
        self._exclusions[server] = Exclusion(until=now + duration_s, duration_s=duration_s)
        self._observations.pop(server, None)

    def is_excluded(self, *, now: float, server: ServerId) -> bool:
        """Return whether a server is excluded."""
        exclusion = self._exclusions.get(server)
        return exclusion is not None and now < exclusion.until

    def forget(self, server: ServerId) -> None:
        """Drop the observations and the exclusion of a server."""
        self._observations.pop(server, None)
        self._exclusions.pop(server, None)
