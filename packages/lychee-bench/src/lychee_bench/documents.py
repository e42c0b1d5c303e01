"""Checks of the operators' submissions against the documents that are stored and used."""

from lychee_bench.audit import Violation
from lychee_types.document import Document
from lychee_types.operator_messages import (
    StatusReply,
)
from lychee_types.state import SubmissionRecord

REVERTED = "a document version reverted"
MISSING = "an accepted document version is missing"
DIFFERENT = "two documents with one version"
CHANGED_REPLY = "a resent submission got another answer"


class DocumentChecker:
    """Checks that accepted documents are kept, and that versions never go back."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.accepted: dict[int, Document] = {}
        self._submission_records: dict[str, SubmissionRecord] = {}
        self._highest_version_by_session: dict[str, int] = {}
        self._highest_version_by_term: dict[int, int] = {}

    def check_submission(self, record: SubmissionRecord, document: Document) -> None:
        """Check the reply to a submission against earlier replies to the same submission."""
        earlier = self._submission_records.setdefault(record.submission, record)
        if earlier != record:
            self._add_violation(CHANGED_REPLY, f"{earlier} and then {record}")
        if record.accepted:
            self._check_document(record.version, document)

    def check_status(self, status: StatusReply) -> None:
        """Check that the versions at the leader and at the gateways did not go back.

        A new leader knows nothing of a gateway before the gateway renews its lease, not even an
        applied index, so gateways without an applied index are left out.
        """
        term, version = status.term, status.document_version
        earlier = max(
            (
                seen_version
                for seen_term, seen_version in self._highest_version_by_term.items()
                if seen_term <= term
            ),
            default=0,
        )
        if version < earlier:
            self._add_violation(REVERTED, f"{status.leader} in term {term}: {earlier} to {version}")
        self._highest_version_by_term[term] = max(
            version, self._highest_version_by_term.get(term, 0)
        )
        for gateway in status.gateways:
            if gateway.applied:
                self._check_version(f"{gateway.id} {gateway.session}", gateway.document_version)

    def check_stored(self, version: int, document: Document | None) -> None:
        """Check the document that the control replicas store under an accepted version."""
        if document is None:
            self._add_violation(MISSING, f"version {version}")
        else:
            self._check_document(version, document)

    def _check_document(self, version: int, document: Document) -> None:
        if self.accepted.setdefault(version, document) != document:
            self._add_violation(DIFFERENT, f"version {version}")

    def _check_version(self, gateway_session: str, version: int) -> None:
        earlier = self._highest_version_by_session.get(gateway_session, 0)
        if version < earlier:
            self._add_violation(REVERTED, f"{gateway_session} went from {earlier} to {version}")
        self._highest_version_by_session[gateway_session] = max(earlier, version)

    def _add_violation(self, kind: str, detail: str) -> None:
        self.violations.append(Violation(kind=kind, detail=detail))
