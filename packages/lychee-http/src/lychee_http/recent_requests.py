"""The requests that were sent on a connection lately.

A faulty server may repeat a response late, where the next one is expected. The repeated response
bears the id of its request, which does not tell it from the response to a later request with the
same id.
"""

KEPT = 16
"""Number of requests that are remembered, however long ago they were sent."""

KEPT_S = 10.0
"""Time for which a request is remembered, in seconds; responses are repeated up to 2 s late."""

MAX_KEPT = 1_024
"""Maximum number of remembered requests; a connection that reaches it takes no more."""


class RecentRequests:
    """The requests that were sent on a connection lately, by the hashes of their ids.

    Ids have any length, and two that share a hash are only kept apart needlessly.
    """

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}

    def __contains__(self, id_hash: object) -> bool:
        """Return whether a request with this hash is remembered."""
        return id_hash in self._sent_at

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._sent_at)

    @property
    def is_full(self) -> bool:
        """Whether one more request could only be remembered in place of another."""
        return len(self._sent_at) >= MAX_KEPT

    def add(self, id_hash: int, *, now: float) -> None:
        """Remember a request, and forget those that were sent long ago.

        :param id_hash: hash of its id.
        :param now: monotonic time in seconds.
        """
        self._sent_at.pop(id_hash, None)
        self._sent_at[id_hash] = now
        while len(self._sent_at) > KEPT:
            oldest = next(iter(self._sent_at))
            if now - self._sent_at[oldest] <= KEPT_S:
                return
            del self._sent_at[oldest]
