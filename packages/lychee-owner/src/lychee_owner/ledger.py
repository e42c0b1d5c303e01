"""The ledger of requests with an Idempotency-Key: each runs at most once while its entry exists."""

from collections.abc import Iterable
from sys import intern

from msgspec.structs import replace

from lychee_types.commands import (
    CloseLedger,
    Done,
    ExpireLedger,
    Ignored,
    LedgerFound,
    LedgerFull,
    LedgerOpened,
    OpenLedger,
    Outcome,
)
from lychee_types.ids import SessionId
from lychee_types.records import LedgerEntry, LedgerStatus, StoredAnswer

LEDGER_LIMIT = 100_000
"""Maximum number of entries; further requests with an Idempotency-Key are not run."""

LEDGER_BODY_BYTES = 16_777_216
"""Maximum total size of stored response bodies in bytes; further ones are stored without a body."""


class Ledger:
    """The ledger entries, in the order in which they were opened.

    :param entries: the entries to start from.
    """

    def __init__(self, *, entries: Iterable[LedgerEntry] = ()) -> None:
        self._entries = {entry.key: _intern_texts(entry) for entry in entries}
        self._body_bytes = sum(_body_bytes(entry) for entry in self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, key: str) -> LedgerEntry:
        return self._entries[key]

    @property
    def entries(self) -> tuple[LedgerEntry, ...]:
        """All entries, in the order in which they were opened."""
        return tuple(self._entries.values())

    def find(self, key: str) -> LedgerEntry | None:
        """Return the entry with a key, or None."""
        return self._entries.get(key)

    def open(self, command: OpenLedger) -> Outcome:
        """Add an entry unless its key is already used by another request."""
        known = self._entries.get(command.entry.key)
        if known is not None and not _is_same_opening(known, command.entry):
            return LedgerFound(entry=known)
        if known is None and len(self._entries) >= LEDGER_LIMIT:
            return LedgerFull()
        self._entries[command.entry.key] = _intern_texts(command.entry)
        return LedgerOpened()

    def close(self, command: CloseLedger) -> Outcome:
        """Record the outcome of a request, or remove its entry if the request was not run."""
        known = self._entries.get(command.key)
        if known is None or known.session != command.session:
            return Ignored(reason="the entry is not this gateway's")
        if known.status is not LedgerStatus.OPEN:
            return Ignored(reason="the entry is closed")
        if command.not_run:
            del self._entries[command.key]
        elif command.answer is None:
            self._entries[command.key] = replace(known, status=LedgerStatus.UNKNOWN)
        else:
            answer = _intern_answer_texts(self._without_oversized_body(command.answer))
            self._body_bytes += len(answer.body)
            answered = replace(known, status=LedgerStatus.ANSWERED, answer=answer)
            self._entries[command.key] = answered
        return Done()

    def expire(self, command: ExpireLedger) -> Outcome:
        """Remove the entries that were opened before a given time."""
        self._entries = {
            key: entry for key, entry in self._entries.items() if entry.opened_at >= command.before
        }
        self._body_bytes = sum(_body_bytes(entry) for entry in self._entries.values())
        return Done()

    def _without_oversized_body(self, answer: StoredAnswer) -> StoredAnswer:
        """Return the answer, without its body if that would exceed the size limit."""
        if self._body_bytes + len(answer.body) <= LEDGER_BODY_BYTES:
            return answer
        return replace(answer, body=b"", body_kept=False)


def _intern_texts(entry: LedgerEntry) -> LedgerEntry:
    """Return the entry with interned strings where many entries share the same value."""
    answer = _intern_answer_texts(entry.answer) if entry.answer is not None else None
    return replace(entry, session=SessionId(intern(entry.session)), answer=answer)


def _intern_answer_texts(answer: StoredAnswer) -> StoredAnswer:
    return replace(answer, content_type=intern(answer.content_type))


def _body_bytes(entry: LedgerEntry) -> int:
    return len(entry.answer.body) if entry.answer is not None else 0


def _is_same_opening(known: LedgerEntry, entry: LedgerEntry) -> bool:
    """Return whether a gateway repeats its own request to open an entry that is still open."""
    is_same_attempt = (known.session, known.attempt) == (entry.session, entry.attempt)
    return is_same_attempt and known.status is LedgerStatus.OPEN
