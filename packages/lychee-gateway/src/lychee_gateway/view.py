"""The gateway's copy of the replicated state."""

from collections.abc import Callable

from lychee_owner import ClusterState
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex
from lychee_types.messages import (
    Deltas,
    Snapshot,
)


class StateView:
    """The replicated state at a log index that never decreases, with change listeners."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self._document_version = 0
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the state."""
        self._listeners.append(listener)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state, unless it is at least as new as the snapshot."""
        if snapshot.image.index <= self.state.index:
            return
        self.state = ClusterState(image=snapshot.image)
        self._notify_listeners()

    def apply_deltas(self, deltas: Deltas) -> None:
        """Apply the log entries that the state does not contain yet."""
        before = self.state.index
        for delta in deltas.entries:
            if delta.index > self.state.index:
                self.state.apply(delta.index, delta.command)
        self.state.index = LogIndex(max(self.state.index, deltas.upto))
        if self.state.index > before:
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        version = self.state.document_version
        require(
            version >= self._document_version,
            f"document version {version} after {self._document_version}",
        )
        self._document_version = version
        for listener in self._listeners:
            listener()
