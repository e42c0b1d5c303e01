"""Records of the replicated state."""

from enum import Enum

from msgspec import Struct

from lychee_types.ids import (
    DomainName,
    GatewayId,
    Incarnation,
    KeyHash,
    LogIndex,
    ServerId,
    ServiceName,
    SessionId,
    Token,
)

MAX_PORT = 65_535
"""Highest TCP port."""


class Endpoint(Struct, frozen=True, kw_only=True):
    """A TCP address.

    :param host: an IP number.
    :param port: a TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ServerStatus(Enum):
    """State of a backend server in its life cycle."""

    JOINED = "joined"
    LEAVING = "leaving"
    LOST = "lost"


class ServerRecord(Struct, frozen=True, kw_only=True):
    """Record of a backend server.

    :param id: the server's id.
    :param incarnation: number of its current incarnation.
    :param endpoint: address at which it accepts requests.
    :param domain: its failure domain.
    :param service: the service it serves.
    :param slots: how many requests it runs at once.
    :param connections: how many connections it accepts.
    :param speed: its speed relative to a typical server of the service.
    :param status: joined, leaving or lost.
    """

    id: ServerId
    incarnation: Incarnation
    endpoint: Endpoint
    domain: DomainName
    service: ServiceName
    slots: int
    connections: int
    speed: float = 1.0
    status: ServerStatus = ServerStatus.JOINED


class GatewayRecord(Struct, frozen=True, kw_only=True):
    """A gateway process that may hold a session lease.

    :param id: the gateway's id.
    :param session: id of its current session.
    :param domain: its failure domain.
    """

    id: GatewayId
    session: SessionId
    domain: DomainName


class Member(Struct, frozen=True, kw_only=True, order=True):
    """A server to which a placement assigns keys.

    :param server: the server's id.
    :param weight: its share of the keys in proportion to the sum of all weights.
    """

    server: ServerId
    weight: float


class KeyOwner(Struct, frozen=True, kw_only=True):
    """A key that has an owner of its own, independent of its shard, such as a hot or pinned key.

    :param key: hash of the key.
    :param server: its owner.
    """

    key: KeyHash
    server: ServerId


class Placement(Struct, frozen=True, kw_only=True):
    """The complete input from which the owner of each key of a service is computed.

    :param members: servers with their weights, in order of id.
    :param keys: individually placed keys, in order of hash.
    :param shards: number of hash ranges, a power of two; 0 stands for the number that the document
        set for the service when the transition to this placement began.
    :param bounded_load: maximum ratio of a member's shards to its fair share by weight; 0 for no
        bound.
    """

    members: tuple[Member, ...] = ()
    keys: tuple[KeyOwner, ...] = ()
    shards: int = 0
    bounded_load: float = 0.0


class PlacementChange(Struct, frozen=True, kw_only=True):
    """The difference between a new placement and the one in force.

    :param token: fencing token of the placement that it is based on.
    :param gone: servers that are no longer members.
    :param members: servers that are new or whose weight has changed.
    :param keys: all individually placed keys, in order of hash.
    :param shards: number of hash ranges.
    :param bounded_load: maximum ratio of a member's shards to its fair share by weight.
    """

    token: Token
    gone: tuple[ServerId, ...] = ()
    members: tuple[Member, ...] = ()
    keys: tuple[KeyOwner, ...] = ()
    shards: int = 0
    bounded_load: float = 0.0


class Transition(Struct, frozen=True, kw_only=True):
    """A change of placement in progress. Requests for keys that change owner are not forwarded.

    :param begun: log index of the command that began it.
    :param target: the new placement.
    """

    begun: LogIndex
    target: Placement


class Ownership(Struct, frozen=True, kw_only=True):
    """The assignment of one service's keys to owners.

    :param service: the service's name.
    :param token: fencing token of the current placement.
    :param current: the placement in force.
    :param pending: the change in progress, or None.
    :param fence: log index at which the last finished transition began; a server that lost keys
        in that transition rejects requests with a lower token.
    """

    service: ServiceName
    token: Token
    current: Placement
    pending: Transition | None = None
    fence: Token = Token(0)


class LedgerStatus(Enum):
    """What is known about the execution of a non-idempotent request."""

    OPEN = "open"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class StoredAnswer(Struct, frozen=True, kw_only=True):
    """A response kept for a caller that resends its request.

    :param status: HTTP status.
    :param content_type: value of the response's Content-Type.
    :param body: the complete body.
    :param body_kept: whether the body was small enough to keep; if not, ``body`` is empty.
    """

    status: int
    content_type: str
    body: bytes
    body_kept: bool = True


class LedgerEntry(Struct, frozen=True, kw_only=True):
    """Entry of the ledger, the replicated table of non-idempotent requests with an Idempotency-Key.

    :param key: service name and Idempotency-Key, joined by a slash.
    :param digest: hash of method, path and body; a reused key with another digest is rejected.
    :param session: id of the gateway session that opened the entry.
    :param attempt: number that the session assigned to the opening; a retry with it has no effect.
    :param status: open, answered or unknown.
    :param opened_at: the leader's wall-clock time when it was opened, in seconds.
    :param answer: the stored response, None if there is none.
    """

    key: str
    digest: int
    session: SessionId
    status: LedgerStatus
    opened_at: float
    attempt: int = 0
    answer: StoredAnswer | None = None
