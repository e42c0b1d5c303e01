"""The registered backend servers of each service, kept in line with the replicated state."""

from collections.abc import Callable

from loguru import logger

from lychee_gateway.proxy.servers import ProxyServer
from lychee_ranges import RoutedState
from lychee_types.clock import Clock
from lychee_types.ids import DomainName, ServerId, ServiceName
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.registry_messages import ServerStats
from lychee_types.server_check import server_fault

ESTIMATE_INTERVAL_S = 0.1
"""Interval at which service times without recent answers are estimated anew, in seconds."""


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
        self._evacuated_since: dict[DomainName, float] = {}

    @property
    def gateway_count(self) -> int:
        """Approximate number of gateways."""
        return self._gateway_count

    def set_gateway_count(self, count: int) -> None:
        """Set the approximate number of gateways."""
        self._gateway_count = max(1, count)
        for server in self._by_id.values():
            server.gateway_count = self._gateway_count

    def sync(self, state: RoutedState) -> None:
        """Add, update and remove servers to match the registrations in the state."""
        now, as_of = self._clock.monotonic(), self._as_of()
        self._evacuated_since = {
            domain: self._evacuated_since.get(domain, as_of) for domain in state.evacuated
        }
        records = self._usable_records(state)
        cold_rules = state.routing.cold_rules()
        for server_id, server in tuple(self._by_id.items()):
            record = records.get(server_id)
            if (
                record is None
                or record.run != server.run
                or record.endpoint != server.record.endpoint
            ):
                server.pool.close()
                # A request that was to be sent there may still wait for a connection.
                server.leave(as_of)
                del self._by_id[server_id]
        for server_id, record in records.items():
            known = self._by_id.get(server_id)
            if known is None:
                self._by_id[server_id] = ProxyServer(
                    record=record,
                    now=now,
                    leaving_since=self._leaving_since(record, as_of),
                    gateway_count=self._gateway_count,
                    service_time_s=self._mean_service_time_s(record.service),
                    cold_rule=cold_rules.get(record.service),
                    is_newcomer=bool(self.for_service(record.service)),
                )
            else:
                known.record = record
                known.set_cold_rule(cold_rules.get(record.service), now)
                self._update_leaving(known, now=now, as_of=as_of)
        self._by_service = {}
        for server in self._by_id.values():
            self._by_service.setdefault(server.record.service, []).append(server)

    def _leaving_since(self, record: RegisteredServer, as_of: float) -> float | None:
        """Return since when a server may be allowed to leave, None if it stays.

        A server that registers in an evacuated domain gets no drain time of its own.
        """
        since = self._evacuated_since.get(record.domain)
        return as_of if since is None and record.is_leaving else since

    def _update_leaving(self, server: ProxyServer, *, now: float, as_of: float) -> None:
        since = self._leaving_since(server.record, as_of)
        if since is not None:
            server.leave(since)
        elif server.is_leaving:
            server.stay()
            # It may have become cold while nothing was sent to it.
            server.assume_cold(now)

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
            fastest_s, mean_s = min(measured_s), sum(measured_s) / len(measured_s)
            for server in servers:
                server.estimate_anew(fastest_s, mean_s, now)

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
