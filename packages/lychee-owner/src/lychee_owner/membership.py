"""Decisions on which backend servers may own keys and which are lost."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lychee_owner.evidence import ReachabilityTracker
from lychee_owner.servers import ServerLeases
from lychee_owner.state import ClusterState, placed_servers
from lychee_types.commands import Command, ForgetServer, JoinServer, LoseServer
from lychee_types.document import PlacementPolicy, Service
from lychee_types.ids import ServerId, ServiceName
from lychee_types.records import Ownership, ServerRecord, ServerStatus
from lychee_types.timing import Timing

FORGET_AFTER_S = 600.0
"""Time in seconds after which a lost server without keys is removed from the state."""

MAX_BATCH_DELAY_FACTOR = 3
"""Maximum wait of a new server for others that are joining, as a multiple of the settling time."""

REJOIN_WINDOW_S = 60.0
"""Time in seconds for which each return of a lost server counts towards its rejoin delay."""

MAX_QUICK_REJOINS = 2
"""Number of recent returns above which a server gets no keys before the end of its rejoin delay."""

MAX_REJOIN_DELAY_S = 60.0
"""Maximum delay in seconds before keys move back to a server that was lost repeatedly."""

MAX_EXCLUDED_SHARE = 1 / 3
"""Maximum share of a service's servers that may be excluded because gateways cannot reach them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnplacedServer:
    """A server that owns no keys yet.

    :param joined_at: when its record was committed, in seconds.
    :param eligible_at: time from which keys may move to it, in seconds.
    """

    joined_at: float
    eligible_at: float


