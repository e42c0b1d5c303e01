"""Connections, load, service time and failures of each backend server, as seen by this gateway."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import exp

from loguru import logger

from lychee_gateway.proxy.codec import Occupancy
from lychee_http.pool import ServerPool
from lychee_ranges import RoutedState
from lychee_types.clock import Clock
from lychee_types.ids import ServerId, ServiceName
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.registry_messages import ServerStats
from lychee_types.server_check import server_fault

INITIAL_SERVICE_TIME_S = 0.06
"""Assumed service time of a request before any has been measured, in seconds."""

SERVICE_TIME_GAIN = 0.1
"""Weight of a new measurement in the exponential moving average of the service time."""

STALE_AFTER_S = 1.0
"""Time without an answer after which a measured service time begins to lose its weight, in seconds.
"""

STALE_S = 3.0
"""Time in which the weight of such a measurement then decays to 1/e, in seconds."""

ESTIMATE_INTERVAL_S = 0.1
"""Interval at which service times without recent answers are estimated anew, in seconds."""

OCCUPANCY_DECREASE_GAIN = 0.5
"""Weight of a reported occupancy below the estimate; a higher one replaces the estimate at once."""

OCCUPANCY_DECAY_S = 0.4
"""Time in which the weight of a reported occupancy decays to 1/e, in seconds.

Servers report their occupancy in responses only. Without the decay, a server that gets no requests
because it was full would stay full in the estimate.
"""

OTHER_GATEWAYS_SHARE = 0.6
"""Assumed load of each other gateway at a server, as a share of this gateway's own load there.

Callers choose gateways at random, so the load of the gateways is similar.
"""

COLD_FACTOR = 2.5
"""Factor by which work takes longer on a server that has just started."""

QUEUE_PER_SLOT = 3
"""Requests per slot that may wait at a server; a server may reject what its queue cannot hold."""

OVERDUE_FACTOR = 4.0
"""Multiple of the expected service time after which a pending request indicates a queue."""

EJECT_AFTER = 3
"""Consecutive failures after which a server is ejected."""

EJECT_S = 0.5
"""Duration of the first ejection, in seconds; it doubles with each further failure."""

EJECT_MAX_S = 4.0
"""Maximum duration of an ejection, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightRequest:
    """A request that a server has not answered yet.

    :param sent_at: monotonic time in seconds at which sending began.
    :param slowdown: expected response time as a multiple of the service time.
    """

    sent_at: float
    slowdown: float


