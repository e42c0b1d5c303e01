"""Records of registered backend servers and of the key ranges granted to them."""

from enum import Enum

from msgspec import Struct

from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName, Token
from lychee_types.records import Endpoint
from lychee_types.routing import RoutingVersion

LAST_KEY = 65_535
"""Highest key; keys are integers from 0."""

UNKNOWN_INCARNATION = Incarnation(0)
"""Incarnation of a server that does not say when its process started."""


class ServerIncarnation(Struct, frozen=True, kw_only=True):
    """One incarnation of a backend server: the lifetime of one of its processes.

    :param server: the server's id.
    :param incarnation: when the process started, in milliseconds since the Unix epoch.
    """

    server: ServerId
    incarnation: Incarnation


class RegisteredServer(Struct, frozen=True, kw_only=True):
    """A backend server that has registered itself.

    :param run: its id and its current incarnation.
    :param endpoint: address at which it accepts requests.
    :param domain: its failure domain.
    :param service: the service that it serves.
    :param release: version of its software.
    :param slots: how many requests it runs at once.
    :param cold_s: how long it stays slow after the heartbeat that registered it, in seconds.
    :param is_leaving: whether it accepts no new requests.
    """

    run: ServerIncarnation
    endpoint: Endpoint
    domain: DomainName
    service: ServiceName
    release: str
    slots: int
    cold_s: float = 0.0
    is_leaving: bool = False


class GrantPhase(Enum):
    """State of the assignment of a key range to an owner."""

    GRANTING = "granting"
    ACTIVE = "active"
    RELEASING = "releasing"
    VACANT = "vacant"


class KeyRange(Struct, frozen=True, kw_only=True):
    """Contiguous keys with at most one owner.

    :param low: first key.
    :param high: last key.
    :param owner: the server incarnation that may hold the keys, None before the first grant.
    :param token: fencing token of the grant; in a command, 0 makes the state machine use the log
        index of the command.
    :param phase: granting until the owner has confirmed the grant; releasing once the owner has
        been asked to release the keys; vacant when no server can hold them.
    :param handover: text passed from the former owner to the next one, empty if there is none.
    """

    low: int
    high: int
    owner: ServerIncarnation | None = None
    token: Token = Token(0)
    phase: GrantPhase = GrantPhase.VACANT
    handover: str = ""

    @property
    def size(self) -> int:
        """Return the number of keys in the range."""
        return self.high - self.low + 1


class HeldKeys(Struct, frozen=True, kw_only=True):
    """Keys that a server says it holds or still works on.

    :param low: first key.
    :param high: last key.
    :param token: fencing token under which it holds them.
    """

    low: int
    high: int
    token: Token


class ReleasedKeys(Struct, frozen=True, kw_only=True):
    """Keys that a server says it has released.

    :param low: first key.
    :param high: last key.
    :param handover: text for the next owner.
    """

    low: int
    high: int
    handover: str


class RangeTable(Struct, frozen=True, kw_only=True):
    """The ranges of one keyed service.

    :param service: the service.
    :param ranges: all ranges in order of keys, without gaps.
    """

    service: ServiceName
    ranges: tuple[KeyRange, ...]


class AcceptedChange(Struct, frozen=True, kw_only=True):
    """An accepted change of the routing configuration, kept to recognize it when it is resent.

    :param number: its number.
    :param digest: digest of the change as the operator sent it.
    """

    number: int
    digest: bytes


class RoutedImage(Struct, frozen=True, kw_only=True):
    """The complete replicated state of a routed deployment after one log entry.

    :param index: log index of the last entry applied.
    :param version: the routing configuration in force.
    :param accepted: accepted changes of the routing configuration, oldest first.
    :param servers: registered servers in order of id.
    :param tables: ranges of keyed services in order of name.
    :param ended: server incarnations that have been removed, oldest first; their late
        heartbeats are ignored.
    :param evacuated: failure domains whose servers get no requests, in order of name.
    """

    index: LogIndex = LogIndex(0)
    version: RoutingVersion = RoutingVersion()
    accepted: tuple[AcceptedChange, ...] = ()
    servers: tuple[RegisteredServer, ...] = ()
    tables: tuple[RangeTable, ...] = ()
    ended: tuple[ServerIncarnation, ...] = ()
    evacuated: tuple[DomainName, ...] = ()
