"""What this gateway knows of each backend server: limits, load and connections."""

from collections.abc import Iterator

from lychee_gateway.pool import ServerPool
from lychee_owner import ClusterState
from lychee_policy import Limits, limits_for
from lychee_types.document import Document
from lychee_types.ids import ServerId, ServiceName
from lychee_types.messages import ServerLoad
from lychee_types.records import ServerRecord, ServerStatus

TIME_SMOOTHING = 0.1
"""Weight of the newest answer in the mean time to an answer."""


class BackendServer:
    """One run of a backend server.

    :param record: its record.
    :param limits: what this gateway may use of it.
    """

    def __init__(self, *, record: ServerRecord, limits: Limits) -> None:
        self.record = record
        self.limits = limits
        self.pool = ServerPool(endpoint=record.endpoint)
        self.in_flight = 0
        self.answer_s = 0.0
        self._answered = 0
        self._failed = 0
        self._busy_s = 0.0

    @property
    def has_room(self) -> bool:
        """Whether another request may be sent now."""
        return self.in_flight < self.limits.in_flight

    def count_answer(self, seconds: float) -> None:
        """Count a whole answer and the time that it took."""
        self._answered += 1
        self._busy_s += seconds
        if self.answer_s:
            self.answer_s += TIME_SMOOTHING * (seconds - self.answer_s)
        else:
            self.answer_s = seconds

    def count_failure(self) -> None:
        """Count a refused connection, a timeout or a broken answer."""
        self._failed += 1

    def take_load(self) -> ServerLoad:
        """Return the counts since the last call."""
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


def _may_take_work(record: ServerRecord, document: Document) -> bool:
    return record.status is ServerStatus.JOINED and not document.is_leaving(record.id)


class ServerBook:
    """All backend servers of the state."""

    def __init__(self) -> None:
        self._servers: dict[ServerId, BackendServer] = {}
        self._free: dict[ServiceName, list[BackendServer]] = {}

    def __iter__(self) -> Iterator[BackendServer]:
        return iter(self._servers.values())

    def get(self, server: ServerId) -> BackendServer | None:
        """Return the server of that id, or None."""
        return self._servers.get(server)

    def takers(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service that take new work, in order of id."""
        return self._free.get(service, [])

    def sync(self, state: ClusterState) -> None:
        """Follow a change of the state."""
        gateways = len(state.gateways)
        for record in state.servers.values():
            self._sync_server(record, gateways)
        for gone in set(self._servers) - set(state.servers):
            self._servers.pop(gone).pool.close()
        self._free = {}
        document = state.document
        if document is None:
            return
        for server in sorted(self, key=lambda server: server.record.id):
            if _may_take_work(server.record, document):
                self._free.setdefault(server.record.service, []).append(server)

    def _sync_server(self, record: ServerRecord, gateways: int) -> None:
        limits = limits_for(record, gateways=gateways)
        known = self._servers.get(record.id)
        if known is None or known.record.incarnation != record.incarnation:
            if known is not None:
                known.pool.close()
            self._servers[record.id] = BackendServer(record=record, limits=limits)
            return
        if known.record.endpoint != record.endpoint:
            known.pool.close()
            known.pool = ServerPool(endpoint=record.endpoint)
        known.record = record
        known.limits = limits
        known.pool.keep_at_most(limits.connections)