class ProxyServer:
    """One incarnation of a backend server, with its connections and its estimated load.

    :param record: its registration.
    :param now: current monotonic time in seconds.
    :param leaving_since: earliest monotonic time at which it may have been allowed to leave, in
        seconds; None if it stays.
    :param gateway_count: approximate number of gateways.
    :param service_time_s: mean service time of its service until its own has been measured, in
        seconds; None if that is not known either.
    """

    def __init__(
        self,
        *,
        record: RegisteredServer,
        now: float,
        leaving_since: float | None = None,
        gateway_count: int = 1,
        service_time_s: float | None = None,
    ) -> None:
        self.record = record
        self.gateway_count = gateway_count
        self.pool = ServerPool(endpoint=record.endpoint, until_close=True)
        self.is_direct = True
        self.heard_at = 0.0
        self._sent_at: dict[int, float] = {}
        self._last_number = 0
        self._is_unknown = service_time_s is None
        self.service_time_s = INITIAL_SERVICE_TIME_S if service_time_s is None else service_time_s
        self.is_measured = False
        self._answered_at = now
        self._estimated_at = now
        self._others_occupancy = 0.0
        self._occupancy_at = now - 10 * OCCUPANCY_DECAY_S
        self._has_occupancy = False
        self.leaving_since = leaving_since
        self._cold_until = now + record.cold_s
        self._failures = 0
        self._ejected_until = 0.0
        self._busy_s = 0.0
        self._answers = 0
        self._unanswered = 0
        self._work_s = 0.0
        self._reported_occupancy = -1

    @property
    def run(self) -> ServerIncarnation:
        """The server's id and incarnation."""
        return self.record.run

    @property
    def slots(self) -> int:
        """Number of requests that the server works on at once."""
        return max(1, self.record.slots)

    def update(self, record: RegisteredServer, *, as_of: float) -> None:
        """Replace the registration of the same incarnation.

        :param record: the registration.
        :param as_of: monotonic time as of which the former one was known to hold, in seconds.
        """
        self.record = record
        if record.is_leaving and self.leaving_since is None:
            self.leaving_since = as_of

    def has_drained(self, now: float, after_s: float) -> bool:
        """Return whether the server may have been allowed to leave longer ago than ``after_s``."""
        return self.leaving_since is not None and now - self.leaving_since > after_s

    def estimated_occupancy(self, now: float) -> float:
        """Return the estimated number of its requests, including those of other gateways."""
        return self.in_flight + self._estimate_others(now)

    def occupancy_age_ms(self, now: float) -> int:
        """Return the age of its last reported occupancy in ms, -1 if it has not reported any."""
        age_s = now - self._occupancy_at
        return round(age_s * 1_000) if self._has_occupancy else -1

    def expected_wait_s(self, now: float) -> float:
        """Return the expected queueing delay of a new request, in seconds."""
        expected_s = self._queue_ahead(now) * self.expected_service_time_s(now) / self.slots
        oldest = next(iter(self._sent_at.values()), now)
        # An overdue request indicates a queue that no response has reported yet.
        return max(expected_s, now - oldest - OVERDUE_FACTOR * self.expected_service_time_s(now))

    def is_full(self, now: float) -> bool:
        """Return whether its queue has probably reached the limit."""
        return self.estimated_occupancy(now) + 1 > self.slots * (1 + QUEUE_PER_SLOT)

    def expected_service_time_s(self, now: float) -> float:
        """Return the expected service time of a request, without queueing, in seconds."""
        return self.service_time_s * (COLD_FACTOR if now < self._cold_until else 1.0)

    def is_healthy(self, now: float) -> bool:
        """Return whether the server is not ejected because of repeated failures."""
        return now >= self._ejected_until

    @property
    def in_flight(self) -> int:
        """Number of this gateway's requests that the server has not answered yet."""
        return len(self._sent_at)

    @contextmanager
    def track_request(self, now: float) -> Iterator[InFlightRequest]:
        """Count a request as in flight inside the block."""
        self._last_number += 1
        number = self._last_number
        in_flight = InFlightRequest(sent_at=now, slowdown=1 + self._queue_ahead(now) / self.slots)
        self._sent_at[number] = now
        try:
            yield in_flight
        finally:
            del self._sent_at[number]

    def record_occupancy(self, occupancy: Occupancy, now: float) -> None:
        """Update the estimated load of other gateways from an occupancy that the server reported.

        Must be called inside `track_request` of the request that the server answers: that request
        is still in flight here, but the server no longer counts it.
        """
        self._reported_occupancy = occupancy.running + occupancy.waiting
        others = max(0.0, self._reported_occupancy - (self.in_flight - 1))
        known = self._estimate_others(now)
        gain = 1.0 if others > known else OCCUPANCY_DECREASE_GAIN
        self._others_occupancy = known + gain * (others - known)
        self._occupancy_at = now
        self._has_occupancy = True

    def record_answer(self, in_flight: InFlightRequest, seconds: float) -> None:
        """Record an answer, and update the mean service time.

        The service time is the response time divided by the slowdown expected when the request was
        sent, so that a server that always has a queue is measured too.

        :param in_flight: the answered request.
        :param seconds: time from sending to the answer.
        """
        self._failures = 0
        self._ejected_until = 0.0
        service_time_s = seconds / in_flight.slowdown
        gain = 1.0 if self._is_unknown else SERVICE_TIME_GAIN
        self.service_time_s += gain * (service_time_s - self.service_time_s)
        self.is_measured, self._is_unknown = True, False
        self._answered_at = in_flight.sent_at + seconds
        self._busy_s += service_time_s
        self._answers += 1
        queue = max(0, self._reported_occupancy + 1 - self.slots)
        self._work_s += seconds / max(in_flight.slowdown, 1 + queue / self.slots)

    def estimate_anew(self, fastest_s: float, now: float) -> None:
        """Let the service time approach that of the fastest server while no answer measures it.

        A server that is believed to be slow gets no requests, and only requests show its speed.

        :param fastest_s: mean service time of the fastest measured server, in seconds.
        :param now: monotonic time in seconds.
        """
        since = max(self._answered_at + STALE_AFTER_S, self._estimated_at)
        self._estimated_at = now
        if not self.is_measured:
            self.service_time_s, self._is_unknown = fastest_s, False
        elif since < now and not self._sent_at:
            weight = exp((since - now) / STALE_S)
            self.service_time_s = fastest_s + weight * (self.service_time_s - fastest_s)

    def record_failure(self, now: float) -> None:
        """Record a request without a usable answer; eject the server after several in a row."""
        self._failures += 1
        if self._failures >= EJECT_AFTER:
            ejection_s = min(EJECT_MAX_S, EJECT_S * 2 ** (self._failures - EJECT_AFTER))
            self._ejected_until = now + ejection_s

    def record_unanswered(self) -> None:
        """Record a request without an answer until its deadline."""
        self._unanswered += 1

    def _queue_ahead(self, now: float) -> float:
        """Return how many requests must finish before the server starts on a new one."""
        return max(0.0, self.estimated_occupancy(now) + 1 - self.slots)

    def _estimate_others(self, now: float) -> float:
        """Return the estimated number of requests from other gateways.

        As the reported occupancy ages, the estimate shifts to one based on this gateway's own load.
        """
        weight = exp((self._occupancy_at - now) / OCCUPANCY_DECAY_S)
        assumed = OTHER_GATEWAYS_SHARE * max(0, self.in_flight - 1) * (self.gateway_count - 1)
        return weight * self._others_occupancy + (1 - weight) * assumed

    def take_stats(self) -> ServerStats | None:
        """Return statistics since the last call, None if there is nothing new."""
        if not self._answers and not self._unanswered and self._reported_occupancy < 0:
            return None
        stats = ServerStats(
            server=self.run.server,
            busy_s=self._busy_s,
            answers=self._answers,
            occupied=self._reported_occupancy,
            unanswered=self._unanswered,
            work_s=self._work_s,
        )
        self._busy_s, self._answers, self._unanswered = 0.0, 0, 0
        self._work_s, self._reported_occupancy = 0.0, -1
        return stats


