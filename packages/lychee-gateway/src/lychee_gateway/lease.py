"""The gateway's session lease. Keyed requests may be sent only while it is held."""

from lychee_types.timing import Timing

MAX_TRACKED_RENEWALS = 64
"""Number of renewals whose send time is kept."""


class SessionLease:
    """The lease, computed so that it ends here before it ends on the control replicas.

    It runs from the time at which its renewal was sent, and is shortened by the margin for clock
    drift.

    :param timing: timing parameters of the deployment.
    """

    def __init__(self, *, timing: Timing) -> None:
        self._drift_s = timing.drift_s
        self._last_number = 0
        self._sent_at: dict[int, float] = {}
        self._expires_at = float("-inf")

    def record_renewal(self, now: float) -> int:
        """Record that a renewal is being sent, and return its number.

        :param now: monotonic time in seconds.
        """
        self._last_number += 1
        self._sent_at[self._last_number] = now
        self._sent_at.pop(self._last_number - MAX_TRACKED_RENEWALS, None)
        return self._last_number

    def record_grant(self, *, number: int, lease_ms: int) -> None:
        """Extend the lease; ignore a grant for a renewal that was not sent in this session.

        :param number: the renewal's number.
        :param lease_ms: duration of the lease in milliseconds.
        """
        sent_at = self._sent_at.get(number)
        if sent_at is not None:
            self._expires_at = max(self._expires_at, sent_at + lease_ms / 1_000 - self._drift_s)

    def end(self) -> None:
        """End the lease and discard all renewals."""
        self._expires_at = float("-inf")
        self._sent_at.clear()

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held.

        :param now: monotonic time in seconds.
        """
        return now < self._expires_at

    def remaining_s(self, now: float) -> float:
        """Return the remaining time in seconds, 0 once the lease has expired.

        :param now: monotonic time in seconds.
        """
        return max(0.0, self._expires_at - now)
