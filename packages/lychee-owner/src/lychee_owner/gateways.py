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

NEVER = float("-inf")
"""A time before every other."""


@dataclass(kw_only=True, slots=True)
class GatewayRun:
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
    granted_until: float = NEVER
    applied: LogIndex = LogIndex(0)
    document_version: int = 0
    drained: dict[ServiceName, LogIndex] = field(default_factory=dict)
    reached: dict[ServiceName, tuple[LogIndex, float]] = field(default_factory=dict)
    ending: bool = False
    released: bool = False


class GatewayRuns:
    """Grants and tracks the session leases of gateway runs.

    :param state: the replicated state, after the leader's first entry.
    :param timing: time limits.
    :param now: when this replica became leader, in seconds.
    """

    def __init__(self, *, state: ClusterState, timing: Timing, now: float) -> None:
        self._state = state
        self._timing = timing
        self.runs = {
            session: GatewayRun(
                record=record,
                joined_at=now,
                lease_end=now + timing.lease_s + timing.drift_s,
            )
            for session, record in state.gateways.items()
        }
        self._joining: dict[SessionId, GatewayRecord] = {}
        self._begun_at: dict[LogIndex, float] = {}

    def attach(self, gateway: GatewayRecord) -> None:
        """Take in a run that has opened its stream."""
        if gateway.session not in self._state.gateways:
            self._joining[gateway.session] = gateway

    def joining(self) -> Iterable[GatewayRecord]:
        """Return the runs that are not committed yet."""
        return self._joining.values()

    def joined(self, *, now: float, gateway: GatewayRecord) -> None:
        """Take in a committed run, which has held no lease yet.

        :param now: when the commit was applied, in seconds.
        :param gateway: its record.
        """
        self._joining.pop(gateway.session, None)
        if gateway.session not in self.runs:
            self.runs[gateway.session] = GatewayRun(record=gateway, joined_at=now, lease_end=NEVER)

    def is_silent(self, *, now: float, run: GatewayRun) -> bool:
        """Return whether a run's lease is over or handed back, or was not asked for in time."""
        if run.released:
            return True
        return now >= max(run.lease_end, run.joined_at + self._timing.lease_s)

    def lost(self, session: SessionId) -> None:
        """Drop a run that has been removed from the state."""
        self.runs.pop(session, None)
        self._joining.pop(session, None)

    def begun(self, *, now: float, index: LogIndex) -> None:
        """Take in the beginning of a transition."""
        self._begun_at[index] = now

    def renew(self, *, now: float, renewal: RenewLease) -> GrantLease | EndSession | None:
        """Answer a renewal.

        A transition may have finished without a run that held no lease. Such a run gets one only
        when it has applied the last transition: by an older view it could send a key to an owner
        that has lost it.

        :param now: when the renewal was received, in seconds.
        :param renewal: the renewal.
        """
        run = self.runs.get(renewal.session)
        if run is None and renewal.session in self._joining:
            return None
        if run is not None and renewal.ending:
            run.ending = run.released = True
        if run is None or run.ending:
            return EndSession(session=renewal.session)
        self._note(now=now, run=run, renewal=renewal)
        is_behind = renewal.applied < self.last_begun()
        if is_behind and (now >= run.granted_until or self._lags(now=now, run=run)):
            return None
        run.granted_until = now + self._timing.lease_s + self._timing.drift_s
        run.lease_end = max(run.lease_end, run.granted_until)
        require(
            renewal.session in self._state.gateways and not run.ending,
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

    def _note(self, *, now: float, run: GatewayRun, renewal: RenewLease) -> None:
        run.applied = max(run.applied, renewal.applied)
        run.document_version = max(run.document_version, renewal.document_version)
        for drained in renewal.drained:
            before = run.drained.get(drained.service, LogIndex(0))
            run.drained[drained.service] = max(before, drained.begun)
        for begun, service in self._pending():
            reached = run.reached.get(service)
            if run.applied >= begun and (reached is None or reached[0] != begun):
                run.reached[service] = (begun, now)

    def _pending(self) -> Iterable[tuple[LogIndex, ServiceName]]:
        for ownership in self._state.ownerships.values():
            if ownership.pending is not None:
                yield ownership.pending.begun, ownership.service

    def _lags(self, *, now: float, run: GatewayRun) -> bool:
        """Return whether a run has held up a pending transition for too long."""
        pending = [begun for begun, _ in self._pending()]
        self._begun_at = {begun: self._begun_at.get(begun, now) for begun in pending}
        return any(
            run.applied < begun and now >= since + APPLY_LIMIT_S
            for begun, since in self._begun_at.items()
        )

    def states(self, *, now: float) -> tuple[GatewayState, ...]:
        """Return how each committed run is."""
        return tuple(
            GatewayState(
                id=run.record.id,
                session=session,
                domain=run.record.domain,
                document_version=run.document_version,
                applied=run.applied,
                lease_left_ms=_milliseconds(run.lease_end - self._timing.drift_s - now),
            )
            for session, run in sorted(self.runs.items())
        )


def _milliseconds(seconds: float) -> int:
    return int(max(seconds, -86_400.0) * 1_000)
