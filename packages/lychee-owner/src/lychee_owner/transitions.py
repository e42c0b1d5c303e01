"""The condition under which a transition between placements may finish."""

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from lychee_owner.gateways import GatewayLeases, GatewaySession
from lychee_owner.placement import OwnerTable
from lychee_owner.servers import ServerLeases
from lychee_owner.state import ClusterState
from lychee_types.document import Document
from lychee_types.ids import LogIndex, ServerId, ServiceName
from lychee_types.records import Ownership
from lychee_types.timing import Timing


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMoves:
    """The keys that change their owner between two placements.

    :param shards: number of shards that change their owner.
    :param keys: number of individually placed keys that change their owner.
    :param losing_servers: servers that lose keys.
    """

    shards: int
    keys: int
    losing_servers: frozenset[ServerId]

    @property
    def is_empty(self) -> bool:
        """Whether no key changes its owner."""
        return not self.shards and not self.keys


def compute_moves(*, current: OwnerTable, target: OwnerTable) -> KeyMoves:
    """Return what changes owner between two placements; their numbers of shards may differ."""
    shards = max(current.shards, target.shards)
    before, after = current.tiled_owners(shards), target.tiled_owners(shards)
    changed = before != after
    losing_servers = {str(server) for server in np.unique(before[changed]) if server}
    keys = current.individual_keys | target.individual_keys
    moved = {key for key in keys if current.owner(key) != target.owner(key)}
    losing_servers |= {owner for key in moved if (owner := current.owner(key)) is not None}
    return KeyMoves(
        shards=int(changed.sum()),
        keys=len(moved),
        losing_servers=frozenset(ServerId(server) for server in losing_servers),
    )


class FinishCondition:
    """Decides whether the old owners of moving keys can no longer run requests for them.

    :param state: the replicated state.
    :param gateways: leases of gateway sessions.
    :param servers: leases of backend servers.
    :param timing: timing parameters.
    """

    def __init__(
        self,
        *,
        state: ClusterState,
        gateways: GatewayLeases,
        servers: ServerLeases,
        timing: Timing,
    ) -> None:
        self._state = state
        self._gateways = gateways
        self._servers = servers
        self._timing = timing
        self._moves: dict[ServiceName, tuple[LogIndex, KeyMoves]] = {}

    def is_met(self, *, now: float, ownership: Ownership) -> bool:
        """Return whether the pending transition of a service may be finished.

        :param now: the leader's monotonic time in seconds.
        :param ownership: ownership of the service, with a pending transition.
        """
        moves = self.pending_moves(ownership)
        if moves is None or moves.is_empty:
            return moves is not None
        return all(
            self.is_drained(now=now, session=session, ownership=ownership)
            or self.is_session_over(
                now=now, session=session, ownership=ownership, losing_servers=moves.losing_servers
            )
            for session in self._gateways.sessions.values()
        )

    def pending_moves(self, ownership: Ownership) -> KeyMoves | None:
        """Return what the pending transition moves, or None if none is pending."""
        pending = ownership.pending
        if pending is None:
            return None
        cached = self._moves.get(ownership.service)
        if cached is not None and cached[0] == pending.begun:
            return cached[1]
        current = self._state.table(ownership.service)
        target = self._state.pending_table(ownership.service)
        if current is None or target is None:
            return None
        key_moves = compute_moves(current=current, target=target)
        self._moves[ownership.service] = (pending.begun, key_moves)
        return key_moves

    def is_drained(self, *, now: float, session: GatewaySession, ownership: Ownership) -> bool:
        """Return whether a gateway session can have no request for moving keys in flight.

        Either the gateway has reported so, or every request that it sent before it applied the
        transition has passed its deadline.
        """
        pending = ownership.pending
        if pending is None:
            return False
        if session.released or session.drained.get(ownership.service) == pending.begun:
            return True
        applied_at = session.applied_at.get(ownership.service)
        if applied_at is None or applied_at[0] != pending.begun:
            return False
        return now >= applied_at[1] + self.deadline_s(ownership.service)

    def is_session_over(
        self,
        *,
        now: float,
        session: GatewaySession,
        ownership: Ownership,
        losing_servers: Iterable[ServerId],
    ) -> bool:
        """Return whether a session's lease has ended and its late requests can no longer run.

        A gateway may still write requests that it checked before its lease ended. They are refused
        once their deadline has passed, or at once by an old owner that checks tokens and is fenced.
        """
        if now < self.gateway_lease_end(session):
            return False
        deadline_s = self.deadline_s(ownership.service)
        if now >= self.gateway_lease_end(session) + deadline_s:
            return True
        return all(
            self.checks_tokens(ownership=ownership, server=server)
            and self.is_fenced(now=now, ownership=ownership, server=server)
            for server in losing_servers
        )

    def gateway_lease_end(self, session: GatewaySession) -> float:
        """Return the time from which a session certainly holds no lease, in seconds."""
        return session.lease_end

    def is_fenced(self, *, now: float, ownership: Ownership, server: ServerId) -> bool:
        """Return whether a server that checks tokens now refuses those of the current placement."""
        pending = ownership.pending
        if pending is None:
            return False
        confirmed = self._servers.confirmed_fence(server) >= pending.begun
        return confirmed or now >= self._servers.lease_end(server)

    def deadline_s(self, service: ServiceName) -> float:
        """Return the longest deadline of a request, with the drift margin, in seconds.

        Earlier documents count too: a request keeps the deadline that it was sent with.

        :param service: the service's name.
        """
        services = [version.document.service(service) for version in self._state.history]
        longest_ms = max((known.deadline_ms for known in services if known is not None), default=0)
        return longest_ms / 1_000 + self._timing.drift_s

    def checks_tokens(self, *, ownership: Ownership, server: ServerId) -> bool:
        """Return whether a server checks tokens by every document since the transition began."""
        documents = list(self._documents_in_force_since(ownership))
        return bool(documents) and all(
            document.checks_tokens(ownership.service, server) for document in documents
        )

    def _documents_in_force_since(self, ownership: Ownership) -> Iterable[Document]:
        pending = ownership.pending
        history = self._state.history
        for position, version in enumerate(history):
            following = history[position + 1] if position + 1 < len(history) else None
            replaced = following is not None and pending and following.index <= pending.begun
            if not replaced:
                yield version.document