class Membership:
    """Decides on joins, losses and returns of backend servers.

    :param state: the replicated state.
    :param servers: leases of backend servers.
    :param reachability: which backend servers the gateways can reach.
    :param timing: timing parameters.
    :param now: when this replica became leader, in seconds.
    """

    def __init__(
        self,
        *,
        state: ClusterState,
        servers: ServerLeases,
        reachability: ReachabilityTracker,
        timing: Timing,
        now: float,
    ) -> None:
        self._state = state
        self._servers = servers
        self._reachability = reachability
        self._timing = timing
        self._started = now
        self._unplaced: dict[ServerId, UnplacedServer] = {}
        self._lost_at: dict[ServerId, float] = {}
        self._rejoined_at: dict[ServerId, list[float]] = {}
        self._status = {server.id: server.status for server in state.servers.values()}

    def on_joined(self, *, now: float, server: ServerRecord) -> None:
        """Update the membership after a server's record has been committed."""
        policy = self._policy(server)
        before = self._status.get(server.id)
        returned = before is ServerStatus.LOST
        wait_s = policy.settle_ms / 1_000
        if returned:
            wait_s = self._rejoin_delay_s(now=now, server=server.id, policy=policy)
        if before is None or returned:
            self._unplaced[server.id] = UnplacedServer(joined_at=now, eligible_at=now + wait_s)
        self._status[server.id] = server.status
        self._lost_at.pop(server.id, None)

    def _rejoin_delay_s(self, *, now: float, server: ServerId, policy: PlacementPolicy) -> float:
        """Return how long a returning server waits for keys; each recent return doubles it."""
        recent_rejoins = [
            at for at in self._rejoined_at.get(server, []) if now < at + REJOIN_WINDOW_S
        ]
        self._rejoined_at[server] = [*recent_rejoins, now]
        doubled = float(policy.rejoin_ms * 2 ** len(recent_rejoins))
        return min(doubled / 1_000, MAX_REJOIN_DELAY_S)

    def _is_flapping(self, *, now: float, server: ServerId) -> bool:
        """Return whether a server was lost repeatedly and its rejoin delay has not ended yet."""
        unplaced = self._unplaced.get(server)
        waits = unplaced is not None and now < unplaced.eligible_at
        return waits and len(self._rejoined_at.get(server, [])) > MAX_QUICK_REJOINS

    def on_lost(self, *, now: float, server: ServerId) -> None:
        """Update the membership after a server has been marked as lost."""
        self._status[server] = ServerStatus.LOST
        self._lost_at[server] = now
        self._unplaced.pop(server, None)

    def on_forgotten(self, server: ServerId) -> None:
        """Update the membership after a server has been removed from the state."""
        self._status.pop(server, None)
        self._rejoined_at.pop(server, None)
        self._lost_at.pop(server, None)
        self._unplaced.pop(server, None)

    def commands(self, *, now: float) -> Iterable[Command]:
        """Return the commands that are due to add servers, mark them as lost or remove them."""
        for join in self._servers.due_joins():
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
        return not self._reachability.is_excluded(now=now, server=join.server.id)

    def _loss_limits_s(self) -> dict[ServiceName, float]:
        """Return for each service the time without announcements after which a server is lost."""
        document = self._state.document
        services = () if document is None else document.services
        return {s.name: s.placement.lost_after_ms / 1_000 for s in services}

    def _is_lost(self, *, now: float, server: ServerRecord, limit_s: float) -> bool:
        if self._servers.is_superseded(server):
            return True
        announcement_age_s = self._servers.announcement_age_s(now=now, server=server)
        if announcement_age_s >= limit_s:
            return True
        unreachable = self._reachability.is_unreachable(now=now, server=server.id, for_s=limit_s)
        if unreachable and self._may_exclude(now=now, server=server):
            self._reachability.exclude(now=now, server=server.id)
            return True
        unreachable_now = self._reachability.is_unreachable(now=now, server=server.id, for_s=0.0)
        return unreachable_now and announcement_age_s >= limit_s / 2

    def _may_exclude(self, *, now: float, server: ServerRecord) -> bool:
        """Return whether one more server may be excluded only because gateways cannot reach it."""
        peers = [s for s in self._state.servers.values() if s.service == server.service]
        excluded_count = sum(
            self._reachability.is_excluded(now=now, server=peer.id) for peer in peers
        )
        return excluded_count + 1 <= len(peers) * MAX_EXCLUDED_SHARE

    def _is_forgettable(self, *, now: float, server: ServerRecord) -> bool:
        lost_at = self._lost_at.setdefault(server.id, now)
        is_due = now >= max(lost_at + FORGET_AFTER_S, self._servers.lease_end(server.id))
        return is_due and not self._state.owns_keys(server.id)

    def eligible(self, *, now: float, service: Service, ownership: Ownership) -> list[ServerRecord]:
        """Return the servers that may own a service's keys now.

        :param now: the leader's monotonic time in seconds.
        :param service: a keyed service.
        :param ownership: its ownership.
        """
        present = {server.id: server for server in self.present(service)}
        placed = placed_servers(ownership)
        due = self._due(now=now, service=service, present=present, placed=placed)
        candidates = [
            server for server in present.values() if server.id in placed or server.id in due
        ]
        stable = [s for s in candidates if not self._is_flapping(now=now, server=s.id)]
        return stable or candidates or self._settled(now=now, service=service, present=present)

    def _settled(
        self, *, now: float, service: Service, present: Mapping[ServerId, ServerRecord]
    ) -> list[ServerRecord]:
        """Return the servers that get keys at once because no other server can own them."""
        settle_s = service.placement.settle_ms / 1_000
        joined_at_by_server = {name: self._unplaced_server(name).joined_at for name in present}
        settled = [s for s in present.values() if joined_at_by_server[s.id] <= now - settle_s]
        waits = (
            len(settled) < len(joined_at_by_server)
            and now < min(joined_at_by_server.values()) + MAX_BATCH_DELAY_FACTOR * settle_s
        )
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
        waiting = {name: self._unplaced_server(name) for name in present if name not in placed}
        due = {name for name, unplaced in waiting.items() if unplaced.eligible_at <= now}
        if not due:
            return due
        first_eligible_at = min(waiting[name].eligible_at for name in due)
        others_follow_soon = any(
            now < unplaced.eligible_at <= now + settle_s for unplaced in waiting.values()
        )
        if others_follow_soon and now < first_eligible_at + MAX_BATCH_DELAY_FACTOR * settle_s:
            return set()
        return due

    def _unplaced_server(self, server: ServerId) -> UnplacedServer:
        default = UnplacedServer(
            joined_at=self._started, eligible_at=self._started + self._timing.lease_s
        )
        return self._unplaced.setdefault(server, default)

    def _policy(self, server: ServerRecord) -> PlacementPolicy:
        service = self._state.service(server.service)
        return service.placement if service is not None else PlacementPolicy()
