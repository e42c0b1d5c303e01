"""Commands of the replicated log behind routes, and what applying them gives.

Replicas and gateways apply the same commands in the same order with the same result.
"""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_types.ids import ServiceName
from lychee_types.registry import KeyRange, RegisteredServer, ServerRun
from lychee_types.routing import Routing, RoutingPatch


class ChangeRouting(Struct, frozen=True, kw_only=True, tag=True):
    """Replace the routes, or change some of them.

    :param number: number of the new version.
    :param based_on: number of the version that the operator saw.
    :param change: the whole configuration or a change of named items.
    :param digest: digest of the change as it was sent.
    """

    number: int
    based_on: int
    change: Routing | RoutingPatch
    digest: bytes


class RegisterServer(Struct, frozen=True, kw_only=True, tag=True):
    """Add a backend server, or replace its record.

    :param server: the record.
    """

    server: RegisteredServer


class RemoveServer(Struct, frozen=True, kw_only=True, tag=True):
    """Remove the record of a run that has ended.

    :param run: the run; a later run of the same server stays.
    """

    run: ServerRun


class SetRanges(Struct, frozen=True, kw_only=True, tag=True):
    """Put ranges in place of whatever covered their keys.

    :param service: the service.
    :param ranges: the new ranges, in order of keys and apart from each other.
    """

    service: ServiceName
    ranges: tuple[KeyRange, ...]


RoutedCommand = ChangeRouting | RegisterServer | RemoveServer | SetRanges


class Applied(Struct, frozen=True, kw_only=True, tag=True):
    """The command took effect."""


class Obsolete(Struct, frozen=True, kw_only=True, tag=True):
    """The command no longer applied and changed nothing.

    :param reason: why.
    """

    reason: str


class RoutingAccepted(Struct, frozen=True, kw_only=True, tag=True):
    """The change is in force, or was accepted earlier.

    :param number: its number.
    :param is_repeat: whether it had been accepted before.
    """

    number: int
    is_repeat: bool = False


class RoutingConflict(Struct, frozen=True, kw_only=True, tag=True):
    """The change is based on another version than the one in force.

    :param number: the version in force.
    """

    number: int


class RoutingRefused(Struct, frozen=True, kw_only=True, tag=True):
    """The change makes no valid configuration.

    :param reason: what is wrong.
    """

    reason: str


RoutedOutcome = Applied | Obsolete | RoutingAccepted | RoutingConflict | RoutingRefused

_ENCODER = Encoder()
_DECODER: Decoder[RoutedCommand] = Decoder(RoutedCommand)


def encode_routed_command(command: RoutedCommand) -> bytes:
    """Return a command as MessagePack."""
    return _ENCODER.encode(command)


def decode_routed_command(data: bytes) -> RoutedCommand:
    """Return the command in MessagePack bytes.

    :raises msgspec.ValidationError: if the bytes hold no command.
    """
    return _DECODER.decode(data)
