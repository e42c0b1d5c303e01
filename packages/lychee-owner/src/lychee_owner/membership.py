"""Which backend servers may own keys, and which are lost."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lychee_owner.evidence import Evidence
from lychee_owner.servers import ServerRuns
from lychee_owner.state import ClusterState, placed_servers
from lychee_types.commands import Command, ForgetServer, JoinServer, LoseServer
from lychee_types.document import PlacementPolicy, Service
from lychee_types.ids import ServerId, ServiceName
from lychee_types.records import Ownership, ServerRecord, ServerStatus
from lychee_types.timing import Timing

FORGET_S = 600.0
"""Time in seconds after which a lost server without keys is removed from the state."""

BATCH_LIMIT = 3
"""How many times the settling time a new server waits at most for others that join."""

RETURN_MEMORY_S = 60.0
"""Time in seconds for which the returns of a lost server count."""

RETURN_LIMIT = 2
"""Number of recent returns from which a server must first stay for long before it gets keys."""

LONGEST_REJOIN_S = 60.0
"""Longest wait in seconds before keys move back to a server that was lost again and again."""

EXCLUDED_SHARE = 1 / 3
"""Highest share of a service's servers that are kept out because gateways cannot reach them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Newcomer:
    """A server that owns no keys yet.

    :param joined_at: when its record was committed, in seconds.
    :param due_at: when keys may move to it, in seconds.
    """

    joined_at: float
    due_at: float


