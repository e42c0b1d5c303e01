"""State of each backend server in this gateway: limits, load, connections and ejection."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic

from loguru import logger

from lychee_http.pool import ServerPool
from lychee_owner import ClusterState
from lychee_policy import (
    BASE_EJECTION_S,
    INITIAL_RESPONSES,
    NON_IDEMPOTENT_EJECTION_S,
    Candidate,
    Ejected,
    InUse,
    Limits,
    OutlierDetector,
    Probing,
    ResponseTime,
    expected_response_s,
    is_slow,
    is_stuck,
    limits_for,
    typical_response_s,
    warm_up_share,
)
from lychee_types.document import Document, RequestKind
from lychee_types.ids import ServerId, ServiceName
from lychee_types.messages import (
    ServerLoad,
)
from lychee_types.records import ServerRecord, ServerStatus

SHED_PAUSE_S = 0.1
"""Time without new requests for a server that has shed one, in seconds."""

MIN_FAILURE_STATUS = 500
"""Lowest HTTP status of a response that counts as a failure of the server."""


class BackendServer:
    """One incarnation of a backend server.

    :param record: its record in the replicated state.
    :param limits: this gateway's shares of its request slots and connections.
    :param first_seen_at: monotonic time in seconds at which this gateway first saw it.
    """

    def __init__(self, *, record: ServerRecord, limits: Limits, first_seen_at: float) -> None:
        self.record = record
        self.limits = limits
        self.first_seen_at = first_seen_at
        self.pool = ServerPool(endpoint=record.endpoint)
        self.response_time = ResponseTime()
        self.in_flight = 0
        self.paused_until = float("-inf")
        self._awaiting_since: dict[object, float] = {}
        self._response_count = 0
        self._failure_count = 0
        self._total_response_s = 0.0

    @contextmanager
    def awaiting_response(self) -> Iterator[None]:
        """Track a request that waits for the response head while the block runs."""
        mark = object()
        self._awaiting_since[mark] = monotonic()
        try:
            yield
        finally:
            del self._awaiting_since[mark]

    def longest_wait_s(self, now: float) -> float:
        """Return how long the oldest request has waited for a response head, 0 if none waits.

        :param now: monotonic time in seconds.
        """
        return now - next(iter(self._awaiting_since.values())) if self._awaiting_since else 0.0

    @property
    def has_capacity(self) -> bool:
        """Whether a request slot is free."""
        return self.in_flight < self.limits.in_flight

    def count_response(self, response_s: float) -> None:
        """Count a response and its response time in seconds."""
        self._response_count += 1
        self._total_response_s += response_s
        self.response_time.add(response_s)

    def count_error_response(self) -> None:
        """Count an error response.

        Its response time is not counted, since it says nothing about the server's speed.
        """
        self._response_count += 1

    def count_failure(self) -> None:
        """Count a refused connection, a timeout or an invalid response."""
        self._failure_count += 1

    def take_load(self) -> ServerLoad | None:
        """Return the load since the last call, None if the server got no requests."""
        if not (self._response_count or self._failure_count or self.in_flight):
            return None
        load = ServerLoad(
            server=self.record.id,
            answered=self._response_count,
            failed=self._failure_count,
            busy_ms=self._total_response_s * 1_000,
            in_flight=self.in_flight,
        )
        self._response_count = self._failure_count = 0
        self._total_response_s = 0.0
        return load


class BackendServers:
    """All backend servers of the replicated state."""

    def __init__(self) -> None:
        self._servers: dict[ServerId, BackendServer] = {}
        self._eligible_servers: dict[ServiceName, list[BackendServer]] = {}
        self._detectors: dict[ServiceName, OutlierDetector] = {}
        self._typical_response_s: dict[ServiceName, float] = {}

    def __iter__(self) -> Iterator[BackendServer]:
        return iter(self._servers.values())

    def get(self, server: ServerId) -> BackendServer | None:
        """Return the server with an id, or None."""
        return self._servers.get(server)

    def eligible_servers(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service that accept new requests, in order of id."""
        return self._eligible_servers.get(service, [])

    def candidates(self, service: ServiceName, now: float) -> list[Candidate]:
        """Return the servers of a free service that may be sent a request now.

        Servers that look stuck, because a request has waited long for its response, are excluded as
        long as there are others.

        :param service: the service's name.
        :param now: monotonic time in seconds.
        """
        usable = [
            server
            for server in self.eligible_servers(service)
            if server.has_capacity
            and server.paused_until <= now
            and self._may_get_request(server, now)
        ]
        not_stuck = [
            server
            for server in usable
            if not is_stuck(
                oldest_s=server.longest_wait_s(now),
                typical_s=self._scaled_typical_response_s(server),
            )
        ]
        return [self._candidate(server, now) for server in not_stuck or usable]

    def record_response(self, server: BackendServer, *, response_s: float, status: int) -> None:
        """Record a response.

        :param server: the server.
        :param response_s: response time in seconds.
        :param status: HTTP status. The response time of errors is ignored, so that a server that
            fails fast does not look fast.
        """
        if status >= MIN_FAILURE_STATUS:
            self.record_failure(server, reached=True)
            return
        server.count_response(response_s)
        if server.response_time.response_count <= INITIAL_RESPONSES:
            self._update_typical_response(server.record.service)
        detector = self._detectors.get(server.record.service)
        if detector is None:
            return
        slow = self._is_slow(server)
        if detector.record_success(server.record.id, monotonic(), slow=slow):
            self._on_ejected(
                server, "its responses are much slower than those of the other servers"
            )

    def record_failure(self, server: BackendServer, *, reached: bool = False) -> None:
        """Record a failure.

        :param server: the server.
        :param reached: whether the server sent a response.
        """
        if reached:
            server.count_error_response()
        else:
            server.count_failure()
        detector = self._detectors.get(server.record.service)
        if detector is not None and detector.record_failure(server.record.id, monotonic()):
            self._on_ejected(server, "too many of its requests failed")

    def pause(self, server: BackendServer) -> None:
        """Send no requests for a short time to a server that shed one."""
        server.paused_until = monotonic() + SHED_PAUSE_S

    def describe_ejection_state(self, server: BackendServer) -> str:
        """Return the ejection state of a server as text for a dump."""
        detector = self._detectors.get(server.record.service)
        if detector is None:
            return "in use"
        match detector.ejection_state(server.record.id, monotonic()):
            case InUse():
                return "in use"
            case Ejected(until=until):
                return f"left out for {until - monotonic():.1f} s"
            case Probing():
                return "probed"

    def take_loads(self) -> tuple[ServerLoad, ...]:
        """Return the load since the last call of each server that got requests."""
        for service in self._eligible_servers:
            self._update_typical_response(service)
        loads = [server.take_load() for server in self]
        return tuple(load for load in loads if load is not None)

    def sync(self, state: ClusterState) -> None:
        """Apply a change of the replicated state to the servers."""
        gateways = len({record.id for record in state.gateways.values()})
        for record in state.servers.values():
            self._sync_server(record, gateways)
        for removed_id in set(self._servers) - set(state.servers):
            self._servers.pop(removed_id).pool.close()
        self._eligible_servers = {}
        document = state.document
        if document is None:
            return
        for server in sorted(self, key=lambda server: server.record.id):
            if _accepts_requests(server.record, document):
                self._eligible_servers.setdefault(server.record.service, []).append(server)
        self._sync_detectors(document)

    def _sync_server(self, record: ServerRecord, gateways: int) -> None:
        limits = limits_for(record, gateways=gateways)
        known = self._servers.get(record.id)
        if known is None or known.record.incarnation != record.incarnation:
            if known is not None:
                known.pool.close()
                detector = self._detectors.get(record.service)
                if detector is not None:
                    detector.reset(record.id)
            self._servers[record.id] = BackendServer(
                record=record, limits=limits, first_seen_at=monotonic()
            )
            return
        if known.record.endpoint != record.endpoint:
            known.pool.close()
            known.pool = ServerPool(endpoint=record.endpoint)
        known.record = record
        known.limits = limits
        known.pool.keep_at_most(limits.connections)

    def _sync_detectors(self, document: Document) -> None:
        free = {s.name: s for s in document.services if s.kind is RequestKind.FREE}
        for name in set(self._detectors) - set(free):
            del self._detectors[name]
        for name, service in free.items():
            detector = self._detectors.get(name)
            if detector is None:
                ejection_s = BASE_EJECTION_S if service.idempotent else NON_IDEMPOTENT_EJECTION_S
                detector = self._detectors[name] = OutlierDetector(base_ejection_s=ejection_s)
            detector.set_servers({server.record.id for server in self.eligible_servers(name)})

    def _may_get_request(self, server: BackendServer, now: float) -> bool:
        detector = self._detectors.get(server.record.service)
        if detector is None:
            return True
        match detector.ejection_state(server.record.id, now):
            case InUse():
                return True
            case Probing():
                return server.in_flight == 0
            case Ejected():
                return False

    def _candidate(self, server: BackendServer, now: float) -> Candidate:
        return Candidate(
            server=server.record.id,
            in_flight=server.in_flight,
            response_s=expected_response_s(
                measured=server.response_time,
                announced_speed=server.record.speed,
                typical_s=self._typical_response_s.get(server.record.service, 0.0),
            ),
            warm_up_share=warm_up_share(now - server.first_seen_at),
        )

    def _update_typical_response(self, service: ServiceName) -> None:
        measured = [
            (server.response_time, server.record.speed) for server in self.eligible_servers(service)
        ]
        self._typical_response_s[service] = typical_response_s(measured)

    def _scaled_typical_response_s(self, server: BackendServer) -> float:
        return self._typical_response_s.get(server.record.service, 0.0) / server.record.speed

    def _is_slow(self, server: BackendServer) -> bool:
        if server.response_time.mean_s <= self._scaled_typical_response_s(server):
            return False
        return is_slow(
            mean_s=server.response_time.mean_s * server.record.speed,
            response_count=server.response_time.response_count,
            others_s=[
                other.response_time.mean_s * other.record.speed
                for other in self.eligible_servers(server.record.service)
                if other is not server and other.response_time.response_count
            ],
        )

    def _on_ejected(self, server: BackendServer, reason: str) -> None:
        logger.warning("server {} is ejected: {}", server.record.id, reason)
        server.response_time.reset()


def _accepts_requests(record: ServerRecord, document: Document) -> bool:
    return record.status is ServerStatus.JOINED and not document.is_leaving(record.id)
