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
    """Where a backend server is in its life."""

    JOINED = "joined"
    LEAVING = "leaving"
    LOST = "lost"


class ServerRecord(Struct, frozen=True, kw_only=True):
    """What is known of a backend server.

    :param id: the server's id.
    :param incarnation: the server's current run.
    :param endpoint: where it takes requests.
    :param domain: its failure domain.
    :param service: the service it serves.
    :param slots: how many requests it runs at once.
    :param connections: how many connections it accepts.
    :param speed: its speed relative to the service's usual server.
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
    :param session: its current run.
    :param domain: its failure domain.
    """

    id: GatewayId
    session: SessionId
    domain: DomainName


class Member(Struct, frozen=True, kw_only=True, order=True):
    """A server that takes part in a placement.

    :param server: the server's id.
    :param weight: its share of the keys relative to the others' weights.
    """

    server: ServerId
    weight: float


class KeyOwner(Struct, frozen=True, kw_only=True):
    """A key that is placed apart from its shard.

    :param key: hash of the key.
    :param server: its owner.
    """

    key: KeyHash
    server: ServerId


class Placement(Struct, frozen=True, kw_only=True):
    """Everything that the owner of each key of a service is computed from.

    :param members: servers with their weights, in order of id.
    :param keys: keys placed apart from their shard, in order of hash.
    :param shards: number of hash ranges, a power of two; 0 means the service's number when the
        transition to this placement began.
    :param bounded_load: highest share of shards over the fair share of a member's weight;
        0 for no bound.
    """

    members: tuple[Member, ...] = ()
    keys: tuple[KeyOwner, ...] = ()
    shards: int = 0
    bounded_load: float = 0.0


class PlacementChange(Struct, frozen=True, kw_only=True):
    """The difference of a placement from the one in force.

    :param token: fencing token of the placement that it is based on.
    :param gone: servers that take part no more.
    :param members: servers that are new or whose weight has changed.
    :param keys: all keys placed apart from their shard, in order of hash.
    :param shards: number of hash ranges.
    :param bounded_load: highest share of shards over the fair share of a member's weight.
    """

    token: Token
    gone: tuple[ServerId, ...] = ()
    members: tuple[Member, ...] = ()
    keys: tuple[KeyOwner, ...] = ()
    shards: int = 0
    bounded_load: float = 0.0


class Transition(Struct, frozen=True, kw_only=True):
    """A change of placement under way. Keys whose owner differs are sent to nobody.

    :param begun: log index of the command that began it.
    :param target: the placement it leads to.
    """

    begun: LogIndex
    target: Placement


class Ownership(Struct, frozen=True, kw_only=True):
    """Who owns the keys of one service.

    :param service: the service's name.
    :param token: fencing token of the current placement.
    :param current: the placement in force.
    :param pending: the change under way, or None.
    :param fence: log index at which the last finished transition began; a server that lost keys
        in it refuses older tokens.
    """

    service: ServiceName
    token: Token
    current: Placement
    pending: Transition | None = None
    fence: Token = Token(0)


class LedgerStatus(Enum):
    """What is known of the run of a non-idempotent request."""

    OPEN = "open"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class StoredAnswer(Struct, frozen=True, kw_only=True):
    """An answer kept for a caller that resends its request.

    :param status: HTTP status.
    :param content_type: value of the answer's Content-Type.
    :param body: the whole body.
    :param body_kept: whether the body was small enough to keep; if not, ``body`` is empty.
    """

    status: int
    content_type: str
    body: bytes
    body_kept: bool = True


class LedgerEntry(Struct, frozen=True, kw_only=True):
    """One non-idempotent request with an Idempotency-Key.

    :param key: service name and Idempotency-Key, joined by a slash.
    :param digest: hash of method, path and body; a reused key with another digest is refused.
    :param session: the gateway's run that opened the entry.
    :param attempt: that run's number for the opening; asking again with it is harmless.
    :param status: open, answered or unknown.
    :param opened_at: wall time of the leader when it was opened, in seconds.
    :param answer: the stored answer where there is one.
    """

    key: str
    digest: int
    session: SessionId
    status: LedgerStatus
    opened_at: float
    attempt: int = 0
    answer: StoredAnswer | None = None
