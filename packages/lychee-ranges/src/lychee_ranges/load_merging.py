"""Merges gateways' load reports on their way to the leader."""

from lychee_types.ids import ServerId, ServiceName, SessionId
from lychee_types.registry_messages import BucketLoad, LoadReport, ServerStats, ServiceLoad


class LoadMerger:
    """The sum of several gateways' load reports since it was last taken."""

    def __init__(self) -> None:
        self._session: SessionId | None = None
        self._span_s = 0.0
        self._requests: dict[ServiceName, dict[int, int]] = {}
        self._stats: dict[ServerId, ServerStats] = {}

    def add(self, report: LoadReport) -> None:
        """Add a gateway's report."""
        self._session = report.session
        self._span_s = max(self._span_s, report.span_s)
        for service in report.services:
            buckets = self._requests.setdefault(service.service, {})
            for load in service.keys:
                buckets[load.bucket] = buckets.get(load.bucket, 0) + load.requests
        for stats in report.servers:
            self._stats[stats.server] = _sum(self._stats.get(stats.server), stats)

    def take(self) -> LoadReport | None:
        """Return the sum as one report and begin anew; None if there was no report."""
        if self._session is None:
            return None
        merged = LoadReport(
            session=self._session,
            span_s=self._span_s,
            services=tuple(
                ServiceLoad(
                    service=service,
                    keys=tuple(
                        BucketLoad(bucket=bucket, requests=requests)
                        for bucket, requests in buckets.items()
                    ),
                )
                for service, buckets in self._requests.items()
            ),
            servers=tuple(self._stats.values()),
        )
        self._session, self._span_s = None, 0.0
        self._requests, self._stats = {}, {}
        return merged


def _sum(known: ServerStats | None, later: ServerStats) -> ServerStats:
    """Return two measurements of one server as one; the later one tells what is occupied."""
    if known is None:
        return later
    return ServerStats(
        server=later.server,
        busy_s=known.busy_s + later.busy_s,
        answers=known.answers + later.answers,
        occupied=later.occupied if later.occupied >= 0 else known.occupied,
        unanswered=known.unanswered + later.unanswered,
        work_s=known.work_s + later.work_s,
    )
