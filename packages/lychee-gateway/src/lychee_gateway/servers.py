"""What this gateway knows of each backend server: limits, load, connections and standing."""

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
"""Time for which a server that shed a request is given no other one, in seconds."""

FAILED_STATUS = 500
"""Least HTTP status of an answer that counts as the server's failure."""


class BackendServer:
    """One run of a backend server.

    :param record: its record.
    :param limits: what this gateway may use of it.
    :param since: monotonic time in seconds at which it was first seen.
    """

    def __init__(self, *, record: ServerRecord, limits: Limits, since: float) -> None:
        self.record = record
        self.limits = limits
        self.since = since
        self.pool = ServerPool(endpoint=record.endpoint)
        self.time = ResponseTime()
        self.in_flight = 0
        self.paused_until = float("-inf")
        self._awaited: dict[object, float] = {}
        self._answered = 0
        self._failed = 0
        self._busy_s = 0.0

    @contextmanager
    def awaited(self) -> Iterator[None]:
        """Count a request without an answer while the block runs."""
        mark = object()
        self._awaited[mark] = monotonic()
        try:
            yield
        finally:
            del self._awaited[mark]

    def oldest_s(self, now: float) -> float:
        """Return the age of the oldest request without an answer, 0 without one.

        :param now: monotonic time in seconds.
        """
        return now - next(iter(self._awaited.values())) if self._awaited else 0.0

    @property
    def has_room(self) -> bool:
        """Whether another request may be sent now."""
        return self.in_flight < self.limits.in_flight

    def count_answer(self, seconds: float) -> None:
        """Count an answer and the time that it took."""
        self._answered += 1
        self._busy_s += seconds
        self.time.add(seconds)

    def count_error(self) -> None:
        """Count an answer that tells of a failure; its time says nothing of the server's speed."""
        self._answered += 1

    def count_failure(self) -> None:
        """Count a refused connection, a timeout or a broken answer."""
        self._failed += 1

    def take_load(self) -> ServerLoad | None:
        """Return the counts since the last call, None if the server was not used."""
        if not (self._answered or self._failed or self.in_flight):
            return None
        load = ServerLoad(
            server=self.record.id,
            answered=self._answered,
            failed=self._failed,
            busy_ms=self._busy_s * 1_000,
            in_flight=self.in_flight,
        )
        self._answered = self._failed = 0
        self._busy_s = 0.0
        return load


class ServerBook:
    """All backend servers of the state."""

    def __init__(self) -> None:
        self._servers: dict[ServerId, BackendServer] = {}
        self._takers: dict[ServiceName, list[BackendServer]] = {}
        self._detectors: dict[ServiceName, OutlierDetector] = {}
        self._typical_s: dict[ServiceName, float] = {}

    def __iter__(self) -> Iterator[BackendServer]:
        return iter(self._servers.values())

    def get(self, server: ServerId) -> BackendServer | None:
        """Return the server of that id, or None."""
        return self._servers.get(server)

    def takers(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service that take new work, in order of id."""
        return self._takers.get(service, [])

    def candidates(self, service: ServiceName, now: float) -> list[Candidate]:
        """Return the servers of a free service that may be sent a request now.

        One that keeps a request waiting for long is left out while there are others.

        :param service: the service's name.
        :param now: monotonic time in seconds.
        """
        usable = [
            server
            for server in self.takers(service)
            if server.has_room and server.paused_until <= now and self._stands(server, now)
        ]
        lively = [
            server
            for server in usable
            if not is_stuck(oldest_s=server.oldest_s(now), typical_s=self._typical(server))
        ]
        return [self._candidate(server, now) for server in lively or usable]

    def note_answer(self, server: BackendServer, *, seconds: float, status: int) -> None:
        """Take note of a whole answer.

        :param server: the server.
        :param seconds: time from sending to the answer.
        :param status: its HTTP status; a server that fails fast must not look fast.
        """
        if status >= FAILED_STATUS:
            self.note_failure(server, reached=True)
            return
        server.count_answer(seconds)
        if server.time.response_count <= INITIAL_RESPONSES:
            self._measure(server.record.service)
        detector = self._detectors.get(server.record.service)
        if detector is None:
            return
        slow = self._is_slow(server)
        if detector.record_success(server.record.id, monotonic(), slow=slow):
            self._left_out(server, "it is slow beside the others")

    def note_failure(self, server: BackendServer, *, reached: bool = False) -> None:
        """Take note of a failure.

        :param server: the server.
        :param reached: whether the server answered at all.
        """
        if reached:
            server.count_error()
        else:
            server.count_failure()
        detector = self._detectors.get(server.record.service)
        if detector is not None and detector.record_failure(server.record.id, monotonic()):
            self._left_out(server, "it fails")

    def pause(self, server: BackendServer) -> None:
        """Send a server that shed a request no other one for a short time."""
        server.paused_until = monotonic() + SHED_PAUSE_S

    def standing(self, server: BackendServer) -> str:
        """Return how a server stands, for a dump."""
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
        """Return the load of each used server since the last call."""
        for service in self._takers:
            self._measure(service)
        loads = [server.take_load() for server in self]
        return tuple(load for load in loads if load is not None)

    def sync(self, state: ClusterState) -> None:
        """Follow a change of the state."""
        gateways = len({record.id for record in state.gateways.values()})
        for record in state.servers.values():
            self._sync_server(record, gateways)
        for gone in set(self._servers) - set(state.servers):
            self._servers.pop(gone).pool.close()
        self._takers = {}
        document = state.document
        if document is None:
            return
        for server in sorted(self, key=lambda server: server.record.id):
            if _may_take_work(server.record, document):
                self._takers.setdefault(server.record.service, []).append(server)
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
                record=record, limits=limits, since=monotonic()
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
                first_s = BASE_EJECTION_S if service.idempotent else NON_IDEMPOTENT_EJECTION_S
                detector = self._detectors[name] = OutlierDetector(base_ejection_s=first_s)
            detector.set_servers({server.record.id for server in self.takers(name)})

    def _stands(self, server: BackendServer, now: float) -> bool:
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
                measured=server.time,
                announced_speed=server.record.speed,
                typical_s=self._typical_s.get(server.record.service, 0.0),
            ),
            warm_up_share=warm_up_share(now - server.since),
        )

    def _measure(self, service: ServiceName) -> None:
        measured = [(server.time, server.record.speed) for server in self.takers(service)]
        self._typical_s[service] = typical_response_s(measured)

    def _typical(self, server: BackendServer) -> float:
        return self._typical_s.get(server.record.service, 0.0) / server.record.speed

    def _is_slow(self, server: BackendServer) -> bool:
        if server.time.mean_s <= self._typical(server):
            return False
        return is_slow(
            mean_s=server.time.mean_s * server.record.speed,
            response_count=server.time.response_count,
            others_s=[
                other.time.mean_s * other.record.speed
                for other in self.takers(server.record.service)
                if other is not server and other.time.response_count
            ],
        )

    def _left_out(self, server: BackendServer, reason: str) -> None:
        logger.warning("server {} is left out: {}", server.record.id, reason)
        server.time.reset()


def _may_take_work(record: ServerRecord, document: Document) -> bool:
    return record.status is ServerStatus.JOINED and not document.is_leaving(record.id)
