"""Commands of a routed deployment's replicated log and the outcomes of applying them.

A routed deployment forwards requests by routes, see :mod:`lychee_types.routing`. Replicas and
gateways apply the same commands in the same order with the same result.
"""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_types.ids import DomainName, ServiceName
from lychee_types.registry import KeyRange, RegisteredServer, ServerIncarnation
from lychee_types.routing import Routing, RoutingPatch


class ChangeRouting(Struct, frozen=True, kw_only=True, tag=True):
    """Replace the routing configuration, or change named items of it.

    :param number: number of the new version.
    :param based_on: number of the version that the operator edited.
    :param change: the complete configuration, or a change of named items.
    :param digest: digest of the change as the operator sent it.
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
    """Remove the record of a backend server's incarnation that has ended.

    :param run: the incarnation; a later one of the same server is not affected.
    """

    run: ServerIncarnation


class SetRanges(Struct, frozen=True, kw_only=True, tag=True):
    """Replace the ranges that covered the keys of some new ranges.

    :param service: the service.
    :param ranges: the new ranges, in order of keys and without overlaps.
    """

    service: ServiceName
    ranges: tuple[KeyRange, ...]


class EvacuateDomain(Struct, frozen=True, kw_only=True, tag=True):
    """Start or end the evacuation of a failure domain; a repetition changes nothing.

    Replicas and gateways of versions without this command can't read it; it is written only when an
    operator orders an evacuation.

    :param domain: the failure domain.
    :param is_evacuated: whether its servers get no requests from now on.
    """

    domain: DomainName
    is_evacuated: bool


RoutedCommand = ChangeRouting | RegisterServer | RemoveServer | SetRanges | EvacuateDomain


class Applied(Struct, frozen=True, kw_only=True, tag=True):
    """The command took effect."""


class Obsolete(Struct, frozen=True, kw_only=True, tag=True):
    """The command was outdated and changed nothing.

    :param reason: why.
    """

    reason: str


class RoutingAccepted(Struct, frozen=True, kw_only=True, tag=True):
    """The change of the routing configuration is in force, or was accepted earlier.

    :param number: its number.
    :param is_repeat: whether it had already been accepted before this command.
    """

    number: int
    is_repeat: bool = False


class RoutingConflict(Struct, frozen=True, kw_only=True, tag=True):
    """The change is based on a version other than the one in force.

    :param number: the version in force.
    """

    number: int


class RoutingRefused(Struct, frozen=True, kw_only=True, tag=True):
    """The change would result in an invalid configuration.

    :param reason: what is wrong.
    """

    reason: str


RoutedOutcome = Applied | Obsolete | RoutingAccepted | RoutingConflict | RoutingRefused

_ENCODER = Encoder()
_DECODER: Decoder[RoutedCommand] = Decoder(RoutedCommand)


def encode_routed_command(command: RoutedCommand) -> bytes:
    """Encode a command as MessagePack."""
    return _ENCODER.encode(command)


def decode_routed_command(data: bytes) -> RoutedCommand:
    """Decode a command from MessagePack.

    :raises msgspec.ValidationError: if the bytes aren't a command.
    """
    return _DECODER.decode(data)
