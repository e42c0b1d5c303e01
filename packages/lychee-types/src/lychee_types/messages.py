"""Messages between gateways and control replicas."""

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
"""Stream method between a gateway and a control replica."""

PEER = "/lychee.Control/Peer"
"""Stream method between two control replicas."""


class Drained(Struct, frozen=True, kw_only=True):
    """A gateway sends nothing more to the old owners of a transition's keys.

    Every request for those keys has been answered, or its deadline and margin have passed.

    :param service: the service's name.
    :param begun: the transition's log index.
    """

    service: ServiceName
    begun: LogIndex


class Attach(Struct, frozen=True, kw_only=True, tag=True):
    """First message of a gateway on its stream.

    :param gateway: the gateway's record.
    :param have: the last log index that it has applied, 0 for none.
    """

    gateway: GatewayRecord
    have: LogIndex


class RenewLease(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway asks to renew its session lease and tells what it has applied.

    :param session: the gateway's run.
    :param number: number of the renewal; the lease counts from when it was sent.
    :param applied: the last log index applied.
    :param document_version: the document version in force at the gateway.
    :param drained: transitions for which the gateway is done with the old owners.
    :param ending: the run ends: every request that it sent has been answered or is past its
        deadline, it sends no more, and it hands its lease back.
    """

    session: SessionId
    number: int
    applied: LogIndex
    document_version: int
    drained: tuple[Drained, ...] = ()
    ending: bool = False


class Announcement(Struct, frozen=True, kw_only=True):
    """A backend server's periodic word of itself.

    :param server: its record; ``status`` is LEAVING when the server itself wants to leave.
    :param number: number of the announcement in this run; the lease counts from its sending.
    :param fence: the highest fence that the server has confirmed.
    :param in_flight: how many requests it runs or holds, by its own word.
    :param wall_ms: its wall time at the sending, Unix ms; 0 for unknown, which is refused for a
        server of a keyed service that does not check tokens.
    """

    server: ServerRecord
    number: int
    fence: Token = Token(0)
    in_flight: int = 0
    wall_ms: int = 0


class ReportServers(Struct, frozen=True, kw_only=True, tag=True):
    """Announcements that a gateway received.

    :param session: the gateway's run.
    :param announcements: in order of arrival.
    """

    session: SessionId
    announcements: tuple[Announcement, ...]


class ServerLoad(Struct, frozen=True, kw_only=True):
    """What a gateway has seen of one backend server since its last report.

    :param server: the server's id.
    :param answered: whole answers.
    :param failed: refused connections, timeouts and broken answers.
    :param busy_ms: summed time from sending to the whole answer, in milliseconds.
    :param in_flight: requests in flight now.
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
    :param rate: requests a second.
    """

    service: ServiceName
    key: KeyHash
    rate: float


class ReportLoad(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway's periodic report of load.

    :param session: the gateway's run.
    :param servers: one entry for each server it has used.
    :param hot_keys: the hottest keys, hottest first.
    """

    session: SessionId
    servers: tuple[ServerLoad, ...]
    hot_keys: tuple[HotKey, ...] = ()


class LedgerRequest(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway asks to open a ledger entry before it sends a request.

    :param session: the gateway's run.
    :param number: the gateway's number for this call.
    :param entry: the entry; the leader sets its time.
    """

    session: SessionId
    number: int
    entry: LedgerEntry


class LedgerClosing(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway reports the outcome of a request with a ledger entry.

    :param session: the gateway's run.
    :param number: the gateway's number for this call.
    :param key: the entry's key.
    :param answer: the answer, or None.
    :param not_run: whether the request was not run.
    """

    session: SessionId
    number: int
    key: str
    answer: StoredAnswer | None = None
    not_run: bool = False


ToControl = Attach | RenewLease | ReportServers | ReportLoad | LedgerRequest | LedgerClosing
"""Messages of a gateway to a control replica."""


class Delta(Struct, frozen=True, kw_only=True):
    """One applied log entry.

    :param index: its log index.
    :param command: its command.
    """

    index: LogIndex
    command: Command


class Deltas(Struct, frozen=True, kw_only=True, tag=True):
    """Log entries that a gateway applies in order.

    :param entries: in order of index; entries that do not concern gateways are left out.
    :param upto: last log index that these entries cover.
    """

    entries: tuple[Delta, ...]
    upto: LogIndex


class Snapshot(Struct, frozen=True, kw_only=True, tag=True):
    """The whole state, for a gateway that is new or too far behind.

    :param image: the state without its ledger.
    """

    image: StateImage


class GrantLease(Struct, frozen=True, kw_only=True, tag=True):
    """The leader grants a session lease.

    :param session: the gateway's run.
    :param number: the renewal that is granted.
    :param lease_ms: length of the lease from when that renewal was sent.
    """

    session: SessionId
    number: int
    lease_ms: int


class EndSession(Struct, frozen=True, kw_only=True, tag=True):
    """The gateway's run has been declared lost; it must attach again as a new run.

    :param session: the run that is over.
    """

    session: SessionId


class ServerGrant(Struct, frozen=True, kw_only=True):
    """The answer to one announcement.

    :param server: the server's id.
    :param incarnation: the run that announced.
    :param number: the announcement's number.
    :param lease_ms: length of the session lease from when the announcement was sent; 0 refuses it.
    :param fence: the server must refuse keyed requests with a lower token.
    :param leaving: whether operators have told the server to leave.
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
    """Answers to announcements that this gateway reported.

    :param grants: one for each announcement.
    """

    grants: tuple[ServerGrant, ...]


class LedgerReply(Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a ledger call.

    :param number: the gateway's number for the call.
    :param outcome: LedgerOpened, LedgerFound, Done or Ignored.
    """

    number: int
    outcome: Outcome


class LedgerFailed(Struct, frozen=True, kw_only=True, tag=True):
    """The ledger could not be written, for example without a quorum.

    :param number: the gateway's number for the call.
    :param reason: why.
    """

    number: int
    reason: str


ToGateway = Deltas | Snapshot | GrantLease | EndSession | ServerGrants | LedgerReply | LedgerFailed
"""Messages of a control replica to a gateway."""
