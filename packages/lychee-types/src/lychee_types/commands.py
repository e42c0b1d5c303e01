"""Commands of the replicated log and what applying them gives.

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
    """Replace the document if nobody else has since the version it is based on.

    :param submission: the operator's own id of this submission; resending it is harmless.
    :param based_on: the document version that the operator saw.
    :param author: who submits.
    :param document: the new document.
    """

    submission: str
    based_on: int
    author: str
    document: Document


class JoinServer(Struct, frozen=True, kw_only=True, tag=True):
    """Add a backend server, or replace its record after a restart or a return.

    :param server: the new record.
    """

    server: ServerRecord


class LoseServer(Struct, frozen=True, kw_only=True, tag=True):
    """Mark a backend server as lost.

    :param server: the server's id.
    :param incarnation: the run that was lost; a later run stays.
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
    :param speed: speed relative to the service's usual server.
    """

    server: ServerId
    speed: float


class JoinGateway(Struct, frozen=True, kw_only=True, tag=True):
    """Add a gateway's run; from then on it may be granted a session lease.

    :param gateway: the gateway's record.
    """

    gateway: GatewayRecord


class LoseGateway(Struct, frozen=True, kw_only=True, tag=True):
    """Remove a gateway's run whose lease is over; it is never granted one again.

    :param gateway: the gateway's id.
    :param session: the run that is over.
    """

    gateway: GatewayId
    session: SessionId


class BeginTransition(Struct, frozen=True, kw_only=True, tag=True):
    """Begin to change a placement; it takes the place of a change already under way.

    Either the target or its difference from the placement in force is given: with many servers
    the difference is far shorter.

    :param service: the service's name.
    :param target: the new placement.
    :param change: the difference, None where the target is given.
    """

    service: ServiceName
    target: Placement = Placement()
    change: PlacementChange | None = None


class FinishTransition(Struct, frozen=True, kw_only=True, tag=True):
    """Put the pending placement in force. Its log index becomes the new fencing token.

    :param service: the service's name.
    :param begun: the transition's log index; a later one is left alone.
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
    :param session: the gateway's run that opened it.
    :param answer: the answer, or None where the outcome is unknown.
    :param not_run: whether the request was not run; the entry is then removed.
    """

    key: str
    session: SessionId
    answer: StoredAnswer | None = None
    not_run: bool = False


class ExpireLedger(Struct, frozen=True, kw_only=True, tag=True):
    """Drop ledger entries opened before a time.

    :param before: wall time in seconds.
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
    """The command no longer applied and changed nothing.

    :param reason: why.
    """

    reason: str


class DocumentAccepted(Struct, frozen=True, kw_only=True, tag=True):
    """The document is in force.

    :param version: its version.
    """

    version: int


class DocumentConflict(Struct, frozen=True, kw_only=True, tag=True):
    """Somebody else replaced the document first.

    :param version: the version in force.
    :param author: who submitted it.
    """

    version: int
    author: str


class DocumentRefused(Struct, frozen=True, kw_only=True, tag=True):
    """The document does not fit the state and changed nothing.

    :param reason: what is wrong.
    :param remedy: what the operator can do.
    """

    reason: str
    remedy: str


class LedgerOpened(Struct, frozen=True, kw_only=True, tag=True):
    """The request may be sent."""


class LedgerFound(Struct, frozen=True, kw_only=True, tag=True):
    """The Idempotency-Key has been used before.

    :param entry: the entry as it stands.
    """

    entry: LedgerEntry


class LedgerFull(Struct, frozen=True, kw_only=True, tag=True):
    """The ledger holds as many entries as it may; the request must not be sent."""


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
    """Return a command as MessagePack."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command in MessagePack bytes.

    :raises msgspec.ValidationError: if the bytes hold no command.
    """
    return _DECODER.decode(data)
