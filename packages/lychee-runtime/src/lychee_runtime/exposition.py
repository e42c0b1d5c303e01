"""Metrics as text, for collectors that fetch them."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)
"""Upper bounds of the buckets of latency histograms, in seconds."""


class PrometheusMetrics:
    """The metrics of one process.

    :param prefix: first part of every metric's name.
    """

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix
        self._registry = CollectorRegistry()

    def counter(self, name: str, text: str, *labels: str) -> Counter:
        """Return a new counter."""
        return Counter(f"{self._prefix}_{name}", text, labels, registry=self._registry)

    def latency(self, name: str, text: str, *labels: str) -> Histogram:
        """Return a new histogram of seconds."""
        return Histogram(
            f"{self._prefix}_{name}_seconds",
            text,
            labels,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the metrics are fetched."""
        gauge = Gauge(f"{self._prefix}_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics as text."""
        text: bytes = generate_latest(self._registry)
        return text
