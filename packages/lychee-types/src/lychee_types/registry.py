"""Records of registered backend servers and of the key ranges granted to them."""

from enum import Enum

from msgspec import Struct

from lychee_types.ids import DomainName, Incarnation, LogIndex, ServerId, ServiceName, Token
from lychee_types.records import Endpoint
from lychee_types.routing import RoutingVersion

LAST_KEY = 65_535
"""Highest key; keys are the whole numbers from 0."""


class ServerRun(Struct, frozen=True, kw_only=True):
    """One run of a backend server.

    :param server: the server's id.
    :param incarnation: when the run started, in milliseconds since the Unix epoch.
    """

    server: ServerId
    incarnation: Incarnation


class RegisteredServer(Struct, frozen=True, kw_only=True):
    """A backend server that has registered itself.

    :param run: its id and the run that it speaks of.
    :param endpoint: where it takes requests.
    :param domain: its failure domain.
    :param service: the service that it serves.
    :param release: version of its software.
    :param slots: requests that it runs at once.
    :param cold_s: how long it stays slow after the heartbeat that made it known, in seconds.
    :param is_leaving: whether it takes no new requests.
    """

    run: ServerRun
    endpoint: Endpoint
    domain: DomainName
    service: ServiceName
    release: str
    slots: int
    cold_s: float = 0.0
    is_leaving: bool = False


class GrantPhase(Enum):
    """Where a range is on its way to an owner."""

    GRANTING = "granting"
    ACTIVE = "active"
    RELEASING = "releasing"
    VACANT = "vacant"


class KeyRange(Struct, frozen=True, kw_only=True):
    """Contiguous keys with one owner at most.

    :param low: first key.
    :param high: last key.
    :param owner: the run that may hold the keys, None before the first grant.
    :param token: fencing token of the grant; 0 has the state machine take the log index.
    :param phase: granting until the owner has confirmed the grant; releasing once it is asked to
        give the keys up; vacant when nobody can hold them.
    :param handover: what the former owner left for the next one, empty without.
    """

    low: int
    high: int
    owner: ServerRun | None = None
    token: Token = Token(0)
    phase: GrantPhase = GrantPhase.VACANT
    handover: str = ""

    @property
    def size(self) -> int:
        """Return how many keys it has."""
        return self.high - self.low + 1


class RangeTable(Struct, frozen=True, kw_only=True):
    """The ranges of one keyed service.

    :param service: the service.
    :param ranges: all ranges in order of keys, without gaps.
    """

    service: ServiceName
    ranges: tuple[KeyRange, ...]


class AcceptedChange(Struct, frozen=True, kw_only=True):
    """A change of routes that was accepted, kept for operators that resend it.

    :param number: its number.
    :param digest: digest of the change as it was sent.
    """

    number: int
    digest: bytes


class RoutedImage(Struct, frozen=True, kw_only=True):
    """The whole state behind routes after one log entry.

    :param index: the last log entry applied.
    :param version: the routes in force.
    :param accepted: accepted changes, oldest first.
    :param servers: registered servers in order of id.
    :param tables: ranges of keyed services in order of name.
    :param ended: runs that have deregistered, oldest first; their late heartbeats mean nothing.
    """

    index: LogIndex = LogIndex(0)
    version: RoutingVersion = RoutingVersion()
    accepted: tuple[AcceptedChange, ...] = ()
    servers: tuple[RegisteredServer, ...] = ()
    tables: tuple[RangeTable, ...] = ()
    ended: tuple[ServerRun, ...] = ()
