"""The ledger of non-idempotent requests: one outcome a request, whoever resends it."""

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
from lychee_types.records import LedgerEntry, LedgerStatus

LEDGER_LIMIT = 100_000
"""Number of ledger entries kept; further requests with an Idempotency-Key are not run."""

Ledger = dict[str, LedgerEntry]
"""Entries by their key."""


def open_entry(ledger: Ledger, command: OpenLedger) -> Outcome:
    """Record a request that is about to be sent, unless it was sent before.

    :param ledger: the ledger, which is changed.
    :param command: the command with the new entry.
    """
    known = ledger.get(command.entry.key)
    if known is not None and not _is_same_opening(known, command.entry):
        return LedgerFound(entry=known)
    if known is None and len(ledger) >= LEDGER_LIMIT:
        return LedgerFull()
    ledger[command.entry.key] = command.entry
    return LedgerOpened()


def close_entry(ledger: Ledger, command: CloseLedger) -> Outcome:
    """Record the outcome of a request.

    :param ledger: the ledger, which is changed.
    :param command: the command with the outcome.
    """
    known = ledger.get(command.key)
    if known is None or known.session != command.session:
        return Ignored(reason="the entry is not this gateway's")
    if known.status is not LedgerStatus.OPEN:
        return Ignored(reason="the entry is closed")
    if command.not_run:
        del ledger[command.key]
    elif command.answer is not None:
        answered = replace(known, status=LedgerStatus.ANSWERED, answer=command.answer)
        ledger[command.key] = answered
    else:
        ledger[command.key] = replace(known, status=LedgerStatus.UNKNOWN)
    return Done()


def expire_entries(ledger: Ledger, command: ExpireLedger) -> Outcome:
    """Drop entries that were opened before a time.

    :param ledger: the ledger, which is changed.
    :param command: the command with the time.
    """
    for key in [key for key, entry in ledger.items() if entry.opened_at < command.before]:
        del ledger[key]
    return Done()


def _is_same_opening(known: LedgerEntry, entry: LedgerEntry) -> bool:
    """Return whether a gateway asks again for the entry that it has opened itself."""
    same_run = (known.session, known.attempt) == (entry.session, entry.attempt)
    return same_run and known.status is LedgerStatus.OPEN
