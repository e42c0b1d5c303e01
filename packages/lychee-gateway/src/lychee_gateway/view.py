"""The replicated state as this gateway has applied it."""

from collections.abc import Callable

from lychee_owner import ClusterState
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex
from lychee_types.messages import (
    Deltas,
    Snapshot,
)


class StateView:
    """Holds the state and tells listeners when it changes. It never goes back an index."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self._version = 0
        self._listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot unless the state is as new already."""
        if snapshot.image.index <= self.state.index:
            return
        self.state = ClusterState(image=snapshot.image)
        self._changed()

    def extend(self, deltas: Deltas) -> None:
        """Apply log entries beyond the last one applied."""
        before = self.state.index
        for delta in deltas.entries:
            if delta.index > self.state.index:
                self.state.apply(delta.index, delta.command)
        self.state.index = LogIndex(max(self.state.index, deltas.upto))
        if self.state.index > before:
            self._changed()

    def _changed(self) -> None:
        version = self.state.document_version
        require(version >= self._version, f"document version {version} after {self._version}")
        self._version = version
        for listener in self._listeners:
            listener()
