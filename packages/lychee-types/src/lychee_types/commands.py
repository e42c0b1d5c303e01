"""Commands of the replicated log and the outcomes of applying them.

Every replica and every gateway applies the same commands in the same order with the same result.
"""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lychee_types.document import Document
from lychee_types.ids import (
    GatewayId,
    Incarnation,
    LogIndex,
    ServerId,
    ServiceName,
    SessionId,
)
from lychee_types.records import (
    GatewayRecord,
    LedgerEntry,
    Placement,
    PlacementChange,
    ServerRecord,
    StoredAnswer,
)


class Noop(Struct, frozen=True, kw_only=True, tag=True):
    """First entry of a leader's term; it changes nothing."""


class SubmitDocument(Struct, frozen=True, kw_only=True, tag=True):
    """Replace the document, unless its version is no longer the one that the change is based on.

    :param submission: id that the operator chose for this submission; resending it has no effect.
    :param based_on: the document version that the operator edited.
    :param author: who submits.
    :param document: the new document.
    """

    submission: str
    based_on: int
    author: str
    document: Document


class JoinServer(Struct, frozen=True, kw_only=True, tag=True):
    """Add a backend server, or replace its record after it restarted or returned.

    :param server: the new record.
    """

    server: ServerRecord


class LoseServer(Struct, frozen=True, kw_only=True, tag=True):
    """Mark a backend server as lost.

    :param server: the server's id.
    :param incarnation: the incarnation that was lost; a later one is not affected.
    """

    server: ServerId
    incarnation: Incarnation


class ForgetServer(Struct, frozen=True, kw_only=True, tag=True):
    """Remove the record of a lost backend server that owns no key.

    :param server: the server's id.
    """

    server: ServerId


class SetSpeed(Struct, frozen=True, kw_only=True, tag=True):
    """Set the measured speed of a backend server.

    :param server: the server's id.
    :param speed: speed relative to a typical server of the service.
    """

    server: ServerId
    speed: float


class JoinGateway(Struct, frozen=True, kw_only=True, tag=True):
    """Add a gateway session; from then on it may be granted a session lease.

    :param gateway: the gateway's record.
    """

    gateway: GatewayRecord


class LoseGateway(Struct, frozen=True, kw_only=True, tag=True):
    """Remove a gateway session whose lease has expired; it is never granted one again.

    :param gateway: the gateway's id.
    :param session: the session to remove.
    """

    gateway: GatewayId
    session: SessionId


class BeginTransition(Struct, frozen=True, kw_only=True, tag=True):
    """Begin to change a placement; this replaces a change that is already in progress.

    Either the target or its difference from the placement in force is given. With many servers
    the difference is far shorter.

    :param service: the service's name.
    :param target: the new placement.
    :param change: the difference, None if the target is given.
    """

    service: ServiceName
    target: Placement = Placement()
    change: PlacementChange | None = None


class FinishTransition(Struct, frozen=True, kw_only=True, tag=True):
    """Put the pending placement in force. Its log index becomes the new fencing token.

    :param service: the service's name.
    :param begun: the transition's log index; a later transition is not affected.
    """

    service: ServiceName
    begun: LogIndex


class OpenLedger(Struct, frozen=True, kw_only=True, tag=True):
    """Record that a non-idempotent request is about to be sent.

    :param entry: the new entry.
    """

    entry: LedgerEntry


class CloseLedger(Struct, frozen=True, kw_only=True, tag=True):
    """Record the outcome of a non-idempotent request.

    :param key: the entry's key.
    :param session: id of the gateway session that opened the entry.
    :param answer: the response, or None if the outcome is unknown.
    :param not_run: whether the request was not run; the entry is then removed.
    """

    key: str
    session: SessionId
    answer: StoredAnswer | None = None
    not_run: bool = False


class ExpireLedger(Struct, frozen=True, kw_only=True, tag=True):
    """Remove ledger entries that were opened before a time.

    :param before: wall-clock time in seconds since the Unix epoch.
    """

    before: float


Command = (
    Noop
    | SubmitDocument
    | JoinServer
    | LoseServer
    | ForgetServer
    | SetSpeed
    | JoinGateway
    | LoseGateway
    | BeginTransition
    | FinishTransition
    | OpenLedger
    | CloseLedger
    | ExpireLedger
)


class Done(Struct, frozen=True, kw_only=True, tag=True):
    """The command took effect."""


class Ignored(Struct, frozen=True, kw_only=True, tag=True):
    """The command was outdated and changed nothing.

    :param reason: why.
    """

    reason: str


class DocumentAccepted(Struct, frozen=True, kw_only=True, tag=True):
    """The document is in force.

    :param version: its version.
    """

    version: int


class DocumentConflict(Struct, frozen=True, kw_only=True, tag=True):
    """The document has been replaced since the version that the submission is based on.

    :param version: the version in force.
    :param author: who submitted it.
    """

    version: int
    author: str


class DocumentRefused(Struct, frozen=True, kw_only=True, tag=True):
    """The document conflicts with the replicated state and changed nothing.

    :param reason: what is wrong.
    :param remedy: what the operator can do.
    """

    reason: str
    remedy: str


class LedgerOpened(Struct, frozen=True, kw_only=True, tag=True):
    """The request may be sent."""


class LedgerFound(Struct, frozen=True, kw_only=True, tag=True):
    """The Idempotency-Key has been used before.

    :param entry: the existing entry.
    """

    entry: LedgerEntry


class LedgerFull(Struct, frozen=True, kw_only=True, tag=True):
    """The ledger has reached its maximum number of entries; the request must not be sent."""


Outcome = (
    Done
    | Ignored
    | DocumentAccepted
    | DocumentConflict
    | DocumentRefused
    | LedgerOpened
    | LedgerFound
    | LedgerFull
)

_ENCODER = Encoder()
_DECODER: Decoder[Command] = Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command as MessagePack."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command from MessagePack.

    :raises msgspec.ValidationError: if the bytes aren't a command.
    """
    return _DECODER.decode(data)
