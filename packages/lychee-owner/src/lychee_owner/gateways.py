"""Leases of gateway sessions, as known to the leader.

A session is one lifetime of a gateway process: a restarted gateway has a new session.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lychee_owner.state import ClusterState
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex, ServiceName, SessionId
from lychee_types.messages import (
    EndSession,
    GrantLease,
    RenewLease,
)
from lychee_types.operator_messages import (
    GatewayState,
)
from lychee_types.records import GatewayRecord
from lychee_types.timing import Timing

APPLY_LIMIT_S = 0.5
"""Time in seconds in which a gateway must apply the start of a transition to keep its lease."""

DISTANT_PAST = float("-inf")
"""A time before all others."""


@dataclass(kw_only=True, slots=True)
class GatewaySession:
    """State of one committed gateway session; times are the leader's monotonic time in seconds.

    :param record: record of the session.
    :param joined_at: when its commit was applied.
    :param lease_end: time from which it certainly holds no lease, drift included; a previous leader
        may have granted the last one.
    :param granted_until: end of the last lease that this leader has granted, drift included.
    :param applied: last log index that it has reported as applied.
    :param document_version: document version that it has reported.
    :param drained: for each service, the last transition for which it has reported that no request
        to an old owner is in flight.
    :param applied_at: for each service, the pending transition and when the session first reported
        it as applied.
    :param ending: whether it gets no more leases; a command to remove it may have been proposed.
    :param released: whether it has returned its lease.
    """

    record: GatewayRecord
    joined_at: float
    lease_end: float
    granted_until: float = DISTANT_PAST
    applied: LogIndex = LogIndex(0)
    document_version: int = 0
    drained: dict[ServiceName, LogIndex] = field(default_factory=dict)
    applied_at: dict[ServiceName, tuple[LogIndex, float]] = field(default_factory=dict)
    ending: bool = False
    released: bool = False


class GatewayLeases:
    """Grants and tracks the leases of gateway sessions.

    :param state: the replicated state, after the leader's first entry.
    :param timing: timing parameters.
    :param now: when this replica became leader, in seconds.
    """

    def __init__(self, *, state: ClusterState, timing: Timing, now: float) -> None:
        self._state = state
        self._timing = timing
        self.sessions = {
            session_id: GatewaySession(
                record=record,
                joined_at=now,
                lease_end=now + timing.lease_s + timing.drift_s,
            )
            for session_id, record in state.gateways.items()
        }
        self._uncommitted: dict[SessionId, GatewayRecord] = {}
        self._transition_begun_at: dict[LogIndex, float] = {}

    def attach(self, gateway: GatewayRecord) -> None:
        """Register a session that has opened its stream."""
        if gateway.session not in self._state.gateways:
            self._uncommitted[gateway.session] = gateway

    def uncommitted(self) -> Iterable[GatewayRecord]:
        """Return the registered sessions that are not committed yet."""
        return self._uncommitted.values()

    def on_joined(self, *, now: float, gateway: GatewayRecord) -> None:
        """Start to track a committed session, which has not held a lease yet.

        :param now: when the commit was applied, in seconds.
        :param gateway: record of the session.
        """
        self._uncommitted.pop(gateway.session, None)
        if gateway.session not in self.sessions:
            self.sessions[gateway.session] = GatewaySession(
                record=gateway, joined_at=now, lease_end=DISTANT_PAST
            )

    def is_expired(self, *, now: float, session: GatewaySession) -> bool:
        """Return whether a session's lease has ended, was returned or was not requested in time."""
        if session.released:
            return True
        return now >= max(session.lease_end, session.joined_at + self._timing.lease_s)

    def on_lost(self, session_id: SessionId) -> None:
        """Drop a session that has been removed from the state."""
        self.sessions.pop(session_id, None)
        self._uncommitted.pop(session_id, None)

    def on_transition_begun(self, *, now: float, index: LogIndex) -> None:
        """Record when a transition began."""
        self._transition_begun_at[index] = now

    def renew(self, *, now: float, renewal: RenewLease) -> GrantLease | EndSession | None:
        """Return the reply to a renewal, or None if no lease can be granted yet.

        A transition can finish without waiting for a session that holds no lease. Such a session
        gets a lease only once it has applied the last transition. With an older state it could send
        a request to a server that no longer owns the key.

        :param now: when the renewal was received, in seconds.
        :param renewal: the renewal.
        """
        session = self.sessions.get(renewal.session)
        if session is None and renewal.session in self._uncommitted:
            return None
        if session is not None and renewal.ending:
            session.ending = session.released = True
        if session is None or session.ending:
            return EndSession(session=renewal.session)
        self._record_progress(now=now, session=session, renewal=renewal)
        is_behind = renewal.applied < self.last_begun()
        if is_behind and (
            now >= session.granted_until or self._delays_transition(now=now, session=session)
        ):
            return None
        session.granted_until = now + self._timing.lease_s + self._timing.drift_s
        session.lease_end = max(session.lease_end, session.granted_until)
        require(
            renewal.session in self._state.gateways and not session.ending,
            "a lease was granted to a gateway session that is not committed",
        )
        return GrantLease(
            session=renewal.session, number=renewal.number, lease_ms=self._timing.lease_ms
        )

    def last_begun(self) -> LogIndex:
        """Return the log index of the last transition that began, 0 if there was none."""
        ownerships = self._state.ownerships.values()
        begun = [o.pending.begun if o.pending else LogIndex(o.fence) for o in ownerships]
        return max(begun, default=LogIndex(0))

    def _record_progress(self, *, now: float, session: GatewaySession, renewal: RenewLease) -> None:
        session.applied = max(session.applied, renewal.applied)
        session.document_version = max(session.document_version, renewal.document_version)
        for drained in renewal.drained:
            before = session.drained.get(drained.service, LogIndex(0))
            session.drained[drained.service] = max(before, drained.begun)
        for begun, service in self._pending():
            applied_at = session.applied_at.get(service)
            if session.applied >= begun and (applied_at is None or applied_at[0] != begun):
                session.applied_at[service] = (begun, now)

    def _pending(self) -> Iterable[tuple[LogIndex, ServiceName]]:
        for ownership in self._state.ownerships.values():
            if ownership.pending is not None:
                yield ownership.pending.begun, ownership.service

    def _delays_transition(self, *, now: float, session: GatewaySession) -> bool:
        """Return whether a session has delayed a pending transition for too long."""
        pending = [begun for begun, _ in self._pending()]
        self._transition_begun_at = {
            begun: self._transition_begun_at.get(begun, now) for begun in pending
        }
        return any(
            session.applied < begun and now >= since + APPLY_LIMIT_S
            for begun, since in self._transition_begun_at.items()
        )

    def states(self, *, now: float) -> tuple[GatewayState, ...]:
        """Return the status of each committed session, for operators."""
        return tuple(
            GatewayState(
                id=session.record.id,
                session=session_id,
                domain=session.record.domain,
                document_version=session.document_version,
                applied=session.applied,
                lease_left_ms=_milliseconds(session.lease_end - self._timing.drift_s - now),
            )
            for session_id, session in sorted(self.sessions.items())
        )


def _milliseconds(seconds: float) -> int:
    return int(max(seconds, -86_400.0) * 1_000)