class Membership:
    """Decides on joins, losses and returns of backend servers.

    :param state: the replicated state.
    :param servers: session leases of backend servers.
    :param evidence: what gateways report of backend servers.
    :param timing: time limits.
    :param now: when this replica became leader, in seconds.
    """

    def __init__(
        self,
        *,
        state: ClusterState,
        servers: ServerRuns,
        evidence: Evidence,
        timing: Timing,
        now: float,
    ) -> None:
        self._state = state
        self._servers = servers
        self._evidence = evidence
        self._timing = timing
        self._started = now
        self._newcomers: dict[ServerId, Newcomer] = {}
        self._lost_at: dict[ServerId, float] = {}
        self._returns: dict[ServerId, list[float]] = {}
        self._status = {server.id: server.status for server in state.servers.values()}

    def joined(self, *, now: float, server: ServerRecord) -> None:
        """Take in a committed record."""
        policy = self._policy(server)
        before = self._status.get(server.id)
        returned = before is ServerStatus.LOST
        wait_s = policy.settle_ms / 1_000
        if returned:
            wait_s = self._rejoin_s(now=now, server=server.id, policy=policy)
        if before is None or returned:
            self._newcomers[server.id] = Newcomer(joined_at=now, due_at=now + wait_s)
        self._status[server.id] = server.status
        self._lost_at.pop(server.id, None)

    def _rejoin_s(self, *, now: float, server: ServerId, policy: PlacementPolicy) -> float:
        """Return how long a server that is back waits for keys; it doubles with each return."""
        returns = [at for at in self._returns.get(server, []) if now < at + RETURN_MEMORY_S]
        self._returns[server] = [*returns, now]
        doubled = float(policy.rejoin_ms * 2 ** len(returns))
        return min(doubled / 1_000, LONGEST_REJOIN_S)

    def _is_unsteady(self, *, now: float, server: ServerId) -> bool:
        """Return whether a server was lost again and again and has not stayed long enough since."""
        newcomer = self._newcomers.get(server)
        waits = newcomer is not None and now < newcomer.due_at
        return waits and len(self._returns.get(server, [])) > RETURN_LIMIT

    def lost(self, *, now: float, server: ServerId) -> None:
        """Take in that a server has been marked as lost."""
        self._status[server] = ServerStatus.LOST
        self._lost_at[server] = now
        self._newcomers.pop(server, None)

    def forgotten(self, server: ServerId) -> None:
        """Take in that a server has been removed from the state."""
        self._status.pop(server, None)
        self._returns.pop(server, None)
        self._lost_at.pop(server, None)
        self._newcomers.pop(server, None)

    def commands(self, *, now: float) -> Iterable[Command]:
        """Return the commands on servers that are due."""
        for join in self._servers.joins():
            if self._may_join(now=now, join=join):
                yield join
        limits_s = self._loss_limits_s()
        for server in self._state.servers.values():
            limit_s = limits_s.get(server.service, PlacementPolicy().lost_after_ms / 1_000)
            if server.status is ServerStatus.LOST:
                if self._is_forgettable(now=now, server=server):
                    yield ForgetServer(server=server.id)
            elif self._is_lost(now=now, server=server, limit_s=limit_s):
                yield LoseServer(server=server.id, incarnation=server.incarnation)

    def _may_join(self, *, now: float, join: JoinServer) -> bool:
        return not self._evidence.is_excluded(now=now, server=join.server.id)

    def _loss_limits_s(self) -> dict[ServiceName, float]:
        """Return for each service the silence after which a server is lost, in seconds."""
        document = self._state.document
        services = () if document is None else document.services
        return {s.name: s.placement.lost_after_ms / 1_000 for s in services}

    def _is_lost(self, *, now: float, server: ServerRecord, limit_s: float) -> bool:
        if self._servers.is_replaced(server):
            return True
        silent_s = self._servers.silent_s(now=now, server=server)
        if silent_s >= limit_s:
            return True
        unreachable = self._evidence.is_unreachable(now=now, server=server.id, for_s=limit_s)
        if unreachable and self._may_exclude(now=now, server=server):
            self._evidence.exclude(now=now, server=server.id)
            return True
        refused = self._evidence.is_unreachable(now=now, server=server.id, for_s=0.0)
        return refused and silent_s >= limit_s / 2

    def _may_exclude(self, *, now: float, server: ServerRecord) -> bool:
        """Return whether few enough servers of a service are kept out on evidence alone."""
        peers = [s for s in self._state.servers.values() if s.service == server.service]
        out = sum(self._evidence.is_excluded(now=now, server=peer.id) for peer in peers)
        return out + 1 <= len(peers) * EXCLUDED_SHARE

    def _is_forgettable(self, *, now: float, server: ServerRecord) -> bool:
        lost_at = self._lost_at.setdefault(server.id, now)
        over = now >= max(lost_at + FORGET_S, self._servers.lease_end(server.id))
        return over and not self._state.owns_keys(server.id)

    def eligible(self, *, now: float, service: Service, ownership: Ownership) -> list[ServerRecord]:
        """Return the servers that may own a service's keys now.

        :param now: the leader's time in seconds.
        :param service: a keyed service.
        :param ownership: its ownership.
        """
        present = {server.id: server for server in self.present(service)}
        placed = placed_servers(ownership)
        due = self._due(now=now, service=service, present=present, placed=placed)
        found = [server for server in present.values() if server.id in placed or server.id in due]
        steady = [s for s in found if not self._is_unsteady(now=now, server=s.id)]
        return steady or found or self._settled(now=now, service=service, present=present)

    def _settled(
        self, *, now: float, service: Service, present: Mapping[ServerId, ServerRecord]
    ) -> list[ServerRecord]:
        """Return the servers that must own keys at once because there is no other owner."""
        settle_s = service.placement.settle_ms / 1_000
        joined = {name: self._newcomer(name).joined_at for name in present}
        settled = [s for s in present.values() if joined[s.id] <= now - settle_s]
        waits = len(settled) < len(joined) and now < min(joined.values()) + BATCH_LIMIT * settle_s
        return [] if waits else settled

    def present(self, service: Service) -> list[ServerRecord]:
        """Return the servers of a service that are neither lost nor leaving."""
        document = self._state.document
        rules = () if document is None else document.servers
        leaving = {rule.id for rule in rules if rule.leaving}
        return [
            server
            for server in self._state.servers.values()
            if server.service == service.name
            and server.status is ServerStatus.JOINED
            and server.id not in leaving
        ]

    def _due(
        self,
        *,
        now: float,
        service: Service,
        present: Mapping[ServerId, ServerRecord],
        placed: set[ServerId],
    ) -> set[ServerId]:
        settle_s = service.placement.settle_ms / 1_000
        waiting = {name: self._newcomer(name) for name in present if name not in placed}
        due = {name for name, newcomer in waiting.items() if newcomer.due_at <= now}
        if not due:
            return due
        oldest = min(waiting[name].due_at for name in due)
        more = any(now < newcomer.due_at <= now + settle_s for newcomer in waiting.values())
        if more and now < oldest + BATCH_LIMIT * settle_s:
            return set()
        return due

    def _newcomer(self, server: ServerId) -> Newcomer:
        first = Newcomer(joined_at=self._started, due_at=self._started + self._timing.lease_s)
        return self._newcomers.setdefault(server, first)

    def _policy(self, server: ServerRecord) -> PlacementPolicy:
        service = self._state.service(server.service)
        return service.placement if service is not None else PlacementPolicy()
