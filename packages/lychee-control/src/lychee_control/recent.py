"""Recently applied commands, kept for gateways that reconnect after a short time."""

from collections import deque
from typing import Generic, Protocol, TypeVar

from lychee_types.ids import LogIndex

MAX_DELTAS = 4_096
"""Number of deltas kept; a gateway that is further behind gets a snapshot."""


class Indexed(Protocol):
    """An item with a log index."""

    @property
    def index(self) -> LogIndex:
        """Return the item's log index."""
        ...


D = TypeVar("D", bound=Indexed)


class RecentDeltas(Generic[D]):
    """The last deltas in order of their log indexes."""

    def __init__(self) -> None:
        self._deltas: deque[D] = deque()
        self._base_index = LogIndex(0)

    def append(self, delta: D) -> None:
        """Append the newest delta, and drop the oldest one beyond the limit."""
        self._deltas.append(delta)
        if len(self._deltas) > MAX_DELTAS:
            self._base_index = self._deltas.popleft().index

    def reset(self, snapshot_index: LogIndex) -> None:
        """Drop all deltas, because a snapshot replaced the state.

        :param snapshot_index: the last log index that the snapshot covers.
        """
        self._deltas.clear()
        self._base_index = snapshot_index

    def since(self, applied_index: LogIndex, *, newest: LogIndex) -> tuple[D, ...] | None:
        """Return the deltas after an index, None if the gateway needs a snapshot.

        :param applied_index: the last index that the gateway has applied, 0 for none.
        :param newest: the last index applied here.
        """
        if applied_index == 0 or applied_index < self._base_index or applied_index > newest:
            return None
        return tuple(delta for delta in self._deltas if delta.index > applied_index)
