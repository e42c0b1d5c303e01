"""Metrics by statsd; without a collector they cost one call and go nowhere."""

from typing import Protocol

from statsd import StatsClient

from lychee_types.settings import StatsdSettings


class Metrics(Protocol):
    """What daemons measure with."""

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
    """Metrics that go nowhere."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""


def open_metrics(cfg: StatsdSettings | None) -> Metrics:
    """Return the metrics client for the settings.

    :param cfg: where metrics go, None for nowhere.
    """
    if cfg is None:
        return NoMetrics()
    client: Metrics = StatsClient(cfg.endpoint.host, cfg.endpoint.port, prefix=cfg.prefix)
    return client
