"""The leader's decisions on membership, leases and key movement."""

from collections.abc import Iterable

from lychee_owner.evidence import ReachabilityTracker
from lychee_owner.gateways import GatewayLeases
from lychee_owner.hashing import hash_key
from lychee_owner.hotkeys import HotKeyBalancer
from lychee_owner.loads import LoadTracker
from lychee_owner.membership import Membership
from lychee_owner.outbox import Outbox
from lychee_owner.placement import OwnerTable
from lychee_owner.planner import difference, plan_placement
from lychee_owner.servers import ServerLeases
from lychee_owner.speeds import SpeedEstimator
from lychee_owner.state import ClusterState
from lychee_owner.transitions import FinishCondition
from lychee_types.commands import (
    BeginTransition,
    CloseLedger,
    Command,
    Done,
    ExpireLedger,
    FinishTransition,
    ForgetServer,
    JoinGateway,
    JoinServer,
    LoseGateway,
    LoseServer,
    OpenLedger,
    Outcome,
)
from lychee_types.document import RequestKind, Service
from lychee_types.exceptions import require
from lychee_types.ids import KeyHash, LogIndex, ServerId, ServiceName, SessionId, Token
from lychee_types.messages import (
    Announcement,
    EndSession,
    GrantLease,
    RenewLease,
    ReportLoad,
    ServerGrant,
)
from lychee_types.operator_messages import (
    GatewayState,
    ServerState,
    ServiceState,
)
from lychee_types.records import GatewayRecord, Ownership, Placement, ServerRecord
from lychee_types.timing import Timing

MEASUREMENT_INTERVAL_S = 1.0
"""Interval in seconds at which measured server speeds are evaluated."""


