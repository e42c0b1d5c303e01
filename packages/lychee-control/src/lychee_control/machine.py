"""The replicated state machine of the control replicas."""

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
"""Called after a snapshot replaced the state."""

_ENCODER = Encoder()
_DECODER: Decoder[StateImage] = Decoder(StateImage)


class ControlMachine:
    """Applies committed commands and keeps recent ones for gateways.

    :param on_applied: called after each applied command.
    :param on_restored: called after a snapshot replaced the state.
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
            self._recent.append(Delta(index=index, command=command), size=len(data))
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
        self._recent.reset(index)
        self._on_restored()

    def updates_since(self, applied_index: LogIndex) -> Deltas | Snapshot | None:
        """Return the commands or the snapshot that a gateway lacks, None if it lacks nothing.

        :param applied_index: the last log index that the gateway has applied, 0 for none.
        """
        entries = self._recent.since(applied_index, newest=self.state.index)
        if entries is None:
            return Snapshot(image=self.state.image(with_ledger=False))
        return Deltas(entries=entries, upto=self.state.index) if entries else None


def concerns_gateways(command: Command) -> bool:
    """Return whether a command changes state that gateways have; they have no ledger."""
    match command:
        case Noop() | OpenLedger() | CloseLedger() | ExpireLedger():
            return False
        case _:
            return True
