"""The image of the replicated state, as stored in snapshots and sent to new gateways."""

from msgspec import Struct

from lychee_types.document import Document
from lychee_types.ids import LogIndex
from lychee_types.records import GatewayRecord, LedgerEntry, Ownership, ServerRecord


class SubmissionRecord(Struct, frozen=True, kw_only=True):
    """The outcome of a submission, kept for operators that resend it.

    :param submission: id that the operator chose for the submission.
    :param author: who submitted.
    :param based_on: the version that it was based on.
    :param accepted: whether it was accepted.
    :param version: the version that it became, or the version that it conflicts with.
    :param winner: who submitted the version that it conflicts with, empty if it was accepted.
    :param refusal: why the document conflicts with the replicated state, empty otherwise.
    :param remedy: what the operator can do about the refusal, empty otherwise.
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
    """The complete replicated state after one log entry.

    :param index: log index of the last entry applied.
    :param history: accepted documents, oldest first; the last one is in force.
    :param submissions: outcomes of submissions, oldest first.
    :param servers: backend servers in order of id.
    :param gateways: gateway sessions in order of session id; a gateway may have several.
    :param ownerships: one for each keyed service in order of name, and for each formerly keyed
        service until its keys have no owner.
    :param ledger: entries of non-idempotent requests; empty in images for gateways.
    """

    index: LogIndex
    history: tuple[DocumentVersion, ...] = ()
    submissions: tuple[SubmissionRecord, ...] = ()
    servers: tuple[ServerRecord, ...] = ()
    gateways: tuple[GatewayRecord, ...] = ()
    ownerships: tuple[Ownership, ...] = ()
    ledger: tuple[LedgerEntry, ...] = ()
