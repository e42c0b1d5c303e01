"""Recently applied commands, kept for gateways that reconnect after a short time."""

from collections import deque
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from lychee_control.memory import RECENT_BYTES
from lychee_types.ids import LogIndex

MAX_DELTAS = 4_096
"""Maximum number of deltas kept; a gateway that is further behind gets a snapshot."""

DELTA_BYTES = 256
"""Memory that a delta takes up beside its command, in bytes."""


class Indexed(Protocol):
    """An item with a log index."""

    @property
    def index(self) -> LogIndex:
        """Return the item's log index."""
        ...


D = TypeVar("D", bound=Indexed)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Kept(Generic[D]):
    delta: D
    size: int


class RecentDeltas(Generic[D]):
    """The last deltas in order of their log indexes.

    :param max_bytes: bound on what they take up, in bytes; the newest one is kept in any case.
    """

    def __init__(self, *, max_bytes: int = RECENT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._kept: deque[_Kept[D]] = deque()
        self._size = 0
        self._base_index = LogIndex(0)

    @property
    def size(self) -> int:
        """Return what they take up, in bytes."""
        return self._size

    def append(self, delta: D, *, size: int) -> None:
        """Append the newest delta, and drop the oldest ones beyond the bounds.

        :param delta: the delta.
        :param size: size of its encoded command, in bytes.
        """
        self._kept.append(_Kept(delta=delta, size=size + DELTA_BYTES))
        self._size += size + DELTA_BYTES
        while len(self._kept) > MAX_DELTAS or (
            self._size > self._max_bytes and len(self._kept) > 1
        ):
            oldest = self._kept.popleft()
            self._size -= oldest.size
            self._base_index = oldest.delta.index

    def reset(self, snapshot_index: LogIndex) -> None:
        """Drop all deltas, because a snapshot replaced the state.

        :param snapshot_index: the last log index that the snapshot covers.
        """
        self._kept.clear()
        self._size = 0
        self._base_index = snapshot_index

    def since(self, applied_index: LogIndex, *, newest: LogIndex) -> tuple[D, ...] | None:
        """Return the deltas after an index, None if the gateway needs a snapshot.

        :param applied_index: the last index that the gateway has applied, 0 for none.
        :param newest: the last index applied here.
        """
        if applied_index == 0 or applied_index < self._base_index or applied_index > newest:
            return None
        return tuple(item.delta for item in self._kept if item.delta.index > applied_index)