class Coordinator:
    """Decides on ownership while this replica is the leader.

    Create it once the first entry of the leader's term has been applied. The caller must check that
    the leader holds its quorum lease before it sends grants.

    :param state: the replicated state; the caller continues to apply commands to it.
    :param timing: timing parameters.
    :param now: current monotonic time in seconds.
    """

    def __init__(self, *, state: ClusterState, timing: Timing, now: float) -> None:
        self._state = state
        self._timing = timing
        self._gateways = GatewayLeases(state=state, timing=timing, now=now)
        self._servers = ServerLeases(state=state, timing=timing, now=now, fence_of=self._fence_of)
        self._reachability = ReachabilityTracker()
        self._membership = Membership(
            state=state,
            servers=self._servers,
            reachability=self._reachability,
            timing=timing,
            now=now,
        )
        self._loads = LoadTracker()
        self._speeds = SpeedEstimator(loads=self._loads)
        self._hot_keys = HotKeyBalancer(loads=self._loads)
        self._finish_condition = self._make_finish_condition()
        self._outbox = Outbox()
        self._finish_allowed: set[LogIndex] = set()
        self._is_evaluation_due = True
        self._next_tick_at = now
        self._next_measurement_at = now

    def _make_finish_condition(self) -> FinishCondition:
        return FinishCondition(
            state=self._state,
            gateways=self._gateways,
            servers=self._servers,
            timing=self._timing,
        )

    def attach_gateway(self, *, now: float, gateway: GatewayRecord) -> None:
        """Register a gateway session whose stream has been opened.

        :param now: the leader's monotonic time in seconds.
        :param gateway: record of the session.
        """
        self._gateways.attach(gateway)
        self._is_evaluation_due = True

    def renew_lease(self, *, now: float, renewal: RenewLease) -> GrantLease | EndSession | None:
        """Return the reply to a lease renewal, or None if no lease can be granted yet.

        :param now: when the renewal was received, in seconds.
        :param renewal: the renewal.
        """
        reply = self._gateways.renew(now=now, renewal=renewal)
        self._is_evaluation_due |= isinstance(reply, EndSession)
        return reply

    def handle_announcement(
        self, *, now: float, session: SessionId, announcement: Announcement
    ) -> ServerGrant | None:
        """Return the reply to an announcement, or None until the server's record is committed.

        :param now: when the announcement was received, in seconds.
        :param session: session of the gateway that forwarded it.
        :param announcement: the announcement.
        """
        if self._reachability.is_excluded(now=now, server=announcement.server.id):
            reason = "gateways of several failure domains cannot reach it"
            return self._servers.refuse(announcement=announcement, reason=reason)
        grant = self._servers.handle_announcement(now=now, announcement=announcement)
        self._is_evaluation_due |= grant is None or not grant.lease_ms
        return grant

    def handle_load_report(self, *, now: float, report: ReportLoad) -> None:
        """Process a gateway's load report.

        :param now: when the report was received, in seconds.
        :param report: the report.
        """
        session = self._gateways.sessions.get(report.session)
        if session is None:
            return
        self._loads.add_report(now=now, report=report)
        for load in report.servers:
            self._reachability.add_report(now=now, domain=session.record.domain, load=load)

    def take_commands(self, *, now: float) -> tuple[Command, ...]:
        """Return the commands to propose now, and count them as outstanding.

        :param now: the leader's monotonic time in seconds.
        """
        if self._is_evaluation_due or now >= self._next_tick_at:
            self._is_evaluation_due = False
            self._next_tick_at = now + self._timing.tick_ms / 1_000
            wanted = list(self._due_commands(now=now))
        else:
            wanted = list(self._finish_commands(now=now))
        taken = tuple(c for c in wanted if self._outbox.try_propose(now=now, command=c))
        for command in taken:
            if isinstance(command, LoseGateway):
                self._gateways.sessions[command.session].ending = True
        return taken

    def _due_commands(self, *, now: float) -> Iterable[Command]:
        yield from self._gateway_commands(now=now)
        yield from self._membership.commands(now=now)
        yield from self._speed_commands(now=now)
        yield from self._begin_commands(now=now)
        yield from self._finish_commands(now=now)

    def on_applied(
        self, *, now: float, index: LogIndex, command: Command, outcome: Outcome
    ) -> None:
        """Update the coordinator after a command has been applied to the state.

        :param now: the leader's monotonic time in seconds.
        :param index: log index of the command.
        :param command: the command.
        :param outcome: result of applying it.
        """
        self._outbox.on_applied(command)
        if isinstance(command, OpenLedger | CloseLedger | ExpireLedger):
            return
        self._is_evaluation_due = True
        if not isinstance(outcome, Done):
            return
        match command:
            case JoinGateway():
                self._gateways.on_joined(now=now, gateway=command.gateway)
            case LoseGateway():
                self._gateways.on_lost(command.session)
                self._loads.forget_gateway(command.session)
            case JoinServer():
                self._membership.on_joined(now=now, server=command.server)
            case LoseServer():
                self._membership.on_lost(now=now, server=command.server)
            case ForgetServer():
                self._membership.on_forgotten(command.server)
                self._servers.forget(command.server)
                self._reachability.forget(command.server)
                self._loads.forget_server(command.server)
            case BeginTransition():
                self._gateways.on_transition_begun(now=now, index=index)
            case FinishTransition():
                require(
                    command.begun in self._finish_allowed,
                    "a transition finished before its finish condition held",
                )
                self._finish_allowed.discard(command.begun)
            case _:
                pass

    def _gateway_commands(self, *, now: float) -> Iterable[Command]:
        for gateway in self._gateways.uncommitted():
            yield JoinGateway(gateway=gateway)
        waits = [self._finish_condition.deadline_s(service) for service in self._state.ownerships]
        wait_s = max(waits, default=0.0)
        for session_id, session in self._gateways.sessions.items():
            if self._gateways.is_expired(now=now - wait_s, session=session):
                yield LoseGateway(gateway=session.record.id, session=session_id)

    def _speed_commands(self, *, now: float) -> Iterable[Command]:
        if now < self._next_measurement_at:
            return
        self._next_measurement_at = now + MEASUREMENT_INTERVAL_S
        for name in self._state.ownerships:
            service = self._state.service(name)
            if service is not None:
                servers = self._membership.present(service)
                change = service.placement.speed_change
                yield from self._speeds.commands(now=now, servers=servers, min_change=change)

    def _begin_commands(self, *, now: float) -> Iterable[Command]:
        for ownership in list(self._state.ownerships.values()):
            target = self._target(now=now, ownership=ownership)
            if target is not None:
                change = difference(current=ownership.current, token=ownership.token, target=target)
                yield BeginTransition(service=ownership.service, change=change)

    def _finish_commands(self, *, now: float) -> Iterable[Command]:
        for ownership in list(self._state.ownerships.values()):
            if ownership.pending and self._finish_condition.is_met(now=now, ownership=ownership):
                self._finish_allowed.add(ownership.pending.begun)
                yield FinishTransition(service=ownership.service, begun=ownership.pending.begun)

    def _target(self, *, now: float, ownership: Ownership) -> Placement | None:
        """Return the placement to begin a transition to, or None to begin none."""
        service = self._state.service(ownership.service)
        document = self._state.document
        pending = ownership.pending.target if ownership.pending else None
        if service is None or document is None or service.kind is not RequestKind.KEYED:
            emptied = pending is not None and not pending.members
            return None if emptied else Placement()
        eligible = self._membership.eligible(now=now, service=service, ownership=ownership)
        if not eligible:
            return None
        hot = self._choose_hot_keys(
            now=now, service=service, ownership=ownership, eligible=eligible
        )
        wanted = plan_placement(document=document, service=service, servers=eligible, hot=hot)
        if pending is None:
            return None if wanted == ownership.current else wanted
        if wanted == pending or not self._is_urgent(wanted=wanted, ownership=ownership):
            return None
        return wanted

    def _choose_hot_keys(
        self,
        *,
        now: float,
        service: Service,
        ownership: Ownership,
        eligible: list[ServerRecord],
    ) -> dict[KeyHash, ServerId]:
        table = self._state.pending_table(service.name) or self._state.table(service.name)
        if table is None:
            return {}
        return self._hot_keys.choose(
            now=now,
            service=service,
            table=table,
            pins=self._pinned_keys(service.name),
            servers=eligible,
            is_settled=ownership.pending is None,
        )

    def _pinned_keys(self, service: ServiceName) -> frozenset[KeyHash]:
        document = self._state.document
        pins = () if document is None else document.pins
        return frozenset(hash_key(pin.key.encode()) for pin in pins if pin.service == service)

    def _is_urgent(self, *, wanted: Placement, ownership: Ownership) -> bool:
        """Return whether a target must replace the pending one instead of waiting for it to finish.

        That is the case if a server of the pending target is no longer eligible, or if a current
        owner that the pending target leaves out is eligible again.
        """
        if ownership.pending is None:
            return True
        members = {member.server for member in wanted.members}
        before = {member.server for member in ownership.pending.target.members}
        current = {member.server for member in ownership.current.members}
        removed = before - members
        returned = (members & current) - before
        return bool(removed or returned)

    def _fence_of(self, server: ServerRecord) -> Token:
        ownership = self._state.ownerships.get(server.service)
        if ownership is None:
            return Token(0)
        moves = self._finish_condition.pending_moves(ownership)
        if (
            ownership.pending is not None
            and moves is not None
            and server.id in moves.losing_servers
        ):
            return Token(ownership.pending.begun)
        return ownership.fence

    def gateway_states(self, now: float) -> tuple[GatewayState, ...]:
        """Return the status of each gateway session, for operators."""
        return self._gateways.states(now=now)

    def server_states(self, now: float) -> tuple[ServerState, ...]:
        """Return the status of each backend server, for operators."""
        shares = {name: self._shares(name) for name in self._state.ownerships}
        document = self._state.document
        return tuple(
            ServerState(
                record=server,
                leaving=document is not None and document.is_leaving(server.id),
                share=shares.get(server.service, {}).get(server.id, 0.0),
                lease_left_ms=self._server_lease_left_ms(now=now, server=server.id),
            )
            for server in sorted(self._state.servers.values(), key=lambda server: server.id)
        )

    def _server_lease_left_ms(self, *, now: float, server: ServerId) -> int:
        end = self._servers.lease_end(server) - self._timing.drift_s
        return int((end - now) * 1_000)

    def _shares(self, service: ServiceName) -> dict[ServerId, float]:
        table = self._state.table(service)
        return {} if table is None else shard_shares(table)

    def service_states(self) -> tuple[ServiceState, ...]:
        """Return the status of each keyed service, for operators."""
        return tuple(
            ServiceState(
                name=ownership.service,
                token=ownership.token,
                moving=self._moving_shards(ownership),
                hot_keys=len(ownership.current.keys),
            )
            for ownership in sorted(self._state.ownerships.values(), key=lambda o: o.service)
        )

    def _moving_shards(self, ownership: Ownership) -> int:
        moves = self._finish_condition.pending_moves(ownership)
        return 0 if moves is None else moves.shards


def shard_shares(table: OwnerTable) -> dict[ServerId, float]:
    """Return the fraction of the shards that each server of a placement owns."""
    counts: dict[ServerId, int] = {}
    for server in table.servers_by_shard():
        counts[server] = counts.get(server, 0) + 1
    return {server: count / table.shards for server, count in counts.items()}
