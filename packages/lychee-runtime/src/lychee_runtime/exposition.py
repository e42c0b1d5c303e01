"""Metrics in the Prometheus text format, for collectors that scrape them over HTTP."""

from collections.abc import Callable, Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
)
from prometheus_client.core import CounterMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

# Start times of counters would double the size of a page.
disable_created_metrics()  # type: ignore[no-untyped-call]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)
"""Upper bounds of the latency histograms' buckets, in seconds."""


class _CounterReader(Collector):
    """A counter that is kept elsewhere."""

    def __init__(self, *, name: str, help_text: str, read: Callable[[], float]) -> None:
        self._name = name
        self._help_text = help_text
        self._read = read

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counter with its present value."""
        yield CounterMetricFamily(self._name, self._help_text, value=self._read())


class PrometheusMetrics:
    """The Prometheus metrics of one process, in the order in which they are added.

    Gauges come first: a reader who keeps only the head of a page keeps the state.

    :param prefix: prefix of every metric's name.
    """

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix
        self._registry = CollectorRegistry()

    def counter(self, name: str, help_text: str, *labels: str) -> Counter:
        """Add a counter."""
        return Counter(f"{self._prefix}_{name}", help_text, labels, registry=self._registry)

    def total(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a counter that is kept elsewhere; it is read when the metrics are scraped."""
        counter = _CounterReader(name=f"{self._prefix}_{name}", help_text=help_text, read=read)
        self._registry.register(counter)

    def latency(self, name: str, help_text: str, *labels: str) -> Histogram:
        """Add a latency histogram in seconds."""
        return Histogram(
            f"{self._prefix}_{name}_seconds",
            help_text,
            labels,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge; its value is read each time the metrics are scraped."""
        gauge = Gauge(f"{self._prefix}_{name}", help_text, registry=self._registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        text: bytes = generate_latest(self._registry)
        return text
