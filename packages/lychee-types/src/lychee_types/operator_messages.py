"""Messages between control replicas and operators' programs."""

from msgspec import Struct

from lychee_types.document import Document
from lychee_types.ids import GatewayId, LogIndex, ReplicaId, ServiceName, SessionId, Token
from lychee_types.records import Endpoint, ServerRecord
from lychee_types.state import SubmissionRecord

OPERATE = "/lychee.Control/Operate"
"""gRPC stream method between an operator's program and a control replica; one reply per request."""


class SubmitRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Submit a document.

    :param submission: id that the operator chose for this submission.
    :param based_on: the version it is based on, 0 for the first.
    :param author: who submits.
    :param document: the document.
    """

    submission: str
    based_on: int
    author: str
    document: Document


class ShowRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Request a version of the document.

    :param version: the version, 0 for the one in force.
    """

    version: int = 0


class HistoryRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Request the outcomes of past submissions."""


class StatusRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Request the state of the deployment."""


class DumpRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Request a dump of the replica's state."""


class ReplaceRequest(Struct, frozen=True, kw_only=True, tag=True):
    """Replace a control replica with a new one that is already running.

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
"""Requests from an operator's program to a control replica."""


class SubmitReply(Struct, frozen=True, kw_only=True, tag=True):
    """The outcome of a submission.

    :param record: whether it was accepted, and the version that it became or conflicts with.
    """

    record: SubmissionRecord


class ShowReply(Struct, frozen=True, kw_only=True, tag=True):
    """A version of the document.

    :param version: the version, 0 if there is none yet.
    :param author: who submitted it.
    :param document: the document, None if there is no such version.
    """

    version: int
    author: str
    document: Document | None


class HistoryReply(Struct, frozen=True, kw_only=True, tag=True):
    """The outcomes of past submissions, oldest first.

    :param submissions: the records.
    """

    submissions: tuple[SubmissionRecord, ...]


class ReplicaState(Struct, frozen=True, kw_only=True):
    """State of a control replica.

    :param id: its id.
    :param endpoint: its address.
    :param role: leader, follower, candidate or learner.
    :param match: last log index known to be on its disk.
    :param silent_ms: time since its last message, in milliseconds.
    """

    id: ReplicaId
    endpoint: Endpoint
    role: str
    match: LogIndex
    silent_ms: int


class GatewayState(Struct, frozen=True, kw_only=True):
    """State of a gateway.

    :param id: its id.
    :param session: id of its session.
    :param domain: its failure domain.
    :param document_version: the version in force there.
    :param applied: last log index applied.
    :param lease_left_ms: remaining time of its lease in milliseconds; negative once it has expired.
    """

    id: GatewayId
    session: SessionId
    domain: str
    document_version: int
    applied: LogIndex
    lease_left_ms: int

    @property
    def has_reported(self) -> bool:
        """Whether the gateway has reported to the current leader what it has applied."""
        return self.applied > 0


class ServerState(Struct, frozen=True, kw_only=True):
    """State of a backend server.

    :param record: its record.
    :param leaving: whether operators have marked it as leaving.
    :param share: share of its service's shards that it owns.
    :param lease_left_ms: remaining time of its lease in milliseconds; negative once it has expired.
    """

    record: ServerRecord
    leaving: bool
    share: float
    lease_left_ms: int


class ServiceState(Struct, frozen=True, kw_only=True):
    """State of a service's keys.

    :param name: its name.
    :param token: the fencing token in force.
    :param moving: how many shards are moving to another owner.
    :param hot_keys: how many keys are individually placed.
    """

    name: ServiceName
    token: Token
    moving: int
    hot_keys: int


class StatusReply(Struct, frozen=True, kw_only=True, tag=True):
    """State of the deployment, as known to the leader.

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

    :param text: YAML, limited in size.
    """

    text: str


class ReplaceReply(Struct, frozen=True, kw_only=True, tag=True):
    """The replica has been replaced; the new one holds every acknowledged log entry.

    :param voters: the voters after the replacement.
    """

    voters: tuple[ReplicaId, ...]


class Refused(Struct, frozen=True, kw_only=True, tag=True):
    """The request was refused.

    :param message: what is wrong.
    :param remedy: what to do.
    :param leader: address of the leader if the request must be sent there, else None.
    :param unavailable: whether the same request may succeed later, for example after an election;
        a submission or replacement may also have been committed already.
    """

    message: str
    remedy: str
    leader: Endpoint | None = None
    unavailable: bool = False


OperatorReply = (
    SubmitReply | ShowReply | HistoryReply | StatusReply | DumpReply | ReplaceReply | Refused
)
"""Replies from a control replica to an operator's program."""
