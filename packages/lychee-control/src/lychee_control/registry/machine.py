"""The replicated state machine of a routed deployment."""

from collections.abc import Callable

from msgspec import Raw
from msgspec.msgpack import Decoder, Encoder

from lychee_control.memory import RECENT_BYTES
from lychee_control.recent import RecentDeltas
from lychee_ranges import RoutedState
from lychee_types.ids import LogIndex
from lychee_types.registry import RoutedImage
from lychee_types.registry_commands import RoutedOutcome, decode_routed_command
from lychee_types.registry_messages import (
    EncodedDelta,
    RoutedDelta,
    RoutedDeltas,
    RoutedSnapshot,
)

MAX_LATER_DELTAS = 64
"""Number of commands after which a snapshot is made anew."""

SNAPSHOT_ABOVE_BYTES = 32_768
"""Size of packed commands above which a gateway gets a snapshot instead.

A configuration is one command as large as the state, and several may follow each other.
"""

_ENCODER = Encoder()
_DECODER: Decoder[RoutedImage] = Decoder(RoutedImage)


class RoutedMachine:
    """Applies committed commands and keeps recent ones for gateways.

    :param on_applied: called after each applied command with its index and outcome.
    :param on_restored: called after a snapshot replaced the state.
    :param recent_bytes: bound on the recent commands that are kept, in bytes.
    """

    def __init__(
        self,
        *,
        on_applied: Callable[[RoutedDelta, RoutedOutcome], None],
        on_restored: Callable[[], None],
        recent_bytes: int = RECENT_BYTES,
    ) -> None:
        self.state = RoutedState()
        self._on_applied = on_applied
        self._on_restored = on_restored
        self._recent: RecentDeltas[EncodedDelta] = RecentDeltas(max_bytes=recent_bytes)
        self._snapshot: RoutedSnapshot | None = None

    @property
    def recent_bytes(self) -> int:
        """Return what the recent commands take up, in bytes."""
        return self._recent.size

    def apply(self, index: LogIndex, data: bytes) -> object:
        """Apply one committed command and return its outcome."""
        delta = RoutedDelta(index=index, command=decode_routed_command(data))
        outcome = self.state.apply(index, delta.command)
        # The log holds the same bytes, as long as the entry is in it.
        self._recent.append(EncodedDelta(index=index, command=Raw(data)), size=len(data))
        self._on_applied(delta, outcome)
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole state as MessagePack."""
        return _ENCODER.encode(self.state.image())

    def restore(self, data: bytes, index: LogIndex) -> None:
        """Replace the state by a snapshot.

        :param data: the snapshot.
        :param index: the last log index that it covers.
        """
        self.state = RoutedState(image=_DECODER.decode(data))
        self._recent.reset(index)
        self._snapshot = None
        self._on_restored()

    def updates_since(self, applied_index: LogIndex) -> tuple[RoutedSnapshot | RoutedDeltas, ...]:
        """Return what brings a gateway up to date: commands, or a snapshot and later commands.

        :param applied_index: the last log index that the gateway has applied, 0 for none.
        """
        entries = self._recent.since(applied_index, newest=self.state.index)
        if entries is not None:
            deltas = _deltas(entries)
            if not deltas or len(deltas[0].packed) <= SNAPSHOT_ABOVE_BYTES:
                return deltas
        snapshot, later = self._snapshot_and_later()
        return (snapshot, *_deltas(later))

    def _snapshot_and_later(self) -> tuple[RoutedSnapshot, tuple[EncodedDelta, ...]]:
        """Return a snapshot, shared by gateways that attach shortly after each other.

        Also returns the commands that were applied after it.
        """
        if self._snapshot is not None:
            later = self._recent.since(self._snapshot.index, newest=self.state.index)
            if later is not None and len(later) <= MAX_LATER_DELTAS:
                return self._snapshot, later
        self._snapshot = RoutedSnapshot.of(self.state.image())
        return self._snapshot, ()


def _deltas(entries: tuple[EncodedDelta, ...]) -> tuple[RoutedDeltas, ...]:
    return (RoutedDeltas.of(entries),) if entries else ()