class ServerList:
    """The registered servers, by service.

    :param clock: source of time.
    :param as_of: returns the monotonic time as of which the state before the one that is passed to
        :meth:`sync` was known to be complete, in seconds; -inf if it never was.
    """

    def __init__(self, *, clock: Clock, as_of: Callable[[], float]) -> None:
        self._clock = clock
        self._as_of = as_of
        self._gateway_count = 1
        self._estimated_at = clock.monotonic()
        self._by_id: dict[ServerId, ProxyServer] = {}
        self._by_service: dict[ServiceName, list[ProxyServer]] = {}
        self._unusable: frozenset[ServerIncarnation] = frozenset()

    def set_gateway_count(self, count: int) -> None:
        """Set the approximate number of gateways."""
        self._gateway_count = max(1, count)
        for server in self._by_id.values():
            server.gateway_count = self._gateway_count

    def sync(self, state: RoutedState) -> None:
        """Add, update and remove servers to match the registrations in the state."""
        now, as_of = self._clock.monotonic(), self._as_of()
        records = self._usable_records(state)
        for server_id, server in tuple(self._by_id.items()):
            record = records.get(server_id)
            if (
                record is None
                or record.run != server.run
                or record.endpoint != server.record.endpoint
            ):
                server.pool.close()
                del self._by_id[server_id]
        for server_id, record in records.items():
            known = self._by_id.get(server_id)
            if known is None:
                self._by_id[server_id] = ProxyServer(
                    record=record,
                    now=now,
                    leaving_since=as_of if record.is_leaving else None,
                    gateway_count=self._gateway_count,
                    service_time_s=self._mean_service_time_s(record.service),
                )
            else:
                known.update(record, as_of=as_of)
        self._by_service = {}
        for server in self._by_id.values():
            self._by_service.setdefault(server.record.service, []).append(server)

    def _usable_records(self, state: RoutedState) -> dict[ServerId, RegisteredServer]:
        """Return the records without those that a replica of an earlier version took untested."""
        records, unusable = {}, set()
        for server_id, record in state.servers.items():
            known = self._by_id.get(server_id)
            is_checked = known is not None and known.record == record
            fault = None if is_checked else server_fault(record)
            if fault is None:
                records[server_id] = record
                continue
            unusable.add(record.run)
            if record.run not in self._unusable:
                logger.bind(event="server_unusable", server=server_id[:64]).warning("{}", fault)
        self._unusable = frozenset(unusable)
        return records

    def estimate_anew(self) -> None:
        """Estimate the service times of servers that have not answered lately."""
        now = self._clock.monotonic()
        if now - self._estimated_at < ESTIMATE_INTERVAL_S:
            return
        self._estimated_at = now
        for servers in self._by_service.values():
            measured_s = [server.service_time_s for server in servers if server.is_measured]
            if not measured_s:
                continue
            fastest_s = min(measured_s)
            for server in servers:
                server.estimate_anew(fastest_s, now)

    def _mean_service_time_s(self, service: ServiceName) -> float | None:
        """Return the mean service time of a service's servers in seconds, None if none is known."""
        service_times_s = [
            server.service_time_s for server in self.for_service(service) if server.is_measured
        ]
        return sum(service_times_s) / len(service_times_s) if service_times_s else None

    def for_service(self, service: ServiceName) -> list[ProxyServer]:
        """Return the servers of a service."""
        return self._by_service.get(service, [])

    def all(self) -> list[ProxyServer]:
        """Return the servers of all services."""
        return list(self._by_id.values())

    def find(self, incarnation: ServerIncarnation) -> ProxyServer | None:
        """Return the server, None unless exactly this incarnation is registered."""
        server = self._by_id.get(incarnation.server)
        return server if server is not None and server.run == incarnation else None

    def take_stats(self) -> tuple[ServerStats, ...]:
        """Return the statistics of all servers since the last call."""
        all_stats = (server.take_stats() for server in self._by_id.values())
        return tuple(stats for stats in all_stats if stats is not None)
