"""What operators were told of documents, checked against what is in force."""

from lychee_bench.audit import Breach
from lychee_types.document import Document
from lychee_types.operator_messages import (
    StatusReply,
)
from lychee_types.state import SubmissionRecord

REVERTED = "a document version reverted"
MISSING = "an accepted document version is missing"
DIFFERENT = "two documents with one version"
CHANGED_ANSWER = "a resent submission got another answer"


class DocumentBook:
    """Accepted documents, and the versions seen in force."""

    def __init__(self) -> None:
        self.breaches: list[Breach] = []
        self.accepted: dict[int, Document] = {}
        self._answers: dict[str, SubmissionRecord] = {}
        self._seen: dict[str, int] = {}
        self._seen_in_term: dict[int, int] = {}

    def note_answer(self, record: SubmissionRecord, document: Document) -> None:
        """Note what an operator was told of a submission."""
        earlier = self._answers.setdefault(record.submission, record)
        if earlier != record:
            self._broken(CHANGED_ANSWER, f"{earlier} and then {record}")
        if record.accepted:
            self._note_document(record.version, document)

    def note_status(self, status: StatusReply) -> None:
        """Note the versions in force at the leader and at the gateways.

        A new leader knows nothing of a gateway, not even an applied index, before its renewal.
        """
        term, version = status.term, status.document_version
        earlier = max((seen for at, seen in self._seen_in_term.items() if at <= term), default=0)
        if version < earlier:
            self._broken(REVERTED, f"{status.leader} in term {term}: {earlier} to {version}")
        self._seen_in_term[term] = max(version, self._seen_in_term.get(term, 0))
        for gateway in status.gateways:
            if gateway.applied:
                self._note_version(f"{gateway.id} {gateway.session}", gateway.document_version)

    def note_shown(self, version: int, document: Document | None) -> None:
        """Note the document that is kept under an accepted version."""
        if document is None:
            self._broken(MISSING, f"version {version}")
        else:
            self._note_document(version, document)

    def _note_document(self, version: int, document: Document) -> None:
        if self.accepted.setdefault(version, document) != document:
            self._broken(DIFFERENT, f"version {version}")

    def _note_version(self, where: str, version: int) -> None:
        earlier = self._seen.get(where, 0)
        if version < earlier:
            self._broken(REVERTED, f"{where} went from {earlier} to {version}")
        self._seen[where] = max(earlier, version)

    def _broken(self, kind: str, detail: str) -> None:
        self.breaches.append(Breach(kind=kind, detail=detail))
