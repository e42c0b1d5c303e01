"""Servers' last heartbeats, kept by the leader only and not replicated."""

from dataclasses import dataclass

from lychee_control.registry.orders import Heartbeat
from lychee_types.registry import ServerIncarnation


@dataclass(kw_only=True, slots=True)
class _LastHeartbeat:
    received_at: float
    sequence: int


class HeartbeatTracker:
    """The last heartbeat of each server incarnation.

    :param now: when this replica became the leader, as monotonic time in seconds; it
        counts as the time of the last heartbeat of incarnations that have sent none since.
    """

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._last: dict[ServerIncarnation, _LastHeartbeat] = {}

    def record(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False unless it is newer than the incarnation's last one."""
        known = self._last.get(heartbeat.server.run)
        if known is not None and heartbeat.sequence <= known.sequence:
            return False
        self._last[heartbeat.server.run] = _LastHeartbeat(
            received_at=now, sequence=heartbeat.sequence
        )
        return True

    def last_heartbeat_at(self, incarnation: ServerIncarnation) -> float:
        """Return when the last heartbeat of an incarnation was received, in monotonic seconds."""
        known = self._last.get(incarnation)
        return known.received_at if known is not None else self._started_at

    def forget(self, incarnation: ServerIncarnation) -> None:
        """Remove the data of an incarnation that has ended."""
        self._last.pop(incarnation, None)
