"""Servers' heartbeats: whether they can be used, and the last ones, which only the leader keeps."""

from dataclasses import dataclass

from lychee_control.registry.orders import Heartbeat
from lychee_types.registry import ServerIncarnation
from lychee_types.server_check import MAX_NUMBER, server_fault


def heartbeat_fault(heartbeat: Heartbeat) -> str | None:
    """Return why a heartbeat is of no use, None if it is."""
    if not 0 <= heartbeat.sequence <= MAX_NUMBER:
        return "the number of the heartbeat is out of range"
    if not all(0 <= keys.token <= MAX_NUMBER for keys in heartbeat.holds):
        return "a token is out of range"
    return server_fault(heartbeat.server)


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
