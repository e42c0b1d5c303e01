"""Names of the gateway's metrics, and their aggregation between flushes to statsd.

Counters and times are collected in memory and sent once per interval, since sending a datagram for
each request would cost more than many requests do.
"""

from collections import Counter
from enum import Enum

from lychee_gateway.calls import NotRun, Outcome, Response, StreamedResponse, UnknownOutcome
from lychee_runtime import Metrics
from lychee_types.ids import ServiceName

FLUSH_S = 1.0
"""Interval between flushes, in seconds."""

MAX_TIMES = 100
"""Maximum number of request times sent per service and interval; later ones are dropped."""


class RequestMetric(Enum):
    """Counters of requests, one for each service: ``<name>.<service>``."""

    ANSWERED = "gateway.requests.answered"
    """The caller got a complete response of the server."""

    TRUNCATED = "gateway.requests.truncated"
    """A streamed response was truncated."""

    NOT_RUN = "gateway.requests.not_run"
    """The request was refused and not run."""

    UNKNOWN = "gateway.requests.unknown"
    """The request may have been run."""


class TimeMetric(Enum):
    """Times in milliseconds, one for each service: ``<name>.<service>``."""

    REQUEST = "gateway.requests.time"
    """From the head of a request to its outcome."""


class StateMetric(Enum):
    """Gauges of the process."""

    CALLERS = "gateway.callers"
    """Open caller connections."""

    WAITING = "gateway.waiting"
    """Requests that wait for a server."""

    KEYED_REQUESTS = "gateway.keyed_flights"
    """Keyed requests that a server may still run."""

    LEASE_LEFT_MS = "gateway.lease_left_ms"
    """Remaining time of the session lease in milliseconds."""

    APPLIED = "gateway.applied"
    """Last applied log index."""

    DOCUMENT_VERSION = "gateway.document_version"
    """Version of the current document."""


def metric_of(outcome: Outcome) -> RequestMetric:
    """Return the counter of an outcome."""
    match outcome:
        case Response() | StreamedResponse(complete=True):
            return RequestMetric.ANSWERED
        case StreamedResponse():
            return RequestMetric.TRUNCATED
        case NotRun():
            return RequestMetric.NOT_RUN
        case UnknownOutcome():
            return RequestMetric.UNKNOWN


class GatewayMetrics:
    """Collects counters and times, and sends them together.

    :param client: the statsd client.
    """

    def __init__(self, *, client: Metrics) -> None:
        self._client = client
        self._counts: Counter[tuple[RequestMetric, ServiceName]] = Counter()
        self._times: dict[ServiceName, list[float]] = {}

    def count(self, service: ServiceName, outcome: Outcome, seconds: float) -> None:
        """Count a request's outcome.

        :param service: its service.
        :param outcome: its outcome.
        :param seconds: time from its head to its outcome, in seconds.
        """
        self._counts[metric_of(outcome), service] += 1
        times = self._times.setdefault(service, [])
        if len(times) < MAX_TIMES:
            times.append(seconds)

    def flush(self, gauges: dict[StateMetric, float]) -> None:
        """Send all counters and times since the last flush.

        :param gauges: current values of the gauges.
        """
        for (metric, service), count in self._counts.items():
            self._client.incr(f"{metric.value}.{service}", count)
        for service, times in self._times.items():
            for seconds in times:
                self._client.timing(f"{TimeMetric.REQUEST.value}.{service}", seconds * 1_000)
        for gauge, value in gauges.items():
            self._client.gauge(gauge.value, value)
        self._counts.clear()
        self._times.clear()
