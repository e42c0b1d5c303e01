"""Interfaces that a program which embeds a replica provides."""

from typing import Protocol

from lychee_log.messages import PeerMessage
from lychee_log.records import ReplicaAddress
from lychee_types.ids import LogIndex


class StateMachine(Protocol):
    """The state machine that every replica runs."""

    def apply(self, index: LogIndex, data: bytes) -> object:
        """Apply a proposal, and return the result for the proposer.

        :param index: the entry's index.
        :param data: the proposal, never empty.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        ...

    def restore(self, data: bytes, index: LogIndex) -> None:
        """Replace the state by a snapshot.

        :param data: the serialized state.
        :param index: index of the last entry that it covers.
        """
        ...


class Transport(Protocol):
    """Sends messages to peers; they may be lost, delayed, duplicated or reordered."""

    def post(self, *, to: ReplicaAddress, message: PeerMessage) -> None:
        """Send a message without waiting for its delivery."""
        ...
