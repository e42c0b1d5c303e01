"""Recent commands, kept for gateways that come back after a short absence."""

from collections import deque
from typing import Generic, Protocol, TypeVar

from lychee_types.ids import LogIndex

DELTA_LIMIT = 4_096
"""Number of deltas kept for gateways that reconnect; those further behind get a snapshot."""


class Indexed(Protocol):
    """Something with a log index."""

    @property
    def index(self) -> LogIndex:
        """Return its log index."""
        ...


D = TypeVar("D", bound=Indexed)


class RecentDeltas(Generic[D]):
    """The last deltas, in order of their log indexes."""

    def __init__(self) -> None:
        self._deltas: deque[D] = deque()
        self._after = LogIndex(0)

    def keep(self, delta: D) -> None:
        """Add the newest delta, and forget the oldest one beyond the limit."""
        self._deltas.append(delta)
        if len(self._deltas) > DELTA_LIMIT:
            self._after = self._deltas.popleft().index

    def forget(self, upto: LogIndex) -> None:
        """Forget all, because a snapshot at an index took their place."""
        self._deltas.clear()
        self._after = upto

    def since(self, have: LogIndex, *, newest: LogIndex) -> tuple[D, ...] | None:
        """Return the deltas after an index, None if only a snapshot can help.

        :param have: the last index that the gateway has applied, 0 for none.
        :param newest: the last index applied here.
        """
        if have == 0 or have < self._after or have > newest:
            return None
        return tuple(delta for delta in self._deltas if delta.index > have)
