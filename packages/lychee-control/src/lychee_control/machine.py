"""The state machine behind the replicated log."""

from collections.abc import Callable

from msgspec.msgpack import Decoder, Encoder

from lychee_control.recent import RecentDeltas
from lychee_owner.state import ClusterState
from lychee_types.commands import (
    CloseLedger,
    Command,
    ExpireLedger,
    Noop,
    OpenLedger,
    Outcome,
    decode_command,
)
from lychee_types.ids import LogIndex
from lychee_types.messages import (
    Delta,
    Deltas,
    Snapshot,
)
from lychee_types.state import StateImage

AppliedHandler = Callable[[LogIndex, Command, Outcome], None]
"""Called after each applied command with its log index and outcome."""

RestoredHandler = Callable[[], None]
"""Called after the state was replaced by a snapshot."""

_ENCODER = Encoder()
_DECODER: Decoder[StateImage] = Decoder(StateImage)


class ControlMachine:
    """Applies committed commands and keeps recent ones for gateways.

    :param on_applied: called after each applied command.
    :param on_restored: called after the state was replaced by a snapshot.
    """

    def __init__(self, *, on_applied: AppliedHandler, on_restored: RestoredHandler) -> None:
        self.state = ClusterState()
        self._on_applied = on_applied
        self._on_restored = on_restored
        self._recent: RecentDeltas[Delta] = RecentDeltas()

    def apply(self, index: LogIndex, data: bytes) -> object:
        """Apply one committed command and return its outcome."""
        command = decode_command(data)
        outcome = self.state.apply(index, command)
        if concerns_gateways(command):
            self._recent.keep(Delta(index=index, command=command))
        self._on_applied(index, command, outcome)
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole state as MessagePack."""
        return _ENCODER.encode(self.state.image())

    def restore(self, data: bytes, index: LogIndex) -> None:
        """Replace the state by a snapshot.

        :param data: the snapshot.
        :param index: the last log index that it covers.
        """
        self.state = ClusterState(image=_DECODER.decode(data))
        self._recent.forget(index)
        self._on_restored()

    def catch_up(self, have: LogIndex) -> Deltas | Snapshot | None:
        """Return what a gateway lacks, None if nothing.

        :param have: the last log index that the gateway has applied.
        """
        entries = self._recent.since(have, newest=self.state.index)
        if entries is None:
            return Snapshot(image=self.state.image(with_ledger=False))
        return Deltas(entries=entries, upto=self.state.index) if entries else None


def concerns_gateways(command: Command) -> bool:
    """Return whether gateways need to apply a command."""
    match command:
        case Noop() | OpenLedger() | CloseLedger() | ExpireLedger():
            return False
        case _:
            return True
