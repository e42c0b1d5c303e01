"""Tests of the ledger of requests with an Idempotency-Key."""

from msgspec.structs import replace

from lychee_owner import ClusterState
from lychee_types.commands import (
    CloseLedger,
    ExpireLedger,
    LedgerFound,
    LedgerFull,
    LedgerOpened,
    OpenLedger,
)
from lychee_types.records import LedgerEntry, LedgerStatus, StoredAnswer


def opening(session: str, attempt: int) -> OpenLedger:
    return OpenLedger(
        entry=LedgerEntry(
            key="booking/k",
            digest=1,
            session=session,
            attempt=attempt,
            status=LedgerStatus.OPEN,
            opened_at=0.0,
        )
    )


def test_a_repeated_open_request_succeeds_until_the_entry_is_closed() -> None:
    state = ClusterState()
    assert state.apply(1, opening("s1", 1)) == LedgerOpened()
    assert state.apply(2, opening("s1", 1)) == LedgerOpened()
    assert isinstance(state.apply(3, opening("s1", 2)), LedgerFound)
    assert isinstance(state.apply(4, opening("s2", 1)), LedgerFound)
    state.apply(5, CloseLedger(key="booking/k", session="s1"))
    assert isinstance(state.apply(6, opening("s1", 1)), LedgerFound)


def test_a_full_ledger_opens_no_new_entry_and_drops_none(monkeypatch) -> None:
    monkeypatch.setattr("lychee_owner.ledger.LEDGER_LIMIT", 1)
    state = ClusterState()
    assert state.apply(1, opening("s1", 1)) == LedgerOpened()
    other = OpenLedger(entry=replace(opening("s1", 2).entry, key="booking/other"))
    assert state.apply(2, other) == LedgerFull()
    assert isinstance(state.apply(3, opening("s2", 1)), LedgerFound)
    state.apply(4, ExpireLedger(before=1.0))
    assert state.apply(5, other) == LedgerOpened()


def test_an_answer_over_the_size_limit_is_kept_without_its_body(monkeypatch) -> None:
    monkeypatch.setattr("lychee_owner.ledger.LEDGER_BODY_BYTES", 5)
    state = ClusterState()
    answer = StoredAnswer(status=201, content_type="text/plain", body=b"abcd")
    index = 0
    for attempt in (1, 2):
        key = f"booking/{attempt}"
        entry = replace(opening("s1", attempt).entry, key=key)
        state.apply(index + 1, OpenLedger(entry=entry))
        state.apply(index + 2, CloseLedger(key=key, session="s1", answer=answer))
        index += 2
    restored = ClusterState(image=state.image())
    for each in (state, restored):
        assert each.ledger.find("booking/1").answer == answer
        assert each.ledger.find("booking/2").answer == replace(answer, body=b"", body_kept=False)
