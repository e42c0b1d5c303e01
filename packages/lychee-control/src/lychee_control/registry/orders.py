"""API calls of backend servers and operators to a control replica, and the replies."""

from dataclasses import dataclass
from typing import Protocol

from lychee_http import RequestHead, ResponseHead
from lychee_types.ids import DomainName, ServerId
from lychee_types.records import Endpoint
from lychee_types.registry import HeldKeys, KeyRange, RegisteredServer, ReleasedKeys
from lychee_types.routing import Routing, RoutingPatch, RoutingVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """A backend server registers itself or reports that it is alive.

    :param server: its record.
    :param sequence: number of the heartbeat in its incarnation; later ones have higher numbers.
    :param holds: the keys that it holds or still works on.
    :param released: the keys that it has released since its last acknowledged heartbeat.
    """

    server: RegisteredServer
    sequence: int
    holds: tuple[HeldKeys, ...] = ()
    released: tuple[ReleasedKeys, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Leave:
    """A backend server deregisters.

    :param server: its id.
    :param incarnation: when its process started, in milliseconds since the Unix epoch, None if
        the call does not name it.
    """

    server: ServerId
    incarnation: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeOrder:
    """An operator changes the routing configuration.

    :param number: number of the new version.
    :param based_on: number of the version that the change is based on.
    :param change: the whole configuration, or a patch of named items.
    """

    number: int
    based_on: int
    change: Routing | RoutingPatch


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOrder:
    """An operator reads the routing configuration in force."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationOrder:
    """An operator starts or ends the evacuation of a failure domain.

    :param domain: the failure domain.
    :param is_evacuated: whether its servers are to get no requests.
    """

    domain: DomainName
    is_evacuated: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class BadOrder:
    """A call that cannot be decoded.

    :param reason: what is wrong with it.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownCall:
    """A call to a path or with a method that the API does not have."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantedKeys:
    """All keys that a server is to hold.

    :param ranges: the ranges; a handover is for keys that the server does not hold yet.
    :param hold_s: how long it may hold them from the sending of its heartbeat, in seconds.
    """

    ranges: tuple[KeyRange, ...]
    hold_s: float


LeaderCall = Heartbeat | Leave | ChangeOrder | ReadOrder | EvacuationOrder
"""A decoded call that only the leader answers."""

ApiCall = LeaderCall | BadOrder | UnknownCall
"""A decoded call."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Heard:
    """The heartbeat or the deregistration was accepted.

    :param next_at: where the server should send its next heartbeats.
    :param granted: what the server is to hold; None changes and renews nothing.
    """

    next_at: Endpoint
    granted: GrantedKeys | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The change is in force.

    :param number: number of its version.
    """

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CurrentRouting:
    """The routing configuration in force.

    :param version: its version number and content.
    """

    version: RoutingVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationSet:
    """The order to start or end an evacuation is committed.

    :param domain: the failure domain.
    :param is_evacuated: whether its servers get no requests.
    """

    domain: DomainName
    is_evacuated: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownDomain:
    """The call names a failure domain that the deployment does not have, and changed nothing.

    :param domain: the name.
    """

    domain: DomainName


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """The change is based on a version that is not in force.

    :param number: number of the version in force.
    """

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The call is invalid and changed nothing.

    :param reason: what is wrong with it.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class NotLeader:
    """The call has to be sent to the leader.

    :param leader: where the leader listens for calls of servers and operators.
    """

    leader: Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The outcome is unknown; the call may or may not have taken effect.

    :param reason: why.
    """

    reason: str


ApiReply = (
    Heard
    | Accepted
    | CurrentRouting
    | EvacuationSet
    | UnknownDomain
    | Conflict
    | Refused
    | NotLeader
    | Unavailable
)
"""The reply to a call."""


class ApiCodec(Protocol):
    """Decodes API calls from HTTP requests and encodes their replies."""

    def is_change(self, head: RequestHead) -> bool:
        """Return whether a request is to change the configuration, by its head."""
        ...

    def read(self, head: RequestHead, body: bytes) -> ApiCall:
        """Return the call that a request makes."""
        ...

    def reply(self, head: RequestHead, reply: ApiReply) -> tuple[ResponseHead, bytes]:
        """Return the response to a call, as head and body."""
        ...

    def not_found(self, head: RequestHead) -> tuple[ResponseHead, bytes]:
        """Return the response to an unknown call, as head and body."""
        ...
