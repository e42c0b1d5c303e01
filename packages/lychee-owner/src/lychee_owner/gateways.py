"""Session leases of gateway runs, as the leader sees them."""

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
"""Time in seconds for a gateway to apply the beginning of a transition before its lease ends."""

DISTANT_PAST = float("-inf")
"""A time before every other."""


@dataclass(kw_only=True, slots=True)
class GatewaySession:
    """What the leader knows of one committed gateway run; times are the leader's, in seconds.

    :param record: the run's record.
    :param joined_at: when its commit was applied.
    :param lease_end: when its last lease is over for certain, drift included; a former leader may
        have granted it.
    :param granted_until: end of the last lease that this leader has granted, drift included.
    :param applied: the last log index that it has reported.
    :param document_version: the document version that it has reported.
    :param drained: for each service the last transition that it has drained.
    :param reached: for each pending transition when the run first reported it as applied.
    :param ending: whether it gets no lease any more, as a command to remove it may be under way.
    :param released: whether it has handed its lease back.
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
    """Grants and tracks the session leases of gateway runs.

    :param state: the replicated state, after the leader's first entry.
    :param timing: time limits.
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
        """Take in a run that has opened its stream."""
        if gateway.session not in self._state.gateways:
            self._uncommitted[gateway.session] = gateway

    def uncommitted(self) -> Iterable[GatewayRecord]:
        """Return the runs that are not committed yet."""
        return self._uncommitted.values()

    def on_joined(self, *, now: float, gateway: GatewayRecord) -> None:
        """Take in a committed run, which has held no lease yet.

        :param now: when the commit was applied, in seconds.
        :param gateway: its record.
        """
        self._uncommitted.pop(gateway.session, None)
        if gateway.session not in self.sessions:
            self.sessions[gateway.session] = GatewaySession(
                record=gateway, joined_at=now, lease_end=DISTANT_PAST
            )

    def is_expired(self, *, now: float, session: GatewaySession) -> bool:
        """Return whether a run's lease is over or handed back, or was not asked for in time."""
        if session.released:
            return True
        return now >= max(session.lease_end, session.joined_at + self._timing.lease_s)

    def on_lost(self, session_id: SessionId) -> None:
        """Drop a run that has been removed from the state."""
        self.sessions.pop(session_id, None)
        self._uncommitted.pop(session_id, None)

    def on_transition_begun(self, *, now: float, index: LogIndex) -> None:
        """Take in the beginning of a transition."""
        self._transition_begun_at[index] = now

    def renew(self, *, now: float, renewal: RenewLease) -> GrantLease | EndSession | None:
        """Answer a renewal.

        A transition may have finished without a run that held no lease. Such a run gets one only
        when it has applied the last transition: by an older view it could send a key to an owner
        that has lost it.

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
            "a lease for a run that is not committed",
        )
        return GrantLease(
            session=renewal.session, number=renewal.number, lease_ms=self._timing.lease_ms
        )

    def last_begun(self) -> LogIndex:
        """Return log index of the last transition that has begun, 0 for none."""
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
        """Return whether a run has held up a pending transition for too long."""
        pending = [begun for begun, _ in self._pending()]
        self._transition_begun_at = {
            begun: self._transition_begun_at.get(begun, now) for begun in pending
        }
        return any(
            session.applied < begun and now >= since + APPLY_LIMIT_S
            for begun, since in self._transition_begun_at.items()
        )

    def states(self, *, now: float) -> tuple[GatewayState, ...]:
        """Return how each committed run is."""
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
