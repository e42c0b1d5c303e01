"""The gateway's session lease: while it lasts, keyed requests may be sent."""

from lychee_types.timing import Timing

REMEMBERED_RENEWALS = 64
"""Number of renewals whose sending time is kept."""


class SessionLease:
    """Counts the lease from when its renewal was sent, less the drift margin.

    :param timing: time limits of the deployment.
    """

    def __init__(self, *, timing: Timing) -> None:
        self._drift_s = timing.drift_s
        self._number = 0
        self._sent: dict[int, float] = {}
        self._until = float("-inf")

    def renewal_sent(self, now: float) -> int:
        """Note that a renewal is being sent, and return its number.

        :param now: monotonic time in seconds.
        """
        self._number += 1
        self._sent[self._number] = now
        self._sent.pop(self._number - REMEMBERED_RENEWALS, None)
        return self._number

    def granted(self, *, number: int, lease_ms: int) -> None:
        """Note the grant of a renewal; one that was not sent in this session is ignored.

        :param number: the renewal's number.
        :param lease_ms: length of the lease.
        """
        sent = self._sent.get(number)
        if sent is not None:
            self._until = max(self._until, sent + lease_ms / 1_000 - self._drift_s)

    def end(self) -> None:
        """Give up the lease and forget all renewals."""
        self._until = float("-inf")
        self._sent.clear()

    def held(self, now: float) -> bool:
        """Return whether the lease lasts.

        :param now: monotonic time in seconds.
        """
        return now < self._until

    def left_s(self, now: float) -> float:
        """Return the time left in seconds, 0 once the lease is over."""
        return max(0.0, self._until - now)
