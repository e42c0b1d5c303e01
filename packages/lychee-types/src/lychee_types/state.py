"""The image of the replicated state that snapshots and late joiners carry."""

from msgspec import Struct

from lychee_types.document import Document
from lychee_types.ids import LogIndex
from lychee_types.records import GatewayRecord, LedgerEntry, Ownership, ServerRecord


class SubmissionRecord(Struct, frozen=True, kw_only=True):
    """The answer that a submission got, kept for operators that resend it.

    :param submission: the operator's id of the submission.
    :param author: who submitted.
    :param based_on: the version that it was based on.
    :param accepted: whether it won.
    :param version: the version it became, or the version that it lost to.
    :param winner: who submitted the version that it lost to, empty if it won.
    :param refusal: why the document did not fit the state, empty otherwise.
    :param remedy: what the operator can do about a refusal, empty otherwise.
    """

    submission: str
    author: str
    based_on: int
    accepted: bool
    version: int
    winner: str = ""
    refusal: str = ""
    remedy: str = ""


class DocumentVersion(Struct, frozen=True, kw_only=True):
    """One accepted version of the document.

    :param version: its number, from 1.
    :param author: who submitted it.
    :param index: log index of its commit.
    :param document: the document itself.
    """

    version: int
    author: str
    index: LogIndex
    document: Document


class StateImage(Struct, frozen=True, kw_only=True):
    """The whole replicated state after one log entry.

    :param index: the last log entry applied.
    :param history: accepted documents, oldest first; the last one is in force.
    :param submissions: answers to submissions, oldest first.
    :param servers: backend servers in order of id.
    :param gateways: gateway runs in order of session; a gateway may have several.
    :param ownerships: one for each keyed service in order of name, and for services that are no
        longer keyed until nobody owns their keys.
    :param ledger: entries of non-idempotent requests; empty in images for gateways.
    """

    index: LogIndex
    history: tuple[DocumentVersion, ...] = ()
    submissions: tuple[SubmissionRecord, ...] = ()
    servers: tuple[ServerRecord, ...] = ()
    gateways: tuple[GatewayRecord, ...] = ()
    ownerships: tuple[Ownership, ...] = ()
    ledger: tuple[LedgerEntry, ...] = ()
