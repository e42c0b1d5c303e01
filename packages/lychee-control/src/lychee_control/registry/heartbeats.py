"""What the leader knows of servers' heartbeats; nothing of it is replicated."""

from dataclasses import dataclass

from lychee_control.registry.orders import Heartbeat
from lychee_types.registry import ServerRun


@dataclass(kw_only=True, slots=True)
class _LastHeartbeat:
    at: float
    sequence: int


class HeartbeatTracker:
    """Last heartbeats by run.

    :param now: when this replica began to lead, clock seconds; runs that have not been heard
        since count as heard then.
    """

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._last: dict[ServerRun, _LastHeartbeat] = {}

    def record(self, beat: Heartbeat, now: float) -> bool:
        """Take note of a heartbeat; False if a later one of the run has been heard."""
        known = self._last.get(beat.server.run)
        if known is not None and beat.sequence <= known.sequence:
            return False
        self._last[beat.server.run] = _LastHeartbeat(at=now, sequence=beat.sequence)
        return True

    def last_heartbeat_at(self, run: ServerRun) -> float:
        """Return when a run was last heard, clock seconds."""
        known = self._last.get(run)
        return known.at if known is not None else self._started_at

    def forget(self, run: ServerRun) -> None:
        """Forget a run that has ended."""
        self._last.pop(run, None)
