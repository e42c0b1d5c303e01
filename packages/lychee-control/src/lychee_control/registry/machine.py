"""The state machine behind the replicated log of routes, servers and ranges."""

from collections.abc import Callable

from msgspec.msgpack import Decoder, Encoder

from lychee_control.recent import RecentDeltas
from lychee_ranges import RoutedState
from lychee_types.ids import LogIndex
from lychee_types.registry import RoutedImage
from lychee_types.registry_commands import RoutedOutcome, decode_routed_command
from lychee_types.registry_messages import RoutedDelta, RoutedDeltas, RoutedSnapshot

_ENCODER = Encoder()
_DECODER: Decoder[RoutedImage] = Decoder(RoutedImage)


class RoutedMachine:
    """Applies committed commands and keeps recent ones for gateways.

    :param on_applied: called after each applied command with its index and outcome.
    :param on_restored: called after the state was replaced by a snapshot.
    """

    def __init__(
        self,
        *,
        on_applied: Callable[[RoutedDelta, RoutedOutcome], None],
        on_restored: Callable[[], None],
    ) -> None:
        self.state = RoutedState()
        self._on_applied = on_applied
        self._on_restored = on_restored
        self._recent: RecentDeltas[RoutedDelta] = RecentDeltas()

    def apply(self, index: LogIndex, data: bytes) -> object:
        """Apply one committed command and return its outcome."""
        delta = RoutedDelta(index=index, command=decode_routed_command(data))
        outcome = self.state.apply(index, delta.command)
        self._recent.keep(delta)
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
        self._recent.forget(index)
        self._on_restored()

    def catch_up(self, have: LogIndex) -> RoutedDeltas | RoutedSnapshot | None:
        """Return what a gateway lacks, None if nothing.

        :param have: the last log index that the gateway has applied.
        """
        entries = self._recent.since(have, newest=self.state.index)
        if entries is None:
            return RoutedSnapshot(image=self.state.image())
        return RoutedDeltas(entries=entries) if entries else None
