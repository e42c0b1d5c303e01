"""Metrics of a gateway; docs/operators/metrics.md lists them."""

from collections.abc import Callable
from time import monotonic

from lychee_http.caller_memory import CallerMemory, ShedReason
from lychee_http.endings import ConnectionEnd
from lychee_http.tally import RequestTally
from lychee_runtime import PrometheusMetrics
from lychee_types.ids import ServerId, ServiceName


class ProxyMetrics:
    """Counters and latency histograms of one gateway.

    :param under_way: returns how many requests have no final answer.
    :param index: returns the log index of the gateway's state.
    :param version: returns the version number of the routes in force.
    :param limits: returns how many servers have named a rate limit.
    :param owner_share: returns the lowest admitted share of an owner's requests, 1 for all.
    :param age_s: returns the maximum age of the gateway's state in seconds, infinite if unknown.
    :param cold: returns how many servers are cold.
    :param silence_s: returns the time since the last message of a control replica, in seconds.
    :param unreached: returns how many servers this gateway does not reach directly.
    :param carried: returns how many connections it carries for other gateways.
    :param evacuated: returns how many failure domains are evacuated.
    :param follows_near: returns 1 while a control replica of the own failure domain is followed.
    """

    def __init__(
        self,
        *,
        under_way: Callable[[], float],
        index: Callable[[], float],
        version: Callable[[], float],
        limits: Callable[[], float],
        cold: Callable[[], float],
        owner_share: Callable[[], float],
        age_s: Callable[[], float],
        silence_s: Callable[[], float],
        unreached: Callable[[], float],
        carried: Callable[[], float],
        evacuated: Callable[[], float],
        follows_near: Callable[[], float],
    ) -> None:
        page = PrometheusMetrics(prefix="lychee_gateway")
        self._page = page
        page.gauge("state_index", "Log index of the state.", index)
        page.gauge("state_version", "Version of the routes in force.", version)
        page.gauge("state_age_seconds", "Maximum age of the state; +Inf if unknown.", age_s)
        page.gauge("control_silence_seconds", "Time since a replica was heard.", silence_s)
        page.gauge("server_limits", "Servers that have named a rate limit.", limits)
        page.gauge("cold_servers", "Servers that are cold.", cold)
        page.gauge("owner_share", "Lowest admitted share of an owner's requests.", owner_share)
        page.gauge("servers_unreached", "Servers that are not reached directly.", unreached)
        page.gauge("carried", "Connections carried for other gateways.", carried)
        page.gauge("evacuated_domains", "Failure domains that are evacuated.", evacuated)
        page.gauge(
            "follows_own_domain",
            "Whether a control replica of the own failure domain is followed.",
            follows_near,
        )
        page.gauge("requests_under_way", "Requests without a final answer.", under_way)
        page.gauge("monotonic_seconds", "The process's monotonic clock.", monotonic)
        self._subscriptions = page.counter(
            "subscriptions", "Ended attempts to follow a control replica.", "outcome"
        )
        self._control_bytes = page.counter("control_bytes", "Bytes received from replicas.")
        self._answers = page.counter("answers", "Final answers to callers.", "service", "status")
        self._refusals = page.counter("refusals", "Requests that no server ran.", "service")
        self._attempts = page.counter("attempts", "Attempts at servers.", "service", "outcome")
        self._server_ends = page.counter(
            "server_ends", "Requests at servers that ended without an answer.", "service"
        )
        self._repeated_ids = page.counter(
            "repeated_ids", "Requests with the id of an earlier one at the same server.", "service"
        )
        self._blocked = page.counter(
            "blocked", "Requests not sent because servers end under them.", "service"
        )
        self._copies = page.counter("copies", "Second copies of requests.", "service", "outcome")
        self._copies_suppressed = page.counter(
            "copies_suppressed",
            "Requests that got no copy though one was due.",
            "service",
            "reason",
        )
        self._cancelled_s = page.counter(
            "copies_cancelled_seconds", "Time of attempts that another one overtook.", "service"
        )
        self._owner_refusals = page.counter(
            "owner_refusals", "Requests refused as the key's owner is overloaded.", "route"
        )
        self._limited = page.counter(
            "limited_attempts", "Attempts at servers that have named a rate limit.", "server"
        )
        self._permits = page.counter("permits", "Permits for servers with a limit.", "outcome")
        self._resets = page.counter(
            "server_resets", "Connections that servers reset under a request.", "service"
        )
        self._probes = page.counter(
            "probes", "Questions to servers for their load.", "service", "outcome"
        )
        self._probed_choices = page.counter(
            "probed_choices", "Requests for which servers were asked.", "service", "chosen"
        )
        self._connections = page.counter(
            "server_connections", "Attempts to connect to a server.", "service", "way", "outcome"
        )
        self._carry_requests = page.counter(
            "carry_requests", "Requests of other gateways for a connection.", "outcome"
        )
        self._carried_bytes = page.counter("carried_bytes", "Bytes carried for other gateways.")
        self._overdue = page.counter(
            "overdue_waits", "Requests overdue at servers that have them.", "service", "way"
        )
        self._dropped = page.counter(
            "dropped_requests", "Requests that their servers no longer had.", "service"
        )
        self._unanswered = page.counter(
            "unanswered", "Requests that ended without a whole answer.", "reason", "sent"
        )
        self._shed = page.counter(
            "callers_shed", "Connections of callers that were refused or ended.", "reason"
        )
        self._latency = page.latency("answer", "From head to final answer.", "service")

    def show_tally(self, tally: RequestTally) -> None:
        """Add the counts of what became of all requests."""
        page = self._page
        page.total("requests_read", "Requests whose head was read.", lambda: tally.read)
        page.total("requests_answered", "Requests answered whole.", lambda: tally.answered)
        page.total(
            "requests_undelivered",
            "Requests answered whole, whose answers were not acknowledged.",
            lambda: tally.undelivered.total(),
        )
        page.total(
            "dropped_bytes",
            "Bytes of callers that belong to no request that was read.",
            lambda: tally.dropped_bytes.total(),
        )

    def show_memory(self, memory: CallerMemory) -> None:
        """Add what is held for callers."""
        page = self._page
        page.gauge("callers", "Open connections of callers.", lambda: len(memory))
        page.gauge("callers_bytes", "Memory held for callers.", lambda: memory.held)
        page.gauge("callers_bound_bytes", "Bound on it.", lambda: memory.bounds.held_bytes)

    def count_shed(self, reason: ShedReason) -> None:
        """Count a connection of a caller that was refused or ended, by reason."""
        self._shed.labels(reason.value).inc()

    def count_answer(self, service: ServiceName, status: int, seconds: float) -> None:
        """Count a final answer and record its latency in seconds."""
        self._answers.labels(service, str(status)).inc()
        self._latency.labels(service).observe(seconds)

    def count_refusal(self, service: ServiceName) -> None:
        """Count a request that no server ran."""
        self._refusals.labels(service).inc()

    def count_attempt(self, service: ServiceName, outcome: str) -> None:
        """Count an attempt, with the class name of its result as outcome."""
        self._attempts.labels(service, outcome).inc()

    def count_copy(self, service: ServiceName, outcome: str) -> None:
        """Count a second copy: sent, and later won, lost, failed or left."""
        self._copies.labels(service, outcome).inc()

    def count_suppressed_copy(self, service: ServiceName, reason: str) -> None:
        """Count a request that got no second copy, by reason."""
        self._copies_suppressed.labels(service, reason).inc()

    def count_cancelled(self, service: ServiceName, seconds: float) -> None:
        """Count the time of an attempt that was cancelled as another one was faster, in seconds."""
        self._cancelled_s.labels(service).inc(seconds)

    def count_owner_refusal(self, route: str) -> None:
        """Count a request that was refused because its key's owner is overloaded."""
        self._owner_refusals.labels(route).inc()

    def count_limited_attempt(self, server: ServerId) -> None:
        """Count an attempt at a server that has named a rate limit."""
        self._limited.labels(server).inc()

    def count_reset(self, service: ServiceName) -> None:
        """Count a connection that a server reset under a request, or before it was sent."""
        self._resets.labels(service).inc()

    def count_probe(self, service: ServiceName, outcome: str) -> None:
        """Count a question to a server for its load: asked, answered, failed, or late."""
        self._probes.labels(service, outcome).inc()

    def count_probed_choice(self, service: ServiceName, chosen: str) -> None:
        """Count a request for which servers were asked: own or other domain, or none of them."""
        self._probed_choices.labels(service, chosen).inc()

    def count_server_end(self, service: ServiceName) -> None:
        """Count a request at a server that ended without answering it."""
        self._server_ends.labels(service).inc()

    def count_repeated_id(self, service: ServiceName) -> None:
        """Count a request kept off a connection that another one with its id was sent on."""
        self._repeated_ids.labels(service).inc()

    def count_blocked(self, service: ServiceName) -> None:
        """Count a request that was not sent because servers end under it."""
        self._blocked.labels(service).inc()

    def count_connection(self, service: ServiceName, way: str, exc: OSError | None) -> None:
        """Count an attempt to connect to a server, directly or carried, and its error if any."""
        match exc:
            case None:
                outcome = "opened"
            case ConnectionRefusedError():
                outcome = "refused"
            case TimeoutError():
                outcome = "timeout"
            case _:
                outcome = "failed"
        self._connections.labels(service, way, outcome).inc()

    def count_carry_request(self, outcome: str) -> None:
        """Count another gateway's request for a connection, by outcome."""
        self._carry_requests.labels(outcome).inc()

    def count_carried_bytes(self, size: int) -> None:
        """Count bytes carried for another gateway."""
        self._carried_bytes.inc(size)

    def count_overdue(self, service: ServiceName, way: str) -> None:
        """Count a request that has become overdue at a server, by the way it was sent."""
        self._overdue.labels(service, way).inc()

    def count_dropped(self, service: ServiceName) -> None:
        """Count a request that its server no longer had, and had not answered."""
        self._dropped.labels(service).inc()

    def count_end(self, end: ConnectionEnd) -> None:
        """Count requests of a caller's connection that got no answer, by reason."""
        for request in end.requests:
            sent = "yes" if request.was_sent else "no"
            self._unanswered.labels(end.reason.value, sent).inc()
        if end.skipped:
            self._unanswered.labels(end.reason.value, "no").inc(end.skipped)

    def count_permits(self, outcome: str, count: int) -> None:
        """Count permits: issued, expired, from the reserve, or too late for a cold server."""
        self._permits.labels(outcome).inc(count)

    def count_subscription(self, outcome: str, received_bytes: int) -> None:
        """Count an ended attempt to follow a replica, by outcome, and what it received."""
        self._subscriptions.labels(outcome).inc()
        self._control_bytes.inc(received_bytes)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return self._page.render()
