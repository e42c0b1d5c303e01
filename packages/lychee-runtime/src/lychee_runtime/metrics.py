"""Metrics sent to statsd; without a collector, each is a call that does nothing."""

from typing import Protocol

from statsd import StatsClient

from lychee_types.settings import StatsdSettings


class Metrics(Protocol):
    """Interface by which daemons report metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Record a time in milliseconds."""
        ...


class NoMetrics:
    """Discards all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""


def open_metrics(cfg: StatsdSettings | None) -> Metrics:
    """Return a metrics client.

    :param cfg: the statsd collector, None to discard all metrics.
    """
    if cfg is None:
        return NoMetrics()
    client: Metrics = StatsClient(cfg.endpoint.host, cfg.endpoint.port, prefix=cfg.prefix)
    return client
