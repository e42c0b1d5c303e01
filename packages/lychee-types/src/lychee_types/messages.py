"""Messages between gateways and control replicas.

A gateway session is one lifetime of a gateway process; a restart begins a new session.
"""

from msgspec import Struct

from lychee_types.commands import Command, Outcome
from lychee_types.ids import (
    Incarnation,
    KeyHash,
    LogIndex,
    ServerId,
    ServiceName,
    SessionId,
    Token,
)
from lychee_types.records import (
    GatewayRecord,
    LedgerEntry,
    ServerRecord,
    StoredAnswer,
)
from lychee_types.state import StateImage

ATTACH = "/lychee.Control/Attach"
"""gRPC stream method between a gateway and a control replica."""

PEER = "/lychee.Control/Peer"
"""gRPC stream method between two control replicas."""


class Drained(Struct, frozen=True, kw_only=True):
    """A gateway's confirmation that it has drained the old owners of a transition's keys.

    It sends them nothing more for these keys, and each request that it sent for them has been
    answered, or its deadline and margin have passed.

    :param service: the service's name.
    :param begun: log index at which the transition began.
    """

    service: ServiceName
    begun: LogIndex


class Attach(Struct, frozen=True, kw_only=True, tag=True):
    """First message of a gateway on its stream.

    :param gateway: the gateway's record.
    :param have: the last log index that the gateway has applied, 0 for none.
    """

    gateway: GatewayRecord
    have: LogIndex


class RenewLease(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway asks to renew its session lease and reports what it has applied.

    :param session: id of the gateway session.
    :param number: number of the renewal; the lease starts when the renewal was sent.
    :param applied: the last log index applied.
    :param document_version: the document version in force at the gateway.
    :param drained: transitions for which the gateway has drained the old owners.
    :param ending: the session ends: every request that it sent has been answered or is past its
        deadline, it sends no more, and it releases its lease.
    """

    session: SessionId
    number: int
    applied: LogIndex
    document_version: int
    drained: tuple[Drained, ...] = ()
    ending: bool = False


class Announcement(Struct, frozen=True, kw_only=True):
    """A backend server's periodic registration and heartbeat.

    :param server: its record; ``status`` is LEAVING if the server itself asks to leave.
    :param number: number of the announcement in this incarnation; the lease starts when the
        announcement was sent.
    :param fence: the highest fence that the server has confirmed.
    :param in_flight: how many requests are running or queued, as the server reports it.
    :param wall_ms: its wall-clock time when it sent the announcement, in milliseconds since the
        Unix epoch; 0 for unknown, which is rejected for a server of a keyed service that doesn't
        check tokens.
    """

    server: ServerRecord
    number: int
    fence: Token = Token(0)
    in_flight: int = 0
    wall_ms: int = 0


class ReportServers(Struct, frozen=True, kw_only=True, tag=True):
    """Announcements that a gateway received.

    :param session: id of the gateway session.
    :param announcements: in order of arrival.
    """

    session: SessionId
    announcements: tuple[Announcement, ...]


class ServerLoad(Struct, frozen=True, kw_only=True):
    """What a gateway has measured of one backend server since its last report.

    :param server: the server's id.
    :param answered: number of complete responses.
    :param failed: number of refused connections, timeouts and incomplete responses.
    :param busy_ms: sum of the response times of complete responses, in milliseconds.
    :param in_flight: number of requests in flight now.
    """

    server: ServerId
    answered: int
    failed: int
    busy_ms: float
    in_flight: int


class HotKey(Struct, frozen=True, kw_only=True):
    """A key with many requests.

    :param service: the service's name.
    :param key: hash of the key.
    :param rate: requests per second.
    """

    service: ServiceName
    key: KeyHash
    rate: float


class ReportLoad(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway's periodic load report.

    :param session: id of the gateway session.
    :param servers: one entry for each server that the gateway has used.
    :param hot_keys: the keys with the most requests, in descending order.
    """

    session: SessionId
    servers: tuple[ServerLoad, ...]
    hot_keys: tuple[HotKey, ...] = ()


class LedgerRequest(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway asks to open a ledger entry before it sends a request.

    :param session: id of the gateway session.
    :param number: number of the call, chosen by the gateway and repeated in the reply.
    :param entry: the entry; the leader sets its time.
    """

    session: SessionId
    number: int
    entry: LedgerEntry


class LedgerClosing(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway reports the outcome of a request with a ledger entry.

    :param session: id of the gateway session.
    :param number: number of the call, chosen by the gateway and repeated in the reply.
    :param key: the entry's key.
    :param answer: the response, or None if there is none.
    :param not_run: whether the request was not run.
    """

    session: SessionId
    number: int
    key: str
    answer: StoredAnswer | None = None
    not_run: bool = False


ToControl = Attach | RenewLease | ReportServers | ReportLoad | LedgerRequest | LedgerClosing
"""Messages from a gateway to a control replica."""


class Delta(Struct, frozen=True, kw_only=True):
    """One applied log entry.

    :param index: its log index.
    :param command: its command.
    """

    index: LogIndex
    command: Command


class Deltas(Struct, frozen=True, kw_only=True, tag=True):
    """Log entries that a gateway applies in order.

    :param entries: in order of index; entries that gateways don't need are omitted.
    :param upto: last log index covered, including omitted entries.
    """

    entries: tuple[Delta, ...]
    upto: LogIndex


class Snapshot(Struct, frozen=True, kw_only=True, tag=True):
    """The complete state, for a gateway that is new or too far behind.

    :param image: the state without its ledger.
    """

    image: StateImage


class GrantLease(Struct, frozen=True, kw_only=True, tag=True):
    """The leader grants a session lease.

    :param session: id of the gateway session.
    :param number: the renewal that is granted.
    :param lease_ms: length of the lease in milliseconds, starting when that renewal was sent.
    """

    session: SessionId
    number: int
    lease_ms: int


class EndSession(Struct, frozen=True, kw_only=True, tag=True):
    """The gateway session has been declared lost; the gateway must attach with a new session.

    :param session: id of the session that has ended.
    """

    session: SessionId


class ServerGrant(Struct, frozen=True, kw_only=True):
    """The reply to one announcement.

    :param server: the server's id.
    :param incarnation: the incarnation that sent the announcement.
    :param number: the announcement's number.
    :param lease_ms: length of the session lease in milliseconds, starting when the announcement
        was sent; 0 if the lease is refused.
    :param fence: the server must reject keyed requests with a lower token.
    :param leaving: whether operators have marked the server as leaving.
    :param reason: why the lease was refused, empty if it was granted.
    """

    server: ServerId
    incarnation: Incarnation
    number: int
    lease_ms: int
    fence: Token
    leaving: bool = False
    reason: str = ""


class ServerGrants(Struct, frozen=True, kw_only=True, tag=True):
    """Replies to announcements that this gateway reported.

    :param grants: one for each announcement.
    """

    grants: tuple[ServerGrant, ...]


class LedgerReply(Struct, frozen=True, kw_only=True, tag=True):
    """The reply to a ledger call.

    :param number: number of the call, as the gateway chose it.
    :param outcome: LedgerOpened, LedgerFound, Done or Ignored.
    """

    number: int
    outcome: Outcome


class LedgerFailed(Struct, frozen=True, kw_only=True, tag=True):
    """The ledger could not be written, for example without a quorum.

    :param number: number of the call, as the gateway chose it.
    :param reason: why.
    """

    number: int
    reason: str


ToGateway = Deltas | Snapshot | GrantLease | EndSession | ServerGrants | LedgerReply | LedgerFailed
"""Messages from a control replica to a gateway."""
