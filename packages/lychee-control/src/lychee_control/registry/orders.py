"""What servers and operators ask of a control replica, and what they are told."""

from dataclasses import dataclass
from typing import Protocol

from lychee_http import RequestHead, ResponseHead
from lychee_types.ids import ServerId
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer
from lychee_types.routing import Routing, RoutingPatch, RoutingVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """A backend server tells that it is alive, and how it is.

    :param server: its record.
    :param sequence: number of the heartbeat in its run; a lower one is older.
    """

    server: RegisteredServer
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Leave:
    """A backend server deregisters.

    :param server: its id.
    :param incarnation: the run, None where the call does not say.
    """

    server: ServerId
    incarnation: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeOrder:
    """An operator changes the routes.

    :param number: number of the new version.
    :param based_on: number of the version that the operator saw.
    :param change: the whole configuration, or a change of named items.
    """

    number: int
    based_on: int
    change: Routing | RoutingPatch


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOrder:
    """An operator reads the routes in force."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BadOrder:
    """A call that cannot be read.

    :param reason: what is wrong with it.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownCall:
    """A call that this replica does not offer."""


ApiCall = Heartbeat | Leave | ChangeOrder | ReadOrder | BadOrder | UnknownCall
"""A decoded call."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Heard:
    """The heartbeat or the departure has been taken note of.

    :param next_at: where the server may send its next heartbeats.
    """

    next_at: Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The change is in force.

    :param number: its number.
    """

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CurrentRouting:
    """The routes in force.

    :param version: number and routes.
    """

    version: RoutingVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another version is in force than the one that the change is based on.

    :param number: the version in force.
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
    """Another replica answers this.

    :param leader: where it listens for servers and operators.
    """

    leader: Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """Nothing sure can be said now; the call may or may not have taken effect.

    :param reason: why.
    """

    reason: str


ApiReply = Heard | Accepted | CurrentRouting | Conflict | Refused | NotLeader | Unavailable
"""The answer to a call."""


class ApiCodec(Protocol):
    """Translates the calls of servers and operators."""

    def read(self, head: RequestHead, body: bytes) -> ApiCall:
        """Return what a call asks."""
        ...

    def reply(self, head: RequestHead, reply: ApiReply) -> tuple[ResponseHead, bytes]:
        """Return the answer to a call."""
        ...

    def not_found(self, head: RequestHead) -> tuple[ResponseHead, bytes]:
        """Return the answer to a call that is not offered."""
        ...
