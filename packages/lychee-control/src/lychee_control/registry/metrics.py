"""Metrics of a control replica; docs/operators/metrics.md lists them."""

from collections.abc import Callable

from lychee_http.caller_memory import CallerMemory, ShedReason
from lychee_runtime import PrometheusMetrics


class RegistryMetrics:
    """Counters and latency histograms of one control replica.

    :param leads: returns 1 while the replica leads.
    :param commit: returns the commit index.
    :param silence_s: returns the time since the leader was heard, 0 at the leader, in seconds.
    :param is_voter: returns 1 while the replica counts itself among the voters.
    :param gateways: returns how many gateways follow the replica.
    :param sent_bytes: returns the size of all messages sent to gateways on their streams and as
        answers to other replicas.
    :param limits: returns how many servers have named a rate limit.
    :param cold: returns how many servers are cold.
    :param servers: returns how many servers are registered.
    :param evacuated: returns how many failure domains are evacuated.
    :param overloaded: returns how many owners of keys are overloaded, 0 unless it leads.
    :param ranges: returns how many key ranges there are.
    :param log_bytes: returns the size of the log's entries in memory.
    :param recent_bytes: returns what recent commands for gateways take up in memory.
    """

    def __init__(
        self,
        *,
        leads: Callable[[], float],
        commit: Callable[[], float],
        silence_s: Callable[[], float],
        is_voter: Callable[[], float],
        gateways: Callable[[], float],
        sent_bytes: Callable[[], float],
        limits: Callable[[], float],
        cold: Callable[[], float],
        servers: Callable[[], float],
        evacuated: Callable[[], float],
        overloaded: Callable[[], float],
        ranges: Callable[[], float],
        log_bytes: Callable[[], float],
        recent_bytes: Callable[[], float],
    ) -> None:
        page = PrometheusMetrics(prefix="lychee_control")
        self._page = page
        page.gauge("leads", "1 while this replica leads.", leads)
        page.gauge("commit_index", "Last committed log index.", commit)
        page.gauge("leader_silence_seconds", "Time since the leader was heard.", silence_s)
        page.gauge("voter", "1 while this replica counts itself among the voters.", is_voter)
        page.gauge("gateways", "Gateways that follow this replica.", gateways)
        page.gauge("sent_bytes", "Bytes encoded for gateways and other replicas.", sent_bytes)
        page.gauge("server_limits", "Servers that have named a rate limit.", limits)
        page.gauge("cold_servers", "Servers that are cold.", cold)
        page.gauge("servers", "Registered servers.", servers)
        page.gauge("evacuated_domains", "Failure domains that are evacuated.", evacuated)
        page.gauge("overloaded_owners", "Overloaded owners of keys.", overloaded)
        page.gauge("key_ranges", "Key ranges of all services.", ranges)
        page.gauge("log_bytes", "Entries of the log in memory.", log_bytes)
        page.gauge("recent_bytes", "Recent commands kept for gateways.", recent_bytes)
        self._calls = page.counter("calls", "Calls of servers and operators.", "call", "reply")
        self._shed = page.counter(
            "callers_shed", "Connections of callers that were refused or ended.", "reason"
        )
        self._latency = page.latency("call", "From head to answer.", "call")

    def show_memory(self, memory: CallerMemory) -> None:
        """Add what is held for servers and operators."""
        page = self._page
        page.gauge("callers", "Open connections of callers.", lambda: len(memory))
        page.gauge("callers_bytes", "Memory held for callers.", lambda: memory.held)
        page.gauge("callers_bound_bytes", "Bound on it.", lambda: memory.bounds.held_bytes)

    def count_shed(self, reason: ShedReason) -> None:
        """Count a connection of a caller that was refused or ended, by reason."""
        self._shed.labels(reason.value).inc()

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
