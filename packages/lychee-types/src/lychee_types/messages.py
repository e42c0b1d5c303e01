"""Messages between gateways, control replicas and operators' programs."""

from msgspec import Struct

from lychee_types.commands import Command, Outcome
from lychee_types.document import Document
from lychee_types.ids import (
    GatewayId,
    Incarnation,
    KeyHash,
    LogIndex,
    ReplicaId,
    ServerId,
    ServiceName,
    SessionId,
    Token,
)
from lychee_types.records import (
    Endpoint,
    GatewayRecord,
    LedgerEntry,
    ServerRecord,
    StoredAnswer,
)
from lychee_types.state import StateImage, SubmissionRecord

ATTACH = "/lychee.Control/Attach"
"""Stream method between a gateway and a control replica."""

OPERATE = "/lychee.Control/Operate"
"""Stream method between an operator's program and a control replica; one reply per request."""

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
    """

    server: ServerRecord
    number: int
    fence: Token = Token(0)
    in_flight: int = 0


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


class SubmitRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Submit a document.

    :param submission: the operator's id of this submission.
    :param based_on: the version it is based on, 0 for the first.
    :param author: who submits.
    :param document: the document.
    """

    submission: str
    based_on: int
    author: str
    document: Document


class ShowRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Ask for a version of the document.

    :param version: the version, 0 for the one in force.
    """

    version: int = 0


class HistoryRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Ask for the history of the document."""


class StatusRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Ask how the deployment is."""


class DumpRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Ask for a dump of the replica's state."""


class ReplaceRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Replace a control replica by a new one that has already been started.

    :param old: the replica that leaves, empty to add one.
    :param new: the replica that joins, empty to remove one.
    :param endpoint: address of the new replica.
    """

    old: ReplicaId
    new: ReplicaId
    endpoint: Endpoint


OperatorRequest = (
    SubmitRequest | ShowRequest | HistoryRequest | StatusRequest | DumpRequest | ReplaceRequest
)
"""Requests of an operator's program to a control replica."""


class SubmitReply(Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a submission.

    :param record: whether it won, and which version it became or lost to.
    """

    record: SubmissionRecord


class ShowReply(Struct, frozen=True, kw_only=True, tag=True):
    """A version of the document.

    :param version: the version, 0 if there is none yet.
    :param author: who submitted it.
    :param document: the document, None if there is none of that version.
    """

    version: int
    author: str
    document: Document | None


class HistoryReply(Struct, frozen=True, kw_only=True, tag=True):
    """The answers to past submissions, oldest first.

    :param submissions: the records.
    """

    submissions: tuple[SubmissionRecord, ...]


class ReplicaState(Struct, frozen=True, kw_only=True):
    """How a control replica is.

    :param id: its id.
    :param endpoint: its address.
    :param role: leader, follower, candidate or learner.
    :param match: last log index known to be on its disk.
    :param silent_ms: time since it was last heard of.
    """

    id: ReplicaId
    endpoint: Endpoint
    role: str
    match: LogIndex
    silent_ms: int


class GatewayState(Struct, frozen=True, kw_only=True):
    """How a gateway is.

    :param id: its id.
    :param session: its run.
    :param domain: its failure domain.
    :param document_version: the version in force there.
    :param applied: last log index applied.
    :param lease_left_ms: time left of its lease; negative once it is over.
    """

    id: GatewayId
    session: SessionId
    domain: str
    document_version: int
    applied: LogIndex
    lease_left_ms: int


class ServerState(Struct, frozen=True, kw_only=True):
    """How a backend server is.

    :param record: its record.
    :param leaving: whether it has been told to leave.
    :param share: share of its service's shards that it owns.
    :param lease_left_ms: time left of its lease; negative once it is over.
    """

    record: ServerRecord
    leaving: bool
    share: float
    lease_left_ms: int


class ServiceState(Struct, frozen=True, kw_only=True):
    """How the keys of a service are.

    :param name: its name.
    :param token: the fencing token in force.
    :param moving: how many shards are moving.
    :param hot_keys: how many keys are placed apart from their shard.
    """

    name: ServiceName
    token: Token
    moving: int
    hot_keys: int


class StatusReply(Struct, frozen=True, kw_only=True, tag=True):
    """How the deployment is, as the leader sees it.

    :param leader: the leader's id.
    :param term: its term.
    :param commit: the last committed log index.
    :param document_version: the version in force.
    :param replicas: the control replicas.
    :param gateways: the gateways.
    :param servers: the backend servers.
    :param services: the keyed services.
    """

    leader: ReplicaId
    term: int
    commit: LogIndex
    document_version: int
    replicas: tuple[ReplicaState, ...]
    gateways: tuple[GatewayState, ...]
    servers: tuple[ServerState, ...]
    services: tuple[ServiceState, ...]


class DumpReply(Struct, frozen=True, kw_only=True, tag=True):
    """A dump of a process's state.

    :param text: YAML, bounded in size.
    """

    text: str


class ReplaceReply(Struct, frozen=True, kw_only=True, tag=True):
    """The replica has been replaced; the new one holds everything acknowledged.

    :param voters: the voters now.
    """

    voters: tuple[ReplicaId, ...]


class Refused(Struct, frozen=True, kw_only=True, tag=True):
    """The request was refused.

    :param message: what is wrong.
    :param remedy: what to do.
    :param leader: address of the leader where the request must go there, else None.
    :param unavailable: whether the same request may be answered later, for example after an
        election; a submission or replacement may also have been committed.
    """

    message: str
    remedy: str
    leader: Endpoint | None = None
    unavailable: bool = False


OperatorReply = (
    SubmitReply | ShowReply | HistoryReply | StatusReply | DumpReply | ReplaceReply | Refused
)
"""Replies of a control replica to an operator's program."""
