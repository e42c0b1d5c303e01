"""Request counts by key bucket, from which the leader decides the placement of keys."""

from lychee_ranges import bucket_of
from lychee_types.clock import Clock
from lychee_types.ids import ServiceName, SessionId
from lychee_types.registry_messages import BucketLoad, LoadReport, ServerStats, ServiceLoad


class KeyLoads:
    """Number of requests for each bucket of keys since the last report.

    :param clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._since = clock.monotonic()
        self._requests: dict[ServiceName, dict[int, int]] = {}

    def count(self, service: ServiceName, key: int) -> None:
        """Count a request for a key."""
        buckets = self._requests.setdefault(service, {})
        bucket = bucket_of(key)
        buckets[bucket] = buckets.get(bucket, 0) + 1

    def take(self, session: SessionId, stats: tuple[ServerStats, ...]) -> LoadReport | None:
        """Return the report since the last call, None if there is nothing to report.

        :param session: the gateway's session.
        :param stats: statistics of the servers since the last report.
        """
        now = self._clock.monotonic()
        requests, self._requests = self._requests, {}
        span_s, self._since = now - self._since, now
        if not requests and not stats:
            return None
        services = tuple(
            ServiceLoad(
                service=service,
                keys=tuple(
                    BucketLoad(bucket=bucket, requests=count) for bucket, count in buckets.items()
                ),
            )
            for service, buckets in requests.items()
        )
        return LoadReport(session=session, span_s=span_s, services=services, servers=stats)
