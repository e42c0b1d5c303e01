"""Metrics of a control replica; docs/operators/metrics.md lists them."""

from collections.abc import Callable

from lychee_runtime import PrometheusMetrics


class RegistryMetrics:
    """Counters and latency histograms of one control replica.

    :param leads: returns 1 while the replica leads.
    :param commit: returns the commit index.
    :param gateways: returns how many gateways follow the replica.
    :param servers: returns how many servers are registered.
    :param ranges: returns how many key ranges there are.
    """

    def __init__(
        self,
        *,
        leads: Callable[[], float],
        commit: Callable[[], float],
        gateways: Callable[[], float],
        servers: Callable[[], float],
        ranges: Callable[[], float],
    ) -> None:
        page = PrometheusMetrics(prefix="lychee_control")
        self._page = page
        self._calls = page.counter("calls", "Calls of servers and operators.", "call", "reply")
        self._latency = page.latency("call", "From head to answer.", "call")
        page.gauge("leads", "1 while this replica leads.", leads)
        page.gauge("commit_index", "Last committed log index.", commit)
        page.gauge("gateways", "Gateways that follow this replica.", gateways)
        page.gauge("servers", "Registered servers.", servers)
        page.gauge("key_ranges", "Key ranges of all services.", ranges)

    def record_call(self, call: str, reply: str, seconds: float) -> None:
        """Record an API call.

        :param call: name of the call's class.
        :param reply: name of the reply's class.
        :param seconds: time from the call's head to its reply.
        """
        self._calls.labels(call, reply).inc()
        self._latency.labels(call).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format of the scraped page."""
        return self._page.render()
